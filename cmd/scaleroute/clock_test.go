package main

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"scaleroute/internal/engine"
	"scaleroute/internal/steadyclock"
)

// rejectingTarget tells a long wait until accepts is set.
func rejectingTarget(accepts *atomic.Bool) func(http.ResponseWriter, string) {
	return func(rw http.ResponseWriter, _ string) {
		if !accepts.Load() {
			rw.Header().Set("X-RateLimit-Wait-Ms", "200000")
			rw.WriteHeader(http.StatusTooManyRequests)
		}
	}
}

// TestClockSetForwardWhileDown guards against recovered messages that expire because the wall clock was set forward between two processes.
func TestClockSetForwardWhileDown(t *testing.T) {
	var accepts atomic.Bool
	w := newWorld(t, rejectingTarget(&accepts))
	faults := newFaultFile(t, w)
	p := w.start()
	c := p.client()
	c.enqueue("told", "harmless", 200000)
	w.await(w.called, "told")
	c.enqueue("waits", "unsafe", 200000)
	p.kill()
	accepts.Store(true)
	faults.set(t, "clock +1h")
	w.start()
	w.await(w.called, "waits")
	if len(w.notices) > 0 {
		t.Errorf("notice %q", <-w.notices)
	}
}

// TestClockSetBackWhileDown guards against recovered messages whose time is prolonged because the wall clock was set back between two processes.
func TestClockSetBackWhileDown(t *testing.T) {
	var accepts atomic.Bool
	w := newWorld(t, rejectingTarget(&accepts))
	faults := newFaultFile(t, w)
	p := w.start()
	c := p.client()
	c.enqueue("told", "harmless", 200000)
	w.await(w.called, "told")
	c.enqueue("short", "unsafe", 3000)
	p.kill()
	faults.set(t, "clock -1h")
	w.start()
	w.await(w.notices, "short bounced")
}

// TestClockSetDuringHandover guards against calls that are waited for an hour longer, or not at all, because the wall clock was set in a hand-over.
func TestClockSetDuringHandover(t *testing.T) {
	for _, step := range []time.Duration{time.Hour, -time.Hour} {
		ours, theirs := net.Pipe()
		defer ours.Close()
		defer theirs.Close()
		now := time.Now()
		left := &bundle{stopped: now, engine: engine.Handover{SavedAt: now,
			Calls: []engine.HandoverCall{{Message: "m", InFlightCall: &engine.InFlightCall{Conn: ours, Began: now.Add(-time.Second), Deadline: now.Add(4 * time.Second)}}}}}
		parcels, err := left.parcels()
		if err != nil {
			t.Fatal(err)
		}
		steadyclock.WallNow = func() time.Time { return time.Now().Add(step) }
		got, err := unpack(parcels)
		steadyclock.WallNow = time.Now
		if err != nil {
			t.Fatal(err)
		}
		end := got.engine.Calls[0].Deadline.Add(-step) // as the wall clock now says it
		if wait := end.Sub(now); (wait - 4*time.Second).Abs() > time.Second {
			t.Errorf("set by %v: the call is waited for %v", step, wait)
		}
	}
}
