package emulate

import (
	"fmt"
	"testing"
	"time"
)

// TestNobodyServesNobody: where nothing fails, at most one forwarder in ten rejects all that comes to it for 4 s on end, with no attempt in between: with traffic that is
// spread unevenly, half as much again for some seconds, processes that are restarted, and up to more than the destination's limit allows.
func TestNobodyServesNobody(t *testing.T) {
	const limit = 400.0
	for _, n := range []int{1, 24, 80} {
		for _, asked := range []float64{0.6, 1.2} {
			t.Run(fmt.Sprintf("%d forwarders, asked for %.1f", n, asked), func(t *testing.T) {
				t.Parallel()
				f := Fleet{Forwarders: n, Settings: settings(), Shares: unequal, Unsafe: 0.2, Left: 12 * time.Second}
				f.Rate = between(6*time.Second, 5*time.Second, 1.5*asked*limit, asked*limit)
				f.Restart = func(i int) time.Duration { return time.Duration(4000+200*i) * time.Millisecond }
				r := run(t, destination(always(limit)), f, 24*time.Second, 5)
				if r.Useless > n/10 {
					t.Errorf("%d of %d served nobody; in all %+v", r.Useless, n, r.Total)
				}
			})
		}
	}
}

// TestServesNobodyIsSeen: rejections in a row count, and an attempt between them ends the row.
func TestServesNobodyIsSeen(t *testing.T) {
	for attempted, want := range map[bool]int{false: 1, true: 0} {
		w := &world{}
		n := &node{w: w}
		for i := range uselessCount {
			if w.now = time.Duration(i) * 300 * time.Millisecond; attempted && i == uselessCount/2 {
				n.rejected = 0
			}
			n.countRejected()
		}
		if w.report.Useless != want {
			t.Errorf("with an attempt among them %v: %d forwarders are said to serve nobody", attempted, w.report.Useless)
		}
	}
}
