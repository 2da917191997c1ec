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
	j, err := journal.Open(dir, journal.Options{Limit: 3e6})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { j.Close() })
	for i := range 40 {
		s := &journal.Saved{ID: fmt.Sprintf("id%02d", i), Class: []string{"status-update", "signature-handover"}[i%2], Dest: i % 3,
			Deadline: time.Now().Add(time.Minute), Body: message.Bytes(strings.Repeat("x", 100))}
		if room, err := j.Reserve(s.Size()); !room || err != nil {
			t.Fatal(room, err)
		}
		if err := j.Accepted(s); err != nil {
			t.Fatal(err)
		}
	}
	j.Sending("id01")
	j.Sending("id03")
	j.Outcome("id03", true)
	j.Ended("id05", 'b', time.Second)
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

func TestUsage(t *testing.T) {
	for _, args := range [][]string{{}, {"journal"}, {"other", "x"}, {"journal", "verify"}, {"journal", "mend", t.TempDir()},
		{"journal", "verify", "-fast", t.TempDir()}, {"journal", "verify", filepath.Join(t.TempDir(), "none")}} {
		if got := tool(t, 2, args...); got == "" {
			t.Errorf("%v: no word on what is wrong", args)
		}
	}
}
