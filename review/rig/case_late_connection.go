package main

import (
	"fmt"
	"syscall"
	"time"
)

// lateConnection: the connection for a call comes up late, meanwhile the forwarder is told that the target is gone, and the forwarder is held up for
// less than 0.15 s. The call must not begin once the grace of drains is over.
func lateConnection(w *world) (v verdict, err error) {
	const rounds = 4
	const stopAt, stopFor = 965 * time.Millisecond, 140 * time.Millisecond // counted from when the change was told
	const longestStop = 150 * time.Millisecond
	var targets []*target
	var list []listed
	for i := range rounds {
		t, err := newTarget(w.record, fmt.Sprintf("target%d", i), answer200(200*time.Millisecond))
		if err != nil {
			return v, err
		}
		targets, list = append(targets, t), append(list, endpoint(fmt.Sprintf("s-5be2a0%02x", i), t, i))
	}
	w.platform.set(list...)
	f, err := w.start("n1")
	if err != nil {
		return v, err
	}
	usual, err := connect(w.record, f.listen)
	if err != nil {
		return v, err
	}
	counted := 0
	for i, t := range targets {
		release := func() {}
		if w.trouble {
			release = t.holdConnections()
		}
		id := fmt.Sprintf("9b1f03aa5c7e2d%02x", i)
		handed := time.Now()
		if answer, err := usual.handIn("client", id, safeClass, 20000, i, "status"); err != nil || answer != "+OK" {
			return v, fmt.Errorf("the message was not taken on: %q, %v", answer, err)
		}
		time.Sleep(5 * time.Millisecond) // the call has been decided, and its connection is not there yet
		list[i].Status = "DELETED"
		w.platform.set(list[i])
		told := time.Now()
		time.Sleep(time.Until(told.Add(500 * time.Millisecond)))
		release() // the next packet of the connection's set-up, 1 s after the first one, is answered
		var stopped time.Duration
		if w.trouble {
			time.Sleep(time.Until(told.Add(stopAt)))
			before := time.Now()
			f.signal(syscall.SIGSTOP)
			time.Sleep(stopFor)
			f.signal(syscall.SIGCONT)
			stopped = time.Since(before)
		}
		time.Sleep(time.Until(told.Add(2 * time.Second)))
		for _, c := range t.callsOf(id) {
			after, came := c.first.Sub(told).Round(time.Millisecond), c.first.Sub(handed).Round(time.Millisecond)
			w.add("check", "%s began %v after its target was told gone, and %v after the message was handed in; the forwarder was held up for %v", id, after, came, stopped)
			if stopped > longestStop || came-stopped > connectTimeout {
				w.add("check", "the round does not count: the machine was late")
				continue
			}
			counted++
			if after > drainGrace+slack {
				v.broken = true
			}
			v.seen += fmt.Sprintf("a call began %v after its target was told gone; ", after)
		}
		if len(t.callsOf(id)) == 0 {
			counted++
			v.seen += "no call began; "
		}
	}
	if counted == 0 {
		return v, fmt.Errorf("no round counts")
	}
	return v, nil
}
