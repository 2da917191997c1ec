package decide

import (
	"testing"
	"time"
)

// TestRejectedIsRefusedAtOnce: a message that an endpoint rejects for good is refused at once, whatever its class, and is not retried. The rejection does
// not count as a failure: the circuit stays closed.
func TestRejectedIsRefusedAtOnce(t *testing.T) {
	for _, effect := range []Effect{Idempotent, Deduplicated, AtMostOnce} {
		f, err := New(Settings{Slots: 64, ConnIdle: time.Minute, ConnectTimeout: time.Second, MaxRetryAfter: time.Second, StartCapacity: 1,
			OverloadFactor: 2, OverloadOutage: time.Second, Classes: []Class{{Name: "note", Effect: effect, DedupWindow: time.Minute, Deadline: 10 * time.Second, OnTime: 3 * time.Second, Value: 1}}})
		if err != nil {
			t.Fatal(err)
		}
		f.Step(0, []Event{TargetList{Scope: Snapshot, Targets: []Target{{ID: "a", Destination: 1}}}})
		for n := range 30 {
			now, id := time.Duration(n)*100*time.Millisecond, string(rune('A'+n))
			sent := 0
			for _, a := range f.Step(now, []Event{Message{ID: id, Class: "note", Destination: 1, TimeLeft: 10 * time.Second}}) {
				if _, is := a.(Send); is {
					sent++
				}
			}
			if sent != 1 {
				t.Fatalf("message %d: %d sends, want 1: did rejections open the circuit?", n, sent)
			}
			refused := false
			for _, a := range f.Step(now+10*time.Millisecond, []Event{Outcome{Message: id, Target: "a", Result: Rejected, Latency: 10 * time.Millisecond}}) {
				switch a.(type) {
				case Send, Fail:
					t.Fatalf("%T after a rejection, want only Refuse", a)
				case Refuse:
					refused = true
				}
			}
			if !refused {
				t.Fatal("the message was not refused at once")
			}
		}
	}
}
