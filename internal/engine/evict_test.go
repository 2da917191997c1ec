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

// TestEvictedIsForgotten: however many destinations come and are evicted, none of them is left in the engine; one that is listed anew takes messages again.
func TestEvictedIsForgotten(t *testing.T) {
	n := startLoop(t, nil)
	for d := 100; d < 1100; d++ {
		n.loop.UpdateEndpoints(listOf(d, decide.Active))
		n.loop.Evict(listOf(d, decide.Gone), []int{d})
	}
	to := func(id string, destination int) Answer {
		m := note(id)
		m.Destination = destination
		return n.loop.Accept(m)
	}
	if got := to("a", 100); got.Kind != Rejected {
		t.Errorf("to an evicted destination: %+v", got)
	}
	var dests, waits int
	n.loop.ApplyChange(version.Change{}, func() { dests, waits = len(n.loop.dests), len(n.loop.waits.shared)+len(n.loop.waits.evicted) }, nil, time.Minute)
	if dests != 1 || waits != 1 { // the one of the start
		t.Errorf("%d destinations and %d waits are left", dests, waits)
	}
	n.loop.UpdateEndpoints(listOf(100, decide.Active))
	if got := to("b", 100); got.Kind != Accepted {
		t.Errorf("listed anew: %+v", got)
	} else {
		got.ConfirmWritten(true)
	}
	if id := <-n.calls; id != "b" {
		t.Errorf("%s was sent", id)
	}
}

// TestEvictedWaitHolds: what a destination told before it was evicted is heeded when it is fetched again.
func TestEvictedWaitHolds(t *testing.T) {
	var w waits
	w.init(nil, time.Now(), nil)
	l := &Engine{waits: w, dests: map[int]bool{}}
	w.list([]decide.Target{{ID: "a", Destination: 7}}, false)
	w.of("a").tell(time.Hour)
	told := w.of("a")
	w.list([]decide.Target{{ID: "a", Destination: 7, State: decide.Gone}}, false)
	if w.drop(7) {
		t.Fatal("forgotten within its wait")
	}
	w.list([]decide.Target{{ID: "a", Destination: 7}}, false)
	if w.of("a") != told {
		t.Fatal("a wait begins anew")
	}
	told.until.Store(0)
	if l.waits = w; !l.waits.drop(7) {
		t.Fatal("kept for good")
	}
}

// TestHolding: each message that the engine holds for a destination is told of when that begins and ends, and what is turned away leaves nothing behind.
func TestHolding(t *testing.T) {
	var mu sync.Mutex
	held := map[int]int{}
	n := startLoop(t, func(w *world) {
		w.holding = func(destination int, begins bool) {
			mu.Lock()
			defer mu.Unlock()
			if begins {
				held[destination]++
			} else {
				held[destination]--
			}
		}
	})
	now := func() int {
		mu.Lock()
		defer mu.Unlock()
		return held[7]
	}
	kept := n.loop.Accept(note("a"))
	lost := n.loop.Accept(note("b"))
	if now() != 2 {
		t.Fatalf("%d held", now())
	}
	lost.ConfirmWritten(false)
	unknown := note("c")
	unknown.Class = "none"
	n.loop.Accept(unknown)
	kept.ConfirmWritten(true)
	<-n.calls
	for limit := time.Now().Add(time.Minute); now() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("%d held", now())
		}
	}
}
