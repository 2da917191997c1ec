package engine

import (
	"context"
	"fmt"
	"testing"
	"time"

	"scaleroute/internal/decide"
)

// TestHedgedRequest checks that the engine makes a hedged request when the Forwarder decides one, and cancels the context of the first call, which
// nothing else does here, once the hedged request is answered. It covers the case that the Forwarder decides both before the client has its +OK.
func TestHedgedRequest(t *testing.T) {
	cancelled, begun, outcomes := make(chan string, 10), make(chan bool, 10), make(chan MessageOutcome, 100)
	n := startEngine(t, func(w *testConfig) {
		w.settings.Hedging, w.settings.MayCancel, w.settings.Weights = true, true, decide.NoWeights
		w.settings.Limits = func(string, int, string) decide.Limits { return decide.Limits{HedgeDelay: 20 * time.Millisecond} }
		w.list.Endpoints = append(w.list.Endpoints, Endpoint{Target: decide.Target{ID: "s2", Destination: 7}})
		w.onOutcome = func(e MessageOutcome) { outcomes <- e }
		w.call = func(ctx context.Context, a Attempt) decide.Outcome {
			if a.Number == 0 && a.ID[0] == 'c' {
				begun <- true
				<-ctx.Done()
				cancelled <- a.ID
				return decide.Outcome{Result: decide.Cancelled}
			}
			if a.ID[0] == 'c' { // otherwise the first may be cancelled before it has begun
				<-begun
			}
			return decide.Outcome{Result: decide.Succeeded, NoAnswerNeeded: true, Latency: time.Millisecond}
		}
	})
	wait := func(id string) {
		t.Helper()
		for limit := time.After(time.Minute); ; {
			select {
			case e := <-outcomes:
				if e.ID == id {
					return
				}
			case <-limit:
				t.Fatalf("%s is not completed", id)
			}
		}
	}
	for i := range 30 { // first attempts: hedged requests may be a fifth of them
		id := fmt.Sprint("plain", i)
		n.engine.Accept(note(id)).ConfirmWritten(true)
		wait(id)
	}
	for _, delay := range []time.Duration{0, 60 * time.Millisecond} {
		id := fmt.Sprint("cancelled", delay.Milliseconds())
		a := n.engine.Accept(note(id))
		time.Sleep(delay) // until the hedged request is decided, too
		a.ConfirmWritten(true)
		wait(id)
		select {
		case got := <-cancelled:
			if got != id {
				t.Errorf("%s was cancelled, want %s", got, id)
			}
		case <-time.After(time.Minute):
			t.Fatalf("%s: the first call is not cancelled", id)
		}
	}
	if left := n.onDisk(t); len(left) > 0 {
		t.Errorf("%d messages are still in the journal", len(left))
	}
}
