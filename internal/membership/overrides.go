package membership

import (
	"errors"
	"maps"
	"slices"

	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
)

// Operators can disable endpoints. Their overrides are a source that only withdraws: they stay in force whatever the other sources list, drop, or list again.

// maxKnownNames limits the names that are remembered after they have left the lists. They are kept because an operator may refer to an endpoint that is no longer
// listed.
const maxKnownNames = 1 << 16

// The errors of Disable and Enable.
var (
	ErrNeverListed     = errors.New("no target of that name was ever listed: see the list for its name")
	ErrTooManyDisabled = errors.New("too many targets are left out by hand: put some back first")
)

// overrides holds the endpoints that operators have disabled, and the names that they may refer to.
type overrides struct {
	disabled    map[string]bool   // disabled now
	enableCount map[string]uint32 // how often an endpoint was re-enabled
	known       map[string]bool   // listed at some time; only the newest names are kept
	order       []string          // the names in known, oldest first
}

// remember adds the names in a list to the known names.
func (o *overrides) remember(l engine.List) {
	if o.known == nil {
		o.disabled, o.enableCount, o.known = map[string]bool{}, map[string]uint32{}, map[string]bool{}
	}
	for _, e := range l.Endpoints {
		if !o.known[e.ID] {
			o.known[e.ID] = true
			o.order = append(o.order, e.ID)
		}
	}
	for len(o.order) > maxKnownNames {
		delete(o.known, o.order[0])
		delete(o.enableCount, o.order[0])
		o.order = o.order[1:]
	}
}

// Disable makes an endpoint drain until Enable, and returns the resulting changes. An endpoint that is already disabled remains so. The names of all endpoints that
// will be disabled are passed to store first; if that fails, nothing changes.
func (s *Set) Disable(name string, limit int, store func([]string) error) (engine.List, error) {
	s.overrides.remember(engine.List{})
	switch {
	case !s.isKnown(name):
		return engine.List{}, ErrNeverListed
	case !s.overrides.disabled[name] && len(s.overrides.disabled) >= limit:
		return engine.List{}, ErrTooManyDisabled
	}
	if !s.overrides.disabled[name] {
		if err := store(slices.Sorted(slices.Values(append(s.Disabled(), name)))); err != nil {
			return engine.List{}, err
		}
		s.overrides.disabled[name] = true
	}
	return s.recompute(s.asChanged(name)), nil
}

// Enable re-enables a disabled endpoint and returns the resulting changes. Enabling an endpoint that is not disabled changes nothing.
func (s *Set) Enable(name string, store func([]string) error) (engine.List, error) {
	s.overrides.remember(engine.List{})
	if !s.isKnown(name) {
		return engine.List{}, ErrNeverListed
	}
	if !s.overrides.disabled[name] {
		return engine.List{Scope: decide.Delta}, nil
	}
	if err := store(slices.DeleteFunc(s.Disabled(), func(n string) bool { return n == name })); err != nil {
		return engine.List{}, err
	}
	delete(s.overrides.disabled, name)
	s.overrides.enableCount[name]++
	return s.recompute(s.asChanged(name)), nil
}

// isKnown reports whether an endpoint of that name is listed now, was listed earlier, or is disabled.
func (s *Set) isKnown(name string) bool {
	return s.statements[name] != nil || s.overrides.known[name] || s.overrides.disabled[name]
}

// asChanged returns the argument for recompute: the name, if any source names the endpoint, or else none.
func (s *Set) asChanged(name string) map[string]bool {
	if s.statements[name] == nil {
		return nil
	}
	return map[string]bool{name: true}
}

// Disabled returns the sorted names of the disabled endpoints.
func (s *Set) Disabled() []string { return slices.Sorted(maps.Keys(s.overrides.disabled)) }

// RestoreDisabled disables endpoints at the start of the process, whether or not they are listed yet.
func (s *Set) RestoreDisabled(names []string) {
	s.overrides.remember(engine.List{})
	for _, name := range names {
		s.overrides.disabled[name] = true
	}
}
