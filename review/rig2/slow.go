package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["slow"] = slowDiscovery }

const (
	slowAnswer   = 2500 * time.Millisecond // of discovery, to a call that may not wait
	toldAfterHUP = 4 * time.Second         // what discovery has to tell counts as told then
)

// slowDiscovery: a new configuration moves discovery to an address that is slow for a while. What it lists from the first moment on is that a target has
// gone, and that a target of another destination stands at its address.
func slowDiscovery(w *world, trouble bool) ([]string, error) {
	former, err := w.newDiscovery()
	if err != nil {
		return nil, err
	}
	next, err := w.newDiscovery()
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var moved time.Time // when the address passed to the other destination
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
		return listed{Name: name, Address: t.address, Zone: "tallinn-dc1", Type: "small-groups", Group: group, Weight: 20, SinceMS: since}
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
	former.set(serving, leaves, other)
	next.set(serving, leaves, other)
	f, err := w.newForwarder("n1", former, siteSettings(), former.whole())
	if err != nil {
		return nil, err
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
		time.Sleep(100 * time.Millisecond)
	}
	for range 30 {
		hand()
	}
	if trouble {
		next.setSlow(slowAnswer)
	}
	if err := f.moveDiscovery(next); err != nil {
		return nil, err
	}
	now := time.Now().UnixMilli()
	follows, takes := entry("s-7c400001", targets[0], 1, now), entry("s-7c400002", targets[1], 2, now)
	mu.Lock()
	moved = time.Now()
	mu.Unlock()
	next.set(deleted, leaves)
	next.set(serving, follows, takes)
	p.signal(syscall.SIGHUP)
	w.note("%s is gone, %s takes its place elsewhere, and %s of destination 2 is at its address", leaves.Name, follows.Name, takes.Name)
	time.AfterFunc(1500*time.Millisecond, former.close)
	for time.Since(moved) < 25*time.Second {
		hand()
	}
	next.setSlow(0)
	for time.Since(moved) < 30*time.Second {
		hand()
	}
	time.Sleep(time.Second)
	f.keepLog(1)
	latest := moved.Add(max(told, toldAfterHUP) + drainGrace)
	var violations []string
	good := len(targets[0].seen())
	for _, k := range targets[1].seen() {
		if k.first.After(latest) && destOf[k.id] == 1 {
			violations = append(violations, fmt.Sprintf("%s, a message for destination 1, was sent to %s %.1f s after SIGHUP and after discovery had listed that target as gone, and one of destination 2 at its address",
				k.id, leaves.Name, k.first.Sub(moved).Seconds()))
		}
	}
	w.note("%d calls to the target that took its place", good)
	if good == 0 {
		return violations, fmt.Errorf("no message was delivered")
	}
	return violations, nil
}
