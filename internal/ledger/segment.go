package ledger

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"scaleroute/internal/version"
)

// A segment begins with its header. Records follow, up to the first whose length is 0:
//
//	0    "SRLG"
//	4    format (2 bytes, little-endian), now 1
//	6    segments that were removed unread before (2)
//	8    sequence number (8)
//	16   time of its initialization, Unix time in ns (8)
//	24   digest of the forwarder's name (8)
//	32   changes and calls that were overwritten before, and the time of the newest of these calls (3 times 8)
//	56   calls and changes that there was no room for before this segment (2 times 8)
//	72   CRC-32C of the bytes above (4)
//	80   calls that there was no room for while this segment was the newest: a count
//	96   changes that there was no room for meanwhile: a count
//
//	record: length of its payload (3 bytes), kind (1), CRC-32C of kind and payload (4), payload, zeros up to a multiple of 8
//	payload of a change: JSON
//	payload of a counter: number of the change (8), time of the first call in ns (8), the endpoint; after the zeros, outside the checksum, five counts
//
// A count is a number and, 8 bytes later, its complement, written in this order, so that a kill between the two stores leaves a difference of one
// step. Any other difference is damage. The length of a record is written last: without it the record does not exist.
const (
	format     = 1
	headerSize = 128

	offUnrecordedCalls   = 80
	offUnrecordedChanges = 96

	recordHeaderSize = 8
	kindChange       = 1
	kindCounter      = 2

	namePrefix = "ledger-"
	nameSuffix = ".led"
)

