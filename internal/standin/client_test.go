package standin

import (
	"io"
	"net"
	"testing"
	"time"
)

// TestEndsOfConnections: what a client makes of a connection that ends without an answer depends on whether its forwarder was away at any moment of
// the request, also where the relay before it took the connection on while it was, and it is back by the time that the end is seen.
func TestEndsOfConnections(t *testing.T) {
	for _, c := range []struct {
		name          string
		before, after func(m *Member)
		want          Answer
	}{
		{"serves", func(*Member) {}, func(*Member) {}, Dropped},
		{"was away long ago", func(m *Member) { m.SetAway(true); m.SetAway(false) }, func(*Member) {}, Dropped},
		{"ends and is back", func(*Member) {}, func(m *Member) { m.SetAway(true); m.SetAway(false) }, None},
		{"ends", func(*Member) {}, func(m *Member) { m.SetAway(true) }, None},
		{"was away, and is back", func(m *Member) { m.SetAway(true) }, func(m *Member) { m.SetAway(false) }, None},
	} {
		t.Run(c.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			m := &Member{Log: &Log{}}
			c.before(m)
			go func() {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				io.ReadFull(conn, make([]byte, 60)) // most of the request
				c.after(m)
				conn.Close()
			}()
			clients := &Clients{member: m}
			clients.At(ln.Addr().String())
			one := &client{clients: clients}
			if got, _ := one.ask(Job{Class: "c", Left: time.Second}, &Handed{ID: "id"}, time.Second, 0); got != c.want {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}
