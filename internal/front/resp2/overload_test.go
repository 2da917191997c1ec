package resp2

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"scaleroute/internal/engine"
	"scaleroute/internal/message"
)

// queueListener is a listener that returns connections in the order in which they were made, like the kernel's accept queue.
type queueListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (q *queueListener) Accept() (net.Conn, error) {
	select {
	case conn := <-q.conns:
		return conn, nil
	case <-q.closed:
		return nil, net.ErrClosed
	}
}

func (q *queueListener) Close() error   { close(q.closed); return nil }
func (q *queueListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }

// connect makes a client connect, send request if that is not empty, and stay. It increments inTime if the client gets a positive reply in time.
func (q *queueListener) connect(request string, inTime *atomic.Int32) {
	near, far := net.Pipe()
	q.conns <- far
	near.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := fmt.Fprint(near, request); err != nil {
		return
	}
	r := bufio.NewReader(near)
	if text, err := r.ReadString('\n'); err == nil && text[0] == '+' {
		inTime.Add(1)
	}
	near.SetDeadline(time.Time{})
	r.ReadByte() // until the server closes the connection
	near.Close()
}

// answerTimeout is how long a client waits for its reply.
const answerTimeout = 400 * time.Millisecond

// TestOverloadOfNewConnections guards against an accept queue that grows without bound. For some seconds, clients connect that send one request and stay, or
// send nothing, many times as many as the server admits. Messages that arrive on new connections among them are answered within answerTimeout.
func TestOverloadOfNewConnections(t *testing.T) {
	const maxConns, perRound, rounds = 204, 30, 100 // per second: 300 clients that stay or are silent, and 30 messages
	for name, request := range map[string]string{"one request": resp("PING"), "silent": ""} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				listener := &queueListener{conns: make(chan net.Conn, 1<<20), closed: make(chan struct{})}
				server := New(listener, maxConns, acceptorFunc(func(*message.Message) engine.Answer { return engine.Answer{} }))
				ctx, cancel := context.WithCancel(t.Context())
				go server.Serve(ctx)
				var pinged, answered atomic.Int32
				for n := range rounds {
					for i := range perRound {
						if i%10 == 0 {
							go listener.connect(resp("ENQUEUE", "k", fmt.Sprintf("m%d-%d", n, i), "c=note,d=1500,dest=3", "x"), &answered)
						}
						go listener.connect(request, &pinged)
					}
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(answerTimeout)
				if answered.Load() != rounds*perRound/10 {
					t.Errorf("%d of %d messages were answered within %v", answered.Load(), rounds*perRound/10, answerTimeout)
				}
				if len(listener.conns) > 0 {
					t.Errorf("%d connections are still queued", len(listener.conns))
				}
				cancel()
				server.Close()
				server.wg.Wait()
			})
		})
	}
}
