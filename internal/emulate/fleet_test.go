package emulate

import (
	"fmt"
	"testing"
	"time"

	"scaleroute/internal/decide"
)

func settings() decide.Settings {
	return decide.Settings{
		Classes: []decide.Class{
			{Name: "status", Effect: decide.Idempotent, OnTime: 3 * time.Second, Deadline: 12 * time.Second, Value: 1, LateShare: 0.4},
			{Name: "handover", Effect: decide.AtMostOnce, OnTime: 3 * time.Second, Deadline: 12 * time.Second, Value: 3, LateShare: 0.4},
		},
		Kinds: []decide.Kind{{Name: "std", MaxBatch: 1}}, Zone: "a", ConnectPrice: 0.06, Weights: decide.ExactWeights,
		Slots: 64, MaxOpen: 400, MaxAttempts: 6, MayCancel: true, ConnIdle: 15 * time.Second, ConnectTimeout: 1500 * time.Millisecond,
		MaxRetryAfter: 3 * time.Second, AnswerSlack: 5 * time.Millisecond, DrainGrace: time.Second,
		StartCapacity: 0.2, SlowStart: 9500 * time.Millisecond, OverloadFactor: 2, OverloadOutage: 3 * time.Second,
	}
}

// destination has a limit that refused calls use up, and room for a third more than that.
func destination(limit func(time.Duration) float64) Destination {
	return Destination{Limit: limit, Span: 1600 * time.Millisecond, RefusedCount: true, TellsWait: 0.6, Wait: 800 * time.Millisecond,
		Capacity: 1.4 * limit(0), Queue: 600 * time.Millisecond, Latency: 15 * time.Millisecond, ReportEvery: 300 * time.Millisecond}
}

func always(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// between is one rate from a time on for a while, and another one else.
func between(from, length time.Duration, then, else_ float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < from+length {
			return then
		}
		return else_
	}
}

func run(t *testing.T, d Destination, f Fleet, length time.Duration, seed uint64) *Report {
	t.Helper()
	r, err := Run(d, f, length, seed)
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range r.Broken {
		t.Error("broken: ", b)
	}
	return r
}

var sizes = []int{1, 3, 10, 80, 300}

// TestMoreAskedThanFits: a limit that falls under what is asked for, for 9 s, or more asked for than it allows, for 12 s. Refused
// calls use it up, so a fleet that keeps asking for more gets nothing at all; it is to get most of what the limit allows, and
// to be refused seldom, but for the calls by which each hears of it.
func TestMoreAskedThanFits(t *testing.T) {
	for name, c := range map[string]struct {
		limit, asked  func(time.Duration) float64
		from, to      int // seconds that are looked at
		done          float64
		refused, each int // calls refused in all: so many, and half of these for each forwarder
		seed          uint64
	}{
		"limit falls to 0.5":  {between(6*time.Second, 9*time.Second, 50, 100), always(80), 6, 15, 0.4 * 50 * 9, 184, 3, 7},
		"limit falls to 0.2":  {between(6*time.Second, 9*time.Second, 20, 100), always(80), 6, 15, 0.4 * 20 * 9, 184, 3, 7},
		"1.2 times the limit": {always(100), between(4*time.Second, 16*time.Second, 120, 60), 4, 20, 0.65 * 100 * 16, 500, 4, 11},
		"2 times the limit":   {always(100), between(4*time.Second, 16*time.Second, 200, 60), 4, 20, 0.65 * 100 * 16, 500, 4, 11},
	} {
		for _, n := range sizes {
			t.Run(fmt.Sprintf("%s, %d forwarders", name, n), func(t *testing.T) {
				f := Fleet{Forwarders: n, Settings: settings(), Rate: c.asked, Unsafe: 0.2, Left: 12 * time.Second}
				r := run(t, destination(c.limit), f, 24*time.Second, c.seed)
				done, over := 0, r.Total.Over
				for _, s := range r.Seconds[c.from:c.to] {
					done += s.Done
				}
				t.Logf("%d done, %d refused; in all %+v", done, over, r.Total)
				if float64(done) < c.done {
					t.Errorf("%d done, %.0f wanted", done, c.done)
				}
				if over > c.refused+c.each*n/2 {
					t.Errorf("%d calls refused", over)
				}
			})
		}
	}
}

// TestReturn: a destination that is asked for a sixth of its limit is down for 5 s and comes back cold. Its callers must not
// call it much while it is down, nor push it over when it is back, and are to find out soon that it is.
func TestReturn(t *testing.T) {
	for _, n := range sizes {
		t.Run(fmt.Sprintf("%d forwarders", n), func(t *testing.T) {
			const limit, asked = 600.0, 100.0
			d := destination(always(limit))
			d.DownFrom, d.DownFor, d.ColdFrom, d.Cold = 6*time.Second, 5*time.Second, 0.2, 9500*time.Millisecond
			f := Fleet{Forwarders: n, Settings: settings(), Rate: always(asked), Unsafe: 0.2, Left: 12 * time.Second}
			r := run(t, d, f, 30*time.Second, 3)
			dead, done := 0, 0
			for s := 7; s < 11; s++ { // once all have noticed
				dead += r.Seconds[s].Down
			}
			for s := 11; s < 16; s++ {
				done += r.Seconds[s].Done
			}
			t.Logf("%d calls to it while it was down, %d done in the 5 s after; pushed %.2f times; in all %+v", dead, done, r.Pushed, r.Total)
			if r.Pushed >= f.Settings.OverloadFactor {
				t.Errorf("it was sent %.2f times what it could do", r.Pushed)
			}
			if float64(dead) > 1.2*asked*4+float64(n) {
				t.Errorf("%d calls to it while it was down", dead)
			}
			if float64(done) < 1.3*asked*5 {
				t.Errorf("%d done in the 5 s after", done)
			}
		})
	}
}

// TestClump: messages in a clump, of which each of many senders has one or none, come to twice the limit, and then a fifth more than fits. Each sender hears by one refusal that it was too
// much; if that teaches it nothing, or a few seconds without news look like room, what was refused comes again at once and uses up the limit.
func TestClump(t *testing.T) {
	for _, n := range []int{80, 300} {
		t.Run(fmt.Sprint(n, " forwarders"), func(t *testing.T) {
			const limit, asked, seeds = 38, 46, 4
			done, over := 0, 0
			for seed := range uint64(seeds) {
				f := Fleet{Forwarders: n, Settings: settings(), Rate: between(time.Second, time.Second, asked+2*limit, asked), Unsafe: 0.2, Left: 12 * time.Second}
				d := destination(always(limit))
				d.TellsWait = 0.5
				r := run(t, d, f, 20*time.Second, seed)
				for _, s := range r.Seconds[2:12] {
					done += s.Done
				}
				over += r.Total.Over
			}
			t.Logf("%d done in ten seconds after it, %d calls refused", done/seeds, over/seeds)
			if done/seeds < limit*10*8/10 {
				t.Errorf("%d done in the ten seconds after it, of %d that fit", done/seeds, limit*10)
			}
			if over/seeds > 90+n*7/10 {
				t.Errorf("%d calls refused", over/seeds)
			}
		})
	}
}
