package httpcall

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
	"scaleroute/internal/message"
)

// startSingleResponseEndpoint starts an endpoint that writes a text in response to the one call on a connection and then calls a function
// with the connection before it closes it.
func startSingleResponseEndpoint(t *testing.T, text string, then func(*net.TCPConn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					io.Copy(io.Discard, req.Body)
					io.WriteString(conn, text)
					then(conn.(*net.TCPConn))
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// TestRetryAfterFromTruncatedResponse cuts a response with a retry-after time after each of its bytes, by a close or a reset of the
// connection. The time must be reported before the call returns, if and only if its header line was complete; the outcome has what remains
// of it; and a call whose response is incomplete counts as one that may have run.
func TestRetryAfterFromTruncatedResponse(t *testing.T) {
	const wait = time.Minute
	for name, response := range map[string]string{
		"plain":     "HTTP/1.1 429 No\r\nSrv-Load: x0=0,x1=2\r\nX-RateLimit-Wait-Ms: 60000\r\nContent-Length: 4\r\n\r\nbusy",
		"chunked":   "HTTP/1.1 429 No\r\nx-ratelimit-wait-ms:60000\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbusy\r\n0\r\n\r\n",
		"after 1xx": "HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 429 No\r\nX-RateLimit-Wait-Ms: 60000\r\nContent-Length: 0\r\n\r\n",
	} {
		lineEnd := strings.Index(strings.ToLower(response), "60000\r\n") + len("60000\r\n")
		for n := 0; n <= len(response); n++ {
			for ending, end := range map[string]func(*net.TCPConn){
				"end":   func(*net.TCPConn) {},
				"reset": func(c *net.TCPConn) { time.Sleep(5 * time.Millisecond); c.SetLinger(0) }, // so that the client reads the written bytes before the reset
			} {
				var reported atomic.Int64
				call := engine.Attempt{ID: "m", Body: message.Bytes("x"), Timeout: time.Minute, OnRetryAfter: func(d time.Duration) { reported.Store(int64(d)) }}
				o := newTestBack().endpointAt(startSingleResponseEndpoint(t, response[:n], end)).Call(t.Context(), call)
				if want := n >= lineEnd; (reported.Load() == int64(wait)) != want || (o.RetryAfter > wait-5*time.Second) != want || o.RetryAfter > wait {
					t.Errorf("%s, %s after byte %d %q: reported %v, outcome %+v", name, ending, n, response[max(0, n-12):n], time.Duration(reported.Load()), o)
				}
				wantResult := decide.Errored
				switch {
				case n == len(response):
					wantResult = decide.Overloaded
				case n == 0:
					wantResult = decide.Reset
				}
				if o.Result != wantResult {
					t.Errorf("%s, %s after byte %d: %+v, want %v", name, ending, n, o, wantResult)
				}
			}
		}
	}
}

// TestRetryAfterReportedBeforeResponseEnds checks that a retry-after time is reported while the rest of the response is outstanding: the
// call is still in flight, but no other call may begin.
func TestRetryAfterReportedBeforeResponseEnds(t *testing.T) {
	for name, response := range map[string]string{
		"incomplete header": "HTTP/1.1 429 No\r\nX-RateLimit-Wait-Ms: 60000\r\nContent-Le",
		"no body":           "HTTP/1.1 429 No\r\nX-RateLimit-Wait-Ms: 60000\r\nContent-Length: 4\r\n\r\n",
		"incomplete body":   "HTTP/1.1 429 No\r\nX-RateLimit-Wait-Ms: 60000\r\nContent-Length: 400\r\n\r\nbusy",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			finish := make(chan bool)
			defer close(finish)
			ep := newTestBack().endpointAt(startSingleResponseEndpoint(t, response, func(*net.TCPConn) { <-finish }))
			reported, ended := make(chan time.Duration, 1), make(chan decide.Outcome, 1)
			go func() {
				ended <- ep.Call(t.Context(), engine.Attempt{ID: "m", Body: message.Bytes("x"), Timeout: time.Minute, OnRetryAfter: func(d time.Duration) { reported <- d }})
			}()
			select {
			case d := <-reported:
				if d != time.Minute {
					t.Errorf("reported %v", d)
				}
			case o := <-ended:
				t.Fatalf("the call ended before the retry-after time was reported: %+v", o)
			}
			if o := <-ended; o.Result != decide.Errored || o.RetryAfter > time.Minute-responseReadTimeout/2 || o.RetryAfter < time.Minute-10*time.Second {
				t.Errorf("%+v", o) // half a second of the retry-after time has passed
			}
		})
	}
}

