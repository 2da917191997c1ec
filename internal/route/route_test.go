package route

import (
	"fmt"
	"math/rand/v2"
	"regexp"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// The values from which the tests build all messages: no rule names the last destination, or the last class without the others; two
// fields hold words of up to three letters or are absent.
var (
	classes = []string{"a", "b", "other"}
	dests   = []int{1, 2, 99}
	fronts  = []string{"resp2", "smtp"}
	words   = func() (all []string) {
		all = []string{"-"} // the field is absent
		for _, x := range []string{"", "p", "q", "z"} {
			for _, y := range []string{"", "p", "q", "z"} {
				if x != "" {
					all = append(all, x+y)
				}
			}
		}
		all = append(all, "pqz", "qqz")
		return slices.Compact(slices.Sorted(slices.Values(all)))
	}()
)

type testMessage struct {
	class, front string
	dest         int
	fields       map[string]string
}

func (m *testMessage) message() *Message {
	return &Message{m.front, m.class, m.dest, func(name string) (string, bool) { v, ok := m.fields[name]; return v, ok }}
}

func forEachMessage(classes, fronts []string, do func(*testMessage)) {
	for _, c := range classes {
		for _, d := range dests {
			for _, f := range fronts {
				for _, x := range words {
					for _, y := range words {
						m := &testMessage{c, f, d, map[string]string{}}
						if x != "-" {
							m.fields["x"] = x
						}
						if y != "-" {
							m.fields["y"] = y
						}
						do(m)
					}
				}
			}
		}
	}
}

// testRule is a rule as an operator writes it; the oracle uses nothing else.
type testRule struct {
	Rule
	fields map[string]string
}

// patterns are the regular expressions that generated rules use.
var patterns = map[string]*regexp.Regexp{"/p+/": regexp.MustCompile("^p+$"), "/p.?/": regexp.MustCompile("^p.?$"), "/[pq]q/": regexp.MustCompile("^[pq]q$")}

// matches is an implementation that is independent of the package.
func (r *testRule) matches(m *testMessage) bool {
	if len(r.Classes) > 0 && !slices.Contains(r.Classes, m.class) || len(r.Destinations) > 0 && !slices.Contains(r.Destinations, m.dest) ||
		len(r.Fronts) > 0 && !slices.Contains(r.Fronts, m.front) {
		return false
	}
	for name, want := range r.fields {
		v, ok := m.fields[name]
		switch {
		case !ok:
			return false
		case strings.HasPrefix(want, "/"):
			if !patterns[want].MatchString(v) {
				return false
			}
		case strings.HasSuffix(want, "*"):
			if !strings.HasPrefix(v, want[:len(want)-1]) {
				return false
			}
		case v != want:
			return false
		}
	}
	return true
}

// score expresses the rank as one number; the highest takes precedence.
func (r *testRule) score() (n int) {
	n = -r.Order*1_000_000 + 100_000*len(r.fields)
	for _, want := range r.fields {
		switch {
		case strings.HasPrefix(want, "/"):
		case strings.HasSuffix(want, "*"):
			n += 100 * (len(want) - 1)
		default:
			n += 10_000
		}
	}
	return n + 4*min(1, len(r.Destinations)) + 2*min(1, len(r.Classes)) + min(1, len(r.Fronts))
}

// bestMatches returns the rules of the highest rank that match a message.
func bestMatches(rules []testRule, m *testMessage) (best []*testRule) {
	for i := range rules {
		r := &rules[i]
		if !r.matches(m) {
			continue
		}
		if len(best) > 0 && r.score() > best[0].score() {
			best = nil
		}
		if len(best) == 0 || r.score() == best[0].score() {
			best = append(best, r)
		}
	}
	return best
}

func randomRules(rng *rand.Rand, patterns bool) (rules []testRule) {
	choose := func(list ...string) string { return list[rng.IntN(len(list))] }
	for i := range 1 + rng.IntN(6) {
		r := testRule{Rule: Rule{Name: fmt.Sprint("r", i)}, fields: map[string]string{}}
		if rng.IntN(5) == 0 {
			r.Order = rng.IntN(3) - 1
		}
		r.Classes = [][]string{nil, nil, {"a"}, {"a", "b"}, {"a", "b", "other"}}[rng.IntN(5)]
		r.Destinations = [][]int{nil, nil, {1}, {2}, {1, 2}}[rng.IntN(5)]
		r.Fronts = [][]string{nil, nil, nil, {"resp2"}, {"smtp", "resp2"}}[rng.IntN(5)]
		for _, name := range []string{"x", "y"} {
			if rng.IntN(2) == 0 {
				r.fields[name] = choose("p", "q", "pq", "p*", "q*", "pq*", "*")
				if patterns && rng.IntN(3) == 0 {
					r.fields[name] = choose("/p+/", "/p.?/", "/[pq]q/")
				}
			}
		}
		rules = append(rules, r)
	}
	return rules
}

func newTable(t *testing.T, rules []testRule) *Table {
	t.Helper()
	var list []Rule
	for _, r := range rules {
		for name, want := range r.fields {
			m, err := ParseMatch(want)
			if err != nil {
				t.Fatal(err)
			}
			r.Fields = append(r.Fields, Field{name, m})
		}
		list = append(list, r.Rule)
	}
	table, err := New(list)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// TestFindAgainstOracle compares generated tables with a linear search over all rules for all messages: which route a message takes, whether
// routes are ambiguous, and whether a route never applies.
func TestFindAgainstOracle(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 9))
	ambiguous, shadowed, unambiguous := 0, 0, 0
	for n := range 250 {
		patterns := n%3 == 0
		rules := randomRules(rng, patterns)
		table := newTable(t, rules)
		pairs, err := table.Ambiguous()
		if err != nil {
			t.Fatal(err)
		}
		applied, equal := map[string]bool{}, false
		forEachMessage(classes, fronts, func(m *testMessage) {
			best := bestMatches(rules, m)
			if len(best) > 1 {
				equal = true
				if len(pairs) == 0 {
					t.Fatalf("%+v: %+v matches %s and %s with equal rank, but no ambiguous pair is reported", rules, m, best[0].Name, best[1].Name)
				}
				return
			}
			got, want := table.Find(m.message()), ""
			if len(best) > 0 {
				want = best[0].Name
				applied[want] = true
			}
			if (got != nil || want != "") && (got == nil || got.Name != want) {
				t.Fatalf("%+v: the route of %+v is %+v, want %q", rules, m, got, want)
			}
		})
		if len(pairs) > 0 {
			ambiguous++
			if p := pairs[0]; !equal && !patterns && table.RouteForAll(p.Messages) == nil {
				t.Fatalf("%+v: %s and %s are reported as ambiguous for %s", rules, p.A.Name, p.B.Name, p.Messages)
			}
			continue
		}
		unambiguous++
		for _, r := range table.rules {
			by := table.ShadowedBy(r, classes, fronts)
			if len(by) > 0 {
				shadowed++
			}
			if len(by) > 0 && applied[r.Name] || len(by) == 0 && !applied[r.Name] && !patterns {
				t.Fatalf("%+v: %s: shadowed by %v; applies to some message: %v", rules, r.Name, by, applied[r.Name])
			}
		}
	}
	t.Logf("%d ambiguous tables, %d unambiguous tables, %d shadowed routes", ambiguous, unambiguous, shadowed)
	if min(ambiguous, shadowed, unambiguous) < 10 {
		t.Error("some kind occurs too rarely: the test shows little")
	}
}

