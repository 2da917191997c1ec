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

// TestDisabledByOperator: an endpoint that an operator has disabled serves only after it is re-enabled, whatever discovery lists, drops and lists again meanwhile, and also
// across a restart from the stored names. A change that could not be stored does not take effect.
func TestDisabledByOperator(t *testing.T) {
	errDisk := errors.New("disk")
	active, restored := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		var s Set
		view := map[string]engine.Endpoint{}
		disabled, everListed, stored := map[string]bool{}, map[string]bool{}, []string(nil)
		enableCount := map[string]uint32{}
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
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := fmt.Sprint("s", rapid.IntRange(0, 4).Draw(t, "name"))
			fails := rapid.IntRange(0, 4).Draw(t, "disk") == 0
			store := func(names []string) error {
				if fails {
					return errDisk
				}
				stored = names
				return nil
			}
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				l, err := s.Disable(name, 3, store)
				switch {
				case !everListed[name] && !disabled[name]:
					if !errors.Is(err, ErrNeverListed) {
						t.Fatalf("%s was never listed: %v", name, err)
					}
				case disabled[name]:
					if err != nil {
						t.Fatal(err)
					}
				case len(disabled) == 3:
					if !errors.Is(err, ErrTooManyDisabled) {
						t.Fatalf("disabling a fourth endpoint: %v", err)
					}
				case fails:
					if !errors.Is(err, errDisk) {
						t.Fatalf("storing failed, and the error is: %v", err)
					}
				default:
					disabled[name] = true
				}
				apply(l)
			case 1:
				l, err := s.Enable(name, store)
				switch {
				case !everListed[name] && !disabled[name]:
					if !errors.Is(err, ErrNeverListed) {
						t.Fatalf("%s was never listed: %v", name, err)
					}
				case disabled[name] && fails:
					if !errors.Is(err, errDisk) {
						t.Fatalf("storing failed, and the error is: %v", err)
					}
				case disabled[name]:
					delete(disabled, name)
					enableCount[name]++
				}
				apply(l)
			case 2: // a restart: only the stored names remain
				s = Set{}
				s.RestoreDisabled(stored)
				clear(view)
				clear(everListed)
				clear(enableCount)
				restored += len(stored)
			default:
				l := engine.List{Scope: rapid.SampledFrom([]decide.ListScope{decide.Delta, decide.Snapshot}).Draw(t, "scope")}
				for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(0, 4), 0, 4, rapid.ID[int]).Draw(t, "names") {
					e := engine.Endpoint{Target: decide.Target{ID: fmt.Sprint("s", n),
						State: rapid.SampledFrom([]decide.TargetState{decide.Active, decide.Draining, decide.Gone}).Draw(t, "state")}}
					l.Endpoints = append(l.Endpoints, e)
					everListed[e.ID] = true
				}
				apply(s.Update(Agent, l))
			}
			if got := s.Disabled(); len(got) != len(disabled) || !slices.Equal(got, stored) && len(got)+len(stored) > 0 {
				t.Fatalf("disabled: %v; stored: %v; want %v", got, stored, disabled)
			}
			for id, e := range view {
				if e.State == decide.Active {
					active++
				}
				if disabled[id] && e.State == decide.Active || e.EnableCount != enableCount[id] {
					t.Fatalf("%s is disabled: %v; it was re-enabled %d times; the engine has %+v", id, disabled[id], enableCount[id], e)
				}
			}
		}
	})
	if active == 0 || restored == 0 {
		t.Error("no endpoint served, or none was disabled across a restart: the test covers too little")
	}
}
