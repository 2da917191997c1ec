package partial

import (
	"cmp"
	"slices"
	"unique"

	"scaleroute/internal/agent"
)

// NextWatch is what to ask for next. A destination that was looked up is asked for from the index of its look-up on, so that no change of it is missed.
func (s *State) NextWatch() Watch {
	s.sequence++
	w := Watch{From: s.watched, MinIndex: max(s.watched, s.scoped), sequence: s.sequence}
	if w.From == NoIndex {
		w.MinIndex = s.newest
	}
	w.Destinations = s.beside()
	for _, number := range w.Destinations {
		d := s.destinations[number]
		if !d.watched && w.From != NoIndex {
			w.From = min(w.From, d.index)
		}
		d.requested = s.sequence
	}
	return w
}

// beside are the destinations outside the part that are watched, sorted. Of more than may be asked for those are that have waited longest for an answer; the others are from
// their own indexes on when it is their turn.
func (s *State) beside() []int {
	var list []int
	for number, d := range s.destinations {
		if d.class == fetched || d.class == retained && s.references[number] > 0 {
			list = append(list, number)
		}
	}
	if most := s.limits.MaxExtraWatched; len(list) > most {
		slices.SortFunc(list, func(a, b int) int {
			return cmp.Or(cmp.Compare(s.destinations[a].index, s.destinations[b].index), cmp.Compare(a, b))
		})
		for _, number := range list[most:] {
			s.destinations[number].watched = false
		}
		list = list[:most]
	}
	slices.Sort(list)
	return list
}

// ApplyWatch takes the answer to a watch.
func (s *State) ApplyWatch(w Watch, a Answer) (Update, error) {
	if w.IsIndexReset(a) {
		s.restart(a.Index)
	} else if a.Index < w.MinIndex {
		return Update{}, ErrStaleAnswer
	}
	asked := func(number int) bool {
		d := s.destinations[number]
		return s.owns(number) || d != nil && d.requested == w.sequence
	}
	u := Update{Index: a.Index}
	s.apply(&u, a, asked)
	s.watched, s.complete = a.Index, s.complete || a.Snapshot
	s.newest = max(s.newest, a.Index)
	if a.Index >= s.ceiling {
		s.ceiling = 0
	}
	for number, d := range s.destinations {
		if d.class != owned && asked(number) {
			d.index, d.watched = max(d.index, a.Index), true
		}
	}
	s.evictUnused(&u)
	return u, nil
}

// IsIndexReset tells whether an answer says that discovery counts anew: a server that had an index itself answers to it with a snapshot of a lower one. A server that is
// merely behind answers nothing.
func (w Watch) IsIndexReset(a Answer) bool {
	return w.From != NoIndex && a.Snapshot && a.Index < w.From
}

// restart has indexes compare with those of a list that is counted anew.
func (s *State) restart(index int64) {
	s.ceiling = index + (s.newest-index)/2
	s.watched, s.newest, s.scoped = index, index, NoIndex
	for _, d := range s.destinations {
		d.index = min(d.index, index)
	}
}

// ApplyScope goes on with another part of the list. gained is the answer to a request for the partitions that came new, by isGained; nil where there are none, and where the next watch asks for everything.
// Destinations of lost partitions leave, unless messages refer to them.
func (s *State) ApplyScope(owns, isGained DestinationFilter, gained *Answer) (Update, error) {
	if gained != nil && gained.Index < s.newest {
		return Update{}, ErrStaleAnswer
	}
	s.owns = owns
	u := Update{Index: s.newest}
	for number, d := range s.destinations {
		s.reclassify(&u, number, d)
	}
	if gained != nil {
		s.apply(&u, *gained, isGained)
		for number, d := range s.destinations {
			if isGained(number) {
				d.index = max(d.index, gained.Index)
			}
		}
		s.newest, s.scoped, u.Index = gained.Index, gained.Index, gained.Index
	}
	return u, nil
}

// Reset has the next watch ask for everything. Until it is answered the part counts as not received.
func (s *State) Reset() { s.watched, s.complete = NoIndex, false }

