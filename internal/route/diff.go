package route

import (
	"slices"
	"strings"
)

// Change is a set of messages whose route leads to another target.
type Change struct {
	Messages *MessageSet
	Old, New *Rule // nil for none
	// Truncated is set if more sets of messages that match this and other routes have changed than are listed.
	Truncated bool
}

// Diff lists the sets of messages whose route leads to another target in b than in a. Names, positions and texts of routes don't count; target
// returns a number for what a route leads to (also for nil). Diff lists the widest sets, and narrower ones only if their change is a different
// one; of the sets that match one route and others it lists at most 20. It stops at the limit.
//
// Diff misses no change: take a message whose target changes, from the rule r of a to the rule s of b. It is in the set of messages that match
// both. Any rule that matches the whole set matches the message too, so that r and s take precedence for the set as they do for the message.
// If r is s, the rule leads to another target now. Otherwise one of them is in one table only or its order differs: if both were in both tables,
// unchanged, the same one would take precedence in both.
func Diff(a, b *Table, limit int, target func(*Rule) int) (list []Change) {
	before, after := a.ruleCells(), b.ruleCells()
	seen := map[string]bool{}
	listed := map[[2]int][]*MessageSet{}
	compare := func(s *MessageSet) {
		if len(list) >= limit {
			return
		}
		if text := s.String(); seen[text] {
			return
		} else {
			seen[text] = true
		}
		x, y := a.RouteForAll(s), b.RouteForAll(s)
		targets := [2]int{target(x), target(y)}
		if targets[0] == targets[1] || slices.ContainsFunc(listed[targets][:min(len(listed[targets]), maxSupersets)], s.isSubsetOf) { // or listed already for a set that includes this one
			return
		}
		listed[targets] = append(listed[targets], s)
		list = append(list, Change{Messages: s, Old: x, New: y})
	}
	var all, moved, ranked []ruleCell
	for _, p := range sortedCells(before) {
		p.oldRule, p.newRule = p.rule, after[p.key].rule
		all = append(all, p)
		if p.newRule == nil || p.oldRule.Order != p.newRule.Order {
			ranked = append(ranked, p)
		}
		if p.newRule == nil || target(p.oldRule) != target(p.newRule) || p.oldRule.Order != p.newRule.Order {
			moved = append(moved, p)
		}
	}
	for _, p := range sortedCells(after) {
		if _, known := before[p.key]; !known {
			p.newRule = p.rule
			all = append(all, p)
			moved = append(moved, p)
			ranked = append(ranked, p)
		}
	}
	// One must take precedence in a and the other in b.
	pair := func(p, o ruleCell) {
		if len(list) < limit && (p.oldRule != nil && o.newRule != nil && target(p.oldRule) != target(o.newRule) || o.oldRule != nil && p.newRule != nil && target(o.oldRule) != target(p.newRule)) {
			p.compareOverlap(o, compare)
		}
	}
	for _, p := range moved {
		compare(p.messageSet())
	}
	// Sets that match two of them are found by destination, since most rules name one.
	byDest := map[int][]ruleCell{}
	var anywhere []ruleCell
	for _, p := range all {
		if len(p.rule.Destinations) > 0 {
			byDest[p.cell.dest] = append(byDest[p.cell.dest], p)
		} else {
			anywhere = append(anywhere, p)
		}
	}
	for _, p := range ranked {
		others := [][]ruleCell{all}
		if len(p.rule.Destinations) > 0 {
			others = [][]ruleCell{byDest[p.cell.dest], anywhere}
		}
		start := len(list)
	perRule:
		for _, candidates := range others {
			for _, o := range candidates {
				if pair(p, o); len(list)-start >= maxPerRoute {
					list = append(list, Change{Messages: p.messageSet(), Truncated: true})
					break perRule
				}
			}
		}
	}
	return list
}

// maxSupersets limits how many listed sets are checked for including a narrower one, which then need not be listed.
const maxSupersets = 64

// maxPerRoute limits how many sets are listed of messages that match one route and others.
const maxPerRoute = 20

// ruleCell is one cell of a rule.
type ruleCell struct {
	rule             *Rule
	cell             cell
	key              string // equal for equal sets of messages
	oldRule, newRule *Rule  // the rules with this cell in the old and the new table; nil for none
}

func (t *Table) ruleCells() map[string]ruleCell {
	m := map[string]ruleCell{}
	for _, r := range t.rules {
		for c := range r.cells() {
			p := ruleCell{rule: r, cell: c}
			p.key = p.messageSet().String()
			if o, duplicate := m[p.key]; !duplicate || r.Order < o.rule.Order { // the other one never applies
				m[p.key] = p
			}
		}
	}
	return m
}

func sortedCells(m map[string]ruleCell) []ruleCell {
	list := make([]ruleCell, 0, len(m))
	for _, p := range m {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b ruleCell) int {
		x, y := a.rule.form(), b.rule.form()
		if n := -compareRank(&x, &y); n != 0 { // the widest sets first
			return n
		}
		return strings.Compare(a.key, b.key)
	})
	return list
}

func (p *ruleCell) messageSet() *MessageSet {
	s := &MessageSet{Front: p.cell.front, Class: p.cell.class, Destination: p.cell.dest, HasDestination: len(p.rule.Destinations) > 0, Fields: map[string][]Match{}}
	for _, f := range p.rule.Fields {
		s.Fields[f.Name] = []Match{f.Match}
	}
	return s
}

// compareOverlap calls compare with the set of messages that match two cells, if it is not empty.
func (p *ruleCell) compareOverlap(o ruleCell, compare func(*MessageSet)) {
	s := &MessageSet{Front: p.cell.front, Class: p.cell.class, Destination: p.cell.dest, HasDestination: len(p.rule.Destinations) > 0}
	switch {
	case len(o.rule.Destinations) == 0:
	case s.HasDestination && s.Destination != o.cell.dest:
		return
	default:
		s.Destination, s.HasDestination = o.cell.dest, true
	}
	if !narrow(&s.Class, o.cell.class) || !narrow(&s.Front, o.cell.front) {
		return
	}
	fields, overlap := intersect(p.rule, o.rule)
	if !overlap {
		return
	}
	s.Fields = fields
	compare(s)
}

func narrow(have *string, other string) bool {
	if *have == "" {
		*have = other
	}
	return other == "" || *have == other
}

// isSubsetOf reports whether o includes all messages of s.
func (s *MessageSet) isSubsetOf(o *MessageSet) bool {
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
