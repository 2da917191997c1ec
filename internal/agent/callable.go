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
	"sync"
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

// CallableStore keeps the record of the endpoints that may be called. Lists are applied in memory, and a goroutine writes the record, so that a list takes
// effect however slow the disk is; lists that arrive during a write are recorded together by the next one.
type CallableStore struct {
	folder     string
	configured *List // the list of the configuration, which a start without discovery uses
	digest     uint64
	limit      int                    // endpoints in a record
	mayCall    func(e *Endpoint) bool // whether a configured endpoint may be called according to the previous process; nil: all may

	mu       sync.Mutex
	set      *callableSet // according to the lists reported to this process; nil before the first
	index    int64        // of the last list
	applied  uint64       // lists that the record has to take account of, since the store was opened
	recorded uint64       // those of them that it takes account of, or whose record could not be written
	progress *sync.Cond   // broadcast when recorded grows
	writing  bool         // a goroutine writes the record

	// Of the goroutine that writes the record, and of OpenCallableStore before there is one.
	saved   *callableRecord // what is in the file; nil: nothing of use
	stale   bool            // the file could not be written since set changed; guarded by mu
	partial bool            // not all endpoints that may be called are recorded
}

// OpenCallableStore reads the record in a folder, or creates it. configured is the list of the configuration, and limit is from RecordLimit. If the
// record can't be read, no configured endpoint is called before discovery answers: which of them were withdrawn is not known.
func OpenCallableStore(folder string, configured *List, limit int) *CallableStore {
	store := &CallableStore{folder: folder, configured: configured, digest: digestOf(configured), limit: limit}
	store.progress = sync.NewCond(&store.mu)
	saved, err := readRecord(store.path())
	switch {
	case errors.Is(err, fs.ErrNotExist):
		store.mayCall = store.readWithdrawn()
		store.set, store.index = newCallableSet(store.InitialList()), configured.Index
		store.save(store.content()) // a file that is there can be written over on a full disk
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

// Update applies a reported list and returns once it is recorded. A failure to write the record is logged, and the next list tries again.
func (s *CallableStore) Update(l *List) {
	s.Apply(l)
	s.AwaitRecorded()
}

// Apply applies a reported list, and returns before it is recorded.
func (s *CallableStore) Apply(l *List) {
	s.mu.Lock()
	defer s.mu.Unlock()
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
	if !changed && !s.stale {
		return
	}
	s.index = l.Index
	s.applied++
	if !s.writing {
		s.writing = true
		go s.writeUntilRecorded()
	}
}

// AwaitRecorded returns once the lists applied before are recorded, or could not be.
func (s *CallableStore) AwaitRecorded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for applied := s.applied; s.recorded < applied; {
		s.progress.Wait()
	}
}

// writeUntilRecorded writes the record until it takes account of all lists.
func (s *CallableStore) writeUntilRecorded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.recorded < s.applied {
		applied, content := s.applied, s.content()
		s.mu.Unlock()
		s.save(content)
		s.mu.Lock()
		s.recorded = applied
		s.progress.Broadcast()
	}
	s.writing = false
}

// recordContent is what a record is made of.
type recordContent struct {
	index    int64
	ids      []endpointID
	callable int  // endpoints that may be called, of which ids may be a part
	stale    bool // the file could not be written the last time
}

// content returns the content of the record for the lists applied so far: all endpoints that may be called, or if these are too many those that the
// configuration lists. The caller holds the lock, or no other goroutine uses s yet.
func (s *CallableStore) content() recordContent {
	c := recordContent{index: s.index, callable: s.set.callable, stale: s.stale}
	if s.set.callable <= s.limit {
		c.ids = s.set.all()
		return c
	}
	c.ids = s.set.among(s.configured.Endpoints)
	c.ids = c.ids[:min(len(c.ids), s.limit)]
	return c
}

// save writes the record, unless the file has the same one.
func (s *CallableStore) save(c recordContent) {
	s.logPartial(c)
	if s.saved != nil && !c.stale && s.saved.configured == s.digest && s.saved.hasSameIDs(c.ids) {
		return
	}
	if err := writeRecord(s.path(), encodeRecord(c.index, s.digest, c.ids, s.limit)); err != nil {
		s.saved = nil
		s.setStale(true)
		slog.Error("which endpoints may be called is not recorded, and a start without discovery may call withdrawn ones: free space in NODE_STATE", "file", s.path(), "err", err)
		return
	}
	if c.stale {
		slog.Info("which endpoints may be called is recorded again", "targets", len(c.ids))
	}
	s.setStale(false)
	s.saved = &callableRecord{index: c.index, configured: s.digest, ids: make(map[endpointID]struct{}, len(c.ids))}
	for _, id := range c.ids {
		s.saved.ids[id] = struct{}{}
	}
	if err := os.Remove(filepath.Join(s.folder, withdrawnFileName)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		slog.Warn("the file of an older program can't be removed; it is not read as long as there is a record", "err", err)
	}
}

func (s *CallableStore) setStale(stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = stale
}

// logPartial logs that the record has no room for all endpoints that may be called, or has room for them again.
func (s *CallableStore) logPartial(c recordContent) {
	isPartial := c.callable > s.limit
	if isPartial == s.partial {
		return
	}
	s.partial = isPartial
	if !isPartial {
		slog.Info("all endpoints that may be called are recorded again", "file", s.path(), "targets", len(c.ids))
		return
	}
	slog.Warn("not all endpoints that may be called fit into their record, and a start without discovery calls the recorded ones only: list the present endpoints in the configuration (known), or raise disk_mb", "file", s.path(), "targets", c.callable, "recorded", len(c.ids), "limit", s.limit)
}

// isServing reports whether an endpoint accepts calls.
func (e *Endpoint) isServing() bool { return e.Status != Draining && e.Status != Deleted }
