package journal

import (
	"encoding/binary"
	"fmt"
	"time"
)

// RecordAccepted appends a newly accepted message, whose space has been reserved with Reserve. An open message with the
// same ID is closed first.
func (j *Journal) RecordAccepted(s *MessageState) error {
	if old := j.live[s.ID]; old != nil {
		j.RecordClosed(old.ID)
	}
	s.number, s.recordCount, s.journal = j.nextNumber, 0, j
	j.nextNumber++
	j.live[s.ID] = s
	return j.appendState(s)
}

// appendState appends the current state of a message, with its body.
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
		j.pendingPositions = append(j.pendingPositions, pendingPosition{state: s, position: position{j.activeSegment(), at, size}})
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

// RecordOutcome records the outcome of the attempt in flight.
func (j *Journal) RecordOutcome(id string, mayHaveRun bool) {
	if s := j.live[id]; s != nil {
		s.InFlight, s.MayHaveRun = false, s.MayHaveRun || mayHaveRun
		j.appendMessageRecord(kindOutcome, s, []byte{flagByte(mayHaveRun)})
	}
}

// RecordCompletion records the final outcome of a message. Its completion notice is pending from then on.
func (j *Journal) RecordCompletion(id string, completion byte, retryAfter time.Duration) {
	if s := j.live[id]; s != nil {
		s.Completion, s.RetryAfter = completion, retryAfter
		j.appendMessageRecord(kindCompletion, s, binary.AppendUvarint([]byte{completion}, uint64(retryAfter.Milliseconds())))
	}
}

// RecordClosed closes a message for which no work is left, and removes it.
func (j *Journal) RecordClosed(id string) {
	if s := j.live[id]; s != nil {
		j.appendMessageRecord(kindClosed, s, nil)
		j.removeMessage(s)
	}
}

// removeMessage removes a message from memory and releases its reserved space.
func (j *Journal) removeMessage(s *MessageState) {
	s.unlink()
	j.memory.release(s)
	delete(j.live, s.ID)
	j.Release(s.Size())
}

// appendMessageRecord buffers a record of a message and returns its offset and size. If the record does not fit into the
// active segment, the next one is begun.
func (j *Journal) appendMessageRecord(k kind, s *MessageState, rest []byte) (at int64, size int) {
	if j.err != nil {
		return 0, 0
	}
	var scratch [32]byte
	payload := binary.AppendUvarint(scratch[:0], s.number)
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

// bytesLeft returns how many bytes of records fit into the active segment. The index of the records written so far and
// the seal are already subtracted.
func (j *Journal) bytesLeft() int {
	index := recordHeaderBytes + 16 + len(j.unindexed)*maxIndexEntry
	return int(j.segmentSize-j.writeOffset) - len(j.buffer) - index - sealBytes
}

// appendToBuffer buffers a record.
func (j *Journal) appendToBuffer(k kind, payload []byte) {
	j.buffer = appendRecord(j.buffer, j.activeSegment().nonce, j.writeOffset+int64(len(j.buffer)), k, payload)
}

// appendIndex appends an index of the records since the previous index. Replay uses it to find out which messages a
// damaged place affects.
func (j *Journal) appendIndex() {
	if len(j.unindexed) == 0 {
		return
	}
	payload := binary.AppendUvarint(nil, j.indexCount)
	payload = binary.AppendUvarint(payload, uint64(len(j.unindexed)))
	j.indexCount++
	for _, id := range j.unindexed {
		payload = append(binary.AppendUvarint(payload, id.number), id.count)
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

// Flush writes the buffer. If space is short or a rebuild is under way, it also compacts a part of the oldest segment.
func (j *Journal) Flush() error {
	if j.err == nil && len(j.buffer) > 0 {
		j.err = j.flush()
	}
	if j.err != nil {
		j.discardBuffer()
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

// writeBuffer writes the buffer to the active segment, and before that the IDs of the messages that it closes.
func (j *Journal) writeBuffer() error {
	if len(j.buffer) == 0 {
		return nil
	}
	if err := j.completed.save(); err != nil {
		return err
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

// flagByte returns 1 if a flag is set and 0 otherwise.
func flagByte(b bool) byte {
	if b {
		return 1
	}
	return 0
}
