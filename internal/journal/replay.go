package journal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"log/slog"
	"slices"
	"strings"
)

// Damage is a place in the journal that could not be read as it was written.
type Damage struct {
	File        string   `json:"file"`
	Offset      int64    `json:"offset"`
	Bytes       int64    `json:"bytes"`
	Description string   `json:"what"`
	IDs         []string `json:"ids,omitempty"` // open messages that it hit: they may have run
}

// Damage lists what replay found.
func (j *Journal) Damage() []Damage { return j.damage }

// replayer reads segments in their order.
type replayer struct {
	journal    *Journal
	byNumber   map[uint64]*MessageState
	seen       map[recordID]bool // records since the last index, if something was passed over there
	openDamage int               // the damage that the next index will tell of, as an index into the list plus one
	nextIndex  uint64            // number of the next index
	text       []byte            // of the segment
	// endsUnsealed tells that the segment was left after a failure: it ends at its first unreadable record.
	endsUnsealed bool
}

// followsFailure reports whether a segment says that the one before it was left after a failure.
func (r *replayer) followsFailure(s *segment) bool {
	f, err := r.journal.fs.Open(s.name, false)
	if err != nil {
		return false
	}
	defer f.Close()
	text := make([]byte, segmentHeaderBytes)
	if n, _ := f.ReadAt(text, 0); n < len(text) {
		return false
	}
	next := segment{name: s.name, seq: s.seq, nonce: s.nonce}
	damaged, err := next.readHeader(text)
	return err == nil && !damaged && next.flags&afterFailure != 0
}

// replay reads all segments. What a kill cut off at the end of the last one is ignored; damage anywhere else
// costs what it hit.
func (j *Journal) replay(readOnly bool) error {
	if err := j.findFiles(readOnly); err != nil {
		return err
	}
	if !readOnly {
		if err := j.fitSegmentSize(); err != nil {
			return err
		}
		if err := j.removeWrongSpares(); err != nil {
			return err
		}
	}
	r := &replayer{journal: j, byNumber: map[uint64]*MessageState{}, seen: map[recordID]bool{}}
	for i, s := range j.segments {
		if i > 0 && s.seq != j.segments[i-1].seq+1 {
			missing := s.seq - j.segments[i-1].seq - 1
			j.addDamage(Damage{File: j.segments[i-1].name, Description: fmt.Sprintf("%d segments behind it are missing", missing)})
			r.openDamage = len(j.damage)
			r.markAllHit()
		}
		r.endsUnsealed = i+1 < len(j.segments) && r.followsFailure(j.segments[i+1])
		if err := r.replaySegment(s, i == len(j.segments)-1); err != nil {
			return err
		}
	}
	for _, s := range j.live {
		s.journal = j
		j.reservedBytes += cost(s.Size())
		j.largestState = max(j.largestState, stateBytes(s.Size()))
	}
	for _, d := range j.damage {
		slog.Error("the journal is damaged", "file", d.File, "offset", d.Offset, "bytes", d.Bytes, "what", d.Description, "hit", d.IDs)
	}
	return nil
}

// findFiles lists the segments in their order, the spares and the copies of damaged segments.
func (j *Journal) findFiles(readOnly bool) error {
	names, err := j.fs.List()
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	for _, name := range names {
		if seq, nonce, ok := parseName(name); ok {
			j.segments = append(j.segments, &segment{name: name, seq: seq, nonce: nonce})
		} else if strings.HasSuffix(name, spareEnd) {
			j.spares = append(j.spares, name)
		} else if strings.HasSuffix(name, damagedEnd) {
			size, err := j.fileSize(name)
			if err != nil {
				return err
			}
			j.damagedBytes += (size + 511) / 512 * 512
		}
	}
	if j.damagedBytes > j.limit/2 && !readOnly {
		slog.Warn("copies of damaged segments take more than half of what the folder may hold: remove them", "bytes", j.damagedBytes)
		j.damagedBytes = j.limit / 2
	}
	slices.SortFunc(j.segments, func(a, b *segment) int {
		if a.seq < b.seq {
			return -1
		}
		return 1
	})
	if slices.Contains(names, legacyName) {
		if err := j.abandonUpgrade(readOnly); err != nil {
			return err
		}
		j.flags = upgrading
	}
	return nil
}

