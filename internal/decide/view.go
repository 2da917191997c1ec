package decide

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
)

// Routes tells what is known of each route, for on-call staff.
func (f *Forwarder) Routes() []RouteView {
	var views []RouteView
	for _, d := range slices.SortedFunc(maps.Values(f.dests), func(a, b *dest) int { return cmp.Compare(a.seq, b.seq) }) {
		for _, r := range d.routes {
			v := RouteView{Route: cmp.Or(r.name, strconv.Itoa(d.id)), Open: r.open, Why: r.why, WaitLeft: max(0, r.told-f.now),
				Budget: r.ratio, Out: len(r.calls), Waiting: d.n, Amplification: 1}
			if r.allFirst > 0 {
				v.Amplification = float64(r.all) / float64(r.allFirst)
			}
			views = append(views, v)
		}
	}
	return views
}

// Rotation tells how many targets are listed, and how many of those are not called now: left out, told to wait for, or held to be
// failing.
func (f *Forwarder) Rotation() (listed, out int) {
	for _, t := range f.targets {
		if t.state == Gone {
			continue
		}
		listed++
		if r := t.route; t.state != Active || r.open || f.now < r.told || f.now < t.avoidTil {
			out++
		}
	}
	return listed, out
}
