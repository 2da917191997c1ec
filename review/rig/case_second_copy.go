package main

import (
	"fmt"
	"time"
)

// secondCopy: a target sends its answer a second time right behind the first, while nothing else waits on the connection. The network's delays vary within the
// range of the site. The next message on that connection is turned away by the target; it must not be taken for delivered, and must get its end.
func secondCopy(w *world) (v verdict, err error) {
	const rounds = 4
	const least, most = 21300 * time.Microsecond, 38700 * time.Microsecond // 30 ms, more or less by 0.29
	const behind = 8 * time.Millisecond                                    // the second copy is written so long after the answer
	const next = 21500 * time.Microsecond                                  // from when the forwarder has the answer until the next message is handed in
	const usualTraffic = 10                                                // messages for each destination before, so that its connection is kept
	const timeLeft, noticeLimit = 3 * time.Second, 300 * time.Millisecond

	var list []listed
	var targets []*target
	answered := make(chan time.Time, 16)
	for i := range rounds {
		t, err := newTarget(w.record, fmt.Sprintf("target%d", i), nil)
		if err != nil {
			return v, err
		}
		first, refused := fmt.Sprintf("9b1f03aa5c7e2d%02x", 2*i), fmt.Sprintf("9b1f03aa5c7e2d%02x", 2*i+1)
		t.answer = func(c *call) string {
			if c.id == refused && len(t.callsOf(refused)) == 1 {
				return "503 Service Unavailable"
			}
			return "200 OK"
		}
		if w.trouble {
			t.copy = func(c *call) (time.Duration, bool) { return behind, c.id == first }
		}
		r := &relay{to: t.address(), delay: least}
		r.back = func([]byte) time.Duration {
			if t.copies.CompareAndSwap(true, false) {
				return most
			}
			return least
		}
		r.came = func(piece []byte, at time.Time) {
			w.add("network", "passed on to the forwarder: %q", piece)
			select {
			case answered <- at:
			default:
			}
		}
		if err := r.listen(); err != nil {
			return v, err
		}
		e := endpoint(fmt.Sprintf("s-5be2a0%02x", i), t, i)
		e.Address, e.Weight = r.ln.Addr().String(), 60 // no pace delays a message
		targets, list = append(targets, t), append(list, e)
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
	for i, t := range targets {
		first, second := fmt.Sprintf("9b1f03aa5c7e2d%02x", 2*i), fmt.Sprintf("9b1f03aa5c7e2d%02x", 2*i+1)
		for k := range usualTraffic {
			usual.handIn("client", fmt.Sprintf("9b1f03aa5c7e%02x%02x", i, k), safeClass, 20000, i, "status")
			time.Sleep(100 * time.Millisecond)
		}
		for len(answered) > 0 {
			<-answered
		}
		if answer, err := usual.handIn("client", first, unsafeClass, 20000, i, "signature"); err != nil || answer != "+OK" {
			return v, fmt.Errorf("the first message was not taken on: %q, %v", answer, err)
		}
		select {
		case at := <-answered:
			time.Sleep(time.Until(at.Add(next)))
		case <-time.After(2 * time.Second):
			return v, fmt.Errorf("the first message was not answered")
		}
		sent := time.Now()
		if answer, err := usual.handIn("client", second, unsafeClass, int(timeLeft.Milliseconds()), i, "signature"); err != nil || answer != "+OK" {
			return v, fmt.Errorf("the second message was not taken on: %q, %v", answer, err)
		}
		time.Sleep(time.Until(sent.Add(timeLeft + noticeLimit + slack)))
		delivered := 0
		for _, c := range t.callsOf(second) {
			if c.status == "200 OK" {
				delivered++
			}
		}
		notices := w.platform.noticed(second)
		w.add("check", "%s: %d calls, %d delivered, notices %v", second, len(t.callsOf(second)), delivered, notices)
		if delivered == 0 && len(notices) == 0 {
			v.broken = true
			v.seen += fmt.Sprintf("%s was taken on, turned away by its target, and has no end %v after its time; ", second, noticeLimit+slack)
		} else {
			v.seen += fmt.Sprintf("%s: %d delivered, %d notices; ", second, delivered, len(notices))
		}
	}
	return v, nil
}
