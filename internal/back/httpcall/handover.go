package httpcall

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"

	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
)

// IdleConn is an idle connection, as another process can go on with it.
type IdleConn struct {
	Address string
	Conn    net.Conn
	Since   time.Time
}

// ReleaseIdle gives away the connections that no call uses. What is still put back is closed.
func (b *Back) ReleaseIdle() (list []IdleConn) {
	p := b.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.released = true
	for c := p.idle.first; c != nil; c = p.idle.first {
		p.unidle(c)
		p.open--
		list = append(list, IdleConn{c.host.address, c.Conn, c.since})
	}
	return list
}

// AdoptIdle takes idle connections of another process, longest idle first. Those to addresses where no target is are closed.
func (b *Back) AdoptIdle(list []IdleConn) {
	p := b.pool
	for _, i := range list {
		p.mu.Lock()
		h := p.hosts[i.Address]
		if p.open++; h == nil || p.open > p.most {
			p.open--
			p.mu.Unlock()
			i.Conn.Close()
			continue
		}
		p.mu.Unlock()
		c := newConn(i.Conn, h)
		since := i.Since
		if now := time.Now(); since.After(now) { // the wall clock was set back meanwhile
			since = now
		}
		c.answered = time.Now() // it may have been answered just before
		p.giveBack(c, since)
	}
}

// Resume goes on with a call that another process made, as Call does once its message is written.
func (b *Back) Resume(ctx context.Context, endpoint string, p *engine.InFlightCall, a engine.Attempt) (o decide.Outcome) {
	b.pool.mu.Lock()
	b.pool.open++
	h := b.pool.hosts[p.Address]
	if h == nil { // its target is not listed any more: its connection is not kept
		h = &host{address: p.Address}
	}
	b.pool.mu.Unlock()
	c := newConn(p.Conn, h)
	c.replay, c.told = p.Read, toldWait{tell: a.OnRetryAfter}
	c.SetDeadline(p.Deadline)
	stop := context.AfterFunc(ctx, c.calledOff)
	(&target{host: h, pool: b.pool}).await(ctx, c, p.Began, p.Deadline, &a, stop, &o)
	return o
}

func newConn(raw net.Conn, h *host) *conn {
	c := &conn{Conn: raw, host: h, since: time.Now()}
	c.r = bufio.NewReader(c)
	if s, ok := raw.(syscall.Conn); ok {
		c.raw, _ = s.SyscallConn()
	}
	return c
}

// release counts a connection out that goes to another process.
func (p *pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}
