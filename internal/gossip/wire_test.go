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

func drawNews(t *rapid.T) straggler.Report {
	text := func(label string, most int) string { return rapid.StringN(0, most, most).Draw(t, label) }
	contents := func(label string) version.Contents {
		return version.Contents{Digest: version.Digest(rapid.Uint64().Draw(t, label)), LoadCount: rapid.IntRange(0, 1<<20).Draw(t, label)}
	}
	when := func(label string) time.Time { return time.Unix(0, rapid.Int64Min(1).Draw(t, label)).UTC() }
	n := straggler.Report{Format: straggler.Format, Name: text("name", 64), Zone: text("zone", 32), Seq: rapid.Uint64().Draw(t, "seq"), State: straggler.MemberState(rapid.IntRange(0, 3).Draw(t, "stand")),
		Reason: text("why", longestText), StateDigest: rapid.Uint64().Draw(t, "agrees"), Stale: rapid.Bool().Draw(t, "lacking"), AdminAddress: text("door", 64), Clock: when("clock")}
	v := &n.Vector
	v.Format, v.Started, v.Settings, v.Operators, v.Disabled = version.Format, when("started"), contents("settings"), contents("operators"), contents("left out")
	v.Build = version.Build{Revision: rapid.StringMatching("([0-9a-f]{40})?").Draw(t, "revision"), Dirty: rapid.Bool().Draw(t, "dirty")}
	v.List = version.List{Index: rapid.Int64().Draw(t, "index"), Digest: version.Digest(rapid.Uint64().Draw(t, "list")), AddressDigest: version.Digest(rapid.Uint64().Draw(t, "where")), TargetCount: rapid.IntRange(0, 1<<20).Draw(t, "targets")}
	v.Handovers = rapid.IntRange(0, 9).Draw(t, "over")
	for range rapid.IntRange(0, mostDrains).Draw(t, "drains") {
		n.Drains = append(n.Drains, straggler.Drain{Target: text("target", 64), Index: rapid.Int64().Draw(t, "index")})
	}
	for range rapid.IntRange(0, straggler.MaxReportedRetryAfters).Draw(t, "waits") {
		n.RetryAfters = append(n.RetryAfters, straggler.RetryAfter{Target: text("target", 64), Remaining: time.Duration(rapid.IntRange(0, 1<<30).Draw(t, "left")) * time.Millisecond})
	}
	return n
}

// TestNewsWritten: news read back are what was written, and fit into a packet; cut anywhere, they are no news; those of a later format are read as far as they are known.
func TestNewsWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := drawNews(t)
		text := encodeNews(&n)
		got, err := decodeNews(text)
		if err != nil || !reflect.DeepEqual(got, n) {
			t.Fatalf("%+v\n%+v (%v)", got, n, err)
		}
		if len(text) > mostMessage {
			t.Fatalf("%d bytes", len(text))
		}
		for i := range text {
			if _, err := decodeNews(text[:i]); err == nil {
				t.Fatalf("cut at %d of %d it is read", i, len(text))
			}
		}
		if _, err := decodeNews(append(text, 0)); err == nil {
			t.Fatal("with more behind it is read")
		}
		older := n
		older.Format, older.RetryAfters = 1, nil
		if got, err := decodeNews(encodeNews(&older)); err != nil || !reflect.DeepEqual(got, older) {
			t.Fatalf("the format before: %+v\n%+v (%v)", got, older, err)
		}
		text[1]++
		if later, err := decodeNews(append(text, 1, 2, 3)); err != nil || later.Name != n.Name || later.Format != n.Format+1 {
			t.Fatalf("a later format: %+v (%v)", later, err)
		}
	})
	usual := straggler.Report{Format: 1, Name: "n123", Zone: "a", Seq: 77, Vector: version.Vector{Build: version.Build{Revision: strings.Repeat("ab", 20)}, Started: time.Now()}, AdminAddress: "127.0.0.1:19000"}
	if n := len(encodeNews(&usual)); n > 160 {
		t.Errorf("usual news take %d bytes: eight should go into a packet", n)
	}
}

func FuzzDecode(f *testing.F) {
	n := straggler.Report{Format: 1, Name: "n", Drains: []straggler.Drain{{Target: "t", Index: 4}}}
	f.Add(encodeNews(&n))
	f.Add([]byte(`w{"gen":1,"by":"x","deadline_ns":5}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		if n, err := decodeNews(b); err == nil && (len(n.Name) > 64 || len(n.Drains) > mostDrains) {
			t.Errorf("%+v", n)
		}
		if w, err := decodeWant(b); err == nil && w.Gen == 0 {
			t.Errorf("%+v", w)
		}
	})
}

func TestAddresses(t *testing.T) {
	for _, bad := range []string{"", "127.0.0.1", "localhost:1", "127.0.0.1:0", "127.0.0.1:x", "127.0.0.1:70000"} {
		c := Config{Listen: bad}
		if c.Validate() == nil {
			t.Errorf("%q is taken", bad)
		}
	}
	if c := (Config{Listen: "127.0.0.1:1", Key: []byte("short")}); c.Validate() == nil {
		t.Error("a short key is taken")
	}
}
