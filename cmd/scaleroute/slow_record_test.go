package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	controlclient "scaleroute/internal/control/client"
)

// blockRecord makes the next write of the record of callable endpoints block until unblock is called, as on a disk that is busy.
func (w *testEnv) blockRecord() (unblock func()) {
	w.t.Helper()
	path := filepath.Join(w.state, "callable.next")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		w.t.Fatal(err)
	}
	return func() {
		pipe, err := os.Open(path)
		if err != nil {
			w.t.Fatal(err)
		}
		defer pipe.Close()
		io.Copy(io.Discard, pipe)
	}
}

// awaitListInForce publishes an update that begins to drain one destination and adds another, and waits until a message to the added one is sent. The
// draining one then gets no call.
func (w *testEnv) awaitListInForce(c *client, drained, added int) {
	w.t.Helper()
	w.publish(false, w.endpointJSON("drained", drained, "DRAINING"), w.endpointJSON("added", added, "SERVING"))
	got := ""
	for limit := time.Now().Add(testTimeout / 4); got != "+OK" && time.Now().Before(limit); time.Sleep(5 * time.Millisecond) {
		got = c.enqueueTo("to-added", "harmless", added)
	}
	if got != "+OK" {
		w.t.Fatalf("a destination that was added: %q", got)
	}
	w.awaitCall("to-added")
	if got := c.enqueueTo("to-drained", "harmless", drained); got != "+OK" {
		w.t.Errorf("a draining destination: %q", got)
	}
}

// TestSlowRecordDoesNotDelayWholeList: a disk that took long over the record of callable endpoints delayed drains and new endpoints. Until the record is
// written, the list is not confirmed to discovery.
func TestSlowRecordDoesNotDelayWholeList(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t, func(http.ResponseWriter, string) {})
	w.endpoints = w.endpointJSON("drained", 1, "SERVING")
	p := w.start()
	c := p.connect()
	unblock := w.blockRecord()
	w.awaitListInForce(c, 1, 2)
	w.mu.Lock()
	if w.newestAsked != 1 {
		t.Errorf("version %d is confirmed before it is recorded", w.newestAsked)
	}
	w.mu.Unlock()
	unblock()
	w.awaitUpdatesReceived()
	if n := w.callCount("to-drained"); n != 0 {
		t.Errorf("a draining endpoint was called %d times", n)
	}
}

// TestSlowRecordDoesNotDelayPartialList is the same for a forwarder that has its part of the list from control servers: it refused all messages while the
// record was written.
func TestSlowRecordDoesNotDelayPartialList(t *testing.T) {
	t.Parallel()
	w := newPartialListEnv(t, 1, 3)
	p := w.start()
	p.awaitControlStatus("the part is not received", ownsPartOfAll)
	c := p.connect()
	unblock := w.blockRecord()
	defer unblock()
	drained := w.ownedDestinations[0]
	w.publish(false, w.endpointJSON(fmt.Sprint("s", drained), drained, "DRAINING"))
	p.awaitControlStatus("the drain is not received", func(s controlclient.Status) bool { return s.Part.Index == 2 })
	for i, d := range w.ownedDestinations[1:] {
		id := []string{"first", "second"}[i]
		if got := c.enqueueTo(id, "harmless", d); got != "+OK" {
			t.Errorf("%s: %q", id, got)
			continue
		}
		w.awaitCall(id)
	}
}
