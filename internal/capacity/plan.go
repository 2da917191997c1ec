// Package capacity works out what the operators' plan costs by figures that were measured at smaller sizes: it reads the plan and the measured series, fits a curve to each
// series, and evaluates it at the plan's size against what is allowed there. It measures nothing itself.
package capacity

import (
	"cmp"
	"fmt"
	"math"
	"os"
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// Plan is the size that the operators expect, as a file says in the operators' language. Each figure has its unit in its name.
type Plan struct {
	Forwarders                 float64 `hcl:"forwarders"`
	EventsPerSecond            float64 `hcl:"events_per_second"`
	Destinations               float64 `hcl:"destinations"`
	DestinationsDownPercent    float64 `hcl:"destinations_down_percent"`
	BacklogEvents              float64 `hcl:"backlog_events"`
	Regions                    float64 `hcl:"regions"`
	Zones                      float64 `hcl:"zones"`
	ConfigurationChangesPerDay float64 `hcl:"configuration_changes_per_day"`
	ChangeInForceSeconds       float64 `hcl:"change_in_force_seconds"`

	Allowed   Allowance `hcl:"allowed,block"`
	Failures  Failures  `hcl:"failures,block"`
	Ownership Ownership `hcl:"partial_list,block"`
	Limits    Limits    `hcl:"limits,block"`
}

// Allowance is what control may cost.
type Allowance struct {
	ForwarderCores          float64 `hcl:"forwarder_cores"`
	ForwarderBytes          float64 `hcl:"forwarder_bytes"`
	ForwarderBytesPerSecond float64 `hcl:"forwarder_bytes_per_second"`
	ForwarderReadySeconds   float64 `hcl:"forwarder_ready_seconds"`
	ControlServers          float64 `hcl:"control_servers"`
	ControlServersAlive     float64 `hcl:"control_servers_alive"` // after failures
	ControlServerCores      float64 `hcl:"control_server_cores"`
	ControlServerBytes      float64 `hcl:"control_server_bytes"`
	ForwarderMachineBytes   float64 `hcl:"forwarder_machine_bytes"` // for messages that are queued
	LargestPartOfMean       float64 `hcl:"largest_part_of_mean"`
	MovedOfOwnPart          float64 `hcl:"moved_of_own_part"` // when one forwarder leaves
}

// Failures are those that the plan reckons with.
type Failures struct {
	MachinesPerDay      float64 `hcl:"machines_per_day"`
	RestartsPerDay      float64 `hcl:"restarts_per_day"`
	RacksPerWeek        float64 `hcl:"racks_per_week"`
	ZonesPerMonth       float64 `hcl:"zones_per_month"`
	RegionCutsPerYear   float64 `hcl:"region_cuts_per_year"`
	RegionCutSeconds    float64 `hcl:"region_cut_seconds"`
	ForwardersInMachine float64 `hcl:"forwarders_in_machine"`
	ForwardersInRack    float64 `hcl:"forwarders_in_rack"`
}

// Ownership is how the mechanism of the partial list would be set (docs/ownership.md).
type Ownership struct {
	Partitions           float64 `hcl:"partitions"`
	Replicas             float64 `hcl:"replicas"`
	FetchedDestinations  float64 `hcl:"fetched_destinations"`    // on demand, kept at most
	LookupBytesPerSecond float64 `hcl:"lookup_bytes_per_second"` // of the allowed ones
}

// Limits are bounds of the program, kept here for the arithmetic; a test holds them against the code.
type Limits struct {
	ListAnswerBytes float64 `hcl:"list_answer_bytes"`
	Members         float64 `hcl:"members"`
	ControlMembers  float64 `hcl:"control_members"`
}

const secondsPerDay = 24 * 60 * 60

// LoadPlan reads a plan, and says all that is wrong with it, each with its place and a remedy.
func LoadPlan(path string) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	file, diagnostics := hclsyntax.ParseConfig(text, path, hcl.InitialPos)
	if diagnostics.HasErrors() {
		return nil, diagnostics
	}
	plan := &Plan{}
	if diagnostics := gohcl.DecodeBody(file.Body, nil, plan); diagnostics.HasErrors() {
		return nil, diagnostics
	}
	return plan, checkPlan(path, file.Body.(*hclsyntax.Body), plan)
}

// checker collects what is wrong with a plan, with the place of each figure.
type checker struct {
	path  string
	body  *hclsyntax.Body
	wrong []string
}

