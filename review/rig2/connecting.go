package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["connecting"] = killedWhileConnecting }

const (
	lateBy       = 900 * time.Millisecond // how late some connections come up (STANDING: up to 1.5 s)
	clumpSize    = 30
	usualLatency = 250 * time.Millisecond
)

// killedWhileConnecting: a clump of messages comes for a destination with three targets while new connections to one of them come up late. Then the
// forwarder is killed, and started again with its folder.
func killedWhileConnecting(w *world, trouble bool) ([]string, error) {
	d, err := w.newDiscovery()
	if err != nil {
		return nil, err
	}
	var targets []*target
	var entries []listed
	for i := range 3 {
		t, err := w.newTarget()
		if err != nil {
			return nil, err
		}
		t.setAnswer(func(string) (int, string, time.Duration) { return 200, "", usualLatency })
		targets = append(targets, t)
		entries = append(entries, listed{Name: fmt.Sprintf("s-5be2000%d", i), Address: t.address, Zone: "tallinn-dc1", Type: "large-organisers", Group: 1, Weight: 300})
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
	var messages []*handed
	c := f.newClient()
	defer c.close()
	n := 0
	hand := func(left time.Duration) {
		class := "status-update"
		if n++; n%2 == 0 {
			class = "signature-handover"
		}
		messages = append(messages, c.hand(class, 1, left))
	}
	const left = 12 * time.Second
	for range 40 {
		hand(left)
		time.Sleep(80 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	if err := targets[2].comeUpLate(lateBy); err != nil {
		return nil, err
	}
	for range clumpSize {
		hand(left)
		time.Sleep(8 * time.Millisecond)
	}
	time.Sleep(usualLatency + 50*time.Millisecond)
	killed := time.Now()
	if trouble {
		p.signal(9)
		<-p.exited
		c.close()
		time.Sleep(600 * time.Millisecond)
		if p, err = f.start(); err != nil {
			return nil, err
		}
		if err := p.awaitReady(30 * time.Second); err != nil {
			return nil, err
		}
	}
	time.Sleep(left + time.Second)
	f.keepLog(f.restart)
	first := map[string]time.Time{} // when a call with the message was first read
	for _, t := range targets {
		for _, k := range t.seen() {
			if at, ok := first[k.id]; !ok || k.last.Before(at) {
				first[k.id] = k.last
			}
		}
	}
	untried, givenUp := map[string]int{}, map[string]int{}
	var examples []string
	for _, h := range messages {
		at, called := first[h.id]
		if !h.accepted() || called && at.Before(killed) || h.sent.Add(h.left).Sub(killed) < h.left/2 {
			continue
		}
		untried[h.class]++
		d.mu.Lock()
		notices := d.notices[h.id]
		d.mu.Unlock()
		switch {
		case called:
			w.note("%s, %s: not tried before the kill, sent %.2f s after it", h.id, h.class, at.Sub(killed).Seconds())
		case len(notices) > 0 && h.sent.Add(h.left).Sub(notices[0].at) > h.left/2:
			givenUp[h.class]++
			examples = append(examples, fmt.Sprintf("%s (%s) was ended as %s with %.1f s of %v left, and no call was ever made with it", h.id, h.class, notices[0].Result,
				h.sent.Add(h.left).Sub(notices[0].at).Seconds(), h.left))
		default:
			w.note("%s, %s: not tried, notices %v", h.id, h.class, notices)
		}
	}
	w.note("found untried: %v; given up early with no call: %v", untried, givenUp)
	if trouble && untried["signature-handover"] == 0 {
		return nil, fmt.Errorf("the restart found no message untried that may not be repeated")
	}
	if !trouble && len(first) == 0 {
		return nil, fmt.Errorf("no message was sent")
	}
	all, allGivenUp := untried["signature-handover"]+untried["status-update"], givenUp["signature-handover"]+givenUp["status-update"]
	if 2*givenUp["signature-handover"] > untried["signature-handover"] || 2*allGivenUp > all {
		return []string{fmt.Sprintf("of %d messages that the restart found untried with half of their time left, %d were given up early with no call; of the %d among them that may not be repeated, %d: %s",
			all, allGivenUp, untried["signature-handover"], givenUp["signature-handover"], strings.Join(examples, "; "))}, nil
	}
	return nil, nil
}
