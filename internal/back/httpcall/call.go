// Package httpcall is the back that delivers messages by HTTP/1.1 calls.
package httpcall

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
)

const (
	idleMargin  = 2 * time.Second        // our idle time-out stays so far under the target's
	unknownIdle = time.Second            // and is so long where that is not told
	answerTime  = 500 * time.Millisecond // an answer that has begun is whole by then
)

var errSpoilt = errors.New("an answer that can't be read")

// Back knows the addresses of the targets and keeps connections to them.
type Back struct {
	pool   *pool
	byName map[string]*target
}

// Config bounds what a Back holds.
type Config struct {
	MaxConnections      int           // at once, idle ones counted
	EndpointIdleTimeout time.Duration // a target closes a connection idle for so long
	ConnectTimeout      time.Duration // a connection not made by then has failed
	// DialControl is called before each connect, and may have it fail; nil: nothing is done.
	DialControl func(network, address string, c syscall.RawConn) error
}

// target is one address of a target.
type target struct {
	host    *host
	pool    *pool
	drained atomic.Bool // nothing new goes there, also what was decided before
}

// New makes a Back without targets.
func New(c Config) *Back {
	return &Back{byName: map[string]*target{}, pool: &pool{
		most:     c.MaxConnections,
		idleTime: idleTime(c.EndpointIdleTimeout),
		connect:  c.ConnectTimeout,
		control:  c.DialControl,
		rest:     repeatWindow,
		longRest: longRepeatWindow,
		hosts:    map[string]*host{},
	}}
}

// idleTime is how long a connection is kept idle to targets that close it after a time: always less than that, however short it is.
func idleTime(theirs time.Duration) time.Duration {
	if theirs <= 0 { // nobody tells
		return unknownIdle
	}
	return max(theirs-idleMargin, theirs/2)
}

// UpdateEndpoints takes what a source tells of addresses.
func (b *Back) UpdateEndpoints(l engine.List) {
	whole := l.Scope == decide.Snapshot || l.Scope == decide.LastKnown
	named := map[string]bool{}
	for _, e := range l.Endpoints {
		if whole {
			named[e.ID] = true
		}
		old := b.byName[e.ID]
		switch {
		case e.State == decide.Gone:
			b.remove(e.ID)
		case old == nil || old.host.address != e.Address:
			b.remove(e.ID)
			b.byName[e.ID] = b.open(e.Address)
		}
		if t := b.byName[e.ID]; t != nil {
			t.drained.Store(e.State != decide.Active)
		}
	}
	if !whole {
		return
	}
	for name := range b.byName {
		if !named[name] {
			b.remove(name)
		}
	}
}

// Endpoint finds a target by its name.
func (b *Back) Endpoint(name string) engine.Caller {
	if t := b.byName[name]; t != nil {
		return t
	}
	return nil
}

// remove forgets a target; calls that are out go on.
func (b *Back) remove(name string) {
	if t := b.byName[name]; t != nil {
		b.pool.leave(t.host)
		delete(b.byName, name)
	}
}

func (b *Back) open(address string) *target {
	return &target{host: b.pool.enter(address), pool: b.pool}
}

// CloseIdle closes the idle connections to the target.
func (t *target) CloseIdle() { t.pool.closeIdle(t.host) }

// HandsOver says that calls that are out can go on in another process.
func (t *target) HandsOver() {}

// Call sends one message, once, and tells how that ended.
func (t *target) Call(ctx context.Context, a engine.Attempt) (o decide.Outcome) {
	began, timeout := time.Now(), a.Timeout
	body, err := a.Body.Load()
	if err != nil {
		slog.Error("a body can't be read", "id", a.ID, "err", err)
		o.Result = decide.NotSent
		return o
	}
	end := began.Add(timeout)
	connect := timeout
	if a.ConnectTimeout > 0 {
		connect = min(connect, a.ConnectTimeout)
	}
	c, err := t.pool.get(ctx, t.host, connect)
	if err != nil {
		o.Result, o.Latency = decide.ConnectFailed, time.Since(began)
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || context.Cause(ctx) == engine.ErrHandOver {
			o.Result = decide.NotSent // that is our own, and says nothing of the target
		}
		return o
	}
	mayBegin := ctx.Err() == nil && (a.MayBegin == nil || a.MayBegin()) // as late as can be
	switch {
	case t.drained.Load(): // while it was being connected, or while Begin was asked: a process that was stopped there may know a newer list by now
		t.pool.close(c)
		o.Result = decide.NotSent
		return o
	case !mayBegin:
		t.pool.giveBack(c, c.since) // nothing was written to it: it is as good as it was
		o.Result = decide.NotSent
		return o
	}
	c.told = toldWait{tell: a.OnRetryAfter}
	c.SetDeadline(end)
	stop := context.AfterFunc(ctx, c.calledOff)
	request := net.Buffers{t.head(&a, timeout, len(body)), body}
	if _, err := request.WriteTo(c.Conn); err != nil { // before its last byte
		stop()
		t.pool.close(c)
		if o.Result, o.Latency = decide.ConnectFailed, time.Since(began); context.Cause(ctx) == engine.ErrHandOver {
			o.Result = decide.NotSent // it is begun anew by the next process
		}
		return o
	}
	if a.OnWritten != nil {
		a.OnWritten()
	}
	t.await(ctx, c, began, end, &a, stop, &o)
	return o
}

