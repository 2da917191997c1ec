package decide

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// forward plays messages for destination 1, each taking a time at the target that it is sent to, and counts the calls of each target from a
// time on.
func forward(t *testing.T, targets []Target, every, span, earliest time.Duration, takes func(target string, now time.Duration) (time.Duration, Result)) map[string]int {
	t.Helper()
	f, err := New(Settings{Slots: 512, Seed: 7, ConnIdle: time.Minute, ConnectTimeout: time.Second, MaxRetryAfter: time.Second, StartCapacity: 1,
		OverloadFactor: 2, OverloadOutage: time.Second, Classes: []Class{{Name: "note", Deadline: 10 * time.Second, OnTime: 3 * time.Second, Value: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	events := []Event{TargetList{Scope: Snapshot, Targets: targets}}
	got, due, attempts := map[string]int{}, map[time.Duration][]Event{}, map[string]int{}
	for now := time.Duration(0); now < span; now += time.Millisecond {
		if now%every == 0 {
			events = append(events, Message{ID: fmt.Sprint(now), Class: "note", Destination: 1, TimeLeft: 10 * time.Second})
		}
		events = append(events, due[now]...)
		delete(due, now)
		for _, a := range f.Step(now, append(events, Woken{})) {
			if s, sent := a.(Send); sent {
				took, how := takes(s.Target, now)
				due[now+took] = append(due[now+took], Outcome{Message: s.Message, Attempt: attempts[s.Message], Target: s.Target, Result: how, NoAnswerNeeded: how == Succeeded, Latency: took})
				attempts[s.Message]++
				if now >= earliest {
					got[s.Target]++
				}
			}
		}
		events = nil
	}
	return got
}

// TestShares: calls go in proportion to shares, be they seldom or many at once; a target that was away or failed gets no more than its
// share when it is back.
func TestShares(t *testing.T) {
	for _, c := range []struct {
		name   string
		shares []float64
		every  time.Duration
		takes  time.Duration
		off    float64 // what a target may differ from its share
	}{
		{"seldom", []float64{1, 2, 5}, 20 * time.Millisecond, 5 * time.Millisecond, 0.02},
		{"many at once", []float64{1, 2, 5}, time.Millisecond, 50 * time.Millisecond, 0.02},
		{"far apart", []float64{1, 100}, 2 * time.Millisecond, 10 * time.Millisecond, 0.05},
		{"none is told", []float64{0, 0, 0}, 2 * time.Millisecond, 5 * time.Millisecond, 0.05},
	} {
		t.Run(c.name, func(t *testing.T) {
			var targets []Target
			sum := 0.0
			for i, s := range c.shares {
				targets = append(targets, Target{ID: fmt.Sprint(i), Destination: 1, Share: s})
				sum += max(s, 1)
			}
			got := forward(t, targets, c.every, 40*time.Second, 0, func(string, time.Duration) (time.Duration, Result) { return c.takes, Succeeded })
			all := 0
			for _, n := range got {
				all += n
			}
			for i, s := range c.shares {
				want := max(s, 1) / sum * float64(all)
				if n := got[fmt.Sprint(i)]; math.Abs(float64(n)-want) > c.off*want+2 {
					t.Errorf("target %d got %d of %d calls; its share is %.0f", i, n, all, want)
				}
			}
		})
	}
	t.Run("back after failing", func(t *testing.T) {
		targets := []Target{{ID: "a", Destination: 1, Share: 1}, {ID: "b", Destination: 1, Share: 3}}
		takes := func(target string, now time.Duration) (time.Duration, Result) {
			if target == "b" && now < 20*time.Second {
				return 5 * time.Millisecond, ConnectFailed
			}
			return 5 * time.Millisecond, Succeeded
		}
		got := forward(t, targets, 2*time.Millisecond, 40*time.Second, 20*time.Second, takes)
		if part := float64(got["b"]) / float64(got["a"]+got["b"]); part > 0.8 {
			t.Errorf("%v soon after: b's part is %.2f: it makes up for what it missed", got, part)
		}
		got = forward(t, targets, 2*time.Millisecond, 130*time.Second, 120*time.Second, takes)
		if part := float64(got["b"]) / float64(got["a"]+got["b"]); part < 0.7 || part > 0.8 {
			t.Errorf("%v: b's part is %.2f, and its share 0.75", got, part)
		}
	})
}

// TestTargetMoves: a target whose name stands at another destination gets nothing for the one before, also while calls are out to it,
// and it may move again and back.
func TestTargetMoves(t *testing.T) {
	f, err := New(Settings{Slots: 64, ConnIdle: time.Minute, ConnectTimeout: time.Second, MaxRetryAfter: time.Second, StartCapacity: 1,
		OverloadFactor: 2, OverloadOutage: time.Second, Classes: []Class{{Name: "note", Deadline: 10 * time.Second, OnTime: 3 * time.Second, Value: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	now, at := time.Duration(0), 0
	out := map[string]int{}
	step := func(events ...Event) {
		for _, a := range f.Step(now, events) {
			if s, sent := a.(Send); sent {
				var round, d int
				fmt.Sscan(s.Message, &round, &d)
				if d != at {
					t.Fatalf("at %v: a message for %d went to x, which is at %d", now, d, at)
				}
				out[s.Message]++
			}
		}
	}
	for n := range 200 {
		if n%10 == 0 { // calls of the last rounds are out
			at = 1 + (n/10)%3
			scope := Delta
			if n%20 == 0 {
				scope = Snapshot
			}
			step(TargetList{Scope: scope, Targets: []Target{{ID: "x", Destination: at}}})
		}
		now += 20 * time.Millisecond
		var events []Event
		if n%10 == 5 {
			for id := range out {
				events = append(events, Outcome{Message: id, Target: "x", Result: Succeeded, NoAnswerNeeded: true, Latency: 50 * time.Millisecond})
			}
			clear(out)
		}
		for d := 1; d <= 3; d++ {
			events = append(events, Message{ID: fmt.Sprint(n, " ", d), Class: "note", Destination: d, TimeLeft: 100 * time.Millisecond})
		}
		step(events...)
	}
	for range 10 {
		now += 20 * time.Second
		var events []Event
		for id := range out {
			events = append(events, Outcome{Message: id, Target: "x", Result: Succeeded, NoAnswerNeeded: true})
		}
		clear(out)
		step(events...)
	}
	if len(f.endpoints) != 1 || len(f.endpoints["x"].route.endpoints) != 1 {
		t.Errorf("%d targets are remembered, and there is one", len(f.endpoints))
		for id, x := range f.endpoints {
			t.Logf("%q: %d calls out", id, x.inFlight)
		}
	}
}
