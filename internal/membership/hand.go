package membership

import (
	"errors"
	"maps"
	"slices"

	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
)

// What operators say by hand: a source that only withdraws. Its word stands whatever the others list, drop, or list anew.

// mostSeen bounds the names that are remembered after they have left the lists: an operator may mean one of them.
const mostSeen = 1 << 16

// The answers to a name that can't be left out or put back.
var (
	ErrNeverListed     = errors.New("no target of that name was ever listed: see the list for its name")
	ErrTooManyDisabled = errors.New("too many targets are left out by hand: put some back first")
)

// hand is what operators have said by hand.
type hand struct {
	out   map[string]bool   // left out
	back  map[string]uint32 // how often a target was put back
	known map[string]bool   // ever listed, the newest of them
	order []string          // the same, oldest first
}

// seen notes the names of a list.
func (h *hand) seen(l engine.List) {
	if h.known == nil {
		h.out, h.back, h.known = map[string]bool{}, map[string]uint32{}, map[string]bool{}
	}
	for _, e := range l.Endpoints {
		if !h.known[e.ID] {
			h.known[e.ID] = true
			h.order = append(h.order, e.ID)
		}
	}
	for len(h.order) > mostSeen {
		delete(h.known, h.order[0])
		delete(h.back, h.order[0])
		h.order = h.order[1:]
	}
}

// Disable has an endpoint drain until PutBack, and returns what that changes. One that is left out already stays so. What is kept of
// it is stored first, all names that are left out from then on; if that fails nothing is changed.
func (s *Set) Disable(name string, most int, store func([]string) error) (engine.List, error) {
	s.hand.seen(engine.List{})
	switch {
	case !s.listed(name):
		return engine.List{}, ErrNeverListed
	case !s.hand.out[name] && len(s.hand.out) >= most:
		return engine.List{}, ErrTooManyDisabled
	}
	if !s.hand.out[name] {
		if err := store(slices.Sorted(slices.Values(append(s.Disabled(), name)))); err != nil {
			return engine.List{}, err
		}
		s.hand.out[name] = true
	}
	return s.changes(s.named(name)), nil
}

// Enable ends that, and returns what it changes. To put back one that is not left out changes nothing.
func (s *Set) Enable(name string, store func([]string) error) (engine.List, error) {
	s.hand.seen(engine.List{})
	if !s.listed(name) {
		return engine.List{}, ErrNeverListed
	}
	if !s.hand.out[name] {
		return engine.List{Scope: decide.Delta}, nil
	}
	if err := store(slices.DeleteFunc(s.Disabled(), func(n string) bool { return n == name })); err != nil {
		return engine.List{}, err
	}
	delete(s.hand.out, name)
	s.hand.back[name]++
	return s.changes(s.named(name)), nil
}

// listed tells whether a name is known: it is listed, was, or is left out.
func (s *Set) listed(name string) bool {
	return s.by[name] != nil || s.hand.known[name] || s.hand.out[name]
}

// named is a name as one that is to be worked out anew, if any source names it.
func (s *Set) named(name string) map[string]bool {
	if s.by[name] == nil {
		return nil
	}
	return map[string]bool{name: true}
}

// Disabled lists the names that are left out.
func (s *Set) Disabled() []string { return slices.Sorted(maps.Keys(s.hand.out)) }

// RestoreDisabled has endpoints left out from the start, listed yet or not.
func (s *Set) RestoreDisabled(names []string) {
	s.hand.seen(engine.List{})
	for _, name := range names {
		s.hand.out[name] = true
	}
}
