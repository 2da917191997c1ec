package runner

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"time"
)

// Publish writes the status of the plug-ins to a file, at most once per interval and only when it has changed, until ctx ends.
// The file is replaced atomically. A failure to write is logged once, and the write is attempted again at each interval.
func (r *Runner) Publish(ctx context.Context, file string, interval time.Duration) {
	var last []byte
	logged := false
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		text, err := json.MarshalIndent(struct {
			Plugins []Status `json:"plugins"`
			Unseen  uint64   `json:"ends_not_shown"` // outcomes not passed to final hooks, since the queue was full
		}{r.Status(), r.unobserved.Load()}, "", "  ")
		if err == nil && !bytes.Equal(text, last) {
			if err = writeAtomically(file, append(text, '\n')); err == nil {
				last, logged = text, false
			}
		}
		if err != nil && !logged {
			slog.Warn("cannot write the plug-in status file: name another file in plugins { status }", "err", err)
			logged = true
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func writeAtomically(file string, text []byte) error {
	next := filepath.Join(filepath.Dir(file), "."+filepath.Base(file)+".next")
	err := os.WriteFile(next, text, 0o644)
	if err == nil {
		err = os.Rename(next, file)
	}
	if err != nil {
		err = errors.Join(err, os.Remove(next))
	}
	return err
}
