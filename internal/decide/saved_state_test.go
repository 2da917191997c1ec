package decide_test

import (
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
	. "scaleroute/internal/decide"
)

// TestRestoredForwarderDecidesTheSame passes streams of events to a Forwarder. At some point in each, another one is restored from its saved state and the
// endpoints and open messages that its host knows. From then on both must return the same actions. The streams have calls in flight, retry-after times,
// outages and used-up budgets at that point.
func TestRestoredForwarderDecidesTheSame(t *testing.T) {
	setStreamCount(t, "500")
	sends, inFlight, answers := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		set := drawSettings(t)
		s := newStream(t, set)
		original, err := New(set)
		if err != nil {
			t.Fatal(err)
		}
		restoreAt := rapid.IntRange(1, 300).Draw(t, "before")
		accepted := map[string]Message{}
		var order []string
		listed := map[string]Target{}
		mayHaveRun, stopping := map[string]bool{}, false
		var restored *Forwarder
		for step := range restoreAt + rapid.IntRange(1, 200).Draw(t, "after") {
			events := s.drawEvents()
			for _, e := range events {
				switch e := e.(type) {
				case Message:
					if _, there := accepted[e.ID]; !there {
						accepted[e.ID], mayHaveRun[e.ID] = e, e.MayHaveRun
						order = append(order, e.ID)
					}
				case Outcome:
					mayHaveRun[e.Message] = mayHaveRun[e.Message] || e.Result != Overloaded && e.Result != ConnectFailed && e.Result != NotSent
				case TargetList:
					if e.Scope == Snapshot || e.Scope == LastKnown {
						clear(listed)
					}
					for _, target := range e.Targets {
						if listed[target.ID] = target; target.State == Gone {
							delete(listed, target.ID)
						}
					}
				case Stopping:
					stopping = true // a Stopping is not part of the saved state
				}
			}
			got := original.Step(s.now, events)
			if restored != nil {
				if again := restored.Step(s.now, events); !reflect.DeepEqual(plain(got), plain(again)) {
					t.Fatalf("step %d, %d after the restore, at %v, events %+v:\noriginal %+v\nrestored %+v", step, step-restoreAt, s.now, events, plain(got), plain(again))
				}
				for _, a := range got {
					switch a.(type) {
					case Send:
						sends++
					case Refuse, Fail:
						answers++
					}
				}
			}
			s.execute(got)
			if step < restoreAt || restored != nil || stopping || original.HasOrphanedCalls() {
				continue
			}
			saved := original.Save()
			state, err := DecodeState(saved)
			if err != nil {
				t.Fatal(err)
			}
			before, _ := DecodeState(saved)
			if restored, err = New(set); err != nil {
				t.Fatal(err)
			}
			snapshot := TargetList{Scope: Snapshot}
			for _, name := range slices.Sorted(maps.Keys(listed)) {
				snapshot.Targets = append(snapshot.Targets, listed[name])
			}
			var messages []Message
			for _, id := range order {
				if s.open[id] {
					m := accepted[id]
					m.Recovered, m.Attempts, m.MayHaveRun = true, s.attempts[id], mayHaveRun[id]
					m.HasOpenAttempt = s.inFlight[id] != nil
					m.TimeLeft = 0 // the saved state has the deadline
					messages = append(messages, m)
				}
			}
			actions, calls := restored.Restore(s.now, state, []TargetList{snapshot}, messages)
			again, err := DecodeState(restored.Save())
			if err != nil {
				t.Fatal(err)
			}
			if !before.EqualIgnoringSeq(again) {
				t.Fatalf("at %v, step %d, the restored state differs:\n%+v\n%+v", s.now, step, before, again)
			}
			if len(actions) > 0 {
				t.Fatalf("Restore returned actions, want none: %+v", actions)
			}
			for id, numbers := range calls {
				inFlight += len(numbers)
				if c := s.inFlight[id]; len(numbers) > 1 || c == nil != (len(numbers) == 0) || c != nil && numbers[0] != c.attempt {
					t.Fatalf("message %s: attempts %v in flight, the host has %+v", id, numbers, c)
				}
			}
		}
	})
	if sends < 1000 || inFlight < 100 || answers < 100 {
		t.Errorf("%d sends, %d answers, %d calls in flight: too few to test them", sends, answers, inFlight)
	}
}

// plain returns the actions without each Wake, since one Wake too many does no harm.
func plain(actions []Action) (rest []Action) {
	for _, a := range actions {
		if _, ok := a.(Wake); !ok {
			rest = append(rest, a)
		}
	}
	return rest
}

// TestCorruptState: a truncated state is rejected with an error that names the place. A state with a flipped bit is rejected too, or is decoded; a Forwarder
// restored from it must not panic.
func TestCorruptState(t *testing.T) {
	rejected, decoded := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		set := drawSettings(t)
		s := newStream(t, set)
		original, err := New(set)
		if err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			s.execute(original.Step(s.now, s.drawEvents()))
		}
		saved := original.Save()
		if _, err := DecodeState(append(slices.Clone(saved), 0)); err == nil {
			t.Fatal("a state with an extra byte was decoded")
		}
		at := rapid.IntRange(0, len(saved)-1).Draw(t, "at")
		if _, err := DecodeState(saved[:at]); err == nil || !strings.Contains(err.Error(), "bytes before its end") {
			t.Fatalf("state truncated to %d bytes: error %v", at, err)
		}
		saved[at] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		m, err := DecodeState(saved)
		if err != nil {
			rejected++
			return
		}
		decoded++
		restored, err := New(set)
		if err != nil {
			t.Fatal(err)
		}
		var open []Message
		for id := range s.open {
			open = append(open, Message{ID: id, Class: "pure", TimeLeft: 1e9, Recovered: true})
		}
		restored.Restore(s.now, m, nil, open)
		for range 20 {
			restored.Step(s.now, s.drawEvents())
		}
	})
	if rejected == 0 || decoded == 0 {
		t.Errorf("%d states rejected and %d decoded: want some of each", rejected, decoded)
	}
}
