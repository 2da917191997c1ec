package resp2

import (
	"errors"
	"time"
)

// A drain by an operator sends clients to other forwarders for a time. It takes the steps of a planned stop, except that the listener stays open, for
// PING and for clients that return, and that each step can be undone.

const (
	drainDetectTime     = 500 * time.Millisecond // until the load balancer has noticed that PING is refused
	drainRequestTimeout = 250 * time.Millisecond // for the one request of a connection that is accepted after that
)

// ErrStopping is the error of Drain and Resume once the server is being closed or detached.
var ErrStopping = errors.New("this process is stopping: its clients are sent away for good")

// drainState is the progress of a drain.
type drainState struct {
	closing bool // connections are closed once no request is read or answered on them
	timer   *time.Timer
}

// Drain sends clients to other forwarders: PING is refused from now on, and connections are closed, idle ones first, once new ones have stopped
// coming. A second call changes nothing.
func (s *Server) Drain() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return ErrStopping
	}
	s.draining.Store(true)
	if s.drain.timer == nil {
		s.drain.timer = time.AfterFunc(drainDetectTime, s.drainIdle)
	}
	return nil
}

// Resume ends a drain at whatever step it is, and accepts clients again.
func (s *Server) Resume() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return ErrStopping
	}
	s.draining.Store(false)
	if s.drain.timer != nil {
		s.drain.timer.Stop()
	}
	s.drain = drainState{}
	return nil
}

// Draining reports whether the server drains.
func (s *Server) Draining() bool { return s.draining.Load() }

// drainIdle closes the idle connections. Each other one is closed by its own goroutine after the response.
func (s *Server) drainIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.draining.Load() || s.closing {
		return
	}
	s.drain.closing = true
	s.closeIdle()
}

// closeIdle has idle connections end after FinalReadGrace, within which a request is still read. The server is locked.
func (s *Server) closeIdle() {
	for conn, state := range s.conns {
		if state.idle {
			conn.SetReadDeadline(time.Now().Add(FinalReadGrace))
		}
	}
}
