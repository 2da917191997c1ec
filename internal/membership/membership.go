// Package membership merges the endpoint lists of several sources into one list. It does no I/O and reads no clock.
//
// An endpoint is identified by its name. The rules for sources that disagree:
//   - Every source that has named an endpoint can withdraw it: the endpoint serves only while all sources that name it have it active.
//   - An endpoint that discovery has withdrawn does not serve until discovery names it again, or until no other source names it.
//   - An endpoint that the operators' file no longer names is treated as if the file had never named it.
//   - An endpoint that operators have disabled drains until they re-enable it, whatever the sources say.
//   - The address and the destination of an endpoint come from the highest-ranked source that names it.
package membership

import (
	"maps"
	"slices"

	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
)

// Source is a source of endpoints. A higher value has a higher rank: its address and destination are used.
type Source int

// The sources.
const (
	Agent       Source = iota // the platform's discovery
	File                      // the operators' file
	sourceCount               // the number of sources
)

// statement is what one source says about an endpoint. A statement with the state Gone is kept as long as another source names the endpoint.
type statement struct {
	known bool
	engine.Endpoint
}

// withdraw records that a source no longer names an endpoint. For the operators' file the statement is deleted: the file says which endpoints exist, and not that one
// was withdrawn.
func (s *statement) withdraw(from Source) {
	if s.known, s.State = true, decide.Gone; from == File {
		*s = statement{}
	}
}

// Set holds the statements of all sources. The zero Set is empty and ready to use.
type Set struct {
	statements map[string]*[sourceCount]statement
	merged     map[string]engine.Endpoint
	overrides  overrides
	peerDrains map[string]bool // endpoints that drain because other forwarders report so, within the limits of SetPeerDrains
}

// Update applies a source's list and returns the merged result: the complete merged list if the source sent a complete one, or else the changes.
func (s *Set) Update(from Source, l engine.List) engine.List {
	if s.statements == nil {
		s.statements, s.merged = map[string]*[sourceCount]statement{}, map[string]engine.Endpoint{}
	}
	s.overrides.remember(l)
	if l.Scope == decide.Unavailable {
		return l
	}
	complete := l.Scope != decide.Delta
	changed := map[string]bool{}
	if complete { // the source has withdrawn what a complete list does not name
		for name, statements := range s.statements {
			if statements[from].known {
				statements[from].withdraw(from)
				changed[name] = true
			}
		}
	}
	for _, e := range l.Endpoints {
		statements := s.statements[e.ID]
		if statements == nil {
			statements = &[sourceCount]statement{}
			s.statements[e.ID] = statements
		}
		if e.State == decide.Gone { // such an entry may lack an address
			statements[from].withdraw(from)
		} else {
			statements[from] = statement{true, e}
		}
		changed[e.ID] = true
	}
	changes := s.recompute(changed)
	if !complete {
		return changes
	}
	merged := engine.List{Scope: l.Scope}
	for _, name := range slices.Sorted(maps.Keys(s.merged)) {
		merged.Endpoints = append(merged.Endpoints, s.merged[name])
	}
	return merged
}

// Forget deletes a source's statements about some endpoints, as if the source had never named them, and returns the resulting changes. It is meant for endpoints that
// this forwarder no longer needs; withdrawals come with a list.
func (s *Set) Forget(from Source, names []string) engine.List {
	changed := map[string]bool{}
	for _, name := range names {
		if statements := s.statements[name]; statements != nil {
			statements[from] = statement{}
			changed[name] = true
		}
	}
	return s.recompute(changed)
}

// recompute merges the statements about the given endpoints again and returns the endpoints that changed.
func (s *Set) recompute(names map[string]bool) engine.List {
	changes := engine.List{Scope: decide.Delta}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		e, listed := s.merge(name)
		old, wasListed := s.merged[name]
		switch {
		case listed:
			s.merged[name] = e
		case wasListed:
			delete(s.merged, name)
			e = old
			e.State = decide.Gone
		default:
			continue
		}
		if !listed || !wasListed || e != old {
			changes.Endpoints = append(changes.Endpoints, e)
		}
	}
	return changes
}

// merge computes an endpoint from the statements of all sources. It deletes the statements if no source names the endpoint any more.
func (s *Set) merge(name string) (e engine.Endpoint, listed bool) {
	state := decide.Active
	for from := range sourceCount {
		switch statement := s.statements[name][from]; {
		case !statement.known:
		case statement.State == decide.Gone:
			state = max(state, decide.Draining) // the source has withdrawn it: it drains as long as another source names it
		default:
			e, listed = statement.Endpoint, true
			state = max(state, statement.State)
		}
	}
	if !listed {
		delete(s.statements, name)
		return e, false
	}
	e.State, e.EnableCount = state, s.overrides.enableCount[name]
	if _, disabled := s.overrides.disabled[name]; disabled || s.peerDrains[name] {
		e.State = max(e.State, decide.Draining)
	}
	return e, true
}
