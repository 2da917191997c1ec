package operator

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestDiffListsEffectiveChanges changes one value of generated limits at a time. The diff must be empty if no message is treated
// differently, and otherwise name each scope that is. Reordered and renamed limits must not differ.
func TestDiffListsEffectiveChanges(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 1))
	classes, dests := []string{"a", "b", "c"}, []int{1, 2, 3, 4} // no rule names c or 4
	ineffective, effective := 0, 0
	for range 20_000 {
		old := Default()
		for i := range 1 + rng.IntN(5) {
			l := Limit{Name: fmt.Sprint("l", i), MaxAttempts: rng.IntN(3), AttemptTimeout: Duration(time.Duration(rng.IntN(3)) * time.Second)}
			l.Classes = [][]string{nil, {"a"}, {"b"}, {"a", "b"}}[rng.IntN(4)]
			l.Destinations = [][]int{nil, {1}, {2, 3}}[rng.IntN(3)]
			if l.MaxAttempts+int(l.AttemptTimeout) > 0 {
				old.Limits = append(old.Limits, l)
			}
		}
		if len(old.Check()) > 0 || len(old.Limits) == 0 {
			continue
		}
		new := Default()
		new.Limits = slices.Clone(old.Limits)
		slices.Reverse(new.Limits)
		for i := range new.Limits {
			new.Limits[i].Name += "x"
		}
		if d := Diff(old, new); len(d) > 0 {
			t.Fatalf("reordered and renamed: %+v", d)
		}
		i := rng.IntN(len(new.Limits))
		new.Limits[i].MaxAttempts = rng.IntN(4)
		if len(new.Check()) > 0 {
			continue
		}
		d := Diff(old, new)
		a, b := old.NewLimits(), new.NewLimits()
		differs := false
		for _, c := range classes {
			for _, dest := range dests {
				x, y := a.DecisionLimits(c, dest, ""), b.DecisionLimits(c, dest, "")
				differs = differs || x != y
				named := slices.ContainsFunc(d, func(ch Change) bool {
					return slices.ContainsFunc(append((scope{class: c, dest: dest, hasDest: true}).parents(new), scope{class: c, dest: dest, hasDest: true}), func(s scope) bool { return ch.Scope == s.String() })
				})
				if x != y && !named {
					t.Fatalf("%s to %d changes from %+v to %+v and is not in the diff: %+v", c, dest, x, y, d)
				}
			}
		}
		if !differs && len(d) > 0 || slices.ContainsFunc(d, func(c Change) bool { return c.Key != "attempts" }) {
			t.Fatalf("%+v to %+v: the diff must contain changes of attempts only, and only if they have an effect (%v): %+v", old.Limits, new.Limits, differs, d)
		}
		if differs {
			effective++
		} else {
			ineffective++
		}
	}
	t.Logf("%d changes without effect, %d with one", ineffective, effective)
	if min(ineffective, effective) < 500 {
		t.Error("one of the two kinds of changes is too rare for the test to be meaningful")
	}
}
