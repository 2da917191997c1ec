package scale

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"time"

	"scaleroute/internal/capacity"
)

// Provenance is how a folder of results came about.
type Provenance struct {
	Command        string  `json:"command"` // that anybody can run again
	Commit         string  `json:"commit"`  // that the programs were built from
	Machine        string  `json:"machine"`
	Date           string  `json:"date"` // 2006-01-02
	LoadBefore     string  `json:"load_before"`
	LoadAfter      string  `json:"load_after"`
	ChangeRate     float64 `json:"changes_per_second"`
	ControlServers int     `json:"control_servers"`
	Replicas       int     `json:"replicas"`
	Partitions     int     `json:"partitions"` // 0: some for each forwarder
	PerNode        int     `json:"partitions_per_forwarder"`
}

const (
	resultsFile    = "results.json"
	provenanceFile = "provenance.json"
)

// Begin notes what a run is about to measure.
func Begin(s *Scenario, command, commit string) *Provenance {
	p := &Provenance{Command: command, Commit: commit, Machine: machine(), Date: time.Now().UTC().Format(time.DateOnly), LoadBefore: machineLoad(), ChangeRate: s.ChangeRate}
	if s.Mechanism == PartialList {
		p.ControlServers, p.Replicas, p.Partitions, p.PerNode = s.ControlServers, s.Replicas, s.Partitions, s.PerNode
	}
	return p
}

// Write keeps it beside the results.
func (p *Provenance) Write(dir string) error {
	p.LoadAfter = machineLoad()
	text, err := json.MarshalIndent(p, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, provenanceFile), append(text, '\n'), 0o644)
}

// ReadProvenance reads what Write has written.
func ReadProvenance(dir string) (*Provenance, error) {
	text, err := os.ReadFile(filepath.Join(dir, provenanceFile))
	if err != nil {
		return nil, err
	}
	p := &Provenance{}
	if err := json.Unmarshal(text, p); err != nil {
		return nil, fmt.Errorf("%s: %w", filepath.Join(dir, provenanceFile), err)
	}
	return p, nil
}

// machine describes this one.
func machine() string {
	kilobytes := 0.0
	if text, err := os.ReadFile("/proc/meminfo"); err == nil {
		fmt.Sscanf(string(text), "MemTotal: %f kB", &kilobytes)
	}
	return fmt.Sprintf("%d cores, %.0f GB, %s/%s, loopback", runtime.NumCPU(), kilobytes*1024/1e9, runtime.GOOS, runtime.GOARCH)
}

// machineLoad is the number of threads that ran or waited for a processor in the last minute, in the mean.
func machineLoad() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	load, _, _ := strings.Cut(string(text), " ")
	return load
}

// quantity is one series that a sweep yields of a kind.
type quantity struct {
	name     string
	resource capacity.Resource
	event    capacity.Event
	kinds    []Kind
	of       func(*Row) float64
	changing bool // under the scenario's rate of changes
	note     string
}

var quantities = []quantity{
	{name: "heap", resource: capacity.State, kinds: []Kind{Simulated}, of: func(r *Row) float64 { return r.HeapBytes }, note: "Live heap and stacks of a node, above those of an empty process."},
	{name: "peak", resource: capacity.State, kinds: []Kind{Simulated, Real, ControlServer}, of: func(r *Row) float64 { return r.PeakBytes }, note: "Peak resident set; of simulated nodes above that of an empty process."},
	{name: "messages", resource: capacity.Messages, kinds: []Kind{Simulated, Real}, of: func(r *Row) float64 { return r.CalmBytesPerS }, note: "Nothing changes."},
	{name: "processor", resource: capacity.Processor, kinds: []Kind{Simulated, Real, ControlServer}, of: func(r *Row) float64 { return r.CalmCPUPercent / 100 }, note: "Nothing changes."},
	{name: "messages-changing", resource: capacity.Messages, kinds: []Kind{Simulated, Real}, of: func(r *Row) float64 { return r.BusyBytesPerS }, changing: true},
	{name: "processor-changing", resource: capacity.Processor, kinds: []Kind{Simulated, Real, ControlServer}, of: func(r *Row) float64 { return r.BusyCPUPercent / 100 }, changing: true},
	{name: "start-work", resource: capacity.Work, event: capacity.Start, kinds: []Kind{Simulated, Real, ControlServer}, of: func(r *Row) float64 { return r.StartCPUms / 1000 }, note: "Until the list is in force; of a control server, until all of them are served."},
	{name: "start-transfer", resource: capacity.Transfer, event: capacity.Start, kinds: []Kind{Simulated, Real}, of: func(r *Row) float64 { return r.StartBytes }},
}

