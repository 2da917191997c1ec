package main

import (
	"os"
	"strings"
	"testing"
	"time"

	"scaleroute/internal/soak"
)

// TestSoak runs some seeds of the soak test, shortened, with real processes.
func TestSoak(t *testing.T) {
	for _, c := range []struct {
		kinds []soak.Kind
		seed  uint64
	}{
		{[]soak.Kind{soak.Disk, soak.Kill}, 11},
		{[]soak.Kind{soak.Repeats, soak.Folder, soak.Accept, soak.Connect}, 12},
		{[]soak.Kind{soak.Clock, soak.Term, soak.Discovery, soak.Pause}, 13},
		{[]soak.Kind{soak.Sick, soak.Resets, soak.Pieces, soak.Drain, soak.Disk}, 14},
		{[]soak.Kind{soak.Replay, soak.Kill, soak.Term, soak.Disk}, 3},
		{[]soak.Kind{soak.Replace, soak.Late, soak.Drain, soak.Pause, soak.Kill}, 12},
		{[]soak.Kind{soak.Upgrade, soak.Crowd, soak.Replace, soak.Late}, 13},
		{[]soak.Kind{soak.Series, soak.Crowd, soak.Late, soak.Replace}, 7},
		{[]soak.Kind{soak.Connecting, soak.Outage, soak.Pause}, 6},
		{[]soak.Kind{soak.Pause, soak.Connecting}, 5},
		{[]soak.Kind{soak.Lists, soak.Drain, soak.Term}, 6},
		{[]soak.Kind{soak.Scarce, soak.Kill}, 3},
	} {
		t.Run(string(c.kinds[0]), func(t *testing.T) {
			t.Parallel()
			shape := soak.DefaultShape()
			shape.Forwarders, shape.Length, shape.Left, shape.Kinds = 2, 5*time.Second, 4*time.Second, c.kinds
			program := soak.Program{Command: []string{os.Args[0]}, Env: []string{"SCALEROUTE_TEST_MAIN=1", exitWithoutRaceDelay}, Dir: t.TempDir()}
			list := soak.Draw(shape, c.seed)
			result, err := soak.Run(t.Context(), program, shape, c.seed, list)
			if err != nil {
				t.Fatal(err)
			}
			for _, fault := range list {
				t.Log(fault)
			}
			if result.IsBroken() || result.Open > 0 {
				t.Errorf("%+v, %d open\n%s", result.Verdict, result.Open, strings.Join(append(result.Broken, result.Timelines...), "\n"))
			}
		})
	}
}
