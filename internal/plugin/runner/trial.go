package runner

import (
	"scaleroute/internal/plugin"
)

// TestProcess is one process with a plug-in to try out. It is used by one goroutine at a time.
type TestProcess struct {
	command []string
	spec    plugin.Spec
	now     *process
}

// NewTestProcess starts one.
func NewTestProcess(command []string, spec plugin.Spec) (*TestProcess, error) {
	p, err := start(command, &spec)
	return &TestProcess{command, spec, p}, err
}

// Call asks it, without the rules being applied. After an error the next call starts a new process.
func (t *TestProcess) Call(q *plugin.Request) (r *plugin.Result, err error) {
	if t.now == nil {
		if t.now, err = start(t.command, &t.spec); err != nil {
			return nil, err
		}
	}
	if r, err = t.now.ask(q, t.spec.Time, t.spec.Output); err != nil {
		t.Close()
		return nil, explain(&t.spec, err)
	}
	return r, nil
}

// Close ends it.
func (t *TestProcess) Close() {
	if t.now != nil {
		t.now.kill()
		t.now = nil
	}
}
