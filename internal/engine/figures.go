package engine

import (
	"sync/atomic"
	"time"

	"scaleroute/internal/decide"
)

// publishWithin is how old the published figures may be while something changes.
const publishWithin = 50 * time.Millisecond

// Figures is what an Engine has counted since its start, as of one moment: what was taken is open, delivered, handed back, failed or
// withdrawn. Nobody changes it.
type Figures struct {
	Classes   map[string]Tally
	Relayed   uint64 // messages written whole to endpoints, each attempt counted
	Open      int    // messages taken and not ended
	Listed    int    // endpoints in the list
	OutOfCall int    // those of them that are not called now, by hand or by choice
}

// Tally is what became of the messages of one class.
type Tally struct {
	Taken      uint64 // on: +OK, or about to be
	Fulfilled  uint64 // delivered
	TurnedAway uint64 // refused before they were taken on
	HandedBack uint64 // refused after that
	Spurned    uint64 // failed before they were taken on
	Faulted    uint64 // failed after that
	Withdrawn  uint64 // their clients had left, or the platform wants them no more
	HandedOver uint64 // to another process, which counts them as taken
}

// counts is where the loop counts.
type counts struct {
	on        bool // somebody asks
	classes   map[string]*Tally
	relayed   atomic.Uint64
	wrote     func() // counts one more of those
	open      int
	changed   bool
	at        time.Time // published then
	published atomic.Pointer[Figures]
}

// init begins to count, where the engine before in the same process stopped.
func (c *counts) init(on bool, classes []decide.Class, before *Figures) {
	c.on, c.classes = on, map[string]*Tally{}
	for _, class := range classes {
		c.classes[class.Name] = &Tally{}
	}
	if before != nil {
		c.relayed.Store(before.Relayed)
		for name, t := range before.Classes {
			t.Taken, t.HandedOver = t.Taken-t.HandedOver, 0 // they are taken again
			c.classes[name] = &t
		}
	}
	c.wrote = func() { c.relayed.Add(1) }
	c.published.Store(&Figures{})
}

// of is the tally of a class. What names no class that there is has one that nobody sees.
func (c *counts) of(class string) *Tally {
	c.changed = true
	if t := c.classes[class]; t != nil {
		return t
	}
	return &Tally{}
}

// Figures returns what was published last. It may be called from any goroutine, and waits for nothing.
func (l *Engine) Figures() *Figures { return l.counts.published.Load() }

// publish publishes the figures if they have changed and are old enough, or tells how long that is off.
func (l *Engine) publish(now time.Time, always bool) (left time.Duration) {
	c := &l.counts
	if !c.on {
		return 0
	}
	if left = publishWithin - now.Sub(c.at); left > 0 && !always {
		return left
	}
	f := &Figures{Classes: make(map[string]Tally, len(c.classes)), Relayed: c.relayed.Load(), Open: c.open}
	for name, t := range c.classes {
		f.Classes[name] = *t
	}
	f.Listed, f.OutOfCall = l.module.Rotation()
	c.at, c.changed = now, false
	c.published.Store(f)
	return 0
}

// endedAs counts the end of a message that was taken on.
func (l *Engine) endedAs(e *entry, count func(*Tally)) {
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
	l.counts.of(e.saved.Class).Taken++
}

// countAway counts a message that was turned away at once.
func (l *Engine) countAway(class string, kind Kind) {
	switch kind {
	case Refused:
		l.counts.of(class).TurnedAway++
	case Rejected:
		l.counts.of(class).Spurned++
	}
}
