package control

import (
	"log/slog"
	"time"

	"scaleroute/internal/agent"
)

// maxRefusedLines bounds the log lines about entries of one list.
const maxRefusedLines = 10

// upstreamSink puts what discovery says into the catalog, and wakes the watches that it touches.
type upstreamSink struct {
	server   *Server
	began    time.Time
	index    int64
	snapshot bool
	entries  int
	refused  int
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
	u.server.figures.refusedEntries.Add(1)
	if u.refused++; u.refused <= maxRefusedLines {
		slog.Warn("an entry of discovery's list is refused: what was known of it stays", "index", u.index, "entry", u.entries-1, "name", shorten(e.Name), "err", err)
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
		slog.Error("a list was not taken over", "index", u.index, "err", err)
		return
	}
	s.watches.notify(touched)
	if u.refused > maxRefusedLines {
		slog.Warn("more entries of discovery's list are refused", "index", u.index, "refused", u.refused)
	}
	if u.snapshot || after < before {
		slog.Info("the whole list is taken over", "index", after, "index_before", before, "entries", entries,
			"refused", u.refused, "changed", len(touched.Destinations), "all_changed", touched.All, "took", time.Since(u.began).Round(time.Millisecond))
	}
	s.noteChange(before, touched)
}

// shorten bounds a name in a log line.
func shorten(name string) string { return name[:min(len(name), 80)] }
