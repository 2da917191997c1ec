// Package smtpcall is the back that delivers messages by SMTP (RFC 5321) and LMTP (RFC 2033). It knows to the byte how far a
// transaction came: up to the last byte of the final dot nothing has run; from there on only a reply says what did.
package smtpcall

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
)

// Config bounds what a Back holds.
type Config struct {
	Hostname       string        // of this host, as it says in EHLO
	MaxIdle        int           // connections kept idle, to all endpoints together
	IdleTimeout    time.Duration // one idle for so long is not used any more
	ConnectTimeout time.Duration // a connection not made by then has failed
}

// Back knows the addresses of the endpoints and keeps connections to them.
type Back struct {
	set    Config
	byName map[string]*target

	mu    sync.Mutex
	idle  []*conn     // of all targets, the one idle longest first
	timer *time.Timer // while any is
}

type target struct {
	back     *Back
	address  string // as listed
	host     string
	lmtp     bool
	from, to string

	gone    bool        // by the back's lock: it is not listed any more, and none is kept
	drained atomic.Bool // nothing new goes there, also what was decided before
}

type conn struct {
	net.Conn
	r        *bufio.Reader
	used     time.Time
	target   *target
	pipeline bool   // PIPELINING (RFC 2920)
	size     int64  // the largest message (RFC 1870); 0: not told
	sizes    bool   // SIZE is offered
	wrote    func() // counts a message written whole
	begun    bool   // a transaction was refused on it: RSET comes before the next, and holds no answer up
}

// New makes a Back without endpoints.
func New(c Config) *Back { return &Back{set: c, byName: map[string]*target{}} }

// UpdateEndpoints takes what a source tells of addresses; those for other backs are passed over.
func (b *Back) UpdateEndpoints(l engine.List) {
	whole := l.Scope == decide.Snapshot || l.Scope == decide.LastKnown
	named := map[string]bool{}
	for _, e := range l.Endpoints {
		old := b.byName[e.ID]
		ours := e.State != decide.Gone && engine.IsMail(e.Address)
		if ours && (old == nil || old.address != e.Address) {
			t, err := b.open(e.Address)
			if err != nil { // the file is checked: this is a source that errs
				slog.Error("an endpoint's address can't be read", "endpoint", e.ID, "err", err)
				ours = false
			} else {
				b.remove(e.ID)
				b.byName[e.ID] = t
			}
		}
		if !ours {
			b.remove(e.ID)
		}
		if t := b.byName[e.ID]; t != nil {
			t.drained.Store(e.State != decide.Active)
		}
		named[e.ID] = true
	}
	for name := range b.byName {
		if whole && !named[name] {
			b.remove(name)
		}
	}
}

func (b *Back) open(address string) (*target, error) {
	m, err := engine.ParseMailAddress(address)
	if err != nil {
		return nil, err
	}
	return &target{back: b, address: address, host: m.HostPort, lmtp: m.LMTP, from: m.From, to: m.To}, nil
}

// remove forgets an endpoint; calls that are out go on.
func (b *Back) remove(name string) {
	if t := b.byName[name]; t != nil {
		delete(b.byName, name)
		b.mu.Lock()
		t.gone = true
		b.mu.Unlock()
		t.CloseIdle()
	}
}

// Endpoint finds an endpoint by its name.
func (b *Back) Endpoint(name string) engine.Caller {
	if t := b.byName[name]; t != nil {
		return t
	}
	return nil
}

// CloseIdle closes the idle connections to the endpoint. It waits for nothing: no QUIT is answered.
func (t *target) CloseIdle() {
	t.back.mu.Lock()
	defer t.back.mu.Unlock()
	t.back.idle = slices.DeleteFunc(t.back.idle, func(c *conn) bool {
		if c.target == t {
			c.Close()
		}
		return c.target == t
	})
}

// take returns an idle connection that is young enough, or nil.
func (t *target) take() *conn {
	t.back.mu.Lock()
	defer t.back.mu.Unlock()
	b := t.back
	for i := len(b.idle) - 1; i >= 0; i-- {
		if c := b.idle[i]; c.target == t && time.Since(c.used) < b.set.IdleTimeout {
			b.idle = slices.Delete(b.idle, i, i+1)
			return c
		}
	}
	return nil
}

// expire closes the connections that have been idle for too long, and comes again while any is left.
func (b *Back) expire() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.idle) > 0 && time.Since(b.idle[0].used) >= b.set.IdleTimeout {
		b.idle[0].Close()
		b.idle = slices.Delete(b.idle, 0, 1)
	}
	b.timer = nil
	if len(b.idle) > 0 {
		b.timer = time.AfterFunc(b.set.IdleTimeout-time.Since(b.idle[0].used), b.expire)
	}
}

