package journal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"log/slog"
	"slices"
	"strings"
)

// Damage is a part of the journal that could not be read as it was written.
type Damage struct {
	File        string   `json:"file"`
	Offset      int64    `json:"offset"`
	Bytes       int64    `json:"bytes"`
	Description string   `json:"what"`
	IDs         []string `json:"ids,omitempty"` // open messages that it affects: they may have run
}

// Damage returns the damage that replay found.
func (j *Journal) Damage() []Damage { return j.damage }

// replayer reads the segments in order.
type replayer struct {
	journal       *Journal
	byNumber      map[uint64]*MessageState
	seen          map[recordID]bool // records read since the last index
	pendingDamage int               // index in the list of damage, plus one, of the damage whose messages the next index identifies; 0 for none
	nextIndex     uint64            // number that the next index must have
	data          []byte            // buffer for the content of a segment
	// endsUnsealed says that the segment was abandoned after a failure: it ends at its first unreadable record.
	endsUnsealed bool
}

// followsFailure reports whether the header of a segment says that the previous one was abandoned after a failure.
func (r *replayer) followsFailure(s *segment) bool {
	f, err := r.journal.fs.Open(s.name, false)
	if err != nil {
		return false
	}
	defer f.Close()
	data := make([]byte, segmentHeaderBytes)
	if n, _ := f.ReadAt(data, 0); n < len(data) {
		return false
	}
	next := segment{name: s.name, seq: s.seq, nonce: s.nonce}
	damaged, err := next.readHeader(data)
	return err == nil && !damaged && next.flags&flagAfterFailure != 0
}

// replay reads all segments. An incomplete record that a kill has left at the end of the last one is ignored; damage
// anywhere else costs only the records that it hit.
func (j *Journal) replay(readOnly bool) error {
	if err := j.findFiles(readOnly); err != nil {
		return err
	}
	if !readOnly {
		if err := j.fitSegmentSize(); err != nil {
			return err
		}
		if err := j.removeInvalidSpares(); err != nil {
			return err
		}
	}
	r := &replayer{journal: j, byNumber: map[uint64]*MessageState{}, seen: map[recordID]bool{}}
	for i, s := range j.segments {
		if i > 0 && s.seq != j.segments[i-1].seq+1 {
			missing := s.seq - j.segments[i-1].seq - 1
			j.addDamage(Damage{File: j.segments[i-1].name, Description: fmt.Sprintf("%d segments after this one are missing", missing)})
			r.pendingDamage = len(j.damage)
			r.markAllAffected()
		}
		r.endsUnsealed = i+1 < len(j.segments) && r.followsFailure(j.segments[i+1])
		if err := r.replaySegment(s, i == len(j.segments)-1); err != nil {
			return err
		}
	}
	for _, s := range j.live {
		s.journal = j
		j.reservedBytes += cost(s.Size())
		j.largestStateBytes = max(j.largestStateBytes, stateBytes(s.Size()))
	}
	for _, d := range j.damage {
		slog.Error("the journal is damaged", "file", d.File, "offset", d.Offset, "bytes", d.Bytes, "what", d.Description, "hit", d.IDs)
	}
	return nil
}

// findFiles lists the segments in order, the spare files, and the copies of damaged segments.
func (j *Journal) findFiles(readOnly bool) error {
	names, err := j.fs.List()
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	for _, name := range names {
		if seq, nonce, ok := parseSegmentName(name); ok {
			j.segments = append(j.segments, &segment{name: name, seq: seq, nonce: nonce})
		} else if strings.HasSuffix(name, spareSuffix) {
			j.spares = append(j.spares, name)
		} else if strings.HasSuffix(name, damagedSuffix) {
			size, err := j.fileSize(name)
			if err != nil {
				return err
			}
			j.damagedBytes += (size + 511) / 512 * 512
		}
	}
	if j.damagedBytes > j.limit/2 && !readOnly {
		slog.Warn("copies of damaged segments take more than half of the folder's limit: remove them", "bytes", j.damagedBytes)
		j.damagedBytes = j.limit / 2
	}
	slices.SortFunc(j.segments, func(a, b *segment) int {
		if a.seq < b.seq {
			return -1
		}
		return 1
	})
	if slices.Contains(names, legacyName) {
		if err := j.discardPartialUpgrade(readOnly); err != nil {
			return err
		}
		j.flags = flagUpgrading
	}
	return nil
}

