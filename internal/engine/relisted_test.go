package engine

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"scaleroute/internal/decide"
)

// TestWaitOutlastsListing: a target tells a wait and leaves the list, in any way and order, and is listed anew: by its old name nobody begins a call
// before the wait is over, the module hears what is left of it with the first call that it decides, and then holds the rest itself.
func TestWaitOutlastsListing(t *testing.T) {
	const wait = 400 * time.Millisecond
	target := func(kind string, destination int, state decide.TargetState) List {
		return List{Scope: decide.Delta, Endpoints: []Endpoint{{Target: decide.Target{ID: "s1", Destination: destination, Kind: kind, Weight: 1000, State: state}}}}
	}
	other := Endpoint{Target: decide.Target{ID: "s9", Destination: 9, Weight: 1000}}
	leaves := map[string]func(kind string) []List{
		"gone":      func(kind string) []List { return []List{target(kind, 7, decide.Gone), target(kind, 7, decide.Active)} },
		"gone bare": func(kind string) []List { return []List{target("", 0, decide.Gone), target(kind, 7, decide.Active)} },
		"not named": func(kind string) []List {
			return []List{{Scope: decide.Snapshot, Endpoints: []Endpoint{other}}, target(kind, 7, decide.Active)}
		},
		"drained": func(kind string) []List {
			return []List{target(kind, 7, decide.Draining), target(kind, 7, decide.Active)}
		},
		"moved away": func(kind string) []List {
			return []List{target(kind, 8, decide.Active), target(kind, 7, decide.Active)}
		},
		"twice": func(kind string) []List {
			return []List{target(kind, 7, decide.Gone), target(kind, 7, decide.Active), target(kind, 7, decide.Gone), target(kind, 7, decide.Active)}
		},
	}
	for _, kind := range []string{"shared", "apart"} {
		for how, lists := range leaves {
			for _, when := range []string{"told before it leaves", "told while it is away", "told when it is back"} {
				t.Run(fmt.Sprint(kind, ", ", how, ", ", when), func(t *testing.T) {
					t.Parallel()
					out, answer, ended := make(chan bool), make(chan bool), make(chan time.Time, 1)
					var first, held atomic.Int32
					n := startLoop(t, func(w *world) {
						w.settings.Kinds = []decide.Kind{{Name: "shared", MaxBatch: 1}, {Name: "apart", MaxBatch: 1, SeparateRoutes: true}}
						w.list.Endpoints = append(target(kind, 7, decide.Active).Endpoints, other)
						w.call = func(ctx context.Context, a Attempt) decide.Outcome {
							if first.Add(1) == 1 {
								close(out)
								<-answer
								a.OnRetryAfter(wait) // its body is still to come: the loop hears nothing yet
								answer <- true
								<-answer
								return decide.Outcome{Result: decide.Overloaded, RetryAfter: wait}
							}
							if !a.MayBegin() {
								held.Add(1)
								return decide.Outcome{Result: decide.NotSent}
							}
							ended <- time.Now()
							return decide.Outcome{Result: decide.Succeeded, NoAnswerNeeded: true}
						}
					})
					hand := func(id string) {
						if got := n.loop.Accept(note(id)); got.Kind == Accepted {
							got.ConfirmWritten(true)
						} else {
							t.Errorf("%s: %+v", id, got)
						}
					}
					var told time.Time
					tell := func() {
						answer <- true
						<-answer
						told = time.Now()
					}
					hand("m1")
					<-out
					steps := lists(kind)
					for i, l := range steps {
						switch {
						case when == "told before it leaves" && i == 0, when == "told while it is away" && i == 1:
							tell()
						}
						if !n.loop.UpdateEndpointsAndWait(l, time.Minute) {
							t.Fatal("a list does not bind")
						}
					}
					if when == "told when it is back" {
						tell()
					}
					hand("m2")
					answer <- true // the first call ends, by whatever its target is now
					at := <-ended
					if early := wait - at.Sub(told); early > 0 {
						t.Errorf("a call began %v before the end of the wait", early)
					}
					if n := held.Load(); n > 3 {
						t.Errorf("%d calls were decided within the wait: the module has not heard of it", n)
					}
				})
			}
		}
	}
}

// TestWaitsAreForgotten: a wait that is over is not kept for a target that is not listed, however many there have been.
func TestWaitsAreForgotten(t *testing.T) {
	var w waits
	w.init([]decide.Kind{{Name: "apart", SeparateRoutes: true}}, time.Now(), nil)
	one := func(i int, state decide.TargetState) []decide.Target {
		return []decide.Target{{ID: fmt.Sprint("s", i), Kind: []string{"apart", "shared"}[i%2], State: state}}
	}
	for i := range 1000 {
		w.list(one(i, decide.Active), i%3 == 0)
		w.list(one(i, decide.Gone), false)
	}
	if len(w.byTarget) != 0 {
		t.Errorf("%d targets are remembered, none is listed", len(w.byTarget))
	}
	w.list(one(0, decide.Active), false)
	told := w.of("s0")
	told.began()
	w.list(nil, true)
	if w.of("s0") != told {
		t.Error("forgotten while a call is out that may still tell a wait")
	}
	told.over(&decide.Outcome{Result: decide.Overloaded, RetryAfter: time.Hour})
	if w.list(nil, true); w.of("s0") != told {
		t.Error("forgotten within its wait")
	}
	told.until.Store(0)
	if w.list(nil, true); w.of("s0") != nil {
		t.Error("remembered for good")
	}
}
