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

// newTestJournal returns the folder of a journal with 40 messages and the id of a completed one. The journal is still open, as in a running forwarder.
func newTestJournal(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	j, err := journal.Open(dir, journal.Options{DiskLimit: 3e6, CompletedIDBytes: 2400})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { j.Close() })
	for i := range 41 {
		s := &journal.MessageState{ID: fmt.Sprintf("id%02d", i), Class: []string{"status-update", "signature-handover"}[i%2], Dest: i % 3,
			Deadline: time.Now().Add(time.Minute), Body: message.Bytes(strings.Repeat("x", 100))}
		if reserved, err := j.Reserve(s.Size()); !reserved || err != nil {
			t.Fatal(reserved, err)
		}
		if err := j.RecordAccepted(s); err != nil {
			t.Fatal(err)
		}
	}
	j.RecordSending("id01")
	j.RecordSending("id03")
	j.RecordOutcome("id03", true)
	j.RecordCompletion("id05", 'b', time.Second)
	j.RecordSending("id40")
	j.RecordCompleted("id40", journal.Delivered)
	if err := j.Flush(); err != nil {
		t.Fatal(err)
	}
	return dir
}

func runTool(t *testing.T, want int, args ...string) string {
	t.Helper()
	var out, errs bytes.Buffer
	if got := run(args, &out, &errs); got != want {
		t.Fatalf("%v: exit %d, want %d: %s%s", args, got, want, &out, &errs)
	}
	return out.String() + errs.String()
}

func TestJournalCommands(t *testing.T) {
	dir := newTestJournal(t)
	if got := runTool(t, 0, "journal", "verify", dir); !strings.Contains(got, "all records are valid; 40 messages") {
		t.Error(got)
	}
	var s struct {
		All          messageCounts            `json:"all"`
		Class        map[string]messageCounts `json:"class"`
		CompletedIDs int                      `json:"completed_ids"`
	}
	if err := json.Unmarshal([]byte(runTool(t, 0, "journal", "stat", "-json", dir)), &s); err != nil {
		t.Fatal(err)
	}
	if s.All.Queued != 40 || s.All.Bytes != 4000 || s.All.MayHaveRun != 2 || s.All.Completed != 1 || s.Class["status-update"].Queued != 20 || s.CompletedIDs != 1 {
		t.Errorf("%+v", s)
	}
	if got := runTool(t, 0, "journal", "stat", dir); !strings.Contains(got, "class signature-handover") || !strings.Contains(got, "1 ids of completed messages") {
		t.Error(got)
	}
	lines := strings.Split(strings.TrimSpace(runTool(t, 0, "journal", "dump", dir)), "\n")
	if len(lines) != 40 || !strings.Contains(lines[5], `"end":"bounced"`) || !strings.Contains(lines[1], `"may_have_run":true`) {
		t.Errorf("%d lines, %s", len(lines), lines[1])
	}

	// A flipped bit is corrected and reported. A destroyed block loses the records in it, and repair still writes the other messages.
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
	if got := runTool(t, 1, "journal", "verify", copied); !strings.Contains(got, "put right") || !strings.Contains(got, "40 messages") {
		t.Error(got)
	}
	for i := range 30 {
		text[at+i] = 0xff
	}
	write()
	if got := runTool(t, 1, "journal", "verify", copied); !strings.Contains(got, filepath.Base(damaged)) || !strings.Contains(got, "39 messages") {
		t.Error(got)
	}
	to := filepath.Join(t.TempDir(), "new")
	if got := runTool(t, 0, "journal", "repair", copied, to); !strings.Contains(got, "39 messages written") {
		t.Error(got)
	}
	runTool(t, 0, "journal", "verify", to)
	if got := runTool(t, 2, "journal", "repair", copied, to); !strings.Contains(got, "already exists") {
		t.Error(got)
	}
	if after, _ := os.ReadFile(damaged); !bytes.Equal(after, text) {
		t.Error("repair changed the damaged segment in the source folder")
	}
}