// outcome is one series that a sweep yields of its cells.
type outcome struct {
	name      string
	resource  capacity.Resource
	event     capacity.Event
	statistic string
	hop       string
	of        func(*Result) float64
	note      string
}

const (
	hopWhole    = "discovery to engine"
	hopImpaired = "discovery to engine, the machine of one control server fell silent at that moment"
)

var outcomes = []outcome{
	{"real-ready", capacity.Delay, capacity.Start, "worst", "start of a real forwarder to its serving", func(r *Result) float64 { return r.RealReady.Max / 1000 }, "Beside all others, which run."},
	{"change-median", capacity.Delay, capacity.OneChange, "median", hopWhole, func(r *Result) float64 { return r.InForce.Median / 1000 }, ""},
	{"change-p99.9", capacity.Delay, capacity.OneChange, "p99.9", hopWhole, func(r *Result) float64 { return r.InForce.P999 / 1000 }, ""},
	{"change-worst", capacity.Delay, capacity.OneChange, "worst", hopWhole, func(r *Result) float64 { return r.InForce.Max / 1000 }, ""},
	{"change-impaired-p99.9", capacity.Delay, capacity.OneChange, "p99.9", hopImpaired, func(r *Result) float64 { return r.InForceImpaired.P999 / 1000 }, ""},
	{"change-impaired-worst", capacity.Delay, capacity.OneChange, "worst", hopImpaired, func(r *Result) float64 { return r.InForceImpaired.Max / 1000 }, ""},
}

// Series are the results of a run in the form of the capacity model. Of a sweep that varies the forwarders, which share the processors of one machine, those are left out that
// this would make larger, or that a fleet of the plan's size shows better: times, and what forwarders cost.
func Series(results []*Result, p *Provenance) (list []*capacity.Series, err error) {
	var rows []Row
	for _, r := range results {
		rows = append(rows, r.Rows...)
	}
	for _, sweep := range sweepsOf(rows) {
		crowded := forwardersVary(sweep, rows)
		for i := range quantities {
			for _, kind := range quantities[i].kinds {
				if crowded && kind != ControlServer {
					continue
				}
				list = append(list, seriesOf(&quantities[i], sweep, kind, results, p))
			}
		}
		for i := range outcomes {
			if crowded {
				continue
			}
			list = append(list, outcomeSeries(&outcomes[i], sweep, results, p))
		}
	}
	kept := list[:0]
	for _, s := range list {
		if len(s.Points) == 0 {
			continue // this run has not measured it
		}
		kept = append(kept, s)
		if checked := s.Check(); checked != nil {
			err = errors.Join(err, fmt.Errorf("%s: %w", s.Name, checked))
		}
	}
	return kept, err
}

// forwardersVary tells whether a sweep has several numbers of forwarders.
func forwardersVary(sweep string, rows []Row) bool {
	sizes := map[int64]bool{}
	for i := range rows {
		if rows[i].Sweep == sweep {
			sizes[rows[i].Forwarders] = true
		}
	}
	return len(sizes) > 1
}

