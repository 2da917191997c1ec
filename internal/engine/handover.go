package engine

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"net"
	"slices"
	"time"

	"scaleroute/internal/decide"
	"scaleroute/internal/ledger"
)

// An engine can hand over to an engine in another process, which continues with the state of the Forwarder and with the calls in flight.

// detachGrace is how long calls that can't be handed over may take to end before they are cancelled.
const detachGrace = 300 * time.Millisecond

// ErrHandOver is the cancellation cause of a call's context when the call is to be handed over.
var ErrHandOver = errors.New("the call goes on in another process")

// InFlightCall is a call in flight whose message is completely written, in the form that another process can resume.
type InFlightCall struct {
	Endpoint EndpointIdentity // that the connection was opened for
	Conn     net.Conn         // the connection; bytes already read from it are in Read
	Read     []byte           // the part of the answer that was read
	Began    time.Time
	Deadline time.Time // time limit for the answer
}

// Portable is a Caller whose calls can be handed over: a call whose context is cancelled with ErrHandOver calls Attempt.HandOver,
// or ends like any other call.
type Portable interface{ HandsOver() }

// Resumer resumes the calls that a Portable of another process handed over.
type Resumer interface {
	Resume(ctx context.Context, endpoint string, p *InFlightCall, a Attempt) decide.Outcome
}

// HandoverCall is a call that is handed over.
type HandoverCall struct {
	Message   string
	Attempt   int
	Endpoint  string
	LedgerSeq uint64 // audit log entry under which it began; 0 if there is no audit log
	*InFlightCall
}

// Handover is the state that an engine hands over to the next one, in addition to the journal.
type Handover struct {
	ForwarderState []byte
	Clock          time.Duration // the Forwarder's clock
	SavedAt        time.Time     // the wall-clock time when Clock was read
	Calls          []HandoverCall
	// Destinations are all known destinations, including those without endpoints.
	Destinations []int
}

// maxHandoverGap limits the time that is assumed to have passed between two engines, since the wall clock may have been set meanwhile.
const maxHandoverGap = time.Minute

type (
	detach          struct{ done chan<- *Handover }
	cancelRemaining struct{}
	handedOver      struct { // a call that is handed over
		message, endpoint string
		attempt           int
		pending           *InFlightCall
		slot              *ledger.CallCounter
	}
)

// detachState is the state of an engine that is handing over.
type detachState struct {
	done  chan<- *Handover
	calls []HandoverCall
}

// Detach ends the loop and all its calls, and returns the state that the next engine resumes from. It must be called only when no further
// message or list can arrive. It returns nil if the loop has already ended.
func (l *Engine) Detach() *Handover {
	done := make(chan *Handover, 1)
	l.post(detach{done})
	select {
	case h := <-done:
		return h
	case <-l.done:
		select {
		case h := <-done:
			return h
		default:
			return nil
		}
	}
}

// detach asks all calls in flight to end or hand over, and the Forwarder to start none.
func (l *Engine) detach(v detach) {
	l.detaching = &detachState{done: v.done}
	l.events = append(l.events, decide.Stopping{})
	for _, e := range l.entries {
		l.dropPending(e)
		for _, c := range e.calls {
			if c.portable {
				c.cancel(ErrHandOver)
			}
		}
	}
	time.AfterFunc(detachGrace, func() { l.post(cancelRemaining{}) })
}

// cancelRemaining cancels the calls that could not be handed over.
func (l *Engine) cancelRemaining() {
	for _, e := range l.entries {
		for _, c := range e.calls {
			c.cancel(nil)
		}
	}
}

// recordHandover keeps a call that is handed over. For the journal and the Forwarder it is still in flight.
func (l *Engine) recordHandover(v handedOver) {
	e := l.entries[v.message]
	if l.detaching == nil || e == nil || !slices.ContainsFunc(e.calls, func(c inFlight) bool { return c.attempt == v.attempt }) {
		v.pending.Conn.Close() // its message is completed
		return
	}
	e.removeCall(v.attempt)
	v.slot.HandOver()
	l.detaching.calls = append(l.detaching.calls, HandoverCall{v.message, v.attempt, v.endpoint, v.slot.ChangeSeq(), v.pending})
}

