package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// idleClient is a client that keeps its connection open, with a reader of the answers.
type idleClient struct {
	net.Conn
	in *bufio.Reader
}

// connectIdleClients connects clients to a process: every second one sends one PING and then stays idle, the others send nothing.
func connectIdleClients(t *testing.T, p *process, count int) (all []idleClient) {
	t.Helper()
	for i := range count {
		conn, err := net.Dial("tcp", p.address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(testTimeout))
		if i%2 == 0 {
			fmt.Fprint(conn, "*1\r\n$4\r\nPING\r\n")
		}
		all = append(all, idleClient{conn, bufio.NewReader(conn)})
	}
	return all
}

// checkAnsweredOrClosed returns an error unless the client is answered or its connection is closed.
func (c idleClient) checkAnsweredOrClosed() error {
	fmt.Fprint(c, "*1\r\n$4\r\nPING\r\n")
	text, err := c.in.ReadString('\n')
	switch {
	case err == nil && text == "+PONG\r\n", errors.Is(err, io.EOF), errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return nil
	}
	return fmt.Errorf("%q, %w", text, err)
}

// TestManyClientsWhileDiscoveryHangs: discovery does not answer, many times more idle clients connect than there is room for, and the process has no more
// descriptors than its configured limit. Messages are still accepted and delivered on new connections while the journal starts new segments; the
// notice of a failed message arrives; each idle client is answered or disconnected; and updates are received once discovery answers again.
func TestManyClientsWhileDiscoveryHangs(t *testing.T) {
	const messages, descriptors = 120, 96
	w := newTestEnv(t, func(rw http.ResponseWriter, id string) {
		if strings.HasPrefix(id, "failed") {
			rw.WriteHeader(http.StatusInternalServerError)
		}
	})
	w.maxSockets, w.diskMB = descriptors, 1
	w.env = append(w.env, fmt.Sprintf("SCALEROUTE_TEST_FILES=%d", descriptors))
	p := w.start()
	w.discoveryHangs.Store(true)
	first := w.newestSegment()
	idle := connectIdleClients(t, p, 3*descriptors)
	body := strings.Repeat("x", 8000)
	for i := range messages {
		id := fmt.Sprint("m", i)
		c := p.connect()
		if got := c.do("ENQUEUE", "0", id, "c=harmless,d=200000,dest=7", body); got != "+OK" {
			t.Fatalf("%s: %q", id, got)
		}
		w.awaitValue(w.called, id)
		if i%10 == 0 {
			idle = append(idle, connectIdleClients(t, p, 10)...)
		}
	}
	p.connect().mustEnqueue("failed", "unsafe", 200000)
	w.awaitValue(w.notices, "failed dead")
	if now := w.newestSegment(); now == first {
		t.Errorf("the journal is still in its first segment, %s", now)
	}
	for i, c := range idle {
		if err := c.checkAnsweredOrClosed(); err != nil {
			t.Errorf("idle client %d: %v", i, err)
		}
	}
	w.discoveryHangs.Store(false)
	w.publish(false, w.endpointJSON("s2", 7, "SERVING"))
	w.awaitUpdatesReceived()
}

// newestSegment returns the name of the journal's newest segment.
func (w *testEnv) newestSegment() (name string) {
	w.t.Helper()
	files, err := os.ReadDir(w.state)
	if err != nil {
		w.t.Fatal(err)
	}
	for _, f := range files {
		if strings.HasSuffix(f.Name(), ".seg") {
			name = max(name, f.Name())
		}
	}
	return name
}
