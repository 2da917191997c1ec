package route

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// MessageSet is the messages that are alike in what is said here and may hold anything else: a class of its own, no destination that
// any route names, and so on, where nothing is said.
type MessageSet struct {
	Front, Class   string
	Destination    int
	HasDestination bool               // the destination is
	Fields         map[string][]Match // of each, all hold
}

func (s *MessageSet) String() string {
	return describe(s.Class, fmt.Sprint(s.Destination), s.HasDestination, s.Front, s.Fields)
}

// fieldsWithin tells whether the fields of all of them fit a rule.
func (s *MessageSet) fieldsWithin(r *Rule) bool {
	for _, f := range r.Fields {
		if !slices.ContainsFunc(s.Fields[f.Name], func(m Match) bool { return m.implies(f.Match) }) {
			return false
		}
	}
	return true
}

// RouteForAll returns the route that all of them take; nil if there is none, or none is known to be.
func (t *Table) RouteForAll(s *MessageSet) *Rule {
	for _, g := range t.groups {
		if r := g.whole(s); r != nil {
			return r
		}
	}
	return nil
}

// whole finds a rule of a form that all of them fit.
func (g *group) whole(s *MessageSet) *Rule {
	if g.dest && !s.HasDestination || g.class && s.Class == "" || g.front && s.Front == "" {
		return nil
	}
	texts := make([]string, len(g.fields))
	for n, p := range g.fields {
		known := false
		for _, m := range s.Fields[p.name] {
			switch {
			case p.kind == pattern:
				known = true // looked at below
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
	for _, r := range g.by[string(g.key(nil, s.Class, s.Destination, s.Front, func(n int) string { return texts[n] }))] {
		if s.fieldsWithin(r) {
			return r
		}
	}
	return nil
}

// ShadowedBy returns the routes that take all messages of a rule before it, if it never matches. Where classes and fronts are given there are no
// others.
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
			if first = g.whole(s); first != nil {
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

// AmbiguousPair is two routes of equal rank that fit one message.
type AmbiguousPair struct {
	A, B     *Rule
	Messages *MessageSet
}

// mostPairs bounds what is said at once, and mostLooks what it takes.
const (
	mostPairs = 100
	mostLooks = 20_000_000
)

// Ambiguous lists routes of equal rank that fit one message, 100 pairs at most. An error says that there are too many patterns
// to tell.
func (t *Table) Ambiguous() (list []AmbiguousPair, err error) {
	looks := 0
	for i, a := range t.groups {
		for _, b := range t.groups[i:] {
			if compareRank(&a.form, &b.form) != 0 {
				break
			}
			err := ambiguous(a, b, &list, &looks)
			if err != nil || len(list) >= mostPairs {
				return list, err
			}
		}
	}
	return list, nil
}

// ambiguous compares the routes of two forms of one rank, or of one form. They meet if they agree on what both name; what both
// name and can be compared by a look-up is one.
func ambiguous(a, b *group, list *[]AmbiguousPair, looks *int) error {
	by := map[string][]*Rule{}
	for _, r := range b.sorted() {
		for c := range r.cells() {
			key := string(project(nil, r, c, a, b))
			if !slices.Contains(by[key], r) {
				by[key] = append(by[key], r)
			}
			if *looks += len(by[key]); *looks > mostLooks {
				return errTooMany
			}
		}
	}
	told := map[[2]*Rule]bool{}
	for _, r := range a.sorted() {
		for c := range r.cells() {
			for _, o := range by[string(project(nil, r, c, b, a))] {
				if *looks++; *looks > mostLooks {
					return errTooMany
				}
				if r == o || a == b && r.Name >= o.Name || told[[2]*Rule{r, o}] {
					continue
				}
				fields, meet := join(r, o)
				if !meet {
					continue
				}
				told[[2]*Rule{r, o}] = true
				*list = append(*list, AmbiguousPair{r, o, &MessageSet{c.front, c.class, c.dest, a.dest, fields}})
				if len(*list) >= mostPairs {
					return nil
				}
			}
		}
	}
	return nil
}

var errTooMany = fmt.Errorf("the routes have too many patterns and prefixes on the same messages to tell which of them are equal: give them different classes, destinations or orders")

// sorted has each rule of a group once, in the order of names.
func (g *group) sorted() []*Rule {
	seen := map[*Rule]bool{}
	for _, list := range g.by {
		for _, r := range list {
			seen[r] = true
		}
	}
	return slices.SortedFunc(maps.Keys(seen), func(a, b *Rule) int { return strings.Compare(a.Name, b.Name) })
}

// project is the part of what a rule names that another form names too, as far as equal texts are needed for them to meet.
func project(buf []byte, r *Rule, c cell, other, own *group) []byte {
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
		case o.kind == prefix: // shorter than that it can't meet it: it stays as it is, and finds none
			text = text[:min(len(text), o.length)]
		default:
		}
		buf = appendText(buf, text)
	}
	return buf
}

// join is what the fields of a message hold that fits two rules; meet is false if there is none.
func join(a, b *Rule) (fields map[string][]Match, meet bool) {
	for _, f := range a.Fields { // first, as most don't
		for _, o := range b.Fields {
			if f.Name == o.Name && !f.meets(o.Match) {
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
