package decide

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func recoveredMessage(id, class string, attempts int, open, ran bool, left time.Duration) Message {
	return Message{ID: id, Class: class, Destination: 1, TimeLeft: left, Recovered: true, Attempts: attempts, HasOpenAttempt: open, MayHaveRun: ran}
}

// TestRecovered: whether a message from before a restart is sent, refused or failed.
func TestRecovered(t *testing.T) {
	long := 9 * time.Second
	for _, c := range []struct {
		name string
		m    Message
		want string
	}{
		{"never sent", recoveredMessage("m", "unsafe", 0, false, false, long), "sent"},
		{"call without effect before", recoveredMessage("m", "unsafe", 1, false, false, long), "sent"},
		{"unsafe, call interrupted", recoveredMessage("m", "unsafe", 1, true, true, long), "failed"},
		{"unsafe, error before", recoveredMessage("m", "unsafe", 1, false, true, long), "failed"},
		{"idempotent, call interrupted", recoveredMessage("m", "pure", 1, true, true, long), "sent"},
		{"deduplicated, call interrupted", recoveredMessage("m", "keyed", 1, true, true, long), "failed"},
		{"all attempts made", recoveredMessage("m", "unsafe", 6, false, false, long), "refused"},
		{"past its deadline, did not run", recoveredMessage("m", "unsafe", 1, false, false, -time.Second), "refused"},
		{"past its deadline, may have run", recoveredMessage("m", "unsafe", 1, true, true, -time.Second), "failed"},
		{"unknown class", recoveredMessage("m", "other", 0, false, false, long), "failed"},
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

// TestRecoveredAttemptNumbersContinue: the attempts after a restart continue the numbers of those before it.
func TestRecoveredAttemptNumbersContinue(t *testing.T) {
	f := newForwarder(t, plain("x"))
	events := []Event{recoveredMessage("m", "pure", 2, true, true, 9*time.Second)}
	for now := time.Second; ; now += 10 * ms {
		if now > 8*time.Second {
			t.Fatal("the recovered message was not sent")
		}
		if len(sends(f.Step(now, events))) > 0 {
			f.Step(now+10*ms, []Event{Outcome{Message: "m", Attempt: 2, Target: "x", Result: Succeeded, Latency: 10 * ms, NoAnswerNeeded: true}})
			break
		}
		events = nil
	}
	if len(f.messages) != 0 || f.inFlight.size != 0 {
		t.Error("the outcome of attempt 2 did not complete the message")
	}
}

// TestRecoveredMessagesDoNotBurst: outages from before a restart are not known, so recovered messages
// are sent no faster than to a destination that has just returned from an outage.
func TestRecoveredMessagesDoNotBurst(t *testing.T) {
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
			events = append(events, recoveredMessage(fmt.Sprint("m", n), "pure", 0, false, false, 9*time.Second))
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
		// A returning destination has a fifth of its 20 calls a second at first, and twice that overloads it for 3 s.
		if sent == 0 || weight > 0 && sent > 24 {
			t.Errorf("weight %v: %d messages sent in 3 s", weight, sent)
		}
	}
}

// TestStoppingStartsNoLateCall: a host that stops begins no call that it could not finish.
func TestStoppingStartsNoLateCall(t *testing.T) {
	f := newForwarder(t, plain("x"))
	if got := sends(f.Step(0, []Event{msg("a", "unsafe", "")})); len(got) != 1 {
		t.Fatalf("sent %v", got)
	}
	f.Step(300*ms, []Event{Outcome{Message: "a", Target: "x", Result: Succeeded, Latency: 300 * ms, NoAnswerNeeded: true}})
	f.Step(400*ms, []Event{Stopping{TimeLeft: 2 * time.Second}})
	if got := sends(f.Step(1000*ms, []Event{msg("b", "unsafe", "")})); len(got) != 1 {
		t.Errorf("with enough time left: sent %v, want one", got)
	}
	if got := sends(f.Step(1600*ms, []Event{msg("c", "unsafe", "")})); len(got) != 0 {
		t.Errorf("with too little time left: sent %v, want none", got)
	}
}

// TestOpenMessagesAreLimited: messages beyond Settings.MaxOpen are refused, but never recovered ones.
func TestOpenMessagesAreLimited(t *testing.T) {
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
	got := refused(f.Step(0, []Event{recoveredMessage("a", "unsafe", 0, false, false, 9*time.Second),
		recoveredMessage("b", "unsafe", 0, false, false, 9*time.Second), msg("c", "unsafe", "")}))
	if len(got) != 1 || got[0] != "c" {
		t.Errorf("refused %v, want only c", got)
	}
}

// TestRecoveredAreNotShedForNewMessages: a recovered message without an attempt is not shed for new messages, even if these have a higher value. It gets its
// attempt, or its deadline passes. Else the first new messages after a restart with full queues would displace all recovered ones.
func TestRecoveredAreNotShedForNewMessages(t *testing.T) {
	for _, restart := range []bool{false, true} { // with a hot restart in between
		s := testSettings()
		s.MaxOpen, s.Slots = 40, 4
		f, err := New(s)
		if err != nil {
			t.Fatal(err)
		}
		list := TargetList{Scope: LastKnown, Targets: []Target{plain("x")}}
		events := []Event{list}
		for n := range 36 {
			events = append(events, recoveredMessage(fmt.Sprint("old", n), "pure", 0, false, false, 2800*ms)) // over seven tenths of their time have passed
		}
		attempted, newRefused, recoveredRefused := map[string]bool{}, 0, 0
		for now := time.Duration(0); now < 2700*ms; now += 10 * ms {
			events = append(events, msg(fmt.Sprint("new", now), "unsafe", ""))
			if restart && now == 100*ms {
				var open []Message
				for _, m := range f.messages {
					open = append(open, Message{ID: m.id, Class: m.class.Name, Destination: 1, TimeLeft: m.deadline - now, Recovered: true, Attempts: m.attempts, HasOpenAttempt: m.inFlight > 0})
				}
				state, err := DecodeState(f.Save())
				if err != nil {
					t.Fatal(err)
				}
				if f, err = New(s); err != nil {
					t.Fatal(err)
				}
				f.Restore(now, state, []TargetList{list}, open)
			}
			actions := f.Step(now, events)
			events = nil
			for _, a := range actions {
				switch a := a.(type) {
				case Send:
					attempted[a.Message] = true
					events = append(events, Outcome{Message: a.Message, Target: "x", Result: Succeeded, Latency: 5 * ms, NoAnswerNeeded: true})
				case Refuse:
					if strings.HasPrefix(a.Message, "old") {
						recoveredRefused++
					} else {
						newRefused++
					}
				}
			}
		}
		if recoveredRefused > 0 || newRefused == 0 {
			t.Errorf("hot restart %v: %d recovered messages refused, want none; %d new messages refused, want some", restart, recoveredRefused, newRefused)
		}
	}
}

// TestRecoveredGetsAnAttempt: the attempt numbers of a host count attempts that were not sent, too. A message that was not answered before the restart since
// it had attempts left is not answered after it either, but gets one more.
func TestRecoveredGetsAnAttempt(t *testing.T) {
	for attempts := range 6 {
		f := newForwarder(t, plain("x"))
		sent := 0
		events := []Event{recoveredMessage("m", "unsafe", attempts, false, false, 9*time.Second)}
		for now := time.Second; now < 9*time.Second && sent == 0; now += 10 * ms {
			sent += len(sends(f.Step(now, events)))
			events = []Event{Woken{}}
		}
		if sent == 0 {
			t.Errorf("not sent again after %d attempts without effect", attempts)
		}
	}
}
