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

// The warm-up settings in the rig's configuration, and the capacity of the test's destination.
const (
	warmUpTime            = 9500 * time.Millisecond
	warmUpStartShare      = 0.2 // the part of its full capacity that it has at its return
	overloadMultiple      = 2.0 // this multiple of its capacity overloads it
	overloadWindow        = 3 * time.Second
	fullCapacity          = 100.0 // calls a second
	warmUpForwarders      = 24
	messagesPerSecondEach = 2.0 // a second, from each forwarder's clients
	outageAfterDetection  = 3 * time.Second
	warmUpTolerance       = 2.0 // random variation: this many standard deviations, and as many calls
)

// TestWarmUpAcrossFleet: the only endpoint of a destination fails until all of 24 real forwarders have detected the outage, and for 3 s more while
// messages are queued; then it returns and warms up. In any 3 s window it receives no more calls from all forwarders together than the limit
// allows, and in the end every message is completed.
func TestWarmUpAcrossFleet(t *testing.T) {
	r := newFleetRig(t, fleet.Shape{Forwarders: warmUpForwarders, Destinations: 1, Targets: 1, Left: 12 * time.Second, Set: operatorsFile(t, operator.Fleet{LedgerBytes: 1 << 20})}, newFleetLogs())
	endpoint := r.World.Endpoints[0]
	working := standin.Script{Latency: 10 * time.Millisecond}
	endpoint.Set(working)
	done := make(chan struct{})
	wait := r.Load(messagesPerSecondEach, 4, 100, done)
	for _, n := range r.Nodes {
		eventually(t, n.Name+" calls the endpoint", func() bool { c, _ := n.Arrived(endpoint.Name, time.Time{}, time.Time{}); return c > 0 })
	}
	endpoint.Set(standin.Script{Refusing: true, Errors: 1})
	for _, n := range r.Nodes {
		eventually(t, n.Name+" has detected the outage", func() bool {
			targets := getJSON[load.Snapshot](t, n, "/load").Targets
			return len(targets) == 1 && strings.HasPrefix(targets[0].Held, "outage")
		})
	}
	time.Sleep(outageAfterDetection)
	returnedAt := time.Now()
	endpoint.Set(working)
	time.Sleep(warmUpTime)
	close(done)
	wait()
	if open := r.Settle(r.Nodes, 14*time.Second); open > 0 {
		t.Errorf("%d messages are not completed", open)
	}
	var calls []time.Duration
	for _, n := range r.Nodes {
		n.Log.Each(func(c *standin.Call) {
			if at := c.Last.Sub(returnedAt); at >= 0 && at < warmUpTime {
				calls = append(calls, at)
			}
		})
	}
	slices.Sort(calls)
	if len(calls) < warmUpForwarders {
		t.Fatalf("only %d calls during the warm-up", len(calls))
	}
	checkWarmUpWindows(t, calls)
	if v := r.Check(standin.Rules); v.Broken() {
		t.Errorf("%+v", v)
	}
}

// checkWarmUpWindows compares the calls in each window that ends with a call with the number that would overload the destination.
func checkWarmUpWindows(t *testing.T, calls []time.Duration) {
	t.Helper()
	fullest, first := 0.0, 0
	for last, at := range calls {
		for calls[first] < at-overloadWindow {
			first++
		}
		allowed := overloadMultiple * (capacityAt(at-overloadWindow) + capacityAt(at)) / 2 * overloadWindow.Seconds()
		budget := allowed + warmUpTolerance*math.Sqrt(allowed) + warmUpTolerance
		sent := last - first + 1
		fullest = max(fullest, float64(sent)/budget)
		if float64(sent) > budget {
			t.Fatalf("%d calls in the %v up to %v after the return, the limit is %.1f", sent, overloadWindow, at, budget)
		}
	}
	t.Logf("%d calls during the warm-up; the fullest window has %.2f of the limit", len(calls), fullest)
}

// capacityAt returns the capacity, in calls a second, of the destination at a time after its return; before the return it is the capacity at the return.
func capacityAt(age time.Duration) float64 {
	return fullCapacity * (warmUpStartShare + (1-warmUpStartShare)*max(0, age.Seconds())/warmUpTime.Seconds())
}
