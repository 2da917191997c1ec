package decide

import "time"

const (
	lossWeight           = 1.0 / 8 // weight of one call in loss and failure shares
	unclearWeight        = 0.2     // weight of one call in the share of unclear outcomes
	rejectionsPerFailure = 2.0     // so many weigh as much as one failure
	probeShare           = 0.5     // of what a cold route may get: probes of all senders together
	minProbeInterval     = 300 * time.Millisecond
	maxProbeInterval     = 1500 * time.Millisecond
	unspacedSenders      = 4.0 // so many may each probe at maxProbeInterval; more space their probes out
	maxOutageEvidence    = 3   // failures in a row that always open a circuit
	probesToClose        = 2   // successful ones that close a circuit
	secondProbe          = 0.1 // of the interval between probes: from a successful one to the next
)

// recordOutcome updates the state of a call's route and endpoint from its outcome.
func (f *Forwarder) recordOutcome(r *route, c *call, o Outcome) {
	switch o.Result {
	case Succeeded, Rejected, Errored, Overloaded:
		f.clearSuspicion(r)
	case TimedOut:
		if c.sentAt > r.lastSuccessSentAt {
			f.markUnresponsive(r)
		}
	}
	if f.isLongCall(c, o) {
		f.longCallLoss.record(f.now, forgetAfter, lossWeight, oneIf(!o.Result.answered()))
	}
	if o.Result == TimedOut && c.shortTimeout { // its message ran out of time: nobody's failure
		if c.isProbe {
			r.lastProbeAt = f.now
		}
		return
	}
	if o.Result == Reset || o.Result == TimedOut {
		f.countLoss(c)
	} else if !c.lossCounted && o.Result != ConnectFailed {
		f.idleLoss[c.idleStep].record(f.now, forgetAfter, idleLossWeight, 0)
	}
	good := o.Result.answered()
	if o.Result == Cancelled {
		return
	}
	f.observeAllowance(r, o)
	r.outcomes++
	unclear := oneIf(!good && o.Result != Overloaded && o.Result != ConnectFailed)
	r.unclearShare.record(f.now, recentWindow, unclearWeight, unclear)
	if o.Result != TimedOut { // a timeout is mostly the route's failure, not the endpoint's
		c.endpoint.failureShare.record(f.now, forgetAfter, lossWeight, unclear)
	}
	if good {
		f.recordSuccess(r, c, o.Latency)
	} else {
		f.recordFailure(r, c, o)
	}
}

// recordFailure updates them after a failure or rejection, and opens the circuit if it has to be.
func (f *Forwarder) recordFailure(r *route, c *call, o Outcome) {
	r.failures++
	if r.consecutiveFailures == 0 {
		r.failingSince = c.sentAt
	}
	weight := 1.0
	if o.Result == Overloaded {
		weight = 1 / rejectionsPerFailure
	}
	r.consecutiveFailures += weight
	if c.sentAt > r.lastSuccessSentAt {
		r.outageEvidence += weight
	}
	if o.Result == ConnectFailed {
		c.endpoint.idleSince = nil
		if r.lastSuccessAt > f.now-recentWindow { // its connection table is full; it is not down
			_, r.dest.connectedLimit, _ = f.connectionStats(r.dest.routes)
			r.dest.connectedLimitAt = f.now
		}
	}
	if f.avoidFailingEndpoint(r, c.endpoint, o.Result) {
		return
	}
	if c.isProbe || r.circuitOpen {
		f.scheduleProbe(r)
		return
	}
	switch {
	case o.RetryAfter > 0 && o.RetryAfter >= f.settings.OverloadOutage && f.settings.OverloadOutage > 0:
		f.openCircuit(r, "shut")
	case r.consecutiveFailures >= f.outageThreshold(r):
		f.openCircuit(r, "failing")
	case r.unclearShare.get(f.now, recentWindow) > halfFailingShare:
		r.needsSlowStart = true // a partial outage is one, too
		f.openCircuit(r, "half failing")
	case o.Result == Overloaded:
		f.cutRate(r)
	}
}

