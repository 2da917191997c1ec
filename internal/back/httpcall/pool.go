package httpcall

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"sort"
	"sync"
	"syscall"
	"time"

	"scaleroute/internal/back/registry"
	"scaleroute/internal/back/socket"
	"scaleroute/internal/engine"
)

const (
	maxRetainedBytes = 4 << 10 // largest buffer of received bytes that an idle connection keeps

	// A connection is not used again until this long after its last response. HTTP/1.1 does not say which request a response
	// belongs to, so a duplicate of that response that arrives after the next request would be read as the next response.
	// The delay covers how long behind its response an endpoint writes a duplicate, and how much longer the network takes to deliver it.
	reuseDelay        = 200 * time.Millisecond
	suspectReuseDelay = 2 * time.Second  // at an endpoint that has sent unexpected data
	suspectDuration   = 10 * time.Minute // how long an endpoint stays suspect after unexpected data
	// maxDelayedConns bounds the connections to one endpoint that are within their reuse delay. Beyond it, and where all connections are open, a new one takes
	// the place of one that is idle.
	maxDelayedConns = 64

	maxReuseWait      = reuseDelay // a call waits no longer for a connection to be reusable
	connectTimeWeight = 4          // a new connection counts for 1/4 of the smoothed time to connect
)

// pool keeps the connections to all endpoints. It does not use net/http's Transport, which may reuse a connection before it checks
// for data after the response, reads a duplicate of a response as the response to the next call, and does not expose the status line
// of a response whose header is malformed. Requests are small and written by this package; responses are parsed by net/http.
type pool struct {
	maxConns          int           // open connections, idle ones included
	idleTimeout       time.Duration // after which an idle connection is closed
	connectTimeout    time.Duration // for a connection to be established; 0: the time-out of its call alone
	dialControl       func(network, address string, c syscall.RawConn) error
	reuseDelay        time.Duration // least time between a connection's last response and its next call
	suspectReuseDelay time.Duration // the same at a suspect endpoint

	mu         sync.Mutex
	openConns  int
	borrowed   int      // idle connections that may be open beyond maxConns
	handedOver bool     // the idle connections have gone to another process; no connection is kept any more
	idle       idleList // all idle connections, longest idle first
	timer      *time.Timer
}

// endpoint is an endpoint with the connections that were opened for it. Another endpoint at its address has connections of its own.
type endpoint struct {
	*registry.Incarnation
	pool *pool

	// The pool's lock guards the rest.
	isReleased   bool          // no idle connections are kept any more
	idle         []*conn       // by the time of their last response, earliest first
	connectTime  time.Duration // smoothed; failed attempts count as well
	suspectUntil time.Time     // the endpoint has sent unexpected data
}

var _ engine.Withholder = (*endpoint)(nil)

func (b *Back) newEndpoint(i *registry.Incarnation) *endpoint {
	return &endpoint{Incarnation: i, pool: b.pool}
}

// Listing returns the incarnation.
func (e *endpoint) Listing() *registry.Incarnation { return e.Incarnation }

// Release closes the idle connections, and those that become idle later.
func (e *endpoint) Release() {
	e.pool.mu.Lock()
	e.isReleased = true
	e.pool.mu.Unlock()
	e.pool.closeIdle(e)
}

// idleList links the idle connections to all addresses, longest idle first.
type idleList struct{ first, last *conn }

func (l *idleList) push(c *conn) {
	c.prev, c.next = l.last, nil
	if l.last != nil {
		l.last.next = c
	} else {
		l.first = c
	}
	l.last = c
}

func (l *idleList) remove(c *conn) {
	if c.prev != nil {
		c.prev.next = c.next
	} else {
		l.first = c.next
	}
	if c.next != nil {
		c.next.prev = c.prev
	} else {
		l.last = c.prev
	}
	c.prev, c.next = nil, nil
}

// get returns an idle connection that may be reused, the most recently used first, or a new one. Beyond a limit, a new connection
// displaces an idle one. Waiting ends when the endpoint is no longer called.
func (p *pool) get(ctx context.Context, e *endpoint, timeLeft time.Duration) (*conn, error) {
	start := time.Now()
	for c, wait := p.takeIdle(e, timeLeft/2); c != nil; c, wait = p.takeIdle(e, 0) {
		if wait > 0 {
			if err := e.waitFor(ctx, wait); err != nil {
				c.Release()
				return nil, err
			}
		}
		if p.isUsable(c) {
			return c, nil
		}
		p.close(c)
	}
	if displaced := p.reserveConn(e); displaced != nil {
		p.closeDisplaced(displaced)
	}
	return p.dial(ctx, e, timeLeft-time.Since(start))
}

