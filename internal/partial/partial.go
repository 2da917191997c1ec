// Package partial decides which part of the endpoint list a forwarder knows: the destinations that it owns, and a bounded set that was looked up on
// demand. It does no I/O, starts no goroutine and reads no clock: times are handed in, from any fixed origin on.
//
// Each answer of a control server has the index of the list that it was made of. What an answer says of a destination is applied only if its index is not
// older than the newest one received for that destination, so that an endpoint which was withdrawn stays so whatever comes late. A State is not safe for concurrent use.
package partial

import (
	"container/list"
	"errors"
	"maps"
	"slices"
	"time"

	"scaleroute/internal/agent"
)

// Limits bound what a State holds and what look-ups may cost.
type Limits struct {
	MaxFetched           int           // destinations that are known by look-up
	MaxExtraWatched      int           // destinations outside the part that one watch asks for
	MaxWaiting           int           // messages that wait for look-ups
	MaxBatch             int           // destinations of one look-up
	MaxInFlight          int           // look-ups at the same time
	LookupBytesPerSecond float64       // bytes a second for look-ups
	Burst                float64       // bytes that may be spent at once after a pause
	MaxBudgetDelay       time.Duration // how long a look-up may wait for its budget
	MissingTTL           time.Duration // how long it is remembered that a destination does not exist
	MaxMissing           int           // how many such destinations are remembered
}

// DefaultLimits are those of a forwarder where operators set no others.
func DefaultLimits() Limits {
	return Limits{MaxFetched: 256, MaxExtraWatched: 4096, MaxWaiting: 256, MaxBatch: 32, MaxInFlight: 2, LookupBytesPerSecond: 1500, Burst: 3000,
		MaxBudgetDelay: 100 * time.Millisecond, MissingTTL: 2 * time.Second, MaxMissing: 1024}
}

// DestinationFilter tells whether a destination is in the forwarder's own part.
type DestinationFilter func(destination int) bool

// Answer is what a control server has answered: all endpoints of what was asked for, or those that changed.
type Answer struct {
	Index     int64
	Snapshot  bool
	Endpoints []agent.Endpoint
}

// Watch is what to ask for next: the part, the destinations beside it, and what has changed in them since an index.
type Watch struct {
	From         int64 // NoIndex: everything
	MinIndex     int64 // an older answer does not count
	Destinations []int // sorted
	sequence     uint64
}

// NoIndex is the index of a State that has received no list yet.
const NoIndex int64 = -1

// Update is what the engine is to receive, in the order of its fields.
type Update struct {
	Index            int64
	Evicted          []Eviction       // withdrawn here because they are not needed, which says nothing of their state
	Changed          []agent.Endpoint // new, changed or, with the status agent.Deleted, removed
	CompletedLookups []int            // destinations whose look-up is over
}

// Eviction is a destination that is not known any more.
type Eviction struct {
	Destination int
	Endpoints   []string
}

// Empty tells whether there is nothing to do.
func (u *Update) Empty() bool { return len(u.Changed)+len(u.Evicted)+len(u.CompletedLookups) == 0 }

// ErrStaleAnswer is the error of an answer that is older than what was received before: another control server has to be asked.
var ErrStaleAnswer = errors.New("the answer is older than what was received before")

// class is why a destination is known.
type class int

const (
	owned    class = iota
	fetched        // by a look-up
	retained       // its partition was lost while messages were accepted for it
)

// destination is one that is known.
type destination struct {
	class     class
	index     int64  // the newest answer received for it alone; for an owned one that of the watch counts as well
	requested uint64 // the newest watch that asks for it
	watched   bool   // the answer to one has been received
	endpoints []agent.Endpoint
	idle      *list.Element // of a fetched one that no message refers to
}

// State is what a forwarder knows of the list.
type State struct {
	limits       Limits
	owns         DestinationFilter
	destinations map[int]*destination
	byName       map[string]int // the destination of each endpoint
	references   map[int]int    // messages that wait, are handed in or were accepted, by destination
	fetched      int            // destinations of that class
	idle         list.List      // of int: fetched destinations without references, the least recently used last
	lookups      lookups
	missing      missing
	complete     bool   // all of the part has been received
	watched      int64  // the index of the last answer to a watch
	scoped       int64  // the index at which partitions came new: an older answer may lack what was deleted in them
	newest       int64  // the newest index received at all
	ceiling      int64  // after indexes began anew: a look-up with a higher one is of before that; 0: none
	sequence     uint64 // of watches
}

// New makes a State that owns nothing and knows nothing.
func New(limits Limits) *State {
	return &State{limits: limits, owns: func(int) bool { return false }, destinations: map[int]*destination{}, byName: map[string]int{}, references: map[int]int{},
		lookups: newLookups(limits), missing: missing{until: map[int]time.Duration{}}, watched: NoIndex, scoped: NoIndex, newest: NoIndex}
}

// Initialize takes what an earlier process or the configuration knew: the endpoints, which of them are owned, and the index of that list.
// It is called once, before everything else. Destinations that are not owned leave with the first answer to a watch, or later, once no message refers to them.
func (s *State) Initialize(owns DestinationFilter, index int64, endpoints []agent.Endpoint) {
	s.owns, s.newest = owns, index
	for _, e := range endpoints {
		d := s.destinations[e.Group]
		if d == nil {
			d = &destination{index: index, class: retained}
			if owns(e.Group) {
				d.class = owned
			}
			s.destinations[e.Group] = d
		}
		s.put(d, e)
	}
}

// AddRecoveredMessage has the endpoints of a destination asked for with the next watch, as a message refers to it: one that was accepted before this process began.
func (s *State) AddRecoveredMessage(number int) {
	s.refer(number)
	if !s.owns(number) && s.destinations[number] == nil {
		s.destinations[number] = &destination{class: retained, index: NoIndex}
	}
}

// ContinueWatch has the first watch ask for what changed since the index of Start, in place of everything. It is for a State whose part is that of the process before.
func (s *State) ContinueWatch() { s.watched, s.complete = s.newest, true }

// Endpoints lists all that is known, by name.
func (s *State) Endpoints() []agent.Endpoint {
	list := make([]agent.Endpoint, 0, len(s.byName))
	for _, name := range slices.Sorted(maps.Keys(s.byName)) {
		d := s.destinations[s.byName[name]]
		list = append(list, d.endpoints[d.find(name)])
	}
	return list
}

// Known tells whether the endpoints of a destination are known, or that it has none. One that is only expected is not.
func (s *State) Known(number int) bool {
	d := s.destinations[number]
	return s.complete && s.owns(number) || d != nil && d.index != NoIndex
}

// Complete tells whether all of the part has been received.
func (s *State) Complete() bool { return s.complete }

// Counts are the sizes of a State.
type Counts struct {
	Destinations int // known
	Fetched      int // of them, by a look-up
	Retained     int // of them, of partitions that were lost
	Endpoints    int
	Waiting      int // messages that wait for look-ups
	Index        int64
}

// Counts counts what is known.
func (s *State) Counts() Counts {
	c := Counts{Destinations: len(s.destinations), Fetched: s.fetched, Endpoints: len(s.byName), Waiting: s.lookups.waiting, Index: s.newest}
	for _, d := range s.destinations {
		if d.class == retained {
			c.Retained++
		}
	}
	return c
}

// find is the place of an endpoint; -1: it is not there.
func (d *destination) find(name string) int {
	return slices.IndexFunc(d.endpoints, func(e agent.Endpoint) bool { return e.Name == name })
}
