package capacity

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// Mechanism is what carries a role's cost.
type Mechanism string

// The mechanisms.
const (
	WholeList   Mechanism = "whole list"   // each forwarder holds all destinations
	PartialList Mechanism = "partial list" // each forwarder holds the destinations that it owns, and members are known by leases (docs/ownership.md)
	Gossip      Mechanism = "gossip"       // members hear of each other by memberlist
	Queue       Mechanism = "queue"        // messages that wait in a forwarder
)

// Role is who pays.
type Role string

// The roles.
const (
	Forwarder     Role = "forwarder"
	GossipProcess Role = "gossip process"
	Agent         Role = "agent" // the forwarder's source of endpoints
	ControlServer Role = "control server"
	OperatorsTool Role = "operators' tool"
	Target        Role = "target"
	ClientSide    Role = "client side"
)

// Resource is what is paid. Each has one unit.
type Resource string

// The resources.
const (
	State     Resource = "state"     // memory: peak resident set of the process, unless the note says otherwise
	Messages  Resource = "messages"  // bytes on the wire, both ways, headers included
	Processor Resource = "processor" // user and system time
	Work      Resource = "work"      // processor time that something takes once, such as a start
	Transfer  Resource = "transfer"  // bytes that something takes once, such as an answer
	Delay     Resource = "delay"     // wall time
	Kept      Resource = "kept"      // how many of what was offered are kept: a bound of the program
	Moved     Resource = "moved"     // times one's own part that one change of the members moves
	Evenness  Resource = "evenness"  // largest part as a multiple of the mean
)

var unitOf = map[Resource]string{State: "bytes", Messages: "bytes_per_second", Processor: "cores", Work: "cpu_seconds", Transfer: "bytes", Delay: "seconds", Kept: "count", Moved: "ratio", Evenness: "ratio"}

// UnitOf is the unit of a resource.
func UnitOf(r Resource) string { return unitOf[r] }

// Variable is the size that was varied.
type Variable string

// The variables.
const (
	Destinations      Variable = "destinations"       // in all
	PartDestinations  Variable = "part_destinations"  // that one forwarder owns
	Forwarders        Variable = "forwarders"         // in all
	ServedForwarders  Variable = "served_forwarders"  // by one control server
	Members           Variable = "members"            // that hear of each other
	QueuedMessages    Variable = "queued_messages"    // in one forwarder
	ChangesPerSecond  Variable = "changes_per_second" // of one entry each
	ChangedEntries    Variable = "changed_entries"    // in one change
	LookupsPerSecond  Variable = "lookups_per_second" // on demand, by one forwarder
	RestartsPerSecond Variable = "restarts_per_second"
)

// Event is what happens while it is measured.
type Event string

// The events. The zero Event is a calm.
const (
	Calm       Event = ""
	Start      Event = "start"       // of one process
	Machine    Event = "machine"     // goes and comes back, with its forwarders
	Rack       Event = "rack"        //
	Zone       Event = "zone"        //
	RegionCut  Event = "region cut"  // for minutes, then healed
	Restarts   Event = "restarts"    // an ordinary day's
	OneChange  Event = "one change"  // of one entry
	EveryEntry Event = "every entry" // a change that touches all
	Lookup     Event = "look-up"     // of one destination
)

var (
	mechanisms = []Mechanism{WholeList, PartialList, Gossip, Queue}
	roles      = []Role{Forwarder, GossipProcess, Agent, ControlServer, OperatorsTool, Target, ClientSide}
	resources  = []Resource{State, Messages, Processor, Work, Transfer, Delay, Kept, Moved, Evenness}
	variables  = []Variable{Destinations, PartDestinations, Forwarders, ServedForwarders, Members, QueuedMessages, ChangesPerSecond, ChangedEntries, LookupsPerSecond, RestartsPerSecond}
	events     = []Event{Calm, Start, Machine, Rack, Zone, RegionCut, Restarts, OneChange, EveryEntry, Lookup}
	processes  = []string{"", "real", "simulated", "model"}
	statistics = []string{"", "mean", "median", "p99", "p99.9", "worst"}
)

// Series is one cost measured at several sizes of one variable, all others held.
type Series struct {
	Mechanism Mechanism            `json:"mechanism"`
	Role      Role                 `json:"role"`
	Resource  Resource             `json:"resource"`
	Unit      string               `json:"unit"` // the resource's
	Variable  Variable             `json:"variable"`
	Event     Event                `json:"event,omitempty"`
	Hop       string               `json:"hop,omitempty"`       // of a delay: from where to where
	Statistic string               `json:"statistic,omitempty"` // over what one run saw; empty: it saw one
	Process   string               `json:"process,omitempty"`   // real, simulated, or model: the package alone, in a benchmark; empty: real
	Held      map[Variable]float64 `json:"held,omitempty"`      // other sizes of the runs
	Points    []Point              `json:"points"`

	Command string `json:"command"` // that anybody can run again
	Commit  string `json:"commit"`
	Machine string `json:"machine"`
	Date    string `json:"date"` // 2006-01-02
	Note    string `json:"note,omitempty"`

	Name string `json:"-"` // its file's, without .json
}

