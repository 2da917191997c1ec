// Package route selects the route of a message: the most specific one that matches it. It does no I/O and keeps no state
// except the routes themselves.
//
// Of the routes that match a message, the one with the lowest order takes precedence; then the one that names the most fields;
// then the one that matches the most fields exactly; then the one with the greatest total length of prefixes; then one that names
// destinations, one that names classes, and one that names fronts. [Table.Ambiguous] finds routes of equal rank that match the
// same message; such a table must not be used.
package route

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// Limits of routes.
const (
	MaxFields     = 8    // fields per route
	MaxNameLen    = 64   // length of a field's name in bytes
	MaxTextLen    = 512  // length of a match in bytes
	MaxFieldNames = 32   // different fields of all routes together: each is looked up once per message
	MaxValueLen   = 1024 // length in bytes of a value that regular expressions are applied to: they match no longer one
	MaxForms      = 256  // different forms of routes: each message is looked up once per form
	MaxOrder      = 1000 // the least order is -MaxOrder
)

// Message is the part of a message that routing depends on.
type Message struct {
	Front       string
	Class       string
	Destination int
	Field       func(name string) (value string, ok bool)
}

// Rule is one route. It matches any value of what it does not name.
type Rule struct {
	Name         string
	Order        int
	Fronts       []string
	Classes      []string
	Destinations []int
	Fields       []Field // each name at most once
}

// Field is a field that must be present, and what its value must match.
type Field struct {
	Name string
	Match
}

// kind is the way in which a value is matched.
type kind byte

const (
	exact kind = iota
	prefix
	pattern
)

// Match is a condition on the value of a field.
type Match struct {
	kind kind
	text string
	re   *regexp.Regexp
}

// ParseMatch parses a match: /x/ is a regular expression (RE2) for the whole value, x* is a prefix, and anything else is the exact value.
func ParseMatch(text string) (Match, error) {
	switch {
	case len(text) > MaxTextLen:
		return Match{}, fmt.Errorf("the match has %d bytes; at most %d are allowed", len(text), MaxTextLen)
	case text == "":
		return Match{}, errors.New(`the match is empty: write "*" for any value`)
	case len(text) > 1 && text[0] == '/' && text[len(text)-1] == '/':
		re, err := regexp.Compile(`\A(?:` + text[1:len(text)-1] + `)\z`)
		if err != nil {
			return Match{}, err
		}
		return Match{pattern, text, re}, nil
	case text[len(text)-1] == '*':
		return Match{kind: prefix, text: text[:len(text)-1]}, nil
	}
	return Match{kind: exact, text: text}, nil
}

func (m Match) String() string {
	if m.kind == prefix {
		return m.text + "*"
	}
	return m.text
}

// matches reports whether a value satisfies the match.
func (m Match) matches(value string) bool {
	switch m.kind {
	case prefix:
		return strings.HasPrefix(value, m.text)
	case pattern:
		return m.re.MatchString(value)
	}
	return value == m.text
}

// implies reports whether every value that m matches is matched by o. For two patterns this is known only if they are the same.
func (m Match) implies(o Match) bool {
	switch {
	case m.kind == exact:
		return o.matches(m.text)
	case o.kind == prefix && o.text == "":
		return true
	case m.kind == pattern || o.kind == pattern:
		return m.kind == o.kind && m.text == o.text
	}
	return o.kind == prefix && strings.HasPrefix(m.text, o.text)
}

// overlaps reports whether some value may match both. For a pattern and a match that is not exact it is assumed.
func (m Match) overlaps(o Match) bool {
	switch {
	case m.kind == exact:
		return o.matches(m.text)
	case o.kind == exact:
		return m.matches(o.text)
	case m.kind == pattern || o.kind == pattern:
		return true
	}
	return strings.HasPrefix(m.text, o.text) || strings.HasPrefix(o.text, m.text)
}

// form is what a route names, without the values. All routes of one form have the same rank.
type form struct {
	order              int
	dest, class, front bool
	fields             []formField // by name
}

type formField struct {
	name   string
	kind   kind
	length int // of a prefix, in bytes
	index  int // in Table.fieldNames
}

