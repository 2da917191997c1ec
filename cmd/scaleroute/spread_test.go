package main

import (
	"testing"
	"time"

	"scaleroute/internal/fleet"
	"scaleroute/internal/standin"
)

// TestFleetSpread: sixteen forwarders, each of which sees only a small part of the load, share one destination of eight endpoints. One endpoint drains and
// serves again, half of the agents report that late, and two forwarders are killed meanwhile. In total each other endpoint receives its
// share, about as evenly as by chance, none is idle, few connections are opened, and no rule is broken.
func TestFleetSpread(t *testing.T) {
	t.Parallel()
	l := newFleetLogs()
	r := newFleetRig(t, fleet.Shape{Forwarders: 16, Destinations: 1, Targets: 8, Left: 4 * time.Second}, l)
	for _, e := range r.World.Endpoints {
		e.Set(standin.Script{Latency: 20 * time.Millisecond})
	}
	done := make(chan struct{})
	wait := r.Load(4, 4, 100, done)
	time.Sleep(4 * time.Second) // the first calls open the connections
	began, opened := time.Now(), r.World.Handshakes()
	for i, n := range r.Nodes {
		if i%2 == 0 {
			n.Discovery.Lag(500 * time.Millisecond)
		}
	}
	drained := r.World.Endpoints[0]
	r.World.Set(standin.Draining, drained)
	for _, n := range r.Nodes[:2] {
		if err := n.Restart(n.Kill, nil); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(3 * time.Second)
	returnedAt := time.Now()
	r.World.Set(standin.Serving, drained)
	time.Sleep(7 * time.Second)
	ended := time.Now()
	stopLoadAndCheck(t, r, done, wait)
	calls, toReturned, toOthers := 0, 0, 0
	for _, n := range r.Nodes {
		n.Log.Each(func(c *standin.Call) {
			switch at := c.First.Sub(returnedAt); {
			case c.First.Before(began):
				return
			case c.Endpoint == drained && at > 0 && at < 2*time.Second:
				toReturned++
			case at > 0 && at < 2*time.Second:
				toOthers++
			}
			calls++
		})
	}
	second, five := r.Spread(began, ended, time.Second), r.Spread(began, ended, 5*time.Second)
	t.Logf("%d calls, %d connections; %+v; %+v; %d of %d calls to the returned endpoint", calls, r.World.Handshakes()-opened, second, five, toReturned, toReturned+toOthers)
	if second.Multiple > 1.08*second.Chance || five.Multiple > 1.3 || second.IdleS > 3 {
		t.Errorf("%+v, %+v", second, five)
	}
	if share := float64(toReturned) / float64(toReturned+toOthers); share > 0.3 { // an even share is an eighth
		t.Errorf("the returned endpoint receives %.2f of the calls", share)
	}
	if perCall := float64(r.World.Handshakes()-opened) / float64(calls); perCall > 0.2 { // the two restarted forwarders begin without connections
		t.Errorf("%.2f connections a call", perCall)
	}
}
