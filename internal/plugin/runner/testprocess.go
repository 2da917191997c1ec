package runner

import (
	"fmt"
	"time"

	"scaleroute/internal/plugin"
)

// trialTimeout is how long a TestProcess waits for an answer. The processor time of a call has the limit of the plug-in, so that other processes on an
// author's machine do not decide whether a sample passes.
const trialTimeout = 5 * time.Second

// TestProcess runs one plug-in in a host process of its own, outside of a forwarder, so that its author can test it. It must be
// used by one goroutine at a time.
type TestProcess struct {
	command []string
	spec    plugin.Spec
	process *process
}

// NewTestProcess starts the process.
func NewTestProcess(command []string, spec plugin.Spec) (*TestProcess, error) {
	t := &TestProcess{command: command, spec: spec}
	return t, t.start()
}

// start starts the process. The host ends a call by the limit that it is told, so it is told the one of a trial.
func (t *TestProcess) start() (err error) {
	trial := t.spec
	trial.Time = max(trial.Time, trialTimeout)
	t.process, err = startProcess(t.command, &trial)
	return err
}

// Call calls the plug-in and does not apply the rules to the result. After an error the next call starts a new process.
func (t *TestProcess) Call(q *plugin.Request) (r *plugin.Result, err error) {
	if t.process == nil {
		if err = t.start(); err != nil {
			return nil, err
		}
	}
	r, err = t.process.call(q, max(t.spec.Time, trialTimeout), t.spec.Output)
	if err != nil {
		t.Close()
		return nil, explainProcessError(&t.spec, err)
	}
	if used := time.Duration(r.CPU) * time.Microsecond; used > t.spec.Time {
		t.Close()
		return nil, fmt.Errorf("no answer within %v: the call takes %v of processor time", t.spec.Time, used.Round(time.Millisecond))
	}
	return r, nil
}

// Close ends the process.
func (t *TestProcess) Close() {
	if t.process != nil {
		t.process.kill()
		t.process = nil
	}
}
