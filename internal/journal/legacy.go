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

// The legacy journal was a single file. It is read and upgraded at the first start; nothing writes it any more. A record
// had a header of 8 bytes - the length of the payload and its CRC-32C, both little-endian - and a payload: a byte for
// the type, the length of the ID in one byte, the ID, and then by type:
//
//	A accepted   deadline (Unix ms, 8 bytes), destination (4), length of the class (1), class, body
//	F front      the name of the front that accepted it, where there is more than one
//	S sending    an attempt is about to be made
//	O outcome    1 byte: 1 if the attempt may have run, 0 if it never did
//	E end        1 byte: d (dead) or b (bounced), and the advised retry-after (ms, 4); a completion notice is pending
//	C closed     no work is left for the message
//	M attempts   3 bytes: number made, 1 if the last has no outcome, 1 if one may have run (written by compaction)
const (
	legacyName        = "journal"
	legacyHeaderBytes = 8
	maxLegacyRecord   = MaxBody + 1024

	// MaxBody is the longest body of a message, in bytes.
	MaxBody = 64 << 10
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func millis(ms uint64) time.Duration { return time.Duration(min(ms, 1<<40)) * time.Millisecond }

// discardPartialUpgrade removes the segments that an interrupted upgrade has written: as long as the legacy file exists,
// it is complete. Segments of any other origin are an error.
func (j *Journal) discardPartialUpgrade(readOnly bool) error {
	for _, s := range j.segments {
		f, err := j.fs.Open(s.name, false)
		if err != nil {
			return fmt.Errorf("journal: %w", err)
		}
		data := make([]byte, segmentHeaderBytes)
		n, _ := f.ReadAt(data, 0)
		f.Close()
		if _, err := s.readHeader(data[:n]); err != nil {
			return err
		}
		if s.flags&flagUpgrading == 0 {
			return fmt.Errorf("journal: the folder has a legacy journal beside segments: an older program has used it since the upgrade. Move %q away, or the files *%s and *%s, whichever is not needed", legacyName, segmentSuffix, spareSuffix)
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

// upgradeLegacy writes the messages of the legacy file into segments that are marked as part of an upgrade, and then
// removes the file.
func (j *Journal) upgradeLegacy() error {
	if j.flags&flagUpgrading == 0 {
		return nil
	}
	data, err := j.readLegacyFile()
	if err != nil {
		return err
	}
	for _, s := range readLegacy(data, j.clock) {
		j.reservedBytes += cost(s.Size())
		j.largestStateBytes = max(j.largestStateBytes, stateBytes(s.Size()))
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
	for _, name := range j.spares { // no space is allocated for them
		if err := j.fs.Remove(name); err != nil {
			return fmt.Errorf("journal: %w", err)
		}
	}
	j.spares = nil
	return nil
}

// finishUpgrade completes an upgrade, including one that was killed after the legacy file was removed: it removes the
// mark of the upgrade from the segments, and allocates the last one in full.
func (j *Journal) finishUpgrade() error {
	for _, s := range j.segments {
		if s.flags&flagUpgrading == 0 {
			continue
		}
		s.flags &^= flagUpgrading
		if _, err := s.file.WriteAt(s.header(), 0); err != nil {
			return fmt.Errorf("journal: %w", err)
		}
	}
	if last := j.activeSegment(); last.size < j.segmentSize {
		if err := last.file.Allocate(j.segmentSize); err != nil {
			slog.Warn("no disk space to allocate the rest of a segment", "file", last.name, "err", err)
			return nil
		}
		last.size = j.segmentSize
	}
	return nil
}

// loadLegacy loads the messages of a folder that is not upgraded yet, for a journal that is only read.
func (j *Journal) loadLegacy() error {
	if j.flags&flagUpgrading == 0 {
		return nil
	}
	data, err := j.readLegacyFile()
	for _, s := range readLegacy(data, j.clock) {
		j.live[s.ID] = s
	}
	return err
}

// readLegacyFile returns the content of the legacy file.
func (j *Journal) readLegacyFile() ([]byte, error) {
	f, err := j.fs.Open(legacyName, false)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	defer f.Close()
	size, err := f.Size()
	data := make([]byte, max(0, size))
	if err == nil && size > 0 {
		_, err = f.ReadAt(data, 0)
	}
	if err != nil {
		return nil, fmt.Errorf("journal: reading %s: %w", legacyName, err)
	}
	return data, nil
}

// readLegacy replays the content of the legacy file up to the first invalid record, which a kill has cut off.
func readLegacy(data []byte, clock steadyclock.Clock) []*MessageState {
	r := legacyReader{clock: clock, live: map[string]*MessageState{}}
	for {
		payload, ok := nextLegacyRecord(data)
		if !ok || !r.applyRecord(payload) {
			break
		}
		data = data[legacyHeaderBytes+len(payload):]
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

// nextLegacyRecord returns the payload of the record at the start of data, if that is complete and valid.
func nextLegacyRecord(data []byte) ([]byte, bool) {
	if len(data) < legacyHeaderBytes {
		return nil, false
	}
	n := binary.LittleEndian.Uint32(data)
	if n < 2 || n > maxLegacyRecord || int(n) > len(data)-legacyHeaderBytes {
		return nil, false
	}
	payload := data[legacyHeaderBytes : legacyHeaderBytes+int(n)]
	return payload, crc32.Checksum(payload, castagnoli) == binary.LittleEndian.Uint32(data[4:])
}

// applyRecord applies one record, and reports whether it is valid.
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
		return true // already closed
	}
	switch {
	case kind == 'S':
		s.MayHaveRun = s.PossiblyRan() // an earlier attempt without an outcome may have run
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