// removeInvalidSpares removes spare files of a wrong size, whose allocation was interrupted, and those beyond the limit.
func (j *Journal) removeInvalidSpares() error {
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

// addDamage adds an entry to the list of damage.
func (j *Journal) addDamage(d Damage) { j.damage = append(j.damage, d) }

// replaySegment replays one segment.
func (r *replayer) replaySegment(s *segment, last bool) error {
	j := r.journal
	data, err := r.loadSegment(s)
	if err != nil {
		return err
	}
	damaged, err := s.readHeader(data)
	if err != nil {
		return err
	}
	if damaged {
		j.addDamage(Damage{File: s.name, Bytes: segmentHeaderBytes, Description: "the header is damaged; nothing is lost by that"})
	}
	j.nextNumber = max(j.nextNumber, s.firstNumber)
	clear(r.seen)
	r.nextIndex = 0
	before := len(j.damage)
	end, sealed := r.applyRecords(s, data, last)
	if r.pendingDamage > 0 { // no index identifies the messages that it affects
		r.markAllAffected()
	}
	if last {
		r.resumeAt(end, sealed)
	}
	if len(j.damage) > before {
		j.copyDamagedSegment(s, data)
	}
	return nil
}

// loadSegment opens a segment and reads all of it. The result is valid until the next call.
func (r *replayer) loadSegment(s *segment) (data []byte, err error) {
	f, err := r.journal.fs.Open(s.name, false)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	s.file = f
	if s.size, err = f.Size(); err != nil {
		return nil, fmt.Errorf("journal: %s: %w", s.name, err)
	}
	if int64(cap(r.data)) < s.size {
		r.data = make([]byte, s.size)
	}
	data = r.data[:s.size]
	if n, err := f.ReadAt(data, 0); err != nil && n < len(data) {
		return nil, fmt.Errorf("journal: reading %s: %w", s.name, err)
	}
	return data, nil
}

// applyRecords applies the records of a segment. It returns the offset at which they end, and whether the segment is
// sealed.
func (r *replayer) applyRecords(s *segment, data []byte, last bool) (offset int64, sealed bool) {
	offset = segmentHeaderBytes
	for offset < int64(len(data)) {
		k, payload, _, ok := readRecord(data[offset:], s.nonce, offset, false)
		if !ok {
			next := findRecord(data, s.nonce, offset+1)
			k, payload, ok = r.repairRecord(s, data, offset, next < 0 && (last || r.endsUnsealed))
			if !ok && (r.endsUnsealed || last && r.isLogEnd(s, data, offset, next)) {
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
			r.pendingDamage = len(r.journal.damage)
		}
	}
	return offset, false
}

// repairRecord reads a damaged record by correcting one flipped bit, if that is the damage. At the end of the log only
// small records are corrected.
func (r *replayer) repairRecord(s *segment, data []byte, offset int64, atEnd bool) (k kind, payload []byte, ok bool) {
	if atEnd && !isSmallRecord(data[offset:]) {
		return 0, nil, false
	}
	k, payload, repaired, ok := readRecord(data[offset:], s.nonce, offset, true)
	if ok && repaired {
		bytes := int64(recordHeaderBytes + len(payload))
		r.journal.addDamage(Damage{File: s.name, Offset: offset, Bytes: bytes, Description: "one bit was flipped; the record is read with the bit put right"})
	}
	return k, payload, ok
}

// isLogEnd reports whether the log ends at an unreadable record of the last segment: either no valid record follows, or
// none that was synced. In the second case the records that follow are unsynced writes that survived a failure of the
// machine, and nothing relies on them.
func (r *replayer) isLogEnd(s *segment, data []byte, offset, next int64) bool {
	if next < 0 {
		return true
	}
	if s.flags&flagSyncedOffsets != 0 && syncedBefore(data, s.nonce, next) <= offset {
		r.journal.tornTail = true
		return true
	}
	return false
}

// skipDamage adds damage for the bytes up to the next valid record, or up to the end of the segment if there is none.
func (r *replayer) skipDamage(s *segment, offset, next int64) int64 {
	if next < 0 {
		next = s.size
	}
	r.journal.addDamage(Damage{File: s.name, Offset: offset, Bytes: next - offset, Description: "the records here can't be read"})
	r.pendingDamage = len(r.journal.damage)
	return next
}

// resumeAt prepares the last segment for new records. The segment is sealed if the process was killed after that and
// before the next segment was begun.
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

// isSmallRecord reports whether data begins with the header of a small record. Only small records are repaired at the
// end of the log, where an incomplete record is normal.
func isSmallRecord(data []byte) bool {
	if len(data) < recordHeaderBytes {
		return false
	}
	n, plausible := payloadLength(data)
	return plausible && n <= 1024
}

// findRecord returns the offset of the next record with a valid checksum, or -1.
func findRecord(data []byte, nonce uint32, from int64) int64 {
	for from < int64(len(data)) {
		i := bytes.IndexByte(data[from:], recordMark)
		if i < 0 {
			return -1
		}
		from += int64(i)
		if _, _, ok := verifyRecord(data[from:], nonce, from); ok {
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
		return errTruncated
	}
	r.seen[recordID{n, count}] = true
	j.nextNumber = max(j.nextNumber, n+1)
	s := r.byNumber[n]
	if k == kindState {
		return r.applyState(at, recordID{n, count}, rest)
	}
	if s == nil {
		return nil // its state could not be read, or it is closed
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
	if old := j.live[m.ID]; old != nil { // the record that closed it was lost
		r.remove(old)
	}
	j.live[m.ID], r.byNumber[id.number] = m, m
	at.segment.link(m, int64(at.size+maxIndexEntry))
	return nil
}

// applyChange applies a record that changes an open message.
func (r *replayer) applyChange(s *MessageState, k kind, rest []byte) error {
	switch k {
	case kindSending:
		s.MayHaveRun = s.PossiblyRan()
		s.Attempts, s.InFlight = s.Attempts+1, true
	case kindOutcome:
		if len(rest) != 1 {
			return errTruncated
		}
		s.InFlight, s.MayHaveRun = false, s.MayHaveRun || rest[0] == 1
	case kindCompletion:
		ms, w := binary.Uvarint(rest[min(1, len(rest)):])
		if w <= 0 {
			return errTruncated
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

// remove removes a message from memory.
func (r *replayer) remove(s *MessageState) {
	s.unlink()
	r.journal.memory.release(s)
	delete(r.byNumber, s.number)
	if r.journal.live[s.ID] == s {
		delete(r.journal.live, s.ID)
	}
}

// applyIndex compares the records that were read with those that an index lists, if something could not be read.
func (r *replayer) applyIndex(p []byte) error {
	defer clear(r.seen)
	number, w := binary.Uvarint(p)
	if w <= 0 {
		return errTruncated
	}
	p = p[w:]
	indexLost := number != r.nextIndex // the index before it was lost with all that it lists
	r.nextIndex = number + 1
	if r.pendingDamage == 0 {
		return nil
	}
	if indexLost {
		r.markAllAffected()
		return nil
	}
	return r.compareIndex(p)
}

// compareIndex marks the messages of which an index lists a record that was not read.
func (r *replayer) compareIndex(p []byte) error {
	d := &r.journal.damage[r.pendingDamage-1]
	r.pendingDamage = 0
	count, w := binary.Uvarint(p)
	if w <= 0 || count > uint64(len(p)) {
		return errTruncated
	}
	p = p[w:]
	lost := 0
	for range count {
		n, w := binary.Uvarint(p)
		if w <= 0 || len(p) < w+1 {
			return errTruncated
		}
		id := recordID{n, p[w]}
		p = p[w+1:]
		if r.seen[id] {
			continue
		}
		if s := r.byNumber[n]; s != nil {
			r.markAffected(s, d)
		} else {
			lost++
		}
	}
	if lost > 0 {
		d.Description += fmt.Sprintf("; %d records of messages that are closed, or whose state was here", lost)
	}
	return nil
}

// markAffected marks a message as one that may have run: the lost record may have announced an attempt.
func (r *replayer) markAffected(s *MessageState, d *Damage) {
	if !slices.Contains(d.IDs, s.ID) {
		d.IDs = append(d.IDs, s.ID)
		s.MayHaveRun = true
		s.Attempts++
	}
}

// markAllAffected marks all open messages, where no index identifies those that are affected.
func (r *replayer) markAllAffected() {
	d := &r.journal.damage[r.pendingDamage-1]
	r.pendingDamage = 0
	for _, s := range r.journal.Queued() {
		r.markAffected(s, d)
	}
}

const damagedSuffix = ".damaged"

// copyDamagedSegment copies a damaged segment for inspection, if there is space, before its file is reused.
func (j *Journal) copyDamagedSegment(s *segment, data []byte) {
	if j.allocatedBytes()+s.size+reservedSegments*j.segmentSize > j.limit {
		return
	}
	f, err := j.fs.Open(s.name+damagedSuffix, true)
	if err != nil {
		return
	}
	defer f.Close()
	if _, err := f.WriteAt(data, 0); err == nil {
		j.damagedBytes += s.size
	}
}

// fitSegmentSize halves the segment size until the segments fit into the disk space that is free or taken by the
// journal's own files, so that the same disk gives the same size at the next start.
func (j *Journal) fitSegmentSize() error {
	if j.limit == 0 {
		return nil
	}
	available, err := j.fs.Free()
	if err != nil { // the file system does not report its free space: only the limit applies
		slog.Warn("the free disk space is unknown: the segment size depends on the limit alone", "err", err)
		return nil
	}
	for _, s := range j.segments {
		size, err := j.fileSize(s.name)
		if err != nil {
			return err
		}
		s.size = size
		available += size
	}
	for _, name := range j.spares {
		size, err := j.fileSize(name)
		if err != nil {
			return err
		}
		available += size
	}
	for j.segmentSize > minSegmentSize && j.segmentSize*minSegments > available {
		j.segmentSize = max(j.segmentSize/2/512*512, minSegmentSize)
	}
	return nil
}

// fileSize returns the size of a file.
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

// rewriteAffected appends the current state of the messages that damage has affected. Otherwise valid records after the
// damage would hide at the next start that something is missing.
func (j *Journal) rewriteAffected() error {
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
