package engine

import (
	"context"
	"fmt"
	"testing"
	"time"

	"scaleroute/internal/decide"
)

// TestSecondCopy: the engine has a second call out for a message where the module says so, and ends the first by its context, which nothing else
// does here, once the second is answered; also where the module decides both before the client has its +OK.
func TestSecondCopy(t *testing.T) {
	gone, begun, ends := make(chan string, 10), make(chan bool, 10), make(chan MessageOutcome, 100)
	n := startLoop(t, func(w *world) {
		w.settings.Hedging, w.settings.MayCancel, w.settings.Weights = true, true, decide.NoWeights
		w.settings.Limits = func(string, int, string) decide.Limits { return decide.Limits{HedgeDelay: 20 * time.Millisecond} }
		w.list.Endpoints = append(w.list.Endpoints, Endpoint{Target: decide.Target{ID: "s2", Destination: 7}})
		w.ended = func(e MessageOutcome) { ends <- e }
		w.call = func(ctx context.Context, a Attempt) decide.Outcome {
			if a.Number == 0 && a.ID[0] == 'c' {
				begun <- true
				<-ctx.Done()
				gone <- a.ID
				return decide.Outcome{Result: decide.Cancelled}
			}
			if a.ID[0] == 'c' { // else the first may be called off before it has begun
				<-begun
			}
			return decide.Outcome{Result: decide.Succeeded, NoAnswerNeeded: true, Latency: time.Millisecond}
		}
	})
	wait := func(id string) {
		t.Helper()
		for limit := time.After(time.Minute); ; {
			select {
			case e := <-ends:
				if e.ID == id {
					return
				}
			case <-limit:
				t.Fatalf("%s has no end", id)
			}
		}
	}
	for i := range 30 { // first tries, of which copies may be a fifth
		id := fmt.Sprint("plain", i)
		n.loop.Accept(note(id)).ConfirmWritten(true)
		wait(id)
	}
	for _, late := range []time.Duration{0, 60 * time.Millisecond} {
		id := fmt.Sprint("copied", late.Milliseconds())
		a := n.loop.Accept(note(id))
		time.Sleep(late) // until the copy is decided, too
		a.ConfirmWritten(true)
		wait(id)
		select {
		case got := <-gone:
			if got != id {
				t.Errorf("%s was called off, not %s", got, id)
			}
		case <-time.After(time.Minute):
			t.Fatalf("%s: its first call is not called off", id)
		}
	}
	if held := n.onDisk(t); len(held) > 0 {
		t.Errorf("%d are held still", len(held))
	}
}
