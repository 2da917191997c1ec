package agent

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"scaleroute/internal/engine"
)

// TestRepeatedAnswerTakesNoNotice guards against a notice that counts as taken by a second copy of the answer to the one before.
func TestRepeatedAnswerTakesNoNotice(t *testing.T) {
	const (
		takenAnswer    = "HTTP/1.1 204 No Content\r\n\r\n"
		refusedAnswer  = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
		repeatBehind   = 2 * time.Millisecond
		refusedBehind  = 20 * time.Millisecond
		noticesRefused = 1 // the second call
	)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	calls := make(chan int, 100)
	serve := func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			io.Copy(io.Discard, request.Body)
			number := len(calls)
			calls <- number
			if number == noticesRefused {
				time.Sleep(refusedBehind)
				io.WriteString(conn, refusedAnswer)
				continue
			}
			io.WriteString(conn, takenAnswer)
			time.AfterFunc(repeatBehind, func() { io.WriteString(conn, takenAnswer) })
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
	p := New(ln.Addr().String(), Fleet{})
	arrived := make(chan int, 10)
	go p.DeliverNotices(t.Context(), func(refs []string) { arrived <- len(calls) })
	p.NotifyCompletion(engine.Completion{ID: "first", Failed: true})
	if got := <-arrived; got != 1 {
		t.Fatalf("the first notice is taken by call %d", got)
	}
	p.NotifyCompletion(engine.Completion{ID: "second", Failed: true})
	if got := <-arrived; got != 3 {
		t.Errorf("the second notice counts as taken after %d calls, of which the second was refused", got)
	}
}
