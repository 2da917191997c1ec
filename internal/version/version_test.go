package version

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestTargetsByChanges: however a list is told, whole or by changes and in any order, its digest is that of its contents, and lists that
// differ in anything differ in it.
func TestTargetsByChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var told ListTracker
		model := map[string]Entry{}
		for i := range rapid.IntRange(1, 30).Draw(t, "lists") {
			whole := rapid.IntRange(0, 5).Draw(t, "whole") == 0
			if whole {
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
			got := told.Update(int64(i), whole, entries)
			all := slices.Collect(maps.Values(model))
			var fresh ListTracker
			if want := fresh.Update(int64(i), true, all); got != want {
				t.Fatalf("list %d: %+v, and told whole %+v", i, got, want)
			}
			for j := range all { // any one thing that differs shows
				for k, change := range []func(*Entry){func(e *Entry) { e.State += "x" }, func(e *Entry) { e.Group++ }, func(e *Entry) { e.Weight++ },
					func(e *Entry) { e.Zone = "z" }, func(e *Entry) { e.Kind = "k" }, func(e *Entry) { e.Gone = true }, func(e *Entry) { e.Address = "c:1" }} {
					other := slices.Clone(all)
					change(&other[j])
					var o ListTracker
					list := o.Update(int64(i), true, other)
					if same := list.Digest == got.Digest && list.AddressDigest == got.AddressDigest; same {
						t.Fatalf("list %d: change %d of %+v does not show", i, k, all[j])
					}
					if k == 6 && list.Digest != got.Digest { // addresses may differ from one forwarder to the next
						t.Fatalf("list %d: another address shows in the digest of the contents", i)
					}
				}
			}
		}
	})
}

func TestLacks(t *testing.T) {
	v := Vector{Build: Build{Revision: "abcdef"}, Settings: Contents{Digest: 1}, Operators: Contents{Digest: 2}, List: List{Index: 5, Digest: 9}}
	for want, lacks := range map[Desired][]Mismatch{
		{}:                         nil,
		{Build: "abc", Index: 5}:   nil,
		{Index: 4, List: 1}:        nil, // a newer list is no worse
		{Index: 6}:                 {ListOutdated},
		{Index: 5, List: 8}:        {ListDiverged},
		{Index: 5, List: 9}:        nil,
		{Operators: 3, Build: "b"}: {OperatorsMismatch, BuildMismatch},
		{Settings: 7}:              {SettingsMismatch},
	} {
		if got := v.Mismatches(want); !slices.Equal(got, lacks) {
			t.Errorf("%+v: %v and not %v", want, got, lacks)
		}
	}
}

func TestWritten(t *testing.T) {
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
			t.Errorf("%s is taken for a digest", bad)
		}
	}
	if DigestOfNames([]string{"a", "b"}) != DigestOfNames([]string{"b", "a"}) || DigestOfNames([]string{"a", "b"}) == DigestOfNames([]string{"ab"}) || DigestOfNames(nil) == DigestOfNames([]string{""}) {
		t.Error("names")
	}
}
