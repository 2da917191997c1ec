package decide

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// runMessages has messages sent to destination 1, one each interval. The function answer gives the latency and result of a call to an endpoint.
// It returns the number of calls to each endpoint from the time countFrom on.
func runMessages(t *testing.T, targets []Target, interval, duration, countFrom time.Duration, answer func(target string, now time.Duration) (time.Duration, Result)) map[string]int {
	t.Helper()
	f, err := New(Settings{Slots: 512, Seed: 7, ConnIdle: time.Minute, ConnectTimeout: time.Second, MaxRetryAfter: time.Second, StartCapacity: 1,
		OverloadFactor: 2, OverloadOutage: time.Second, Classes: []Class{{Name: "note", Deadline: 10 * time.Second, OnTime: 3 * time.Second, Value: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	events := []Event{TargetList{Scope: Snapshot, Targets: targets}}
	calls, outcomes, attempts := map[string]int{}, map[time.Duration][]Event{}, map[string]int{}
	for now := time.Duration(0); now < duration; now += time.Millisecond {
		if now%interval == 0 {
			events = append(events, Message{ID: fmt.Sprint(now), Class: "note", Destination: 1, TimeLeft: 10 * time.Second})
		}
		events = append(events, outcomes[now]...)
		delete(outcomes, now)
		for _, a := range f.Step(now, append(events, Woken{})) {
			if s, sent := a.(Send); sent {
				latency, result := answer(s.Target, now)
				outcomes[now+latency] = append(outcomes[now+latency], Outcome{Message: s.Message, Attempt: attempts[s.Message], Target: s.Target, Result: result, NoAnswerNeeded: result == Succeeded, Latency: latency})
				attempts[s.Message]++
				if now >= countFrom {
					calls[s.Target]++
				}
			}
		}
		events = nil
	}
	return calls
}

// TestCallsFollowShares: endpoints get calls in proportion to their shares, whether calls are rare or many are in flight. An endpoint that failed gets no
// more than its share once it works again.
func TestCallsFollowShares(t *testing.T) {
	for _, c := range []struct {
		name      string
		shares    []float64
		interval  time.Duration
		latency   time.Duration
		tolerance float64 // relative difference from its share allowed for an endpoint
	}{
		{"one call at a time", []float64{1, 2, 5}, 20 * time.Millisecond, 5 * time.Millisecond, 0.02},
		{"many in flight", []float64{1, 2, 5}, time.Millisecond, 50 * time.Millisecond, 0.02},
		{"very different shares", []float64{1, 100}, 2 * time.Millisecond, 10 * time.Millisecond, 0.05},
		{"no shares listed", []float64{0, 0, 0}, 2 * time.Millisecond, 5 * time.Millisecond, 0.05},
	} {
		t.Run(c.name, func(t *testing.T) {
			var targets []Target
			sum := 0.0
			for i, s := range c.shares {
				targets = append(targets, Target{ID: fmt.Sprint(i), Destination: 1, Share: s})
				sum += max(s, 1)
			}
			calls := runMessages(t, targets, c.interval, 40*time.Second, 0, func(string, time.Duration) (time.Duration, Result) { return c.latency, Succeeded })
			total := 0
			for _, n := range calls {
				total += n
			}
			for i, s := range c.shares {
				want := max(s, 1) / sum * float64(total)
				if n := calls[fmt.Sprint(i)]; math.Abs(float64(n)-want) > c.tolerance*want+2 {
					t.Errorf("endpoint %d got %d of %d calls, want %.0f", i, n, total, want)
				}
			}
		})
	}
	t.Run("endpoint recovers from failures", func(t *testing.T) {
		targets := []Target{{ID: "a", Destination: 1, Share: 1}, {ID: "b", Destination: 1, Share: 3}}
		answer := func(target string, now time.Duration) (time.Duration, Result) {
			if target == "b" && now < 20*time.Second {
				return 5 * time.Millisecond, ConnectFailed
			}
			return 5 * time.Millisecond, Succeeded
		}
		calls := runMessages(t, targets, 2*time.Millisecond, 40*time.Second, 20*time.Second, answer)
		if bShare := float64(calls["b"]) / float64(calls["a"]+calls["b"]); bShare > 0.8 {
			t.Errorf("calls %v soon after recovery: the part of b is %.2f; it must not get the calls that it missed", calls, bShare)
		}
		calls = runMessages(t, targets, 2*time.Millisecond, 130*time.Second, 120*time.Second, answer)
		if bShare := float64(calls["b"]) / float64(calls["a"]+calls["b"]); bShare < 0.7 || bShare > 0.8 {
			t.Errorf("calls %v: the part of b is %.2f, want about 0.75", calls, bShare)
		}
	})
}

// TestEndpointMovesToOtherDestination: an endpoint that is listed at another destination gets no further messages for the earlier one, also while calls to it
// are in flight. It may move repeatedly, and back.
func TestEndpointMovesToOtherDestination(t *testing.T) {
	f, err := New(Settings{Slots: 64, ConnIdle: time.Minute, ConnectTimeout: time.Second, MaxRetryAfter: time.Second, StartCapacity: 1,
		OverloadFactor: 2, OverloadOutage: time.Second, Classes: []Class{{Name: "note", Deadline: 10 * time.Second, OnTime: 3 * time.Second, Value: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	now, listedAt := time.Duration(0), 0
	inFlight := map[string]int{}
	step := func(events ...Event) {
		for _, a := range f.Step(now, events) {
			if s, sent := a.(Send); sent {
				var round, dest int
				fmt.Sscan(s.Message, &round, &dest)
				if dest != listedAt {
					t.Fatalf("at %v: a message for destination %d went to x, which is listed at %d", now, dest, listedAt)
				}
				inFlight[s.Message]++
			}
		}
	}
	for n := range 200 {
		if n%10 == 0 { // calls of the last rounds are in flight
			listedAt = 1 + (n/10)%3
			scope := Delta
			if n%20 == 0 {
				scope = Snapshot
			}
			step(TargetList{Scope: scope, Targets: []Target{{ID: "x", Destination: listedAt}}})
		}
		now += 20 * time.Millisecond
		var events []Event
		if n%10 == 5 {
			for id := range inFlight {
				events = append(events, Outcome{Message: id, Target: "x", Result: Succeeded, NoAnswerNeeded: true, Latency: 50 * time.Millisecond})
			}
			clear(inFlight)
		}
		for d := 1; d <= 3; d++ {
			events = append(events, Message{ID: fmt.Sprint(n, " ", d), Class: "note", Destination: d, TimeLeft: 100 * time.Millisecond})
		}
		step(events...)
	}
	for range 10 {
		now += 20 * time.Second
		var events []Event
		for id := range inFlight {
			events = append(events, Outcome{Message: id, Target: "x", Result: Succeeded, NoAnswerNeeded: true})
		}
		clear(inFlight)
		step(events...)
	}
	if len(f.endpoints) != 1 || len(f.endpoints["x"].route.endpoints) != 1 {
		t.Errorf("%d endpoints are kept, want 1", len(f.endpoints))
		for id, x := range f.endpoints {
			t.Logf("%q: %d calls in flight", id, x.inFlight)
		}
	}
}
