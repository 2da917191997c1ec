package straggler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"scaleroute/internal/version"
)

// TestWaits draws waits that a member is told itself and by others: it holds no longer than it was told, and whoever tells holds a target for half of the time at most, with one wait
// over; it tells others what it was told itself, once and no longer than that is, and never what others told it.
func TestWaits(t *testing.T) {
	told, held := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		j := New(Config{Name: "n0", ReportTTL: 5 * time.Second}, nil)
		now := time.Duration(0)
		seq := map[string]uint64{}
		ownUntil, until := map[string]time.Duration{}, map[string]time.Duration{}
		by := map[teller]time.Duration{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
			target := fmt.Sprint("t", rapid.IntRange(0, 3).Draw(t, "target"))
			left := time.Duration(rapid.IntRange(-1000, 60_000).Draw(t, "left")) * time.Millisecond
			if rapid.Bool().Draw(t, "own") {
				j.SetRetryAfters(now, []RetryAfter{{target, left}})
				ownUntil[target] = max(ownUntil[target], now+left)
			} else {
				from := fmt.Sprint("n", rapid.IntRange(1, 2).Draw(t, "from"))
				seq[from]++
				before := until[target]
				j.Receive(now, Report{Format: Format, Name: from, Seq: seq[from], RetryAfters: []RetryAfter{{target, left}}})
				for _, w := range j.TakePeerRetryAfters(now) {
					held++
					if w.Target != target || w.Remaining > min(left, mostWait) || now+w.Remaining <= before {
						t.Fatalf("held by %v of %s, told %v", w, from, left)
					}
					until[target] = now + w.Remaining
					by[teller{from, target}] += w.Remaining
				}
				if list := j.TakePeerRetryAfters(now); len(list) > 0 {
					t.Fatalf("held twice: %v", list)
				}
			}
			for _, w := range j.NextReport(now).RetryAfters {
				if told++; now+w.Remaining > ownUntil[w.Target] || w.Remaining < leastWait {
					t.Fatalf("tells %v, and was told until %v, at %v", w, ownUntil[w.Target], now)
				}
			}
		}
		for k, sum := range by {
			if sum > now/2+mostWait {
				t.Fatalf("%v has held it for %v of %v", k, sum, now)
			}
		}
	})
	if told < 100 || held < 100 {
		t.Errorf("%d told and %d held: this test tests too little", told, held)
	}
}

// TestWithdrawnHolds: what a member has told to drain holds though it falls silent, until this member's own list has come that far, the other tells otherwise, or is forgotten.
func TestWithdrawnHolds(t *testing.T) {
	list := func(index int64) version.Vector { return version.Vector{List: version.List{Index: index}} }
	news := func(seq uint64, index int64, drains ...Drain) Report {
		return Report{Format: Format, Name: "n1", Seq: seq, Vector: list(index), Drains: drains}
	}
	for name, c := range map[string]struct {
		then func(j *Evaluator)
		want int
	}{
		"silent":           {func(j *Evaluator) { j.Step(time.Minute) }, 1},
		"own list is old":  {func(j *Evaluator) { j.SetLocal(list(4), nil, "") }, 1},
		"own list is new":  {func(j *Evaluator) { j.SetLocal(list(5), nil, "") }, 0},
		"it serves again":  {func(j *Evaluator) { j.Receive(time.Second, news(2, 6)) }, 0},
		"old news":         {func(j *Evaluator) { j.Receive(time.Second, news(1, 6)) }, 1},
		"it is forgotten":  {func(j *Evaluator) { j.Step(forget + time.Second) }, 0},
		"more than it has": {func(j *Evaluator) { j.Receive(time.Second, news(2, 6, Drain{"t", 7})) }, 0},
	} {
		j := New(Config{Name: "n0", ReportTTL: 5 * time.Second}, nil)
		j.SetLocal(list(3), nil, "")
		j.Receive(0, news(1, 5, Drain{"t", 5}))
		if got := j.Withdrawn(); len(got) != 1 {
			t.Fatalf("%s: %v at first", name, got)
		}
		if c.then(j); len(j.Withdrawn()) != c.want {
			t.Errorf("%s: %v", name, j.Withdrawn())
		}
	}
}
