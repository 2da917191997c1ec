package intake

import (
	"math/rand/v2"
	"testing"
)

// TestHealthyDestinationsAreAdmitted fills the storage with messages of unresponsive destinations, which stay queued, and of
// healthy ones, which pass through. It checks that messages for healthy destinations are always accepted, whatever the numbers of
// both, that a destination may use all of the storage if it is the only one, and that no usage is left once all are released.
func TestHealthyDestinationsAreAdmitted(t *testing.T) {
	const storage = 100_000
	for _, c := range []struct{ unresponsive, healthy int }{{1, 1}, {3, 10}, {40, 60}, {16, 1}, {1, 0}} {
		var s FairShare
		rng := rand.New(rand.NewPCG(uint64(c.unresponsive), 7))
		used, refused := int64(0), 0
		inUse := func() float64 { return float64(used) / storage }
		for range 20_000 {
			dest, size := rng.IntN(c.unresponsive+c.healthy), int64(50+rng.IntN(100))
			switch {
			case used+size > storage || !s.Admits(dest, size, inUse(), c.unresponsive+c.healthy):
				if dest >= c.unresponsive {
					t.Fatalf("%+v: a message for a healthy destination is refused with %.2f of the storage in use", c, inUse())
				}
				refused++
			case dest < c.unresponsive:
				used += size
				s.Add(dest, size)
			default: // it passes through
				s.Add(dest, size)
				s.Add(dest, -size)
			}
		}
		if refused == 0 {
			t.Errorf("%+v: nothing was refused: the test shows nothing", c)
		}
		if c.healthy == 0 && inUse() < 0.99 {
			t.Errorf("the only destination may use only %.2f of the storage", inUse())
		}
		for d := range c.unresponsive {
			s.Add(d, -s.used[d])
		}
		if s.total != 0 || len(s.used) != 0 {
			t.Errorf("%+v: storage still in use at the end: %d, %v", c, s.total, s.used)
		}
	}
}
