package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// module is a small module whose packages fail in the ways that no list passes over, and in the one that a list may.
var module = map[string]string{
	"go.mod":               "module m\n\ngo 1.26.0\n",
	"red/red_test.go":      "package red\nimport \"testing\"\nfunc TestRed(t *testing.T) { t.Run(\"case\", func(t *testing.T) { t.Error(\"why\") }) }\nfunc TestGreen(t *testing.T) {}\n",
	"build/build_test.go":  "package build\nimport \"testing\"\nfunc TestRed(t *testing.T) { undefined() }\n",
	"panics/panic_test.go": "package panics\nimport \"testing\"\nfunc TestRed(t *testing.T) { panic(\"oh\") }\n",
	"exits/exit_test.go": "package exits\nimport (\"os\"; \"testing\")\nfunc TestMain(m *testing.M) { if m.Run() == 0 { os.Exit(0) }; panic(\"later\") }\n" +
		"func TestRed(t *testing.T) { t.Error(\"why\") }\n",
	"slow/slow_test.go": "package slow\nimport \"testing\"\nfunc TestRed(t *testing.T) { t.Error(\"why\") }\nfunc TestSlow(t *testing.T) { select {} }\n",
}

// TestRealRuns judges what go test itself writes of each.
func TestRealRuns(t *testing.T) {
	dir := t.TempDir()
	for name, text := range module {
		name = filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(name), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.WriteFile(filepath.Join(dir, "fail.sh"), []byte("#!/bin/sh\nexit 1\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	t.Chdir(dir)
	for _, c := range []struct {
		command string
		known   string
		status  int
		output  []string
	}{
		{"go test ./red", "m/red.TestRed | command | cause | issue 7", statusOK, []string{"red_test.go:3: why\n", "known red, passed over: m/red.TestRed: cause; seen by: command (issue 7)\nok\n1 passed, 1 failed\n"}},
		{"go test ./red", "", statusFailed, []string{"FAIL: m/red.TestRed/case failed\nFAIL\n1 passed, 1 failed\n"}},
		{"go test ./red", "m/red.TestGreen | command | cause | issue 7", statusFailed, []string{"KNOWN-RED.txt:1: m/red.TestGreen passes; delete the line\n"}},
		{"go test ./red", "m/red.TestRed", statusFailed, []string{"KNOWN-RED.txt:1: 1 fields, 4 are needed; write"}},
		{"go test ./red", "m/red.TestRed | command | cause | issue 7\nfail.sh 1s | ./fail.sh | lost | issue 8", statusOK, []string{"known red, passed over: fail.sh: lost; seen by: ./fail.sh (issue 8)\nok\n1 passed, 1 failed\n"}},
		{"go test ./red", "m/red.TestRed | command | cause | issue 7\nnone.sh 1s | ./none.sh | lost | issue 8", statusFailed, []string{"FAIL: KNOWN-RED.txt:2: there is no script none.sh; "}},
		{"go test ./build", "m/build.TestRed | command | cause | issue 7", statusFailed, []string{"undefined: undefined", "FAIL: m/build: build failed\n", "0 passed, 1 failed\n"}},
		{"go test ./panics", "m/panics.TestRed | command | cause | issue 7", statusFailed, []string{"panic: oh", "FAIL: m/panics: outside of a test: panic: oh"}},
		{"go test ./exits", "m/exits.TestRed | command | cause | issue 7", statusFailed, []string{"FAIL: m/exits: outside of a test: panic: later\n"}},
		{"go test -timeout 1s ./slow", "m/slow.TestRed | command | cause | issue 7", statusFailed, []string{"panic: test timed out", "FAIL: m/slow: TestSlow did not end"}},
		{"go test ./none", "", statusFailed, []string{"directory not found", "FAIL: ./none: build failed\n"}},
		{"exit 3", "", statusFailed, []string{"FAIL: go test ended with status 3"}},
	} {
		if err := os.WriteFile("KNOWN-RED.txt", []byte(c.known), 0o600); err != nil {
			t.Fatal(err)
		}
		var out strings.Builder
		if status := run([]string{"sh", "-c", c.command}, &out, &out); status != c.status {
			t.Errorf("%s with %q: status %d, want %d\n%s", c.command, c.known, status, c.status, out.String())
		}
		for _, want := range c.output {
			if !strings.Contains(out.String(), want) {
				t.Errorf("%s with %q: no %q in\n%s", c.command, c.known, want, out.String())
			}
		}
	}
}
