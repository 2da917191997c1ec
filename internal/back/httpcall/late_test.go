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

// TestAnswerBeforeWeLook: the forwarder is held up (stopped, or without a core) from when its message is written whole until after the end of the
// call's time, or until the call is called off, while the answer came meanwhile, up to each of its bytes. A whole answer is believed, as
// one that was read in time; of one that is not whole by then nothing more is waited for.
func TestAnswerBeforeWeLook(t *testing.T) {
	const answer = "HTTP/1.1 429 No\r\nX-RateLimit-Wait-Ms: 60000\r\nContent-Length: 2\r\n\r\nno"
	for _, off := range []bool{false, true} {
		for at := range len(answer) + 1 {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			wrote, end := make(chan bool), make(chan bool)
			go func() {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				conn.Write([]byte(answer[:at]))
				close(wrote)
				<-end
			}()
			ctx, cancel := context.WithCancel(t.Context())
			a := engine.Attempt{ID: "m", Body: message.Bytes(nil), Timeout: 20 * time.Millisecond}
			if off {
				a.Timeout = time.Minute
			}
			began := time.Now()
			a.OnWritten = func() {
				if <-wrote; off {
					cancel()
				} else {
					time.Sleep(time.Until(began.Add(2 * a.Timeout)))
				}
			}
			o := testTargets().open(ln.Addr().String()).Call(ctx, a)
			want := decide.TimedOut
			switch {
			case at == len(answer):
				want = decide.Overloaded
			case at > 0:
				want = decide.Errored
			case off:
				want = decide.Cancelled
			}
			if o.Result != want || at == len(answer) && o.RetryAfter < 59*time.Second {
				t.Errorf("called off: %v, cut at %d: %+v", off, at, o)
			}
			cancel()
			close(end)
			ln.Close()
		}
	}
}
