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

// TestHalfWritten: two requests are cut at each byte, and in between the server hands over, drains, or both: each is read whole and
// answered once, and the connection goes on unless the server drains.
func TestHalfWritten(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	var taken atomic.Int32
	take := taker(func(m *message.Message) engine.Answer {
		if m.ID != "id-1" || string(m.Body.(message.Bytes)) != "body" {
			t.Errorf("taken: %+v", m)
		}
		taken.Add(1)
		return engine.Answer{}
	})
	request := resp("ENQUEUE", "key", "id-1", "c=note,d=1500,dest=3", "body")
	for _, steps := range []string{"hand over, hand over", "drain", "hand over, drain"} {
		for at := range 2*len(request) + 1 {
			if at%len(request) == 0 && strings.HasSuffix(steps, "drain") { // between requests it is closed
				continue
			}
			name := fmt.Sprintf("%s, cut at %d", steps, at)
			taken.Store(0)
			served := make(chan error, 1)
			serve := func(list []DetachedConn) *Server {
				c := New(ln, 100, take)
				c.HandoverEnabled = true
				c.Adopt(list, time.Now())
				go func() { served <- c.Serve(t.Context()) }()
				return c
			}
			server, drained := serve(nil), false
			conn, r := dial(t, ln.Addr().String())
			both := request + request
			fmt.Fprint(conn, both[:at])
			answers := 0
			for ; answers < at/len(request); answers++ {
				if got := line(t, r); got != "+OK" {
					t.Fatalf("%s: %q", name, got)
				}
			}
			for !server.read(at%len(request) > 0) {
				time.Sleep(50 * time.Microsecond)
			}
			for step := range strings.SplitSeq(steps, ", ") {
				switch step {
				case "drain":
					for !server.read(at%len(request) > 0) {
						time.Sleep(50 * time.Microsecond)
					}
					must(t, server.Drain())
					server.drainIdle()
					drained = true
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
			most := 2
			if drained {
				most = min(2, at/len(request)+1) // the one that had begun
			}
			for ; answers < most; answers++ {
				if got := line(t, r); got != "+OK" {
					t.Fatalf("%s, afterwards: %q", name, got)
				}
			}
			if _, err := fmt.Fprint(conn, resp("PING")); !drained && (err != nil || line(t, r) != "+PONG") {
				t.Errorf("%s: the connection does not go on", name)
			}
			if n := int(taken.Load()); n < most || n > 2 {
				t.Errorf("%s: taken %d times", name, n)
			}
			conn.Close()
			server.Detach(time.Minute)
			<-served
		}
	}
}

// read tells whether there is a connection, and, where a request has begun, whether the server knows.
func (c *Server) read(begun bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.conns {
		if s.idle == begun {
			return false
		}
	}
	return len(c.conns) > 0
}

// TestHandOverInHand: a request that is being answered is, before its connection goes on; a client that takes no answer is not waited for.
func TestHandOverInHand(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	asked, finish := make(chan bool), make(chan bool)
	first := New(ln, 100, taker(func(*message.Message) engine.Answer {
		asked <- true
		<-finish
		return engine.Answer{}
	}))
	first.HandoverEnabled = true
	served := make(chan error, 1)
	go func() { served <- first.Serve(t.Context()) }()
	conn, r := dial(t, ln.Addr().String())
	fmt.Fprint(conn, resp("ENQUEUE", "key", "id-1", "c=note,d=1500,dest=3", "body"))
	<-asked
	handed := make(chan []DetachedConn)
	go func() { handed <- first.Detach(time.Minute) }()
	if err := <-served; err != nil {
		t.Fatal(err)
	}
	close(finish)
	list := <-handed
	if got := line(t, r); got != "+OK" || len(list) != 1 || len(list[0].Unread) != 0 || !list[0].Used {
		t.Errorf("answered %q, handed over %+v", got, list)
	}
	second := New(ln, 100, taker(takesAll))
	second.Adopt(list, time.Now())
	go second.Serve(t.Context())
	if fmt.Fprint(conn, resp("PING")); line(t, r) != "+PONG" {
		t.Error("the connection does not go on")
	}
	late, lr := dial(t, ln.Addr().String()) // whoever connected in between is in the socket's backlog
	if fmt.Fprint(late, resp("PING")); line(t, lr) != "+PONG" {
		t.Error("a new connection is not served")
	}
	second.Close()
}

// TestDetachAtOnce: a server hands over as it begins to serve, while clients connect. Each of them is answered by the next one, on the connection that it has.
func TestDetachAtOnce(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	for round := range 300 {
		first := New(ln, 3, nil) // fewer than there are clients
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
