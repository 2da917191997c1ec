package steadyclock

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

const tolerance = 5 * time.Second // allows for a busy machine

// setWallClock makes the wall clock wrong by the given step until the test ends.
func setWallClock(t *testing.T, step time.Duration) {
	t.Helper()
	WallNow = func() time.Time { return time.Now().Add(step) }
	t.Cleanup(func() { WallNow = time.Now })
}

func isNear(got, want time.Duration) bool { return (got - want).Abs() < tolerance }

// TestDeadlineOutlastsClockStep guards against deadlines that move when the wall clock is set between two processes.
func TestDeadlineOutlastsClockStep(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, -3 * time.Second, 0, 3 * time.Second, time.Hour} {
		file := filepath.Join(t.TempDir(), "clock")
		before, err := Open(file)
		if err != nil {
			t.Fatal(err)
		}
		millis := before.Millis(time.Now().Add(time.Minute))
		setWallClock(t, step)
		after, err := Open(file)
		if err != nil {
			t.Fatal(err)
		}
		if left := time.Until(after.Time(millis)); !isNear(left, time.Minute) {
			t.Errorf("wall clock set by %v: %v left of a minute", step, left)
		}
	}
}

// TestUnusableClockFile: if the file is missing, malformed or from another boot, the clock starts from the wall clock
// and replaces the file.
func TestUnusableClockFile(t *testing.T) {
	for _, text := range []string{"", "4b1c7a3e-0000-0000-0000-000000000000 12\n", "nonsense", "x y z"} {
		file := filepath.Join(t.TempDir(), "clock")
		if text != "" {
			if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		for range 2 {
			c, err := Open(file)
			if err != nil {
				t.Fatal(err)
			}
			if got := time.Duration(c.Millis(time.Now())-time.Now().UnixMilli()) * time.Millisecond; !isNear(got, 0) {
				t.Errorf("with the file %q the clock differs from the wall clock by %v", text, got)
			}
		}
	}
	if c, err := Open(filepath.Join(t.TempDir(), "no", "folder")); err == nil || c.anchor.IsZero() {
		t.Errorf("in a folder that does not exist: clock %+v, error %v", c, err)
	}
}

// TestWallStep checks the reported step of a wall clock that was set, and that it is 0 if the other process has no
// uptime.
func TestWallStep(t *testing.T) {
	wall := time.Now()
	uptime, ok := Uptime()
	if !ok {
		t.Fatal("the system does not report its uptime")
	}
	setWallClock(t, time.Hour)
	if got := WallStep(wall, uptime); !isNear(got, time.Hour) {
		t.Error(got)
	}
	if got := WallStep(wall, 0); got != 0 {
		t.Errorf("a step of %v with an unknown uptime", got)
	}
}
