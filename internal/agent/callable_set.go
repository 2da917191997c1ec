package agent

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// endpointID stands for what an endpoint's name is called by: its name, destination and address. Two endpoints of a fleet of 3,200 have the same one with a
// probability of 3e-13.
type endpointID uint64

// idOf returns the endpointID of an endpoint as it is listed.
func idOf(e *Endpoint) endpointID {
	text := make([]byte, 0, 128)
	text = append(append(text, e.Name...), 0)
	text = append(append(text, e.Address...), 0)
	return endpointID(xxhash.Sum64(strconv.AppendInt(text, int64(e.Group), 10)))
}

// callableSet follows the endpoint lists in force and knows which endpoints may be called. Names and addresses are kept as hashes, since a list may have a
// hundred thousand endpoints.
type callableSet struct {
	byName    map[uint64]*callableEntry
	byAddress map[uint64]*callableEntry // the first at each address; the others follow by sibling
	callable  int                       // how many entries may be called
}

// callableEntry is an endpoint in force.
type callableEntry struct {
	id         endpointID
	address    uint64
	start      UnixMilli // of its process
	isServing  bool
	isCallable bool // it serves, and no process that started later has its address
	sibling    *callableEntry
}

func newCallableSet(l *List) *callableSet {
	s := &callableSet{byName: make(map[uint64]*callableEntry, len(l.Endpoints)), byAddress: make(map[uint64]*callableEntry, len(l.Endpoints))}
	s.apply(l.Endpoints)
	return s
}

// apply applies reported endpoints, and reports whether that changes which endpoints may be called.
func (s *callableSet) apply(endpoints []Endpoint) (changed bool) {
	touched := make(map[uint64]struct{}, len(endpoints))
	for i := range endpoints {
		if s.replace(&endpoints[i], touched) {
			changed = true
		}
	}
	for address := range touched {
		if s.assignAddress(address) {
			changed = true
		}
	}
	return changed
}

// replace replaces an endpoint's entry, and adds the addresses that it leaves or has now to touched. It reports whether another endpoint may be called
// under the name now, or none.
func (s *callableSet) replace(e *Endpoint, touched map[uint64]struct{}) (changed bool) {
	name, entry := xxhash.Sum64String(e.Name), (*callableEntry)(nil)
	if e.Status != Deleted {
		entry = &callableEntry{id: idOf(e), address: xxhash.Sum64String(e.Address), start: e.SinceMS, isServing: e.isServing()}
	}
	former := s.byName[name]
	if former != nil {
		s.leaveAddress(former)
		touched[former.address] = struct{}{}
	}
	if entry == nil {
		delete(s.byName, name)
		return s.setCallable(former, false)
	}
	s.byName[name] = entry
	entry.sibling, s.byAddress[entry.address] = s.byAddress[entry.address], entry
	touched[entry.address] = struct{}{}
	if former != nil && former.id == entry.id { // whether it may be called is compared once its address is assigned
		entry.isCallable = former.isCallable
		return false
	}
	return s.setCallable(former, false)
}

// leaveAddress removes an entry from those at its address.
func (s *callableSet) leaveAddress(entry *callableEntry) {
	first := s.byAddress[entry.address]
	switch {
	case first != entry:
		for first.sibling != entry {
			first = first.sibling
		}
		first.sibling = entry.sibling
	case entry.sibling != nil:
		s.byAddress[entry.address] = entry.sibling
	default:
		delete(s.byAddress, entry.address)
	}
}

// assignAddress decides which of the endpoints at an address may be called: those that serve, unless another one's process started later.
func (s *callableSet) assignAddress(address uint64) (changed bool) {
	var latest UnixMilli
	for entry := s.byAddress[address]; entry != nil; entry = entry.sibling {
		latest = max(latest, entry.start)
	}
	for entry := s.byAddress[address]; entry != nil; entry = entry.sibling {
		if s.setCallable(entry, entry.isServing && entry.start >= latest) {
			changed = true
		}
	}
	return changed
}

// setCallable changes whether an entry may be called, and reports whether that is a change. entry may be nil.
func (s *callableSet) setCallable(entry *callableEntry, isCallable bool) (changed bool) {
	if entry == nil || entry.isCallable == isCallable {
		return false
	}
	entry.isCallable = isCallable
	if isCallable {
		s.callable++
	} else {
		s.callable--
	}
	return true
}

// isCallable reports whether an endpoint may be called as it is listed here.
func (s *callableSet) isCallable(e *Endpoint) bool {
	entry := s.byName[xxhash.Sum64String(e.Name)]
	return entry != nil && entry.isCallable && entry.id == idOf(e)
}

// all returns the endpoints that may be called.
func (s *callableSet) all() []endpointID {
	ids := make([]endpointID, 0, s.callable)
	for _, entry := range s.byName {
		if entry.isCallable {
			ids = append(ids, entry.id)
		}
	}
	return ids
}

// among returns those of the listed endpoints that may be called.
func (s *callableSet) among(listed []Endpoint) (ids []endpointID) {
	for i := range listed {
		if s.isCallable(&listed[i]) {
			ids = append(ids, idOf(&listed[i]))
		}
	}
	return ids
}
