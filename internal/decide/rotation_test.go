package decide

import (
	"fmt"
	"testing"
	"time"
)

// WalkRotation counts the rotation by a walk over all endpoints.
func (f *Forwarder) WalkRotation() (listed, out int) {
	for _, ep := range f.endpoints {
		if ep.state == Gone {
			continue
		}
		listed++
		if f.isOutOfRotation(ep) {
			out++
		}
	}
	return listed, out
}

// TestRotationForgets: destinations that are gone are not kept for the rotation, whether it is read or not.
func TestRotationForgets(t *testing.T) {
	f := newForwarder(t, plain("x"))
	f.Rotation()
	now := time.Duration(0)
	for round := range 20 {
		list := TargetList{}
		for i := range 100 {
			list.Targets = append(list.Targets, Target{ID: fmt.Sprint("e", round, "-", i), Destination: 1000*round + i, Kind: "plain", Zone: "a", State: Draining})
		}
		now += 2 * forgetAfter
		f.Step(now, []Event{list})
		f.Rotation()
	}
	now += 2 * forgetAfter
	f.Step(now, []Event{TargetList{}})
	f.Rotation()
	if kept := len(f.rotation.resting) + len(f.rotation.stale); kept > 100 {
		t.Errorf("%d destinations are kept for the rotation", kept)
	}
}

// BenchmarkRotation reads it among many endpoints of which few change.
func BenchmarkRotation(b *testing.B) {
	f := newForwarder(b, plain("x"))
	list := TargetList{}
	for i := range 20_000 {
		list.Targets = append(list.Targets, Target{ID: fmt.Sprint("e", i), Destination: i, Kind: "plain", Zone: "a", State: Active, Weight: 1})
	}
	f.Step(time.Second, []Event{list})
	f.Rotation()
	for i := 0; b.Loop(); i++ {
		f.rotation.note(f.destinations[i%20_000])
		f.Rotation()
	}
}
