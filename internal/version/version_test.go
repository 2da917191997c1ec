package version

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestListDigestByChanges: the digest of a list depends only on its contents, whether the list was sent completely or by changes and in whatever order. Lists that differ in
// any field have different digests.
func TestListDigestByChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tracker ListTracker
		model := map[string]Entry{}
		for i := range rapid.IntRange(1, 30).Draw(t, "lists") {
			complete := rapid.IntRange(0, 5).Draw(t, "whole") == 0
			if complete {
				clear(model)
			}
			var entries []Entry
			for range rapid.IntRange(0, 6).Draw(t, "entries") {
				e := Entry{Name: fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "name")), Address: rapid.SampledFrom([]string{"a:1", "b:1"}).Draw(t, "address"),
					State: rapid.SampledFrom([]string{"SERVING", "DRAINING"}).Draw(t, "state"), Group: rapid.IntRange(0, 1).Draw(t, "group"),
					Weight: float64(rapid.IntRange(1, 2).Draw(t, "weight")), Gone: rapid.IntRange(0, 3).Draw(t, "gone") == 0}
				entries = append(entries, e)
				if model[e.Name] = e; e.Gone {
					delete(model, e.Name)
				}
			}
			got := tracker.Update(int64(i), complete, entries)
			all := slices.Collect(maps.Values(model))
			var fresh ListTracker
			if want := fresh.Update(int64(i), true, all); got != want {
				t.Fatalf("list %d: %+v, but sent as a complete list %+v", i, got, want)
			}
			for j := range all { // any difference in one field shows in a digest
				for k, change := range []func(*Entry){func(e *Entry) { e.State += "x" }, func(e *Entry) { e.Group++ }, func(e *Entry) { e.Weight++ },
					func(e *Entry) { e.Zone = "z" }, func(e *Entry) { e.Kind = "k" }, func(e *Entry) { e.Gone = true }, func(e *Entry) { e.Address = "c:1" }} {
					other := slices.Clone(all)
					change(&other[j])
					var otherTracker ListTracker
					list := otherTracker.Update(int64(i), true, other)
					if same := list.Digest == got.Digest && list.AddressDigest == got.AddressDigest; same {
						t.Fatalf("list %d: change %d of %+v does not change a digest", i, k, all[j])
					}
					if k == 6 && list.Digest != got.Digest { // addresses may differ from one forwarder to the next
						t.Fatalf("list %d: a different address changes the digest of the contents", i)
					}
				}
			}
		}
	})
}

func TestMismatches(t *testing.T) {
	v := Vector{Build: Build{Revision: "abcdef"}, Settings: Contents{Digest: 1}, Operators: Contents{Digest: 2}, List: List{Index: 5, Digest: 9}}
	for desired, want := range map[Desired][]Mismatch{
		{}:                         nil,
		{Build: "abc", Index: 5}:   nil,
		{Index: 4, List: 1}:        nil, // a newer list is acceptable
		{Index: 6}:                 {ListOutdated},
		{Index: 5, List: 8}:        {ListDiverged},
		{Index: 5, List: 9}:        nil,
		{Operators: 3, Build: "b"}: {OperatorsMismatch, BuildMismatch},
		{Settings: 7}:              {SettingsMismatch},
	} {
		if got := v.Mismatches(desired); !slices.Equal(got, want) {
			t.Errorf("%+v: mismatches %v, want %v", desired, got, want)
		}
	}
}

func TestJSONAndDigests(t *testing.T) {
	v := Vector{Format: Format, Operators: Contents{Digest: 0xab, LoadCount: 2}, List: List{Index: 7, Digest: 1 << 63}}
	text, err := json.Marshal(v)
	var got Vector
	if err == nil {
		err = json.Unmarshal(text, &got)
	}
	if err != nil || got != v {
		t.Errorf("%s: %+v (%v)", text, got, err)
	}
	for _, bad := range []string{`"12"`, `"zz00000000000000"`, `"00000000000000001"`} {
		var d Digest
		if json.Unmarshal([]byte(bad), &d) == nil {
			t.Errorf("%s is accepted as a digest", bad)
		}
	}
	if DigestOfNames([]string{"a", "b"}) != DigestOfNames([]string{"b", "a"}) || DigestOfNames([]string{"a", "b"}) == DigestOfNames([]string{"ab"}) || DigestOfNames(nil) == DigestOfNames([]string{""}) {
		t.Error("the digest of names depends on their order, or different names have the same digest")
	}
}
