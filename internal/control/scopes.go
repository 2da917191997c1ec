package control

import (
	"container/list"
	"errors"
	"sync"

	"scaleroute/internal/catalog"
	"scaleroute/internal/ownership"
)

// watches holds the registered scopes and the requests that wait for a change in them, so that a change wakes only the requests whose scope it
// affects.
type watches struct {
	layout          ownership.Layout
	maxScopes       int
	maxPartitions   int
	maxDestinations int

	mu               sync.Mutex
	scopes           map[string]*scope
	lru              *list.List // of *scope, most recently used first
	partitionCount   int        // sum over all scopes
	partitions       partitionIndex
	scopesByID       []*scope // indexed by scope.id; nil: unused
	freeIDs          []uint32
	byDestination    map[uint32]map[*watch]struct{}
	wholeList        map[*watch]struct{}
	destinationCount int // single destinations watched in all waiting requests
}

// scope is a set of partitions that a forwarder has registered.
type scope struct {
	digest     string
	partitions ownership.Set
	id         uint32
	lruElement *list.Element
	watches    map[*watch]struct{}
}

// watch is one request that waits for a change.
type watch struct {
	wake         chan struct{} // has a capacity of 1
	scope        *scope
	destinations ownership.Set
	wholeList    bool
}

func newWatches(layout ownership.Layout, maxScopes, maxNumbers int) *watches {
	return &watches{layout: layout, maxDestinations: maxWatchedDestinations, maxScopes: maxScopes, maxPartitions: maxNumbers, scopes: map[string]*scope{}, lru: list.New(),
		partitions: newPartitionIndex(layout.Partitions), byDestination: map[uint32]map[*watch]struct{}{}, wholeList: map[*watch]struct{}{}}
}

var errTooLarge = errors.New("the scope is larger than all scopes together may be")

// register adds a scope. If the limits are exceeded, it evicts the least recently used scopes.
func (w *watches) register(digest string, partitions ownership.Set) error {
	if partitions.Len() > w.maxPartitions {
		return errTooLarge
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if known := w.scopes[digest]; known != nil {
		w.lru.MoveToFront(known.lruElement)
		return nil
	}
	for len(w.scopes) >= w.maxScopes || w.partitionCount+partitions.Len() > w.maxPartitions {
		w.evict(w.lru.Back().Value.(*scope))
	}
	s := &scope{digest: digest, partitions: partitions, id: w.allocateID(), watches: map[*watch]struct{}{}}
	s.lruElement = w.lru.PushFront(s)
	w.scopes[digest], w.scopesByID[s.id] = s, s
	w.partitionCount += partitions.Len()
	for p := range partitions.All() {
		w.partitions.add(p, s.id)
	}
	return nil
}

func (w *watches) allocateID() uint32 {
	if last := len(w.freeIDs) - 1; last >= 0 {
		number := w.freeIDs[last]
		w.freeIDs = w.freeIDs[:last]
		return number
	}
	w.scopesByID = append(w.scopesByID, nil)
	return uint32(len(w.scopesByID) - 1)
}

// evict removes a scope. Requests that wait for changes in it are woken and fail because the scope is unknown.
func (w *watches) evict(s *scope) {
	for p := range s.partitions.All() {
		w.partitions.remove(p, s.id)
	}
	for waiter := range s.watches {
		waiter.notify()
	}
	w.lru.Remove(s.lruElement)
	delete(w.scopes, s.digest)
	w.scopesByID[s.id] = nil
	w.freeIDs = append(w.freeIDs, s.id)
	w.partitionCount -= s.partitions.Len()
}

// find returns a registered scope and marks it as used, or nil if there is none.
func (w *watches) find(digest string) *scope {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.scopes[digest]
	if s != nil {
		w.lru.MoveToFront(s.lruElement)
	}
	return s
}

// isRegistered reports whether a scope is still registered.
func (w *watches) isRegistered(s *scope) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.scopes[s.digest] == s
}

