package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["copies"] = repeatedAnswers }

const (
	copyTargets     = 22
	copyRate        = 350 // messages a second
	copyDescriptors = 256
	oneWayLeast     = 21300 * time.Microsecond // 30 ms less 0.29 of it
	oneWayMost      = 38700 * time.Microsecond // 30 ms and 0.29 of it
	copyBehind      = 8 * time.Millisecond     // at the target
	copiesOfTarget  = 6
	copyEach        = 12 // of so many answers of a target one is repeated
)

// farTarget is a target behind a network of some 20 to 40 ms, some of whose answers come twice.
type farTarget struct {
	w       *world
	ln      net.Listener
	repeats bool
	refuses bool      // what is repeated is a 503, and else a 200
	began   time.Time // answers are repeated from then on

	mu      sync.Mutex
	answers int
	copies  int
	ran     map[string]int // by message: calls answered 200
	turned  map[string]int // by message: calls answered 503
}

func (t *farTarget) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	var writing sync.Mutex
	turnAway := false // the next call on this connection
	for {
		id, length := "", -1
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			if line = strings.TrimRight(line, "\r\n"); line == "" {
				break
			}
			name, value, _ := strings.Cut(line, ":")
			switch value = strings.TrimSpace(value); strings.ToLower(name) {
			case "req-id":
				id = value
			case "content-length":
				length, _ = strconv.Atoi(value)
			}
		}
		if length < 0 {
			return
		}
		if _, err := io.CopyN(io.Discard, r, int64(length)); err != nil {
			return
		}
		read := time.Now()
		time.Sleep(oneWayLeast + time.Duration(270+rand.IntN(60))*time.Millisecond) // to the target, and its work
		status := 200
		if turnAway { // above its limit just now
			status = 503
		}
		t.mu.Lock()
		t.answers++
		chosen := status == 200 && time.Now().After(t.began) && t.copies < copiesOfTarget && t.answers%copyEach == 0
		if chosen {
			t.copies++
			if t.refuses {
				status = 503
			}
		}
		if status == 200 {
			t.ran[id]++
		} else {
			t.turned[id]++
		}
		t.mu.Unlock()
		turnAway = chosen && !t.refuses
		answer := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n", status)
		time.Sleep(oneWayLeast) // back
		writing.Lock()
		_, err := io.WriteString(conn, answer)
		writing.Unlock()
		if err != nil {
			return
		}
		t.w.note("call: %s at %s, read at %s, answered %d", id, t.ln.Addr(), t.w.at(read), status)
		if chosen && t.repeats {
			// It is written at the target 8 ms behind the answer: nothing else waits there, as the next request takes 21 ms at least.
			time.AfterFunc(copyBehind+oneWayMost-oneWayLeast, func() {
				writing.Lock()
				io.WriteString(conn, answer)
				writing.Unlock()
				t.w.note("a second copy of that answer to %s has come", id)
			})
		}
	}
}

// repeatedAnswers: a busy forwarder with few descriptors, some of whose answers come twice, right behind.
func repeatedAnswers(w *world, trouble bool) ([]string, error) {
	d, err := w.newDiscovery()
	if err != nil {
		return nil, err
	}
	var targets []*farTarget
	var entries []listed
	for i := range copyTargets {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		w.onClose(func() { ln.Close() })
		t := &farTarget{w: w, ln: ln, repeats: trouble, refuses: i%3 == 2, began: time.Now().Add(8 * time.Second), ran: map[string]int{}, turned: map[string]int{}}
		targets = append(targets, t)
		go func() {
			for {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				go t.serve(conn)
			}
		}()
		entries = append(entries, listed{Name: fmt.Sprintf("s-5be2%04d", i), Address: ln.Addr().String(), Zone: "tallinn-dc1", Type: "large-organisers", Group: i, Weight: 300})
	}
	d.set(serving, entries...)
	settings := siteSettings()
	settings["FamilyInfo"].(map[string]any)["Workers"] = 240
	settings["Limits"].(map[string]any)["MaxOpen"] = 2800
	f, err := w.newForwarder("n1", d, settings, d.whole())
	if err != nil {
		return nil, err
	}
	f.content.Limits["sockets"] = copyDescriptors
	if err := f.write(); err != nil {
		return nil, err
	}
	p, err := f.start()
	if err != nil {
		return nil, err
	}
	if err := p.awaitReady(30 * time.Second); err != nil {
		return nil, err
	}
	const clients, left = 30, 8 * time.Second
	var mu sync.Mutex
	var messages []*handed
	var all sync.WaitGroup
	end := time.Now().Add(25 * time.Second)
	for k := range clients {
		all.Add(1)
		go func() {
			defer all.Done()
			c := f.newClient()
			defer c.close()
			next := time.Now().Add(time.Duration(rand.Int64N(int64(clients * time.Second / copyRate))))
			for n := k; time.Now().Before(end); n++ {
				time.Sleep(time.Until(next))
				next = next.Add(clients * time.Second / copyRate)
				class := "status-update"
				if n%4 == 0 {
					class = "signature-handover"
				}
				dest := rand.IntN(copyTargets)
				if rand.IntN(5) < 3 { // a few organisers get much of the traffic
					dest = rand.IntN(4)
				}
				h := c.hand(class, dest, left)
				mu.Lock()
				messages = append(messages, h)
				mu.Unlock()
			}
		}()
	}
	all.Wait()
	time.Sleep(left + time.Second)
	f.keepLog(1)
	var violations []string
	taken, delivered := 0, 0
	for _, h := range messages {
		if !h.accepted() {
			continue
		}
		taken++
		ran, turned := 0, 0
		for _, t := range targets {
			t.mu.Lock()
			ran, turned = ran+t.ran[h.id], turned+t.turned[h.id]
			t.mu.Unlock()
		}
		d.mu.Lock()
		notices := d.notices[h.id]
		d.mu.Unlock()
		switch {
		case ran > 1 && h.class == "signature-handover":
			violations = append(violations, fmt.Sprintf("%s (%s) ran %d times", h.id, h.class, ran))
		case ran > 0:
			delivered++
		case len(notices) == 0:
			violations = append(violations, fmt.Sprintf("%s (%s) was taken on, turned away %d times, neither delivered nor ended by a notice %.1f s after its time", h.id, h.class, turned,
				time.Since(h.sent.Add(h.left)).Seconds()))
		}
	}
	w.note("taken on: %d of %d, delivered: %d", taken, len(messages), delivered)
	if delivered < taken/2 {
		return violations, fmt.Errorf("only %d of %d messages were delivered", delivered, taken)
	}
	return violations, nil
}
