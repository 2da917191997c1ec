package decide_test

import (
	"testing"

	"pgregory.net/rapid"

	. "scaleroute/internal/decide"
)

// TestRotationAgreesWithWalk: over any stream of events, read after each Step or seldom, the rotation is what a walk over all endpoints counts.
func TestRotationAgreesWithWalk(t *testing.T) {
	manyStreams(t, "300")
	rested := 0
	rapid.Check(t, func(t *rapid.T) {
		set := drawSettings(t)
		s := newStream(t, set)
		f, err := New(set)
		if err != nil {
			t.Fatal(err)
		}
		every := rapid.IntRange(1, 20).Draw(t, "every")
		for step := range rapid.IntRange(1, 400).Draw(t, "steps") {
			s.carry(f.Step(s.now, s.events()))
			if step%every != 0 {
				continue
			}
			listed, out := f.Rotation()
			wantListed, wantOut := f.WalkRotation()
			if listed != wantListed || out != wantOut {
				t.Fatalf("step %d: %d of %d are out, a walk counts %d of %d", step, out, listed, wantOut, wantListed)
			}
			rested += out
		}
	})
	if rested < 1000 {
		t.Errorf("%d times an endpoint was out: the streams say too little", rested)
	}
}
