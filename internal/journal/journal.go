// Package journal keeps what a forwarder has taken on in a file that outlasts its
// process. It decides nothing: it records, and tells at the next start.
package journal

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

	"scaleroute/internal/message"
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
//	F front      its name, where there is more than one
//	S about to be sent
//	O outcome    1 byte: 1 if the attempt may have run, 0 if it never did
//	E end        1 byte: d (dead) or b (bounced), and the wait advised (ms, 4); a notice is owed
//	C closed     nothing is owed any more
//	M attempts   3 bytes: made, 1 if the last has no outcome, 1 if one may have run (by compaction)

const (
	fileName   = "journal"
	headerSize = 8
	MaxBody    = 64 << 10 // of a message, in bytes
	maxRecord  = MaxBody + 1024
	// What a message may still need after its acceptance: some 10 attempts and its end.
	reservePerMessage = 1024
	diskMargin        = 16 << 10
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Saved is what the journal knows of one message.
type Saved struct {
	ID       string
	Class    string
	Dest     int
	Deadline time.Time
	Body     message.Body
	Origin   string // the front that took it

	Attempts   int
	Open       bool // the last attempt has no outcome
	MayHaveRun bool // an attempt may have run; an open one may
	End        byte // d or b once its end is decided
	Wait       time.Duration

	order uint64
}

// Ran tells whether any attempt may have run, an open one included.
func (s *Saved) Ran() bool { return s.MayHaveRun || s.Open }

// Size is what must be reserved for a message: its body and the name of its front.
func (s *Saved) Size() int { return s.Body.Len() + len(s.Origin) }

func (s *Saved) cost() int64 { return int64(s.Size()) + reservePerMessage }

// Journal is the append-only file. It is owned by one goroutine.
type Journal struct {
	dir   string
	file  *os.File
	limit int64 // bytes that the folder may hold
	size  int64 // bytes in the file
	buf   []byte
	live  map[string]*Saved
	need  int64 // upper bound of what compaction writes, and of what live messages still write
	next  uint64
}

// Open replays the journal in a folder, or begins one. A torn record at
// its end, left by a kill in the middle of a write, is cut off.
func Open(dir string, limit int64) (*Journal, error) {
	j := &Journal{dir: dir, limit: limit - diskMargin, live: map[string]*Saved{}}
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

func (j *Journal) path() string { return filepath.Join(j.dir, fileName) }

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
func (j *Journal) apply(p []byte) bool {
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
		j.add(&Saved{ID: id, Deadline: time.UnixMilli(int64(binary.LittleEndian.Uint64(rest))),
			Dest:  int(int32(binary.LittleEndian.Uint32(rest[8:]))),
			Class: string(rest[13:c]), Body: message.Bytes(slices.Clone(rest[c:]))})
		return true
	}
	s := j.live[id]
	if s == nil {
		return true // closed before
	}
	switch {
	case kind == 'S':
		s.MayHaveRun = s.Ran() // an earlier one without an outcome may have run
		s.Attempts, s.Open = s.Attempts+1, true
	case kind == 'O' && len(rest) == 1:
		s.Open, s.MayHaveRun = false, s.MayHaveRun || rest[0] == 1
	case kind == 'E' && len(rest) == 5:
		s.End, s.Wait = rest[0], time.Duration(binary.LittleEndian.Uint32(rest[1:]))*time.Millisecond
	case kind == 'M' && len(rest) == 3:
		s.Attempts, s.Open, s.MayHaveRun = int(rest[0]), rest[1] == 1, rest[2] == 1
	case kind == 'F':
		s.Origin = string(rest)
	case kind == 'C':
		j.drop(s)
	default:
		return false
	}
	return true
}

func (j *Journal) add(s *Saved) {
	if old := j.live[s.ID]; old != nil {
		j.drop(old)
	}
	j.next++
	s.order = j.next
	j.live[s.ID] = s
	j.need += s.cost()
}

func (j *Journal) drop(s *Saved) {
	delete(j.live, s.ID)
	j.need -= s.cost()
}

// Held lists the messages in the order taken.
func (j *Journal) Held() []*Saved {
	list := make([]*Saved, 0, len(j.live))
	for _, s := range j.live {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *Saved) int { return int(int64(a.order) - int64(b.order)) })
	return list
}

