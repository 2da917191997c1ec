package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// A list of millions of endpoints is passed on entry by entry, so that it is not held in memory beside the data that its receiver builds from it.

// Sink receives lists as they are read.
type Sink interface {
	// Begin is called once the index of a list is known and accepted. A list that was begun before and not committed was truncated.
	Begin(index int64, snapshot bool) error
	// Put is called for each entry, before validation. malformed is the reason why a value could not be decoded as an entry.
	Put(e Endpoint, malformed error)
	// Commit is called when a list has been read to its end.
	Commit()
}

// StreamLimits bounds what Stream reads.
type StreamLimits struct {
	MaxBytes         int64         // of one list
	FirstByteTimeout time.Duration // until the first byte of a snapshot
	IdleTimeout      time.Duration // between two reads of a list
}

// maxReordered bounds the entries that may precede the index and snapshot fields of their list.
const maxReordered = 1 << 16

const (
	maxListDuration        = 10 * time.Minute // a call is cancelled after this, even while data arrives
	maxStreamBackoff       = time.Second      // between two calls
	streamFirstByteTimeout = slowestAnswer    // until the first byte of changes
	streamHoldMargin       = time.Second      // the same, counted from the end of a watch's hold
	failureLogInterval     = 30 * time.Second // between two log lines about consecutive failures
)

// errStreamIdle is the cause of the cancellation of a call that has received no data for too long.
var errStreamIdle = errors.New("no data received for too long")

// Stream is Watch for lists of any size: it continues from an index, or begins with a snapshot if that is -1. Entries are passed on as they are read, so
// that the sink has received a part of a truncated list.
func (p *Platform) Stream(ctx context.Context, index int64, limits StreamLimits, sink Sink) {
	fetch := func(ctx context.Context, c *discoveryClient, at *watchPosition, held bool, _ func()) (*List, error) {
		firstByte := limits.FirstByteTimeout
		if at.from >= 0 {
			firstByte = streamFirstByteTimeout
			if held {
				firstByte = p.fleet.holdTime() + streamHoldMargin
			}
		}
		reader := &listReader{wholeRequested: at.from < 0, accept: at.accept, sink: sink}
		if err := c.stream(ctx, listPath(at.from, p.fleet.holdTime(), held), firstByte, limits, reader); err != nil {
			return nil, fmt.Errorf("list: %w", err)
		}
		return &List{Index: reader.index, Snapshot: reader.wholeRequested || reader.snapshot}, nil
	}
	timing := listTiming{hold: p.fleet.holdTime(), maxCalls: 1, firstCallMax: p.fleet.initialSpread()} // one at a time: the sink takes one list at a time
	retry := backoff{initial: initialBackoff, max: maxStreamBackoff, random: p.fleet.random}
	var failures failureLog
	newListFollower(p, index, timing, retry, fetch, failures.warn).run(ctx, func(*List) {
		failures.recovered()
		sink.Commit()
	})
}

// failureLog logs the first of several consecutive failures, then one per failureLogInterval, and the recovery.
type failureLog struct {
	count      int
	lastLogged time.Time
}

func (f *failureLog) warn(err error, _ nextCall) {
	f.count++
	if f.count > 1 && time.Since(f.lastLogged) < failureLogInterval {
		return
	}
	f.lastLogged = time.Now()
	slog.Warn("no list from discovery", "err", err, "failures_in_a_row", f.count)
}

func (f *failureLog) recovered() {
	if f.count > 0 {
		slog.Info("discovery has recovered", "failures_in_a_row", f.count)
	}
	f.count = 0
}

// stream sends the request and has r read the response while it arrives.
func (c *discoveryClient) stream(ctx context.Context, path string, firstByte time.Duration, limits StreamLimits, r *listReader) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idle := time.AfterFunc(firstByte, func() { cancel(errStreamIdle) })
	defer idle.Stop()
	err := c.do(ctx, maxListDuration, http.MethodGet, path, nil, func(status int, body io.Reader) error {
		if status != http.StatusOK {
			return &statusError{status}
		}
		limited := &io.LimitedReader{R: &progressReader{from: body, progress: func() { idle.Reset(limits.IdleTimeout) }}, N: limits.MaxBytes}
		err := r.read(jsontext.NewDecoder(limited, streamOptions))
		if err != nil && limited.N <= 0 {
			return fmt.Errorf("more than %d MiB", limits.MaxBytes>>20)
		}
		return err
	})
	if cause := context.Cause(ctx); err != nil && errors.Is(cause, errStreamIdle) {
		return cause
	}
	return err
}