// TestDiff changes one rule of a table and compares Diff with the routes of all messages: each message whose target changes is in a listed set with
// both targets, and nothing is listed if no target changes. The position and the names of rules don't count.
func TestDiff(t *testing.T) {
	rng := rand.New(rand.NewPCG(6, 9))
	unchanged, different := 0, 0
	target := func(r *Rule) int { // one of three targets, by the rule's name
		if r == nil {
			return -1
		}
		return int(r.Name[1]-'0') % 3
	}
	for range 250 {
		rules := randomRules(rng, false)
		changed := slices.Clone(rules)
		slices.Reverse(changed)
		a := newTable(t, rules)
		if pairs, _ := a.Ambiguous(); len(pairs) > 0 {
			continue
		}
		if d := Diff(a, newTable(t, changed), 1000, target); len(d) > 0 {
			t.Fatalf("%+v: only the positions of the rules differ, but Diff lists %+v", rules, d)
		}
		switch i := rng.IntN(len(changed)); rng.IntN(4) {
		case 0:
			changed = slices.Delete(changed, i, i+1)
		case 1:
			changed[i].Name = fmt.Sprint("r", rng.IntN(9))
		case 2:
			changed[i].Order = rng.IntN(3) - 1
		case 3:
			changed[i] = randomRules(rng, false)[0]
		}
		b := newTable(t, changed)
		if pairs, _ := b.Ambiguous(); len(pairs) > 0 {
			continue
		}
		d := Diff(a, b, 1000, target)
		anyChange := false
		forEachMessage(append(classes, "unnamed"), append(fronts, "unnamed"), func(m *testMessage) {
			x, y := a.Find(m.message()), b.Find(m.message())
			if target(x) == target(y) {
				return
			}
			anyChange = true
			if !slices.ContainsFunc(d, func(c Change) bool {
				return target(c.Old) == target(x) && target(c.New) == target(y) && contains(c.Messages, m)
			}) {
				t.Fatalf("%+v to %+v: the target of %+v changes from %d to %d, but Diff lists only %+v", rules, changed, m, target(x), target(y), d)
			}
		})
		if !anyChange && len(d) > 0 {
			t.Fatalf("%+v to %+v: no target changes, but Diff lists %v", rules, changed, d[0].Messages)
		}
		if anyChange {
			different++
		} else {
			unchanged++
		}
	}
	t.Logf("%d changes without effect, %d with effect", unchanged, different)
	if min(unchanged, different) < 10 {
		t.Error("some kind occurs too rarely: the test shows little")
	}
}

