package control

import (
	"container/list"
	"errors"
	"sync"

	"scaleroute/internal/catalog"
	"scaleroute/internal/ownership"
)

// watches knows the registered scopes and who waits for a change in which, so that a change wakes those alone whose scope it touches.
type watches struct {
	layout          ownership.Layout
	maxScopes       int
	maxNumbers      int
	maxDestinations int

	mu            sync.Mutex
	scopes        map[string]*scope
	used          *list.List // of *scope, the one used last in front
	numbers       int        // partitions in all scopes
	partitions    partitionIndex
	byNumber      []*scope // by scope.number; nil: free
	freeNumbers   []uint32
	byDestination map[uint32]map[*watch]struct{}
	whole         map[*watch]struct{}
	destinations  int // single ones, in all calls that wait
}

// scope is a set of partitions that somebody has registered.
type scope struct {
	digest     string
	partitions ownership.Set
	number     uint32
	place      *list.Element
	watches    map[*watch]struct{}
}

// watch is one call that waits.
type watch struct {
	wake         chan struct{} // of one place
	scope        *scope
	destinations ownership.Set
	whole        bool
}

func newWatches(layout ownership.Layout, maxScopes, maxNumbers int) *watches {
	return &watches{layout: layout, maxDestinations: maxWatchedDestinations, maxScopes: maxScopes, maxNumbers: maxNumbers, scopes: map[string]*scope{}, used: list.New(),
		partitions: newPartitionIndex(layout.Partitions), byDestination: map[uint32]map[*watch]struct{}{}, whole: map[*watch]struct{}{}}
}

var errTooLarge = errors.New("the scope is larger than all scopes together may be")

// register keeps a scope; the ones that were not used for longest leave where there are too many.
func (w *watches) register(digest string, partitions ownership.Set) error {
	if partitions.Len() > w.maxNumbers {
		return errTooLarge
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if known := w.scopes[digest]; known != nil {
		w.used.MoveToFront(known.place)
		return nil
	}
	for len(w.scopes) >= w.maxScopes || w.numbers+partitions.Len() > w.maxNumbers {
		w.forget(w.used.Back().Value.(*scope))
	}
	s := &scope{digest: digest, partitions: partitions, number: w.takeNumber(), watches: map[*watch]struct{}{}}
	s.place = w.used.PushFront(s)
	w.scopes[digest], w.byNumber[s.number] = s, s
	w.numbers += partitions.Len()
	for p := range partitions.All() {
		w.partitions.add(p, s.number)
	}
	return nil
}

func (w *watches) takeNumber() uint32 {
	if last := len(w.freeNumbers) - 1; last >= 0 {
		number := w.freeNumbers[last]
		w.freeNumbers = w.freeNumbers[:last]
		return number
	}
	w.byNumber = append(w.byNumber, nil)
	return uint32(len(w.byNumber) - 1)
}

// forget drops a scope. Calls that wait in it are woken, and answered that it is unknown.
func (w *watches) forget(s *scope) {
	for p := range s.partitions.All() {
		w.partitions.remove(p, s.number)
	}
	for each := range s.watches {
		each.notify()
	}
	w.used.Remove(s.place)
	delete(w.scopes, s.digest)
	w.byNumber[s.number] = nil
	w.freeNumbers = append(w.freeNumbers, s.number)
	w.numbers -= s.partitions.Len()
}

// find is a registered scope, nil where there is none.
func (w *watches) find(digest string) *scope {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.scopes[digest]
	if s != nil {
		w.used.MoveToFront(s.place)
	}
	return s
}

// isKnown reports whether a scope is still registered.
func (w *watches) isKnown(s *scope) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.scopes[s.digest] == s
}

// begin has a call woken by changes of a scope, some destinations, or the whole list, until end; nil where too many single destinations are watched.
func (w *watches) begin(s *scope, destinations ownership.Set, whole bool) *watch {
	each := &watch{wake: make(chan struct{}, 1), scope: s, destinations: destinations, whole: whole}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.destinations+destinations.Len() > w.maxDestinations {
		return nil
	}
	w.destinations += destinations.Len()
	if s != nil {
		s.watches[each] = struct{}{}
	}
	for destination := range destinations.All() {
		waiting := w.byDestination[destination]
		if waiting == nil {
			waiting = map[*watch]struct{}{}
			w.byDestination[destination] = waiting
		}
		waiting[each] = struct{}{}
	}
	if whole {
		w.whole[each] = struct{}{}
	}
	return each
}

func (w *watches) end(each *watch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.destinations -= each.destinations.Len()
	if each.scope != nil {
		delete(each.scope.watches, each)
	}
	for destination := range each.destinations.All() {
		waiting := w.byDestination[destination]
		if delete(waiting, each); len(waiting) == 0 {
			delete(w.byDestination, destination)
		}
	}
	delete(w.whole, each)
}

func (each *watch) notify() {
	select {
	case each.wake <- struct{}{}:
	default: // it is about to wake already
	}
}

// notify wakes those whose scope a list has touched.
func (w *watches) notify(touched catalog.ChangedDestinations) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !touched.All && len(touched.Destinations) == 0 {
		return
	}
	for each := range w.whole {
		each.notify()
	}
	if touched.All {
		w.notifyAll()
		return
	}
	for _, group := range touched.Destinations {
		for each := range w.byDestination[group] {
			each.notify()
		}
		for number := range w.partitions.scopes(w.layout.PartitionOf(int(group))) {
			for each := range w.byNumber[number].watches {
				each.notify()
			}
		}
	}
}

func (w *watches) notifyAll() {
	for _, s := range w.scopes {
		for each := range s.watches {
			each.notify()
		}
	}
	for _, waiting := range w.byDestination {
		for each := range waiting {
			each.notify()
		}
	}
}

// countScopes is how many scopes are registered.
func (w *watches) countScopes() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.scopes)
}

// partitionIndex is which scopes have a partition: chains in one slice, without pointers, as there are some owners for each of millions.
type partitionIndex struct {
	first []uint32 // by partition: a place in links and one, 0: none
	links []link
	free  uint32 // a place and one
}

type link struct {
	scope uint32
	next  uint32 // a place and one
}

func newPartitionIndex(partitions int) partitionIndex {
	return partitionIndex{first: make([]uint32, partitions)}
}

func (x *partitionIndex) add(p ownership.Partition, scope uint32) {
	place := x.free
	if place == 0 {
		x.links = append(x.links, link{})
		place = uint32(len(x.links))
	} else {
		x.free = x.links[place-1].next
	}
	x.links[place-1] = link{scope: scope, next: x.first[p]}
	x.first[p] = place
}

func (x *partitionIndex) remove(p ownership.Partition, scope uint32) {
	at := &x.first[p]
	for *at != 0 && x.links[*at-1].scope != scope {
		at = &x.links[*at-1].next
	}
	place := *at
	if place == 0 {
		return
	}
	*at = x.links[place-1].next
	x.links[place-1] = link{next: x.free}
	x.free = place
}

// scopes are the numbers of the scopes that have a partition.
func (x *partitionIndex) scopes(p ownership.Partition) func(yield func(uint32) bool) {
	return func(yield func(uint32) bool) {
		for place := x.first[p]; place != 0; place = x.links[place-1].next {
			if !yield(x.links[place-1].scope) {
				return
			}
		}
	}
}
