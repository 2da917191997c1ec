package control

import (
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// counters are totals since the start of the process, except for watchers, inFlight and connections, which are current values.
type counters struct {
	requests, inFlight, refused, refusedEntries,
	snapshots, deltas, streamedLists, wakeUps, watchers,
	connections, bytesSent, bytesReceived atomic.Int64
}

// Stats is the response body of GET /v1/figures.
type Stats struct {
	Name            string  `json:"name"`
	UpSeconds       float64 `json:"up_seconds"`
	Index           int64   `json:"index"`      // of the endpoint list; -1: no list received yet
	PersistedIndex  int64   `json:"kept_index"` // of the list that a restart would load; -1: none
	Entries         int     `json:"entries"`
	Scopes          int     `json:"scopes"`
	Watchers        int     `json:"watchers"` // held list requests: they found no change and wait for one
	Members         int     `json:"members"`
	OwnLeases       int     `json:"leases_here"`
	PersistedLeases int64   `json:"kept_leases"` // number of leases that a restart would restore
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

func (s *Server) collectStats() Stats {
	f := Stats{Name: s.options.Name, PersistedIndex: s.persistedIndex.Load(), PersistedLeases: s.persistedLeases.Load(), UpSeconds: time.Since(s.started).Seconds(), Requests: s.counters.requests.Load(), InFlight: s.counters.inFlight.Load(),
		Refused: s.counters.refused.Load(), RefusedEntries: s.counters.refusedEntries.Load(), Snapshots: s.counters.snapshots.Load(), Deltas: s.counters.deltas.Load(),
		StreamedLists: s.counters.streamedLists.Load(), WakeUps: s.counters.wakeUps.Load(), Connections: s.counters.connections.Load(),
		BytesSent: s.counters.bytesSent.Load(), BytesReceived: s.counters.bytesReceived.Load()}
	f.Scopes, f.Watchers = s.watches.countScopes(), int(s.counters.watchers.Load())
	s.listMu.RLock()
	f.Index, f.Entries = s.list.Index(), s.list.Len()
	s.listMu.RUnlock()
	s.memberMu.Lock()
	f.Members, f.OwnLeases, f.Settled = len(s.members.fleetView.zones), len(s.members.ownView.zones), s.settled
	s.memberMu.Unlock()
	return f
}

// serveStats responds even when all other requests are rejected because of overload.
func (s *Server) serveStats(w http.ResponseWriter, r *http.Request) {
	body, err := json.MarshalIndent(s.collectStats(), "", "  ")
	if err != nil {
		s.writeError(w, err)
		return
	}
	s.writeJSON(w, r, append(body, '\n'))
}

// limitAndCount wraps a listener: it counts the bytes of its connections and closes connections above the limit.
func (s *Server) limitAndCount(listener net.Listener) net.Listener {
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
		if open := l.server.counters.connections.Add(1); open <= 2*int64(l.server.options.MaxRequests)+64 {
			return &countingConn{Conn: conn, counters: &l.server.counters}, nil
		}
		l.server.counters.connections.Add(-1)
		l.server.overloadLog.warn("connection limit reached: closing new connections", "max_requests", l.server.options.MaxRequests)
		conn.Close()
	}
}

type countingConn struct {
	net.Conn
	counters *counters
	closed   atomic.Bool
}

func (c *countingConn) Read(to []byte) (int, error) {
	n, err := c.Conn.Read(to)
	c.counters.bytesReceived.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(from []byte) (int, error) {
	n, err := c.Conn.Write(from)
	c.counters.bytesSent.Add(int64(n))
	return n, err
}

func (c *countingConn) Close() error {
	if !c.closed.Swap(true) {
		c.counters.connections.Add(-1)
	}
	return c.Conn.Close()
}
