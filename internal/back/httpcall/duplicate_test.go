package httpcall

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
	"scaleroute/internal/message"
)

const (
	overloadedResponse = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
	okResponse         = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
)

// startDuplicatingEndpoint starts an endpoint that responds to odd calls with 200 and to even ones with 503, and writes each 200 again
// after a delay.
func startDuplicatingEndpoint(t *testing.T, delay time.Duration) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	serve := func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if number, _ := strconv.Atoi(request.Header.Get("Req-Id")); number%2 == 0 {
				time.Sleep(2 * delay) // so that the client has read the duplicate before
				io.WriteString(conn, overloadedResponse)
				continue
			}
			io.WriteString(conn, okResponse)
			time.AfterFunc(delay, func() { io.WriteString(conn, okResponse) })
		}
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return ln.Addr().String()
}

// TestDuplicateResponseNotMatchedToNextCall guards against reading the duplicate of a response as the response to the next call.
func TestDuplicateResponseNotMatchedToNextCall(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 12 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			ep := newDefaultBack().newEndpoint(startDuplicatingEndpoint(t, delay))
			for number := 1; number <= 20; number++ {
				want := decide.Succeeded
				if number%2 == 0 {
					want = decide.Overloaded
				}
				attempt := engine.Attempt{ID: strconv.Itoa(number), Body: message.Bytes("x"), Timeout: time.Minute}
				if o := ep.Call(t.Context(), attempt); o.Result != want {
					t.Errorf("call %d: %v, want %v", number, o.Result, want)
				}
			}
		})
	}
}

// TestLateDuplicateMarksAddressSuspect guards against duplicates that arrive later than the usual reuse delay: once one has been seen, the
// address's connections are reused after the longer delay.
func TestLateDuplicateMarksAddressSuspect(t *testing.T) {
	const delay = 50 * time.Millisecond
	back := newDefaultBack()
	ep := back.newEndpoint(startDuplicatingEndpoint(t, delay))
	call := func(number int) decide.Result {
		return ep.Call(t.Context(), engine.Attempt{ID: strconv.Itoa(number), Body: message.Bytes("x"), Timeout: time.Minute}).Result
	}
	if got := call(1); got != decide.Succeeded {
		t.Fatal(got)
	}
	time.Sleep(2 * delay) // the duplicate has arrived by then
	call(2)
	for number := 3; number < 9; number++ {
		want := decide.Succeeded
		if number%2 == 0 {
			want = decide.Overloaded
		}
		if got := call(number); got != want {
			t.Errorf("call %d: %v, want %v", number, got, want)
		}
		time.Sleep(reuseDelay)
	}
}
