package runner

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"scaleroute/internal/plugin"
)

// TestTrialCountsProcessorTime guards against samples that fail since other processes keep the plug-in from running: its process is stopped for three times
// the limit of a call. A call that uses the limit up by itself still fails.
func TestTrialCountsProcessorTime(t *testing.T) {
	const limit = 100 * time.Millisecond
	setLimit := func(s *plugin.Spec) { s.Time, s.Steps = limit, 1<<40 }
	quick, err := NewTestProcess(command(t), spec(t, "quick", "def intake(message):\n    return change(body = \"seen\")\n", setLimit))
	if err != nil {
		t.Fatal(err)
	}
	defer quick.Close()
	if err := quick.process.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	stopped := quick.process.cmd.Process
	time.AfterFunc(3*limit, func() { stopped.Signal(syscall.SIGCONT) })
	if r, err := quick.Call(&plugin.Request{Point: plugin.Intake, ID: "m"}); err != nil || string(r.Body) != "seen" {
		t.Errorf("a stopped process: %+v, %v", r, err)
	}

	slow, err := NewTestProcess(command(t), spec(t, "slow", "def intake(message):\n    x = 0\n    for i in range(600000):\n        x += i\n", setLimit))
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	if r, err := slow.Call(&plugin.Request{Point: plugin.Intake, ID: "m"}); err == nil || !strings.HasPrefix(err.Error(), "no answer within 100ms") {
		t.Errorf("a slow call: %+v, %v", r, err)
	}
}