// Indexes of the counts of a counter.
const (
	indexBegun     = iota // calls, counted just before they are started
	indexLast             // time of the last call, Unix time in ns
	indexCompleted        // completed calls
	indexUnsent           // calls that were never sent in full
	indexAnswered         // calls that the endpoint answered
	countsPerCounter
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// segment is a mapped segment file.
type segment struct {
	name     string
	seq      uint64
	data     []byte // mapped
	end      int64  // offset of the end of the records
	entries  int    // changes that it holds
	counters []*CallCounter
}

// overwrittenCounts counts what was lost by overwriting segments. latest is the time of the newest lost call in ns.
type overwrittenCounts struct {
	changes, calls uint64
	latest         int64
	unreadSegments uint16
}

func (d *overwrittenCounts) add(o overwrittenCounts) {
	d.changes, d.calls, d.latest = d.changes+o.changes, d.calls+o.calls, max(d.latest, o.latest)
	d.unreadSegments += min(o.unreadSegments, math.MaxUint16-d.unreadSegments)
}

// segmentHeader holds the data of a segment's header and the losses before it.
type segmentHeader struct {
	name        version.Digest
	created     int64
	overwritten overwrittenCounts
	unrecorded  unrecordedCounts
}

func segmentName(seq uint64) string { return fmt.Sprintf("%s%016x%s", namePrefix, seq, nameSuffix) }

func parseName(name string) (seq uint64, ok bool) {
	text, ok1 := strings.CutPrefix(name, namePrefix)
	text, ok2 := strings.CutSuffix(text, nameSuffix)
	seq, err := strconv.ParseUint(text, 16, 64)
	return seq, ok1 && ok2 && len(text) == 16 && err == nil
}

// descriptor is a file that can be mapped.
type descriptor interface{ Fd() uintptr }

// mapFile maps an existing segment file.
func mapFile(files FS, name string, seq uint64) (*segment, error) {
	f, err := files.Open(name, false)
	if err != nil {
		return nil, err
	}
	defer f.Close() // the mapping stays
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	if size < headerSize || size > MaxBytes {
		return nil, fmt.Errorf("%s has %d bytes", name, size)
	}
	d, ok := f.(descriptor)
	if !ok {
		return nil, fmt.Errorf("%s can't be mapped", name)
	}
	// All blocks must be allocated: a write to a page without one on a full disk kills the process (SIGBUS).
	if err := f.Allocate(size); err != nil {
		return nil, err
	}
	data, err := syscall.Mmap(int(d.Fd()), 0, int(size), syscall.PROT_READ|syscall.PROT_WRITE, syscall.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("mapping %s: %w", name, err)
	}
	return &segment{name: name, seq: seq, data: data}, nil
}

// create creates a segment file and initializes it. If the disk has no room for all of it, the file is removed.
func create(files FS, seq uint64, size int64, h segmentHeader) (*segment, error) {
	name := segmentName(seq)
	f, err := files.Open(name, true)
	if err != nil {
		return nil, err
	}
	if err := f.Allocate(size); err != nil {
		f.Close()
		files.Remove(name)
		return nil, err
	}
	f.Close()
	s, err := mapFile(files, name, seq)
	if err != nil {
		files.Remove(name)
		return nil, err
	}
	s.initialize(h)
	return s, nil
}

// initialize writes the header and clears the records.
func (s *segment) initialize(h segmentHeader) {
	le := binary.LittleEndian
	b := make([]byte, headerSize)
	copy(b, "SRLG")
	le.PutUint16(b[4:], format)
	le.PutUint16(b[6:], h.overwritten.unreadSegments)
	le.PutUint64(b[8:], s.seq)
	le.PutUint64(b[16:], uint64(h.created))
	le.PutUint64(b[24:], uint64(h.name))
	le.PutUint64(b[32:], h.overwritten.changes)
	le.PutUint64(b[40:], h.overwritten.calls)
	le.PutUint64(b[48:], uint64(h.overwritten.latest))
	le.PutUint64(b[56:], h.unrecorded.calls)
	le.PutUint64(b[64:], h.unrecorded.changes)
	store(b[offUnrecordedCalls:], 0)
	store(b[offUnrecordedChanges:], 0)
	le.PutUint32(b[72:], crc32.Checksum(b[:72], castagnoli))
	// The first word is cleared first and written last, in one store: after a kill in between it is zero.
	first := word(s.data)
	atomic.StoreUint64(first, 0)
	clear(s.data[8:])
	copy(s.data[8:], b[8:])
	atomic.StoreUint64(first, *word(b))
	s.end = headerSize
}

// header reads the segment's header. ok is false if the header is not valid.
func (s *segment) header() (h segmentHeader, ok bool) {
	return parseHeader(s.data, s.seq)
}

// parseHeader reads the header of segment seq. ok is false if the magic number, the format, the sequence number or the checksum is wrong.
func parseHeader(b []byte, seq uint64) (h segmentHeader, ok bool) {
	le := binary.LittleEndian
	if len(b) < headerSize || string(b[:4]) != "SRLG" || le.Uint16(b[4:]) != format || le.Uint64(b[8:]) != seq ||
		le.Uint32(b[72:]) != crc32.Checksum(b[:72], castagnoli) {
		return h, false
	}
	return segmentHeader{created: int64(le.Uint64(b[16:])), name: version.Digest(le.Uint64(b[24:])),
		overwritten: overwrittenCounts{le.Uint64(b[32:]), le.Uint64(b[40:]), int64(le.Uint64(b[48:])), le.Uint16(b[6:])},
		unrecorded:  unrecordedCounts{le.Uint64(b[56:]), le.Uint64(b[64:])}}, true
}

// partlyInitialized reports whether the process was killed while it reused a segment: the file has its new name, but the old header or none yet.
// The old records then count as overwritten, and no header has counted them.
func partlyInitialized(b []byte, seq uint64) bool {
	if len(b) < headerSize {
		return len(b) == 0 // the file was created, but not allocated
	}
	if oldSeq := binary.LittleEndian.Uint64(b[8:]); oldSeq < seq {
		if _, ok := parseHeader(b, oldSeq); ok {
			return true
		}
	}
	return binary.LittleEndian.Uint64(b) == 0
}

// padded rounds a length up to a multiple of 8.
func padded(n int) int { return (n + 7) &^ 7 }

// append appends a record if the segment has room, and reports whether it had. A counter's record is followed by its counts, which are set to zero.
func (s *segment) append(kind byte, payload []byte, slot *CallCounter) bool {
	whole := int64(recordHeaderSize + padded(len(payload)))
	if slot != nil {
		whole += countsPerCounter * 16
	}
	if s.end+whole+recordHeaderSize > int64(len(s.data)) || len(payload) >= 1<<24 {
		return false
	}
	b := s.data[s.end : s.end+whole]
	copy(b[recordHeaderSize:], payload)
	if slot != nil {
		slot.data = b[whole-countsPerCounter*16:]
		for i := range countsPerCounter {
			store(slot.data[i*16:], 0)
		}
		s.counters = append(s.counters, slot)
	}
	sum := crc32.Update(crc32.Checksum([]byte{kind}, castagnoli), castagnoli, payload)
	// Length, kind and checksum are written in one store, so that a record exists completely or not at all.
	atomic.StoreUint64(word(b), uint64(len(payload))|uint64(kind)<<24|uint64(sum)<<32)
	s.end += whole
	return true
}

// counterPayload encodes the payload of a counter's record.
func counterPayload(seq uint64, first time.Time, target string) []byte {
	b := make([]byte, 0, 16+len(target))
	b = binary.LittleEndian.AppendUint64(b, seq)
	b = binary.LittleEndian.AppendUint64(b, uint64(first.UnixNano()))
	return append(b, target...)
}

// record is a record that has been read.
type record struct {
	kind     byte
	payload  []byte
	seq      uint64 // of a counter, as are the fields below
	first    int64
	target   []byte
	counters []byte
}

// scan passes each record to visit and returns the offset of their end. It stops at the first unreadable record, which damage describes.
func (s *segment) scan(visit func(record)) (end int64, damage string) { return scan(s.data, visit) }

// scan is segment.scan for the bytes of a segment that need not be mapped.
func scan(b []byte, visit func(record)) (end int64, damage string) {
	at := int64(headerSize)
	for at+recordHeaderSize <= int64(len(b)) {
		w := binary.LittleEndian.Uint64(b[at:])
		if w == 0 {
			return at, ""
		}
		n, kind := int(w&0xffffff), byte(w>>24)
		whole := int64(recordHeaderSize + padded(n))
		if kind == kindCounter {
			whole += countsPerCounter * 16
		}
		if at+whole > int64(len(b)) {
			return at, fmt.Sprintf("record is truncated at byte %d", at)
		}
		payload := b[at+recordHeaderSize:][:n]
		if crc32.Update(crc32.Checksum([]byte{kind}, castagnoli), castagnoli, payload) != uint32(w>>32) {
			return at, fmt.Sprintf("record at byte %d fails its checksum", at)
		}
		r := record{kind: kind, payload: payload}
		if kind == kindCounter {
			if n < 16 {
				return at, fmt.Sprintf("counter with a payload of only %d bytes at byte %d", n, at)
			}
			r.seq, r.first = binary.LittleEndian.Uint64(payload), int64(binary.LittleEndian.Uint64(payload[8:]))
			r.target, r.counters = payload[16:], b[at+whole-countsPerCounter*16:at+whole]
		}
		visit(r)
		at += whole
	}
	return at, ""
}

// word returns a pointer to the first eight bytes, which must be aligned to a multiple of eight.
func word(b []byte) *uint64 { return (*uint64)(unsafe.Pointer(unsafe.SliceData(b))) }

// store sets a count: the number first, then its complement. A concurrent reader, or a reader after a kill, sees a difference of at most one step.
func store(b []byte, v uint64) {
	_ = b[15]
	atomic.StoreUint64(word(b), v)
	atomic.StoreUint64(word(b[8:]), ^v)
}

// add increases a count by n.
func add(b []byte, n uint64) {
	if n > 0 {
		store(b, *word(b)+n)
	}
}

// increment adds 1 to the count with the given index.
func increment(b []byte, count int) { add(b[count*16:], 1) }

// raiseTo sets a count that must not decrease: a time, from a clock that may be set back.
func raiseTo(b []byte, count int, v uint64) {
	if b = b[count*16:]; v > *word(b) {
		store(b, v)
	}
}

// countBounds is the range of a stored count. The bounds differ by one if a kill interrupted its update.
type countBounds struct {
	min, max uint64
	damaged  bool
}

// readCount reads a stored count and reports whether it is damaged.
func readCount(b []byte) countBounds {
	v, c := binary.LittleEndian.Uint64(b), ^binary.LittleEndian.Uint64(b[8:])
	if v-c > 1 {
		return countBounds{0, v, true}
	}
	return countBounds{c, v, false}
}

// readTime reads a count that holds a time. Unlike a count it may change by any difference, so its complement is not checked.
func readTime(b []byte) time.Time {
	v := int64(binary.LittleEndian.Uint64(b))
	if v == 0 {
		return time.Time{}
	}
	return time.Unix(0, v)
}
