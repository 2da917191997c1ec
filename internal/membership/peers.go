package membership

import (
	"slices"

	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
)

// The reports of other forwarders are a source that only withdraws, within limits. A faulty forwarder must not make a destination unreachable: at most half of the
// destination's active endpoints are withdrawn because of such reports, and never the last one.

// SetPeerDrains makes those endpoints drain that other forwarders report as draining or gone according to a list that this forwarder has not received yet. Endpoints that
// were named by an earlier call and are not named any more serve again as the lists say. It returns the resulting changes.
func (s *Set) SetPeerDrains(names []string) engine.List {
	if len(names) == 0 && len(s.peerDrains) == 0 {
		return engine.List{Scope: decide.Delta}
	}
	previous := s.peerDrains
	s.peerDrains = nil
	serving := map[int]int{}
	for name := range s.statements {
		if e, listed := s.merge(name); listed && e.State == decide.Active {
			serving[e.Destination]++
		}
	}
	drains, withdrawn := map[string]bool{}, map[int]int{}
	names = slices.Clone(names)
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		if s.statements[name] == nil {
			continue
		}
		if e, listed := s.merge(name); listed && e.State == decide.Active && withdrawn[e.Destination] < serving[e.Destination]/2 {
			withdrawn[e.Destination]++
			drains[name] = true
		}
	}
	s.peerDrains = drains
	changed := map[string]bool{}
	for name := range previous {
		if s.statements[name] != nil {
			changed[name] = true
		}
	}
	for name := range drains {
		changed[name] = true
	}
	return s.recompute(changed)
}
