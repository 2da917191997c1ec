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

// An engine can end so that another one, in another process, goes on where it was: with what the module remembers, and with the calls that are out.

// homeTime is how long calls that can't be handed over have to end before they are called off.
const homeTime = 300 * time.Millisecond

// ErrHandOver is the cause of the end of a call's context when the call is to be handed over.
var ErrHandOver = errors.New("the call goes on in another process")

// InFlightCall is a call that is out, written whole, as another process can go on with it.
type InFlightCall struct {
	Address  string
	Conn     net.Conn // as it is; what was read of it is in Read
	Read     []byte   // of the answer, so far
	Began    time.Time
	Deadline time.Time // when it is not waited for any longer
}

// Portable is a Caller whose calls can be handed over: one whose context ends for ErrHandOver calls Attempt.Keep, or
// ends as any other call.
type Portable interface{ HandsOver() }

// Resumer goes on with calls of another process: with what a Portable's were.
type Resumer interface {
	Resume(ctx context.Context, endpoint string, p *InFlightCall, a Attempt) decide.Outcome
}

// HandoverCall is one that is handed over.
type HandoverCall struct {
	Message   string
	Attempt   int
	Endpoint  string
	LedgerSeq uint64 // the change of the ledger that it was begun under; 0: nothing is kept
	*InFlightCall
}

// Handover is what an engine leaves to the next one besides the journal.
type Handover struct {
	ForwarderState []byte
	Clock          time.Duration // the module's
	SavedAt        time.Time     // when that was its time
	Calls          []HandoverCall
	// Destinations are those that there are, also while their endpoints are away.
	Destinations []int
}

// longestGap bounds what may have passed between two engines: a clock that was set says nothing.
const longestGap = time.Minute

type (
	detach  struct{ done chan<- *Handover }
	cutOff  struct{}
	carried struct { // a call that is handed over
		message, endpoint string
		attempt           int
		pending           *InFlightCall
		slot              *ledger.Slot
	}
)

// leaving is what an engine is at that hands over.
type leaving struct {
	done  chan<- *Handover
	calls []HandoverCall
}

// Detach ends the loop without a call that goes on here, and returns what the next one goes on from. It is called when no message can
// come any more and no list will. nil: the loop has ended by itself.
func (l *Engine) Detach() *Handover {
	done := make(chan *Handover, 1)
	l.tell(detach{done})
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

// detach has the calls come home, and the module start none.
func (l *Engine) detach(v detach) {
	l.leaving = &leaving{done: v.done}
	l.events = append(l.events, decide.Stopping{})
	for _, e := range l.entries {
		l.unsendPending(e)
		for _, c := range e.calls {
			if c.portable {
				c.cancel(ErrHandOver)
			}
		}
	}
	time.AfterFunc(homeTime, func() { l.tell(cutOff{}) })
}

// cutOff calls off what could not be handed over.
func (l *Engine) cutOff() {
	for _, e := range l.entries {
		for _, c := range e.calls {
			c.cancel(nil)
		}
	}
}

// carried notes a call that is handed over. To journal and module it is out.
func (l *Engine) carried(v carried) {
	e := l.entries[v.message]
	if l.leaving == nil || e == nil || !slices.ContainsFunc(e.calls, func(c out) bool { return c.attempt == v.attempt }) {
		v.pending.Conn.Close() // its message is over
		return
	}
	e.callOver(v.attempt)
	v.slot.Carried()
	l.leaving.calls = append(l.leaving.calls, HandoverCall{v.message, v.attempt, v.endpoint, v.slot.Under(), v.pending})
}

// home tells whether all calls are.
func (l *Engine) home() bool {
	for _, e := range l.entries {
		if len(e.calls) > 0 {
			return false
		}
	}
	return true
}

// left hands over, as the last thing that the loop does.
func (l *Engine) left() error {
	if err := l.settle(context.Background()); err != nil {
		return err
	}
	for _, e := range l.entries {
		l.endedAs(e, func(t *ClassStats) { t.HandedOver++ })
	}
	now := time.Now()
	l.leaving.done <- &Handover{ForwarderState: l.module.Save(), Clock: now.Sub(l.clock), SavedAt: now, Calls: l.leaving.calls,
		Destinations: slices.Sorted(maps.Keys(l.dests))}
	return nil
}

// Resume is Recover for an engine that goes on where another one was. An error means that what is left of that one can't be read, and nothing
// has been done.
func (l *Engine) Resume(h *Handover, lists ...List) error {
	memory, err := decide.DecodeState(h.ForwarderState)
	if err != nil {
		return err
	}
	gap := min(max(0, time.Since(h.SavedAt)), longestGap)
	l.clock = time.Now().Add(-h.Clock - gap)
	told := make([]decide.TargetList, len(lists))
	for i, v := range lists {
		l.back.UpdateEndpoints(v)
		told[i] = l.targets(v)
	}
	for _, d := range h.Destinations {
		l.dests[d] = true
	}
	held := l.held()
	actions, calls := l.module.Restore(time.Since(l.clock), memory, told, held)
	for _, a := range actions { // before there is a loop: only ends
		l.act(context.Background(), a)
	}
	type key struct {
		id      string
		attempt int
	}
	known := map[key]HandoverCall{}
	for _, c := range h.Calls {
		known[key{c.Message, c.Attempt}] = c
	}
	for _, m := range held {
		e := l.entries[m.ID]
		if e == nil || e.ended {
			continue
		}
		for _, attempt := range calls[m.ID] {
			k := key{m.ID, attempt}
			c := known[k]
			delete(known, k)
			l.goOn(e, attempt, c)
		}
	}
	for _, c := range known { // of messages that are over
		c.Conn.Close()
	}
	l.acting.start(ledger.TookOver)
	slog.Info("goes on where another process was", "messages", len(l.entries), "calls", len(h.Calls), "gap", gap)
	return nil
}

// goOn waits for the answer to a call that another process made.
func (l *Engine) goOn(e *entry, attempt int, from HandoverCall) {
	call, cancel := context.WithCancelCause(context.Background())
	endpoint, p := from.Endpoint, from.InFlightCall
	slot, told := l.acting.resume(from), l.waits.of(endpoint)
	e.calls = append(e.calls, out{attempt, cancel, true, slot})
	told.began()
	a := Attempt{ID: e.saved.ID, Class: e.saved.Class, Destination: e.saved.Extras.RequestedDestination(e.saved.Dest), Number: attempt}
	l.add(effectFree, nil, func() {
		go func() {
			keep := keeper{l: l, told: told, carried: carried{message: a.ID, endpoint: endpoint, attempt: attempt, slot: slot}, wrote: true}
			a.HandOver = keep.keep
			if told != nil {
				a.OnRetryAfter = told.tell
			}
			o := decide.Outcome{Result: decide.Reset} // lost on the way: it may have run
			if p != nil {
				a.Timeout = time.Until(p.Deadline)
				o = l.resumer.Resume(call, endpoint, p, a)
			}
			keep.over(&o)
		}()
	})
}
