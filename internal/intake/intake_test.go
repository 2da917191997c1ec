package intake

import (
	"math/rand/v2"
	"testing"
)

// TestWellOnesFindRoom fills a room with messages of sick destinations, which stay, and well ones, which pass: whatever
// their numbers, well ones are always taken on, a destination alone may use all, and nothing is left over at the end.
func TestWellOnesFindRoom(t *testing.T) {
	const room = 100_000
	for _, c := range []struct{ sick, well int }{{1, 1}, {3, 10}, {40, 60}, {16, 1}, {1, 0}} {
		var s FairShare
		rng := rand.New(rand.NewPCG(uint64(c.sick), 7))
		used, refused := int64(0), 0
		full := func() float64 { return float64(used) / room }
		for range 20_000 {
			dest, size := rng.IntN(c.sick+c.well), int64(50+rng.IntN(100))
			switch {
			case used+size > room || !s.Admits(dest, size, full(), c.sick+c.well):
				if dest >= c.sick {
					t.Fatalf("%+v: one for a well destination is turned away at %.2f", c, full())
				}
				refused++
			case dest < c.sick:
				used += size
				s.Add(dest, size)
			default: // it passes
				s.Add(dest, size)
				s.Add(dest, -size)
			}
		}
		if refused == 0 {
			t.Errorf("%+v: nothing was turned away: the test says nothing", c)
		}
		if c.well == 0 && full() < 0.99 {
			t.Errorf("alone, it may use %.2f of the room", full())
		}
		for d := range c.sick {
			s.Add(d, -s.held[d])
		}
		if s.used != 0 || len(s.held) != 0 {
			t.Errorf("%+v: left over: %d, %v", c, s.used, s.held)
		}
	}
}
