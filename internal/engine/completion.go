package engine

import "time"

// heard forgets messages whose completion notices have arrived.
func (l *Engine) heard(h heard) {
	for _, id := range h.ids {
		if e := l.entries[id]; e != nil {
			l.forget(e)
		}
	}
}

// end carries out a final answer: to the client that still waits for its first
// one, or else as a notice. The journal has it before the platform, so that no
// restart sends a message that its client may have handed in again.
func (l *Engine) end(id string, how byte, wait time.Duration) {
	e := l.entries[id]
	if e == nil || e.ended {
		return
	}
	e.ended = true
	if e.answer != nil {
		answer, text := e.answer, refused(wait)
		if how == 'd' {
			text = rejected("failed")
		}
		l.countAway(e.saved.Class, text.Kind)
		e.answer = nil
		l.journal.Release(e.saved.Size())
		l.leave(e)
		l.add(effectFree, nil, func() { answer <- reply{Answer: text} })
		return
	}
	e.saved.Completion, e.saved.RetryAfter = how, wait
	if how == 'd' {
		l.tellEnd(e, "failed")
		l.endedAs(e, func(t *ClassStats) { t.Failed++ })
	} else {
		l.tellEnd(e, "refused")
		l.endedAs(e, func(t *ClassStats) { t.RefusedAfterAccept++ })
	}
	l.journal.RecordCompletion(id, how, wait)
	if e.acked {
		l.notify(e)
	}
}

func (l *Engine) tellEnd(e *entry, how string) {
	if l.ended != nil {
		l.ended(MessageOutcome{e.saved.ID, e.saved.Class, e.saved.Extras.RequestedDestination(e.saved.Dest), how})
	}
}

// notify hands on the final answer that is owed, after the journal has been written.
func (l *Engine) notify(e *entry) {
	e.ended = true
	to := l.finals[e.saved.Origin]
	if to == nil { // its front is not set up any more
		to = l.finals[""]
	}
	f := Completion{ID: e.saved.ID, Failed: e.saved.Completion == 'd', RetryAfter: e.saved.RetryAfter}
	l.add(effectNotice, e, func() { to.NotifyCompletion(f) })
}
