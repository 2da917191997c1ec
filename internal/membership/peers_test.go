package membership

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
)

// TestWithdrawnByPeers: whatever others claim, and whatever lists come meanwhile, at least half of a destination's endpoints that serve by the lists do so, one at least;
// none serves that the lists do not have serve; and what nobody claims any more is as the lists say.
func TestWithdrawnByPeers(t *testing.T) {
	withdrawn := 0
	rapid.Check(t, func(t *rapid.T) {
		var s Set
		lists, view := map[string]engine.Endpoint{}, map[string]engine.Endpoint{}
		take := func(l engine.List) {
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
		var claims []string
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
				take(s.Update(Agent, l))
			} else {
				claims = nil
				for i := range 7 { // also names that nobody has listed
					if rapid.Bool().Draw(t, "claim") {
						claims = append(claims, fmt.Sprint("s", i))
					}
				}
			}
			take(s.SetPeerDrains(claims)) // as after each list
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
						t.Fatalf("%s serves, and the lists say %v", id, e.State)
					case got == decide.Active:
						left++
					case e.State == decide.Active && !slices.Contains(claims, id):
						t.Fatalf("%s does not serve, and nobody claims that", id)
					case e.State == decide.Active:
						withdrawn++
					}
				}
				if left < (serving+1)/2 {
					t.Fatalf("%d of %d serve", left, serving)
				}
			}
			if len(view) != len(lists) {
				t.Fatalf("%d of %d are there", len(view), len(lists))
			}
		}
	})
	if withdrawn == 0 {
		t.Error("nothing was withdrawn: this test tests too little")
	}
}
