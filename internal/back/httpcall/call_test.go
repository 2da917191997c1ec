package httpcall

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"scaleroute/internal/back/registry"
	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
	"scaleroute/internal/message"
)

// newTestBack returns a Back whose connections are reused without delay.
func newTestBack() *Back {
	b := newDefaultBack()
	b.pool.reuseDelay, b.pool.suspectReuseDelay = 0, 0
	return b
}

// endpointAt returns an endpoint at an address that no list names.
func (b *Back) endpointAt(address string) *endpoint {
	return b.newEndpoint(registry.NewIncarnation(engine.EndpointIdentity{Address: address}))
}

// newDefaultBack returns a Back with the delays that the program uses.
func newDefaultBack() *Back {
	return New(Config{MaxConnections: 600, EndpointIdleTimeout: time.Minute, ConnectTimeout: time.Minute})
}

// startEndpoint starts an endpoint that responds to each call with what serve returns, or closes the connection if that is "".
// conns counts its connections.
func startEndpoint(t *testing.T, serve func(*http.Request, string) string) (address string, conns *atomic.Int32) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	conns = &atomic.Int32{}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go func() {
				defer conn.Close()
				for r := bufio.NewReader(conn); ; {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					body, err := io.ReadAll(req.Body)
					if err != nil {
						return
					}
					response := serve(req, string(body))
					if response == "" {
						return
					}
					io.WriteString(conn, response)
				}
			}()
		}
	}()
	return ln.Addr().String(), conns
}

// TestResponseOutcomes checks the outcome of each response in the protocol's table, and that the connection is reused.
func TestResponseOutcomes(t *testing.T) {
	allowance := decide.Allowance{Reported: true, Remaining: 0.4, Rate: 25}
	for _, c := range []struct {
		name, response string
		want           decide.Outcome
		neverRan       bool
	}{
		{"200", "200 OK\r\nSrv-Load: x0=0.4,x1=25", decide.Outcome{Result: decide.Succeeded, NoAnswerNeeded: true, Allowance: allowance}, false},
		{"500", "500 No\r\nSrv-Load: x0=0.4, x1=25", decide.Outcome{Result: decide.Errored, Allowance: allowance}, false},
		{"429", "429 No\r\nX-RateLimit-Wait-Ms: 700", decide.Outcome{Result: decide.Overloaded, RetryAfter: 700 * time.Millisecond}, true},
		{"429 fraction", "429 No\r\nX-RateLimit-Wait-Ms: 0.2", decide.Outcome{Result: decide.Overloaded, RetryAfter: time.Millisecond}, true},
		{"429 without retry-after", "429 No", decide.Outcome{Result: decide.Errored}, false},
		{"503", "503 No\r\nSrv-Load: x0=NaN,x9=1", decide.Outcome{Result: decide.Overloaded}, true},
		{"503 no slot", "503 No\r\nX-Over-Slots: 1", decide.Outcome{Result: decide.NotSent, NoSlot: true}, true},
		{"504", "504 No", decide.Outcome{Result: decide.NotSent}, true},
		{"410", "410 No", decide.Outcome{Result: decide.NotSent, NoAnswerNeeded: true}, true},
		{"redirect", "302 Found\r\nLocation: /elsewhere", decide.Outcome{Result: decide.Errored}, false},
		{"unlisted", "202 Accepted", decide.Outcome{Result: decide.Errored}, false},
		{"garbage", "", decide.Outcome{Result: decide.Errored}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			address, conns := startEndpoint(t, func(r *http.Request, body string) string {
				if r.Method != "POST" || r.RequestURI != "/events" || r.Header.Get("Req-Id") != "m1" ||
					r.Header.Get("Req-Deadline") != "60.000" || body != "two\r\nlines" || r.ContentLength != 10 {
					t.Errorf("request %v with body %q", r, body)
				}
				if c.response == "" {
					return "what is this\r\n\r\n"
				}
				return "HTTP/1.1 " + c.response + "\r\nContent-Length: 2\r\n\r\nok"
			})
			ep := newTestBack().endpointAt(address)
			for range 3 {
				o := ep.Call(t.Context(), engine.Attempt{ID: "m1", Body: message.Bytes("two\r\nlines"), Timeout: time.Minute})
				if o.Latency <= 0 {
					t.Errorf("latency %v", o.Latency)
				}
				o.Latency = 0
				if o != c.want {
					t.Errorf("got %+v, want %+v", o, c.want)
				}
			}
			if n := conns.Load(); n != 1 && c.response != "" {
				t.Errorf("%d connections for three calls, want 1", n) // each new connection costs a handshake
			}
		})
	}
}

