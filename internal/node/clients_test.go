package node

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// startClients serves an intake on a loopback port.
func startClients(t *testing.T, take intake) (*clients, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := newClients(ln, 100, take)
	served := make(chan error, 1)
	go func() { served <- c.serve(t.Context()) }()
	t.Cleanup(func() {
		c.close()
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
	_, address := startClients(t, func(r *request) (string, func(bool)) {
		return fmt.Sprintf("+%s %s %v %d %v %d\r\n", r.id, r.class, r.left, r.dest, r.again, len(r.body)), func(bool) {}
	})
	for _, c := range []struct{ name, send, want string }{
		{"ping", resp("PING"), "+PONG"},
		{"lower case", resp("ping"), "+PONG"},
		{"enqueue", resp("ENQUEUE", "k", "id1", "c=note,d=1500,dest=3,again=1,odd=9", "a\r\nb"), "+id1 note 1.5s 3 true 4"},
		{"empty body", resp("ENQUEUE", "k", "id1", "c=note,d=1500,dest=3", ""), "+id1 note 1.5s 3 false 0"},
		{"largest body", resp("ENQUEUE", "k", "id1", "c=note,d=1,dest=3", strings.Repeat("x", maxBody)), "+id1 note 1ms 3 false 65536"},
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
	c, address := startClients(t, func(*request) (string, func(bool)) {
		taken <- true
		<-finish
		return answerOK, nil
	})
	_, idle := dial(t, address)
	conn, busy := dial(t, address)
	fmt.Fprint(conn, resp("ENQUEUE", "k", "id1", "c=note,d=1500,dest=3", "x"))
	<-taken
	c.close()
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
