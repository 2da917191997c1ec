package journal

import (
	"bytes"
	"errors"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"syscall"
)

// memFS is a file system in memory that crashes or fails at an operation that the test chooses. It counts the operations
// that change it.
type memFS struct {
	files   map[string]*memFile
	ops     int
	limit   int64 // bytes of all files together; 0 for no limit
	maxUsed int64 // the most bytes that were ever used

	crashAt       int     // the operation in which the process is killed, counted from 1; 0 for none
	crashFraction float64 // the part of that operation that is still carried out
	failAt        int     // the first operation that fails; later ones that write fail, too
	healAt        int     // from this operation on they succeed again; 0 for never
	shortWrites   bool    // half of a failing write is carried out
	err           error

	synced        map[string]*memFile // the folder as of its last sync
	unsyncedMoves []move              // changes of the folder since its last sync
}

// move is one change of the folder: a file gets a name, loses its name, or both.
type move struct {
	from, to string // one may be empty
	file     *memFile
}

type memFile struct {
	fs     *memFS
	data   []byte
	synced []byte // as of its last sync
	dirty  []span // written since its last sync
}

type span struct{ from, to int64 }

// crash is the panic by which a killed process ends.
type crash struct{}

func newMemFS() *memFS { return &memFS{files: map[string]*memFile{}, synced: map[string]*memFile{}} }

// afterPowerFailure returns what a new process finds after a failure of the machine: an arbitrary selection of the
// changes that the folder had since its last sync, and of each file an arbitrary beginning, or arbitrary blocks, of what
// was written since the file's last sync.
func (m *memFS) afterPowerFailure(rng *rand.Rand) *memFS {
	n := newMemFS()
	n.limit = m.limit
	folder := maps.Clone(m.synced)
	for _, c := range m.unsyncedMoves {
		if rng.IntN(2) == 0 || c.from != "" && folder[c.from] == nil {
			continue
		}
		delete(folder, c.from)
		if c.to != "" {
			folder[c.to] = c.file
		}
	}
	const block = 512
	for _, name := range slices.Sorted(maps.Keys(folder)) {
		f := folder[name]
		data := make([]byte, len(f.data)) // the length is kept, as by Allocate
		copy(data, f.synced)
		beginning, some, stop := rng.IntN(len(f.dirty)+1), rng.IntN(3), false
		for i, d := range f.dirty {
			for at := d.from; at < d.to && !stop; at = at/block*block + block {
				to := min(d.to, at/block*block+block)
				if stop = some == 0 && i == beginning && rng.IntN(2) == 0; !stop && (some == 0 || rng.IntN(1+some) > 0) {
					copy(data[at:to], f.data[at:to])
				}
			}
		}
		n.files[name] = &memFile{fs: n, data: data, synced: bytes.Clone(data)}
		n.synced[name] = n.files[name]
	}
	return n
}

// afterKill returns what a new process finds after this one was killed.
func (m *memFS) afterKill() *memFS {
	n := newMemFS()
	n.limit = m.limit
	for name, f := range m.files {
		n.files[name] = &memFile{fs: n, data: bytes.Clone(f.data)}
		n.synced[name] = n.files[name]
	}
	return n
}

func (m *memFS) Free() (int64, error) {
	if m.limit == 0 {
		return 1 << 40, nil
	}
	return m.limit - m.used(), nil
}

func (m *memFS) Sync() error {
	_, err := m.countOp()
	if err != nil {
		return err
	}
	m.crashIfDue()
	m.synced, m.unsyncedMoves = maps.Clone(m.files), nil
	return nil
}

func (f *memFile) Sync() error {
	_, err := f.fs.countOp()
	if err != nil {
		f.data, f.dirty = bytes.Clone(f.synced), nil // the dirty pages are dropped: a second sync would find nothing to do
		return err
	}
	f.fs.crashIfDue()
	f.synced, f.dirty = bytes.Clone(f.data), nil
	return nil
}

// countOp counts one operation, and returns which part of it is carried out before the process is killed.
func (m *memFS) countOp() (part float64, err error) {
	m.ops++
	if m.ops == m.crashAt {
		return m.crashFraction, nil
	}
	if m.failAt > 0 && m.ops >= m.failAt && (m.healAt == 0 || m.ops < m.healAt) {
		return 0, m.err
	}
	return 1, nil
}

func (m *memFS) crashIfDue() {
	if m.ops == m.crashAt {
		panic(crash{})
	}
}

func (m *memFS) used() (n int64) {
	for _, f := range m.files {
		n += int64(len(f.data)+511) / 512 * 512
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
		part, err := m.countOp()
		if err != nil {
			return nil, err
		}
		f = &memFile{fs: m}
		if part > 0.5 {
			m.files[name] = f
			m.unsyncedMoves = append(m.unsyncedMoves, move{"", name, f})
		}
		m.crashIfDue()
	}
	return f, nil
}

func (m *memFS) Rename(from, to string) error {
	part, err := m.countOp()
	if err != nil {
		return err
	}
	if part > 0.5 {
		m.files[to] = m.files[from]
		delete(m.files, from)
		m.unsyncedMoves = append(m.unsyncedMoves, move{from, to, m.files[to]})
	}
	m.crashIfDue()
	return nil
}

func (m *memFS) Remove(name string) error {
	part, err := m.countOp()
	if err != nil {
		return err
	}
	if part > 0.5 {
		delete(m.files, name)
		m.unsyncedMoves = append(m.unsyncedMoves, move{name, "", nil})
	}
	m.crashIfDue()
	return nil
}

func (f *memFile) ReadAt(b []byte, at int64) (int, error) {
	if at >= int64(len(f.data)) {
		return 0, errors.New("EOF")
	}
	n := copy(b, f.data[at:])
	if n < len(b) {
		return n, errors.New("EOF")
	}
	return n, nil
}

func (f *memFile) WriteAt(b []byte, at int64) (int, error) {
	part, err := f.fs.countOp()
	if err != nil {
		n := 0
		if f.fs.shortWrites && f.grow(at+int64(len(b)/2)) == nil {
			n = copy(f.data[at:], b[:len(b)/2])
			f.dirty = append(f.dirty, span{at, at + int64(n)})
		}
		return n, err
	}
	n := int(part * float64(len(b)))
	if err := f.grow(at + int64(n)); err != nil {
		return 0, err
	}
	copy(f.data[at:], b[:n])
	f.dirty = append(f.dirty, span{at, at + int64(n)})
	f.fs.crashIfDue()
	return n, nil
}

func (f *memFile) grow(size int64) error {
	more := size - int64(len(f.data))
	if more <= 0 {
		return nil
	}
	if f.fs.limit > 0 && f.fs.used()+more > f.fs.limit {
		return syscall.ENOSPC
	}
	f.data = append(f.data, make([]byte, more)...)
	f.fs.maxUsed = max(f.fs.maxUsed, f.fs.used())
	return nil
}

func (f *memFile) Allocate(size int64) error {
	part, err := f.fs.countOp()
	if err != nil {
		return err
	}
	err = f.grow(int64(part * float64(size)))
	f.fs.crashIfDue()
	return err
}

func (f *memFile) Size() (int64, error) { return int64(len(f.data)), nil }
func (f *memFile) Close() error         { return nil }
