package journal

import (
	"encoding/binary"
	"fmt"
	"time"
)

// RecordAccepted records a message, in the room reserved for it.
func (j *Journal) RecordAccepted(s *MessageState) error {
	if old := j.live[s.ID]; old != nil {
		j.RecordClosed(old.ID)
	}
	s.number, s.recordCount, s.journal = j.nextNumber, 0, j
	j.nextNumber++
	j.live[s.ID] = s
	return j.appendState(s)
}

// appendState appends a message as it is now.
func (j *Journal) appendState(s *MessageState) error {
	body, err := s.Body.Load()
	if err != nil {
		j.markBodyLost(s, err)
		body = nil
	}
	at, size := j.appendMessageRecord(kindState, s, encodeState(s, body, j.clock))
	if j.err == nil {
		s.unlink()
		j.activeSegment().link(s, int64(size+maxIndexEntry))
		j.pendingPositions = append(j.pendingPositions, pendingPosition{saved: s, position: position{j.activeSegment(), at, size}})
	}
	return j.err
}

// RecordSending records that an attempt is about to be made.
func (j *Journal) RecordSending(id string) {
	if s := j.live[id]; s != nil {
		s.MayHaveRun = s.PossiblyRan()
		s.Attempts, s.InFlight = s.Attempts+1, true
		j.appendMessageRecord(kindSending, s, nil)
	}
}

// RecordOutcome records how the attempt in flight ended.
func (j *Journal) RecordOutcome(id string, mayHaveRun bool) {
	if s := j.live[id]; s != nil {
		s.InFlight, s.MayHaveRun = false, s.MayHaveRun || mayHaveRun
		j.appendMessageRecord(kindOutcome, s, []byte{flagByte(mayHaveRun)})
	}
}

// RecordCompletion records the final answer; its completion notice is owed from then on.
func (j *Journal) RecordCompletion(id string, end byte, wait time.Duration) {
	if s := j.live[id]; s != nil {
		s.Completion, s.RetryAfter = end, wait
		j.appendMessageRecord(kindEnd, s, binary.AppendUvarint([]byte{end}, uint64(wait.Milliseconds())))
	}
}

// RecordClosed removes a message for which nothing is owed any more.
func (j *Journal) RecordClosed(id string) {
	if s := j.live[id]; s != nil {
		j.appendMessageRecord(kindClosed, s, nil)
		j.removeMessage(s)
	}
}

// removeMessage removes a message from memory and returns its room.
func (j *Journal) removeMessage(s *MessageState) {
	s.unlink()
	j.memory.release(s)
	delete(j.live, s.ID)
	j.Release(s.Size())
}

// appendMessageRecord buffers a record of a message, and returns its offset and size.
func (j *Journal) appendMessageRecord(k kind, s *MessageState, rest []byte) (at int64, size int) {
	if j.err != nil {
		return 0, 0
	}
	var few [32]byte
	payload := binary.AppendUvarint(few[:0], s.number)
	payload = append(append(payload, s.recordCount), rest...)
	n := recordHeaderBytes + len(payload)
	if j.bytesLeft() < n+maxIndexEntry {
		if j.err = j.rollSegment(); j.err != nil {
			return 0, 0
		}
	}
	at = j.writeOffset + int64(len(j.buffer))
	j.appendToBuffer(k, payload)
	j.unindexed = append(j.unindexed, recordID{s.number, s.recordCount})
	s.recordCount++
	if j.unindexedBytes += n; j.unindexedBytes >= indexInterval {
		j.appendIndex()
	}
	return at, n
}

// bytesLeft is the room in the active segment for records, without that for their index entries.
func (j *Journal) bytesLeft() int {
	index := recordHeaderBytes + 16 + len(j.unindexed)*maxIndexEntry
	return int(j.segmentSize-j.writeOffset) - len(j.buffer) - index - sealBytes
}

// appendToBuffer buffers a record.
func (j *Journal) appendToBuffer(k kind, payload []byte) {
	j.buffer = appendRecord(j.buffer, j.activeSegment().nonce, j.writeOffset+int64(len(j.buffer)), k, payload)
}

// appendIndex appends an index of the records since the last one, by which replay can tell which messages damage
// has hit.
func (j *Journal) appendIndex() {
	if len(j.unindexed) == 0 {
		return
	}
	payload := binary.AppendUvarint(nil, j.indexCount)
	payload = binary.AppendUvarint(payload, uint64(len(j.unindexed)))
	j.indexCount++
	for _, t := range j.unindexed {
		payload = append(binary.AppendUvarint(payload, t.number), t.count)
	}
	j.appendToBuffer(kindIndex, payload)
	j.unindexed, j.unindexedBytes = j.unindexed[:0], 0
}

// rollSegment seals the active segment and begins the next one.
func (j *Journal) rollSegment() error {
	j.appendIndex()
	j.appendToBuffer(kindSeal, binary.AppendUvarint(nil, j.nextNumber))
	if err := j.writeBuffer(); err != nil {
		return err
	}
	j.sealed = true
	if err := j.syncNow(); err != nil {
		return err
	}
	if err := j.beginSegment(); err != nil {
		return err
	}
	return j.ensureSpare()
}

// Flush writes the buffer, and compacts a part of the oldest segment if room is short.
func (j *Journal) Flush() error {
	if j.err == nil && len(j.buffer) > 0 {
		j.err = j.flush()
	}
	if j.err != nil {
		j.abandonBuffer()
		j.reported = true
	}
	return j.err
}

func (j *Journal) flush() error {
	n := int64(len(j.buffer))
	if err := j.writeBuffer(); err != nil {
		return err
	}
	if err := j.checkFolderIfDue(); err != nil {
		return err
	}
	if len(j.segments) > 1 && (len(j.spares) < 2 || j.Rebuilding()) {
		if _, err := j.compact(max(compactionSlice, compactionFactor*n)); err != nil {
			return err
		}
		return j.writeBuffer()
	}
	return nil
}

// writeBuffer writes the buffer to the active segment.
func (j *Journal) writeBuffer() error {
	if len(j.buffer) == 0 {
		return nil
	}
	s := j.activeSegment()
	n, err := s.file.WriteAt(j.buffer, j.writeOffset)
	if err != nil {
		return fmt.Errorf("journal: writing %d bytes at %d of %s: %w", len(j.buffer), j.writeOffset, s.name, err)
	}
	j.writeOffset += int64(n)
	j.writtenBytes += int64(n)
	j.syncNeeded = j.writtenBytes
	j.noteWritten()
	if j.buffer = j.buffer[:0]; cap(j.buffer) > 1<<20 {
		j.buffer = nil
	}
	return nil
}

// flagByte is 1 if a flag is set, else 0.
func flagByte(b bool) byte {
	if b {
		return 1
	}
	return 0
}
