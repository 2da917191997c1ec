package capacity

import (
	"cmp"
	"fmt"
	"slices"
)

// gap is something that no mechanism carries at the plan's size.
type gap struct {
	what, reached, plan string
	factor              float64 // plan's size over the one at which it is reached; 0: unknown
	from                string
}

// missingNext lists the mechanisms that are missing next, those first that are reached soonest against the plan.
func missingNext(m *Model) string {
	gaps := []gap{m.gapOf("membership within the allowed bytes a second", Gossip, Messages), m.gapOf("membership beyond what `straggler` keeps", Gossip, Kept),
		m.gapOf("a backlog that is not in memory", Queue, State), m.outageGap(), m.regionGap(), m.lookupGap()}
	slices.SortStableFunc(gaps, func(a, b gap) int { return cmp.Compare(b.factor, a.factor) })
	t := newTable("", "missing", "reached at", "the plan's size", "beyond it", "from")
	number := 0
	for _, g := range gaps {
		if g.factor != 0 && g.factor <= 1 {
			continue
		}
		number++
		beyond := ""
		if g.factor > 0 {
			beyond = significant(g.factor) + " times"
		}
		t.add(fmt.Sprint(number), g.what, g.reached, g.plan, beyond, g.from)
	}
	return t.String()
}

// gapOf is of a cost that was measured: it is missing from where the mechanism of today ends.
func (m *Model) gapOf(what string, mechanism Mechanism, resource Resource) gap {
	r := worst(m.Find(func(r *Row) bool {
		return r.Mechanism == mechanism && r.Resource == resource && r.Event == Calm && (r.Allowed > 0)
	}))
	if r == nil {
		return gap{what: what, reached: string(NotMeasured), from: "*not measured*"}
	}
	g := gap{what: what, reached: r.ends(), plan: r.planSize(), from: r.from()}
	if r.EndsAt > 0 {
		g.factor = r.Size / r.EndsAt
	}
	return g
}

const planAlone = "arithmetic of the plan alone"

// outageGap is of what is learnt of a destination that is down: a forwarder alone learns nothing where it comes by less often than the outage is remembered.
func (m *Model) outageGap() gap {
	p := m.Plan
	reached := p.EventsPerForwarder() * outageMemorySeconds
	calls := p.EventsPerSecond * p.DestinationsDownPercent / 100
	return gap{what: "outages shared between forwarders", factor: p.Destinations / reached, reached: fmt.Sprintf("%s destinations for each forwarder, where it sees one less than once in %d s", count(reached), outageMemorySeconds),
		plan: fmt.Sprintf("%s: one in %s, and %s calls a second into %s dead ones", count(p.Destinations), duration(p.Destinations/p.EventsPerForwarder()), count(calls), count(p.Destinations*p.DestinationsDownPercent/100)), from: planAlone}
}

// outageMemorySeconds is taken for how long a failure says something of the next call.
const outageMemorySeconds = 60

// regionGap is of control servers that are cut off with their regions.
func (m *Model) regionGap() gap {
	p := m.Plan
	return gap{what: "control over regions that lose each other", factor: p.Regions / p.Allowed.ControlServersAlive, reached: fmt.Sprintf("%s regions, with %s of %s control servers alive", count(p.Allowed.ControlServersAlive), count(p.Allowed.ControlServersAlive), count(p.Allowed.ControlServers)),
		plan: fmt.Sprintf("%s regions, %s zones", count(p.Regions), count(p.Zones)), from: planAlone}
}

// lookupGap is of traffic to destinations outside the part: each is looked up, and look-ups have the same allowance as all of control.
func (m *Model) lookupGap() gap {
	p := m.Plan
	perSecond, _ := p.Size(LookupsPerSecond)
	g := gap{what: "messages handed to an owner in place of look-ups (stage 2)", plan: fmt.Sprintf("%s look-ups a second, if traffic is spread evenly and nothing fetched is used again", significant(perSecond)), reached: string(NotMeasured), from: "*not measured*: bytes of a look-up"}
	r := worst(m.Find(func(r *Row) bool {
		return r.Mechanism == PartialList && r.Role == Forwarder && r.Resource == Transfer && r.Event == Lookup
	}))
	if r == nil {
		return g
	}
	most := p.Ownership.LookupBytesPerSecond / r.Cost
	g.factor, g.from = perSecond/most, r.from()
	g.reached = fmt.Sprintf("%s look-ups a second of %s in %s/s, which is %s of the events", significant(most), byteCount(r.Cost), byteCount(p.Ownership.LookupBytesPerSecond), percent(most/p.EventsPerForwarder()))
	return g
}
