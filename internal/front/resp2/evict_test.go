package resp2

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"scaleroute/internal/engine"
	"scaleroute/internal/message"
)

// TestEvictionOfPartialRequests has clients that stop after any byte of their request occupy all connections. Further clients connect and stay: they are
// served while there are connections in the middle of a request, and those of them that are not evicted can still finish their request.
func TestEvictionOfPartialRequests(t *testing.T) {
	const maxConns, left = 6, 2
	finish := make(chan bool)
	_, address := startServer(t, maxConns, acceptorFunc(func(m *message.Message) engine.Answer {
		if m.ID == "stays" {
			<-finish
		}
		return engine.Answer{}
	}))
	defer close(finish)
	request := resp("ENQUEUE", "k", "id1", "c=note,d=1500,dest=3", "some body")
	type partial struct {
		conn net.Conn
		r    *bufio.Reader
		sent int
	}
	var partials []partial
	for i := range maxConns {
		conn, r := dial(t, address)
		sent := 1 + i*(len(request)-2)/(maxConns-1) // from the first byte to the last but one
		fmt.Fprint(conn, request[:sent])
		partials = append(partials, partial{conn, r, sent})
	}
	for range maxConns - left {
		conn, r := dial(t, address)
		fmt.Fprint(conn, request)
		if got := line(t, r); got != "+OK" {
			t.Fatalf("got %q", got)
		}
		fmt.Fprint(conn, resp("ENQUEUE", "k", "stays", "c=note,d=1500,dest=3", "x"))
	}
	served := 0
	for _, p := range partials {
		fmt.Fprint(p.conn, request[p.sent:])
		if text, err := p.r.ReadString('\n'); err == nil && text == "+OK\r\n" {
			served++
		}
	}
	if served != left {
		t.Errorf("%d clients could finish their partial request, want %d", served, left)
	}
}

// TestEvictionOfBusyClients checks that a new client is admitted even if all connections are in use and idle for moments only. A client whose connection is
// closed between two requests sends the next one on a new connection, and none is closed after a request was read from it.
func TestEvictionOfBusyClients(t *testing.T) {
	const maxConns, more = 8, 8
	var mu sync.Mutex
	accepted, answered := map[string]int{}, map[string]int{}
	_, address := startServer(t, maxConns, acceptorFunc(func(m *message.Message) engine.Answer {
		mu.Lock()
		accepted[m.ID]++
		mu.Unlock()
		return engine.Answer{}
	}))
	stop := make(chan bool)
	var clients sync.WaitGroup
	for i := range maxConns {
		clients.Go(func() {
			var conn net.Conn
			var r *bufio.Reader
			for n := 0; ; n++ {
				select {
				case <-stop:
					if conn != nil {
						conn.Close()
					}
					return
				default:
				}
				id := fmt.Sprintf("c%d-%d", i, n)
				for ok := false; !ok; {
					if conn == nil {
						var err error
						if conn, err = net.Dial("tcp", address); err != nil {
							t.Error(err)
							return
						}
						r = bufio.NewReader(conn)
					}
					fmt.Fprint(conn, resp("ENQUEUE", "k", id, "c=note,d=1500,dest=3", "x"))
					conn.SetReadDeadline(time.Now().Add(20 * time.Second))
					text, err := r.ReadString('\n')
					if ok = err == nil && text == "+OK\r\n"; !ok {
						conn.Close()
						conn = nil
					} else {
						mu.Lock()
						answered[id]++
						mu.Unlock()
					}
				}
				time.Sleep(time.Millisecond) // the connection is idle for a moment
			}
		})
	}
	for range more {
		conn, r := dial(t, address)
		conn.SetDeadline(time.Now().Add(10 * time.Second))
		fmt.Fprint(conn, resp("PING"))
		if text, err := r.ReadString('\n'); err != nil || !strings.HasPrefix(text, "+PONG") {
			t.Errorf("a further client: %q, %v", text, err)
			break
		}
		conn.Close()
	}
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	for id, n := range accepted {
		if n != 1 || answered[id] != 1 {
			t.Errorf("%s was accepted %d times and answered %d times", id, n, answered[id])
		}
	}
}

