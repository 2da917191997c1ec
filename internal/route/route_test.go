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

// The world of the tests: every message that there is, with classes and destinations of which the last is named by no rule, and
// two fields that hold words of two letters, or are not there.
var (
	classes = []string{"a", "b", "other"}
	dests   = []int{1, 2, 99}
	fronts  = []string{"resp2", "smtp"}
	words   = func() (all []string) {
		all = []string{"-"} // not there
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

type said struct {
	class, front string
	dest         int
	fields       map[string]string
}

func (m *said) message() *Message {
	return &Message{m.front, m.class, m.dest, func(name string) (string, bool) { v, ok := m.fields[name]; return v, ok }}
}

func everyMessage(classes, fronts []string, do func(*said)) {
	for _, c := range classes {
		for _, d := range dests {
			for _, f := range fronts {
				for _, x := range words {
					for _, y := range words {
						m := &said{c, f, d, map[string]string{}}
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

// text is a rule as an operator writes it: the oracle reads no more than this.
type text struct {
	Rule
	fields map[string]string
}

// patterns are those that rules are drawn with.
var patterns = map[string]*regexp.Regexp{"/p+/": regexp.MustCompile("^p+$"), "/p.?/": regexp.MustCompile("^p.?$"), "/[pq]q/": regexp.MustCompile("^[pq]q$")}

// fits is written apart from the package's own ways.
func (r *text) fits(m *said) bool {
	if len(r.Classes) > 0 && !slices.Contains(r.Classes, m.class) || len(r.Destinations) > 0 && !slices.Contains(r.Destinations, m.dest) ||
		len(r.Fronts) > 0 && !slices.Contains(r.Fronts, m.front) {
		return false
	}
	for name, want := range r.fields {
		v, there := m.fields[name]
		switch {
		case !there:
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

// points make the rank as one number, the higher one first.
func (r *text) points() (n int) {
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

// first are the rules of the highest rank that a message fits.
func first(rules []text, m *said) (best []*text) {
	for i := range rules {
		r := &rules[i]
		if !r.fits(m) {
			continue
		}
		if len(best) > 0 && r.points() > best[0].points() {
			best = nil
		}
		if len(best) == 0 || r.points() == best[0].points() {
			best = append(best, r)
		}
	}
	return best
}

func draw(rng *rand.Rand, patterns bool) (rules []text) {
	some := func(list ...string) string { return list[rng.IntN(len(list))] }
	for i := range 1 + rng.IntN(6) {
		r := text{Rule: Rule{Name: fmt.Sprint("r", i)}, fields: map[string]string{}}
		if rng.IntN(5) == 0 {
			r.Order = rng.IntN(3) - 1
		}
		r.Classes = [][]string{nil, nil, {"a"}, {"a", "b"}, {"a", "b", "other"}}[rng.IntN(5)]
		r.Destinations = [][]int{nil, nil, {1}, {2}, {1, 2}}[rng.IntN(5)]
		r.Fronts = [][]string{nil, nil, nil, {"resp2"}, {"smtp", "resp2"}}[rng.IntN(5)]
		for _, name := range []string{"x", "y"} {
			if rng.IntN(2) == 0 {
				r.fields[name] = some("p", "q", "pq", "p*", "q*", "pq*", "*")
				if patterns && rng.IntN(3) == 0 {
					r.fields[name] = some("/p+/", "/p.?/", "/[pq]q/")
				}
			}
		}
		rules = append(rules, r)
	}
	return rules
}

func table(t *testing.T, rules []text) *Table {
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

// TestOracle compares generated routes with a walk over all rules for all messages: which route each takes, whether two are equal for one,
// and whether one is never taken.
func TestOracle(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 9))
	unclear, hidden, fine := 0, 0, 0
	for n := range 250 {
		patterns := n%3 == 0
		rules := draw(rng, patterns)
		table := table(t, rules)
		pairs, err := table.Ambiguous()
		if err != nil {
			t.Fatal(err)
		}
		taken, equal := map[string]bool{}, false
		everyMessage(classes, fronts, func(m *said) {
			best := first(rules, m)
			if len(best) > 1 {
				equal = true
				if len(pairs) == 0 {
					t.Fatalf("%+v: %+v fits %s and %s alike, and no pair is found", rules, m, best[0].Name, best[1].Name)
				}
				return
			}
			got, want := table.Find(m.message()), ""
			if len(best) > 0 {
				want = best[0].Name
				taken[want] = true
			}
			if (got != nil || want != "") && (got == nil || got.Name != want) {
				t.Fatalf("%+v: %+v takes %+v, want %q", rules, m, got, want)
			}
		})
		if len(pairs) > 0 {
			unclear++
			if p := pairs[0]; !equal && !patterns && table.RouteForAll(p.Messages) == nil {
				t.Fatalf("%+v: %s and %s are said to be equal for %s", rules, p.A.Name, p.B.Name, p.Messages)
			}
			continue
		}
		fine++
		for _, r := range table.rules {
			by := table.ShadowedBy(r, classes, fronts)
			if len(by) > 0 {
				hidden++
			}
			if len(by) > 0 && taken[r.Name] || len(by) == 0 && !taken[r.Name] && !patterns {
				t.Fatalf("%+v: %s: hidden by %v, and taken %v", rules, r.Name, by, taken[r.Name])
			}
		}
	}
	t.Logf("%d unclear, %d fine, %d hidden", unclear, fine, hidden)
	if min(unclear, hidden, fine) < 10 {
		t.Error("one kind is too rare: the test says little")
	}
}

// TestDiff changes one rule of a table: where any message takes another way its kind is named with both, and else nothing is; order
// and names mean nothing.
func TestDiff(t *testing.T) {
	rng := rand.New(rand.NewPCG(6, 9))
	same, other := 0, 0
	way := func(r *Rule) int { // where a rule leads: three places, by its name
		if r == nil {
			return -1
		}
		return int(r.Name[1]-'0') % 3
	}
	for range 250 {
		rules := draw(rng, false)
		changed := slices.Clone(rules)
		slices.Reverse(changed)
		a := table(t, rules)
		if pairs, _ := a.Ambiguous(); len(pairs) > 0 {
			continue
		}
		if d := Diff(a, table(t, changed), 1000, way); len(d) > 0 {
			t.Fatalf("%+v: only the order differs: %+v", rules, d)
		}
		switch i := rng.IntN(len(changed)); rng.IntN(4) {
		case 0:
			changed = slices.Delete(changed, i, i+1)
		case 1:
			changed[i].Name = fmt.Sprint("r", rng.IntN(9))
		case 2:
			changed[i].Order = rng.IntN(3) - 1
		case 3:
			changed[i] = draw(rng, false)[0]
		}
		b := table(t, changed)
		if pairs, _ := b.Ambiguous(); len(pairs) > 0 {
			continue
		}
		d := Diff(a, b, 1000, way)
		differs := false
		everyMessage(append(classes, "unnamed"), append(fronts, "unnamed"), func(m *said) {
			x, y := a.Find(m.message()), b.Find(m.message())
			if way(x) == way(y) {
				return
			}
			differs = true
			if !slices.ContainsFunc(d, func(c Change) bool { return way(c.Old) == way(x) && way(c.New) == way(y) && holds(c.Messages, m) }) {
				t.Fatalf("%+v to %+v: %+v goes from %d to %d, and only this is said: %+v", rules, changed, m, way(x), way(y), d)
			}
		})
		if !differs && len(d) > 0 {
			t.Fatalf("%+v to %+v: nothing differs, and this is said: %v", rules, changed, d[0].Messages)
		}
		if differs {
			other++
		} else {
			same++
		}
	}
	t.Logf("%d without effect, %d with", same, other)
	if min(same, other) < 10 {
		t.Error("one kind is too rare: the test says little")
	}
}

// holds tells whether a message is one of some.
func holds(s *MessageSet, m *said) bool {
	if s.HasDestination && s.Destination != m.dest || s.Class != "" && s.Class != m.class || s.Front != "" && s.Front != m.front {
		return false
	}
	for name, all := range s.Fields {
		for _, want := range all {
			if v, there := m.fields[name]; !there || !want.fits(v) {
				return false
			}
		}
	}
	return true
}

// TestPatterns: what implies and meets another is so for every word.
func TestPatterns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		form := rapid.SampledFrom([]string{"p", "q", "pq", "p*", "pq*", "*", "/p+/", "/[pq]*/", "/p|qq/"})
		a, _ := ParseMatch(form.Draw(t, "a"))
		b, _ := ParseMatch(form.Draw(t, "b"))
		for _, w := range words {
			if a.implies(b) && a.fits(w) && !b.fits(w) {
				t.Fatalf("%s implies %s, and %q fits the first alone", a, b, w)
			}
			if a.fits(w) && b.fits(w) && !a.meets(b) {
				t.Fatalf("%s and %s meet in %q", a, b, w)
			}
		}
	})
	for text, want := range map[string]string{"": "empty", "/(/": "missing closing", strings.Repeat("x", MaxTextLen+1): "at most"} {
		if _, err := ParseMatch(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.9q: %v, want %q", text, err, want)
		}
	}
}

// TestTooMuch: what would cost each message too much, or can't be told in bounded time, is refused.
func TestTooMuch(t *testing.T) {
	var rules []Rule
	for n := range MaxForms + 1 {
		m, _ := ParseMatch(strings.Repeat("p", n+1) + "*")
		rules = append(rules, Rule{Name: fmt.Sprint(n), Fields: []Field{{"x", m}}})
	}
	if _, err := New(rules); err == nil {
		t.Error("so many forms are taken")
	}
	if _, err := New([]Rule{{Fields: make([]Field, MaxFields+1)}}); err == nil {
		t.Error("so many fields are taken")
	}
	rules = nil
	for n := range MaxFieldNames + 1 {
		m, _ := ParseMatch("x")
		rules = append(rules, Rule{Name: fmt.Sprint(n), Fields: []Field{{fmt.Sprint("f", n), m}}})
	}
	if _, err := New(rules); err == nil || !strings.Contains(err.Error(), `route "32" names the field "f32"`) {
		t.Errorf("so many names: %v", err)
	}
	// A field is looked for once, however many forms name it, and a long value is no work for expressions.
	p, _ := ParseMatch("/p*/")
	rules = []Rule{{Name: "p", Fields: []Field{{"x", p}}}}
	for n := range 100 {
		m, _ := ParseMatch(strings.Repeat("q", n+1) + "*")
		rules = append(rules, Rule{Name: fmt.Sprint(n), Fields: []Field{{"x", m}}})
	}
	some, err := New(rules)
	if err != nil {
		t.Fatal(err)
	}
	looks, size := 0, MaxValueLen
	m := &Message{Field: func(string) (string, bool) { looks++; return strings.Repeat("p", size), true }}
	if got := some.Find(m); got == nil || got.Name != "p" || looks != 1 {
		t.Errorf("%v after %d looks", got, looks)
	}
	if size++; some.Find(m) != nil {
		t.Error("a longer value fits an expression")
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
		t.Error("20,000 patterns for the same messages are told apart")
	}
}

// BenchmarkFind: what a message costs does not grow with the routes, only with their forms.
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
