package route

import (
	"slices"
	"strings"
)

// Change is messages that go elsewhere.
type Change struct {
	Messages *MessageSet
	Old, New *Rule // nil: none
	// Truncated tells that more kinds of those that fit this and other routes go elsewhere than were listed.
	Truncated bool
}

// Diff lists the messages that take another way by b than by a: names, order and the text of routes mean nothing, and way tells the place that a
// route leads to (nil leads somewhere, too). It names the widest kinds of messages, and only those narrower ones for which the change is
// another one; of those that fit one route and others, 20. It ends when it has found most of them.
//
// That nothing is missed: take a message whose way changes, by the rule r of a and s of b. It is one of the kind that fits both.
// Any rule that the whole kind fits, the message fits too, so that r and s are first for the kind as they are for the message.
// If r is s, it leads elsewhere now; else one of them is in one table only or has another order: had both been there in both, as they are,
// one of them would have been first in both.
func Diff(a, b *Table, most int, way func(*Rule) int) (list []Change) {
	before, after := a.parts(), b.parts()
	said := map[string]bool{}
	told := map[[2]int][]*MessageSet{}
	look := func(s *MessageSet) {
		if len(list) >= most {
			return
		}
		if text := s.String(); said[text] {
			return
		} else {
			said[text] = true
		}
		x, y := a.RouteForAll(s), b.RouteForAll(s)
		ways := [2]int{way(x), way(y)}
		if ways[0] == ways[1] || slices.ContainsFunc(told[ways][:min(len(told[ways]), mostInside)], s.inside) { // or said of all that are like these
			return
		}
		told[ways] = append(told[ways], s)
		list = append(list, Change{Messages: s, Old: x, New: y})
	}
	var both, moved, ranked []part
	for _, p := range sortedParts(before) {
		p.old, p.new = p.rule, after[p.key].rule
		both = append(both, p)
		if p.new == nil || p.old.Order != p.new.Order {
			ranked = append(ranked, p)
		}
		if p.new == nil || way(p.old) != way(p.new) || p.old.Order != p.new.Order {
			moved = append(moved, p)
		}
	}
	for _, p := range sortedParts(after) {
		if _, known := before[p.key]; !known {
			p.new = p.rule
			both = append(both, p)
			moved = append(moved, p)
			ranked = append(ranked, p)
		}
	}
	// One must be first by a and the other by b.
	pair := func(p, o part) {
		if len(list) < most && (p.old != nil && o.new != nil && way(p.old) != way(o.new) || o.old != nil && p.new != nil && way(o.old) != way(p.new)) {
			p.meet(o, look)
		}
	}
	for _, p := range moved {
		look(p.some())
	}
	// What fits two of them, by destination: most name one.
	byDest := map[int][]part{}
	var anywhere []part
	for _, p := range both {
		if len(p.rule.Destinations) > 0 {
			byDest[p.cell.dest] = append(byDest[p.cell.dest], p)
		} else {
			anywhere = append(anywhere, p)
		}
	}
	for _, p := range ranked {
		others := [][]part{both}
		if len(p.rule.Destinations) > 0 {
			others = [][]part{byDest[p.cell.dest], anywhere}
		}
		had := len(list)
	one:
		for _, some := range others {
			for _, o := range some {
				if pair(p, o); len(list)-had >= mostOfOne {
					list = append(list, Change{Messages: p.some(), Truncated: true})
					break one
				}
			}
		}
	}
	return list
}

// mostInside bounds how many kinds are looked at that a narrower one may be inside of, so that it need not be said.
const mostInside = 64

// mostOfOne bounds what is listed of the messages that fit one route and others.
const mostOfOne = 20

// part is one cell of a rule.
type part struct {
	rule     *Rule
	cell     cell
	key      string // the same for the same messages
	old, new *Rule  // that have it; nil: none
}

func (t *Table) parts() map[string]part {
	m := map[string]part{}
	for _, r := range t.rules {
		for c := range r.cells() {
			p := part{rule: r, cell: c}
			p.key = p.some().String()
			if o, twice := m[p.key]; !twice || r.Order < o.rule.Order { // the other is never taken
				m[p.key] = p
			}
		}
	}
	return m
}

func sortedParts(m map[string]part) []part {
	list := make([]part, 0, len(m))
	for _, p := range m {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b part) int {
		x, y := a.rule.form(), b.rule.form()
		if n := -compareRank(&x, &y); n != 0 { // the widest first
			return n
		}
		return strings.Compare(a.key, b.key)
	})
	return list
}

func (p *part) some() *MessageSet {
	s := &MessageSet{Front: p.cell.front, Class: p.cell.class, Destination: p.cell.dest, HasDestination: len(p.rule.Destinations) > 0, Fields: map[string][]Match{}}
	for _, f := range p.rule.Fields {
		s.Fields[f.Name] = []Match{f.Match}
	}
	return s
}

// meet looks at the messages that fit two parts, if there are any and they are not all of one.
func (p *part) meet(o part, look func(*MessageSet)) {
	s := &MessageSet{Front: p.cell.front, Class: p.cell.class, Destination: p.cell.dest, HasDestination: len(p.rule.Destinations) > 0}
	switch {
	case len(o.rule.Destinations) == 0:
	case s.HasDestination && s.Destination != o.cell.dest:
		return
	default:
		s.Destination, s.HasDestination = o.cell.dest, true
	}
	if !agree(&s.Class, o.cell.class) || !agree(&s.Front, o.cell.front) {
		return
	}
	fields, meet := join(p.rule, o.rule)
	if !meet {
		return
	}
	s.Fields = fields
	look(s)
}

func agree(have *string, other string) bool {
	if *have == "" {
		*have = other
	}
	return other == "" || *have == other
}

// inside tells whether all of s are of a wider kind.
func (s *MessageSet) inside(o *MessageSet) bool {
	if o.HasDestination && (!s.HasDestination || s.Destination != o.Destination) || o.Class != "" && s.Class != o.Class || o.Front != "" && s.Front != o.Front {
		return false
	}
	for name, all := range o.Fields {
		for _, m := range all {
			if !slices.ContainsFunc(s.Fields[name], func(own Match) bool { return own.implies(m) }) {
				return false
			}
		}
	}
	return true
}
