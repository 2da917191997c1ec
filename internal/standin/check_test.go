package standin

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// TestCheck writes records by hand, each with one rule broken or just kept, and has them judged.
func TestCheck(t *testing.T) {
	t0 := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	one, other := &Endpoint{Name: "one", Group: 1}, &Endpoint{Name: "other", Group: 2}
	handed := func(unsafe bool) *Handed {
		return &Handed{ID: "m", Destination: 1, Unsafe: unsafe, Sent: at(0), Deadline: at(5000), Answer: Taken, Answered: at(1), Last: true}
	}
	call := func(e *Endpoint, from, to, status int, ran Ran) *Call {
		return &Call{ID: "m", Endpoint: e, First: at(from), Last: at(from), Ended: at(to), Status: status, Ran: ran}
	}
	done := call(one, 100, 200, 200, Yes)
	waits := call(one, 10, 20, 429, Never)
	waits.Wait = time.Second
	out := call(one, 10, 50, 0, May)
	out.Ended = time.Time{}
	bounced := Notice{ID: "m", Result: "bounced", At: at(300)}
	restart := []Restart{{Ended: at(30), Gone: at(31), Ready: at(90)}}
	late := *waits
	late.Ended = at(40) // when its process had ended
	changed := *done
	changed.Body = 1
	many := func(e *Endpoint, n, each, takes int) (l *Log) {
		l = &Log{handed: []*Handed{}}
		for i := range n {
			c := call(e, i*each, i*each+takes, 200, Yes)
			c.ID = fmt.Sprint("n", i)
			h := handed(false)
			h.ID, h.Destination = c.ID, e.Group
			l.calls, l.handed = append(l.calls, c), append(l.handed, h)
		}
		return l
	}
	busy := &Endpoint{Name: "busy", Group: 9}
	for _, c := range []struct {
		name string
		log  *Log
		want Verdict
	}{
		{"three out at once where two are set", many(busy, 3, 300, 950), Verdict{Delivered: 3, LimitBroken: 1}},
		{"two out at once where two are set", many(busy, 4, 300, 550), Verdict{Delivered: 4}},
		{"more in a span than set", many(busy, 14, 150, 100), Verdict{Delivered: 14, LimitBroken: 1}},
		{"as many as set", many(busy, 14, 210, 100), Verdict{Delivered: 14}},

		{"more attempts than set", &Log{handed: []*Handed{handed(false)}, calls: []*Call{call(one, 10, 20, 503, Never), call(one, 30, 40, 503, Never), done}},
			Verdict{Delivered: 1, LimitBroken: 1}},
		{"a longer call than set", &Log{handed: []*Handed{handed(false)}, calls: []*Call{call(one, 100, 1500, 200, Yes)}}, Verdict{Delivered: 1, LimitBroken: 1}},
		{"a later end than set", &Log{handed: []*Handed{handed(false)}, notices: []Notice{{ID: "m", Result: "bounced", At: at(4400)}}},
			Verdict{Refused: 1, LimitBroken: 1}},
		{"delivered", &Log{handed: []*Handed{handed(true)}, calls: []*Call{done}}, Verdict{Delivered: 1}},
		{"no end", &Log{handed: []*Handed{handed(true)}}, Verdict{Lost: 1}},
		{"no end yet", &Log{handed: []*Handed{{ID: "m", Destination: 1, Deadline: time.Now().Add(time.Hour), Answer: Taken, Last: true}}},
			Verdict{Unfinished: 1}},
		{"no answer", &Log{handed: []*Handed{{ID: "m", Destination: 1, Answer: Dropped, Last: true}}}, Verdict{Lost: 1}},
		{"refused at once", &Log{handed: []*Handed{{ID: "m", Destination: 1, Answer: Refused, Last: true}}}, Verdict{Refused: 1}},
		{"dead", &Log{handed: []*Handed{handed(true)}, calls: []*Call{call(one, 10, 20, 500, May)},
			notices: []Notice{{ID: "m", Result: "dead", At: at(30)}}}, Verdict{Failed: 1}},
		{"late, and let through", &Log{handed: []*Handed{handed(true)}, notices: []Notice{{ID: "m", Result: "dead", At: at(5200)}}},
			Verdict{Failed: 1, Late: 1, LimitBroken: 1}},
		{"overdue", &Log{handed: []*Handed{handed(true)}, notices: []Notice{{ID: "m", Result: "dead", At: at(5400)}}},
			Verdict{Failed: 1, Late: 1, Lost: 1, LimitBroken: 1}},
		{"overdue as it was away", &Log{handed: []*Handed{handed(true)}, notices: []Notice{{ID: "m", Result: "dead", At: at(5400)}},
			starts: []Restart{{Ended: at(4900), Gone: at(4901), Ready: at(5100)}}}, Verdict{Failed: 1, Late: 1}},
		{"overdue as it was ended again while it recovered", &Log{handed: []*Handed{handed(true)}, notices: []Notice{{ID: "m", Result: "dead", At: at(9000)}},
			starts: []Restart{{Ended: at(4900), Gone: at(4901), Ready: at(5500)}, {Ended: at(5600), Gone: at(5601), Ready: at(8000)}}}, Verdict{Failed: 1, Late: 1}},
		{"overdue though it had time to recover", &Log{handed: []*Handed{handed(true)}, notices: []Notice{{ID: "m", Result: "dead", At: at(9000)}},
			starts: []Restart{{Ended: at(4900), Gone: at(4901), Ready: at(5500)}, {Ended: at(7100), Gone: at(7101), Ready: at(8000)}}},
			Verdict{Failed: 1, Late: 1, Lost: 1}},
		{"refused though it may have run", &Log{handed: []*Handed{handed(true)}, calls: []*Call{call(one, 10, 20, 500, May)},
			notices: []Notice{bounced}}, Verdict{Refused: 1, Twice: 1}},
		{"the same, and harmless", &Log{handed: []*Handed{handed(false)}, calls: []*Call{call(one, 10, 20, 500, May)},
			notices: []Notice{bounced}}, Verdict{Refused: 1}},
		{"again after an error", &Log{handed: []*Handed{handed(true)}, calls: []*Call{call(one, 10, 20, 500, May), done}},
			Verdict{Delivered: 1, Twice: 1}},
		{"again after a refusal", &Log{handed: []*Handed{handed(true)}, calls: []*Call{call(one, 10, 20, 503, Never), done}}, Verdict{Delivered: 1}},
		{"two out at once", &Log{handed: []*Handed{handed(false)}, calls: []*Call{out, done}}, Verdict{Delivered: 1, Twice: 1}},
		{"wrong group", &Log{handed: []*Handed{handed(false)}, calls: []*Call{call(other, 10, 20, 200, Yes)}}, Verdict{Delivered: 1, WrongGroup: 1}},
		{"nobody's message", &Log{calls: []*Call{done}}, Verdict{WrongGroup: 1}},
		{"within a wait", &Log{handed: []*Handed{handed(false)}, calls: []*Call{waits, call(one, 200, 210, 200, Yes)}}, Verdict{Delivered: 1, WaitBroken: 1}},
		{"crossed a wait", &Log{handed: []*Handed{handed(false)}, calls: []*Call{waits, call(one, 110, 210, 200, Yes)}}, Verdict{Delivered: 1}},
		{"after a wait", &Log{handed: []*Handed{handed(false)}, calls: []*Call{waits, call(one, 1020, 1030, 200, Yes)}}, Verdict{Delivered: 1}},
		{"a wait ends with a restart", &Log{handed: []*Handed{handed(false)}, calls: []*Call{waits, call(one, 200, 210, 200, Yes)},
			starts: restart}, Verdict{Delivered: 1}},
		{"a wait told to one that has ended", &Log{handed: []*Handed{handed(false)}, calls: []*Call{&late, call(one, 200, 210, 200, Yes)},
			starts: restart}, Verdict{Delivered: 1}},
		{"changed on its way, and another version of it", &Log{handed: []*Handed{handed(false)}, calls: []*Call{call(one, 10, 20, 503, Never), &changed}},
			Verdict{Delivered: 1, Changed: 1, Versions: 1}},
		{"to one that drains", &Log{handed: []*Handed{handed(false)}, calls: []*Call{call(one, 2000, 2010, 200, Yes)},
			told: []Told{{Endpoint: "one", State: Draining, At: at(900)}}}, Verdict{Delivered: 1, DrainBroken: 1}},
		{"gone counts from the drain on", &Log{handed: []*Handed{handed(false)}, calls: []*Call{call(one, 2000, 2010, 200, Yes)},
			told: []Told{{Endpoint: "one", State: Draining, At: at(900)}, {Endpoint: "one", State: Deleted, At: at(1900)}}}, Verdict{Delivered: 1, DrainBroken: 1}},
		{"within the grace", &Log{handed: []*Handed{handed(false)}, calls: []*Call{call(one, 1900, 1910, 200, Yes)},
			told: []Told{{Endpoint: "one", State: Draining, At: at(900)}}}, Verdict{Delivered: 1}},
		{"serving again", &Log{handed: []*Handed{handed(false)}, calls: []*Call{call(one, 3000, 3010, 200, Yes)},
			told: []Told{{Endpoint: "one", State: Draining, At: at(900)}, {Endpoint: "one", State: Serving, At: at(1500)}}}, Verdict{Delivered: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			rules := Rules
			rules.Set = func(_ bool, dest int) Set {
				if dest == 9 {
					return Set{Out: 2, Rate: 5}
				}
				return Set{Attempts: 2, Answer: time.Second, Whole: 4 * time.Second}
			}
			got := c.log.Check(rules)
			got.Handed, got.Calls, got.Examples, got.at = 0, 0, nil, time.Time{}
			if !reflect.DeepEqual(*got, c.want) {
				t.Errorf("got %+v, want %+v", *got, c.want)
			}
		})
	}
}
