package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// relay is the network between the forwarder and a target: it passes on what comes, in order, each piece after a delay.
type relay struct {
	ln    net.Listener
	to    string
	delay time.Duration                    // of what goes to the target
	back  func(piece []byte) time.Duration // of what comes from it
	came  func(piece []byte, at time.Time) // called when a piece from the target was passed on
}

func (r *relay) listen() (err error) {
	if r.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	go func() {
		for {
			conn, err := r.ln.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	return nil
}

func (r *relay) serve(near net.Conn) {
	defer near.Close()
	far, err := net.Dial("tcp", r.to)
	if err != nil {
		return
	}
	defer far.Close()
	var both sync.WaitGroup
	both.Go(func() { pass(far, near, func([]byte) time.Duration { return r.delay }, nil) })
	both.Go(func() { pass(near, far, r.back, r.came) })
	both.Wait()
}

// pass passes on what comes from one connection to the other, and then its end.
func pass(to, from net.Conn, delay func([]byte) time.Duration, came func([]byte, time.Time)) {
	type piece struct {
		bytes []byte
		due   time.Time
	}
	pieces := make(chan piece, 64)
	go func() {
		defer close(pieces)
		for {
			buffer := make([]byte, 32<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				pieces <- piece{buffer[:n], time.Now().Add(delay(buffer[:n]))}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.due))
		if _, err := to.Write(p.bytes); err != nil {
			from.Close()
			io.Copy(io.Discard, from)
			continue
		}
		if came != nil {
			came(p.bytes, time.Now())
		}
	}
	if c, ok := to.(*net.TCPConn); ok {
		c.CloseWrite()
	}
}
