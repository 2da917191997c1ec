package decide

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// call is a request to an endpoint that carries one or more attempts and occupies one slot.
type call struct {
	route        *route
	endpoint     *endpoint
	sentAt       time.Duration
	pending      int // attempts without an outcome
	attempts     []*attempt
	isProbe      bool
	cancelled    bool      // cancellation requested
	lossCounted  bool      // countLoss has counted it
	shortTimeout bool      // its timeout is too short for a timeout to say anything about the route
	idleStep     int       // bucket of the idle time of its connection; 0 for a new connection
	suspicion    suspicion // under which it is counted in suspectCalls

	seq        uint64 // calls are numbered in the order sent
	prev, next *call
}

// startCall begins a call to an endpoint.
func (f *Forwarder) startCall(ep *endpoint) *call {
	r := ep.route
	f.closeAllIntervals(r.dest)
	f.seq++
	c := &call{route: r, endpoint: ep, sentAt: f.now, isProbe: r.circuitOpen, seq: f.seq}
	if n := f.idleConnections(ep); n > 0 { // the host uses the connection that was used last
		c.idleStep = idleStep(f.now - ep.idleSince[n-1])
		ep.idleSince = ep.idleSince[:n-1]
	}
	r.inFlight = append(r.inFlight, c)
	if c.isProbe {
		r.probesInFlight++
	}
	f.refillTokens(r, f.now)
	if !math.IsInf(r.currentRate, 1) {
		r.tokens = max(0, r.tokens-1)
	}
	r.recentCalls.add(f.now, rateWindow)
	r.lastUsedAt = f.now
	r.dest.inFlight++
	f.inFlight.push(c)
	f.invalidateOverdue(r)
	if r.suspicion != notSuspect {
		f.countSuspect(c)
	}
	ep.inFlight++
	r.weighted = slices.ContainsFunc(r.endpoints, func(o *endpoint) bool { return o.share != ep.share })
	r.virtualTime = ep.nextVirtualDue()
	ep.virtualDue = r.virtualTime + 1/ep.share
	ep.recentCalls.add(f.now, max(f.settings.ConnIdle, 1))
	ep.lastScheduled = f.now
	return c
}

// startAttempt adds an attempt at a message to a call and counts it.
func (f *Forwarder) startAttempt(m *message, c *call) {
	r := c.route
	r.totalAttempts++
	if m.sends == 0 {
		r.totalFirstAttempts++
		r.firstAttempts.add(f.now, recentWindow)
	} else {
		r.retries.add(f.now, recentWindow)
	}
	if m.retryGrant != nil {
		m.retryGrant.reservedRetries--
		m.retryGrant = nil
	}
	a := &attempt{number: m.attempts, message: m, call: c}
	m.latest, m.earlier, m.recovered = a, m.latest, false
	c.attempts = append(c.attempts, a)
	m.attempts++
	m.sends++
	m.inFlight++
	c.pending++
	f.dequeue(m)
}

// endAttempt removes an attempt from its call, and reports whether it was the last one and the call has ended.
func (f *Forwarder) endAttempt(a *attempt, result Result) (last bool) {
	c := a.call
	a.message.inFlight--
	c.pending--
	last = c.pending == 0
	if last {
		f.endCall(c)
		if result.answered() || result == Errored || result == Overloaded || result == NotSent {
			c.endpoint.idleSince = append(c.endpoint.idleSince, f.now) // the host keeps its connection
		}
	}
	f.invalidateOverdue(c.route)
	return last
}

// endCall removes a call from all lists and counts of calls in flight.
func (f *Forwarder) endCall(c *call) {
	r := c.route
	r.inFlight = withoutItem(r.inFlight, c)
	r.dest.inFlight--
	if c.isProbe {
		r.probesInFlight--
	}
	f.inFlight.remove(c)
	f.uncountSuspect(c)
	c.endpoint.inFlight--
}

// cancelCall has the host cancel all attempts of a call.
func (f *Forwarder) cancelCall(c *call) {
	c.cancelled = true
	for _, a := range c.attempts {
		f.emit(Cancel{Message: a.message.id, Attempt: a.number})
	}
}

