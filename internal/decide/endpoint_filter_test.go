package decide

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestEndpointFilter: a message is sent only to the endpoints that its filter permits. It goes to the first of the preferred
// ones, and to the next if that one fails.
func TestEndpointFilter(t *testing.T) {
	endpoints := []Target{{ID: "a", Destination: 1}, {ID: "b", Destination: 1}, {ID: "c", Destination: 1}, {ID: "other", Destination: 2}}
	for _, c := range []struct {
		name   string
		back   string // backups
		filter *EndpointFilter
		fails  string // this endpoint fails every call
		most   string // this endpoint gets at least half of the calls
		none   string // these endpoints get no call
	}{
		{"no filter", "", nil, "", "", "other"},
		{"only one permitted", "", &EndpointFilter{Only: []string{"b"}}, "", "b", "a c"},
		{"only one permitted, which fails", "", &EndpointFilter{Only: []string{"b"}}, "b", "b", "a c"},
		{"only an endpoint of another destination permitted", "", &EndpointFilter{Only: []string{"other"}}, "", "", "a b c other"},
		{"only an unknown endpoint permitted", "", &EndpointFilter{Only: []string{"zz"}}, "", "", "a b c other"},
		{"preference", "", &EndpointFilter{Prefer: []string{"c", "a"}}, "", "c", "other"},
		{"the preferred one fails", "", &EndpointFilter{Prefer: []string{"c", "a"}}, "c", "a", "other"},
		{"backup gets no calls", "c", nil, "", "", "c other"},
		{"preferred backup gets no calls", "c", &EndpointFilter{Prefer: []string{"c"}}, "", "", "c other"},
		{"only a backup permitted", "c", &EndpointFilter{Only: []string{"c"}}, "", "c", "a b"},
		{"backups for an endpoint that fails", "b c", nil, "a", "", "other"},
		{"backup that fails", "c", nil, "c", "", "c"},
		{"endpoint of another destination preferred", "", &EndpointFilter{Prefer: []string{"other"}}, "", "", "other"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, err := New(Settings{Slots: 64, Seed: 7, ConnIdle: time.Minute, ConnectTimeout: time.Second, MaxRetryAfter: time.Second, StartCapacity: 1,
				OverloadFactor: 2, OverloadOutage: time.Second, Classes: []Class{{Name: "note", Deadline: 10 * time.Second, OnTime: 3 * time.Second, Value: 1}}})
			if err != nil {
				t.Fatal(err)
			}
			targets := slices.Clone(endpoints)
			for i := range targets {
				targets[i].Backup = slices.Contains(strings.Fields(c.back), targets[i].ID)
			}
			events := []Event{TargetList{Scope: Snapshot, Targets: targets}}
			calls, attempts, completed, callCount := map[string]int{}, map[string]int{}, 0, 0
			for now := time.Duration(0); now < 40*time.Second; now += 10 * time.Millisecond {
				if now < 20*time.Second {
					events = append(events, Message{ID: fmt.Sprint(now), Class: "note", Destination: 1, TimeLeft: 10 * time.Second, Filter: c.filter})
				}
				actions := f.Step(now, events)
				events = []Event{Woken{}}
				for _, a := range actions {
					switch a := a.(type) {
					case Send:
						calls[a.Target]++
						callCount++
						o := Outcome{Message: a.Message, Attempt: attempts[a.Message], Target: a.Target, Result: Succeeded, NoAnswerNeeded: true, Latency: 10 * time.Millisecond}
						if a.Target == c.fails {
							o.Result, o.NoAnswerNeeded = ConnectFailed, false
						} else {
							completed++
						}
						attempts[a.Message]++
						events = append(events, o)
					case Refuse, Fail:
						completed++
					}
				}
			}
			if completed != 2000 {
				t.Errorf("%d of 2,000 messages are completed", completed)
			}
			if c.most != "" && calls[c.most]*2 < callCount {
				t.Errorf("calls %v: %s got less than half", calls, c.most)
			}
			for _, target := range targets {
				if calls[target.ID] > 0 && slices.Contains(strings.Fields(c.none), target.ID) {
					t.Errorf("calls %v: %s got some, want none", calls, target.ID)
				}
			}
		})
	}
}
