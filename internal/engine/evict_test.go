package engine

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"scaleroute/internal/decide"
	"scaleroute/internal/version"
)

func listOf(destination int, state decide.TargetState) List {
	return List{Scope: decide.Delta, Endpoints: []Endpoint{{Target: decide.Target{ID: fmt.Sprint("e", destination), Destination: destination, Weight: 1000, State: state}}}}
}

// TestEvictionDropsState checks that evicted destinations leave no state in the engine, however many there were, and that an evicted destination accepts
// messages again once it is listed again.
func TestEvictionDropsState(t *testing.T) {
	n := startEngine(t, nil)
	for d := 100; d < 1100; d++ {
		n.engine.UpdateEndpoints(listOf(d, decide.Active))
		n.engine.Evict(listOf(d, decide.Gone), []int{d})
	}
	to := func(id string, destination int) Answer {
		m := note(id)
		m.Destination = destination
		return n.engine.Accept(m)
	}
	if got := to("a", 100); got.Kind != Rejected {
		t.Errorf("to an evicted destination: %+v", got)
	}
	var dests, waits int
	n.engine.ApplyChange(version.Change{}, func() {
		dests, waits = len(n.engine.destinations), len(n.engine.routeWaits.byDestination)+len(n.engine.routeWaits.evicted)
	}, nil, time.Minute)
	if dests != 1 || waits != 1 { // the destination of the initial list
		t.Errorf("%d destinations and %d retry-after states are left, want 1 and 1", dests, waits)
	}
	n.engine.UpdateEndpoints(listOf(100, decide.Active))
	if got := to("b", 100); got.Kind != Accepted {
		t.Errorf("after it is listed again: %+v", got)
	} else {
		got.ConfirmWritten(true)
	}
	if id := <-n.calls; id != "b" {
		t.Errorf("%s was sent", id)
	}
}

// TestRetryAfterSurvivesEviction checks that the retry-after time of an evicted destination is still in force when the destination is listed again.
func TestRetryAfterSurvivesEviction(t *testing.T) {
	var w routeWaits
	w.init(nil, time.Now(), nil)
	l := &Engine{routeWaits: w, destinations: map[int]bool{}}
	w.update([]decide.Target{{ID: "a", Destination: 7}}, false)
	w.forEndpoint("a").extend(time.Hour)
	wait := w.forEndpoint("a")
	w.update([]decide.Target{{ID: "a", Destination: 7, State: decide.Gone}}, false)
	if w.drop(7) {
		t.Fatal("dropped before the retry-after time")
	}
	w.update([]decide.Target{{ID: "a", Destination: 7}}, false)
	if w.forEndpoint("a") != wait {
		t.Fatal("the retry-after state was replaced")
	}
	wait.until.Store(0)
	if l.routeWaits = w; !l.routeWaits.drop(7) {
		t.Fatal("kept after the retry-after time")
	}
}

// TestQueueChangeCallback checks that OnQueueChange is called when a message enters and leaves the queue of its destination, and that withdrawn and
// rejected messages leave the count unchanged.
func TestQueueChangeCallback(t *testing.T) {
	var mu sync.Mutex
	queued := map[int]int{}
	n := startEngine(t, func(w *testConfig) {
		w.onQueueChange = func(destination int, added bool) {
			mu.Lock()
			defer mu.Unlock()
			if added {
				queued[destination]++
			} else {
				queued[destination]--
			}
		}
	})
	now := func() int {
		mu.Lock()
		defer mu.Unlock()
		return queued[7]
	}
	kept := n.engine.Accept(note("a"))
	lost := n.engine.Accept(note("b"))
	if now() != 2 {
		t.Fatalf("%d messages queued", now())
	}
	lost.ConfirmWritten(false)
	unknown := note("c")
	unknown.Class = "none"
	n.engine.Accept(unknown)
	kept.ConfirmWritten(true)
	<-n.calls
	for limit := time.Now().Add(time.Minute); now() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("%d messages queued", now())
		}
	}
}
