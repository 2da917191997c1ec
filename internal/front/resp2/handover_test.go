package resp2

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"scaleroute/internal/engine"
	"scaleroute/internal/message"
)

// TestPartialRequestsOverHandoverAndDrain cuts two requests at each byte; in between the server is detached, drained, or both. Each request is read
// completely and answered once, and the connection stays open unless the server drains.
func TestPartialRequestsOverHandoverAndDrain(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	var accepted atomic.Int32
	acceptor := acceptorFunc(func(m *message.Message) engine.Answer {
		if m.ID != "id-1" || string(m.Body.(message.Bytes)) != "body" {
			t.Errorf("accepted: %+v", m)
		}
		accepted.Add(1)
		return engine.Answer{}
	})
	request := resp("ENQUEUE", "key", "id-1", "c=note,d=1500,dest=3", "body")
	for _, steps := range []string{"hand over, hand over", "drain", "hand over, drain"} {
		for at := range 2*len(request) + 1 {
			if at%len(request) == 0 && strings.HasSuffix(steps, "drain") { // between requests the connection is closed
				continue
			}
			name := fmt.Sprintf("%s, cut at %d", steps, at)
			accepted.Store(0)
			served := make(chan error, 1)
			serve := func(list []DetachedConn) *Server {
				next := New(ln, 100, acceptor)
				next.HandoverEnabled = true
				next.Adopt(list, time.Now())
				go func() { served <- next.Serve(t.Context()) }()
				return next
			}
			server, draining := serve(nil), false
			conn, r := dial(t, ln.Addr().String())
			both := request + request
			fmt.Fprint(conn, both[:at])
			answers := 0
			for ; answers < at/len(request); answers++ {
				if got := line(t, r); got != "+OK" {
					t.Fatalf("%s: %q", name, got)
				}
			}
			for !server.hasObserved(at%len(request) > 0) {
				time.Sleep(50 * time.Microsecond)
			}
			for step := range strings.SplitSeq(steps, ", ") {
				switch step {
				case "drain":
					for !server.hasObserved(at%len(request) > 0) {
						time.Sleep(50 * time.Microsecond)
					}
					must(t, server.Drain())
					server.drainIdle()
					draining = true
				case "hand over":
					list := server.Detach(time.Minute)
					if err := <-served; err != nil {
						t.Fatal(err)
					}
					if len(list) != 1 {
						t.Fatalf("%s: %d connections are handed over", name, len(list))
					}
					server = serve(list)
				}
			}
			fmt.Fprint(conn, both[at:])
			wantAnswers := 2
			if draining {
				wantAnswers = min(2, at/len(request)+1) // also the request that had begun
			}
			for ; answers < wantAnswers; answers++ {
				if got := line(t, r); got != "+OK" {
					t.Fatalf("%s, afterwards: %q", name, got)
				}
			}
			if _, err := fmt.Fprint(conn, resp("PING")); !draining && (err != nil || line(t, r) != "+PONG") {
				t.Errorf("%s: the connection does not stay open", name)
			}
			if n := int(accepted.Load()); n < wantAnswers || n > 2 {
				t.Errorf("%s: accepted %d times", name, n)
			}
			conn.Close()
			server.Detach(time.Minute)
			<-served
		}
	}
}

// hasObserved reports whether there is a connection, and each is in the middle of a request if begun is set, and between requests if not.
func (s *Server) hasObserved(begun bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, state := range s.conns {
		if state.idle == begun {
			return false
		}
	}
	return len(s.conns) > 0
}

// TestHandoverAnswersPendingRequest checks that a request that is being processed is answered before its connection is handed over, and that the next server
// serves that connection and new ones.
func TestHandoverAnswersPendingRequest(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	accepted, finish := make(chan bool), make(chan bool)
	first := New(ln, 100, acceptorFunc(func(*message.Message) engine.Answer {
		accepted <- true
		<-finish
		return engine.Answer{}
	}))
	first.HandoverEnabled = true
	served := make(chan error, 1)
	go func() { served <- first.Serve(t.Context()) }()
	conn, r := dial(t, ln.Addr().String())
	fmt.Fprint(conn, resp("ENQUEUE", "key", "id-1", "c=note,d=1500,dest=3", "body"))
	<-accepted
	detached := make(chan []DetachedConn)
	go func() { detached <- first.Detach(time.Minute) }()
	if err := <-served; err != nil {
		t.Fatal(err)
	}
	close(finish)
	list := <-detached
	if got := line(t, r); got != "+OK" || len(list) != 1 || len(list[0].Unread) != 0 || !list[0].Used {
		t.Errorf("answered %q, handed over %+v", got, list)
	}
	second := New(ln, 100, acceptorFunc(acceptAll))
	second.Adopt(list, time.Now())
	go second.Serve(t.Context())
	if fmt.Fprint(conn, resp("PING")); line(t, r) != "+PONG" {
		t.Error("the connection does not stay open")
	}
	late, lateReader := dial(t, ln.Addr().String()) // as a client that connected in between, it is in the socket's backlog
	if fmt.Fprint(late, resp("PING")); line(t, lateReader) != "+PONG" {
		t.Error("a new connection is not served")
	}
	second.Close()
}

// TestDetachWhileServeBegins checks a handover that starts while the server begins to serve and clients connect: each client is answered by the next server
// on the connection that it has.
func TestDetachWhileServeBegins(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	for round := range 300 {
		first := New(ln, 3, nil) // fewer connections than there are clients
		first.HandoverEnabled = true
		served := make(chan error, 2)
		go func() { served <- first.Serve(t.Context()) }()
		var conns []net.Conn
		dialled := make(chan bool)
		go func() {
			defer close(dialled)
			for range 3 {
				if conn, err := net.Dial("tcp", ln.Addr().String()); err == nil {
					conns = append(conns, conn)
				}
			}
		}()
		if round%2 == 0 {
			time.Sleep(time.Duration(round) * time.Microsecond)
		}
		list := first.Detach(time.Minute)
		must(t, <-served)
		<-dialled
		next := New(ln, 10, nil)
		next.Adopt(list, time.Now())
		go func() { served <- next.Serve(t.Context()) }()
		if len(conns) != 3 {
			t.Fatalf("%d connections", len(conns))
		}
		for i, conn := range conns {
			conn.SetDeadline(time.Now().Add(time.Minute))
			fmt.Fprint(conn, resp("PING"))
			b := make([]byte, 7)
			if _, err := conn.Read(b); err != nil || string(b) != "+PONG\r\n" {
				t.Fatalf("round %d, client %d: %q, %v", round, i, b, err)
			}
			conn.Close()
		}
		next.Detach(time.Minute)
		must(t, <-served)
	}
}
