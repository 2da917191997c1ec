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

// taker is a Taker made of a function.
type taker func(*message.Message) engine.Answer

func (f taker) Accept(m *message.Message) engine.Answer { return f(m) }

// startClients serves an intake on a loopback port.
func startClients(t *testing.T, most int, take Acceptor) (*Server, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := New(ln, most, take)
	served := make(chan error, 1)
	go func() { served <- c.Serve(t.Context()) }()
	t.Cleanup(func() {
		c.Close()
		if err := <-served; err != nil {
			t.Error(err)
		}
		c.wg.Wait()
	})
	return c, ln.Addr().String()
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

func resp(args ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, a := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(a), a)
	}
	return b.String()
}

func line(t *testing.T, r *bufio.Reader) string {
	t.Helper()
	s, err := r.ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return strings.TrimSpace(s)
}

// TestClientRequests sends what clients may and may not send. Whatever comes,
// the next connection is served: a bad request must not end the process.
func TestClientRequests(t *testing.T) {
	_, address := startClients(t, 100, taker(func(m *message.Message) engine.Answer {
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
		{"too few", resp("ENQUEUE", "k", "id1"), "-ERR ENQUEUE takes"},
		{"no pair", resp("ENQUEUE", "k", "id1", "c", ""), "-ERR bad list"},
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
		{"60 MB, and they come", "*5\r\n$60000000\r\n" + strings.Repeat("x", 200000), "-ERR bad length"}, // no reset may outrun the error
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
		t.Errorf("after all that: %q, %q", a, b)
	}
}

// TestClientsCloseBetweenRequests: a request that is being answered when the
// server closes gets its answer; an idle connection ends.
func TestClientsCloseBetweenRequests(t *testing.T) {
	taken, finish := make(chan bool), make(chan bool)
	c, address := startClients(t, 100, taker(func(*message.Message) engine.Answer {
		taken <- true
		<-finish
		return engine.Answer{}
	}))
	_, idle := dial(t, address)
	conn, busy := dial(t, address)
	fmt.Fprint(conn, resp("ENQUEUE", "k", "id1", "c=note,d=1500,dest=3", "x"))
	<-taken
	c.Close()
	close(finish)
	if got := line(t, busy); got != "+OK" {
		t.Errorf("the request in hand got %q", got)
	}
	for name, r := range map[string]*bufio.Reader{"idle": idle, "busy": busy} {
		if _, err := r.ReadByte(); err == nil {
			t.Errorf("the %s connection stays open", name)
		}
	}
}

// ends waits until the other side closes, and returns what came before.
func ends(t *testing.T, r *bufio.Reader) string {
	t.Helper()
	text, err := io.ReadAll(r)
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("still open after %q", text)
	}
	return string(text)
}

// TestSilentClients: whoever says nothing, or half of something, is closed on in
// its time; who has asked once may stay.
func TestSilentClients(t *testing.T) {
	_, address := startClients(t, 100, nil)
	user, asked := dial(t, address)
	fmt.Fprint(user, resp("PING"))
	line(t, asked)
	began := time.Now()
	readers := map[string]*bufio.Reader{}
	for _, half := range []string{"", "*", "*5\r\n$7\r\nENQ", "*1\r\n$60000\r\nxx"} {
		conn, r := dial(t, address)
		fmt.Fprint(conn, half)
		readers[half] = r
	}
	for half, r := range readers {
		if got := ends(t, r); got != "" || time.Since(began) < requestTime/2 {
			t.Errorf("after %q: %q in %v", half, got, time.Since(began))
		}
	}
	fmt.Fprint(user, resp("PING"))
	if got := line(t, asked); got != "+PONG" {
		t.Errorf("got %q", got)
	}
}

// TestRoomForClients: when all connections are taken, those without a request
// make room for the next, the longest idle first, and one with a request stays.
func TestRoomForClients(t *testing.T) {
	finish := make(chan bool)
	_, address := startClients(t, 3, taker(func(*message.Message) engine.Answer {
		<-finish
		return engine.Answer{}
	}))
	busy, answer := dial(t, address)
	fmt.Fprint(busy, resp("ENQUEUE", "k", "id1", "c=note,d=1500,dest=3", "x"))
	var readers []*bufio.Reader
	for range 20 { // more than there is room for, none of which says a word
		_, r := dial(t, address)
		readers = append(readers, r)
	}
	user, r := dial(t, address)
	fmt.Fprint(user, resp("PING"))
	if got := line(t, r); got != "+PONG" {
		t.Errorf("got %q", got)
	}
	for _, r := range readers[:18] {
		ends(t, r)
	}
	close(finish)
	if got := line(t, answer); got != "+OK" {
		t.Errorf("the request in hand got %q", got)
	}
}

// TestIdleMakesRoom: of connections that have been used the one idle longest goes, and not before its time.
func TestIdleMakesRoom(t *testing.T) {
	c := New(nil, 2, nil)
	now := time.Now()
	a, b := &closed{}, &closed{}
	c.conns[a] = &clientState{idle: true, used: true, since: now.Add(-keepIdle)}
	c.conns[b] = &clientState{idle: true, used: true, since: now.Add(-keepIdle - 1)}
	c.makeRoom(now.Add(-2), 0)
	if a.shed || b.shed {
		t.Error("closed before its time")
	}
	c.makeRoom(now, 0)
	if a.shed || !b.shed {
		t.Errorf("shed: %v, %v", a.shed, b.shed)
	}
	c.makeRoom(now, 0)
	if !a.shed {
		t.Error("the next one stays")
	}
}

// TestNewKeepsItsTime: however long somebody waits for room, a connection that has just come is not closed before it can have sent its request, and one whose
// request is being answered not at all.
func TestNewKeepsItsTime(t *testing.T) {
	c := New(nil, 3, nil)
	now := time.Now()
	young, busy, used := &closed{}, &closed{}, &closed{}
	c.conns[young] = &clientState{idle: true, since: now.Add(1 - keepNew)}
	c.conns[busy] = &clientState{used: true, since: now.Add(-time.Minute)}
	for range 3 {
		c.makeRoom(now, time.Minute)
	}
	if young.shed || busy.shed {
		t.Errorf("closed: new %v, in hand %v", young.shed, busy.shed)
	}
	c.conns[used] = &clientState{idle: true, used: true, since: now}
	if c.makeRoom(now, roomIdle); !used.shed || young.shed {
		t.Errorf("closed: used %v, new %v", used.shed, young.shed)
	}
}

// closed is a connection that notes when it is told to end.
type closed struct {
	net.Conn
	shed bool
}

func (c *closed) SetReadDeadline(time.Time) error { c.shed = true; return nil }

// TestAnswers: each kind of answer in its words, and an acknowledgement only where one is awaited.
func TestAnswers(t *testing.T) {
	written := make(chan bool, 1)
	answers := map[string]engine.Answer{
		"+OK":         {Kind: engine.Accepted, ConfirmWritten: func(ok bool) { written <- ok }},
		"-BUSY":       {Kind: engine.Refused},
		"-BUSY 1500":  {Kind: engine.Refused, RetryAfter: 1500 * time.Millisecond},
		"-ERR failed": {Kind: engine.Rejected, Reason: "failed"},
	}
	_, address := startClients(t, 10, taker(func(m *message.Message) engine.Answer { return answers[m.Class] }))
	conn, r := dial(t, address)
	for want := range answers { // over a connection, and by the words alone
		if strings.Contains(want, " ") {
			continue // a class is one word
		}
		fmt.Fprint(conn, resp("ENQUEUE", "k", "id1", "c="+want+",d=1500,dest=3", "x"))
		if got := line(t, r); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	if !<-written {
		t.Error("+OK was written, and told as not")
	}
	s := &Server{take: taker(func(m *message.Message) engine.Answer { return answers[m.Class] })}
	for want := range answers {
		if got, _ := s.enqueue(&message.Message{Class: want}); got != want+"\r\n" {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}