func (c *checker) report(attribute *hclsyntax.Attribute, remedy string) {
	c.wrong = append(c.wrong, fmt.Sprintf("%s:%d: %s: %s", c.path, attribute.SrcRange.Start.Line, attribute.Name, remedy))
}

// attribute finds a figure; block is empty for those outside of blocks.
func (c *checker) attribute(block, name string) *hclsyntax.Attribute {
	for _, one := range c.body.Blocks {
		if one.Type == block {
			return one.Body.Attributes[name]
		}
	}
	return c.body.Attributes[name]
}

// positive holds figures against 0. All are numbers above it but for those of zeroAllowed.
func (c *checker) positive(attributes hclsyntax.Attributes) {
	for name, attribute := range attributes {
		value, _ := attribute.Expr.Value(nil)
		number, _ := value.AsBigFloat().Float64()
		if number < 0 || number == 0 && !zeroAllowed[name] || math.IsInf(number, 0) {
			c.report(attribute, fmt.Sprintf("%v: write a number above 0, in the unit that the name says", number))
		}
	}
}

// checkPlan holds each figure against its range.
func checkPlan(path string, body *hclsyntax.Body, plan *Plan) error {
	c := &checker{path: path, body: body}
	c.positive(body.Attributes)
	for _, block := range body.Blocks {
		c.positive(block.Body.Attributes)
	}
	if plan.DestinationsDownPercent > 100 {
		c.report(c.attribute("", "destinations_down_percent"), "a share, from 0 to 100")
	}
	if plan.Allowed.ControlServersAlive > plan.Allowed.ControlServers {
		c.report(c.attribute("allowed", "control_servers_alive"), "no more than control_servers can be alive: lower it")
	}
	if plan.Zones < plan.Regions {
		c.report(c.attribute("", "zones"), "each region has at least one: raise it, or lower regions")
	}
	if n := plan.Ownership.Partitions; n != math.Trunc(n) || n < 1 || int64(n)&(int64(n)-1) != 0 {
		c.report(c.attribute("partial_list", "partitions"), "a power of two, as ownership asks for")
	}
	if len(c.wrong) > 0 {
		return fmt.Errorf("%s", strings.Join(sorted(c.wrong), "\n"))
	}
	return nil
}

var zeroAllowed = map[string]bool{"destinations_down_percent": true, "machines_per_day": true, "racks_per_week": true, "zones_per_month": true, "region_cuts_per_year": true, "fetched_destinations": true}

// EventsPerForwarder is what one forwarder sees in a second.
func (p *Plan) EventsPerForwarder() float64 { return p.EventsPerSecond / p.Forwarders }

// PartDestinations is how many destinations a forwarder owns, in the mean.
func (p *Plan) PartDestinations() float64 {
	return p.Destinations * min(1, p.Ownership.Replicas/p.Forwarders)
}

// ForwardersInZone is how many fail with a zone.
func (p *Plan) ForwardersInZone() float64 { return math.Round(p.Forwarders / p.Zones) }

// ForwardersInRegion is how many are cut off with a region.
func (p *Plan) ForwardersInRegion() float64 { return math.Round(p.Forwarders / p.Regions) }

// Size is the plan's size in a variable of a series, and whether the plan says it.
func (p *Plan) Size(variable Variable) (size float64, known bool) {
	switch variable {
	case Destinations:
		return p.Destinations, true
	case Forwarders, Members:
		return p.Forwarders, true
	case PartDestinations:
		return p.PartDestinations(), true
	case ServedForwarders:
		return p.Forwarders / p.Allowed.ControlServersAlive, true
	case QueuedMessages:
		return p.BacklogEvents / p.Forwarders, true
	case ChangesPerSecond:
		return p.ConfigurationChangesPerDay / secondsPerDay, true
	case ChangedEntries:
		return p.Destinations, true
	case LookupsPerSecond:
		return p.EventsPerForwarder() * (1 - p.PartDestinations()/p.Destinations), true
	case RestartsPerSecond:
		return p.Failures.RestartsPerDay / secondsPerDay, true
	}
	return 0, false
}

// sorted orders texts by the line number in them where they have one, else by themselves.
func sorted(texts []string) []string {
	line := func(text string) (n int) {
		fmt.Sscanf(text[strings.Index(text, ":")+1:], "%d:", &n)
		return n
	}
	return slices.SortedFunc(slices.Values(texts), func(a, b string) int { return cmp.Or(cmp.Compare(line(a), line(b)), cmp.Compare(a, b)) })
}
