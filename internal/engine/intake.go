package engine

import (
	"context"
	"sync"
	"time"

	"scaleroute/internal/decide"
	"scaleroute/internal/intake"
	"scaleroute/internal/journal"
	"scaleroute/internal/message"
)

// reply is the answer to a message handed in, and the entry that was accepted, if any.
type reply struct {
	Answer
	entry *entry
}

// answers are channels for one reply each; one that may still get its reply does not come back.
var answers = sync.Pool{New: func() any { return make(chan reply, 1) }}

// Take takes a message on or turns it away. It waits until that is decided,
// which is soon: the loop waits for nothing outside.
func (l *Engine) Accept(m *message.Message) Answer {
	answer := answers.Get().(chan reply)
	l.tell(arrival{m, answer})
	var a reply
	select {
	case a = <-answer:
		answers.Put(answer)
	case <-l.done:
		// The loop may have taken the message on just before it ended. To refuse it then would let the
		// client hand it in again beside the copy that the next start takes from the journal.
		select {
		case a = <-answer:
		default:
			a = reply{Answer: refused(0)}
		}
	}
	if a.entry != nil {
		a.ConfirmWritten = func(ok bool) { l.tell(ackWritten{a.entry, ok}) }
	}
	return a.Answer
}

func refused(wait time.Duration) Answer { return Answer{Kind: Refused, RetryAfter: wait} }

func rejected(why string) Answer { return Answer{Kind: Rejected, Reason: why} }

func (l *Engine) arrive(a arrival) {
	m := a.msg
	turnAway := func(answer Answer) {
		l.countAway(m.Class, answer.Kind)
		a.answer <- reply{Answer: answer}
	}
	class, known := l.classes[m.Class]
	switch e := l.entries[m.ID]; {
	case e != nil && e.acked: // handed in twice: it is held already
		turnAway(Answer{Kind: Accepted})
		return
	case e != nil: // whether that one is taken on is still open, and not for this client to say
		turnAway(rejected("handed in twice at once"))
		return
	// What can't be delivered is not refused: that asks the client to come again.
	case !known:
		turnAway(rejected("unknown class"))
		return
	case !l.dests[m.Destination]:
		turnAway(rejected("unknown destination"))
		return
	}
	left, limits := min(m.TimeLeft, class.Deadline), Limits{}
	if l.limits != nil {
		limits = l.limits(m.Class, m.Destination, m.Extras.RouteName())
	}
	if limits.Total > 0 {
		left = min(left, limits.Total)
	}
	s := &journal.MessageState{ID: m.ID, Origin: m.Origin, Class: m.Class, Dest: m.Destination, Body: m.Body, Extras: m.Extras,
		Deadline: m.ReadAt.Add(left - intakeSlack)}
	if limits.Queued > 0 && !l.caps.Admits(intake.Cap{Rule: limits.Rule, Destination: m.Destination}, limits.Queued) {
		turnAway(refused(diskWait))
		return
	}
	if !l.shares.Admits(m.Destination, s.Cost(), l.journal.Usage(), len(l.dests)) {
		turnAway(refused(diskWait))
		return
	}
	room, err := l.journal.Reserve(s.Size())
	if err != nil {
		turnAway(refused(diskWait))
		return
	}
	if !room {
		turnAway(refused(diskWait))
		l.events = append(l.events, decide.StoreFull{})
		return
	}
	e := &entry{answer: a.answer, saved: s}
	l.keep(e)
	l.arrived = append(l.arrived, e)
	l.events = append(l.events, decide.Message{ID: m.ID, Class: m.Class, Destination: m.Destination,
		TimeLeft: time.Until(s.Deadline), FromFailedForwarder: m.Resubmitted, ClientRetry: m.Repeat, Filter: among(m.Extras), Route: m.Extras.RouteName()})
}

// among is what the module is told of a message's endpoints.
func among(x *message.Extras) *decide.EndpointFilter {
	if x == nil || len(x.Only)+len(x.Prefer) == 0 {
		return nil
	}
	return &decide.EndpointFilter{Only: x.Only, Prefer: x.Prefer}
}

// acked goes on with what waited until the client had its +OK.
func (l *Engine) acked(ctx context.Context, a ackWritten) {
	e := a.entry
	if e.acked || l.entries[e.saved.ID] != e {
		return
	}
	e.acked = true
	switch {
	case !a.ok: // the client will hand it in again: nothing is owed
		l.withdraw(e)
	case e.saved.Completion != 0:
		l.notify(e)
	default:
		pending := e.pending
		e.pending = nil
		for _, s := range pending {
			l.send(ctx, s)
		}
	}
}
