package decide

import "time"

// The indexes keep the cost of a message from growing with the number of destinations
// and queued messages: heaps and search trees replace scans. No decision is made here;
// scan_test.go has the scans that the indexes must agree with.

// nextDestination returns the next destination in fair order: of those at which something may have changed, and of
// those that wait for a quota of suspect calls that has room. It returns nil if there is none.
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

// scheduledBefore is the fair order: the destination with the fewest calls in flight comes first, then the one that
// was scheduled longest ago, then the one that has had messages queued for longest.
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

// rank is the key of the fair order, as of when the destination was last reconsidered.
type rank struct {
	inFlight      int
	lastScheduled time.Duration
	queuedSeq     uint64
}

// reconsider notes that sendFrom must look at a destination again, if messages are queued for it.
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

// parkDestination notes when sendFrom must look at a destination again if nothing changes there, and which quota of
// suspect calls it waits for.
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
