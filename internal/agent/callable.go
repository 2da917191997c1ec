package agent

import (
	"encoding/json"
	"errors"
	"io"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
)

// A forwarder that starts while discovery is unavailable has only the list of its configuration, which may be older than the last list that the previous
// process received. It must not call an endpoint that was reported as draining or deleted since, that has another address or destination, or whose address
// has another endpoint: the process at the configured address is another one then. The state folder therefore has a record of the endpoints that may be
// called according to the last lists. What the configuration lists and the record does not have is not called before discovery answers. The record has one
// entry per endpoint in force, however many have been replaced before, and a record that is incomplete permits fewer calls, never more.

const (
	callableFileName = "callable"
	// withdrawnFileName is the file of older programs, with the names of the endpoints that may not be called. It is read where there is no record.
	withdrawnFileName = "withdrawn"
	maxWithdrawnBytes = 3 << 9
)

// CallableStore keeps the record of the endpoints that may be called. It is used by one goroutine at a time.
type CallableStore struct {
	folder     string
	configured *List // the list of the configuration, which a start without discovery uses
	digest     uint64
	limit      int // endpoints in a record

	mayCall func(e *Endpoint) bool // whether a configured endpoint may be called according to the previous process; nil: all may
	saved   *callableRecord        // what is in the file; nil: nothing of use
	set     *callableSet           // according to the lists reported to this process; nil before the first
	stale   bool                   // the file could not be written since set changed
	partial bool                   // not all endpoints that may be called are recorded
}

// OpenCallableStore reads the record in a folder, or creates it. configured is the list of the configuration, and limit is from RecordLimit. If the
// record can't be read, no configured endpoint is called before discovery answers: which of them were withdrawn is not known.
func OpenCallableStore(folder string, configured *List, limit int) *CallableStore {
	store := &CallableStore{folder: folder, configured: configured, digest: digestOf(configured), limit: limit}
	saved, err := readRecord(store.path())
	switch {
	case errors.Is(err, fs.ErrNotExist):
		store.mayCall = store.readWithdrawn()
		store.set = newCallableSet(store.InitialList())
		store.save(configured.Index) // a file that is there can be written over on a full disk
	case err != nil:
		slog.Error("which endpoints were withdrawn before this start is not known: no configured endpoint is called until discovery answers, which also replaces the file; to call all of them now, stop the process and remove the file", "file", store.path(), "err", err)
		store.mayCall = func(*Endpoint) bool { return false }
	case saved.configured != store.digest && saved.index <= configured.Index: // the configuration is at least as recent
	default:
		store.saved = saved
		store.mayCall = func(e *Endpoint) bool {
			_, isCallable := saved.ids[idOf(e)]
			return isCallable
		}
	}
	return store
}

func (s *CallableStore) path() string { return filepath.Join(s.folder, callableFileName) }

// readWithdrawn reads the file of an older program. An unreadable file is logged and permits no calls.
func (s *CallableStore) readWithdrawn() (mayCall func(*Endpoint) bool) {
	path := filepath.Join(s.folder, withdrawnFileName)
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	var withdrawn struct {
		Index int64    `json:"index"`
		Names []string `json:"names"`
	}
	if err == nil {
		defer file.Close()
		err = json.NewDecoder(io.LimitReader(file, maxWithdrawnBytes)).Decode(&withdrawn)
	}
	if err != nil {
		slog.Error("which endpoints were withdrawn before this start is not known: no configured endpoint is called until discovery answers; to call all of them now, stop the process and remove this file and callable", "file", path, "err", err)
		return func(*Endpoint) bool { return false }
	}
	if withdrawn.Index <= s.configured.Index {
		return nil
	}
	return func(e *Endpoint) bool { return !slices.Contains(withdrawn.Names, e.Name) }
}

// InitialList returns the list of the configuration. The endpoints that may not be called according to the previous process drain in it, and claim no
// address.
func (s *CallableStore) InitialList() *List {
	if s.mayCall == nil {
		return s.configured
	}
	l := *s.configured
	l.Endpoints = slices.Clone(l.Endpoints)
	drains, example := 0, ""
	for i := range l.Endpoints {
		if e := &l.Endpoints[i]; e.isServing() && !s.mayCall(e) {
			e.Status, e.SinceMS = Draining, 0
			drains, example = drains+1, e.Name
		}
	}
	if drains > 0 {
		slog.Info("endpoints that were withdrawn before this start drain until discovery answers", "targets", drains, "of", len(l.Endpoints), "one", example)
	}
	return &l
}

// Update applies a reported list. The record is in the file when Update returns; a failure to write it is logged, and the next Update tries again.
func (s *CallableStore) Update(l *List) {
	changed := false
	switch {
	case l.Snapshot:
		s.set = newCallableSet(l)
		changed = true
	case len(l.Endpoints) == 0:
	case s.set == nil:
		s.set = newCallableSet(s.InitialList())
		s.set.apply(l.Endpoints)
		changed = true
	default:
		changed = s.set.apply(l.Endpoints)
	}
	if changed || s.stale {
		s.save(l.Index)
	}
}

// save writes the record, unless the file has the same one.
func (s *CallableStore) save(index int64) {
	ids := s.recorded()
	if s.saved != nil && !s.stale && s.saved.configured == s.digest && s.saved.hasSameIDs(ids) {
		return
	}
	if err := writeRecord(s.path(), encodeRecord(index, s.digest, ids, s.limit)); err != nil {
		s.saved, s.stale = nil, true
		slog.Error("which endpoints may be called is not recorded, and a start without discovery may call withdrawn ones: free space in NODE_STATE", "file", s.path(), "err", err)
		return
	}
	if s.stale {
		slog.Info("which endpoints may be called is recorded again", "targets", len(ids))
	}
	s.saved, s.stale = &callableRecord{index: index, configured: s.digest, ids: make(map[endpointID]struct{}, len(ids))}, false
	for _, id := range ids {
		s.saved.ids[id] = struct{}{}
	}
	if err := os.Remove(filepath.Join(s.folder, withdrawnFileName)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		slog.Warn("the file of an older program can't be removed; it is not read as long as there is a record", "err", err)
	}
}

// recorded returns the endpoints for the record: all that may be called, or if these are too many those that the configuration lists.
func (s *CallableStore) recorded() []endpointID {
	isPartial := s.set.callable > s.limit
	ids := []endpointID(nil)
	if isPartial {
		ids = s.set.among(s.configured.Endpoints)
		ids = ids[:min(len(ids), s.limit)]
	} else {
		ids = s.set.all()
	}
	if isPartial != s.partial {
		s.partial = isPartial
		s.logPartial(len(ids))
	}
	return ids
}

// logPartial logs that the record has no room for all endpoints that may be called, or has room for them again.
func (s *CallableStore) logPartial(recorded int) {
	if !s.partial {
		slog.Info("all endpoints that may be called are recorded again", "file", s.path(), "targets", recorded)
		return
	}
	slog.Warn("not all endpoints that may be called fit into their record, and a start without discovery calls the recorded ones only: list the present endpoints in the configuration (known), or raise disk_mb", "file", s.path(), "targets", s.set.callable, "recorded", recorded, "limit", s.limit)
}

// isServing reports whether an endpoint accepts calls.
func (e *Endpoint) isServing() bool { return e.Status != Draining && e.Status != Deleted }
