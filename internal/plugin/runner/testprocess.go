package runner

import (
	"scaleroute/internal/plugin"
)

// TestProcess runs one plug-in in a host process of its own, outside of a forwarder, so that its author can test it. It must be
// used by one goroutine at a time.
type TestProcess struct {
	command []string
	spec    plugin.Spec
	process *process
}

// NewTestProcess starts the process.
func NewTestProcess(command []string, spec plugin.Spec) (*TestProcess, error) {
	p, err := startProcess(command, &spec)
	return &TestProcess{command, spec, p}, err
}

// Call calls the plug-in and does not apply the rules to the result. After an error the next call starts a new process.
func (t *TestProcess) Call(q *plugin.Request) (r *plugin.Result, err error) {
	if t.process == nil {
		if t.process, err = startProcess(t.command, &t.spec); err != nil {
			return nil, err
		}
	}
	if r, err = t.process.call(q, t.spec.Time, t.spec.Output); err != nil {
		t.Close()
		return nil, explainProcessError(&t.spec, err)
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
