package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"
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
	Bytes   int64         // of one list
	First   time.Duration // until a whole list begins to come
	Silence time.Duration // between two pieces of a list
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
		first := limits.First
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
		in := &io.LimitedReader{R: &progressReader{from: body, progress: func() { silence.Reset(limits.Silence) }}, N: limits.Bytes}
		err := r.read(json.NewDecoder(in))
		if err != nil && in.N <= 0 {
			return fmt.Errorf("more than %d MiB", limits.Bytes>>20)
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

func (r *listReader) read(from *json.Decoder) error {
	if err := expectDelim(from, '{'); err != nil {
		return err
	}
	for from.More() {
		key, err := from.Token()
		if err != nil {
			return err
		}
		if err := r.readField(from, key); err != nil {
			return err
		}
	}
	if err := expectDelim(from, '}'); err != nil {
		return err
	}
	return r.finish()
}

func (r *listReader) readField(from *json.Decoder, key json.Token) error {
	switch key {
	case "index":
		r.hasIndex = true
		return from.Decode(&r.index)
	case "snapshot":
		r.hasSnapshot = true
		return from.Decode(&r.snapshot)
	case "endpoints":
		return r.readEndpoints(from)
	}
	var ignored json.RawMessage
	return from.Decode(&ignored)
}

func (r *listReader) readEndpoints(from *json.Decoder) error {
	open, err := from.Token()
	if err != nil || open == nil { // null: no entries
		return err
	}
	if open != json.Delim('[') {
		return fmt.Errorf("endpoints: %v in place of a list", open)
	}
	r.hasEndpoints = true
	if r.hasIndex && (r.whole || r.hasSnapshot) {
		if err := r.begin(); err != nil {
			return err
		}
	}
	for from.More() {
		var e Endpoint
		var wrongType *json.UnmarshalTypeError
		err := from.Decode(&e)
		if err != nil && !errors.As(err, &wrongType) {
			return err
		}
		if err := r.put(e, err); err != nil {
			return err
		}
	}
	return expectDelim(from, ']')
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

func expectDelim(from *json.Decoder, want json.Delim) error {
	got, err := from.Token()
	if err != nil {
		return err
	}
	if got != want {
		return fmt.Errorf("%v in place of %v", got, want)
	}
	return nil
}
