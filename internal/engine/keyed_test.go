package engine

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"scaleroute/internal/decide"
)

// TestKeyedRetryWithinWindow checks that the retry of a message of a keyed class that may have run begins only within the deduplication window, which
// starts when the first call begins, even if the retry's connection takes long.
func TestKeyedRetryWithinWindow(t *testing.T) {
	const window = time.Second
	for _, connects := range []time.Duration{0, 200 * time.Millisecond, window - 100*time.Millisecond, window, window + time.Second/2} {
		t.Run(connects.String(), func(t *testing.T) {
			t.Parallel()
			var first time.Time
			done := make(chan bool, 8)
			var calls, late atomic.Int32
			n := startEngine(t, func(w *testConfig) {
				w.settings.Classes = append(w.settings.Classes, decide.Class{Name: "keyed", Effect: decide.Deduplicated, DedupWindow: window, OnTime: 10 * time.Second, Deadline: 20 * time.Second, Value: 1})
				w.call = func(_ context.Context, a Attempt) decide.Outcome {
					if calls.Add(1) == 1 {
						first = time.Now()
						return decide.Outcome{Result: decide.Errored}
					}
					defer func() { done <- true }()
					time.Sleep(connects) // time to connect
					if !a.MayBegin() {
						return decide.Outcome{Result: decide.NotSent}
					}
					if time.Since(first) > window {
						late.Add(1)
					}
					return decide.Outcome{Result: decide.Succeeded, NoAnswerNeeded: true}
				}
			})
			m := note("m")
			m.Class = "keyed"
			got := n.engine.Accept(m)
			if got.Kind != Accepted {
				t.Fatalf("%+v", got)
			}
			got.ConfirmWritten(true)
			<-done
			if late.Load() > 0 {
				t.Errorf("connection time %v: the retry began outside the window", connects)
			}
		})
	}
}
