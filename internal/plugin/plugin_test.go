package plugin

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"scaleroute/internal/decide"
	"scaleroute/internal/message"
)

// drawResult draws a result that hostile code could return.
func drawResult(t *rapid.T) *Result {
	names := rapid.SampledFrom([]string{"a", "b", "c", "other", "", "a\x00b"})
	header := rapid.Custom(func(t *rapid.T) message.Field {
		return message.Field{
			Name:  rapid.SampledFrom([]string{"X-A", "x-a", "X-B", "Req-Id", "rEQ-deadline", "Content-Length", "HOST", "Transfer-Encoding", "", "a b", "a:b", "ä", strings.Repeat("n", 70)}).Draw(t, "name"),
			Value: rapid.SampledFrom([]string{"v", "", "a\r\nReq-Id: 1", "a\nb", "ö", strings.Repeat("v", 2000)}).Draw(t, "value")}
	})
	r := &Result{
		Refuse: rapid.IntRange(0, 5).Draw(t, "refuse") == 0, Reason: rapid.String().Draw(t, "reason"),
		WaitMS:       rapid.SampledFrom([]float64{0, 0, 0, 1, 5000, -1, math.NaN(), math.Inf(1), 1e300, 300_000, 300_001}).Draw(t, "wait"),
		HasBody:      rapid.Bool().Draw(t, "has body"),
		NotDelivered: rapid.IntRange(0, 4).Draw(t, "not delivered") == 0,
		Only:         rapid.SliceOfN(names, 0, 3).Draw(t, "only"),
		Prefer:       rapid.SliceOfN(names, 0, 3).Draw(t, "prefer"),
		Header:       rapid.SliceOfN(header, 0, 3).Draw(t, "header"),
	}
	if r.HasBody {
		r.Body = make([]byte, rapid.SampledFrom([]int{0, 1, 100, 101, MaxBody + 1}).Draw(t, "bytes"))
	}
	if rapid.Bool().Draw(t, "modest") { // otherwise hardly any result would be applied
		r.WaitMS, r.NotDelivered, r.Header = 0, false, nil
	}
	return r
}

// TestApplyEnforcesRules applies arbitrary results of several plug-ins in turn: what is applied names only endpoints of the
// message's own destination, and no header field that could be mistaken for one of the forwarder's.
func TestApplyEnforcesRules(t *testing.T) {
	applied := 0
	rapid.Check(t, func(t *rapid.T) {
		listed := []Endpoint{{Name: "a"}, {Name: "b"}, {Name: "c"}}
		d := Draft{Endpoints: listed, Body: []byte("body")}
		c := Content{Body: []byte("body")}
		choices := EndpointSets{}
		for range rapid.IntRange(1, 5).Draw(t, "plug-ins") {
			r := drawResult(t)
			before := d
			if err := d.Apply(r, 100); err != nil {
				if before.Refused != d.Refused || string(before.Body) != string(d.Body) || !slices.Equal(before.Only, d.Only) || !slices.Equal(before.Header, d.Header) {
					t.Fatalf("%v, but the result was partly applied: %+v", err, d)
				}
			} else {
				applied++
				if len(before.Only) > 0 && (len(d.Only) == 0 || slices.ContainsFunc(d.Only, func(n string) bool { return !slices.Contains(before.Only, n) })) {
					t.Fatalf("restricted to %q and then to %q, which is not a subset", before.Only, d.Only)
				}
			}
			c.Apply(r, 100)
			choices.Admit(1, d.Only, listed)
		}
		known := func(n string) bool { return n == "a" || n == "b" || n == "c" }
		if slices.ContainsFunc(append(slices.Clone(d.Only), d.Prefer...), func(n string) bool { return !known(n) }) {
			t.Fatalf("endpoints outside the destination: only %q, prefer %q", d.Only, d.Prefer)
		}
		if len(d.Body) > 100 || len(c.Body) > 100 || d.Wait < 0 || d.Wait > MaxWait || len(d.Reason) > MaxReason || strings.ContainsAny(d.Reason, "\r\n") {
			t.Fatalf("limits exceeded: %+v", d)
		}
		for _, f := range append(slices.Clone(d.Header), c.Header...) {
			lower := strings.ToLower(f.Name)
			if f.Name == "" || strings.ContainsAny(f.Name+f.Value, "\r\n:\x00") || strings.HasPrefix(lower, "req-") || slices.Contains(reservedFields, lower) || len(f.Value) > MaxFieldValue {
				t.Fatalf("header field %q: %q", f.Name, f.Value)
			}
		}
		if len(choices[1]) > MaxEndpointSets {
			t.Fatalf("%d sets of endpoints are recorded", len(choices[1]))
		}
	})
	if applied == 0 {
		t.Error("no result was applied: the test checked nothing")
	}
}