// TestFailedCalls checks that the outcome distinguishes calls that never ran from those that may have run. A call must not be
// retried transparently.
func TestFailedCalls(t *testing.T) {
	var calls atomic.Int32
	release := make(chan bool)
	t.Cleanup(func() { close(release) })
	arrived := make(chan bool, 1)
	silent, _ := startEndpoint(t, func(*http.Request, string) string {
		arrived <- true
		<-release
		return ""
	})
	closes, _ := startEndpoint(t, func(*http.Request, string) string {
		calls.Add(1)
		return ""
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusing := ln.Addr().String()
	ln.Close()

	back := newTestBack()
	if o := back.endpointAt(refusing).Call(t.Context(), engine.Attempt{ID: "m", Body: message.Bytes("x"), Timeout: time.Minute}); o.Result != decide.ConnectFailed {
		t.Errorf("refused: %+v", o)
	}
	if o := back.endpointAt(closes).Call(t.Context(), engine.Attempt{ID: "m", Body: message.Bytes("x"), Timeout: time.Minute}); o.Result != decide.Reset || calls.Load() != 1 {
		t.Errorf("connection closed after the request: %+v, %d calls", o, calls.Load())
	}
	if o := back.endpointAt(silent).Call(t.Context(), engine.Attempt{ID: "m", Body: message.Bytes(nil), Timeout: 50 * time.Millisecond}); o.Result != decide.TimedOut {
		t.Errorf("no response: %+v", o)
	}
	<-arrived
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	if o := back.endpointAt(silent).Call(ctx, engine.Attempt{ID: "m", Body: message.Bytes(nil), Timeout: time.Minute}); o.Result != decide.Cancelled {
		t.Errorf("cancelled: %+v", o)
	}
}

// TestReusedConnectionClosed guards against a transparent retry: an endpoint that closes a reused connection after reading the next
// call has received that call, and must not receive it twice.
func TestReusedConnectionClosed(t *testing.T) {
	var mu sync.Mutex
	var seen []string
	address, conns := startEndpoint(t, func(r *http.Request, _ string) string {
		mu.Lock()
		defer mu.Unlock()
		seen = append(seen, r.Header.Get("Req-Id"))
		if len(seen) == 2 {
			return ""
		}
		return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	})
	ep := newTestBack().endpointAt(address)
	for _, body := range []string{"x", ""} {
		mu.Lock()
		seen = nil
		mu.Unlock()
		first := ep.Call(t.Context(), engine.Attempt{ID: "first", Body: message.Bytes(body), Timeout: time.Minute})
		second := ep.Call(t.Context(), engine.Attempt{ID: "second", Body: message.Bytes(body), Timeout: time.Minute})
		if first.Result != decide.Succeeded || second.Result != decide.Reset {
			t.Errorf("%+v, %+v", first, second)
		}
		mu.Lock()
		if got := strings.Join(seen, ","); got != "first,second" {
			t.Errorf("the endpoint received %s", got)
		}
		mu.Unlock()
	}
	if n := conns.Load(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

// TestMalformedResponses checks that a call with a malformed response counts as one that may have run, whatever the response seems to
// say, unless its status line says 200. A valid response counts, whatever follows it. A connection that received more or less than
// a response is not reused.
func TestMalformedResponses(t *testing.T) {
	const response200, end = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "\r\nContent-Length: 2\r\n\r\nok"
	const response503 = "HTTP/1.1 503 No" + end
	endless := strings.Repeat("X-More: 0123456789\r\n", maxResponseBytes/10)
	succeeded := decide.Outcome{Result: decide.Succeeded, NoAnswerNeeded: true}
	overloaded := decide.Outcome{Result: decide.Overloaded}
	mayHaveRun := decide.Outcome{Result: decide.Errored}
	for _, c := range []struct {
		name, response string
		want           decide.Outcome
		reused         bool
	}{
		{"noise", "\x07\xfb&\xa2p\r\n\r\n", mayHaveRun, false},
		{"noise without a line end", "\x07\xfb&\xa2p", mayHaveRun, false},
		{"half a status line", "HTTP/1.1 20", mayHaveRun, false},
		{"200, malformed header", "HTTP/1.1 200 OK\r\n\x00\x01\r\n\r\n", succeeded, false},
		{"200, incomplete header", "HTTP/1.1 200 OK\r\nContent-Le", succeeded, false},
		{"200, endless header", "HTTP/1.1 200 OK\r\n" + endless, succeeded, false},
		{"200, short body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", succeeded, false},
		{"200, bad length", "HTTP/1.1 200 OK\r\nContent-Length: -9\r\n\r\nok", succeeded, false},
		{"200, 3 GB", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + endless, succeeded, false},
		{"503, incomplete header", "HTTP/1.1 503 No\r\nContent-Le", mayHaveRun, false},
		{"503, endless header", "HTTP/1.1 503 No\r\n" + endless, mayHaveRun, false},
		{"503, short body", "HTTP/1.1 503 No\r\nContent-Length: 9\r\n\r\nok", mayHaveRun, false},
		{"503, 3 GB", "HTTP/1.1 503 No\r\nContent-Length: 3000000000\r\n\r\n" + endless, mayHaveRun, false},
		{"429, short body", "HTTP/1.1 429 No\r\nX-RateLimit-Wait-Ms: 9\r\nContent-Length: 9\r\n\r\nok", mayHaveRun, false},
		{"504, short body", "HTTP/1.1 504 No\r\nContent-Length: 9\r\n\r\nok", mayHaveRun, false},
		{"410, two lengths", "HTTP/1.1 410 No\r\nContent-Length: 9\r\nContent-Length: 2\r\n\r\nok", mayHaveRun, false},
		{"410, bad chunks", "HTTP/1.1 410 No\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", mayHaveRun, false},
		{"duplicate response", response200 + response200, succeeded, false},
		{"one extra byte", response503 + "x", overloaded, false},
		{"malformed Srv-Load", "HTTP/1.1 503 No\r\nSrv-Load: x0=}{,x1=-1e400,=,x0" + end, overloaded, true},
		{"1xx first", "HTTP/1.1 100 Continue\r\n\r\n" + response503, overloaded, true},
		{"many 1xx", strings.Repeat("HTTP/1.1 103 Early\r\nA: b\r\n\r\n", 100) + response503, overloaded, true},
		{"101", "HTTP/1.1 101 Go\r\n\r\n" + response503, overloaded, false},
		{"1xx, malformed 200", "HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n:\r\n\r\n", succeeded, false},
		{"Connection: close", "HTTP/1.1 503 No\r\nConnection: close" + end, overloaded, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			address, conns := startEndpoint(t, func(r *http.Request, _ string) string {
				if r.Header.Get("Req-Id") == "next" {
					return "HTTP/1.1 504 No\r\nContent-Length: 0\r\n\r\n"
				}
				return c.response
			})
			ep := newTestBack().endpointAt(address)
			o := ep.Call(t.Context(), engine.Attempt{ID: "m", Body: message.Bytes("x"), Timeout: time.Minute})
			o.Latency = 0
			if o != c.want {
				t.Errorf("got %+v, want %+v", o, c.want)
			}
			if o := ep.Call(t.Context(), engine.Attempt{ID: "next", Body: message.Bytes("x"), Timeout: time.Minute}); o.Result != decide.NotSent {
				t.Errorf("the next call: %+v", o)
			}
			if reused := conns.Load() == 1; reused != c.reused {
				t.Errorf("connection reused: %v", reused)
			}
		})
	}
}

// TestExtraDataOnIdleConnection guards against reading data that arrives on an idle connection as the response to the next call.
func TestExtraDataOnIdleConnection(t *testing.T) {
	more, sent := make(chan bool), make(chan bool)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			req, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				return
			}
			if req.Header.Get("Req-Id") == "next" {
				io.WriteString(conn, "HTTP/1.1 504 No\r\nContent-Length: 0\r\n\r\n")
				continue
			}
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			<-more
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			sent <- true
		}
	}()
	ep := newTestBack().endpointAt(ln.Addr().String())
	if o := ep.Call(t.Context(), engine.Attempt{ID: "m", Body: message.Bytes(nil), Timeout: time.Minute}); o.Result != decide.Succeeded {
		t.Fatalf("%+v", o)
	}
	more <- true
	<-sent // on loopback, written data has arrived
	if o := ep.Call(t.Context(), engine.Attempt{ID: "next", Body: message.Bytes(nil), Timeout: time.Minute}); o.Result != decide.NotSent {
		t.Errorf("the next call: %+v", o)
	}
}

