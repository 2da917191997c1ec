package main

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
)

// TestDrainOutlastsRestart: one target is told to drain, and another is missing from a whole list; then the process ends, or is killed, and discovery says
// nothing any more. The configuration still has both serve. The next process calls neither, and the one after that; a third target, which drained and serves
// again, is called; and so are all once discovery says that they serve.
func TestDrainOutlastsRestart(t *testing.T) {
	for name, end := range map[string]syscall.Signal{"SIGTERM": syscall.SIGTERM, "SIGKILL": syscall.SIGKILL} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, func(http.ResponseWriter, string) {})
			w.listing = w.entry("drains", 7, "SERVING") + "," + w.entry("goes", 8, "SERVING") + "," + w.entry("returns", 9, "SERVING")
			p := w.start()
			w.tell(false, w.entry("drains", 7, "DRAINING"), w.entry("returns", 9, "DRAINING"))
			w.tell(true, w.entry("drains", 7, "DRAINING"), w.entry("returns", 9, "SERVING"))
			w.hear()
			w.silent.Store(true)
			for _, round := range []string{"a", "b"} {
				c := p.client()
				for dest := 7; dest <= 8; dest++ {
					if got := c.hand(fmt.Sprint(round, dest), "harmless", dest); got != "+OK" {
						t.Fatalf("for %d: %q", dest, got)
					}
				}
				p.cmd.Process.Signal(end)
				p.cmd.Wait()
				p = w.start()
				c = p.client()
				c.hand(round+"9", "harmless", 9)
				w.await(w.called, round+"9")
			}
			for _, id := range []string{"a7", "a8", "b7", "b8"} {
				if n := w.count(id); n != 0 {
					t.Errorf("%s was sent %d times to a target that was told to drain", id, n)
				}
			}
			w.tell(true, w.listing)
			w.silent.Store(false)
			for _, id := range []string{"a7", "a8", "b7", "b8"} {
				w.made(id)
			}
		})
	}
}
