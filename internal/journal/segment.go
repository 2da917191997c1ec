package journal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"
)

// A segment is a file of records. Its sequence number and its nonce are in its name and again in its header:
//
//	0   "SRJL"
//	4   version (2 bytes, little-endian), now 5; 4 has no routes, 3 has no extras, 2 has no synced offsets, the legacy file was 1
//	6   flags (2): 1 during the upgrade of a legacy journal; 2 if synced offsets are recorded (sync.go);
//	    4 if the segment before it was abandoned after a failure (failure.go)
//	8   sequence number (8)
//	16  nonce (4)
//	20  the lowest message number that was not assigned yet (8)
//	28  CRC-32C of all that
const (
	segmentHeaderBytes  = 32
	formatVersion       = 5
	formatWithoutExtras = 3 // used where no message has extras
	flagUpgrading       = 1
	flagSyncedOffsets   = 2
	flagAfterFailure    = 4 // the segment before it ends at its first unreadable record, without a seal

	segmentSuffix = ".seg"
	spareSuffix   = ".spare"
)

type segment struct {
	name        string
	seq         uint64
	nonce       uint32
	firstNumber uint64 // lowest message number that was not assigned when it was begun
	flags       uint16
	version     uint16
	file        File
	size        int64 // of the file
	detached    bool  // its file is in a folder that was replaced

	liveCount int // messages whose state is here
	liveBytes int64
	head      *MessageState // list of those messages, in the order written
	tail      *MessageState
}

func segmentName(seq uint64, nonce uint32) string {
	return fmt.Sprintf("%016x-%08x%s", seq, nonce, segmentSuffix)
}

func parseSegmentName(name string) (seq uint64, nonce uint32, ok bool) {
	data, isSegment := strings.CutSuffix(name, segmentSuffix)
	if !isSegment || len(data) != 25 || data[16] != '-' {
		return 0, 0, false
	}
	seq, err := strconv.ParseUint(data[:16], 16, 64)
	n, err2 := strconv.ParseUint(data[17:], 16, 32)
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

// readHeader parses the header of a segment. If its checksum does not match, only the flags and the first number are
// lost, since the file's name has the rest. A newer version is an error.
func (s *segment) readHeader(data []byte) (damaged bool, err error) {
	if len(data) < segmentHeaderBytes {
		return true, nil
	}
	if crc32.Checksum(data[:28], castagnoli) != binary.LittleEndian.Uint32(data[28:]) {
		return true, nil
	}
	if v := binary.LittleEndian.Uint16(data[4:]); v > formatVersion {
		return false, fmt.Errorf("journal: %s has format %d, and this program reads formats up to %d: use a newer program, or keep the folder and start with an empty one", s.name, v, formatVersion)
	}
	s.version = binary.LittleEndian.Uint16(data[4:])
	s.flags = binary.LittleEndian.Uint16(data[6:])
	s.firstNumber = binary.LittleEndian.Uint64(data[20:])
	return binary.LittleEndian.Uint64(data[8:]) != s.seq || binary.LittleEndian.Uint32(data[16:]) != s.nonce, nil
}

// link appends a message to the list of those whose state is in this segment.
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

// unlink removes a message from the list of its segment.
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
