package decide

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestCopies plays messages of every effect to three endpoints, some calls slow, one endpoint drained later and one a backup, with outcomes by chance: a second copy goes out of those
// alone that may be repeated, once, after the time that is set, to another endpoint that serves, within the budget and half of the slots; once one of
// them is delivered the other is called off; each message has one answer, and nothing is left behind.
func TestCopies(t *testing.T) {
	const after = 80 * time.Millisecond
	copies, calledOff := 0, 0
	for seed := range uint64(6) {
		f, err := New(Settings{Slots: 40, Seed: seed, MaxAttempts: 4, ConnIdle: time.Minute, ConnectTimeout: time.Second, MaxRetryAfter: time.Second, StartCapacity: 1, MayCancel: seed%2 == 0,
			OverloadFactor: 2, OverloadOutage: time.Second, Hedging: seed%5 != 4, Limits: func(string, int, string) Limits { return Limits{HedgeDelay: after} },
			Classes: []Class{{Name: "pure", Deadline: 5 * time.Second, OnTime: time.Second, Value: 1}, {Name: "keyed", Effect: Deduplicated, DedupWindow: time.Minute, Deadline: 5 * time.Second, OnTime: time.Second, Value: 1},
				{Name: "unsafe", Effect: AtMostOnce, Deadline: 5 * time.Second, OnTime: time.Second, Value: 1}}})
		if err != nil {
			t.Fatal(err)
		}
		type call struct {
			n      int
			target string
			sent   time.Duration
			ends   time.Duration
		}
		type held struct {
			class string
			out   []call
			n     int
			over  bool // delivered
		}
		rng := rand.New(rand.NewPCG(seed, 3))
		all, live, firsts, further := map[string]*held{}, []string{}, 0, 0
		events := []Event{TargetList{Scope: Snapshot, Targets: []Target{{ID: "a", Destination: 1}, {ID: "b", Destination: 1}, {ID: "slow", Destination: 1}, {ID: "spare", Destination: 1, Backup: true},
			{ID: "x", Destination: 2}, {ID: "y", Destination: 2}}}}
		drained, waits, out := false, time.Duration(0), 0
		for now := time.Duration(0); now < 30*time.Second; now += time.Millisecond {
			every := 5 * time.Millisecond
			if seed%3 == 1 { // more than half of the slots, most of the time
				every = 2 * time.Millisecond
			}
			if now%every == 0 && now < 20*time.Second {
				id := fmt.Sprint(now.Milliseconds())
				h, dest := &held{class: []string{"pure", "pure", "keyed", "unsafe"}[rng.IntN(4)]}, 1
				if seed%3 == 1 { // slots are taken by another destination
					dest += rng.IntN(2)
				}
				all[id], live = h, append(live, id)
				events = append(events, Message{ID: id, Class: h.class, Destination: dest, TimeLeft: 5 * time.Second})
			}
			if now == 16*time.Second {
				events, drained = append(events, TargetList{Scope: Delta, Targets: []Target{{ID: "slow", Destination: 1, State: Draining}}}), true
			}
			live = slices.DeleteFunc(live, func(id string) bool { return all[id].over && len(all[id].out) == 0 })
			for _, id := range live {
				h := all[id]
				for i := 0; i < len(h.out); i++ {
					if c := h.out[i]; now >= c.ends {
						h.out = append(h.out[:i:i], h.out[i+1:]...)
						out--
						i--
						o := Outcome{Message: id, Attempt: c.n, Target: c.target, Result: Succeeded, NoAnswerNeeded: true, Latency: now - c.sent}
						if !h.over && rng.IntN(40) == 0 {
							o.Result, o.NoAnswerNeeded = []Result{Errored, Reset, TimedOut}[rng.IntN(3)], false
						}
						if !h.over && seed%3 == 2 && rng.IntN(100) == 0 {
							o.Result, o.NoAnswerNeeded, o.RetryAfter = Overloaded, false, 300*time.Millisecond
							waits = max(waits, now+o.RetryAfter)
						}
						if h.over { // called off
							o.Result, o.NoAnswerNeeded = Cancelled, false
						}
						h.over = h.over || o.NoAnswerNeeded
						events = append(events, o)
					}
				}
			}
			for _, a := range f.Step(now, append(events, Woken{})) {
				switch a := a.(type) {
				case Send:
					h := all[a.Message]
					if len(h.out) > 0 {
						first := h.out[0]
						switch {
						case h.class != "pure" || seed%5 == 4:
							t.Fatalf("%v: a second copy of class %s", now, h.class)
						case len(h.out) > 1 || first.target == a.Target || a.Target == "spare":
							t.Fatalf("%v: a copy to %s beside %v", now, a.Target, h.out)
						case 2*out >= 40 || now < waits:
							t.Fatalf("%v: a copy with %d calls out, and a wait until %v", now, out, waits)
						case now-first.sent < after || h.over:
							t.Fatalf("%v: a copy after %v, delivered %v", now, now-first.sent, h.over)
						}
						copies++
					}
					if drained && a.Target == "slow" {
						t.Fatalf("%v: sent to a drained endpoint", now)
					}
					if h.n == 0 {
						firsts++
					} else {
						further++
					}
					took := time.Duration(5+rng.IntN(20)) * time.Millisecond
					if rng.IntN(10) == 0 || a.Target == "x" || a.Target == "y" {
						took = time.Duration(50+rng.IntN(400)) * time.Millisecond
					}
					h.out = append(h.out, call{h.n, a.Target, now, now + min(took, a.Timeout)})
					h.n++
					out++
				case Cancel:
					for i := range all[a.Message].out {
						if all[a.Message].out[i].n == a.Attempt {
							all[a.Message].out[i].ends = now + time.Millisecond
							calledOff++
						}
					}
				case Refuse:
					if len(all[a.Message].out) > 0 || all[a.Message].over {
						t.Fatalf("%v: %s is refused with a call out, or delivered", now, a.Message)
					}
					all[a.Message].over = true
				case Fail:
					all[a.Message].over = true
				}
			}
			events = nil
		}
		for id, h := range all {
			if !h.over || len(h.out) > 0 {
				t.Fatalf("seed %d: %s has no end: %+v", seed, id, h)
			}
		}
		if len(f.messages)+f.hedges.len()+f.inFlight.size > 0 {
			t.Errorf("left behind: %d messages, %d copies, %d calls", len(f.messages), f.hedges.len(), f.inFlight.size)
		}
		if share := float64(further) / float64(firsts); share > initialRetryRatio+0.02 {
			t.Errorf("seed %d: further tries are %.3f of first ones", seed, share)
		}
	}
	t.Logf("%d copies, %d called off", copies, calledOff)
	if copies < 100 || calledOff < 30 {
		t.Error("the test says little")
	}
}
