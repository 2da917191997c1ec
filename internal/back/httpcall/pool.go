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
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"scaleroute/internal/engine"
)

const (
	maxAnswer  = 64 << 10 // an answer that goes on longer is not read on
	keepRecord = 4 << 10

	// A connection makes no further call until so long after its last answer: HTTP/1.1 does not say which request an answer
	// belongs to, so a second copy of that answer that comes behind the next request would be taken for the next answer.
	repeatWindow     = 20 * time.Millisecond
	longRepeatWindow = 200 * time.Millisecond // at an address that has sent more than it was asked for
	distrustFor      = 10 * time.Minute       // since it last did
)

// pool keeps the connections to all addresses. net/http's Transport is not used
// for them: it may give a connection to the next call before it looks whether
// more than the answer came, and takes a second copy of an answer for the answer
// to that call; and it says nothing of a first line behind which the head can't be
// read. The requests are small; the answers are still parsed by net/http.
type pool struct {
	most     int           // connections, idle ones counted
	idleTime time.Duration // one idle for so long is closed
	connect  time.Duration // one not made by then has failed
	control  func(network, address string, c syscall.RawConn) error
	rest     time.Duration // one makes no further call until so long after its last answer
	longRest time.Duration // the same at an address that is distrusted

	mu       sync.Mutex
	open     int
	released bool     // its connections go to another process
	idle     idleList // all idle ones, longest idle first
	hosts    map[string]*host
	timer    *time.Timer
}

// host is one address. Several targets may be at one.
type host struct {
	address       string
	targets       int       // at it; none are kept when there is none
	idle          []*conn   // longest idle first
	distrustUntil time.Time // it has sent more than it was asked for; by the pool's lock
}

// conn is a connection to an address. A call has it for itself.
type conn struct {
	net.Conn
	raw     syscall.RawConn
	host    *host
	r       *bufio.Reader
	record  []byte      // what has come since the call began
	stopped bool        // by a deadline
	told    toldWait    // by the answer to this call, so far
	off     atomic.Bool // the call's context has ended it; such a connection makes no further call here
	replay  []byte      // what another process read of it, to be read again
	since   time.Time   // it is idle
	// answered is when the answer to its last call was read; zero: it has made none here.
	answered time.Time
	spare    [1]byte

	prev, next *conn // while idle
}

// idleList is the idle connections to all addresses, longest idle first.
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

// enter counts a target at an address, and leave counts it out.
func (p *pool) enter(address string) *host {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil {
		h = &host{address: address}
		p.hosts[address] = h
	}
	h.targets++
	return h
}

func (p *pool) leave(h *host) {
	p.mu.Lock()
	h.targets--
	last := h.targets == 0
	if last {
		delete(p.hosts, h.address)
	}
	p.mu.Unlock()
	if last {
		p.closeIdle(h)
	}
}

// get returns a connection: of those that have rested the one used last, if it is still good, or a new
// one. When there are too many, the one idle longest is closed, wherever it goes.
func (p *pool) get(ctx context.Context, h *host, left time.Duration) (*conn, error) {
	for c := p.take(h); c != nil; c = p.take(h) {
		// The timer that closes what is idle for too long may be late: the target's is not.
		if time.Since(c.since) < p.idleTime && p.isQuiet(c) {
			return c, nil
		}
		p.close(c)
	}
	p.mu.Lock()
	p.open++
	var extra *conn
	if p.open > p.most && p.idle.first != nil {
		extra = p.idle.first
		p.unidle(extra)
	}
	p.mu.Unlock()
	if extra != nil {
		p.close(extra)
	}
	dialer := net.Dialer{Timeout: p.connectTime(left), Control: p.control}
	raw, err := dialer.DialContext(ctx, "tcp", h.address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	return newConn(raw, h), nil
}

// connectTime is how long a connection may take: what is left of its call, where nobody tells a limit. A time-out of 0 would be none.
func (p *pool) connectTime(left time.Duration) time.Duration {
	if p.connect > 0 {
		left = min(left, p.connect)
	}
	return max(left, time.Millisecond)
}

// unidle takes a connection out of the idle ones. The pool is locked.
func (p *pool) unidle(c *conn) {
	p.idle.remove(c)
	list := c.host.idle
	i := 0 // the one idle longest, or else mostly the one used last
	if list[0] != c {
		for i = len(list) - 1; list[i] != c; i-- {
		}
	}
	c.host.idle = slices.Delete(list, i, i+1)
}

// take takes out of the pool the idle connection to an address that was used last, of those that have rested; nil if there is none.
func (p *pool) take(h *host) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	rest := p.rest
	if now.Before(h.distrustUntil) {
		rest = p.longRest
	}
	for i := len(h.idle) - 1; i >= 0; i-- {
		if c := h.idle[i]; now.Sub(c.answered) >= rest {
			p.unidle(c)
			return c
		}
	}
	return nil
}

