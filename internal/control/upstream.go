package control

import (
	"log/slog"
	"time"

	"scaleroute/internal/agent"
)

// maxRejectedLogLines limits the log lines about rejected entries of one list.
const maxRejectedLogLines = 10

// upstreamSink applies discovery's list and its changes to the catalog and wakes the watches that they affect.
type upstreamSink struct {
	server   *Server
	began    time.Time
	index    int64
	snapshot bool
	entries  int
	rejected int
}

func (u *upstreamSink) Begin(index int64, snapshot bool) error {
	*u = upstreamSink{server: u.server, began: time.Now(), index: index, snapshot: snapshot}
	u.server.listMu.Lock()
	defer u.server.listMu.Unlock()
	return u.server.list.Begin(index, snapshot)
}

func (u *upstreamSink) Put(e agent.Endpoint, malformed error) {
	u.entries++
	u.server.listMu.Lock()
	err := malformed
	if err != nil {
		u.server.list.KeepExisting(e.Name)
	} else {
		err = u.server.list.Put(e)
	}
	u.server.listMu.Unlock()
	if err == nil {
		return
	}
	u.server.counters.refusedEntries.Add(1)
	if u.rejected++; u.rejected <= maxRejectedLogLines {
		slog.Warn("an entry of discovery's list is rejected: keeping its previous state", "index", u.index, "entry", u.entries-1, "name", truncateName(e.Name), "err", err)
	}
}

func (u *upstreamSink) Commit() {
	s := u.server
	s.listMu.Lock()
	before := s.list.Index()
	touched, err := s.list.Commit()
	after, entries := s.list.Index(), s.list.Len()
	s.listMu.Unlock()
	if err != nil {
		slog.Error("can't apply a list of discovery", "index", u.index, "err", err)
		return
	}
	s.watches.notify(touched)
	if u.rejected > maxRejectedLogLines {
		slog.Warn("more entries of discovery's list are rejected", "index", u.index, "refused", u.rejected)
	}
	if u.snapshot || after < before {
		slog.Info("the whole list is taken over", "index", after, "index_before", before, "entries", entries,
			"refused", u.rejected, "changed", len(touched.Destinations), "all_changed", touched.All, "took", time.Since(u.began).Round(time.Millisecond))
	}
	s.persistChange(before, touched)
}

// truncateName limits the length of a name in a log line.
func truncateName(name string) string { return name[:min(len(name), 80)] }
