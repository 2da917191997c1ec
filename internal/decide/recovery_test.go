package decide

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func recovered(id, class string, attempts int, open, ran bool, left time.Duration) Message {
	return Message{ID: id, Class: class, Destination: 1, TimeLeft: left, Recovered: true, Attempts: attempts, HasOpenAttempt: open, MayHaveRun: ran}
}

// TestRecovered: what becomes of a message from before a restart.
func TestRecovered(t *testing.T) {
	long := 9 * time.Second
	for _, c := range []struct {
		name string
		m    Message
		want string
	}{
		{"never sent", recovered("m", "unsafe", 0, false, false, long), "sent"},
		{"refused before", recovered("m", "unsafe", 1, false, false, long), "sent"},
		{"unsafe, call cut off", recovered("m", "unsafe", 1, true, true, long), "failed"},
		{"unsafe, error before", recovered("m", "unsafe", 1, false, true, long), "failed"},
		{"harmless, call cut off", recovered("m", "pure", 1, true, true, long), "sent"},
		{"keyed, call cut off", recovered("m", "keyed", 1, true, true, long), "failed"},
		{"all attempts made", recovered("m", "unsafe", 6, false, false, long), "refused"},
		{"overdue, never ran", recovered("m", "unsafe", 1, false, false, -time.Second), "refused"},
		{"overdue, may have run", recovered("m", "unsafe", 1, true, true, -time.Second), "failed"},
		{"unknown class", recovered("m", "other", 0, false, false, long), "failed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newForwarder(t, plain("x"))
			got := ""
			events := []Event{c.m}
			for now := 2 * time.Second; got == "" && now < 9*time.Second; now += 10 * ms {
				for _, a := range f.Step(now, events) {
					switch a.(type) {
					case Send:
						got = "sent"
					case Refuse:
						got = "refused"
					case Fail:
						got = "failed"
					}
				}
				events = []Event{Woken{}}
			}
			if got != c.want {
				t.Errorf("%q, want %q", got, c.want)
			}
		})
	}
}

// TestRecoveredAttemptsGoOn: attempts are numbered on from those before the restart.
func TestRecoveredAttemptsGoOn(t *testing.T) {
	f := newForwarder(t, plain("x"))
	events := []Event{recovered("m", "pure", 2, true, true, 9*time.Second)}
	for now := time.Second; ; now += 10 * ms {
		if now > 8*time.Second {
			t.Fatal("never sent")
		}
		if len(sends(f.Step(now, events))) > 0 {
			f.Step(now+10*ms, []Event{Outcome{Message: "m", Attempt: 2, Target: "x", Result: Succeeded, Latency: 10 * ms, NoAnswerNeeded: true}})
			break
		}
		events = nil
	}
	if len(f.messages) != 0 || f.inFlight.size != 0 {
		t.Error("the outcome of attempt 2 was passed over")
	}
}

// TestRecoveredDoNotBurst: after a restart nothing is known of outages, so what waited
// goes to a destination no faster than to one that has just returned.
func TestRecoveredDoNotBurst(t *testing.T) {
	s := testSettings()
	s.Weights = ExactWeights
	for _, weight := range []float64{0, 20} {
		f, err := New(s)
		if err != nil {
			t.Fatal(err)
		}
		x := plain("x")
		x.Weight = weight
		events := []Event{TargetList{Scope: LastKnown, Targets: []Target{x}}}
		for n := range 60 {
			events = append(events, recovered(fmt.Sprint("m", n), "pure", 0, false, false, 9*time.Second))
		}
		sent := 0
		for now := time.Duration(0); now < 3*time.Second; now += 5 * ms {
			ids := sends(f.Step(now, events))
			events = nil
			for _, id := range ids {
				sent++
				events = append(events, Outcome{Message: id, Target: "x", Result: Succeeded, Latency: 5 * ms, NoAnswerNeeded: true})
			}
		}
		// A cold one takes a fifth of 20 a second at first and falls over at twice that for 3 s.
		if sent == 0 || weight > 0 && sent > 24 {
			t.Errorf("weight %v: %d sent in 3 s", weight, sent)
		}
	}
}

