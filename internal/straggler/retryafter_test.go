package straggler

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"scaleroute/internal/version"
)

// TestRetryAfters draws back-offs that endpoints request from a member and that other members report to it. The member must not back off for longer than reported, and one
// reporting member may keep an endpoint backed off for at most half of the time plus one back-off. The member reports only back-offs that were requested from itself, for no
// longer than requested, and never those that other members reported.
func TestRetryAfters(t *testing.T) {
	reported, received := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		e := New(Config{Name: "n0", ReportTTL: 5 * time.Second}, nil)
		now := time.Duration(0)
		seq := map[string]uint64{}
		requestedUntil, receivedUntil := map[string]time.Duration{}, map[string]time.Duration{}
		total := map[reporter]time.Duration{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
			target := fmt.Sprint("t", rapid.IntRange(0, 3).Draw(t, "target"))
			requested := time.Duration(rapid.IntRange(-1000, 60_000).Draw(t, "left")) * time.Millisecond
			if rapid.Bool().Draw(t, "own") {
				e.SetRetryAfters(now, []RetryAfter{{target, requested}})
				requestedUntil[target] = max(requestedUntil[target], now+requested)
			} else {
				from := fmt.Sprint("n", rapid.IntRange(1, 2).Draw(t, "from"))
				seq[from]++
				before := receivedUntil[target]
				e.Receive(now, Report{Format: Format, Name: from, Seq: seq[from], RetryAfters: []RetryAfter{{target, requested}}})
				for _, w := range e.TakePeerRetryAfters(now) {
					received++
					if w.Target != target || w.Remaining > min(requested, maxRetryAfter) || now+w.Remaining <= before {
						t.Fatalf("received %v from %s, which reported %v", w, from, requested)
					}
					receivedUntil[target] = now + w.Remaining
					total[reporter{from, target}] += w.Remaining
				}
				if list := e.TakePeerRetryAfters(now); len(list) > 0 {
					t.Fatalf("returned twice: %v", list)
				}
			}
			for _, w := range e.NextReport(now).RetryAfters {
				if reported++; now+w.Remaining > requestedUntil[w.Target] || w.Remaining < minRetryAfter {
					t.Fatalf("reports %v; the endpoint requested a back-off until %v, at %v", w, requestedUntil[w.Target], now)
				}
			}
		}
		for k, sum := range total {
			if sum > now/2+maxRetryAfter {
				t.Fatalf("%v has kept the endpoint backed off for %v of %v", k, sum, now)
			}
		}
	})
	if reported < 100 || received < 100 {
		t.Errorf("%d back-offs reported and %d received: the test covers too little", reported, received)
	}
}

// TestWithdrawalOutlivesSilence: a withdrawal that a member has reported remains in force when that member falls silent. It ends when this member's own list reaches the
// reported index, when a newer report no longer contains it, or when the reporting member is forgotten.
func TestWithdrawalOutlivesSilence(t *testing.T) {
	list := func(index int64) version.Vector { return version.Vector{List: version.List{Index: index}} }
	report := func(seq uint64, index int64, drains ...Drain) Report {
		return Report{Format: Format, Name: "n1", Seq: seq, Vector: list(index), Drains: drains}
	}
	for name, c := range map[string]struct {
		then func(e *Evaluator)
		want int
	}{
		"reporter is silent":                             {func(e *Evaluator) { e.Step(time.Minute) }, 1},
		"own list is still older":                        {func(e *Evaluator) { e.SetLocal(list(4), nil, "") }, 1},
		"own list has caught up":                         {func(e *Evaluator) { e.SetLocal(list(5), nil, "") }, 0},
		"endpoint serves again":                          {func(e *Evaluator) { e.Receive(time.Second, report(2, 6)) }, 0},
		"outdated report":                                {func(e *Evaluator) { e.Receive(time.Second, report(1, 6)) }, 1},
		"reporter is forgotten":                          {func(e *Evaluator) { e.Step(forgetAfter + time.Second) }, 0},
		"drain from an index beyond the reporter's list": {func(e *Evaluator) { e.Receive(time.Second, report(2, 6, Drain{"t", 7})) }, 0},
	} {
		e := New(Config{Name: "n0", ReportTTL: 5 * time.Second}, nil)
		e.SetLocal(list(3), nil, "")
		e.Receive(0, report(1, 5, Drain{"t", 5}))
		if got := e.Withdrawn(); len(got) != 1 {
			t.Fatalf("%s: withdrawn at first: %v", name, got)
		}
		if c.then(e); len(e.Withdrawn()) != c.want {
			t.Errorf("%s: withdrawn: %v", name, e.Withdrawn())
		}
	}
}
