package resp2

import (
	"context"
	"net"
	"slices"
	"time"
)

const (
	minIdleTime       = 2 * time.Second        // an idle connection that was used may be evicted after this
	minNewTime        = 100 * time.Millisecond // and one that was not used yet, after this
	evictPollInterval = 5 * time.Millisecond   // between two checks whether one of them may be evicted
	// A client that waits for a connection gives up after 400 ms. If no connection has been idle for minIdleTime, those idle longest are therefore evicted
	// early, which their clients don't take for the loss of a request. If none is idle, those are evicted that have been in the middle of a request for
	// minPartialTime, whose clients are assumed to wait for no answer any more.
	evictIdleAfter    = 50 * time.Millisecond
	evictPartialAfter = 100 * time.Millisecond
	minPartialTime    = 200 * time.Millisecond
	// A connection whose last answer is less than activeTime ago belongs to a client that is being served. It is evicted only if no other may be, and
	// after a wait in which the requests that are being read come of age: its client would have to wait behind the crowd that it gives way to.
	activeTime       = time.Second
	evictActiveAfter = minPartialTime + 50*time.Millisecond
	evictFraction    = 16 // at most one in 16 of all connections is evicted at once: further clients wait behind the one that is being accepted
	// overloadPeriod follows an early eviction: connections accepted within it count as having waited already, as they have in the kernel's queue, behind
	// the one that caused the eviction.
	overloadPeriod = time.Second
)

// evictableConn is a connection that may be evicted.
type evictableConn struct {
	net.Conn
	*connState
}

// evictionCandidates are the connections that may be evicted in favour of a new one.
type evictionCandidates struct {
	overdue evictableConn   // the one that has exceeded its minimum time by most; without a Conn if there is none
	idle    []evictableConn // used, not active, and idle for less than the minimum time
	active  []evictableConn // used within activeTime, and idle
	partial []evictableConn // in the middle of a request for minPartialTime
	reading int             // the number of those in the middle of a request, however long
	closing int             // the number of those that are being evicted
}

// admit adds a connection. If there are as many as may be, it evicts some where it may, and reports false.
func (s *Server) admit(conn net.Conn, acceptedAt time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.detach.active {
		return false
	}
	now := time.Now()
	if len(s.conns) >= s.maxConns {
		s.evict(now, now.Sub(acceptedAt))
		return false
	}
	s.conns[conn] = &connState{idle: true, since: now}
	s.reportConnections()
	s.wg.Add(1)
	return true
}

// evict closes the connections whose loss matters least, once a client has waited for a connection for the time waited: of the idle ones over their
// minimum time, the one furthest over it; failing that, some of those idle longest; if none is, some of those longest in the middle of a request; and as a
// last resort, some whose clients are being served.
// Connections are accepted one by one, so that further clients wait behind the first one, for a time that can't be seen. Once some connections had to
// be closed early, the next evictions are therefore made without a wait, which would add to that of all clients behind.
func (s *Server) evict(now time.Time, waited time.Duration) {
	candidates := s.findCandidates(now)
	waitedForActive := waited
	if now.Before(s.activeOverloadedUntil) {
		waitedForActive = evictActiveAfter
	}
	if now.Before(s.overloadedUntil) {
		waited = max(waited, evictPartialAfter)
	}
	switch {
	case candidates.overdue.Conn != nil:
		s.evictLongest([]evictableConn{candidates.overdue}, now)
	case candidates.closing > 0: // a new one is admitted as soon as they have ended
	case len(candidates.idle) > 0 && waited >= evictIdleAfter:
		s.evictLongest(candidates.idle, now)
		s.overloadedUntil = now.Add(overloadPeriod)
	case len(candidates.idle) == 0 && len(candidates.partial) > 0 && waited >= evictPartialAfter:
		s.evictLongest(candidates.partial, now.Add(FinalReadGrace))
		s.overloadedUntil = now.Add(overloadPeriod)
	case len(candidates.active) > 0 && !candidates.hasOthers(s.maxConns) && waitedForActive >= evictActiveAfter:
		s.evictLongest(candidates.active, now)
		s.activeOverloadedUntil = now.Add(overloadPeriod)
	}
}

// hasOthers reports whether connections other than the active ones may be evicted now, or soon: where a good part is in the middle of a request, some of
// these come of age.
func (c *evictionCandidates) hasOthers(maxConns int) bool {
	return len(c.idle) > 0 || len(c.partial) > 0 || c.reading > maxConns/evictFraction
}

// findCandidates returns the connections that may be evicted. The server is locked.
func (s *Server) findCandidates(now time.Time) evictionCandidates {
	var candidates evictionCandidates
	var longest time.Duration
	for conn, state := range s.conns {
		if state.evicted {
			candidates.closing++
			continue
		}
		if state.reading {
			candidates.reading++
		}
		excess := now.Sub(state.since) - minIdleTime
		if !state.used {
			excess = now.Sub(state.since) - minNewTime
		}
		switch {
		case state.idle && excess >= longest:
			candidates.overdue, longest = evictableConn{conn, state}, excess
		case state.idle && state.used && now.Sub(state.since) < activeTime:
			candidates.active = append(candidates.active, evictableConn{conn, state})
		case state.idle && state.used: // a new one is not evicted before its minimum time: its request could not be repeated
			candidates.idle = append(candidates.idle, evictableConn{conn, state})
		case state.reading && now.Sub(state.since) >= minPartialTime:
			candidates.partial = append(candidates.partial, evictableConn{conn, state})
		}
	}
	return candidates
}

// evictLongest evicts some of these connections, those longest in their state first. What arrives before the time until is still read. The server is locked.
func (s *Server) evictLongest(list []evictableConn, until time.Time) {
	slices.SortFunc(list, func(a, b evictableConn) int { return a.since.Compare(b.since) })
	for _, conn := range list[:min(len(list), max(1, s.maxConns/evictFraction))] {
		conn.evicted, conn.evictAt = true, until
		conn.SetReadDeadline(until) // its own goroutine closes it, unless a request, or the rest of one, has just arrived
	}
}

// waitForCapacity waits until a connection has ended, or until it is time to look again for connections that may be evicted.
func (s *Server) waitForCapacity(ctx context.Context) {
	timer := time.NewTimer(evictPollInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-s.connEnded:
	case <-timer.C:
	}
}
