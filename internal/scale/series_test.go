package scale

import (
	"strings"
	"testing"

	"scaleroute/internal/capacity"
)

// cellsOf are results of one kind at some sizes.
func cellsOf(mechanism Mechanism, sizes ...Cell) (results []*Result) {
	for _, c := range sizes {
		real := Row{Mechanism: mechanism, Sweep: c.Sweep, Kind: Real, Forwarders: int64(c.Forwarders), Destinations: int64(c.Destinations), Seed: int64(c.Seed),
			Count: int64(c.Forwarders), HeapBytes: 1e6, CalmCPUPercent: 50}
		control := real
		control.Kind = ControlServer
		results = append(results, &Result{Cell: c, Rows: []Row{real, control}, PartsMaxOver: 1.1})
	}
	return results
}

// TestSeries: results are series that the capacity model takes, with the size that was varied and those that were held.
func TestSeries(t *testing.T) {
	whole := &Provenance{Command: "c", Commit: "1", Machine: "m", Date: "2026-01-02"}
	partial := &Provenance{Command: "c", Commit: "1", Machine: "m", Date: "2026-01-02", ControlServers: 3, Replicas: 3, PerNode: 256}
	for _, c := range []struct {
		name     string
		results  []*Result
		from     *Provenance
		variable capacity.Variable
		held     capacity.Variable
		size     float64
	}{
		{"destinations", cellsOf(WholeList, Cell{"s", 1, 2, 100, 0, 1}, Cell{"s", 1, 2, 300, 0, 1}), whole, capacity.Destinations, capacity.Forwarders, 1},
		{"forwarders", cellsOf(WholeList, Cell{"s", 10, 11, 100, 0, 1}, Cell{"s", 30, 31, 100, 0, 1}), whole, capacity.Forwarders, capacity.Destinations, 100},
		{"both", cellsOf(PartialList, Cell{"s", 10, 10, 1000, 64, 1}, Cell{"s", 30, 30, 3000, 64, 1}), partial, capacity.Forwarders, capacity.PartDestinations, 300},
		{"members", cellsOf(PartialList, Cell{"s", 10, 6800, 1000, 64, 1}, Cell{"s", 10, 6800, 3000, 64, 1}), partial, capacity.Destinations, capacity.Members, 6800},
	} {
		list, err := Series(c.results, c.from)
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		found := map[string]*capacity.Series{}
		for _, s := range list {
			found[s.Name] = s
		}
		prefix := "scale-s-control-"
		if c.from == whole {
			prefix = "scale-whole-s-control-"
		}
		peak := found[prefix+"peak"]
		if peak == nil || peak.Variable != c.variable || peak.Held[c.held] != c.size || len(peak.Points) != 2 {
			t.Errorf("%s: %+v", c.name, peak)
		}
		real := found[strings.Replace(prefix, "control", "real", 1)+"processor"]
		switch {
		case c.variable == capacity.Forwarders && real != nil: // they share one machine
			t.Errorf("%s: processor time is a series: %+v", c.name, real)
		case c.variable == capacity.Destinations && (real == nil || real.Points[0].Y != 0.5):
			t.Errorf("%s: half a core is %+v", c.name, real)
		}
		if s := found[prefix+"moved"]; s != nil {
			t.Errorf("%s: what was not measured is a series: %+v", c.name, s)
		}
	}
}

// TestProvenance: what a run notes of itself comes back.
func TestProvenance(t *testing.T) {
	dir := t.TempDir()
	p := Begin(&Scenario{Mechanism: PartialList, ControlServers: 2, Replicas: 3, PerNode: 256, ChangeRate: 5}, "command", "commit")
	if err := p.Write(dir); err != nil {
		t.Fatal(err)
	}
	if back, err := ReadProvenance(dir); err != nil || *back != *p {
		t.Errorf("%+v, %v", back, err)
	}
	if _, err := ReadProvenance(t.TempDir()); err == nil {
		t.Error("a folder without results has a provenance")
	}
}
