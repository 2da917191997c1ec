package decide

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// TestZeroSettings: the settings of a deployment may leave any of them at 0. If all else is well, each message is still sent, and completed in its time, also
// one that was recovered after a restart.
func TestZeroSettings(t *testing.T) {
	changes := map[string]func(*Settings){"all set": func(*Settings) {}, "slots of 1": func(s *Settings) { s.Slots = 1 }, "no kinds": func(s *Settings) { s.Kinds = nil },
		"short deadlines": func(s *Settings) {
			for i := range s.Classes {
				s.Classes[i].OnTime, s.Classes[i].Deadline = 100*ms, 300*ms
			}
		}}
	settings, class := reflect.TypeFor[Settings](), reflect.TypeFor[Class]()
	for i := range settings.NumField() {
		if k := settings.Field(i).Type.Kind(); settings.Field(i).Name != "Slots" && k != reflect.Slice {
			changes["Settings."+settings.Field(i).Name] = func(s *Settings) { reflect.ValueOf(s).Elem().Field(i).SetZero() }
		}
	}
	for i := range class.NumField() {
		if name := class.Field(i).Name; name != "Name" && name != "Deadline" {
			changes["Class."+name] = func(s *Settings) {
				for c := range s.Classes {
					reflect.ValueOf(&s.Classes[c]).Elem().Field(i).SetZero()
				}
			}
		}
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			s := testSettings()
			s.Weights, s.ResubscribeInterval, s.CrossZonePrice, s.ZoneFee = ExactWeights, time.Second, .02, map[string]float64{"a": .1}
			change(&s)
			f, err := New(s)
			if err != nil {
				t.Fatal(err)
			}
			timeLeft := s.Classes[0].Deadline
			x := plain("x")
			x.Weight = 20
			events := []Event{TargetList{Scope: LastKnown, Targets: []Target{x}}}
			answerBy := map[string]time.Duration{}
			for n := range 5 {
				m := recoveredMessage(fmt.Sprint("old", n), s.Classes[n%2].Name, 0, false, false, timeLeft)
				events, answerBy[m.ID] = append(events, m), timeLeft
			}
			sent := 0
			for now := time.Duration(0); now < 15*time.Second; now += 5 * ms {
				if n := now / (200 * ms); now%(200*ms) == 0 && n < 20 {
					m := msg(fmt.Sprint("new", int(n)), s.Classes[int(n)%3].Name, "")
					m.TimeLeft = timeLeft
					events, answerBy[m.ID] = append(events, m), now+timeLeft
				}
				actions := f.Step(now, events)
				events = nil
				for _, a := range actions {
					switch a := a.(type) {
					case Send:
						sent++
						delete(answerBy, a.Message)
						events = append(events, Outcome{Message: a.Message, Target: "x", Result: Succeeded, Latency: 5 * ms, NoAnswerNeeded: true})
					case Refuse:
						delete(answerBy, a.Message)
					case Fail:
						delete(answerBy, a.Message)
					}
				}
				for id, by := range answerBy {
					if now > by+s.AnswerSlack+5*ms {
						t.Fatalf("message %s was not completed in its time", id)
					}
				}
			}
			if least := 23; sent < least && name != "short deadlines" || sent == 0 {
				t.Errorf("%d of 25 messages were sent", sent)
			}
		})
	}
}
