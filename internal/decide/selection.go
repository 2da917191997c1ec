package decide

import (
	"math"
	"slices"
	"time"
)

const (
	recencyCost        = 0.25 // calls: differences in cost that chance may outweigh
	backupRank         = 1000 // ranks that a backup is behind the others
	preferenceCost     = 2    // calls in flight that one rank of preference weighs
	failureCost        = 4    // calls in flight that a failure share of 1 weighs
	idleConnectionCost = 0.1  // price of an idle connection at a small table
	smallTableSize     = 20.0 // connections: fewer senders can't fill a table
	rareGapDeviations  = 1.65 // standard deviations: one call in twenty comes later
	staleLossShare     = 0.17 // connections idle for so long are not used above it
	idleSteps          = 9    // buckets of connection idle times
	firstIdleStep      = 60 * time.Millisecond
	idleLossWeight     = 1.0 / 16 // weight of one call in idleLoss
)

// chooseEndpoint picks the eligible endpoint of least cost: not failing alone, near, connected, least busy.
// Among equals it goes round robin.
func (f *Forwarder) chooseEndpoint(m *message, usable []*route) (best *endpoint) {
	active, connected, worthKeeping := f.connectionStats(usable)
	lowest, mayExplore := math.Inf(1), connected > 0 && connected < active
	mayExplore = mayExplore && connected+1 <= min(worthKeeping, f.maxConnected(m.dest))
	explore := mayExplore && f.rng.Float64()*active < active-connected // each endpoint gets its share
	for _, r := range usable {
		for _, ep := range r.endpoints {
			if f.sendEligibleAt(m, ep) > f.now {
				continue
			}
			load := float64(ep.inFlight) + recencyCost*f.recency(ep)
			cost := load/(ep.share*f.endpointCapacity(ep)) + ep.aheadOfShare()
			cost += failureCost*ep.failureShare.get(f.now, forgetAfter) +
				preferenceCost*f.preferenceRank(m, ep)
			cost += 1e6*oneIf(f.now < ep.avoidUntil) + 0.5*oneIf((f.idleConnections(ep) == 0) != explore)
			cost += 100 * f.settings.CrossZonePrice * oneIf(ep.zone != f.settings.Zone)
			cost += 100 * f.settings.ZoneFee[ep.zone] * oneIf(ep.kind.SeparateRoutes)
			if cost < lowest {
				best, lowest = ep, cost
			}
		}
	}
	return best
}

// recency is how recently an endpoint was called, from 0 to 1. Without a connection it is random, or else
// all senders would call the same endpoint.
func (f *Forwarder) recency(ep *endpoint) float64 {
	chance := f.rng.Float64()
	if f.now < ep.avoidUntil {
		f.resetTurn(ep)
	}
	if f.idleConnections(ep) == 0 {
		return chance
	}
	return math.Exp(-float64(f.now-ep.lastScheduled) / float64(max(f.settings.ConnIdle, 1)))
}

// connectionStats counts the active and the connected endpoints of some routes, and how many connections
// round robin uses within the idle time often enough to save more handshakes than they cost.
func (f *Forwarder) connectionStats(routes []*route) (active, connected, worthKeeping float64) {
	calls := 0.0 // within the idle time
	for _, r := range routes {
		recent := r.firstAttempts.get(f.now, recentWindow)
		calls += recent * float64(f.settings.ConnIdle) / float64(recentWindow)
		for _, ep := range r.endpoints {
			active += oneIf(ep.state == Active)
			connected += oneIf(ep.state == Active && ep.inFlight+f.idleConnections(ep) > 0)
		}
	}
	worthKeeping = calls - rareGapDeviations*math.Sqrt(calls)
	if part := f.settings.ConnectPrice / f.idleConnectionPrice(); part < 1 {
		worthKeeping = min(worthKeeping, -calls*math.Log1p(-part))
	}
	return active, connected, worthKeeping
}

// maxConnected is how many endpoints may have a connection: after a refused one as many as there were then,
// and one more for each idle time since.
func (f *Forwarder) maxConnected(d *destination) float64 {
	return d.connectedLimit + float64(f.now-d.connectedLimitAt)/float64(max(f.settings.ConnIdle, 1))
}

// preferenceRank is how many endpoints a message prefers to this one. A recently failing one comes after all
// preferred ones; backups come before it.
func (f *Forwarder) preferenceRank(m *message, ep *endpoint) float64 {
	rank := slices.Index(m.filter.Prefer, ep.id)
	failed := ep.consecutiveFailures > 0 && f.now-ep.recentCalls.at < recentWindow
	if rank < 0 || failed {
		rank = len(m.filter.Prefer)
	}
	if ep.backup || failed && slices.ContainsFunc(ep.route.endpoints, (*endpoint).isActiveBackup) {
		rank += backupRank * (1 + int(oneIf(!ep.backup)) + 2*int(oneIf(failed && ep.backup)))
	}
	return float64(rank)
}

// closeSurplusIdle closes the idle connections to an endpoint unless the handshakes that they are likely to
// save outweigh the room that they take in its connection table, which many senders fill.
func (f *Forwarder) closeSurplusIdle(ep *endpoint) {
	saved := f.settings.ConnectPrice * ep.recentCalls.get(f.now, max(f.settings.ConnIdle, 1))
	if saved < f.idleConnectionPrice() && f.idleConnections(ep) > 0 && ep.route.dest.queued == 0 {
		if _, connected, worthKeeping := f.connectionStats(ep.route.dest.routes); connected > worthKeeping {
			f.closeIdleConnections(ep)
		}
	}
}

// idleTooLong reports whether connections idle for so long lose calls that fresh ones do not, as behind a
// middlebox that forgets them: they are closed before a send, at the price of a handshake.
func (f *Forwarder) idleTooLong(step int) bool {
	fresh := f.idleLoss[0].get(f.now, forgetAfter)
	for s := 1; s <= step; s++ {
		if loss := f.idleLoss[s].get(f.now, forgetAfter); loss > staleLossShare && loss > 2*fresh {
			return true
		}
	}
	return false
}
