package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// answerTime is how long a client waits for the answer to a request.
const answerTime = 400 * time.Millisecond

var lastID atomic.Uint64

// handed is one message that was handed in.
type handed struct {
	id, class string
	dest      int
	sent      time.Time
	left      time.Duration
	answer    string // empty: none came in time
	heard     time.Time
}

// accepted reports whether the message was taken on.
func (h *handed) accepted() bool {
	return strings.HasPrefix(h.answer, "+") || strings.HasPrefix(h.answer, "$")
}

// client is one connection of a client.
type client struct {
	f    *forwarder
	conn net.Conn
	r    *bufio.Reader
}

func (f *forwarder) newClient() *client { return &client{f: f} }

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// hand hands one message in and waits for the answer. A connection that was closed between two requests gets it once more on a new one.
func (c *client) hand(class string, dest int, left time.Duration) *handed {
	return c.handWith(class, dest, left, func(string) {})
}

// handWith does the same, and tells the id before anything is sent.
func (c *client) handWith(class string, dest int, left time.Duration, tell func(id string)) *handed {
	h := &handed{id: fmt.Sprintf("%016x", 0x9b1f000000000000+lastID.Add(1)), class: class, dest: dest, left: left, sent: time.Now()}
	tell(h.id)
	for again := false; ; again = true {
		used := c.conn != nil
		if !used {
			conn, err := net.DialTimeout("tcp", c.f.listen, answerTime)
			if err != nil {
				h.answer = ""
				c.f.w.note("client: %s for destination %d: no connection: %v", h.id, dest, err)
				return h
			}
			c.conn, c.r = conn, bufio.NewReader(conn)
		}
		pairs := fmt.Sprintf("c=%s,d=%d,dest=%d", class, left.Milliseconds(), dest)
		body := "body of " + h.id
		c.conn.SetDeadline(time.Now().Add(answerTime))
		_, err := fmt.Fprintf(c.conn, "*5\r\n$7\r\nENQUEUE\r\n$16\r\n0000000000000000\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n", len(h.id), h.id, len(pairs), pairs, len(body), body)
		var line string
		if err == nil {
			line, err = c.r.ReadString('\n')
		}
		if err != nil {
			c.close()
			if timeout, ok := err.(net.Error); used && !again && !(ok && timeout.Timeout()) {
				continue
			}
			c.f.w.note("client: %s for destination %d: no answer: %v", h.id, dest, err)
			return h
		}
		h.answer, h.heard = strings.TrimRight(line, "\r\n"), time.Now()
		c.f.w.note("client: %s, class %s, for destination %d: %s", h.id, class, dest, h.answer)
		return h
	}
}
