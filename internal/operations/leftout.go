// Package operations is what operators do to a running forwarder: it answers their door out of the figures, the list of endpoints and the
// clients' front, and keeps what must outlast the process.
package operations

import (
	"bytes"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

const (
	leftOutName = "left-out"
	leftOutHead = "scaleroute left-out 1"
	// mostLeftOut bounds the file. It and its successor fit into what the journal leaves of the folder (16 KiB).
	mostLeftOut = 6 << 10
	// MaxDisabled may be left out at once.
	MaxDisabled = 500
)

// DisabledFile is the file with the names of the targets that are left out by hand, in the folder that lasts: a line that says what it is,
// with a checksum of the rest, and a quoted name a line. It is replaced whole.
type DisabledFile struct{ path string }

// NewDisabledFile is the one in a folder.
func NewDisabledFile(folder string) DisabledFile {
	return DisabledFile{filepath.Join(folder, leftOutName)}
}

// Load reads the names. Of a damaged file it takes what can be read, since to leave out one too many harms less than one too few, and
// the error names the place; the names are good all the same.
func (l DisabledFile) Load() (names []string, err error) {
	text, err := os.ReadFile(l.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("targets left out by hand: %w", err)
	}
	if len(text) > mostLeftOut {
		text, err = text[:mostLeftOut], fmt.Errorf("%s: over %d bytes; what is behind them is not read: leave those targets out again", l.path, mostLeftOut)
	}
	head, rest, _ := bytes.Cut(text, []byte("\n"))
	if want := leftOutFirst(rest); string(head) != want {
		err = errors.Join(err, fmt.Errorf("%s:1: %q where %q should stand: leave the targets out again, or put them back", l.path, head, want))
	}
	for i, line := range strings.Split(strings.TrimSuffix(string(rest), "\n"), "\n") {
		name, bad := strconv.Unquote(line)
		switch {
		case line == "":
		case bad != nil:
			err = errors.Join(err, fmt.Errorf("%s:%d: %q is no quoted name: leave that target out again", l.path, i+2, line))
		case !slices.Contains(names, name):
			names = append(names, name)
		}
	}
	return names, err
}

func leftOutFirst(rest []byte) string {
	return fmt.Sprintf("%s %08x", leftOutHead, crc32.ChecksumIEEE(rest))
}

// Store replaces the names. What it has written outlasts the process.
func (l DisabledFile) Store(names []string) error {
	var rest bytes.Buffer
	for _, name := range names {
		fmt.Fprintln(&rest, strconv.Quote(name))
	}
	text := append([]byte(leftOutFirst(rest.Bytes())+"\n"), rest.Bytes()...)
	if len(text) > mostLeftOut {
		return fmt.Errorf("the names of %d targets take %d bytes, and %d are kept: put some back first", len(names), len(text), mostLeftOut)
	}
	next := l.path + ".next"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		os.Remove(next)
		return fmt.Errorf("targets left out by hand, which stay as they were: make room in NODE_STATE: %w", err)
	}
	if err := os.Rename(next, l.path); err != nil {
		return fmt.Errorf("targets left out by hand, which stay as they were: %w", err)
	}
	return nil
}

// LoadAtStart is Load for a start, which goes on whatever is found.
func (l DisabledFile) LoadAtStart() []string {
	names, err := l.Load()
	if err != nil {
		slog.Error("some targets may not be left out any more", "err", err)
	}
	if len(names) > 0 {
		slog.Info("left out by hand", "targets", names)
	}
	return names
}
