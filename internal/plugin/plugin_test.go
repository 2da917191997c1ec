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

// results draws what hostile code could hand over.
func results(t *rapid.T) *Result {
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
	if rapid.Bool().Draw(t, "modest") { // or else hardly anything would be let through
		r.WaitMS, r.NotDelivered, r.Header = 0, false, nil
	}
	return r
}

// TestNoWishBreaksARule: whatever some plug-ins wish for, one after the other, what is let through of it names endpoints of
// the message's own destination only, and header fields that could not be taken for the forwarder's.
func TestNoWishBreaksARule(t *testing.T) {
	through := 0
	rapid.Check(t, func(t *rapid.T) {
		listed := []Endpoint{{Name: "a"}, {Name: "b"}, {Name: "c"}}
		d := Draft{Endpoints: listed, Body: []byte("body")}
		c := Content{Body: []byte("body")}
		choices := EndpointSets{}
		for range rapid.IntRange(1, 5).Draw(t, "plug-ins") {
			r := results(t)
			before := d
			if err := d.Apply(r, 100); err != nil {
				if before.Refused != d.Refused || string(before.Body) != string(d.Body) || !slices.Equal(before.Only, d.Only) || !slices.Equal(before.Header, d.Header) {
					t.Fatalf("%v, and still something was taken over: %+v", err, d)
				}
			} else {
				through++
				if len(before.Only) > 0 && (len(d.Only) == 0 || slices.ContainsFunc(d.Only, func(n string) bool { return !slices.Contains(before.Only, n) })) {
					t.Fatalf("narrowed to %q, and then to %q", before.Only, d.Only)
				}
			}
			c.Apply(r, 100)
			choices.Admit(1, d.Only, listed)
		}
		known := func(n string) bool { return n == "a" || n == "b" || n == "c" }
		if slices.ContainsFunc(append(slices.Clone(d.Only), d.Prefer...), func(n string) bool { return !known(n) }) {
			t.Fatalf("endpoints of others: %q, %q", d.Only, d.Prefer)
		}
		if len(d.Body) > 100 || len(c.Body) > 100 || d.Wait < 0 || d.Wait > MaxWait || len(d.Reason) > MaxReason || strings.ContainsAny(d.Reason, "\r\n") {
			t.Fatalf("let through: %+v", d)
		}
		for _, f := range append(slices.Clone(d.Header), c.Header...) {
			lower := strings.ToLower(f.Name)
			if f.Name == "" || strings.ContainsAny(f.Name+f.Value, "\r\n:\x00") || strings.HasPrefix(lower, "req-") || slices.Contains(ours, lower) || len(f.Value) > MaxFieldValue {
				t.Fatalf("header field %q: %q", f.Name, f.Value)
			}
		}
		if len(choices[1]) > MaxEndpointSets {
			t.Fatalf("%d sets of endpoints", len(choices[1]))
		}
	})
	if through == 0 {
		t.Error("nothing was let through: the test shows nothing")
	}
}

// TestChoicesAreBounded: the decision module never has more than so many groups for a destination.
func TestChoicesAreBounded(t *testing.T) {
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
		t.Errorf("%d sets admitted, %d wanted; those there are must stay, and others' are apart", admitted, MaxEndpointSets)
	}
	if next := append(listed[1:], Endpoint{Name: "new"}); !c.Admit(7, []string{"new"}, next) {
		t.Error("sets that name an endpoint which is gone keep others out")
	}
}

// TestCautionOnly: a reply can be made to count for less and for no more, whatever is wished for.
func TestCautionOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := decide.Outcome{Result: decide.Result(rapid.IntRange(int(decide.Succeeded), int(decide.NotSent)).Draw(t, "result")),
			RetryAfter: time.Duration(rapid.IntRange(0, 1000).Draw(t, "told")) * time.Second}
		o.NoAnswerNeeded = o.Result == decide.Succeeded
		r := results(t)
		if rapid.Bool().Draw(t, "of a reply only") {
			r.Refuse, r.HasBody, r.Header, r.Only, r.Prefer = false, false, nil, nil, nil
			r.WaitMS = float64(rapid.IntRange(0, 400_000).Draw(t, "asked"))
		}
		got, err := RestrictOutcome(o, r)
		switch {
		case err != nil && got != o:
			t.Fatalf("%v, and still %+v became %+v", err, o, got)
		case got.RetryAfter < o.RetryAfter || got.RetryAfter > max(o.RetryAfter, MaxWait):
			t.Fatalf("a wait of %v became %v", o.RetryAfter, got.RetryAfter)
		case got.Result != o.Result && (o.Result != decide.Succeeded || got.Result != decide.Errored || got.NoAnswerNeeded):
			t.Fatalf("%+v became %+v", o, got)
		}
	})
}

// TestGuard: whatever calls do, no more CPU is spent than is allowed for, nobody is asked while the circuit is open, one call at
// a time tries it, and a plug-in that is well again is asked again.
func TestGuard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Allowance{CPU: 200 * time.Millisecond, Failures: rapid.IntRange(1, 4).Draw(t, "failures"), Rest: time.Second}
		g := NewGuard(a)
		type call struct {
			Ticket
			end time.Duration
		}
		var out []call
		var now, spent, longest, openUntil time.Duration
		row := 0
		for range 400 {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "pause")) * time.Millisecond
			if v, ticket := g.Admit(now); v == Run {
				if now < openUntil {
					t.Fatalf("asked at %v, and the circuit was to be open until %v", now, openUntil)
				}
				trials := 0
				for _, c := range out {
					if c.IsProbe() {
						trials++
					}
				}
				if ticket.IsProbe() && trials > 0 {
					t.Fatal("two trials at once")
				}
				out = append(out, call{ticket, now})
			}
			if len(out) > 0 && (len(out) > 3 || rapid.IntRange(0, 7).Draw(t, "ends") == 0) {
				i := rapid.IntRange(0, len(out)-1).Draw(t, "which")
				c := out[i]
				out = slices.Delete(out, i, i+1)
				cpu := time.Duration(rapid.IntRange(0, 50).Draw(t, "cpu")) * time.Millisecond
				costly := rapid.IntRange(0, 2).Draw(t, "costly") == 0
				spent, longest = spent+cpu, max(longest, cpu)
				was := g.IsCircuitOpen()
				g.Done(c.Ticket, now, cpu, costly, rapid.Float64Range(0, 1).Draw(t, "chance"))
				if row++; !costly {
					row = 0
				}
				if !was && g.IsCircuitOpen() || c.IsProbe() && costly {
					openUntil = now + a.Rest/2
				}
				if !was && !c.IsProbe() && g.IsCircuitOpen() != (row >= a.Failures) {
					t.Fatalf("%d costly failures in a row: open %v", row, g.IsCircuitOpen())
				}
			}
			// As much as is allowed at once, what comes with time, and what the last calls went over it by.
			if most := a.CPU + time.Duration(now.Seconds()*float64(a.CPU)) + 5*longest; spent > most {
				t.Fatalf("%v of CPU by %v, and at most %v is allowed", spent, now, most)
			}
		}
		for range 200 { // well from now on
			now += time.Second
			if v, ticket := g.Admit(now); v == Run {
				for _, c := range out {
					g.Done(c.Ticket, now, 0, false, 0)
				}
				out = nil
				g.Done(ticket, now, 0, false, 0)
				if !g.IsCircuitOpen() {
					return
				}
			} else if len(out) > 0 {
				g.Done(out[0].Ticket, now, 0, false, 0)
				out = out[1:]
			}
		}
		t.Fatal("it is never asked again")
	})
}
