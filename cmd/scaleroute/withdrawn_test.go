package main

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
)

// TestDrainOutlastsRestart: discovery drains one endpoint, and another one is missing from a whole list; then the process is terminated or killed, and
// discovery no longer answers. In the configuration both still serve. The next process calls neither, nor does the one after it; a third endpoint,
// which drained and serves again, is called; and all are called once discovery reports that they serve.
func TestDrainOutlastsRestart(t *testing.T) {
	for name, signal := range map[string]syscall.Signal{"SIGTERM": syscall.SIGTERM, "SIGKILL": syscall.SIGKILL} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestEnv(t, func(http.ResponseWriter, string) {})
			w.endpoints = w.endpointJSON("drains", 7, "SERVING") + "," + w.endpointJSON("goes", 8, "SERVING") + "," + w.endpointJSON("returns", 9, "SERVING")
			p := w.start()
			w.publish(false, w.endpointJSON("drains", 7, "DRAINING"), w.endpointJSON("returns", 9, "DRAINING"))
			w.publish(true, w.endpointJSON("drains", 7, "DRAINING"), w.endpointJSON("returns", 9, "SERVING"))
			w.awaitUpdatesReceived()
			w.discoveryHangs.Store(true)
			for _, round := range []string{"a", "b"} {
				c := p.connect()
				for dest := 7; dest <= 8; dest++ {
					if got := c.enqueueTo(fmt.Sprint(round, dest), "harmless", dest); got != "+OK" {
						t.Fatalf("for destination %d: %q", dest, got)
					}
				}
				p.cmd.Process.Signal(signal)
				p.cmd.Wait()
				p = w.start()
				c = p.connect()
				c.enqueueTo(round+"9", "harmless", 9)
				w.awaitValue(w.called, round+"9")
			}
			for _, id := range []string{"a7", "a8", "b7", "b8"} {
				if n := w.callCount(id); n != 0 {
					t.Errorf("%s was sent %d times to an endpoint that was withdrawn", id, n)
				}
			}
			w.publish(true, w.endpoints)
			w.discoveryHangs.Store(false)
			for _, id := range []string{"a7", "a8", "b7", "b8"} {
				w.awaitCall(id)
			}
		})
	}
}

// TestRestartKeepsOwnersOfAddresses: a process that starts while discovery is down does not call an endpoint at a configured address that another one has since.
func TestRestartKeepsOwnersOfAddresses(t *testing.T) {
	for name := range changesOfOwner("", "") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestEnv(t, func(http.ResponseWriter, string) {})
			owner, reference := w.listFormerAndReference(listenAndRecord(t))
			p := w.start()
			w.reportAll(p.connect(), withEntry(changesOfOwner(owner.address, w.target.Listener.Addr().String())[name], reference.listing()))
			w.discoveryHangs.Store(true)
			p.kill()
			c := w.start().connect()
			c.mustEnqueue("for-former", "harmless", 200000)
			reference.awaitReuse(c)
			if wrong := owner.others(); len(wrong) > 0 {
				t.Errorf("messages of destination %d came to an endpoint of destination %d: %v", formerDest, laterDest, wrong)
			}
		})
	}
}