// TestIdleTimeouts checks that the idle time-out is shorter than the endpoint's, and that a connection whose idle time-out is over is not
// used although the timer has not closed it yet. It also checks the limit on the time to connect.
func TestIdleTimeouts(t *testing.T) {
	for _, endpointTimeout := range []time.Duration{time.Millisecond, 100 * time.Millisecond, time.Second, 2 * time.Second, 15 * time.Second, time.Hour} {
		if got := New(Config{MaxConnections: 1, EndpointIdleTimeout: endpointTimeout}).pool.idleTimeout; got >= endpointTimeout || got < endpointTimeout/2 {
			t.Errorf("idle time-out %v for endpoints that close after %v", got, endpointTimeout)
		}
	}
	if got := New(Config{MaxConnections: 1}).pool.idleTimeout; got != defaultIdleTimeout {
		t.Errorf("idle time-out %v where the endpoint's is not known", got)
	}
	for _, limit := range []time.Duration{0, time.Second, time.Hour} {
		p := New(Config{ConnectTimeout: limit}).pool
		for _, timeLeft := range []time.Duration{-time.Second, 0, 300 * time.Millisecond, time.Minute} {
			want := max(timeLeft, time.Millisecond)
			if limit > 0 {
				want = min(want, limit)
			}
			if got := p.dialTimeout(timeLeft); got != want {
				t.Errorf("dial time-out %v with %v left and a limit of %v", got, timeLeft, limit)
			}
		}
	}
	address, conns := startEndpoint(t, func(*http.Request, string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" })
	ep := newTestBack().endpointAt(address)
	a := engine.Attempt{ID: "m", Body: message.Bytes("x"), Timeout: time.Minute}
	ep.Call(t.Context(), a)
	p := ep.pool
	p.mu.Lock()
	p.idle.first.idleSince = time.Now().Add(-p.idleTimeout) // as if the timer, which is set for later, were late
	p.mu.Unlock()
	if o := ep.Call(t.Context(), a); o.Result != decide.Succeeded || conns.Load() != 2 {
		t.Errorf("%+v on connection %d", o, conns.Load())
	}
}

// TestResumeReportsRetryAfter: the response to a call that is handed over has a retry-after time. Wherever the response is cut between the
// two processes, the one that continues the call reports the time.
func TestResumeReportsRetryAfter(t *testing.T) {
	const response = "HTTP/1.1 429 No\r\nX-RateLimit-Wait-Ms: 60000\r\nContent-Length: 4\r\n\r\nbusy"
	for cut := range len(response) + 1 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		clientConn, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		serverConn, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(serverConn, response[cut:])
		var reported atomic.Int64
		o := newTestBack().Resume(t.Context(), "t", &engine.InFlightCall{Endpoint: engine.EndpointIdentity{Name: "t", Address: ln.Addr().String()}, Conn: clientConn, Read: []byte(response[:cut]), Began: time.Now(), Deadline: time.Now().Add(time.Minute)},
			engine.Attempt{ID: "m", OnRetryAfter: func(d time.Duration) { reported.Store(int64(d)) }})
		if time.Duration(reported.Load()) != time.Minute || o.Result != decide.Overloaded || o.RetryAfter != time.Minute {
			t.Errorf("cut after byte %d: reported %v, %+v", cut, time.Duration(reported.Load()), o)
		}
		serverConn.Close()
		ln.Close()
	}
}

// TestConnectionCutAtEachByte: on a new or a reused connection, the endpoint closes or resets the connection after it has read a part of a
// call, or after it has written a part of each kind of response. It has run a call that it has read completely. No outcome may say that a
// call never ran which did, or that a call was turned away whose response was incomplete. A status line that says 200 counts, and no call
// is retried transparently.
func TestConnectionCutAtEachByte(t *testing.T) {
	const body = "some bytes of a message"
	responses := []string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno", "HTTP/1.1 503 No\r\nSrv-Load: x0=0,x1=2\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 504 No\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 429 No\r\nX-RateLimit-Wait-Ms: 700\r\nContent-Length: 0\r\n\r\n"}
	type step struct {
		response string
		read     int // bytes of the request; negative: all of them
		write    int // bytes of the response
		reset    bool
		used     bool
	}
	var steps []step
	for _, used := range []bool{false, true} {
		for _, reset := range []bool{false, true} {
			for n := 0; n < 140; n += 7 { // a request has some 150 bytes
				steps = append(steps, step{"", n, 0, reset, used})
			}
			for _, a := range responses {
				for n := range len(a) + 1 {
					steps = append(steps, step{a, -1, n, reset, used})
				}
			}
		}
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	var mu sync.Mutex // guards the next three
	var now step
	ran, calls := false, 0
	var handlers sync.WaitGroup
	handle := func(conn net.Conn, s step) {
		defer handlers.Done()
		defer conn.Close()
		r := bufio.NewReader(conn)
		readRequest := func() bool {
			req, err := http.ReadRequest(r)
			if err == nil {
				_, err = io.Copy(io.Discard, req.Body)
			}
			return err == nil
		}
		if s.used {
			readRequest()
			io.WriteString(conn, responses[0])
		}
		if s.read >= 0 {
			io.CopyN(io.Discard, r, int64(s.read))
		} else if readRequest() {
			mu.Lock()
			ran, calls = true, calls+1
			mu.Unlock()
			io.WriteString(conn, s.response[:s.write])
		}
		if s.reset {
			if s.write > 0 {
				time.Sleep(2 * time.Millisecond) // so that the client reads the written bytes before the reset
			}
			conn.(*net.TCPConn).SetLinger(0)
		}
	}
	accepted := make(chan bool, 16)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			s := now
			mu.Unlock()
			handlers.Add(1)
			accepted <- true
			go handle(conn, s)
		}
	}()
	for _, s := range steps {
		mu.Lock()
		now, ran, calls = s, false, 0
		mu.Unlock()
		ep := newTestBack().endpointAt(ln.Addr().String())
		a := engine.Attempt{ID: "m", Body: message.Bytes(body), Timeout: time.Minute}
		if s.used {
			if o := ep.Call(t.Context(), a); o.Result != decide.Succeeded {
				t.Fatalf("%+v", o)
			}
		}
		o := ep.Call(t.Context(), a)
		ep.CloseIdle()
		<-accepted
		handlers.Wait()
		for len(accepted) > 0 { // one more connection, where the used one was found closed
			<-accepted
		}
		mu.Lock()
		neverRan := o.Result == decide.Overloaded || o.Result == decide.ConnectFailed || o.Result == decide.NotSent
		switch {
		case ran && neverRan && s.write < len(s.response):
			t.Errorf("%+v: %+v, but the call has run", s, o)
		case neverRan && o.Result != decide.ConnectFailed && s.write < len(s.response):
			t.Errorf("%+v: turned away by an incomplete response: %+v", s, o)
		case strings.HasPrefix(s.response, "HTTP/1.1 200") && s.write > strings.Index(s.response, "\n") && o.Result != decide.Succeeded:
			t.Errorf("%+v: %+v", s, o)
		case calls > 1:
			t.Errorf("%+v: %d calls", s, calls)
		}
		mu.Unlock()
	}
}
