package partial

import (
	"errors"
	"slices"
	"testing"
	"time"

	"scaleroute/internal/agent"
)

func ownsNone(int) bool { return false }

// newStateWithSnapshot creates a State that owns a part and has received a snapshot of it.
func newStateWithSnapshot(t *testing.T, owns DestinationFilter, index int64, endpoints ...agent.Endpoint) *State {
	t.Helper()
	s := New(DefaultLimits())
	if _, err := s.ApplyScope(owns, owns, nil); err != nil {
		t.Fatal(err)
	}
	if _, err := s.ApplyWatch(s.NextWatch(), Answer{Index: index, Snapshot: true, Endpoints: endpoints}); err != nil {
		t.Fatal(err)
	}
	return s
}

// lookUpDestination makes a State look up one destination and applies the answer.
func lookUpDestination(t *testing.T, s *State, now time.Duration, number int, a Answer) (Update, error) {
	t.Helper()
	if d := s.Admit(now, number); d.Action != Wait {
		t.Fatalf("%+v", d)
	}
	batch, wait := s.NextLookup(now)
	if !slices.Equal(batch, []int{number}) {
		t.Fatalf("the next lookup is %v, wait %v", batch, wait)
	}
	return s.ApplyLookup(now, batch, a, 500)
}

// TestEndpointChangesDestination checks that an endpoint which moves to another destination is removed from the first one, whether the second one is known here
// or not.
func TestEndpointChangesDestination(t *testing.T) {
	owns := func(d int) bool { return d < 3 }
	s := newStateWithSnapshot(t, owns, 5, entry(1, "a", agent.Serving), entry(2, "b", agent.Serving))
	u, err := s.ApplyWatch(s.NextWatch(), Answer{Index: 6, Endpoints: []agent.Endpoint{entry(2, "a", agent.Serving)}})
	if err != nil || len(u.Changed) != 2 || u.Changed[0].Status != agent.Deleted || u.Changed[0].Group != 1 || u.Changed[1].Group != 2 {
		t.Fatalf("%+v %v", u, err)
	}
	u, err = s.ApplyWatch(s.NextWatch(), Answer{Index: 7, Endpoints: []agent.Endpoint{entry(9, "a", agent.Serving)}})
	if err != nil || len(u.Changed) != 1 || u.Changed[0].Status != agent.Deleted || len(s.Endpoints()) != 1 {
		t.Fatalf("%+v %v; %v", u, err, s.Endpoints())
	}
	if u, err = s.ApplyWatch(s.NextWatch(), Answer{Index: 8, Endpoints: []agent.Endpoint{{Name: "b", Status: agent.Deleted}}}); err != nil || len(u.Changed) != 1 || u.Changed[0].Group != 2 {
		t.Fatalf("deletion without a destination: %+v %v", u, err)
	}
}

// TestLostPartition checks that a destination of a lost partition stays and is watched while messages refer to it, and is evicted with the last of them.
func TestLostPartition(t *testing.T) {
	owns := func(d int) bool { return d < 3 }
	s := newStateWithSnapshot(t, owns, 5, entry(1, "a", agent.Serving), entry(2, "b", agent.Serving))
	s.AddReference(1)
	s.AddReference(1)
	u, err := s.ApplyScope(ownsNone, ownsNone, nil)
	if err != nil || len(u.Evicted) != 1 || u.Evicted[0].Destination != 2 {
		t.Fatalf("%+v %v", u, err)
	}
	w := s.NextWatch()
	if !slices.Equal(w.Destinations, []int{1}) || w.From != 5 {
		t.Fatalf("%+v", w)
	}
	if u, err := s.ApplyWatch(w, Answer{Index: 6, Endpoints: []agent.Endpoint{entry(1, "a", agent.Draining)}}); err != nil || len(u.Changed) != 1 {
		t.Fatalf("%+v %v", u, err)
	}
	if u := s.Release(1); !u.Empty() {
		t.Fatalf("%+v", u)
	}
	if u := s.Release(1); len(u.Evicted) != 1 || u.Evicted[0].Destination != 1 || len(s.Endpoints()) != 0 {
		t.Fatalf("%+v", u)
	}
}

