// Package partial maintains the part of the endpoint list that a forwarder knows: the destinations that it owns, and a bounded set of others that it looks
// up on demand. The package does no I/O, starts no goroutine and reads no clock: the caller passes the time as a duration since any fixed origin.
//
// Each answer of a control server carries the index of the list from which it was built. A State applies what an answer says about a destination only if the
// answer's index is not older than the newest one received for that destination, so that a late answer can't bring back an endpoint that was withdrawn.
// A State is not safe for concurrent use.
package partial

import (
	"container/list"
	"errors"
	"maps"
	"slices"
	"time"

	"scaleroute/internal/agent"
)

// Limits bound the size of a State and the cost of its lookups.
type Limits struct {
	MaxFetched           int           // destinations that are known from a lookup
	MaxExtraWatched      int           // destinations outside the owned part that one watch requests
	MaxWaiting           int           // messages that wait for a lookup
	MaxBatch             int           // destinations in one lookup
	MaxInFlight          int           // concurrent lookups
	LookupBytesPerSecond float64       // refill rate of the lookup budget
	Burst                float64       // size of the lookup budget in bytes: what may be spent at once after a pause
	MaxBudgetDelay       time.Duration // longest time that a new lookup may wait for the budget; a longer wait rejects the message
	MissingTTL           time.Duration // how long the State remembers that a destination does not exist
	MaxMissing           int           // number of such destinations that the State remembers
}

// DefaultLimits returns the limits of a forwarder for which operators have configured none.
func DefaultLimits() Limits {
	return Limits{MaxFetched: 256, MaxExtraWatched: 4096, MaxWaiting: 256, MaxBatch: 32, MaxInFlight: 2, LookupBytesPerSecond: 1500, Burst: 3000,
		MaxBudgetDelay: 100 * time.Millisecond, MissingTTL: 2 * time.Second, MaxMissing: 1024}
}

// DestinationFilter reports whether a destination belongs to a set, such as the part that the forwarder owns.
type DestinationFilter func(destination int) bool

// Answer is a control server's answer to a watch or a lookup: a snapshot of the requested destinations, or the endpoints that changed in them.
type Answer struct {
	Index     int64
	Snapshot  bool
	Endpoints []agent.Endpoint
}

// Watch is the next request to a control server: the changes since an index in the owned part and in some destinations outside it.
type Watch struct {
	From         int64 // NoIndex requests a snapshot
	MinIndex     int64 // the lowest index that an answer may have
	Destinations []int // sorted
	sequence     uint64
}

// NoIndex is the index of a State that has not received a list yet.
const NoIndex int64 = -1

// Update is a set of changes for the engine, which applies them in the order of the fields.
type Update struct {
	Index            int64
	Evicted          []Eviction       // dropped because this forwarder does not need them any more; the endpoints themselves may be well
	Changed          []agent.Endpoint // new, changed or, with the status agent.Deleted, removed
	CompletedLookups []int            // destinations whose lookup has succeeded or failed
}

// Eviction is a destination that the State has dropped, with the names of its endpoints.
type Eviction struct {
	Destination int
	Endpoints   []string
}

// Empty reports whether the engine has nothing to apply.
func (u *Update) Empty() bool { return len(u.Changed)+len(u.Evicted)+len(u.CompletedLookups) == 0 }

// ErrStaleAnswer means that an answer is older than data received before; the caller has to ask another control server.
var ErrStaleAnswer = errors.New("the answer is older than what was received before")

// class is the reason why a destination is known.
type class int

const (
	owned    class = iota
	fetched        // known from a lookup
	retained       // the forwarder does not own its partition, but keeps the destination for messages that refer to it, or until the first watch is answered
)

// destination holds the endpoints of one known destination and how recent they are.
type destination struct {
	class        class
	index        int64  // index of the newest answer for this destination alone; for an owned one, the answers to watches count as well
	requestedBy  uint64 // sequence number of the newest watch that requests it
	answered     bool   // a watch that requests it has been answered
	endpoints    []agent.Endpoint
	unreferenced *list.Element // element in State.unreferenced, for a fetched destination without references
}

