package journal

import (
	"bytes"
	"errors"
	"io/fs"
	"maps"
	"slices"
	"syscall"
)

// memFS is a file system in memory that crashes or fails where a test says. It counts what changes it.
type memFS struct {
	files map[string]*memFile
	ops   int
	limit int64 // bytes of all files together; 0 for none
	most  int64 // that there ever were

	crashAt int     // the op in which the process is killed, from 1 on; 0 for none
	part    float64 // of that op that is still carried out
	failAt  int     // the op that fails, and all that write behind it
	err     error
}

type memFile struct {
	fs   *memFS
	text []byte
}

// crash is the panic of a process that is killed.
type crash struct{}

func newMemFS() *memFS { return &memFS{files: map[string]*memFile{}} }

// after is what a new process finds.
func (m *memFS) after() *memFS {
	n := newMemFS()
	n.limit = m.limit
	for name, f := range m.files {
		n.files[name] = &memFile{n, bytes.Clone(f.text)}
	}
	return n
}

// step counts one op, and tells what part of it is carried out before the process is killed.
func (m *memFS) step() (part float64, err error) {
	m.ops++
	if m.ops == m.crashAt {
		return m.part, nil
	}
	if m.failAt > 0 && m.ops >= m.failAt {
		return 0, m.err
	}
	return 1, nil
}

func (m *memFS) die() {
	if m.ops == m.crashAt {
		panic(crash{})
	}
}

func (m *memFS) used() (n int64) {
	for _, f := range m.files {
		n += int64(len(f.text)+511) / 512 * 512
	}
	return n
}

func (m *memFS) List() ([]string, error) { return slices.Sorted(maps.Keys(m.files)), nil }

func (m *memFS) Open(name string, create bool) (File, error) {
	f := m.files[name]
	if f == nil {
		if !create {
			return nil, fs.ErrNotExist
		}
		part, err := m.step()
		if err != nil {
			return nil, err
		}
		f = &memFile{fs: m}
		if part > 0.5 {
			m.files[name] = f
		}
		m.die()
	}
	return f, nil
}

func (m *memFS) Rename(from, to string) error {
	part, err := m.step()
	if err != nil {
		return err
	}
	if part > 0.5 {
		m.files[to] = m.files[from]
		delete(m.files, from)
	}
	m.die()
	return nil
}

func (m *memFS) Remove(name string) error {
	part, err := m.step()
	if err != nil {
		return err
	}
	if part > 0.5 {
		delete(m.files, name)
	}
	m.die()
	return nil
}

func (f *memFile) ReadAt(b []byte, at int64) (int, error) {
	if at >= int64(len(f.text)) {
		return 0, errors.New("EOF")
	}
	n := copy(b, f.text[at:])
	if n < len(b) {
		return n, errors.New("EOF")
	}
	return n, nil
}

func (f *memFile) WriteAt(b []byte, at int64) (int, error) {
	part, err := f.fs.step()
	if err != nil {
		return 0, err
	}
	n := int(part * float64(len(b)))
	if err := f.grow(at + int64(n)); err != nil {
		return 0, err
	}
	copy(f.text[at:], b[:n])
	f.fs.die()
	return n, nil
}

func (f *memFile) grow(size int64) error {
	more := size - int64(len(f.text))
	if more <= 0 {
		return nil
	}
	if f.fs.limit > 0 && f.fs.used()+more > f.fs.limit {
		return syscall.ENOSPC
	}
	f.text = append(f.text, make([]byte, more)...)
	f.fs.most = max(f.fs.most, f.fs.used())
	return nil
}

func (f *memFile) Allocate(size int64) error {
	part, err := f.fs.step()
	if err != nil {
		return err
	}
	err = f.grow(int64(part * float64(size)))
	f.fs.die()
	return err
}

func (f *memFile) Size() (int64, error) { return int64(len(f.text)), nil }
func (f *memFile) Close() error         { return nil }
