package resp2

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"scaleroute/internal/engine"
	"scaleroute/internal/message"
)

// acceptorFunc is a function that implements Acceptor.
type acceptorFunc func(*message.Message) engine.Answer

func (f acceptorFunc) Accept(m *message.Message) engine.Answer { return f(m) }

// startServer starts a Server on a loopback port and closes it at the end of the test.
func startServer(t *testing.T, maxConns int, acceptor Acceptor) (*Server, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := New(ln, maxConns, acceptor)
	served := make(chan error, 1)
	go func() { served <- server.Serve(t.Context()) }()
	t.Cleanup(func() {
		server.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
		server.wg.Wait()
	})
	return server, ln.Addr().String()
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(time.Minute))
	return conn, bufio.NewReader(conn)
}

// resp encodes a command.
func resp(args ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, a := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(a), a)
	}
	return b.String()
}

// line reads one line of a reply.
func line(t *testing.T, r *bufio.Reader) string {
	t.Helper()
	s, err := r.ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSpace(s)
}

// TestClientRequests sends valid and malformed requests. Whatever arrives, the next
// connection is served: a malformed request must not end the process.
func TestClientRequests(t *testing.T) {
	_, address := startServer(t, 100, acceptorFunc(func(m *message.Message) engine.Answer {
		return engine.Answer{Kind: engine.Rejected, Reason: fmt.Sprint(m.ID, " ", m.Class, " ", m.TimeLeft, " ", m.Destination, " ",
			m.Resubmitted, " ", m.Body.Len())}
	}))
	for _, c := range []struct{ name, send, want string }{
		{"ping", resp("PING"), "+PONG"},
		{"lower case", resp("ping"), "+PONG"},
		{"enqueue", resp("ENQUEUE", "k", "id1", "c=note,d=1500,dest=3,again=1,odd=9", "a\r\nb"), "-ERR id1 note 1.5s 3 true 4"},
		{"empty body", resp("ENQUEUE", "k", "id1", "c=note,d=1500,dest=3", ""), "-ERR id1 note 1.5s 3 false 0"},
		{"largest body", resp("ENQUEUE", "k", "id1", "c=note,d=1,dest=3", strings.Repeat("x", maxBody)), "-ERR id1 note 1ms 3 false 65536"},
		{"body too long", resp("ENQUEUE", "k", "id1", "c=note,d=1,dest=3", strings.Repeat("x", maxBody+1)), "-ERR body"},
		{"unknown command", resp("GET", "x"), "-ERR unknown"},
		{"too few arguments", resp("ENQUEUE", "k", "id1"), "-ERR ENQUEUE takes"},
		{"no name and value", resp("ENQUEUE", "k", "id1", "c", ""), "-ERR bad list"},
		{"no class", resp("ENQUEUE", "k", "id1", "d=5,dest=1", ""), "-ERR no class"},
		{"bad time", resp("ENQUEUE", "k", "id1", "c=n,d=NaN,dest=1", ""), "-ERR bad time"},
		{"bad destination", resp("ENQUEUE", "k", "id1", "c=n,d=5,dest=-1", ""), "-ERR bad destination"},
		{"id breaks a header", resp("ENQUEUE", "k", "a\r\nX: y", "c=n,d=5,dest=1", ""), "-ERR bad id"},
		{"no array", "PING\r\n", "-ERR expected"},
		{"empty array", "*0\r\n", "-ERR empty"},
		{"negative array", "*-1\r\n", "-ERR bad length"},
		{"huge array", "*9223372036854775807\r\n", "-ERR bad length"},
		{"huge bulk", "*1\r\n$9223372036854775807\r\n", "-ERR bad length"},
		{"bulk without end", "*1\r\n$4\r\nPINGxx", "-ERR bulk string"},
		{"bulks too long together", "*2\r\n$70000\r\n" + strings.Repeat("x", 70000) + "\r\n$70000\r\n", "-ERR bad length"},
		{"bulk of 60 MB, partly sent", "*5\r\n$60000000\r\n" + strings.Repeat("x", 200000), "-ERR bad length"}, // the error must arrive before a reset
		{"endless line", "*" + strings.Repeat("1", 5000), "-ERR line too long"},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, r := dial(t, address)
			if _, err := conn.Write([]byte(c.send)); err != nil {
				t.Fatal(err)
			}
			if got := line(t, r); !strings.HasPrefix(got, c.want) {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
	conn, r := dial(t, address)
	fmt.Fprint(conn, resp("PING")+resp("PING")) // two in one write
	if a, b := line(t, r), line(t, r); a != "+PONG" || b != "+PONG" {
		t.Errorf("after the malformed requests: %q, %q", a, b)
	}
}

// TestClientsCloseBetweenRequests checks that a request that is being processed when the
// server closes gets its response, and that an idle connection is closed.
func TestClientsCloseBetweenRequests(t *testing.T) {
	accepted, finish := make(chan bool), make(chan bool)
	server, address := startServer(t, 100, acceptorFunc(func(*message.Message) engine.Answer {
		accepted <- true
		<-finish
		return engine.Answer{}
	}))
	_, idle := dial(t, address)
	conn, busy := dial(t, address)
	fmt.Fprint(conn, resp("ENQUEUE", "k", "id1", "c=note,d=1500,dest=3", "x"))
	<-accepted
	server.Close()
	close(finish)
	if got := line(t, busy); got != "+OK" {
		t.Errorf("the pending request got %q", got)
	}
	for name, r := range map[string]*bufio.Reader{"idle": idle, "busy": busy} {
		if _, err := r.ReadByte(); err == nil {
			t.Errorf("the %s connection stays open", name)
		}
	}
}

// readUntilClosed reads until the server closes the connection, and returns what was read.
func readUntilClosed(t *testing.T, r *bufio.Reader) string {
	t.Helper()
	text, err := io.ReadAll(r)
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("still open after %q", text)
	}
	return string(text)
}

// TestSilentClientsAreClosed checks that a connection without a request, or with a part of one, is closed after
// requestTimeout, and that one on which a request was answered stays open.
func TestSilentClientsAreClosed(t *testing.T) {
	_, address := startServer(t, 100, nil)
	user, replies := dial(t, address)
	fmt.Fprint(user, resp("PING"))
	line(t, replies)
	began := time.Now()
	readers := map[string]*bufio.Reader{}
	for _, part := range []string{"", "*", "*5\r\n$7\r\nENQ", "*1\r\n$60000\r\nxx"} {
		conn, r := dial(t, address)
		fmt.Fprint(conn, part)
		readers[part] = r
	}
	for part, r := range readers {
		if got := readUntilClosed(t, r); got != "" || time.Since(began) < requestTimeout/2 {
			t.Errorf("after %q: %q in %v", part, got, time.Since(began))
		}
	}
	fmt.Fprint(user, resp("PING"))
	if got := line(t, replies); got != "+PONG" {
		t.Errorf("got %q", got)
	}
}

// TestEvictionOfSilentClients checks that, when all connections are taken, those without a request
// are evicted for the next clients, the longest idle first, and that one with a pending request stays.
func TestEvictionOfSilentClients(t *testing.T) {
	finish := make(chan bool)
	_, address := startServer(t, 3, acceptorFunc(func(*message.Message) engine.Answer {
		<-finish
		return engine.Answer{}
	}))
	busy, answer := dial(t, address)
	fmt.Fprint(busy, resp("ENQUEUE", "k", "id1", "c=note,d=1500,dest=3", "x"))
	var readers []*bufio.Reader
	for range 20 { // more than the server admits, all of them silent
		_, r := dial(t, address)
		readers = append(readers, r)
	}
	user, r := dial(t, address)
	fmt.Fprint(user, resp("PING"))
	if got := line(t, r); got != "+PONG" {
		t.Errorf("got %q", got)
	}
	for _, r := range readers[:18] {
		readUntilClosed(t, r)
	}
	close(finish)
	if got := line(t, answer); got != "+OK" {
		t.Errorf("the pending request got %q", got)
	}
}

// TestEvictionOfLongestIdle checks that of the used connections the one idle longest is evicted, and not before minIdleTime.
func TestEvictionOfLongestIdle(t *testing.T) {
	server := New(nil, 2, nil)
	now := time.Now()
	a, b := &evictionConn{}, &evictionConn{}
	server.conns[a] = &connState{idle: true, used: true, since: now.Add(-minIdleTime)}
	server.conns[b] = &connState{idle: true, used: true, since: now.Add(-minIdleTime - 1)}
	server.evict(now.Add(-2), 0)
	if a.evicted || b.evicted {
		t.Error("evicted before minIdleTime")
	}
	server.evict(now, 0)
	if a.evicted || !b.evicted {
		t.Errorf("evicted: %v, %v", a.evicted, b.evicted)
	}
	server.evict(now, 0)
	if !a.evicted {
		t.Error("the next one is not evicted")
	}
}

// TestNewConnectionIsNotEvictedEarly checks that, however long a client waits for a connection, a new one is not evicted before its request can have
// arrived, and that one whose request is being processed is not evicted at all.
func TestNewConnectionIsNotEvictedEarly(t *testing.T) {
	server := New(nil, 3, nil)
	now := time.Now()
	young, busy, used := &evictionConn{}, &evictionConn{}, &evictionConn{}
	server.conns[young] = &connState{idle: true, since: now.Add(1 - minNewTime)}
	server.conns[busy] = &connState{used: true, since: now.Add(-time.Minute)}
	for range 3 {
		server.evict(now, time.Minute)
	}
	if young.evicted || busy.evicted {
		t.Errorf("evicted: new %v, busy %v", young.evicted, busy.evicted)
	}
	server.conns[used] = &connState{idle: true, used: true, since: now.Add(-activeTime)}
	if server.evict(now, evictIdleAfter); !used.evicted || young.evicted {
		t.Errorf("evicted: used %v, new %v", used.evicted, young.evicted)
	}
}

// TestActiveConnectionIsEvictedLast checks that a connection whose client is being served is evicted only after a longer wait, and only if there is no other:
// neither one that rests, nor one that has been in the middle of a request for long.
func TestActiveConnectionIsEvictedLast(t *testing.T) {
	now := time.Now()
	newServer := func() (server *Server, active *evictionConn) {
		server, active = New(nil, 3, nil), &evictionConn{}
		server.conns[active] = &connState{idle: true, used: true, since: now.Add(1 - activeTime)}
		return server, active
	}
	server, active := newServer()
	if server.evict(now, evictActiveAfter-1); active.evicted {
		t.Error("evicted before evictActiveAfter")
	}
	if server.evict(now, evictActiveAfter); !active.evicted {
		t.Error("not evicted after evictActiveAfter")
	}
	second := &evictionConn{}
	delete(server.conns, active)
	server.conns[second] = &connState{idle: true, used: true, since: now}
	if server.evict(now, 0); !second.evicted {
		t.Error("the next one is not evicted at once")
	}
	server, active = newServer()
	young := &evictionConn{}
	server.conns[young] = &connState{reading: true, since: now}
	if server.evict(now, time.Minute); active.evicted || young.evicted {
		t.Errorf("while a request comes of age: evicted active %v, other %v", active.evicted, young.evicted)
	}
	for name, state := range map[string]*connState{
		"resting":         {idle: true, used: true, since: now.Add(-activeTime)},
		"within requests": {reading: true, since: now.Add(-minPartialTime)},
	} {
		server, active := newServer()
		other := &evictionConn{}
		server.conns[other] = state
		if server.evict(now, time.Minute); active.evicted || !other.evicted {
			t.Errorf("%s: evicted active %v, other %v", name, active.evicted, other.evicted)
		}
	}
}

// evictionConn is a connection that records whether it was evicted.
type evictionConn struct {
	net.Conn
	evicted bool
}

func (c *evictionConn) SetReadDeadline(time.Time) error { c.evicted = true; return nil }

// TestAnswers checks the reply for each kind of answer, and that a written reply is confirmed where the answer requires it.
func TestAnswers(t *testing.T) {
	written := make(chan bool, 1)
	answers := map[string]engine.Answer{
		"+OK":         {Kind: engine.Accepted, ConfirmWritten: func(ok bool) { written <- ok }},
		"-BUSY":       {Kind: engine.Refused},
		"-BUSY 1500":  {Kind: engine.Refused, RetryAfter: 1500 * time.Millisecond},
		"-ERR failed": {Kind: engine.Rejected, Reason: "failed"},
	}
	_, address := startServer(t, 10, acceptorFunc(func(m *message.Message) engine.Answer { return answers[m.Class] }))
	conn, r := dial(t, address)
	for want := range answers { // over a connection, and below without one
		if strings.Contains(want, " ") {
			continue // a class is one word
		}
		fmt.Fprint(conn, resp("ENQUEUE", "k", "id1", "c="+want+",d=1500,dest=3", "x"))
		if got := line(t, r); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	if !<-written {
		t.Error("+OK was written, and reported as not written")
	}
	server := &Server{acceptor: acceptorFunc(func(m *message.Message) engine.Answer { return answers[m.Class] })}
	for want := range answers {
		if got, _ := server.enqueue(&message.Message{Class: want}); got != want+"\r\n" {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}
