package operations

import (
	"context"
	"errors"
	"testing"

	"pgregory.net/rapid"
)

// fakeFront is a clients' front that only records whether it is drained.
type fakeFront struct{ draining bool }

func (f *fakeFront) Drain() error   { f.draining = true; return nil }
func (f *fakeFront) Resume() error  { f.draining = false; return nil }
func (f *fakeFront) Draining() bool { return f.draining }

// TestFencedOffAndDrained checks that clients are drained while an operator requests it or the process is fenced off, in any order of these, also when
// the process serves again since the next one did not take over. Only the operator's drain is passed on to the next process.
func TestFencedOffAndDrained(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, f := NewControl(), &fakeFront{}
		c.SetServing(Components{Clients: f})
		requested, fenced := false, false
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				requested = true
				c.DrainClients(context.Background())
			case 1:
				requested = false
				c.ResumeClients(context.Background())
			case 2:
				fenced = true
				c.SetFencedOff(errors.New("out of date"))
			case 3:
				fenced = false
				c.SetFencedOff(nil)
			default: // a new front, drained as the handover state says
				c.SetStopped(errors.New("handed over"))
				f = &fakeFront{draining: c.DrainedByOperator()}
				c.SetServing(Components{Clients: f})
			}
			if f.draining != (requested || fenced) || c.DrainedByOperator() != requested || (c.Ready() == nil) != !(requested || fenced) {
				t.Fatalf("requested %v, fenced off %v: draining %v, passed on %v, ready: %v", requested, fenced, f.draining, c.DrainedByOperator(), c.Ready())
			}
		}
	})
}