// TestStopAcceptingServesBacklog checks that connections that the kernel has queued when listening ends, with their requests written, are answered, and that
// later ones are refused.
func TestStopAcceptingServesBacklog(t *testing.T) {
	for _, maxConns := range []int{1, 3} { // of which all are in use at that moment
		t.Run(fmt.Sprint("connections: ", maxConns), func(t *testing.T) {
			begun, finish := make(chan bool, 100), make(chan bool)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			server := New(ln, maxConns, acceptorFunc(func(*message.Message) engine.Answer {
				begun <- true
				<-finish
				return engine.Answer{}
			}))
			served := make(chan error, 1)
			request := resp("ENQUEUE", "k", "id1", "c=note,d=1500,dest=3", "x")
			var readers []*bufio.Reader
			connect := func() {
				conn, r := dial(t, ln.Addr().String())
				fmt.Fprint(conn, request)
				readers = append(readers, r)
			}
			go func() { served <- server.Serve(t.Context()) }()
			for range maxConns {
				connect()
				<-begun
			}
			for range 5 { // the accepting goroutine holds one of them, waiting for capacity
				connect()
			}
			server.StopAccepting()
			close(finish)
			for i, r := range readers {
				if text, err := r.ReadString('\n'); err != nil || text != "+OK\r\n" {
					t.Errorf("connection %d: %q, %v", i, text, err)
				}
			}
			if err := <-served; err != nil {
				t.Error(err)
			}
			server.accepting.Wait()
			for range 1000 { // the listener is closed just after that
				if conn, err := net.Dial("tcp", ln.Addr().String()); err != nil {
					break
				} else {
					conn.Close()
					time.Sleep(time.Millisecond)
				}
			}
			if _, err := net.Dial("tcp", ln.Addr().String()); err == nil {
				t.Error("the server still listens")
			}
			server.Close()
			server.wg.Wait()
		})
	}
}

// deadlineListener is a listener that gets a connection at the moment at which its deadline expires.
type deadlineListener struct {
	net.Listener
	deadlineSet chan bool
	accepting   chan bool // closed once Accept is called
	conns       []net.Conn
	calls       int
}

func (l *deadlineListener) SetDeadline(time.Time) error {
	select {
	case l.deadlineSet <- true:
	default:
	}
	return nil
}

func (l *deadlineListener) Accept() (conn net.Conn, err error) {
	if l.calls++; l.calls == 1 {
		close(l.accepting)
		<-l.deadlineSet
		return nil, os.ErrDeadlineExceeded
	}
	if len(l.conns) == 0 {
		return nil, os.ErrDeadlineExceeded
	}
	conn, l.conns = l.conns[0], l.conns[1:]
	return conn, nil
}

func (*deadlineListener) Close() error { return nil }

// TestConnectionDuringStopAccepting checks that a connection is served that arrives just when StopAccepting interrupts Accept.
func TestConnectionDuringStopAccepting(t *testing.T) {
	near, far := net.Pipe()
	ln := &deadlineListener{deadlineSet: make(chan bool, 1), accepting: make(chan bool), conns: []net.Conn{far}}
	server := New(ln, 10, nil)
	<-ln.deadlineSet
	served := make(chan error)
	go func() { served <- server.Serve(t.Context()) }()
	<-ln.accepting
	server.StopAccepting()
	if err := <-served; err != nil {
		t.Fatal(err)
	}
	near.SetDeadline(time.Now().Add(10 * time.Second))
	go fmt.Fprint(near, resp("PING"))
	if text, err := bufio.NewReader(near).ReadString('\n'); err != nil || text != "+PONG\r\n" {
		t.Errorf("%q, %v", text, err)
	}
	near.Close()
	server.wg.Wait()
}

// TestConnectionCount: each change of the number of connections is reported, in order, with those that have ended.
func TestConnectionCount(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := New(ln, 8, acceptorFunc(func(*message.Message) engine.Answer { return engine.Answer{} }))
	counts := make(chan int, 16)
	server.OnConnections = func(count int) { counts <- count }
	served := make(chan error, 1)
	go func() { served <- server.Serve(t.Context()) }()
	var open []net.Conn
	for _, want := range []int{1, 2, 3, 2, 1, 0} {
		if want > len(open) {
			conn, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			open = append(open, conn)
		} else {
			open[len(open)-1].Close()
			open = open[:len(open)-1]
		}
		if got := <-counts; got != want {
			t.Errorf("%d connections reported, want %d", got, want)
		}
	}
	server.Close()
	if err := <-served; err != nil {
		t.Error(err)
	}
}
