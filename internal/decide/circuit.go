package decide

import "time"

const (
	lossWeight          = 1.0 / 8 // weight of one call in loss and failure shares
	unclearWeight       = 0.2     // weight of one call in the share of unclear outcomes
	overloadsPerFailure = 2.0     // so many overload refusals weigh as much as one failure
	probeShare          = 0.5     // of what a cold route may get: probes of all forwarders together
	minProbeInterval    = 300 * time.Millisecond
	maxProbeInterval    = 1500 * time.Millisecond
	unspacedForwarders  = 4.0 // with more, each may probe less often than every maxProbeInterval
	maxOutageEvidence   = 3   // so many failures in a row always open a circuit
	probesToClose       = 2   // so many successful probes close a circuit
	secondProbeDelay    = 0.1 // from a successful probe to the next, as a share of the interval
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
	if o.Result == TimedOut && c.shortTimeout { // its message ran out of time: not a failure of the route
		if c.isProbe {
			r.lastProbeAt = f.now
		}
		return
	}
	if o.Result == Reset || o.Result == TimedOut {
		f.countLoss(c)
	} else if !c.lossCounted && o.Result != ConnectFailed {
		f.lossByIdleTime[c.idleStep].record(f.now, forgetAfter, idleLossWeight, 0)
	}
	answered := o.Result.answered()
	if o.Result == Cancelled {
		return
	}
	f.observeAllowance(r, o)
	r.outcomes++
	unclear := oneIf(!answered && o.Result != Overloaded && o.Result != ConnectFailed)
	r.unclearShare.record(f.now, recentWindow, unclearWeight, unclear)
	if o.Result != TimedOut { // a timeout is mostly the route's failure, not the endpoint's
		c.endpoint.failureShare.record(f.now, forgetAfter, lossWeight, unclear)
	}
	if answered {
		f.recordSuccess(r, c, o.Latency)
	} else {
		f.recordFailure(r, c, o)
	}
}

// recordFailure updates them after a failure or overload refusal, and opens the circuit if need be.
func (f *Forwarder) recordFailure(r *route, c *call, o Outcome) {
	r.failures++
	if r.consecutiveFailures == 0 {
		r.failingSince = c.sentAt
	}
	weight := 1.0
	if o.Result == Overloaded {
		weight = 1 / overloadsPerFailure
	}
	r.consecutiveFailures += weight
	if c.sentAt > r.lastSuccessSentAt {
		r.outageEvidence += weight
	}
	if o.Result == ConnectFailed {
		c.endpoint.idleSince = nil
		if r.lastSuccessAt > f.now-recentWindow { // its connection table is full, it is not down
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
		r.needsSlowStart = true // a partial outage counts as an outage
		f.openCircuit(r, "half failing")
	case o.Result == Overloaded:
		f.cutRate(r)
	}
}

// recordSuccess updates them after a call that was answered, and closes the circuit if it may be.
func (f *Forwarder) recordSuccess(r *route, c *call, latency time.Duration) {
	r.successes++
	r.recentSuccesses.add(f.now, recentWindow)
	r.consecutiveFailures = 0
	c.endpoint.consecutiveFailures, c.endpoint.avoidUntil = 0, 0
	r.lastSuccessAt, r.lastSuccessSentAt = f.now, max(r.lastSuccessSentAt, c.sentAt)
	f.observeLatency(c, latency)
	if !r.circuitOpen {
		r.outageEvidence = 0
		return
	}
	if c.isProbe {
		r.successfulProbes++
		r.lastProbeAt, r.probeJitter = f.now, secondProbeDelay
	}
	if !r.needsSlowStart || r.successfulProbes >= probesToClose {
		f.closeCircuit(r)
	}
}

// outageThreshold is how many failures in a row make an outage: one more than half of the recent successes,
// up to maxOutageEvidence. A forwarder with little traffic to a route cannot wait for many failures.
func (f *Forwarder) outageThreshold(r *route) float64 {
	return min(maxOutageEvidence, 1+r.recentSuccesses.get(f.now, recentWindow)/2)
}

// avoidFailingEndpoint avoids an endpoint for a while if it fails while others of its route work. It reports
// whether it does: the failure then does not count against the route.
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

// openCircuit opens the circuit of a route: it gets only probes from then on.
func (f *Forwarder) openCircuit(r *route, why string) {
	f.closeIntervals(r)
	r.circuitOpen, r.openReason, r.slowStart = true, why, false
	if r.probeInterval == 0 || f.now-r.closedAt > recentWindow { // else the back-off continues
		r.probeInterval = minProbeInterval / 2
	}
	if r.consecutiveFailures == 0 {
		r.failingSince = f.now
	}
	f.scheduleProbe(r)
	for _, ep := range r.endpoints {
		if ep.state == Active && f.idleConnections(ep) > 0 { // a new one tells a dead from a busy endpoint
			f.closeIdleConnections(ep)
		}
	}
}

// scheduleProbe schedules the next probe after a failure, with back-off.
func (f *Forwarder) scheduleProbe(r *route) {
	r.probeInterval = min(2*r.probeInterval, maxProbeInterval)
	r.needsSlowStart = r.needsSlowStart || r.outageEvidence >= f.outageThreshold(r)
	r.successfulProbes, r.lastProbeAt, r.probeJitter = 0, f.now, 0.5+f.rng.Float64()
}

// nextProbeAt is when a route with an open circuit may get its next probe. All forwarders probe it. Not to
// overload it on its return, each probes at the rate of its own messages in the outage, or its equal share of
// a limit, times the share of capacity left for probes; after a retry-after time too, since all got it.
func (f *Forwarder) nextProbeAt(r *route) time.Duration {
	capacity := max(probeShare*f.settings.OverloadFactor*f.settings.StartCapacity, minCapacityShare)
	earliest := max(r.lastProbeAt, r.retryAfter)
	outage := earliest - r.failingSince
	arrived := float64(r.dest.queued) - r.probeJitter/capacity // less those since the last probe
	ownInterval := float64(outage) / (capacity * max(1, arrived, f.equalShare(r)*outage.Seconds()))
	longest := float64(maxProbeInterval) * float64(f.settings.Forwarders) / unspacedForwarders
	interval := max(float64(r.probeInterval), min(ownInterval, longest))
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