// TestConnectionLimit checks that at the limit a new connection displaces the one that has been idle longest, of any endpoint, and that
// no idle connection outlives its endpoint or its idle time-out.
func TestConnectionLimit(t *testing.T) {
	back := newTestBack()
	back.pool.maxConns = 2
	var list []*endpoint
	for range 3 {
		address, _ := startEndpoint(t, func(*http.Request, string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" })
		list = append(list, back.endpointAt(address))
	}
	idle := func() string {
		back.pool.mu.Lock()
		defer back.pool.mu.Unlock()
		var b strings.Builder
		n := 0
		for c := back.pool.idle.first; c != nil; c = c.next {
			b.WriteByte('a' + byte(slices.IndexFunc(list, func(t *endpoint) bool { return t == c.endpoint })))
			n++
		}
		if back.pool.openConns != n {
			t.Errorf("%d open, %d idle", back.pool.openConns, n)
		}
		return b.String()
	}
	for _, step := range []struct {
		call int
		want string
	}{{0, "a"}, {1, "ab"}, {0, "ba"}, {2, "ac"}, {0, "ca"}} {
		if o := list[step.call].Call(t.Context(), engine.Attempt{ID: "m", Body: message.Bytes(nil), Timeout: time.Minute}); o.Result != decide.Succeeded {
			t.Fatalf("%+v", o)
		}
		if got := idle(); got != step.want {
			t.Errorf("idle: %q, want %q", got, step.want)
		}
	}
	list[0].Release()
	list[0].Call(t.Context(), engine.Attempt{ID: "m", Body: message.Bytes(nil), Timeout: time.Minute}) // a call in flight while its endpoint is removed
	if got := idle(); got != "c" {
		t.Errorf("idle: %q", got)
	}
	back.pool.idleTimeout = 0
	back.pool.closeExpired()
	if got := idle(); got != "" {
		t.Errorf("idle: %q", got)
	}
}

func TestUpdateEndpoints(t *testing.T) {
	at := func(name, address string, s decide.TargetState) engine.Endpoint {
		return engine.Endpoint{Address: address, Target: decide.Target{ID: name, State: s}}
	}
	back := newTestBack()
	back.UpdateEndpoints(engine.List{Scope: decide.Snapshot, Endpoints: []engine.Endpoint{at("a", "127.0.0.1:1", decide.Active), at("b", "127.0.0.1:2", decide.Active)}})
	a, _ := back.endpoints.Named("a")
	back.UpdateEndpoints(engine.List{Scope: decide.Delta, Endpoints: []engine.Endpoint{at("a", "127.0.0.1:1", decide.Draining), at("b", "127.0.0.1:3", decide.Active)}})
	if now, _ := back.endpoints.Named("a"); now != a {
		t.Error("after the delta: a is another incarnation")
	}
	if b, _ := back.endpoints.Named("b"); b.Address != "127.0.0.1:3" {
		t.Errorf("after the delta: b is at %s", b.Address)
	}
	back.UpdateEndpoints(engine.List{Scope: decide.Delta, Endpoints: []engine.Endpoint{at("a", "", decide.Gone)}})
	if back.Endpoint("a") != nil || back.Endpoint("b") == nil {
		t.Error("after the removal of a")
	}
	back.UpdateEndpoints(engine.List{Scope: decide.Snapshot})
	if n := back.endpoints.Len(); n != 0 {
		t.Errorf("after an empty snapshot: %d endpoints", n)
	}
}

// TestSharedAddress checks that each endpoint at an address has connections of its own, which are closed with it: a connection was accepted by the
// process that one endpoint's name stood for, and another endpoint's process may have the address by now.
func TestSharedAddress(t *testing.T) {
	address, conns := startEndpoint(t, func(*http.Request, string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" })
	back := newTestBack()
	list := engine.List{Scope: decide.Snapshot, Endpoints: []engine.Endpoint{
		{Address: address, Target: decide.Target{ID: "a"}}, {Address: address, Target: decide.Target{ID: "b"}}}}
	back.UpdateEndpoints(list)
	call := func(name string) {
		t.Helper()
		a := engine.Attempt{ID: "m", Body: message.Bytes("x"), Timeout: time.Minute}
		if o := back.Endpoint(name).Call(t.Context(), a); o.Result != decide.Succeeded {
			t.Errorf("%s: %+v", name, o)
		}
	}
	call("a")
	call("a")
	if n := conns.Load(); n != 1 {
		t.Errorf("%d connections of one endpoint, want 1", n)
	}
	list.Scope, list.Endpoints[0].State = decide.Delta, decide.Gone
	back.UpdateEndpoints(list)
	if back.pool.openConns != 0 {
		t.Errorf("%d connections of an endpoint that is gone are left", back.pool.openConns)
	}
	call("b")
	call("b")
	if n := conns.Load(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
	list.Endpoints[1].State = decide.Gone
	back.UpdateEndpoints(list)
	if back.pool.openConns != 0 || back.endpoints.Len() != 0 {
		t.Errorf("%d connections of %d endpoints are left, want none", back.pool.openConns, back.endpoints.Len())
	}
}

// TestSlowResponseAfter1xx checks that responseReadTimeout applies to each 1xx response and to the final one by itself, and does not
// shorten the wait for the final response after a 1xx.
func TestSlowResponseAfter1xx(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		r := bufio.NewReader(conn)
		for range 2 { // the second call begins long after the read deadline of the first call's 1xx response
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			io.WriteString(conn, "HTTP/1.1 102 Processing\r\n\r\n")
			time.Sleep(responseReadTimeout + 200*time.Millisecond)
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}()
	ep := newTestBack().endpointAt(ln.Addr().String())
	for range 2 {
		o := ep.Call(t.Context(), engine.Attempt{ID: "m", Body: message.Bytes(nil), Timeout: time.Minute})
		if o.Result != decide.Succeeded || o.Latency < responseReadTimeout {
			t.Errorf("%+v", o)
		}
	}
}

// TestConnectTimeout checks that a call whose connection is not established within its connect time-out fails as one that never ran.
func TestConnectTimeout(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(fd)
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	own, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := fmt.Sprintf("127.0.0.1:%d", own.(*syscall.SockaddrInet4).Port)
	for range 4 { // fills the accept queue, so that further connects are not answered
		c, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			break
		}
		defer c.Close()
	}
	b := newTestBack()
	b.UpdateEndpoints(engine.List{Endpoints: []engine.Endpoint{{Target: decide.Target{ID: "s"}, Address: address}}})
	began := time.Now()
	o := b.Endpoint("s").Call(t.Context(), engine.Attempt{ID: "7f", Body: message.Bytes("b"), Timeout: 30 * time.Second, ConnectTimeout: 50 * time.Millisecond})
	if o.Result != decide.ConnectFailed || time.Since(began) > 20*time.Second {
		t.Errorf("%+v after %v", o, time.Since(began))
	}
}
