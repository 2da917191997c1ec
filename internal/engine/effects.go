package engine

import (
	"log/slog"
	"time"

	"scaleroute/internal/decide"
	"scaleroute/internal/journal"
)

// effectKind is what must be on disk before an effect becomes visible outside.
type effectKind int

const (
	effectFree   effectKind = iota // nothing: the effect is independent of the journal
	effectAccept                   // the message: its client is told that it was accepted
	effectSend                     // the record of the attempt, unless the message is safe to repeat: its connection may be written to
	effectNotice                   // the completion, as long as a restart could still send the message
)

// effect is an action that is visible outside and runs once the journal has been written.
type effect struct {
	kind  effectKind
	entry *entry // the message concerned; nil with effectFree
	run   func()
	undo  func() // replaces run if that is not possible; only for effectSend
}

// addEffect adds an effect that runs after the journal has been written.
func (l *Engine) addEffect(kind effectKind, e *entry, run func()) {
	l.effects = append(l.effects, effect{kind: kind, entry: e, run: run})
}

// runEffects runs the effects of this Step, once its records are as durable as configured.
func (l *Engine) runEffects() {
	for _, effect := range l.effects {
		effect.run()
	}
	clear(l.effects)
	l.effects = l.effects[:0]
}

// runFreeEffects runs the effects that need not wait for the journal, and leaves the others.
func (l *Engine) runFreeEffects() {
	waiting := l.effects[:0]
	for _, effect := range l.effects {
		if effect.kind == effectFree {
			effect.run()
		} else {
			waiting = append(waiting, effect)
		}
	}
	clear(l.effects[len(waiting):])
	l.effects = waiting
}

// runWithoutJournal handles effects while the journal can't be written: no message is accepted, and no attempt is made that a restart must know
// of.
func (l *Engine) runWithoutJournal(effects []effect) {
	now := time.Now()
	for _, effect := range effects {
		switch effect.kind {
		case effectAccept:
			l.revokeAcceptance(effect.entry)
		case effectSend:
			if l.mayRepeat(effect.entry.saved.Class) {
				effect.run()
			} else {
				effect.undo()
			}
		case effectNotice:
			if now.Before(effect.entry.saved.Deadline) {
				l.journalFailure.notices = append(l.journalFailure.notices, effect)
			} else {
				effect.run()
			}
		default:
			effect.run()
		}
	}
}

// mayRepeat reports whether messages of a class may run any number of times.
func (l *Engine) mayRepeat(class string) bool {
	c, known := l.classes[class]
	return known && c.Effect == decide.Idempotent
}

// revokeAcceptance answers a message that could not be recorded: it is refused, so that its client may submit it again, unless a restart might
// find it in the journal; then it is rejected.
func (l *Engine) revokeAcceptance(e *entry) {
	answer := refused(storageRetryAfter)
	if l.journal.MayBeOnDisk(e.saved) {
		answer = rejected("it could not be recorded for certain")
	}
	l.countTurnedAway(e.saved.Class, answer.Kind)
	slog.Warn("a message was turned away because it can't be recorded in the journal", "id", e.saved.ID, "answer", answer.Kind)
	l.withdraw(e)
	e.unconfirmed <- reply{Answer: answer}
}

// withdraw drops a message whose client was never told that it was accepted.
func (l *Engine) withdraw(e *entry) {
	l.dropPending(e)
	l.countOutcome(e, func(t *ClassStats) { t.Withdrawn++ })
	l.events = append(l.events, decide.Withdrawn{Message: e.saved.ID})
	l.closeMessage(e, journal.Undelivered)
}
