package node

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"time"
)

// The state journal holds what the forwarder has taken on. Its records are
// written with plain write(2) before the step that they announce shows outside:
// what was written outlasts SIGKILL without a sync.
//
// A record is a header of 8 bytes - length of the payload and its CRC-32, both
// little-endian - and the payload: a byte for the type, the length of the id in
// one byte, the id, and then by type:
//
//	A accepted   deadline (Unix ms, 8 bytes), destination (4), length of the class (1), class, body
//	S about to be sent
//	O outcome    1 byte: 1 if the attempt may have run, 0 if it never did
//	E end        1 byte: d (dead) or b (bounced), and the wait advised (ms, 4); a notice is owed
//	C closed     nothing is owed any more
//	M attempts   3 bytes: made, 1 if the last has no outcome, 1 if one may have run (by compaction)

const (
	journalName = "journal"
	headerSize  = 8
	maxRecord   = maxBody + 1024
	// What a message may still need after its acceptance: some 10 attempts and its end.
	reservePerMessage = 1024
	journalMargin     = 16 << 10
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// saved is what the journal knows of one message.
type saved struct {
	id       string
	class    string
	dest     int
	deadline time.Time
	body     []byte

	attempts   int
	open       bool // the last attempt has no outcome
	mayHaveRun bool // an attempt may have run; an open one may
	end        byte // d or b once its end is decided
	wait       time.Duration

	order uint64
}

// ran tells whether any attempt may have run, an open one included.
func (s *saved) ran() bool { return s.mayHaveRun || s.open }

func (s *saved) cost() int64 { return int64(len(s.body)) + reservePerMessage }

// journal is the append-only file. It is owned by one goroutine.
type journal struct {
	dir   string
	file  *os.File
	limit int64 // bytes that the folder may hold
	size  int64 // bytes in the file
	buf   []byte
	live  map[string]*saved
	need  int64 // upper bound of what compaction writes, and of what live messages still write
	next  uint64
}

// openJournal replays the journal in a folder, or begins one. A torn record at
// its end, left by a kill in the middle of a write, is cut off.
func openJournal(dir string, limit int64) (*journal, error) {
	j := &journal{dir: dir, limit: limit - journalMargin, live: map[string]*saved{}}
	// A kill during compaction leaves a half-written file that nothing names.
	if err := os.Remove(j.path() + ".new"); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("journal: %w", err)
	}
	text, err := os.ReadFile(j.path())
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("journal: %w", err)
	}
	for {
		payload, ok := nextRecord(text[j.size:])
		if !ok || !j.apply(payload) {
			break
		}
		j.size += headerSize + int64(len(payload))
	}
	if j.file, err = os.OpenFile(j.path(), os.O_WRONLY|os.O_CREATE, 0o600); err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	if err := j.file.Truncate(j.size); err != nil {
		return nil, fmt.Errorf("journal: cutting off a torn record: %w", err)
	}
	return j, nil
}

func (j *journal) path() string { return filepath.Join(j.dir, journalName) }

// nextRecord returns the payload at the start of text, if it is whole.
func nextRecord(text []byte) ([]byte, bool) {
	if len(text) < headerSize {
		return nil, false
	}
	n := binary.LittleEndian.Uint32(text)
	if n < 2 || n > maxRecord || int(n) > len(text)-headerSize {
		return nil, false
	}
	payload := text[headerSize : headerSize+int(n)]
	return payload, crc32.Checksum(payload, castagnoli) == binary.LittleEndian.Uint32(text[4:])
}

// apply replays one record; false means that it makes no sense.
func (j *journal) apply(p []byte) bool {
	kind, n := p[0], int(p[1])
	if len(p) < 2+n {
		return false
	}
	id, rest := string(p[2:2+n]), p[2+n:]
	if kind == 'A' {
		if len(rest) < 13 || len(rest) < 13+int(rest[12]) {
			return false
		}
		c := 13 + int(rest[12])
		j.add(&saved{id: id, deadline: time.UnixMilli(int64(binary.LittleEndian.Uint64(rest))),
			dest:  int(int32(binary.LittleEndian.Uint32(rest[8:]))),
			class: string(rest[13:c]), body: slices.Clone(rest[c:])})
		return true
	}
	s := j.live[id]
	if s == nil {
		return true // closed before
	}
	switch {
	case kind == 'S':
		s.mayHaveRun = s.ran() // an earlier one without an outcome may have run
		s.attempts, s.open = s.attempts+1, true
	case kind == 'O' && len(rest) == 1:
		s.open, s.mayHaveRun = false, s.mayHaveRun || rest[0] == 1
	case kind == 'E' && len(rest) == 5:
		s.end, s.wait = rest[0], time.Duration(binary.LittleEndian.Uint32(rest[1:]))*time.Millisecond
	case kind == 'M' && len(rest) == 3:
		s.attempts, s.open, s.mayHaveRun = int(rest[0]), rest[1] == 1, rest[2] == 1
	case kind == 'C':
		j.drop(s)
	default:
		return false
	}
	return true
}

func (j *journal) add(s *saved) {
	if old := j.live[s.id]; old != nil {
		j.drop(old)
	}
	j.next++
	s.order = j.next
	j.live[s.id] = s
	j.need += s.cost()
}

