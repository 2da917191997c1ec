package main

import (
	"fmt"
	"net/http"
	"testing"
)

// TestClientsGetDescriptorsBack: while there are few clients, connections to endpoints rest on descriptors of clients. When clients come, all of them are
// served, and the process stays within its limit of descriptors.
func TestClientsGetDescriptorsBack(t *testing.T) {
	t.Parallel()
	const (
		sockets  = 50
		clients  = sockets * 2 / 5
		messages = 2 * sockets
	)
	w := newTestEnv(t, func(http.ResponseWriter, string) {})
	w.maxSockets = sockets
	p := w.start()
	sender := p.connect()
	for i := range messages {
		id := fmt.Sprint("m", i)
		sender.mustEnqueue(id, "harmless", 60000)
		w.awaitValue(w.called, id)
		if all, _ := p.descriptors(); all > sockets {
			t.Errorf("%d descriptors after %d messages", all, i+1)
		}
	}
	for i := range clients - 2 { // the sender and the client of start are there
		if got := p.connect().do("PING"); got != "+PONG" {
			t.Fatalf("client %d: %q", i, got)
		}
		if all, _ := p.descriptors(); all > sockets {
			t.Errorf("%d descriptors with %d clients", all, i+3)
		}
	}
	sender.mustEnqueue("last", "harmless", 60000)
	w.awaitValue(w.called, "last")
}
