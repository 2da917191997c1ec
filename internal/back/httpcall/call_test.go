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

	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
	"scaleroute/internal/message"
)

// testTargets is a Back whose connections can be used again at once.
func testTargets() *Back {
	b := restingTargets()
	b.pool.rest, b.pool.longRest = 0, 0
	return b
}

// restingTargets is a Back as the program has it.
func restingTargets() *Back {
	return New(Config{MaxConnections: 600, EndpointIdleTimeout: time.Minute, ConnectTimeout: time.Minute})
}

// rawTarget answers each call with what serve returns; "" ends the connection
// unanswered.
func rawTarget(t *testing.T, serve func(*http.Request, string) string) (address string, conns *atomic.Int32) {
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
					answer := serve(req, string(body))
					if answer == "" {
						return
					}
					io.WriteString(conn, answer)
				}
			}()
		}
	}()
	return ln.Addr().String(), conns
}

// TestAnswers maps each row of the protocol's table to an outcome.
func TestAnswers(t *testing.T) {
	told := decide.Allowance{Reported: true, Remaining: 0.4, Rate: 25}
	for _, c := range []struct {
		name, answer string
		want         decide.Outcome
		never        bool
	}{
		{"200", "200 OK\r\nSrv-Load: x0=0.4,x1=25", decide.Outcome{Result: decide.Succeeded, NoAnswerNeeded: true, Allowance: told}, false},
		{"500", "500 No\r\nSrv-Load: x0=0.4, x1=25", decide.Outcome{Result: decide.Errored, Allowance: told}, false},
		{"429", "429 No\r\nX-RateLimit-Wait-Ms: 700", decide.Outcome{Result: decide.Overloaded, RetryAfter: 700 * time.Millisecond}, true},
		{"429 part", "429 No\r\nX-RateLimit-Wait-Ms: 0.2", decide.Outcome{Result: decide.Overloaded, RetryAfter: time.Millisecond}, true},
		{"429 without a wait", "429 No", decide.Outcome{Result: decide.Errored}, false},
		{"503", "503 No\r\nSrv-Load: x0=NaN,x9=1", decide.Outcome{Result: decide.Overloaded}, true},
		{"503 slots", "503 No\r\nX-Over-Slots: 1", decide.Outcome{Result: decide.NotSent, NoSlot: true}, true},
		{"504", "504 No", decide.Outcome{Result: decide.NotSent}, true},
		{"410", "410 No", decide.Outcome{Result: decide.NotSent, NoAnswerNeeded: true}, true},
		{"redirect", "302 Found\r\nLocation: /elsewhere", decide.Outcome{Result: decide.Errored}, false},
		{"unlisted", "202 Accepted", decide.Outcome{Result: decide.Errored}, false},
		{"garbage", "", decide.Outcome{Result: decide.Errored}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			address, conns := rawTarget(t, func(r *http.Request, body string) string {
				if r.Method != "POST" || r.RequestURI != "/events" || r.Header.Get("Req-Id") != "m1" ||
					r.Header.Get("Req-Deadline") != "60.000" || body != "two\r\nlines" || r.ContentLength != 10 {
					t.Errorf("the call was %v with %q", r, body)
				}
				if c.answer == "" {
					return "what is this\r\n\r\n"
				}
				return "HTTP/1.1 " + c.answer + "\r\nContent-Length: 2\r\n\r\nok"
			})
			target := testTargets().open(address)
			for range 3 {
				o := target.Call(t.Context(), engine.Attempt{ID: "m1", Body: message.Bytes("two\r\nlines"), Timeout: time.Minute})
				if o.Latency <= 0 {
					t.Errorf("took %v", o.Latency)
				}
				o.Latency = 0
				if o != c.want {
					t.Errorf("got %+v, want %+v", o, c.want)
				}
			}
			if n := conns.Load(); n != 1 && c.answer != "" {
				t.Errorf("%d connections for three calls", n) // each new one costs a handshake
			}
		})
	}
}