// newSeries is a series without points.
func newSeries(sweep string, kind Kind, name string, resource capacity.Resource, results []*Result, p *Provenance) *capacity.Series {
	s := &capacity.Series{Name: fmt.Sprintf("scale-%s-%s-%s", sweep, kind, name), Mechanism: capacity.WholeList, Role: capacity.Forwarder, Resource: resource,
		Unit: capacity.UnitOf(resource), Process: "simulated", Command: p.Command, Commit: p.Commit, Machine: p.Machine, Date: p.Date}
	if kind != Simulated {
		s.Process = "real"
	}
	if kind == ControlServer {
		s.Role = capacity.ControlServer
	}
	var cells []Cell
	for _, r := range results {
		if r.Cell.Sweep == sweep {
			cells = append(cells, r.Cell)
		}
	}
	if p.ControlServers > 0 {
		s.Mechanism = capacity.PartialList
	} else {
		s.Name = fmt.Sprintf("scale-whole-%s-%s-%s", sweep, kind, name)
	}
	s.Variable, s.Held = held(cells, p)
	return s
}

// held tells which size the cells of a sweep vary, and which are the same in all of them.
func held(cells []Cell, p *Provenance) (variable capacity.Variable, sizes map[capacity.Variable]float64) {
	first, last := cells[0], cells[len(cells)-1]
	sizes = map[capacity.Variable]float64{}
	switch {
	case first.Forwarders == last.Forwarders:
		variable, sizes[capacity.Forwarders] = capacity.Destinations, float64(first.Forwarders)
	case first.Destinations == last.Destinations:
		variable, sizes[capacity.Destinations] = capacity.Forwarders, float64(first.Destinations)
	default: // both grow
		variable, sizes[capacity.PartDestinations] = capacity.Forwarders, float64(first.Destinations*p.Replicas)/float64(first.Members)
	}
	if p.ControlServers > 0 && first.Members > 2*first.Forwarders { // most hold a lease and nothing else
		sizes[capacity.Members] = float64(first.Members)
	}
	return variable, sizes
}

func seriesOf(q *quantity, sweep string, kind Kind, results []*Result, p *Provenance) *capacity.Series {
	s := newSeries(sweep, kind, q.name, q.resource, results, p)
	s.Event = q.event
	if q.changing {
		s.Held[capacity.ChangesPerSecond] = p.ChangeRate
	}
	s.Note = note(q.note, p)
	for _, result := range results {
		for i := range result.Rows {
			if r := &result.Rows[i]; r.Sweep == sweep && r.Kind == kind {
				s.Points = append(s.Points, capacity.Point{X: sizeOf(s.Variable, result.Cell), Y: max(0, q.of(r)), Seed: uint64(r.Seed)})
			}
		}
	}
	return s
}

func outcomeSeries(o *outcome, sweep string, results []*Result, p *Provenance) *capacity.Series {
	s := newSeries(sweep, Simulated, o.name, o.resource, results, p)
	s.Event, s.Statistic, s.Hop, s.Note = o.event, o.statistic, o.hop, note(o.note, p)
	for _, r := range results {
		if y := o.of(r); r.Cell.Sweep == sweep && y > 0 {
			s.Points = append(s.Points, capacity.Point{X: sizeOf(s.Variable, r.Cell), Y: y, Seed: r.Cell.Seed})
		}
	}
	return s
}

// sizeOf is what a cell has of the size that is varied.
func sizeOf(variable capacity.Variable, c Cell) float64 {
	if variable == capacity.Destinations {
		return float64(c.Destinations)
	}
	return float64(c.Forwarders)
}

// note says under which conditions a series was measured.
func note(own string, p *Provenance) string {
	text := strings.TrimSpace(fmt.Sprintf("%s Load of the machine before and after: %s and %s.", own, p.LoadBefore, p.LoadAfter))
	if p.ControlServers > 0 {
		partitions := fmt.Sprintf("%d partitions", p.Partitions)
		if p.Partitions == 0 {
			partitions = fmt.Sprintf("%d partitions for each forwarder or more, a power of two in all", p.PerNode)
		}
		text += fmt.Sprintf(" %d control servers, %s, %d replicas.", p.ControlServers, partitions, p.Replicas)
	}
	return text
}
