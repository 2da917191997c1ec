package main

import (
	"fmt"
	"time"
)

// sameID: a bad client begins to send a request with the id of another client's open request, falls silent, and goes on once that message has been
// delivered. The message must not take effect twice, and must not go out a second time.
func sameID(w *world) (v verdict, err error) {
	const rounds, workTime = 3, 300 * time.Millisecond
	t, err := newTarget(w.record, "target", answer200(workTime))
	if err != nil {
		return v, err
	}
	w.platform.set(endpoint("s-5be2a07c", t, 7))
	f, err := w.start("n1")
	if err != nil {
		return v, err
	}
	usual, err := connect(w.record, f.listen)
	if err != nil {
		return v, err
	}
	for round := range rounds {
		id := fmt.Sprintf("9b1f03aa5c7e2d%02x", round)
		if answer, err := usual.handIn("client", id, unsafeClass, 20000, 7, "one verified signature"); err != nil || answer != "+OK" {
			return v, fmt.Errorf("the message was not taken on: %q, %v", answer, err)
		}
		if w.trouble {
			if err := w.repeatOpenID(f, t, id); err != nil {
				return v, err
			}
		}
		time.Sleep(time.Second + workTime)
		calls := t.callsOf(id)
		if len(calls) == 0 || calls[0].last.IsZero() {
			return v, fmt.Errorf("the message %s was not delivered", id)
		}
		w.add("check", "%s, which must never take effect twice: %d calls, %v", id, len(calls), w.platform.noticed(id))
		if len(calls) > 1 {
			v.broken = true
			v.seen += fmt.Sprintf("%s went out again %v after its first call, which was answered 200; ", id, calls[1].first.Sub(calls[0].first).Round(time.Millisecond))
		} else {
			v.seen += fmt.Sprintf("%s went out once; ", id)
		}
	}
	return v, nil
}

// repeatOpenID is the bad client. It sends all but the last bytes of its request while the message is open, and those once it is over.
func (w *world) repeatOpenID(f *forwarder, t *target, id string) error {
	bad, err := connect(w.record, f.listen)
	if err != nil {
		return err
	}
	defer bad.conn.Close()
	for limit := time.Now().Add(2 * time.Second); len(t.callsOf(id)) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			return fmt.Errorf("the message %s did not go out", id)
		}
	}
	text := enqueue(id, unsafeClass, 20000, 7, "one verified signature")
	if _, err := bad.conn.Write([]byte(text[:len(text)-6])); err != nil {
		return err
	}
	w.add("bad", "sends a request with the id %s of an open message, but for its last 6 bytes", id)
	time.Sleep(time.Second)
	answer, err := bad.ask(text[len(text)-6:], 3*time.Second)
	w.add("bad", "sends the last 6 bytes, 1 s later, and is answered %q %v", answer, err)
	return nil
}
