// Package operations carries out operators' requests to a running forwarder: it connects the admin API with the statistics, the endpoint list and the
// clients' front, and stores in a file what must survive a restart.
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
	disabledFileName   = "left-out"
	disabledFileHeader = "scaleroute left-out 1"
	// maxDisabledFileSize limits the file, so that it and the file that replaces it fit into the 16 KiB that the journal leaves free in the folder.
	maxDisabledFileSize = 6 << 10
	// MaxDisabled is how many endpoints may be disabled at once.
	MaxDisabled = 500
)

// DisabledFile is the file in the state folder with the names of the endpoints that operators have disabled. Its first line is a header with a checksum of
// the rest, and each further line is a quoted name. The file is replaced atomically.
type DisabledFile struct{ path string }

// NewDisabledFile returns the DisabledFile of a state folder.
func NewDisabledFile(folder string) DisabledFile {
	return DisabledFile{filepath.Join(folder, disabledFileName)}
}

// Load reads the names. Of a corrupt file it returns the names that can be read, together with an error that names the place: to disable an endpoint too
// many does less harm than one too few.
func (d DisabledFile) Load() (names []string, err error) {
	text, err := os.ReadFile(d.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("reading the disabled endpoints: %w", err)
	}
	if len(text) > maxDisabledFileSize {
		text, err = text[:maxDisabledFileSize], fmt.Errorf("%s: larger than %d bytes; the rest is ignored: disable the endpoints listed there again", d.path, maxDisabledFileSize)
	}
	head, rest, _ := bytes.Cut(text, []byte("\n"))
	if want := disabledFileFirstLine(rest); string(head) != want {
		err = errors.Join(err, fmt.Errorf("%s:1: the header is %q, want %q: disable the endpoints again, or enable them", d.path, head, want))
	}
	for i, line := range strings.Split(strings.TrimSuffix(string(rest), "\n"), "\n") {
		name, invalid := strconv.Unquote(line)
		switch {
		case line == "":
		case invalid != nil:
			err = errors.Join(err, fmt.Errorf("%s:%d: %q is not a quoted name: disable that endpoint again", d.path, i+2, line))
		case !slices.Contains(names, name):
			names = append(names, name)
		}
	}
	return names, err
}

func disabledFileFirstLine(rest []byte) string {
	return fmt.Sprintf("%s %08x", disabledFileHeader, crc32.ChecksumIEEE(rest))
}

// Store replaces the names. They survive a crash of the process once it has returned.
func (d DisabledFile) Store(names []string) error {
	var rest bytes.Buffer
	for _, name := range names {
		fmt.Fprintln(&rest, strconv.Quote(name))
	}
	text := append([]byte(disabledFileFirstLine(rest.Bytes())+"\n"), rest.Bytes()...)
	if len(text) > maxDisabledFileSize {
		return fmt.Errorf("the names of %d targets take %d bytes, and %d are kept: put some back first", len(names), len(text), maxDisabledFileSize)
	}
	next := d.path + ".next"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		os.Remove(next)
		return fmt.Errorf("targets left out by hand, which stay as they were: make room in NODE_STATE: %w", err)
	}
	if err := os.Rename(next, d.path); err != nil {
		return fmt.Errorf("targets left out by hand, which stay as they were: %w", err)
	}
	return nil
}

// LoadAtStart is Load for the start of a process, which logs errors and goes on with the names that can be read.
func (d DisabledFile) LoadAtStart() []string {
	names, err := d.Load()
	if err != nil {
		slog.Error("some endpoints that were disabled may be in rotation again", "err", err)
	}
	if len(names) > 0 {
		slog.Info("endpoints disabled by operators", "targets", names)
	}
	return names
}
