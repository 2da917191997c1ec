package engine

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"scaleroute/internal/decide"
)

// maxStatsAge is how old the published statistics may be while counters change.
const maxStatsAge = 50 * time.Millisecond

// Stats is an immutable snapshot of what an Engine has counted since its start. Each accepted message is open, or counted as delivered, refused,
// failed, withdrawn or handed over.
type Stats struct {
	Classes       map[string]ClassStats
	Relayed       uint64            // messages completely written to endpoints; each attempt counts
	Open          int               // messages accepted and not completed
	Withheld      map[string]uint64 // attempts whose message was not written once their connection was ready, by reason
	Listed        int               // listed endpoints
	OutOfRotation int               // listed endpoints that are not called now: disabled, within a retry-after time, or failing
}

// ClassStats counts the messages of one class by outcome.
type ClassStats struct {
	Accepted           uint64 // answered with +OK, or about to be
	Delivered          uint64 // a call delivered it
	RefusedAtIntake    uint64 // refused instead of accepted
	RefusedAfterAccept uint64 // refused after they were accepted
	RejectedAtIntake   uint64 // rejected instead of accepted
	Failed             uint64 // failed after they were accepted
	Withdrawn          uint64 // the client disconnected, or the platform no longer needs the message
	HandedOver         uint64 // to another process, which counts them as accepted
}

// counters are the loop's counters behind Stats.
type counters struct {
	enabled      bool // statistics are published
	classes      map[string]*ClassStats
	relayed      atomic.Uint64
	countRelayed func() // increments relayed
	withheld     withheldCounts
	onWithheld   func(reason string) // counts in withheld
	open         int
	changed      bool
	publishedAt  time.Time // time of the last publication
	published    atomic.Pointer[Stats]
}

// init starts counting, continuing from the statistics of the previous engine in the same process.
func (c *counters) init(on bool, classes []decide.Class, before *Stats) {
	c.enabled, c.classes = on, map[string]*ClassStats{}
	for _, class := range classes {
		c.classes[class.Name] = &ClassStats{}
	}
	if before != nil {
		c.relayed.Store(before.Relayed)
		c.withheld.byReason = maps.Clone(before.Withheld)
		for name, t := range before.Classes {
			t.Accepted, t.HandedOver = t.Accepted-t.HandedOver, 0 // handed-over messages are accepted again
			c.classes[name] = &t
		}
	}
	c.countRelayed = func() { c.relayed.Add(1) }
	c.onWithheld = c.withheld.add
	c.published.Store(&Stats{})
}

// withheldCounts counts the attempts whose message was not written, by reason. Backs report few reasons, as constants.
type withheldCounts struct {
	mu       sync.Mutex
	byReason map[string]uint64
}

func (c *withheldCounts) add(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byReason == nil {
		c.byReason = map[string]uint64{}
	}
	c.byReason[reason]++
}

func (c *withheldCounts) snapshot() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.byReason)
}

// class returns the counters of a class. For an unknown class they are discarded.
func (c *counters) class(class string) *ClassStats {
	c.changed = true
	if t := c.classes[class]; t != nil {
		return t
	}
	return &ClassStats{}
}

// Stats returns the latest published snapshot. It may be called from any goroutine and does not block.
func (l *Engine) Stats() *Stats { return l.counters.published.Load() }

// publishStats publishes the statistics if the last ones are old enough, or always; otherwise it returns the time until they are.
func (l *Engine) publishStats(now time.Time, always bool) (left time.Duration) {
	c := &l.counters
	if !c.enabled {
		return 0
	}
	if left = maxStatsAge - now.Sub(c.publishedAt); left > 0 && !always {
		return left
	}
	f := &Stats{Classes: make(map[string]ClassStats, len(c.classes)), Relayed: c.relayed.Load(), Withheld: c.withheld.snapshot(), Open: c.open}
	for name, t := range c.classes {
		f.Classes[name] = *t
	}
	f.Listed, f.OutOfRotation = l.forwarder.Rotation()
	c.publishedAt, c.changed = now, false
	c.published.Store(f)
	return 0
}

// countOutcome counts the outcome of an accepted message.
func (l *Engine) countOutcome(e *entry, count func(*ClassStats)) {
	if e.counted {
		e.counted = false
		l.counters.open--
		count(l.counters.class(e.saved.Class))
	}
}

// countAccepted counts an accepted message.
func (l *Engine) countAccepted(e *entry) {
	e.counted = true
	l.counters.open++
	l.counters.class(e.saved.Class).Accepted++
}

// countTurnedAway counts a message that was refused or rejected instead of accepted.
func (l *Engine) countTurnedAway(class string, kind AnswerKind) {
	switch kind {
	case Refused:
		l.counters.class(class).RefusedAtIntake++
	case Rejected:
		l.counters.class(class).RejectedAtIntake++
	}
}
