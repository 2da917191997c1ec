package main

import (
	"fmt"
	"net/http"
	"strings"
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

// listEntry returns a list entry of an endpoint at an address.
func listEntry(name, address string, dest int, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"a","type":"std","group":%d,"status":%q,"weight":50}`, name, address, dest, status)
}

// generation is the endpoints that are listed at the same time, one for each destination.
type generation struct {
	prefix, address string
	size            int
}

// entries returns the list entries of the generation's endpoints.
func (g generation) entries(status string) (list []string) {
	for i := range g.size {
		list = append(list, listEntry(fmt.Sprintf("%s-%05d", g.prefix, i), g.address, firstReplacedDest+i, status))
	}
	return list
}

const (
	firstReplacedDest = 1000 // of the destinations whose endpoints are replaced; destination 7 keeps its endpoint
	replacements      = 10   // of each endpoint
	sampledMessages   = 40
)

// TestReplacedEndpointsAfterRestart: the names of withdrawn endpoints that the folder had no room for were forgotten, and the next process called those
// endpoints while discovery was down. Here all endpoints of a fleet but one are replaced ten times, and then two processes start while discovery is down.
func TestReplacedEndpointsAfterRestart(t *testing.T) {
	for _, c := range []struct {
		size   int
		end    string // the last report of the former endpoints
		signal syscall.Signal
	}{
		{30, "DELETED", syscall.SIGKILL},
		{160, "DELETED", syscall.SIGKILL},
		{300, "DRAINING", syscall.SIGTERM},
		{480, "DELETED", syscall.SIGTERM},
		{3200, "DELETED", syscall.SIGKILL},
		{3200, "DRAINING", syscall.SIGTERM},
	} {
		t.Run(fmt.Sprintf("%d %s %v", c.size, c.end, c.signal), func(t *testing.T) {
			t.Parallel()
			w := newTestEnv(t, func(http.ResponseWriter, string) {})
			former := listenAndRecord(t)
			first := generation{"first", former.address, c.size}
			stays := w.endpointJSON("stays", 7, "SERVING")
			w.endpoints = strings.Join(append(first.entries("SERVING"), stays), ",")
			p := w.start()
			current := first
			for n := range replacements {
				next := generation{fmt.Sprint("later", n), w.target.Listener.Addr().String(), c.size}
				w.publish(false, append(next.entries("SERVING"), current.entries("DRAINING")...)...)
				if n < replacements-1 || c.end == "DELETED" {
					w.publish(false, current.entries("DELETED")...)
				}
				current = next
			}
			w.awaitUpdatesReceived()
			w.discoveryHangs.Store(true)
			var ids []string
			for round := range 2 {
				p.end(c.signal)
				p = w.start()
				client := p.connect()
				for n := range sampledMessages {
					id, class := fmt.Sprintf("m%d-%d", round, n), []string{"harmless", "unsafe"}[n%2]
					if got := client.enqueueTo(id, class, firstReplacedDest+n*c.size/sampledMessages); got != "+OK" {
						t.Fatalf("%s: %q", id, got)
					}
					ids = append(ids, id)
				}
				for n := range 20 { // calls to the others would begin before these
					id := fmt.Sprintf("stays%d-%d", round, n)
					client.mustEnqueue(id, "harmless", 200000)
					w.awaitCall(id)
				}
			}
			if wrong := former.others(); len(wrong) > 0 {
				t.Fatalf("%d messages were sent to endpoints that were withdrawn: %v", len(wrong), wrong)
			}
			w.mu.Lock()
			w.endpoints = strings.Join(append(current.entries("SERVING"), stays), ",")
			w.mu.Unlock()
			w.discoveryHangs.Store(false)
			for _, id := range ids {
				w.awaitCall(id)
			}
		})
	}
}
