package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"scaleroute/internal/standin"
)

// call is one call that a target has read completely.
type call struct {
	id          string
	at          string // the address
	first, last time.Time
	status      int
}

// target is what listens at one address. Which listed target it belongs to is the case's affair.
type target struct {
	w       *world
	ln      net.Listener
	address string

	mu     sync.Mutex
	calls  []call
	conns  map[net.Conn]bool
	answer func(id string) (status int, header string, wait time.Duration)
}

func (w *world) newTarget() (*target, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &target{w: w, ln: ln, address: ln.Addr().String(), conns: map[net.Conn]bool{},
		answer: func(string) (int, string, time.Duration) { return 200, "", 0 }}
	go func() {
		for {
			conn, err := ln.Accept()
			if errors.Is(err, os.ErrDeadlineExceeded) { // its connections come up late
				time.Sleep(time.Millisecond)
				continue
			}
			if err != nil {
				return
			}
			t.mu.Lock()
			t.conns[conn] = true
			t.mu.Unlock()
			go t.serve(conn)
		}
	}()
	w.onClose(func() {
		ln.Close()
		t.closeConns()
	})
	return t, nil
}

// comeUpLate has new connections come up only after some time.
func (t *target) comeUpLate(after time.Duration) error {
	stalled, err := standin.StallListener(t.ln.(*net.TCPListener))
	if err != nil {
		return err
	}
	t.w.note("new connections to %s come up late", t.address)
	time.AfterFunc(after, func() {
		_, err := stalled.Open()
		t.w.note("new connections to %s come up again: %v", t.address, err)
	})
	return nil
}

// closeConns closes all connections, as a process that ends.
func (t *target) closeConns() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.conns {
		conn.Close()
	}
}

// setAnswer sets what a call is answered with, and after which time.
func (t *target) setAnswer(answer func(id string) (int, string, time.Duration)) {
	t.mu.Lock()
	t.answer = answer
	t.mu.Unlock()
}

// seen returns the calls so far.
func (t *target) seen() []call {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]call(nil), t.calls...)
}

func (t *target) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		t.mu.Lock()
		delete(t.conns, conn)
		t.mu.Unlock()
	}()
	r := bufio.NewReader(conn)
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		c := call{at: t.address, first: time.Now()}
		length := -1
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			line = strings.TrimRight(line, "\r\n")
			if line == "" {
				break
			}
			name, value, _ := strings.Cut(line, ":")
			switch value = strings.TrimSpace(value); strings.ToLower(name) {
			case "req-id":
				c.id = value
			case "content-length":
				length, _ = strconv.Atoi(value)
			}
		}
		if length < 0 {
			fmt.Fprint(conn, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			return
		}
		if _, err := io.CopyN(io.Discard, r, int64(length)); err != nil {
			return
		}
		c.last = time.Now()
		t.mu.Lock()
		answer := t.answer
		t.mu.Unlock()
		status, header, wait := answer(c.id)
		time.Sleep(wait)
		c.status = status
		t.mu.Lock()
		t.calls = append(t.calls, c)
		t.mu.Unlock()
		t.w.note("call: %s at %s, read at %s, answered %d", c.id, t.address, t.w.at(c.last), status)
		if status == 0 { // silent
			io.Copy(io.Discard, r)
			return
		}
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 %d X\r\n%sContent-Length: 0\r\n\r\n", status, header); err != nil {
			return
		}
	}
}
