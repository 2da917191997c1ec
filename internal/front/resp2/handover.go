package resp2

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// DetachedConn is a client's connection that passes from one server to another, in this process or the next one.
type DetachedConn struct {
	Conn   net.Conn
	Unread []byte // bytes read from it but not answered: a part of a request, or more
	Used   bool   // a request was answered on it
}

// detachState is the progress of Detach.
type detachState struct {
	active   bool
	finished bool // further connections are too late for the handover, and are closed
	conns    []DetachedConn
}

// Detach ends the server and returns its connections without closing them: requests that are being processed are answered, and what was read of others is
// returned with their connections. The listener stays open. The connection of a client that does not read its response within the limit is closed, like that of
// one that is silent for too long.
func (s *Server) Detach(limit time.Duration) []DetachedConn {
	s.mu.Lock()
	s.detach.active = true
	s.closing = true // permanently
	if s.drain.timer != nil {
		s.drain.timer.Stop()
	}
	for conn := range s.conns {
		conn.SetReadDeadline(time.Unix(1, 0))
	}
	s.mu.Unlock()
	if l, ok := s.ln.(interface{ SetDeadline(time.Time) error }); ok {
		l.SetDeadline(time.Unix(1, 0))
	}
	s.accepting.Wait() // no connection is admitted from now on
	s.Wait(limit)
	s.mu.Lock()
	for conn := range s.conns {
		conn.SetDeadline(time.Unix(1, 0))
	}
	s.mu.Unlock()
	s.Wait(limit)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detach.finished = true
	return s.detach.conns
}

// keepForHandover adds a connection, with its unanswered bytes, to those that Detach returns. It reports false if the server is not being detached.
func (s *Server) keepForHandover(conn net.Conn, unread []byte, used bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.detach.active || s.detach.finished {
		return false
	}
	s.detach.conns = append(s.detach.conns, DetachedConn{conn, unread, used})
	return true
}

// During a handover no server reads, so that a request that arrives in this gap has less time left than it says. Its time of arrival is not known: a
// request that is there when this server begins is taken to have been sent when the other one stopped reading, but at most maxClientWait ago, since no
// client waits for longer.
const maxClientWait = 400 * time.Millisecond

var gapReadWindow = 50 * time.Millisecond // a request read later than this after the gap was not waiting in it; tests set it

// readGap is the time between two servers in which no server read.
type readGap struct{ start, end time.Time }

// sentAt returns the earliest time at which a request that has just been read can have been sent.
func (g readGap) sentAt(now time.Time) time.Time {
	if g.start.IsZero() || now.Sub(g.end) > gapReadWindow || g.start.After(now) {
		return now
	}
	if oldest := now.Add(-maxClientWait); g.start.Before(oldest) {
		return oldest
	}
	return g.start
}

// CountFromArrival makes the first request of each connection count from when it arrived, and not from when it is read: the listening socket is older than
// this process, and took connections on while it was not served. It is called before Serve.
func (s *Server) CountFromArrival() { s.countFromArrival = true }

// arrivedAt returns when the request that has just been read arrived, as far as the system knows, but at most maxClientWait ago.
func arrivedAt(conn net.Conn, now time.Time) time.Time {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return now
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return now
	}
	age := time.Duration(0)
	raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.SOL_TCP, unix.TCP_INFO); err == nil {
			age = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return now.Add(-min(age, maxClientWait))
}

// Adopt serves the connections of another server, which stopped reading at the time stopped. It is called before Serve.
func (s *Server) Adopt(conns []DetachedConn, stopped time.Time) {
	s.readGap = readGap{stopped, time.Now()}
	for _, detached := range conns {
		detached.Conn.SetDeadline(time.Time{})
		s.mu.Lock()
		s.conns[detached.Conn] = &connState{idle: true, used: detached.Used, since: time.Now(), unread: detached.Unread}
		s.reportConnections()
		s.wg.Add(1)
		s.mu.Unlock()
		go func() {
			defer s.wg.Done()
			s.handle(detached.Conn)
		}()
	}
}
