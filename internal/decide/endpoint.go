package decide

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// endpoint is the state of one listed endpoint.
type endpoint struct {
	id                  string
	kind                Kind
	zone                string
	state               TargetState
	weight              float64
	backup              bool
	share               float64 // of the calls to its route, relative to the other endpoints
	virtualDue          float64 // virtual time when its next call is due; see nextVirtualDue
	route               *route
	snapshotSeq         uint64 // number of the last snapshot or delta that listed it
	inFlight            int
	idleSince           []time.Duration // for each idle connection, since when; the most recent last
	recentCalls         decayingCount
	lastScheduled       time.Duration // when a call to it was last begun, for round robin
	consecutiveFailures int           // in a row
	avoidUntil          time.Duration
	failureShare        decayingMean // share of calls with an unclear outcome
	listing             Target       // as last listed
	enableCount         uint32       // as last listed: how often an operator has re-enabled it
	slowStartUntil      time.Duration
}

// shareOrDefault returns the listed share of an endpoint, 1 if none is listed.
func shareOrDefault(listing Target) float64 { return cmp.Or(max(listing.Share, 0), 1) }

// nextVirtualDue returns the virtual time when the endpoint's next call is due in the weighted round robin of its
// route. An endpoint that got no calls while it was gone or failing is behind by at most one call, so that it
// does not get all missed calls on its return.
func (ep *endpoint) nextVirtualDue() float64 {
	return max(ep.virtualDue, ep.route.virtualTime-1/ep.share)
}

// callsAheadOfShare returns how far an endpoint is ahead of the virtual time of its route, in calls per share;
// 0 if all endpoints have the same share.
func (ep *endpoint) callsAheadOfShare() float64 {
	if !ep.route.weighted {
		return 0
	}
	return ep.nextVirtualDue() - ep.route.virtualTime
}

// isActiveBackup reports whether an endpoint is an active backup.
func (ep *endpoint) isActiveBackup() bool { return ep.backup && ep.state == Active }

// applySnapshot applies an endpoint snapshot or delta.
func (f *Forwarder) applySnapshot(snapshot TargetList) {
	if snapshot.Scope == Unavailable {
		f.subscribed = false
		f.subscribeAt = f.now + f.jitter(f.settings.ResubscribeInterval)
		return
	}
	f.snapshotSeq++
	for _, listing := range snapshot.Targets {
		ep := f.endpointFor(listing)
		ep.snapshotSeq = f.snapshotSeq
		f.updateEndpoint(ep, listing)
	}
	if snapshot.Scope != Delta { // an endpoint missing from a snapshot is gone
		for _, ep := range f.missingEndpoints() {
			f.updateEndpoint(ep, Target{Zone: ep.zone, State: Gone, Weight: ep.weight})
		}
	}
	f.expireDestinations()
}

// missingEndpoints returns the endpoints that the current snapshot lacks. They are sorted by ID since their order
// decides which paces are computed first, and the same events must always lead to the same state.
func (f *Forwarder) missingEndpoints() []*endpoint {
	var missing []*endpoint
	for _, ep := range f.endpoints {
		if ep.snapshotSeq != f.snapshotSeq {
			missing = append(missing, ep)
		}
	}
	slices.SortFunc(missing, func(a, b *endpoint) int { return cmp.Compare(a.id, b.id) })
	return missing
}

// subscribeIfDue asks discovery for the endpoints if Settings.MustSubscribe and it has not, or the request failed.
func (f *Forwarder) subscribeIfDue() {
	if f.settings.MustSubscribe && !f.subscribed && !f.waitUntil(f.subscribeAt) {
		f.subscribed = true
		f.emit(Subscribe{})
	}
}

