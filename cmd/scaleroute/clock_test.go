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

// rejectingTarget answers 429 with a long retry-after until accepts is set.
func rejectingTarget(accepts *atomic.Bool) func(http.ResponseWriter, string) {
	return func(rw http.ResponseWriter, _ string) {
		if !accepts.Load() {
			rw.Header().Set("X-RateLimit-Wait-Ms", "200000")
			rw.WriteHeader(http.StatusTooManyRequests)
		}
	}
}

// queueBehindRetryAfter starts a process, has its endpoint answer one message with a retry-after, queues a second one behind it, and kills
// the process. The endpoint is one of rejectingTarget.
func (w *testEnv) queueBehindRetryAfter(id string, ms int) {
	w.t.Helper()
	p := w.start()
	c := p.connect()
	c.mustEnqueue("told", "harmless", 200000)
	w.awaitValue(w.called, "told")
	c.mustEnqueue(id, "unsafe", ms)
	p.kill()
}

// TestClockSetForwardWhileDown: recovered messages must not expire because the wall clock was set forward between two processes.
func TestClockSetForwardWhileDown(t *testing.T) {
	var accepts atomic.Bool
	w := newTestEnv(t, rejectingTarget(&accepts))
	faults := newFaultFile(t, w)
	w.queueBehindRetryAfter("waits", 200000)
	accepts.Store(true)
	faults.set(t, "clock +1h")
	w.start()
	w.awaitValue(w.called, "waits")
	if len(w.notices) > 0 {
		t.Errorf("notice %q", <-w.notices)
	}
}

// TestClockSetBackWhileDown: recovered messages must not live longer because the wall clock was set back between two processes.
func TestClockSetBackWhileDown(t *testing.T) {
	var accepts atomic.Bool
	w := newTestEnv(t, rejectingTarget(&accepts))
	faults := newFaultFile(t, w)
	w.queueBehindRetryAfter("short", 3000)
	faults.set(t, "clock -1h")
	w.start()
	w.awaitValue(w.notices, "short bounced")
}

// TestClockSetDuringHandover: the deadline of a call in flight must not move because the wall clock was set by an hour during a handover.
func TestClockSetDuringHandover(t *testing.T) {
	for _, step := range []time.Duration{time.Hour, -time.Hour} {
		ours, theirs := net.Pipe()
		defer ours.Close()
		defer theirs.Close()
		now := time.Now()
		handover := &handoverState{stopped: now, engine: engine.Handover{SavedAt: now,
			Calls: []engine.HandoverCall{{Message: "m", InFlightCall: &engine.InFlightCall{Conn: ours, Began: now.Add(-time.Second), Deadline: now.Add(4 * time.Second)}}}}}
		parcels, err := handover.records()
		if err != nil {
			t.Fatal(err)
		}
		steadyclock.WallNow = func() time.Time { return time.Now().Add(step) }
		got, err := decodeHandover(parcels)
		steadyclock.WallNow = time.Now
		if err != nil {
			t.Fatal(err)
		}
		end := got.engine.Calls[0].Deadline.Add(-step) // by the wall clock before it was set
		if wait := end.Sub(now); (wait - 4*time.Second).Abs() > time.Second {
			t.Errorf("clock set by %v: the call in flight has %v left, want 4s", step, wait)
		}
	}
}
