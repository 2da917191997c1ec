package capacity

import (
	"fmt"
	"math"
	"slices"
)

// fleetEvents has what a failure asks of all: bytes and processor of those who start again, out of what one start costs.
func fleetEvents(m *Model) string {
	p := m.Plan
	t := newTable("what", "how often", "forwarders", "whole list: bytes in all", "at 3 KB/s each takes", "partial list: bytes in all", "at 3 KB/s each takes", "from")
	for _, e := range []struct {
		what, often string
		forwarders  float64
	}{
		{"a machine goes and comes back", fmt.Sprintf("%s a day", count(p.Failures.MachinesPerDay)), p.Failures.ForwardersInMachine},
		{"a rack or switch", fmt.Sprintf("%s a week", count(p.Failures.RacksPerWeek)), p.Failures.ForwardersInRack},
		{"a zone", fmt.Sprintf("%s a month", count(p.Failures.ZonesPerMonth)), p.ForwardersInZone()},
		{fmt.Sprintf("a region, cut off for %s s, if all had to start again", count(p.Failures.RegionCutSeconds)), fmt.Sprintf("%s a year", count(p.Failures.RegionCutsPerYear)), p.ForwardersInRegion()},
		{"restarts of a day", "each day", p.Failures.RestartsPerDay},
		{"all at once", "never planned", p.Forwarders},
	} {
		whole, wholeTime, wholeFrom := m.startOf(WholeList, Agent, e.forwarders)
		part, partTime, partFrom := m.startOf(PartialList, Forwarder, e.forwarders)
		t.add(e.what, e.often, count(e.forwarders), whole, wholeTime, part, partTime, wholeFrom+"; "+partFrom)
	}
	return t.String() + "\n" + m.regionCut()
}

// startOf is what so many starts take, by the series of one.
func (m *Model) startOf(mechanism Mechanism, role Role, forwarders float64) (bytes, time, from string) {
	row := worst(m.Find(func(r *Row) bool {
		return r.Mechanism == mechanism && r.Role == role && r.Resource == Transfer && r.Event == Start
	}))
	if row == nil {
		return string(NotMeasured), "", fmt.Sprintf("%s: *%s*", mechanism, NotMeasured)
	}
	seconds := row.Cost / m.Plan.Allowed.ForwarderBytesPerSecond
	return byteCount(forwarders * row.Cost), duration(seconds), fmt.Sprintf("%s: *%s*, `%s`", mechanism, row.Standing, row.Series.Name)
}

func duration(seconds float64) string {
	switch {
	case seconds >= secondsPerDay:
		return significant(seconds/secondsPerDay) + " days"
	case seconds >= 3600:
		return significant(seconds/3600) + " h"
	case seconds >= 60:
		return significant(seconds/60) + " min"
	}
	return significant(seconds) + " s"
}

// regionCut says how much changes while a region is cut off: that alone has to be sent once it is back.
func (m *Model) regionCut() string {
	p := m.Plan
	changes := p.ConfigurationChangesPerDay / secondsPerDay * p.Failures.RegionCutSeconds
	return fmt.Sprintf("While a region is cut off for %s s, %s changes pass it by, by the plan. Whether control goes on in it, and what its return takes, is *%s*.\n",
		count(p.Failures.RegionCutSeconds), count(math.Ceil(changes)), m.standingOf(func(r *Row) bool { return r.Event == RegionCut }))
}

// standingOf is the best standing among some rows.
func (m *Model) standingOf(keep func(*Row) bool) Standing {
	rows := m.Find(keep)
	for _, standing := range []Standing{Measured, Extrapolated} {
		if slices.ContainsFunc(rows, func(r *Row) bool { return r.Standing == standing }) {
			return standing
		}
	}
	return NotMeasured
}

// hops has the time of one change, hop by hop, and of one that touches all entries.
func hops(m *Model) string {
	t := newTable("hop", "mechanism", "change", "plan's size", "time", "of the "+significant(m.Plan.ChangeInForceSeconds)+" s", "from")
	t.add("operators to the source of endpoints", "both", "any", "", string(NotMeasured), "", "*not measured*: the platform's")
	for _, r := range m.Find(func(r *Row) bool { return r.Resource == Delay && (r.Event == OneChange || r.Event == EveryEntry) }) {
		hop := r.Hop
		if hop == "" {
			hop = map[Role]string{ControlServer: "source to a control server", Forwarder: "to in force in a forwarder"}[r.Role]
		}
		if s := r.Series; s != nil && s.Statistic != "" {
			hop += ", " + s.Statistic
		}
		t.add(hop, string(r.Mechanism), string(r.Event), r.planSize(), r.cost(), r.used(), r.from())
	}
	return t.String()
}
