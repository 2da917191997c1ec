package partial

import (
	"math"
	"slices"
	"time"

	"scaleroute/internal/agent"
)

// Action is what becomes of a message that has arrived.
type Action int

// The verdicts.
const (
	Proceed Action = iota // to the engine, which knows its destination or that there is none
	Wait                  // until the look-up of its destination is over
	Reject                // with a retry-after
)

// Decision is a verdict on a message. One that passes or waits refers to its destination until Release.
type Decision struct {
	Action     Action
	RetryAfter time.Duration
}

// Costs of a look-up on the wire, both ways, headers included, until it is known what it came to.
const (
	lookupBase = 190 // bytes of one look-up
	lookupEach = 140 // bytes of one destination in it
)

const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// lookups are those that wait for their budget, and those that are under way.
type lookups struct {
	pending  map[int]bool // destinations of both; true: under way
	queue    []int
	inFlight int
	waiting  int // messages
	budget   budget
}

func newLookups(l Limits) lookups {
	return lookups{pending: map[int]bool{}, budget: budget{rate: l.LookupBytesPerSecond, burst: l.Burst, tokens: l.Burst}}
}

// Admit decides on a message for a destination.
func (s *State) Admit(now time.Duration, number int) Decision {
	if number < 0 || number > math.MaxUint32 || s.Known(number) || s.missing.has(now, number) {
		s.refer(number)
		return Decision{Action: Proceed}
	}
	if s.lookups.waiting >= s.limits.MaxWaiting {
		return Decision{Reject, s.retryAfter(now)}
	}
	if _, under := s.lookups.pending[number]; !under {
		if s.room() <= 0 || s.budgetDelay(now) > s.limits.MaxBudgetDelay {
			return Decision{Reject, s.retryAfter(now)}
		}
		s.lookups.pending[number] = false
		s.lookups.queue = append(s.lookups.queue, number)
	}
	s.lookups.waiting++
	s.refer(number)
	return Decision{Action: Wait}
}

// Resume decides on a message whose look-up is over. It refers to its destination still, also where it is rejected.
func (s *State) Resume(now time.Duration, number int) Decision {
	s.lookups.waiting--
	if s.Known(number) || s.missing.has(now, number) {
		return Decision{Action: Proceed}
	}
	return Decision{Reject, s.retryAfter(now)}
}

// AddReference notes a message of the engine's for a destination: from its acceptance, or its recovery, until Release.
func (s *State) AddReference(number int) { s.refer(number) }

// Release ends what refers to a destination: a message that was handed in, or one of the engine's that is completed.
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
		d.idle = s.idle.PushFront(number)
	case retained:
		u.Index = s.newest
		s.evict(&u, number)
	}
	return u
}

func (s *State) refer(number int) {
	s.references[number]++
	if d := s.destinations[number]; d != nil {
		s.busy(d)
	}
}

// busy takes a destination off those that may be evicted.
func (s *State) busy(d *destination) {
	if d.idle != nil {
		s.idle.Remove(d.idle)
		d.idle = nil
	}
}

// room is how many more destinations can be looked up: those whose look-up is pending will need theirs.
func (s *State) room() int {
	return s.limits.MaxFetched - s.fetched + s.idle.Len() - len(s.lookups.pending)
}

// budgetDelay is how long one more look-up would wait for its budget.
func (s *State) budgetDelay(now time.Duration) time.Duration {
	return s.lookups.budget.delay(now, lookupCost(len(s.lookups.queue)+1))
}

// RejectWaiting rejects a message that can't wait any longer. It refers to its destination still.
func (s *State) RejectWaiting(now time.Duration) Decision {
	s.lookups.waiting--
	return Decision{Reject, s.retryAfter(now)}
}

// RejectNotWaiting rejects a message that does not wait for a look-up.
func (s *State) RejectNotWaiting(now time.Duration) Decision {
	return Decision{Reject, s.retryAfter(now)}
}

func (s *State) retryAfter(now time.Duration) time.Duration {
	return min(max(s.budgetDelay(now), minRetryAfter), maxRetryAfter)
}

func lookupCost(destinations int) float64 {
	return float64(lookupBase + lookupEach*destinations)
}

// NextLookup is the next batch to look up, sorted, as its cost permits. Where there is none now, wait is how long to ask again, and 0 where nothing is queued or
// enough look-ups are in flight. Each batch is ended by ApplyLookup or FailLookup.
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

// NewestIndex is the index that the answer to a look-up must have at least.
func (s *State) NewestIndex() int64 { return s.newest }

// ApplyLookup takes the answer for a batch: everything that there is of its destinations. spent is what it has cost on the wire. An answer that is older than
// anything received is not applied; the batch is over all the same.
func (s *State) ApplyLookup(now time.Duration, batch []int, a Answer, spent int64) (Update, error) {
	u := s.endLookup(now, batch, spent)
	if a.Index < s.newest || s.ceiling > 0 && a.Index > s.ceiling {
		return u, ErrStaleAnswer
	}
	s.newest, u.Index = a.Index, a.Index
	has := map[int]bool{}
	for _, e := range a.Endpoints {
		has[e.Group] = has[e.Group] || e.Status != agent.Deleted
	}
	for _, number := range batch {
		switch {
		case s.destinations[number] != nil: // it became known by itself meanwhile
		case s.owns(number): // also where it has no endpoints: a watch that is older must not bring them back
			s.destinations[number] = &destination{class: owned}
		case !has[number]:
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

// FailLookup ends a batch without an answer.
func (s *State) FailLookup(now time.Duration, batch []int, spent int64) Update {
	return s.endLookup(now, batch, spent)
}

func (s *State) endLookup(now time.Duration, batch []int, spent int64) Update {
	s.lookups.inFlight--
	s.lookups.budget.spend(now, float64(spent)-lookupCost(len(batch)))
	for _, number := range batch {
		delete(s.lookups.pending, number)
	}
	return Update{Index: s.newest, CompletedLookups: batch}
}

func (s *State) addFetched(number int) {
	d := &destination{class: fetched}
	s.destinations[number] = d
	s.fetched++
	if s.references[number] == 0 { // nobody waits any more
		d.idle = s.idle.PushFront(number)
	}
}

// makeRoom evicts the least recently used destination where the set is full, and tells whether there is room: each may have come into use since the look-up began.
func (s *State) makeRoom(u *Update) bool {
	if s.fetched < s.limits.MaxFetched {
		return true
	}
	oldest := s.idle.Back()
	if oldest == nil {
		return false
	}
	s.evict(u, oldest.Value.(int))
	return true
}