// endpointFor returns the endpoint of a listing, and creates it and its route if need be.
func (f *Forwarder) endpointFor(listing Target) *endpoint {
	if ep := f.endpoints[listing.ID]; ep != nil {
		if ep.route.dest.id == listing.Destination || listing.State == Gone {
			return ep
		}
		f.detachEndpoint(ep)
	}
	kind := f.kinds[listing.Kind]
	kind.MaxBatch = max(kind.MaxBatch, 1)
	ep := &endpoint{id: listing.ID, kind: kind, zone: listing.Zone, state: Gone, share: 1}
	f.endpoints[listing.ID] = ep
	d := f.destination(listing.Destination)
	f.closeAllIntervals(d)
	if kind.SeparateRoutes || len(d.routes) == 0 {
		name := ""
		if kind.SeparateRoutes {
			name = listing.ID
		}
		d.routes = append(d.routes, f.newRoute(name, d))
	}
	ep.route = d.routes[len(d.routes)-1]
	ep.route.endpoints = append(ep.route.endpoints, ep)
	f.expiring.remove(d)
	return ep
}

// updateEndpoint applies a listing to its endpoint.
func (f *Forwarder) updateEndpoint(ep *endpoint, listing Target) {
	if listing == ep.listing && listing.State != Gone {
		return
	}
	d := ep.route.dest
	f.closeAllIntervals(d)
	if ep.state != Active && listing.State == Active {
		f.resetRoundRobin(ep)
	}
	ep.state, ep.zone, ep.weight, ep.backup, ep.share = listing.State, listing.Zone, listing.Weight, listing.Backup, shareOrDefault(listing)
	if ep.listing = listing; listing.EnableCount > ep.enableCount {
		f.enableEndpoint(ep, listing.EnableCount)
	}
	f.removeIfGone(ep)
	f.invalidate(d)
}

// enableEndpoint gives an endpoint that an operator has re-enabled a slow start, since it is taken to have been
// restarted meanwhile. If its route has no other warm endpoint, the route gets a slow start too.
func (f *Forwarder) enableEndpoint(ep *endpoint, times uint32) {
	ep.enableCount, ep.slowStartUntil, ep.consecutiveFailures, ep.avoidUntil = times, f.now+f.settings.SlowStart, 0, 0
	warm := func(o *endpoint) bool { return o.state == Active && f.endpointCapacity(o) == 1 }
	if r := ep.route; !slices.ContainsFunc(r.endpoints, warm) {
		r.slowStart, r.slowStartAt, r.needsSlowStart = true, f.now, true
	}
}

// resetRoundRobin gives an endpoint that was not called for a while the round robin place of a random endpoint of
// its route. Else it would be the next one at every forwarder that learns of its return.
func (f *Forwarder) resetRoundRobin(ep *endpoint) {
	if others := ep.route.endpoints; len(others) > 1 {
		ep.lastScheduled = others[f.rng.IntN(len(others))].lastScheduled
	}
}

// detachEndpoint removes an endpoint from its destination, since its ID is now listed at another one. While calls
// to it are in flight it is kept under another ID.
func (f *Forwarder) detachEndpoint(ep *endpoint) {
	f.updateEndpoint(ep, Target{Zone: ep.zone, State: Gone, Weight: ep.weight})
	if f.endpoints[ep.id] != ep {
		return
	}
	delete(f.endpoints, ep.id)
	for f.endpoints[ep.id] != nil || !strings.HasSuffix(ep.id, detachedSuffix) {
		ep.id += detachedSuffix
	}
	f.endpoints[ep.id] = ep
}

// detachedSuffix is appended to the ID of a detached endpoint. No listed ID contains it.
const detachedSuffix = "\x00"

// removeIfGone removes an endpoint that is gone once no call to it is in flight. A route of its own is removed with
// it; a route that it shares stays, with all that is known of it.
func (f *Forwarder) removeIfGone(ep *endpoint) {
	if ep.state != Gone || ep.inFlight > 0 || f.endpoints[ep.id] != ep {
		return
	}
	delete(f.endpoints, ep.id)
	r := ep.route
	d := r.dest
	r.endpoints = withoutItem(r.endpoints, ep)
	if ep.kind.SeparateRoutes && len(r.endpoints) == 0 {
		f.closeAllIntervals(d)
		d.routes = withoutItem(d.routes, r)
		f.overdue.remove(r)
	}
	f.scheduleExpiry(d)
}
