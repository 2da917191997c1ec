package operations

import (
	"errors"
	"testing"
	"time"
)

// slowMembers carries a call out once it may.
type slowMembers struct {
	begun, may chan bool
	done       int
}

func (m *slowMembers) DisableEndpoint(string) error {
	m.begun <- true
	<-m.may
	m.done++
	return nil
}

func (m *slowMembers) EnableEndpoint(name string) error { return m.DisableEndpoint(name) }

// TestHandOverWaitsForCalls: a process that hands over carries out what it is asked about targets before the next one reads that, or says no.
func TestHandOverWaitsForCalls(t *testing.T) {
	errGone := errors.New("gone")
	for name, call := range map[string]func(*Control, string) error{"leave out": (*Control).DisableEndpoint, "put back": (*Control).EnableEndpoint} {
		t.Run(name, func(t *testing.T) {
			m := &slowMembers{begun: make(chan bool), may: make(chan bool)}
			c := NewControl()
			c.SetServing(Components{Endpoints: m})
			said := make(chan error)
			go func() { said <- call(c, "a") }()
			<-m.begun
			over := make(chan bool)
			go func() {
				c.BeginHandover(errGone)
				close(over)
			}()
			select {
			case <-over:
				t.Error("handed over while a call is carried out")
			case <-time.After(50 * time.Millisecond): // longer only shows more
			}
			close(m.may)
			if err := <-said; err != nil || m.done != 1 {
				t.Errorf("said %v; %d carried out", err, m.done)
			}
			<-over
			if err := call(c, "b"); err != errGone || m.done != 1 {
				t.Errorf("too late: said %v; %d carried out", err, m.done)
			}
		})
	}
}
