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
	fullAnswer = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
	goodAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
)

// repeatingTarget answers odd calls 200 and even ones 503, and writes each 200 once more so long behind the first.
func repeatingTarget(t *testing.T, behind time.Duration) (address string) {
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
				time.Sleep(2 * behind) // what came before is read first
				io.WriteString(conn, fullAnswer)
				continue
			}
			io.WriteString(conn, goodAnswer)
			time.AfterFunc(behind, func() { io.WriteString(conn, goodAnswer) })
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

// TestRepeatedAnswerEndsNoLaterCall guards against a second copy of an answer that is taken for the next call's.
func TestRepeatedAnswerEndsNoLaterCall(t *testing.T) {
	for _, behind := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond, 12 * time.Millisecond} {
		t.Run(behind.String(), func(t *testing.T) {
			t.Parallel()
			target := restingTargets().open(repeatingTarget(t, behind))
			for number := 1; number <= 20; number++ {
				want := decide.Succeeded
				if number%2 == 0 {
					want = decide.Overloaded
				}
				attempt := engine.Attempt{ID: strconv.Itoa(number), Body: message.Bytes("x"), Timeout: time.Minute}
				if o := target.Call(t.Context(), attempt); o.Result != want {
					t.Errorf("call %d: %v, want %v", number, o.Result, want)
				}
			}
		})
	}
}

// TestLateRepeatIsHeldAgainstItsAddress guards against copies that come later than connections rest, once one was seen.
func TestLateRepeatIsHeldAgainstItsAddress(t *testing.T) {
	const behind = 50 * time.Millisecond
	back := restingTargets()
	target := back.open(repeatingTarget(t, behind))
	call := func(number int) decide.Result {
		return target.Call(t.Context(), engine.Attempt{ID: strconv.Itoa(number), Body: message.Bytes("x"), Timeout: time.Minute}).Result
	}
	if got := call(1); got != decide.Succeeded {
		t.Fatal(got)
	}
	time.Sleep(2 * behind) // the copy has come by then
	call(2)
	for number := 3; number < 9; number++ {
		want := decide.Succeeded
		if number%2 == 0 {
			want = decide.Overloaded
		}
		if got := call(number); got != want {
			t.Errorf("call %d: %v, want %v", number, got, want)
		}
		time.Sleep(repeatWindow)
	}
}
