package operator

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"scaleroute/internal/route"
)

// Change is one effective difference between two configurations.
type Change struct {
	Scope       string `json:"for"` // the messages or the component that the setting applies to
	Key         string `json:"key"`
	Old         string `json:"old"`
	New         string `json:"new"`
	OldPosition string `json:"from,omitempty"` // file and line that set the old value
	NewPosition string `json:"to,omitempty"`   // file and line that set the new value
}

const unset = "as the platform says"

// Diff lists the effective differences between two configurations; names, order, files and formatting have no effect. For
// settings of messages it reports the broadest scopes that a change applies to, and narrower ones only where the change differs.
func Diff(old, new *Config) (list []Change) { return diffConfigs(old, new, math.MaxInt) }

// DiffAtMost is like Diff, but reports at most so many groups of messages whose route changes.
func DiffAtMost(old, new *Config, maxGroups int) []Change { return diffConfigs(old, new, maxGroups) }

func diffConfigs(old, new *Config, maxGroups int) (list []Change) {
	compare := func(key, a, b string) {
		if a != b {
			list = append(list, Change{subjectOf(key), key, a, b, old.Positions[key], new.Positions[key]})
		}
	}
	syncEvery := func(c *Config) string { return time.Duration(c.Journal.SyncEvery).String() }
	compare("journal.durability", old.Journal.Durability, new.Journal.Durability)
	compare("journal.sync_every", syncEvery(old), syncEvery(new))

	compare("unrouted", cmp.Or(old.Unrouted, ForwardUnrouted), cmp.Or(new.Unrouted, ForwardUnrouted))
	compare("plugin_status", cmp.Or(old.PluginStatus, "none"), cmp.Or(new.PluginStatus, "none"))
	diffFleet(old, new, compare)
	diffControl(old, new, compare)
	list = append(list, diffRoutes(old, new, maxGroups)...)
	list = append(list, diffPools(old, new)...)
	list = append(list, diffPlugins(old, new)...)

	before, after := old.NewLimits(), new.NewLimits()
	scopes := map[scope]bool{{}: true}
	for _, c := range []*Config{old, new} {
		for i := range c.Limits {
			for _, s := range c.Limits[i].scopes() {
				scopes[s] = true
			}
		}
	}
	// Where one rule names a class and another one names a destination or a route, messages that match both rules form a scope
	// of their own.
	var classes []string
	var targets []scope
	for s := range scopes {
		switch {
		case s.class != "" && !s.hasDest && s.route == "":
			classes = append(classes, s.class)
		case s.class == "" && (s.hasDest || s.route != ""):
			targets = append(targets, s)
		}
	}
	for _, class := range classes {
		for _, s := range targets {
			s.class = class
			scopes[s] = true
		}
	}
	sorted := make([]scope, 0, len(scopes))
	for s := range scopes {
		sorted = append(sorted, s)
	}
	slices.SortFunc(sorted, func(a, b scope) int {
		return cmp.Or(rank(a)-rank(b), cmp.Compare(a.class, b.class), cmp.Compare(a.dest, b.dest), cmp.Compare(a.route, b.route))
	})
	type pair struct{ old, new string }
	for n, key := range keyNames {
		reported := map[scope]pair{}
		for _, s := range sorted {
			a, from := before.effective(n, s, old)
			b, to := after.effective(n, s, new)
			p := pair{a, b}
			reported[s] = p
			if a == b || s != (scope{}) && slices.ContainsFunc(s.parents(new), func(o scope) bool { q, known := reported[o]; return known && q == p }) {
				continue
			}
			list = append(list, Change{new.describeScopeOr(old, s), key, a, b, old.Positions["limits."+from+"."+key], new.Positions["limits."+to+"."+key]})
		}
	}
	return list
}

// rank orders scopes by how specific they are: a route outranks a destination, which outranks a class.
func rank(s scope) (n int) {
	if s.class != "" {
		n++
	}
	if s.hasDest {
		n += 2
	}
	if s.route != "" {
		n += 4
	}
	return n
}

// parents returns the scopes that contain this one, the most specific first. The destination of a route comes from
// the configuration.
func (s scope) parents(c *Config) (list []scope) {
	dest, hasDest := s.dest, s.hasDest
	if r := c.lookup.routes[s.route]; r != nil {
		dest, hasDest = c.destinationOf(r), true
	}
	all, first := enclosingScopes(s.class, dest, s.route)
	for _, o := range all[first:] {
		if rank(o) < rank(s) && (hasDest || !o.hasDest) {
			list = append(list, o)
		}
	}
	return slices.Compact(list)
}

// effective returns the value of a key that applies to a scope, and the name of the rule that sets it.
func (l *Limits) effective(n int, s scope, c *Config) (value, rule string) {
	for _, o := range append([]scope{s}, s.parents(c)...) {
		if r := l.byKey[n][o]; r != nil {
			return r.format(n), r.Name
		}
	}
	return unset, ""
}

// Explain lists the route of a message and the settings that apply to it, each with its position. It returns an error if the
// routes can't be compiled.
func (c *Config) Explain(m *route.Message) (list []Change, err error) {
	t, err := c.NewRoutes()
	if err != nil {
		return nil, err
	}
	l, dest := c.NewLimits(), m.Destination
	s := scope{class: m.Class, dest: dest, hasDest: true}
	routed := Change{Scope: c.describeScope(s), Key: "goes", New: c.describeDestination(dest)}
	if r := t.Find(m); r != nil {
		dest, s.route = r.Destination, r.Name
		routed.New, routed.NewPosition = fmt.Sprintf("by route %q to %s", r.Name, c.describeDestination(dest)), c.Positions["route."+r.Name]
	} else if c.Unrouted == RejectUnrouted {
		routed.New, routed.NewPosition = "rejected: it fits no route", c.Positions["unrouted"]
	}
	list = append(list, routed)
	s.dest = dest
	for n, key := range keyNames {
		v, rule := l.effective(n, s, c)
		list = append(list, Change{Scope: c.describeScope(s), Key: key, New: v, NewPosition: c.Positions["limits."+rule+"."+key]})
	}
	list = append(list, c.explainPool(dest)...)
	list = append(list, c.explainControl(dest)...)
	return append(list, c.explainPlugins(m.Class, m.Destination)...), nil
}

func subjectOf(key string) string {
	switch {
	case key == "unrouted":
		return "messages that fit no route"
	case strings.HasPrefix(key, "control"):
		return "the endpoint list"
	}
	return "the journal"
}
