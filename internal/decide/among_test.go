package decide

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestAmong: a message goes to none but the targets that it is narrowed to, prefers those named first, and leaves a
// preferred one that fails for the next.
func TestAmong(t *testing.T) {
	all := []Target{{ID: "a", Destination: 1}, {ID: "b", Destination: 1}, {ID: "c", Destination: 1}, {ID: "other", Destination: 2}}
	for _, c := range []struct {
		name  string
		back  string // backups
		among *EndpointFilter
		fails string // this target fails every call
		most  string // gets most of the calls
		none  string // these get no call
	}{
		{"none", "", nil, "", "", "other"},
		{"only", "", &EndpointFilter{Only: []string{"b"}}, "", "b", "a c"},
		{"only one that fails", "", &EndpointFilter{Only: []string{"b"}}, "b", "b", "a c"},
		{"another destination's", "", &EndpointFilter{Only: []string{"other"}}, "", "", "a b c other"},
		{"one that there is not", "", &EndpointFilter{Only: []string{"zz"}}, "", "", "a b c other"},
		{"preferred", "", &EndpointFilter{Prefer: []string{"c", "a"}}, "", "c", "other"},
		{"the preferred one fails", "", &EndpointFilter{Prefer: []string{"c", "a"}}, "c", "a", "other"},
		{"a backup is not called", "c", nil, "", "", "c other"},
		{"not even where it is preferred", "c", &EndpointFilter{Prefer: []string{"c"}}, "", "", "c other"},
		{"where it alone is permitted", "c", &EndpointFilter{Only: []string{"c"}}, "", "c", "a b"},
		{"a backup for one that fails", "b c", nil, "a", "", "other"},
		{"a backup that fails as well", "c", nil, "c", "", "c"},
		{"another destination's preferred", "", &EndpointFilter{Prefer: []string{"other"}}, "", "", "other"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, err := New(Settings{Slots: 64, Seed: 7, ConnIdle: time.Minute, ConnectTimeout: time.Second, MaxRetryAfter: time.Second, StartCapacity: 1,
				OverloadFactor: 2, OverloadOutage: time.Second, Classes: []Class{{Name: "note", Deadline: 10 * time.Second, OnTime: 3 * time.Second, Value: 1}}})
			if err != nil {
				t.Fatal(err)
			}
			targets := slices.Clone(all)
			for i := range targets {
				targets[i].Backup = slices.Contains(strings.Fields(c.back), targets[i].ID)
			}
			events := []Event{TargetList{Scope: Snapshot, Targets: targets}}
			got, attempts, ended, all := map[string]int{}, map[string]int{}, 0, 0
			for now := time.Duration(0); now < 40*time.Second; now += 10 * time.Millisecond {
				if now < 20*time.Second {
					events = append(events, Message{ID: fmt.Sprint(now), Class: "note", Destination: 1, TimeLeft: 10 * time.Second, Filter: c.among})
				}
				actions := f.Step(now, events)
				events = []Event{Woken{}}
				for _, a := range actions {
					switch a := a.(type) {
					case Send:
						got[a.Target]++
						all++
						o := Outcome{Message: a.Message, Attempt: attempts[a.Message], Target: a.Target, Result: Succeeded, NoAnswerNeeded: true, Latency: 10 * time.Millisecond}
						if a.Target == c.fails {
							o.Result, o.NoAnswerNeeded = ConnectFailed, false
						} else {
							ended++
						}
						attempts[a.Message]++
						events = append(events, o)
					case Refuse, Fail:
						ended++
					}
				}
			}
			if ended != 2000 {
				t.Errorf("%d of 2,000 messages have ended", ended)
			}
			if c.most != "" && got[c.most]*2 < all {
				t.Errorf("%v: %s was to get most", got, c.most)
			}
			for _, target := range targets {
				if got[target.ID] > 0 && slices.Contains(strings.Fields(c.none), target.ID) {
					t.Errorf("%v: %s was to get none", got, target.ID)
				}
			}
		})
	}
}
