package journal

import (
	"encoding/binary"
	"errors"
	"time"
)

// The payload of a state, behind number and count. Its length depends on nothing that changes, so that a
// segment's states always fit where compaction moves them:
//
//	deadline (Unix ms, 8 bytes), destination (4), attempts (1), flags (1), end (1), wait (ms, 4),
//	lengths of id, class and origin (1 each), id, class, origin, body
const (
	flagOpen = 1 << iota
	flagMayHaveRun
	flagLost // its body could not be read when it was to be moved
)

func encodeState(s *Saved, body []byte) []byte {
	p := make([]byte, 0, 24+s.Size())
	p = binary.LittleEndian.AppendUint64(p, uint64(s.Deadline.UnixMilli()))
	p = binary.LittleEndian.AppendUint32(p, uint32(int32(s.Dest)))
	p = append(p, byte(min(s.Attempts, 255)), bit(s.Open)*flagOpen|bit(s.MayHaveRun)*flagMayHaveRun|bit(s.lost())*flagLost, s.End)
	p = binary.LittleEndian.AppendUint32(p, uint32(min(s.Wait.Milliseconds(), 1<<32-1)))
	p = append(p, byte(len(s.ID)), byte(len(s.Class)), byte(len(s.Origin)))
	p = append(append(append(p, s.ID...), s.Class...), s.Origin...)
	return append(p, body...)
}

var errShort = errors.New("a record that is too short")

// decodeState returns a message, and its body, which is a part of p.
func decodeState(p []byte) (*Saved, []byte, error) {
	if len(p) < 22 {
		return nil, nil, errShort
	}
	s := &Saved{Deadline: time.UnixMilli(int64(binary.LittleEndian.Uint64(p))),
		Dest: int(int32(binary.LittleEndian.Uint32(p[8:]))), Attempts: int(p[12]),
		Open: p[13]&flagOpen != 0, MayHaveRun: p[13]&flagMayHaveRun != 0, End: p[14],
		Wait: time.Duration(binary.LittleEndian.Uint32(p[15:])) * time.Millisecond}
	id, class, origin, rest := int(p[19]), int(p[20]), int(p[21]), p[22:]
	if len(rest) < id+class+origin {
		return nil, nil, errShort
	}
	s.ID, s.Class, s.Origin = string(rest[:id]), string(rest[id:id+class]), string(rest[id+class:id+class+origin])
	if p[13]&flagLost != 0 {
		s.Body = lostBody{}
	}
	return s, rest[id+class+origin:], nil
}
