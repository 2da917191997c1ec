package membership

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
)

// TestSourcesThatDisagree compares the merged list, as changes bring it about, with the stated rule worked out anew from all that
// was ever told: whatever the sources say in whatever order, no endpoint serves that one of them has withdrawn.
func TestSourcesThatDisagree(t *testing.T) {
	states := []decide.TargetState{decide.Active, decide.Active, decide.Draining, decide.Gone}
	served := 0
	rapid.Check(t, func(t *rapid.T) {
		var s Set
		type word struct {
			state   decide.TargetState
			address string
		}
		said := map[string]map[Source]word{} // what each source said last
		view := map[string]engine.Endpoint{} // as the engine would have it
		for range rapid.IntRange(1, 40).Draw(t, "lists") {
			from := Source(rapid.IntRange(0, int(sources)-1).Draw(t, "source"))
			l := engine.List{Scope: rapid.SampledFrom([]decide.ListScope{decide.Delta, decide.Delta, decide.Snapshot, decide.LastKnown, decide.Unavailable}).Draw(t, "scope")}
			if l.Scope == decide.Snapshot || l.Scope == decide.LastKnown {
				for _, by := range said {
					if w, ok := by[from]; ok {
						if by[from] = (word{decide.Gone, w.address}); from == File {
							delete(by, from)
						}
					}
				}
			}
			if l.Scope != decide.Unavailable {
				for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 4), 0, 4, rapid.ID[int]).Draw(t, "names") {
					e := engine.Endpoint{Target: decide.Target{ID: fmt.Sprint("s", n), Destination: n % 2, State: rapid.SampledFrom(states).Draw(t, "state")},
						Address: fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "address"))}
					l.Endpoints = append(l.Endpoints, e)
					if said[e.ID] == nil {
						said[e.ID] = map[Source]word{}
					}
					said[e.ID][from] = word{e.State, e.Address}
					if from == File && e.State == decide.Gone {
						delete(said[e.ID], from)
					}
				}
			}
			got := s.Update(from, l)
			if got.Scope != l.Scope {
				t.Fatalf("told %v, and %v came of it", l.Scope, got.Scope)
			}
			if l.Scope == decide.Snapshot || l.Scope == decide.LastKnown {
				clear(view)
			}
			for _, e := range got.Endpoints {
				if e.State == decide.Gone {
					delete(view, e.ID)
				} else {
					view[e.ID] = e
				}
			}
			want := map[string]string{}
			for name, by := range said {
				state, address, there := decide.Active, "", false
				for from := range sources {
					w, ok := by[from]
					if !ok {
						continue
					}
					if w.state != decide.Active {
						state = decide.Draining
					}
					if w.state != decide.Gone {
						there, address = true, w.address
					}
				}
				if !there {
					delete(said, name) // nobody names it: what was said is forgotten
				} else {
					want[name] = fmt.Sprint(state, " at ", address)
				}
			}
			have := map[string]string{}
			for name, e := range view {
				have[name] = fmt.Sprint(e.State, " at ", e.Address)
				if e.State == decide.Active {
					served++
				}
			}
			if fmt.Sprint(have) != fmt.Sprint(want) {
				t.Fatalf("after %v told %+v: the engine has %v; by the rule %v", from, l, have, want)
			}
		}
	})
	if served == 0 {
		t.Error("none ever served: the test shows nothing")
	}
}