func (t *target) keep(c *conn) {
	t.back.mu.Lock()
	defer t.back.mu.Unlock()
	if t.gone {
		c.Close()
		return
	}
	c.used, c.target = time.Now(), t
	c.SetDeadline(time.Time{})
	b := t.back
	b.idle = append(b.idle, c)
	if len(b.idle) > b.set.MaxIdle { // the one idle longest makes room, whoever's it is
		b.idle[0].Close()
		b.idle = slices.Delete(b.idle, 0, 1)
	}
	if b.timer == nil {
		b.timer = time.AfterFunc(b.set.IdleTimeout, b.expire)
	}
}

// failure is why a transaction did not come to its end.
type failure struct {
	result decide.Result
	closed bool // the connection is of no use any more
	stale  bool // it was an idle one, and nothing was answered on it: a new one may do
	err    error
}

func (f *failure) Error() string { return f.err.Error() }

// Call sends one message, once, and tells how that ended.
func (t *target) Call(ctx context.Context, a engine.Attempt) (o decide.Outcome) {
	began := time.Now()
	defer func() { o.Latency = time.Since(began) }()
	body, err := a.Body.Load()
	if err != nil {
		slog.Error("a body can't be read", "id", a.ID, "err", err)
		o.Result = decide.NotSent
		return o
	}
	end := began.Add(a.Timeout)
	text := compose(&a, t.from, t.to, body, began)
	for {
		c := t.take()
		reused := c != nil
		var f *failure
		if !reused {
			if c, f = t.connect(ctx, &a, end); f != nil {
				o.Result = f.result
				return o
			}
		}
		if ctx.Err() != nil || a.MayBegin != nil && !a.MayBegin() {
			c.Close()
			o.Result = decide.NotSent
			return o
		}
		if t.drained.Load() { // since it was decided: nothing has been said of the message
			t.keep(c)
			o.Result = decide.NotSent
			return o
		}
		c.wrote = a.OnWritten
		c.SetDeadline(end)
		stop := context.AfterFunc(ctx, func() { c.Close() })
		f = t.transact(c, text, reused)
		alive := stop()
		switch {
		case f == nil:
			o.Result, o.NoAnswerNeeded = decide.Succeeded, true
		case f.stale && alive && time.Now().Before(end):
			c.Close()
			continue
		default:
			o.Result, o.NoAnswerNeeded = f.result, f.result == decide.Succeeded
			if ctx.Err() != nil { // called off: before the dot that is no failure of the endpoint
				switch o.Result {
				case decide.ConnectFailed:
					o.Result = decide.NotSent
				case decide.Reset, decide.TimedOut:
					o.Result = decide.Cancelled
				}
			}
			slog.Debug("not delivered by mail", "id", a.ID, "endpoint", t.host, "err", f.err)
		}
		switch {
		case !alive || f != nil && f.closed:
			c.Close()
		default:
			c.begun = f != nil
			t.keep(c)
		}
		return o
	}
}

// connect makes a connection on which a transaction may begin.
func (t *target) connect(ctx context.Context, a *engine.Attempt, end time.Time) (*conn, *failure) {
	limit := min(time.Until(end), t.back.set.ConnectTimeout)
	if a.ConnectTimeout > 0 {
		limit = min(limit, a.ConnectTimeout)
	}
	dialer := net.Dialer{Timeout: max(limit, time.Millisecond)}
	raw, err := dialer.DialContext(ctx, "tcp", t.host)
	if err != nil {
		result := decide.ConnectFailed
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || ctx.Err() != nil {
			result = decide.NotSent // our own want says nothing of the endpoint
		}
		return nil, &failure{result: result, err: err}
	}
	c := &conn{Conn: raw, r: bufio.NewReaderSize(raw, mostLine)}
	c.SetDeadline(end)
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	f := t.greet(c)
	if !stop() && f == nil {
		f = &failure{result: decide.NotSent, err: ctx.Err()}
	}
	if f != nil {
		raw.Close()
		if ctx.Err() != nil {
			f.result = decide.NotSent
		}
		return nil, f
	}
	return c, nil
}