// removeWrongSpares removes spare files of a wrong size: their allocation was cut off.
func (j *Journal) removeWrongSpares() error {
	kept := j.spares[:0]
	for _, name := range j.spares {
		f, err := j.fs.Open(name, false)
		if err != nil {
			return fmt.Errorf("journal: %w", err)
		}
		size, err := f.Size()
		f.Close()
		if err != nil || size != j.segmentSize || j.limit == 0 || int64(len(j.segments)+len(kept)+1)*j.segmentSize > j.limit-j.damagedBytes {
			if err := j.fs.Remove(name); err != nil {
				return fmt.Errorf("journal: %w", err)
			}
			continue
		}
		kept = append(kept, name)
	}
	j.spares = kept
	return nil
}

// addDamage adds to the damage found.
func (j *Journal) addDamage(d Damage) { j.damage = append(j.damage, d) }

// replaySegment replays one segment.
func (r *replayer) replaySegment(s *segment, last bool) error {
	j := r.journal
	text, err := r.loadSegment(s)
	if err != nil {
		return err
	}
	damaged, err := s.readHeader(text)
	if err != nil {
		return err
	}
	if damaged {
		j.addDamage(Damage{File: s.name, Bytes: segmentHeaderBytes, Description: "the header does not check; nothing is lost by that"})
	}
	j.nextNumber = max(j.nextNumber, s.firstNumber)
	clear(r.seen)
	r.nextIndex = 0
	before := len(j.damage)
	end, sealed := r.applyRecords(s, text, last)
	if r.openDamage > 0 { // no index tells what it hit
		r.markAllHit()
	}
	if last {
		r.resumeAt(end, sealed)
	}
	if len(j.damage) > before {
		j.copyDamagedSegment(s, text)
	}
	return nil
}

// loadSegment opens a segment and reads all of it. The text is valid until the next call.
func (r *replayer) loadSegment(s *segment) (text []byte, err error) {
	f, err := r.journal.fs.Open(s.name, false)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	s.file = f
	if s.size, err = f.Size(); err != nil {
		return nil, fmt.Errorf("journal: %s: %w", s.name, err)
	}
	if int64(cap(r.text)) < s.size {
		r.text = make([]byte, s.size)
	}
	text = r.text[:s.size]
	if n, err := f.ReadAt(text, 0); err != nil && n < len(text) {
		return nil, fmt.Errorf("journal: reading %s: %w", s.name, err)
	}
	return text, nil
}

// applyRecords applies the records of a segment, and returns where they end and whether the segment is sealed.
func (r *replayer) applyRecords(s *segment, text []byte, last bool) (offset int64, sealed bool) {
	offset = segmentHeaderBytes
	for offset < int64(len(text)) {
		k, payload, _, ok := readRecord(text[offset:], s.nonce, offset, false)
		if !ok {
			next := findRecord(text, s.nonce, offset+1)
			k, payload, ok = r.repairRecord(s, text, offset, next < 0 && (last || r.endsUnsealed))
			if !ok && (r.endsUnsealed || last && r.isEnd(s, text, offset, next)) {
				return offset, false
			}
			if !ok {
				offset = r.skipDamage(s, offset, next)
				continue
			}
		}
		at := position{s, offset, recordHeaderBytes + len(payload)}
		offset += int64(at.size)
		if k == kindSeal {
			return offset, true
		}
		if err := r.applyRecord(at, k, payload); err != nil {
			r.journal.addDamage(Damage{File: s.name, Offset: offset, Description: err.Error()})
			r.openDamage = len(r.journal.damage)
		}
	}
	return offset, false
}

// repairRecord reads a damaged record by repairing one flipped bit, if that is its damage. At the end of the
// log only a small record is repaired.
func (r *replayer) repairRecord(s *segment, text []byte, offset int64, atEnd bool) (k kind, payload []byte, ok bool) {
	if atEnd && !isSmallRecord(text[offset:]) {
		return 0, nil, false
	}
	k, payload, repaired, ok := readRecord(text[offset:], s.nonce, offset, true)
	if ok && repaired {
		bytes := int64(recordHeaderBytes + len(payload))
		r.journal.addDamage(Damage{File: s.name, Offset: offset, Bytes: bytes, Description: "one bit was flipped, and is put right"})
	}
	return k, payload, ok
}

// isEnd reports whether the log ends at an unreadable record of the last segment: no record follows, or
// none that was synced. The latter is what a failing machine kept of unsynced writes, which nobody relies on.
func (r *replayer) isEnd(s *segment, text []byte, offset, next int64) bool {
	if next < 0 {
		return true
	}
	if s.flags&grouped != 0 && syncedBefore(text, s.nonce, next) <= offset {
		r.journal.tornTail = true
		return true
	}
	return false
}

