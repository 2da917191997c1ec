package journal

import (
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"syscall"
)

// FS is the part of a file system that the journal uses. All files are in one folder, so names have no directory part.
// Tests inject faults here.
type FS interface {
	List() ([]string, error)
	Open(name string, create bool) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	Free() (int64, error) // bytes left on the disk
	Sync() error          // makes created, renamed and removed names survive a failure of the machine
}

// File is one file of an FS.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	Size() (int64, error)
	Allocate(size int64) error // reserves disk space, so that writes below size do not run out of it
	Sync() error               // makes written data survive a failure of the machine
}

// DirFS returns a folder of the operating system as an FS.
func DirFS(dir string) FS { return osFS{dir: dir} }

// osFS is a folder of the operating system.
type osFS struct {
	dir      string
	readOnly bool
}

func (o osFS) List() ([]string, error) {
	entries, err := os.ReadDir(o.dir)
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, err
}

func (o osFS) Open(name string, create bool) (File, error) {
	flag := os.O_RDWR
	if o.readOnly {
		flag = os.O_RDONLY
	}
	if create {
		flag |= os.O_CREATE
	}
	f, err := os.OpenFile(filepath.Join(o.dir, name), flag, 0o600)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

func (o osFS) Rename(from, to string) error {
	return os.Rename(filepath.Join(o.dir, from), filepath.Join(o.dir, to))
}

func (o osFS) Remove(name string) error { return os.Remove(filepath.Join(o.dir, name)) }

func (o osFS) Free() (int64, error) {
	var s syscall.Statfs_t
	if err := syscall.Statfs(o.dir, &s); err != nil {
		return 0, fmt.Errorf("querying the free space of the disk of %s: %w", o.dir, err)
	}
	return int64(min(s.Bavail, math.MaxInt64/4/uint64(s.Bsize))) * s.Bsize, nil
}

func (o osFS) Sync() error {
	f, err := os.Open(o.dir)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

type osFile struct{ *os.File }

func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

func (f osFile) Allocate(size int64) error {
	err := syscall.Fallocate(int(f.Fd()), 0, 0, size)
	if err != syscall.EOPNOTSUPP && err != syscall.ENOSYS {
		return err
	}
	var zeros [64 << 10]byte
	for at := int64(0); at < size; at += int64(len(zeros)) {
		if _, err := f.WriteAt(zeros[:min(int64(len(zeros)), size-at)], at); err != nil {
			return err
		}
	}
	return nil
}
