package httpcall

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"scaleroute/internal/engine"
)

const (
	maxResponseBytes = 64 << 10 // header and body; reading a longer response fails
	maxRetainedBytes = 4 << 10  // largest buffer of received bytes that an idle connection keeps

	// A connection is not used again until this long after its last response. HTTP/1.1 does not say which request a response
	// belongs to, so a duplicate of that response that arrives after the next request would be read as the next response.
	// The delay covers how long behind its response an endpoint writes a duplicate, and how much longer the network takes to deliver it.
	reuseDelay        = 200 * time.Millisecond
	suspectReuseDelay = 2 * time.Second  // at an address that has sent unexpected data
	suspectDuration   = 10 * time.Minute // how long an address stays suspect after unexpected data
	// exhaustedReuseDelay replaces reuseDelay while no further connection may be opened and every idle one is within its reuse delay.
	exhaustedReuseDelay = 20 * time.Millisecond
)

// pool keeps the connections to all addresses. It does not use net/http's Transport, which may reuse a connection before it checks
// for data after the response, reads a duplicate of a response as the response to the next call, and does not expose the status line
// of a response whose header is malformed. Requests are small and written by this package; responses are parsed by net/http.
type pool struct {
	maxConns          int           // open connections, idle ones included
	idleTimeout       time.Duration // after which an idle connection is closed
	connectTimeout    time.Duration // for a connection to be established; 0: the time-out of its call alone
	dialControl       func(network, address string, c syscall.RawConn) error
	reuseDelay        time.Duration // least time between a connection's last response and its next call
	suspectReuseDelay time.Duration // the same at a suspect address
	// exhaustedReuseDelay is the same while the pool is exhausted.
	exhaustedReuseDelay time.Duration

	mu         sync.Mutex
	openConns  int
	handedOver bool     // the idle connections have gone to another process; no connection is kept any more
	idle       idleList // all idle connections, longest idle first
	hosts      map[string]*host
	timer      *time.Timer
}

// host is the state of one address. Several endpoints may share an address.
type host struct {
	address      string
	endpoints    int       // at this address; with none, no idle connections are kept
	idle         []*conn   // by the time of their last response, earliest first
	suspectUntil time.Time // the address has sent unexpected data; guarded by the pool's lock
}

// conn is a connection to an address. It serves one call at a time.
type conn struct {
	net.Conn
	raw        syscall.RawConn
	host       *host
	r          *bufio.Reader
	received   []byte           // all bytes since the call began
	timedOut   bool             // the last read ended at its deadline
	retryAfter retryAfterParser // for the response to the current call
	aborted    atomic.Bool      // set once the end of the call's context has aborted its I/O; this process then makes no further call on it
	replay     []byte           // bytes that another process has read already; they are read again first
	idleSince  time.Time
	// lastResponse is when the last response was read; zero if this process has made no call on the connection.
	lastResponse time.Time
	probeBuffer  [1]byte

	prev, next *conn // in the idle list
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

// acquireHost adds an endpoint to the state of its address, which it creates if need be.
func (p *pool) acquireHost(address string) *host {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil {
		h = &host{address: address}
		p.hosts[address] = h
	}
	h.endpoints++
	return h
}

// releaseHost removes an endpoint from the state of its address. With the last one, the state and its idle connections go.
func (p *pool) releaseHost(h *host) {
	p.mu.Lock()
	h.endpoints--
	last := h.endpoints == 0
	if last {
		delete(p.hosts, h.address)
	}
	p.mu.Unlock()
	if last {
		p.closeIdle(h)
	}
}

// get returns an idle connection that may be reused, the most recently used first, or a new one. Beyond the limit, a new connection
// displaces the one that has been idle longest, whatever its address.
func (p *pool) get(ctx context.Context, h *host, timeLeft time.Duration) (*conn, error) {
	for c := p.takeIdle(h); c != nil; c = p.takeIdle(h) {
		// The timer that closes expired connections may run late, while the endpoint has closed its side on time.
		if time.Since(c.idleSince) < p.idleTimeout && p.isReusable(c) {
			return c, nil
		}
		p.close(c)
	}
	if displaced := p.reserveConn(); displaced != nil {
		p.close(displaced)
	}
	dialer := net.Dialer{Timeout: p.dialTimeout(timeLeft), Control: p.dialControl}
	raw, err := dialer.DialContext(ctx, "tcp", h.address)
	if err != nil {
		p.mu.Lock()
		p.openConns--
		p.mu.Unlock()
		return nil, err
	}
	return newConn(raw, h), nil
}

// dialTimeout limits the time left for a call by the configured connect time-out. It is never 0, which net.Dialer takes as no time-out.
func (p *pool) dialTimeout(timeLeft time.Duration) time.Duration {
	if p.connectTimeout > 0 {
		timeLeft = min(timeLeft, p.connectTimeout)
	}
	return max(timeLeft, time.Millisecond)
}

// reserveConn counts a connection that is about to be opened. Beyond the limit it removes and returns the one that has been idle longest,
// whatever its address, which the caller closes.
func (p *pool) reserveConn() (displaced *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openConns++
	if p.openConns > p.maxConns && p.idle.first != nil {
		return p.removeIdle(p.idle.first)
	}
	return nil
}

// removeIdle removes a connection from the idle lists and returns it. The caller holds the pool's lock.
func (p *pool) removeIdle(c *conn) *conn {
	p.idle.remove(c)
	h := c.host
	i := 0 // mostly the one whose last response is longest ago
	if h.idle[0] != c {
		for i = h.countIdle(c.lastResponse) - 1; h.idle[i] != c; i-- {
		}
	}
	h.idle = slices.Delete(h.idle, i, i+1)
	return c
}

// countIdle returns how many idle connections had their last response at the given time or before: the first ones of the list. The caller
// holds the pool's lock.
func (h *host) countIdle(until time.Time) int {
	return sort.Search(len(h.idle), func(i int) bool { return h.idle[i].lastResponse.After(until) })
}

// takeIdle removes and returns an idle connection to an address whose reuse delay is over, or nil: the most recently used, so that those
// that are not needed expire. While the pool is exhausted, it is the one whose last response is longest ago.
func (p *pool) takeIdle(h *host) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	suspect := now.Before(h.suspectUntil)
	delay := p.reuseDelay
	if suspect {
		delay = p.suspectReuseDelay
	}
	if n := h.countIdle(now.Add(-delay)); n > 0 {
		return p.removeIdle(h.idle[n-1])
	}
	if !suspect && p.isExhausted(now) && h.countIdle(now.Add(-p.exhaustedReuseDelay)) > 0 {
		return p.removeIdle(h.idle[0])
	}
	return nil
}

