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

// reply is the answer to a submitted message, with its entry if it was accepted.
type reply struct {
	Answer
	entry *entry
}

// replyChannels pools channels for one reply each. A channel that may still receive a reply is not returned to the pool.
var replyChannels = sync.Pool{New: func() any { return make(chan reply, 1) }}

// Accept accepts a message or turns it away. It blocks until that is decided, which is
// soon: the loop blocks on nothing outside the process.
func (l *Engine) Accept(m *message.Message) Answer {
	answer := replyChannels.Get().(chan reply)
	l.post(arrival{m, answer})
	var a reply
	select {
	case a = <-answer:
		replyChannels.Put(answer)
	case <-l.done:
		// The loop may have accepted the message just before it ended. If it were refused now, the client could
		// submit it again in addition to the copy that the next start recovers from the journal.
		select {
		case a = <-answer:
		default:
			a = reply{Answer: refused(0)}
		}
	}
	if a.entry != nil {
		a.ConfirmWritten = func(ok bool) { l.post(ackWritten{a.entry, ok}) }
	}
	return a.Answer
}

func refused(wait time.Duration) Answer { return Answer{Kind: Refused, RetryAfter: wait} }

func rejected(reason string) Answer { return Answer{Kind: Rejected, Reason: reason} }

func (l *Engine) admit(a arrival) {
	m := a.msg
	turnAway := func(answer Answer) {
		l.countTurnedAway(m.Class, answer.Kind)
		a.answer <- reply{Answer: answer}
	}
	if answer, isDuplicate := l.answerDuplicate(m.ID); isDuplicate {
		turnAway(answer)
		return
	}
	class, known := l.classes[m.Class]
	switch { // a message that can't be delivered is rejected and not refused: a refusal asks the client to try again
	case !known:
		turnAway(rejected("unknown class"))
		return
	case !l.destinations[m.Destination]:
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
		turnAway(refused(storageRetryAfter))
		return
	}
	if !l.fairShare.Admits(m.Destination, s.Cost(), l.journal.Usage(), len(l.destinations)) {
		turnAway(refused(storageRetryAfter))
		return
	}
	reserved, err := l.reserve(s)
	if err != nil {
		turnAway(refused(storageRetryAfter))
		return
	}
	if !reserved {
		turnAway(refused(storageRetryAfter))
		l.events = append(l.events, decide.StoreFull{})
		return
	}
	e := &entry{answer: a.answer, saved: s}
	l.enqueue(e)
	l.arrived = append(l.arrived, e)
	l.events = append(l.events, decide.Message{ID: m.ID, Class: m.Class, Destination: m.Destination,
		TimeLeft: time.Until(s.Deadline), FromFailedForwarder: m.Resubmitted, ClientRetry: m.Repeat, Filter: among(m.Extras), Route: m.Extras.RouteName()})
}

// answerDuplicate returns the answer to a message with the ID of one that is queued, or that is completed and must not run again.
func (l *Engine) answerDuplicate(id string) (answer Answer, isDuplicate bool) {
	if e := l.entries[id]; e != nil {
		if e.acked {
			return Answer{Kind: Accepted}, true
		}
		return rejected("handed in twice at once"), true // the first submission is not confirmed yet, and this client can't confirm it
	}
	switch l.journal.Completed(id) {
	case journal.Delivered:
		return Answer{Kind: Accepted}, true
	case journal.Undelivered:
		return rejected("a message with this id has failed and may have run"), true
	}
	return Answer{}, false
}

// reserve reserves space in the journal for a message, and for its ID if that must be remembered once the message is completed.
func (l *Engine) reserve(s *journal.MessageState) (bool, error) {
	if !l.mayRepeat(s.Class) && !l.journal.HasRoomForID(l.notRepeatable) {
		return false, nil
	}
	return l.journal.Reserve(s.Size())
}

// among returns the restriction and order of a message's endpoints for the Forwarder.
func among(x *message.Extras) *decide.EndpointFilter {
	if x == nil || len(x.Only)+len(x.Prefer) == 0 {
		return nil
	}
	return &decide.EndpointFilter{Only: x.Only, Prefer: x.Prefer}
}

// handleAck continues with what waited for the client's +OK.
func (l *Engine) handleAck(ctx context.Context, a ackWritten) {
	e := a.entry
	if e.acked || l.entries[e.saved.ID] != e {
		return
	}
	e.acked = true
	switch {
	case !a.ok: // the client will submit it again, so it is dropped
		l.withdraw(e)
	case e.saved.Completion != 0:
		l.addNotice(e)
	default:
		l.sendPending(ctx, e)
	}
}