// Point is one run.
type Point struct {
	X    float64 `json:"x"`
	Y    float64 `json:"y"`
	Seed uint64  `json:"seed"` // or the number of the repeat
}

const (
	seriesSuffix  = ".json"
	maxSeriesSize = 1 << 20 // bytes of a file
	maxSeries     = 1000    // files of a folder
)

// ReadSeries reads one series.
func ReadSeries(path string) (*Series, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, maxSeriesSize+1))
	if err != nil {
		return nil, err
	}
	if len(text) > maxSeriesSize {
		return nil, fmt.Errorf("%s: over %d bytes: keep fewer points", path, maxSeriesSize)
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	s := &Series{}
	if err := decoder.Decode(s); err != nil {
		line := 1 + bytes.Count(text[:min(int64(len(text)), errorOffset(text, err, decoder))], []byte("\n"))
		return nil, fmt.Errorf("%s:%d: %w: write it as internal/capacity.Series has it", path, line, err)
	}
	s.Name = strings.TrimSuffix(filepath.Base(path), seriesSuffix)
	if err := s.Check(); err != nil {
		return nil, prefixLines(path, err)
	}
	return s, nil
}

func errorOffset(text []byte, err error, decoder *json.Decoder) int64 {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return syntax.Offset
	case errors.As(err, &kind):
		return kind.Offset
	}
	if _, field, unknown := strings.Cut(err.Error(), "unknown field "); unknown {
		return int64(max(0, bytes.Index(text, []byte(field))))
	}
	return decoder.InputOffset()
}

func prefixLines(prefix string, err error) error {
	var lines []string
	for _, line := range strings.Split(err.Error(), "\n") {
		lines = append(lines, prefix+": "+line)
	}
	return errors.New(strings.Join(lines, "\n"))
}

// ReadMeasured reads all series of a folder, by name.
func ReadMeasured(dir string) ([]*Series, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*"+seriesSuffix))
	if err != nil {
		return nil, err
	}
	if len(paths) > maxSeries {
		return nil, fmt.Errorf("%s: %d files: %d series at most", dir, len(paths), maxSeries)
	}
	var list []*Series
	var wrong []error
	for _, path := range paths {
		s, err := ReadSeries(path)
		list, wrong = append(list, s), append(wrong, err)
	}
	return list, errors.Join(wrong...)
}

// Write checks the series and writes it to a folder, in place of one of the same name, whole or not at all.
func (s *Series) Write(dir string) error {
	if err := s.Check(); err != nil {
		return prefixLines(s.Name, err)
	}
	if s.Name == "" || s.Name != filepath.Base(s.Name) {
		return fmt.Errorf("name %q: name the series as its file is to be named, without %s", s.Name, seriesSuffix)
	}
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	path := filepath.Join(dir, s.Name+seriesSuffix)
	if err := os.WriteFile(path+".next", append(text, '\n'), 0o644); err != nil {
		return err
	}
	return os.Rename(path+".next", path)
}

// Check says all that is wrong with a series, a line each with its field and a remedy.
func (s *Series) Check() error {
	var wrong []error
	report := func(field, format string, args ...any) {
		wrong = append(wrong, fmt.Errorf("%s: %s", field, fmt.Sprintf(format, args...)))
	}
	oneOf(report, "mechanism", s.Mechanism, mechanisms)
	oneOf(report, "role", s.Role, roles)
	oneOf(report, "resource", s.Resource, resources)
	oneOf(report, "variable", s.Variable, variables)
	oneOf(report, "event", s.Event, events)
	oneOf(report, "process", s.Process, processes)
	oneOf(report, "statistic", s.Statistic, statistics)
	if unit := unitOf[s.Resource]; unit != "" && s.Unit != unit {
		report("unit", "%q: %s is in %s", s.Unit, s.Resource, unit)
	}
	for variable, size := range s.Held {
		oneOf(report, "held", variable, variables)
		if variable == s.Variable || !(size >= 0) {
			report("held."+string(variable), "%v: 0 or more, of a variable that is not varied", size)
		}
	}
	for field, text := range map[string]string{"command": s.Command, "commit": s.Commit, "machine": s.Machine} {
		if strings.TrimSpace(text) == "" {
			report(field, "it is missing: say by what the figures can be had again")
		}
	}
	if _, err := time.Parse(time.DateOnly, s.Date); err != nil {
		report("date", "%q: write it as 2006-01-02", s.Date)
	}
	s.checkPoints(report)
	slices.SortFunc(wrong, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	return errors.Join(wrong...)
}

func (s *Series) checkPoints(report func(field, format string, args ...any)) {
	if len(s.Points) == 0 {
		report("points", "there are none: measure at least one, or leave the series out")
	}
	for i, p := range s.Points {
		if !(p.X >= 0) || math.IsInf(p.X, 0) {
			report(fmt.Sprintf("points[%d].x", i), "%v: a size is 0 or more", p.X)
		}
		if !(p.Y >= 0) || math.IsInf(p.Y, 0) {
			report(fmt.Sprintf("points[%d].y", i), "%v: a cost is 0 or more", p.Y)
		}
	}
}

func oneOf[T ~string](report func(field, format string, args ...any), field string, value T, known []T) {
	if !slices.Contains(known, value) {
		report(field, "%q: one of %q is known", value, known)
	}
}
