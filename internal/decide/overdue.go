package decide

import (
	"cmp"
	"slices"
	"time"
)

const (
	minOverdue           = 600 * time.Millisecond // no call is overdue earlier
	lateLatencyFactor    = 4                      // in latencies: overdue; two such calls prove an outage
	lostLatencyFactor    = 7                      // in latencies: one such call proves an outage
	minTimeout           = 1500 * time.Millisecond
	timeoutLatencyFactor = 10  // in latencies: timeout of a message that may be repeated
	longCallFactor       = 4.0 // times cancelAfter: limit for a call to a working route
	lostLongCallFactor   = 1.5 // the same where all long calls were lost
	maxCancelDoublings   = 3   // of the time before a suspect call is cancelled
)

// overdueAfter is the time in flight after which a missing answer is evidence against the route of a call.
func overdueAfter(latency time.Duration) time.Duration {
	return max(minOverdue, lateLatencyFactor*latency)
}

// attemptTimeout is how long to wait for an answer. A message that may be repeated times out well after its
// expected latency; an AtMostOnce message is lost by a timeout, so it waits until its deadline.
func (f *Forwarder) attemptTimeout(m *message, c *call) time.Duration {
	left := m.limitTimeout(m.deadline - f.now)
	if m.class.Effect == AtMostOnce {
		return left
	}
	own := time.Duration(f.classLatencyFactor(m.class) * float64(f.expectedLatency(m.dest.routes)))
	return min(left, max(minTimeout, timeoutLatencyFactor*own))
}

// checkOverdue opens the circuits of routes that have become unresponsive.
func (f *Forwarder) checkOverdue() {
	for _, r := range f.routesToCheck() {
		if silent, next := f.checkUnresponsive(r); silent {
			f.openCircuit(r, "silent")
			f.invalidate(r.dest)
		} else if next < never {
			r.overdueAt = next
			f.overdue.fix(r)
		}
	}
}

// checkNewCalls does the same after the calls of this Step, and schedules a Step for the next overdue call.
func (f *Forwarder) checkNewCalls() {
	f.checkOverdue()
	if f.overdue.len() > 0 {
		f.waitUntil(f.overdue.min().overdueAt)
	}
}

// checkUnresponsive reports whether a route no longer answers, and when its next call becomes overdue.
func (f *Forwarder) checkUnresponsive(r *route) (silent bool, next time.Duration) {
	latency := cmp.Or(r.meanLatency, assumedLatency)
	late, overdue := 0, 0
	next = never
	for _, c := range r.inFlight {
		if at := c.sentAt + overdueAfter(latency); f.now < at {
			next = min(next, at)
			break // calls sent later are overdue later
		}
		f.countLoss(c)
		if c.sentAt <= r.lastSuccessSentAt {
			continue // a later call was answered: the route is responsive
		}
		late++
		overdue++
		if at := c.sentAt + max(2*minOverdue, lostLatencyFactor*latency); f.now < at {
			next = min(next, at)
		} else {
			late++
		}
	}
	if overdue > 0 {
		f.markUnresponsive(r)
	}
	if late >= 2 {
		r.outageEvidence = max(r.outageEvidence, float64(overdue))
	}
	return late >= 2, next
}

// cancelAfter is how long a call may be in flight when slots are short. It is longer for a message that could
// not be refused afterwards; a deduplicated one keeps time for a repeat within its window.
func (f *Forwarder) cancelAfter(m *message, latency time.Duration) time.Duration {
	own := time.Duration(float64(latency) * f.classLatencyFactor(m.class))
	short, long := lateLatencyFactor*own, max(2*minOverdue, lostLatencyFactor*own)
	switch {
	case m.class.Effect == AtMostOnce:
		return long
	case m.class.Effect == Deduplicated && m.class.DedupPerZone:
		return max(short, min(long, m.class.DedupWindow/4))
	}
	return short
}

// freeSlots cancels the most overdue call when slots run out, so that lost calls do not block the others. A
// call with a message that must not be repeated gets more time, since cancelling loses the message.
func (f *Forwarder) freeSlots() {
	if !f.settings.MayCancel {
		return
	}
	if f.inFlight.size < f.settings.Slots {
		f.cancelSuspects(f.blocked[untested].len())
		return
	}
	if f.cancelSuspects(1) {
		return
	}
	var mostOverdue *call
	maxRatio := 1.0
	for c := f.inFlight.first; c != nil; c = c.next {
		if soonest := c.sentAt + minOverdue; soonest > f.now && soonest >= f.nextWakeAt {
			break // no later call is overdue before the next Step
		}
		latency, limit := f.expectedLatency(c.route.dest.routes), minOverdue
		for _, a := range c.attempts {
			limit = max(limit, f.cancelAfter(a.message, latency))
		}
		if r := c.route; !r.circuitOpen && c.sentAt <= r.lastSuccessSentAt { // it is slow rather than lost
			lost := f.longCallLoss.get(f.now, forgetAfter)
			factor := longCallFactor - (longCallFactor-lostLongCallFactor)*lost
			limit = time.Duration(float64(limit) * factor)
		}
		ratio := float64(f.now-c.sentAt) / float64(limit)
		if !c.cancelled && !f.waitUntil(c.sentAt+limit) && ratio >= maxRatio {
			mostOverdue, maxRatio = c, ratio
		}
	}
	if mostOverdue != nil {
		f.cancelCall(mostOverdue)
	}
}

// cancelSuspects cancels overdue suspect calls while destinations wait for their slots. It cancels only calls
// of idempotent messages, and gives a route more time after each cancellation.
func (f *Forwarder) cancelSuspects(need int) (freed bool) {
	for c := f.inFlight.first; c != nil && need > 0; c = c.next {
		if soonest := c.sentAt + minOverdue; soonest > f.now && soonest >= f.nextWakeAt {
			break
		}
		if c.suspicion == notSuspect || slices.ContainsFunc(c.attempts, (*attempt).notIdempotent) {
			continue
		}
		if c.cancelled { // its slot will be free soon
			need--
			continue
		}
		latency := cmp.Or(c.route.meanLatency, f.meanLatency, assumedLatency)
		if !f.waitUntil(c.sentAt + overdueAfter(latency)<<min(c.route.cancelledCalls, maxCancelDoublings)) {
			c.route.cancelledCalls++
			f.markUnresponsive(c.route)
			f.cancelCall(c)
			freed = true
			need--
		}
	}
	return freed
}
