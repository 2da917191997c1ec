package httpcall

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
	"scaleroute/internal/message"
)

const (
	overloadedResponse = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
	okResponse         = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
)

// startDuplicatingEndpoint starts an endpoint that responds to odd calls with 200 and to even ones with 503, and writes each 200 again
// after a delay.
func startDuplicatingEndpoint(t *testing.T, delay time.Duration) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	serve := func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if number, _ := strconv.Atoi(request.Header.Get("Req-Id")); number%2 == 0 {
				time.Sleep(2 * delay) // so that the client has read the duplicate before
				io.WriteString(conn, overloadedResponse)
				continue
			}
			io.WriteString(conn, okResponse)
			time.AfterFunc(delay, func() { io.WriteString(conn, okResponse) })
		}
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return ln.Addr().String()
}

// TestDuplicateResponseNotMatchedToNextCall guards against reading the duplicate of a response as the response to the next call.
func TestDuplicateResponseNotMatchedToNextCall(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 12 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			ep := newDefaultBack().endpointAt(startDuplicatingEndpoint(t, delay))
			for number := 1; number <= 20; number++ {
				want := decide.Succeeded
				if number%2 == 0 {
					want = decide.Overloaded
				}
				attempt := engine.Attempt{ID: strconv.Itoa(number), Body: message.Bytes("x"), Timeout: time.Minute}
				if o := ep.Call(t.Context(), attempt); o.Result != want {
					t.Errorf("call %d: %v, want %v", number, o.Result, want)
				}
			}
		})
	}
}

// TestLateDuplicateMarksAddressSuspect guards against duplicates that arrive later than the usual reuse delay: once one has been seen, the
// address's connections are reused after the longer delay.
func TestLateDuplicateMarksAddressSuspect(t *testing.T) {
	const delay = 50 * time.Millisecond
	back := newDefaultBack()
	ep := back.endpointAt(startDuplicatingEndpoint(t, delay))
	call := func(number int) decide.Result {
		return ep.Call(t.Context(), engine.Attempt{ID: strconv.Itoa(number), Body: message.Bytes("x"), Timeout: time.Minute}).Result
	}
	if got := call(1); got != decide.Succeeded {
		t.Fatal(got)
	}
	time.Sleep(2 * delay) // the duplicate has arrived by then
	call(2)
	for number := 3; number < 9; number++ {
		want := decide.Succeeded
		if number%2 == 0 {
			want = decide.Overloaded
		}
		if got := call(number); got != want {
			t.Errorf("call %d: %v, want %v", number, got, want)
		}
		time.Sleep(reuseDelay)
	}
}

// crossingEndpoint writes the duplicate of its last response in front of its response to the next call on the connection, if that call
// comes within a limit: a duplicate that was under way while the request was.
type crossingEndpoint struct {
	address   string
	responses map[string]string // by message
	limit     time.Duration
}

func startCrossingEndpoint(t *testing.T, limit time.Duration, responses map[string]string) crossingEndpoint {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	e := crossingEndpoint{ln.Addr().String(), responses, limit}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e
}

func (e crossingEndpoint) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var last string
	var respondedAt time.Time
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, request.Body)
		if last != "" && time.Since(respondedAt) < e.limit {
			io.WriteString(conn, last)
			time.Sleep(5 * time.Millisecond) // the client reads it alone
		}
		last = e.responses[request.Header.Get("Req-Id")]
		io.WriteString(conn, last)
		respondedAt = time.Now()
	}
}

