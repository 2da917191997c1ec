// Package httpcall is the back that delivers messages to endpoints by HTTP/1.1 calls.
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
	"syscall"
	"time"

	"scaleroute/internal/back/registry"
	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
)

const (
	idleMargin          = 2 * time.Second        // the idle time-out is shorter than the endpoint's by this much
	defaultIdleTimeout  = time.Second            // where the endpoint's idle time-out is not configured
	responseReadTimeout = 500 * time.Millisecond // limit for the rest of a response from its first byte on
)

var errResponseTooLarge = errors.New("the response is larger than 64 KiB")

// Back keeps connections to the listed endpoints and makes calls over them.
type Back struct {
	pool      *pool
	endpoints *registry.Registry[*endpoint]
}

// Config holds the limits and time-outs of a Back.
type Config struct {
	MaxConnections      int           // open at the same time, idle ones included
	EndpointIdleTimeout time.Duration // after which an endpoint closes an idle connection; 0: not known
	ConnectTimeout      time.Duration // for a connection to be established; 0: the time-out of its call alone
	// DialControl is called before each connect, and an error from it fails the connect. It may be nil.
	DialControl func(network, address string, c syscall.RawConn) error
}

// New makes a Back without endpoints.
func New(c Config) *Back {
	b := &Back{pool: &pool{
		maxConns:          c.MaxConnections,
		idleTimeout:       idleTimeoutFor(c.EndpointIdleTimeout),
		connectTimeout:    c.ConnectTimeout,
		dialControl:       c.DialControl,
		reuseDelay:        reuseDelay,
		suspectReuseDelay: suspectReuseDelay,
	}}
	isHTTP := func(address string) bool { return !engine.IsMail(address) }
	b.endpoints = registry.New(isHTTP, func(i *registry.Incarnation) (*endpoint, error) { return b.newEndpoint(i), nil })
	return b
}

// idleTimeoutFor returns how long an idle connection is kept, given the endpoint's own idle time-out. It is always shorter than that,
// so that no call is written to a connection that the endpoint is about to close.
func idleTimeoutFor(endpointTimeout time.Duration) time.Duration {
	if endpointTimeout <= 0 { // not configured
		return defaultIdleTimeout
	}
	return max(endpointTimeout-idleMargin, endpointTimeout/2)
}

// UpdateEndpoints applies an endpoint list or a delta from discovery. Endpoints of other backs are ignored.
func (b *Back) UpdateEndpoints(l engine.List) { b.endpoints.Update(l) }

// Endpoint returns the endpoint of that name, or nil.
func (b *Back) Endpoint(name string) engine.Caller {
	if e, ok := b.endpoints.Named(name); ok {
		return e
	}
	return nil
}

// CloseIdle closes the idle connections to the endpoint.
func (e *endpoint) CloseIdle() { e.pool.closeIdle(e) }

// HandsOver marks the endpoint as an [engine.Portable]: its calls in flight can be continued by another process.
func (e *endpoint) HandsOver() {}

// Call sends one message, once, and returns the outcome.
func (e *endpoint) Call(ctx context.Context, a engine.Attempt) (o decide.Outcome) {
	start, timeout := time.Now(), a.Timeout
	body, err := a.Body.Load()
	if err != nil {
		slog.Error("a message body can't be read", "id", a.ID, "err", err)
		if a.Connection != nil {
			a.Connection.Release()
		}
		o.Result = decide.NotSent
		return o
	}
	deadline := start.Add(timeout)
	c, err := e.connectionFor(ctx, &a)
	if err != nil {
		o.Result, o.Latency = e.connectResult(ctx, &a, err), time.Since(start)
		return o
	}
	connected := time.Now()
	refusal := e.RecordSending(ctx, &a, c.endpoint.Incarnation)
	recordingTime := time.Since(connected) // belongs to the time limit of the call, but not to the endpoint's latency
	start, timeout = start.Add(recordingTime), max(timeout-recordingTime, time.Millisecond)
	if refusal == registry.NotRefused && c.isReused() && !e.pool.isReusable(c) { // closed by the endpoint since the last check
		e.pool.close(c)
		o.Result = decide.NotSent
		return o
	}
	request := net.Buffers{e.requestHeader(&a, timeout, len(body)), body}
	if refusal == registry.NotRefused {
		refusal = e.MayWrite(ctx, &a, c.endpoint.Incarnation) // asked as late as possible
	}
	if refusal != registry.NotRefused {
		e.ReportWithheld(&a, refusal)
		c.Release() // nothing has been written to it
		o.Result = decide.NotSent
		return o
	}
	c.retryAfter = retryAfterParser{notify: a.OnRetryAfter}
	c.SetDeadline(deadline)
	stopAbort := context.AfterFunc(ctx, c.abortCall)
	if _, err := request.WriteTo(c.Conn); err != nil { // the request is incomplete, so it can't run
		stopAbort()
		e.pool.close(c)
		if o.Result, o.Latency = decide.ConnectFailed, time.Since(start); context.Cause(ctx) == engine.ErrHandOver {
			o.Result = decide.NotSent // the next process starts the call from scratch
		}
		return o
	}
	if a.OnWritten != nil {
		a.OnWritten()
	}
	e.awaitResponse(ctx, c, start, deadline, &a, stopAbort, &o)
	return o
}

