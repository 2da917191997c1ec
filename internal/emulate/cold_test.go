package emulate

import (
	"fmt"
	"maps"
	"testing"
	"time"
)

// unequal has every eighth forwarder get several times the mean.
func unequal(i int) float64 {
	if i%8 == 0 {
		return 6
	}
	return 1
}

// TestColdFleet: a destination is down for 6 s and comes back cold. In any time that the settings name it gets no more calls, of all processes together, than N + 2 sqrt(N) + 2,
// N being what the settings allow it then: with traffic that is spread unevenly, with processes that are killed in the ramp and forget it, and with one that
// had no message for it in the outage.
func TestColdFleet(t *testing.T) {
	steady, restarts := coldShapes()
	maps.Copy(steady, restarts)
	coldFleets{sizes: []int{1, 8, 24, 80}, asked: []float64{0.5, 1.2}, seeds: 2}.play(t, steady)
	coldFleets{sizes: []int{300}, asked: []float64{0.5}, seeds: 2}.play(t, steady)
}

// largeColdFleet has 300 forwarders that are asked for more than the destination can do when warm.
var largeColdFleet = coldFleets{sizes: []int{300}, asked: []float64{1.2}, seeds: 4}

// TestColdLargeFleet: the same for a large fleet that is asked for too much, while none of its forwarders restarts.
func TestColdLargeFleet(t *testing.T) {
	steady, _ := coldShapes()
	largeColdFleet.play(t, steady)
}

// TestColdLargeFleetRestarts: the same for one of which a third restarts in the ramp and forgets it.
func TestColdLargeFleetRestarts(t *testing.T) {
	_, restarts := coldShapes()
	largeColdFleet.play(t, restarts)
}

// coldBack is when the destination of these tests returns.
const coldBack = 12 * time.Second

// coldShapes are fleets by name: those whose forwarders all remember the outage that they met, and those of which some forget it.
func coldShapes() (steady, restarts map[string]func(*Fleet)) {
	steady = map[string]func(*Fleet){
		"equal":   func(*Fleet) {},
		"unequal": func(f *Fleet) { f.Shares = unequal },
		"one that was not told": func(f *Fleet) {
			f.Shares = unequal
			f.Quiet = func(i int) bool { return f.Forwarders > 1 && i == 1 }
		},
	}
	restarts = map[string]func(*Fleet){
		"restarts in the ramp": func(f *Fleet) {
			f.Shares = unequal
			f.Restart = func(i int) time.Duration {
				if i%3 != 0 {
					return 0
				}
				return coldBack + time.Duration(500+i*37%3000)*time.Millisecond
			}
		},
	}
	return steady, restarts
}

// coldFleets are fleets of some sizes, asked for such parts of what the destination can do when warm.
type coldFleets struct {
	sizes []int
	asked []float64
	seeds uint64
}

// play has each of them meet the cold destination, in each shape.
func (c coldFleets) play(t *testing.T, shapes map[string]func(*Fleet)) {
	for name, shape := range shapes {
		for _, n := range c.sizes {
			t.Run(fmt.Sprintf("%s, %d", name, n), func(t *testing.T) {
				t.Parallel()
				for _, limit := range []float64{0, 75} { // calls a second; 0: none, and nothing is known of what it can do
					for _, asked := range c.asked {
						for seed := range c.seeds {
							coldFleet(t, n, limit, asked, seed, shape)
						}
					}
				}
			})
		}
	}
}

// coldFleet plays one of them.
func coldFleet(t *testing.T, n int, limit, asked float64, seed uint64, shape func(*Fleet)) {
	t.Helper()
	const down, back, capacity = 6 * time.Second, coldBack, 100
	d := destination(always(limit))
	if limit == 0 {
		d.Limit = nil
	}
	d.Capacity, d.DownFrom, d.DownFor, d.ColdFrom, d.Cold = capacity, down, back-down, 0.2, 9500*time.Millisecond
	f := Fleet{Forwarders: n, Settings: settings(), Rate: always(asked * capacity), Unsafe: 0.2, Left: 12 * time.Second}
	shape(&f)
	c := run(t, d, f, 24*time.Second, seed).Cold
	about := fmt.Sprintf("limit %v, asked for %.1f, seed %d: %d calls, %.1f are the bound, %.2f of them by forwarders that knew", limit, asked, seed, c.Calls, c.Budget, c.Knew)
	if float64(c.Calls) > c.Budget && c.Knew > 2./3 {
		t.Error(about)
	} else {
		t.Log(about)
	}
}
