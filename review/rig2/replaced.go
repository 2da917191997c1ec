package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["replaced"] = manyReplaced }

const (
	replacedTargets = 160 // of at most 3,200 (STANDING)
	replaceSteps    = 8
	told            = 6 * time.Second         // by then a change counts as told
	drainGrace      = 1050 * time.Millisecond // 1 s, and 50 ms on sockets
)

// place is a listed target, when discovery listed it as gone, and what listens there.
type place struct {
	listed
	target *target
	gone   time.Time // zero while it is listed
}

// manyReplaced: all targets are replaced in steps, some by targets of other destinations at the same addresses. Then the forwarder is killed while
// discovery is down, and started again with its folder.
func manyReplaced(w *world, trouble bool) ([]string, error) {
	d, err := w.newDiscovery()
	if err != nil {
		return nil, err
	}
	var old []*place
	var all []*target
	var mu sync.Mutex
	owner := map[string]int{}  // which destination's target stands at an address now
	destOf := map[string]int{} // the destination of each message that is handed in after the restart
	newTarget := func() (*target, error) {
		t, err := w.newTarget()
		if err != nil {
			return nil, err
		}
		all = append(all, t)
		t.setAnswer(func(id string) (int, string, time.Duration) {
			mu.Lock()
			defer mu.Unlock()
			if dest, ok := destOf[id]; ok && owner[t.address] != dest {
				return 400, "", 0 // no client has handed that in for it
			}
			return 200, "", 0
		})
		return t, nil
	}
	var entries []listed
	for i := range replacedTargets {
		t, err := newTarget()
		if err != nil {
			return nil, err
		}
		// Destinations 0 to 99: the first 60 have two targets each.
		group := i
		if i >= 100 {
			group = i - 100
		}
		p := &place{listed: listed{Name: fmt.Sprintf("s-%08x", 0x5be20000+i), Address: t.address, Zone: "tallinn-dc1", Type: "small-groups", Group: group, Weight: 10}, target: t}
		old = append(old, p)
		entries = append(entries, p.listed)
	}
	d.set(serving, entries...)
	f, err := w.newForwarder("n1", d, siteSettings(), d.whole())
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
	for dest := range 5 {
		if h := c.hand("status-update", dest, 12*time.Second); !h.accepted() {
			return nil, fmt.Errorf("the first messages are not taken: %q", h.answer)
		}
	}
	for _, o := range old {
		owner[o.Address] = o.Group
	}
	perStep := replacedTargets / replaceSteps
	var previous []*place // gone in the step before
	for step := range replaceSteps {
		leaving := old[step*perStep : (step+1)*perStep]
		var added, drains []listed
		for i, o := range leaving {
			n := listed{Name: fmt.Sprintf("s-%08x", 0x7c400000+step*perStep+i), Zone: o.Zone, Type: o.Type, Group: o.Group, Weight: o.Weight, SinceMS: time.Now().UnixMilli()}
			if step == 1 { // some stand at the address of one that has gone
				n.Address = previous[i].Address
				if previous[i].Group == n.Group {
					return nil, fmt.Errorf("the address of a target of the same destination")
				}
			} else {
				t, err := newTarget()
				if err != nil {
					return nil, err
				}
				n.Address = t.address
			}
			added, drains = append(added, n), append(drains, o.listed)
			mu.Lock()
			owner[n.Address] = n.Group
			mu.Unlock()
		}
		d.set(serving, added...)
		d.set(draining, drains...)
		w.note("step %d: %d targets drain, as many are new", step+1, len(drains))
		time.Sleep(1200 * time.Millisecond)
		d.set(deleted, drains...)
		for _, o := range leaving {
			o.gone = time.Now()
		}
		w.note("step %d: they are gone", step+1)
		time.Sleep(300 * time.Millisecond)
		previous = leaving
	}
	time.Sleep(told + drainGrace) // all of it counts as told
	for dest := range 5 {
		c.hand("status-update", dest, 12*time.Second)
	}
	if trouble {
		d.setSilent(true)
		time.Sleep(500 * time.Millisecond)
	}
	p.signal(9)
	<-p.exited
	c.close()
	time.Sleep(600 * time.Millisecond)
	restarted := time.Now()
	if p, err = f.start(); err != nil {
		return nil, err
	}
	if err := p.awaitReady(30 * time.Second); err != nil {
		return nil, err
	}
	var messages []*handed
	for dest := range 100 {
		class := "status-update"
		if dest%4 == 0 {
			class = "signature-handover"
		}
		h := c.handWith(class, dest, 12*time.Second, func(id string) {
			mu.Lock()
			destOf[id] = dest
			mu.Unlock()
		})
		messages = append(messages, h)
	}
	time.Sleep(time.Until(restarted.Add(6500 * time.Millisecond)))
	d.setSilent(false)
	time.Sleep(3 * time.Second)
	f.keepLog(2)
	taken := 0
	for _, h := range messages {
		if h.accepted() {
			taken++
		}
	}
	w.note("after the restart %d of %d messages were taken on", taken, len(messages))
	goneAt := map[string]*place{}
	for _, o := range old {
		goneAt[o.Address] = o
	}
	var violations []string
	delivered := 0
	for _, t := range all {
		for _, k := range t.seen() {
			dest, ours := destOf[k.id]
			if !ours {
				continue
			}
			o := goneAt[t.address]
			switch {
			case o == nil: // a new target at a new address
				delivered++
			case owner[t.address] != dest:
				violations = append(violations, fmt.Sprintf("%s, a message for destination %d, was sent at %s to %s, where a target of destination %d stands: %s was gone since %s",
					k.id, dest, w.at(k.first), t.address, owner[t.address], o.Name, w.at(o.gone)))
			case owner[t.address] == dest && o.Group != dest:
				delivered++
			default:
				violations = append(violations, fmt.Sprintf("%s, a message for destination %d, was sent at %s to %s, which was gone since %s", k.id, dest, w.at(k.first), o.Name, w.at(o.gone)))
			}
		}
	}
	w.note("calls of the new process to targets that are listed: %d", delivered)
	if taken == 0 {
		return violations, fmt.Errorf("no message was taken on after the restart")
	}
	return violations, nil
}
