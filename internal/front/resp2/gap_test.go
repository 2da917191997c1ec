package resp2

import (
	"fmt"
	"net"
	"testing"
	"time"

	"scaleroute/internal/engine"
	"scaleroute/internal/message"
)

// TestSentWhileNobodyRead: a request that came while connections changed hands counts from when the one server stopped reading, whether its connection
// was handed over, with or without bytes that were read, or waits to be accepted; but from no longer ago than its client waits. The next one on its
// connection counts from when it is read, and so does any that comes later.
func TestSentWhileNobodyRead(t *testing.T) {
	now := time.Now()
	if late := (gap{now.Add(-time.Second), now.Add(-readSoon - 1)}).sent(now); late != now {
		t.Errorf("long after the gap: sent %v ago", now.Sub(late))
	}
	defer func(was time.Duration) { readSoon = was }(readSoon)
	readSoon = time.Minute // a loaded machine is not soon enough
	const span = 300 * time.Millisecond
	request := func(id string) string { return resp("ENQUEUE", "key", id, "c=note,d=1500,dest=3", "body") }
	for _, c := range []struct {
		name     string
		stopped  time.Duration // ago
		from, to time.Duration // how old the first request is
	}{
		{"no time told", 0, 0, span / 2},
		{"a gap", span, span, span * 3 / 2},
		{"longer than a client waits", time.Hour, clientWaits, clientWaits * 3 / 2},
		{"a clock that was set", -time.Hour, 0, span / 2},
	} {
		for _, how := range []string{"read", "half read", "not read", "not accepted"} {
			t.Run(c.name+", "+how, func(t *testing.T) {
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer ln.Close()
				ages := make(chan time.Duration, 2)
				server := New(ln, 10, taker(func(m *message.Message) engine.Answer {
					ages <- time.Since(m.ReadAt)
					return engine.Answer{}
				}))
				conn, r := dial(t, ln.Addr().String())
				var list []DetachedConn
				text, read := request("a"), 0
				if how != "not accepted" {
					far, err := ln.Accept()
					if err != nil {
						t.Fatal(err)
					}
					read = map[string]int{"read": len(text), "half read": 10, "not read": 0}[how]
					list = []DetachedConn{{Conn: far, Unread: []byte(text[:read])}}
				}
				fmt.Fprint(conn, text[read:])
				var stopped time.Time
				if c.stopped != 0 {
					stopped = time.Now().Add(-c.stopped)
				}
				server.Adopt(list, stopped)
				go server.Serve(t.Context())
				if age := <-ages; age < c.from || age > c.to {
					t.Errorf("the first is %v old", age)
				}
				line(t, r)
				fmt.Fprint(conn, request("b"))
				if age := <-ages; age > span/2 {
					t.Errorf("the second is %v old", age)
				}
				line(t, r)
				server.Close()
			})
		}
	}
}
