package steadyclock

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

const tolerance = 5 * time.Second // for a busy machine

// setWall has the wall clock be wrong by a step until the test ends.
func setWall(t *testing.T, step time.Duration) {
	t.Helper()
	WallNow = func() time.Time { return time.Now().Add(step) }
	t.Cleanup(func() { WallNow = time.Now })
}

func near(got, want time.Duration) bool { return (got - want).Abs() < tolerance }

// TestDeadlineOutlastsClockStep guards against deadlines that move when the wall clock is set between two processes.
func TestDeadlineOutlastsClockStep(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, -3 * time.Second, 0, 3 * time.Second, time.Hour} {
		file := filepath.Join(t.TempDir(), "clock")
		before, err := Open(file)
		if err != nil {
			t.Fatal(err)
		}
		millis := before.Millis(time.Now().Add(time.Minute))
		setWall(t, step)
		after, err := Open(file)
		if err != nil {
			t.Fatal(err)
		}
		if left := time.Until(after.Time(millis)); !near(left, time.Minute) {
			t.Errorf("set by %v: %v left of a minute", step, left)
		}
	}
}

// TestAnotherBoot starts from the wall clock where the file is of another boot, spoilt or gone, and replaces it.
func TestAnotherBoot(t *testing.T) {
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
			if got := time.Duration(c.Millis(time.Now())-time.Now().UnixMilli()) * time.Millisecond; !near(got, 0) {
				t.Errorf("%q: %v off the wall clock", text, got)
			}
		}
	}
	if c, err := Open(filepath.Join(t.TempDir(), "no", "folder")); err == nil || c.anchor.IsZero() {
		t.Errorf("%+v, %v", c, err)
	}
}

// TestStep tells how far the wall clock was set.
func TestStep(t *testing.T) {
	wall := time.Now()
	uptime, ok := Uptime()
	if !ok {
		t.Fatal("no uptime")
	}
	setWall(t, time.Hour)
	if got := WallStep(wall, uptime); !near(got, time.Hour) {
		t.Error(got)
	}
	if got := WallStep(wall, 0); got != 0 {
		t.Errorf("%v from a process that does not tell its uptime", got)
	}
}
