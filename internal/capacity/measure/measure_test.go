package measure

import (
	"context"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"scaleroute/internal/capacity"
)

// smallLab builds the program and has it run at small sizes, for moments.
func smallLab(t *testing.T, sizes ...int) *Lab {
	t.Helper()
	if _, err := exec.LookPath("go"); err != nil {
		t.Fatal("the lab builds the program: ", err)
	}
	dir := t.TempDir()
	text, err := exec.Command("go", "build", "-o", dir, "scaleroute/cmd/scaleroute", "scaleroute/cmd/scaleroute-gossip", "scaleroute/cmd/scaleroutectl", "scaleroute/cmd/scaleroute-control").CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, text)
	}
	return &Lab{Program: filepath.Join(dir, "scaleroute"), Tool: filepath.Join(dir, "scaleroutectl"), Commit: "test", Operators: "../../../experiments/fleet/operators.json", Folder: t.TempDir(),
		Repeats: 1, Sizes: sizes, Small: true, Progress: func(string) {}}
}

// TestMeasurements has each measurement run at two small sizes: each of its series is whole and can be kept.
func TestMeasurements(t *testing.T) {
	lab := smallLab(t)
	for name, sizes := range map[string][]int{"list": {20, 200}, "idle": {20, 200}, "changes": {0, 20}, "every-entry": {20, 200}, "queue": {50, 100}, "members": {2, 3}, "member-bound": {1000, 4200}, "decide": {1000, 3000}, "ownership": {3, 10}, "catalog": {1000, 3000}, "control": {1000, 3000}, "part": {1000, 3000}, "served": {20, 40}} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
			defer cancel()
			lab.Sizes = sizes
			list, err := lab.Run(ctx, name)
			if err != nil {
				t.Fatal(err)
			}
			if len(list) != len(measurements[name].series) {
				t.Errorf("%d series, want %d", len(list), len(measurements[name].series))
			}
			for _, s := range list {
				checkMeasured(t, s, sizes)
			}
		})
	}
	if len(measurements) != 13 {
		t.Errorf("%d measurements: each belongs in this test", len(measurements))
	}
}

func checkMeasured(t *testing.T, s *capacity.Series, sizes []int) {
	t.Helper()
	if err := s.Write(t.TempDir()); err != nil {
		t.Error(err)
	}
	if len(s.Points) != len(sizes) && s.Name != memberMemory {
		t.Errorf("%s: %d points at %d sizes", s.Name, len(s.Points), len(sizes))
	}
	for _, p := range s.Points {
		if p.Y == 0 && (s.Resource == capacity.State || s.Resource == capacity.Transfer || s.Resource == capacity.Delay || s.Resource == capacity.Kept) {
			t.Errorf("%s: nothing at %g", s.Name, p.X)
		}
		if s.Name == membersKept && p.Y != min(p.X, 4096) {
			t.Errorf("of %g members %g are kept, want 4,096 at most", p.X, p.Y)
		}
	}
	if !strings.Contains(s.Command, "capacity measure ") || !strings.Contains(s.Note, "Load of the machine") {
		t.Errorf("%s: %q, %q: by which command, and on which load?", s.Name, s.Command, s.Note)
	}
}

func TestUnknownMeasurement(t *testing.T) {
	if _, err := (&Lab{}).Run(context.Background(), "weather"); err == nil || !strings.Contains(err.Error(), `"weather"`) || !strings.Contains(err.Error(), "every-entry") {
		t.Errorf("%v: it must name what there is", err)
	}
}

func TestJoiningNeedsGossip(t *testing.T) {
	if _, err := joining("../../../experiments/fleet/none.json", "127.0.0.1:1"); err == nil {
		t.Error("a file that is not there")
	}
	text, err := joining("../../../experiments/fleet/operators.json", "127.0.0.1:77")
	if err != nil || !strings.Contains(string(text), `"127.0.0.1:77"`) {
		t.Errorf("%s, %v: it does not join the member", text, err)
	}
}
