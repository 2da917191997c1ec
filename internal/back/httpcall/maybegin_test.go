package httpcall

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
	"scaleroute/internal/message"
)

// TestMayBeginRefuses checks that a call is not made if MayBegin refuses it once its connection is established. Nothing was written to that
// connection, so the next call uses it, and its idle time continues.
func TestMayBeginRefuses(t *testing.T) {
	var calls, conns atomic.Int64
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			conns.Add(1)
		}
	}
	s.Start()
	defer s.Close()
	b := newTestBack()
	b.UpdateEndpoints(engine.List{Scope: decide.Snapshot, Endpoints: []engine.Endpoint{{Target: decide.Target{ID: "t"}, Address: s.Listener.Addr().String()}}})
	allowed := false
	a := engine.Attempt{ID: "m", Body: message.Bytes("x"), Timeout: time.Minute, MayBegin: func() bool { return allowed }}
	since := time.Time{}
	for range 2 {
		if o := b.Endpoint("t").Call(t.Context(), a); o.Result != decide.NotSent || calls.Load() != 0 || b.pool.openConns != 1 {
			t.Errorf("%+v, %d calls, %d connections", o, calls.Load(), b.pool.openConns)
		}
		if c := b.pool.idle.first; c == nil || !since.IsZero() && c.idleSince != since {
			t.Fatalf("the connection is not idle since the same time: %+v", c)
		} else {
			since = c.idleSince
		}
	}
	allowed = true
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	for range 100 { // cancelled before the first byte: the abort of the connection sometimes comes too late to prevent the call
		if o := b.Endpoint("t").Call(cancelled, a); o.Result != decide.NotSent || calls.Load() != 0 {
			t.Fatalf("cancelled: %+v, %d calls", o, calls.Load())
		}
	}
	if o := b.Endpoint("t").Call(t.Context(), a); o.Result != decide.Succeeded || calls.Load() != 1 || conns.Load() != 1 {
		t.Errorf("%+v, %d calls, %d connections", o, calls.Load(), conns.Load())
	}
}
