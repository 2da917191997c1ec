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

// folder is where a server keeps what it is to have after a restart: a snapshot of the list, the changes after it, and the leases.
type folder struct {
	path    string
	lock    *os.File
	changes *changesFile // nil: none is open
}

const (
	lockName    = "lock"
	listName    = "list"
	membersName = "members"
	nextSuffix  = ".next"
)

func openFolder(path string) (*folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, fmt.Errorf("state folder: %w", err)
	}
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("state folder: %w", err)
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		lock.Close()
		return nil, fmt.Errorf("state folder %s: another control server uses it (%w); give each a folder of its own", path, err)
	}
	return &folder{path: path, lock: lock}, nil
}

func (f *folder) close() error {
	f.changes.close()
	return f.lock.Close()
}

func (f *folder) file(name string) string { return filepath.Join(f.path, name) }

// loadList is the list that was kept; an empty one where there is none, or where it is damaged: then discovery is asked for all of it.
func (f *folder) loadList(layout ownership.Layout, limits catalog.Limits) *catalog.Catalog {
	list := catalog.New(layout, limits)
	err := readChecked(f.file(listName), func(from *bufio.Reader) error { return readList(from, list) })
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return list
	case err != nil:
		slog.Error("the kept list can't be used: discovery is asked for all of it", "file", f.file(listName), "err", err)
		return catalog.New(layout, limits)
	}
	snapshot := list.Index()
	f.replayChanges(list)
	slog.Info("the kept list is in use", "index", list.Index(), "snapshot_index", snapshot, "entries", list.Len())
	return list
}

// writeAtomically writes a file under another name, with a checksum at its end, and renames it once it is on disk.
func writeAtomically(path string, write func(to *bufio.Writer) error) (err error) {
	file, err := os.OpenFile(path+nextSuffix, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			file.Close()
			os.Remove(path + nextSuffix)
		}
	}()
	sum := xxhash.New()
	to := bufio.NewWriterSize(io.MultiWriter(file, sum), fileBuffer)
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
	if err := os.Rename(path+nextSuffix, path); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(path))
}

const (
	fileBuffer = 256 << 10
	sumLen     = 8
)

func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

// readChecked reads a file that writeAtomically has written. What read has made of it counts only if the checksum is right.
func readChecked(path string, read func(from *bufio.Reader) error) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return err
	}
	if info.Size() < sumLen {
		return fmt.Errorf("%d bytes: it is cut off", info.Size())
	}
	content := &summedReader{from: io.LimitReader(file, info.Size()-sumLen), sum: xxhash.New()}
	from := bufio.NewReaderSize(content, fileBuffer)
	if err := read(from); err != nil {
		return err
	}
	if rest, _ := io.Copy(io.Discard, from); rest > 0 {
		return fmt.Errorf("%d bytes behind its end", rest)
	}
	var want uint64
	if err := binary.Read(file, binary.LittleEndian, &want); err != nil {
		return err
	}
	if got := content.sum.Sum64(); got != want {
		return fmt.Errorf("its checksum is %016x, not %016x: it is damaged", got, want)
	}
	return nil
}

type summedReader struct {
	from io.Reader
	sum  hash.Hash64
}

func (r *summedReader) Read(to []byte) (int, error) {
	n, err := r.from.Read(to)
	r.sum.Write(to[:n])
	return n, err
}
