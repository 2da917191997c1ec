package standin

import (
	"testing"
	"time"
)

// TestToldOutlastsRestart: what a process was told in time holds for the next one, unless that is told otherwise, or the rule is off.
func TestToldOutlastsRestart(t *testing.T) {
	t0 := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	endpoint := &Endpoint{Name: "one", Group: 1}
	for name, c := range map[string]struct {
		told    []Told
		outlast bool
		want    int
	}{
		"told in time":                    {[]Told{{Endpoint: "one", State: Deleted, At: at(500)}}, true, 1},
		"the rule is off":                 {[]Told{{Endpoint: "one", State: Deleted, At: at(500)}}, false, 0},
		"told as it was killed":           {[]Told{{Endpoint: "one", State: Deleted, At: at(950)}}, true, 0},
		"told otherwise since":            {[]Told{{Endpoint: "one", State: Deleted, At: at(500)}, {Endpoint: "one", State: Serving, At: at(2100)}}, true, 0},
		"told otherwise as it was killed": {[]Told{{Endpoint: "one", State: Deleted, At: at(500)}, {Endpoint: "one", State: Serving, At: at(950)}}, true, 0},
		"told the new process":            {[]Told{{Endpoint: "one", State: Deleted, At: at(2100)}}, false, 1},
	} {
		l := &Log{handed: []*Handed{{ID: "m", Destination: 1, Sent: at(3900), Deadline: at(9000), Answer: Taken, Answered: at(3901), Last: true}}, told: c.told,
			calls:  []*Call{{ID: "m", Endpoint: endpoint, First: at(4000), Last: at(4000), Ended: at(4010), Status: 200, Ran: Yes}},
			starts: []Restart{{Ended: at(1000), Gone: at(1001), Ready: at(2000)}}}
		rules := Rules
		rules.ToldOutlastsRestart = c.outlast
		if got := l.Check(rules).DrainBroken; got != c.want {
			t.Errorf("%s: %d drains broken, want %d", name, got, c.want)
		}
	}
}

// TestFoundUntried: of the messages that a restart finds accepted, untried and with half of their time left, those are counted that end soon with no call.
func TestFoundUntried(t *testing.T) {
	t0 := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	endpoint := &Endpoint{Name: "one"}
	message := func(id string, deadline int) *Handed {
		return &Handed{ID: id, Unsafe: true, Sent: at(0), Deadline: at(deadline), Answer: Taken, Answered: at(1)}
	}
	l := &Log{starts: []Restart{{Ended: at(1000), Gone: at(1001), Ready: at(1600)}},
		handed: []*Handed{message("given up", 9000), message("sent", 9000), message("tried before", 9000), message("late", 2000), message("ended late", 9000), message("ended before", 9000)},
		calls:  []*Call{{ID: "sent", Endpoint: endpoint, First: at(1700)}, {ID: "tried before", Endpoint: endpoint, First: at(900)}},
		notices: []Notice{{ID: "given up", At: at(1650)}, {ID: "tried before", At: at(1650)}, {ID: "late", At: at(1650)},
			{ID: "ended late", At: at(8900)}, {ID: "ended before", At: at(800)}}}
	got := l.FoundUntried()
	if len(got) != 1 || got[0].Messages != 3 || got[0].Unsafe != 3 || got[0].GivenUp != 1 || got[0].GivenUpUnsafe != 1 || got[0].Example != "given up" {
		t.Errorf("%+v", got)
	}
}
