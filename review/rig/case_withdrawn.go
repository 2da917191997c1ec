package main

import (
	"fmt"
	"syscall"
	"time"
)

// withdrawn: targets are replaced by new ones all day; then discovery is down, and the forwarder is killed and started again with its folder. It must not
// call a target that it was told is gone.
func withdrawn(w *world) (v verdict, err error) {
	const targets, generations, step = 24, 6, 200 * time.Millisecond
	const watched = 7 // the destination that is looked at; the others have one target each
	var shared, old, current *target
	for _, t := range []struct {
		to   **target
		name string
	}{{&shared, "others"}, {&old, "gone"}, {&current, "present"}} {
		if *t.to, err = newTarget(w.record, t.name, answer200(200*time.Millisecond)); err != nil {
			return v, err
		}
	}
	name := func(generation, i int) string { return fmt.Sprintf("s-%08x", generation<<24|i<<16|0xa07c) }
	at := func(generation, i int) *target {
		switch {
		case i != watched:
			return shared
		case generation == 0:
			return old
		}
		return current
	}
	var first []listed
	for i := range targets {
		first = append(first, endpoint(name(0, i), at(0, i), i))
	}
	w.platform.set(first...)
	f, err := w.start("n1")
	if err != nil {
		return v, err
	}
	usual, err := connect(w.record, f.listen)
	if err != nil {
		return v, err
	}
	if answer, err := usual.handIn("client", "9b1f03aa5c7e2d00", safeClass, 20000, watched, "status"); err != nil || answer != "+OK" {
		return v, fmt.Errorf("the first message was not taken on: %q, %v", answer, err)
	}
	var told time.Time // when the forwarder was told that the old target is gone
	for generation := 1; generation <= generations; generation++ {
		for i := range targets {
			gone := endpoint(name(generation-1, i), at(generation-1, i), i)
			gone.Status = "DELETED"
			w.platform.set(gone, endpoint(name(generation, i), at(generation, i), i))
			if generation == 1 && i == watched {
				told = time.Now()
			}
			time.Sleep(step)
		}
	}
	if answer, err := usual.handIn("client", "9b1f03aa5c7e2d01", safeClass, 20000, watched, "status"); err != nil || answer != "+OK" {
		return v, fmt.Errorf("the second message was not taken on: %q, %v", answer, err)
	}
	time.Sleep(time.Second)
	if len(current.callsOf("9b1f03aa5c7e2d01")) != 1 {
		return v, fmt.Errorf("the target that replaced the old one was not called before the restart")
	}
	w.platform.setSilent(w.trouble)
	f.signal(syscall.SIGKILL)
	<-f.ended
	time.Sleep(600 * time.Millisecond)
	started := time.Now() // by the pages, what the agent has counts as told from here on at the latest
	if err := f.start(); err != nil {
		return v, err
	}
	again, err := connect(w.record, f.listen)
	if err != nil {
		return v, err
	}
	for k := range 8 {
		again.handIn("client", fmt.Sprintf("9b1f03aa5c7e2d1%x", k), safeClass, 20000, watched, "status")
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(2 * time.Second) // discovery was down for some 7 s
	w.platform.setSilent(false)
	time.Sleep(2 * time.Second)
	late := 0
	for _, c := range old.callsOf("") {
		if c.first.Before(started) {
			continue
		}
		w.add("check", "%s went to the target that is gone, %v after that was told and %v after the new process was started", c.id, c.first.Sub(told).Round(time.Millisecond),
			c.first.Sub(started).Round(time.Millisecond))
		if c.first.Sub(started) > drainGrace+slack {
			late++
		}
	}
	v.broken = late > 0
	v.seen = fmt.Sprintf("%d calls went to a target that was told gone %v before the restart, later than the grace after the new process was started; %d went to the one that replaced it",
		late, started.Sub(told).Round(time.Second), len(current.callsOf("")))
	return v, nil
}
