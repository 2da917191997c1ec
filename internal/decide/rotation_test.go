package decide

import (
	"fmt"
	"testing"
	"time"
)

// CountRotation returns the same as Rotation, by a count of all endpoints.
func (f *Forwarder) CountRotation() (listed, unavailable int) {
	for _, ep := range f.endpoints {
		if ep.state == Gone {
			continue
		}
		listed++
		if f.isUnavailable(ep) {
			unavailable++
		}
	}
	return listed, unavailable
}

// TestRotationDropsRemovedDestinations: the rotation keeps no reference to destinations that were removed.
func TestRotationDropsRemovedDestinations(t *testing.T) {
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
	if kept := len(f.rotation.withUnavailable) + len(f.rotation.stale); kept > 100 {
		t.Errorf("the rotation still refers to %d destinations", kept)
	}
}

// BenchmarkRotation reads the rotation of many endpoints of which few have changed.
func BenchmarkRotation(b *testing.B) {
	f := newForwarder(b, plain("x"))
	list := TargetList{}
	for i := range 20_000 {
		list.Targets = append(list.Targets, Target{ID: fmt.Sprint("e", i), Destination: i, Kind: "plain", Zone: "a", State: Active, Weight: 1})
	}
	f.Step(time.Second, []Event{list})
	f.Rotation()
	for i := 0; b.Loop(); i++ {
		f.rotation.markStale(f.destinations[i%20_000])
		f.Rotation()
	}
}
