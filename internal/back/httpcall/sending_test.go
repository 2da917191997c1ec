package httpcall

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
	"scaleroute/internal/message"
)

// TestNothingIsWrittenBeforeRecord: the attempt was recorded before the connection was established. Now the record comes when the connection is ready, and
// not a byte is written before it, or without it.
func TestNothingIsWrittenBeforeRecord(t *testing.T) {
	var calls atomic.Int32
	address, conns := startEndpoint(t, func(*http.Request, string) string {
		calls.Add(1)
		return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	})
	b := newTestBack()
	e := b.endpointAt(address)
	for _, permits := range []bool{false, true} {
		asked := 0
		attempt := engine.Attempt{ID: "m", Body: message.Bytes("x"), Timeout: time.Minute, RecordSending: func(context.Context) bool {
			asked++
			if calls.Load() != 0 || b.pool.openConns != 1 {
				t.Errorf("permits=%t: %d calls and %d connections when the record is made", permits, calls.Load(), b.pool.openConns)
			}
			return permits
		}}
		want := decide.NotSent
		if permits {
			want = decide.Succeeded
		}
		if o := e.Call(t.Context(), attempt); o.Result != want || asked != 1 {
			t.Errorf("permits=%t: %+v, asked %d times", permits, o, asked)
		}
	}
	if calls.Load() != 1 || conns.Load() != 1 {
		t.Errorf("%d calls over %d connections, want one of each", calls.Load(), conns.Load())
	}
}

// TestRecordTimeIsNotLatency: how long the record takes counts for the time limit of a call, and not for the latency of its endpoint.
func TestRecordTimeIsNotLatency(t *testing.T) {
	address, _ := startEndpoint(t, func(*http.Request, string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" })
	const recordTime = 300 * time.Millisecond
	attempt := engine.Attempt{ID: "m", Body: message.Bytes("x"), Timeout: time.Minute, RecordSending: func(context.Context) bool {
		time.Sleep(recordTime)
		return true
	}}
	began := time.Now()
	o := newTestBack().endpointAt(address).Call(t.Context(), attempt)
	if took := time.Since(began); o.Result != decide.Succeeded || o.Latency > took-recordTime {
		t.Errorf("%+v after %v", o, took)
	}
}

// unreadableBody is a body on a disk that fails.
type unreadableBody struct{ message.Bytes }

func (unreadableBody) Load() ([]byte, error) { return nil, syscall.EIO }

// TestReservedConnection: an idle connection is reserved without waiting, used by the call that it was reserved for, and idle again after its release. A call
// whose reserved connection the endpoint has closed since is not sent.
func TestReservedConnection(t *testing.T) {
	address, conns := startEndpoint(t, func(*http.Request, string) string { return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" })
	b := newTestBack()
	e := b.endpointAt(address)
	if c := e.ReserveConnection(); c != nil {
		t.Fatalf("reserved %v before the first call", c)
	}
	attempt := engine.Attempt{ID: "m", Body: message.Bytes("x"), Timeout: time.Minute}
	if o := e.Call(t.Context(), attempt); o.Result != decide.Succeeded {
		t.Fatalf("%+v", o)
	}
	reserve := func() engine.ReservedConnection {
		for limit := time.Now().Add(time.Minute); time.Now().Before(limit); time.Sleep(time.Millisecond) {
			if c := e.ReserveConnection(); c != nil { // its reuse delay is over
				return c
			}
		}
		t.Fatal("the idle connection can't be reserved")
		return nil
	}
	c := reserve()
	if second := e.ReserveConnection(); second != nil {
		t.Error("one connection is reserved twice")
	}
	c.Release()
	attempt.Connection = reserve()
	if o := e.Call(t.Context(), attempt); o.Result != decide.Succeeded || conns.Load() != 1 {
		t.Errorf("%+v over %d connections", o, conns.Load())
	}
	attempt.Connection, attempt.Body = reserve(), unreadableBody{}
	if o := e.Call(t.Context(), attempt); o.Result != decide.NotSent {
		t.Errorf("without its body: %+v", o)
	}
	attempt.Connection, attempt.Body = reserve(), message.Bytes("x") // which that call has released
	attempt.Connection.(*conn).Conn.(*net.TCPConn).CloseRead()       // as if the endpoint had closed it
	if o := e.Call(t.Context(), attempt); o.Result != decide.NotSent || b.pool.openConns != 0 {
		t.Errorf("closed since it was reserved: %+v, %d connections", o, b.pool.openConns)
	}
}
