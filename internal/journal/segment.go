package journal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"
)

// A segment is a file of records. Its name, and its header again, tell its place and its nonce:
//
//	0   "SRJL"
//	4   version (2 bytes, little-endian), now 5; 4 has no routes, 3 has no extras, 2 had no synced offsets, the single file of old was 1
//	6   flags (2): 1 while the journal of old is being taken over; 2 if what is synced is written down (sync.go)
//	8   sequence number (8)
//	16  nonce (4)
//	20  the first message number that was not given yet (8)
//	28  CRC-32C of all that
const (
	segmentHead  = 32
	version      = 5
	plainVersion = 3 // where no message has extras
	takingOver   = 1
	grouped      = 2

	segmentEnd = ".seg"
	spareEnd   = ".spare"
)

type segment struct {
	name    string
	seq     uint64
	nonce   uint32
	first   uint64 // message number not given when it was begun
	flags   uint16
	version uint16
	file    File
	size    int64 // of the file

	live  int // messages whose state stands here
	bytes int64
	head  *Saved // those, in the order written
	tail  *Saved
}

func segmentName(seq uint64, nonce uint32) string {
	return fmt.Sprintf("%016x-%08x%s", seq, nonce, segmentEnd)
}

func parseName(name string) (seq uint64, nonce uint32, ok bool) {
	text, isSegment := strings.CutSuffix(name, segmentEnd)
	if !isSegment || len(text) != 25 || text[16] != '-' {
		return 0, 0, false
	}
	seq, err := strconv.ParseUint(text[:16], 16, 64)
	n, err2 := strconv.ParseUint(text[17:], 16, 32)
	return seq, uint32(n), err == nil && err2 == nil
}

func (s *segment) header() []byte {
	h := make([]byte, 0, segmentHead)
	h = append(h, "SRJL"...)
	h = binary.LittleEndian.AppendUint16(h, s.version)
	h = binary.LittleEndian.AppendUint16(h, s.flags)
	h = binary.LittleEndian.AppendUint64(h, s.seq)
	h = binary.LittleEndian.AppendUint32(h, s.nonce)
	h = binary.LittleEndian.AppendUint64(h, s.first)
	return binary.LittleEndian.AppendUint32(h, crc32.Checksum(h, castagnoli))
}

// readHeader takes the header from a segment's text. One that does not check costs nothing but its
// flags and first number: the name has the rest. A newer version is an error.
func (s *segment) readHeader(text []byte) (damaged bool, err error) {
	if len(text) < segmentHead {
		return true, nil
	}
	if crc32.Checksum(text[:28], castagnoli) != binary.LittleEndian.Uint32(text[28:]) {
		return true, nil
	}
	if v := binary.LittleEndian.Uint16(text[4:]); v > version {
		return false, fmt.Errorf("journal: %s has format %d, and this program knows %d at most: use a newer program, or keep the folder and start with an empty one", s.name, v, version)
	}
	s.version = binary.LittleEndian.Uint16(text[4:])
	s.flags = binary.LittleEndian.Uint16(text[6:])
	s.first = binary.LittleEndian.Uint64(text[20:])
	return binary.LittleEndian.Uint64(text[8:]) != s.seq || binary.LittleEndian.Uint32(text[16:]) != s.nonce, nil
}

// add puts a message last among those whose state stands here.
func (s *segment) add(m *Saved, size int64) {
	m.seg, m.size = s, size
	m.before, m.after = s.tail, nil
	if s.tail != nil {
		s.tail.after = m
	} else {
		s.head = m
	}
	s.tail = m
	s.live++
	s.bytes += size
}

func (m *Saved) leave() {
	s := m.seg
	if s == nil {
		return
	}
	if m.before != nil {
		m.before.after = m.after
	} else {
		s.head = m.after
	}
	if m.after != nil {
		m.after.before = m.before
	} else {
		s.tail = m.before
	}
	s.live--
	s.bytes -= m.size
	m.seg, m.before, m.after = nil, nil, nil
}
