// Package smtpcall is the back that delivers messages by SMTP (RFC 5321) and LMTP (RFC 2033). It tracks exactly how far a transaction has
// come: before the last byte of the final dot is written, the message can't have been delivered; after it, only a reply tells.
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
	"syscall"
	"time"

	"scaleroute/internal/back/registry"
	"scaleroute/internal/back/socket"
	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
)

// Config holds the settings of a Back.
type Config struct {
	Hostname       string        // of this host, sent in EHLO and LHLO
	MaxIdle        int           // idle connections kept, to all endpoints together
	IdleTimeout    time.Duration // after which an idle connection is not used any more
	ConnectTimeout time.Duration // for a connection to be established
}

// Back keeps connections to the listed mail endpoints and makes calls over them.
type Back struct {
	config    Config
	endpoints *registry.Registry[*endpoint]

	mu    sync.Mutex
	idle  []*conn     // to all endpoints, longest idle first
	timer *time.Timer // set while any connection is idle
}

// endpoint is a mail endpoint.
type endpoint struct {
	*registry.Incarnation
	back     *Back
	hostPort string
	lmtp     bool
	from, to string

	// The back's lock guards the rest.
	isReleased bool      // no idle connections are kept any more
	warnedAt   time.Time // when warnUnexpectedReply has logged last
}

var _ engine.Withholder = (*endpoint)(nil)

// conn is a connection to an endpoint on which the server has been greeted.
type conn struct {
	net.Conn
	probe      socket.Probe
	r          *bufio.Reader
	lastUsed   time.Time
	endpoint   *endpoint // that it was opened for
	pipelining bool      // the server offers PIPELINING (RFC 2920)
	maxSize    int64     // largest message that the server accepts (RFC 1870); 0: no limit announced
	offersSize bool      // the server offers SIZE
	onWritten  func()    // called once the message is written completely
	needsReset bool      // the last transaction failed: the next one begins with RSET, so that the outcome of the failed one does not wait for it
}

// New makes a Back without endpoints.
func New(c Config) *Back {
	b := &Back{config: c}
	b.endpoints = registry.New(engine.IsMail, b.newEndpoint)
	return b
}

// UpdateEndpoints applies an endpoint list or a delta from discovery. Endpoints of other backs are ignored.
func (b *Back) UpdateEndpoints(l engine.List) { b.endpoints.Update(l) }

func (b *Back) newEndpoint(i *registry.Incarnation) (*endpoint, error) {
	m, err := engine.ParseMailAddress(i.Address)
	if err != nil {
		return nil, err
	}
	return &endpoint{Incarnation: i, back: b, hostPort: m.HostPort, lmtp: m.LMTP, from: m.From, to: m.To}, nil
}

// Endpoint returns the endpoint of that name, or nil.
func (b *Back) Endpoint(name string) engine.Caller {
	if e, ok := b.endpoints.Named(name); ok {
		return e
	}
	return nil
}

// Listing returns the incarnation.
func (e *endpoint) Listing() *registry.Incarnation { return e.Incarnation }

// Release closes the idle connections, and those that become idle later.
func (e *endpoint) Release() {
	e.back.mu.Lock()
	e.isReleased = true
	e.back.mu.Unlock()
	e.CloseIdle()
}

// CloseIdle closes the idle connections to the endpoint, without a QUIT, whose reply it would have to wait for.
func (e *endpoint) CloseIdle() {
	e.back.mu.Lock()
	defer e.back.mu.Unlock()
	e.back.idle = slices.DeleteFunc(e.back.idle, func(c *conn) bool {
		if c.endpoint == e {
			c.Close()
		}
		return c.endpoint == e
	})
}

// hasReply reports whether bytes of a reply that no command explains have arrived. They can't be told from the reply to the next command. The
// connection can't be used any more then.
func (c *conn) hasReply() bool {
	return c.r.Buffered() > 0 || c.probe.State() == socket.HasData
}

// unexpectedReplyInterval is the least time between two log lines about unexpected replies of an endpoint.
const unexpectedReplyInterval = 10 * time.Minute

// warnUnexpectedReply logs that the server has sent a reply that no command explains.
func (e *endpoint) warnUnexpectedReply() {
	e.back.mu.Lock()
	defer e.back.mu.Unlock()
	if now := time.Now(); e.warnedAt.IsZero() || now.Sub(e.warnedAt) >= unexpectedReplyInterval {
		e.warnedAt = now
		slog.Warn("a mail server sends replies that no command explains, before the end of a message: the message is tried again; see whether something in front of the server repeats its replies",
			"target", e.Name, "address", e.hostPort, "not_logged_again_for", unexpectedReplyInterval)
	}
}

