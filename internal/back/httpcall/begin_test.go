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

// TestBeginIsAsked: a call that may not begin any more once its connection is there is not made; nothing was written to the connection, so
// the next one goes by it, and it has been idle for as long as it had been before.
func TestBeginIsAsked(t *testing.T) {
	var calls, conns atomic.Int64
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			conns.Add(1)
		}
	}
	s.Start()
	defer s.Close()
	b := testTargets()
	b.UpdateEndpoints(engine.List{Scope: decide.Snapshot, Endpoints: []engine.Endpoint{{Target: decide.Target{ID: "t"}, Address: s.Listener.Addr().String()}}})
	may := false
	a := engine.Attempt{ID: "m", Body: message.Bytes("x"), Timeout: time.Minute, MayBegin: func() bool { return may }}
	since := time.Time{}
	for range 2 {
		if o := b.Endpoint("t").Call(t.Context(), a); o.Result != decide.NotSent || calls.Load() != 0 || b.pool.open != 1 {
			t.Errorf("%+v, %d calls, %d connections", o, calls.Load(), b.pool.open)
		}
		if c := b.pool.idle.first; c == nil || !since.IsZero() && c.since != since {
			t.Fatalf("its connection is not idle as before: %+v", c)
		} else {
			since = c.since
		}
	}
	may = true
	off, cancel := context.WithCancel(t.Context())
	cancel()
	for range 100 { // called off before its first byte: what ends its connection then comes too late, now and then
		if o := b.Endpoint("t").Call(off, a); o.Result != decide.NotSent || calls.Load() != 0 {
			t.Fatalf("called off: %+v, %d calls", o, calls.Load())
		}
	}
	if o := b.Endpoint("t").Call(t.Context(), a); o.Result != decide.Succeeded || calls.Load() != 1 || conns.Load() != 1 {
		t.Errorf("%+v, %d calls, %d connections", o, calls.Load(), conns.Load())
	}
}
