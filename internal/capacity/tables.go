package capacity

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// table writes a table in Markdown.
type table struct{ text strings.Builder }

func newTable(heads ...string) *table {
	t := &table{}
	t.add(heads...)
	t.add(slices.Repeat([]string{"---"}, len(heads))...)
	return t
}

func (t *table) add(cells ...string) {
	t.text.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

func (t *table) String() string { return t.text.String() }

// maxFirst is how many rows the list of what breaks first has.
const maxFirst = 10

// breaksFirst is the list of what ends before the plan's size, and what is expected to carry it.
func breaksFirst(m *Model) string {
	t := newTable("", "who", "what", "mechanism", "at the plan's size", "allowed", "used", "ends at", "carried by")
	broken := worstOfEach(m.Broken())
	for i, r := range broken[:min(len(broken), maxFirst)] {
		t.add(fmt.Sprint(i+1), string(r.Role), r.what(), string(r.Mechanism), r.cost(), r.allowed(), percent(r.Used()), r.ends(), m.carrier(r))
	}
	text := t.String()
	if len(broken) > maxFirst {
		text += fmt.Sprintf("\n%d more end before the plan's size: see the tables below.\n", len(broken)-maxFirst)
	}
	return text + "\n" + m.standings()
}

// worstOfEach leaves out what the same cost has been measured by once more, in a list with the worst first.
func worstOfEach(rows []*Row) (list []*Row) {
	type cost struct {
		mechanism Mechanism
		role      Role
		resource  Resource
		event     Event
	}
	seen := map[cost]bool{}
	for _, r := range rows {
		if key := (cost{r.Mechanism, r.Role, r.Resource, r.Event}); !seen[key] {
			seen[key] = true
			list = append(list, r)
		}
	}
	return list
}

// standings counts the rows of each standing.
func (m *Model) standings() string {
	counts := map[Standing]int{}
	for _, r := range m.Rows {
		counts[r.Standing]++
	}
	return fmt.Sprintf("Of %d costs %d are measured at the plan's size, %d extrapolated and %d not measured.\n", len(m.Rows), counts[Measured], counts[Extrapolated], counts[NotMeasured])
}

// successor is the mechanism that is to carry what another one does not. With the partial list members are known by leases, whose cost is measured with it.
var successor = map[Mechanism]Mechanism{WholeList: PartialList, Gossip: PartialList}

// carrier says what carries a cost in place of a mechanism that breaks, and with which share of the allowance.
func (m *Model) carrier(r *Row) string {
	next, planned := successor[r.Mechanism]
	switch {
	case !planned:
		return "none yet"
	case r.Resource == Kept:
		return fmt.Sprintf("%s: %s members, the bound of a control server", next, count(m.Plan.Limits.ControlMembers))
	}
	best := worst(m.Find(func(o *Row) bool {
		process := o.Series != nil && o.Series.Process != "model"
		return process && o.Mechanism == next && (o.Role == r.Role || r.Role != ControlServer && o.Role == Forwarder) && o.Resource == r.Resource && o.Event == r.Event
	}))
	if best == nil {
		return fmt.Sprintf("%s: %s", next, NotMeasured)
	}
	text := fmt.Sprintf("%s: %s, %s", next, best.cost(), best.Standing)
	if best.Allowed > 0 {
		text += fmt.Sprintf(", %s of what is allowed", percent(best.Used()))
	}
	return text
}

// what names a cost.
func (r *Row) what() string {
	text := string(r.Resource)
	if r.Resource == Kept {
		text = "members kept"
	}
	if r.Event != Calm {
		text += ", " + string(r.Event)
	}
	if r.Hop != "" {
		text += ": " + r.Hop
	}
	if s := r.Series; s != nil && s.Statistic != "" && s.Statistic != "mean" {
		text += ", " + s.Statistic
	}
	if s := r.Series; s != nil && s.Process != "" && s.Process != "real" {
		text += ", " + s.Process
	}
	return text
}

// cost is the figure at the plan's size.
func (r *Row) cost() string {
	if r.Series == nil {
		return string(NotMeasured)
	}
	text := amount(r.Cost, r.Resource)
	if r.Standing == NotMeasured {
		return string(NotMeasured)
	}
	if highest := amount(r.Highest, r.Resource); highest != text {
		text += " (up to " + highest + ")"
	}
	return text
}

func (r *Row) allowed() string {
	if r.Allowed == 0 {
		return ""
	}
	return amount(r.Allowed, r.Resource)
}

func (r *Row) used() string {
	if r.Used() == 0 {
		return ""
	}
	return percent(r.Used())
}

func (r *Row) ends() string {
	switch {
	case r.scaled || r.EndsAt == 0 && (r.Allowed == 0 || r.Standing == NotMeasured):
		return ""
	case math.IsInf(r.EndsAt, 1):
		return "never"
	case r.EndsAt == 0:
		return "over it at any size"
	}
	return fmt.Sprintf("%s %s", count(r.EndsAt), spaced(r.Series.Variable))
}

func spaced(v Variable) string { return strings.ReplaceAll(string(v), "_", " ") }

// from says where a figure comes from.
func (r *Row) from() string {
	if r.Standing == NotMeasured {
		return fmt.Sprintf("*%s*: %s", r.Standing, r.Why)
	}
	text := fmt.Sprintf("*%s*", r.Standing)
	if r.Why != "" {
		return text + " (" + r.Why + ")"
	}
	s := r.Series
	text += fmt.Sprintf(" at %s to %s %s", count(r.Fit.smallest), count(r.Fit.largest), spaced(s.Variable))
	for _, variable := range slices.Sorted(maps.Keys(s.Held)) {
		text += fmt.Sprintf(", %s %s", count(s.Held[variable]), spaced(variable))
	}
	if r.Resource == Kept {
		return text
	}
	if r.scaled {
		text += ", at the plan's rate of changes"
	}
	text += fmt.Sprintf(", %s", r.Fit.Shape)
	if r.Fit.Shape == Power {
		text += fmt.Sprintf(" %.2f: not linear, a line comes to %s", r.Fit.Exponent, amount(r.Fit.LineAt(r.Size), r.Resource))
	}
	return text + fmt.Sprintf(", residual %s", percent(r.Fit.Residual))
}

// calm has each role's costs while nothing happens.
func calm(m *Model) string {
	var text strings.Builder
	for _, role := range roles {
		rows := m.Find(func(r *Row) bool { return r.Event == Calm && r.Role == role })
		if len(rows) == 0 {
			continue
		}
		t := newTable("what", "mechanism", "plan's size", "cost there", "allowed", "used", "ends at", "from")
		for _, r := range rows {
			t.add(r.what(), string(r.Mechanism), r.planSize(), r.cost(), r.allowed(), r.used(), r.ends(), r.from())
		}
		fmt.Fprintf(&text, "### %s\n\n%s\n", strings.ToUpper(string(role)[:1])+string(role)[1:], t)
	}
	return text.String()
}

func (r *Row) planSize() string {
	if r.Series == nil {
		return ""
	}
	return fmt.Sprintf("%s %s", count(r.Size), spaced(r.Series.Variable))
}

// beside has the mechanisms of before and after in one line for each cost of a forwarder, the worst row of each.
func beside(m *Model) string {
	t := newTable("a forwarder's", "allowed", "whole list", "used", "members by gossip", "used", "partial list, members by leases", "used")
	names := map[Resource]string{State: "memory", Messages: "bytes a second", Processor: "processor"}
	for _, resource := range []Resource{State, Messages, Processor} {
		cells := []string{names[resource], amount(m.Plan.allowedRunning(Forwarder, resource), resource)}
		for _, mechanism := range []Mechanism{WholeList, Gossip, PartialList} {
			r := worst(m.Find(func(r *Row) bool {
				return r.Mechanism == mechanism && (r.Role == Forwarder || r.Role == GossipProcess) && r.Resource == resource && r.Event == Calm && r.Allowed > 0
			}))
			if r == nil {
				cells = append(cells, string(NotMeasured), "")
				continue
			}
			cells = append(cells, r.cost()+", "+string(r.Standing), percent(r.Used()))
		}
		t.add(cells...)
	}
	return t.String()
}

// eventTable has what happens beside a calm, as it was measured.
func eventTable(m *Model) string {
	t := newTable("what", "who", "mechanism", "plan's size", "cost there", "allowed", "used", "ends at", "from")
	for _, r := range m.Find(func(r *Row) bool { return r.Event != Calm && !(r.Event == OneChange && r.Resource == Delay) }) {
		t.add(r.what(), string(r.Role), string(r.Mechanism), r.planSize(), r.cost(), r.allowed(), r.used(), r.ends(), r.from())
	}
	return t.String()
}

// seriesTable has each fit and how it can be had again.
func seriesTable(m *Model) string {
	t := newTable("series", "variable", "runs", "intercept", "slope for each", "by seeds", "shape", "commit", "date", "command")
	for _, r := range m.Rows {
		s := r.Series
		if s == nil {
			continue
		}
		if s.Resource == Kept {
			t.add("`"+s.Name+"`", spaced(s.Variable), fmt.Sprint(len(s.Points)), "", "", "", "a bound", s.Commit, s.Date, "`"+s.Command+"`")
			continue
		}
		f, spread := r.Fit, ""
		if f.Seeds > 1 {
			spread = fmt.Sprintf("%s to %s", slope(f.SlopeLow, s.Resource), slope(f.SlopeHigh, s.Resource))
		}
		shape := string(f.Shape)
		if f.Shape == Power {
			shape += fmt.Sprintf(" %.2f", f.Exponent)
		}
		t.add("`"+s.Name+"`", spaced(s.Variable), fmt.Sprint(len(s.Points)), amount(f.Intercept, s.Resource), slope(f.Slope, s.Resource), spread, shape, s.Commit, s.Date, "`"+s.Command+"`")
	}
	return t.String()
}

// slope writes a cost of one more, which may be very little or below 0.
func slope(value float64, resource Resource) string {
	if resource == State || resource == Transfer || resource == Messages {
		return fmt.Sprintf("%.3g B", value) + map[bool]string{true: "/s"}[resource == Messages]
	}
	return fmt.Sprintf("%.3g", value)
}
