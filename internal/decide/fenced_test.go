package decide

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestFencedBeginsNoCall: while the host is fenced off, no call begins, and only messages with a call in flight stay open; the others are answered at once. Each
// message is completed once, and one that may have run and must not be repeated is never refused, since a refusal says that it may be handed in again. Afterwards messages are sent again.
func TestFencedBeginsNoCall(t *testing.T) {
	refused, failed, sent := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		settings := testSettings()
		f, err := New(settings)
		if err != nil {
			t.Fatal(err)
		}
		now, fenced, messageCount := time.Duration(0), false, 0
		type state struct {
			class      string
			inFlight   map[int]string // endpoint by attempt
			attempts   int
			mayHaveRun bool
		}
		open := map[string]*state{}
		var ids []string
		step := func(events ...Event) {
			for _, a := range f.Step(now, events) {
				switch a := a.(type) {
				case Send:
					m := open[a.Message]
					if m == nil || fenced {
						t.Fatalf("message %s is sent; fenced off: %v", a.Message, fenced)
					}
					m.inFlight[m.attempts] = a.Target
					m.attempts++
					sent++
				case Refuse:
					m := open[a.Message]
					if m == nil || m.mayHaveRun && m.class == "unsafe" || len(m.inFlight) > 0 && m.class == "unsafe" {
						t.Fatalf("message %s is refused: %+v", a.Message, m)
					}
					delete(open, a.Message)
					refused++
				case Fail:
					if open[a.Message] == nil {
						t.Fatalf("message %s is completed twice", a.Message)
					}
					delete(open, a.Message)
					failed++
				}
			}
			for id, m := range open {
				if fenced && len(m.inFlight) == 0 {
					t.Fatalf("message %s stays open without a call in flight", id)
				}
			}
		}
		targets := []Target{{ID: "a", Destination: 1, Kind: "plain", Zone: settings.Zone, Weight: 1}, {ID: "b", Destination: 1, Kind: "plain", Zone: settings.Zone, Weight: 1}}
		step(TargetList{Scope: Snapshot, Targets: targets})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				fenced = !fenced
				step(Fenced{On: fenced})
			case 1, 2:
				messageCount++
				id := fmt.Sprint("m", messageCount)
				ids = append(ids, id)
				class := rapid.SampledFrom([]string{"pure", "unsafe"}).Draw(t, "class")
				open[id] = &state{class: class, inFlight: map[int]string{}}
				step(Message{ID: id, Class: class, Destination: 1, TimeLeft: 10 * time.Second})
			case 3:
				step(Woken{})
			default:
				for _, id := range ids {
					m := open[id]
					if m == nil || len(m.inFlight) == 0 {
						continue
					}
					for attempt, target := range m.inFlight {
						o := Outcome{Message: id, Attempt: attempt, Target: target, Latency: 10 * time.Millisecond,
							Result: rapid.SampledFrom([]Result{Succeeded, Overloaded, Reset, ConnectFailed, Errored}).Draw(t, "result")}
						delete(m.inFlight, attempt)
						m.mayHaveRun = m.mayHaveRun || o.Result == Reset || o.Result == Errored
						if o.NoAnswerNeeded = o.Result == Succeeded; o.NoAnswerNeeded {
							delete(open, id)
						}
						step(o)
						break
					}
					break
				}
			}
		}
	})
	if refused == 0 || failed == 0 || sent == 0 {
		t.Errorf("%d messages refused, %d failed, %d sent: the streams reach too few states", refused, failed, sent)
	}
}
