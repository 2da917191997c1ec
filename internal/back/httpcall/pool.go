package httpcall

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	maxAnswer  = 64 << 10 // an answer that goes on longer is not read on
	keepRecord = 4 << 10
)

// pool keeps the connections to all targets. net/http's Transport is not used
// for them: it may give a connection to the next call before it looks whether
// more than the answer came, and takes a second copy of an answer for the answer
// to that call; and it says nothing of a first line behind which the head can't be
// read. The requests are small; the answers are still parsed by net/http.
type pool struct {
	most     int           // connections, idle ones counted
	idleTime time.Duration // one idle for so long is closed
	dialer   net.Dialer

	mu    sync.Mutex
	open  int
	idle  []*conn // longest idle first
	timer *time.Timer
}

// conn is a connection to a target. A call has it for itself.
type conn struct {
	net.Conn
	target *target
	r      *bufio.Reader
	record []byte // what has come since the call began
	since  time.Time
}

// get returns a connection: the one used last, if it is still good, or a new
// one. When there are too many, the one idle longest is closed, whosever it is.
func (p *pool) get(ctx context.Context, t *target) (*conn, error) {
	for c := p.take(t); c != nil; c = p.take(t) {
		if c.quiet() {
			return c, nil
		}
		p.close(c)
	}
	p.mu.Lock()
	p.open++
	var extra *conn
	if p.open > p.most && len(p.idle) > 0 {
		extra = p.idle[0]
		p.idle = slices.Delete(p.idle, 0, 1)
	}
	p.mu.Unlock()
	if extra != nil {
		p.close(extra)
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", t.address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	c := &conn{Conn: raw, target: t}
	c.r = bufio.NewReader(c)
	return c, nil
}

// take takes an idle connection to a target out of the pool.
func (p *pool) take(t *target) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; c.target == t {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

// put keeps a connection for the next call.
func (p *pool) put(c *conn) {
	if c.record = c.record[:0]; cap(c.record) > keepRecord {
		c.record = nil
	}
	p.mu.Lock()
	if c.target.removed {
		p.mu.Unlock()
		p.close(c)
		return
	}
	c.since = time.Now()
	p.idle = append(p.idle, c)
	if p.timer == nil {
		p.timer = time.AfterFunc(p.idleTime, p.expire)
	}
	p.mu.Unlock()
}

// expire closes what has been idle for too long.
func (p *pool) expire() {
	p.mu.Lock()
	now := time.Now()
	n := 0
	for n < len(p.idle) && now.Sub(p.idle[n].since) >= p.idleTime {
		n++
	}
	old := slices.Clone(p.idle[:n])
	p.idle = slices.Delete(p.idle, 0, n)
	p.timer = nil
	if len(p.idle) > 0 {
		p.timer = time.AfterFunc(p.idle[0].since.Add(p.idleTime).Sub(now), p.expire)
	}
	p.mu.Unlock()
	for _, c := range old {
		p.close(c)
	}
}

// closeIdle closes the idle connections to a target; none are kept any more if
// it is removed.
func (p *pool) closeIdle(t *target, removed bool) {
	p.mu.Lock()
	t.removed = t.removed || removed
	var old []*conn
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		if c.target == t {
			old = append(old, c)
		}
		return c.target == t
	})
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
	n, err := c.Conn.Read(b[:min(len(b), left)])
	c.record = append(c.record, b[:n]...)
	return n, err
}

// answer reads an answer whole, behind any 1xx, and tells when it began - or
// when there was no more to wait for. The body means nothing.
func (c *conn) answer(ctx context.Context) (resp *http.Response, began time.Time, err error) {
	var upgraded bool
	for {
		c.readUntil(ctx, time.Time{})
		_, err := c.r.Peek(1)
		began = time.Now()
		if err != nil {
			return nil, began, err
		}
		c.readUntil(ctx, began.Add(answerTime))
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
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return nil, began, err
	}
	resp.Close = resp.Close || upgraded
	c.readUntil(ctx, time.Time{})
	return resp, began, nil
}

// readUntil bounds the reads to come by a time, and by the end of the call.
func (c *conn) readUntil(ctx context.Context, t time.Time) {
	c.SetReadDeadline(t)
	if ctx.Err() != nil {
		c.giveUp()
	}
}

// giveUp ends whatever is being read or written.
func (c *conn) giveUp() { c.SetDeadline(time.Unix(1, 0)) }

// quiet tells whether nothing has come on an idle connection: neither its end
// nor bytes that would be taken for the next answer.
func (c *conn) quiet() bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	var readErr error
	err = raw.Read(func(fd uintptr) bool {
		_, readErr = syscall.Read(int(fd), make([]byte, 1))
		return true // whatever came, don't wait
	})
	return err == nil && readErr == syscall.EAGAIN
}

// says200 tells whether the first line of an answer, behind any 1xx, says 200.
func says200(text []byte) bool {
	for {
		line, _, whole := bytes.Cut(text, []byte("\n"))
		fields := bytes.Fields(line)
		if !whole || len(fields) < 2 || !bytes.HasPrefix(fields[0], []byte("HTTP/1.")) || len(fields[1]) != 3 {
			return false
		}
		if fields[1][0] != '1' {
			return string(fields[1]) == "200"
		}
		_, rest, whole := bytes.Cut(text, []byte("\r\n\r\n"))
		if !whole {
			return false
		}
		text = rest
	}
}