// recordSuccess does so for an answered call.
func (f *Forwarder) recordSuccess(r *route, c *call, took time.Duration) {
	r.successes++
	r.recentSuccesses.add(f.now, recentWindow)
	r.consecutiveFailures = 0
	c.endpoint.consecutiveFailures, c.endpoint.avoidUntil = 0, 0
	r.lastSuccessAt, r.lastSuccessSentAt = f.now, max(r.lastSuccessSentAt, c.sentAt)
	f.observeLatency(c, took)
	if !r.circuitOpen {
		r.outageEvidence = 0
		return
	}
	if c.isProbe {
		r.successfulProbes++
		r.lastProbeAt, r.probeJitter = f.now, secondProbe
	}
	if !r.needsSlowStart || r.successfulProbes >= probesToClose {
		f.closeCircuit(r)
	}
}

// outageThreshold is how many failures in a row make an outage: one more than half of the recent successes.
// A sender with little traffic to a route cannot wait for many.
func (f *Forwarder) outageThreshold(r *route) float64 {
	return min(maxOutageEvidence, 1+r.recentSuccesses.get(f.now, recentWindow)/2)
}

// avoidFailingEndpoint avoids an endpoint for a while if it fails while others of its route work, and
// reports whether it does: then the failure does not count against the route.
func (f *Forwarder) avoidFailingEndpoint(r *route, ep *endpoint, result Result) (avoided bool) {
	ep.consecutiveFailures++
	routeWorks := !r.circuitOpen && r.lastSuccessAt > f.now-recentWindow
	if result == Overloaded || ep.consecutiveFailures < 2 || !routeWorks {
		return false
	}
	for _, other := range r.endpoints {
		if other != ep && other.state == Active && other.consecutiveFailures == 0 {
			ep.avoidUntil = f.now + min(minProbeInterval<<min(ep.consecutiveFailures, 4), 4*maxProbeInterval)
			return true
		}
	}
	return false
}

// openCircuit stops all calls to a route but probes.
func (f *Forwarder) openCircuit(r *route, why string) {
	f.closeIntervals(r)
	r.circuitOpen, r.openReason, r.slowStart = true, why, false
	if r.probeInterval == 0 || f.now-r.closedAt > recentWindow { // else the back-off goes on
		r.probeInterval = minProbeInterval / 2
	}
	if r.consecutiveFailures == 0 {
		r.failingSince = f.now
	}
	f.scheduleProbe(r)
	for _, ep := range r.endpoints {
		if ep.state == Active && f.idleConnections(ep) > 0 { // a new connection tells dead from busy
			f.closeIdleConnections(ep)
		}
	}
}

// scheduleProbe backs off the next probe after a failure.
func (f *Forwarder) scheduleProbe(r *route) {
	r.probeInterval = min(2*r.probeInterval, maxProbeInterval)
	r.needsSlowStart = r.needsSlowStart || r.outageEvidence >= f.outageThreshold(r)
	r.successfulProbes, r.lastProbeAt, r.probeJitter = 0, f.now, 0.5+f.rng.Float64()
}

// nextProbeAt is when an open route may get its next probe. All senders probe it: so as not to overload it
// on its return each does so at the rate of its own messages in the outage, or its equal share of a limit,
// times the capacity that a returning route has for probes; from a retry-after time on too, as all got it.
func (f *Forwarder) nextProbeAt(r *route) time.Duration {
	capacity := max(probeShare*f.settings.OverloadFactor*f.settings.StartCapacity, minCapacityShare)
	earliest := max(r.lastProbeAt, r.retryAfter)
	outage := earliest - r.failingSince
	came := float64(r.dest.queued) - r.probeJitter/capacity // less those since the last probe
	own := float64(outage) / (capacity * max(1, came, f.equalShare(r)*outage.Seconds()))
	longest := float64(maxProbeInterval) * float64(f.settings.Forwarders) / unspacedSenders
	interval := max(float64(r.probeInterval), min(own, longest))
	return earliest + time.Duration(r.probeJitter*interval)
}

// closeCircuit resumes normal calls to a route, with a slow start after an outage.
func (f *Forwarder) closeCircuit(r *route) {
	r.circuitOpen, r.openReason, r.consecutiveFailures, r.closedAt = false, "", 0, f.now
	r.unclearShare.value = 0
	r.slowStart, r.slowStartAt, r.needsSlowStart = r.needsSlowStart, f.now, false
	r.tokens, r.tokensAt, r.nextCutAt = 0, f.now, f.now
	f.invalidateOverdue(r)
}
