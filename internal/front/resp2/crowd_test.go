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

// queue is a listener whose connections come in the order in which they were made, as from the kernel's queue.
type queue struct {
	conns chan net.Conn
	over  chan struct{}
}

func (q *queue) Accept() (net.Conn, error) {
	select {
	case conn := <-q.conns:
		return conn, nil
	case <-q.over:
		return nil, net.ErrClosed
	}
}

func (q *queue) Close() error   { close(q.over); return nil }
func (q *queue) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }

// comes has a client connect that sends a request and stays, or sends nothing if that is empty. It counts those that were answered in time.
func (q *queue) comes(request string, inTime *atomic.Int32) {
	near, far := net.Pipe()
	q.conns <- far
	near.SetDeadline(time.Now().Add(patience))
	if _, err := fmt.Fprint(near, request); err != nil {
		return
	}
	r := bufio.NewReader(near)
	if text, err := r.ReadString('\n'); err == nil && text[0] == '+' {
		inTime.Add(1)
	}
	near.SetDeadline(time.Time{})
	r.ReadByte() // until it is ended
	near.Close()
}

// patience is how long a client waits for its answer.
const patience = 400 * time.Millisecond

// TestRoomForCrowd: for some seconds connections come that ask once and stay, or never send a thing, many times as many as there is room for. Messages that come
// on new connections among them are answered within a client's patience: nobody waits behind a queue that grows.
func TestRoomForCrowd(t *testing.T) {
	const most, each, rounds = 204, 30, 100 // 300 a second that stay, or that say nothing, and 30 messages
	for name, request := range map[string]string{"ask once and stay": resp("PING"), "say nothing": ""} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := &queue{conns: make(chan net.Conn, 1<<20), over: make(chan struct{})}
				c := New(q, most, taker(func(*message.Message) engine.Answer { return engine.Answer{} }))
				ctx, cancel := context.WithCancel(t.Context())
				go c.Serve(ctx)
				var asked, answered atomic.Int32
				for n := range rounds {
					for i := range each {
						if i%10 == 0 {
							go q.comes(resp("ENQUEUE", "k", fmt.Sprintf("m%d-%d", n, i), "c=note,d=1500,dest=3", "x"), &answered)
						}
						go q.comes(request, &asked)
					}
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(patience)
				if answered.Load() != rounds*each/10 {
					t.Errorf("%d of %d messages were answered within %v", answered.Load(), rounds*each/10, patience)
				}
				if len(q.conns) > 0 {
					t.Errorf("%d connections are still queued", len(q.conns))
				}
				cancel()
				c.Close()
				c.wg.Wait()
			})
		})
	}
}
