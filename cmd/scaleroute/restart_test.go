package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
)

// TestRestartWithWorkInHand: a destination has told a wait, so that a hold full of messages waits untried as the process is told to end, or is killed. The
// next process finds them, and clients come again at once with what is worth more, while the target hangs on the first calls. Each that was taken on is tried, by
// the target's own record: those before the end, one that came while the process was ending, and nobody's effect comes twice.
func TestRestartWithWorkInHand(t *testing.T) {
	const held, come = 80, 40
	for name, end := range map[string]syscall.Signal{"SIGTERM": syscall.SIGTERM, "SIGKILL": syscall.SIGKILL} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var again atomic.Bool
			release := make(chan bool)
			w := newWorld(t, func(rw http.ResponseWriter, id string) {
				if !again.Load() {
					rw.Header().Set("X-RateLimit-Wait-Ms", "200000")
					rw.WriteHeader(http.StatusTooManyRequests)
					return
				}
				<-release
			})
			p := w.start()
			c := p.client()
			c.enqueue("told", "harmless", 250000)
			w.await(w.called, "told")
			class := func(i int) string { return []string{"harmless", "harmless", "unsafe"}[i%3] }
			taken := map[string]bool{}
			for i := range held {
				id := fmt.Sprint("old", i)
				c.enqueue(id, class(i), 250000)
				taken[id] = true
			}
			if err := p.cmd.Process.Signal(end); err != nil {
				t.Fatal(err)
			}
			if end == syscall.SIGTERM {
				p.awaitLog("msg=stopping")
				c.enqueue("as-it-stops", "unsafe", 250000)
				taken["as-it-stops"] = true
			}
			if err := p.cmd.Wait(); end == syscall.SIGTERM && err != nil {
				t.Errorf("SIGTERM: %v", err)
			}
			again.Store(true) // a restart ends a wait

			p = w.start()
			c = p.client()
			turnedAway := 0
			for i := range come {
				id := fmt.Sprint("new", i)
				switch got := c.say("ENQUEUE", "0", id, "c=unsafe,d=250000,dest=7", "x"); {
				case got == "+OK":
					taken[id] = true
				default:
					turnedAway++
				}
			}
			if turnedAway == 0 {
				t.Error("nobody was turned away: the hold was not full")
			}
			close(release)
			for len(taken) > 0 {
				select {
				case <-w.called:
					for id := range taken {
						if n := w.count(id); n > 1 {
							t.Errorf("%s was sent %d times", id, n)
						} else if n == 1 {
							delete(taken, id)
						}
					}
				case n := <-w.notices:
					t.Fatalf("given up: %s; %d still to be tried", n, len(taken))
				}
			}
		})
	}
}
