package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Standing is where a figure comes from.
type Standing string

// The standings.
const (
	Measured     Standing = "measured"
	Extrapolated Standing = "extrapolated"
	NotMeasured  Standing = "not measured"
)

// Row is one cost at the plan's size.
type Row struct {
	Mechanism Mechanism
	Role      Role
	Resource  Resource
	Event     Event
	Hop       string
	Standing  Standing
	Why       string // nothing was measured, or what the figure is worked out of

	Series  *Series // nil: none
	Fit     *Fit
	Size    float64 // the plan's, in the series' variable
	Cost    float64
	Highest float64 // by the steepest seed
	Allowed float64 // 0: the plan says nothing
	scaled  bool    // the cost is at the plan's rate of changes, and the series at a higher one
	EndsAt  float64 // size at which the allowance is used up; infinite: never; 0 without an allowance
}

// Used is the share of the allowance that is used at the plan's size; 0 where there is none.
func (r *Row) Used() float64 {
	if r.Allowed == 0 || r.Standing == NotMeasured {
		return 0
	}
	if r.Resource == Kept {
		return r.Size / r.Cost
	}
	return r.Cost / r.Allowed
}

// Breaks tells whether the mechanism ends before the plan's size.
func (r *Row) Breaks() bool { return r.Used() > 1 }

// Model is what the plan costs.
type Model struct {
	Plan   *Plan
	Rows   []*Row // those that are asked for, then those of other series
	Series []*Series
}

// NewModel evaluates the series at the plan's size. What is asked for and was not measured has a row that says so.
func NewModel(plan *Plan, series []*Series) (*Model, error) {
	m := &Model{Plan: plan, Series: series}
	used := map[*Series]bool{}
	for _, asked := range demands {
		found := 0
		for _, s := range series {
			if !asked.wants(s) || used[s] {
				continue
			}
			row, err := m.evaluate(s)
			if err != nil {
				return nil, err
			}
			used[s] = true
			m.Rows = append(m.Rows, row)
			if s.Process != "model" || !asked.ofProcess() {
				found++
			}
		}
		if found == 0 {
			m.Rows = append(m.Rows, asked.missing())
		}
	}
	for _, s := range series {
		if used[s] {
			continue
		}
		row, err := m.evaluate(s)
		if err != nil {
			return nil, err
		}
		m.Rows = append(m.Rows, row)
	}
	m.scaleChanges()
	return m, nil
}

// evaluate has the cost of a series at the plan's size.
func (m *Model) evaluate(s *Series) (*Row, error) {
	fit, err := FitSeries(s.Points)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", s.Name, err)
	}
	size, known := m.Plan.Size(s.Variable)
	if !known {
		return nil, fmt.Errorf("%s: the plan has no size of %s: add it to Plan.Size", s.Name, s.Variable)
	}
	perForwarder, scaled := m.Plan.sizeOfPart(s)
	if scaled {
		size = perForwarder
	}
	row := &Row{Mechanism: s.Mechanism, Role: s.Role, Resource: s.Resource, Event: s.Event, Hop: s.Hop, Standing: Extrapolated, Series: s, Fit: fit, Size: size, Allowed: m.Plan.allowed(s)}
	if s.Resource == Kept {
		row.bounded(s)
		return row, nil
	}
	row.Cost, row.Highest = fit.At(size), fit.HighestAt(size)
	if row.Allowed > 0 {
		row.EndsAt = fit.SizeAt(row.Allowed)
	}
	switch {
	case fit.Covers(size) && !scaled:
		row.Standing = Measured
	case fit.Shape == Single && !fit.Covers(size):
		row.Standing, row.EndsAt = NotMeasured, 0
		row.Why = fmt.Sprintf("only at %s %s: one size has no slope", count(fit.largest), s.Variable)
	}
	return row, nil
}

