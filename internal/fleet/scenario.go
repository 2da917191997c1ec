package fleet

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// Scenario is a fleet, the load on it, and what is done to it when, as a file says in the operators' language.
type Scenario struct {
	Forwarders   int     `hcl:"forwarders"`
	Destinations int     `hcl:"destinations,optional"`
	Targets      int     `hcl:"targets,optional"` // of each
	Zones        int     `hcl:"zones,optional"`
	Rate         float64 `hcl:"rate,optional"` // messages a second, at each forwarder
	For          string  `hcl:"for"`
	Left         string  `hcl:"left,optional"` // how long a message may be delivered
	Latency      string  `hcl:"latency,optional"`
	Body         int     `hcl:"body,optional"`
	Seed         uint64  `hcl:"seed,optional"`
	MustAsk      bool    `hcl:"must_ask,optional"`
	Gossip       bool    `hcl:"gossip,optional"`
	Operators    string  `hcl:"operators,optional"` // a resolved file; beside the scenario's
	Steps        []Act   `hcl:"at,block"`

	Length   time.Duration
	Lifetime time.Duration
	Takes    time.Duration
	file     string
}

// Act is one thing that is done.
type Act struct {
	When string `hcl:"when,label"`
	Do   string `hcl:"do"`

	Who    []string `hcl:"who,optional"`   // names; none and no share: all, where that makes sense
	Share  float64  `hcl:"share,optional"` // of the forwarders, others for each act of one tag
	Tag    string   `hcl:"tag,optional"`   // those that were drawn are drawn again under it
	Edge   string   `hcl:"edge,optional"`  // one of edges
	Way    string   `hcl:"way,optional"`   // up, down or both
	Time   string   `hcl:"time,optional"`  // of a delay, of a lag, or until a deadline
	Bytes  int      `hcl:"bytes,optional"` // of a piece
	Odds   float64  `hcl:"odds,optional"`  // that a piece resets its connection, or a packet is lost
	Folder string   `hcl:"folder,optional"`
	Target int      `hcl:"target,optional"` // its number, from 0
	File   string   `hcl:"file,optional"`   // a resolved operators' file
	Signal bool     `hcl:"signal,optional"` // a reload is told by SIGHUP
	But    string   `hcl:"but,optional"`    // to all but those under this tag

	At    time.Duration
	Delay time.Duration
	where hcl.Range
}

// acts are those that there are, and what each needs.
var acts = map[string]string{
	"kill": "who", "end": "who", "restart": "who", "stop": "who", "continue": "who",
	"cut": "edge", "lose": "edge", "silence": "edge", "delay": "edge", "thin": "edge", "reset": "edge", "heal": "edge",
	"drain": "target", "delete": "target", "serve": "target", "replace": "target", "silent": "target", "well": "target",
	"lag": "list", "down": "list", "up": "list", "fork": "list",
	"set": "file", "want": "want", "mark": "",
}

var edges = []string{"list", "clients", "targets", "members", "all"}

var folders = []string{"", "kept", "lost", "damaged", "swapped"}

// LoadScenario reads a file, and says all that is wrong with it, each with its line and a remedy.
func LoadScenario(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	file, diags := hclsyntax.ParseConfig(text, path, hcl.InitialPos)
	if diags.HasErrors() {
		return nil, diags
	}
	s := &Scenario{Destinations: 3, Targets: 4, Zones: 1, Rate: 5, Left: "4s", Latency: "20ms", Body: 200, Seed: 1, file: path}
	if diags := gohcl.DecodeBody(file.Body, nil, s); diags.HasErrors() {
		return nil, diags
	}
	for i, b := range file.Body.(*hclsyntax.Body).Blocks {
		s.Steps[i].where = b.DefRange()
	}
	c := &scenarioCheck{scenario: s}
	c.checkFleet()
	for i := range s.Steps {
		c.checkAct(&s.Steps[i])
	}
	slices.SortStableFunc(s.Steps, func(a, b Act) int { return int(a.At - b.At) })
	if len(c.wrong) > 0 {
		return nil, fmt.Errorf("%s", strings.Join(c.wrong, "\n"))
	}
	return s, nil
}

// scenarioCheck collects what is wrong with a scenario, and fills in the times that are written as texts.
type scenarioCheck struct {
	scenario *Scenario
	wrong    []string
}

func (c *scenarioCheck) fail(line int, format string, args ...any) {
	c.wrong = append(c.wrong, fmt.Sprintf("%s:%d: %s", c.scenario.file, line, fmt.Sprintf(format, args...)))
}

