package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
)

// TestRestartWithQueuedMessages: a destination has answered with a long retry-after, so that its queue is full of messages that were not sent when the
// process is terminated or killed. The next process recovers them. Clients at once send messages of a higher value, while the endpoint does not answer
// the first calls. By the endpoint's own record, each accepted message is sent exactly once: those from before the shutdown, one that was accepted
// during it, and those from after it.
func TestRestartWithQueuedMessages(t *testing.T) {
	const queued, sentAfterRestart = 80, 40
	for name, signal := range map[string]syscall.Signal{"SIGTERM": syscall.SIGTERM, "SIGKILL": syscall.SIGKILL} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var isRestarted atomic.Bool
			release := make(chan bool)
			w := newTestEnv(t, func(rw http.ResponseWriter, id string) {
				if !isRestarted.Load() {
					rw.Header().Set("X-RateLimit-Wait-Ms", "200000")
					rw.WriteHeader(http.StatusTooManyRequests)
					return
				}
				<-release
			})
			p := w.start()
			c := p.connect()
			c.mustEnqueue("told", "harmless", 250000)
			w.awaitValue(w.called, "told")
			class := func(i int) string { return []string{"harmless", "harmless", "unsafe"}[i%3] }
			accepted := map[string]bool{}
			for i := range queued {
				id := fmt.Sprint("old", i)
				c.mustEnqueue(id, class(i), 250000)
				accepted[id] = true
			}
			if err := p.cmd.Process.Signal(signal); err != nil {
				t.Fatal(err)
			}
			if signal == syscall.SIGTERM {
				p.awaitLog("msg=stopping")
				c.mustEnqueue("as-it-stops", "unsafe", 250000)
				accepted["as-it-stops"] = true
			}
			if err := p.cmd.Wait(); signal == syscall.SIGTERM && err != nil {
				t.Errorf("SIGTERM: %v", err)
			}
			isRestarted.Store(true) // the next process does not keep the retry-after

			p = w.start()
			c = p.connect()
			rejected := 0
			for i := range sentAfterRestart {
				id := fmt.Sprint("new", i)
				switch got := c.do("ENQUEUE", "0", id, "c=unsafe,d=250000,dest=7", "x"); {
				case got == "+OK":
					accepted[id] = true
				default:
					rejected++
				}
			}
			if rejected == 0 {
				t.Error("no message was rejected: the queue was not full")
			}
			close(release)
			for len(accepted) > 0 {
				select {
				case <-w.called:
					for id := range accepted {
						if n := w.callCount(id); n > 1 {
							t.Errorf("%s was sent %d times", id, n)
						} else if n == 1 {
							delete(accepted, id)
						}
					}
				case n := <-w.notices:
					t.Fatalf("notice %s, with %d messages not sent yet", n, len(accepted))
				}
			}
		})
	}
}
