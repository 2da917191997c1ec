package ci

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// TestScripts runs scripts that end in each way, by sh: one that was just written can be busy, since another case that starts a process meanwhile inherits its file.
// A script that fails once in five runs stays listed; one that passes five times has to leave.
func TestScripts(t *testing.T) {
	const countRuns = "echo run >> runs\n"
	for _, c := range []struct {
		name     string
		text     string // of the script; empty: there is none
		mode     os.FileMode
		duration time.Duration
		runs     int
		red      int
		notRun   int
		fault    string
		output   string
	}{
		{name: "fails", text: countRuns + "exit 1", runs: 1, red: 1},
		{name: "fails the fifth time", text: countRuns + "test $(wc -l < runs) -lt 5", runs: 5, red: 1},
		{name: "passes", text: countRuns, runs: 5, fault: "LIST:3: a/run.sh has passed 5 times in a row; delete the line"},
		{name: "could not run", text: countRuns + "echo no rig >&2; exit 2", runs: 1, fault: "LIST:3: a/run.sh could not run: status 2; build what it needs", output: "no rig\n"},
		{name: "ended by a signal", text: countRuns + "kill -9 $$", runs: 1, fault: "LIST:3: a/run.sh: signal: killed; correct"},
		{name: "hangs", text: countRuns + "echo stuck; sleep 600 & wait", runs: 1, duration: time.Millisecond, fault: "LIST:3: a/run.sh: ended after 2.002s, since its line says 1ms; correct", output: "stuck\n"},
		{name: "leaves a process behind", text: countRuns + "sleep 600 >/dev/null 2>&1 & echo $! > child; exit 1", runs: 1, red: 1},
		{name: "takes a minute", text: countRuns + "exit 1", duration: time.Minute, notRun: 1},
		{name: "absent", fault: "LIST:3: there is no script a/run.sh; write"},
		{name: "not executable", text: "exit 1", mode: 0o600, fault: "LIST:3: a/run.sh is not executable; chmod"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			folder := t.TempDir()
			if err := os.Mkdir(filepath.Join(folder, "a"), 0o700); err != nil {
				t.Fatal(err)
			}
			if c.text != "" {
				if err := os.WriteFile(filepath.Join(folder, "a/run.sh"), []byte("#!/bin/sh\n"+c.text+"\n"), 0o600); err != nil {
					t.Fatal(err)
				}
				mode := c.mode
				if mode == 0 {
					mode = 0o700
				}
				if err := os.Chmod(filepath.Join(folder, "a/run.sh"), mode); err != nil {
					t.Fatal(err)
				}
			}
			duration := c.duration
			if duration == 0 {
				duration = 10 * time.Second
			}
			var out strings.Builder
			runner := NewScriptRunner(filepath.Join(folder, "LIST"), &out)
			if c.duration == time.Millisecond {
				runner.slack = 2 * time.Second
			}
			v := &Verdict{}
			runner.Judge(v, []Entry{{Test: TestID{"m/a", "TestOne"}}, {Script: &Script{"a/run.sh", duration}, Command: "exec sh a/run.sh", File: "LIST", Line: 3}})
			if runs := countLines(filepath.Join(folder, "runs")); runs != c.runs || len(v.KnownRed) != c.red || len(v.NotRun) != c.notRun {
				t.Errorf("%d runs, %+v", runs, v)
			}
			switch {
			case c.fault == "" && len(v.Faults) > 0:
				t.Error(v.Faults)
			case c.fault != "" && (len(v.Faults) != 1 || !strings.HasPrefix(v.Faults[0].Error(), c.fault)):
				t.Errorf("%v, want %s", v.Faults, c.fault)
			}
			if child, err := os.ReadFile(filepath.Join(folder, "child")); err == nil && isRunning(strings.TrimSpace(string(child))) {
				t.Errorf("process %s still runs", child)
			}
			if out.String() != c.output {
				t.Errorf("printed %q", out.String())
			}
		})
	}
}

// isRunning tells whether a process exists that is not merely waiting for its parent to note its end.
func isRunning(id string) bool {
	for range 100 { // a signal takes effect a little later
		status, err := os.ReadFile(filepath.Join("/proc", id, "stat"))
		if err != nil || strings.Contains(string(status), ") Z ") {
			return false
		}
		time.Sleep(10 * time.Millisecond)
	}
	return true
}

func countLines(file string) int {
	text, err := os.ReadFile(file)
	if err != nil {
		return 0
	}
	return strings.Count(string(text), "\n")
}

// TestScriptsBudget: scripts that would begin after the time for all of them are printed as not run.
func TestScriptsBudget(t *testing.T) {
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, "run.sh"), []byte("#!/bin/sh\nexit 1\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	runner := NewScriptRunner(filepath.Join(folder, "LIST"), &strings.Builder{})
	runner.budget = 0
	v := &Verdict{Passed: 1}
	runner.Judge(v, []Entry{{Script: &Script{"run.sh", 5 * time.Second}, Command: "./run.sh, no seed", Seen: "lost", Issue: 7}})
	var summary strings.Builder
	v.Print(&summary)
	if want := "\nknown red, not run here: run.sh (5s): lost; seen by: ./run.sh, no seed (issue 7)\nok\n1 passed, 0 failed\n"; summary.String() != want {
		t.Errorf("%q, want %q", summary.String(), want)
	}
}

// TestTailBuffer: of a long output the end is kept.
func TestTailBuffer(t *testing.T) {
	b := &tailBuffer{limit: 5}
	for _, part := range []string{"one", "two", "three and four"} {
		if n, err := b.Write([]byte(part)); n != len(part) || err != nil {
			t.Errorf("%d, %v", n, err)
		}
	}
	if string(b.text) != " four" {
		t.Errorf("%q", b.text)
	}
}