// isQuiet reports whether a connection is as its last answer left it: neither ended nor with bytes that would be taken for the next
// answer. The latter are held against its address.
func (p *pool) isQuiet(c *conn) bool {
	state := c.look()
	if state == connSpoke {
		p.distrust(c, "on an idle connection")
	}
	return state == connQuiet
}

// distrust notes that more came on a connection than it was asked for.
func (p *pool) distrust(c *conn, when string) {
	now := time.Now()
	p.mu.Lock()
	known := now.Before(c.host.distrustUntil)
	c.host.distrustUntil = now.Add(distrustFor)
	p.mu.Unlock()
	if !known {
		slog.Warn("an endpoint sends more than one answer to a call: its connections rest longer between calls", "target", c.host.address, "came", when, "rest", p.longRest, "for", distrustFor)
	}
}

// put keeps a connection for the next call.
func (p *pool) put(c *conn) {
	if c.record = c.record[:0]; cap(c.record) > keepRecord {
		c.record = nil
	}
	c.answered = time.Now()
	p.giveBack(c, c.answered)
}

// giveBack keeps a connection on which nothing has been written since a time.
func (p *pool) giveBack(c *conn, since time.Time) {
	p.mu.Lock()
	if c.host.targets == 0 || p.released {
		p.mu.Unlock()
		p.close(c)
		return
	}
	c.since = since
	p.idle.push(c)
	c.host.idle = append(c.host.idle, c)
	if p.timer == nil {
		p.timer = time.AfterFunc(p.idleTime, p.expire)
	}
	p.mu.Unlock()
}

// expire closes what has been idle for too long.
func (p *pool) expire() {
	p.mu.Lock()
	now := time.Now()
	var old []*conn
	for c := p.idle.first; c != nil && now.Sub(c.since) >= p.idleTime; c = p.idle.first {
		p.unidle(c)
		old = append(old, c)
	}
	p.timer = nil
	if p.idle.first != nil {
		p.timer = time.AfterFunc(p.idle.first.since.Add(p.idleTime).Sub(now), p.expire)
	}
	p.mu.Unlock()
	for _, c := range old {
		p.close(c)
	}
}

// closeIdle closes the idle connections to an address.
func (p *pool) closeIdle(h *host) {
	p.mu.Lock()
	old := slices.Clone(h.idle)
	for _, c := range old {
		p.unidle(c)
	}
	p.mu.Unlock()
	for _, c := range old {
		p.close(c)
	}
}

func (p *pool) close(c *conn) {
	c.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// Read reads from the connection and keeps a record of it, up to the bound of an answer.
func (c *conn) Read(b []byte) (int, error) {
	left := maxAnswer - len(c.record)
	if left <= 0 {
		return 0, errSpoilt
	}
	if len(c.replay) > 0 {
		n := copy(b[:min(len(b), left)], c.replay)
		c.replay = c.replay[n:]
		c.record = append(c.record, b[:n]...)
		c.told.look(c.record)
		return n, nil
	}
	n, err := c.Conn.Read(b[:min(len(b), left)])
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if here := c.readHere(b[:min(len(b), left)]); here > 0 {
			n, err = here, nil
		}
	}
	c.stopped = errors.Is(err, os.ErrDeadlineExceeded) // what reads lines makes other errors of it
	c.record = append(c.record, b[:n]...)
	c.told.look(c.record)
	return n, err
}

// readHere reads what has come already, once a deadline is over. Where a process was stopped for a while, or waited for a core, the end of a
// call's time and its answer are both there when it goes on: the answer came in time, and says what has become of the message.
func (c *conn) readHere(b []byte) (n int) {
	if c.raw == nil || len(b) == 0 {
		return 0
	}
	c.raw.Control(func(fd uintptr) { n, _ = syscall.Read(int(fd), b) }) // it does not wait
	return n
}

