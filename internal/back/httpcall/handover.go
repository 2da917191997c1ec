package httpcall

import (
	"context"
	"net"
	"time"

	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
)

// IdleConn is an idle connection that is handed over to another process.
type IdleConn struct {
	Address string
	Conn    net.Conn
	Since   time.Time
}

// ReleaseIdle returns all idle connections for another process. Connections that become idle afterwards are closed.
func (b *Back) ReleaseIdle() (list []IdleConn) {
	p := b.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handedOver = true
	for c := p.idle.first; c != nil; c = p.idle.first {
		p.removeIdle(c)
		p.openConns--
		list = append(list, IdleConn{c.host.address, c.Conn, c.idleSince})
	}
	return list
}

// AdoptIdle adds idle connections of another process, given longest idle first. Connections to addresses without an endpoint,
// and those beyond the limit, are closed.
func (b *Back) AdoptIdle(list []IdleConn) {
	p := b.pool
	for _, idle := range list {
		p.mu.Lock()
		h := p.hosts[idle.Address]
		if p.openConns++; h == nil || p.openConns > p.maxConns {
			p.openConns--
			p.mu.Unlock()
			idle.Conn.Close()
			continue
		}
		p.mu.Unlock()
		c := newConn(idle.Conn, h)
		since := idle.Since
		if now := time.Now(); since.After(now) { // the wall clock was set back in the meantime
			since = now
		}
		c.lastResponse = time.Now() // the other process may have read its last response just before the handover
		p.addIdle(c, since)
	}
}

// Resume continues a call that another process made, as Call does once the request is written.
func (b *Back) Resume(ctx context.Context, name string, call *engine.InFlightCall, a engine.Attempt) (o decide.Outcome) {
	b.pool.mu.Lock()
	b.pool.openConns++
	h := b.pool.hosts[call.Address]
	if h == nil { // the endpoint is no longer listed, so its connection is not kept afterwards
		h = &host{address: call.Address}
	}
	b.pool.mu.Unlock()
	c := newConn(call.Conn, h)
	c.replay, c.retryAfter = call.Read, retryAfterParser{notify: a.OnRetryAfter}
	c.SetDeadline(call.Deadline)
	stopAbort := context.AfterFunc(ctx, c.abortCall)
	(&endpoint{host: h, pool: b.pool}).awaitResponse(ctx, c, call.Began, call.Deadline, &a, stopAbort, &o)
	return o
}

// detach stops counting a connection that is handed over to another process.
func (p *pool) detach() {
	p.mu.Lock()
	p.openConns--
	p.mu.Unlock()
}
