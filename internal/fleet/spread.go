package fleet

import (
	"slices"
	"time"

	"scaleroute/internal/load"
	"scaleroute/internal/standin"
)

// Spread says how evenly the calls of all forwarders went over the targets of each destination, in windows of one length, by the targets' own records. Targets that ever drained are left out.
type Spread struct {
	WindowS  float64 `json:"window_s"`
	Windows  int     `json:"windows"`  // of a destination with so many calls that each target's share is at least one
	Multiple float64 `json:"multiple"` // of its share that the most loaded target had, on average
	Worst    float64 `json:"worst"`    // in any window
	Chance   float64 `json:"chance"`   // on average, where as many calls are drawn by chance
	IdleS    float64 `json:"idle_s"`   // the longest that a target had none
}

// Spread measures the calls between two times.
func (r *Rig) Spread(from, until time.Time, window time.Duration) Spread {
	left := map[string]bool{}
	byTarget := map[string]int{}
	groups := map[int][]string{}
	var calls []*standin.Call
	for _, n := range r.Nodes {
		n.Log.EachTold(func(t standin.Told) {
			if t.State != standin.Serving {
				left[t.Endpoint] = true
			}
		})
		n.Log.Each(func(c *standin.Call) { calls = append(calls, c) })
	}
	for _, e := range r.World.Endpoints {
		if !left[e.Name] {
			byTarget[e.Name] = len(groups[e.Group])
			groups[e.Group] = append(groups[e.Group], e.Name)
		}
	}
	windows := int64(until.Sub(from) / window)
	counts := map[int][][]int{} // of a destination's targets, by window
	for group, names := range groups {
		for range names {
			counts[group] = append(counts[group], make([]int, windows))
		}
	}
	gaps := map[string][]time.Duration{}
	for _, c := range calls {
		at := c.First.Sub(from)
		if left[c.Endpoint.Name] || at < 0 || int64(at/window) >= windows {
			continue
		}
		counts[c.Endpoint.Group][byTarget[c.Endpoint.Name]][at/window]++
		gaps[c.Endpoint.Name] = append(gaps[c.Endpoint.Name], at)
	}
	s := Spread{WindowS: window.Seconds()}
	for name := range byTarget {
		s.IdleS = max(s.IdleS, longestGap(gaps[name], time.Duration(windows)*window).Seconds())
	}
	for _, list := range counts {
		m := load.Multiples(list, slices.Repeat([]float64{1 / float64(len(list))}, len(list)), 1)
		s.Windows += m.Windows
		s.Multiple, s.Worst, s.Chance = s.Multiple+m.Mean*float64(m.Windows), max(s.Worst, m.Worst), s.Chance+m.Chance*float64(m.Windows)
	}
	if s.Windows > 0 {
		s.Multiple, s.Chance = s.Multiple/float64(s.Windows), s.Chance/float64(s.Windows)
	}
	return s
}

func longestGap(at []time.Duration, length time.Duration) (longest time.Duration) {
	slices.Sort(at)
	before := time.Duration(0)
	for _, t := range append(at, length) {
		longest, before = max(longest, t-before), t
	}
	return longest
}
