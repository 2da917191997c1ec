package faults

import (
	"net"
	"os"
	"syscall"
	"time"
)

// Listener is a listener whose accepts fail as a plan says.
type Listener struct {
	*net.TCPListener
	plan *Plan
}

// Listen listens on a TCP address.
func Listen(address string, plan *Plan) (net.Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Listener{TCPListener: ln.(*net.TCPListener), plan: plan}, nil
}

// Accept waits for a connection. One that is to fail is taken back by the system, as after ECONNABORTED, or still waits, as after EMFILE: here it
// fails before one is taken.
func (l *Listener) Accept() (net.Conn, error) {
	if err := l.plan.Fails("accept"); err != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", err)}
	}
	return l.TCPListener.Accept()
}

// SetDeadline bounds Accept.
func (l *Listener) SetDeadline(t time.Time) error { return l.TCPListener.SetDeadline(t) }

// DialControl has connects fail as a plan says.
func (p *Plan) DialControl(string, string, syscall.RawConn) error { return p.Fails("connect") }
