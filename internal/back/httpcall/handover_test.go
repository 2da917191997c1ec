package httpcall

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
	"scaleroute/internal/message"
)

// TestCallHandedOver: a call goes from back to back after any part of its answer, and ends as if it had not; it is made once.
func TestCallHandedOver(t *testing.T) {
	for _, answer := range []struct {
		text   string
		result decide.Result
		wait   time.Duration
	}{
		{"HTTP/1.1 200 OK\r\nSrv-Load: x0=0.4,x1=25\r\nContent-Length: 5\r\n\r\nhello", decide.Succeeded, 0},
		{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 429 No\r\nX-RateLimit-Wait-Ms: 700\r\nContent-Length: 0\r\n\r\n", decide.Overloaded, 700 * time.Millisecond},
	} {
		for at := range len(answer.text) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			part, rest, calls := make(chan bool), make(chan bool), make(chan string, 10)
			go func() {
				for {
					conn, err := ln.Accept()
					if err != nil {
						return
					}
					go func() {
						defer conn.Close()
						for r := bufio.NewReader(conn); ; {
							req, err := http.ReadRequest(r)
							if err != nil {
								return
							}
							io.Copy(io.Discard, req.Body)
							calls <- req.Header.Get("Req-Id")
							if req.Header.Get("Req-Id") == "next" {
								fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
								continue
							}
							fmt.Fprint(conn, answer.text[:at])
							part <- true
							<-rest
							fmt.Fprint(conn, answer.text[at:])
						}
					}()
				}
			}()
			list := engine.List{Scope: decide.Snapshot, Endpoints: []engine.Endpoint{{Target: decide.Target{ID: "t"}, Address: ln.Addr().String()}}}
			first, second := testTargets(), testTargets()
			first.UpdateEndpoints(list)
			second.UpdateEndpoints(list)
			ctx, cancel := context.WithCancelCause(t.Context())
			kept := make(chan *engine.InFlightCall, 1)
			attempt := engine.Attempt{ID: "m", Body: message.Bytes("x"), Timeout: time.Minute, HandOver: func(p *engine.InFlightCall) { kept <- p }}
			ended := make(chan decide.Outcome, 1)
			go func() { ended <- first.Endpoint("t").Call(ctx, attempt) }()
			<-part
			cancel(engine.ErrHandOver)
			<-ended
			var p *engine.InFlightCall
			select {
			case p = <-kept:
			default:
				t.Fatalf("cut at %d: the call is not handed over", at)
			}
			close(rest)
			attempt.HandOver = nil
			o := second.Resume(t.Context(), "t", p, attempt)
			if o.Result != answer.result || o.RetryAfter != answer.wait || o.NoAnswerNeeded != (answer.result == decide.Succeeded) {
				t.Errorf("cut at %d: %+v", at, o)
			}
			// Its connection is kept there, and used for the next call.
			if o := second.Endpoint("t").Call(t.Context(), engine.Attempt{ID: "next", Body: message.Bytes("x"), Timeout: time.Minute}); o.Result != decide.Succeeded {
				t.Errorf("cut at %d: the next call: %+v", at, o)
			}
			if idle := second.ReleaseIdle(); len(idle) != 1 || len(calls) != 2 || first.pool.open != 0 || second.pool.open != 0 {
				t.Errorf("cut at %d: %d idle, %d calls, %d and %d open", at, len(idle), len(calls), first.pool.open, second.pool.open)
			} else {
				third := testTargets()
				third.UpdateEndpoints(list)
				third.AdoptIdle(idle)
				if third.pool.open != 1 || third.pool.idle.first == nil {
					t.Errorf("cut at %d: the idle connection is not adopted", at)
				}
				idle[0].Conn.Close()
			}
			ln.Close()
		}
	}
}

// TestDrainedWhileConnecting: a call that was decided and has not begun is not made once its target drains.
func TestDrainedWhileConnecting(t *testing.T) {
	var served atomic.Int32
	address, _ := rawTarget(t, func(*http.Request, string) string {
		served.Add(1)
		return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	})
	b := testTargets()
	e := engine.Endpoint{Target: decide.Target{ID: "t"}, Address: address}
	b.UpdateEndpoints(engine.List{Scope: decide.Snapshot, Endpoints: []engine.Endpoint{e}})
	to := b.Endpoint("t")
	wrote := 0
	call := func() decide.Outcome {
		return to.Call(t.Context(), engine.Attempt{ID: "m", Body: message.Bytes("x"), Timeout: time.Minute, OnWritten: func() { wrote++ }})
	}
	if o := call(); o.Result != decide.Succeeded || wrote != 1 {
		t.Fatalf("%+v, written %d times", o, wrote)
	}
	e.State = decide.Draining
	b.UpdateEndpoints(engine.List{Scope: decide.Delta, Endpoints: []engine.Endpoint{e}})
	if o := call(); o.Result != decide.NotSent || served.Load() != 1 || wrote != 1 {
		t.Errorf("drained: %+v, served %d times, written %d times", o, served.Load(), wrote)
	}
	e.State = decide.Active
	b.UpdateEndpoints(engine.List{Scope: decide.Delta, Endpoints: []engine.Endpoint{e}})
	if o := call(); o.Result != decide.Succeeded {
		t.Errorf("put back: %+v", o)
	}
}

// TestDrainedWhileBeginIsAsked: a process may be stopped while it is asked whether a call may begin, and know a newer list once it goes on. A call to an endpoint that drains by that
// list is not made, whatever Begin says.
func TestDrainedWhileBeginIsAsked(t *testing.T) {
	var served atomic.Int32
	address, _ := rawTarget(t, func(*http.Request, string) string {
		served.Add(1)
		return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	})
	b := testTargets()
	e := engine.Endpoint{Target: decide.Target{ID: "t"}, Address: address}
	b.UpdateEndpoints(engine.List{Scope: decide.Snapshot, Endpoints: []engine.Endpoint{e}})
	drain := func() bool {
		e.State = decide.Draining
		b.UpdateEndpoints(engine.List{Scope: decide.Delta, Endpoints: []engine.Endpoint{e}})
		return true
	}
	o := b.Endpoint("t").Call(t.Context(), engine.Attempt{ID: "m", Body: message.Bytes("x"), Timeout: time.Minute, MayBegin: drain})
	if o.Result != decide.NotSent || served.Load() != 0 {
		t.Errorf("%+v, served %d times", o, served.Load())
	}
}
