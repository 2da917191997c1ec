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
//	4   version (2 bytes, little-endian), now 5; 4 has no routes, 3 has no extras, 2 had no synced offsets, the legacy file was 1
//	6   flags (2): 1 during the upgrade of a legacy journal; 2 if synced offsets are recorded (sync.go);
//	    4 if the segment before it was left after a failure (failure.go)
//	8   sequence number (8)
//	16  nonce (4)
//	20  the first message number that was not given yet (8)
//	28  CRC-32C of all that
const (
	segmentHeaderBytes = 32
	version            = 5
	plainVersion       = 3 // where no message has extras
	upgrading          = 1
	grouped            = 2
	afterFailure       = 4 // the segment before it ends at its first unreadable record, without a seal

	segmentEnd = ".seg"
	spareEnd   = ".spare"
)

type segment struct {
	name        string
	seq         uint64
	nonce       uint32
	firstNumber uint64 // message number not given when it was begun
	flags       uint16
	version     uint16
	file        File
	size        int64 // of the file
	detached    bool  // its file is in a folder that was replaced

	liveCount int // messages whose state is here
	liveBytes int64
	head      *MessageState // those, in the order written
	tail      *MessageState
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
	h := make([]byte, 0, segmentHeaderBytes)
	h = append(h, "SRJL"...)
	h = binary.LittleEndian.AppendUint16(h, s.version)
	h = binary.LittleEndian.AppendUint16(h, s.flags)
	h = binary.LittleEndian.AppendUint64(h, s.seq)
	h = binary.LittleEndian.AppendUint32(h, s.nonce)
	h = binary.LittleEndian.AppendUint64(h, s.firstNumber)
	return binary.LittleEndian.AppendUint32(h, crc32.Checksum(h, castagnoli))
}

// readHeader parses the header of a segment. One with an invalid check loses no more than its flags and first
// number: the name has the rest. A newer version is an error.
func (s *segment) readHeader(text []byte) (damaged bool, err error) {
	if len(text) < segmentHeaderBytes {
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
	s.firstNumber = binary.LittleEndian.Uint64(text[20:])
	return binary.LittleEndian.Uint64(text[8:]) != s.seq || binary.LittleEndian.Uint32(text[16:]) != s.nonce, nil
}

// link appends a message to those whose state is in this segment.
func (s *segment) link(m *MessageState, size int64) {
	m.segment, m.stateSize = s, size
	m.previous, m.next = s.tail, nil
	if s.tail != nil {
		s.tail.next = m
	} else {
		s.head = m
	}
	s.tail = m
	s.liveCount++
	s.liveBytes += size
}

// unlink removes a message from those of its segment.
func (m *MessageState) unlink() {
	s := m.segment
	if s == nil {
		return
	}
	if m.previous != nil {
		m.previous.next = m.next
	} else {
		s.head = m.next
	}
	if m.next != nil {
		m.next.previous = m.previous
	} else {
		s.tail = m.previous
	}
	s.liveCount--
	s.liveBytes -= m.stateSize
	m.segment, m.previous, m.next = nil, nil, nil
}
