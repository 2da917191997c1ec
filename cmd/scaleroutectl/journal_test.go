package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"scaleroute/internal/journal"
	"scaleroute/internal/message"
)

// folder is a journal with some messages, still open as a forwarder has it.
func folder(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	j, err := journal.Open(dir, journal.Options{DiskLimit: 3e6})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { j.Close() })
	for i := range 40 {
		s := &journal.MessageState{ID: fmt.Sprintf("id%02d", i), Class: []string{"status-update", "signature-handover"}[i%2], Dest: i % 3,
			Deadline: time.Now().Add(time.Minute), Body: message.Bytes(strings.Repeat("x", 100))}
		if room, err := j.Reserve(s.Size()); !room || err != nil {
			t.Fatal(room, err)
		}
		if err := j.RecordAccepted(s); err != nil {
			t.Fatal(err)
		}
	}
	j.RecordSending("id01")
	j.RecordSending("id03")
	j.RecordOutcome("id03", true)
	j.RecordCompletion("id05", 'b', time.Second)
	if err := j.Flush(); err != nil {
		t.Fatal(err)
	}
	return dir
}

func tool(t *testing.T, want int, args ...string) string {
	t.Helper()
	var out, errs bytes.Buffer
	if got := run(args, &out, &errs); got != want {
		t.Fatalf("%v: exit %d, want %d: %s%s", args, got, want, &out, &errs)
	}
	return out.String() + errs.String()
}