// greet takes the greeting and introduces us.
func (t *target) greet(c *conn) *failure {
	if _, f := c.expect(greeting); f != nil {
		return f
	}
	word := "EHLO"
	if t.lmtp {
		word = "LHLO"
	}
	p, f := c.say(hello, "%s %s\r\n", word, t.back.set.Hostname)
	if f != nil && p != nil && p.code/100 == 5 && p.code != 554 && !t.lmtp { // an old server (RFC 5321, section 3.2)
		_, f = c.say(hello, "HELO %s\r\n", t.back.set.Hostname)
		return f
	}
	if f != nil {
		return f
	}
	for _, line := range p.lines[1:] {
		switch word, rest, _ := strings.Cut(strings.ToUpper(line), " "); word {
		case "PIPELINING":
			c.pipeline = true
		case "SIZE":
			c.sizes = true
			c.size, _ = strconv.ParseInt(rest, 10, 64)
		}
	}
	return nil
}

// transact hands one message over.
func (t *target) transact(c *conn, text []byte, reused bool) *failure {
	if c.size > 0 && int64(len(text)) > c.size {
		return &failure{result: decide.Rejected, err: fmt.Errorf("%d bytes, and the server takes %d", len(text), c.size)}
	}
	if c.begun {
		if _, f := c.say(mail, "RSET\r\n"); f != nil {
			return &failure{result: decide.ConnectFailed, closed: true, stale: true, err: f.err}
		}
		c.begun = false
	}
	from := fmt.Sprintf("MAIL FROM:<%s>", t.from)
	if c.sizes {
		from += fmt.Sprintf(" SIZE=%d", len(text))
	}
	to := fmt.Sprintf("RCPT TO:<%s>\r\n", t.to)
	if c.pipeline {
		if _, err := fmt.Fprintf(c, "%s\r\n%s", from, to); err != nil {
			return &failure{decide.ConnectFailed, true, reused, err}
		}
		p, f := c.expect(mail)
		if f != nil {
			f.stale = reused && (p == nil || p.code == 421)
			if p != nil && p.code != 421 {
				if _, err := readReply(c.r); err != nil { // of RCPT
					f.closed = true
				}
			}
			return f
		}
		if _, f := c.expect(rcpt); f != nil {
			return f
		}
	} else {
		if p, f := c.say(mail, "%s\r\n", from); f != nil {
			f.stale = reused && (p == nil || p.code == 421)
			return f
		}
		if _, f := c.say(rcpt, "%s", to); f != nil {
			return f
		}
	}
	if _, f := c.say(data, "DATA\r\n"); f != nil {
		return f
	}
	if _, err := c.Write(text); err != nil {
		return &failure{result: decide.ConnectFailed, closed: true, err: err}
	}
	if c.r.Buffered() > 0 { // it speaks before its turn: no reply to what comes now could be told from that
		return &failure{result: decide.ConnectFailed, closed: true, err: fmt.Errorf("%w: said before the end of the message", errNoReply)}
	}
	// Only with its last byte is the message handed over; a server that does not get it must not deliver (RFC 5321, section 4.1.1.4).
	if _, err := c.Write([]byte(".\r\n")); err != nil {
		return &failure{result: decide.ConnectFailed, closed: true, err: err}
	}
	if c.wrote != nil {
		c.wrote()
	}
	p, err := readReply(c.r)
	var spoilt *replyError
	switch {
	case err == nil:
		result, ok := meaning(dot, p.code)
		if ok {
			return nil
		}
		return &failure{result: result, closed: p.code == 421 || result == decide.Errored, err: fmt.Errorf("%d %s", p.code, strings.Join(p.lines, " "))}
	case errors.As(err, &spoilt) && spoilt.first/100 == 2: // that is true, whatever follows
		return &failure{result: decide.Succeeded, closed: true, err: err}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &failure{result: decide.TimedOut, closed: true, err: err}
	case errors.Is(err, errNoReply) || errors.Is(err, bufio.ErrBufferFull) || c.r.Buffered() > 0:
		return &failure{result: decide.Errored, closed: true, err: err}
	}
	return &failure{result: decide.Reset, closed: true, err: err}
}

// say sends a command and takes its reply.
func (c *conn) say(s stage, format string, args ...any) (*reply, *failure) {
	if _, err := fmt.Fprintf(c, format, args...); err != nil {
		return nil, &failure{result: decide.ConnectFailed, closed: true, err: err}
	}
	return c.expect(s)
}

// expect takes a reply before the message: without one nothing has run.
func (c *conn) expect(s stage) (*reply, *failure) {
	p, err := readReply(c.r)
	if err != nil {
		return nil, &failure{result: decide.ConnectFailed, closed: true, err: err}
	}
	if result, ok := meaning(s, p.code); !ok {
		return p, &failure{result: result, closed: p.code == 421 || s < mail || result == decide.ConnectFailed,
			err: fmt.Errorf("%d %s", p.code, strings.Join(p.lines, " "))}
	}
	return p, nil
}
