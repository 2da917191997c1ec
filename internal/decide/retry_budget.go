package decide

import "time"

const (
	initialRetryRatio    = 0.2  // first value and upper bound of retryRatio
	minRetryRatio        = 0.01 // lower bound of retryRatio
	highFailureShare     = 0.3  // above this failure rate the budget is halved
	lowFailureShare      = 0.05 // below it the budget is raised
	retryRatioGrowth     = 0.1
	minOutcomes          = 10  // fewer give no failure rate
	allowanceNearlySpent = 0.1 // with less allowance left there are no retries
)

// closeIntervals closes the adjustment intervals that are over, each at its end. Fewer outcomes than
// minOutcomes are carried over; else the retry budget of a route with few calls would fluctuate.
func (f *Forwarder) closeIntervals(r *route) {
	for f.now-r.intervalStart >= adjustInterval {
		if !r.paceLimited && r.outcomes < minOutcomes && r.nextTokenAt <= r.intervalStart {
			// Idle intervals change nothing: close them all at once.
			f.closeInterval(r, r.intervalStart+(f.now-r.intervalStart)/adjustInterval*adjustInterval)
			return
		}
		f.closeInterval(r, r.intervalStart+adjustInterval)
	}
}

// closeInterval raises the pace after an interval without overload refusals. It halves the retry budget at
// a high failure rate and raises it at a low one.
func (f *Forwarder) closeInterval(r *route, end time.Duration) {
	if r.paceLimited && r.overloads == 0 && r.successes > 0 && !r.circuitOpen && !f.inSlowStart(r, end) {
		r.adaptiveRate *= rateGrowth
	}
	r.overloads, r.successes, r.intervalStart = 0, 0, end
	f.updatePace(r, end)
	if r.outcomes < minOutcomes {
		return
	}
	switch rate := float64(r.failures) / float64(r.outcomes); {
	case rate > highFailureShare:
		r.retryRatio = max(minRetryRatio, r.retryRatio/2)
	case rate < lowFailureShare:
		r.retryRatio = min(initialRetryRatio, r.retryRatio*(1+retryRatioGrowth))
	}
	r.outcomes, r.failures = 0, 0
}

// retryBudgetLeft reports whether one more retry fits the budget: the recent and the granted retries are at
// most retryRatio times the recent first attempts. So one is allowed when there was none.
func (f *Forwarder) retryBudgetLeft(r *route) bool {
	room := r.dest.limits.capRatio(r.retryRatio) * r.firstAttempts.get(f.now, recentWindow)
	return r.retries.get(f.now, recentWindow)+float64(r.reservedRetries) <= room
}
