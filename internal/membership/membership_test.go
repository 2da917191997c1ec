package membership

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
)

// TestDisagreeingSources compares the merged list, as it results from the changes, with the documented rules applied from scratch to all statements. No endpoint may serve
// that one of the sources has withdrawn, whatever the sources say and in whatever order.
func TestDisagreeingSources(t *testing.T) {
	states := []decide.TargetState{decide.Active, decide.Active, decide.Draining, decide.Gone}
	active := 0
	rapid.Check(t, func(t *rapid.T) {
		var s Set
		type statement struct {
			state   decide.TargetState
			address string
		}
		statements := map[string]map[Source]statement{} // the latest statement of each source about each endpoint
		view := map[string]engine.Endpoint{}            // the list that the engine would have
		for range rapid.IntRange(1, 40).Draw(t, "lists") {
			from := Source(rapid.IntRange(0, int(sourceCount)-1).Draw(t, "source"))
			l := engine.List{Scope: rapid.SampledFrom([]decide.ListScope{decide.Delta, decide.Delta, decide.Snapshot, decide.LastKnown, decide.Unavailable}).Draw(t, "scope")}
			if l.Scope == decide.Snapshot || l.Scope == decide.LastKnown {
				for _, by := range statements {
					if w, ok := by[from]; ok {
						if by[from] = (statement{decide.Gone, w.address}); from == File {
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
					if statements[e.ID] == nil {
						statements[e.ID] = map[Source]statement{}
					}
					statements[e.ID][from] = statement{e.State, e.Address}
					if from == File && e.State == decide.Gone {
						delete(statements[e.ID], from)
					}
				}
			}
			got := s.Update(from, l)
			if got.Scope != l.Scope {
				t.Fatalf("the source sent scope %v, and the result has scope %v", l.Scope, got.Scope)
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
			for name, by := range statements {
				state, address, listed := decide.Active, "", false
				for from := range sourceCount {
					w, ok := by[from]
					if !ok {
						continue
					}
					if w.state != decide.Active {
						state = decide.Draining
					}
					if w.state != decide.Gone {
						listed, address = true, w.address
					}
				}
				if !listed {
					delete(statements, name) // no source names it any more: its statements are forgotten
				} else {
					want[name] = fmt.Sprint(state, " at ", address)
				}
			}
			have := map[string]string{}
			for name, e := range view {
				have[name] = fmt.Sprint(e.State, " at ", e.Address)
				if e.State == decide.Active {
					active++
				}
			}
			if fmt.Sprint(have) != fmt.Sprint(want) {
				t.Fatalf("after source %v sent %+v, the engine has %v; the rules give %v", from, l, have, want)
			}
		}
	})
	if active == 0 {
		t.Error("no endpoint ever served: the test covers too little")
	}
}
