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

// A segment begins with its head, and has records behind it up to the first whose length is 0:
//
//	0    "SRLG"
//	4    format (2 bytes, little-endian), now 1
//	6    segments that were removed unread before (2)
//	8    sequence number (8)
//	16   when it was begun, Unix time in ns (8)
//	24   digest of the forwarder's name (8)
//	32   changes, calls and the newest of them that were overwritten before (3 times 8)
//	56   calls and changes that there was no room for before (2 times 8)
//	72   CRC-32C of all that (4)
//	80   calls that there was no room for while it was the newest: a count
//	96   the same of changes
//
//	record: length of its payload (3 bytes), kind (1), CRC-32C of kind and payload (4), payload, zeros up to a multiple of 8
//	payload of a change: JSON
//	payload of a slot: number of the change (8), time of the first call in ns (8), the target; behind the zeros, unchecked, five counts
//
// A count is a number and, 8 bytes on, its complement, written in this order: a kill between the two leaves one step between them.
// Whatever else stands there is damage. The length is written last: without it the record is not there.
const (
	format = 1
	headed = 128

	offMissedCalls   = 80
	offMissedChanges = 96

	recordHead = 8
	kindChange = 1
	kindSlot   = 2

	nameBegin = "ledger-"
	nameEnd   = ".led"
)

