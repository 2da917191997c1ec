package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"scaleroute/internal/plugin/host"
)

// TestMain makes the test binary the process that runs a plug-in if it is started with pluginHostCommand.
func TestMain(m *testing.M) {
	if len(os.Args) == 2 && os.Args[1] == pluginHostCommand {
		os.Exit(host.Main())
	}
	os.Exit(m.Run())
}

// TestExamplePlugins runs plugin check and plugin test on all example plug-ins.
func TestExamplePlugins(t *testing.T) {
	files, err := filepath.Glob("../../examples/plugins/*.star")
	if err != nil || len(files) < 6 {
		t.Fatal(files, err)
	}
	runTool(t, 0, append([]string{"plugin", "check"}, files...)...)
	got := runTool(t, 0, append([]string{"plugin", "test"}, files...)...)
	if !strings.Contains(got, " passed, 0 failed") {
		t.Error(got)
	}
}

// TestPluginCommands runs each plug-in command on good and bad input, and checks that errors are reported with their place.
func TestPluginCommands(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	star := write("p.star", "def intake(message):\n    return change(body = message.body + \"!\", header = {\"X-A\": \"1\"}, only = [\"s-1\"])\n\ndef final(message, end):\n    log(end)\n")
	write("p.samples.hcl", `
sample "right" {
  body = "a"
  endpoint "s-1" {}
  want {
    body   = "a!"
    header = { "X-A" = "1" }
    only   = ["s-1"]
  }
}

sample "wrong" {
  body = "b"
  endpoint "s-1" {}
  endpoint "s-2" {}
  want {
    body = "b?"
    only = ["s-2"]
  }
}

sample "of another destination" {
  endpoint "s-2" {}
  want {
    error = "no active endpoint"
  }
}
`)
	got := runTool(t, 1, "plugin", "test", star)
	for _, want := range []string{`sample "wrong"`, `body is "b!", expected "b?"`, `only is ["s-1"], expected ["s-2"]`, `header is "map[X-A:1]"`, "2 passed, 1 failed"} {
		if !strings.Contains(got, want) {
			t.Errorf("%s; %q is missing", got, want)
		}
	}
	body := write("body", "text")
	got = runTool(t, 0, "plugin", "run", star, "--body", body, "--endpoint", "s-1")
	for _, want := range []string{`body before:   4 bytes "text"`, `body after:    5 bytes "text!"`, "X-A: 1", "only:          s-1", "steps"} {
		if !strings.Contains(got, want) {
			t.Errorf("%s; %q is missing", got, want)
		}
	}
	if got = runTool(t, 0, "plugin", "run", star, "--point", "final", "--end", "failed"); !strings.Contains(got, "says:          failed") {
		t.Error(got)
	}
	if got = runTool(t, 1, "plugin", "run", star); !strings.Contains(got, `only names "s-1", which is no active endpoint`) {
		t.Error(got)
	}
	if got = runTool(t, 2, "plugin", "run", star, "--point", "call"); !strings.Contains(got, "has no hook call") {
		t.Error(got)
	}
	if got = runTool(t, 1, "plugin", "check", write("bad.star", "def intake(m):\n    return chnge()\n")); !strings.Contains(got, "bad.star:2:12: undefined: chnge (did you mean change?)") {
		t.Error(got)
	}
	if got = runTool(t, 2, "plugin", "test", write("q.star", "def intake(m):\n    pass\n")); !strings.Contains(got, "q.samples.hcl") {
		t.Error(got)
	}
	status := write("status", `{"plugins":[{"name":"p","circuit":"open","calls":7,"errors":[{"at":"2026-12-01T00:00:00Z","point":"intake","id":"7f","error":"why"}]}]}`)
	if got = runTool(t, 0, "plugin", "status", status); !strings.Contains(got, "p : circuit open") && !strings.Contains(got, "circuit open") || !strings.Contains(got, "intake 7f: why") {
		t.Error(got)
	}
}