// callsCompleted reports whether no call is in flight.
func (l *Engine) callsCompleted() bool {
	for _, e := range l.entries {
		if len(e.calls) > 0 {
			return false
		}
	}
	return true
}

// handOver completes the handover; it is the last action of the loop.
func (l *Engine) handOver() error {
	if err := l.flushAndSync(); err != nil {
		return err
	}
	for _, e := range l.entries {
		l.countOutcome(e, func(t *ClassStats) { t.HandedOver++ })
	}
	now := time.Now()
	l.detaching.done <- &Handover{ForwarderState: l.forwarder.Save(), Clock: now.Sub(l.clock), SavedAt: now, Calls: l.detaching.calls,
		Destinations: slices.Sorted(maps.Keys(l.destinations))}
	return nil
}

// Resume replaces Recover for an engine that continues from another one's handover. An error means that the Forwarder's state can't be read, and
// that nothing has been done.
func (l *Engine) Resume(h *Handover, lists ...List) error {
	memory, err := decide.DecodeState(h.ForwarderState)
	if err != nil {
		return err
	}
	gap := min(max(0, time.Since(h.SavedAt)), maxHandoverGap)
	l.clock = time.Now().Add(-h.Clock - gap)
	targetLists := make([]decide.TargetList, len(lists))
	for i, v := range lists {
		targetLists[i] = l.updateBack(v)
	}
	for _, d := range h.Destinations {
		l.destinations[d] = true
	}
	messages := l.recoverMessages()
	actions, calls := l.forwarder.Restore(time.Since(l.clock), memory, targetLists, messages)
	for _, a := range actions { // the loop does not run yet: these are only completions
		l.perform(context.Background(), a)
	}
	type key struct {
		id      string
		attempt int
	}
	known := map[key]HandoverCall{}
	for _, c := range h.Calls {
		known[key{c.Message, c.Attempt}] = c
	}
	for _, m := range messages {
		e := l.entries[m.ID]
		if e == nil || e.completed {
			continue
		}
		for _, attempt := range calls[m.ID] {
			k := key{m.ID, attempt}
			c := known[k]
			delete(known, k)
			l.resumeCall(e, attempt, c)
		}
	}
	for _, c := range known { // calls of messages that are completed
		c.Conn.Close()
	}
	l.accounting.start(ledger.CauseTakenOver)
	slog.Info("resumed the state of the previous process", "messages", len(l.entries), "calls", len(h.Calls), "gap", gap)
	return nil
}

// resumeCall waits for the answer to a call that another process made.
func (l *Engine) resumeCall(e *entry, attempt int, from HandoverCall) {
	call, cancel := context.WithCancelCause(context.Background())
	endpoint, p := from.Endpoint, from.InFlightCall
	slot, wait := l.accounting.resumeCall(from), l.routeWaits.forEndpoint(endpoint)
	e.calls = append(e.calls, inFlight{attempt: attempt, cancel: cancel, portable: true, recorded: true, slot: slot})
	wait.callBegan()
	a := Attempt{ID: e.saved.ID, Class: e.saved.Class, Destination: e.saved.Extras.RequestedDestination(e.saved.Dest), Number: attempt}
	l.addEffect(effectFree, nil, func() {
		go func() {
			reporter := callReporter{engine: l, wait: wait, handedOver: handedOver{message: a.ID, endpoint: endpoint, attempt: attempt, slot: slot}, messageWritten: true}
			a.HandOver = reporter.handOver
			if wait != nil {
				a.OnRetryAfter = wait.extend
			}
			o := decide.Outcome{Result: decide.Reset} // the call was lost in the handover: it may have run
			if p != nil {
				a.Timeout = time.Until(p.Deadline)
				o = l.resumer.Resume(call, endpoint, p, a)
			}
			reporter.report(&o)
		}()
	})
}
