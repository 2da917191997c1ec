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

// TestExtrasReachEveryAttempt checks that the extras of a message apply to each attempt, also after a restart, and that its outcome is reported.
func TestExtrasReachEveryAttempt(t *testing.T) {
	extras := &message.Extras{Only: []string{"s2"}, Header: []message.Field{{Name: "X-A", Value: "1"}}}
	dir := t.TempDir()
	j := mustJournal(t, dir, 3e6)
	for i := range 8 { // the journal that a killed process leaves
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
	n := startEngine(t, func(w *testConfig) {
		w.dir = dir
		w.list.Endpoints = append(w.list.Endpoints, Endpoint{Target: decide.Target{ID: "s2", Destination: 7, Weight: 1000}})
		w.onOutcome = func(e MessageOutcome) { ended <- e }
		w.onCall = func(name string, a Attempt) {
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
		if a := n.engine.Accept(m); a.Kind != Accepted {
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
			t.Fatal("not all messages are completed")
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if len(wrong) > 0 {
		t.Errorf("attempts with wrong extras: %q", wrong)
	}
}
