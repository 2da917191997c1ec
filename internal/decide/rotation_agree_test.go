package decide_test

import (
	"testing"

	"pgregory.net/rapid"

	. "scaleroute/internal/decide"
)

// TestRotationMatchesFullCount: over random streams of events, whether read after each Step or rarely, Rotation returns what a count of all endpoints gives.
func TestRotationMatchesFullCount(t *testing.T) {
	setStreamCount(t, "300")
	unavailableSeen := 0
	rapid.Check(t, func(t *rapid.T) {
		set := drawSettings(t)
		s := newStream(t, set)
		f, err := New(set)
		if err != nil {
			t.Fatal(err)
		}
		interval := rapid.IntRange(1, 20).Draw(t, "every")
		for step := range rapid.IntRange(1, 400).Draw(t, "steps") {
			s.execute(f.Step(s.now, s.drawEvents()))
			if step%interval != 0 {
				continue
			}
			listed, unavailable := f.Rotation()
			wantListed, wantUnavailable := f.CountRotation()
			if listed != wantListed || unavailable != wantUnavailable {
				t.Fatalf("step %d: %d of %d endpoints are unavailable, a full count gives %d of %d", step, unavailable, listed, wantUnavailable, wantListed)
			}
			unavailableSeen += unavailable
		}
	})
	if unavailableSeen < 1000 {
		t.Errorf("%d unavailable endpoints were seen: too few to test the count", unavailableSeen)
	}
}