// TestStaleLookupAfterEviction checks that a lookup answer is not applied if it is older than the data that was evicted for its destination.
func TestStaleLookupAfterEviction(t *testing.T) {
	s := newStateWithSnapshot(t, ownsNone, 5)
	if _, err := lookUpDestination(t, s, 0, 9, Answer{Index: 8, Endpoints: []agent.Endpoint{entry(9, "a", agent.Draining)}}); err != nil {
		t.Fatal(err)
	}
	if d := s.Resume(0, 9); d.Action != Proceed {
		t.Fatalf("%+v", d)
	}
	s.Release(9)
	var u Update
	s.evict(&u, 9)
	_, err := lookUpDestination(t, s, time.Second, 9, Answer{Index: 7, Endpoints: []agent.Endpoint{entry(9, "a", agent.Serving)}})
	if !errors.Is(err, ErrStaleAnswer) || len(s.Endpoints()) > 0 {
		t.Fatalf("%v; %v", err, s.Endpoints())
	}
	if d := s.Resume(time.Second, 9); d.Action != Reject || d.RetryAfter <= 0 {
		t.Fatalf("%+v", d)
	}
}

// TestMissingDestination checks that messages for a destination that does not exist proceed, since the engine rejects them, and that the destination is looked up
// again after MissingTTL.
func TestMissingDestination(t *testing.T) {
	s := newStateWithSnapshot(t, ownsNone, 5)
	if _, err := lookUpDestination(t, s, 0, 9, Answer{Index: 5}); err != nil {
		t.Fatal(err)
	}
	if d := s.Resume(0, 9); d.Action != Proceed {
		t.Fatalf("%+v", d)
	}
	limits := DefaultLimits()
	if d := s.Admit(limits.MissingTTL-1, 9); d.Action != Proceed {
		t.Fatalf("%+v", d)
	}
	if d := s.Admit(limits.MissingTTL, 9); d.Action != Wait {
		t.Fatalf("%+v", d)
	}
}

// TestIndexReset checks that a State accepts a snapshot with a lower index from a server that once had the requested index, and from then on ignores lookup
// answers from before the reset.
func TestIndexReset(t *testing.T) {
	owns := func(d int) bool { return d == 1 }
	s := newStateWithSnapshot(t, owns, 1000, entry(1, "a", agent.Serving))
	w := s.NextWatch()
	if u, err := s.ApplyWatch(w, Answer{Index: 3, Snapshot: true, Endpoints: []agent.Endpoint{entry(1, "b", agent.Serving)}}); err != nil || len(u.Changed) != 2 {
		t.Fatalf("%+v %v", u, err)
	}
	if _, err := lookUpDestination(t, s, 0, 9, Answer{Index: 1000, Endpoints: []agent.Endpoint{entry(9, "c", agent.Serving)}}); !errors.Is(err, ErrStaleAnswer) {
		t.Fatal(err)
	}
	s.Resume(0, 9)
	s.Release(9)
	if _, err := lookUpDestination(t, s, 10*time.Second, 9, Answer{Index: 4, Endpoints: []agent.Endpoint{entry(9, "c", agent.Serving)}}); err != nil {
		t.Fatal(err)
	}
	if w := s.NextWatch(); w.From != 3 {
		t.Fatalf("%+v", w)
	}
	if _, err := s.ApplyWatch(s.NextWatch(), Answer{Index: 2}); !errors.Is(err, ErrStaleAnswer) {
		t.Fatalf("changes with a lower index: %v", err)
	}
}

// TestDestinationOfRecoveredMessage checks that the next watch requests the destination of a recovered message, and that until its answer a new message for the
// destination waits for a lookup or is rejected.
func TestDestinationOfRecoveredMessage(t *testing.T) {
	s := New(DefaultLimits())
	s.AddRecoveredMessage(7)
	if d := s.Admit(0, 7); d.Action != Wait {
		t.Fatalf("%+v", d)
	}
	batch, _ := s.NextLookup(0)
	s.FailLookup(0, batch, 500)
	if d := s.Resume(0, 7); d.Action != Reject {
		t.Fatalf("%+v", d)
	}
	s.Release(7)
	w := s.NextWatch()
	if !slices.Equal(w.Destinations, []int{7}) {
		t.Fatalf("%+v", w)
	}
	u, err := s.ApplyWatch(w, Answer{Index: 3, Snapshot: true, Endpoints: []agent.Endpoint{entry(7, "a", agent.Serving)}})
	if err != nil || len(u.Changed) != 1 || s.Admit(0, 7).Action != Proceed {
		t.Fatalf("%+v %v", u, err)
	}
}
