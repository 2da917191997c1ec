package operations

import (
	"errors"
	"testing"
	"time"
)

// slowEndpoints blocks in each call until mayReturn is closed.
type slowEndpoints struct {
	started, mayReturn chan bool
	completed          int
}

func (m *slowEndpoints) DisableEndpoint(string) error {
	m.started <- true
	<-m.mayReturn
	m.completed++
	return nil
}

func (m *slowEndpoints) EnableEndpoint(name string) error { return m.DisableEndpoint(name) }

// TestHandoverWaitsForCalls guards against a request that is confirmed and lost: a process that hands over must complete requests to disable or enable an
// endpoint before BeginHandover returns, since the next process then reads the disabled endpoints, and must reject later ones.
func TestHandoverWaitsForCalls(t *testing.T) {
	errGone := errors.New("gone")
	for name, call := range map[string]func(*Control, string) error{"disable": (*Control).DisableEndpoint, "enable": (*Control).EnableEndpoint} {
		t.Run(name, func(t *testing.T) {
			m := &slowEndpoints{started: make(chan bool), mayReturn: make(chan bool)}
			c := NewControl()
			c.SetServing(Components{Endpoints: m})
			result := make(chan error)
			go func() { result <- call(c, "a") }()
			<-m.started
			done := make(chan bool)
			go func() {
				c.BeginHandover(errGone)
				close(done)
			}()
			select {
			case <-done:
				t.Error("BeginHandover returned while a call was in progress")
			case <-time.After(50 * time.Millisecond): // a longer wait could only find more
			}
			close(m.mayReturn)
			if err := <-result; err != nil || m.completed != 1 {
				t.Errorf("result %v; %d calls completed", err, m.completed)
			}
			<-done
			if err := call(c, "b"); err != errGone || m.completed != 1 {
				t.Errorf("too late: result %v; %d calls completed", err, m.completed)
			}
		})
	}
}
