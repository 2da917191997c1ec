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

// agrees tells whether a snapshot's figures agree: what was taken is open or has ended.
func (f *Stats) agrees() bool {
	var taken, over uint64
	for _, t := range f.Classes {
		taken += t.Accepted
		over += t.Delivered + t.RefusedAfterAccept + t.Failed + t.Withdrawn + t.HandedOver
	}
	return taken == over+uint64(f.Open)
}

// await waits for figures of which something is true.
func (n *testNode) await(t *testing.T, what string, is func(*Stats) bool) *Stats {
	t.Helper()
	for limit := time.Now().Add(time.Minute); time.Now().Before(limit); time.Sleep(time.Millisecond) {
		if f := n.loop.Stats(); is(f) {
			return f
		}
	}
	t.Fatalf("%s: %+v", what, n.loop.Stats())
	return nil
}

// record is what endpoints did and clients were told.
type record struct {
	mu      sync.Mutex
	classes map[string]string // of each message
	tallies map[string]*ClassStats
	wrote   uint64
	fate    map[string]decide.Result
}

func (r *record) NotifyCompletion(f Completion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.tallies[r.classes[f.ID]]; f.Failed {
		t.Failed++
	} else {
		t.RefusedAfterAccept++
	}
}

func (r *record) call(_ context.Context, a Attempt) decide.Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := decide.Outcome{Result: r.fate[a.ID]}
	if o.Result != decide.ConnectFailed {
		a.OnWritten()
		r.wrote++
	}
	switch o.Result {
	case decide.Succeeded:
		o.NoAnswerNeeded = true
		r.tallies[a.Class].Delivered++
	case decide.NotSent:
		o.NoAnswerNeeded = true // the platform wants it no more
		r.tallies[a.Class].Withdrawn++
	}
	return o
}

// TestFiguresOfADay compares the figures with a record of what clients were told and endpoints did, over a generated day: delivered, failed,
// refused before and after they were taken on, with clients that leave; and each snapshot agrees with itself.
func TestFiguresOfADay(t *testing.T) {
	var all ClassStats
	for seed := range uint64(4) {
		rng := rand.New(rand.NewPCG(seed, 26))
		r := &record{classes: map[string]string{}, tallies: map[string]*ClassStats{"note": {}, "once": {}}, fate: map[string]decide.Result{}}
		n := startLoop(t, func(w *world) {
			w.figures, w.finals, w.call = true, r, r.call
			w.settings.MaxOpen = 30
			w.settings.Classes = append(w.settings.Classes, decide.Class{Name: "once", Effect: decide.AtMostOnce, Deadline: 5 * time.Minute, OnTime: time.Minute, Value: 3})
			w.list.Endpoints = append(w.list.Endpoints, Endpoint{Target: decide.Target{ID: "away", Destination: 8, State: decide.Draining, Weight: 10}})
		})
		ctx, cancel := context.WithCancel(t.Context())
		var watch sync.WaitGroup
		watch.Go(func() {
			for ; ctx.Err() == nil; time.Sleep(time.Millisecond) {
				if f := n.loop.Stats(); !f.agrees() {
					t.Errorf("a snapshot does not agree with itself: %+v", f)
				}
			}
		})
		for i := range 300 {
			m := note(fmt.Sprint("m", i))
			if rng.IntN(2) == 0 {
				m.Class = "once"
			}
			if rng.IntN(8) == 0 {
				m.Destination = 8 // held
			}
			if rng.IntN(10) == 0 {
				m.TimeLeft = 0 // refused at once
			}
			if rng.IntN(20) == 0 {
				m.Destination = 9 // there is none
			}
			leaves := rng.IntN(8) == 0
			r.mu.Lock()
			r.classes[m.ID] = m.Class
			r.fate[m.ID] = decide.Succeeded
			if rng.IntN(3) == 0 { // not so many that the endpoint is given up for the day
				r.fate[m.ID] = []decide.Result{decide.Errored, decide.Rejected, decide.ConnectFailed, decide.NotSent}[rng.IntN(4)]
			}
			c := r.tallies[m.Class]
			r.mu.Unlock()
			a := n.loop.Accept(m)
			r.mu.Lock()
			switch {
			case a.Kind == Refused:
				c.RefusedAtIntake++
			case a.Kind == Rejected:
				c.RejectedAtIntake++
			default:
				c.Accepted++
				if leaves {
					c.Withdrawn++
				}
			}
			r.mu.Unlock()
			if a.Kind == Accepted {
				a.ConfirmWritten(!leaves)
			}
		}
		f := n.await(t, "the end of the day", func(f *Stats) bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			return f.Classes["note"] == *r.tallies["note"] && f.Classes["once"] == *r.tallies["once"] && f.Relayed == r.wrote
		})
		cancel()
		watch.Wait()
		if f.Open == 0 || f.Listed != 2 || f.OutOfRotation < 1 {
			t.Errorf("%+v", f)
		}
		c := f.Classes["once"]
		all.Delivered, all.RefusedAtIntake, all.RefusedAfterAccept = all.Delivered+c.Delivered, all.RefusedAtIntake+c.RefusedAtIntake, all.RefusedAfterAccept+c.RefusedAfterAccept
		all.RejectedAtIntake, all.Failed, all.Withdrawn = all.RejectedAtIntake+c.RejectedAtIntake, all.Failed+c.Failed, all.Withdrawn+c.Withdrawn
		n.loop.UpdateEndpoints(List{Scope: decide.Delta, Endpoints: []Endpoint{{Target: decide.Target{ID: "away", Destination: 8, State: decide.Gone}}}})
		n.await(t, "an endpoint less", func(f *Stats) bool { return f.Listed == 1 })
	}
	if all.Delivered*all.RefusedAtIntake*all.RefusedAfterAccept*all.RejectedAtIntake*all.Failed*all.Withdrawn == 0 {
		t.Errorf("the days show little: %+v", all)
	}
}
