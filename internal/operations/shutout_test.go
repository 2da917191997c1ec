package operations

import (
	"context"
	"errors"
	"testing"

	"pgregory.net/rapid"
)

// front is a clients' front that only remembers.
type front struct{ away bool }

func (f *front) Drain() error   { f.away = true; return nil }
func (f *front) Resume() error  { f.away = false; return nil }
func (f *front) Draining() bool { return f.away }

// TestShutOutAndDrained: whatever order an operator's drain and the fleet's guard come in, also over a process that goes on after another one did not take over,
// clients are sent away while either says so; and only the operator's word goes to the next process.
func TestShutOutAndDrained(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, f := NewControl(), &front{}
		c.SetServing(Components{Clients: f})
		hand, shut := false, false
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				hand = true
				c.DrainClients(context.Background())
			case 1:
				hand = false
				c.ResumeClients(context.Background())
			case 2:
				shut = true
				c.SetFencedOff(errors.New("behind"))
			case 3:
				shut = false
				c.SetFencedOff(nil)
			default: // a new front, drained as the bundle says
				c.SetStopped(errors.New("handed over"))
				f = &front{away: c.DrainedByOperator()}
				c.SetServing(Components{Clients: f})
			}
			if f.away != (hand || shut) || c.DrainedByOperator() != hand || (c.Ready() == nil) != !(hand || shut) {
				t.Fatalf("by hand %v, shut out %v: away %v, to the next %v, ready: %v", hand, shut, f.away, c.DrainedByOperator(), c.Ready())
			}
		}
	})
}
