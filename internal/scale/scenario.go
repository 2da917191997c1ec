// Package scale measures what control costs a forwarder as the fleet and its destinations grow. Many simulated nodes run in one process, beside real
// forwarders and real control servers; every control connection is a real loopback socket. A simulated node has a forwarder's packages for list,
// ownership, look-ups, decisions and addresses, and no clients, calls or journal.
//
// scenario.go, cell.go, report.go and series.go decide what is run and what it comes to; directory.go, node.go, host.go and rig.go are the I/O.
package scale

import (
	"errors"
	"fmt"
	"math/bits"
	"os"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// Mechanism is how endpoints reach the forwarders.
type Mechanism string

// The mechanisms.
const (
	WholeList   Mechanism = "whole"   // every forwarder watches the whole list
	PartialList Mechanism = "partial" // every forwarder watches its own part at control servers
)

// The bounds of a scenario.
const (
	maxForwarders     = 10_000
	maxDestinations   = 3_000_000
	maxControlServers = 5
	maxRealForwarders = 10
	maxPerHost        = 1000
	maxSeeds          = 10
	maxWindow         = 5 * time.Minute
	maxChangeRate     = 10_000.0
	// maxEntries bounds what the simulated nodes of one cell hold together: some 2.4 kB each stay under 12 GB.
	maxEntries = 4_000_000
)

// Scenario is what a run measures, as a file says in HCL.
type Scenario struct {
	Mechanism      Mechanism `hcl:"mechanism"`
	Seeds          []uint64  `hcl:"seeds"`
	WindowText     string    `hcl:"window"`                            // of each measurement at rest and under changes
	ChangeRate     float64   `hcl:"changes_per_second"`                // in the second window
	Real           int       `hcl:"real_forwarders,optional"`          // beside the simulated nodes of each cell
	ControlServers int       `hcl:"control_servers,optional"`          // where the mechanism is partial
	Replicas       int       `hcl:"replicas,optional"`                 // owners of a destination, where the mechanism is partial
	Partitions     int       `hcl:"partitions,optional"`               // of all destinations, where the mechanism is partial
	PerNode        int       `hcl:"partitions_per_forwarder,optional"` // without replicas, where partitions is 0: the next power of two is taken
	Cached         int       `hcl:"cached,optional"`                   // destinations fetched on demand that a forwarder keeps
	LookupBytes    int       `hcl:"lookup_bytes,optional"`             // a second, for look-ups of a forwarder
	KeepWithdrawn  bool      `hcl:"keep_withdrawn,optional"`           // where there is one node it keeps which endpoints were withdrawn in a file, as a forwarder does
	KillControl    bool      `hcl:"kill_control,optional"`             // the machine of one control server falls silent, and a change is timed from that moment on
	LeaveForwarder bool      `hcl:"leave_forwarder,optional"`          // one forwarder leaves at the end, and what moves is counted
	Sweeps         []Sweep   `hcl:"sweep,block"`

	Window time.Duration
}

// Sweep is one series of cells: each number of forwarders with each number of destinations.
type Sweep struct {
	Name         string `hcl:"name,label"`
	Forwarders   []int  `hcl:"forwarders"`
	Members      int    `hcl:"members,optional"` // of the fleet; those that are not simulated hold a lease and nothing else. 0: only those that are
	Destinations []int  `hcl:"destinations,optional"`
	PerForwarder []int  `hcl:"destinations_per_forwarder,optional"` // in place of destinations: the total grows with the forwarders
}

// sizes are the numbers of destinations for a number of forwarders.
func (s *Sweep) sizes(forwarders int) (destinations []int) {
	destinations = append(destinations, s.Destinations...)
	for _, n := range s.PerForwarder {
		destinations = append(destinations, n*forwarders)
	}
	return destinations
}

// Cell is one measurement.
type Cell struct {
	Sweep        string
	Forwarders   int // simulated
	Members      int // all members of the fleet
	Destinations int
	Partitions   int
	Seed         uint64
}

// partitions are those for a number of members.
func (s *Scenario) partitions(members int) int {
	if s.Partitions > 0 {
		return s.Partitions
	}
	return 1 << bits.Len(uint(s.PerNode*members-1))
}

// String names a cell in logs and errors.
func (c Cell) String() string {
	return fmt.Sprintf("%s: %d forwarders, %d destinations, seed %d", c.Sweep, c.Forwarders, c.Destinations, c.Seed)
}

// Cells are all measurements of a scenario, in order.
func (s *Scenario) Cells() (cells []Cell) {
	for _, sweep := range s.Sweeps {
		for _, forwarders := range sweep.Forwarders {
			for _, destinations := range sweep.sizes(forwarders) {
				members := max(sweep.Members, forwarders+s.Real)
				for _, seed := range s.Seeds {
					cells = append(cells, Cell{Sweep: sweep.Name, Forwarders: forwarders, Members: members, Destinations: destinations, Partitions: s.partitions(members), Seed: seed})
				}
			}
		}
	}
	return cells
}

// problems collects what is wrong with a file.
type problems struct {
	file string
	list []error
}

func (p *problems) add(line int, format string, args ...any) {
	p.list = append(p.list, fmt.Errorf("%s:%d: %s", p.file, line, fmt.Sprintf(format, args...)))
}

// within checks a number against its bounds.
func (p *problems) within(line int, name string, value, low, high float64) {
	if value < low || value > high {
		p.add(line, "%s = %v: from %v to %v", name, value, low, high)
	}
}

// LoadScenario reads a file, and reports all that is wrong with it, each with its line and a remedy.
func LoadScenario(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	file, diagnostics := hclsyntax.ParseConfig(text, path, hcl.InitialPos)
	if diagnostics.HasErrors() {
		return nil, diagnostics
	}
	s := &Scenario{ControlServers: 3, Replicas: 3, PerNode: 256, Cached: 256, LookupBytes: 1500}
	if diagnostics := gohcl.DecodeBody(file.Body, nil, s); diagnostics.HasErrors() {
		return nil, diagnostics
	}
	body := file.Body.(*hclsyntax.Body)
	line := func(name string) int {
		if a := body.Attributes[name]; a != nil {
			return a.SrcRange.Start.Line
		}
		return 1
	}
	p := &problems{file: path}
	s.check(p, line)
	for i, block := range body.Blocks {
		s.checkSweep(p, block.DefRange().Start.Line, &s.Sweeps[i])
	}
	return s, errors.Join(p.list...)
}

// check reports what is wrong with the settings of the whole run.
func (s *Scenario) check(p *problems, line func(name string) int) {
	if s.Mechanism != WholeList && s.Mechanism != PartialList {
		p.add(line("mechanism"), "mechanism = %q: %s or %s", s.Mechanism, WholeList, PartialList)
	}
	var err error
	if s.Window, err = time.ParseDuration(s.WindowText); err != nil || s.Window <= 0 || s.Window > maxWindow {
		p.add(line("window"), "window = %q: a time with its unit, up to %v", s.WindowText, maxWindow)
	}
	if len(s.Seeds) == 0 || len(s.Seeds) > maxSeeds {
		p.add(line("seeds"), "seeds: from 1 to %d of them", maxSeeds)
	}
	if len(s.Sweeps) == 0 {
		p.add(1, "no sweep: add a block sweep with forwarders and destinations")
	}
	if s.Partitions < 0 || s.Partitions&(s.Partitions-1) != 0 {
		p.add(line("partitions"), "partitions = %d: a power of two", s.Partitions)
	}
	p.within(line("partitions_per_forwarder"), "partitions_per_forwarder", float64(s.PerNode), 1, 4096)
	p.within(line("changes_per_second"), "changes_per_second", s.ChangeRate, 0, maxChangeRate)
	p.within(line("real_forwarders"), "real_forwarders", float64(s.Real), 0, maxRealForwarders)
	p.within(line("control_servers"), "control_servers", float64(s.ControlServers), 1, maxControlServers)
	p.within(line("replicas"), "replicas", float64(s.Replicas), 1, 8)
	if s.KillControl && s.ControlServers < 2 {
		p.add(line("kill_control"), "kill_control with %d control server: set control_servers to 2 or more", s.ControlServers)
	}
}

// checkSweep reports what is wrong with one sweep.
func (s *Scenario) checkSweep(p *problems, line int, sweep *Sweep) {
	if len(sweep.Forwarders) == 0 || (len(sweep.Destinations) == 0) == (len(sweep.PerForwarder) == 0) {
		p.add(line, "sweep %q: forwarders, and either destinations or destinations_per_forwarder, name one size or more", sweep.Name)
	}
	for _, n := range sweep.Forwarders {
		p.within(line, "forwarders", float64(n), 1, maxForwarders)
		p.within(line, "members", float64(sweep.Members), 0, maxForwarders)
		for _, d := range sweep.sizes(n) {
			p.within(line, "destinations", float64(d), 1, maxDestinations)
			if held := s.held(n, max(n, sweep.Members), d); held > maxEntries {
				p.add(line, "%d forwarders with %d destinations hold %d entries: %d at most, so that the run stays under half of the memory", n, d, held, maxEntries)
			}
		}
	}
}

// held is how many entries the simulated nodes of a cell hold together.
func (s *Scenario) held(forwarders, members, destinations int) int {
	if s.Mechanism == WholeList {
		return forwarders * destinations
	}
	return forwarders * destinations / members * min(s.Replicas, members)
}

// hostSizes splits the simulated nodes of a cell over processes.
func hostSizes(nodes int) (sizes []int) {
	for ; nodes > maxPerHost; nodes -= maxPerHost {
		sizes = append(sizes, maxPerHost)
	}
	return append(sizes, nodes)
}
