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
				call := engine.Attempt{ID: "m", Body: message.Bytes("x"), Timeout: time.Minute, OnRetryAfter: func(d time.Duration) { told.Store(int64(d)) }}
				o := testTargets().open(oneAnswer(t, answer[:n], end)).Call(t.Context(), call)
				if want := n >= line; (told.Load() == int64(wait)) != want || (o.RetryAfter > wait-5*time.Second) != want || o.RetryAfter > wait {
					t.Errorf("%s, %s behind byte %d %q: told %v, the outcome %+v", name, how, n, answer[max(0, n-12):n], time.Duration(told.Load()), o)
				}
				wanted := decide.Errored
				switch {
				case n == len(answer):
					wanted = decide.Overloaded
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
				over <- target.Call(t.Context(), engine.Attempt{ID: "m", Body: message.Bytes("x"), Timeout: time.Minute, OnRetryAfter: func(d time.Duration) { told <- d }})
			}()
			select {
			case d := <-told:
				if d != time.Minute {
					t.Errorf("told %v", d)
				}
			case o := <-over:
				t.Fatalf("the call ended before anybody was told: %+v", o)
			}
			if o := <-over; o.Result != decide.Errored || o.RetryAfter > time.Minute-answerTime/2 || o.RetryAfter < time.Minute-10*time.Second {
				t.Errorf("%+v", o) // half a second of the wait was over
			}
		})
	}
}

// TestIdleTimes: a connection is never kept for as long as its target keeps it, and one whose time is over is not used though no timer has
// closed it yet.
func TestIdleTimes(t *testing.T) {
	for _, theirs := range []time.Duration{time.Millisecond, 100 * time.Millisecond, time.Second, 2 * time.Second, 15 * time.Second, time.Hour} {
		if ours := New(Config{MaxConnections: 1, EndpointIdleTimeout: theirs}).pool.idleTime; ours >= theirs || ours < theirs/2 {
			t.Errorf("%v for targets that close after %v", ours, theirs)
		}
	}
	if ours := New(Config{MaxConnections: 1}).pool.idleTime; ours != unknownIdle {
		t.Errorf("%v where nobody tells", ours)
	}
	for _, limit := range []time.Duration{0, time.Second, time.Hour} {
		p := New(Config{ConnectTimeout: limit}).pool
		for _, left := range []time.Duration{-time.Second, 0, 300 * time.Millisecond, time.Minute} {
			want := max(left, time.Millisecond)
			if limit > 0 {
				want = min(want, limit)
			}
			if got := p.connectTime(left); got != want {
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
	if o := target.Call(t.Context(), a); o.Result != decide.Succeeded || conns.Load() != 2 {
		t.Errorf("%+v by connection %d", o, conns.Load())
	}
}

// TestResumeHearsWait: the answer to a call that is handed over tells a wait: wherever it is cut between the two processes, the one that goes on with the
// call tells it.
func TestResumeHearsWait(t *testing.T) {
	const answer = "HTTP/1.1 429 No\r\nX-RateLimit-Wait-Ms: 60000\r\nContent-Length: 4\r\n\r\nbusy"
	for cut := range len(answer) + 1 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		near, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		far, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(far, answer[cut:])
		var told atomic.Int64
		o := testTargets().Resume(t.Context(), "t", &engine.InFlightCall{Address: ln.Addr().String(), Conn: near, Read: []byte(answer[:cut]), Began: time.Now(), Deadline: time.Now().Add(time.Minute)},
			engine.Attempt{ID: "m", OnRetryAfter: func(d time.Duration) { told.Store(int64(d)) }})
		if time.Duration(told.Load()) != time.Minute || o.Result != decide.Overloaded || o.RetryAfter != time.Minute {
			t.Errorf("cut behind byte %d: told %v, %+v", cut, time.Duration(told.Load()), o)
		}
		far.Close()
		ln.Close()
	}
}

// TestCutAtEachByte: on a new connection or one that was used before, the target reads so many bytes of a call and ends or resets the connection, or answers so many
// bytes of each kind of answer and does. It has run a call that it has read whole. No outcome says that a call never ran which did; none that a call was turned
// away whose answer did not come whole; a first line that says 200 is believed; and nothing is sent again by itself.
func TestCutAtEachByte(t *testing.T) {
	const body = "some bytes of a message"
	answers := []string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno", "HTTP/1.1 503 No\r\nSrv-Load: x0=0,x1=2\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 504 No\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 429 No\r\nX-RateLimit-Wait-Ms: 700\r\nContent-Length: 0\r\n\r\n"}
	type step struct {
		answer string
		read   int // bytes of the request; negative: all
		write  int // of the answer
		reset  bool
		used   bool
	}
	var steps []step
	for _, used := range []bool{false, true} {
		for _, reset := range []bool{false, true} {
			for n := 0; n < 140; n += 7 { // a call has some 150
				steps = append(steps, step{"", n, 0, reset, used})
			}
			for _, a := range answers {
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
	var mu sync.Mutex // of the next three
	var now step
	ran, calls := false, 0
	var handlers sync.WaitGroup
	handle := func(conn net.Conn, s step) {
		defer handlers.Done()
		defer conn.Close()
		r := bufio.NewReader(conn)
		whole := func() bool {
			req, err := http.ReadRequest(r)
			if err == nil {
				_, err = io.Copy(io.Discard, req.Body)
			}
			return err == nil
		}
		if s.used {
			whole()
			io.WriteString(conn, answers[0])
		}
		if s.read >= 0 {
			io.CopyN(io.Discard, r, int64(s.read))
		} else if whole() {
			mu.Lock()
			ran, calls = true, calls+1
			mu.Unlock()
			io.WriteString(conn, s.answer[:s.write])
		}
		if s.reset {
			if s.write > 0 {
				time.Sleep(2 * time.Millisecond) // what was written is read first
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
		target := testTargets().open(ln.Addr().String())
		a := engine.Attempt{ID: "m", Body: message.Bytes(body), Timeout: time.Minute}
		if s.used {
			if o := target.Call(t.Context(), a); o.Result != decide.Succeeded {
				t.Fatalf("%+v", o)
			}
		}
		o := target.Call(t.Context(), a)
		target.CloseIdle()
		<-accepted
		handlers.Wait()
		for len(accepted) > 0 { // one more, where the used one was seen to be closed
			<-accepted
		}
		mu.Lock()
		never := o.Result == decide.Overloaded || o.Result == decide.ConnectFailed || o.Result == decide.NotSent
		switch {
		case ran && never && s.write < len(s.answer):
			t.Errorf("%+v: %+v, and it has run", s, o)
		case never && o.Result != decide.ConnectFailed && s.write < len(s.answer):
			t.Errorf("%+v: turned away by what did not come whole: %+v", s, o)
		case strings.HasPrefix(s.answer, "HTTP/1.1 200") && s.write > strings.Index(s.answer, "\n") && o.Result != decide.Succeeded:
			t.Errorf("%+v: %+v", s, o)
		case calls > 1:
			t.Errorf("%+v: %d calls", s, calls)
		}
		mu.Unlock()
	}
}
