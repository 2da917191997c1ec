package decide_test

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
	. "scaleroute/internal/decide"
)

// TestSameEventsGiveSameState passes each stream of events to several Forwarders: all must have the same state after it, byte for byte. A state that depended
// on the iteration order of a map would differ between them.
func TestSameEventsGiveSameState(t *testing.T) {
	setStreamCount(t, "100")
	const forwarders = 3
	rapid.Check(t, func(t *rapid.T) {
		set := drawSettings(t)
		s := newStream(t, set)
		var all [forwarders]*Forwarder
		for i := range all {
			forwarder, err := New(set)
			if err != nil {
				t.Fatal(err)
			}
			all[i] = forwarder
		}
		for step := range rapid.IntRange(1, 200).Draw(t, "steps") {
			events := s.drawEvents()
			actions := all[0].Step(s.now, events)
			state := all[0].Save()
			for _, other := range all[1:] {
				other.Step(s.now, events)
				if !bytes.Equal(other.Save(), state) {
					t.Fatalf("step %d, at %v: two Forwarders differ after the same events; the last are %+v", step, s.now, events)
				}
			}
			s.execute(actions)
		}
	})
}