// takeReusable removes and returns an idle connection to the endpoint on which nothing has arrived since its last reply, or nil. Those that are closed, or
// have data such as a second copy of that reply, are dropped.
func (e *endpoint) takeReusable() *conn {
	for {
		c := e.takeIdle()
		if c == nil || c.r.Buffered() == 0 && c.probe.State() == socket.Quiet {
			return c
		}
		c.Close()
	}
}

// takeIdle removes and returns the endpoint's most recently used idle connection within the idle time-out, or nil.
func (e *endpoint) takeIdle() *conn {
	e.back.mu.Lock()
	defer e.back.mu.Unlock()
	b := e.back
	for i := len(b.idle) - 1; i >= 0; i-- {
		if c := b.idle[i]; c.endpoint == e && time.Since(c.lastUsed) < b.config.IdleTimeout {
			b.idle = slices.Delete(b.idle, i, i+1)
			return c
		}
	}
	return nil
}

// closeExpired closes the connections whose idle time-out is over, and sets the timer again while any connection is idle.
func (b *Back) closeExpired() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.idle) > 0 && time.Since(b.idle[0].lastUsed) >= b.config.IdleTimeout {
		b.idle[0].Close()
		b.idle = slices.Delete(b.idle, 0, 1)
	}
	b.timer = nil
	if len(b.idle) > 0 {
		b.timer = time.AfterFunc(b.config.IdleTimeout-time.Since(b.idle[0].lastUsed), b.closeExpired)
	}
}

// putIdle keeps a connection for the next call, or closes it if the endpoint is no longer listed.
func (e *endpoint) putIdle(c *conn) {
	e.back.mu.Lock()
	defer e.back.mu.Unlock()
	if e.isReleased {
		c.Close()
		return
	}
	c.lastUsed = time.Now()
	c.SetDeadline(time.Time{})
	b := e.back
	b.idle = append(b.idle, c)
	if len(b.idle) > b.config.MaxIdle { // the one idle longest is closed, whatever its endpoint
		b.idle[0].Close()
		b.idle = slices.Delete(b.idle, 0, 1)
	}
	if b.timer == nil {
		b.timer = time.AfterFunc(b.config.IdleTimeout, b.closeExpired)
	}
}

// failure is the reason why a transaction did not complete.
type failure struct {
	result    decide.Result
	unusable  bool // the connection can't be used any more
	retryable bool // an idle connection turned out unusable before the transaction began, which may be retried on another connection
	err       error
	refusal   registry.Refusal // why nothing of the message was written, though the connection was ready
}

func (f *failure) Error() string { return f.err.Error() }

// Call sends one message, once, and returns the outcome.
func (e *endpoint) Call(ctx context.Context, a engine.Attempt) (o decide.Outcome) {
	start := time.Now()
	defer func() { o.Latency = time.Since(start) }()
	body, err := a.Body.Load()
	if err != nil {
		slog.Error("a message body can't be read", "id", a.ID, "err", err)
		o.Result = decide.NotSent
		return o
	}
	deadline := start.Add(a.Timeout)
	mail := compose(&a, e.from, e.to, body, start)
	for {
		c := e.takeReusable()
		reused := c != nil
		var f *failure
		if !reused {
			if c, f = e.connect(ctx, &a, deadline); f != nil {
				e.ReportWithheld(&a, f.refusal)
				o.Result = f.result
				return o
			}
		}
		c.onWritten = a.OnWritten
		c.SetDeadline(deadline)
		stopClose := context.AfterFunc(ctx, func() { c.Close() })
		f = e.transact(c, mail, reused, &permission{ctx, &a, e.Incarnation, c.endpoint.Incarnation})
		notCancelled := stopClose()
		switch {
		case f == nil:
			o.Result, o.NoAnswerNeeded = decide.Succeeded, true
		case f.retryable && notCancelled && time.Now().Before(deadline):
			c.Close()
			continue
		default:
			o.Result, o.NoAnswerNeeded = f.result, f.result == decide.Succeeded
			if ctx.Err() != nil { // cancelled: a connection lost before the final dot is then no failure of the endpoint
				switch o.Result {
				case decide.ConnectFailed:
					o.Result = decide.NotSent
				case decide.Reset, decide.TimedOut:
					o.Result = decide.Cancelled
				}
			}
			e.ReportWithheld(&a, f.refusal)
			slog.Debug("mail was not delivered", "id", a.ID, "endpoint", e.hostPort, "err", f.err)
		}
		switch {
		case !notCancelled || f != nil && f.unusable:
			c.Close()
		default:
			c.needsReset = f != nil && f.refusal == registry.NotRefused
			e.putIdle(c)
		}
		return o
	}
}

