package decide

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// TestSettingsMissing: another customer's settings may have a 0 for any of them, or leave it out. Where all else is well each message is sent all the same, and
// answered in its time; one that was taken up from before a restart, too.
func TestSettingsMissing(t *testing.T) {
	set := map[string]func(*Settings){"nothing": func(*Settings) {}, "slots of 1": func(s *Settings) { s.Slots = 1 }, "kinds": func(s *Settings) { s.Kinds = nil },
		"short lives": func(s *Settings) {
			for i := range s.Classes {
				s.Classes[i].OnTime, s.Classes[i].Deadline = 100*ms, 300*ms
			}
		}}
	settings, class := reflect.TypeFor[Settings](), reflect.TypeFor[Class]()
	for i := range settings.NumField() {
		if k := settings.Field(i).Type.Kind(); settings.Field(i).Name != "Slots" && k != reflect.Slice {
			set["Settings."+settings.Field(i).Name] = func(s *Settings) { reflect.ValueOf(s).Elem().Field(i).SetZero() }
		}
	}
	for i := range class.NumField() {
		if name := class.Field(i).Name; name != "Name" && name != "Deadline" {
			set["Class."+name] = func(s *Settings) {
				for c := range s.Classes {
					reflect.ValueOf(&s.Classes[c]).Elem().Field(i).SetZero()
				}
			}
		}
	}
	for name, change := range set {
		t.Run(name, func(t *testing.T) {
			s := testSettings()
			s.Weights, s.ResubscribeInterval, s.CrossZonePrice, s.ZoneFee = ExactWeights, time.Second, .02, map[string]float64{"a": .1}
			change(&s)
			f, err := New(s)
			if err != nil {
				t.Fatal(err)
			}
			left := s.Classes[0].Deadline
			x := plain("x")
			x.Weight = 20
			events := []Event{TargetList{Scope: LastKnown, Targets: []Target{x}}}
			waiting := map[string]time.Duration{}
			for n := range 5 {
				m := recovered(fmt.Sprint("old", n), s.Classes[n%2].Name, 0, false, false, left)
				events, waiting[m.ID] = append(events, m), left
			}
			sent := 0
			for now := time.Duration(0); now < 15*time.Second; now += 5 * ms {
				if n := now / (200 * ms); now%(200*ms) == 0 && n < 20 {
					m := msg(fmt.Sprint("new", int(n)), s.Classes[int(n)%3].Name, "")
					m.TimeLeft = left
					events, waiting[m.ID] = append(events, m), now+left
				}
				actions := f.Step(now, events)
				events = nil
				for _, a := range actions {
					switch a := a.(type) {
					case Send:
						sent++
						delete(waiting, a.Message)
						events = append(events, Outcome{Message: a.Message, Target: "x", Result: Succeeded, Latency: 5 * ms, NoAnswerNeeded: true})
					case Refuse:
						delete(waiting, a.Message)
					case Fail:
						delete(waiting, a.Message)
					}
				}
				for id, by := range waiting {
					if now > by+s.AnswerSlack+5*ms {
						t.Fatalf("%s was not answered in its time", id)
					}
				}
			}
			if least := 23; sent < least && name != "short lives" || sent == 0 {
				t.Errorf("%d of 25 were sent", sent)
			}
		})
	}
}
