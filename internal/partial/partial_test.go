package partial

import (
	"errors"
	"slices"
	"testing"
	"time"

	"scaleroute/internal/agent"
)

func none(int) bool { return false }

// owning has a State know a snapshot of a part.
func owning(t *testing.T, owns DestinationFilter, index int64, endpoints ...agent.Endpoint) *State {
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

// lookUp has a State look up one destination.
func lookUp(t *testing.T, s *State, now time.Duration, number int, a Answer) (Update, error) {
	t.Helper()
	if d := s.Admit(now, number); d.Action != Wait {
		t.Fatalf("%+v", d)
	}
	batch, wait := s.NextLookup(now)
	if !slices.Equal(batch, []int{number}) {
		t.Fatalf("looked up: %v, or in %v", batch, wait)
	}
	return s.ApplyLookup(now, batch, a, 500)
}

// TestEndpointMoves: one that goes to another destination leaves the first one, be the second known here or not.
func TestEndpointMoves(t *testing.T) {
	owns := func(d int) bool { return d < 3 }
	s := owning(t, owns, 5, entry(1, "a", agent.Serving), entry(2, "b", agent.Serving))
	u, err := s.ApplyWatch(s.NextWatch(), Answer{Index: 6, Endpoints: []agent.Endpoint{entry(2, "a", agent.Serving)}})
	if err != nil || len(u.Changed) != 2 || u.Changed[0].Status != agent.Deleted || u.Changed[0].Group != 1 || u.Changed[1].Group != 2 {
		t.Fatalf("%+v %v", u, err)
	}
	u, err = s.ApplyWatch(s.NextWatch(), Answer{Index: 7, Endpoints: []agent.Endpoint{entry(9, "a", agent.Serving)}})
	if err != nil || len(u.Changed) != 1 || u.Changed[0].Status != agent.Deleted || len(s.Endpoints()) != 1 {
		t.Fatalf("%+v %v; %v", u, err, s.Endpoints())
	}
	if u, err = s.ApplyWatch(s.NextWatch(), Answer{Index: 8, Endpoints: []agent.Endpoint{{Name: "b", Status: agent.Deleted}}}); err != nil || len(u.Changed) != 1 || u.Changed[0].Group != 2 {
		t.Fatalf("a deletion that names no destination: %+v %v", u, err)
	}
}

// TestLostPartition: a destination of a lost partition stays while a message refers to it, is watched as long, and leaves with the last one.
func TestLostPartition(t *testing.T) {
	owns := func(d int) bool { return d < 3 }
	s := owning(t, owns, 5, entry(1, "a", agent.Serving), entry(2, "b", agent.Serving))
	s.AddReference(1)
	s.AddReference(1)
	u, err := s.ApplyScope(none, none, nil)
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

// TestOlderAfterEviction: what was received of a destination that was evicted is not undone by an older look-up.
func TestOlderAfterEviction(t *testing.T) {
	s := owning(t, none, 5)
	if _, err := lookUp(t, s, 0, 9, Answer{Index: 8, Endpoints: []agent.Endpoint{entry(9, "a", agent.Draining)}}); err != nil {
		t.Fatal(err)
	}
	if d := s.Resume(0, 9); d.Action != Proceed {
		t.Fatalf("%+v", d)
	}
	s.Release(9)
	var u Update
	s.evict(&u, 9)
	_, err := lookUp(t, s, time.Second, 9, Answer{Index: 7, Endpoints: []agent.Endpoint{entry(9, "a", agent.Serving)}})
	if !errors.Is(err, ErrStaleAnswer) || len(s.Endpoints()) > 0 {
		t.Fatalf("%v; %v", err, s.Endpoints())
	}
	if d := s.Resume(time.Second, 9); d.Action != Reject || d.RetryAfter <= 0 {
		t.Fatalf("%+v", d)
	}
}

// TestMissing: a destination that does not exist passes, as the engine rejects it, is remembered for a time, and looked up again after that.
func TestMissing(t *testing.T) {
	s := owning(t, none, 5)
	if _, err := lookUp(t, s, 0, 9, Answer{Index: 5}); err != nil {
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

// TestCountedAnew: a server that had the index itself answers with a snapshot of a lower one: it holds from then on, and look-ups of before that don't.
func TestCountedAnew(t *testing.T) {
	owns := func(d int) bool { return d == 1 }
	s := owning(t, owns, 1000, entry(1, "a", agent.Serving))
	w := s.NextWatch()
	if u, err := s.ApplyWatch(w, Answer{Index: 3, Snapshot: true, Endpoints: []agent.Endpoint{entry(1, "b", agent.Serving)}}); err != nil || len(u.Changed) != 2 {
		t.Fatalf("%+v %v", u, err)
	}
	if _, err := lookUp(t, s, 0, 9, Answer{Index: 1000, Endpoints: []agent.Endpoint{entry(9, "c", agent.Serving)}}); !errors.Is(err, ErrStaleAnswer) {
		t.Fatal(err)
	}
	s.Resume(0, 9)
	s.Release(9)
	if _, err := lookUp(t, s, 10*time.Second, 9, Answer{Index: 4, Endpoints: []agent.Endpoint{entry(9, "c", agent.Serving)}}); err != nil {
		t.Fatal(err)
	}
	if w := s.NextWatch(); w.From != 3 {
		t.Fatalf("%+v", w)
	}
	if _, err := s.ApplyWatch(s.NextWatch(), Answer{Index: 2}); !errors.Is(err, ErrStaleAnswer) {
		t.Fatalf("changes of a lower index: %v", err)
	}
}

// TestExpected: a destination of recovered messages is asked for with the next watch, and until then a message for it waits for its own look-up, or is rejected.
func TestExpected(t *testing.T) {
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
