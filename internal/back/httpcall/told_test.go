package httpcall

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
	"scaleroute/internal/message"
)

// oneAnswer is a target that writes some text to each call and then does something with the connection.
func oneAnswer(t *testing.T, text string, then func(*net.TCPConn)) string {
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

// TestToldAtEachByte: an answer that tells a wait breaks off behind each of its bytes, by an end, a reset or silence. The wait is told if and
// only if its line had come whole, and while the call is still out; the outcome has what is left of it; and a call whose answer is not whole
// counts as one that may have run.
func TestToldAtEachByte(t *testing.T) {
	const wait = time.Minute
	for name, answer := range map[string]string{
		"plain":      "HTTP/1.1 429 No\r\nSrv-Load: x0=0,x1=2\r\nX-RateLimit-Wait-Ms: 60000\r\nContent-Length: 4\r\n\r\nbusy",
		"chunked":    "HTTP/1.1 429 No\r\nx-ratelimit-wait-ms:60000\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbusy\r\n0\r\n\r\n",
		"behind 1xx": "HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 429 No\r\nX-RateLimit-Wait-Ms: 60000\r\nContent-Length: 0\r\n\r\n",
	} {
		line := strings.Index(strings.ToLower(answer), "60000\r\n") + len("60000\r\n")
		for n := 0; n <= len(answer); n++ {
			for how, end := range map[string]func(*net.TCPConn){
				"end":   func(*net.TCPConn) {},
				"reset": func(c *net.TCPConn) { time.Sleep(5 * time.Millisecond); c.SetLinger(0) }, // what was written is read first
			} {
				var told atomic.Int64
				call := engine.Attempt{ID: "m", Body: message.Bytes("x"), Timeout: time.Minute, Told: func(d time.Duration) { told.Store(int64(d)) }}
				o := testTargets().open(oneAnswer(t, answer[:n], end)).Call(t.Context(), call)
				if want := n >= line; (told.Load() == int64(wait)) != want || (o.Wait > wait-5*time.Second) != want || o.Wait > wait {
					t.Errorf("%s, %s behind byte %d %q: told %v, the outcome %+v", name, how, n, answer[max(0, n-12):n], time.Duration(told.Load()), o)
				}
				wanted := decide.Errored
				switch {
				case n == len(answer):
					wanted = decide.Full
				case n == 0:
					wanted = decide.Reset
				}
				if o.Result != wanted {
					t.Errorf("%s, %s behind byte %d: %+v, want %v", name, how, n, o, wanted)
				}
			}
		}
	}
}

// TestToldBeforeTheEnd: a wait is told while the rest of its answer does not come: the call is still out, and others may not begin.
func TestToldBeforeTheEnd(t *testing.T) {
	for name, answer := range map[string]string{
		"no end of the head": "HTTP/1.1 429 No\r\nX-RateLimit-Wait-Ms: 60000\r\nContent-Le",
		"no body":            "HTTP/1.1 429 No\r\nX-RateLimit-Wait-Ms: 60000\r\nContent-Length: 4\r\n\r\n",
		"no end of the body": "HTTP/1.1 429 No\r\nX-RateLimit-Wait-Ms: 60000\r\nContent-Length: 400\r\n\r\nbusy",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			heard := make(chan bool)
			defer close(heard)
			target := testTargets().open(oneAnswer(t, answer, func(*net.TCPConn) { <-heard }))
			told, over := make(chan time.Duration, 1), make(chan decide.Outcome, 1)
			go func() {
				over <- target.Call(t.Context(), engine.Attempt{ID: "m", Body: message.Bytes("x"), Timeout: time.Minute, Told: func(d time.Duration) { told <- d }})
			}()
			select {
			case d := <-told:
				if d != time.Minute {
					t.Errorf("told %v", d)
				}
			case o := <-over:
				t.Fatalf("the call ended before anybody was told: %+v", o)
			}
			if o := <-over; o.Result != decide.Errored || o.Wait > time.Minute-answerTime/2 || o.Wait < time.Minute-10*time.Second {
				t.Errorf("%+v", o) // half a second of the wait was over
			}
		})
	}
}

// TestIdleTimes: a connection is never kept for as long as its target keeps it, and one whose time is over is not used though no timer has
// closed it yet.
func TestIdleTimes(t *testing.T) {
	for _, theirs := range []time.Duration{time.Millisecond, 100 * time.Millisecond, time.Second, 2 * time.Second, 15 * time.Second, time.Hour} {
		if ours := New(Config{Connections: 1, ConnIdle: theirs}).pool.idleTime; ours >= theirs || ours < theirs/2 {
			t.Errorf("%v for targets that close after %v", ours, theirs)
		}
	}
	if ours := New(Config{Connections: 1}).pool.idleTime; ours != unknownIdle {
		t.Errorf("%v where nobody tells", ours)
	}
	for _, limit := range []time.Duration{0, time.Second, time.Hour} {
		p := New(Config{ConnectLimit: limit}).pool
		for _, left := range []time.Duration{-time.Second, 0, 300 * time.Millisecond, time.Minute} {
			if got := p.connectTime(left); got <= 0 || got > max(left, time.Millisecond) || limit > 0 && got > limit {
				t.Errorf("a connection may take %v of %v, limit %v", got, left, limit)
			}
		}
	}
	address, conns := rawTarget(t, func(*http.Request, string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" })
	target := testTargets().open(address)
	a := engine.Attempt{ID: "m", Body: message.Bytes("x"), Timeout: time.Minute}
	target.Call(t.Context(), a)
	p := target.pool
	p.mu.Lock()
	p.idle.first.since = time.Now().Add(-p.idleTime) // the timer, set for later, is late
	p.mu.Unlock()
	if o := target.Call(t.Context(), a); o.Result != decide.Done || conns.Load() != 2 {
		t.Errorf("%+v by connection %d", o, conns.Load())
	}
}