// skipDamage notes what can't be read up to the next record, or to the end of the segment if there is none.
func (r *replayer) skipDamage(s *segment, offset, next int64) int64 {
	if next < 0 {
		next = s.size
	}
	r.journal.addDamage(Damage{File: s.name, Offset: offset, Bytes: next - offset, Description: "what stood here can't be read"})
	r.openDamage = len(r.journal.damage)
	return next
}

// resumeAt prepares the last segment for new records. It is sealed if a kill came between its end and the
// beginning of the next one.
func (r *replayer) resumeAt(offset int64, sealed bool) {
	j := r.journal
	j.writeOffset, j.syncedOffset, j.sealed = offset, offset, sealed
	j.unindexed, j.unindexedBytes, j.indexCount = j.unindexed[:0], 0, r.nextIndex
	for id := range r.seen {
		j.unindexed = append(j.unindexed, id)
	}
	slices.SortFunc(j.unindexed, func(a, b recordID) int {
		if a.number != b.number {
			return int(int64(a.number) - int64(b.number))
		}
		return int(a.count) - int(b.count)
	})
}

// isSmallRecord reports whether text begins with the header of a small record: only such a one is repaired at
// the end of the log, where half a record is nothing unusual.
func isSmallRecord(text []byte) bool {
	if len(text) < recordHeaderBytes {
		return false
	}
	n, plausible := payloadLength(text)
	return plausible && n <= 1024
}

// findRecord finds the next record with a valid check.
func findRecord(text []byte, nonce uint32, from int64) int64 {
	for from < int64(len(text)) {
		i := bytes.IndexByte(text[from:], recordMark)
		if i < 0 {
			return -1
		}
		from += int64(i)
		if _, _, ok := checkRecord(text[from:], nonce, from); ok {
			return from
		}
		from++
	}
	return -1
}

// applyRecord applies one record.
func (r *replayer) applyRecord(at position, k kind, p []byte) error {
	j := r.journal
	switch k {
	case kindIndex:
		return r.applyIndex(p)
	case kindSynced:
		return nil
	}
	n, count, rest, ok := splitNumber(p)
	if !ok {
		return errShort
	}
	r.seen[recordID{n, count}] = true
	j.nextNumber = max(j.nextNumber, n+1)
	s := r.byNumber[n]
	if k == kindState {
		return r.applyState(at, recordID{n, count}, rest)
	}
	if s == nil {
		return nil // its state can't be read, or it is closed
	}
	s.recordCount = count + 1
	return r.applyChange(s, k, rest)
}

// applyState applies a record of a message's state.
func (r *replayer) applyState(at position, id recordID, payload []byte) error {
	j := r.journal
	m, body, err := decodeState(payload, j.clock)
	if err != nil {
		return err
	}
	m.number, m.recordCount, m.journal, m.position, m.isWritten = id.number, id.count+1, j, at, true
	j.memory.keepOrRelease(m, body, false)
	if s := r.byNumber[id.number]; s != nil {
		r.remove(s)
	}
	if old := j.live[m.ID]; old != nil { // the record of its end was lost
		r.remove(old)
	}
	j.live[m.ID], r.byNumber[id.number] = m, m
	at.segment.link(m, int64(at.size+maxIndexEntry))
	return nil
}

// applyChange applies a record of a change of a message.
func (r *replayer) applyChange(s *MessageState, k kind, rest []byte) error {
	switch k {
	case kindSending:
		s.MayHaveRun = s.PossiblyRan()
		s.Attempts, s.InFlight = s.Attempts+1, true
	case kindOutcome:
		if len(rest) != 1 {
			return errShort
		}
		s.InFlight, s.MayHaveRun = false, s.MayHaveRun || rest[0] == 1
	case kindEnd:
		ms, w := binary.Uvarint(rest[min(1, len(rest)):])
		if w <= 0 {
			return errShort
		}
		s.Completion, s.RetryAfter = rest[0], millis(ms)
	case kindClosed:
		r.remove(s)
	}
	return nil
}

// splitNumber splits the payload of a message's record into the message's number, the record's count and the
// rest.
func splitNumber(p []byte) (n uint64, count byte, rest []byte, ok bool) {
	n, w := binary.Uvarint(p)
	if w <= 0 || len(p) < w+1 {
		return 0, 0, nil, false
	}
	return n, p[w], p[w+1:], true
}