// isLongCall reports whether a call that has ended was in flight for unusually long although its route answers
// later calls. Both answered calls and those given up by timeout or cancelCall are meant.
func (f *Forwarder) isLongCall(c *call, o Outcome) bool {
	return c.sentAt <= c.route.lastSuccessSentAt && f.now-c.sentAt > max(2*minOverdue, lostLatencyFactor*cmp.Or(c.route.meanLatency, assumedLatency)) &&
		(o.Result.answered() || o.Result == TimedOut || o.Result == Cancelled && c.cancelled)
}

// suspicion says why a route may be unresponsive. Calls in flight are counted under that of their route.
type suspicion int8

const (
	notSuspect   suspicion = iota
	untested               // the route has not answered yet
	unresponsive           // calls to the route are overdue
	occupied               // only for quotas: a suspect route that has a call in flight
	suspicionKinds
)

// markUnresponsive counts the calls to a route as suspect from now on.
func (f *Forwarder) markUnresponsive(r *route) {
	if r.suspicion == unresponsive {
		return
	}
	r.suspicion = unresponsive
	for _, c := range r.inFlight {
		f.countSuspect(c)
	}
	f.reconsider(r.dest)
}

// clearSuspicion undoes markUnresponsive, since the route has answered.
func (f *Forwarder) clearSuspicion(r *route) {
	r.suspicion, r.cancelledCalls = notSuspect, 0
	for _, c := range r.inFlight {
		f.uncountSuspect(c)
	}
}

// countSuspect counts a call under the suspicion of its route.
func (f *Forwarder) countSuspect(c *call) {
	if c.suspicion == notSuspect {
		c.suspicion = c.route.suspicion
		f.suspectCalls[c.suspicion]++
	}
}

// uncountSuspect undoes countSuspect.
func (f *Forwarder) uncountSuspect(c *call) {
	if c.suspicion != notSuspect {
		f.suspectCalls[c.suspicion]--
		c.suspicion = notSuspect
	}
}

// invalidateOverdue notes that overdueAt of a route must be recomputed.
func (f *Forwarder) invalidateOverdue(r *route) {
	if !r.overdueStale {
		r.overdueStale = true
		f.overdueStale = append(f.overdueStale, r)
	}
}

// routesToCheck returns the routes on which a call may have become overdue, in the order in which their oldest
// calls in flight were sent.
func (f *Forwarder) routesToCheck() []*route {
	for f.overdue.len() > 0 && f.overdue.min().overdueAt <= f.now {
		f.invalidateOverdue(f.overdue.pop())
	}
	list := f.overdueStale
	f.overdueStale = nil
	n := 0
	for _, r := range list {
		r.overdueStale = false
		f.overdue.remove(r)
		if !r.circuitOpen && len(r.inFlight) > 0 {
			list[n] = r
			n++
		}
	}
	list = list[:n]
	slices.SortFunc(list, func(a, b *route) int { return cmp.Compare(a.inFlight[0].seq, b.inFlight[0].seq) })
	return list
}

// observeLatency updates the mean latency of a call's route and the latency factors of its messages' classes.
func (f *Forwarder) observeLatency(c *call, latency time.Duration) {
	r := c.route
	for _, a := range c.attempts {
		factor := f.classLatencyFactor(a.message.class)
		if r.meanLatency > 0 {
			factor += (min(lateLatencyFactor, float64(latency)/float64(r.meanLatency)) - factor) / 64
		}
		f.latencyFactor[a.message.class] = factor
	}
	r.meanLatency = movingMean(r.meanLatency, latency, 8)
	f.meanLatency = movingMean(f.meanLatency, latency, 64)
}

// classLatencyFactor returns the latency of a class relative to the mean of the route; 1 if it is not known.
func (f *Forwarder) classLatencyFactor(class *Class) float64 {
	if p, ok := f.latencyFactor[class]; ok {
		return p
	}
	return 1
}