func TestJournalCommands(t *testing.T) {
	dir := folder(t)
	if got := tool(t, 0, "journal", "verify", dir); !strings.Contains(got, "all records check; 40 messages") {
		t.Error(got)
	}
	var s struct {
		All   counts            `json:"all"`
		Class map[string]counts `json:"class"`
	}
	if err := json.Unmarshal([]byte(tool(t, 0, "journal", "stat", "-json", dir)), &s); err != nil {
		t.Fatal(err)
	}
	if s.All.Held != 40 || s.All.Bytes != 4000 || s.All.MayHaveRun != 2 || s.All.Ended != 1 || s.Class["status-update"].Held != 20 {
		t.Errorf("%+v", s)
	}
	if got := tool(t, 0, "journal", "stat", dir); !strings.Contains(got, "class signature-handover") {
		t.Error(got)
	}
	lines := strings.Split(strings.TrimSpace(tool(t, 0, "journal", "dump", dir)), "\n")
	if len(lines) != 40 || !strings.Contains(lines[5], `"end":"bounced"`) || !strings.Contains(lines[1], `"may_have_run":true`) {
		t.Errorf("%d lines, %s", len(lines), lines[1])
	}

	// One bit flipped is put right and told; a block destroyed costs what stood there. What is left can be repaired.
	names, err := filepath.Glob(filepath.Join(dir, "*.seg"))
	if err != nil || len(names) != 1 {
		t.Fatal(names, err)
	}
	text, err := os.ReadFile(names[0])
	if err != nil {
		t.Fatal(err)
	}
	copied := t.TempDir()
	at := bytes.Index(text, []byte("id20"))
	text[at+60] ^= 4
	damaged := filepath.Join(copied, filepath.Base(names[0]))
	write := func() {
		if err := os.WriteFile(damaged, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write()
	if got := tool(t, 1, "journal", "verify", copied); !strings.Contains(got, "put right") || !strings.Contains(got, "40 messages") {
		t.Error(got)
	}
	for i := range 30 {
		text[at+i] = 0xff
	}
	write()
	if got := tool(t, 1, "journal", "verify", copied); !strings.Contains(got, filepath.Base(damaged)) || !strings.Contains(got, "39 messages") {
		t.Error(got)
	}
	to := filepath.Join(t.TempDir(), "new")
	if got := tool(t, 0, "journal", "repair", copied, to); !strings.Contains(got, "39 messages written") {
		t.Error(got)
	}
	tool(t, 0, "journal", "verify", to)
	if got := tool(t, 2, "journal", "repair", copied, to); !strings.Contains(got, "is there already") {
		t.Error(got)
	}
	if after, _ := os.ReadFile(damaged); !bytes.Equal(after, text) {
		t.Error("the folder was changed")
	}
}

// TestOperatorsFiles checks, lays out and compiles files: what is wrong has its place and exit status 1, and replaces nothing.
func TestOperatorsFiles(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o640); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good := file("good.hcl", "journal {\ndurability=\"group\" # why\n}\n")
	bad, out := file("bad.hcl", "journal {\n  sync_every = 3\n}\n"), filepath.Join(dir, "out.json")
	samples, err := filepath.Glob("../../deploy/*.hcl")
	if err != nil || len(samples) == 0 {
		t.Fatal("no samples", err)
	}
	for _, s := range samples {
		tool(t, 0, "check", s)
		tool(t, 0, "fmt", "-check", s)
	}
	tool(t, 0, "check", good)
	if got := tool(t, 1, "check", bad); !strings.Contains(got, "bad.hcl line 2") || !strings.Contains(got, `"3ms"`) {
		t.Error(got)
	}
	var line struct{ Line int }
	if err := json.Unmarshal([]byte(tool(t, 1, "check", "-json", bad)), &line); err != nil || line.Line != 2 {
		t.Error(line, err)
	}
	tool(t, 0, "compile", good, "-o", out)
	before, err := os.ReadFile(out)
	if err != nil || !strings.Contains(string(before), `"durability": "group"`) {
		t.Fatal(string(before), err)
	}
	tool(t, 1, "compile", bad, "-o", out)
	if after, _ := os.ReadFile(out); !bytes.Equal(before, after) {
		t.Error("a bad file has replaced the resolved one")
	}
	limits := func(name, attempts string) string {
		return file(name, "limits \"slow\" {\n  destinations = [7]\n  attempts = "+attempts+"\n}\n")
	}
	two, three := limits("two.hcl", "2"), limits("three.hcl", "3")
	tool(t, 0, "diff", two, limits("same.hcl", "2"))
	if got := tool(t, 1, "diff", two, three); !strings.Contains(got, "every class and destination 7: attempts from 2 to 3") || !strings.Contains(got, "three.hcl:3") {
		t.Error(got)
	}
	tool(t, 2, "diff", two, bad)
	tool(t, 0, "compile", two, "-o", out)
	tool(t, 0, "diff", out, two) // what runs, and what it was made from
	if got := tool(t, 0, "explain", two, "--class", "x", "--destination", "7"); !strings.Contains(got, "attempts: 2") || !strings.Contains(got, "two.hcl:3") {
		t.Error(got)
	}
	if got := tool(t, 0, "explain", two, "--class", "x", "--destination", "8"); !strings.Contains(got, "attempts: as the platform says") {
		t.Error(got)
	}
	platform := file("platform.json", `{"seed":"1","settings":{"Limits":{"MaxAttempts":2},"Classes":[{"Name":"a","Effect":"pure","OnTime":1000.0,"Deadline":3000.0,"Worth":1.0,"LateShare":0.4}]}}`)
	tool(t, 0, "check", "--platform", platform, two)
	tool(t, 1, "compile", "--platform", platform, three, "-o", out)
	tool(t, 0, "diff", out, two)
	if got := tool(t, 1, "check", "--platform", platform, three); !strings.Contains(got, "three.hcl:3: 3 attempts, and the platform allows 2") {
		t.Error(got)
	}
	if got := tool(t, 1, "fmt", "-check", good, bad); got != good+"\n" {
		t.Error(got)
	}
	tool(t, 0, "fmt", "-w", good, bad)
	tool(t, 0, "fmt", "-check", good, bad)
	if text, _ := os.ReadFile(good); string(text) != "journal {\n  durability = \"group\" # why\n}\n" {
		t.Errorf("%q", text)
	}
	if info, err := os.Stat(good); err != nil || info.Mode().Perm() != 0o640 {
		t.Error("the file's mode has changed", err)
	}
	if names, _ := filepath.Glob(filepath.Join(dir, ".*")); len(names) > 0 {
		t.Error("left over:", names)
	}
}

func TestUsage(t *testing.T) {
	for _, args := range [][]string{{}, {"journal"}, {"other", "x"}, {"journal", "verify"}, {"journal", "mend", t.TempDir()},
		{"journal", "verify", "-fast", t.TempDir()}, {"journal", "verify", filepath.Join(t.TempDir(), "none")}} {
		if got := tool(t, 2, args...); got == "" {
			t.Errorf("%v: no word on what is wrong", args)
		}
	}
}