// reclassify notes why a destination is known after a change of the part.
func (s *State) reclassify(u *Update, number int, d *destination) {
	switch isOwned := s.owns(number); {
	case isOwned && d.class != owned:
		if d.class == fetched {
			s.fetched--
			s.busy(d)
		}
		d.class = owned
	case !isOwned && d.class == owned:
		d.class, d.watched = retained, false
		d.index = max(d.index, s.watched)
		if s.references[number] == 0 {
			s.evict(u, number)
		}
	}
}

// apply takes what an answer says of the destinations that were asked for.
func (s *State) apply(u *Update, a Answer, asked DestinationFilter) {
	if a.Snapshot {
		s.removeMissing(u, a, asked)
	}
	for _, e := range a.Endpoints {
		s.applyEndpoint(u, a.Index, e, asked)
	}
}

// removeMissing withdraws the endpoints that a snapshot does not name any more.
func (s *State) removeMissing(u *Update, a Answer, asked DestinationFilter) {
	named := make(map[string]bool, len(a.Endpoints))
	for i := range a.Endpoints {
		named[a.Endpoints[i].Name] = true
	}
	for number, d := range s.destinations {
		if !asked(number) || d.index > a.Index {
			continue
		}
		for _, e := range slices.Clone(d.endpoints) {
			if !named[e.Name] {
				s.remove(u, number, e.Name)
			}
		}
	}
}

func (s *State) applyEndpoint(u *Update, index int64, e agent.Endpoint, asked DestinationFilter) {
	if at, known := s.byName[e.Name]; known && (at != e.Group || e.Status == agent.Deleted) {
		if s.destinations[at].index > index {
			return
		}
		s.remove(u, at, e.Name)
	}
	if e.Status == agent.Deleted || !asked(e.Group) {
		return
	}
	d := s.destinations[e.Group]
	if d == nil {
		if !s.owns(e.Group) {
			return
		}
		d = &destination{class: owned}
		s.destinations[e.Group] = d
	}
	if d.index > index {
		return
	}
	if s.put(d, e) {
		u.Changed = append(u.Changed, e)
	}
}

// put notes an endpoint, and tells whether that changed something.
func (s *State) put(d *destination, e agent.Endpoint) bool {
	e.Zone, e.Type, e.Status = unique.Make(e.Zone).Value(), unique.Make(e.Type).Value(), unique.Make(e.Status).Value()
	s.byName[e.Name] = e.Group
	i := d.find(e.Name)
	switch {
	case i < 0:
		d.endpoints = append(d.endpoints, e)
	case d.endpoints[i] == e:
		return false
	default:
		d.endpoints[i] = e
	}
	return true
}

// remove takes an endpoint away that an answer has withdrawn.
func (s *State) remove(u *Update, number int, name string) {
	d := s.destinations[number]
	i := d.find(name)
	e := d.endpoints[i]
	e.Status = agent.Deleted
	u.Changed = append(u.Changed, e)
	d.endpoints = slices.Delete(d.endpoints, i, i+1)
	delete(s.byName, name)
}

// evict forgets a destination that is not needed any more. What was received for it is never undone by an older answer: from then on only
// answers count that are as new as the newest received.
func (s *State) evict(u *Update, number int) {
	d := s.destinations[number]
	gone := Eviction{Destination: number}
	for _, e := range d.endpoints {
		gone.Endpoints = append(gone.Endpoints, e.Name)
		delete(s.byName, e.Name)
	}
	if d.class == fetched {
		s.fetched--
		s.busy(d)
	}
	s.newest = max(s.newest, d.index)
	delete(s.destinations, number)
	u.Changed = slices.DeleteFunc(u.Changed, func(e agent.Endpoint) bool { return e.Group == number && e.Status != agent.Deleted })
	u.Evicted = append(u.Evicted, gone)
}

// evictUnused evicts what Start knew beside the part, once the part is known, and forgets owned destinations that have no endpoint.
func (s *State) evictUnused(u *Update) {
	for number, d := range s.destinations {
		switch {
		case d.class == retained && s.references[number] == 0:
			s.evict(u, number)
		case d.class == owned && len(d.endpoints) == 0 && d.index <= s.watched:
			delete(s.destinations, number)
		}
	}
}
