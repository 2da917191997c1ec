package engine

import (
	"context"
	"sync"
	"testing"
	"time"

	"scaleroute/internal/decide"
)

// TestRetryAfterWhileConnecting checks that a call that is still connecting when another call to its destination receives a retry-after time does not
// begin, and that its message is sent once that time has passed. A call to another destination begins, and so does one to another endpoint of the same
// destination if the endpoints are separate routes.
func TestRetryAfterWhileConnecting(t *testing.T) {
	for name, c := range map[string]struct {
		kind, other string // of the two endpoints
		destination int    // of the second endpoint
		delayed     bool
		read        bool // the retry-after time has been read but the rest of its answer has not, so that the loop does not know it yet
	}{
		"one destination":           {"plain", "plain", 7, true, false},
		"separate routes":           {"separate", "separate", 7, false, false},
		"another destination":       {"plain", "plain", 8, false, false},
		"one destination, read":     {"plain", "plain", 7, true, true},
		"separate routes, read":     {"separate", "separate", 7, false, true},
		"another destination, read": {"plain", "plain", 8, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			const wait = 300 * time.Millisecond
			connecting, retryAfterSent, checked, done := make(chan struct{}), make(chan time.Time, 1), make(chan struct{}), make(chan time.Time, 8)
			var mu sync.Mutex
			connectingID, refusedID := "", ""
			var began []bool
			n := startEngine(t, func(w *testConfig) {
				w.settings.Kinds = []decide.Kind{{Name: "plain", MaxBatch: 1}, {Name: "separate", MaxBatch: 1, SeparateRoutes: true}}
				w.list.Endpoints = []Endpoint{{Target: decide.Target{ID: "s1", Destination: 7, Kind: c.kind, Weight: 1000}}, {Target: decide.Target{ID: "s2", Destination: c.destination, Kind: c.other, Weight: 1000}}}
				w.call = func(ctx context.Context, a Attempt) decide.Outcome {
					mu.Lock()
					if connectingID == "" {
						connectingID = a.ID
						close(connecting)
					}
					slow := a.ID == connectingID && len(began) == 0
					if !slow && refusedID == "" {
						refusedID = a.ID
						mu.Unlock()
						if c.read {
							a.OnRetryAfter(wait)
							retryAfterSent <- time.Now()
							<-checked
						} else {
							retryAfterSent <- time.Now()
						}
						return decide.Outcome{Result: decide.Overloaded, RetryAfter: wait}
					}
					mu.Unlock()
					if slow {
						if <-retryAfterSent; !c.read {
							time.Sleep(50 * time.Millisecond) // until the loop knows the retry-after time; the rules permit a call before that
						}
					}
					begins := a.MayBegin()
					if slow {
						close(checked)
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
			submit := func(id string, destination int) {
				m := note(id)
				m.Destination = destination
				got := n.engine.Accept(m)
				if got.Kind != Accepted {
					t.Fatalf("%s: %+v", id, got)
				}
				got.ConfirmWritten(true)
			}
			submit("m1", 7)
			<-connecting
			submit("m2", c.destination)
			start := time.Now()
			at := <-done
			mu.Lock()
			defer mu.Unlock()
			if began[0] == c.delayed {
				t.Errorf("the connecting call may begin: %v", began[0])
			}
			if c.delayed && at.Sub(start) < wait-100*time.Millisecond {
				t.Errorf("the next call is made %v after the retry-after time was received", at.Sub(start))
			}
		})
	}
}
