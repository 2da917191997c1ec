package registry

import (
	"context"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
)

type testEndpoint struct {
	*Incarnation
	released *bool
}

func (e testEndpoint) Listing() *Incarnation { return e.Incarnation }
func (e testEndpoint) Release()              { *e.released = true }

func newTestRegistry() *Registry[testEndpoint] {
	return New(func(address string) bool { return address != "mail" }, func(i *Incarnation) (testEndpoint, error) {
		if i.Address == "invalid" {
			return testEndpoint{}, fmt.Errorf("invalid address")
		}
		return testEndpoint{i, new(bool)}, nil
	})
}

// TestOnlyCurrentIncarnationIsWritten: whatever lists come, in any order, a message may be written to an endpoint only while it is listed with the
// identity that it had when its connection was opened, and is not draining. What was withdrawn stays withdrawn.
func TestOnlyCurrentIncarnationIsWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newTestRegistry()
		listed := map[string]engine.Endpoint{} // by name, with the latest start
		current := map[string]testEndpoint{}
		var all []testEndpoint
		for range rapid.IntRange(1, 20).Draw(t, "lists") {
			list := drawList(t)
			applyToModel(listed, list)
			r.Update(list)
			for name, e := range listed {
				now, ok := r.Named(name)
				if !ok {
					t.Fatalf("%s is not in the registry", name)
				}
				if now.EndpointIdentity != e.Identity() {
					t.Fatalf("%s is %+v, listed as %+v", name, now.EndpointIdentity, e.Identity())
				}
				if current[name] != now {
					current[name] = now
					all = append(all, now)
				}
			}
			if r.Len() != len(listed) {
				t.Fatalf("%d endpoints, %d listed", r.Len(), len(listed))
			}
			for _, e := range all {
				entry, isListed := listed[e.Name]
				isCurrent := isListed && current[e.Name] == e
				got := e.MayWrite(context.Background(), &engine.Attempt{}, e.Incarnation)
				want := Withdrawn
				switch {
				case isCurrent && entry.State == decide.Active:
					want = NotRefused
				case isCurrent:
					want = Draining
				}
				if got != want || *e.released != (want == Withdrawn) {
					t.Fatalf("%+v: %q, want %q; released %t", e.EndpointIdentity, got, want, *e.released)
				}
			}
		}
	})
}

func drawList(t *rapid.T) engine.List {
	list := engine.List{Scope: rapid.SampledFrom([]decide.ListScope{decide.Delta, decide.Delta, decide.Snapshot, decide.LastKnown}).Draw(t, "scope")}
	names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 3, rapid.ID).Draw(t, "names")
	for _, name := range names {
		list.Endpoints = append(list.Endpoints, engine.Endpoint{
			Target: decide.Target{ID: name, Destination: rapid.IntRange(1, 2).Draw(t, "destination"),
				State: rapid.SampledFrom([]decide.TargetState{decide.Active, decide.Active, decide.Draining, decide.Gone}).Draw(t, "state")},
			Address:   rapid.SampledFrom([]string{"x", "y", "mail", "invalid"}).Draw(t, "address"),
			StartedMS: int64(rapid.IntRange(0, 3).Draw(t, "start"))})
	}
	return list
}

// applyToModel applies a list to a plain map of what is listed. An endpoint keeps its start where an entry has none, or an older one.
func applyToModel(listed map[string]engine.Endpoint, list engine.List) {
	named := map[string]bool{}
	for _, e := range list.Endpoints {
		named[e.ID] = true
		if e.State == decide.Gone || e.Address == "mail" || e.Address == "invalid" {
			delete(listed, e.ID)
			continue
		}
		if old, ok := listed[e.ID]; ok && old.Address == e.Address && old.Destination == e.Destination {
			e.StartedMS = max(e.StartedMS, old.StartedMS)
		}
		listed[e.ID] = e
	}
	for name := range listed {
		if list.Scope != decide.Delta && !named[name] {
			delete(listed, name)
		}
	}
}

// TestWaitEndsWithEndpoint: a wait for a connection ends when the endpoint drains or is withdrawn, and not before.
func TestWaitEndsWithEndpoint(t *testing.T) {
	for _, end := range []Refusal{Draining, Withdrawn} {
		i := NewIncarnation(engine.EndpointIdentity{Name: "a"})
		wait, release := i.WhileCallable(t.Context())
		other, releaseOther := i.WhileCallable(t.Context())
		releaseOther()
		if other.Err() == nil || wait.Err() != nil {
			t.Fatalf("released: %v, waiting: %v", other.Err(), wait.Err())
		}
		i.setRefusal(end)
		if context.Cause(wait) != ErrNotCallable {
			t.Errorf("%s: the wait has not ended: %v", end, context.Cause(wait))
		}
		release()
		late, releaseLate := i.WhileCallable(t.Context())
		if context.Cause(late) != ErrNotCallable {
			t.Errorf("%s: a wait began", end)
		}
		releaseLate()
	}
}

// TestConnectionOfAnotherEndpointIsRefused: a connection carries messages only of the endpoint that it was opened for.
func TestConnectionOfAnotherEndpointIsRefused(t *testing.T) {
	a, b := NewIncarnation(engine.EndpointIdentity{Name: "a", Address: "x"}), NewIncarnation(engine.EndpointIdentity{Name: "a", Address: "x"})
	if got := a.MayWrite(t.Context(), &engine.Attempt{}, b); got != OtherConnection {
		t.Errorf("%q", got)
	}
}

// TestRecordSending: a message that may not be written in the first place is not recorded, and one that can't be recorded is not written.
func TestRecordSending(t *testing.T) {
	i := NewIncarnation(engine.EndpointIdentity{Name: "a", Address: "x"})
	asked, permits := 0, true
	attempt := &engine.Attempt{RecordSending: func(context.Context) bool {
		asked++
		return permits
	}}
	if got := i.RecordSending(t.Context(), attempt, i); got != NotRefused || asked != 1 {
		t.Errorf("%q, asked %d times", got, asked)
	}
	permits = false
	if got := i.RecordSending(t.Context(), attempt, i); got != NotRecorded || asked != 2 {
		t.Errorf("without a record: %q, asked %d times", got, asked)
	}
	if got := i.RecordSending(t.Context(), &engine.Attempt{}, i); got != NotRefused {
		t.Errorf("recorded already: %q", got)
	}
	i.Withdraw()
	if got := i.RecordSending(t.Context(), attempt, i); got != Withdrawn || asked != 2 {
		t.Errorf("withdrawn: %q, asked %d times", got, asked)
	}
}
