package engine

import (
	"context"
	"sync"
	"testing"
	"time"

	"scaleroute/internal/decide"
)

// TestWaitToldWhileConnecting: a call whose connection takes long, while another call to its destination is told to wait, does not begin, and is made once the wait is over. One to another
// destination begins, and so does one to another target of the same destination whose kind has routes apart.
func TestWaitToldWhileConnecting(t *testing.T) {
	for name, c := range map[string]struct {
		kind, other string // of the two targets
		destination int    // of the second
		held        bool
		read        bool // the wait has been read, and the rest of its answer is still to come: the loop has heard nothing
	}{
		"one destination":           {"plain", "plain", 7, true, false},
		"routes apart":              {"apart", "apart", 7, false, false},
		"another destination":       {"plain", "plain", 8, false, false},
		"one destination, read":     {"plain", "plain", 7, true, true},
		"routes apart, read":        {"apart", "apart", 7, false, true},
		"another destination, read": {"plain", "plain", 8, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			const wait = 300 * time.Millisecond
			connecting, told, asked, done := make(chan struct{}), make(chan time.Time, 1), make(chan struct{}), make(chan time.Time, 8)
			var mu sync.Mutex
			first, refused := "", ""
			var began []bool
			n := startLoop(t, func(w *world) {
				w.settings.Kinds = []decide.Kind{{Name: "plain", MaxBatch: 1}, {Name: "apart", MaxBatch: 1, SeparateRoutes: true}}
				w.list.Endpoints = []Endpoint{{Target: decide.Target{ID: "s1", Destination: 7, Kind: c.kind, Weight: 1000}}, {Target: decide.Target{ID: "s2", Destination: c.destination, Kind: c.other, Weight: 1000}}}
				w.call = func(ctx context.Context, a Attempt) decide.Outcome {
					mu.Lock()
					if first == "" {
						first = a.ID
						close(connecting)
					}
					slow := a.ID == first && len(began) == 0
					if !slow && refused == "" {
						refused = a.ID
						mu.Unlock()
						if c.read {
							a.OnRetryAfter(wait)
							told <- time.Now()
							<-asked
						} else {
							told <- time.Now()
						}
						return decide.Outcome{Result: decide.Overloaded, RetryAfter: wait}
					}
					mu.Unlock()
					if slow {
						if <-told; !c.read {
							time.Sleep(50 * time.Millisecond) // the loop has heard; what it has not is let through by the rules
						}
					}
					begins := a.MayBegin()
					if slow {
						close(asked)
					}
					mu.Lock()
					began = append(began, begins)
					mu.Unlock()
					if !begins {
						return decide.Outcome{Result: decide.NotSent}
					}
					done <- time.Now()
					return decide.Outcome{Result: decide.Succeeded, NoAnswerNeeded: true}
				}
			})
			hand := func(id string, destination int) {
				m := note(id)
				m.Destination = destination
				got := n.loop.Accept(m)
				if got.Kind != Accepted {
					t.Fatalf("%s: %+v", id, got)
				}
				got.ConfirmWritten(true)
			}
			hand("m1", 7)
			<-connecting
			hand("m2", c.destination)
			began0 := time.Now()
			at := <-done
			mu.Lock()
			defer mu.Unlock()
			if began[0] == c.held {
				t.Errorf("a call that was being connected begins: %v", began[0])
			}
			if c.held && at.Sub(began0) < wait-100*time.Millisecond {
				t.Errorf("the next call is made %v after the wait was told", at.Sub(began0))
			}
		})
	}
}
