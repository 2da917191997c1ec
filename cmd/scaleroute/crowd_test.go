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

// idleClient is a client that stays, and a reader of what it is answered.
type idleClient struct {
	net.Conn
	in *bufio.Reader
}

// crowd has many clients connect to a process: every second one asks once and stays, the others say nothing.
func crowd(t *testing.T, p *process, count int) (all []idleClient) {
	t.Helper()
	for i := range count {
		conn, err := net.Dial("tcp", p.address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(patience))
		if i%2 == 0 {
			fmt.Fprint(conn, "*1\r\n$4\r\nPING\r\n")
		}
		all = append(all, idleClient{conn, bufio.NewReader(conn)})
	}
	return all
}

// settled tells whether a client was answered or its connection was ended, in the end.
func (c idleClient) settled() error {
	fmt.Fprint(c, "*1\r\n$4\r\nPING\r\n")
	text, err := c.in.ReadString('\n')
	switch {
	case err == nil && text == "+PONG\r\n", errors.Is(err, io.EOF), errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return nil
	}
	return fmt.Errorf("%q, %w", text, err)
}

// TestCrowdWhileDiscoveryIsSilent: discovery is silent, idle clients connect in numbers many times those that there is room for, and the process has no descriptor more
// than it is told that it may have. Messages flow, on new connections and as the journal goes on from segment to segment; the notice of one that failed arrives; no client is
// left without an answer or an end; and discovery, once it is back, is heard.
func TestCrowdWhileDiscoveryIsSilent(t *testing.T) {
	const messages, most = 120, 96
	w := newWorld(t, func(rw http.ResponseWriter, id string) {
		if strings.HasPrefix(id, "failed") {
			rw.WriteHeader(http.StatusInternalServerError)
		}
	})
	w.sockets, w.diskMB = most, 1
	w.env = append(w.env, fmt.Sprintf("SCALEROUTE_TEST_FILES=%d", most))
	p := w.start()
	w.silent.Store(true)
	first := w.segment()
	idle := crowd(t, p, 3*most)
	body := strings.Repeat("x", 8000)
	for i := range messages {
		id := fmt.Sprint("m", i)
		c := p.client()
		if got := c.say("ENQUEUE", "0", id, "c=harmless,d=200000,dest=7", body); got != "+OK" {
			t.Fatalf("%s: %q", id, got)
		}
		w.await(w.called, id)
		if i%10 == 0 {
			idle = append(idle, crowd(t, p, 10)...)
		}
	}
	p.client().enqueue("failed", "unsafe", 200000)
	w.await(w.notices, "failed dead")
	if now := w.segment(); now == first {
		t.Errorf("the journal is still in segment %s", now)
	}
	for i, c := range idle {
		if err := c.settled(); err != nil {
			t.Errorf("idle client %d: %v", i, err)
		}
	}
	w.silent.Store(false)
	w.tell(false, w.entry("s2", 7, "SERVING"))
	w.hear()
}

// segment is the newest segment of the journal.
func (w *world) segment() (name string) {
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
