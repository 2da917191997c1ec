package standin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// AnswerTime is how long a client waits for the answer to a request.
const AnswerTime = 400 * time.Millisecond

// Job is one message that a client has to hand in.
type Job struct {
	Class       string
	Destination int
	Unsafe      bool
	Fields      string        // said beside, as name=value with commas
	Left        time.Duration // from when it is first handed in
	Body        []byte
}

// Clients hand messages in as the protocol says: each connection carries one
// request at a time; without an answer in time it is closed, and the message
// handed in once more under a new id; after a refusal once more, after the wait.
type Clients struct {
	member  *Member
	address atomic.Pointer[string]
	answers Times
	wg      sync.WaitGroup
}

// At sets where the forwarder listens; it may change at a restart.
func (c *Clients) At(address string) { c.address.Store(&address) }

// Run hands in what comes from jobs over so many connections, until jobs is
// closed or ctx ends.
func (c *Clients) Run(ctx context.Context, connections int, jobs <-chan Job) {
	for range connections {
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			client := &client{clients: c}
			defer client.close()
			for {
				select {
				case <-ctx.Done():
					return
				case j, ok := <-jobs:
					if !ok {
						return
					}
					client.hand(ctx, j)
				}
			}
		}()
	}
	c.wg.Wait()
}

// Answers are the times from a request to its answer.
func (c *Clients) Answers() *Times { return &c.answers }

type client struct {
	clients *Clients
	conn    net.Conn
	r       *bufio.Reader
	used    bool // a request was answered on it
	buf     []byte
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// hand hands one message in, and once more where the protocol says so.
func (c *client) hand(ctx context.Context, j Job) {
	w, began := c.clients.member, time.Now()
	var before *Handed
	for try := 0; ; try++ {
		h := &Handed{ID: w.newID(j.Destination), Destination: j.Destination, Unsafe: j.Unsafe, Fields: j.Fields, Body: sum(j.Body), Sent: time.Now(),
			Deadline: began.Add(j.Left), Again: try > 0}
		left := time.Until(h.Deadline)
		if left <= 0 {
			w.Log.giveUp(before)
			return
		}
		h.Last = try > 0
		w.Log.Hand(h)
		answer, wait := c.ask(j, h, left, try)
		h.Last = h.Last || answer != Refused && answer != None
		if answer == Taken {
			c.clients.answers.Add(time.Since(h.Sent))
		}
		w.Log.Heard(h, answer, wait)
		if h.Last {
			return
		}
		select {
		case <-ctx.Done():
			w.Log.giveUp(h)
			return
		case <-time.After(max(wait, 50*time.Millisecond)):
		}
		before = h
	}
}

// repeatedLeft is how long a message may be delivered that is handed in by SendAgain.
const repeatedLeft = 2 * time.Second

// SendAgain makes one request under the id of a message that was handed in before, as a client does that doesn't keep to the protocol, over
// a connection of its own. It returns whether the request was answered.
func (c *Clients) SendAgain(h *Handed, class string) bool {
	again := &client{clients: c}
	defer again.close()
	answer, _ := again.ask(Job{Class: class, Destination: h.Destination, Unsafe: h.Unsafe}, h, repeatedLeft, 0)
	return answer != None && answer != Dropped
}

// ask makes one request. A connection that ends as the request is written gets
// it once more on a new one: the forwarder may close one between requests.
func (c *client) ask(j Job, h *Handed, left time.Duration, try int) (Answer, time.Duration) {
	for again := false; ; again = true {
		away, ends := c.clients.member.Away(), c.clients.member.ends.Load()
		if c.conn == nil {
			conn, err := net.DialTimeout("tcp", *c.clients.address.Load(), AnswerTime)
			if err != nil {
				time.Sleep(20 * time.Millisecond) // it is being started again
				return None, 0
			}
			c.conn, c.r, c.used = conn, bufio.NewReader(conn), false
		}
		names := fmt.Sprintf("c=%s,d=%d,dest=%d", j.Class, left.Milliseconds(), j.Destination)
		if j.Fields != "" {
			names += "," + j.Fields
		}
		if try > 0 {
			names += ",r=1"
		}
		c.buf = fmt.Appendf(c.buf[:0], "*5\r\n$7\r\nENQUEUE\r\n$16\r\n0000000000000000\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n",
			len(h.ID), h.ID, len(names), names, len(j.Body))
		c.buf = append(append(c.buf, j.Body...), "\r\n"...)
		c.conn.SetDeadline(time.Now().Add(AnswerTime))
		_, err := c.conn.Write(c.buf)
		var line string
		if err == nil {
			line, err = c.r.ReadString('\n')
		}
		if err != nil {
			used := c.used
			c.close()
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				return None, 0
			}
			if used && !again {
				continue // it crossed the closing of an idle connection
			}
			if away || c.clients.member.Away() || c.clients.member.ends.Load() != ends {
				return None, 0 // a process that dies resets its connections, and may be back by the time that this is seen: it was away when this began, too
			}
			return Dropped, 0
		}
		c.used = true
		line = strings.TrimRight(line, "\r\n")
		switch {
		case line == "-BUSY" || strings.HasPrefix(line, "-BUSY "):
			ms, _ := strconv.Atoi(strings.TrimPrefix(strings.TrimPrefix(line, "-BUSY"), " "))
			return Refused, time.Duration(ms) * time.Millisecond
		case strings.HasPrefix(line, "+"):
			return Taken, 0
		}
		return Failed, 0
	}
}