// TestOperatorsFiles checks, formats and compiles files. An error is reported with its place and exit status 1, and the output file stays as it was.
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
		t.Fatal("no operators' files in deploy", err)
	}
	for _, s := range samples {
		runTool(t, 0, "check", s)
		runTool(t, 0, "fmt", "-check", s)
	}
	runTool(t, 0, "check", good)
	if got := runTool(t, 1, "check", bad); !strings.Contains(got, "bad.hcl line 2") || !strings.Contains(got, `"3ms"`) {
		t.Error(got)
	}
	var line struct{ Line int }
	if err := json.Unmarshal([]byte(runTool(t, 1, "check", "-json", bad)), &line); err != nil || line.Line != 2 {
		t.Error(line, err)
	}
	runTool(t, 0, "compile", good, "-o", out)
	before, err := os.ReadFile(out)
	if err != nil || !strings.Contains(string(before), `"durability": "group"`) {
		t.Fatal(string(before), err)
	}
	runTool(t, 1, "compile", bad, "-o", out)
	if after, _ := os.ReadFile(out); !bytes.Equal(before, after) {
		t.Error("compiling an invalid file has replaced the resolved file")
	}
	limits := func(name, attempts string) string {
		return file(name, "limits \"slow\" {\n  destinations = [7]\n  attempts = "+attempts+"\n}\n")
	}
	two, three := limits("two.hcl", "2"), limits("three.hcl", "3")
	runTool(t, 0, "diff", two, limits("same.hcl", "2"))
	if got := runTool(t, 1, "diff", two, three); !strings.Contains(got, "every class and destination 7: attempts from 2 to 3") || !strings.Contains(got, "three.hcl:3") {
		t.Error(got)
	}
	runTool(t, 2, "diff", two, bad)
	runTool(t, 0, "compile", two, "-o", out)
	runTool(t, 0, "diff", out, two) // a resolved file and its source
	if got := runTool(t, 0, "explain", two, "--class", "x", "--destination", "7"); !strings.Contains(got, "attempts: 2") || !strings.Contains(got, "two.hcl:3") {
		t.Error(got)
	}
	if got := runTool(t, 0, "explain", two, "--class", "x", "--destination", "8"); !strings.Contains(got, "attempts: as the platform says") {
		t.Error(got)
	}
	platform := file("platform.json", `{"seed":"1","settings":{"Limits":{"MaxAttempts":2},"Classes":[{"Name":"a","Effect":"pure","OnTime":1000.0,"Deadline":3000.0,"Worth":1.0,"LateShare":0.4}]}}`)
	runTool(t, 0, "check", "--platform", platform, two)
	runTool(t, 1, "compile", "--platform", platform, three, "-o", out)
	runTool(t, 0, "diff", out, two)
	if got := runTool(t, 1, "check", "--platform", platform, three); !strings.Contains(got, "three.hcl:3: 3 attempts, and the platform allows 2") {
		t.Error(got)
	}
	if got := runTool(t, 1, "fmt", "-check", good, bad); got != good+"\n" {
		t.Error(got)
	}
	runTool(t, 0, "fmt", "-w", good, bad)
	runTool(t, 0, "fmt", "-check", good, bad)
	if text, _ := os.ReadFile(good); string(text) != "journal {\n  durability = \"group\" # why\n}\n" {
		t.Errorf("%q", text)
	}
	if info, err := os.Stat(good); err != nil || info.Mode().Perm() != 0o640 {
		t.Error("the file's mode has changed", err)
	}
	if names, _ := filepath.Glob(filepath.Join(dir, ".*")); len(names) > 0 {
		t.Error("temporary files remain:", names)
	}
}

func TestUsageErrors(t *testing.T) {
	for _, args := range [][]string{{}, {"journal"}, {"other", "x"}, {"journal", "verify"}, {"journal", "mend", t.TempDir()},
		{"journal", "verify", "-fast", t.TempDir()}, {"journal", "verify", filepath.Join(t.TempDir(), "none")}} {
		if got := runTool(t, 2, args...); got == "" {
			t.Errorf("%v: no error text", args)
		}
	}
}