// head is that of a request. It is put together by hand: fmt, above all of a number with decimals, takes more stack than a call's goroutine
// begins with, and to have it grow cost a tenth of a call.
func (t *target) head(a *engine.Attempt, timeout time.Duration, size int) []byte {
	head := make([]byte, 0, 192+len(a.ID))
	head = append(append(head, "POST /events HTTP/1.1\r\nHost: "...), t.host.address...)
	head = append(append(head, "\r\nUser-Agent: scaleroute\r\nReq-Id: "...), a.ID...)
	ms := timeout.Round(time.Millisecond).Milliseconds()
	head = strconv.AppendInt(append(head, "\r\nReq-Deadline: "...), ms/1000, 10)
	head = append(head, '.', byte('0'+ms/100%10), byte('0'+ms/10%10), byte('0'+ms%10))
	head = strconv.AppendInt(append(head, "\r\nContent-Length: "...), int64(size), 10)
	head = append(head, "\r\n"...)
	for _, f := range a.Header {
		head = append(append(append(append(head, f.Name...), ": "...), f.Value...), "\r\n"...)
	}
	return append(head, "\r\n"...)
}

// await waits for the answer to a call that is written whole.
func (t *target) await(ctx context.Context, c *conn, began, end time.Time, a *engine.Attempt, stop func() bool, o *decide.Outcome) {
	resp, first, err := c.answer(ctx, end, a.Reply)
	o.Latency = first.Sub(began)
	if err != nil && a.HandOver != nil && context.Cause(ctx) == engine.ErrHandOver && c.stopped && time.Now().Before(end) {
		c.keepDeadline(stop)
		t.pool.release()
		a.HandOver(&engine.InFlightCall{Address: t.host.address, Conn: c.Conn, Read: c.record, Began: began, Deadline: end})
		return
	}
	switch {
	case err == nil:
		answered(o, resp)
	case says200(c.record): // that is true, whatever follows
		o.Result, o.NoAnswerNeeded = decide.Succeeded, true
	case len(c.record) > 0: // it may have run, whatever it seems to say
		o.Result, o.RetryAfter = decide.Errored, c.told.left() // but who was told to wait was told
		slog.Warn("a spoilt answer", "target", t.host.address, "begins", fmt.Sprintf("%.80q", c.record), "err", err)
	case ctx.Err() != nil:
		o.Result = decide.Cancelled
	case errors.Is(err, os.ErrDeadlineExceeded):
		o.Result = decide.TimedOut
	default:
		o.Result = decide.Reset
	}
	if stop() && err == nil && !resp.Close && c.r.Buffered() == 0 {
		t.pool.put(c)
		return
	}
	if err == nil && c.r.Buffered() > 0 { // it would be taken for the next answer
		t.pool.distrust(c, "with the answer")
	}
	t.pool.close(c)
}

// answered fills in what an answer says.
func answered(o *decide.Outcome, resp *http.Response) {
	o.Allowance = allowance(resp.Header.Get("Srv-Load"))
	switch resp.StatusCode {
	case http.StatusOK:
		o.Result, o.NoAnswerNeeded = decide.Succeeded, true
	case http.StatusTooManyRequests:
		wait, ok := waitIn(resp.Header)
		if !ok {
			o.Result = decide.Errored // no refusal that we know: it may have run
			return
		}
		o.Result, o.RetryAfter = decide.Overloaded, wait
	case http.StatusServiceUnavailable:
		o.Result = decide.Overloaded
		if resp.Header.Get("X-Over-Slots") == "1" {
			o.Result, o.NoSlot = decide.NotSent, true
		}
	case http.StatusGatewayTimeout:
		o.Result = decide.NotSent
	case http.StatusGone:
		o.Result, o.NoAnswerNeeded = decide.NotSent, true
	default: // 500, and what the protocol does not list: it may have run
		o.Result = decide.Errored
	}
}

// allowance reads a load report; one that can't be read says nothing.
func allowance(text string) (a decide.Allowance) {
	for _, pair := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0 && v <= 1e9) {
			continue
		}
		switch name {
		case "x0":
			a.Reported, a.Remaining = true, v
		case "x1":
			a.Reported, a.Rate = true, v
		}
	}
	return a
}
