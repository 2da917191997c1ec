package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"scaleroute/internal/decide"
)

const (
	idleMargin = 2 * time.Second        // our idle time-out stays so far under the target's
	answerTime = 500 * time.Millisecond // an answer that has begun is whole by then
)

// Why a call ended without an answer.
var (
	errTimedOut  = errors.New("timed out")
	errCancelled = errors.New("called off")
	errSpoilt    = errors.New("an answer that can't be read")
)

// targets knows the addresses of the targets. It is owned by the loop; a
// *target may be used from any goroutine.
type targets struct {
	pool   *pool
	byName map[string]*target
}

// target is one address of a target.
type target struct {
	address string
	pool    *pool
	removed bool // guarded by the pool
}

func newTargets(c *Config) *targets {
	s := c.Settings
	return &targets{byName: map[string]*target{}, pool: &pool{
		most:     c.Limits.targets(),
		idleTime: max(s.ConnIdle-idleMargin, s.ConnIdle/2, time.Second),
		dialer:   net.Dialer{Timeout: s.ConnectLimit},
	}}
}

// list takes what discovery tells of addresses.
func (ts *targets) list(l *List) {
	named := map[string]bool{}
	for _, e := range l.Endpoints {
		named[e.Name] = true
		old := ts.byName[e.Name]
		switch {
		case e.Status == statusDeleted:
			ts.remove(e.Name)
		case old == nil || old.address != e.Address:
			ts.remove(e.Name)
			ts.byName[e.Name] = ts.open(e.Address)
		}
	}
	for name := range ts.byName {
		if l.Snapshot && !named[name] {
			ts.remove(name)
		}
	}
}

// remove forgets a target; calls that are out go on.
func (ts *targets) remove(name string) {
	if t := ts.byName[name]; t != nil {
		ts.pool.closeIdle(t, true)
		delete(ts.byName, name)
	}
}

func (ts *targets) open(address string) *target { return &target{address: address, pool: ts.pool} }

func (t *target) closeIdle() { t.pool.closeIdle(t, false) }

// call sends one message, once, and tells how that ended.
func (t *target) call(ctx context.Context, id string, body []byte, timeout time.Duration) (o decide.Outcome) {
	began := time.Now()
	ctx, free := context.WithTimeoutCause(ctx, timeout, errTimedOut)
	defer free()
	c, err := t.pool.get(ctx, t)
	if err != nil {
		o.Result, o.Took = decide.ConnectFailed, time.Since(began)
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			o.Result = decide.NotSent // our own want says nothing of the target
		}
		return o
	}
	stop := context.AfterFunc(ctx, c.giveUp)
	request := net.Buffers{fmt.Appendf(nil, "POST /events HTTP/1.1\r\nHost: %s\r\nUser-Agent: scaleroute\r\n"+
		"Req-Id: %s\r\nReq-Deadline: %.3f\r\nContent-Length: %d\r\n\r\n", t.address, id, timeout.Seconds(), len(body)), body}
	if _, err := request.WriteTo(c.Conn); err != nil { // before its last byte
		stop()
		t.pool.close(c)
		o.Result, o.Took = decide.ConnectFailed, time.Since(began)
		return o
	}
	resp, first, err := c.answer(ctx)
	o.Took = first.Sub(began)
	switch cause := context.Cause(ctx); {
	case err == nil:
		answered(&o, resp)
	case says200(c.record): // that is true, whatever follows
		o.Result, o.Over = decide.Done, true
	case len(c.record) > 0: // it may have run, whatever it seems to say
		o.Result = decide.Errored
		slog.Warn("a spoilt answer", "target", t.address, "begins", fmt.Sprintf("%.80q", c.record), "err", err)
	case errors.Is(cause, errTimedOut):
		o.Result = decide.TimedOut
	case cause != nil:
		o.Result = decide.Cancelled
	default:
		o.Result = decide.Reset
	}
	// More than the answer is no harm, but would be taken for the next one.
	if stop() && err == nil && !resp.Close && c.r.Buffered() == 0 {
		t.pool.put(c)
	} else {
		t.pool.close(c)
	}
	return o
}

// answered fills in what an answer says.
func answered(o *decide.Outcome, resp *http.Response) {
	o.Allowance = allowance(resp.Header.Get("Srv-Load"))
	switch resp.StatusCode {
	case http.StatusOK:
		o.Result, o.Over = decide.Done, true
	case http.StatusTooManyRequests:
		wait, err := strconv.ParseFloat(resp.Header.Get("X-RateLimit-Wait-Ms"), 64)
		if err != nil || !(wait >= 0 && wait <= 1e9) {
			o.Result = decide.Errored // no refusal that we know: it may have run
			return
		}
		o.Result, o.Wait = decide.Full, time.Duration(math.Ceil(wait))*time.Millisecond
	case http.StatusServiceUnavailable:
		o.Result = decide.Full
		if resp.Header.Get("X-Over-Slots") == "1" {
			o.Result, o.NoSlot = decide.NotSent, true
		}
	case http.StatusGatewayTimeout:
		o.Result = decide.NotSent
	case http.StatusGone:
		o.Result, o.Over = decide.NotSent, true
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
			a.Told, a.Left = true, v
		case "x1":
			a.Told, a.Rate = true, v
		}
	}
	return a
}

// neverRan tells whether an outcome proves that the attempt did not run.
func neverRan(r decide.Result) bool {
	return r == decide.Full || r == decide.ConnectFailed || r == decide.NotSent
}