// sizeOfPart is the size at which a smaller fleet has as many destinations for each forwarder as the plan's: what a forwarder that holds a part costs goes by that, not by all.
func (p *Plan) sizeOfPart(s *Series) (size float64, scaled bool) {
	if s.Mechanism != PartialList || s.Role != Forwarder || s.Held[Members] > 0 {
		return 0, false
	}
	perForwarder := p.Destinations / p.Forwarders
	if forwarders := s.Held[Forwarders]; s.Variable == Destinations && forwarders > 0 {
		return forwarders * perForwarder, true
	}
	if destinations := s.Held[Destinations]; s.Variable == Forwarders && destinations > 0 && s.Resource != Evenness && s.Resource != Moved && s.Event != Machine {
		return destinations / perForwarder, true
	}
	return 0, false
}

// bounded has the row of a series that says how many of what was offered are kept.
func (r *Row) bounded(s *Series) {
	r.Cost, r.EndsAt, r.Allowed = 0, math.Inf(1), r.Size
	for _, p := range s.Points {
		r.Cost = max(r.Cost, p.Y)
		if p.Y < p.X {
			r.EndsAt = min(r.EndsAt, p.Y)
		}
	}
	r.Highest = r.Cost
	if math.IsInf(r.EndsAt, 1) && r.Fit.largest < r.Size {
		r.Standing, r.Why = NotMeasured, fmt.Sprintf("all of %s were kept, and no more were offered", count(r.Fit.largest))
		return
	}
	r.Standing = Measured
}

// allowed is what the plan says that a cost may be; 0: nothing.
func (p *Plan) allowed(s *Series) float64 {
	if s.Process == "model" { // a part of a process that is measured whole
		return 0
	}
	switch {
	case s.Resource == Evenness:
		return p.Allowed.LargestPartOfMean
	case s.Resource == Moved:
		return p.Allowed.MovedOfOwnPart
	case s.Resource == Delay && s.Event == Start, s.Resource == Work && s.Event == Start && s.Role == Forwarder: // on one core
		return p.Allowed.ForwarderReadySeconds
	case s.Resource == Delay && (s.Event == OneChange || s.Event == EveryEntry):
		return p.ChangeInForceSeconds
	case s.Resource == Transfer && s.Event == Start && s.Role == Agent: // of one answer
		return p.Limits.ListAnswerBytes
	case s.Mechanism == Queue && s.Resource == State:
		return p.Allowed.ForwarderMachineBytes
	}
	return p.allowedRunning(s.Role, s.Resource)
}

// allowedRunning is what a process may take all the time.
func (p *Plan) allowedRunning(role Role, resource Resource) float64 {
	allowed := map[Role]map[Resource]float64{
		Forwarder:     {State: p.Allowed.ForwarderBytes, Messages: p.Allowed.ForwarderBytesPerSecond, Processor: p.Allowed.ForwarderCores},
		ControlServer: {State: p.Allowed.ControlServerBytes, Processor: p.Allowed.ControlServerCores},
	}
	allowed[GossipProcess] = allowed[Forwarder]
	return allowed[role][resource]
}

// Find has the rows of a cost.
func (m *Model) Find(keep func(*Row) bool) (rows []*Row) {
	for _, r := range m.Rows {
		if keep(r) {
			rows = append(rows, r)
		}
	}
	return rows
}

// Broken are the rows that end before the plan's size, the worst first.
func (m *Model) Broken() []*Row {
	rows := m.Find((*Row).Breaks)
	slices.SortStableFunc(rows, func(a, b *Row) int { return cmp.Compare(b.Used(), a.Used()) })
	return rows
}

// worst is the row that uses most of its allowance among those that were measured, and of those that use the same the one with the highest cost; nil: there is none.
func worst(rows []*Row) (most *Row) {
	for _, r := range rows {
		if r.Standing != NotMeasured && (most == nil || r.Used() > most.Used() || r.Used() == most.Used() && r.Cost > most.Cost) {
			most = r
		}
	}
	return most
}

// Load reads plan and series, and evaluates them.
func Load(planFile, measuredDir string) (*Model, error) {
	plan, err := LoadPlan(planFile)
	if err != nil {
		return nil, err
	}
	series, err := ReadMeasured(measuredDir)
	if err != nil {
		return nil, err
	}
	return NewModel(plan, series)
}
