package httpcall

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
	"scaleroute/internal/message"
)

// TestResponseReceivedWhileProcessPaused: the forwarder makes no progress (stopped, or without a core) from when the request is written
// until the call's deadline has passed or the call is cancelled. Meanwhile the response arrives, cut at each of its bytes. A complete
// response counts as if it had been read in time; an incomplete one is not waited for any longer.
func TestResponseReceivedWhileProcessPaused(t *testing.T) {
	const response = "HTTP/1.1 429 No\r\nX-RateLimit-Wait-Ms: 60000\r\nContent-Length: 2\r\n\r\nno"
	for _, cancelled := range []bool{false, true} {
		for at := range len(response) + 1 {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			wrote, release := make(chan bool), make(chan bool)
			go func() {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				conn.Write([]byte(response[:at]))
				close(wrote)
				<-release
			}()
			ctx, cancel := context.WithCancel(t.Context())
			a := engine.Attempt{ID: "m", Body: message.Bytes(nil), Timeout: 20 * time.Millisecond}
			if cancelled {
				a.Timeout = time.Minute
			}
			began := time.Now()
			a.OnWritten = func() {
				if <-wrote; cancelled {
					cancel()
				} else {
					time.Sleep(time.Until(began.Add(2 * a.Timeout)))
				}
			}
			o := newTestBack().endpointAt(ln.Addr().String()).Call(ctx, a)
			want := decide.TimedOut
			switch {
			case at == len(response):
				want = decide.Overloaded
			case at > 0:
				want = decide.Errored
			case cancelled:
				want = decide.Cancelled
			}
			if o.Result != want || at == len(response) && o.RetryAfter < 59*time.Second {
				t.Errorf("cancelled: %v, cut at %d: %+v", cancelled, at, o)
			}
			cancel()
			close(release)
			ln.Close()
		}
	}
}
