package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"scaleroute/internal/load"
)

// fakeLoadMember serves the admin API of a member with four endpoints, for 100 seconds. In each second it calls the first three endpoints 4 times each, or the first 20 times if
// heavy is set, and the last not at all.
func fakeLoadMember(t *testing.T, name string, heavy bool) string {
	t.Helper()
	now := time.Now()
	s := load.Snapshot{Name: name, Clock: now, Began: now.Unix() - 500, Until: now.Unix() - 1}
	for i, target := range []string{"s-a", "s-b", "s-c", "s-d"} {
		one := load.Target{Name: target, Destination: 7, Weight: 1, Serves: i < 3, Since: s.Began, Connections: 1}
		for range 100 {
			n := 4
			if heavy && i == 0 {
				n = 20
			}
			one.Calls = append(one.Calls, n*int(1&^(i/3)))
		}
		s.Targets = append(s.Targets, one)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method+" "+r.URL.Path != "GET /load" {
			http.NotFound(w, r)
			return
		}
		json.NewEncoder(w).Encode(s)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestFleetLoadCommand checks the report of the members' calls as text, JSON, a table and a chart. The table, read again, has the same counts, and each invalid input is named in an error.
func TestFleetLoadCommand(t *testing.T) {
	a, b := fakeLoadMember(t, "n1", true), fakeLoadMember(t, "n2", false)
	dir := t.TempDir()
	table, chart := filepath.Join(dir, "kept.parquet"), filepath.Join(dir, "load.png")
	status, out, errs := runSeparate("fleet", "load", "--quiet", "--door", a, "--door", b, "--door", "127.0.0.1:1", "--over", "60s", "--parquet", table, "--chart", chart)
	for _, want := range []string{"2 members, 60 s", "destination 7: 2400 calls", "s-a", "hot spot: s-a had 240 calls", "cause: one sender", "starved: s-d", "drains for 2 members", "incomplete: 127.0.0.1:1"} {
		if !strings.Contains(out, want) {
			t.Errorf("no %q in\n%s%s", want, out, errs)
		}
	}
	if status != 1 {
		t.Errorf("exit %d with a hot spot, want 1", status)
	}
	if text, err := os.ReadFile(chart); err != nil || !bytes.HasPrefix(text, []byte("\x89PNG")) {
		t.Errorf("invalid chart: %v", err)
	}
	counts := func(args ...string) (list []int) {
		_, out, errs := runSeparate(append([]string{"fleet", "load", "--quiet", "--json", "--over", "60s"}, args...)...)
		var r load.Report
		if err := json.Unmarshal([]byte(out), &r); err != nil || len(r.Destinations) != 1 {
			t.Fatalf("%v: %v %s%s", args, err, out, errs)
		}
		for _, one := range r.Destinations[0].Targets {
			list = append(list, one.Calls)
		}
		return list
	}
	if fetched, stored := counts("--door", a, "--door", b), counts("--from", table); len(fetched) != 4 || fetched[0] != 1440 || len(stored) != 4 || stored[0] != fetched[0] || stored[1] != fetched[1] || stored[3] != 0 {
		t.Errorf("from the members %v, from the table %v", fetched, stored)
	}
	if status, out, errs := runSeparate("fleet", "load", "--from", table, "--quiet"); status != 1 || !strings.Contains(out, "a table has no grounds") {
		t.Errorf("%d %s%s", status, out, errs)
	}
	invalid := filepath.Join(dir, "invalid.parquet")
	text, _ := os.ReadFile(table)
	for name, c := range map[string]struct {
		content []byte
		args    []string
		text    string
	}{
		"period too short":    {nil, []string{"--door", a, "--over", "3s"}, "--over 3s"},
		"no member named":     {nil, nil, "--door"},
		"unknown destination": {nil, []string{"--door", a, "--dest", "9"}, "--dest 9"},
		"not a table":         {[]byte("calls, many"), []string{"--from", invalid}, invalid},
		"truncated":           {text[:len(text)/2], []string{"--from", invalid}, invalid},
		"mismatched halves":   {append(bytes.Clone(text[:40]), text[len(text)-40:]...), []string{"--from", invalid}, invalid},
	} {
		os.WriteFile(invalid, c.content, 0o600)
		status, out, errs := runSeparate(append([]string{"fleet", "load", "--quiet"}, c.args...)...)
		if status != 2 || !strings.Contains(errs, c.text) {
			t.Errorf("%s: exit %d, %s%s", name, status, out, errs)
		}
	}
}
