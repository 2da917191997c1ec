package partial

import (
	"cmp"
	"slices"
	"unique"

	"scaleroute/internal/agent"
)

// NextWatch returns the next watch. It starts at the index of the oldest lookup among the destinations that no watch has covered yet, so that no change of
// them is missed.
func (s *State) NextWatch() Watch {
	s.sequence++
	w := Watch{From: s.watchIndex, MinIndex: max(s.watchIndex, s.scopeIndex), sequence: s.sequence}
	if w.From == NoIndex {
		w.MinIndex = s.newestIndex
	}
	w.Destinations = s.watchedOutside()
	for _, number := range w.Destinations {
		d := s.destinations[number]
		if !d.answered && w.From != NoIndex {
			w.From = min(w.From, d.index)
		}
		d.requestedBy = s.sequence
	}
	return w
}

// watchedOutside returns the destinations outside the owned part that the next watch requests, sorted. Where there are more than the limit it picks those with
// the oldest indexes; each of the others is requested later, from its own index on.
func (s *State) watchedOutside() []int {
	var numbers []int
	for number, d := range s.destinations {
		if d.class == fetched || d.class == retained && s.references[number] > 0 {
			numbers = append(numbers, number)
		}
	}
	if limit := s.limits.MaxExtraWatched; len(numbers) > limit {
		slices.SortFunc(numbers, func(a, b int) int {
			return cmp.Or(cmp.Compare(s.destinations[a].index, s.destinations[b].index), cmp.Compare(a, b))
		})
		for _, number := range numbers[limit:] {
			s.destinations[number].answered = false
		}
		numbers = numbers[:limit]
	}
	slices.Sort(numbers)
	return numbers
}

// ApplyWatch applies the answer to a watch. It returns ErrStaleAnswer, and changes nothing, if the answer is older than the watch allows.
func (s *State) ApplyWatch(w Watch, a Answer) (Update, error) {
	if w.IsIndexReset(a) {
		s.resetIndexes(a.Index)
	} else if a.Index < w.MinIndex {
		return Update{}, ErrStaleAnswer
	}
	asked := func(number int) bool {
		d := s.destinations[number]
		return s.owns(number) || d != nil && d.requestedBy == w.sequence
	}
	u := Update{Index: a.Index}
	s.apply(&u, a, asked)
	s.watchIndex, s.complete = a.Index, s.complete || a.Snapshot
	s.newestIndex = max(s.newestIndex, a.Index)
	if a.Index >= s.maxLookupIndex {
		s.maxLookupIndex = 0
	}
	for number, d := range s.destinations {
		if d.class != owned && asked(number) {
			d.index, d.answered = max(d.index, a.Index), true
		}
	}
	s.evictUnused(&u)
	return u, nil
}

// IsIndexReset reports whether an answer shows that discovery has restarted its indexes at a lower value: a server that once had the requested index itself
// answers with a snapshot that has a lower one. A server that is only out of date sends no list.
func (w Watch) IsIndexReset(a Answer) bool {
	return w.From != NoIndex && a.Snapshot && a.Index < w.From
}

// resetIndexes lowers all stored indexes to that of a list whose indexes were restarted, so that they can be compared with its later ones.
func (s *State) resetIndexes(index int64) {
	s.maxLookupIndex = index + (s.newestIndex-index)/2
	s.watchIndex, s.newestIndex, s.scopeIndex = index, index, NoIndex
	for _, d := range s.destinations {
		d.index = min(d.index, index)
	}
}

// ApplyScope changes the owned part. gained is the answer to a request for the partitions that were gained, whose destinations isGained selects; it is nil where no
// partition was gained and where the next watch requests a snapshot. Destinations of lost partitions are evicted, unless messages refer to them.
func (s *State) ApplyScope(owns, isGained DestinationFilter, gained *Answer) (Update, error) {
	if gained != nil && gained.Index < s.newestIndex {
		return Update{}, ErrStaleAnswer
	}
	s.owns = owns
	u := Update{Index: s.newestIndex}
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
		s.newestIndex, s.scopeIndex, u.Index = gained.Index, gained.Index, gained.Index
	}
	return u, nil
}

