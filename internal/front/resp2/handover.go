package resp2

import (
	"net"
	"time"
)

// DetachedConn is a client's connection that goes from one server to another, in this process or the next one.
type DetachedConn struct {
	Conn   net.Conn
	Unread []byte // read from it, and not answered: a part of a request, or more
	Used   bool   // a request was answered on it
}

// handing is what a server is at that gives its connections away.
type handing struct {
	on   bool
	over bool // what comes now is too late, and closed
	list []DetachedConn
}

// Detach ends the server without closing a connection: requests in hand are answered, and what was read of others goes along. The
// listener stays open. A client that does not take its answer within the limit is closed, as when it is silent for too long.
func (c *Server) Detach(limit time.Duration) []DetachedConn {
	c.mu.Lock()
	c.handing.on = true
	c.closing = true // for good
	if c.drain.timer != nil {
		c.drain.timer.Stop()
	}
	for conn := range c.conns {
		conn.SetReadDeadline(time.Unix(1, 0))
	}
	c.mu.Unlock()
	if l, ok := c.ln.(interface{ SetDeadline(time.Time) error }); ok {
		l.SetDeadline(time.Unix(1, 0))
	}
	c.accepting.Wait() // nobody is admitted from now on
	c.Wait(limit)
	c.mu.Lock()
	for conn := range c.conns {
		conn.SetDeadline(time.Unix(1, 0))
	}
	c.mu.Unlock()
	c.Wait(limit)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handing.over = true
	return c.handing.list
}

// handOver gives a connection away if the server does that, with what is unread of it. It tells whether it did.
func (c *Server) handOver(conn net.Conn, unread []byte, used bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.handing.on || c.handing.over {
		return false
	}
	c.handing.list = append(c.handing.list, DetachedConn{conn, unread, used})
	return true
}

// While connections change hands nobody reads: a request that came meanwhile has less time left than it says. When it came is not known, so what is
// there as this server begins counts from when the other one stopped; its client waits for clientWaits at most.
const clientWaits = 400 * time.Millisecond

var readSoon = 50 * time.Millisecond // after that nothing has been there all the time; tests set it

// gap is that in which nobody read.
type gap struct{ from, to time.Time }

// sent is when a request that has just been read was sent at the earliest.
func (g gap) sent(now time.Time) time.Time {
	if g.from.IsZero() || now.Sub(g.to) > readSoon || g.from.After(now) {
		return now
	}
	if oldest := now.Add(-clientWaits); g.from.Before(oldest) {
		return oldest
	}
	return g.from
}

// Adopt serves connections of another server, which stopped reading at a time; it comes before Serve.
func (c *Server) Adopt(list []DetachedConn, stopped time.Time) {
	c.gap = gap{stopped, time.Now()}
	for _, h := range list {
		h.Conn.SetDeadline(time.Time{})
		c.mu.Lock()
		c.conns[h.Conn] = &clientState{idle: true, used: h.Used, since: time.Now(), unread: h.Unread}
		c.wg.Add(1)
		c.mu.Unlock()
		go func() {
			defer c.wg.Done()
			c.handle(h.Conn)
		}()
	}
}