// connectionFor returns the connection that is reserved for an attempt, or waits for one.
func (e *endpoint) connectionFor(ctx context.Context, a *engine.Attempt) (*conn, error) {
	if c, isReserved := a.Connection.(*conn); isReserved {
		return c, nil
	}
	timeout := a.Timeout
	if a.ConnectTimeout > 0 {
		timeout = min(timeout, a.ConnectTimeout)
	}
	return e.pool.get(ctx, e, timeout)
}

// connectResult returns the result of a call for which there was no connection.
func (e *endpoint) connectResult(ctx context.Context, a *engine.Attempt, err error) decide.Result {
	switch {
	case errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE): // a shortage of descriptors here, and no failure of the endpoint
		return decide.NotSent
	case context.Cause(ctx) == engine.ErrHandOver: // the next process starts the call from scratch
		return decide.NotSent
	}
	if refusal := e.Refusal(); refusal != registry.NotRefused {
		e.ReportWithheld(a, refusal)
		return decide.NotSent
	}
	return decide.ConnectFailed
}

// requestHeader returns the request line and header. It does without fmt, which takes more stack than a new goroutine has, above all
// for a number with decimals: growing the stack accounted for a tenth of the cost of a call.
func (e *endpoint) requestHeader(a *engine.Attempt, timeout time.Duration, size int) []byte {
	header := make([]byte, 0, 192+len(a.ID))
	header = append(append(header, "POST /events HTTP/1.1\r\nHost: "...), e.Address...)
	header = append(append(header, "\r\nUser-Agent: scaleroute\r\nReq-Id: "...), a.ID...)
	ms := timeout.Round(time.Millisecond).Milliseconds()
	header = strconv.AppendInt(append(header, "\r\nReq-Deadline: "...), ms/1000, 10)
	header = append(header, '.', byte('0'+ms/100%10), byte('0'+ms/10%10), byte('0'+ms%10))
	header = strconv.AppendInt(append(header, "\r\nContent-Length: "...), int64(size), 10)
	header = append(header, "\r\n"...)
	for _, f := range a.Header {
		header = append(append(append(append(header, f.Name...), ": "...), f.Value...), "\r\n"...)
	}
	return append(header, "\r\n"...)
}

// awaitResponse reads the response to a call whose request has been written completely.
func (e *endpoint) awaitResponse(ctx context.Context, c *conn, start, deadline time.Time, a *engine.Attempt, stopAbort func() bool, o *decide.Outcome) {
	resp, firstByte, err := c.readResponse(ctx, deadline, a.Reply)
	o.Latency = firstByte.Sub(start)
	if err != nil && a.HandOver != nil && context.Cause(ctx) == engine.ErrHandOver && c.timedOut && time.Now().Before(deadline) {
		c.settleAbort(stopAbort)
		e.pool.detach()
		a.HandOver(&engine.InFlightCall{Endpoint: e.EndpointIdentity, Conn: c.Conn, Read: c.received, Began: start, Deadline: deadline})
		return
	}
	switch {
	case err == nil:
		classifyResponse(o, resp)
	case hasStatus200(c.received): // the status line counts, whatever follows it
		o.Result, o.NoAnswerNeeded = decide.Succeeded, true
	case len(c.received) > 0: // the call may have run, whatever the malformed response seems to say
		o.Result, o.RetryAfter = decide.Errored, c.retryAfter.remaining() // a retry-after that was read still applies
		slog.Warn("malformed response", "target", e.Address, "begins", fmt.Sprintf("%.80q", c.received), "err", err)
	case ctx.Err() != nil:
		o.Result = decide.Cancelled
	case errors.Is(err, os.ErrDeadlineExceeded):
		o.Result = decide.TimedOut
	default:
		o.Result = decide.Reset
	}
	if stopAbort() && err == nil && !resp.Close && c.r.Buffered() == 0 {
		e.pool.put(c)
		return
	}
	if err == nil && c.r.Buffered() > 0 { // the extra bytes would be read as the response to the next call
		e.pool.markSuspect(c, "with the response")
	}
	e.pool.close(c)
}

// classifyResponse fills in the outcome from a response's status and header.
func classifyResponse(o *decide.Outcome, resp *http.Response) {
	o.Allowance = parseAllowance(resp.Header.Get("Srv-Load"))
	switch resp.StatusCode {
	case http.StatusOK:
		o.Result, o.NoAnswerNeeded = decide.Succeeded, true
	case http.StatusTooManyRequests:
		wait, ok := retryAfterOf(resp.Header)
		if !ok {
			o.Result = decide.Errored // a 429 without a valid wait is not in the protocol: the call may have run
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
	default: // 500, and any status that the protocol does not list: the call may have run
		o.Result = decide.Errored
	}
}

// parseAllowance reads a Srv-Load header. Pairs that are malformed or out of range are ignored.
func parseAllowance(text string) (a decide.Allowance) {
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
