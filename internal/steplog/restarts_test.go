package steplog

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"scaleroute/internal/decide"
)

// TestCountRestarts checks that each message that was recovered without an earlier attempt is counted once: as sent,
// refused, failed, withdrawn or left to the next start.
func TestCountRestarts(t *testing.T) {
	var log strings.Builder
	recovered := func(id string, attempts int, left time.Duration) decide.Event {
		return decide.Message{ID: id, TimeLeft: left, Recovered: true, Attempts: attempts}
	}
	w := NewWriter(&log)
	log.WriteString("1.000 ")
	w.Step(0, []decide.Event{decide.Message{ID: "of a client"}}, []decide.Action{decide.Send{Message: "of a client"}})
	w = NewWriter(&log) // the next process
	log.WriteString("2.000 ")
	w.Step(0, []decide.Event{recovered("sent", 0, time.Minute), recovered("soon", 0, time.Minute), recovered("late", 0, time.Second), recovered("failed", 0, time.Minute),
		recovered("withdrawn", 0, time.Minute), recovered("waits", 0, time.Minute), recovered("tried", 2, time.Minute)}, []decide.Action{decide.Send{Message: "sent"}})
	log.WriteString("3.000 ")
	w.Step(time.Second, []decide.Event{decide.Withdrawn{Message: "withdrawn"}}, []decide.Action{decide.Refuse{Message: "soon"}, decide.Refuse{Message: "late"},
		decide.Fail{Message: "failed"}, decide.Send{Message: "tried"}, decide.Refuse{Message: "sent"}})
	w = NewWriter(&log)
	log.WriteString("4.000 ")
	w.Step(0, []decide.Event{recovered("waits", 0, time.Minute)}, nil)
	dir := filepath.Join(t.TempDir(), "day")
	if _, err := CountRestarts(filepath.Dir(dir)); err == nil || !strings.Contains(err.Error(), "-log-steps") {
		t.Errorf("error without logs: %v", err)
	}
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "n0.log"), []byte(log.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	all, err := CountRestarts(filepath.Dir(dir))
	if err != nil {
		t.Fatal(err)
	}
	want := RestartCounts{Starts: 2, Found: 8, Unattempted: 7, Sent: 1, Refused: 2, Failed: 1, Withdrawn: 1, Pending: 2, Expired: 1}
	if got := all["day"]; got == nil || *got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
	var table strings.Builder
	if WriteRestartTable(&table, all); !strings.Contains(table.String(), "untried") || strings.Count(table.String(), "\n") != 2 {
		t.Errorf("table:\n%s", table.String())
	}
}
