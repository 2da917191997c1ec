// Package route decides which route a message takes: the most specific one that it fits. It does no I/O and keeps no state but
// the routes themselves.
//
// Of two routes that fit a message the one with the lower order goes first; then the one that names more fields; then, of
// those, the one that names more of them exactly; then the one whose prefixes are longer together; then one that names
// destinations, one that names classes, one that names fronts. Two that are still equal and fit one message are found by
// [Table.Ambiguous], and must not be used.
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

// Bounds of routes.
const (
	MaxFields     = 8    // of one route
	MaxNameLen    = 64   // bytes of a field's name
	MaxTextLen    = 512  // bytes of what is looked for in one
	MaxFieldNames = 32   // different fields of all routes: each is looked for once in a message
	MaxValueLen   = 1024 // bytes of a value that expressions look at: a longer one fits none
	MaxForms      = 256  // forms of routes: each message is looked up once in each
	MaxOrder      = 1000 // and not below its negative
)

// Message is what of a message says where it goes.
type Message struct {
	Front       string
	Class       string
	Destination int
	Field       func(name string) (value string, there bool)
}

// Rule is one route. What it does not name may be anything.
type Rule struct {
	Name         string
	Order        int
	Fronts       []string
	Classes      []string
	Destinations []int
	Fields       []Field // each name once
}

// Field is one field that must be there, and what it must hold.
type Field struct {
	Name string
	Match
}

// kind is how a field is looked at.
type kind byte

const (
	exact kind = iota
	prefix
	pattern
)

// Match is what a field must hold.
type Match struct {
	kind kind
	text string
	re   *regexp.Regexp
}

