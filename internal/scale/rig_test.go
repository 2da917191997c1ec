package scale

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// hostCommand has the test binary stand in for a process of simulated nodes.
const hostCommand = "simulated-nodes"

// TestRig measures a cell of either mechanism, with real processes, and has each figure that it is to have.
func TestRig(t *testing.T) {
	own, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	buildPrograms(t, dir)
	for _, c := range []struct {
		scenario Scenario
		cell     Cell
		kinds    []Kind
	}{
		{Scenario{Mechanism: WholeList, Real: 1}, Cell{Sweep: "s", Forwarders: 3, Members: 4, Destinations: 40, Seed: 1}, []Kind{Simulated, Real}},
		{Scenario{Mechanism: PartialList, Real: 1, ControlServers: 2, Replicas: 3, Cached: 10, LookupBytes: 1500, KillControl: true},
			Cell{Sweep: "s", Forwarders: 4, Members: 9, Destinations: 200, Partitions: 256, Seed: 1}, []Kind{Simulated, Real, ControlServer}},
	} {
		s := c.scenario
		s.Window, s.ChangeRate = 300*time.Millisecond, 50
		rig := &Rig{Scenario: &s, Dir: dir, Forwarder: []string{filepath.Join(dir, "scaleroute")}, Control: []string{filepath.Join(dir, "scaleroute-control")},
			Host: []string{own, hostCommand}, Log: slog.Default()}
		result, err := rig.Run(t.Context(), c.cell)
		if err != nil {
			t.Fatalf("%s: %v", s.Mechanism, err)
		}
		checkResult(t, &s, result, c.kinds)
	}
}

func checkResult(t *testing.T, s *Scenario, r *Result, kinds []Kind) {
	t.Helper()
	if len(r.Rows) != len(kinds) {
		t.Fatalf("%s: %d rows, %d kinds", s.Mechanism, len(r.Rows), len(kinds))
	}
	for i, row := range r.Rows {
		if row.Kind != kinds[i] || row.PeakBytes <= 0 || row.StartCPUms <= 0 || row.Kind != ControlServer && row.StartBytes <= 0 {
			t.Errorf("%s: %+v", s.Mechanism, row)
		}
	}
	if r.Ready.Count != int64(r.Cell.Forwarders) || r.RealReady.Count != int64(s.Real) || r.InForce.Count == 0 {
		t.Errorf("%s: ready %+v, real %+v, in force %+v", s.Mechanism, r.Ready, r.RealReady, r.InForce)
	}
	if s.Mechanism == PartialList && (r.InForceImpaired.Count == 0 || r.PartsMean <= 0 || r.PartsMaxOver < 1) {
		t.Errorf("with a control server silent %+v, parts of %v, the largest %v times that", r.InForceImpaired, r.PartsMean, r.PartsMaxOver)
	}
}

// TestRigCancelled: a run that is ended leaves nothing that runs.
func TestRigCancelled(t *testing.T) {
	own, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	rig := &Rig{Scenario: &Scenario{Mechanism: WholeList, Window: time.Minute}, Dir: t.TempDir(), Host: []string{own, hostCommand}, Log: slog.Default()}
	if _, err := rig.Run(ctx, Cell{Sweep: "s", Forwarders: 1, Members: 1, Destinations: 10, Seed: 1}); err == nil {
		t.Error("a run that was cancelled has a result")
	}
	if left, err := os.ReadDir(rig.Dir); err != nil || len(left) > 0 {
		t.Errorf("%d folders are left: %v", len(left), err)
	}
}
