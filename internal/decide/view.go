package decide

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"
)

// Routes returns the state of each route, for operators.
func (f *Forwarder) Routes() []RouteView {
	var views []RouteView
	for _, d := range slices.SortedFunc(maps.Values(f.destinations), func(a, b *destination) int { return cmp.Compare(a.seq, b.seq) }) {
		for _, r := range d.routes {
			v := RouteView{Route: cmp.Or(r.name, strconv.Itoa(d.id)), CircuitOpen: r.circuitOpen, OpenReason: r.openReason, RetryAfterLeft: max(0, r.retryAfter-f.now),
				RetryRatio: r.retryRatio, InFlight: len(r.inFlight), Queued: d.queued, Amplification: 1}
			if r.totalFirstAttempts > 0 {
				v.Amplification = float64(r.totalAttempts) / float64(r.totalFirstAttempts)
			}
			views = append(views, v)
		}
	}
	return views
}

// TargetView is the state of an endpoint as operators see it.
type TargetView struct {
	Target
	InFlight, Connections int    // number of calls in flight; of these and idle connections
	BlockedReason         string // why it gets no calls, or fewer than others, now; empty if neither
}

// Targets returns the endpoints that are known and not gone, sorted by ID.
func (f *Forwarder) Targets(now time.Duration) (list []TargetView) {
	for _, ep := range f.endpoints {
		if ep.state == Gone {
			continue
		}
		v := TargetView{Target: ep.listing, InFlight: ep.inFlight, Connections: ep.inFlight + f.idleConnections(ep)}
		v.ID, v.Zone, v.State, v.Weight = ep.id, ep.zone, ep.state, ep.weight
		switch r := ep.route; {
		case ep.state != Active:
		case now < r.retryAfter:
			v.BlockedReason = "told to wait"
		case r.circuitOpen:
			v.BlockedReason = "outage: " + r.openReason
		case now < ep.avoidUntil:
			v.BlockedReason = "fails while others work"
		case now < r.nextTokenAt:
			v.BlockedReason = "pace"
		case f.endpointCapacity(ep) < 1:
			v.BlockedReason = "cold"
		}
		if r := ep.route; r != nil && r.dest != nil {
			v.Destination = r.dest.id
		}
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b TargetView) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