// TestStoppingStartsNoLateCall: no call is started that would outlast the host.
func TestStoppingStartsNoLateCall(t *testing.T) {
	f := newForwarder(t, plain("x"))
	if got := sends(f.Step(0, []Event{msg("a", "unsafe", "")})); len(got) != 1 {
		t.Fatalf("sent %v", got)
	}
	f.Step(300*ms, []Event{Outcome{Message: "a", Target: "x", Result: Succeeded, Latency: 300 * ms, NoAnswerNeeded: true}})
	f.Step(400*ms, []Event{Stopping{TimeLeft: 2 * time.Second}})
	if got := sends(f.Step(1000*ms, []Event{msg("b", "unsafe", "")})); len(got) != 1 {
		t.Errorf("with time enough, sent %v", got)
	}
	if got := sends(f.Step(1600*ms, []Event{msg("c", "unsafe", "")})); len(got) != 0 {
		t.Errorf("too late, sent %v", got)
	}
}

// TestHoldIsLimited: more than MaxHeld are turned away, but never what is owed from before.
func TestHoldIsLimited(t *testing.T) {
	s := testSettings()
	s.MaxOpen = 1
	f, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	refused := func(actions []Action) (ids []string) {
		for _, a := range actions {
			if r, ok := a.(Refuse); ok {
				ids = append(ids, r.Message)
			}
		}
		return ids
	}
	got := refused(f.Step(0, []Event{recovered("a", "unsafe", 0, false, false, 9*time.Second),
		recovered("b", "unsafe", 0, false, false, 9*time.Second), msg("c", "unsafe", "")}))
	if len(got) != 1 || got[0] != "c" {
		t.Errorf("refused %v, want only c", got)
	}
}

// TestRecoveredMakeNoRoom: what a restart took up untried is not given up to make room for what comes after it, though that be worth more: each gets
// its try, or its time is truly up. Without that a hold that restarts full is emptied by the first who come.
func TestRecoveredMakeNoRoom(t *testing.T) {
	for _, again := range []bool{false, true} { // by a hand-over in the middle of it
		s := testSettings()
		s.MaxOpen, s.Slots = 40, 4
		f, err := New(s)
		if err != nil {
			t.Fatal(err)
		}
		list := TargetList{Scope: LastKnown, Targets: []Target{plain("x")}}
		events := []Event{list}
		for n := range 36 {
			events = append(events, recovered(fmt.Sprint("old", n), "pure", 0, false, false, 2800*ms)) // over seven tenths of their time are gone
		}
		tried, turnedAway, early := map[string]bool{}, 0, 0
		for now := time.Duration(0); now < 2700*ms; now += 10 * ms {
			events = append(events, msg(fmt.Sprint("new", now), "unsafe", ""))
			if again && now == 100*ms {
				var held []Message
				for _, m := range f.messages {
					held = append(held, Message{ID: m.id, Class: m.class.Name, Destination: 1, TimeLeft: m.deadline - now, Recovered: true, Attempts: m.attempts, HasOpenAttempt: m.inFlight > 0})
				}
				memory, err := DecodeState(f.Save())
				if err != nil {
					t.Fatal(err)
				}
				if f, err = New(s); err != nil {
					t.Fatal(err)
				}
				f.Restore(now, memory, []TargetList{list}, held)
			}
			actions := f.Step(now, events)
			events = nil
			for _, a := range actions {
				switch a := a.(type) {
				case Send:
					tried[a.Message] = true
					events = append(events, Outcome{Message: a.Message, Target: "x", Result: Succeeded, Latency: 5 * ms, NoAnswerNeeded: true})
				case Refuse:
					if strings.HasPrefix(a.Message, "old") {
						early++
					} else {
						turnedAway++
					}
				}
			}
		}
		if early > 0 || turnedAway == 0 {
			t.Errorf("handed over %v: %d of what was taken up untried were given up, %d newcomers turned away", again, early, turnedAway)
		}
	}
}

// TestRecoveredHasATry: attempts that were decided and never made count in the host's numbers. A message that was not answered for want of tries
// before the restart is not after it.
func TestRecoveredHasATry(t *testing.T) {
	for attempts := range 6 {
		f := newForwarder(t, plain("x"))
		sent := 0
		events := []Event{recovered("m", "unsafe", attempts, false, false, 9*time.Second)}
		for now := time.Second; now < 9*time.Second && sent == 0; now += 10 * ms {
			sent += len(sends(f.Step(now, events)))
			events = []Event{Woken{}}
		}
		if sent == 0 {
			t.Errorf("given up with no call after %d attempts that reached nobody", attempts)
		}
	}
}
