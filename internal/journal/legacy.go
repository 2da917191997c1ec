package journal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"log/slog"
	"slices"
	"time"

	"scaleroute/internal/message"
	"scaleroute/internal/steadyclock"
)

// The legacy journal was one file. It is read and upgraded at the first start; nothing writes it any
// more. Its records had a header of 8 bytes - length of the payload and its CRC-32C, both
// little-endian - and a payload: a byte for the type, the length of the id in one byte, the id, and then by type:
//
//	A accepted   deadline (Unix ms, 8 bytes), destination (4), length of the class (1), class, body
//	F front      its name, where there is more than one
//	S about to be sent
//	O outcome    1 byte: 1 if the attempt may have run, 0 if it never did
//	E end        1 byte: d (dead) or b (bounced), and the wait advised (ms, 4); a notice is owed
//	C closed     nothing is owed any more
//	M attempts   3 bytes: made, 1 if the last has no outcome, 1 if one may have run (by compaction)
const (
	legacyName      = "journal"
	legacyHeader    = 8
	maxLegacyRecord = MaxBody + 1024

	// MaxBody is the longest body of a message, in bytes.
	MaxBody = 64 << 10
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func millis(ms uint64) time.Duration { return time.Duration(min(ms, 1<<40)) * time.Millisecond }

// abandonUpgrade removes what an interrupted upgrade has written: while the legacy file is there it has
// everything. Segments that come from anywhere else are an error.
func (j *Journal) abandonUpgrade(readOnly bool) error {
	for _, s := range j.segments {
		f, err := j.fs.Open(s.name, false)
		if err != nil {
			return fmt.Errorf("journal: %w", err)
		}
		text := make([]byte, segmentHeaderBytes)
		n, _ := f.ReadAt(text, 0)
		f.Close()
		if _, err := s.readHeader(text[:n]); err != nil {
			return err
		}
		if s.flags&upgrading == 0 {
			return fmt.Errorf("journal: the folder has a journal of the old form beside segments: an older program has run on it since. Move %q away, or the files *%s and *%s, whichever is not wanted", legacyName, segmentEnd, spareEnd)
		}
	}
	if !readOnly {
		for _, s := range j.segments {
			if err := j.fs.Remove(s.name); err != nil {
				return fmt.Errorf("journal: %w", err)
			}
		}
	}
	j.segments = nil
	return nil
}

// upgradeLegacy writes the messages of the legacy file into segments that are marked as such, and removes it.
func (j *Journal) upgradeLegacy() error {
	if j.flags&upgrading == 0 {
		return nil
	}
	text, err := j.readLegacyFile()
	if err != nil {
		return err
	}
	for _, s := range readLegacy(text, j.clock) {
		j.reservedBytes += cost(s.Size())
		j.largestState = max(j.largestState, stateBytes(s.Size()))
		if err := j.RecordAccepted(s); err != nil {
			return err
		}
	}
	if err := j.Flush(); err != nil {
		return err
	}
	if err := j.fs.Remove(legacyName); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	j.flags = 0
	for _, name := range j.spares { // they have no room set aside
		if err := j.fs.Remove(name); err != nil {
			return fmt.Errorf("journal: %w", err)
		}
	}
	j.spares = nil
	return nil
}

// finishUpgrade ends an upgrade, also one that a kill interrupted after the legacy file was removed: from then
// on the segments are the journal, and the last one is allocated in full.
func (j *Journal) finishUpgrade() error {
	for _, s := range j.segments {
		if s.flags&upgrading == 0 {
			continue
		}
		s.flags &^= upgrading
		if _, err := s.file.WriteAt(s.header(), 0); err != nil {
			return fmt.Errorf("journal: %w", err)
		}
	}
	if last := j.activeSegment(); last.size < j.segmentSize {
		if err := last.file.Allocate(j.segmentSize); err != nil {
			slog.Warn("no room for the rest of a segment", "file", last.name, "err", err)
			return nil
		}
		last.size = j.segmentSize
	}
	return nil
}

// showLegacy loads the messages of a folder that is not upgraded yet, for reading.
func (j *Journal) showLegacy() error {
	if j.flags&upgrading == 0 {
		return nil
	}
	text, err := j.readLegacyFile()
	for _, s := range readLegacy(text, j.clock) {
		j.live[s.ID] = s
	}
	return err
}

// readLegacyFile reads the legacy file.
func (j *Journal) readLegacyFile() ([]byte, error) {
	f, err := j.fs.Open(legacyName, false)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	defer f.Close()
	size, err := f.Size()
	text := make([]byte, max(0, size))
	if err == nil && size > 0 {
		_, err = f.ReadAt(text, 0)
	}
	if err != nil {
		return nil, fmt.Errorf("journal: reading %s: %w", legacyName, err)
	}
	return text, nil
}

// readLegacy replays the legacy file, up to the first invalid record: a kill cut that off.
func readLegacy(text []byte, clock steadyclock.Clock) []*MessageState {
	r := legacyReader{clock: clock, live: map[string]*MessageState{}}
	for {
		payload, ok := nextLegacyRecord(text)
		if !ok || !r.applyRecord(payload) {
			break
		}
		text = text[legacyHeader+len(payload):]
	}
	var open []*MessageState
	for _, s := range r.live {
		open = append(open, s)
	}
	slices.SortFunc(open, func(a, b *MessageState) int { return int(int64(a.number) - int64(b.number)) })
	return open
}

type legacyReader struct {
	live       map[string]*MessageState
	nextNumber uint64
	clock      steadyclock.Clock
}

// nextLegacyRecord returns the payload at the start of text, if it is complete.
func nextLegacyRecord(text []byte) ([]byte, bool) {
	if len(text) < legacyHeader {
		return nil, false
	}
	n := binary.LittleEndian.Uint32(text)
	if n < 2 || n > maxLegacyRecord || int(n) > len(text)-legacyHeader {
		return nil, false
	}
	payload := text[legacyHeader : legacyHeader+int(n)]
	return payload, crc32.Checksum(payload, castagnoli) == binary.LittleEndian.Uint32(text[4:])
}

// applyRecord replays one record, and reports whether it is valid.
func (r *legacyReader) applyRecord(p []byte) bool {
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
		r.nextNumber++
		r.live[id] = &MessageState{number: r.nextNumber, ID: id, Deadline: r.clock.Time(int64(binary.LittleEndian.Uint64(rest))),
			Dest:  int(int32(binary.LittleEndian.Uint32(rest[8:]))),
			Class: string(rest[13:c]), Body: message.Bytes(slices.Clone(rest[c:]))}
		return true
	}
	s := r.live[id]
	if s == nil {
		return true // closed before
	}
	switch {
	case kind == 'S':
		s.MayHaveRun = s.PossiblyRan() // an earlier one without an outcome may have run
		s.Attempts, s.InFlight = s.Attempts+1, true
	case kind == 'O' && len(rest) == 1:
		s.InFlight, s.MayHaveRun = false, s.MayHaveRun || rest[0] == 1
	case kind == 'E' && len(rest) == 5:
		s.Completion, s.RetryAfter = rest[0], time.Duration(binary.LittleEndian.Uint32(rest[1:]))*time.Millisecond
	case kind == 'M' && len(rest) == 3:
		s.Attempts, s.InFlight, s.MayHaveRun = int(rest[0]), rest[1] == 1, rest[2] == 1
	case kind == 'F':
		s.Origin = string(rest)
	case kind == 'C':
		delete(r.live, id)
	default:
		return false
	}
	return true
}
