package decide

import (
	"math"
	"time"
)

// destination is the state of a destination and the messages queued for it.
type destination struct {
	id            int
	seq           uint64 // destinations are numbered in the order of creation
	limits        *Limits
	routes        []*route
	inFlight      int           // calls in flight
	lastScheduled time.Duration // when a call to it was last begun
	accepted      decayingCount // messages accepted for it

	connectedLimit   float64       // how many endpoints may have a connection
	connectedLimitAt time.Duration // when connectedLimit was set

	queued     int // number of messages
	groups     []*group
	delayed    heap[*message] // the queued messages whose earliest time is to come
	queuedSeq  uint64         // destinations are numbered in the order in which they began to queue
	rank       rank
	eligibleAt time.Duration // not reconsidered before this, unless something changes
	drainTime  time.Duration // estimated time until all its queued messages are sent
	shedStale  bool          // its place in the shed index is not up to date
	expiresAt  time.Duration // when it may be removed

	blockedBy suspicion // the quota of suspect calls that blocks it
	rotation  rotationCounts

	readyIndex, parkedIndex, blockedIndex, expiryIndex int
}

// destination returns the destination with an id, and creates it if need be.
func (f *Forwarder) destination(id int) *destination {
	d := f.destinations[id]
	if d == nil {
		f.seq++
		d = &destination{id: id, seq: f.seq, limits: &f.defaultLimits, connectedLimit: math.Inf(1), delayed: heap[*message]{less: eligibleBefore, indexOf: delayedIndexOf}}
		f.destinations[id] = d
		f.scheduleExpiry(d)
	}
	if f.settings.Limits != nil { // the operator may have changed them
		d.limits = f.limitsFor("", id, "")
	}
	return d
}

// scheduleExpiry schedules the removal of a destination, if it has no endpoints.
func (f *Forwarder) scheduleExpiry(d *destination) {
	d.expiresAt = 0
	for _, r := range d.routes {
		if len(r.endpoints) > 0 {
			return
		}
		d.expiresAt = max(d.expiresAt, r.lastUsedAt+forgetAfter)
	}
	if len(d.routes) == 0 {
		d.expiresAt = d.lastScheduled + forgetAfter
	}
	f.expiring.fix(d)
}

// expireDestinations removes the destinations that had no endpoint, message or call for forgetAfter.
func (f *Forwarder) expireDestinations() {
	var kept []*destination
	for f.expiring.len() > 0 && f.expiring.min().expiresAt < f.now {
		d := f.expiring.pop()
		if f.isExpired(d) {
			delete(f.destinations, d.id)
		} else {
			kept = append(kept, d)
		}
	}
	for _, d := range kept {
		f.scheduleExpiry(d)
	}
	if len(f.shedStale) > 2*len(f.destinations)+64 { // most of these destinations were removed
		f.forEachSheddable(func(*group) {})
	}
}

// isExpired reports whether a destination may be removed.
func (f *Forwarder) isExpired(d *destination) bool {
	for _, r := range d.routes {
		if len(r.endpoints)+len(r.inFlight) > 0 || f.now < r.retryAfter || f.now-r.lastUsedAt <= forgetAfter {
			return false
		}
	}
	return d.queued == 0 && (len(d.routes) > 0 || f.now-d.lastScheduled > forgetAfter)
}

// closeAllIntervals calls closeIntervals for all routes of a destination.
func (f *Forwarder) closeAllIntervals(d *destination) {
	for _, r := range d.routes {
		f.closeIntervals(r)
	}
}

// invalidate notes a change at a destination: the pace of its routes is recomputed, and the destination is
// reconsidered before this Step is over.
func (f *Forwarder) invalidate(d *destination) {
	f.rotation.markStale(d)
	for _, r := range d.routes {
		f.closeIntervals(r)
		f.updatePace(r, f.now)
	}
	f.reconsider(d)
}