// TestDuplicateResponseCrossesNextRequest guards against a duplicate of a response that is under way while the next request is, and would
// be read as the response to it: a message that its endpoint rejected counted as delivered, and one that ran was sent again. That was so for longer where the
// pool had no connection left to open.
func TestDuplicateResponseCrossesNextRequest(t *testing.T) {
	const (
		limit         = 400 * time.Millisecond
		waitResponse  = "HTTP/1.1 429 Wait\r\nX-RateLimit-Wait-Ms: 1\r\nContent-Length: 0\r\n\r\n"
		errorResponse = "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"
		first, second = "first", "second"
	)
	for name, c := range map[string]struct {
		first, second string
		want          decide.Result
	}{
		"delivered, then overloaded": {okResponse, overloadedResponse, decide.Overloaded},
		"overloaded, then delivered": {overloadedResponse, okResponse, decide.Succeeded},
		"told to wait, then failed":  {waitResponse, errorResponse, decide.Errored},
		"failed, then delivered":     {errorResponse, okResponse, decide.Succeeded},
	} {
		for _, pause := range []time.Duration{0, 21 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 180 * time.Millisecond} {
			for _, limitOfConnections := range []int{10, 1} {
				t.Run(fmt.Sprintf("%s after %v, %d connections", name, pause, limitOfConnections), func(t *testing.T) {
					t.Parallel()
					endpoint := startCrossingEndpoint(t, limit, map[string]string{first: c.first, second: c.second})
					b := New(Config{MaxConnections: limitOfConnections, EndpointIdleTimeout: time.Minute})
					ep := b.endpointAt(endpoint.address)
					ep.Call(t.Context(), engine.Attempt{ID: first, Body: message.Bytes("x"), Timeout: time.Minute})
					time.Sleep(pause)
					if o := ep.Call(t.Context(), engine.Attempt{ID: second, Body: message.Bytes("x"), Timeout: time.Minute}); o.Result != c.want {
						t.Errorf("the second call: %v, want %v", o.Result, c.want)
					}
				})
			}
		}
	}
}

// TestDuplicateResponseAfterHandover guards against a connection that another process has handed over right after a response, and on which
// the duplicate of that response would be read as the response to the first call of this process.
func TestDuplicateResponseAfterHandover(t *testing.T) {
	endpoint := startCrossingEndpoint(t, 190*time.Millisecond, map[string]string{"first": okResponse, "second": overloadedResponse})
	list := engine.List{Scope: decide.Snapshot, Endpoints: []engine.Endpoint{{Target: decide.Target{ID: "t"}, Address: endpoint.address}}}
	previous, next := newDefaultBack(), newDefaultBack()
	previous.UpdateEndpoints(list)
	next.UpdateEndpoints(list)
	call := func(b *Back, id string) decide.Result {
		return b.Endpoint("t").Call(t.Context(), engine.Attempt{ID: id, Body: message.Bytes("x"), Timeout: time.Minute}).Result
	}
	if got := call(previous, "first"); got != decide.Succeeded {
		t.Fatal(got)
	}
	idle := previous.ReleaseIdle()
	if len(idle) != 1 {
		t.Fatalf("%d idle connections", len(idle))
	}
	next.AdoptIdle(idle)
	time.Sleep(50 * time.Millisecond)
	if got := call(next, "second"); got != decide.Overloaded {
		t.Errorf("the second call: %v, want %v", got, decide.Overloaded)
	}
}

// TestExhaustedPoolReplacesConnections guards against the reuse of a connection within its delay where the limit of connections is reached, and against more
// connections than the limit: a new one takes the place of the idle one, whether or not its address has sent duplicates.
func TestExhaustedPoolReplacesConnections(t *testing.T) {
	address, conns := startEndpoint(t, func(*http.Request, string) string { return okResponse })
	b := New(Config{MaxConnections: 1, EndpointIdleTimeout: time.Minute})
	b.pool.reuseDelay, b.pool.suspectReuseDelay = time.Hour, time.Hour
	ep := b.endpointAt(address)
	for n := int32(1); n <= 4; n++ {
		if o := ep.Call(t.Context(), engine.Attempt{ID: "m", Body: message.Bytes("x"), Timeout: time.Minute}); o.Result != decide.Succeeded {
			t.Fatal(o.Result)
		}
		if got := conns.Load(); got != n || b.pool.openConns != 1 {
			t.Errorf("%d connections after %d calls, %d of them open, want %d and 1", got, n, b.pool.openConns, n)
		}
		if n == 2 {
			b.pool.markSuspect(b.pool.idle.first, "in this test")
		}
	}
}

// TestBorrowedConnections: idle connections beyond the limit are kept while the descriptors for them are lent, and closed at once when they are needed back.
func TestBorrowedConnections(t *testing.T) {
	address, conns := startEndpoint(t, func(*http.Request, string) string { return okResponse })
	b := New(Config{MaxConnections: 1, EndpointIdleTimeout: time.Minute})
	b.pool.reuseDelay = time.Hour
	ep := b.endpointAt(address)
	for _, step := range []struct{ borrowed, calls, open int }{{0, 2, 1}, {3, 5, 4}, {2, 0, 3}, {2, 1, 3}, {0, 0, 1}, {0, 1, 1}, {1, 1, 2}} {
		b.SetBorrowed(step.borrowed)
		for range step.calls {
			if o := ep.Call(t.Context(), engine.Attempt{ID: "m", Body: message.Bytes("x"), Timeout: time.Minute}); o.Result != decide.Succeeded {
				t.Fatal(o.Result)
			}
		}
		if got := b.pool.openConns; got != step.open || len(ep.idle) != step.open {
			t.Errorf("%+v: %d connections are open, %d of them idle", step, got, len(ep.idle))
		}
	}
	if got := conns.Load(); got != 10 {
		t.Errorf("%d connections for 10 calls", got)
	}
}

