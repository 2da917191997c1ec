package steplog

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"scaleroute/internal/decide"
)

// TestCountFolder checks that the lines of a Writer are counted by second and destination in a log that has timestamps
// before them, unrelated lines between them and a truncated line at the end.
func TestCountFolder(t *testing.T) {
	var log strings.Builder
	w := NewWriter(&log)
	w.Step(0, []decide.Event{decide.TargetList{Targets: []decide.Target{{ID: "a", Destination: 4}}}}, nil)
	log.WriteString("1.250 ")
	w.Step(time.Second, []decide.Event{decide.Message{ID: "m1", Destination: 4}, decide.Message{ID: "m2", Destination: 4}},
		[]decide.Action{decide.Send{Message: "m1", Target: "a"}, decide.Refuse{Message: "m2", RetryAfter: time.Second}})
	log.WriteString("2.000 time=x msg=other\n2.100 ")
	w.Step(2*time.Second, []decide.Event{decide.Outcome{Message: "m1", Target: "a", Result: decide.Overloaded, RetryAfter: time.Second}},
		[]decide.Action{decide.Send{Message: "m1", Target: "a"}, decide.CloseIdle{Target: "a"}})
	w.Step(2*time.Second, []decide.Event{decide.Outcome{Message: "m1", Target: "a", Result: decide.Succeeded, NoAnswerNeeded: true}}, nil)
	log.WriteString("step: outcome dest=")
	dir := t.TempDir()
	if _, err := CountFolder(dir); err == nil || !strings.Contains(err.Error(), "-log-steps") {
		t.Errorf("error for an empty folder: %v", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "n0.log"), []byte(log.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	all, err := CountFolder(dir)
	if err != nil {
		t.Fatal(err)
	}
	for k, want := range map[Key]Counts{
		{1, 4}: {"take": 2, "send": 1, "refuse": 1},
		{2, 4}: {"full": 1, "told": 1, "again": 1, "close": 1, "done": 1},
	} {
		for _, c := range Columns {
			if all[k][c] != want[c] {
				t.Errorf("%+v: %d %s, want %d", k, all[k][c], c, want[c])
			}
		}
	}
	var table strings.Builder
	WriteTable(&table, all, true, 4)
	if lines := strings.Split(strings.TrimSpace(table.String()), "\n"); len(lines) != 3 || !strings.Contains(lines[0], "second") {
		t.Errorf("table:\n%s", table.String())
	}
}
