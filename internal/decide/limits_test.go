package decide

import (
	"fmt"
	"testing"
	"time"
)

// TestLimits: the attempts and the time for an answer that are set for one destination hold there and nowhere else, and
// never above the platform's.
func TestLimits(t *testing.T) {
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
		sends, over := 0, false
		for now := time.Duration(0); now < 10*time.Minute && !over; now += 10 * time.Millisecond {
			actions := f.Step(now, events)
			events = []Event{Woken{}}
			for _, a := range actions {
				switch a := a.(type) {
				case Send:
					if c.answer > 0 && a.Timeout > c.answer {
						t.Errorf("to %d: waits %v for an answer, %v is set", c.dest, a.Timeout, c.answer)
					}
					events = append(events, Outcome{Message: "m", Attempt: sends, Target: a.Target, Result: Overloaded})
					sends++
				case Refuse, Fail:
					over = true
				}
			}
		}
		if sends != c.attempts || !over {
			t.Errorf("to %d: %d attempts, want %d; over %v", c.dest, sends, c.attempts, over)
		}
	}
}

// TestDestinationLimits: calls out at once, calls a second, further tries as a share of first tries and the first wait hold for
// the destination that they are set for, also from the next message on after they were changed, and for no other.
func TestDestinationLimits(t *testing.T) {
	set := Limits{MaxInFlight: 3, MaxRate: 40, MaxRetryRatio: 0.05, RetryDelay: 2 * time.Second}
	f, err := New(Settings{Slots: 200, Seed: 5, MaxAttempts: 6, ConnIdle: time.Minute, ConnectTimeout: time.Second, MaxRetryAfter: time.Second, StartCapacity: 1,
		OverloadFactor: 2, OverloadOutage: time.Second, Classes: []Class{{Name: "note", Deadline: 30 * time.Second, OnTime: 3 * time.Second, Value: 1}},
		Limits: func(_ string, dest int, _ string) Limits {
			if dest == 1 {
				return set
			}
			return Limits{}
		}})
	if err != nil {
		t.Fatal(err)
	}
	type state struct {
		out, most, sent, first, further int
		paused                          time.Duration // before further tries, in all
	}
	type sent struct {
		dest, attempt int
		at, end       time.Duration
	}
	calls, last := map[string]sent{}, map[string]time.Duration{}
	tries := map[string]int{}
	down, silent := false, false
	count := map[int]*state{1: {}, 2: {}}
	events := []Event{TargetList{Scope: Snapshot, Targets: []Target{{ID: "a", Destination: 1}, {ID: "b", Destination: 1}, {ID: "c", Destination: 2}}}}
	run := func(earliest, to time.Duration, each int) {
		count[1], count[2] = &state{out: count[1].out}, &state{out: count[2].out}
		for now := earliest; now < to; now += 10 * time.Millisecond {
			for i := range each {
				for dest := 1; dest <= 2; dest++ {
					events = append(events, Message{ID: fmt.Sprint(dest, now, i), Class: "note", Destination: dest, TimeLeft: 30 * time.Second})
				}
			}
			for id, c := range calls {
				if now >= c.end {
					o := Outcome{Message: id, Attempt: c.attempt, Target: "x", Result: Succeeded, NoAnswerNeeded: true, Latency: c.end - c.at}
					if silent && c.dest == 1 {
						o.Result, o.NoAnswerNeeded = TimedOut, false
						last[id] = now
					} else if down {
						o.Result, o.NoAnswerNeeded = ConnectFailed, false
						last[id] = now
					} else if len(id)%7 == 0 || now/time.Millisecond%130 == 0 { // some fail
						o.Result, o.NoAnswerNeeded = Errored, false
						last[id] = now
					}
					events = append(events, o)
					count[c.dest].out--
					delete(calls, id)
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
				n := count[dest]
				n.out++
				n.sent++
				n.most = max(n.most, n.out)
				if tries[s.Message] > 0 {
					n.further++
					n.paused += now - last[s.Message]
				} else {
					n.first++
				}
				took := 150 * time.Millisecond
				if silent && dest == 1 {
					took = s.Timeout
				}
				calls[s.Message] = sent{dest, tries[s.Message], now, now + took}
				tries[s.Message]++
			}
			events = []Event{Woken{}}
		}
	}
	run(0, 10*time.Second, 1)
	if one, two := *count[1], *count[2]; one.most > 3 || one.sent > 200+1 || float64(one.further) > 0.05*float64(one.first)+1 || two.most < 10 || two.sent < 900 || two.further == 0 {
		t.Errorf("limited: %+v; not limited: %+v", one, two)
	}
	if one, two := count[1], count[2]; one.further == 0 || one.paused/time.Duration(max(1, one.further)) < 500*time.Millisecond || two.paused/time.Duration(max(1, two.further)) > 400*time.Millisecond {
		t.Errorf("paused %v and %v before further tries", one.paused/time.Duration(max(1, one.further)), two.paused/time.Duration(max(1, two.further)))
	}
	set = Limits{MaxInFlight: 2, MaxRate: 1000}
	run(10*time.Second, 20*time.Second, 1)
	if one := *count[1]; one.most > 3 || one.sent < 100 || one.sent > 10*1000/150*2+3 {
		t.Errorf("with other limits: %+v", one)
	}
	set = Limits{MaxRate: 5}
	run(20*time.Second, 30*time.Second, 1)
	if one := *count[1]; one.sent > 55 {
		t.Errorf("at 5 a second for 10 s: %+v", one)
	}
	set, silent = Limits{MaxInFlight: 3}, true // calls last so long that the route is taken for silent
	run(30*time.Second, 45*time.Second, 1)
	if one := *count[1]; one.most > 3 || one.sent < 3 {
		t.Errorf("with three out at once, and silent: %+v", one)
	}
	set, silent, down = Limits{}, false, true
	run(45*time.Second, 55*time.Second, 1)
	set = Limits{MaxRate: 0.1}
	run(55*time.Second, 75*time.Second, 1)
	if one := *count[1]; one.sent > 4 || one.sent < 1 {
		t.Errorf("at one in ten seconds for 20 s, and down: %+v", one)
	}
}
