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
