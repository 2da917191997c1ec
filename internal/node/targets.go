package node

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"aspenshift"
)

const (
	idleMargin = 2 * time.Second        // our idle time-out stays so far under the target's
	drainTime  = 200 * time.Millisecond // for a body that means nothing
	drainBytes = 64 << 10
)

// Why the context of a call ended.
var (
	errTimedOut  = errors.New("timed out")
	errCancelled = errors.New("called off")
)

// targets keeps one transport for each target. It is owned by the loop; a
// *target may be used from any goroutine.
type targets struct {
	idle     int           // idle connections kept to one target
	idleTime time.Duration // and for how long
	connect  time.Duration
	byName   map[string]*target
}

// target is one address of a target.
type target struct {
	address   string
	transport *http.Transport
}

func newTargets(c *Config) *targets {
	s := c.Settings
	each := c.Limits.Sockets / 2 / max(32, len(c.Known.Endpoints))
	return &targets{
		idle:     max(2, min(s.Slots, each)),
		idleTime: max(s.ConnIdle-idleMargin, s.ConnIdle/2, time.Second),
		connect:  s.ConnectLimit,
		byName:   map[string]*target{},
	}
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
		t.transport.CloseIdleConnections()
		delete(ts.byName, name)
	}
}

func (ts *targets) open(address string) *target {
	d := net.Dialer{Timeout: ts.connect}
	return &target{address: address, transport: &http.Transport{
		DialContext:            d.DialContext,
		MaxIdleConns:           0,
		MaxIdleConnsPerHost:    ts.idle, // the default of 2 would cost a handshake for most calls
		IdleConnTimeout:        ts.idleTime,
		DisableCompression:     true,
		MaxResponseHeaderBytes: 32 << 10,
		WriteBufferSize:        8 << 10,
		ReadBufferSize:         4 << 10,
	}}
}

// call sends one message and tells how that ended. The transport is used
// directly, so there are no redirects; the body cannot be read twice, so the
// library never sends a message again by itself.
func (t *target) call(ctx context.Context, id string, body []byte, timeout time.Duration) (o aspenshift.Outcome) {
	began := time.Now()
	defer func() { o.Took = time.Since(began) }()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	timed, free := context.WithTimeoutCause(ctx, timeout, errTimedOut)
	defer free()

	var connected, written atomic.Bool
	traced := httptrace.WithClientTrace(timed, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
		WroteRequest: func(i httptrace.WroteRequestInfo) {
			if i.Err == nil {
				written.Store(true)
			}
		},
	})
	req := (&http.Request{
		Method: http.MethodPost,
		URL:    &url.URL{Scheme: "http", Host: t.address, Path: "/events"},
		Header: http.Header{
			"Req-Id":       {id},
			"Req-Deadline": {strconv.FormatFloat(timeout.Seconds(), 'f', 3, 64)},
			"User-Agent":   {"scaleroute"},
		},
		Body:          http.NoBody,
		ContentLength: int64(len(body)),
	}).WithContext(traced)
	if len(body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(body))
	}
	resp, err := t.transport.RoundTrip(req)
	if err != nil {
		o.Result = brokenCall(context.Cause(timed), connected.Load(), written.Load())
		return o
	}
	// Read to its end, the body lets the connection be used again.
	cut := time.AfterFunc(drainTime, stop)
	if _, err := io.CopyN(io.Discard, resp.Body, drainBytes); err != nil && !errors.Is(err, io.EOF) {
		slog.Debug("reading an answer", "target", t.address, "err", err)
	}
	cut.Stop()
	resp.Body.Close()
	answered(&o, resp)
	return o
}

// brokenCall tells how a call without an answer ended. When its own context has
// ended, the last bytes may just have been written without a word of it yet: the
// call is then certain not to have run only if it never had a connection.
func brokenCall(cause error, connected, written bool) aspenshift.Result {
	switch {
	case !connected:
		return aspenshift.ConnectFailed
	case errors.Is(cause, errTimedOut):
		return aspenshift.TimedOut
	case cause != nil:
		return aspenshift.Cancelled
	case !written:
		return aspenshift.ConnectFailed
	}
	return aspenshift.Reset
}

// answered fills in what an answer says.
func answered(o *aspenshift.Outcome, resp *http.Response) {
	o.Allowance = allowance(resp.Header.Get("Srv-Load"))
	switch resp.StatusCode {
	case http.StatusOK:
		o.Result, o.Over = aspenshift.Done, true
	case http.StatusTooManyRequests:
		wait, err := strconv.ParseFloat(resp.Header.Get("X-RateLimit-Wait-Ms"), 64)
		if err != nil || !(wait >= 0 && wait <= 1e9) {
			o.Result = aspenshift.Errored // no refusal that we know: it may have run
			return
		}
		o.Result, o.Wait = aspenshift.Full, time.Duration(math.Ceil(wait))*time.Millisecond
	case http.StatusServiceUnavailable:
		o.Result = aspenshift.Full
		if resp.Header.Get("X-Over-Slots") == "1" {
			o.Result, o.NoSlot = aspenshift.NotSent, true
		}
	case http.StatusGatewayTimeout:
		o.Result = aspenshift.NotSent
	case http.StatusGone:
		o.Result, o.Over = aspenshift.NotSent, true
	default: // 500, and what the protocol does not list: it may have run
		o.Result = aspenshift.Errored
	}
}

// allowance reads a load report; one that can't be read says nothing.
func allowance(text string) (a aspenshift.Allowance) {
	for _, pair := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
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
func neverRan(r aspenshift.Result) bool {
	return r == aspenshift.Full || r == aspenshift.ConnectFailed || r == aspenshift.NotSent
}