// ReserveConnection returns an idle connection that may be reused now, or nil if there is none.
func (e *endpoint) ReserveConnection() engine.ReservedConnection {
	for c, _ := e.pool.takeIdle(e, 0); c != nil; c, _ = e.pool.takeIdle(e, 0) {
		if e.pool.isUsable(c) {
			return c
		}
		e.pool.close(c)
	}
	return nil
}

// Release returns a reserved connection that no call was made on. Its idle time continues.
func (c *conn) Release() { c.endpoint.pool.addIdle(c, c.idleSince) }

// isUsable reports whether a connection that was taken from the idle ones can be used. The timer that closes expired connections may run late, while the
// endpoint has closed its side on time.
func (p *pool) isUsable(c *conn) bool {
	return time.Since(c.idleSince) < p.idleTimeout && p.isReusable(c)
}

// waitFor waits for some time, or until the context ends or the endpoint is no longer called.
func (e *endpoint) waitFor(ctx context.Context, d time.Duration) error {
	ctx, release := e.WhileCallable(ctx)
	defer release()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// dial opens a connection that reserveConn has counted.
func (p *pool) dial(ctx context.Context, e *endpoint, timeLeft time.Duration) (*conn, error) {
	ctx, release := e.WhileCallable(ctx)
	defer release()
	dialer := net.Dialer{Timeout: p.dialTimeout(timeLeft), Control: p.dialControl}
	start := time.Now()
	raw, err := dialer.DialContext(ctx, "tcp", e.Address)
	took := time.Since(start)
	p.mu.Lock()
	if err != nil {
		p.openConns--
	}
	if ctx.Err() == nil {
		e.connectTime += (took - e.connectTime) / connectTimeWeight
	}
	p.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return newConn(raw, e), nil
}

// dialTimeout limits the time left for a call by the configured connect time-out. It is never 0, which net.Dialer takes as no time-out.
func (p *pool) dialTimeout(timeLeft time.Duration) time.Duration {
	if p.connectTimeout > 0 {
		timeLeft = min(timeLeft, p.connectTimeout)
	}
	return max(timeLeft, time.Millisecond)
}

// reserveConn counts a connection to an endpoint that is about to be opened. Beyond a limit it removes and returns an idle one, which the caller closes.
func (p *pool) reserveConn(e *endpoint) (displaced *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openConns++
	switch {
	case len(e.idle) >= maxDelayedConns:
		return p.removeIdle(e.idle[len(e.idle)-1])
	case p.openConns > p.maxConns+p.borrowed && p.idle.first != nil:
		return p.removeIdle(p.leastUseful())
	}
	return nil
}

// leastUseful returns the connection that has been idle longest, if its reuse delay is over and it is still not needed; otherwise the one that was used last,
// since the others may be reused sooner. The caller holds the pool's lock.
func (p *pool) leastUseful() *conn {
	longest, now := p.idle.first, time.Now()
	if now.Sub(longest.lastResponse) >= p.delayOf(longest.endpoint, now) {
		return longest
	}
	return p.idle.last
}

// delayOf returns the reuse delay of an endpoint's connections. The caller holds the pool's lock.
func (p *pool) delayOf(e *endpoint, now time.Time) time.Duration {
	if now.Before(e.suspectUntil) {
		return p.suspectReuseDelay
	}
	return p.reuseDelay
}

// removeIdle removes a connection from the idle lists and returns it. The caller holds the pool's lock.
func (p *pool) removeIdle(c *conn) *conn {
	p.idle.remove(c)
	e := c.endpoint
	i := 0 // mostly the one whose last response is longest ago
	if e.idle[0] != c {
		for i = e.countIdle(c.lastResponse) - 1; e.idle[i] != c; i-- {
		}
	}
	e.idle = slices.Delete(e.idle, i, i+1)
	return c
}

// countIdle returns how many idle connections had their last response at the given time or before: the first ones of the list. The caller
// holds the pool's lock.
func (e *endpoint) countIdle(until time.Time) int {
	return sort.Search(len(e.idle), func(i int) bool { return e.idle[i].lastResponse.After(until) })
}

// takeIdle removes and returns an idle connection to an endpoint whose reuse delay is over, or nil: the most recently used, so that those
// that are not needed expire. Otherwise it may be one that the caller must wait for, where the rest of its reuse delay is no longer than a new
// connection takes, and than maxWait.
func (p *pool) takeIdle(e *endpoint, maxWait time.Duration) (c *conn, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(e.idle) == 0 {
		return nil, 0
	}
	now := time.Now()
	delay := p.delayOf(e, now)
	if n := e.countIdle(now.Add(-delay)); n > 0 {
		return p.removeIdle(e.idle[n-1]), 0
	}
	longest := e.idle[0]
	if left := delay - now.Sub(longest.lastResponse); left <= min(e.connectTime, maxReuseWait, maxWait) {
		return p.removeIdle(longest), left
	}
	return nil, 0
}

// isReusable reports whether an idle connection is still open and has received nothing since its last response. Bytes received since
// would be read as the next response; they mark its endpoint as suspect.
func (p *pool) isReusable(c *conn) bool {
	state := c.probe.State()
	if state == socket.HasData {
		p.markSuspect(c, "on an idle connection")
	}
	return state == socket.Quiet
}

// markSuspect records that an endpoint has sent data beyond the response to a call.
func (p *pool) markSuspect(c *conn, when string) {
	now := time.Now()
	p.mu.Lock()
	known := now.Before(c.endpoint.suspectUntil)
	c.endpoint.suspectUntil = now.Add(suspectDuration)
	p.mu.Unlock()
	if !known {
		slog.Warn("an endpoint sends data beyond the response to a call: its connections are reused after a longer delay", "target", c.endpoint.Address, "came", when, "rest", p.suspectReuseDelay, "for", suspectDuration)
	}
}

// put returns a connection to the pool after a call whose response has been read completely.
func (p *pool) put(c *conn) {
	if c.received = c.received[:0]; cap(c.received) > maxRetainedBytes {
		c.received = nil
	}
	c.lastResponse = time.Now()
	p.addIdle(c, c.lastResponse)
}

// addIdle adds a connection that has been idle since the given time, or closes it if it is no longer needed.
func (p *pool) addIdle(c *conn, since time.Time) {
	p.mu.Lock()
	if c.endpoint.isReleased || p.handedOver {
		p.mu.Unlock()
		p.close(c)
		return
	}
	c.idleSince = since
	p.idle.push(c)
	c.endpoint.idle = slices.Insert(c.endpoint.idle, c.endpoint.countIdle(c.lastResponse), c)
	if p.timer == nil {
		p.timer = time.AfterFunc(p.idleTimeout, p.closeExpired)
	}
	p.mu.Unlock()
}

// closeExpired closes the connections whose idle time-out is over and sets the timer for the next one.
func (p *pool) closeExpired() {
	p.mu.Lock()
	now := time.Now()
	var expired []*conn
	for c := p.idle.first; c != nil && now.Sub(c.idleSince) >= p.idleTimeout; c = p.idle.first {
		p.removeIdle(c)
		expired = append(expired, c)
	}
	p.timer = nil
	if p.idle.first != nil {
		p.timer = time.AfterFunc(p.idle.first.idleSince.Add(p.idleTimeout).Sub(now), p.closeExpired)
	}
	p.mu.Unlock()
	for _, c := range expired {
		p.close(c)
	}
}

// closeIdle closes the idle connections to an endpoint.
func (p *pool) closeIdle(e *endpoint) {
	p.mu.Lock()
	idle := slices.Clone(e.idle)
	for _, c := range idle {
		p.removeIdle(c)
	}
	p.mu.Unlock()
	for _, c := range idle {
		p.close(c)
	}
}

func (p *pool) close(c *conn) {
	c.Close()
	p.mu.Lock()
	p.openConns--
	p.mu.Unlock()
}

// closeDisplaced closes an idle connection whose place another one takes. Its call is over, so it may be reset, and does not keep its port for another minute:
// where connections are displaced, there are many of them.
func (p *pool) closeDisplaced(c *conn) {
	if tcp, isTCP := c.Conn.(*net.TCPConn); isTCP {
		tcp.SetLinger(0) // fails only if it is closed already
	}
	p.close(c)
}
