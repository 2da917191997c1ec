package decide

import (
	"math"
	"time"
)

// destination is a destination and the messages queued for it.
type destination struct {
	id            int
	seq           uint64 // in the order of creation
	limits        *Limits
	routes        []*route
	inFlight      int           // calls
	lastScheduled time.Duration // when it was last sent to
	accepted      decayingCount // messages accepted for it

	connectedLimit   float64       // endpoints that may have a connection
	connectedLimitAt time.Duration // when that was set

	queued     int // messages
	groups     []*group
	delayed    heap[*message] // the queued ones with a notBefore to come
	queuedSeq  uint64         // order in which destinations began to queue
	rank       rank
	eligibleAt time.Duration // not considered before this, unless something happens
	drainTime  time.Duration // estimated time until its last message is sent
	shedStale  bool          // its place in the shed index is not up to date
	expiresAt  time.Duration // it may be removed from then on

	blockedBy suspicion // which quota blocks it
	rotation  rotationShare

	readyIndex, parkedIndex, blockedIndex, expiryIndex int
}

// destination finds a destination, or makes it.
func (f *Forwarder) destination(id int) *destination {
	d := f.destinations[id]
	if d == nil {
		f.seq++
		d = &destination{id: id, seq: f.seq, limits: &f.defaultLimits, connectedLimit: math.Inf(1), delayed: heap[*message]{less: sentBefore, place: delayedIndexOf}}
		f.destinations[id] = d
		f.scheduleExpiry(d)
	}
	if f.settings.Limits != nil { // limits may have changed
		d.limits = f.limitsFor("", id, "")
	}
	return d
}

// scheduleExpiry notes when a destination without endpoints may be removed.
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

// expireDestinations removes the destinations that have had no endpoint, message or call for long.
func (f *Forwarder) expireDestinations() {
	var not []*destination
	for f.expiring.len() > 0 && f.expiring.min().expiresAt < f.now {
		d := f.expiring.pop()
		if f.isExpired(d) {
			delete(f.destinations, d.id)
		} else {
			not = append(not, d)
		}
	}
	for _, d := range not {
		f.scheduleExpiry(d)
	}
	if len(f.shedStale) > 2*len(f.destinations)+64 { // most of them were removed
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

// closeAllIntervals does closeIntervals for all routes of a destination.
func (f *Forwarder) closeAllIntervals(d *destination) {
	for _, r := range d.routes {
		f.closeIntervals(r)
	}
}

// invalidate notes a change at a destination: its pace is computed anew, and it is reconsidered before this
// Step is over.
func (f *Forwarder) invalidate(d *destination) {
	f.rotation.note(d)
	for _, r := range d.routes {
		f.closeIntervals(r)
		f.updatePace(r, f.now)
	}
	f.reconsider(d)
}
