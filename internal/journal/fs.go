package journal

import (
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"syscall"
)

// FS is what the journal needs of a file system. Names have no folder: all files are in one. Tests inject faults
// here.
type FS interface {
	List() ([]string, error)
	Open(name string, create bool) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	Free() (int64, error) // bytes that the disk has left
	Sync() error          // what was created, renamed and removed outlasts the machine
}

// File is one file of an FS.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	Size() (int64, error)
	Allocate(size int64) error // sets room aside, so that writes below size find it
	Sync() error               // what was written outlasts the machine
}

// DirFS is a folder of the operating system.
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
		return 0, fmt.Errorf("asking what the disk of %s has left: %w", o.dir, err)
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
