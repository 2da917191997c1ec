package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["crowded"] = crowdedDiscovery }

const (
	crowdedFleet   = 80                      // forwarders (FLEET: "about 80 forwarders")
	crowdedRefuses = 4                       // list calls that discovery refuses before it has capacity for this forwarder
	longerGrace    = 1550 * time.Millisecond // of drains, at ledger-routes: 1.5 s, and 50 ms on sockets
)

// crowdedDiscovery: the list has to be asked for, and discovery is overbooked as the forwarder starts: it refuses some list calls. From then on it answers
// each call at once. It lists that a target has gone, and that a target of another destination stands at its address.
func crowdedDiscovery(w *world, trouble bool) ([]string, error) {
	d, err := w.newDiscovery()
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var moved time.Time // when the second target's address passed to the other destination
	destOf := map[string]int{}
	var targets []*target
	for range 3 {
		t, err := w.newTarget()
		if err != nil {
			return nil, err
		}
		targets = append(targets, t)
	}
	entry := func(name string, t *target, group int, since int64) listed {
		return listed{Name: name, Address: t.address, Zone: "tallinn-dc1", Type: "small-groups", Group: group, Weight: 10, SinceMS: since}
	}
	leaves, other := entry("s-5be20001", targets[1], 1, 0), entry("s-5be20002", targets[2], 2, 0)
	targets[1].setAnswer(func(id string) (int, string, time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		if !moved.IsZero() && destOf[id] != 2 {
			return 400, "", 0 // no client has handed that in for it
		}
		return 200, "", 0
	})
	d.set(serving, leaves, other)
	settings := siteSettings()
	settings["Siblings"], settings["Discovery"] = crowdedFleet, "subscribe"
	settings["Invariants"].(map[string]any)["DrainGrace"] = 1500.0
	f, err := w.newForwarder("n1", d, settings, d.whole())
	if err != nil {
		return nil, err
	}
	if trouble {
		d.refuse = crowdedRefuses
	}
	p, err := f.start()
	if err != nil {
		return nil, err
	}
	if err := p.awaitReady(30 * time.Second); err != nil {
		return nil, err
	}
	c := f.newClient()
	defer c.close()
	n := 0
	hand := func() {
		class := "status-update"
		if n++; n%4 == 0 {
			class = "signature-handover"
		}
		c.handWith(class, 1, 10*time.Second, func(id string) {
			mu.Lock()
			destOf[id] = 1
			mu.Unlock()
		})
	}
	if trouble {
		for waiting := true; waiting; {
			select {
			case <-d.refused:
				waiting = false
			case <-time.After(100 * time.Millisecond):
				hand()
			}
		}
	} else {
		for range 100 {
			hand()
			time.Sleep(100 * time.Millisecond)
		}
	}
	w.note("discovery answers each call from now on")
	time.Sleep(200 * time.Millisecond)
	now := time.Now().UnixMilli()
	follows, takes := entry("s-7c400001", targets[0], 1, now), entry("s-7c400002", targets[1], 2, now)
	mu.Lock()
	moved = time.Now()
	mu.Unlock()
	d.set(deleted, leaves)
	d.set(serving, follows, takes)
	w.note("%s is gone, %s takes its place elsewhere, and %s of destination 2 is at its address", leaves.Name, follows.Name, takes.Name)
	for time.Since(moved) < 45*time.Second {
		hand()
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Second)
	f.keepLog(1)
	latest := moved.Add(told + longerGrace)
	var violations []string
	good := len(targets[0].seen())
	for _, k := range targets[1].seen() {
		if k.first.After(latest) && destOf[k.id] == 1 {
			violations = append(violations, fmt.Sprintf("%s, a message for destination 1, was sent to %s %.1f s after discovery had listed that target as gone, and one of destination 2 at its address",
				k.id, leaves.Name, k.first.Sub(moved).Seconds()))
		}
	}
	w.note("%d calls to the target that took its place", good)
	if good == 0 {
		return violations, fmt.Errorf("no message was delivered")
	}
	return violations, nil
}
