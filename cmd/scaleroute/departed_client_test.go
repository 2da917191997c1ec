package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
)

// unreadRequests is how many requests a client sends before it leaves.
const unreadRequests = 200

// TestRequestsOfDepartedClientAreNotSent: requests that were not read when their client closed its connection are not sent, and run once where they come again.
func TestRequestsOfDepartedClientAreNotSent(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn) error{
		"close": (*net.TCPConn).Close,
		"reset": func(c *net.TCPConn) error {
			c.SetLinger(0)
			return c.Close()
		},
	} {
		for _, isUsed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, a request was answered before %t", name, isUsed), func(t *testing.T) {
				t.Parallel()
				w := newTestEnv(t, func(http.ResponseWriter, string) {})
				p := w.start()
				c := p.connect()
				if isUsed {
					c.mustEnqueue("before", "unsafe", 200000)
					w.awaitCall("before")
				}
				if err := p.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
					t.Fatal(err)
				}
				var requests bytes.Buffer
				for i := range unreadRequests {
					id, fields, body := departedID(i), "c=unsafe,d=200000,dest=7", "x"
					fmt.Fprintf(&requests, "*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n", len(id), id, len(fields), fields, len(body), body)
				}
				if _, err := c.conn.Write(requests.Bytes()); err != nil {
					t.Fatal(err)
				}
				if err := leave(c.conn.(*net.TCPConn)); err != nil {
					t.Fatal(err)
				}
				if err := p.cmd.Process.Signal(syscall.SIGCONT); err != nil {
					t.Fatal(err)
				}
				eventually(t, "the forwarder has closed the connection", func() bool {
					return countSockets(t, func(s tcpSocket) bool { return s.local == p.address && s.remote == c.conn.LocalAddr().String() }) == 0
				})
				other := p.connect()
				other.mustEnqueue("after", "unsafe", 200000)
				w.awaitCall("after")
				sent := 0
				for i := range unreadRequests {
					sent += w.callCount(departedID(i))
				}
				if sent > 0 {
					t.Errorf("%d of %d requests were sent after their client had left", sent, unreadRequests)
				}
				for i := range unreadRequests {
					other.mustEnqueue(departedID(i), "unsafe", 200000)
					w.awaitCall(departedID(i))
				}
				for i := range unreadRequests {
					if n := w.callCount(departedID(i)); n != 1 {
						t.Errorf("%s was sent %d times", departedID(i), n)
					}
				}
			})
		}
	}
}

func departedID(i int) string { return fmt.Sprintf("departed-%03d", i) }
