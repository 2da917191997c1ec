package decide

import "time"

// What keeps the cost of a message from growing with the destinations and the
// messages held: heaps and ordered trees in the place of walks. Nothing here
// decides anything; scan_test.go has the walks that it must agree with.

// nextDestination is the next destination in fair order: of those at which something may have changed, and
// of those that wait for a quota of suspect calls, if there is room in it.
func (f *Forwarder) nextDestination() (next *destination) {
	consider := func(h *heap[*destination]) {
		if h.len() > 0 && (next == nil || scheduledBefore(h.min(), next)) {
			next = h.min()
		}
	}
	consider(&f.ready)
	for by := range f.blocked {
		if f.suspectSlotFree(suspicion(by)) {
			consider(&f.blocked[by])
		}
	}
	return next
}

// scheduledBefore is the fair order: fewest calls in flight, scheduled longest ago, queued longest.
func scheduledBefore(a, b *destination) bool {
	switch a, b := a.rank, b.rank; {
	case a.inFlight != b.inFlight:
		return a.inFlight < b.inFlight
	case a.lastScheduled != b.lastScheduled:
		return a.lastScheduled < b.lastScheduled
	default:
		return a.queuedSeq < b.queuedSeq
	}
}

// rank is what a destination is ordered by, as of when it was last reconsidered.
type rank struct {
	inFlight      int
	lastScheduled time.Duration
	queuedSeq     uint64
}

// reconsider notes that a destination must be looked at again.
func (f *Forwarder) reconsider(d *destination) {
	f.parked.remove(d)
	f.unblock(d)
	if d.queued > 0 {
		d.rank = rank{d.inFlight, d.lastScheduled, d.queuedSeq}
		f.ready.fix(d)
	} else {
		f.ready.remove(d)
	}
	f.invalidateShedIndex(d)
}

// parkDestination notes from when on a destination must be looked at again if nothing happens there, and
// which quota it waits for.
func (f *Forwarder) parkDestination(d *destination, eligibleAt time.Duration, bound suspicion) {
	f.ready.remove(d)
	f.unblock(d)
	if d.eligibleAt = eligibleAt; eligibleAt < never {
		f.parked.fix(d)
	}
	if bound != notSuspect {
		d.blockedBy = bound
		f.blocked[bound].fix(d)
	}
}

func (f *Forwarder) unblock(d *destination) {
	if d.blockedIndex != 0 {
		f.blocked[d.blockedBy].remove(d)
	}
}
