package control

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash"
	"io"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"scaleroute/internal/catalog"
	"scaleroute/internal/ownership"
)

// stateDir is the folder in which a server persists its state for a restart: a snapshot of the endpoint list, the changes after it, and the
// leases.
type stateDir struct {
	path    string
	lock    *os.File
	changes *changesFile // nil: no file is open
}

const (
	lockFileName    = "lock"
	listFileName    = "list"
	membersFileName = "members"
	tempSuffix      = ".next"
)

func openStateDir(path string) (*stateDir, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, fmt.Errorf("state folder: %w", err)
	}
	lock, err := os.OpenFile(filepath.Join(path, lockFileName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("state folder: %w", err)
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		lock.Close()
		return nil, fmt.Errorf("state folder %s: another control server uses it (%w); give each a folder of its own", path, err)
	}
	return &stateDir{path: path, lock: lock}, nil
}

func (f *stateDir) close() error {
	f.changes.close()
	return f.lock.Close()
}

func (f *stateDir) file(name string) string { return filepath.Join(f.path, name) }

// loadList reads the persisted list. If there is none or it is corrupt, loadList returns an empty list, and the whole list is requested from
// discovery.
func (f *stateDir) loadList(layout ownership.Layout, limits catalog.Limits) *catalog.Catalog {
	list := catalog.New(layout, limits)
	err := readVerified(f.file(listFileName), func(from *bufio.Reader) error { return readList(from, list) })
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return list
	case err != nil:
		slog.Error("can't read the stored list: requesting the whole list from discovery", "file", f.file(listFileName), "err", err)
		return catalog.New(layout, limits)
	}
	snapshot := list.Index()
	f.replayChanges(list)
	slog.Info("loaded the stored list", "index", list.Index(), "snapshot_index", snapshot, "entries", list.Len())
	return list
}

// writeAtomically writes a file with a trailing checksum under a temporary name, syncs it to disk, and renames it to path.
func writeAtomically(path string, write func(to *bufio.Writer) error) (err error) {
	file, err := os.OpenFile(path+tempSuffix, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			file.Close()
			os.Remove(path + tempSuffix)
		}
	}()
	sum := xxhash.New()
	to := bufio.NewWriterSize(io.MultiWriter(file, sum), fileBufferSize)
	if err := write(to); err != nil {
		return err
	}
	if err := to.Flush(); err != nil {
		return err
	}
	if err := binary.Write(file, binary.LittleEndian, sum.Sum64()); err != nil {
		return err
	}
	if err := file.Sync(); err != nil {
		return err
	}
	if err := file.Close(); err != nil {
		return err
	}
	if err := os.Rename(path+tempSuffix, path); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(path))
}

const (
	fileBufferSize = 256 << 10
	checksumLen    = 8
)

func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

// readVerified reads a file written by writeAtomically. The checksum is verified after read has returned, so the caller must discard what read
// has produced if readVerified returns an error.
func readVerified(path string, read func(from *bufio.Reader) error) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return err
	}
	if info.Size() < checksumLen {
		return fmt.Errorf("file of %d bytes is truncated", info.Size())
	}
	content := &checksumReader{from: io.LimitReader(file, info.Size()-checksumLen), sum: xxhash.New()}
	from := bufio.NewReaderSize(content, fileBufferSize)
	if err := read(from); err != nil {
		return err
	}
	if rest, _ := io.Copy(io.Discard, from); rest > 0 {
		return fmt.Errorf("%d unexpected bytes after the last entry", rest)
	}
	var want uint64
	if err := binary.Read(file, binary.LittleEndian, &want); err != nil {
		return err
	}
	if got := content.sum.Sum64(); got != want {
		return fmt.Errorf("checksum is %016x, want %016x: the file is corrupt", got, want)
	}
	return nil
}

type checksumReader struct {
	from io.Reader
	sum  hash.Hash64
}

func (r *checksumReader) Read(to []byte) (int, error) {
	n, err := r.from.Read(to)
	r.sum.Write(to[:n])
	return n, err
}
