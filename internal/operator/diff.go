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

// Change is one thing that differs in effect between two versions.
type Change struct {
	Scope       string `json:"for"` // what it holds for
	Key         string `json:"key"`
	Old         string `json:"old"`
	New         string `json:"new"`
	OldPosition string `json:"from,omitempty"` // the places that set it
	NewPosition string `json:"to,omitempty"`
}

const unset = "as the platform says"

// Diff lists what changes in effect from one version to another: names, order, files and text mean nothing. For messages it
// names the widest kinds that a change holds for and, below them, only those for which it is another.
func Diff(old, new *Config) (list []Change) { return diff(old, new, math.MaxInt) }

// DiffAtMost is Diff that looks for so many kinds of messages that go elsewhere.
func DiffAtMost(old, new *Config, most int) []Change { return diff(old, new, most) }

func diff(old, new *Config, most int) (list []Change) {
	whole := func(key, a, b string) {
		if a != b {
			list = append(list, Change{of(key), key, a, b, old.Positions[key], new.Positions[key]})
		}
	}
	every := func(c *Config) string { return time.Duration(c.Journal.SyncEvery).String() }
	whole("journal.durability", old.Journal.Durability, new.Journal.Durability)
	whole("journal.sync_every", every(old), every(new))

	whole("unrouted", cmp.Or(old.Unrouted, ForwardUnrouted), cmp.Or(new.Unrouted, ForwardUnrouted))
	whole("plugin_status", cmp.Or(old.PluginStatus, "none"), cmp.Or(new.PluginStatus, "none"))
	diffFleet(old, new, whole)
	diffControl(old, new, whole)
	list = append(list, diffRoutes(old, new, most)...)
	list = append(list, diffPools(old, new)...)
	list = append(list, diffPlugins(old, new)...)

	before, after := old.NewLimits(), new.NewLimits()
	kinds := map[scope]bool{{}: true}
	for _, c := range []*Config{old, new} {
		for i := range c.Limits {
			for _, s := range c.Limits[i].scopes() {
				kinds[s] = true
			}
		}
	}
	// Where one rule names a class and another a destination, messages of both are a kind too.
	// So are messages of a class by a route, and each route's own, as far as they go somewhere by one.
	var classes []string
	var places []scope
	for s := range kinds {
		switch {
		case s.class != "" && !s.named && s.route == "":
			classes = append(classes, s.class)
		case s.class == "" && (s.named || s.route != ""):
			places = append(places, s)
		}
	}
	for _, class := range classes {
		for _, s := range places {
			s.class = class
			kinds[s] = true
		}
	}
	sorted := make([]scope, 0, len(kinds))
	for s := range kinds {
		sorted = append(sorted, s)
	}
	slices.SortFunc(sorted, func(a, b scope) int {
		return cmp.Or(rank(a)-rank(b), cmp.Compare(a.class, b.class), cmp.Compare(a.dest, b.dest), cmp.Compare(a.route, b.route))
	})
	type pair struct{ old, new string }
	for n, key := range figureNames {
		said := map[scope]pair{}
		for _, s := range sorted {
			a, from := before.figure(n, s, old)
			b, to := after.figure(n, s, new)
			p := pair{a, b}
			said[s] = p
			if a == b || s != (scope{}) && slices.ContainsFunc(s.parents(new), func(o scope) bool { q, known := said[o]; return known && q == p }) {
				continue
			}
			list = append(list, Change{new.shownOr(old, s), key, a, b, old.Positions["limits."+from+"."+key], new.Positions["limits."+to+"."+key]})
		}
	}
	return list
}

func rank(s scope) (n int) {
	if s.class != "" {
		n++
	}
	if s.named {
		n += 2
	}
	if s.route != "" {
		n += 4
	}
	return n
}

// parents are the scopes that hold all that this one holds, the most specific first. Where a route leads is told by a file.
func (s scope) parents(c *Config) (list []scope) {
	dest, named := s.dest, s.named
	if r := c.names.routes[s.route]; r != nil {
		dest, named = c.goalOf(r), true
	}
	all, least := wider(s.class, dest, s.route)
	for _, o := range all[least:] {
		if rank(o) < rank(s) && (named || !o.named) {
			list = append(list, o)
		}
	}
	return slices.Compact(list)
}

// figure is what holds for a scope, and the rule that says so.
func (l *Limits) figure(n int, s scope, c *Config) (value, rule string) {
	for _, o := range append([]scope{s}, s.parents(c)...) {
		if r := l.by[n][o]; r != nil {
			return r.show(n), r.Name
		}
	}
	return unset, ""
}

// Explain tells which way a message takes and what holds for it, and which place says so. The error says that the routes can't be used.
func (c *Config) Explain(m *route.Message) (list []Change, err error) {
	t, err := c.NewRoutes()
	if err != nil {
		return nil, err
	}
	l, dest := c.NewLimits(), m.Destination
	s := scope{class: m.Class, dest: dest, named: true}
	goes := Change{Scope: c.shown(s), Key: "goes", New: c.goal(dest)}
	if r := t.Find(m); r != nil {
		dest, s.route = r.Destination, r.Name
		goes.New, goes.NewPosition = fmt.Sprintf("by route %q to %s", r.Name, c.goal(dest)), c.Positions["route."+r.Name]
	} else if c.Unrouted == RejectUnrouted {
		goes.New, goes.NewPosition = "rejected: it fits no route", c.Positions["unrouted"]
	}
	list = append(list, goes)
	s.dest = dest
	for n, key := range figureNames {
		v, rule := l.figure(n, s, c)
		list = append(list, Change{Scope: c.shown(s), Key: key, New: v, NewPosition: c.Positions["limits."+rule+"."+key]})
	}
	list = append(list, c.explainPool(dest)...)
	list = append(list, c.explainControl(dest)...)
	return append(list, c.explainPlugins(m.Class, m.Destination)...), nil
}

func of(key string) string {
	switch {
	case key == "unrouted":
		return "messages that fit no route"
	case strings.HasPrefix(key, "control"):
		return "the endpoint list"
	}
	return "the journal"
}