// add starts a watch that is woken by changes of a scope, of single destinations, or of the whole list, until remove. It returns nil if too many
// single destinations are watched.
func (w *watches) add(s *scope, destinations ownership.Set, whole bool) *watch {
	waiter := &watch{wake: make(chan struct{}, 1), scope: s, destinations: destinations, wholeList: whole}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.destinationCount+destinations.Len() > w.maxDestinations {
		return nil
	}
	w.destinationCount += destinations.Len()
	if s != nil {
		s.watches[waiter] = struct{}{}
	}
	for destination := range destinations.All() {
		waiting := w.byDestination[destination]
		if waiting == nil {
			waiting = map[*watch]struct{}{}
			w.byDestination[destination] = waiting
		}
		waiting[waiter] = struct{}{}
	}
	if whole {
		w.wholeList[waiter] = struct{}{}
	}
	return waiter
}

func (w *watches) remove(waiter *watch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.destinationCount -= waiter.destinations.Len()
	if waiter.scope != nil {
		delete(waiter.scope.watches, waiter)
	}
	for destination := range waiter.destinations.All() {
		waiting := w.byDestination[destination]
		if delete(waiting, waiter); len(waiting) == 0 {
			delete(w.byDestination, destination)
		}
	}
	delete(w.wholeList, waiter)
}

func (waiter *watch) notify() {
	select {
	case waiter.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// notify wakes the watches that a committed list affects.
func (w *watches) notify(touched catalog.ChangedDestinations) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !touched.All && len(touched.Destinations) == 0 {
		return
	}
	for waiter := range w.wholeList {
		waiter.notify()
	}
	if touched.All {
		w.notifyAll()
		return
	}
	for _, group := range touched.Destinations {
		for waiter := range w.byDestination[group] {
			waiter.notify()
		}
		for number := range w.partitions.scopesOf(w.layout.PartitionOf(int(group))) {
			for waiter := range w.scopesByID[number].watches {
				waiter.notify()
			}
		}
	}
}

func (w *watches) notifyAll() {
	for _, s := range w.scopes {
		for waiter := range s.watches {
			waiter.notify()
		}
	}
	for _, waiting := range w.byDestination {
		for waiter := range waiting {
			waiter.notify()
		}
	}
}

// countScopes returns the number of registered scopes.
func (w *watches) countScopes() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.scopes)
}

// partitionIndex maps each partition to the scopes that contain it. The linked lists share one slice without pointers, because there are millions
// of partitions with several owners each.
type partitionIndex struct {
	heads []uint32 // by partition: index into links plus one; 0: none
	links []link
	free  uint32 // index into links plus one of the first unused link; 0: none
}

type link struct {
	scope uint32
	next  uint32 // index into links plus one; 0: none
}

func newPartitionIndex(partitions int) partitionIndex {
	return partitionIndex{heads: make([]uint32, partitions)}
}

func (x *partitionIndex) add(p ownership.Partition, scope uint32) {
	position := x.free
	if position == 0 {
		x.links = append(x.links, link{})
		position = uint32(len(x.links))
	} else {
		x.free = x.links[position-1].next
	}
	x.links[position-1] = link{scope: scope, next: x.heads[p]}
	x.heads[p] = position
}

func (x *partitionIndex) remove(p ownership.Partition, scope uint32) {
	at := &x.heads[p]
	for *at != 0 && x.links[*at-1].scope != scope {
		at = &x.links[*at-1].next
	}
	position := *at
	if position == 0 {
		return
	}
	*at = x.links[position-1].next
	x.links[position-1] = link{next: x.free}
	x.free = position
}

// scopesOf iterates over the ids of the scopes that contain a partition.
func (x *partitionIndex) scopesOf(p ownership.Partition) func(yield func(uint32) bool) {
	return func(yield func(uint32) bool) {
		for position := x.heads[p]; position != 0; position = x.links[position-1].next {
			if !yield(x.links[position-1].scope) {
				return
			}
		}
	}
}
