package engine

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"scaleroute/internal/decide"
)

// TestRetryAfterSurvivesRelisting checks that a retry-after time outlasts the removal of its endpoint from the list, in any way and order, when the
// endpoint is listed again under its name: no call begins before that time, the Forwarder learns the remaining time from the outcome of the first call
// that it decides, and waits by itself from then on.
func TestRetryAfterSurvivesRelisting(t *testing.T) {
	const wait = 400 * time.Millisecond
	target := func(kind string, destination int, state decide.TargetState) List {
		return List{Scope: decide.Delta, Endpoints: []Endpoint{{Target: decide.Target{ID: "s1", Destination: destination, Kind: kind, Weight: 1000, State: state}}}}
	}
	other := Endpoint{Target: decide.Target{ID: "s9", Destination: 9, Weight: 1000}}
	removals := map[string]func(kind string) []List{
		"removed":                     func(kind string) []List { return []List{target(kind, 7, decide.Gone), target(kind, 7, decide.Active)} },
		"removed without destination": func(kind string) []List { return []List{target("", 0, decide.Gone), target(kind, 7, decide.Active)} },
		"missing from a snapshot": func(kind string) []List {
			return []List{{Scope: decide.Snapshot, Endpoints: []Endpoint{other}}, target(kind, 7, decide.Active)}
		},
		"drained": func(kind string) []List {
			return []List{target(kind, 7, decide.Draining), target(kind, 7, decide.Active)}
		},
		"moved to another destination": func(kind string) []List {
			return []List{target(kind, 8, decide.Active), target(kind, 7, decide.Active)}
		},
		"removed twice": func(kind string) []List {
			return []List{target(kind, 7, decide.Gone), target(kind, 7, decide.Active), target(kind, 7, decide.Gone), target(kind, 7, decide.Active)}
		},
	}
	for _, kind := range []string{"shared", "separate"} {
		for removal, lists := range removals {
			for _, when := range []string{"received before removal", "received while unlisted", "received after relisting"} {
				t.Run(fmt.Sprint(kind, ", ", removal, ", ", when), func(t *testing.T) {
					t.Parallel()
					started, answer, ended := make(chan bool), make(chan bool), make(chan time.Time, 1)
					var calls, delayed atomic.Int32
					n := startEngine(t, func(w *testConfig) {
						w.settings.Kinds = []decide.Kind{{Name: "shared", MaxBatch: 1}, {Name: "separate", MaxBatch: 1, SeparateRoutes: true}}
						w.list.Endpoints = append(target(kind, 7, decide.Active).Endpoints, other)
						w.call = func(ctx context.Context, a Attempt) decide.Outcome {
							if calls.Add(1) == 1 {
								close(started)
								<-answer
								a.OnRetryAfter(wait) // the body has not been read, so that the loop does not know of it yet
								answer <- true
								<-answer
								return decide.Outcome{Result: decide.Overloaded, RetryAfter: wait}
							}
							if !a.MayBegin() {
								delayed.Add(1)
								return decide.Outcome{Result: decide.NotSent}
							}
							ended <- time.Now()
							return decide.Outcome{Result: decide.Succeeded, NoAnswerNeeded: true}
						}
					})
					submit := func(id string) {
						if got := n.engine.Accept(note(id)); got.Kind == Accepted {
							got.ConfirmWritten(true)
						} else {
							t.Errorf("%s: %+v", id, got)
						}
					}
					var receivedAt time.Time
					sendRetryAfter := func() {
						answer <- true
						<-answer
						receivedAt = time.Now()
					}
					submit("m1")
					<-started
					steps := lists(kind)
					for i, l := range steps {
						switch {
						case when == "received before removal" && i == 0, when == "received while unlisted" && i == 1:
							sendRetryAfter()
						}
						if !n.engine.UpdateEndpointsAndWait(l, time.Minute) {
							t.Fatal("a list did not take effect")
						}
					}
					if when == "received after relisting" {
						sendRetryAfter()
					}
					submit("m2")
					answer <- true // the first call ends, whatever the state of its endpoint is now
					at := <-ended
					if early := wait - at.Sub(receivedAt); early > 0 {
						t.Errorf("a call began %v before the retry-after time", early)
					}
					if n := delayed.Load(); n > 3 {
						t.Errorf("%d calls were decided before the retry-after time: the Forwarder does not know it", n)
					}
				})
			}
		}
	}
}

// TestExpiredRetryAftersAreDropped checks that expired retry-after times of unlisted endpoints are not kept, however many there were.
func TestExpiredRetryAftersAreDropped(t *testing.T) {
	var w routeWaits
	w.init([]decide.Kind{{Name: "separate", SeparateRoutes: true}}, time.Now(), nil)
	one := func(i int, state decide.TargetState) []decide.Target {
		return []decide.Target{{ID: fmt.Sprint("s", i), Kind: []string{"separate", "shared"}[i%2], State: state}}
	}
	for i := range 1000 {
		w.update(one(i, decide.Active), i%3 == 0)
		w.update(one(i, decide.Gone), false)
	}
	if len(w.byEndpoint) != 0 {
		t.Errorf("state of %d unlisted endpoints is kept", len(w.byEndpoint))
	}
	w.update(one(0, decide.Active), false)
	wait := w.forEndpoint("s0")
	wait.callBegan()
	w.update(nil, true)
	if w.forEndpoint("s0") != wait {
		t.Error("dropped while a call in flight may still report a retry-after time")
	}
	wait.callCompleted(&decide.Outcome{Result: decide.Overloaded, RetryAfter: time.Hour})
	if w.update(nil, true); w.forEndpoint("s0") != wait {
		t.Error("dropped before the retry-after time")
	}
	wait.until.Store(0)
	if w.update(nil, true); w.forEndpoint("s0") != nil {
		t.Error("kept after the retry-after time")
	}
}
