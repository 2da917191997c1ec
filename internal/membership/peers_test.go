package membership

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
)

// TestPeerDrainLimits: whatever other forwarders report, and whatever lists arrive meanwhile, at least half of the endpoints of a destination that are active in the lists
// serve, and at least one. No endpoint serves that is not active in the lists. An endpoint that no forwarder reports any more has the state that the lists give it.
func TestPeerDrainLimits(t *testing.T) {
	withdrawn := 0
	rapid.Check(t, func(t *rapid.T) {
		var s Set
		lists, view := map[string]engine.Endpoint{}, map[string]engine.Endpoint{}
		apply := func(l engine.List) {
			if l.Scope == decide.Snapshot {
				clear(view)
			}
			for _, e := range l.Endpoints {
				if e.State == decide.Gone {
					delete(view, e.ID)
				} else {
					view[e.ID] = e
				}
			}
		}
		var reported []string
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "list") {
				l := engine.List{Scope: rapid.SampledFrom([]decide.ListScope{decide.Snapshot, decide.Delta}).Draw(t, "scope")}
				if l.Scope == decide.Snapshot {
					clear(lists)
				}
				for i := range rapid.IntRange(0, 6).Draw(t, "n") {
					e := engine.Endpoint{Target: decide.Target{ID: fmt.Sprint("s", i), Destination: i % 2, State: rapid.SampledFrom([]decide.TargetState{decide.Active, decide.Active, decide.Draining, decide.Gone}).Draw(t, "state")}}
					l.Endpoints = append(l.Endpoints, e)
					if lists[e.ID] = e; e.State == decide.Gone {
						delete(lists, e.ID)
					}
				}
				apply(s.Update(Agent, l))
			} else {
				reported = nil
				for i := range 7 { // also names that no source has listed
					if rapid.Bool().Draw(t, "reported") {
						reported = append(reported, fmt.Sprint("s", i))
					}
				}
			}
			apply(s.SetPeerDrains(reported)) // called after each list, as the forwarder does
			for d := range 2 {
				serving, left := 0, 0
				for id, e := range lists {
					if e.Destination != d {
						continue
					}
					if e.State == decide.Active {
						serving++
					}
					switch got := view[id].State; {
					case got == decide.Active && e.State != decide.Active:
						t.Fatalf("%s serves, but its state in the lists is %v", id, e.State)
					case got == decide.Active:
						left++
					case e.State == decide.Active && !slices.Contains(reported, id):
						t.Fatalf("%s does not serve, but no forwarder reports that it drains", id)
					case e.State == decide.Active:
						withdrawn++
					}
				}
				if left < (serving+1)/2 {
					t.Fatalf("only %d of %d active endpoints serve", left, serving)
				}
			}
			if len(view) != len(lists) {
				t.Fatalf("the merged list has %d of %d endpoints", len(view), len(lists))
			}
		}
	})
	if withdrawn == 0 {
		t.Error("no endpoint was withdrawn: the test covers too little")
	}
}