// answer reads an answer whole, behind any 1xx, and tells when it began - or
// when there was no more to wait for. The body means nothing to us; its beginning is kept where a reply is asked for.
func (c *conn) answer(ctx context.Context, end time.Time, reply *engine.Reply) (resp *http.Response, began time.Time, err error) {
	var upgraded, limited bool
	for {
		if limited { // by what came before, a 1xx
			c.readUntil(ctx, end)
		}
		_, err := c.r.Peek(1)
		began = time.Now()
		if err != nil {
			return nil, began, err
		}
		if limited = !c.headIsHere(); limited { // else there is nothing to wait for
			limit := began.Add(answerTime)
			if end.Before(limit) {
				limit = end
			}
			c.readUntil(ctx, limit)
		}
		if resp, err = http.ReadResponse(c.r, nil); err != nil {
			return nil, began, err
		}
		if resp.StatusCode < 100 || resp.StatusCode > 199 {
			break
		}
		upgraded = upgraded || resp.StatusCode == http.StatusSwitchingProtocols
	}
	defer resp.Body.Close()
	if resp.ContentLength > maxAnswer {
		return nil, began, errSpoilt
	}
	var kept []byte
	if reply != nil {
		if kept, err = io.ReadAll(io.LimitReader(resp.Body, int64(reply.MaxBody))); err != nil {
			return nil, began, err
		}
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return nil, began, err
	}
	resp.Close = resp.Close || upgraded
	if reply != nil {
		reply.Status, reply.Header, reply.Body = resp.StatusCode, resp.Header, kept
	}
	return resp, began, nil
}

// headIsHere tells whether a whole head has been read into the buffer. A body that has not
// come with it is read until the end of the call at the latest.
func (c *conn) headIsHere() bool {
	text, _ := c.r.Peek(c.r.Buffered())
	return bytes.Contains(text, headEnd) && bytes.Contains(text, emptyBody)
}

var (
	headEnd   = []byte("\r\n\r\n")
	emptyBody = []byte("\r\nContent-Length: 0\r\n")
)

// readUntil bounds the reads to come by a time, and by the end of the call.
func (c *conn) readUntil(ctx context.Context, t time.Time) {
	c.SetReadDeadline(t)
	if ctx.Err() != nil {
		c.giveUp()
	}
}

// giveUp ends whatever is being read or written.
func (c *conn) giveUp() { c.SetDeadline(time.Unix(1, 0)) }

// calledOff is giveUp for the end of a call's context.
func (c *conn) calledOff() {
	c.giveUp()
	c.off.Store(true)
}

// keepDeadline returns once calledOff sets none any more, if it has begun. Whoever goes on with the connection sets its own.
func (c *conn) keepDeadline(stop func() bool) {
	for stopped := stop(); !stopped && !c.off.Load(); {
		runtime.Gosched()
	}
}

// connState is what an idle connection shows.
type connState int

const (
	connQuiet connState = iota
	connEnded
	connSpoke // bytes have come
)

// look shows what has come on an idle connection. It does not wait.
func (c *conn) look() connState {
	if c.raw == nil {
		return connEnded
	}
	var count int
	var readErr error
	err := c.raw.Control(func(fd uintptr) { count, readErr = syscall.Read(int(fd), c.spare[:]) })
	switch {
	case err == nil && readErr == syscall.EAGAIN:
		return connQuiet
	case err == nil && readErr == nil && count > 0:
		return connSpoke
	}
	return connEnded
}

// says200 tells whether the first line of an answer, behind any 1xx, says 200.
func says200(text []byte) bool {
	status, _ := firstLine(text)
	return status == "200"
}

// firstLine is the status that the first line of an answer says, behind any 1xx, and what follows that line; "" if there is none yet.
func firstLine(text []byte) (status string, rest []byte) {
	for {
		line, after, whole := bytes.Cut(text, []byte("\n"))
		fields := bytes.Fields(line)
		if !whole || len(fields) < 2 || !bytes.HasPrefix(fields[0], []byte("HTTP/1.")) || len(fields[1]) != 3 {
			return "", nil
		}
		if fields[1][0] != '1' {
			return string(fields[1]), after
		}
		_, rest, whole := bytes.Cut(text, []byte("\r\n\r\n"))
		if !whole {
			return "", nil
		}
		text = rest
	}
}
