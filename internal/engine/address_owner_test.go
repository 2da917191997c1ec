package engine

import (
	"testing"

	"pgregory.net/rapid"

	"scaleroute/internal/decide"
)

// TestAddressBelongsToLatestStart: whatever lists come, an endpoint whose address another one has that started later drains, and serves again once that
// one is gone or elsewhere. Endpoints of operators keep their address, and those of equal or unknown starts share theirs.
func TestAddressBelongsToLatestStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var owners addressOwners
		owners.init()
		listed := map[string]Endpoint{}
		received := map[string]decide.TargetState{} // by a receiver of the resolved lists
		for range rapid.IntRange(1, 20).Draw(t, "lists") {
			list := drawAddressList(t)
			entries := len(list.Endpoints)
			if list.Scope != decide.Delta {
				clear(listed)
				clear(received)
			}
			for _, e := range list.Endpoints {
				if listed[e.ID] = e; e.State == decide.Gone {
					delete(listed, e.ID)
				}
			}
			resolved := owners.resolve(list)
			if len(list.Endpoints) != entries {
				t.Fatal("the caller's list has changed")
			}
			for _, e := range resolved.Endpoints {
				if received[e.ID] = e.State; e.State == decide.Gone {
					delete(received, e.ID)
				}
			}
			if len(received) != len(listed) {
				t.Fatalf("received %v, listed %v", received, listed)
			}
			for name, e := range listed {
				if want := stateByOwner(listed, e); received[name] != want {
					t.Fatalf("%s is %v, want %v: %+v", name, received[name], want, listed)
				}
			}
		}
	})
}

// stateByOwner returns the state of an endpoint in view of all that are listed.
func stateByOwner(listed map[string]Endpoint, e Endpoint) decide.TargetState {
	for _, other := range listed {
		if other.Address == e.Address && e.Address != "" && !other.AddressPinned && !e.AddressPinned && other.StartedMS > e.StartedMS {
			return max(e.State, decide.Draining)
		}
	}
	return e.State
}

func drawAddressList(t *rapid.T) List {
	list := List{Scope: rapid.SampledFrom([]decide.ListScope{decide.Delta, decide.Delta, decide.Delta, decide.Snapshot}).Draw(t, "scope")}
	for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 0, 4, rapid.ID).Draw(t, "names") {
		list.Endpoints = append(list.Endpoints, Endpoint{
			Target: decide.Target{ID: name, Destination: rapid.IntRange(1, 2).Draw(t, "destination"),
				State: rapid.SampledFrom([]decide.TargetState{decide.Active, decide.Active, decide.Draining, decide.Gone}).Draw(t, "state")},
			Address:       rapid.SampledFrom([]string{"x", "y", ""}).Draw(t, "address"),
			StartedMS:     int64(rapid.IntRange(0, 3).Draw(t, "start")),
			AddressPinned: rapid.IntRange(0, 4).Draw(t, "pinned") == 0})
	}
	return list
}
