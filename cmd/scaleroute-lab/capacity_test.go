package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const (
	capacityPlan     = "../../experiments/capacity/plan.hcl"
	capacityMeasured = "../../experiments/capacity/measured"
)

// lab carries out a command.
func lab(args ...string) (status int, out, errs string) {
	var o, e bytes.Buffer
	status = command(args, &o, &e)
	return status, o.String(), e.String()
}

// TestCapacityPage: a page that is not what plan and series come to is exit status 1, until it is written.
func TestCapacityPage(t *testing.T) {
	page := filepath.Join(t.TempDir(), "page.md")
	current, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(page, []byte(strings.Replace(string(current), "| --- |", "| -- |", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	args := []string{"capacity", "--plan", capacityPlan, "--measured", capacityMeasured, "--page", page}
	if status, out, errs := lab(args...); status != 1 || !strings.Contains(out, "--write") {
		t.Errorf("status %d, %q, %q: want 1 and a remedy", status, out, errs)
	}
	if status, _, errs := lab(append(args, "--write")...); status != 0 {
		t.Errorf("status %d, %q", status, errs)
	}
	if status, _, errs := lab(args...); status != 0 {
		t.Errorf("status %d after writing, %q", status, errs)
	}
	if written, err := os.ReadFile(page); err != nil || string(written) != string(current) {
		t.Error("the page that was written is not the one that is kept")
	}
}

func TestCapacityTables(t *testing.T) {
	status, out, errs := lab("capacity", "--plan", capacityPlan, "--measured", capacityMeasured)
	if status != 0 {
		t.Fatalf("status %d, %q", status, errs)
	}
	for _, title := range []string{"What breaks first", "Calm", "Missing next", "Where the time of a change goes"} {
		if !strings.Contains(out, "## "+title+"\n") {
			t.Errorf("there is no table %q", title)
		}
	}
}

func TestCapacityErrors(t *testing.T) {
	for _, c := range []struct {
		want string
		args []string
	}{
		{"--repeats 0: from 1 to 10", []string{"capacity", "measure", "list", "--repeats", "0"}},
		{"none.hcl", []string{"capacity", "--plan", "none.hcl"}},
		{"--write: name the page", []string{"capacity", "--plan", capacityPlan, "--measured", capacityMeasured, "--write"}},
	} {
		if status, _, errs := lab(c.args...); status != 2 || !strings.Contains(errs, c.want) {
			t.Errorf("%q: status %d, %q, want 2 and %q", c.args, status, errs, c.want)
		}
	}
}

func TestCapacityMeasureNames(t *testing.T) {
	if status, out, _ := lab("capacity", "measure"); status != 0 || !strings.Contains(out, "every-entry") {
		t.Errorf("status %d, %q: want what can be measured", status, out)
	}
}