// connect establishes a connection and greets the server, so that a transaction may begin.
func (e *endpoint) connect(ctx context.Context, a *engine.Attempt, deadline time.Time) (*conn, *failure) {
	limit := min(time.Until(deadline), e.back.config.ConnectTimeout)
	if a.ConnectTimeout > 0 {
		limit = min(limit, a.ConnectTimeout)
	}
	dialer := net.Dialer{Timeout: max(limit, time.Millisecond)}
	ctx, release := e.WhileCallable(ctx)
	defer release()
	raw, err := dialer.DialContext(ctx, "tcp", e.hostPort)
	if err != nil {
		result := decide.ConnectFailed
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || ctx.Err() != nil {
			result = decide.NotSent // a shortage of file descriptors here, a cancelled call or a withdrawn endpoint, and no failure of the endpoint
		}
		return nil, &failure{result: result, err: err, refusal: e.Refusal()}
	}
	c := &conn{Conn: raw, probe: socket.NewProbe(raw), endpoint: e, r: bufio.NewReaderSize(raw, maxLineBytes)}
	c.SetDeadline(deadline)
	stopClose := context.AfterFunc(ctx, func() { raw.Close() })
	f := e.greet(c)
	if !stopClose() && f == nil {
		f = &failure{result: decide.NotSent, err: ctx.Err()}
	}
	if f != nil {
		raw.Close()
		if ctx.Err() != nil {
			f.result, f.refusal = decide.NotSent, e.Refusal()
		}
		return nil, f
	}
	return c, nil
}

// greet reads the server's greeting, sends EHLO or LHLO and notes the extensions that the server offers.
func (e *endpoint) greet(c *conn) *failure {
	if _, f := c.expect(stageGreeting); f != nil {
		return f
	}
	hello := "EHLO"
	if e.lmtp {
		hello = "LHLO"
	}
	r, f := c.command(stageHello, "%s %s\r\n", hello, e.back.config.Hostname)
	if f != nil && r != nil && r.code/100 == 5 && r.code != 554 && !e.lmtp { // a server without EHLO (RFC 5321, section 3.2)
		_, f = c.command(stageHello, "HELO %s\r\n", e.back.config.Hostname)
		return f
	}
	if f != nil {
		return f
	}
	for _, line := range r.lines[1:] {
		switch keyword, rest, _ := strings.Cut(strings.ToUpper(line), " "); keyword {
		case "PIPELINING":
			c.pipelining = true
		case "SIZE":
			c.offersSize = true
			c.maxSize, _ = strconv.ParseInt(rest, 10, 64)
		}
	}
	return nil
}

// errWithheld is the error of a transaction that mayWrite does not permit.
var errWithheld = errors.New("the message may not be written any more")

// permission decides how far the transaction of an attempt may go.
type permission struct {
	ctx      context.Context
	attempt  *engine.Attempt
	endpoint *registry.Incarnation
	owner    *registry.Incarnation // of the connection
}

// mayBegin is asked right before the first byte of the transaction.
func (p *permission) mayBegin() registry.Refusal {
	return p.endpoint.MayWrite(p.ctx, p.attempt, p.owner)
}

// mayWriteMessage is asked right before the first byte of the message itself, which the server may deliver from then on. The journal has recorded that
// when mayWriteMessage returns.
func (p *permission) mayWriteMessage() registry.Refusal {
	if refusal := p.endpoint.RecordSending(p.ctx, p.attempt, p.owner); refusal != registry.NotRefused {
		return refusal
	}
	return p.mayBegin()
}

