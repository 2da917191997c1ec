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

// Publish writes what the plug-ins have done to a file, at most so often and only as it changes, until ctx ends. The file is
// replaced whole. One that can't be written is said once, and tried again.
func (r *Runner) Publish(ctx context.Context, file string, every time.Duration) {
	var last []byte
	said := false
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		text, err := json.MarshalIndent(struct {
			Plugins []Status `json:"plugins"`
			Unseen  uint64   `json:"ends_not_shown"` // to observers, since too many waited
		}{r.Status(), r.unseen.Load()}, "", "  ")
		if err == nil && !bytes.Equal(text, last) {
			if err = replace(file, append(text, '\n')); err == nil {
				last, said = text, false
			}
		}
		if err != nil && !said {
			slog.Warn("the plug-ins' status can't be written: name another file in plugins { status }", "err", err)
			said = true
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func replace(file string, text []byte) error {
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
