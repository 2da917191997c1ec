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

// TestRoomFromHalfRequests: clients that stop behind any byte of their request take all connections. Others come, and stay: they are served while there are
// still some in the middle of a request, and those that are not closed for it go on, and get their answer.
func TestRoomFromHalfRequests(t *testing.T) {
	const most, left = 6, 2
	finish := make(chan bool)
	_, address := startClients(t, most, taker(func(m *message.Message) engine.Answer {
		if m.ID == "stays" {
			<-finish
		}
		return engine.Answer{}
	}))
	defer close(finish)
	request := resp("ENQUEUE", "k", "id1", "c=note,d=1500,dest=3", "some body")
	type half struct {
		conn net.Conn
		r    *bufio.Reader
		sent int
	}
	var halves []half
	for i := range most {
		conn, r := dial(t, address)
		sent := 1 + i*(len(request)-2)/(most-1) // from the first byte to the last but one
		fmt.Fprint(conn, request[:sent])
		halves = append(halves, half{conn, r, sent})
	}
	for range most - left {
		conn, r := dial(t, address)
		fmt.Fprint(conn, request)
		if got := line(t, r); got != "+OK" {
			t.Fatalf("got %q", got)
		}
		fmt.Fprint(conn, resp("ENQUEUE", "k", "stays", "c=note,d=1500,dest=3", "x"))
	}
	served := 0
	for _, h := range halves {
		fmt.Fprint(h.conn, request[h.sent:])
		if text, err := h.r.ReadString('\n'); err == nil && text == "+OK\r\n" {
			served++
		}
	}
	if served != left {
		t.Errorf("%d that had stopped in the middle could go on, %d wanted", served, left)
	}
}

// TestRoomFromBusyClients: all connections are in use, each idle for moments only. Who comes is let in all the same; a client whose connection is closed
// between two requests sends the next one on a new one, and none is closed on with a request that was read.
func TestRoomFromBusyClients(t *testing.T) {
	const most, more = 8, 8
	var mu sync.Mutex
	taken, answered := map[string]int{}, map[string]int{}
	_, address := startClients(t, most, taker(func(m *message.Message) engine.Answer {
		mu.Lock()
		taken[m.ID]++
		mu.Unlock()
		return engine.Answer{}
	}))
	stop := make(chan bool)
	var clients sync.WaitGroup
	for i := range most {
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
				time.Sleep(time.Millisecond) // it is idle for moments
			}
		})
	}
	for range more {
		conn, r := dial(t, address)
		conn.SetDeadline(time.Now().Add(10 * time.Second))
		fmt.Fprint(conn, resp("PING"))
		if text, err := r.ReadString('\n'); err != nil || !strings.HasPrefix(text, "+PONG") {
			t.Errorf("one more client: %q, %v", text, err)
			break
		}
		conn.Close()
	}
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	for id, n := range taken {
		if n != 1 || answered[id] != 1 {
			t.Errorf("%s was taken on %d times and answered %d times", id, n, answered[id])
		}
	}
}

// TestQueuedAtTheEnd: connections that the kernel has queued when listening ends, with their requests written, are answered; those that come after
// are refused.
func TestQueuedAtTheEnd(t *testing.T) {
	for _, most := range []int{1, 3} { // all in use at that moment
		t.Run(fmt.Sprint("room for ", most), func(t *testing.T) {
			begun, finish := make(chan bool, 100), make(chan bool)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			c := New(ln, most, taker(func(*message.Message) engine.Answer {
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
			go func() { served <- c.Serve(t.Context()) }()
			for range most {
				connect()
				<-begun
			}
			for range 5 { // the accepting goroutine has one of them in hand, waiting for room
				connect()
			}
			c.StopAccepting()
			close(finish)
			for i, r := range readers {
				if text, err := r.ReadString('\n'); err != nil || text != "+OK\r\n" {
					t.Errorf("connection %d: %q, %v", i, text, err)
				}
			}
			if err := <-served; err != nil {
				t.Error(err)
			}
			c.accepting.Wait()
			for range 1000 { // the listener closes itself just after that
				if conn, err := net.Dial("tcp", ln.Addr().String()); err != nil {
					break
				} else {
					conn.Close()
					time.Sleep(time.Millisecond)
				}
			}
			if _, err := net.Dial("tcp", ln.Addr().String()); err == nil {
				t.Error("it still listens")
			}
			c.Close()
			c.wg.Wait()
		})
	}
}

// lastMoment is a listener to which a connection comes in the moment in which its time ends.
type lastMoment struct {
	net.Listener
	over  chan bool
	waits chan bool // it accepts
	conns []net.Conn
	calls int
}

func (l *lastMoment) SetDeadline(time.Time) error {
	select {
	case l.over <- true:
	default:
	}
	return nil
}

func (l *lastMoment) Accept() (conn net.Conn, err error) {
	if l.calls++; l.calls == 1 {
		close(l.waits)
		<-l.over
		return nil, os.ErrDeadlineExceeded
	}
	if len(l.conns) == 0 {
		return nil, os.ErrDeadlineExceeded
	}
	conn, l.conns = l.conns[0], l.conns[1:]
	return conn, nil
}

func (*lastMoment) Close() error { return nil }

// TestComesAsListeningEnds: a connection that comes as the accepting is woken for its end is served.
func TestComesAsListeningEnds(t *testing.T) {
	near, far := net.Pipe()
	ln := &lastMoment{over: make(chan bool, 1), waits: make(chan bool), conns: []net.Conn{far}}
	c := New(ln, 10, nil)
	<-ln.over
	served := make(chan error)
	go func() { served <- c.Serve(t.Context()) }()
	<-ln.waits
	c.StopAccepting()
	if err := <-served; err != nil {
		t.Fatal(err)
	}
	near.SetDeadline(time.Now().Add(10 * time.Second))
	go fmt.Fprint(near, resp("PING"))
	if text, err := bufio.NewReader(near).ReadString('\n'); err != nil || text != "+PONG\r\n" {
		t.Errorf("%q, %v", text, err)
	}
	near.Close()
	c.wg.Wait()
}