func (c *scenarioCheck) duration(line int, name, text string, to *time.Duration) {
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 || d > time.Hour {
		c.fail(line, "%s = %q is no time: write it with its unit, from 0s to 1h", name, text)
	}
	*to = d
}

// checkFleet checks the fleet and the load.
func (c *scenarioCheck) checkFleet() {
	s := c.scenario
	c.duration(1, "for", s.For, &s.Length)
	c.duration(1, "left", s.Left, &s.Lifetime)
	c.duration(1, "latency", s.Latency, &s.Takes)
	for _, bound := range []struct {
		name       string
		value      float64
		least, top float64
	}{
		{"forwarders", float64(s.Forwarders), 1, 1000},
		{"destinations", float64(s.Destinations), 1, 100},
		{"targets", float64(s.Targets), 1, 100},
		{"zones", float64(s.Zones), 1, 20},
		{"rate", s.Rate, 0.01, 10_000},
		{"body", float64(s.Body), 0, 64 << 10},
	} {
		if bound.value < bound.least || bound.value > bound.top {
			c.fail(1, "%s = %v: from %v to %v", bound.name, bound.value, bound.least, bound.top)
		}
	}
}

// checkAct checks one act.
func (c *scenarioCheck) checkAct(a *Act) {
	line := a.where.Start.Line
	c.duration(line, "at", a.When, &a.At)
	if a.Time != "" {
		c.duration(line, "time", a.Time, &a.Delay)
	}
	needs, known := acts[a.Do]
	if !known {
		c.fail(line, "nothing is called %q: do is one of %s", a.Do, strings.Join(slices.Sorted(maps.Keys(acts)), ", "))
	}
	if a.At > c.scenario.Length {
		c.fail(line, "at %v, and the run is over after %v: set for = higher, or this lower", a.At, c.scenario.Length)
	}
	c.checkWho(a, needs)
	if needs == "edge" {
		c.checkEdge(a)
	}
	c.checkObject(a, needs)
}

// checkWho checks the forwarders that an act names or draws.
func (c *scenarioCheck) checkWho(a *Act, needs string) {
	line := a.where.Start.Line
	for _, name := range a.Who {
		n := 0
		if _, err := fmt.Sscanf(name, "n%d", &n); err != nil || n < 1 || n > c.scenario.Forwarders {
			c.fail(line, "there is no forwarder %q: they are n1 to n%d", name, c.scenario.Forwarders)
		}
	}
	if a.Share < 0 || a.Share > 1 || a.Odds < 0 || a.Odds > 1 || a.Bytes < 0 {
		c.fail(line, "share and odds go from 0 to 1, and bytes from 0 on")
	}
	if needs == "who" && len(a.Who) == 0 && a.Share == 0 && a.Tag == "" {
		c.fail(line, "%s whom? Set who, or share", a.Do)
	}
}

// checkEdge checks the edge of an act that needs one.
func (c *scenarioCheck) checkEdge(a *Act) {
	line := a.where.Start.Line
	if !slices.Contains(edges, a.Edge) {
		c.fail(line, "edge = %q: list, clients, targets, members or all", a.Edge)
	}
	if a.Do == "silence" && !slices.Contains([]string{"up", "down", "both"}, a.Way) {
		c.fail(line, "way = %q: up (from who connects), down or both", a.Way)
	}
	if (a.Edge == "members" || a.Do == "lose") && !c.scenario.Gossip {
		c.fail(line, "%s between members that do not gossip: set gossip = true", a.Do)
	}
	if a.Do == "lose" && a.Edge != "members" {
		c.fail(line, "edge = %q: packets go between members alone; thin or reset what goes elsewhere", a.Edge)
	}
}

// checkObject checks the target, desired version, file or folder of an act.
func (c *scenarioCheck) checkObject(a *Act, needs string) {
	line, s := a.where.Start.Line, c.scenario
	if needs == "target" && (a.Target < 0 || a.Target >= s.Destinations*s.Targets) {
		c.fail(line, "there is no target %d: they go from 0 to %d", a.Target, s.Destinations*s.Targets-1)
	}
	if needs == "want" && !s.Gossip {
		c.fail(line, "a want is told among members that gossip: set gossip = true")
	}
	if needs == "file" && a.File == "" {
		c.fail(line, "set what? Name a resolved file by file = ")
	}
	if !slices.Contains(folders, a.Folder) {
		c.fail(line, "folder = %q: kept, lost, damaged or swapped", a.Folder)
	}
}
