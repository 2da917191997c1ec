package membership

import (
	"slices"

	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
)

// What other forwarders tell: a source that only withdraws, and not too much. One that errs or lies must not take a destination away: of
// its endpoints that serve, half are withdrawn by it at most, and never the last.

// SetPeerDrains has endpoints drain of which other forwarders know that they do, by a list that this one has not heard of yet, and those that are not named any more
// serve again as their lists say. It returns what that changes.
func (s *Set) SetPeerDrains(names []string) engine.List {
	if len(names) == 0 && len(s.peers) == 0 {
		return engine.List{Scope: decide.Delta}
	}
	touched := s.peers
	s.peers = nil
	serving := map[int]int{}
	for name := range s.by {
		if e, there := s.merge(name); there && e.State == decide.Active {
			serving[e.Destination]++
		}
	}
	peers, taken := map[string]bool{}, map[int]int{}
	names = slices.Clone(names)
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		if s.by[name] == nil {
			continue
		}
		if e, there := s.merge(name); there && e.State == decide.Active && taken[e.Destination] < serving[e.Destination]/2 {
			taken[e.Destination]++
			peers[name] = true
		}
	}
	s.peers = peers
	all := map[string]bool{}
	for name := range touched {
		if s.by[name] != nil {
			all[name] = true
		}
	}
	for name := range peers {
		all[name] = true
	}
	return s.changes(all)
}
