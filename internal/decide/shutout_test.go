package decide

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestShutOut: while a host is shut out the module begins no call and holds nothing that has none out; each message gets one end, at once unless a call of it is
// out; a message that may have run and may not be repeated is never said to be harmless; afterwards it sends again.
func TestShutOut(t *testing.T) {
	refused, failed, sent := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		set := testSettings()
		f, err := New(set)
		if err != nil {
			t.Fatal(err)
		}
		now, shut, n := time.Duration(0), false, 0
		type state struct {
			class string
			out   map[int]string // attempt and target
			tries int
			ran   bool
		}
		held := map[string]*state{}
		var ids []string
		step := func(events ...Event) {
			for _, a := range f.Step(now, events) {
				switch a := a.(type) {
				case Send:
					m := held[a.Message]
					if m == nil || shut {
						t.Fatalf("%s is sent; shut out: %v", a.Message, shut)
					}
					m.out[m.tries] = a.Target
					m.tries++
					sent++
				case Refuse:
					m := held[a.Message]
					if m == nil || m.ran && m.class == "unsafe" || len(m.out) > 0 && m.class == "unsafe" {
						t.Fatalf("%s is refused: %+v", a.Message, m)
					}
					delete(held, a.Message)
					refused++
				case Fail:
					if held[a.Message] == nil {
						t.Fatalf("%s fails twice", a.Message)
					}
					delete(held, a.Message)
					failed++
				}
			}
			for id, m := range held {
				if shut && len(m.out) == 0 {
					t.Fatalf("%s is held though no call of it is out", id)
				}
			}
		}
		targets := []Target{{ID: "a", Destination: 1, Kind: "plain", Zone: set.Zone, Weight: 1}, {ID: "b", Destination: 1, Kind: "plain", Zone: set.Zone, Weight: 1}}
		step(TargetList{Scope: Snapshot, Targets: targets})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				shut = !shut
				step(Fenced{On: shut})
			case 1, 2:
				n++
				id := fmt.Sprint("m", n)
				ids = append(ids, id)
				class := rapid.SampledFrom([]string{"pure", "unsafe"}).Draw(t, "class")
				held[id] = &state{class: class, out: map[int]string{}}
				step(Message{ID: id, Class: class, Destination: 1, TimeLeft: 10 * time.Second})
			case 3:
				step(Woken{})
			default:
				for _, id := range ids {
					m := held[id]
					if m == nil || len(m.out) == 0 {
						continue
					}
					for attempt, target := range m.out {
						o := Outcome{Message: id, Attempt: attempt, Target: target, Latency: 10 * time.Millisecond,
							Result: rapid.SampledFrom([]Result{Succeeded, Overloaded, Reset, ConnectFailed, Errored}).Draw(t, "result")}
						delete(m.out, attempt)
						m.ran = m.ran || o.Result == Reset || o.Result == Errored
						if o.NoAnswerNeeded = o.Result == Succeeded; o.NoAnswerNeeded {
							delete(held, id)
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
		t.Errorf("%d refused, %d failed, %d sent: this test tests too little", refused, failed, sent)
	}
}
