package standin

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	stalledBacklog = 0   // the kernel admits one connection more than this
	openBacklog    = 128 // once the listener is open
	maxFillers     = 8   // connections that fill the accept queue
	fillerTimeout  = 50 * time.Millisecond
)

// StalledListener is a listening socket whose accept queue is full, so that connections to it neither are established nor fail. Once it is opened,
// those that are still being tried are established with their next SYN, about a second after the one before.
type StalledListener struct {
	file    *os.File
	address string
	fillers []net.Conn
	once    sync.Once
}

// Stall listens at an address, "127.0.0.1:0" for any port, and fills the accept queue.
func Stall(address string) (*StalledListener, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("stalled listener: %w", err)
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	s := &StalledListener{file: os.NewFile(uintptr(fd), address)}
	if err := s.listen(fd, at); err != nil {
		s.file.Close()
		return nil, fmt.Errorf("stalled listener at %s: %w", address, err)
	}
	if err := s.fill(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *StalledListener) listen(fd int, at netip.AddrPort) error {
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}); err != nil {
		return err
	}
	if err := syscall.Listen(fd, stalledBacklog); err != nil {
		return err
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		return err
	}
	s.address = netip.AddrPortFrom(at.Addr(), uint16(bound.(*syscall.SockaddrInet4).Port)).String()
	return nil
}

// fill connects until the accept queue is full and a connection is not established any more.
func (s *StalledListener) fill() error {
	for range maxFillers {
		conn, err := net.DialTimeout("tcp", s.address, fillerTimeout)
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			return nil
		}
		if err != nil {
			return err
		}
		s.fillers = append(s.fillers, conn)
	}
	return fmt.Errorf("stalled listener at %s: %d connections do not fill its accept queue", s.address, maxFillers)
}

// Address returns the address that it listens at.
func (s *StalledListener) Address() string { return s.address }

// Open empties the accept queue and returns a listener of the same socket. The StalledListener must not be used afterwards.
func (s *StalledListener) Open() (ln net.Listener, err error) {
	s.once.Do(func() {
		defer s.file.Close()
		if ln, err = net.FileListener(s.file); err != nil {
			return
		}
		for _, filler := range s.fillers {
			filler.Close()
			var accepted net.Conn
			if accepted, err = ln.Accept(); err != nil {
				ln.Close()
				return
			}
			accepted.Close()
		}
		err = syscall.Listen(int(s.file.Fd()), openBacklog)
	})
	return ln, err
}

// Close ends it, unless it was opened.
func (s *StalledListener) Close() {
	s.once.Do(func() {
		for _, filler := range s.fillers {
			filler.Close()
		}
		s.file.Close()
	})
}
