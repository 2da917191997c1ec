package httpcall

import (
	"context"
	"net"
	"time"

	"scaleroute/internal/back/registry"
	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
)

// IdleConn is an idle connection that is handed over to another process.
type IdleConn struct {
	Endpoint engine.EndpointIdentity // that it was opened for
	Conn     net.Conn
	Since    time.Time
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
		list = append(list, IdleConn{c.endpoint.EndpointIdentity, c.Conn, c.idleSince})
	}
	return list
}

// AdoptIdle adds idle connections of another process, given longest idle first. Connections to endpoints that are not listed as they were when
// the connection was opened, and those beyond the limit, are closed.
func (b *Back) AdoptIdle(list []IdleConn) {
	p := b.pool
	for _, idle := range list {
		e, isListed := b.endpoints.Identified(idle.Endpoint)
		if !isListed || !p.adoptConn() {
			idle.Conn.Close()
			continue
		}
		c := newConn(idle.Conn, e)
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
	b.pool.mu.Unlock()
	e, isListed := b.endpoints.Identified(call.Endpoint)
	if !isListed { // so its connection is not kept afterwards
		e = b.newEndpoint(registry.NewIncarnation(call.Endpoint))
		e.Withdraw()
		e.Release()
	}
	c := newConn(call.Conn, e)
	c.replay, c.retryAfter = call.Read, retryAfterParser{notify: a.OnRetryAfter}
	c.SetDeadline(call.Deadline)
	stopAbort := context.AfterFunc(ctx, c.abortCall)
	e.awaitResponse(ctx, c, call.Began, call.Deadline, &a, stopAbort, &o)
	return o
}

// adoptConn counts a connection that comes from another process, unless there are too many.
func (p *pool) adoptConn() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.openConns >= p.maxConns {
		return false
	}
	p.openConns++
	return true
}

// detach stops counting a connection that is handed over to another process.
func (p *pool) detach() {
	p.mu.Lock()
	p.openConns--
	p.mu.Unlock()
}