// TestEndpointSetsAreBounded checks that a destination never gets more than MaxEndpointSets groups in the decision module.
func TestEndpointSetsAreBounded(t *testing.T) {
	c := EndpointSets{}
	admitted := 0
	var listed []Endpoint
	for b := range 8 {
		listed = append(listed, Endpoint{Name: string(rune('a' + b))})
	}
	for n := 1; n < 1<<8; n++ {
		var only []string
		for b := range 8 {
			if n>>b&1 == 1 {
				only = append(only, string(rune('a'+b)))
			}
		}
		if c.Admit(7, only, listed) {
			admitted++
		}
	}
	if admitted != MaxEndpointSets || !c.Admit(7, []string{"a"}, listed) || !c.Admit(8, []string{"h", "a"}, listed) || !c.Admit(7, nil, listed) {
		t.Errorf("%d sets admitted, want %d; recorded sets must stay admitted, and destinations must be counted separately", admitted, MaxEndpointSets)
	}
	if next := append(listed[1:], Endpoint{Name: "new"}); !c.Admit(7, []string{"new"}, next) {
		t.Error("sets that name a removed endpoint still count against the limit")
	}
}

// TestRestrictOutcomeOnlyRestricts checks that no result of a plug-in improves an outcome or shortens a retry-after time.
func TestRestrictOutcomeOnlyRestricts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := decide.Outcome{Result: decide.Result(rapid.IntRange(int(decide.Succeeded), int(decide.NotSent)).Draw(t, "result")),
			RetryAfter: time.Duration(rapid.IntRange(0, 1000).Draw(t, "retry-after")) * time.Second}
		o.NoAnswerNeeded = o.Result == decide.Succeeded
		r := drawResult(t)
		if rapid.Bool().Draw(t, "reply fields only") {
			r.Refuse, r.HasBody, r.Header, r.Only, r.Prefer = false, false, nil, nil, nil
			r.WaitMS = float64(rapid.IntRange(0, 400_000).Draw(t, "requested"))
		}
		got, err := RestrictOutcome(o, r)
		switch {
		case err != nil && got != o:
			t.Fatalf("%v, but %+v became %+v", err, o, got)
		case got.RetryAfter < o.RetryAfter || got.RetryAfter > max(o.RetryAfter, MaxWait):
			t.Fatalf("a retry-after of %v became %v", o.RetryAfter, got.RetryAfter)
		case got.Result != o.Result && (o.Result != decide.Succeeded || got.Result != decide.Errored || got.NoAnswerNeeded):
			t.Fatalf("%+v became %+v", o, got)
		}
	})
}

// TestGuard checks, for arbitrary sequences of calls, that no more CPU is used than the allowance, that no call is admitted while
// the circuit is open, that one call at a time probes it, and that a plug-in that has recovered is called again.
func TestGuard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Allowance{CPU: 200 * time.Millisecond, Failures: rapid.IntRange(1, 4).Draw(t, "failures"), Rest: time.Second}
		g := NewGuard(a)
		type call struct {
			Ticket
			end time.Duration
		}
		var inFlight []call
		var now, spent, longest, openUntil time.Duration
		consecutive := 0
		for range 400 {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "pause")) * time.Millisecond
			if v, ticket := g.Admit(now); v == Run {
				if now < openUntil {
					t.Fatalf("admitted at %v although the circuit must be open until %v", now, openUntil)
				}
				probes := 0
				for _, c := range inFlight {
					if c.IsProbe() {
						probes++
					}
				}
				if ticket.IsProbe() && probes > 0 {
					t.Fatal("two probes in flight at once")
				}
				inFlight = append(inFlight, call{ticket, now})
			}
			if len(inFlight) > 0 && (len(inFlight) > 3 || rapid.IntRange(0, 7).Draw(t, "ends") == 0) {
				i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "which")
				c := inFlight[i]
				inFlight = slices.Delete(inFlight, i, i+1)
				cpu := time.Duration(rapid.IntRange(0, 50).Draw(t, "cpu")) * time.Millisecond
				costly := rapid.IntRange(0, 2).Draw(t, "costly") == 0
				spent, longest = spent+cpu, max(longest, cpu)
				wasOpen := g.IsCircuitOpen()
				g.Done(c.Ticket, now, cpu, costly, rapid.Float64Range(0, 1).Draw(t, "jitter"))
				if consecutive++; !costly {
					consecutive = 0
				}
				if !wasOpen && g.IsCircuitOpen() || c.IsProbe() && costly {
					openUntil = now + a.Rest/2
				}
				if !wasOpen && !c.IsProbe() && g.IsCircuitOpen() != (consecutive >= a.Failures) {
					t.Fatalf("%d consecutive costly failures: circuit open is %v", consecutive, g.IsCircuitOpen())
				}
			}
			// The limit is the burst, what accrues with time, and what calls admitted just below the limit may use beyond it.
			if limit := a.CPU + time.Duration(now.Seconds()*float64(a.CPU)) + 5*longest; spent > limit {
				t.Fatalf("%v of CPU used by %v, want at most %v", spent, now, limit)
			}
		}
		for range 200 { // all calls succeed from now on
			now += time.Second
			if v, ticket := g.Admit(now); v == Run {
				for _, c := range inFlight {
					g.Done(c.Ticket, now, 0, false, 0)
				}
				inFlight = nil
				g.Done(ticket, now, 0, false, 0)
				if !g.IsCircuitOpen() {
					return
				}
			} else if len(inFlight) > 0 {
				g.Done(inFlight[0].Ticket, now, 0, false, 0)
				inFlight = inFlight[1:]
			}
		}
		t.Fatal("the plug-in is never called again after it recovered")
	})
}
