package decide

import (
	"math"
	"time"
)

const (
	maxRetries           = 3        // of one message
	halfFailingShare     = 0.5      // of unclear outcomes: opens the circuit and holds unsafe messages
	stopLatencyFactor    = 3        // latencies that must be left before the host stops
	routeQuota           = 0.5      // of the slots: calls to one route
	suspectQuota         = 0.75     // calls to all suspect routes
	occupiedQuota        = 0.25     // below it a suspect route may have several calls
	unresponsiveQuota    = 1.0 / 8  // calls to unresponsive routes
	scarceQuota          = 1.0 / 32 // the same while over half of the slots are in use
	minUnresponsiveCalls = 8        // or so many calls, if that is more
)

// routeEligibleAt is when any message may go to a route: the part of eligibility that all of them share.
func (f *Forwarder) routeEligibleAt(r *route) (earliest time.Duration) {
	f.closeIntervals(r)
	paced := min(r.nextTokenAt, r.intervalStart+adjustInterval) // the pace may rise then
	switch {
	case f.now < r.retryAfter:
		return r.retryAfter
	case r.circuitOpen && r.probesInFlight > 0, r.dest.limits.callsFull(len(r.inFlight)):
		return never
	case r.circuitOpen:
		return max(f.nextProbeAt(r), r.dest.limits.rateEligibleAt(paced))
	case len(r.inFlight) >= max(2, int(routeQuota*float64(f.settings.Slots))):
		return never
	case f.now < r.nextTokenAt:
		return paced
	}
	return f.now
}

// suspicionBound is which quota of suspect calls applies to one more call to a route.
func (r *route) suspicionBound() suspicion {
	if r.suspicion != notSuspect && !r.circuitOpen && len(r.inFlight) > 0 {
		return occupied
	}
	return r.suspicion
}

// suspectSlotFree reports whether a quota has room for one more suspect call. Unresponsive routes leave
// slots to the others; each gets one call before any gets a second beyond a few; and those known to be
// unresponsive leave most of the room to untested ones.
func (f *Forwarder) suspectSlotFree(kind suspicion) bool {
	quota, slots := suspectQuota, float64(f.settings.Slots)
	switch kind {
	case notSuspect:
		return true
	case occupied:
		quota = occupiedQuota
	}
	limit := unresponsiveQuota
	if 2*f.inFlight.size > f.settings.Slots {
		limit = scarceQuota
	}
	if kind != untested && f.suspectCalls[unresponsive] >= max(minUnresponsiveCalls, int(limit*slots)) {
		return false
	}
	return f.suspectCalls[untested]+f.suspectCalls[unresponsive] < int(math.Ceil(quota*slots))
}

// sendEligibleAt is when a message may go to an endpoint, as far as the two decide; no send bypasses it.
// Times are checked first: a condition that may end must not hide when the wait for time ends.
func (f *Forwarder) sendEligibleAt(m *message, ep *endpoint) (earliest time.Duration) {
	r, class := ep.route, m.class
	switch {
	case m.completed || m.inFlight > 0 && !m.hedging || f.attemptsExhausted(m) || f.now >= m.answerBy,
		ep.state != Active || r.dest != m.dest || m.inFlightTo(ep) || !m.filter.permits(ep),
		m.mayHaveRun && !isRepeatable(m, ep),
		m.keyQueue != nil && m.keyQueue.first != m:
		return never
	}
	earliest = m.earliest()
	if m.sends > 0 && !r.circuitOpen {
		earliest = max(earliest, r.allowanceSpentUntil)
	}
	if class.Effect == AtMostOnce {
		// An unclear outcome would lose it: it waits, and leaves probes to repeatable messages.
		earliest = max(earliest, r.unclearShare.until(recentWindow, halfFailingShare))
		if r.circuitOpen {
			earliest = max(earliest, f.nextProbeAt(r)+maxProbeInterval)
		}
	}
	switch {
	case earliest > f.now:
		return earliest
	case m.sends > 0 && !r.circuitOpen && m.retryGrant == nil && !f.retryBudgetLeft(r):
		return never
	case f.stopsAt < never && f.now+stopLatencyFactor*f.expectedLatency(m.dest.routes) > f.stopsAt:
		return never // the host would stop before the answer comes
	}
	return earliest
}

// attemptsExhausted reports whether no further attempt at a message is allowed.
func (f *Forwarder) attemptsExhausted(m *message) bool {
	return f.fenced || m.sends > maxRetries || m.limits.MaxAttempts > 0 && m.attempts >= m.limits.MaxAttempts
}

// isRepeatable reports whether a message that may have run may be sent to an endpoint again in its time.
func isRepeatable(m *message, ep *endpoint) bool {
	e := m.class.Effect
	return e == Idempotent || e == Deduplicated && (!m.class.DedupPerZone || ep.zone == m.runZone)
}
