package route

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// MessageSet is the set of messages that have the given front, class, destination and fields. What is not given has a value that no
// route names, such as a class of its own.
type MessageSet struct {
	Front, Class   string
	Destination    int
	HasDestination bool               // the destination is given
	Fields         map[string][]Match // the value of a field satisfies all of its matches
}

func (s *MessageSet) String() string {
	return describe(s.Class, fmt.Sprint(s.Destination), s.HasDestination, s.Front, s.Fields)
}

// fieldsCoveredBy reports whether a rule matches the fields of all messages of the set.
func (s *MessageSet) fieldsCoveredBy(r *Rule) bool {
	for _, f := range r.Fields {
		if !slices.ContainsFunc(s.Fields[f.Name], func(m Match) bool { return m.implies(f.Match) }) {
			return false
		}
	}
	return true
}

// RouteForAll returns the route of all messages of a set, or nil if there is none or it can't be determined.
func (t *Table) RouteForAll(s *MessageSet) *Rule {
	for _, g := range t.groups {
		if r := g.ruleForAll(s); r != nil {
			return r
		}
	}
	return nil
}

// ruleForAll returns a rule of the group that matches all messages of a set.
func (g *group) ruleForAll(s *MessageSet) *Rule {
	if g.dest && !s.HasDestination || g.class && s.Class == "" || g.front && s.Front == "" {
		return nil
	}
	texts := make([]string, len(g.fields))
	for n, p := range g.fields {
		known := false
		for _, m := range s.Fields[p.name] {
			switch {
			case p.kind == pattern:
				known = true // checked by fieldsCoveredBy
			case m.kind == exact && (p.kind == exact || len(m.text) >= p.length):
				texts[n], known = m.text, true
			case m.kind == prefix && p.kind == prefix && len(m.text) >= p.length:
				texts[n], known = m.text, true
			case p.kind == prefix && p.length == 0:
				known = true
			}
		}
		if !known {
			return nil
		}
		if p.kind == prefix {
			texts[n] = texts[n][:p.length]
		}
	}
	for _, r := range g.byKey[string(g.key(nil, s.Class, s.Destination, s.Front, func(n int) string { return texts[n] }))] {
		if s.fieldsCoveredBy(r) {
			return r
		}
	}
	return nil
}

// ShadowedBy returns the routes that take precedence for all messages of a rule, if the rule never applies. If classes and fronts are given,
// no others exist.
func (t *Table) ShadowedBy(r *Rule, classes, fronts []string) (by []*Rule) {
	own := r.form()
	fields := map[string][]Match{}
	for _, f := range r.Fields {
		fields[f.Name] = []Match{f.Match}
	}
	all := *r
	if len(all.Classes) == 0 {
		all.Classes = classes
	}
	if len(all.Fronts) == 0 {
		all.Fronts = fronts
	}
	for c := range all.cells() {
		s := &MessageSet{Front: c.front, Class: c.class, Destination: c.dest, HasDestination: len(r.Destinations) > 0, Fields: fields}
		var first *Rule
		for _, g := range t.groups {
			if compareRank(&g.form, &own) >= 0 {
				break
			}
			if first = g.ruleForAll(s); first != nil {
				break
			}
		}
		if first == nil {
			return nil
		}
		if !slices.Contains(by, first) {
			by = append(by, first)
		}
	}
	return by
}

// AmbiguousPair is two routes of equal rank that match the same messages.
type AmbiguousPair struct {
	A, B     *Rule
	Messages *MessageSet
}

// maxPairs limits the number of reported pairs, and maxComparisons the work to find them.
const (
	maxPairs       = 100
	maxComparisons = 20_000_000
)

// Ambiguous lists pairs of routes of equal rank that match the same message, at most 100 pairs. It returns an error if there are too
// many patterns to determine them.
func (t *Table) Ambiguous() (list []AmbiguousPair, err error) {
	comparisons := 0
	for i, a := range t.groups {
		for _, b := range t.groups[i:] {
			if compareRank(&a.form, &b.form) != 0 {
				break
			}
			err := findAmbiguous(a, b, &list, &comparisons)
			if err != nil || len(list) >= maxPairs {
				return list, err
			}
		}
	}
	return list, nil
}

