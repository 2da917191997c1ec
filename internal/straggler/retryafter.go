package straggler

import (
	"cmp"
	"slices"
	"time"
)

// RetryAfter is a back-off that an endpoint requested from a member, with the time that remained when the member reported it. No clock is compared: a report that is in
// transit for a second makes the back-off end a second later for its receivers, and never earlier.
type RetryAfter struct {
	Target    string        `json:"target"`
	Remaining time.Duration `json:"left_ns"`
}

// Limits on back-offs.
const (
	minRetryAfter          = time.Second // a shorter back-off would end before most other members receive its report
	maxRetryAfter          = 30 * time.Second
	MaxReportedRetryAfters = 4 // the number of back-offs in one report; the longest are sent
	maxTargets             = 4096
	maxReporters           = 4 * maxTargets
)

// reporter identifies the back-offs that one member reports for one endpoint.
type reporter struct{ member, target string }

// retryAfters holds the back-offs that this member knows, by endpoint.
type retryAfters struct {
	fromEndpoints map[string]time.Duration   // requested by endpoints from this member: when they end
	fromPeers     map[string]time.Duration   // reported by other members: when they end
	ignoredUntil  map[reporter]time.Duration // until when further reports of the same member for the same endpoint are ignored
	newTargets    []string                   // endpoints in fromPeers that were added or extended since the last TakePeerRetryAfters
}

// SetRetryAfters records the back-offs that endpoints have requested from this member itself. Back-offs that other members reported are never passed on: otherwise they
// would never end.
func (e *Evaluator) SetRetryAfters(now time.Duration, list []RetryAfter) {
	r := &e.retryAfters
	for target, until := range r.fromEndpoints {
		if until <= now {
			delete(r.fromEndpoints, target)
		}
	}
	for _, ra := range list {
		until := now + min(ra.Remaining, maxRetryAfter)
		if ra.Remaining < minRetryAfter || len(ra.Target) > maxTextLength || until < r.fromEndpoints[ra.Target]+minRetryAfter/2 {
			continue // too short, or already known
		}
		if r.fromEndpoints == nil {
			r.fromEndpoints = map[string]time.Duration{}
		}
		if len(r.fromEndpoints) < maxTargets || r.fromEndpoints[ra.Target] > 0 {
			r.fromEndpoints[ra.Target] = until
			e.reportChanged = e.reportChanged || until > r.fromPeers[ra.Target]+minRetryAfter/2 // otherwise the other members already know it
		}
	}
}

// toReport returns the longest back-offs that the other members do not know yet.
func (r *retryAfters) toReport(now time.Duration) (list []RetryAfter) {
	for target, until := range r.fromEndpoints {
		if remaining := until - now; remaining >= minRetryAfter && until > r.fromPeers[target]+minRetryAfter/2 {
			list = append(list, RetryAfter{target, remaining})
		}
	}
	slices.SortFunc(list, func(a, b RetryAfter) int {
		return cmp.Or(cmp.Compare(b.Remaining, a.Remaining), cmp.Compare(a.Target, b.Target))
	})
	return list[:min(len(list), MaxReportedRetryAfters)]
}

// receive records a back-off that another member reported. After its end, reports of that member for that endpoint are ignored for as long again, so that a faulty
// member can keep an endpoint backed off for at most half of the time.
func (r *retryAfters) receive(now time.Duration, from string, ra RetryAfter) {
	remaining, key := min(ra.Remaining, maxRetryAfter), reporter{from, ra.Target}
	if remaining <= 0 || len(ra.Target) > maxTextLength || now < r.ignoredUntil[key] {
		return
	}
	if r.fromPeers == nil {
		r.fromPeers, r.ignoredUntil = map[string]time.Duration{}, map[reporter]time.Duration{}
	}
	if len(r.fromPeers) >= maxTargets || len(r.ignoredUntil) >= maxReporters {
		r.removeExpired(now)
		if len(r.fromPeers) >= maxTargets || len(r.ignoredUntil) >= maxReporters {
			return
		}
	}
	r.ignoredUntil[key] = now + 2*remaining
	if until := now + remaining; until > r.fromPeers[ra.Target] {
		r.fromPeers[ra.Target] = until
		r.newTargets = append(r.newTargets, ra.Target)
	}
}

// removeExpired deletes the entries whose time has passed.
func (r *retryAfters) removeExpired(now time.Duration) {
	for target, until := range r.fromPeers {
		if until <= now {
			delete(r.fromPeers, target)
		}
	}
	for key, until := range r.ignoredUntil {
		if until <= now {
			delete(r.ignoredUntil, key)
		}
	}
}

// TakePeerRetryAfters returns the back-offs that other members have reported since the last call, with their remaining time.
func (e *Evaluator) TakePeerRetryAfters(now time.Duration) (list []RetryAfter) {
	for _, target := range e.retryAfters.newTargets {
		if remaining := e.retryAfters.fromPeers[target] - now; remaining > 0 && !slices.ContainsFunc(list, func(w RetryAfter) bool { return w.Target == target }) {
			list = append(list, RetryAfter{target, remaining})
		}
	}
	e.retryAfters.newTargets = nil
	return list
}
