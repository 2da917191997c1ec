package operator

import (
	"cmp"
	"slices"
	"time"
)

// Change is one thing that differs in effect between two versions.
type Change struct {
	For  string `json:"for"` // what it holds for
	Key  string `json:"key"`
	Old  string `json:"old"`
	New  string `json:"new"`
	From string `json:"from,omitempty"` // the places that set it
	To   string `json:"to,omitempty"`
}

const unset = "as the platform says"

// Diff lists what changes in effect from one version to another: names, order, files and text mean nothing. For messages it
// names the widest kinds that a change holds for and, below them, only those for which it is another.
func Diff(old, new *Config) (list []Change) {
	whole := func(key, a, b string) {
		if a != b {
			list = append(list, Change{"the journal", key, a, b, old.Where[key], new.Where[key]})
		}
	}
	every := func(c *Config) string { return time.Duration(c.Journal.SyncEvery).String() }
	whole("journal.durability", old.Journal.Durability, new.Journal.Durability)
	whole("journal.sync_every", every(old), every(new))

	whole("plugin_status", cmp.Or(old.PluginStatus, "none"), cmp.Or(new.PluginStatus, "none"))
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
	var classes []string
	var dests []int
	for s := range kinds {
		switch {
		case s.class != "" && !s.named:
			classes = append(classes, s.class)
		case s.class == "" && s.named:
			dests = append(dests, s.dest)
		}
	}
	for _, class := range classes {
		for _, dest := range dests {
			kinds[scope{class, dest, true}] = true
		}
	}
	sorted := make([]scope, 0, len(kinds))
	for s := range kinds {
		sorted = append(sorted, s)
	}
	slices.SortFunc(sorted, func(a, b scope) int {
		return cmp.Or(rank(a)-rank(b), cmp.Compare(a.class, b.class), cmp.Compare(a.dest, b.dest))
	})
	type pair struct{ old, new string }
	for n, key := range figureNames {
		said := map[scope]pair{}
		for _, s := range sorted {
			a, from := before.figure(n, s)
			b, to := after.figure(n, s)
			p := pair{a, b}
			said[s] = p
			if a == b || s != (scope{}) && slices.ContainsFunc(s.parents(), func(o scope) bool { q, known := said[o]; return known && q == p }) {
				continue
			}
			list = append(list, Change{s.String(), key, a, b, old.Where["limits."+from+"."+key], new.Where["limits."+to+"."+key]})
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
	return n
}

// parents are the scopes that hold all that this one holds.
func (s scope) parents() (list []scope) {
	for _, o := range wider(s.class, s.dest) {
		if rank(o) < rank(s) && (s.named || !o.named) {
			list = append(list, o)
		}
	}
	return list
}

// figure is what holds for a scope, and the rule that says so.
func (l *Limits) figure(n int, s scope) (value, rule string) {
	for _, o := range append([]scope{s}, s.parents()...) {
		if r := l.by[n][o]; r != nil {
			return r.show(n), r.Name
		}
	}
	return unset, ""
}

// Explain tells what holds for a message, and which place says so.
func (c *Config) Explain(class string, dest int) (list []Change) {
	l := c.NewLimits()
	s := scope{class, dest, true}
	for n, key := range figureNames {
		v, rule := l.figure(n, s)
		list = append(list, Change{For: s.String(), Key: key, New: v, To: c.Where["limits."+rule+"."+key]})
	}
	list = append(list, c.explainPool(dest)...)
	return append(list, c.explainPlugins(class, dest)...)
}
