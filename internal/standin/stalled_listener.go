package standin

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"
)

const (
	stalledBacklog = 0   // the kernel admits one connection more than this
	openBacklog    = 128 // once the listener is open again
	maxFillers     = 32  // connections that fill the accept queue
	fillerTimeout  = 50 * time.Millisecond
)

// StalledListener is a listening socket whose accept queue is full, so that connections to it neither are established nor fail. Once it is opened,
// those that are still being tried are established with their next SYN, about a second after the one before.
type StalledListener struct {
	ln      *net.TCPListener
	fillers []net.Conn
}

// Stall listens at an address, "127.0.0.1:0" for any port, and fills the accept queue.
func Stall(address string) (*StalledListener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s, err := StallListener(ln.(*net.TCPListener))
	if err != nil {
		ln.Close()
		return nil, err
	}
	return s, nil
}

// StallListener makes Accept of a listener fail with a deadline, and fills its accept queue.
func StallListener(ln *net.TCPListener) (*StalledListener, error) {
	s := &StalledListener{ln: ln}
	err := ln.SetDeadline(time.Unix(1, 0))
	if err == nil {
		err = s.setBacklog(stalledBacklog)
	}
	if err == nil {
		err = s.fill()
	}
	if err != nil {
		s.closeFillers()
		return nil, fmt.Errorf("stalling the listener at %s: %w", s.Address(), err)
	}
	return s, nil
}

func (s *StalledListener) setBacklog(backlog int) error {
	raw, err := s.ln.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), backlog) })
	return errors.Join(err, listenErr)
}

// fill connects until the accept queue is full and a connection is not established any more.
func (s *StalledListener) fill() error {
	for range maxFillers {
		conn, err := net.DialTimeout("tcp", s.Address(), fillerTimeout)
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			return nil
		}
		if err != nil {
			return err
		}
		s.fillers = append(s.fillers, conn)
	}
	return fmt.Errorf("%d connections do not fill its accept queue", maxFillers)
}

func (s *StalledListener) closeFillers() {
	for _, filler := range s.fillers {
		filler.Close()
	}
	s.fillers = nil
}

// Address returns the address that it listens at.
func (s *StalledListener) Address() string { return s.ln.Addr().String() }

// Open returns the listener, ready to accept. Connections that were established while it was stalled are reset: besides those that filled the queue, one
// of another client may be among them, which has written to a process that is no longer there.
func (s *StalledListener) Open() (net.Listener, error) {
	s.closeFillers()
	return s.ln, errors.Join(s.resetQueued(), s.setBacklog(openBacklog), s.ln.SetDeadline(time.Time{}))
}

// resetQueued resets the connections in the accept queue.
func (s *StalledListener) resetQueued() error {
	raw, err := s.ln.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) {
		for {
			conn, _, err := syscall.Accept4(int(fd), syscall.SOCK_CLOEXEC)
			if err != nil { // the queue is empty: the socket does not block
				return
			}
			syscall.SetsockoptLinger(conn, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
			syscall.Close(conn)
		}
	})
}

// Close closes the listener.
func (s *StalledListener) Close() {
	s.closeFillers()
	s.ln.Close()
}
