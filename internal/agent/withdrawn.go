package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
)

// A forwarder that starts while discovery is unavailable has only the list of its configuration, which may be older than the last list that the previous
// process received. An endpoint that was reported as draining or deleted must get no calls from the next process either, until discovery reports
// otherwise. Nor must one that has another address or destination since, or whose address has another endpoint: the configured address is that of another
// process. The state folder therefore keeps the names of these endpoints, and the index of the list that last changed them.

const (
	withdrawnFileName = "withdrawn"
	// maxWithdrawnBytes bounds the file. The file and its successor fit, beside the endpoints disabled by an operator, into what the journal leaves of the
	// folder (16 KiB).
	maxWithdrawnBytes = 3 << 9
)

// WithdrawnStore keeps the names of withdrawn endpoints in a file. It is used by one goroutine at a time.
type WithdrawnStore struct {
	path       string
	configured *List // the list of the configuration, which a start without discovery uses
	index      *configuredIndex
	saved      withdrawnRecord
}

// configuredIndex finds the entries of the configuration's list.
type configuredIndex struct {
	byName    map[string]*Endpoint
	byAddress map[string][]*Endpoint
}

func newConfiguredIndex(l *List) *configuredIndex {
	index := &configuredIndex{make(map[string]*Endpoint, len(l.Endpoints)), make(map[string][]*Endpoint, len(l.Endpoints))}
	for i := range l.Endpoints {
		e := &l.Endpoints[i]
		index.byName[e.Name] = e
		index.byAddress[e.Address] = append(index.byAddress[e.Address], e)
	}
	return index
}

func (x *configuredIndex) has(name string) bool { return x.byName[name] != nil }

// current returns for each endpoint that a list is about whether it may be called as it is configured. Besides those that are listed, these are the
// ones whose address a listed one has.
func (x *configuredIndex) current(l *List) map[string]bool {
	current := make(map[string]bool, len(l.Endpoints))
	start := make(map[string]UnixMilli, len(l.Endpoints))
	for i := range l.Endpoints {
		e := &l.Endpoints[i]
		configured := x.byName[e.Name]
		current[e.Name] = e.isServing() && (configured == nil || configured.Address == e.Address && configured.Group == e.Group)
		start[e.Name] = e.SinceMS
	}
	for i := range l.Endpoints {
		owner := &l.Endpoints[i]
		if owner.Status == Deleted {
			continue
		}
		for _, e := range x.byAddress[owner.Address] {
			if e.Name != owner.Name && max(e.SinceMS, start[e.Name]) < owner.SinceMS {
				current[e.Name] = false
			}
		}
	}
	return current
}

type withdrawnRecord struct {
	Index int64    `json:"index"`
	Names []string `json:"names"` // the latest withdrawal last
}

// OpenWithdrawnStore reads the file in a folder. configured is the list of the configuration. An unreadable file is logged and counts as missing.
func OpenWithdrawnStore(folder string, configured *List) *WithdrawnStore {
	store := &WithdrawnStore{path: filepath.Join(folder, withdrawnFileName), configured: configured}
	file, err := os.Open(store.path)
	if errors.Is(err, fs.ErrNotExist) {
		return store
	}
	if err == nil {
		defer file.Close()
		err = json.NewDecoder(io.LimitReader(file, maxWithdrawnBytes)).Decode(&store.saved)
	}
	if err != nil {
		store.saved = withdrawnRecord{}
		slog.Error("endpoints that drained before this start may be called until discovery answers: their file is unreadable, and is rewritten with the next withdrawal", "file", store.path, "err", err)
	}
	if store.saved.Index <= configured.Index { // the configuration is at least as recent
		store.saved = withdrawnRecord{}
	}
	return store
}

// InitialList returns the list of the configuration, with the endpoints draining that a later list withdrew from the previous process.
func (w *WithdrawnStore) InitialList() *List {
	if len(w.saved.Names) == 0 {
		return w.configured
	}
	l := *w.configured
	l.Endpoints = slices.Clone(l.Endpoints)
	var draining []string
	for i := range l.Endpoints {
		if e := &l.Endpoints[i]; e.isServing() && slices.Contains(w.saved.Names, e.Name) {
			e.Status = Draining
			draining = append(draining, e.Name)
		}
	}
	if len(draining) > 0 {
		slog.Info("endpoints that were withdrawn before this start drain until discovery answers", "targets", draining, "index", w.saved.Index)
	}
	return &l
}

// Update applies a reported list. The endpoints that it withdraws are in the file when Update returns; a failure to write it is logged.
func (w *WithdrawnStore) Update(l *List) {
	if w.index == nil {
		w.index = newConfiguredIndex(w.configured)
	}
	isCurrent := w.index.current(l)
	var names []string
	added := map[string]bool{}
	add := func(name string) {
		if !added[name] {
			names, added[name] = append(names, name), true
		}
	}
	for _, name := range w.saved.Names {
		if !isCurrent[name] {
			add(name)
		}
	}
	for _, e := range w.configured.Endpoints {
		current, isReported := isCurrent[e.Name]
		if isMissing := l.Snapshot && e.isServing() && !isReported; isMissing || isReported && !current {
			add(e.Name)
		}
	}
	for _, e := range l.Endpoints {
		if !isCurrent[e.Name] {
			add(e.Name)
		}
	}
	if slices.Equal(names, w.saved.Names) {
		return
	}
	text, names := encodeWithdrawn(l.Index, names, w.index.has)
	if err := w.save(text); err != nil {
		slog.Error("withdrawn endpoints are not saved, and a start without discovery may call them: free space in NODE_STATE", "err", err)
		return
	}
	w.saved = withdrawnRecord{l.Index, names}
}

// encodeWithdrawn encodes as many of the names as fit into the file: first those that the configuration lists, which alone a start without discovery
// calls, and of these the latest withdrawals. It returns the text and the names in it.
func encodeWithdrawn(index int64, names []string, isConfigured func(name string) bool) ([]byte, []string) {
	size := len(`{"index":,"names":[]}`) + len(fmt.Sprint(index))
	isKept := make(map[string]bool, len(names))
	for _, configured := range []bool{true, false} {
		for _, name := range slices.Backward(names) {
			if isConfigured(name) != configured {
				continue
			}
			text, _ := json.Marshal(name) // can't fail for a string
			if more := len(text) + len(","); size+more <= maxWithdrawnBytes {
				size += more
				isKept[name] = true
			}
		}
	}
	kept := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return !isKept[name] })
	text, _ := json.Marshal(withdrawnRecord{index, kept})
	return text, kept
}

// save writes a new file and renames it to the old one, which a failed write leaves as it is.
func (w *WithdrawnStore) save(text []byte) error {
	next := w.path + ".next"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		os.Remove(next)
		return err
	}
	return os.Rename(next, w.path)
}

// isServing reports whether an endpoint accepts calls.
func (e *Endpoint) isServing() bool { return e.Status != Draining && e.Status != Deleted }
