package decide

import (
	"math"
	"time"
)

const (
	slowStartShare    = 0.75 // of what the fail-back rule allows
	minTotalRate      = 1.0  // calls a second of all senders, whatever is rejected
	minOwnShare       = 0.5  // of the own share: rejections cut no deeper
	overloadShare     = 0.85 // of the equal share: if all keep to it the limit is not used up
	balancedAllowance = 0.5  // share left where all senders together keep to the limit
	scarceAllowance   = 0.2  // with less, a sender keeps to its own share
	ampleAllowance    = 0.7  // with more, it may use the whole limit
	demandRise        = 1.0  // a second: growth of the estimated demand after rejections
	demandDrift       = 0.3  // the same while the allowance is scarce
	maxDemandFactor   = 16   // times the limit: bound of the estimated demand
	limitNoise        = 0.3  // relative differences of reported limits that are smoothed
	rateCut           = 0.7  // of the rate sent, after a rejection
	minCapacityShare  = 0.01 // of a returning route or endpoint
	rateGrowth        = 1.25
	rateWindow        = 3 * time.Second
)

// updatePace computes when a route may be called next, and whether its pace holds back a message now.
func (f *Forwarder) updatePace(r *route, at time.Duration) {
	f.refillTokens(r, at)
	r.currentRate = f.allowedRate(r, at)
	r.nextTokenAt = at
	if r.tokens < 1 && !math.IsInf(r.currentRate, 1) {
		r.nextTokenAt += time.Duration(min((1-r.tokens)/r.currentRate, 1e6) * float64(time.Second))
	}
	held := r.dest.queued > 0 && !r.circuitOpen && at >= r.retryAfter && at < r.nextTokenAt
	r.paceLimited = held || r.paceLimited && at != r.intervalStart
}

// allowedRate is the rate in calls a second at which this sender may call a route.
func (f *Forwarder) allowedRate(r *route, at time.Duration) float64 {
	rate := r.dest.limits.capRate(r.adaptiveRate)
	if equal := f.equalShare(r); equal > 0 {
		staleness := min(1, (at-r.allowanceAt).Seconds()/rateWindow.Seconds())
		left := r.allowanceLeft + (scarceAllowance-r.allowanceLeft)*staleness // in the end the own share
		limit, own := equal*float64(f.settings.Forwarders), f.ownShare(r, at)
		if r.totalDemand > limit { // each sender lets through the same share of its messages
			own = own * limit / r.totalDemand * (balancedAllowance + min(left, ampleAllowance))
			own = max(overloadShare*equal, own)
		} else { // more than the own share while others leave room
			own = max(own, limit*min(1, (left-scarceAllowance)/(ampleAllowance-scarceAllowance)))
		}
		rate = min(rate, own)
	}
	if f.inSlowStart(r, at) {
		capacity := f.slowStartCapacity(at - r.slowStartAt)
		rate = min(rate, slowStartShare*f.settings.OverloadFactor*capacity*f.ownShare(r, at))
	}
	return rate
}

// slowStartCapacity is the share of its capacity that a route has so long after its return.
func (f *Forwarder) slowStartCapacity(age time.Duration) float64 {
	return f.settings.StartCapacity + (1-f.settings.StartCapacity)*float64(age)/float64(f.settings.SlowStart)
}

// endpointCapacity is the same for an endpoint that an operator enabled again.
func (f *Forwarder) endpointCapacity(ep *endpoint) float64 {
	if left := ep.slowStartUntil - f.now; left > 0 {
		return max(f.slowStartCapacity(f.settings.SlowStart-left), minCapacityShare)
	}
	return 1
}

// inSlowStart reports whether a route is returning from an outage.
func (f *Forwarder) inSlowStart(r *route, at time.Duration) bool {
	return r.slowStart && at-r.slowStartAt < f.settings.SlowStart
}

// ownShare is the rate of a route that is this sender's: its equal share of a known limit, or the rate of
// its own messages over the last minute if that is more.
func (f *Forwarder) ownShare(r *route, at time.Duration) float64 {
	span := min(forgetAfter, max(at-f.startedAt, rateWindow))
	own := r.dest.accepted.get(at, forgetAfter) / span.Seconds() / float64(len(r.dest.routes))
	return max(f.equalShare(r), own)
}

// observeAllowance follows a reported limit and estimates the demand of all senders from what is left. All
// get the same reports, so they agree; a falling limit applies at once, as demand stays.
func (f *Forwarder) observeAllowance(r *route, o Outcome) {
	if !o.Allowance.Reported {
		return
	}
	r.allowanceSpentUntil = 0
	if o.Allowance.Rate > 0 && o.Allowance.Remaining < allowanceNearlySpent {
		r.allowanceSpentUntil = f.now + rateWindow
	}
	limit, since := o.Allowance.Rate, min(f.now-r.allowanceAt, rateWindow).Seconds()
	if limit <= 0 {
		r.serverLimit, r.totalDemand = 0, 0
		return
	}
	if r.serverLimit > 0 && math.Abs(limit-r.serverLimit) < limitNoise*r.serverLimit {
		limit = r.serverLimit + (limit-r.serverLimit)/4
	}
	r.serverLimit, r.allowanceLeft, r.allowanceAt = limit, o.Allowance.Remaining, f.now
	rise := demandDrift * min(0, balancedAllowance-r.allowanceLeft)
	if o.Result == Overloaded && o.Allowance.Remaining < allowanceNearlySpent { // rejected calls may use it up, too
		r.allowanceLeft, rise = 0, demandRise // at once: many senders get only one report
	}
	r.totalDemand = min(maxDemandFactor*limit, max(limit, r.totalDemand*math.Exp(since*rise)))
}

// equalShare is an equal share of a route's limit for each sender, or 0 if none is known.
func (f *Forwarder) equalShare(r *route) float64 {
	limit := r.serverLimit
	if limit <= 0 && f.settings.Weights == ExactWeights {
		limit = f.listedWeight(r)
	}
	return limit / float64(f.settings.Forwarders)
}

// cutRate slows a route down after a rejection, once for each burst of rejections.
func (f *Forwarder) cutRate(r *route) {
	r.rejections++
	if f.now < r.nextCutAt {
		return
	}
	r.nextCutAt = f.now + adjustInterval
	sent := r.recentCalls.get(f.now, rateWindow) / rateWindow.Seconds()
	least := max(minOwnShare, oneIf(r.serverLimit > 0)) // allowedRate applies a known limit
	lowest := max(minTotalRate/float64(f.settings.Forwarders), least*f.ownShare(r, f.now))
	r.adaptiveRate = max(lowest, min(r.adaptiveRate, sent)*rateCut)
}
