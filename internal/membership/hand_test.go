package membership

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
)

// TestLeftOutByHand: whatever discovery lists, drops and lists anew meanwhile, an endpoint that is left out by hand serves only after it
// was put back, also over a restart from what was stored; and what could not be stored is not so.
func TestLeftOutByHand(t *testing.T) {
	disk := errors.New("disk")
	served, kept := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		var s Set
		view := map[string]engine.Endpoint{}
		out, ever, stored := map[string]bool{}, map[string]bool{}, []string(nil)
		putBack := map[string]uint32{}
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
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := fmt.Sprint("s", rapid.IntRange(0, 4).Draw(t, "name"))
			fails := rapid.IntRange(0, 4).Draw(t, "disk") == 0
			store := func(names []string) error {
				if fails {
					return disk
				}
				stored = names
				return nil
			}
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				l, err := s.Disable(name, 3, store)
				switch {
				case !ever[name] && !out[name]:
					if !errors.Is(err, ErrNeverListed) {
						t.Fatalf("%s was never listed: %v", name, err)
					}
				case out[name]:
					if err != nil {
						t.Fatal(err)
					}
				case len(out) == 3:
					if !errors.Is(err, ErrTooManyDisabled) {
						t.Fatalf("a fourth: %v", err)
					}
				case fails:
					if !errors.Is(err, disk) {
						t.Fatalf("not stored: %v", err)
					}
				default:
					out[name] = true
				}
				take(l)
			case 1:
				l, err := s.Enable(name, store)
				switch {
				case !ever[name] && !out[name]:
					if !errors.Is(err, ErrNeverListed) {
						t.Fatalf("%s was never listed: %v", name, err)
					}
				case out[name] && fails:
					if !errors.Is(err, disk) {
						t.Fatalf("not stored: %v", err)
					}
				case out[name]:
					delete(out, name)
					putBack[name]++
				}
				take(l)
			case 2: // a restart: what was stored is all there is
				s = Set{}
				s.RestoreDisabled(stored)
				clear(view)
				clear(ever)
				clear(putBack)
				kept += len(stored)
			default:
				l := engine.List{Scope: rapid.SampledFrom([]decide.ListScope{decide.Delta, decide.Snapshot}).Draw(t, "scope")}
				for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 4), 0, 4, rapid.ID[int]).Draw(t, "names") {
					e := engine.Endpoint{Target: decide.Target{ID: fmt.Sprint("s", n),
						State: rapid.SampledFrom([]decide.TargetState{decide.Active, decide.Draining, decide.Gone}).Draw(t, "state")}}
					l.Endpoints = append(l.Endpoints, e)
					ever[e.ID] = true
				}
				take(s.Update(Agent, l))
			}
			if got := s.Disabled(); len(got) != len(out) || !slices.Equal(got, stored) && len(got)+len(stored) > 0 {
				t.Fatalf("left out %v, stored %v, want %v", got, stored, out)
			}
			for id, e := range view {
				if e.State == decide.Active {
					served++
				}
				if out[id] && e.State == decide.Active || e.EnableCount != putBack[id] {
					t.Fatalf("%s is left out: %v; put back %d times; the engine has %+v", id, out[id], putBack[id], e)
				}
			}
		}
	})
	if served == 0 || kept == 0 {
		t.Error("none served, or none was left out over a restart: the test shows nothing")
	}
}