// findAmbiguous compares the routes of two forms of the same rank, or of one form. Two routes overlap if they agree on what both name;
// those parts that can be compared for equality form a common key, by which the candidates are looked up.
func findAmbiguous(a, b *group, list *[]AmbiguousPair, comparisons *int) error {
	by := map[string][]*Rule{}
	for _, r := range b.sortedRules() {
		for c := range r.cells() {
			key := string(appendCommonKey(nil, r, c, a, b))
			if !slices.Contains(by[key], r) {
				by[key] = append(by[key], r)
			}
			if *comparisons += len(by[key]); *comparisons > maxComparisons {
				return errTooManyPatterns
			}
		}
	}
	listed := map[[2]*Rule]bool{}
	for _, r := range a.sortedRules() {
		for c := range r.cells() {
			for _, o := range by[string(appendCommonKey(nil, r, c, b, a))] {
				if *comparisons++; *comparisons > maxComparisons {
					return errTooManyPatterns
				}
				if r == o || a == b && r.Name >= o.Name || listed[[2]*Rule{r, o}] {
					continue
				}
				fields, overlap := intersect(r, o)
				if !overlap {
					continue
				}
				listed[[2]*Rule{r, o}] = true
				*list = append(*list, AmbiguousPair{r, o, &MessageSet{c.front, c.class, c.dest, a.dest, fields}})
				if len(*list) >= maxPairs {
					return nil
				}
			}
		}
	}
	return nil
}

var errTooManyPatterns = fmt.Errorf("too many routes with patterns and prefixes match the same messages, so that ambiguous routes can't be determined: give them different classes, destinations or orders")

// sortedRules returns each rule of a group once, sorted by name.
func (g *group) sortedRules() []*Rule {
	seen := map[*Rule]bool{}
	for _, list := range g.byKey {
		for _, r := range list {
			seen[r] = true
		}
	}
	return slices.SortedFunc(maps.Keys(seen), func(a, b *Rule) int { return strings.Compare(a.Name, b.Name) })
}

// appendCommonKey appends the values of a rule that another form names too, as far as these must be equal for the rules to overlap.
func appendCommonKey(buf []byte, r *Rule, c cell, other, own *group) []byte {
	if own.dest && other.dest {
		buf = fmt.Appendf(buf, "%d", c.dest)
	}
	if own.class && other.class {
		buf = appendText(buf, c.class)
	}
	if own.front && other.front {
		buf = appendText(buf, c.front)
	}
	for n, p := range own.fields {
		i := slices.IndexFunc(other.fields, func(o formField) bool { return o.name == p.name })
		if i < 0 || p.kind == pattern || other.fields[i].kind == pattern {
			continue
		}
		text := r.Fields[n].text
		switch o := other.fields[i]; {
		case p.kind == exact && o.kind == exact:
		case p.kind == prefix && o.kind == prefix:
			text = text[:min(p.length, o.length)]
		case o.kind == prefix: // a shorter value can't match the prefix: it is kept as it is and finds no candidate
			text = text[:min(len(text), o.length)]
		default:
		}
		buf = appendText(buf, text)
	}
	return buf
}

// intersect returns the conditions on the fields of messages that match both rules; overlap is false if there are no such messages.
func intersect(a, b *Rule) (fields map[string][]Match, overlap bool) {
	for _, f := range a.Fields { // checked first, since most rules don't overlap
		for _, o := range b.Fields {
			if f.Name == o.Name && !f.overlaps(o.Match) {
				return nil, false
			}
		}
	}
	fields = map[string][]Match{}
	for _, f := range a.Fields {
		fields[f.Name] = []Match{f.Match}
	}
	for _, f := range b.Fields {
		if have := fields[f.Name]; len(have) > 0 {
			if have[0].implies(f.Match) {
				continue
			}
			if f.Match.implies(have[0]) {
				fields[f.Name] = nil
			}
		}
		fields[f.Name] = append(fields[f.Name], f.Match)
	}
	return fields, true
}
