package decide

import (
	"fmt"
	"testing"
	"time"
)

// TestReenabledEndpointGetsSlowStart: an endpoint that an operator had disabled gets only as many calls, once it is re-enabled, as one in slow start can handle.
// If its destination has no other warm endpoint, the route gets a slow start as after an outage. Rotation counts the endpoint as unavailable while disabled.
func TestReenabledEndpointGetsSlowStart(t *testing.T) {
	const capacity, slowStart, startCapacity, overloadFactor = 20.0, 10 * time.Second, 0.2, 2.0 // capacity: calls a second of one endpoint
	for _, others := range []int{0, 1, 2} {
		t.Run(fmt.Sprint(others, " other warm endpoints"), func(t *testing.T) {
			f, err := New(Settings{Slots: 64, Seed: 7, ConnIdle: time.Minute, ConnectTimeout: time.Second, MaxRetryAfter: time.Second, Weights: ExactWeights,
				StartCapacity: startCapacity, SlowStart: slowStart, OverloadFactor: overloadFactor, OverloadOutage: time.Second, Classes: []Class{{Name: "note", Deadline: 30 * time.Second, OnTime: 3 * time.Second, Value: 1}}})
			if err != nil {
				t.Fatal(err)
			}
			list := TargetList{Scope: Snapshot}
			weight := capacity * float64(1+others)
			for i := range 1 + others {
				list.Targets = append(list.Targets, Target{ID: fmt.Sprint("t", i), Destination: 1, Weight: weight})
			}
			events := []Event{list}
			type pendingOutcome struct {
				Outcome
				at time.Duration
			}
			var pending []pendingOutcome
			callsBySecond, whileDisabled, callCount := map[time.Duration]float64{}, 0, 0
			const disabledAt, enabledAt, end = 5 * time.Second, 10 * time.Second, 22 * time.Second
			for now := time.Duration(0); now < end; now += 5 * time.Millisecond {
				if now%(10*time.Millisecond) == 0 && float64(now/(10*time.Millisecond)%100) < 0.5*weight {
					events = append(events, Message{ID: fmt.Sprint(now), Class: "note", Destination: 1, TimeLeft: 30 * time.Second})
				}
				if now == disabledAt || now == enabledAt {
					listing := list.Targets[0]
					listing.State, listing.EnableCount = Draining, 0
					if now == enabledAt {
						listing.State, listing.EnableCount = Active, 1
					}
					list.Targets[0] = listing
					events = append(events, TargetList{Scope: Delta, Targets: []Target{listing}})
				}
				if now == enabledAt+time.Second { // a repeated listing does not restart the slow start
					events = append(events, list)
				}
				kept := pending[:0]
				for _, c := range pending {
					if c.at <= now {
						events = append(events, c.Outcome)
					} else {
						kept = append(kept, c)
					}
				}
				pending = kept
				for _, a := range f.Step(now, events) {
					s, ok := a.(Send)
					if !ok {
						continue
					}
					latency := 50 * time.Millisecond
					if s.Target == "t0" {
						if now >= disabledAt && now < enabledAt {
							whileDisabled++
						}
						if now >= enabledAt {
							callsBySecond[(now-enabledAt)/time.Second]++
							latency = time.Duration(float64(latency) / (startCapacity + (1-startCapacity)*min(1, float64(now-enabledAt)/float64(slowStart))))
						}
					}
					callCount++
					pending = append(pending, pendingOutcome{Outcome{Message: s.Message, Target: s.Target, Result: Succeeded, NoAnswerNeeded: true, Latency: latency}, now + latency})
				}
				events = []Event{Woken{}}
				if listed, unavailable := f.Rotation(); listed != 1+others || (unavailable == 1) != (now >= disabledAt && now < enabledAt) {
					t.Fatalf("at %v: %d endpoints listed, %d unavailable", now, listed, unavailable)
				}
			}
			if whileDisabled > 0 {
				t.Errorf("%d calls while the endpoint was disabled", whileDisabled)
			}
			for s := range slowStart / time.Second {
				present := capacity * (startCapacity + (1-startCapacity)*float64(s+1)/float64(slowStart/time.Second))
				if callsBySecond[s] > overloadFactor*present {
					t.Errorf("second %d after re-enabling: %v calls, present capacity %v", s, callsBySecond[s], present)
				}
			}
			if callCount < int(0.5*weight*end.Seconds()*9/10) {
				t.Errorf("%d calls in all, too few", callCount)
			}
		})
	}
}