// append buffers one record; flush writes it.
func (j *Journal) append(kind byte, id string, rest ...[]byte) {
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

func (j *Journal) appendAccepted(s *Saved) error {
	body, err := s.Body.Load()
	if err != nil {
		return fmt.Errorf("journal: the body of %s: %w", s.ID, err)
	}
	head := binary.LittleEndian.AppendUint64(nil, uint64(s.Deadline.UnixMilli()))
	head = binary.LittleEndian.AppendUint32(head, uint32(int32(s.Dest)))
	head = append(append(head, byte(len(s.Class))), s.Class...)
	j.append('A', s.ID, head, body)
	if s.Origin != "" {
		j.append('F', s.ID, []byte(s.Origin))
	}
	return nil
}

func (j *Journal) appendEnd(s *Saved) {
	j.append('E', s.ID, binary.LittleEndian.AppendUint32([]byte{s.End}, uint32(s.Wait.Milliseconds())))
}

// Reserve sets room aside for one more message, if there is any: what compaction
// writes and the file that it replaces must fit in the folder together at any
// time, since going over the disk's limit counts as a crash.
func (j *Journal) Reserve(size int) (bool, error) {
	cost := int64(size) + reservePerMessage
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

// Release gives back what reserve set aside for a message that was turned away.
func (j *Journal) Release(size int) { j.need -= int64(size) + reservePerMessage }

// Accepted takes a message on, in the room reserved for it.
func (j *Journal) Accepted(s *Saved) error {
	j.Release(s.Size())
	j.add(s)
	return j.appendAccepted(s)
}

// Sending notes that an attempt is about to be made.
func (j *Journal) Sending(id string) {
	if s := j.live[id]; s != nil {
		s.MayHaveRun = s.Ran()
		s.Attempts, s.Open = s.Attempts+1, true
		j.append('S', id)
	}
}

// Outcome notes how the attempt that is out ended.
func (j *Journal) Outcome(id string, mayHaveRun bool) {
	if s := j.live[id]; s != nil {
		s.Open, s.MayHaveRun = false, s.MayHaveRun || mayHaveRun
		ran := byte(0)
		if mayHaveRun {
			ran = 1
		}
		j.append('O', id, []byte{ran})
	}
}

// Ended notes the final answer; its notice is owed from then on.
func (j *Journal) Ended(id string, end byte, wait time.Duration) {
	if s := j.live[id]; s != nil {
		s.End, s.Wait = end, wait
		j.appendEnd(s)
	}
}

// Closed drops a message for which nothing is owed any more.
func (j *Journal) Closed(id string) {
	if s := j.live[id]; s != nil {
		j.append('C', id)
		j.drop(s)
	}
}

// Flush writes what was appended. The file is rewritten first if the two of
// them would no longer fit later.
func (j *Journal) Flush() error {
	if len(j.buf) == 0 {
		return nil
	}
	if size := j.size + int64(len(j.buf)); size+j.need > j.limit {
		return j.compact() // what was appended is in the state that it writes
	}
	return j.write(j.file)
}

func (j *Journal) write(f *os.File) error {
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
func (j *Journal) compact() error {
	f, err := os.OpenFile(j.path()+".new", os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return fmt.Errorf("journal: compaction: %w", err)
	}
	j.buf, j.size = j.buf[:0], 0
	for _, s := range j.Held() {
		if err := j.appendAccepted(s); err != nil {
			f.Close()
			return err
		}
		if s.Attempts > 0 {
			j.append('M', s.ID, []byte{byte(min(s.Attempts, 255)), bit(s.Open), bit(s.MayHaveRun)})
		}
		if s.End != 0 {
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

// Close closes the file; what is buffered is not written.
func (j *Journal) Close() error { return j.file.Close() }
