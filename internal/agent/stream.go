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

// A list of millions of endpoints is not held beside what is made of it: it is handed on entry by entry.

// Sink takes over lists as they are read.
type Sink interface {
	// Begin is called once the index of a list is known and accepted. A list that was begun before and not committed was cut off.
	Begin(index int64, snapshot bool) error
	// Put is called for each entry, unchecked; one that could not be read as an entry comes with the reason.
	Put(e Endpoint, malformed error)
	// Commit is called when a list has been read to its end.
	Commit()
}

// StreamLimits bound what Stream reads.
type StreamLimits struct {
	MaxBytes         int64         // of one list
	FirstByteTimeout time.Duration // until a whole list begins to come
	IdleTimeout      time.Duration // between two pieces of a list
}

// maxReordered bounds the entries of a list that come before it has said what it is.
const maxReordered = 1 << 16

const (
	maxStream       = 10 * time.Minute // a call ends whatever still comes
	maxStreamPause  = time.Second      // between two calls
	failureLogPause = 30 * time.Second // between two lines about failures in a row
)

// errStreamSilent is the cause of a call that is cancelled as nothing has come for too long.
var errStreamSilent = errors.New("nothing has come for too long")

// Stream is Watch for lists of any size: it goes on from an index, or from nothing where that is -1. Entries are handed on as they are read, so that
// a list that breaks off has been handed on in part.
func (p *Platform) Stream(ctx context.Context, index int64, limits StreamLimits, sink Sink) {
	fetch := func(ctx context.Context, a *agent, at *position, wait bool) (*List, error) {
		first := limits.FirstByteTimeout
		if at.from >= 0 {
			first = listTime
			if wait {
				first = p.fleet.hold() + holdMargin
			}
		}
		r := &listReader{whole: at.from < 0, accept: at.accept, sink: sink}
		if err := a.stream(ctx, listPath(at.from, p.fleet.hold(), wait), first, limits, r); err != nil {
			return nil, fmt.Errorf("list: %w", err)
		}
		return &List{Index: r.index, Snapshot: r.whole || r.snapshot}, nil
	}
	again := backoff{first: firstPause, most: maxStreamPause, random: p.fleet.random}
	var failures repeatedFailure
	p.watch(ctx, index, again, failures.warn, fetch, func(*List) {
		failures.end()
		sink.Commit()
	})
}

// repeatedFailure logs the first of the failures in a row, then one in a while, and their end.
type repeatedFailure struct {
	count  int
	logged time.Time
}

func (f *repeatedFailure) warn(err error, _ time.Duration) {
	f.count++
	if f.count > 1 && time.Since(f.logged) < failureLogPause {
		return
	}
	f.logged = time.Now()
	slog.Warn("discovery does not answer with a list", "err", err, "failures_in_a_row", f.count)
}

func (f *repeatedFailure) end() {
	if f.count > 0 {
		slog.Info("discovery answers again", "failures_in_a_row", f.count)
	}
	f.count = 0
}

// stream makes the call and has its answer read as it comes.
func (a *agent) stream(ctx context.Context, path string, first time.Duration, limits StreamLimits, r *listReader) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(first, func() { cancel(errStreamSilent) })
	defer silence.Stop()
	err := a.do(ctx, maxStream, http.MethodGet, path, nil, func(status int, body io.Reader) error {
		if status != http.StatusOK {
			return fmt.Errorf("status %d", status)
		}
		in := &io.LimitedReader{R: &progressReader{from: body, progress: func() { silence.Reset(limits.IdleTimeout) }}, N: limits.MaxBytes}
		err := r.read(jsontext.NewDecoder(in, streamOptions))
		if err != nil && in.N <= 0 {
			return fmt.Errorf("more than %d MiB", limits.MaxBytes>>20)
		}
		return err
	})
	if cause := context.Cause(ctx); err != nil && errors.Is(cause, errStreamSilent) {
		return cause
	}
	return err
}

// progressReader calls progress whenever something came.
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

// listReader hands one list on to a sink.
type listReader struct {
	whole    bool // it was asked for as a whole, whatever it says
	accept   func(index int64, snapshot bool) error
	sink     Sink
	index    int64
	snapshot bool
	hasIndex, hasSnapshot, hasEndpoints,
	begun bool
	early []earlyEntry // entries that came before it was clear what the list is
}

type earlyEntry struct {
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
	if r.hasIndex && (r.whole || r.hasSnapshot) {
		if err := r.begin(); err != nil {
			return err
		}
	}
	if err := readEntries(from, r.put); err != nil {
		return err
	}
	return expectKind(from, jsontext.KindEndArray)
}

func (r *listReader) begin() error {
	if r.index < 0 {
		return fmt.Errorf("index %d: a version is 0 or more", r.index)
	}
	snapshot := r.whole || r.snapshot
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
	if len(r.early) == maxReordered {
		return fmt.Errorf("more than %d entries before index and snapshot: discovery owes these first", maxReordered)
	}
	r.early = append(r.early, earlyEntry{e, malformed})
	return nil
}

// finish hands on what came before the list had said what it is.
func (r *listReader) finish() error {
	switch {
	case !r.hasIndex:
		return errors.New("it says no index: discovery owes each list its version")
	case (r.whole || r.snapshot) && !r.hasEndpoints:
		return errors.New("a whole list without endpoints: where there are none, it owes an empty list of them")
	case r.begun:
		return nil
	}
	if err := r.begin(); err != nil {
		return err
	}
	for _, e := range r.early {
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
		return fmt.Errorf("%v in place of %v", got, want)
	}
	return nil
}
