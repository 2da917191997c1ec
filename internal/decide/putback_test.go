package decide

import (
	"fmt"
	"testing"
	"time"
)

// TestPutBackIsCold: a target that was left out by hand gets, once it is back, the share of calls that a cold one can take and no more; a
// destination that has no warm one is entered as after an outage. The figures of the rotation follow.
func TestPutBackIsCold(t *testing.T) {
	const capacity, cold, from, tip = 20.0, 10 * time.Second, 0.2, 2.0 // a target's calls a second
	for _, others := range []int{0, 1, 2} {
		t.Run(fmt.Sprint(others, " warm"), func(t *testing.T) {
			f, err := New(Settings{Slots: 64, Seed: 7, ConnIdle: time.Minute, ConnectTimeout: time.Second, MaxRetryAfter: time.Second, Weights: ExactWeights,
				StartCapacity: from, SlowStart: cold, OverloadFactor: tip, OverloadOutage: time.Second, Classes: []Class{{Name: "note", Deadline: 30 * time.Second, OnTime: 3 * time.Second, Value: 1}}})
			if err != nil {
				t.Fatal(err)
			}
			list := TargetList{Scope: Snapshot}
			weight := capacity * float64(1+others)
			for i := range 1 + others {
				list.Targets = append(list.Targets, Target{ID: fmt.Sprint("t", i), Destination: 1, Weight: weight})
			}
			events := []Event{list}
			type out struct {
				Outcome
				at time.Duration
			}
			var calls []out
			load, during, done := map[time.Duration]float64{}, 0, 0
			const left, back, end = 5 * time.Second, 10 * time.Second, 22 * time.Second
			for now := time.Duration(0); now < end; now += 5 * time.Millisecond {
				if now%(10*time.Millisecond) == 0 && float64(now/(10*time.Millisecond)%100) < 0.5*weight {
					events = append(events, Message{ID: fmt.Sprint(now), Class: "note", Destination: 1, TimeLeft: 30 * time.Second})
				}
				if now == left || now == back {
					listing := list.Targets[0]
					listing.State, listing.EnableCount = Draining, 0
					if now == back {
						listing.State, listing.EnableCount = Active, 1
					}
					list.Targets[0] = listing
					events = append(events, TargetList{Scope: Delta, Targets: []Target{listing}})
				}
				if now == back+time.Second { // told again, it does not begin anew
					events = append(events, list)
				}
				kept := calls[:0]
				for _, c := range calls {
					if c.at <= now {
						events = append(events, c.Outcome)
					} else {
						kept = append(kept, c)
					}
				}
				calls = kept
				for _, a := range f.Step(now, events) {
					s, ok := a.(Send)
					if !ok {
						continue
					}
					took := 50 * time.Millisecond
					if s.Target == "t0" {
						if now >= left && now < back {
							during++
						}
						if now >= back {
							load[(now-back)/time.Second]++
							took = time.Duration(float64(took) / (from + (1-from)*min(1, float64(now-back)/float64(cold))))
						}
					}
					done++
					calls = append(calls, out{Outcome{Message: s.Message, Target: s.Target, Result: Succeeded, NoAnswerNeeded: true, Latency: took}, now + took})
				}
				events = []Event{Woken{}}
				if listed, gone := f.Rotation(); listed != 1+others || (gone == 1) != (now >= left && now < back) {
					t.Fatalf("at %v: %d listed, %d out", now, listed, gone)
				}
			}
			if during > 0 {
				t.Errorf("%d calls while it was left out", during)
			}
			for s := range cold / time.Second {
				present := capacity * (from + (1-from)*float64(s+1)/float64(cold/time.Second))
				if load[s] > tip*present {
					t.Errorf("second %d: %v calls, and it can take %v", s, load[s], present)
				}
			}
			if done < int(0.5*weight*end.Seconds()*9/10) {
				t.Errorf("%d calls in all", done)
			}
		})
	}
}
