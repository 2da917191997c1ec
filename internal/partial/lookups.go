package partial

import (
	"math"
	"slices"
	"time"

	"scaleroute/internal/agent"
)

// Action says what to do with a message that a client has handed in.
type Action int

// The actions.
const (
	Proceed Action = iota // pass the message to the engine: its endpoints are known, or the destination does not exist and the engine rejects it
	Wait                  // hold the message until the lookup of its destination is complete
	Reject                // reject the message with a retry-after
)

// Decision is the action for one message. After Admit has returned Proceed or Wait, the message refers to its destination until Release.
type Decision struct {
	Action     Action
	RetryAfter time.Duration
}

// Estimated cost of a lookup on the wire, in both directions and with headers. It is corrected when the real cost is known.
const (
	lookupBaseBytes           = 190 // bytes of a lookup without destinations
	lookupBytesPerDestination = 140 // bytes that each destination adds
)

const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// lookups holds the lookups that wait for the budget and those in flight.
type lookups struct {
	pending         map[int]bool // queued destinations and those in flight; true: in flight
	queue           []int
	inFlight        int
	waitingMessages int // messages that wait for a lookup
	budget          budget
}

func newLookups(l Limits) lookups {
	return lookups{pending: map[int]bool{}, budget: budget{rate: l.LookupBytesPerSecond, burst: l.Burst, tokens: l.Burst}}
}

// Admit decides what to do with a new message for a destination.
func (s *State) Admit(now time.Duration, number int) Decision {
	if number < 0 || number > math.MaxUint32 || s.Known(number) || s.missing.has(now, number) {
		s.addReference(number)
		return Decision{Action: Proceed}
	}
	if s.lookups.waitingMessages >= s.limits.MaxWaiting {
		return Decision{Reject, s.retryAfter(now)}
	}
	if _, pending := s.lookups.pending[number]; !pending {
		if s.remainingCapacity() <= 0 || s.budgetDelay(now) > s.limits.MaxBudgetDelay {
			return Decision{Reject, s.retryAfter(now)}
		}
		s.lookups.pending[number] = false
		s.lookups.queue = append(s.lookups.queue, number)
	}
	s.lookups.waitingMessages++
	s.addReference(number)
	return Decision{Action: Wait}
}

// Resume decides what to do with a waiting message whose lookup is complete. The message still refers to its destination, even if it is rejected.
func (s *State) Resume(now time.Duration, number int) Decision {
	s.lookups.waitingMessages--
	if s.Known(number) || s.missing.has(now, number) {
		return Decision{Action: Proceed}
	}
	return Decision{Reject, s.retryAfter(now)}
}

// AddReference adds a reference for a message that the engine has accepted or recovered. It lasts until Release.
func (s *State) AddReference(number int) { s.addReference(number) }

// Release removes one reference to a destination: that of a message which has been handed to the engine, or of one that the engine has completed.
func (s *State) Release(number int) (u Update) {
	if s.references[number]--; s.references[number] > 0 {
		return u
	}
	delete(s.references, number)
	d := s.destinations[number]
	if d == nil {
		return u
	}
	switch d.class {
	case fetched:
		d.unreferenced = s.unreferenced.PushFront(number)
	case retained:
		u.Index = s.newestIndex
		s.evict(&u, number)
	}
	return u
}

func (s *State) addReference(number int) {
	s.references[number]++
	if d := s.destinations[number]; d != nil {
		s.markInUse(d)
	}
}

// markInUse removes a destination from the list of those that may be evicted.
func (s *State) markInUse(d *destination) {
	if d.unreferenced != nil {
		s.unreferenced.Remove(d.unreferenced)
		d.unreferenced = nil
	}
}

// remainingCapacity returns how many more destinations can be looked up. Each pending lookup counts, since its destination will need a place.
func (s *State) remainingCapacity() int {
	return s.limits.MaxFetched - s.fetched + s.unreferenced.Len() - len(s.lookups.pending)
}

// budgetDelay returns how long one more lookup would wait for the budget.
func (s *State) budgetDelay(now time.Duration) time.Duration {
	return s.lookups.budget.delay(now, lookupCost(len(s.lookups.queue)+1))
}

// RejectWaiting rejects a message that can't wait for its lookup any longer. The message still refers to its destination.
func (s *State) RejectWaiting(now time.Duration) Decision {
	s.lookups.waitingMessages--
	return Decision{Reject, s.retryAfter(now)}
}

