package decide

import (
	"math"
	"time"
)

// route is the unit to which a limit, a retry-after time, a circuit breaker, a retry budget and a slow start
// apply: a destination, or one endpoint of it.
type route struct {
	name           string
	dest           *destination
	endpoints      []*endpoint
	inFlight       []*call // in the order sent
	probesInFlight int
	weighted       bool    // its endpoints have different shares
	virtualTime    float64 // for weighted round robin: as of the last call
	lastUsedAt     time.Duration

	retryAfter time.Duration // reported by the server: no call before then

	retryRatio                        float64 // retry budget: retries per first attempt
	firstAttempts, retries            decayingCount
	reservedRetries                   int           // retries granted but not yet sent
	allowanceSpentUntil               time.Duration // no retries until then, unless a report shows that some allowance is left
	intervalStart                     time.Duration // start of the current adjustment interval
	outcomes, failures                int           // in the interval
	overloads, successes              int           // in the interval
	totalFirstAttempts, totalAttempts int           // for Routes

	meanLatency         time.Duration // 0 if none was measured
	unclearShare        decayingMean  // share of outcomes after which a message may have run
	consecutiveFailures float64       // in a row; an overload refusal counts as half
	lastSuccessAt       time.Duration // when the latest success arrived
	lastSuccessSentAt   time.Duration // when the latest successful call was sent
	recentSuccesses     decayingCount
	outageEvidence      float64 // number of calls that failed or are overdue, sent after lastSuccessSentAt

	suspicion      suspicion
	cancelledCalls int // number of suspect calls cancelled since the last answer

	overdueAt    time.Duration // when a call becomes overdue
	overdueIndex int
	overdueStale bool // overdueAt must be recomputed

	circuitOpen      bool
	openReason       string
	closedAt         time.Duration // when the circuit was last closed
	failingSince     time.Duration // when the first of the consecutive failures was sent
	lastProbeAt      time.Duration // when the latest probe ended, or the circuit opened
	probeJitter      float64       // random factor of probeInterval until the next probe
	probeInterval    time.Duration // back-off between probes
	successfulProbes int           // in a row
	needsSlowStart   bool          // when the circuit closes
	slowStart        bool
	slowStartAt      time.Duration // when the slow start began

	adaptiveRate  float64 // calls a second, lowered by overload refusals and raised in intervals without them
	currentRate   float64 // calls a second within all limits, as of tokensAt
	tokens        float64 // of the token bucket as of tokensAt, 1 at most
	tokensAt      time.Duration
	nextTokenAt   time.Duration // when there is a whole token
	paceLimited   bool          // the pace delayed a message in this interval
	nextCutAt     time.Duration // the rate is not cut again before
	recentCalls   decayingCount
	serverLimit   float64       // reported rate limit in calls a second; 0 for none
	allowanceAt   time.Duration // when the limit was reported
	allowanceLeft float64       // share of the limit that was left then
	totalDemand   float64       // estimated calls a second that all forwarders want to make
}

// newRoute creates a route without history.
func (f *Forwarder) newRoute(name string, d *destination) *route {
	return &route{name: name, dest: d, lastSuccessSentAt: -1, retryRatio: initialRetryRatio, intervalStart: f.now, adaptiveRate: math.Inf(1), allowanceLeft: 1,
		lastUsedAt: f.now, currentRate: math.Inf(1), tokens: 1, tokensAt: f.now, nextTokenAt: f.now, suspicion: untested}
}

// resetIfUnused resets a route that was unused for forgetAfter, unless a retry-after time still holds or its
// circuit is open.
func (f *Forwarder) resetIfUnused(r *route) {
	idle := len(r.inFlight) == 0 && r.dest.queued == 0 && !r.circuitOpen && f.now >= r.retryAfter
	if idle && f.now-r.lastUsedAt > forgetAfter {
		fresh := f.newRoute(r.name, r.dest)
		fresh.endpoints, fresh.overdueStale = r.endpoints, r.overdueStale
		fresh.overdueAt, fresh.overdueIndex = r.overdueAt, r.overdueIndex
		*r = *fresh
	}
}

// listedWeight returns the rate limit of a route as its endpoints are listed with it.
func (f *Forwarder) listedWeight(r *route) (w float64) {
	for _, ep := range r.endpoints {
		if ep.state == Active {
			w = max(w, ep.weight)
		}
	}
	return w
}

// allCircuitsOpen reports whether the circuits of all routes are open.
func allCircuitsOpen(routes []*route) bool {
	for _, r := range routes {
		if !r.circuitOpen {
			return false
		}
	}
	return true
}

// expectedLatency returns the mean latency of the slowest of some routes, or assumedLatency if none is known.
func (f *Forwarder) expectedLatency(routes []*route) (t time.Duration) {
	for _, r := range routes {
		t = max(t, r.meanLatency)
	}
	if t == 0 {
		return assumedLatency
	}
	return t
}

// refillTokens adds the tokens that a route has gained since tokensAt.
func (f *Forwarder) refillTokens(r *route, at time.Duration) {
	if math.IsInf(r.currentRate, 1) {
		r.tokens = 1
	} else {
		r.tokens = min(1, r.tokens+r.currentRate*(at-r.tokensAt).Seconds())
	}
	r.tokensAt = at
}
