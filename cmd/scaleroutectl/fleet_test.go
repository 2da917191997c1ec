package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"scaleroute/internal/journal"
	"scaleroute/internal/ledger"
	"scaleroute/internal/straggler"
	"scaleroute/internal/version"
)

// fakeFleetMember serves the admin API of a fleet member; puts returns the desired versions that it has received.
func fakeFleetMember(t *testing.T, members []straggler.View, want *straggler.Desired, record *ledger.Snapshot) (at string, puts func() []straggler.Desired) {
	t.Helper()
	var put []straggler.Desired
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Method + " " + r.URL.Path {
		case "GET /fleet":
			json.NewEncoder(w).Encode(fleetView{Name: "n1", Desired: want, Share: 0.2, Members: members})
		case "GET /versions":
			json.NewEncoder(w).Encode(map[string]any{"name": "n1", "clock": time.Now(), "vector": members[0].Vector})
		case "GET /ledger":
			json.NewEncoder(w).Encode(record)
		case "PUT /fleet/want":
			var v straggler.Desired
			if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
				t.Error(err)
			}
			put = append(put, v)
			io.WriteString(w, "ok\n")
		default:
			http.NotFound(w, r)
		}
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), func() []straggler.Desired { return put }
}

func runSeparate(args ...string) (status int, out, errs string) {
	var o, e bytes.Buffer
	status = run(args, &o, &e)
	return status, o.String(), e.String()
}

// TestFleetCommands checks the output, the exit status for each verdict, and the desired version that each command sets after the current one.
func TestFleetCommands(t *testing.T) {
	view := func(name string, v straggler.Verdict) straggler.View {
		return straggler.View{Name: name, Verdict: v, Remedy: "the remedy", Vector: version.Vector{Build: version.Build{Revision: "abcdef"}, List: version.List{Index: 7, Digest: 3}, Operators: version.Contents{Digest: 5}}}
	}
	for verdict, want := range map[straggler.Verdict]int{straggler.Current: 0, straggler.Stale: 1, straggler.FencedOff: 1, straggler.Silent: 3, straggler.Diverged: 4, straggler.Duplicate: 5} {
		at, _ := fakeFleetMember(t, []straggler.View{view("n1", straggler.Current), view("n2", verdict)}, nil, nil)
		status, out, errs := runSeparate("fleet", "status", "--at", at)
		if status != want || errs != "" || verdict != straggler.Current && !strings.Contains(out, "n2 is "+string(verdict)+"; remedy: the remedy") {
			t.Errorf("%s: %d, %s%s", verdict, status, out, errs)
		}
	}
	current := &straggler.Desired{Gen: 4, By: "x", Version: version.Desired{Index: 6}, ForceOut: []string{"n2"}}
	at, puts := fakeFleetMember(t, []straggler.View{view("n1", straggler.Current), view("n2", straggler.Current)}, current, nil)
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"want", "--index", "9", "--by", "me", "--deadline", "5s"}, `{"gen":5,"by":"me","deadline_ns":5000000000,"what":{"index":9}}`},
		{[]string{"want", "--newest", "--by", "me"}, `{"gen":5,"by":"me","deadline_ns":60000000000,"what":{"index":7}}`},
		{[]string{"want", "--nothing", "--by", "me"}, `{"gen":5,"by":"me","deadline_ns":60000000000,"what":{}}`},
		{[]string{"up", "--by", "me"}, `{"gen":5,"by":"me","deadline_ns":60000000000,"what":{"build":"abcdef","operators":"0000000000000005","index":7,"list":"0000000000000003"},"out":["n2"]}`},
		{[]string{"out", "--by", "me", "n1"}, `{"gen":5,"by":"me","deadline_ns":60000000000,"what":{"index":6},"out":["n2","n1"]}`},
		{[]string{"in", "--by", "me", "n2"}, `{"gen":5,"by":"me","deadline_ns":60000000000,"what":{"index":6},"in":["n2"]}`},
	} {
		before := len(puts())
		if status, out, errs := runSeparate(append([]string{"fleet", c.args[0], "--at", at}, c.args[1:]...)...); status != 0 || len(puts()) != before+1 {
			t.Errorf("%q: %d, %s%s", c.args, status, out, errs)
			continue
		}
		got, err := json.Marshal(puts()[before])
		if err != nil || string(got) != c.want {
			t.Errorf("%q sends %s, want %s (%v)", c.args, got, c.want, err)
		}
	}
	for args, want := range map[string]string{
		"want --at " + at:                      "no desired version given",
		"out --at " + at + " n9":               `knows no member "n9"`,
		"status --at 127.0.0.1:1":              "fleet block",
		"audit":                                "no audit logs named",
		"want --at " + at + " --operators /no": "/no",
	} {
		if status, _, errs := runSeparate(append([]string{"fleet"}, strings.Fields(args)...)...); status != 2 || !strings.Contains(errs, want) {
			t.Errorf("%s: %d, %s", args, status, errs)
		}
	}
}

// TestFleetAuditCommand audits an admin API and a folder, writes the table and the chart, and reports which members called an endpoint.
func TestFleetAuditCommand(t *testing.T) {
	dir := t.TempDir()
	l, err := ledger.Open(journal.DirFS(dir), 1<<20, "n2")
	if err != nil {
		t.Fatal(err)
	}
	v := version.Vector{List: version.List{Index: 7, Digest: 3}}
	l.RecordChange(ledger.CauseStart, "", time.Now(), v)
	for range 3 {
		l.BeginCall("t1", time.Now()).Complete(true, false)
	}
	record, err := ledger.Read(journal.DirFS(dir), "n2")
	if err != nil {
		t.Fatal(err)
	}
	at, _ := fakeFleetMember(t, []straggler.View{{Name: "n1", Vector: v}}, nil, record)
	table, chart := filepath.Join(dir, "calls.parquet"), filepath.Join(dir, "lists.png")
	status, out, errs := runSeparate("fleet", "audit", "--at", at, "--folder", "n2="+dir, "--folder", t.TempDir(), "--target", "t1", "--older", "8", "--quiet", "--steps", "--parquet", table, "--chart", chart)
	if status != 3 || !strings.Contains(out, "t1 under lists before 8: 6 calls have arrived, from 2 members") || !strings.Contains(out, "fleet.ledger") {
		t.Errorf("%d %s%s", status, out, errs)
	}
	for _, file := range []string{table, chart} {
		if info, err := os.Stat(file); err != nil || info.Size() < 100 {
			t.Errorf("%s: %v", file, err)
		}
	}
	if status, out, errs := runSeparate("fleet", "audit", "--door", at, "--json"); status != 0 || !json.Valid([]byte(out)) {
		t.Errorf("%d %s%s", status, out, errs)
	}
	if status, _, errs := runSeparate("fleet", "audit", "--door", at, "--quiet", "--parquet", fmt.Sprint(dir, "/no/calls.parquet")); status != 2 || !strings.Contains(errs, "no such file") {
		t.Errorf("%d %s", status, errs)
	}
}