// isExhausted reports whether no further connection may be opened and every idle connection is within its reuse delay. The caller holds
// the pool's lock.
func (p *pool) isExhausted(now time.Time) bool {
	return p.openConns >= p.maxConns && p.idle.first != nil && now.Sub(p.idle.first.lastResponse) < p.reuseDelay
}

// isReusable reports whether an idle connection is still open and has received nothing since its last response. Bytes received since
// would be read as the next response; they mark its address as suspect.
func (p *pool) isReusable(c *conn) bool {
	state := c.checkIdle()
	if state == connHasData {
		p.markSuspect(c, "on an idle connection")
	}
	return state == connIdle
}

// markSuspect records that an address has sent data beyond the response to a call.
func (p *pool) markSuspect(c *conn, when string) {
	now := time.Now()
	p.mu.Lock()
	known := now.Before(c.host.suspectUntil)
	c.host.suspectUntil = now.Add(suspectDuration)
	p.mu.Unlock()
	if !known {
		slog.Warn("an endpoint sends data beyond the response to a call: its connections are reused after a longer delay", "target", c.host.address, "came", when, "rest", p.suspectReuseDelay, "for", suspectDuration)
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
	if c.host.endpoints == 0 || p.handedOver {
		p.mu.Unlock()
		p.close(c)
		return
	}
	c.idleSince = since
	p.idle.push(c)
	c.host.idle = slices.Insert(c.host.idle, c.host.countIdle(c.lastResponse), c)
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

// closeIdle closes the idle connections to an address.
func (p *pool) closeIdle(h *host) {
	p.mu.Lock()
	idle := slices.Clone(h.idle)
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

// Read reads from the connection, appends the bytes to received and fails once these exceed maxResponseBytes.
func (c *conn) Read(b []byte) (int, error) {
	left := maxResponseBytes - len(c.received)
	if left <= 0 {
		return 0, errResponseTooLarge
	}
	if len(c.replay) > 0 {
		n := copy(b[:min(len(b), left)], c.replay)
		c.replay = c.replay[n:]
		c.received = append(c.received, b[:n]...)
		c.retryAfter.parse(c.received)
		return n, nil
	}
	n, err := c.Conn.Read(b[:min(len(b), left)])
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if available := c.readAvailable(b[:min(len(b), left)]); available > 0 {
			n, err = available, nil
		}
	}
	c.timedOut = errors.Is(err, os.ErrDeadlineExceeded) // noted here, since http.ReadResponse may return another error
	c.received = append(c.received, b[:n]...)
	c.retryAfter.parse(c.received)
	return n, err
}

// readAvailable reads the bytes that have already arrived when a deadline has passed. Where the process was stopped or waited for a core,
// it may find the deadline passed and the response there at once: the response came in time, and says what became of the message.
func (c *conn) readAvailable(b []byte) (n int) {
	if c.raw == nil || len(b) == 0 {
		return 0
	}
	c.raw.Control(func(fd uintptr) { n, _ = syscall.Read(int(fd), b) }) // the socket is non-blocking
	return n
}

// readResponse reads a complete response, after any 1xx responses, and returns when its first byte came, or when waiting for it ended.
// The body is discarded, except for its beginning where the caller wants a reply.
func (c *conn) readResponse(ctx context.Context, deadline time.Time, reply *engine.Reply) (resp *http.Response, firstByte time.Time, err error) {
	var upgraded, limited bool
	for {
		if limited { // the deadline that was set for a 1xx response
			c.limitReads(ctx, deadline)
		}
		_, err := c.r.Peek(1)
		firstByte = time.Now()
		if err != nil {
			return nil, firstByte, err
		}
		if limited = !c.isEmptyResponseBuffered(); limited { // otherwise the response is complete
			limit := firstByte.Add(responseReadTimeout)
			if deadline.Before(limit) {
				limit = deadline
			}
			c.limitReads(ctx, limit)
		}
		if resp, err = http.ReadResponse(c.r, nil); err != nil {
			return nil, firstByte, err
		}
		if resp.StatusCode < 100 || resp.StatusCode > 199 {
			break
		}
		upgraded = upgraded || resp.StatusCode == http.StatusSwitchingProtocols
	}
	defer resp.Body.Close()
	if resp.ContentLength > maxResponseBytes {
		return nil, firstByte, errResponseTooLarge
	}
	var kept []byte
	if reply != nil {
		if kept, err = io.ReadAll(io.LimitReader(resp.Body, int64(reply.MaxBody))); err != nil {
			return nil, firstByte, err
		}
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return nil, firstByte, err
	}
	resp.Close = resp.Close || upgraded
	if reply != nil {
		reply.Status, reply.Header, reply.Body = resp.StatusCode, resp.Header, kept
	}
	return resp, firstByte, nil
}

// isEmptyResponseBuffered reports whether the buffer holds a complete header and a Content-Length of 0. Where it is mistaken, for instance
// since the two belong to different responses, the deadline of the call still bounds the reads.
func (c *conn) isEmptyResponseBuffered() bool {
	buffered, _ := c.r.Peek(c.r.Buffered())
	return bytes.Contains(buffered, headerEnd) && bytes.Contains(buffered, zeroLengthHeader)
}

var (
	headerEnd        = []byte("\r\n\r\n")
	zeroLengthHeader = []byte("\r\nContent-Length: 0\r\n")
)

// limitReads sets a deadline for further reads, unless the call's context has ended: then reads fail at once.
func (c *conn) limitReads(ctx context.Context, t time.Time) {
	c.SetReadDeadline(t)
	if ctx.Err() != nil {
		c.abortIO()
	}
}

// abortIO makes all reads and writes in progress fail.
func (c *conn) abortIO() { c.SetDeadline(time.Unix(1, 0)) }

// abortCall is called when the call's context ends.
func (c *conn) abortCall() {
	c.abortIO()
	c.aborted.Store(true)
}

// settleAbort prevents abortCall from running, or waits until it has set its deadline. The process that continues with the connection sets
// its own deadline, which abortCall must not replace.
func (c *conn) settleAbort(stopAbort func() bool) {
	for stopped := stopAbort(); !stopped && !c.aborted.Load(); {
		runtime.Gosched()
	}
}

// connState is the state of an idle connection.
type connState int

const (
	connIdle connState = iota
	connClosed
	connHasData // bytes have arrived since the last response
)

// checkIdle returns the state of an idle connection, without blocking.
func (c *conn) checkIdle() connState {
	if c.raw == nil {
		return connClosed
	}
	var count int
	var readErr error
	err := c.raw.Control(func(fd uintptr) { count, readErr = syscall.Read(int(fd), c.probeBuffer[:]) })
	switch {
	case err == nil && readErr == syscall.EAGAIN:
		return connIdle
	case err == nil && readErr == nil && count > 0:
		return connHasData
	}
	return connClosed
}

// hasStatus200 reports whether the status line of a response, after any 1xx responses, is complete and has the status 200.
func hasStatus200(received []byte) bool {
	status, _ := parseStatusLine(received)
	return status == "200"
}

// parseStatusLine returns the status in the status line of a response, after any 1xx responses, and the text after that line; "" if
// there is no complete and valid status line yet.
func parseStatusLine(received []byte) (status string, rest []byte) {
	for {
		line, after, complete := bytes.Cut(received, []byte("\n"))
		fields := bytes.Fields(line)
		if !complete || len(fields) < 2 || !bytes.HasPrefix(fields[0], []byte("HTTP/1.")) || len(fields[1]) != 3 {
			return "", nil
		}
		if fields[1][0] != '1' {
			return string(fields[1]), after
		}
		_, rest, complete := bytes.Cut(received, []byte("\r\n\r\n"))
		if !complete {
			return "", nil
		}
		received = rest
	}
}
