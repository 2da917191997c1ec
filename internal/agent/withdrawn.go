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

// A forwarder that starts while discovery does not answer knows the list of its configuration alone, which may be older than what the process
// before it was told. What was told to drain or to be gone is told for good: it gets nothing from the next process either, until discovery says
// otherwise. So the folder that lasts keeps the names of such targets, and of which version of the list that is.

const (
	withdrawnName = "withdrawn"
	// mostWithdrawn bounds the file. It and its successor fit, beside the targets left out by hand, into what the journal leaves of the folder (16 KiB).
	mostWithdrawn = 3 << 9
)

// WithdrawnStore is that file. It is used by one goroutine at a time.
type WithdrawnStore struct {
	path  string
	known *List // of the configuration: what a start without discovery would call
	saved withdrawn
}

type withdrawn struct {
	Index int64    `json:"index"`
	Names []string `json:"names"` // the newest last
}

// OpenWithdrawnStore reads the one in a folder. known is the list of the configuration. A file that can't be read is as good as none, and the log says so.
func OpenWithdrawnStore(folder string, known *List) *WithdrawnStore {
	w := &WithdrawnStore{path: filepath.Join(folder, withdrawnName), known: known}
	f, err := os.Open(w.path)
	if errors.Is(err, fs.ErrNotExist) {
		return w
	}
	if err == nil {
		defer f.Close()
		err = json.NewDecoder(io.LimitReader(f, mostWithdrawn)).Decode(&w.saved)
	}
	if err != nil {
		w.saved = withdrawn{}
		slog.Error("targets that drained before this start may be called until discovery answers; the file is written anew with the next such change", "file", w.path, "err", err)
	}
	if w.saved.Index <= known.Index { // the configuration has heard of what became of them
		w.saved = withdrawn{}
	}
	return w
}

// InitialList is the list of the configuration as the process before would have it now: what it was told to drain by a later list drains.
func (w *WithdrawnStore) InitialList() *List {
	if len(w.saved.Names) == 0 {
		return w.known
	}
	l := *w.known
	l.Endpoints = slices.Clone(l.Endpoints)
	var drain []string
	for i := range l.Endpoints {
		if e := &l.Endpoints[i]; e.serves() && slices.Contains(w.saved.Names, e.Name) {
			e.Status = Draining
			drain = append(drain, e.Name)
		}
	}
	if len(drain) > 0 {
		slog.Info("these targets were told to drain before this start, and do until discovery answers", "targets", drain, "index", w.saved.Index)
	}
	return &l
}

// Update takes a list that was told. What it withdraws is in the folder when it returns.
func (w *WithdrawnStore) Update(l *List) {
	serves := make(map[string]bool, len(l.Endpoints)) // of those that the list names
	for _, e := range l.Endpoints {
		serves[e.Name] = e.serves()
	}
	var names []string
	in := map[string]bool{}
	add := func(name string) {
		if !in[name] {
			names, in[name] = append(names, name), true
		}
	}
	for _, name := range w.saved.Names {
		if !serves[name] {
			add(name)
		}
	}
	for _, e := range w.known.Endpoints {
		if _, named := serves[e.Name]; l.Snapshot && e.serves() && !named { // gone, as it is missing
			add(e.Name)
		}
	}
	for _, e := range l.Endpoints {
		if !serves[e.Name] {
			add(e.Name)
		}
	}
	if slices.Equal(names, w.saved.Names) {
		return
	}
	text, names := encodeWithdrawn(l.Index, names)
	if err := w.store(text); err != nil {
		slog.Error("a start without discovery may call what drains now: make room in NODE_STATE", "err", err)
		return
	}
	w.saved = withdrawn{l.Index, names}
}

// encodeWithdrawn keeps as many of the names as there is room for, the newest.
func encodeWithdrawn(index int64, names []string) ([]byte, []string) {
	size := len(`{"index":,"names":[]}`) + len(fmt.Sprint(index))
	kept := []string{}
	for _, name := range slices.Backward(names) {
		text, _ := json.Marshal(name) // of a string does not fail
		if more := len(text) + len(","); size+more <= mostWithdrawn {
			size += more
			kept = append(kept, name)
		}
	}
	slices.Reverse(kept)
	text, _ := json.Marshal(withdrawn{index, kept})
	return text, kept
}

func (w *WithdrawnStore) store(text []byte) error {
	next := w.path + ".next"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		os.Remove(next)
		return err
	}
	return os.Rename(next, w.path)
}

// serves tells whether a target takes calls.
func (e *Endpoint) serves() bool { return e.Status != Draining && e.Status != Deleted }
