package engine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"scaleroute/internal/decide"
)

// consistent reports whether each accepted message of a snapshot is either open or counted under one outcome.
func (f *Stats) consistent() bool {
	var accepted, completed uint64
	for _, t := range f.Classes {
		accepted += t.Accepted
		completed += t.Delivered + t.RefusedAfterAccept + t.Failed + t.Withdrawn + t.HandedOver
	}
	return accepted == completed+uint64(f.Open)
}

// awaitStats waits for statistics that satisfy a condition.
func (n *testNode) awaitStats(t *testing.T, what string, ok func(*Stats) bool) *Stats {
	t.Helper()
	for limit := time.Now().Add(time.Minute); time.Now().Before(limit); time.Sleep(time.Millisecond) {
		if f := n.engine.Stats(); ok(f) {
			return f
		}
	}
	t.Fatalf("%s: %+v", what, n.engine.Stats())
	return nil
}

// observations is what the endpoints did and which answers the clients received.
type observations struct {
	mu      sync.Mutex
	classes map[string]string // by message id
	stats   map[string]*ClassStats
	written uint64
	results map[string]decide.Result
}

func (r *observations) NotifyCompletion(f Completion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.stats[r.classes[f.ID]]; f.Failed {
		t.Failed++
	} else {
		t.RefusedAfterAccept++
	}
}

func (r *observations) call(_ context.Context, a Attempt) decide.Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := decide.Outcome{Result: r.results[a.ID]}
	if o.Result != decide.ConnectFailed {
		a.OnWritten()
		r.written++
	}
	switch o.Result {
	case decide.Succeeded:
		o.NoAnswerNeeded = true
		r.stats[a.Class].Delivered++
	case decide.NotSent:
		o.NoAnswerNeeded = true // the platform no longer needs the message
		r.stats[a.Class].Withdrawn++
	}
	return o
}

// TestStatsMatchObservations compares the statistics with the observed answers and calls of a generated workload: messages that are delivered, failed,
// refused before and after acceptance, and clients that disconnect. It also checks that each snapshot is consistent.
func TestStatsMatchObservations(t *testing.T) {
	var total ClassStats
	for seed := range uint64(4) {
		rng := rand.New(rand.NewPCG(seed, 26))
		r := &observations{classes: map[string]string{}, stats: map[string]*ClassStats{"note": {}, "once": {}}, results: map[string]decide.Result{}}
		n := startEngine(t, func(w *testConfig) {
			w.publishStats, w.notifier, w.call = true, r, r.call
			w.settings.MaxOpen = 30
			w.settings.Classes = append(w.settings.Classes, decide.Class{Name: "once", Effect: decide.AtMostOnce, Deadline: 5 * time.Minute, OnTime: time.Minute, Value: 3})
			w.list.Endpoints = append(w.list.Endpoints, Endpoint{Target: decide.Target{ID: "away", Destination: 8, State: decide.Draining, Weight: 10}})
		})
		ctx, cancel := context.WithCancel(t.Context())
		var watcher sync.WaitGroup
		watcher.Go(func() {
			for ; ctx.Err() == nil; time.Sleep(time.Millisecond) {
				if f := n.engine.Stats(); !f.consistent() {
					t.Errorf("inconsistent snapshot: %+v", f)
				}
			}
		})
		for i := range 300 {
			m := note(fmt.Sprint("m", i))
			if rng.IntN(2) == 0 {
				m.Class = "once"
			}
			if rng.IntN(8) == 0 {
				m.Destination = 8 // stays queued
			}
			if rng.IntN(10) == 0 {
				m.TimeLeft = 0 // refused at intake
			}
			if rng.IntN(20) == 0 {
				m.Destination = 9 // an unknown destination
			}
			disconnects := rng.IntN(8) == 0
			r.mu.Lock()
			r.classes[m.ID] = m.Class
			r.results[m.ID] = decide.Succeeded
			if rng.IntN(3) == 0 { // few enough that the endpoint is not taken out of use for the rest of the test
				r.results[m.ID] = []decide.Result{decide.Errored, decide.Rejected, decide.ConnectFailed, decide.NotSent}[rng.IntN(4)]
			}
			c := r.stats[m.Class]
			r.mu.Unlock()
			a := n.engine.Accept(m)
			r.mu.Lock()
			switch {
			case a.Kind == Refused:
				c.RefusedAtIntake++
			case a.Kind == Rejected:
				c.RejectedAtIntake++
			default:
				c.Accepted++
				if disconnects {
					c.Withdrawn++
				}
			}
			r.mu.Unlock()
			if a.Kind == Accepted {
				a.ConfirmWritten(!disconnects)
			}
		}
		f := n.awaitStats(t, "statistics that match the observations", func(f *Stats) bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			return f.Classes["note"] == *r.stats["note"] && f.Classes["once"] == *r.stats["once"] && f.Relayed == r.written
		})
		cancel()
		watcher.Wait()
		if f.Open == 0 || f.Listed != 2 || f.OutOfRotation < 1 {
			t.Errorf("%+v", f)
		}
		c := f.Classes["once"]
		total.Delivered, total.RefusedAtIntake, total.RefusedAfterAccept = total.Delivered+c.Delivered, total.RefusedAtIntake+c.RefusedAtIntake, total.RefusedAfterAccept+c.RefusedAfterAccept
		total.RejectedAtIntake, total.Failed, total.Withdrawn = total.RejectedAtIntake+c.RejectedAtIntake, total.Failed+c.Failed, total.Withdrawn+c.Withdrawn
		n.engine.UpdateEndpoints(List{Scope: decide.Delta, Endpoints: []Endpoint{{Target: decide.Target{ID: "away", Destination: 8, State: decide.Gone}}}})
		n.awaitStats(t, "statistics with one endpoint fewer", func(f *Stats) bool { return f.Listed == 1 })
	}
	if total.Delivered*total.RefusedAtIntake*total.RefusedAfterAccept*total.RejectedAtIntake*total.Failed*total.Withdrawn == 0 {
		t.Errorf("some outcome never occurred: %+v", total)
	}
}
