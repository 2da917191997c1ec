package resp2

import (
	"errors"
	"time"
)

// A drain by hand: clients are sent away and may come back. It goes the way of a planned stop, but the listener stays open, for PING
// and for the way back, and each step can be left again.

const (
	drainLook = 500 * time.Millisecond // until whoever deals out connections has seen that PING says no
	drainNew  = 250 * time.Millisecond // a connection that comes after that has so long for its one request
)

// ErrStopping is the answer to a drain once the end has begun.
var ErrStopping = errors.New("this process is stopping: its clients are sent away for good")

// drain is what a drain is at.
type drain struct {
	closing bool // connections are closed once nothing is read or answered on them
	timer   *time.Timer
}

// Drain sends clients away: PING says no from now on, and the connections are closed, idle ones first, once new ones have stopped
// coming. To drain twice changes nothing.
func (c *Server) Drain() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return ErrStopping
	}
	c.drained.Store(true)
	if c.drain.timer == nil {
		c.drain.timer = time.AfterFunc(drainLook, c.drainIdle)
	}
	return nil
}

// Resume takes clients again, at whatever step a drain is.
func (c *Server) Resume() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return ErrStopping
	}
	c.drained.Store(false)
	if c.drain.timer != nil {
		c.drain.timer.Stop()
	}
	c.drain = drain{}
	return nil
}

// Draining tells whether clients are sent away.
func (c *Server) Draining() bool { return c.drained.Load() }

// drainIdle closes what is idle. What is not closes itself after its answer.
func (c *Server) drainIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.drained.Load() || c.closing {
		return
	}
	c.drain.closing = true
	c.closeIdle()
}

// closeIdle has the connections between requests end, after a last look. The server is locked.
func (c *Server) closeIdle() {
	for conn, s := range c.conns {
		if s.idle {
			conn.SetReadDeadline(time.Now().Add(FinalReadGrace))
		}
	}
}
