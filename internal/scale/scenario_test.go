package scale

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func writeScenario(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "scenario.hcl")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestScenarios: those of the repository can be read.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("../../experiments/scale/*.hcl")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d scenarios: %v", len(files), err)
	}
	for _, file := range files {
		if s, err := LoadScenario(file); err != nil || len(s.Cells()) == 0 {
			t.Errorf("%s: %v", file, err)
		}
	}
}

// TestCells: each size of a sweep with each other and each seed.
func TestCells(t *testing.T) {
	s, err := LoadScenario(writeScenario(t, `
mechanism          = "whole"
seeds              = [1, 2]
window             = "3s"
changes_per_second = 1
sweep "a" {
  forwarders   = [1, 3]
  destinations = [10, 30]
}
`))
	if err != nil {
		t.Fatal(err)
	}
	cells := s.Cells()
	if len(cells) != 8 || s.Window != 3*time.Second {
		t.Fatalf("%d cells, a window of %v", len(cells), s.Window)
	}
	if last := (Cell{"a", 3, 3, 30, 1024, 2}); cells[7] != last {
		t.Errorf("the last cell is %v", cells[7])
	}
}

// TestScenarioErrors: all that is wrong is reported at once, with its line and a remedy.
func TestScenarioErrors(t *testing.T) {
	path := writeScenario(t, `mechanism          = "half"
seeds              = []
window             = "soon"
changes_per_second = -1
partitions         = 100
control_servers    = 1
kill_control       = true
sweep "a" {
  forwarders   = [100000]
  destinations = [60000]
}
sweep "b" {
  forwarders   = [1]
  destinations = []
}
`)
	_, err := LoadScenario(path)
	if err == nil {
		t.Fatal("no error")
	}
	for _, want := range []string{":1: mechanism", ":2: seeds", ":3: window", ":4: changes_per_second", ":5: partitions", ":7: kill_control", ":8: forwarders", ":12: sweep"} {
		if !strings.Contains(err.Error(), path+want) {
			t.Errorf("no %q in:\n%v", want, err)
		}
	}
	if _, err := LoadScenario(writeScenario(t, `mechanism = `)); err == nil {
		t.Error("a file that is no HCL is read")
	}
}

// TestBounds: the simulated nodes of a cell hold no more together than fits into half of the memory.
func TestBounds(t *testing.T) {
	whole, partial := &Scenario{Mechanism: WholeList}, &Scenario{Mechanism: PartialList, Replicas: 3}
	if n := whole.held(300, 300, 2000); n != 600_000 {
		t.Errorf("whole list: %d", n)
	}
	if n := partial.held(3000, 3000, 200_000); n != 600_000 {
		t.Errorf("partial list: %d", n)
	}
	if n := partial.held(2, 2, 200_000); n != 400_000 {
		t.Errorf("partial list with fewer forwarders than replicas: %d", n)
	}
	if n := partial.held(30, 6600, 2_200_000); n != 30*1000 {
		t.Errorf("partial list of a part of the fleet: %d", n)
	}
	if sizes := hostSizes(maxPerHost*2 + 1); len(sizes) != 3 || sizes[2] != 1 {
		t.Errorf("hosts: %v", sizes)
	}
}
