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

// TestCallHandover checks that a call can be handed over to another Back after any part of its response: its outcome is the same as
// without the handover, and the endpoint receives the call once.
func TestCallHandover(t *testing.T) {
	for _, response := range []struct {
		text   string
		result decide.Result
		wait   time.Duration
	}{
		{"HTTP/1.1 200 OK\r\nSrv-Load: x0=0.4,x1=25\r\nContent-Length: 5\r\n\r\nhello", decide.Succeeded, 0},
		{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 429 No\r\nX-RateLimit-Wait-Ms: 700\r\nContent-Length: 0\r\n\r\n", decide.Overloaded, 700 * time.Millisecond},
	} {
		for at := range len(response.text) {
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
							fmt.Fprint(conn, response.text[:at])
							part <- true
							<-rest
							fmt.Fprint(conn, response.text[at:])
						}
					}()
				}
			}()
			list := engine.List{Scope: decide.Snapshot, Endpoints: []engine.Endpoint{{Target: decide.Target{ID: "t"}, Address: ln.Addr().String()}}}
			first, second := newTestBack(), newTestBack()
			first.UpdateEndpoints(list)
			second.UpdateEndpoints(list)
			ctx, cancel := context.WithCancelCause(t.Context())
			handedOver := make(chan *engine.InFlightCall, 1)
			attempt := engine.Attempt{ID: "m", Body: message.Bytes("x"), Timeout: time.Minute, HandOver: func(p *engine.InFlightCall) { handedOver <- p }}
			ended := make(chan decide.Outcome, 1)
			go func() { ended <- first.Endpoint("t").Call(ctx, attempt) }()
			<-part
			cancel(engine.ErrHandOver)
			<-ended
			var p *engine.InFlightCall
			select {
			case p = <-handedOver:
			default:
				t.Fatalf("cut at %d: the call is not handed over", at)
			}
			close(rest)
			attempt.HandOver = nil
			o := second.Resume(t.Context(), "t", p, attempt)
			if o.Result != response.result || o.RetryAfter != response.wait || o.NoAnswerNeeded != (response.result == decide.Succeeded) {
				t.Errorf("cut at %d: %+v", at, o)
			}
			// The second back keeps the connection and uses it for the next call.
			if o := second.Endpoint("t").Call(t.Context(), engine.Attempt{ID: "next", Body: message.Bytes("x"), Timeout: time.Minute}); o.Result != decide.Succeeded {
				t.Errorf("cut at %d: the next call: %+v", at, o)
			}
			if idle := second.ReleaseIdle(); len(idle) != 1 || len(calls) != 2 || first.pool.openConns != 0 || second.pool.openConns != 0 {
				t.Errorf("cut at %d: %d idle, %d calls, %d and %d open", at, len(idle), len(calls), first.pool.openConns, second.pool.openConns)
			} else {
				third := newTestBack()
				third.UpdateEndpoints(list)
				third.AdoptIdle(idle)
				if third.pool.openConns != 1 || third.pool.idle.first == nil {
					t.Errorf("cut at %d: the idle connection is not adopted", at)
				}
				idle[0].Conn.Close()
			}
			ln.Close()
		}
	}
}

// TestDrainedWhileConnecting checks that a call that was decided on but has not begun is not made once its endpoint is draining.
func TestDrainedWhileConnecting(t *testing.T) {
	var served atomic.Int32
	address, _ := startEndpoint(t, func(*http.Request, string) string {
		served.Add(1)
		return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	})
	b := newTestBack()
	e := engine.Endpoint{Target: decide.Target{ID: "t"}, Address: address}
	b.UpdateEndpoints(engine.List{Scope: decide.Snapshot, Endpoints: []engine.Endpoint{e}})
	ep := b.Endpoint("t")
	wrote := 0
	call := func() decide.Outcome {
		return ep.Call(t.Context(), engine.Attempt{ID: "m", Body: message.Bytes("x"), Timeout: time.Minute, OnWritten: func() { wrote++ }})
	}
	if o := call(); o.Result != decide.Succeeded || wrote != 1 {
		t.Fatalf("%+v, written %d times", o, wrote)
	}
	e.State = decide.Draining
	b.UpdateEndpoints(engine.List{Scope: decide.Delta, Endpoints: []engine.Endpoint{e}})
	if o := call(); o.Result != decide.NotSent || served.Load() != 1 || wrote != 1 {
		t.Errorf("while draining: %+v, served %d times, written %d times", o, served.Load(), wrote)
	}
	e.State = decide.Active
	b.UpdateEndpoints(engine.List{Scope: decide.Delta, Endpoints: []engine.Endpoint{e}})
	if o := call(); o.Result != decide.Succeeded {
		t.Errorf("active again: %+v", o)
	}
}

