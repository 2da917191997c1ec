package engine

import (
	"context"
	"slices"
	"time"

	"scaleroute/internal/decide"
	"scaleroute/internal/intake"
	"scaleroute/internal/journal"
	"scaleroute/internal/ledger"
)

// entry is a message that the loop holds.
type entry struct {
	saved   *journal.MessageState
	answer  chan<- reply  // its client waits for an answer; nil after that
	revoked chan<- reply  // the same while it is accepted and not on disk
	acked   bool          // the client has its +OK
	pending []decide.Send // decided before that, in order
	sendBy  time.Time     // when the first byte of the attempt decided last is written at the latest; zero: whenever
	calls   []out         // two at most: one, and a second copy
	ended   bool          // a notice is owed, or nothing any more
	counted bool          // among those that are open
	cost    int64         // of the room
	cap     intake.Cap    // under which it is counted, if a rule says so
}

// out is a call that is out.
type out struct {
	attempt  int
	cancel   context.CancelCauseFunc
	portable bool // it can be handed over
	slot     *ledger.Slot
}

// callOver takes a call off those that are out.
func (e *entry) callOver(attempt int) {
	e.calls = slices.DeleteFunc(e.calls, func(c out) bool {
		if c.attempt == attempt {
			c.cancel(nil)
		}
		return c.attempt == attempt
	})
}

func (l *Engine) keep(e *entry) {
	l.entries[e.saved.ID] = e
	e.cost = e.saved.Cost()
	l.shares.Add(e.saved.Dest, e.cost)
	l.holding(e.saved.Dest, true)
	if l.limits == nil {
		return
	}
	if i := l.limits(e.saved.Class, e.saved.Dest, e.saved.Extras.RouteName()); i.Queued > 0 {
		e.cap = intake.Cap{Rule: i.Rule, Destination: e.saved.Dest}
		l.caps.Add(e.cap, 1)
	}
}

func (l *Engine) leave(e *entry) {
	delete(l.entries, e.saved.ID)
	l.shares.Add(e.saved.Dest, -e.cost)
	l.holding(e.saved.Dest, false)
	if e.cap.Rule != "" {
		l.caps.Add(e.cap, -1)
	}
}

// forget closes a message for which nothing is owed any more.
func (l *Engine) forget(e *entry) {
	l.journal.RecordClosed(e.saved.ID)
	l.leave(e)
}
