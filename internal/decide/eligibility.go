package decide

import (
	"math"
	"time"
)

const (
	maxRetries           = 3        // of one message
	halfFailingShare     = 0.5      // of unclear outcomes: opens the circuit and delays AtMostOnce messages
	stopLatencyFactor    = 3        // so many latencies must be left before the host stops
	routeQuota           = 0.5      // share of the slots for calls to one route
	suspectQuota         = 0.75     // share for calls to all suspect routes
	occupiedQuota        = 0.25     // within this share a suspect route may have several calls
	unresponsiveQuota    = 1.0 / 8  // share for calls to unresponsive routes
	scarceQuota          = 1.0 / 32 // the same while over half of the slots are in use
	minUnresponsiveCalls = 8        // lower bound of these two, in calls
)

// routeEligibleAt returns when the state of a route allows a call, whatever the message.
func (f *Forwarder) routeEligibleAt(r *route) (earliest time.Duration) {
	f.closeIntervals(r)
	paced := min(r.nextTokenAt, r.intervalStart+adjustInterval) // by then the pace may have risen
	switch {
	case f.now < r.retryAfter:
		return r.retryAfter
	case r.circuitOpen && r.probesInFlight > 0, r.dest.limits.inFlightFull(len(r.inFlight)):
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

// suspicionBound returns which quota of suspect calls applies to one more call to a route.
func (r *route) suspicionBound() suspicion {
	if r.suspicion != notSuspect && !r.circuitOpen && len(r.inFlight) > 0 {
		return occupied
	}
	return r.suspicion
}

// suspectSlotFree reports whether a quota has room for one more suspect call. Suspect routes leave slots to
// the others; beyond a few calls, each gets one before any gets a second; and routes known to be
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

// sendEligibleAt returns when a message may be sent to an endpoint, as far as the two decide; no send
// bypasses it. Times are checked first: a condition that may end any time must not hide when a wait ends.
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
		// An unclear outcome would lose the message: it waits, and leaves probes to repeatable ones.
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

// isRepeatable reports whether a message that may have run may be sent again to an endpoint, in its time.
func isRepeatable(m *message, ep *endpoint) bool {
	e := m.class.Effect
	return e == Idempotent || e == Deduplicated && (!m.class.DedupPerZone || ep.zone == m.runZone)
}
