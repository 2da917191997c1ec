package engine

import (
	"sync/atomic"
	"time"

	"scaleroute/internal/decide"
)

// publishWithin is how old the published figures may be while something changes.
const publishWithin = 50 * time.Millisecond

// Stats is what an Engine has counted since its start, as of one moment: what was taken is open, delivered, handed back, failed or
// withdrawn. Nobody changes it.
type Stats struct {
	Classes       map[string]ClassStats
	Relayed       uint64 // messages written whole to endpoints, each attempt counted
	Open          int    // messages taken and not ended
	Listed        int    // endpoints in the list
	OutOfRotation int    // those of them that are not called now, by hand or by choice
}

// ClassStats is what became of the messages of one class.
type ClassStats struct {
	Accepted           uint64 // on: +OK, or about to be
	Delivered          uint64 // delivered
	RefusedAtIntake    uint64 // refused before they were taken on
	RefusedAfterAccept uint64 // refused after that
	RejectedAtIntake   uint64 // failed before they were taken on
	Failed             uint64 // failed after that
	Withdrawn          uint64 // their clients had left, or the platform wants them no more
	HandedOver         uint64 // to another process, which counts them as taken
}

// counts is where the loop counts.
type counts struct {
	on        bool // somebody asks
	classes   map[string]*ClassStats
	relayed   atomic.Uint64
	wrote     func() // counts one more of those
	open      int
	changed   bool
	at        time.Time // published then
	published atomic.Pointer[Stats]
}

// init begins to count, where the engine before in the same process stopped.
func (c *counts) init(on bool, classes []decide.Class, before *Stats) {
	c.on, c.classes = on, map[string]*ClassStats{}
	for _, class := range classes {
		c.classes[class.Name] = &ClassStats{}
	}
	if before != nil {
		c.relayed.Store(before.Relayed)
		for name, t := range before.Classes {
			t.Accepted, t.HandedOver = t.Accepted-t.HandedOver, 0 // they are taken again
			c.classes[name] = &t
		}
	}
	c.wrote = func() { c.relayed.Add(1) }
	c.published.Store(&Stats{})
}

// of is the tally of a class. What names no class that there is has one that nobody sees.
func (c *counts) of(class string) *ClassStats {
	c.changed = true
	if t := c.classes[class]; t != nil {
		return t
	}
	return &ClassStats{}
}

// Stats returns what was published last. It may be called from any goroutine, and waits for nothing.
func (l *Engine) Stats() *Stats { return l.counts.published.Load() }

// publish publishes the figures if they have changed and are old enough, or tells how long that is off.
func (l *Engine) publish(now time.Time, always bool) (left time.Duration) {
	c := &l.counts
	if !c.on {
		return 0
	}
	if left = publishWithin - now.Sub(c.at); left > 0 && !always {
		return left
	}
	f := &Stats{Classes: make(map[string]ClassStats, len(c.classes)), Relayed: c.relayed.Load(), Open: c.open}
	for name, t := range c.classes {
		f.Classes[name] = *t
	}
	f.Listed, f.OutOfRotation = l.module.Rotation()
	c.at, c.changed = now, false
	c.published.Store(f)
	return 0
}

// endedAs counts the end of a message that was taken on.
func (l *Engine) endedAs(e *entry, count func(*ClassStats)) {
	if e.counted {
		e.counted = false
		l.counts.open--
		count(l.counts.of(e.saved.Class))
	}
}

// taken counts one that is.
func (l *Engine) taken(e *entry) {
	e.counted = true
	l.counts.open++
	l.counts.of(e.saved.Class).Accepted++
}

// countAway counts a message that was turned away at once.
func (l *Engine) countAway(class string, kind AnswerKind) {
	switch kind {
	case Refused:
		l.counts.of(class).RefusedAtIntake++
	case Rejected:
		l.counts.of(class).RejectedAtIntake++
	}
}
