package control

import (
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// figures are counted from the start of the process on; watchers, underWay and connections are how many there are now.
type figures struct {
	requests, underWay, refused, refusedEntries,
	snapshots, deltas, wholeLists, wakeUps, watchers,
	connections, bytesSent, bytesReceived atomic.Int64
}

// Stats are what GET /v1/figures says.
type Stats struct {
	Name            string  `json:"name"`
	UpSeconds       float64 `json:"up_seconds"`
	Index           int64   `json:"index"`      // -1: no list yet
	PersistedIndex  int64   `json:"kept_index"` // that a restart would begin with
	Entries         int     `json:"entries"`
	Scopes          int     `json:"scopes"`
	Watchers        int     `json:"watchers"` // calls for lists that have looked and wait for a change
	Members         int     `json:"members"`
	OwnLeases       int     `json:"leases_here"`
	PersistedLeases int64   `json:"kept_leases"` // that a restart would begin with
	Settled         bool    `json:"settled"`
	Requests        int64   `json:"requests"`
	InFlight        int64   `json:"requests_under_way"`
	Refused         int64   `json:"requests_refused"`
	RefusedEntries  int64   `json:"entries_refused"`
	Snapshots       int64   `json:"snapshots"`
	Deltas          int64   `json:"deltas"`
	StreamedLists   int64   `json:"whole_lists"`
	WakeUps         int64   `json:"wake_ups"`
	Connections     int64   `json:"connections"`
	BytesSent       int64   `json:"bytes_sent"` // headers included
	BytesReceived   int64   `json:"bytes_received"`
}

func (s *Server) snapshotFigures() Stats {
	f := Stats{Name: s.options.Name, PersistedIndex: s.keptIndex.Load(), PersistedLeases: s.keptLeases.Load(), UpSeconds: time.Since(s.started).Seconds(), Requests: s.figures.requests.Load(), InFlight: s.figures.underWay.Load(),
		Refused: s.figures.refused.Load(), RefusedEntries: s.figures.refusedEntries.Load(), Snapshots: s.figures.snapshots.Load(), Deltas: s.figures.deltas.Load(),
		StreamedLists: s.figures.wholeLists.Load(), WakeUps: s.figures.wakeUps.Load(), Connections: s.figures.connections.Load(),
		BytesSent: s.figures.bytesSent.Load(), BytesReceived: s.figures.bytesReceived.Load()}
	f.Scopes, f.Watchers = s.watches.countScopes(), int(s.figures.watchers.Load())
	s.listMu.RLock()
	f.Index, f.Entries = s.list.Index(), s.list.Len()
	s.listMu.RUnlock()
	s.memberMu.Lock()
	f.Members, f.OwnLeases, f.Settled = len(s.members.all.zones), len(s.members.held.zones), s.settled
	s.memberMu.Unlock()
	return f
}

// serveFigures answers also where no other request is admitted any more.
func (s *Server) serveFigures(w http.ResponseWriter, r *http.Request) {
	body, err := json.MarshalIndent(s.snapshotFigures(), "", "  ")
	if err != nil {
		s.writeProblem(w, err)
		return
	}
	s.writeJSON(w, r, append(body, '\n'))
}

// countBytes counts what goes over a listener's connections, and closes those that are too many.
func (s *Server) countBytes(listener net.Listener) net.Listener {
	return &countingListener{Listener: listener, server: s}
}

type countingListener struct {
	net.Listener
	server *Server
}

func (l *countingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if open := l.server.figures.connections.Add(1); open <= 2*int64(l.server.options.MaxRequests)+64 {
			return &countingConn{Conn: conn, figures: &l.server.figures}, nil
		}
		l.server.figures.connections.Add(-1)
		l.server.overload.warn("more connections than are kept: some are closed at once", "max_requests", l.server.options.MaxRequests)
		conn.Close()
	}
}

type countingConn struct {
	net.Conn
	figures *figures
	closed  atomic.Bool
}

func (c *countingConn) Read(to []byte) (int, error) {
	n, err := c.Conn.Read(to)
	c.figures.bytesReceived.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(from []byte) (int, error) {
	n, err := c.Conn.Write(from)
	c.figures.bytesSent.Add(int64(n))
	return n, err
}

func (c *countingConn) Close() error {
	if !c.closed.Swap(true) {
		c.figures.connections.Add(-1)
	}
	return c.Conn.Close()
}