// Reset makes the next watch request a snapshot. Until it is answered the owned part counts as not received.
func (s *State) Reset() { s.watchIndex, s.complete = NoIndex, false }

// reclassify updates the class of a destination after a change of the owned part, and evicts a lost one to which no message refers.
func (s *State) reclassify(u *Update, number int, d *destination) {
	switch isOwned := s.owns(number); {
	case isOwned && d.class != owned:
		if d.class == fetched {
			s.fetched--
			s.markInUse(d)
		}
		d.class = owned
	case !isOwned && d.class == owned:
		d.class, d.answered = retained, false
		d.index = max(d.index, s.watchIndex)
		if s.references[number] == 0 {
			s.evict(u, number)
		}
	}
}

// apply applies an answer to the destinations that were requested.
func (s *State) apply(u *Update, a Answer, asked DestinationFilter) {
	if a.Snapshot {
		s.removeAbsent(u, a, asked)
	}
	for _, e := range a.Endpoints {
		s.applyEndpoint(u, a.Index, e, asked)
	}
}

// removeAbsent removes the endpoints that are missing from a snapshot.
func (s *State) removeAbsent(u *Update, a Answer, asked DestinationFilter) {
	present := make(map[string]bool, len(a.Endpoints))
	for i := range a.Endpoints {
		present[a.Endpoints[i].Name] = true
	}
	for number, d := range s.destinations {
		if !asked(number) || d.index > a.Index {
			continue
		}
		for _, e := range slices.Clone(d.endpoints) {
			if !present[e.Name] {
				s.removeEndpoint(u, number, e.Name)
			}
		}
	}
}

func (s *State) applyEndpoint(u *Update, index int64, e agent.Endpoint, asked DestinationFilter) {
	if current, known := s.byName[e.Name]; known && (current != e.Group || e.Status == agent.Deleted) {
		if s.destinations[current].index > index {
			return
		}
		s.removeEndpoint(u, current, e.Name)
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
	if s.putEndpoint(d, e) {
		u.Changed = append(u.Changed, e)
	}
}

// putEndpoint adds or replaces an endpoint, and reports whether that changed anything.
func (s *State) putEndpoint(d *destination, e agent.Endpoint) bool {
	e.Zone, e.Type, e.Status = unique.Make(e.Zone).Value(), unique.Make(e.Type).Value(), unique.Make(e.Status).Value()
	s.byName[e.Name] = e.Group
	i := d.indexOf(e.Name)
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

// removeEndpoint removes an endpoint that an answer has withdrawn.
func (s *State) removeEndpoint(u *Update, number int, name string) {
	d := s.destinations[number]
	i := d.indexOf(name)
	e := d.endpoints[i]
	e.Status = agent.Deleted
	u.Changed = append(u.Changed, e)
	d.endpoints = slices.Delete(d.endpoints, i, i+1)
	delete(s.byName, name)
}

// evict drops a destination that is not needed any more. Its own index raises the State's newest index, so that an answer older than the data that was
// dropped can't be applied to the destination afterwards.
func (s *State) evict(u *Update, number int) {
	d := s.destinations[number]
	eviction := Eviction{Destination: number}
	for _, e := range d.endpoints {
		eviction.Endpoints = append(eviction.Endpoints, e.Name)
		delete(s.byName, e.Name)
	}
	if d.class == fetched {
		s.fetched--
		s.markInUse(d)
	}
	s.newestIndex = max(s.newestIndex, d.index)
	delete(s.destinations, number)
	u.Changed = slices.DeleteFunc(u.Changed, func(e agent.Endpoint) bool { return e.Group == number && e.Status != agent.Deleted })
	u.Evicted = append(u.Evicted, eviction)
}

// evictUnused runs after the answer to a watch. It evicts retained destinations without messages, such as those that Initialize loaded and the forwarder does not
// own, and drops owned destinations that have no endpoint.
func (s *State) evictUnused(u *Update) {
	for number, d := range s.destinations {
		switch {
		case d.class == retained && s.references[number] == 0:
			s.evict(u, number)
		case d.class == owned && len(d.endpoints) == 0 && d.index <= s.watchIndex:
			delete(s.destinations, number)
		}
	}
}
