package decide

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestHedgedRequests sends messages of every effect to three endpoints and a backup, with random outcomes, some slow calls and an endpoint that is drained later.
// Hedged requests may be made only of idempotent messages, once each, after the hedge delay, to another active endpoint that is no backup, within the retry
// budget and half of the slots. When one of the two attempts has succeeded the other is cancelled. Each message is completed once, and no state is left over.
func TestHedgedRequests(t *testing.T) {
	const hedgeDelay = 80 * time.Millisecond
	hedges, cancelled := 0, 0
	for seed := range uint64(6) {
		f, err := New(Settings{Slots: 40, Seed: seed, MaxAttempts: 4, ConnIdle: time.Minute, ConnectTimeout: time.Second, MaxRetryAfter: time.Second, StartCapacity: 1, MayCancel: seed%2 == 0,
			OverloadFactor: 2, OverloadOutage: time.Second, Hedging: seed%5 != 4, Limits: func(string, int, string) Limits { return Limits{HedgeDelay: hedgeDelay} },
			Classes: []Class{{Name: "pure", Deadline: 5 * time.Second, OnTime: time.Second, Value: 1}, {Name: "keyed", Effect: Deduplicated, DedupWindow: time.Minute, Deadline: 5 * time.Second, OnTime: time.Second, Value: 1},
				{Name: "unsafe", Effect: AtMostOnce, Deadline: 5 * time.Second, OnTime: time.Second, Value: 1}}})
		if err != nil {
			t.Fatal(err)
		}
		type call struct {
			attempt int
			target  string
			sentAt  time.Duration
			endsAt  time.Duration
		}
		type messageState struct {
			class     string
			inFlight  []call
			attempts  int
			completed bool
		}
		rng := rand.New(rand.NewPCG(seed, 3))
		messages, openIDs, firstAttempts, retries := map[string]*messageState{}, []string{}, 0, 0
		events := []Event{TargetList{Scope: Snapshot, Targets: []Target{{ID: "a", Destination: 1}, {ID: "b", Destination: 1}, {ID: "slow", Destination: 1}, {ID: "spare", Destination: 1, Backup: true},
			{ID: "x", Destination: 2}, {ID: "y", Destination: 2}}}}
		isDrained, retryAfter, inFlightCount := false, time.Duration(0), 0
		for now := time.Duration(0); now < 30*time.Second; now += time.Millisecond {
			interval := 5 * time.Millisecond
			if seed%3 == 1 { // more than half of the slots, most of the time
				interval = 2 * time.Millisecond
			}
			if now%interval == 0 && now < 20*time.Second {
				id := fmt.Sprint(now.Milliseconds())
				h, dest := &messageState{class: []string{"pure", "pure", "keyed", "unsafe"}[rng.IntN(4)]}, 1
				if seed%3 == 1 { // another destination takes slots
					dest += rng.IntN(2)
				}
				messages[id], openIDs = h, append(openIDs, id)
				events = append(events, Message{ID: id, Class: h.class, Destination: dest, TimeLeft: 5 * time.Second})
			}
			if now == 16*time.Second {
				events, isDrained = append(events, TargetList{Scope: Delta, Targets: []Target{{ID: "slow", Destination: 1, State: Draining}}}), true
			}
			openIDs = slices.DeleteFunc(openIDs, func(id string) bool { return messages[id].completed && len(messages[id].inFlight) == 0 })
			for _, id := range openIDs {
				h := messages[id]
				for i := 0; i < len(h.inFlight); i++ {
					if c := h.inFlight[i]; now >= c.endsAt {
						h.inFlight = append(h.inFlight[:i:i], h.inFlight[i+1:]...)
						inFlightCount--
						i--
						o := Outcome{Message: id, Attempt: c.attempt, Target: c.target, Result: Succeeded, NoAnswerNeeded: true, Latency: now - c.sentAt}
						if !h.completed && rng.IntN(40) == 0 {
							o.Result, o.NoAnswerNeeded = []Result{Errored, Reset, TimedOut}[rng.IntN(3)], false
						}
						if !h.completed && seed%3 == 2 && rng.IntN(100) == 0 {
							o.Result, o.NoAnswerNeeded, o.RetryAfter = Overloaded, false, 300*time.Millisecond
							retryAfter = max(retryAfter, now+o.RetryAfter)
						}
						if h.completed { // cancelled
							o.Result, o.NoAnswerNeeded = Cancelled, false
						}
						h.completed = h.completed || o.NoAnswerNeeded
						events = append(events, o)
					}
				}
			}
			for _, a := range f.Step(now, append(events, Woken{})) {
				switch a := a.(type) {
				case Send:
					h := messages[a.Message]
					if len(h.inFlight) > 0 {
						first := h.inFlight[0]
						switch {
						case h.class != "pure" || seed%5 == 4:
							t.Fatalf("%v: a hedged request of class %s", now, h.class)
						case len(h.inFlight) > 1 || first.target == a.Target || a.Target == "spare":
							t.Fatalf("%v: a hedged request to %s with %v in flight", now, a.Target, h.inFlight)
						case 2*inFlightCount >= 40 || now < retryAfter:
							t.Fatalf("%v: a hedged request with %d calls in flight, and a retry-after time until %v", now, inFlightCount, retryAfter)
						case now-first.sentAt < hedgeDelay || h.completed:
							t.Fatalf("%v: a hedged request after %v; message completed: %v", now, now-first.sentAt, h.completed)
						}
						hedges++
					}
					if isDrained && a.Target == "slow" {
						t.Fatalf("%v: sent to a drained endpoint", now)
					}
					if h.attempts == 0 {
						firstAttempts++
					} else {
						retries++
					}
					latency := time.Duration(5+rng.IntN(20)) * time.Millisecond
					if rng.IntN(10) == 0 || a.Target == "x" || a.Target == "y" {
						latency = time.Duration(50+rng.IntN(400)) * time.Millisecond
					}
					h.inFlight = append(h.inFlight, call{h.attempts, a.Target, now, now + min(latency, a.Timeout)})
					h.attempts++
					inFlightCount++
				case Cancel:
					for i := range messages[a.Message].inFlight {
						if messages[a.Message].inFlight[i].attempt == a.Attempt {
							messages[a.Message].inFlight[i].endsAt = now + time.Millisecond
							cancelled++
						}
					}
				case Refuse:
					if len(messages[a.Message].inFlight) > 0 || messages[a.Message].completed {
						t.Fatalf("%v: %s is refused with a call in flight, or after its completion", now, a.Message)
					}
					messages[a.Message].completed = true
				case Fail:
					messages[a.Message].completed = true
				}
			}
			events = nil
		}
		for id, h := range messages {
			if !h.completed || len(h.inFlight) > 0 {
				t.Fatalf("seed %d: %s is not completed: %+v", seed, id, h)
			}
		}
		if len(f.messages)+f.hedges.len()+f.inFlight.size > 0 {
			t.Errorf("left over: %d messages, %d hedged requests, %d calls", len(f.messages), f.hedges.len(), f.inFlight.size)
		}
		if share := float64(retries) / float64(firstAttempts); share > initialRetryRatio+0.02 {
			t.Errorf("seed %d: %.3f retries and hedged requests per first attempt", seed, share)
		}
	}
	t.Logf("%d hedged requests, %d cancelled", hedges, cancelled)
	if hedges < 100 || cancelled < 30 {
		t.Error("too few hedged requests or cancellations to test them")
	}
}
