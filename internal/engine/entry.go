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

// entry is a message that the engine has not closed.
type entry struct {
	saved       *journal.MessageState
	attempts    int              // attempts decided so far, and not pending
	answer      chan<- reply     // where its client waits for the answer; nil once it is answered
	unconfirmed chan<- reply     // the same while the message is accepted but not yet on disk
	acked       bool             // the client has received +OK
	pending     []pendingAttempt // attempts that can't be made yet, in order
	sendBy      time.Time        // deadline for the first byte of the latest attempt; zero for none
	calls       []inFlight       // at most two: an attempt and a hedged request
	completed   bool             // answered, or its completion notice is due
	counted     bool             // counted in Stats.Open
	cost        int64            // bytes counted in fairShare
	cap         intake.Cap       // the rule it is counted under, if any
}

// pendingAttempt is a decided attempt, with the endpoint that its target's name stood for when it was decided: another endpoint may have the name by
// the time that the attempt can be made.
type pendingAttempt struct {
	decide.Send
	caller Caller // nil: none was listed
}

// inFlight is a call in flight.
type inFlight struct {
	attempt  int
	cancel   context.CancelCauseFunc
	portable bool // it can be handed over to another process
	recorded bool // the journal says that it may run
	slot     *ledger.CallCounter
}

// findCall returns the call in flight of an attempt, or nil.
func (e *entry) findCall(attempt int) *inFlight {
	for i := range e.calls {
		if e.calls[i].attempt == attempt {
			return &e.calls[i]
		}
	}
	return nil
}

// removeCall removes a call from those in flight, releases its context and returns it. One that is not in flight counts as recorded: it belongs to an
// earlier message with the same ID.
func (e *entry) removeCall(attempt int) (removed inFlight) {
	removed.recorded = true
	e.calls = slices.DeleteFunc(e.calls, func(c inFlight) bool {
		if c.attempt == attempt {
			c.cancel(nil)
			removed = c
		}
		return c.attempt == attempt
	})
	return removed
}

// enqueue adds a message and counts it against its destination's share and limit.
func (l *Engine) enqueue(e *entry) {
	l.entries[e.saved.ID] = e
	if !l.mayRepeat(e.saved.Class) {
		l.notRepeatable++
	}
	e.cost = e.saved.Cost()
	l.fairShare.Add(e.saved.Dest, e.cost)
	l.notifyQueueChange(e.saved.Dest, true)
	if l.limits == nil {
		return
	}
	if i := l.limits(e.saved.Class, e.saved.Dest, e.saved.Extras.RouteName()); i.Queued > 0 {
		e.cap = intake.Cap{Rule: i.Rule, Destination: e.saved.Dest}
		l.caps.Add(e.cap, 1)
	}
}

// dequeue removes a message and releases what enqueue counted.
func (l *Engine) dequeue(e *entry) {
	delete(l.entries, e.saved.ID)
	if !l.mayRepeat(e.saved.Class) {
		l.notRepeatable--
	}
	l.fairShare.Add(e.saved.Dest, -e.cost)
	l.notifyQueueChange(e.saved.Dest, false)
	if e.cap.Rule != "" {
		l.caps.Add(e.cap, -1)
	}
}

// closeMessage closes a message that needs no further call or notice. The ID of one that may have run and must not run again is remembered.
func (l *Engine) closeMessage(e *entry, outcome journal.CompletedOutcome) {
	if e.saved.PossiblyRan() && !l.mayRepeat(e.saved.Class) {
		l.journal.RecordCompleted(e.saved.ID, outcome)
	} else {
		l.journal.RecordClosed(e.saved.ID)
	}
	l.dequeue(e)
}
