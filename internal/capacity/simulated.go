package capacity

import (
	"fmt"
	"maps"
)

// simulated holds what simulated processes cost against real ones, at sizes that both ran. Of memory it is the growth from the smallest of these to the largest: simulated ones are many
// in a process, and what is not theirs is taken off.
func simulated(m *Model) string {
	t := newTable("simulated", "against real", "size", "real", "simulated", "difference")
	found := 0
	for _, s := range m.Series {
		for _, real := range m.Series {
			if s.Process != "simulated" || real.Process != "" && real.Process != "real" || !sameCost(s, real) || !maps.Equal(s.Held, real.Held) {
				continue
			}
			pairs := commonSizes(s, real)
			if s.Resource == State {
				pairs = growthOf(pairs)
			}
			for _, p := range pairs {
				t.add("`"+s.Name+"`", "`"+real.Name+"`", p.size+" "+spaced(s.Variable), amount(p.real, s.Resource), amount(p.simulated, s.Resource), percentOff(p.simulated, p.real))
				found++
			}
		}
	}
	if found == 0 {
		return "No size was run with simulated and real processes yet: *not measured*.\n"
	}
	return t.String()
}

// pair is what both cost at a size.
type pair struct {
	size            string
	real, simulated float64
}

func commonSizes(s, real *Series) (pairs []pair) {
	for _, a := range meansBySize(s.Points) {
		for _, b := range meansBySize(real.Points) {
			if a.X == b.X {
				pairs = append(pairs, pair{count(a.X), b.Y, a.Y})
			}
		}
	}
	return pairs
}

// growthOf is that from the first size to the last; of one size there is none.
func growthOf(pairs []pair) []pair {
	if len(pairs) < 2 {
		return nil
	}
	first, last := pairs[0], pairs[len(pairs)-1]
	return []pair{{first.size + " to " + last.size, last.real - first.real, last.simulated - first.simulated}}
}

func percentOff(value, from float64) string {
	if from == 0 {
		return ""
	}
	return fmt.Sprintf("%+.1f%%", 100*(value-from)/from)
}

// sameCost tells whether two series are of one cost.
func sameCost(a, b *Series) bool {
	return a.Mechanism == b.Mechanism && a.Role == b.Role && a.Resource == b.Resource && a.Variable == b.Variable && a.Event == b.Event && a.Hop == b.Hop && a.Statistic == b.Statistic
}