// RejectNotWaiting rejects a message that does not wait for a lookup, or no longer does: the endpoints of its destination have not reached the engine in time.
func (s *State) RejectNotWaiting(now time.Duration) Decision {
	return Decision{Reject, s.retryAfter(now)}
}

func (s *State) retryAfter(now time.Duration) time.Duration {
	return min(max(s.budgetDelay(now), minRetryAfter), maxRetryAfter)
}

func lookupCost(destinations int) float64 {
	return float64(lookupBaseBytes + lookupBytesPerDestination*destinations)
}

// NextLookup returns the next batch of destinations to look up, sorted; the budget limits its size. If the budget permits none now, wait says after what time the
// caller should try again; it is 0 if nothing is queued or the maximum of lookups is in flight. The caller completes each batch with ApplyLookup or FailLookup.
func (s *State) NextLookup(now time.Duration) (batch []int, wait time.Duration) {
	l := &s.lookups
	if len(l.queue) == 0 || l.inFlight >= s.limits.MaxInFlight {
		return nil, 0
	}
	if wait = l.budget.delay(now, lookupCost(1)); wait > 0 {
		return nil, wait
	}
	n := min(len(l.queue), s.limits.MaxBatch)
	for n > 1 && l.budget.delay(now, lookupCost(n)) > 0 {
		n--
	}
	l.budget.spend(now, lookupCost(n))
	batch = slices.Clone(l.queue[:n])
	slices.Sort(batch)
	l.queue = slices.Delete(l.queue, 0, n)
	l.inFlight++
	for _, number := range batch {
		l.pending[number] = true
	}
	return batch, 0
}

// NewestIndex returns the lowest index that the answer to a lookup may have.
func (s *State) NewestIndex() int64 { return s.newestIndex }

// ApplyLookup applies the answer for a batch, which lists all endpoints of its destinations. spent is the number of bytes that the lookup took on the wire. An
// answer that is older than anything received is not applied and returns ErrStaleAnswer; the batch is complete all the same.
func (s *State) ApplyLookup(now time.Duration, batch []int, a Answer, spent int64) (Update, error) {
	u := s.endLookup(now, batch, spent)
	if a.Index < s.newestIndex || s.maxLookupIndex > 0 && a.Index > s.maxLookupIndex {
		return u, ErrStaleAnswer
	}
	s.newestIndex, u.Index = a.Index, a.Index
	exists := map[int]bool{}
	for _, e := range a.Endpoints {
		exists[e.Group] = exists[e.Group] || e.Status != agent.Deleted
	}
	for _, number := range batch {
		switch {
		case s.destinations[number] != nil: // a watch or a change of the owned part has made it known in the meantime
		case s.owns(number): // added even without endpoints, so that its index stops an older watch answer from bringing them back
			s.destinations[number] = &destination{class: owned}
		case !exists[number]:
			s.missing.add(now, number, &s.limits)
		case s.makeRoom(&u):
			s.addFetched(number)
		}
	}
	a.Snapshot = true
	s.apply(&u, a, func(number int) bool { return slices.Contains(batch, number) && s.destinations[number] != nil })
	for _, number := range batch {
		if d := s.destinations[number]; d != nil {
			d.index = a.Index
		}
	}
	return u, nil
}

// FailLookup completes a batch that received no answer.
func (s *State) FailLookup(now time.Duration, batch []int, spent int64) Update {
	return s.endLookup(now, batch, spent)
}

func (s *State) endLookup(now time.Duration, batch []int, spent int64) Update {
	s.lookups.inFlight--
	s.lookups.budget.spend(now, float64(spent)-lookupCost(len(batch)))
	for _, number := range batch {
		delete(s.lookups.pending, number)
	}
	return Update{Index: s.newestIndex, CompletedLookups: batch}
}

func (s *State) addFetched(number int) {
	d := &destination{class: fetched}
	s.destinations[number] = d
	s.fetched++
	if s.references[number] == 0 { // no message waits for it any more
		d.unreferenced = s.unreferenced.PushFront(number)
	}
}

// makeRoom makes room for one fetched destination, if necessary by evicting the least recently used one without references. It reports false if there is none:
// messages may have come to refer to all of them since the lookup began.
func (s *State) makeRoom(u *Update) bool {
	if s.fetched < s.limits.MaxFetched {
		return true
	}
	oldest := s.unreferenced.Back()
	if oldest == nil {
		return false
	}
	s.evict(u, oldest.Value.(int))
	return true
}
