package faults

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// TestPlanFollowsItsFile has operations fail as the file says, from its change on, and not any more once it is gone.
func TestPlanFollowsItsFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "faults")
	plan := NewPlan(path, 1)
	if err := plan.Fails("disk write"); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte("disk write=EIO sync=ENOSPC@0.5\nclock -3s\n\naccept EMFILE\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := plan.Fails("disk write"); !errors.Is(err, syscall.EIO) {
		t.Error(err)
	}
	if err := plan.Fails("accept"); !errors.Is(err, syscall.EMFILE) {
		t.Error(err)
	}
	if got := plan.ClockStep(); got != -3*time.Second {
		t.Error(got)
	}
	failed := 0
	for range 1000 {
		if plan.Fails("disk sync") != nil {
			failed++
		}
	}
	if failed < 400 || failed > 600 {
		t.Errorf("%d of 1000 fail with a share of a half", failed)
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if err := plan.Fails("disk write"); err != nil {
		t.Error(err)
	}
}

// TestBadFile names the line and what is wrong with it.
func TestBadFile(t *testing.T) {
	for text, want := range map[string]string{
		"disk write=EIO\ntape read=EIO": `line 2: "tape" is no kind of fault`,
		"disk write":                    `line 1: "write": write an operation and an error, as write=EIO`,
		"accept EWHAT":                  `line 1: "EWHAT" is no error known here`,
	} {
		if _, err := parse(text); err == nil || err.Error() != want {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}
