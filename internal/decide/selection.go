package decide

import (
	"math"
	"slices"
	"time"
)

const (
	recencyCost        = 0.25 // calls in flight that weigh as much as a recency of 1, which may be chance
	backupRank         = 1000 // ranks by which a backup comes after the others
	preferenceCost     = 2    // calls in flight that weigh as much as one rank of preference
	failureCost        = 4    // calls in flight that weigh as much as a failure share of 1
	idleConnectionCost = 0.1  // price of an idle connection in a small connection table
	smallTableSize     = 20.0 // connections: fewer forwarders can't fill a table
	rareGapDeviations  = 1.65 // standard deviations: one call in twenty comes later
	staleLossShare     = 0.17 // above this share of losses, connections idle for so long are not used
	idleSteps          = 9    // number of buckets of connection idle times
	firstIdleStep      = 60 * time.Millisecond
	idleLossWeight     = 1.0 / 16 // weight of one call in lossByIdleTime
)

// chooseEndpoint picks the eligible endpoint of least cost: one that does not fail alone, is near, connected
// and least busy. It goes round robin among equals.
func (f *Forwarder) chooseEndpoint(m *message, usable []*route) (best *endpoint) {
	active, connected, worthKeeping := f.connectionStats(usable)
	lowest, mayExplore := math.Inf(1), connected > 0 && connected < active
	mayExplore = mayExplore && connected+1 <= min(worthKeeping, f.maxConnected(m.dest))
	connectNew := mayExplore && f.rng.Float64()*active < active-connected // each gets its share of calls
	for _, r := range usable {
		for _, ep := range r.endpoints {
			if f.sendEligibleAt(m, ep) > f.now {
				continue
			}
			load := float64(ep.inFlight) + recencyCost*f.recency(ep)
			cost := load/(ep.share*f.endpointCapacity(ep)) + ep.callsAheadOfShare()
			cost += failureCost*ep.failureShare.get(f.now, forgetAfter) +
				preferenceCost*f.preferenceRank(m, ep)
			cost += 1e6*oneIf(f.now < ep.avoidUntil) + 0.5*oneIf((f.idleConnections(ep) == 0) != connectNew)
			cost += 100 * f.settings.CrossZonePrice * oneIf(ep.zone != f.settings.Zone)
			cost += 100 * f.settings.ZoneFee[ep.zone] * oneIf(ep.kind.SeparateRoutes)
			if cost < lowest {
				best, lowest = ep, cost
			}
		}
	}
	return best
}

// recency says how recently an endpoint was called, from 0 to 1. Without a connection it is random; else all
// forwarders would call the same endpoint.
func (f *Forwarder) recency(ep *endpoint) float64 {
	chance := f.rng.Float64()
	if f.now < ep.avoidUntil {
		f.resetRoundRobin(ep)
	}
	if f.idleConnections(ep) == 0 {
		return chance
	}
	return math.Exp(-float64(f.now-ep.lastScheduled) / float64(max(f.settings.ConnIdle, 1)))
}

// connectionStats counts the active and the connected endpoints of some routes, and how many connections
// round robin uses often enough within the idle time that keeping them costs less than new handshakes.
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
	if priceShare := f.settings.ConnectPrice / f.idleConnectionPrice(); priceShare < 1 {
		worthKeeping = min(worthKeeping, -calls*math.Log1p(-priceShare))
	}
	return active, connected, worthKeeping
}

// maxConnected is how many endpoints may have a connection: after a refused connection as many as had one
// then, and one more for each Settings.ConnIdle since.
func (f *Forwarder) maxConnected(d *destination) float64 {
	return d.connectedLimit + float64(f.now-d.connectedLimitAt)/float64(max(f.settings.ConnIdle, 1))
}

// preferenceRank ranks an endpoint by a message's preference, from 0. One that failed recently comes after
// all preferred ones, and after active backups.
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
// save outweigh the room that they take in its connection table, which many forwarders fill.
func (f *Forwarder) closeSurplusIdle(ep *endpoint) {
	savedPrice := f.settings.ConnectPrice * ep.recentCalls.get(f.now, max(f.settings.ConnIdle, 1))
	if savedPrice < f.idleConnectionPrice() && f.idleConnections(ep) > 0 && ep.route.dest.queued == 0 {
		if _, connected, worthKeeping := f.connectionStats(ep.route.dest.routes); connected > worthKeeping {
			f.closeIdleConnections(ep)
		}
	}
}

// losesWhenIdle reports whether connections idle for so long lose calls that fresh ones do not, as behind a
// NAT or firewall that drops idle connections. They are closed before a send, at the price of a handshake.
func (f *Forwarder) losesWhenIdle(step int) bool {
	fresh := f.lossByIdleTime[0].get(f.now, forgetAfter)
	for s := 1; s <= step; s++ {
		if loss := f.lossByIdleTime[s].get(f.now, forgetAfter); loss > staleLossShare && loss > 2*fresh {
			return true
		}
	}
	return false
}