// The counts of a slot.
const (
	begun    = iota // calls that were about to be made
	last            // when the last of them was, Unix time in ns
	over            // calls that have ended
	unsent          // those that were never written whole
	answered        // those that the target answered
	counts
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type segment struct {
	name    string
	seq     uint64
	data    []byte // mapped
	end     int64  // of the records
	entries int
	slots   []*CallCounter
}

type dropped struct {
	changes, calls uint64
	until          int64
	unread         uint16 // segments
}

func (d *dropped) add(o dropped) {
	d.changes, d.calls, d.until = d.changes+o.changes, d.calls+o.calls, max(d.until, o.until)
	d.unread += min(o.unread, math.MaxUint16-d.unread)
}

// head is what a segment says of itself and of those before it.
type head struct {
	name    version.Digest
	created int64
	dropped dropped
	missed  missed
}

func segmentName(seq uint64) string { return fmt.Sprintf("%s%016x%s", nameBegin, seq, nameEnd) }

func parseName(name string) (seq uint64, ok bool) {
	text, ok1 := strings.CutPrefix(name, nameBegin)
	text, ok2 := strings.CutSuffix(text, nameEnd)
	seq, err := strconv.ParseUint(text, 16, 64)
	return seq, ok1 && ok2 && len(text) == 16 && err == nil
}

// descriptor is a file that can be mapped.
type descriptor interface{ Fd() uintptr }

// mapFile maps a segment that is there.
func mapFile(files FS, name string, seq uint64) (*segment, error) {
	f, err := files.Open(name, false)
	if err != nil {
		return nil, err
	}
	defer f.Close() // what is mapped stays
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	if size < headed || size > MaxBytes {
		return nil, fmt.Errorf("%s has %d bytes", name, size)
	}
	d, ok := f.(descriptor)
	if !ok {
		return nil, fmt.Errorf("%s can't be mapped", name)
	}
	// Its blocks must be there, or a write to it ends the process.
	if err := f.Allocate(size); err != nil {
		return nil, err
	}
	data, err := syscall.Mmap(int(d.Fd()), 0, int(size), syscall.PROT_READ|syscall.PROT_WRITE, syscall.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("mapping %s: %w", name, err)
	}
	return &segment{name: name, seq: seq, data: data}, nil
}

// create makes a segment. Without room for all of it there is none.
func create(files FS, seq uint64, size int64, h head) (*segment, error) {
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
	s.begin(h)
	return s, nil
}

// begin makes an empty segment of it.
func (s *segment) begin(h head) {
	le := binary.LittleEndian
	b := make([]byte, headed)
	copy(b, "SRLG")
	le.PutUint16(b[4:], format)
	le.PutUint16(b[6:], h.dropped.unread)
	le.PutUint64(b[8:], s.seq)
	le.PutUint64(b[16:], uint64(h.created))
	le.PutUint64(b[24:], uint64(h.name))
	le.PutUint64(b[32:], h.dropped.changes)
	le.PutUint64(b[40:], h.dropped.calls)
	le.PutUint64(b[48:], uint64(h.dropped.until))
	le.PutUint64(b[56:], h.missed.calls)
	le.PutUint64(b[64:], h.missed.changes)
	store(b[offMissedCalls:], 0)
	store(b[offMissedChanges:], 0)
	le.PutUint32(b[72:], crc32.Checksum(b[:72], castagnoli))
	// The first word goes first and comes last, whole: a kill in between leaves nought there.
	first := word(s.data)
	atomic.StoreUint64(first, 0)
	clear(s.data[8:])
	copy(s.data[8:], b[8:])
	atomic.StoreUint64(first, *word(b))
	s.end = headed
}

// head reads what a segment says of itself; not ok: it can't be read.
func (s *segment) head() (h head, ok bool) {
	return readHead(s.data, s.seq)
}

func readHead(b []byte, seq uint64) (h head, ok bool) {
	le := binary.LittleEndian
	if len(b) < headed || string(b[:4]) != "SRLG" || le.Uint16(b[4:]) != format || le.Uint64(b[8:]) != seq ||
		le.Uint32(b[72:]) != crc32.Checksum(b[:72], castagnoli) {
		return h, false
	}
	return head{created: int64(le.Uint64(b[16:])), name: version.Digest(le.Uint64(b[24:])),
		dropped: dropped{le.Uint64(b[32:]), le.Uint64(b[40:]), int64(le.Uint64(b[48:])), le.Uint16(b[6:])},
		missed:  missed{le.Uint64(b[56:]), le.Uint64(b[64:])}}, true
}

// halfBegun tells whether a segment was being written anew when its process was killed: its name is new, its head is the old one or is not there yet. What it
// had is as good as overwritten, and nobody had counted it.
func halfBegun(b []byte, seq uint64) bool {
	if len(b) < headed {
		return len(b) == 0 // its name is there, and its blocks are not
	}
	if was := binary.LittleEndian.Uint64(b[8:]); was < seq {
		if _, ok := readHead(b, was); ok {
			return true
		}
	}
	return binary.LittleEndian.Uint64(b) == 0
}

func padded(n int) int { return (n + 7) &^ 7 }

// append writes a record if there is room for it; that of a slot gets its counts.
func (s *segment) append(kind byte, payload []byte, slot *CallCounter) bool {
	whole := int64(recordHead + padded(len(payload)))
	if slot != nil {
		whole += counts * 16
	}
	if s.end+whole+recordHead > int64(len(s.data)) || len(payload) >= 1<<24 {
		return false
	}
	b := s.data[s.end : s.end+whole]
	copy(b[recordHead:], payload)
	if slot != nil {
		slot.at = b[whole-counts*16:]
		for i := range counts {
			store(slot.at[i*16:], 0)
		}
		s.slots = append(s.slots, slot)
	}
	sum := crc32.Update(crc32.Checksum([]byte{kind}, castagnoli), castagnoli, payload)
	// Length and kind with the sum are one store: a record is there whole or not at all.
	atomic.StoreUint64(word(b), uint64(len(payload))|uint64(kind)<<24|uint64(sum)<<32)
	s.end += whole
	return true
}

func slotHead(seq uint64, first time.Time, target string) []byte {
	b := make([]byte, 0, 16+len(target))
	b = binary.LittleEndian.AppendUint64(b, seq)
	b = binary.LittleEndian.AppendUint64(b, uint64(first.UnixNano()))
	return append(b, target...)
}

// record is one as it is read.
type record struct {
	kind     byte
	payload  []byte
	seq      uint64 // of a slot
	first    int64
	target   []byte
	counters []byte
}

// scan shows the records, and returns where they end. What can't be read ends them, and is described.
func (s *segment) scan(show func(record)) (end int64, damage string) { return scan(s.data, show) }

func scan(b []byte, show func(record)) (end int64, damage string) {
	at := int64(headed)
	for at+recordHead <= int64(len(b)) {
		w := binary.LittleEndian.Uint64(b[at:])
		if w == 0 {
			return at, ""
		}
		n, kind := int(w&0xffffff), byte(w>>24)
		whole := int64(recordHead + padded(n))
		if kind == kindSlot {
			whole += counts * 16
		}
		if at+whole > int64(len(b)) {
			return at, fmt.Sprintf("cut at byte %d", at)
		}
		payload := b[at+recordHead:][:n]
		if crc32.Update(crc32.Checksum([]byte{kind}, castagnoli), castagnoli, payload) != uint32(w>>32) {
			return at, fmt.Sprintf("what stands at byte %d does not check", at)
		}
		r := record{kind: kind, payload: payload}
		if kind == kindSlot {
			if n < 16 {
				return at, fmt.Sprintf("a slot of %d bytes at byte %d", n, at)
			}
			r.seq, r.first = binary.LittleEndian.Uint64(payload), int64(binary.LittleEndian.Uint64(payload[8:]))
			r.target, r.counters = payload[16:], b[at+whole-counts*16:at+whole]
		}
		show(r)
		at += whole
	}
	return at, ""
}

// word is eight bytes of a mapped segment, at a multiple of eight.
func word(b []byte) *uint64 { return (*uint64)(unsafe.Pointer(unsafe.SliceData(b))) }

// store sets a count: the number first, then its complement. A reader, or what is there after a kill, sees one step between them at most.
func store(b []byte, v uint64) {
	_ = b[15]
	atomic.StoreUint64(word(b), v)
	atomic.StoreUint64(word(b[8:]), ^v)
}

func add(b []byte, n uint64) {
	if n > 0 {
		store(b, *word(b)+n)
	}
}

func bump(b []byte, count int) { add(b[count*16:], 1) }

// raise sets a count that must not fall: a time, by a clock that may be set back.
func raise(b []byte, count int, v uint64) {
	if b = b[count*16:]; v > *word(b) {
		store(b, v)
	}
}

// bounds is what a count says: exactly, or within the step that a kill has cut.
type bounds struct {
	least, most uint64
	damaged     bool
}

// read reads a count.
func read(b []byte) bounds {
	v, c := binary.LittleEndian.Uint64(b), ^binary.LittleEndian.Uint64(b[8:])
	if v-c > 1 {
		return bounds{0, v, true}
	}
	return bounds{c, v, false}
}

// readTime reads a count that is a time, which a step may take anywhere.
func readTime(b []byte) time.Time {
	v := int64(binary.LittleEndian.Uint64(b))
	if v == 0 {
		return time.Time{}
	}
	return time.Unix(0, v)
}
