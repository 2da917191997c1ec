package journal

import (
	"encoding/binary"
	"errors"
	"time"

	"scaleroute/internal/message"
	"scaleroute/internal/steadyclock"
)

// The payload of a state record, after number and count. Its length depends on nothing that changes, so that a segment's
// states always fit where compaction copies them:
//
//	deadline (ms on the steady clock, which began as Unix time; 8 bytes), destination (4), attempts (1), flags (1), completion (1), retry-after (ms, 4),
//	lengths of id, class and origin (1 each), id, class, origin, body
const (
	flagOpen = 1 << iota
	flagMayHaveRun
	flagLost   // its body could not be read when compaction copied it
	flagExtras // after the origin come two lists of names and one of fields: a count (1), then for each item its lengths (1; 2 for a value) and texts
	flagRoute  // after those come the length of a route's name (1), the name, and the destination that the client named (4)
)

func encodeState(s *MessageState, body []byte, clock steadyclock.Clock) []byte {
	p := make([]byte, 0, 24+s.Size())
	p = binary.LittleEndian.AppendUint64(p, uint64(clock.Millis(s.Deadline)))
	p = binary.LittleEndian.AppendUint32(p, uint32(int32(s.Dest)))
	p = append(p, byte(min(s.Attempts, 255)), flagByte(s.InFlight)*flagOpen|flagByte(s.MayHaveRun)*flagMayHaveRun|flagByte(s.isBodyLost())*flagLost|flagByte(s.Extras != nil)*flagExtras|flagByte(s.Extras.RouteName() != "")*flagRoute, s.Completion)
	p = binary.LittleEndian.AppendUint32(p, uint32(min(s.RetryAfter.Milliseconds(), 1<<32-1)))
	p = append(p, byte(len(s.ID)), byte(len(s.Class)), byte(len(s.Origin)))
	p = append(append(append(p, s.ID...), s.Class...), s.Origin...)
	if s.Extras != nil {
		for _, list := range [][]string{s.Extras.Only, s.Extras.Prefer} {
			p = append(p, byte(len(list)))
			for _, name := range list {
				p = append(append(p, byte(len(name))), name...)
			}
		}
		p = append(p, byte(len(s.Extras.Header)))
		for _, f := range s.Extras.Header {
			p = append(append(p, byte(len(f.Name))), f.Name...)
			p = append(binary.LittleEndian.AppendUint16(p, uint16(len(f.Value))), f.Value...)
		}
	}
	if route := s.Extras.RouteName(); route != "" {
		p = append(append(p, byte(len(route))), route...)
		p = binary.LittleEndian.AppendUint32(p, uint32(int32(s.Extras.Requested)))
	}
	return append(p, body...)
}

// extrasBytes returns the encoded size of extras.
func extrasBytes(extras *message.Extras) (n int) {
	if extras == nil {
		return 0
	}
	for _, list := range [][]string{extras.Only, extras.Prefer} {
		n++
		for _, name := range list {
			n += 1 + len(name)
		}
	}
	n++
	for _, f := range extras.Header {
		n += 3 + len(f.Name) + len(f.Value)
	}
	if extras.Route != "" {
		n += 5 + len(extras.Route)
	}
	return n
}

// decodeExtras decodes extras and returns the rest of p.
func decodeExtras(p []byte, routed bool) (extras *message.Extras, rest []byte, err error) {
	extras = &message.Extras{}
	truncated := false
	next := func(n int) (data []byte) {
		if truncated = truncated || len(p) < n; !truncated {
			data, p = p[:n], p[n:]
		}
		return data
	}
	length := func(bytes int) (n int) {
		for i, b := range next(bytes) {
			n |= int(b) << (8 * i)
		}
		return n
	}
	for _, list := range []*[]string{&extras.Only, &extras.Prefer} {
		for range length(1) {
			*list = append(*list, string(next(length(1))))
		}
	}
	for range length(1) {
		extras.Header = append(extras.Header, message.Field{Name: string(next(length(1))), Value: string(next(length(2)))})
	}
	if routed {
		extras.Route = string(next(length(1)))
		extras.Requested = int(int32(length(4)))
	}
	if truncated {
		return nil, nil, errTruncated
	}
	return extras, p, nil
}

var errTruncated = errors.New("the record is too short")

// decodeState returns a message and its body, which is a part of p.
func decodeState(p []byte, clock steadyclock.Clock) (*MessageState, []byte, error) {
	if len(p) < 22 {
		return nil, nil, errTruncated
	}
	s := &MessageState{Deadline: clock.Time(int64(binary.LittleEndian.Uint64(p))),
		Dest: int(int32(binary.LittleEndian.Uint32(p[8:]))), Attempts: int(p[12]),
		InFlight: p[13]&flagOpen != 0, MayHaveRun: p[13]&flagMayHaveRun != 0, Completion: p[14],
		RetryAfter: time.Duration(binary.LittleEndian.Uint32(p[15:])) * time.Millisecond}
	id, class, origin, rest := int(p[19]), int(p[20]), int(p[21]), p[22:]
	if len(rest) < id+class+origin {
		return nil, nil, errTruncated
	}
	s.ID, s.Class, s.Origin = string(rest[:id]), string(rest[id:id+class]), string(rest[id+class:id+class+origin])
	if p[13]&flagLost != 0 {
		s.Body = lostBody{}
	}
	rest = rest[id+class+origin:]
	if p[13]&flagExtras != 0 {
		var err error
		if s.Extras, rest, err = decodeExtras(rest, p[13]&flagRoute != 0); err != nil {
			return nil, nil, err
		}
	}
	return s, rest, nil
}