// ParseMatch reads a match: /x/ is a regular expression (RE2) for the whole value, x* a prefix, and all else the value itself.
func ParseMatch(text string) (Match, error) {
	switch {
	case len(text) > MaxTextLen:
		return Match{}, fmt.Errorf("a text of %d bytes is looked for; at most %d", len(text), MaxTextLen)
	case text == "":
		return Match{}, errors.New(`an empty text is looked for: write "*" for any value`)
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

// fits tells whether a value is what is looked for.
func (m Match) fits(value string) bool {
	switch m.kind {
	case prefix:
		return strings.HasPrefix(value, m.text)
	case pattern:
		return m.re.MatchString(value)
	}
	return value == m.text
}

// implies tells whether each value that fits m fits o. Of two patterns that is known only if they are the same.
func (m Match) implies(o Match) bool {
	switch {
	case m.kind == exact:
		return o.fits(m.text)
	case o.kind == prefix && o.text == "":
		return true
	case m.kind == pattern || o.kind == pattern:
		return m.kind == o.kind && m.text == o.text
	}
	return o.kind == prefix && strings.HasPrefix(m.text, o.text)
}

// meets tells whether one value may fit both. Of a pattern and what is not exact that is taken for true.
func (m Match) meets(o Match) bool {
	switch {
	case m.kind == exact:
		return o.fits(m.text)
	case o.kind == exact:
		return m.fits(o.text)
	case m.kind == pattern || o.kind == pattern:
		return true
	}
	return strings.HasPrefix(m.text, o.text) || strings.HasPrefix(o.text, m.text)
}

// form is what a route names, without what it holds. All routes of one form have one rank.
type form struct {
	order              int
	dest, class, front bool
	fields             []formField // by name
}

type formField struct {
	name   string
	kind   kind
	length int // of a prefix
	at     int // in the table's names
}

// rank compares as forms go: the lower one first.
func (f *form) rank() [7]int {
	exacts, lengths := 0, 0
	for _, p := range f.fields {
		if p.kind == exact {
			exacts++
		}
		lengths += p.length
	}
	return [7]int{f.order, -len(f.fields), -exacts, -lengths, -one(f.dest), -one(f.class), -one(f.front)}
}

func one(b bool) int {
	if b {
		return 1
	}
	return 0
}

// same tells forms apart.
func (f *form) same() string {
	text := fmt.Appendf(nil, "%d %v %v %v", f.order, f.dest, f.class, f.front)
	for _, p := range f.fields {
		text = fmt.Appendf(text, " %q %d %d", p.name, p.kind, p.length)
	}
	return string(text)
}

// group is the routes of one form, found by what they name: one look-up, however many there are.
type group struct {
	form
	by map[string][]*Rule // more than one only with patterns
}

// Table finds routes.
type Table struct {
	groups []*group // as they go
	names  []string // of all fields
	rules  []*Rule
}

// Error is what is wrong with one route.
type Error struct{ Route, Problem string }

func (e *Error) Error() string { return fmt.Sprintf("route %q %s", e.Route, e.Problem) }

// New makes a Table. The error says that there are too many fields or forms.
func New(rules []Rule) (*Table, error) {
	t := &Table{}
	forms := map[string]*group{}
	for i := range rules {
		r := &rules[i]
		if len(r.Fields) > MaxFields {
			return nil, &Error{r.Name, fmt.Sprintf("names %d fields; at most %d", len(r.Fields), MaxFields)}
		}
		t.rules = append(t.rules, r)
		f := r.form()
		same := f.same()
		g := forms[same]
		if g == nil {
			if len(forms) == MaxForms {
				return nil, &Error{r.Name, fmt.Sprintf("is of one form more than the %d that there may be: each message is looked up in each", MaxForms)}
			}
			for n := range f.fields {
				name := f.fields[n].name
				at := slices.Index(t.names, name)
				if at < 0 {
					if at = len(t.names); at == MaxFieldNames {
						return nil, &Error{r.Name, fmt.Sprintf("names the field %q, one more than the %d that all routes may name together", name, MaxFieldNames)}
					}
					t.names = append(t.names, name)
				}
				f.fields[n].at = at
			}
			g = &group{form: f, by: map[string][]*Rule{}}
			forms[same] = g
			t.groups = append(t.groups, g)
		}
		for c := range r.cells() {
			key := string(g.key(nil, c.class, c.dest, c.front, func(n int) string { return r.Fields[n].text }))
			if !slices.Contains(g.by[key], r) { // a class named twice is named
				g.by[key] = append(g.by[key], r)
			}
		}
	}
	slices.SortStableFunc(t.groups, func(a, b *group) int {
		x, y := a.rank(), b.rank()
		return slices.Compare(x[:], y[:])
	})
	return t, nil
}

// form sorts the fields, too.
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

// cell is one combination of what a route names.
type cell struct {
	class string
	dest  int
	front string
}

// cells are those of a rule; what it does not name is empty.
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

// key is where routes of a form stand that name this much. field tells the text of the form's nth.
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

// Find returns the route that a message takes; nil if it fits none.
func (t *Table) Find(m *Message) *Rule {
	var buf [256]byte
	var values [MaxFields]string
	var all [MaxFieldNames]struct {
		value         string
		there, looked bool
	}
next:
	for _, g := range t.groups {
		for n, p := range g.fields {
			said := &all[p.at]
			if !said.looked {
				said.value, said.there = m.Field(p.name)
				said.looked = true
			}
			v := said.value
			if !said.there || p.kind == prefix && len(v) < p.length {
				continue next
			}
			values[n] = v
		}
		key := g.key(buf[:0], m.Class, m.Destination, m.Front, func(n int) string {
			if p := g.fields[n]; p.kind == prefix {
				return values[n][:p.length]
			}
			return values[n]
		})
		for _, r := range g.by[string(key)] {
			if r.patternsFit(values[:]) {
				return r
			}
		}
	}
	return nil
}

func (r *Rule) patternsFit(values []string) bool {
	for n, p := range r.Fields {
		if p.kind == pattern && (len(values[n]) > MaxValueLen || !p.fits(values[n])) {
			return false
		}
	}
	return true
}

// Rules are the routes, as they were given.
func (t *Table) Rules() []*Rule { return t.rules }

// Len is the number of routes.
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
