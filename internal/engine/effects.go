package engine

import (
	"context"
	"log/slog"
	"time"

	"scaleroute/internal/decide"
)

// effectKind is what an effect needs to be on disk before it shows outside.
type effectKind int

const (
	effectFree   effectKind = iota // nothing: it may show whatever the journal does
	effectAccept                   // the message: its client hears that it was accepted
	effectSend                     // that an attempt is about to be made, unless it may be repeated
	effectNotice                   // the final answer, as long as a restart could still send the message
)

// effect is something that shows outside once the journal has been written.
type effect struct {
	kind  effectKind
	entry *entry // that it is about; nil with effectFree
	show  func()
	undo  func(context.Context) // in place of show, where it can't be: of an attempt
}

// add has something show outside after the journal has been written.
func (l *Engine) add(kind effectKind, e *entry, show func()) {
	l.effects = append(l.effects, effect{kind: kind, entry: e, show: show})
}

// showEffects lets what this Step came to show outside, once it is as durable as was promised.
func (l *Engine) showEffects() {
	for _, effect := range l.effects {
		effect.show()
	}
	clear(l.effects)
	l.effects = l.effects[:0]
}

// showWithoutRecords does with effects what can be done though the journal keeps no records: nothing is promised, and nothing is begun
// that a restart must know of.
func (l *Engine) showWithoutRecords(ctx context.Context, effects []effect) {
	now := time.Now()
	for _, effect := range effects {
		switch effect.kind {
		case effectAccept:
			l.revokeAcceptance(effect.entry)
		case effectSend:
			if l.mayRepeat(effect.entry) {
				effect.show()
			} else {
				effect.undo(ctx)
			}
		case effectNotice:
			if now.Before(effect.entry.saved.Deadline) {
				l.failing.notices = append(l.failing.notices, effect)
			} else {
				effect.show()
			}
		default:
			effect.show()
		}
	}
}

// mayRepeat reports whether an attempt that a restart does not know of does no harm.
func (l *Engine) mayRepeat(e *entry) bool {
	return l.classes[e.saved.Class].Effect == decide.Idempotent
}

// revokeAcceptance answers a message that could not be recorded: with a rejection that its client may hand in again after, unless a restart
// might find it.
func (l *Engine) revokeAcceptance(e *entry) {
	answer := refused(diskWait)
	if l.journal.MayBeOnDisk(e.saved) {
		answer = rejected("it could not be recorded for certain")
	}
	l.countAway(e.saved.Class, answer.Kind)
	slog.Warn("a message is rejected: it can't be recorded", "id", e.saved.ID, "answer", answer.Kind)
	l.withdraw(e)
	e.revoked <- reply{Answer: answer}
}

// withdraw forgets a message whose client was never told that it was accepted.
func (l *Engine) withdraw(e *entry) {
	l.unsendPending(e)
	l.endedAs(e, func(t *ClassStats) { t.Withdrawn++ })
	l.events = append(l.events, decide.Withdrawn{Message: e.saved.ID})
	l.forget(e)
}