// progressReader calls progress whenever data was read.
type progressReader struct {
	from     io.Reader
	progress func()
}

func (r *progressReader) Read(to []byte) (int, error) {
	n, err := r.from.Read(to)
	if n > 0 {
		r.progress()
	}
	return n, err
}

// listReader passes one list on to a sink.
type listReader struct {
	wholeRequested bool // the snapshot was requested: the list is one whatever it says
	accept         func(index int64, snapshot bool) error
	sink           Sink
	index          int64
	snapshot       bool
	hasIndex, hasSnapshot, hasEndpoints,
	begun bool
	buffered []decodedEntry // entries that preceded the index and snapshot fields
}

type decodedEntry struct {
	endpoint  Endpoint
	malformed error
}

func (r *listReader) read(from *jsontext.Decoder) error {
	if err := expectKind(from, jsontext.KindBeginObject); err != nil {
		return err
	}
	for from.PeekKind() == jsontext.KindString {
		key, err := from.ReadToken()
		if err != nil {
			return err
		}
		if err := r.readField(from, key.String()); err != nil {
			return err
		}
	}
	if err := expectKind(from, jsontext.KindEndObject); err != nil {
		return err
	}
	return r.finish()
}

func (r *listReader) readField(from *jsontext.Decoder, key string) error {
	switch key {
	case "index":
		r.hasIndex = true
		return json.UnmarshalDecode(from, &r.index)
	case "snapshot":
		r.hasSnapshot = true
		return json.UnmarshalDecode(from, &r.snapshot)
	case "endpoints":
		return r.readEndpoints(from)
	}
	return from.SkipValue()
}

func (r *listReader) readEndpoints(from *jsontext.Decoder) error {
	if from.PeekKind() == jsontext.KindNull { // no entries
		return from.SkipValue()
	}
	if err := expectKind(from, jsontext.KindBeginArray); err != nil {
		return fmt.Errorf("endpoints: %w", err)
	}
	r.hasEndpoints = true
	if r.hasIndex && (r.wholeRequested || r.hasSnapshot) {
		if err := r.beginList(); err != nil {
			return err
		}
	}
	if err := readEntries(from, r.put); err != nil {
		return err
	}
	return expectKind(from, jsontext.KindEndArray)
}

func (r *listReader) beginList() error {
	if r.index < 0 {
		return fmt.Errorf("index %d: a version can't be negative", r.index)
	}
	snapshot := r.wholeRequested || r.snapshot
	if err := r.accept(r.index, snapshot); err != nil {
		return err
	}
	r.begun = true
	return r.sink.Begin(r.index, snapshot)
}

func (r *listReader) put(e Endpoint, malformed error) error {
	if r.begun {
		r.sink.Put(e, malformed)
		return nil
	}
	if len(r.buffered) == maxReordered {
		return fmt.Errorf("more than %d entries before index and snapshot: discovery has to send these first", maxReordered)
	}
	r.buffered = append(r.buffered, decodedEntry{e, malformed})
	return nil
}

// finish checks that the list is complete, and passes on entries that preceded the index and snapshot fields.
func (r *listReader) finish() error {
	switch {
	case !r.hasIndex:
		return errors.New("no index: discovery has to give each list a version")
	case (r.wholeRequested || r.snapshot) && !r.hasEndpoints:
		return errors.New("snapshot without endpoints: where there are none, discovery has to send an empty list of them")
	case r.begun:
		return nil
	}
	if err := r.beginList(); err != nil {
		return err
	}
	for _, e := range r.buffered {
		r.sink.Put(e.endpoint, e.malformed)
	}
	return nil
}

func expectKind(from *jsontext.Decoder, want jsontext.Kind) error {
	token, err := from.ReadToken()
	if err != nil {
		return err
	}
	if got := token.Kind(); got != want {
		return fmt.Errorf("got %v, want %v", got, want)
	}
	return nil
}
