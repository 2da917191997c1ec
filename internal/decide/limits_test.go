package decide

import (
	"fmt"
	"testing"
	"time"
)

// TestMessageLimits: the maximum of attempts and the attempt timeout set for one destination apply there and nowhere else, and
// never raise the platform's maximum of attempts.
func TestMessageLimits(t *testing.T) {
	for _, c := range []struct {
		dest, platform, attempts int
		answer                   time.Duration
	}{{1, 4, 2, 300 * time.Millisecond}, {2, 4, 4, 0}, {3, 4, 4, 0}} {
		f, err := New(Settings{Slots: 8, MaxAttempts: c.platform, ConnIdle: time.Minute, ConnectTimeout: time.Second, MaxRetryAfter: time.Second,
			StartCapacity: 1, OverloadFactor: 2, OverloadOutage: time.Second,
			Classes: []Class{{Name: "note", Deadline: 10 * time.Minute, OnTime: 5 * time.Minute, Value: 1}},
			Limits: func(class string, dest int, _ string) Limits {
				switch {
				case class == "note" && dest == 1:
					return Limits{MaxAttempts: 2, AttemptTimeout: 300 * time.Millisecond}
				case dest == 3:
					return Limits{MaxAttempts: 9}
				}
				return Limits{}
			}})
		if err != nil {
			t.Fatal(err)
		}
		events := []Event{TargetList{Scope: Snapshot, Targets: []Target{{ID: "a", Destination: c.dest}, {ID: "b", Destination: c.dest}}},
			Message{ID: "m", Class: "note", Destination: c.dest, TimeLeft: 10 * time.Minute}}
		sends, answered := 0, false
		for now := time.Duration(0); now < 10*time.Minute && !answered; now += 10 * time.Millisecond {
			actions := f.Step(now, events)
			events = []Event{Woken{}}
			for _, a := range actions {
				switch a := a.(type) {
				case Send:
					if c.answer > 0 && a.Timeout > c.answer {
						t.Errorf("destination %d: attempt timeout %v, limit %v", c.dest, a.Timeout, c.answer)
					}
					events = append(events, Outcome{Message: "m", Attempt: sends, Target: a.Target, Result: Overloaded})
					sends++
				case Refuse, Fail:
					answered = true
				}
			}
		}
		if sends != c.attempts || !answered {
			t.Errorf("destination %d: %d attempts, want %d; answered: %v", c.dest, sends, c.attempts, answered)
		}
	}
}