// TestDelayedConnectionsOfAddressAreBounded guards against ever more connections to an address that answers fast and gets many calls.
func TestDelayedConnectionsOfAddressAreBounded(t *testing.T) {
	const laterCalls = 10
	var atOnce sync.WaitGroup // calls that the endpoint answers together, so that each has a connection
	atOnce.Add(maxDelayedConns)
	address, conns := startEndpoint(t, func(r *http.Request, _ string) string {
		if r.Header.Get("Req-Id") == "at once" {
			atOnce.Done()
			atOnce.Wait()
		}
		return okResponse
	})
	b := newDefaultBack()
	b.pool.reuseDelay = time.Hour
	ep := b.endpointAt(address)
	call := func(id string) {
		if o := ep.Call(t.Context(), engine.Attempt{ID: id, Body: message.Bytes("x"), Timeout: time.Minute}); o.Result != decide.Succeeded {
			t.Error(o.Result)
		}
	}
	var calls sync.WaitGroup
	for range maxDelayedConns {
		calls.Go(func() { call("at once") })
	}
	calls.Wait()
	for range laterCalls {
		call("later")
		if got := b.pool.openConns; got != maxDelayedConns {
			t.Errorf("%d connections are open, want %d", got, maxDelayedConns)
		}
	}
	if got := conns.Load(); got != maxDelayedConns+laterCalls {
		t.Errorf("%d connections were opened, want %d: none may be used again", got, maxDelayedConns+laterCalls)
	}
}

// TestWaitsForConnectionInsteadOfSlowConnect guards against a new connection, to an address where these take long, though an idle one may be
// used sooner; and against a wait where a new one is there at once.
func TestWaitsForConnectionInsteadOfSlowConnect(t *testing.T) {
	const delay = 50 * time.Millisecond
	for _, c := range []struct {
		connectTime time.Duration
		wantConns   int32
	}{{time.Second, 1}, {0, 2}} {
		address, conns := startEndpoint(t, func(*http.Request, string) string { return okResponse })
		b := newDefaultBack()
		b.pool.reuseDelay = delay
		ep := b.endpointAt(address)
		call := func() time.Time {
			if o := ep.Call(t.Context(), engine.Attempt{ID: "m", Body: message.Bytes("x"), Timeout: time.Minute}); o.Result != decide.Succeeded {
				t.Error(o.Result)
			}
			return time.Now()
		}
		first := call()
		ep.connectTime = c.connectTime
		second := call()
		if got := conns.Load(); got != c.wantConns {
			t.Errorf("new connections take %v: %d connections, want %d", c.connectTime, got, c.wantConns)
		}
		if c.wantConns == 1 && second.Sub(first) < delay-time.Millisecond {
			t.Errorf("the connection was used again after %v", second.Sub(first))
		}
	}
}

// TestCancelledWhileWaitingForConnection guards against a connection that is lost, or a call that is made, when the call is cancelled while it
// waits for a connection to be reusable.
func TestCancelledWhileWaitingForConnection(t *testing.T) {
	address, conns := startEndpoint(t, func(*http.Request, string) string { return okResponse })
	b := newDefaultBack()
	b.pool.reuseDelay = maxReuseWait
	ep := b.endpointAt(address)
	attempt := engine.Attempt{ID: "m", Body: message.Bytes("x"), Timeout: time.Minute}
	ep.Call(t.Context(), attempt)
	ep.connectTime = time.Second
	ctx, cancel := context.WithCancelCause(t.Context())
	cancel(engine.ErrHandOver)
	if o := ep.Call(ctx, attempt); o.Result != decide.NotSent {
		t.Errorf("cancelled for a handover: %v", o.Result)
	}
	if got := conns.Load(); got != 1 || len(ep.idle) != 1 || b.pool.openConns != 1 {
		t.Errorf("%d connections, %d idle, %d open", got, len(ep.idle), b.pool.openConns)
	}
}