// State holds the part of the endpoint list that a forwarder knows.
type State struct {
	limits         Limits
	owns           DestinationFilter
	destinations   map[int]*destination
	byName         map[string]int // destination by endpoint name
	references     map[int]int    // number of messages that wait, are being handed to the engine or were accepted, by destination
	fetched        int            // number of destinations of class fetched
	unreferenced   list.List      // of int: fetched destinations without references, least recently used at the back
	lookups        lookups
	missing        missingCache
	complete       bool   // the whole owned part has been received
	watchIndex     int64  // index of the last answer to a watch
	scopeIndex     int64  // index at which partitions were gained; an older answer may not report deletions in them
	newestIndex    int64  // newest index received in any answer
	maxLookupIndex int64  // after an index reset: a lookup answer with a higher index is from before the reset; 0: no bound
	sequence       uint64 // number of the last watch
}

// New creates a State that owns no destination and knows none.
func New(limits Limits) *State {
	return &State{limits: limits, owns: func(int) bool { return false }, destinations: map[int]*destination{}, byName: map[string]int{}, references: map[int]int{},
		lookups: newLookups(limits), missing: missingCache{expiry: map[int]time.Duration{}}, watchIndex: NoIndex, scopeIndex: NoIndex, newestIndex: NoIndex}
}

// Initialize loads the endpoints that an earlier process or the configuration knew, with the index of their list; owns tells which of them are owned. The caller
// calls it at most once, before every other method. Destinations that are not owned are evicted with the first answer to a watch, or later, once no message refers to them.
func (s *State) Initialize(owns DestinationFilter, index int64, endpoints []agent.Endpoint) {
	s.owns, s.newestIndex = owns, index
	for _, e := range endpoints {
		d := s.destinations[e.Group]
		if d == nil {
			d = &destination{index: index, class: retained}
			if owns(e.Group) {
				d.class = owned
			}
			s.destinations[e.Group] = d
		}
		s.putEndpoint(d, e)
	}
}

// AddRecoveredMessage adds a reference for a message that was accepted before this process started. The next watch requests the message's destination if it is
// neither owned nor known.
func (s *State) AddRecoveredMessage(number int) {
	s.addReference(number)
	if !s.owns(number) && s.destinations[number] == nil {
		s.destinations[number] = &destination{class: retained, index: NoIndex}
	}
}

// ContinueWatch makes the first watch request the changes since the index given to Initialize instead of a snapshot. The caller uses it where the owned part is
// the one that the previous process had.
func (s *State) ContinueWatch() { s.watchIndex, s.complete = s.newestIndex, true }

// Endpoints returns all known endpoints, sorted by name.
func (s *State) Endpoints() []agent.Endpoint {
	list := make([]agent.Endpoint, 0, len(s.byName))
	for _, name := range slices.Sorted(maps.Keys(s.byName)) {
		d := s.destinations[s.byName[name]]
		list = append(list, d.endpoints[d.indexOf(name)])
	}
	return list
}

// Known reports whether the State knows the endpoints of a destination, or knows that it has none. A destination that is known only because a recovered message
// refers to it does not count until an answer for it has been received.
func (s *State) Known(number int) bool {
	d := s.destinations[number]
	return s.complete && s.owns(number) || d != nil && d.index != NoIndex
}

// Complete reports whether the whole owned part has been received.
func (s *State) Complete() bool { return s.complete }

// Counts holds the sizes of a State.
type Counts struct {
	Destinations int // all known destinations
	Fetched      int // those known from a lookup
	Retained     int // those that are not owned and stay for their messages
	Endpoints    int
	Waiting      int // messages that wait for a lookup
	Index        int64
}

// Counts returns the present sizes.
func (s *State) Counts() Counts {
	c := Counts{Destinations: len(s.destinations), Fetched: s.fetched, Endpoints: len(s.byName), Waiting: s.lookups.waitingMessages, Index: s.newestIndex}
	for _, d := range s.destinations {
		if d.class == retained {
			c.Retained++
		}
	}
	return c
}

// indexOf returns the position of an endpoint in the destination's list, or -1 if it is not there.
func (d *destination) indexOf(name string) int {
	return slices.IndexFunc(d.endpoints, func(e agent.Endpoint) bool { return e.Name == name })
}