// TestDestinationLimits: the limits of calls in flight, of calls a second, of the retry ratio and the delay of the first retry
// apply to the destination for which they are set and to no other. A change applies from the next message on.
func TestDestinationLimits(t *testing.T) {
	limits := Limits{MaxInFlight: 3, MaxRate: 40, MaxRetryRatio: 0.05, RetryDelay: 2 * time.Second}
	f, err := New(Settings{Slots: 200, Seed: 5, MaxAttempts: 6, ConnIdle: time.Minute, ConnectTimeout: time.Second, MaxRetryAfter: time.Second, StartCapacity: 1,
		OverloadFactor: 2, OverloadOutage: time.Second, Classes: []Class{{Name: "note", Deadline: 30 * time.Second, OnTime: 3 * time.Second, Value: 1}},
		Limits: func(_ string, dest int, _ string) Limits {
			if dest == 1 {
				return limits
			}
			return Limits{}
		}})
	if err != nil {
		t.Fatal(err)
	}
	type state struct {
		inFlight, maxInFlight, calls, firstAttempts, retries int
		totalRetryDelay                                      time.Duration // sum of the delays before retries
	}
	type inFlightCall struct {
		dest, attempt int
		at, end       time.Duration
	}
	open, failedAt := map[string]inFlightCall{}, map[string]time.Duration{}
	attempts := map[string]int{}
	down, timingOut := false, false
	stats := map[int]*state{1: {}, 2: {}}
	events := []Event{TargetList{Scope: Snapshot, Targets: []Target{{ID: "a", Destination: 1}, {ID: "b", Destination: 1}, {ID: "c", Destination: 2}}}}
	run := func(from, to time.Duration, each int) {
		stats[1], stats[2] = &state{inFlight: stats[1].inFlight}, &state{inFlight: stats[2].inFlight}
		for now := from; now < to; now += 10 * time.Millisecond {
			for i := range each {
				for dest := 1; dest <= 2; dest++ {
					events = append(events, Message{ID: fmt.Sprint(dest, now, i), Class: "note", Destination: dest, TimeLeft: 30 * time.Second})
				}
			}
			for id, c := range open {
				if now >= c.end {
					o := Outcome{Message: id, Attempt: c.attempt, Target: "x", Result: Succeeded, NoAnswerNeeded: true, Latency: c.end - c.at}
					if timingOut && c.dest == 1 {
						o.Result, o.NoAnswerNeeded = TimedOut, false
						failedAt[id] = now
					} else if down {
						o.Result, o.NoAnswerNeeded = ConnectFailed, false
						failedAt[id] = now
					} else if len(id)%7 == 0 || now/time.Millisecond%130 == 0 { // some fail
						o.Result, o.NoAnswerNeeded = Errored, false
						failedAt[id] = now
					}
					events = append(events, o)
					stats[c.dest].inFlight--
					delete(open, id)
				}
			}
			for _, a := range f.Step(now, events) {
				s, ok := a.(Send)
				if !ok {
					continue
				}
				dest := 1
				if s.Target == "c" {
					dest = 2
				}
				n := stats[dest]
				n.inFlight++
				n.calls++
				n.maxInFlight = max(n.maxInFlight, n.inFlight)
				if attempts[s.Message] > 0 {
					n.retries++
					n.totalRetryDelay += now - failedAt[s.Message]
				} else {
					n.firstAttempts++
				}
				latency := 150 * time.Millisecond
				if timingOut && dest == 1 {
					latency = s.Timeout
				}
				open[s.Message] = inFlightCall{dest, attempts[s.Message], now, now + latency}
				attempts[s.Message]++
			}
			events = []Event{Woken{}}
		}
	}
	run(0, 10*time.Second, 1)
	if one, two := *stats[1], *stats[2]; one.maxInFlight > 3 || one.calls > 200+1 || float64(one.retries) > 0.05*float64(one.firstAttempts)+1 || two.maxInFlight < 10 || two.calls < 900 || two.retries == 0 {
		t.Errorf("with limits: %+v; without: %+v", one, two)
	}
	if one, two := stats[1], stats[2]; one.retries == 0 || one.totalRetryDelay/time.Duration(max(1, one.retries)) < 500*time.Millisecond || two.totalRetryDelay/time.Duration(max(1, two.retries)) > 400*time.Millisecond {
		t.Errorf("mean delay of retries %v with limits and %v without", one.totalRetryDelay/time.Duration(max(1, one.retries)), two.totalRetryDelay/time.Duration(max(1, two.retries)))
	}
	limits = Limits{MaxInFlight: 2, MaxRate: 1000}
	run(10*time.Second, 20*time.Second, 1)
	if one := *stats[1]; one.maxInFlight > 3 || one.calls < 100 || one.calls > 10*1000/150*2+3 {
		t.Errorf("with changed limits: %+v", one)
	}
	limits = Limits{MaxRate: 5}
	run(20*time.Second, 30*time.Second, 1)
	if one := *stats[1]; one.calls > 55 {
		t.Errorf("with 5 calls a second for 10 s: %+v", one)
	}
	limits, timingOut = Limits{MaxInFlight: 3}, true // calls take so long that the route counts as unresponsive
	run(30*time.Second, 45*time.Second, 1)
	if one := *stats[1]; one.maxInFlight > 3 || one.calls < 3 {
		t.Errorf("with three calls in flight, and timeouts: %+v", one)
	}
	limits, timingOut, down = Limits{}, false, true
	run(45*time.Second, 55*time.Second, 1)
	limits = Limits{MaxRate: 0.1}
	run(55*time.Second, 75*time.Second, 1)
	if one := *stats[1]; one.calls > 4 || one.calls < 1 {
		t.Errorf("with one call in ten seconds for 20 s, and failing connections: %+v", one)
	}
}
