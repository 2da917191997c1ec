package main

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"scaleroute/internal/config"
)

// TestSocketMadeBlocking: whoever holds the clients' socket makes it blocking, as os/exec does when it starts the next process, while this one accepts. It
// still stops accepting when it is to: a hand-over that waited for the next client ended as a new process that never got the folder.
func TestSocketMadeBlocking(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	held, err := ln.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	fd, err := syscall.Dup(int(held.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	f := &forwarder{c: &config.Config{SocketFD: fd, Name: "n0", StateDir: t.TempDir()}}
	if err := f.inherit(); err != nil {
		t.Fatal(err)
	}
	accepted := make(chan error, 10)
	go func() {
		for {
			conn, err := f.inherited.Accept()
			accepted <- err
			if err != nil {
				return
			}
			conn.Close()
		}
	}()
	connect := func() {
		if conn, err := net.Dial("tcp", ln.Addr().String()); err == nil {
			conn.Close()
		}
	}
	connect()
	if err := <-accepted; err != nil {
		t.Fatal(err)
	}
	held.Fd() // it blocks from now on
	connect()
	if err := <-accepted; err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond) // until the next accept waits in the kernel; longer only shows more
	f.inherited.(shared).SetDeadline(time.Unix(1, 0))
	select {
	case err := <-accepted:
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("accept: %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("it goes on accepting until the next client comes")
		connect()
	}
}
