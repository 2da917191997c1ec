package engine

import (
	"fmt"
	"reflect"
	"sync"
	"testing"
	"time"

	"scaleroute/internal/decide"
	"scaleroute/internal/journal"
	"scaleroute/internal/message"
)

// TestExtrasGoAlong: what was added to a message at its intake holds for each attempt, after a restart too, and its end is told.
func TestExtrasGoAlong(t *testing.T) {
	extras := &message.Extras{Only: []string{"s2"}, Header: []message.Field{{Name: "X-A", Value: "1"}}}
	dir := t.TempDir()
	j := mustJournal(t, dir, 3e6)
	for i := range 8 { // as a process leaves them that was killed
		s := &journal.MessageState{ID: fmt.Sprint("kept", i), Class: "note", Dest: 7, Body: message.Bytes("x"), Deadline: time.Now().Add(time.Minute), Extras: extras}
		if room, err := j.Reserve(s.Size()); err != nil || !room {
			t.Fatal(room, err)
		}
		if err := j.RecordAccepted(s); err != nil {
			t.Fatal(err)
		}
	}
	if err := j.Flush(); err != nil {
		t.Fatal(err)
	}
	j.Close()
	var mu sync.Mutex
	var wrong []string
	ended := make(chan MessageOutcome, 100)
	n := startLoop(t, func(w *world) {
		w.dir = dir
		w.list.Endpoints = append(w.list.Endpoints, Endpoint{Target: decide.Target{ID: "s2", Destination: 7, Weight: 1000}})
		w.ended = func(e MessageOutcome) { ended <- e }
		w.hear = func(name string, a Attempt) {
			if name != "s2" || !reflect.DeepEqual(a.Header, extras.Header) || a.Class != "note" || a.Destination != 7 {
				mu.Lock()
				wrong = append(wrong, fmt.Sprint(name, a))
				mu.Unlock()
			}
		}
	})
	for i := range 8 {
		m := note(fmt.Sprint("new", i))
		m.Extras = extras
		if a := n.loop.Accept(m); a.Kind != Accepted {
			t.Fatal(a)
		} else {
			a.ConfirmWritten(true)
		}
	}
	for range 16 {
		select {
		case e := <-ended:
			if e.Result != "delivered" || e.Class != "note" || e.Destination != 7 {
				t.Errorf("%+v", e)
			}
		case <-time.After(20 * time.Second):
			t.Fatal("not all are over")
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if len(wrong) > 0 {
		t.Errorf("%q", wrong)
	}
}
