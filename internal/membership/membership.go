// Package membership makes one list of endpoints out of what several sources tell of them. It does no I/O and reads no clock.
//
// The rule where sources disagree: an endpoint is known by its name. Whoever has named it can withdraw it: it serves only while
// every source that names it says so. One that discovery took back does not serve until discovery names it again, or nobody
// else does; one that the operators' file does not name any more is as if it had never been there. One that operators have left out by
// hand drains whatever the others say, until they put it back. Where it is, and whose, is told by the source with the highest rank that names it.
package membership

import (
	"maps"
	"slices"

	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
)

// Source is where endpoints are told; the higher one has the last word on where they are.
type Source int

// The sources.
const (
	Agent   Source = iota // the platform's discovery
	File                  // the operators' file
	sources               // how many there are
)

// said is what one source says of an endpoint; Gone stays as long as another source names it.
type said struct {
	known bool
	engine.Endpoint
}

// takeBack notes that a source names an endpoint no more. The file says what there is, and not what became of it.
func (s *said) takeBack(from Source) {
	if s.known, s.State = true, decide.Gone; from == File {
		*s = said{}
	}
}

// Set is what all sources have told. The zero Set knows of none.
type Set struct {
	by     map[string]*[sources]said
	merged map[string]engine.Endpoint
	hand   hand
	peers  map[string]bool // what other forwarders know to drain, as far as that is heeded
}

// Update takes what a source tells, and returns what all together come to: everything where the source told everything, or else
// what has changed.
func (s *Set) Update(from Source, l engine.List) engine.List {
	if s.by == nil {
		s.by, s.merged = map[string]*[sources]said{}, map[string]engine.Endpoint{}
	}
	s.hand.seen(l)
	if l.Scope == decide.Unavailable {
		return l
	}
	whole := l.Scope != decide.Delta
	touched := map[string]bool{}
	if whole { // what it does not name any more it has taken back
		for name, all := range s.by {
			if all[from].known {
				all[from].takeBack(from)
				touched[name] = true
			}
		}
	}
	for _, e := range l.Endpoints {
		all := s.by[e.ID]
		if all == nil {
			all = &[sources]said{}
			s.by[e.ID] = all
		}
		if e.State == decide.Gone { // it need not say where that was
			all[from].takeBack(from)
		} else {
			all[from] = said{true, e}
		}
		touched[e.ID] = true
	}
	changes := s.changes(touched)
	if !whole {
		return changes
	}
	all := engine.List{Scope: l.Scope}
	for _, name := range slices.Sorted(maps.Keys(s.merged)) {
		all.Endpoints = append(all.Endpoints, s.merged[name])
	}
	return all
}

// Forget drops what a source has told of some endpoints, as if it had never named them, and returns what that changes. It is for what is not needed any more:
// to withdraw an endpoint is a list's to do.
func (s *Set) Forget(from Source, names []string) engine.List {
	touched := map[string]bool{}
	for _, name := range names {
		if all := s.by[name]; all != nil {
			all[from] = said{}
			touched[name] = true
		}
	}
	return s.changes(touched)
}

// changes works out anew what the endpoints of some names are, and returns those that it changed.
func (s *Set) changes(touched map[string]bool) engine.List {
	changes := engine.List{Scope: decide.Delta}
	for _, name := range slices.Sorted(maps.Keys(touched)) {
		e, there := s.merge(name)
		old, was := s.merged[name]
		switch {
		case there:
			s.merged[name] = e
		case was:
			delete(s.merged, name)
			e = old
			e.State = decide.Gone
		default:
			continue
		}
		if !there || !was || e != old {
			changes.Endpoints = append(changes.Endpoints, e)
		}
	}
	return changes
}

// merge works out what an endpoint is by all that was said of it, and forgets it if nobody names it any more.
func (s *Set) merge(name string) (e engine.Endpoint, there bool) {
	state := decide.Active
	for from := range sources {
		switch one := s.by[name][from]; {
		case !one.known:
		case one.State == decide.Gone:
			state = max(state, decide.Draining) // by whoever still names it
		default:
			e, there = one.Endpoint, true
			state = max(state, one.State)
		}
	}
	if !there {
		delete(s.by, name)
		return e, false
	}
	e.State, e.EnableCount = state, s.hand.back[name]
	if _, out := s.hand.out[name]; out || s.peers[name] {
		e.State = max(e.State, decide.Draining)
	}
	return e, true
}
