package gossip

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"scaleroute/internal/straggler"
	"scaleroute/internal/version"
)

func drawReport(t *rapid.T) straggler.Report {
	text := func(label string, limit int) string { return rapid.StringN(0, limit, limit).Draw(t, label) }
	contents := func(label string) version.Contents {
		return version.Contents{Digest: version.Digest(rapid.Uint64().Draw(t, label)), LoadCount: rapid.IntRange(0, 1<<20).Draw(t, label)}
	}
	when := func(label string) time.Time { return time.Unix(0, rapid.Int64Min(1).Draw(t, label)).UTC() }
	report := straggler.Report{Format: straggler.Format, Name: text("name", 64), Zone: text("zone", 32), Seq: rapid.Uint64().Draw(t, "seq"), State: straggler.MemberState(rapid.IntRange(0, 3).Draw(t, "state")),
		Reason: text("reason", maxTextLength), StateDigest: rapid.Uint64().Draw(t, "state digest"), Stale: rapid.Bool().Draw(t, "stale"), AdminAddress: text("admin address", 64), Clock: when("clock")}
	v := &report.Vector
	v.Format, v.Started, v.Settings, v.Operators, v.Disabled = version.Format, when("started"), contents("settings"), contents("operators"), contents("disabled")
	v.Build = version.Build{Revision: rapid.StringMatching("([0-9a-f]{40})?").Draw(t, "revision"), Dirty: rapid.Bool().Draw(t, "dirty")}
	v.List = version.List{Index: rapid.Int64().Draw(t, "index"), Digest: version.Digest(rapid.Uint64().Draw(t, "list")), AddressDigest: version.Digest(rapid.Uint64().Draw(t, "address digest")), TargetCount: rapid.IntRange(0, 1<<20).Draw(t, "targets")}
	v.Handovers = rapid.IntRange(0, 9).Draw(t, "handovers")
	for range rapid.IntRange(0, maxDrains).Draw(t, "drains") {
		report.Drains = append(report.Drains, straggler.Drain{Target: text("target", 64), Index: rapid.Int64().Draw(t, "index")})
	}
	for range rapid.IntRange(0, straggler.MaxReportedRetryAfters).Draw(t, "retry-afters") {
		report.RetryAfters = append(report.RetryAfters, straggler.RetryAfter{Target: text("target", 64), Remaining: time.Duration(rapid.IntRange(0, 1<<30).Draw(t, "remaining")) * time.Millisecond})
	}
	return report
}

// TestReportEncoding: an encoded report fits into a packet and decodes to the same report. A truncated report or one with additional bytes is rejected. A report of the previous
// format is decoded, and of a later format the known fields are.
func TestReportEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		report := drawReport(t)
		text := encodeReport(&report)
		got, err := decodeReport(text)
		if err != nil || !reflect.DeepEqual(got, report) {
			t.Fatalf("%+v\n%+v (%v)", got, report, err)
		}
		if len(text) > maxMessageLength {
			t.Fatalf("the report takes %d bytes", len(text))
		}
		for i := range text {
			if _, err := decodeReport(text[:i]); err == nil {
				t.Fatalf("a report truncated to %d of %d bytes is accepted", i, len(text))
			}
		}
		if _, err := decodeReport(append(text, 0)); err == nil {
			t.Fatal("a report with additional bytes is accepted")
		}
		older := report
		older.Format, older.RetryAfters = 1, nil
		if got, err := decodeReport(encodeReport(&older)); err != nil || !reflect.DeepEqual(got, older) {
			t.Fatalf("the previous format: %+v\n%+v (%v)", got, older, err)
		}
		text[1]++
		if later, err := decodeReport(append(text, 1, 2, 3)); err != nil || later.Name != report.Name || later.Format != report.Format+1 {
			t.Fatalf("a later format: %+v (%v)", later, err)
		}
	})
	typical := straggler.Report{Format: 1, Name: "n123", Zone: "a", Seq: 77, Vector: version.Vector{Build: version.Build{Revision: strings.Repeat("ab", 20)}, Started: time.Now()}, AdminAddress: "127.0.0.1:19000"}
	if n := len(encodeReport(&typical)); n > 160 {
		t.Errorf("a typical report takes %d bytes: eight should fit into a packet", n)
	}
}

func FuzzDecode(f *testing.F) {
	n := straggler.Report{Format: 1, Name: "n", Drains: []straggler.Drain{{Target: "t", Index: 4}}}
	f.Add(encodeReport(&n))
	f.Add([]byte(`w{"gen":1,"by":"x","deadline_ns":5}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		if n, err := decodeReport(b); err == nil && (len(n.Name) > 64 || len(n.Drains) > maxDrains) {
			t.Errorf("a report out of bounds is accepted: %+v", n)
		}
		if w, err := decodeDesired(b); err == nil && w.Gen == 0 {
			t.Errorf("a desired version without a generation is accepted: %+v", w)
		}
	})
}

func TestValidate(t *testing.T) {
	for _, address := range []string{"", "127.0.0.1", "localhost:1", "127.0.0.1:0", "127.0.0.1:x", "127.0.0.1:70000"} {
		c := Config{Listen: address}
		if c.Validate() == nil {
			t.Errorf("the address %q is accepted", address)
		}
	}
	if c := (Config{Listen: "127.0.0.1:1", Key: []byte("short")}); c.Validate() == nil {
		t.Error("a short key is accepted")
	}
}
