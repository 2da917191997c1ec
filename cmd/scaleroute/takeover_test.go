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

// TestAcceptOnBlockingSocket guards against a handover that waits for the next client, so that the new process never gets the state folder. It comes about when
// another holder of the clients' socket makes it blocking, as os/exec does when it starts the next process, while this process accepts from it. The accept must
// still end at its deadline.
func TestAcceptOnBlockingSocket(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	shared, err := ln.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer shared.Close()
	fd, err := syscall.Dup(int(shared.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	f := &forwarder{config: &config.Config{SocketFD: fd, Name: "n0", StateDir: t.TempDir()}}
	if err := f.inheritSocket(); err != nil {
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
	shared.Fd() // makes the socket blocking
	connect()
	if err := <-accepted; err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond) // until the next accept waits in the kernel; a longer wait could only find more
	f.inherited.(sharedListener).SetDeadline(time.Unix(1, 0))
	select {
	case err := <-accepted:
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("accept: %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("accept did not end at its deadline, but waits for the next client")
		connect()
	}
}