// transact runs the transaction of one message; nil means that the message is delivered.
func (e *endpoint) transact(c *conn, mail []byte, reused bool, permitted *permission) *failure {
	if c.maxSize > 0 && int64(len(mail)) > c.maxSize {
		return &failure{result: decide.Rejected, err: fmt.Errorf("the mail has %d bytes, but the server accepts %d", len(mail), c.maxSize)}
	}
	if c.needsReset {
		if _, f := c.command(stageMail, "RSET\r\n"); f != nil {
			return &failure{result: decide.ConnectFailed, unusable: true, retryable: true, err: f.err}
		}
		c.needsReset = false
	}
	if refusal := permitted.mayBegin(); refusal != registry.NotRefused {
		return &failure{result: decide.NotSent, err: errWithheld, refusal: refusal}
	}
	from := fmt.Sprintf("MAIL FROM:<%s>", e.from)
	if c.offersSize {
		from += fmt.Sprintf(" SIZE=%d", len(mail))
	}
	to := fmt.Sprintf("RCPT TO:<%s>\r\n", e.to)
	if c.pipelining {
		if _, err := fmt.Fprintf(c, "%s\r\n%s", from, to); err != nil {
			return &failure{result: decide.ConnectFailed, unusable: true, retryable: reused, err: err}
		}
		r, f := c.expect(stageMail)
		if f != nil {
			f.retryable = reused && (r == nil || r.code == 421)
			if r != nil && r.code != 421 {
				if _, err := readReply(c.r); err != nil { // the reply to RCPT
					f.unusable = true
				}
			}
			return f
		}
		if _, f := c.expect(stageRcpt); f != nil {
			return f
		}
	} else {
		if r, f := c.command(stageMail, "%s\r\n", from); f != nil {
			f.retryable = reused && (r == nil || r.code == 421)
			return f
		}
		if _, f := c.command(stageRcpt, "%s", to); f != nil {
			return f
		}
	}
	if _, f := c.command(stageData, "DATA\r\n"); f != nil {
		return f
	}
	if refusal := permitted.mayWriteMessage(); refusal != registry.NotRefused { // the server waits for the message, which only the end of the connection tells it of
		return &failure{result: decide.NotSent, unusable: true, err: errWithheld, refusal: refusal}
	}
	if _, err := c.Write(mail); err != nil {
		return &failure{result: decide.ConnectFailed, unusable: true, err: err}
	}
	if c.hasReply() { // it came too early, and can't be told from the reply to the message
		e.warnUnexpectedReply()
		return &failure{result: decide.ConnectFailed, unusable: true, err: fmt.Errorf("%w: sent before the end of the message", errInvalidReply)}
	}
	// The message is handed over only with the last byte of the final dot: a server that has not received that byte must not deliver it
	// (RFC 5321, section 4.1.1.4).
	if _, err := c.Write([]byte(".\r\n")); err != nil {
		return &failure{result: decide.ConnectFailed, unusable: true, err: err}
	}
	if c.onWritten != nil {
		c.onWritten()
	}
	r, err := readReply(c.r)
	var malformed *replyError
	switch {
	case err == nil:
		result, ok := classifyReply(stageDot, r.code)
		if ok {
			return nil
		}
		return &failure{result: result, unusable: r.code == 421 || result == decide.Errored, err: fmt.Errorf("%d %s", r.code, strings.Join(r.lines, " "))}
	case errors.As(err, &malformed) && malformed.firstCode/100 == 2: // the first line counts, whatever follows it
		return &failure{result: decide.Succeeded, unusable: true, err: err}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &failure{result: decide.TimedOut, unusable: true, err: err}
	case errors.Is(err, errInvalidReply) || errors.Is(err, bufio.ErrBufferFull) || c.r.Buffered() > 0:
		return &failure{result: decide.Errored, unusable: true, err: err}
	}
	return &failure{result: decide.Reset, unusable: true, err: err}
}

// command sends a command and reads its reply.
func (c *conn) command(s stage, format string, args ...any) (*reply, *failure) {
	if _, err := fmt.Fprintf(c, format, args...); err != nil {
		return nil, &failure{result: decide.ConnectFailed, unusable: true, err: err}
	}
	return c.expect(s)
}

// expect reads the reply due at a stage before the final dot. Without a valid reply, the call fails as one that never ran.
func (c *conn) expect(s stage) (*reply, *failure) {
	r, err := readReply(c.r)
	if err != nil {
		return nil, &failure{result: decide.ConnectFailed, unusable: true, err: err}
	}
	if result, ok := classifyReply(s, r.code); !ok {
		return r, &failure{result: result, unusable: r.code == 421 || s < stageMail || result == decide.ConnectFailed,
			err: fmt.Errorf("%d %s", r.code, strings.Join(r.lines, " "))}
	}
	return r, nil
}