// TestBrokenCalls tells calls that never ran from those that may have, and
// counts what reaches the target: the library must send nothing again.
func TestBrokenCalls(t *testing.T) {
	var calls atomic.Int32
	hold := make(chan bool)
	t.Cleanup(func() { close(hold) })
	arrived := make(chan bool, 1)
	silent, _ := rawTarget(t, func(*http.Request, string) string {
		arrived <- true
		<-hold
		return ""
	})
	drops, _ := rawTarget(t, func(*http.Request, string) string {
		calls.Add(1)
		return ""
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refuses := ln.Addr().String()
	ln.Close()

	ts := testTargets()
	if o := ts.open(refuses).Call(t.Context(), engine.Attempt{ID: "m", Body: message.Bytes("x"), Timeout: time.Minute}); o.Result != decide.ConnectFailed {
		t.Errorf("refused: %+v", o)
	}
	if o := ts.open(drops).Call(t.Context(), engine.Attempt{ID: "m", Body: message.Bytes("x"), Timeout: time.Minute}); o.Result != decide.Reset || calls.Load() != 1 {
		t.Errorf("dropped after the call: %+v, %d calls", o, calls.Load())
	}
	if o := ts.open(silent).Call(t.Context(), engine.Attempt{ID: "m", Body: message.Bytes(nil), Timeout: 50 * time.Millisecond}); o.Result != decide.TimedOut {
		t.Errorf("silent: %+v", o)
	}
	<-arrived
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	if o := ts.open(silent).Call(ctx, engine.Attempt{ID: "m", Body: message.Bytes(nil), Timeout: time.Minute}); o.Result != decide.Cancelled {
		t.Errorf("called off: %+v", o)
	}
}

// TestDroppedOnReuse: a target that ends a kept connection on the next call has
// seen that call once; a transparent repeat would be a second copy.
func TestDroppedOnReuse(t *testing.T) {
	var mu sync.Mutex
	var seen []string
	address, conns := rawTarget(t, func(r *http.Request, _ string) string {
		mu.Lock()
		defer mu.Unlock()
		seen = append(seen, r.Header.Get("Req-Id"))
		if len(seen) == 2 {
			return ""
		}
		return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	})
	target := testTargets().open(address)
	for _, body := range []string{"x", ""} {
		mu.Lock()
		seen = nil
		mu.Unlock()
		first := target.Call(t.Context(), engine.Attempt{ID: "first", Body: message.Bytes(body), Timeout: time.Minute})
		second := target.Call(t.Context(), engine.Attempt{ID: "second", Body: message.Bytes(body), Timeout: time.Minute})
		if first.Result != decide.Succeeded || second.Result != decide.Reset {
			t.Errorf("%+v, %+v", first, second)
		}
		mu.Lock()
		if got := strings.Join(seen, ","); got != "first,second" {
			t.Errorf("the target saw %s", got)
		}
		mu.Unlock()
	}
	if n := conns.Load(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

// TestSpoiltAnswers: whatever a spoilt answer seems to say, its call may have run,
// unless its first line still says 200. A good answer stays one whatever comes
// with it. A connection on which more came than an answer, or less, is not used again.
func TestSpoiltAnswers(t *testing.T) {
	const good, end = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "\r\nContent-Length: 2\r\n\r\nok"
	const full = "HTTP/1.1 503 No" + end
	endless := strings.Repeat("X-More: 0123456789\r\n", maxAnswer/10)
	done := decide.Outcome{Result: decide.Succeeded, NoAnswerNeeded: true}
	turned := decide.Outcome{Result: decide.Overloaded}
	spoilt := decide.Outcome{Result: decide.Errored}
	for _, c := range []struct {
		name, answer string
		want         decide.Outcome
		kept         bool
	}{
		{"noise", "\x07\xfb&\xa2p\r\n\r\n", spoilt, false},
		{"noise without a line", "\x07\xfb&\xa2p", spoilt, false},
		{"half a first line", "HTTP/1.1 20", spoilt, false},
		{"200, unreadable head", "HTTP/1.1 200 OK\r\n\x00\x01\r\n\r\n", done, false},
		{"200, no end of head", "HTTP/1.1 200 OK\r\nContent-Le", done, false},
		{"200, endless head", "HTTP/1.1 200 OK\r\n" + endless, done, false},
		{"200, short body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", done, false},
		{"200, bad length", "HTTP/1.1 200 OK\r\nContent-Length: -9\r\n\r\nok", done, false},
		{"200, 3 GB", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + endless, done, false},
		{"503, no end of head", "HTTP/1.1 503 No\r\nContent-Le", spoilt, false},
		{"503, endless head", "HTTP/1.1 503 No\r\n" + endless, spoilt, false},
		{"503, short body", "HTTP/1.1 503 No\r\nContent-Length: 9\r\n\r\nok", spoilt, false},
		{"503, 3 GB", "HTTP/1.1 503 No\r\nContent-Length: 3000000000\r\n\r\n" + endless, spoilt, false},
		{"429, short body", "HTTP/1.1 429 No\r\nX-RateLimit-Wait-Ms: 9\r\nContent-Length: 9\r\n\r\nok", spoilt, false},
		{"504, short body", "HTTP/1.1 504 No\r\nContent-Length: 9\r\n\r\nok", spoilt, false},
		{"410, two lengths", "HTTP/1.1 410 No\r\nContent-Length: 9\r\nContent-Length: 2\r\n\r\nok", spoilt, false},
		{"410, bad chunks", "HTTP/1.1 410 No\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", spoilt, false},
		{"a second copy", good + good, done, false},
		{"a byte more", full + "x", turned, false},
		{"unreadable report", "HTTP/1.1 503 No\r\nSrv-Load: x0=}{,x1=-1e400,=,x0" + end, turned, true},
		{"1xx ahead", "HTTP/1.1 100 Continue\r\n\r\n" + full, turned, true},
		{"many 1xx", strings.Repeat("HTTP/1.1 103 Early\r\nA: b\r\n\r\n", 100) + full, turned, true},
		{"101", "HTTP/1.1 101 Go\r\n\r\n" + full, turned, false},
		{"1xx, spoilt 200", "HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n:\r\n\r\n", done, false},
		{"to be closed", "HTTP/1.1 503 No\r\nConnection: close" + end, turned, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			address, conns := rawTarget(t, func(r *http.Request, _ string) string {
				if r.Header.Get("Req-Id") == "next" {
					return "HTTP/1.1 504 No\r\nContent-Length: 0\r\n\r\n"
				}
				return c.answer
			})
			target := testTargets().open(address)
			o := target.Call(t.Context(), engine.Attempt{ID: "m", Body: message.Bytes("x"), Timeout: time.Minute})
			o.Latency = 0
			if o != c.want {
				t.Errorf("got %+v, want %+v", o, c.want)
			}
			if o := target.Call(t.Context(), engine.Attempt{ID: "next", Body: message.Bytes("x"), Timeout: time.Minute}); o.Result != decide.NotSent {
				t.Errorf("the next call: %+v", o)
			}
			if kept := conns.Load() == 1; kept != c.kept {
				t.Errorf("kept its connection: %v", kept)
			}
		})
	}
}

// TestLateExtra: what comes on an idle connection is not the next call's answer.
func TestLateExtra(t *testing.T) {
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
	target := testTargets().open(ln.Addr().String())
	if o := target.Call(t.Context(), engine.Attempt{ID: "m", Body: message.Bytes(nil), Timeout: time.Minute}); o.Result != decide.Succeeded {
		t.Fatalf("%+v", o)
	}
	more <- true
	<-sent // on loopback it is there then
	if o := target.Call(t.Context(), engine.Attempt{ID: "next", Body: message.Bytes(nil), Timeout: time.Minute}); o.Result != decide.NotSent {
		t.Errorf("the next call: %+v", o)
	}
}

// TestConnectionBudget: idle connections of any target make room for new ones,
// the one idle longest first, and none outlasts its target or its time.
func TestConnectionBudget(t *testing.T) {
	ts := testTargets()
	ts.pool.most = 2
	var list []*target
	for range 3 {
		address, _ := rawTarget(t, func(*http.Request, string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" })
		list = append(list, ts.open(address))
	}
	idle := func() string {
		ts.pool.mu.Lock()
		defer ts.pool.mu.Unlock()
		var b strings.Builder
		n := 0
		for c := ts.pool.idle.first; c != nil; c = c.next {
			b.WriteByte('a' + byte(slices.IndexFunc(list, func(t *target) bool { return t.host == c.host })))
			n++
		}
		if ts.pool.open != n {
			t.Errorf("%d open, %d idle", ts.pool.open, n)
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
	ts.pool.leave(list[0].host)
	list[0].Call(t.Context(), engine.Attempt{ID: "m", Body: message.Bytes(nil), Timeout: time.Minute}) // one that was out as its target went
	if got := idle(); got != "c" {
		t.Errorf("idle: %q", got)
	}
	ts.pool.idleTime = 0
	ts.pool.expire()
	if got := idle(); got != "" {
		t.Errorf("idle: %q", got)
	}
}

func TestTargetAddresses(t *testing.T) {
	at := func(name, address string, s decide.TargetState) engine.Endpoint {
		return engine.Endpoint{Address: address, Target: decide.Target{ID: name, State: s}}
	}
	ts := testTargets()
	ts.UpdateEndpoints(engine.List{Scope: decide.Snapshot, Endpoints: []engine.Endpoint{at("a", "127.0.0.1:1", decide.Active), at("b", "127.0.0.1:2", decide.Active)}})
	a := ts.byName["a"]
	ts.UpdateEndpoints(engine.List{Scope: decide.Delta, Endpoints: []engine.Endpoint{at("a", "127.0.0.1:1", decide.Draining), at("b", "127.0.0.1:3", decide.Active)}})
	if ts.byName["a"] != a || ts.byName["b"].host.address != "127.0.0.1:3" {
		t.Errorf("after a change: %v", ts.byName)
	}
	ts.UpdateEndpoints(engine.List{Scope: decide.Delta, Endpoints: []engine.Endpoint{at("a", "", decide.Gone)}})
	if ts.Endpoint("a") != nil || ts.Endpoint("b") == nil {
		t.Errorf("after a is gone: %v", ts.byName)
	}
	ts.UpdateEndpoints(engine.List{Scope: decide.Snapshot})
	if len(ts.byName) != 0 {
		t.Errorf("left over: %v", ts.byName)
	}
}

// TestSharedAddress: targets at one address share its connections, and these stay until the last of
// them is gone.
func TestSharedAddress(t *testing.T) {
	address, conns := rawTarget(t, func(*http.Request, string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" })
	ts := testTargets()
	list := engine.List{Scope: decide.Snapshot, Endpoints: []engine.Endpoint{
		{Address: address, Target: decide.Target{ID: "a"}}, {Address: address, Target: decide.Target{ID: "b"}}}}
	ts.UpdateEndpoints(list)
	call := func(name string) {
		t.Helper()
		a := engine.Attempt{ID: "m", Body: message.Bytes("x"), Timeout: time.Minute}
		if o := ts.Endpoint(name).Call(t.Context(), a); o.Result != decide.Succeeded {
			t.Errorf("%s: %+v", name, o)
		}
	}
	call("a")
	list.Scope, list.Endpoints[0].State = decide.Delta, decide.Gone
	ts.UpdateEndpoints(list)
	call("b")
	if n := conns.Load(); n != 1 {
		t.Errorf("%d connections, 1 wanted", n)
	}
	list.Endpoints[1].State = decide.Gone
	ts.UpdateEndpoints(list)
	if ts.pool.open != 0 || len(ts.pool.hosts) != 0 {
		t.Errorf("%d connections to %d addresses left", ts.pool.open, len(ts.pool.hosts))
	}
}

// TestSlowAnswerBehind1xx: the time for an answer that has begun holds for each part of it, and does not
// cut short the wait for the final answer behind a 1xx.
func TestSlowAnswerBehind1xx(t *testing.T) {
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
		for range 2 { // the second call goes out long after the deadline of the first one's first part
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			io.WriteString(conn, "HTTP/1.1 102 Processing\r\n\r\n")
			time.Sleep(answerTime + 200*time.Millisecond)
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}()
	target := testTargets().open(ln.Addr().String())
	for range 2 {
		o := target.Call(t.Context(), engine.Attempt{ID: "m", Body: message.Bytes(nil), Timeout: time.Minute})
		if o.Result != decide.Succeeded || o.Latency < answerTime {
			t.Errorf("%+v", o)
		}
	}
}

// TestConnectTime: where a time for connections is set, one that does not come up by then has failed, and never ran.
func TestConnectTime(t *testing.T) {
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
	for range 4 { // the queue of connections that nobody accepts is full then: more get no answer
		c, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			break
		}
		defer c.Close()
	}
	b := testTargets()
	b.UpdateEndpoints(engine.List{Endpoints: []engine.Endpoint{{Target: decide.Target{ID: "s"}, Address: address}}})
	began := time.Now()
	o := b.Endpoint("s").Call(t.Context(), engine.Attempt{ID: "7f", Body: message.Bytes("b"), Timeout: 30 * time.Second, ConnectTimeout: 50 * time.Millisecond})
	if o.Result != decide.ConnectFailed || time.Since(began) > 20*time.Second {
		t.Errorf("%+v after %v", o, time.Since(began))
	}
}