func (j *journal) drop(s *saved) {
	delete(j.live, s.id)
	j.need -= s.cost()
}

// held lists the messages in the order taken.
func (j *journal) held() []*saved {
	list := make([]*saved, 0, len(j.live))
	for _, s := range j.live {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *saved) int { return int(int64(a.order) - int64(b.order)) })
	return list
}

// append buffers one record; flush writes it.
func (j *journal) append(kind byte, id string, rest ...[]byte) {
	start := len(j.buf)
	j.buf = append(j.buf, make([]byte, headerSize)...)
	j.buf = append(j.buf, kind, byte(len(id)))
	j.buf = append(j.buf, id...)
	for _, r := range rest {
		j.buf = append(j.buf, r...)
	}
	payload := j.buf[start+headerSize:]
	binary.LittleEndian.PutUint32(j.buf[start:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(j.buf[start+4:], crc32.Checksum(payload, castagnoli))
}

func (j *journal) appendAccepted(s *saved) {
	head := binary.LittleEndian.AppendUint64(nil, uint64(s.deadline.UnixMilli()))
	head = binary.LittleEndian.AppendUint32(head, uint32(int32(s.dest)))
	head = append(append(head, byte(len(s.class))), s.class...)
	j.append('A', s.id, head, s.body)
}

func (j *journal) appendEnd(s *saved) {
	j.append('E', s.id, binary.LittleEndian.AppendUint32([]byte{s.end}, uint32(s.wait.Milliseconds())))
}

// reserve sets room aside for one more message, if there is any: what compaction
// writes and the file that it replaces must fit in the folder together at any
// time, since going over the disk's limit counts as a crash.
func (j *journal) reserve(body int) (bool, error) {
	cost := int64(body) + reservePerMessage
	if 2*(j.need+cost) > j.limit {
		return false, nil
	}
	if j.size+int64(len(j.buf))+j.need+cost > j.limit {
		if err := j.compact(); err != nil {
			return false, err
		}
	}
	j.need += cost
	return true, nil
}

// release gives back what reserve set aside for a message that was turned away.
func (j *journal) release(body int) { j.need -= int64(body) + reservePerMessage }

// accepted takes a message on, in the room reserved for it.
func (j *journal) accepted(s *saved) {
	j.release(len(s.body))
	j.add(s)
	j.appendAccepted(s)
}

func (j *journal) sending(id string) {
	if s := j.live[id]; s != nil {
		s.mayHaveRun = s.ran()
		s.attempts, s.open = s.attempts+1, true
		j.append('S', id)
	}
}

func (j *journal) outcome(id string, mayHaveRun bool) {
	if s := j.live[id]; s != nil {
		s.open, s.mayHaveRun = false, s.mayHaveRun || mayHaveRun
		ran := byte(0)
		if mayHaveRun {
			ran = 1
		}
		j.append('O', id, []byte{ran})
	}
}

func (j *journal) ended(id string, end byte, wait time.Duration) {
	if s := j.live[id]; s != nil {
		s.end, s.wait = end, wait
		j.appendEnd(s)
	}
}

func (j *journal) closed(id string) {
	if s := j.live[id]; s != nil {
		j.append('C', id)
		j.drop(s)
	}
}

// flush writes what was appended. The file is rewritten first if the two of
// them would no longer fit later.
func (j *journal) flush() error {
	if len(j.buf) == 0 {
		return nil
	}
	if size := j.size + int64(len(j.buf)); size+j.need > j.limit {
		return j.compact() // what was appended is in the state that it writes
	}
	return j.write(j.file)
}

func (j *journal) write(f *os.File) error {
	n, err := f.WriteAt(j.buf, j.size)
	if err != nil {
		// Records behind a torn one would never be read again.
		return errors.Join(fmt.Errorf("journal: %w", err), f.Truncate(j.size))
	}
	j.size += int64(n)
	if j.buf = j.buf[:0]; cap(j.buf) > 1<<20 {
		j.buf = nil
	}
	return nil
}

// compact writes what is still owed into a new file and puts it in the place
// of the old one. A kill at any moment leaves one of the two whole.
func (j *journal) compact() error {
	f, err := os.OpenFile(j.path()+".new", os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return fmt.Errorf("journal: compaction: %w", err)
	}
	j.buf, j.size = j.buf[:0], 0
	for _, s := range j.held() {
		j.appendAccepted(s)
		if s.attempts > 0 {
			j.append('M', s.id, []byte{byte(min(s.attempts, 255)), bit(s.open), bit(s.mayHaveRun)})
		}
		if s.end != 0 {
			j.appendEnd(s)
		}
	}
	if err := j.write(f); err != nil {
		f.Close()
		return err
	}
	if err := os.Rename(j.path()+".new", j.path()); err != nil {
		f.Close()
		return fmt.Errorf("journal: compaction: %w", err)
	}
	j.file.Close()
	j.file = f
	return nil
}

func bit(b bool) byte {
	if b {
		return 1
	}
	return 0
}

func (j *journal) close() error { return j.file.Close() }
