package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"aspenshift"
)

func testTargets() *targets {
	return newTargets(&Config{Limits: Limits{Sockets: 1024},
		Settings: aspenshift.Settings{Slots: 8, ConnIdle: time.Minute, ConnectLimit: time.Minute}})
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
	told := aspenshift.Allowance{Told: true, Left: 0.4, Rate: 25}
	for _, c := range []struct {
		name, answer string
		want         aspenshift.Outcome
		never        bool
	}{
		{"200", "200 OK\r\nSrv-Load: x0=0.4,x1=25", aspenshift.Outcome{Result: aspenshift.Done, Over: true, Allowance: told}, false},
		{"500", "500 No\r\nSrv-Load: x0=0.4, x1=25", aspenshift.Outcome{Result: aspenshift.Errored, Allowance: told}, false},
		{"429", "429 No\r\nX-RateLimit-Wait-Ms: 700", aspenshift.Outcome{Result: aspenshift.Full, Wait: 700 * time.Millisecond}, true},
		{"429 part", "429 No\r\nX-RateLimit-Wait-Ms: 0.2", aspenshift.Outcome{Result: aspenshift.Full, Wait: time.Millisecond}, true},
		{"429 without a wait", "429 No", aspenshift.Outcome{Result: aspenshift.Errored}, false},
		{"503", "503 No\r\nSrv-Load: x0=NaN,x9=1", aspenshift.Outcome{Result: aspenshift.Full}, true},
		{"503 slots", "503 No\r\nX-Over-Slots: 1", aspenshift.Outcome{Result: aspenshift.NotSent, NoSlot: true}, true},
		{"504", "504 No", aspenshift.Outcome{Result: aspenshift.NotSent}, true},
		{"410", "410 No", aspenshift.Outcome{Result: aspenshift.NotSent, Over: true}, true},
		{"redirect", "302 Found\r\nLocation: /elsewhere", aspenshift.Outcome{Result: aspenshift.Errored}, false},
		{"unlisted", "202 Accepted", aspenshift.Outcome{Result: aspenshift.Errored}, false},
		{"garbage", "", aspenshift.Outcome{Result: aspenshift.Reset}, false},
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
				o := target.call(t.Context(), "m1", []byte("two\r\nlines"), time.Minute)
				if o.Took <= 0 {
					t.Errorf("took %v", o.Took)
				}
				o.Took = 0
				if o != c.want {
					t.Errorf("got %+v, want %+v", o, c.want)
				}
				if neverRan(o.Result) != c.never {
					t.Errorf("never ran: %v", !c.never)
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
	if o := ts.open(refuses).call(t.Context(), "m", []byte("x"), time.Minute); o.Result != aspenshift.ConnectFailed {
		t.Errorf("refused: %+v", o)
	}
	if o := ts.open(drops).call(t.Context(), "m", []byte("x"), time.Minute); o.Result != aspenshift.Reset || calls.Load() != 1 {
		t.Errorf("dropped after the call: %+v, %d calls", o, calls.Load())
	}
	if o := ts.open(silent).call(t.Context(), "m", nil, 50*time.Millisecond); o.Result != aspenshift.TimedOut {
		t.Errorf("silent: %+v", o)
	}
	<-arrived
	ctx, cancel := context.WithCancelCause(t.Context())
	go func() {
		<-arrived
		cancel(errCancelled)
	}()
	if o := ts.open(silent).call(ctx, "m", nil, time.Minute); o.Result != aspenshift.Cancelled {
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
		first := target.call(t.Context(), "first", []byte(body), time.Minute)
		second := target.call(t.Context(), "second", []byte(body), time.Minute)
		if first.Result != aspenshift.Done || second.Result != aspenshift.Reset {
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

// TestBrokenCallResult covers what depends on how far a call came.
func TestBrokenCallResult(t *testing.T) {
	for _, c := range []struct {
		cause              error
		connected, written bool
		want               aspenshift.Result
	}{
		{nil, false, false, aspenshift.ConnectFailed},
		{nil, true, false, aspenshift.ConnectFailed}, // broke before the last byte was written
		{nil, true, true, aspenshift.Reset},
		{errTimedOut, false, false, aspenshift.ConnectFailed},
		{errTimedOut, true, false, aspenshift.TimedOut}, // the last byte may be out without a word of it
		{errTimedOut, true, true, aspenshift.TimedOut},
		{errCancelled, false, false, aspenshift.ConnectFailed},
		{errCancelled, true, true, aspenshift.Cancelled},
	} {
		if got := brokenCall(c.cause, c.connected, c.written); got != c.want {
			t.Errorf("%+v: got %v", c, got)
		}
	}
}

func TestTargetAddresses(t *testing.T) {
	ts := testTargets()
	ts.list(&List{Snapshot: true, Endpoints: []Endpoint{{Name: "a", Address: "127.0.0.1:1"}, {Name: "b", Address: "127.0.0.1:2"}}})
	a := ts.byName["a"]
	ts.list(&List{Endpoints: []Endpoint{{Name: "a", Address: "127.0.0.1:1", Status: statusDraining}, {Name: "b", Address: "127.0.0.1:3"}}})
	if ts.byName["a"] != a || ts.byName["b"].address != "127.0.0.1:3" {
		t.Errorf("after a change: %v", ts.byName)
	}
	ts.list(&List{Endpoints: []Endpoint{{Name: "a", Status: statusDeleted}}})
	ts.list(&List{Snapshot: true})
	if len(ts.byName) != 0 {
		t.Errorf("left over: %v", ts.byName)
	}
}