// remove removes a message.
func (r *replayer) remove(s *MessageState) {
	s.unlink()
	r.journal.memory.release(s)
	delete(r.byNumber, s.number)
	if r.journal.live[s.ID] == s {
		delete(r.journal.live, s.ID)
	}
}

// applyIndex compares what was read with what was written, where something could not be read.
func (r *replayer) applyIndex(p []byte) error {
	defer clear(r.seen)
	number, w := binary.Uvarint(p)
	if w <= 0 {
		return errShort
	}
	p = p[w:]
	missed := number != r.nextIndex // one before it was lost with all that it named
	r.nextIndex = number + 1
	if r.openDamage == 0 {
		return nil
	}
	if missed {
		r.markAllHit()
		return nil
	}
	return r.compareIndex(p)
}

// compareIndex marks the messages of which an index names a record that was not read.
func (r *replayer) compareIndex(p []byte) error {
	d := &r.journal.damage[r.openDamage-1]
	r.openDamage = 0
	count, w := binary.Uvarint(p)
	if w <= 0 || count > uint64(len(p)) {
		return errShort
	}
	p = p[w:]
	lost := 0
	for range count {
		n, w := binary.Uvarint(p)
		if w <= 0 || len(p) < w+1 {
			return errShort
		}
		t := recordID{n, p[w]}
		p = p[w+1:]
		if r.seen[t] {
			continue
		}
		if s := r.byNumber[n]; s != nil {
			r.markHit(s, d)
		} else {
			lost++
		}
	}
	if lost > 0 {
		d.Description += fmt.Sprintf("; %d records of messages that are not held, or whose state stood here", lost)
	}
	return nil
}

// markHit counts a message as one that may have run: the lost record may have said that it was sent.
func (r *replayer) markHit(s *MessageState, d *Damage) {
	if !slices.Contains(d.IDs, s.ID) {
		d.IDs = append(d.IDs, s.ID)
		s.MayHaveRun = true
		s.Attempts++
	}
}

// markAllHit does so for all open messages, where no index tells which were hit.
func (r *replayer) markAllHit() {
	d := &r.journal.damage[r.openDamage-1]
	r.openDamage = 0
	for _, s := range r.journal.Queued() {
		r.markHit(s, d)
	}
}

const damagedEnd = ".damaged"

// copyDamagedSegment copies a damaged segment, if there is room, before its file is used again.
func (j *Journal) copyDamagedSegment(s *segment, text []byte) {
	if j.allocatedBytes()+s.size+reservedSegments*j.segmentSize > j.limit {
		return
	}
	f, err := j.fs.Open(s.name+damagedEnd, true)
	if err != nil {
		return
	}
	defer f.Close()
	if _, err := f.WriteAt(text, 0); err == nil {
		j.damagedBytes += s.size
	}
}

// fitSegmentSize halves the segment size until the segments fit the free disk space, so that the same disk gives
// the same size at the next start.
func (j *Journal) fitSegmentSize() error {
	if j.limit == 0 {
		return nil
	}
	left, err := j.fs.Free()
	if err != nil { // a file system that doesn't say: the limit has to do
		slog.Warn("the size of segments follows the limit alone", "err", err)
		return nil
	}
	for _, s := range j.segments {
		size, err := j.fileSize(s.name)
		if err != nil {
			return err
		}
		s.size = size
		left += size
	}
	for _, name := range j.spares {
		size, err := j.fileSize(name)
		if err != nil {
			return err
		}
		left += size
	}
	for j.segmentSize > minSegmentSize && j.segmentSize*minSegments > left {
		j.segmentSize = max(j.segmentSize/2/512*512, minSegmentSize)
	}
	return nil
}

// fileSize is the size of a file.
func (j *Journal) fileSize(name string) (int64, error) {
	f, err := j.fs.Open(name, false)
	if err != nil {
		return 0, fmt.Errorf("journal: %w", err)
	}
	defer f.Close()
	size, err := f.Size()
	if err != nil {
		return 0, fmt.Errorf("journal: %s: %w", name, err)
	}
	return size, nil
}

// rewriteDamaged appends the messages that damage has hit again, as they count now: records behind the damage
// must not hide at the next start that something is missing there.
func (j *Journal) rewriteDamaged() error {
	for _, d := range j.damage {
		for _, id := range d.IDs {
			if s := j.live[id]; s != nil && s.MayHaveRun {
				if err := j.appendState(s); err != nil {
					return err
				}
			}
		}
	}
	return j.Flush()
}
