// Package socket looks at connections on which nothing is expected.
package socket

import (
	"net"
	"syscall"
)

// State is the state of a connection on which no response is due.
type State int

const (
	Quiet   State = iota
	Closed        // closed by the other side, or failed
	HasData       // bytes have arrived that no request explains
)

// Probe looks at a connection without blocking, through its descriptor. It takes a byte that has arrived, so that a connection with data can't be used
// any more.
type Probe struct {
	raw    syscall.RawConn // nil: the connection has no descriptor
	buffer [1]byte
}

// NewProbe returns the probe of a connection.
func NewProbe(c net.Conn) Probe {
	p := Probe{}
	if s, ok := c.(syscall.Conn); ok {
		p.raw, _ = s.SyscallConn()
	}
	return p
}

// State returns the connection's state. One without a descriptor counts as closed.
func (p *Probe) State() State {
	if p.raw == nil {
		return Closed
	}
	var count int
	var readErr error
	err := p.raw.Control(func(fd uintptr) { count, readErr = syscall.Read(int(fd), p.buffer[:]) }) // the socket is non-blocking
	switch {
	case err == nil && readErr == syscall.EAGAIN:
		return Quiet
	case err == nil && readErr == nil && count > 0:
		return HasData
	}
	return Closed
}

// ReadAvailable reads bytes that have arrived already, also after a deadline has passed.
func (p *Probe) ReadAvailable(b []byte) (n int) {
	if p.raw == nil || len(b) == 0 {
		return 0
	}
	p.raw.Control(func(fd uintptr) { n, _ = syscall.Read(int(fd), b) })
	return max(n, 0)
}
