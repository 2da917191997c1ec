package decide

import (
	"math"
	"time"
)

const (
	slowStartShare    = 0.75 // of the rate at which a returning route would be overloaded
	minTotalRate      = 1.0  // calls a second of all forwarders; refusals cut no deeper
	minOwnShare       = 0.5  // of the own share: overload refusals cut no deeper
	overloadShare     = 0.85 // of the equal share: if all keep to it, the limit is not used up
	balancedAllowance = 0.5  // share left where all forwarders together keep to the limit
	scarceAllowance   = 0.2  // with less left, a forwarder keeps to its own share
	ampleAllowance    = 0.7  // with more left, it may use the whole limit
	demandRise        = 1.0  // a second: growth of the estimated demand after a refusal
	demandDrift       = 0.3  // a second: its fall, times the share left above balancedAllowance
	maxDemandFactor   = 16   // bound of the estimated demand, as a multiple of the limit
	limitNoise        = 0.3  // reported limits with smaller relative differences are smoothed
	rateCut           = 0.7  // of the rate sent, after an overload refusal
	minCapacityShare  = 0.01 // lower bound for a returning route or endpoint
	rateGrowth        = 1.25 // after an interval without overload refusals
	rateWindow        = 3 * time.Second
)

// updatePace computes when a route may be called next, and whether its pace delays a message now.
func (f *Forwarder) updatePace(r *route, at time.Duration) {
	f.refillTokens(r, at)
	r.currentRate = f.allowedRate(r, at)
	r.nextTokenAt = at
	if r.tokens < 1 && !math.IsInf(r.currentRate, 1) {
		r.nextTokenAt += time.Duration(min((1-r.tokens)/r.currentRate, 1e6) * float64(time.Second))
	}
	limited := r.dest.queued > 0 && !r.circuitOpen && at >= r.retryAfter && at < r.nextTokenAt
	r.paceLimited = limited || r.paceLimited && at != r.intervalStart
}

// allowedRate is the rate in calls a second at which this forwarder may call a route.
func (f *Forwarder) allowedRate(r *route, at time.Duration) float64 {
	rate := r.dest.limits.capRate(r.adaptiveRate)
	if equal := f.equalShare(r); equal > 0 {
		staleness := min(1, (at-r.allowanceAt).Seconds()/rateWindow.Seconds())
		left := r.allowanceLeft + (scarceAllowance-r.allowanceLeft)*staleness // in the end the own share
		limit, own := equal*float64(f.settings.Forwarders), f.ownShare(r, at)
		if r.totalDemand > limit { // each forwarder sends the same share of its messages
			own = own * limit / r.totalDemand * (balancedAllowance + min(left, ampleAllowance))
			own = max(overloadShare*equal, own)
		} else { // more than the own share while others leave some
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

// slowStartCapacity is the share of its capacity that a route has at a time after its return.
func (f *Forwarder) slowStartCapacity(age time.Duration) float64 {
	return f.settings.StartCapacity + (1-f.settings.StartCapacity)*float64(age)/float64(f.settings.SlowStart)
}

// endpointCapacity is the same for an endpoint that an operator has re-enabled; 1 for any other.
func (f *Forwarder) endpointCapacity(ep *endpoint) float64 {
	if left := ep.slowStartUntil - f.now; left > 0 {
		return max(f.slowStartCapacity(f.settings.SlowStart-left), minCapacityShare)
	}
	return 1
}

// inSlowStart reports whether a route is in the slow start after an outage.
func (f *Forwarder) inSlowStart(r *route, at time.Duration) bool {
	return r.slowStart && at-r.slowStartAt < f.settings.SlowStart
}

// ownShare is the part of a route's rate that this forwarder uses: its equal share of a known limit, or the
// rate of its own messages over the last minute if that is higher.
func (f *Forwarder) ownShare(r *route, at time.Duration) float64 {
	span := min(forgetAfter, max(at-f.startedAt, rateWindow))
	own := r.dest.accepted.get(at, forgetAfter) / span.Seconds() / float64(len(r.dest.routes))
	return max(f.equalShare(r), own)
}

// observeAllowance follows a reported limit, and estimates the demand of all forwarders from what is left of
// it. All get the same reports, so they agree. A falling limit applies at once, as the demand stays.
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
	if o.Result == Overloaded && o.Allowance.Remaining < allowanceNearlySpent { // refused calls may use it up
		r.allowanceLeft, rise = 0, demandRise // at once: many forwarders get only one report
	}
	r.totalDemand = min(maxDemandFactor*limit, max(limit, r.totalDemand*math.Exp(since*rise)))
}

// equalShare is each forwarder's equal share of the limit of a route, or 0 if no limit is known.
func (f *Forwarder) equalShare(r *route) float64 {
	limit := r.serverLimit
	if limit <= 0 && f.settings.Weights == ExactWeights {
		limit = f.listedWeight(r)
	}
	return limit / float64(f.settings.Forwarders)
}

// cutRate lowers the rate of a route after an overload refusal, once for each burst of them.
func (f *Forwarder) cutRate(r *route) {
	r.overloads++
	if f.now < r.nextCutAt {
		return
	}
	r.nextCutAt = f.now + adjustInterval
	sent := r.recentCalls.get(f.now, rateWindow) / rateWindow.Seconds()
	least := max(minOwnShare, oneIf(r.serverLimit > 0)) // allowedRate applies a known limit anyway
	lowest := max(minTotalRate/float64(f.settings.Forwarders), least*f.ownShare(r, f.now))
	r.adaptiveRate = max(lowest, min(r.adaptiveRate, sent)*rateCut)
}