// contains reports whether a message is in a set.
func contains(s *MessageSet, m *testMessage) bool {
	if s.HasDestination && s.Destination != m.dest || s.Class != "" && s.Class != m.class || s.Front != "" && s.Front != m.front {
		return false
	}
	for name, matches := range s.Fields {
		for _, want := range matches {
			if v, ok := m.fields[name]; !ok || !want.matches(v) {
				return false
			}
		}
	}
	return true
}

// TestMatchRelations checks implies and overlaps against all words, and the errors of ParseMatch.
func TestMatchRelations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		form := rapid.SampledFrom([]string{"p", "q", "pq", "p*", "pq*", "*", "/p+/", "/[pq]*/", "/p|qq/"})
		a, _ := ParseMatch(form.Draw(t, "a"))
		b, _ := ParseMatch(form.Draw(t, "b"))
		for _, w := range words {
			if a.implies(b) && a.matches(w) && !b.matches(w) {
				t.Fatalf("%s implies %s, but only the first matches %q", a, b, w)
			}
			if a.matches(w) && b.matches(w) && !a.overlaps(b) {
				t.Fatalf("%s and %s both match %q but do not overlap", a, b, w)
			}
		}
	})
	for text, want := range map[string]string{"": "empty", "/(/": "missing closing", strings.Repeat("x", MaxTextLen+1): "at most"} {
		if _, err := ParseMatch(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.9q: %v, want %q", text, err, want)
		}
	}
}

// TestLimits checks that tables that would make routing too expensive, or that can't be checked in bounded time, are rejected.
func TestLimits(t *testing.T) {
	var rules []Rule
	for n := range MaxForms + 1 {
		m, _ := ParseMatch(strings.Repeat("p", n+1) + "*")
		rules = append(rules, Rule{Name: fmt.Sprint(n), Fields: []Field{{"x", m}}})
	}
	if _, err := New(rules); err == nil {
		t.Error("too many forms are accepted")
	}
	if _, err := New([]Rule{{Fields: make([]Field, MaxFields+1)}}); err == nil {
		t.Error("too many fields are accepted")
	}
	rules = nil
	for n := range MaxFieldNames + 1 {
		m, _ := ParseMatch("x")
		rules = append(rules, Rule{Name: fmt.Sprint(n), Fields: []Field{{fmt.Sprint("f", n), m}}})
	}
	if _, err := New(rules); err == nil || !strings.Contains(err.Error(), `route "32" names the field "f32"`) {
		t.Errorf("too many field names: %v", err)
	}
	// A field is looked up once, however many forms name it, and regular expressions are not applied to values that are too long.
	p, _ := ParseMatch("/p*/")
	rules = []Rule{{Name: "p", Fields: []Field{{"x", p}}}}
	for n := range 100 {
		m, _ := ParseMatch(strings.Repeat("q", n+1) + "*")
		rules = append(rules, Rule{Name: fmt.Sprint(n), Fields: []Field{{"x", m}}})
	}
	manyForms, err := New(rules)
	if err != nil {
		t.Fatal(err)
	}
	lookUps, size := 0, MaxValueLen
	m := &Message{Field: func(string) (string, bool) { lookUps++; return strings.Repeat("p", size), true }}
	if got := manyForms.Find(m); got == nil || got.Name != "p" || lookUps != 1 {
		t.Errorf("%v after %d look-ups", got, lookUps)
	}
	if size++; manyForms.Find(m) != nil {
		t.Error("a regular expression matches a value that is too long")
	}
	rules = nil
	for n := range 20_000 {
		m, _ := ParseMatch(fmt.Sprintf("/p%d/", n))
		rules = append(rules, Rule{Name: fmt.Sprint(n), Fields: []Field{{"x", m}}})
	}
	table, err := New(rules)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := table.Ambiguous(); err == nil {
		t.Error("20,000 patterns for the same messages are checked without an error")
	}
}

// BenchmarkFind shows that the cost per message grows with the number of forms and not with the number of routes.
func BenchmarkFind(b *testing.B) {
	for _, n := range []int{100, 100_000} {
		var rules []Rule
		for i := range n {
			m, _ := ParseMatch(fmt.Sprint("campaign-", i))
			r := Rule{Name: fmt.Sprint(i), Fields: []Field{{"campaign", m}}}
			if i%2 == 0 {
				r.Destinations, r.Fields = []int{i}, nil
			}
			rules = append(rules, r)
		}
		table, err := New(rules)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			m := &Message{Class: "a", Destination: n - 2, Field: func(string) (string, bool) { return "", false }}
			for b.Loop() {
				if table.Find(m) == nil {
					b.Fatal("not found")
				}
			}
		})
	}
}
