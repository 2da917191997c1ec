package resp2

import (
	"context"
	"net"
	"slices"
	"time"
)

const (
	keepIdle  = 2 * time.Second        // a client may count on its connection for so long
	keepNew   = 100 * time.Millisecond // and on one that it has not used yet for so long
	roomPause = 5 * time.Millisecond   // until one of those ends
	// Who waits for room gives up after 400 ms. So where nobody has been idle for that long the one idle longest goes all the same, which its
	// client takes for no answer to anything; and then who has been in the middle of a request for longer than any waits for an answer.
	roomIdle   = 50 * time.Millisecond
	roomHalf   = 100 * time.Millisecond
	keepHalf   = 200 * time.Millisecond
	roomAtOnce = 16 // one in so many of all connections: others wait behind the one that does
	// crowdedFor is how long after that those who come are taken to have waited already: they have, in the kernel's queue, behind the one that did.
	crowdedFor = time.Second
)

// idleConn is a connection that may be closed to make room.
type idleConn struct {
	net.Conn
	*clientState
}

// candidates are the connections that may be closed to make room.
type candidates struct {
	overdue idleConn   // the one that has had its time for longest; without a Conn if none has
	idle    []idleConn // between two requests, but not for long
	half    []idleConn // in the middle of a request
	ending  int        // those that have been told to end
}

// admit counts in a connection that came at a time if there is room, and makes some if not.
func (c *Server) admit(conn net.Conn, came time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.handing.on {
		return false
	}
	now := time.Now()
	if len(c.conns) >= c.most {
		c.makeRoom(now, now.Sub(came))
		return false
	}
	c.conns[conn] = &clientState{idle: true, since: now}
	c.wg.Add(1)
	return true
}

// makeRoom ends the connections that are least missed, once somebody has waited for room for so long: of those idle that may be closed the
// one idle longest; where there is none, some of those idle longest; and where none is idle, some of those longest in the middle of a request.
// Connections are accepted one by one, so those behind the one that waits do as well, where nobody sees for how long. So once some had to
// be closed early, the next ones are closed without a wait: each would add to that of all behind it.
func (c *Server) makeRoom(now time.Time, waited time.Duration) {
	from := c.candidates(now)
	if now.Before(c.crowded) {
		waited = max(waited, roomHalf)
	}
	switch {
	case from.overdue.Conn != nil:
		c.endLongest([]idleConn{from.overdue}, now)
	case from.ending > 0: // there is room as soon as they have ended
	case len(from.idle) > 0 && waited >= roomIdle:
		c.endLongest(from.idle, now)
		c.crowded = now.Add(crowdedFor)
	case len(from.idle) == 0 && len(from.half) > 0 && waited >= roomHalf:
		c.endLongest(from.half, now.Add(FinalReadGrace))
		c.crowded = now.Add(crowdedFor)
	}
}

// candidates finds the connections that may be closed. The lock is held.
func (c *Server) candidates(now time.Time) candidates {
	var from candidates
	var most time.Duration
	for conn, s := range c.conns {
		if s.shed {
			from.ending++
			continue
		}
		over := now.Sub(s.since) - keepIdle
		if !s.used {
			over = now.Sub(s.since) - keepNew
		}
		switch {
		case s.idle && over >= most:
			from.overdue, most = idleConn{conn, s}, over
		case s.idle && s.used: // a new one is not closed before it had its time: its request would have no second chance
			from.idle = append(from.idle, idleConn{conn, s})
		case s.reading && now.Sub(s.since) >= keepHalf:
			from.half = append(from.half, idleConn{conn, s})
		}
	}
	return from
}

// endLongest ends some of these connections, those longest in their state first. What comes until last is still read. The lock is held.
func (c *Server) endLongest(list []idleConn, last time.Time) {
	slices.SortFunc(list, func(a, b idleConn) int { return a.since.Compare(b.since) })
	for _, o := range list[:min(len(list), max(1, c.most/roomAtOnce))] {
		o.shed, o.last = true, last
		o.SetReadDeadline(last) // its own goroutine closes it, unless a request, or its rest, has just come
	}
}

// waitForRoom waits until a connection has ended, or until more of them may be.
func (c *Server) waitForRoom(ctx context.Context) {
	t := time.NewTimer(roomPause)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-c.ended:
	case <-t.C:
	}
}
