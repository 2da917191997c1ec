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

// TestDuplicateResponseAcknowledgesNoNotice guards against a notice that counts as accepted because of a duplicate of the response to the notice before.
func TestDuplicateResponseAcknowledgesNoNotice(t *testing.T) {
	const (
		acceptedResponse = "HTTP/1.1 204 No Content\r\n\r\n"
		refusedResponse  = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
		duplicateDelay   = 2 * time.Millisecond
		refusalDelay     = 20 * time.Millisecond
		refusedCall      = 1 // the second one
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
			if number == refusedCall {
				time.Sleep(refusalDelay)
				io.WriteString(conn, refusedResponse)
				continue
			}
			io.WriteString(conn, acceptedResponse)
			time.AfterFunc(duplicateDelay, func() { io.WriteString(conn, acceptedResponse) })
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
		t.Fatalf("the first notice counts as accepted after %d calls", got)
	}
	p.NotifyCompletion(engine.Completion{ID: "second", Failed: true})
	if got := <-arrived; got != 3 {
		t.Errorf("the second notice counts as accepted after %d calls, of which the second was refused", got)
	}
}
