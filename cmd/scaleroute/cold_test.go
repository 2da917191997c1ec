package main

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"scaleroute/internal/fleet"
	"scaleroute/internal/load"
	"scaleroute/internal/operator"
	"scaleroute/internal/standin"
)

// What the rig's configuration says of a destination that returns from an outage, and what this one can do when warm.
const (
	coldFor       = 9500 * time.Millisecond
	coldShare     = 0.2 // of its capacity, at its return
	fallMultiple  = 2.0 // of what it can do makes it fall
	fallTime      = 3 * time.Second
	warmCapacity  = 100.0 // calls a second
	coldSenders   = 24
	coldMessages  = 2.0 // a second, at each
	outageGoesOn  = 3 * time.Second
	coldTolerance = 2.0 // root of what is allowed, and as many calls, that are put down to chance
)

// TestColdRealFleet: one destination of 24 real processes is down until all of them know, and for 3 s more in which messages gather; then it is back, cold. In any 3 s it
// gets no more calls, of all processes together, than the rule allows, and in the end no message is left over.
func TestColdRealFleet(t *testing.T) {
	r := newRig(t, fleet.Shape{Forwarders: coldSenders, Destinations: 1, Targets: 1, Left: 12 * time.Second, Set: resolved(t, operator.Fleet{Ledger: 1 << 20})}, newLogs())
	endpoint := r.World.Endpoints[0]
	well := standin.Script{Latency: 10 * time.Millisecond}
	endpoint.Set(well)
	over := make(chan struct{})
	wait := r.Load(coldMessages, 4, 100, over)
	for _, n := range r.Nodes {
		eventually(t, n.Name+" calls it", func() bool { c, _ := n.Arrived(endpoint.Name, time.Time{}, time.Time{}); return c > 0 })
	}
	endpoint.Set(standin.Script{Refusing: true, Errors: 1})
	for _, n := range r.Nodes {
		eventually(t, n.Name+" knows of the outage", func() bool {
			targets := ask[load.Snapshot](t, n, "/load").Targets
			return len(targets) == 1 && strings.HasPrefix(targets[0].Held, "outage")
		})
	}
	time.Sleep(outageGoesOn)
	back := time.Now()
	endpoint.Set(well)
	time.Sleep(coldFor)
	close(over)
	wait()
	if open := r.Settle(r.Nodes, 14*time.Second); open > 0 {
		t.Errorf("%d messages are not over", open)
	}
	var calls []time.Duration
	for _, n := range r.Nodes {
		n.Log.Each(func(c *standin.Call) {
			if at := c.Last.Sub(back); at >= 0 && at < coldFor {
				calls = append(calls, at)
			}
		})
	}
	slices.Sort(calls)
	if len(calls) < coldSenders {
		t.Fatalf("%d calls while it was cold", len(calls))
	}
	checkColdWindows(t, calls)
	if v := r.Check(standin.Rules); v.Broken() {
		t.Errorf("%+v", v)
	}
}

// checkColdWindows holds the calls of each window that ends with one of them against what makes the destination fall.
func checkColdWindows(t *testing.T, calls []time.Duration) {
	t.Helper()
	fullest, first := 0.0, 0
	for last, at := range calls {
		for calls[first] < at-fallTime {
			first++
		}
		allowed := fallMultiple * (capacityAt(at-fallTime) + capacityAt(at)) / 2 * fallTime.Seconds()
		budget := allowed + coldTolerance*math.Sqrt(allowed) + coldTolerance
		sent := last - first + 1
		fullest = max(fullest, float64(sent)/budget)
		if float64(sent) > budget {
			t.Fatalf("%d calls in the %v up to %v after its return, %.1f are the bound", sent, fallTime, at, budget)
		}
	}
	t.Logf("%d calls while it was cold; the fullest window has %.2f of the bound", len(calls), fullest)
}

// capacityAt is what the destination can do so long after its return, in calls a second; before, what it can do then.
func capacityAt(age time.Duration) float64 {
	return warmCapacity * (coldShare + (1-coldShare)*max(0, age.Seconds())/coldFor.Seconds())
}
