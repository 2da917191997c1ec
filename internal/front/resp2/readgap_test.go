package resp2

import (
	"fmt"
	"net"
	"testing"
	"time"

	"scaleroute/internal/engine"
	"scaleroute/internal/message"
)

// TestRequestSentDuringReadGap checks the time from which a request counts that was sent during a handover: from when the old server stopped reading, but
// from no longer ago than its client waits. Its connection was handed over, with or without bytes that were read, or waits to be accepted. The next
// request on its connection, and any that arrives later, counts from when it is read.
func TestRequestSentDuringReadGap(t *testing.T) {
	now := time.Now()
	if late := (readGap{now.Add(-time.Second), now.Add(-gapReadWindow - 1)}).sentAt(now); late != now {
		t.Errorf("long after the gap: sent %v ago", now.Sub(late))
	}
	defer func(previous time.Duration) { gapReadWindow = previous }(gapReadWindow)
	gapReadWindow = time.Minute // a loaded machine may be slower than the usual window
	const span = 300 * time.Millisecond
	request := func(id string) string { return resp("ENQUEUE", "key", id, "c=note,d=1500,dest=3", "body") }
	for _, c := range []struct {
		name     string
		stopped  time.Duration // how long ago; 0: unknown
		from, to time.Duration // the age of the first request
	}{
		{"unknown time", 0, 0, span / 2},
		{"short gap", span, span, span * 3 / 2},
		{"gap longer than a client waits", time.Hour, maxClientWait, maxClientWait * 3 / 2},
		{"clock set back", -time.Hour, 0, span / 2},
	} {
		for _, state := range []string{"read", "half read", "not read", "not accepted"} {
			t.Run(c.name+", "+state, func(t *testing.T) {
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer ln.Close()
				ages := make(chan time.Duration, 2)
				server := New(ln, 10, acceptorFunc(func(m *message.Message) engine.Answer {
					ages <- time.Since(m.ReadAt)
					return engine.Answer{}
				}))
				conn, r := dial(t, ln.Addr().String())
				var list []DetachedConn
				text, read := request("a"), 0
				if state != "not accepted" {
					far, err := ln.Accept()
					if err != nil {
						t.Fatal(err)
					}
					read = map[string]int{"read": len(text), "half read": 10, "not read": 0}[state]
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
					t.Errorf("the first request is %v old", age)
				}
				line(t, r)
				fmt.Fprint(conn, request("b"))
				if age := <-ages; age > span/2 {
					t.Errorf("the second request is %v old", age)
				}
				line(t, r)
				server.Close()
			})
		}
	}
}
