package engine

import (
	"time"

	"scaleroute/internal/journal"
)

// acknowledge closes messages whose completion notices have arrived.
func (l *Engine) acknowledge(h acknowledged) {
	for _, id := range h.ids {
		if e := l.entries[id]; e != nil {
			l.closeMessage(e, journal.Undelivered)
		}
	}
}

// completeUndelivered answers a message that is refused ('b') or failed ('d'): directly
// if its client still waits for the first answer, otherwise with a completion notice.
// The journal records the completion before the platform learns of it, so that no
// restart sends a message that its client may have submitted again.
func (l *Engine) completeUndelivered(id string, how byte, wait time.Duration) {
	e := l.entries[id]
	if e == nil || e.completed {
		return
	}
	e.completed = true
	if e.answer != nil {
		answer, text := e.answer, refused(wait)
		if how == 'd' {
			text = rejected("failed")
		}
		l.countTurnedAway(e.saved.Class, text.Kind)
		e.answer = nil
		l.journal.Release(e.saved.Size())
		l.dequeue(e)
		l.addEffect(effectFree, nil, func() { answer <- reply{Answer: text} })
		return
	}
	e.saved.Completion, e.saved.RetryAfter = how, wait
	if how == 'd' {
		l.reportOutcome(e, "failed")
		l.countOutcome(e, func(t *ClassStats) { t.Failed++ })
	} else {
		l.reportOutcome(e, "refused")
		l.countOutcome(e, func(t *ClassStats) { t.RefusedAfterAccept++ })
	}
	l.journal.RecordCompletion(id, how, wait)
	if e.acked {
		l.addNotice(e)
	}
}

func (l *Engine) reportOutcome(e *entry, how string) {
	if l.onOutcome != nil {
		l.onOutcome(MessageOutcome{e.saved.ID, e.saved.Class, e.saved.Extras.RequestedDestination(e.saved.Dest), how})
	}
}

// addNotice adds the effect that passes the completion notice on once the journal has been written.
func (l *Engine) addNotice(e *entry) {
	e.completed = true
	notifier := l.notifiers[e.saved.Origin]
	if notifier == nil { // its front is no longer configured
		notifier = l.notifiers[""]
	}
	f := Completion{ID: e.saved.ID, Failed: e.saved.Completion == 'd', RetryAfter: e.saved.RetryAfter}
	l.addEffect(effectNotice, e, func() { notifier.NotifyCompletion(f) })
}
