package capacity

import (
	"math"
	"strings"
	"testing"
)

// seriesOf makes one whose points lie on a line.
func seriesOf(mechanism Mechanism, role Role, resource Resource, variable Variable, event Event, intercept, slope float64, sizes ...float64) *Series {
	s := exampleSeries()
	s.Name = string(mechanism) + string(role) + string(resource) + string(variable) + string(event)
	s.Mechanism, s.Role, s.Resource, s.Variable, s.Event, s.Unit, s.Held = mechanism, role, resource, variable, event, UnitOf(resource), nil
	s.Points = pointsOn(func(x float64) float64 { return intercept + slope*x }, 0, sizes...)
	return s
}

func modelOf(t *testing.T, series ...*Series) *Model {
	t.Helper()
	for _, s := range series {
		if err := s.Check(); err != nil {
			t.Fatalf("%s: %v", s.Name, err)
		}
	}
	m, err := NewModel(loadPlan(t), series)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func rowOf(t *testing.T, m *Model, s *Series) *Row {
	t.Helper()
	rows := m.Find(func(r *Row) bool { return r.Series == s })
	if len(rows) != 1 {
		t.Fatalf("%s: %d rows", s.Name, len(rows))
	}
	return rows[0]
}

// TestExtrapolation works the first figures out: 26 MB and 2.4 kB each.
func TestExtrapolation(t *testing.T) {
	whole := seriesOf(WholeList, Forwarder, State, Destinations, Calm, 26e6, 2400, 2000, 20_000, 200_000)
	m := modelOf(t, whole)
	r := rowOf(t, m, whole)
	if r.Standing != Extrapolated || !r.Breaks() {
		t.Errorf("%s, breaks %v: want an extrapolation that breaks", r.Standing, r.Breaks())
	}
	near(t, "at the plan's size", r.Cost, 5.306e9, 1e-6)
	near(t, "used", r.Used(), 5306.0/32, 1e-6)
	near(t, "ends at", r.EndsAt, 2500, 1e-6)
	if broken := m.Broken(); len(broken) != 1 || broken[0] != r {
		t.Errorf("%d rows break, want the one", len(broken))
	}
	if text := breaksFirst(m); !strings.Contains(text, "partial list: not measured") || !strings.Contains(text, "2,500 destinations") {
		t.Errorf("the first table says neither where it ends nor what carries it:\n%s", text)
	}
}

func TestStandings(t *testing.T) {
	atSize := seriesOf(PartialList, ControlServer, State, Destinations, Calm, 1e7, 100, 2000, 2_200_000)
	oneSize := seriesOf(PartialList, Forwarder, Transfer, PartDestinations, Start, 1000, 60, 970_000)
	part := seriesOf(PartialList, Forwarder, State, PartDestinations, Calm, 26e6, 2400, 300, 900)
	m := modelOf(t, atSize, oneSize, part)
	if r := rowOf(t, m, atSize); r.Standing != Measured || r.Breaks() {
		t.Errorf("%s: the plan's size was run", r.Standing)
	}
	if r := rowOf(t, m, oneSize); r.Standing != NotMeasured || r.Used() != 0 {
		t.Errorf("%s, %g used: one size has no slope", r.Standing, r.Used())
	}
	if r := rowOf(t, m, part); r.Standing != Extrapolated || r.Breaks() {
		t.Errorf("%s, breaks %v: the part fits", r.Standing, r.Breaks())
	}
	missing := m.Find(func(r *Row) bool { return r.Series == nil })
	if len(missing) != len(demands)-3 {
		t.Errorf("%d costs are missing of %d, with three measured", len(missing), len(demands))
	}
	for _, r := range missing {
		if r.Standing != NotMeasured || r.Why == "" {
			t.Errorf("%s %s: %s, %q: it must say that and why", r.Role, r.what(), r.Standing, r.Why)
		}
	}
}

// TestBound: of members that are offered 4,096 are kept.
func TestBound(t *testing.T) {
	bounded := seriesOf(Gossip, Forwarder, Kept, Members, Calm, 0, 1, 1000, 3000)
	m := modelOf(t, bounded)
	if r := rowOf(t, m, bounded); r.Standing != NotMeasured || !math.IsInf(r.EndsAt, 1) {
		t.Errorf("%s, ends at %g: all were kept, as far as they were offered", r.Standing, r.EndsAt)
	}
	bounded.Points = append(bounded.Points, Point{X: 6800, Y: 4096, Seed: 1})
	r := rowOf(t, modelOf(t, bounded), bounded)
	if r.Standing != Measured || r.EndsAt != 4096 || !r.Breaks() {
		t.Errorf("%s, ends at %g, breaks %v: want a bound of 4,096 that breaks", r.Standing, r.EndsAt, r.Breaks())
	}
}

func TestEveryTableWithoutSeries(t *testing.T) {
	m := modelOf(t)
	for name, text := range m.Sections() {
		if strings.TrimSpace(text) == "" {
			t.Errorf("%s: it is empty", name)
		}
		if strings.Contains(text, "NaN") || strings.Contains(text, "Inf") || strings.Contains(text, "%!") {
			t.Errorf("%s: a figure that is none:\n%s", name, text)
		}
	}
	if text := missingNext(m); strings.Count(text, string(NotMeasured)) < 4 {
		t.Errorf("what was not measured is not said:\n%s", text)
	}
}

func TestMissingNext(t *testing.T) {
	lookup := seriesOf(PartialList, Forwarder, Transfer, PartDestinations, Lookup, 150, 0, 100, 900, 2000)
	gossip := seriesOf(Gossip, GossipProcess, Messages, Members, Calm, 0, 100, 10, 30, 90)
	text := missingNext(modelOf(t, lookup, gossip))
	for _, want := range []string{"| 30 members | 6,800 members | 227 times |", "10 look-ups a second of 150 B in 1.5 KB/s, which is 6.94% of the events", "14,700 calls a second into 33,000 dead ones", "3 regions"} {
		if !strings.Contains(text, want) {
			t.Errorf("it does not say %q:\n%s", want, text)
		}
	}
}

func TestSimulatedAgainstReal(t *testing.T) {
	realBytes := seriesOf(PartialList, Forwarder, Messages, PartDestinations, Calm, 0, 100, 300, 900)
	simulatedBytes := seriesOf(PartialList, Forwarder, Messages, PartDestinations, Calm, 0, 108, 300, 2700)
	realState := seriesOf(PartialList, Forwarder, State, PartDestinations, Calm, 20e6, 2000, 300, 900)
	simulatedState := seriesOf(PartialList, Forwarder, State, PartDestinations, Calm, 0, 1900, 300, 900)
	simulatedBytes.Process, simulatedState.Process = "simulated", "simulated"
	busy := seriesOf(PartialList, Forwarder, Messages, PartDestinations, Calm, 0, 900, 300, 900)
	busy.Name, busy.Held = "busy", map[Variable]float64{ChangesPerSecond: 5}
	text := simulated(modelOf(t, realBytes, simulatedBytes, realState, simulatedState, busy))
	if strings.Contains(text, "busy") {
		t.Errorf("a calm run is compared with one under changes:\n%s", text)
	}
	if !strings.Contains(text, "| 300 part destinations | 30 KB/s | 32.4 KB/s | +8.0% |") || strings.Contains(text, "2,700") {
		t.Errorf("want the size that both ran, and its difference:\n%s", text)
	}
	if !strings.Contains(text, "| 300 to 900 part destinations | 1.2 MB | 1.14 MB | -5.0% |") {
		t.Errorf("want the growth of memory:\n%s", text)
	}
}

func TestAmounts(t *testing.T) {
	for _, c := range []struct {
		value    float64
		resource Resource
		want     string
	}{{5.306e9, State, "5.31 GB"}, {2900, Messages, "2.9 KB/s"}, {0.049, Processor, "0.049 cores"}, {19.8, Work, "19.8 CPU s"}, {6800, Kept, "6,800"}, {1.25, Evenness, "1.25 times"}} {
		if got := amount(c.value, c.resource); got != c.want {
			t.Errorf("%g %s: %q, want %q", c.value, c.resource, got, c.want)
		}
	}
	for value, want := range map[float64]string{12_794_117: "12,800,000", 2500: "2,500", 999: "999", math.Inf(1): "never", 0.5: "0.5"} {
		if got := count(value); got != want {
			t.Errorf("%g: %q, want %q", value, got, want)
		}
	}
}

// TestSizeOfPart: a small fleet with many destinations has larger parts than the plan's, and counts at the plan's number for each forwarder.
func TestSizeOfPart(t *testing.T) {
	few := seriesOf(PartialList, Forwarder, State, Destinations, Calm, 20e6, 100, 10_000, 100_000)
	few.Held = map[Variable]float64{Forwarders: 100}
	many := seriesOf(PartialList, Forwarder, State, Forwarders, Calm, 20e6, 0, 10, 1000)
	many.Held = map[Variable]float64{Destinations: 32_353}
	server := seriesOf(PartialList, ControlServer, State, Destinations, Calm, 20e6, 100, 10_000, 100_000)
	server.Held = map[Variable]float64{Forwarders: 100}
	m := modelOf(t, few, many, server)
	near(t, "destinations of 100 forwarders", rowOf(t, m, few).Size, 32_353, 1e-4)
	near(t, "forwarders of 32,353 destinations", rowOf(t, m, many).Size, 100, 1e-4)
	near(t, "destinations of a control server", rowOf(t, m, server).Size, 2.2e6, 0)
	if standing := rowOf(t, m, few).Standing; standing != Extrapolated {
		t.Errorf("%s: a fleet of 100 is not the plan's", standing)
	}
}

// TestFirstNamesEachOnce: a cost that two series have is one line of what breaks first.
func TestFirstNamesEachOnce(t *testing.T) {
	one := seriesOf(WholeList, Forwarder, State, Destinations, Calm, 26e6, 2400, 2000, 20_000)
	two := seriesOf(WholeList, Forwarder, State, Destinations, Calm, 26e6, 2500, 2000, 20_000)
	two.Process = "simulated"
	text := breaksFirst(modelOf(t, one, two))
	if strings.Count(text, "| whole list |") != 1 || !strings.Contains(text, "state, simulated") {
		t.Errorf("want the worse of the two alone:\n%s", text)
	}
}

// TestChangesAtThePlansRate: what 98 changes a second cost beyond a calm is a thousandth of that at the plan's.
func TestChangesAtThePlansRate(t *testing.T) {
	calm := seriesOf(PartialList, Forwarder, Messages, PartDestinations, Calm, 200, 0, 300, 900, 2700)
	busy := seriesOf(PartialList, Forwarder, Messages, PartDestinations, Calm, 10_200, 0, 300, 900, 2700)
	busy.Name, busy.Held = "busy", map[Variable]float64{ChangesPerSecond: 98.4}
	r := rowOf(t, modelOf(t, calm, busy), busy)
	near(t, "at the plan's rate", r.Cost, 210, 0.01)
	if ends := r.ends(); ends != "" {
		t.Errorf("it ends at %q, which is not worked out of two runs", ends)
	}
	if r.Breaks() || !strings.Contains(r.from(), "at the plan's rate of changes") {
		t.Errorf("breaks %v, from %q: it was measured at another rate than the plan's", r.Breaks(), r.from())
	}
	if alone := rowOf(t, modelOf(t, busy), busy); alone.Allowed != 0 || alone.Used() != 0 {
		t.Errorf("%g allowed: without a calm run nothing is known of the plan's rate", alone.Allowed)
	}
}

// TestWorstOfEqualUse: where nothing is allowed or said, the dearer one counts.
func TestWorstOfEqualUse(t *testing.T) {
	cheap := seriesOf(PartialList, Forwarder, Transfer, Destinations, Start, 17_600, 0, 200_000, 2_200_000)
	dear := seriesOf(PartialList, Forwarder, Transfer, Destinations, Start, 37_700, 0, 200_000, 2_200_000)
	dear.Name = "dear"
	m := modelOf(t, cheap, dear)
	if r := worst(m.Find(func(r *Row) bool { return r.Event == Start && r.Resource == Transfer })); r == nil || r.Series != dear {
		t.Errorf("%+v: want the dearer one", r)
	}
}