// TestDrainedDuringMayBegin: a process may be stopped while MayBegin runs, and receive a newer list before it continues. A call to an endpoint
// that is draining in that list is not made, whatever MayBegin returns.
func TestDrainedDuringMayBegin(t *testing.T) {
	var served atomic.Int32
	address, _ := startEndpoint(t, func(*http.Request, string) string {
		served.Add(1)
		return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	})
	b := newTestBack()
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

// TestWithdrawnBeforeFirstByte: a message is not written to an endpoint that was withdrawn or drains, however a list says so, while the call waited for a
// connection or for its permission; and the next incarnation is called over connections of its own.
func TestWithdrawnBeforeFirstByte(t *testing.T) {
	for name, end := range map[string]func(e engine.Endpoint) engine.List{
		"gone":                    func(e engine.Endpoint) engine.List { e.State = decide.Gone; return deltaOf(e) },
		"draining":                func(e engine.Endpoint) engine.List { e.State = decide.Draining; return deltaOf(e) },
		"missing from a snapshot": func(engine.Endpoint) engine.List { return engine.List{Scope: decide.Snapshot} },
		"moved":                   func(e engine.Endpoint) engine.List { e.Address = "127.0.0.1:1"; return deltaOf(e) },
		"other destination":       func(e engine.Endpoint) engine.List { e.Destination++; return deltaOf(e) },
		"restarted":               func(e engine.Endpoint) engine.List { e.StartedMS++; return deltaOf(e) },
		"gone and listed again": func(e engine.Endpoint) engine.List {
			gone := e
			gone.State = decide.Gone
			return deltaOf(gone, e)
		},
	} {
		t.Run(name, func(t *testing.T) {
			var served atomic.Int32
			address, conns := startEndpoint(t, func(*http.Request, string) string {
				served.Add(1)
				return okResponse
			})
			b := newTestBack()
			e := engine.Endpoint{Target: decide.Target{ID: "t", Destination: 7}, Address: address, StartedMS: 1}
			b.UpdateEndpoints(engine.List{Scope: decide.Snapshot, Endpoints: []engine.Endpoint{e}})
			ep := b.Endpoint("t")
			var withheld []string
			attempt := engine.Attempt{ID: "m", Body: message.Bytes("x"), Timeout: time.Minute, OnWithheld: func(reason string) { withheld = append(withheld, reason) },
				MayBegin: func() bool {
					b.UpdateEndpoints(end(e))
					return true
				}}
			if o := ep.Call(t.Context(), attempt); o.Result != decide.NotSent || served.Load() != 0 || len(withheld) != 1 {
				t.Errorf("%+v, served %d times, withheld %q", o, served.Load(), withheld)
			}
			b.UpdateEndpoints(deltaOf(e))
			attempt.MayBegin = nil
			connsBefore := conns.Load()
			if o := b.Endpoint("t").Call(t.Context(), attempt); o.Result != decide.Succeeded {
				t.Fatalf("the next incarnation: %+v", o)
			}
			if isNew := b.Endpoint("t") != ep; isNew && conns.Load() == connsBefore {
				t.Error("the next incarnation was called over the former one's connection")
			}
		})
	}
}

func deltaOf(endpoints ...engine.Endpoint) engine.List {
	return engine.List{Scope: decide.Delta, Endpoints: endpoints}
}