// rank returns the precedence of the form: the lower one takes precedence.
func (f *form) rank() [7]int {
	exacts, lengths := 0, 0
	for _, p := range f.fields {
		if p.kind == exact {
			exacts++
		}
		lengths += p.length
	}
	return [7]int{f.order, -len(f.fields), -exacts, -lengths, -boolToInt(f.dest), -boolToInt(f.class), -boolToInt(f.front)}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// identity returns a text that differs between different forms.
func (f *form) identity() string {
	text := fmt.Appendf(nil, "%d %v %v %v", f.order, f.dest, f.class, f.front)
	for _, p := range f.fields {
		text = fmt.Appendf(text, " %q %d %d", p.name, p.kind, p.length)
	}
	return string(text)
}

// group is the routes of one form, indexed by the values that they name, so that finding one takes one look-up however many there are.
type group struct {
	form
	byKey map[string][]*Rule // several rules have the same key only if the form has patterns
}

// Table finds the route of a message.
type Table struct {
	groups     []*group // in the order of their rank
	fieldNames []string // names of the fields of all routes
	rules      []*Rule
}

// Error reports a problem with one route.
type Error struct{ Route, Problem string }

func (e *Error) Error() string { return fmt.Sprintf("route %q %s", e.Route, e.Problem) }

// New makes a Table. It returns an error if there are too many fields or forms.
func New(rules []Rule) (*Table, error) {
	t := &Table{}
	forms := map[string]*group{}
	for i := range rules {
		r := &rules[i]
		if len(r.Fields) > MaxFields {
			return nil, &Error{r.Name, fmt.Sprintf("names %d fields; at most %d are allowed", len(r.Fields), MaxFields)}
		}
		t.rules = append(t.rules, r)
		f := r.form()
		identity := f.identity()
		g := forms[identity]
		if g == nil {
			if len(forms) == MaxForms {
				return nil, &Error{r.Name, fmt.Sprintf("exceeds the limit of %d different forms of routes: each message is looked up once per form", MaxForms)}
			}
			for n := range f.fields {
				name := f.fields[n].name
				index := slices.Index(t.fieldNames, name)
				if index < 0 {
					if index = len(t.fieldNames); index == MaxFieldNames {
						return nil, &Error{r.Name, fmt.Sprintf("names the field %q, which exceeds the limit of %d different fields of all routes", name, MaxFieldNames)}
					}
					t.fieldNames = append(t.fieldNames, name)
				}
				f.fields[n].index = index
			}
			g = &group{form: f, byKey: map[string][]*Rule{}}
			forms[identity] = g
			t.groups = append(t.groups, g)
		}
		for c := range r.cells() {
			key := string(g.key(nil, c.class, c.dest, c.front, func(n int) string { return r.Fields[n].text }))
			if !slices.Contains(g.byKey[key], r) { // the rule may name a class more than once
				g.byKey[key] = append(g.byKey[key], r)
			}
		}
	}
	slices.SortStableFunc(t.groups, func(a, b *group) int {
		x, y := a.rank(), b.rank()
		return slices.Compare(x[:], y[:])
	})
	return t, nil
}

// form returns the form of a rule, and sorts its fields by name.
func (r *Rule) form() form {
	r.Fields = slices.Clone(r.Fields)
	slices.SortFunc(r.Fields, func(a, b Field) int { return strings.Compare(a.Name, b.Name) })
	f := form{order: r.Order, dest: len(r.Destinations) > 0, class: len(r.Classes) > 0, front: len(r.Fronts) > 0}
	for _, p := range r.Fields {
		n := 0
		if p.kind == prefix {
			n = len(p.text)
		}
		f.fields = append(f.fields, formField{name: p.Name, kind: p.kind, length: n})
	}
	return f
}

// cell is one combination of the class, destination and front that a route names.
type cell struct {
	class string
	dest  int
	front string
}

// cells iterates over the cells of a rule; what the rule does not name is empty.
func (r *Rule) cells() func(yield func(cell) bool) {
	return func(yield func(cell) bool) {
		for _, class := range orAny(r.Classes) {
			for _, dest := range orAny(r.Destinations) {
				for _, front := range orAny(r.Fronts) {
					if !yield(cell{class, dest, front}) {
						return
					}
				}
			}
		}
	}
}

func orAny[T any](list []T) []T {
	if len(list) == 0 {
		return make([]T, 1)
	}
	return list
}

// key returns the key of a combination of values in a group of this form. field returns the value for the form's nth field.
func (f *form) key(buf []byte, class string, dest int, front string, field func(n int) string) []byte {
	if f.dest {
		buf = binary.AppendVarint(buf, int64(dest))
	}
	if f.class {
		buf = appendText(buf, class)
	}
	if f.front {
		buf = appendText(buf, front)
	}
	for n, p := range f.fields {
		if p.kind != pattern {
			buf = appendText(buf, field(n))
		}
	}
	return buf
}

func appendText(buf []byte, text string) []byte {
	return append(binary.AppendUvarint(buf, uint64(len(text))), text...)
}

// Find returns the route of a message, or nil if none matches.
func (t *Table) Find(m *Message) *Rule {
	var buf [256]byte
	var values [MaxFields]string
	var entries [MaxFieldNames]struct {
		value             string
		present, lookedUp bool
	}
nextGroup:
	for _, g := range t.groups {
		for n, p := range g.fields {
			entry := &entries[p.index]
			if !entry.lookedUp {
				entry.value, entry.present = m.Field(p.name)
				entry.lookedUp = true
			}
			v := entry.value
			if !entry.present || p.kind == prefix && len(v) < p.length {
				continue nextGroup
			}
			values[n] = v
		}
		key := g.key(buf[:0], m.Class, m.Destination, m.Front, func(n int) string {
			if p := g.fields[n]; p.kind == prefix {
				return values[n][:p.length]
			}
			return values[n]
		})
		for _, r := range g.byKey[string(key)] {
			if r.patternsMatch(values[:]) {
				return r
			}
		}
	}
	return nil
}

func (r *Rule) patternsMatch(values []string) bool {
	for n, p := range r.Fields {
		if p.kind == pattern && (len(values[n]) > MaxValueLen || !p.matches(values[n])) {
			return false
		}
	}
	return true
}

// Rules returns the routes in the order in which they were passed to New.
func (t *Table) Rules() []*Rule { return t.rules }

// Len returns the number of routes.
func (t *Table) Len() int { return len(t.rules) }

func compareRank(a, b *form) int {
	x, y := a.rank(), b.rank()
	return slices.Compare(x[:], y[:])
}

func describe(classes, dests string, named bool, fronts string, fields map[string][]Match) string {
	text := "messages of class " + cmp.Or(classes, "any")
	if named {
		text += " for destination " + dests
	}
	if fronts != "" {
		text += " from " + fronts
	}
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		for _, m := range fields[name] {
			text += fmt.Sprintf(" with %s %s", name, m)
		}
	}
	return text
}
