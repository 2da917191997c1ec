package journal

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"math/rand/v2"
	"time"
)

// allocatedSegments is how many segments have room on the disk, spares included.
func (j *Journal) allocatedSegments() int {
	n := len(j.spares)
	for _, s := range j.segments {
		if !s.detached {
			n++
		}
	}
	return n
}

// allocatedBytes is the size of all files.
func (j *Journal) allocatedBytes() (n int64) {
	for _, s := range j.segments {
		if !s.detached {
			n += s.size
		}
	}
	return n + int64(len(j.spares))*j.segmentSize + j.damagedBytes
}

// availableBytes is how many bytes of states and the records that follow them fit into the allocated segments,
// without the reserved ones. With more segments than the limit allows it counts what the limit allows.
func (j *Journal) availableBytes(largest int64) int64 {
	lost := segmentHeaderBytes + sealBytes + largest // of each segment, at most
	return min(j.allocatedBytes(), j.limit) - j.damagedBytes - int64(j.allocatedSegments())*lost - reservedSegments*(j.segmentSize-lost)
}

// allocateSpare allocates one more segment, if the limit and the disk have room.
func (j *Journal) allocateSpare() bool {
	return j.allocatedBytes()+j.segmentSize <= j.limit && time.Now().After(j.allocationFailedUntil) && j.createSpare()
}

// createSpare does so whatever the limit is.
func (j *Journal) createSpare() bool {
	name := fmt.Sprintf("%016x%s", rand.Uint64(), spareEnd)
	f, err := j.fs.Open(name, true)
	if err == nil {
		if j.flags&upgrading == 0 { // the legacy file takes the room while it is there
			err = f.Allocate(j.segmentSize)
		}
		err = errors.Join(err, f.Close())
	}
	if errors.Is(err, fs.ErrNotExist) && len(j.segments) > 0 { // the folder was removed: no start would find what is written from now on
		j.err = fmt.Errorf("%w: %w", errFolderReplaced, err)
		return false
	}
	if err != nil {
		j.allocationFailedUntil = time.Now().Add(allocationRetry)
		if j.fs.Remove(name) != nil {
			j.orphans = append(j.orphans, name)
		}
		slog.Warn("the journal gets no more room: new messages are turned away", "held", len(j.live), "err", err)
		return false
	}
	j.spares = append(j.spares, name)
	return true
}

var errNoRoom = errors.New("journal: no room for a segment: free some space on its disk")

// beginSegment makes a spare file the active segment.
func (j *Journal) beginSegment() error {
	if len(j.spares) == 0 && !j.allocateSpare() {
		return errNoRoom
	}
	s := &segment{seq: 1, nonce: rand.Uint32(), firstNumber: j.nextNumber, version: j.version, flags: j.flags | j.groupFlag(), size: j.segmentSize}
	if j.flags&upgrading != 0 {
		s.size = 0
	}
	if n := len(j.segments); n > 0 {
		s.seq = j.segments[n-1].seq + 1
	}
	s.name = segmentName(s.seq, s.nonce)
	spare := j.spares[len(j.spares)-1]
	f, err := j.fs.Open(spare, false)
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	s.file = f
	renamed := false
	if _, err = f.WriteAt(s.header(), 0); err == nil { // before its name says what it is
		if j.durability != Process { // no record may be where a lost rename would hide it
			err = f.Sync()
		}
		if err == nil {
			err = j.fs.Rename(spare, s.name)
			renamed = err == nil
		}
		if err == nil {
			err = j.syncFolder()
		}
	}
	if err != nil {
		f.Close()
		if renamed { // a segment that is begun later has its sequence number
			j.spares, j.orphans = j.spares[:len(j.spares)-1], append(j.orphans, s.name)
		}
		return fmt.Errorf("journal: beginning a segment: %w", err)
	}
	j.spares = j.spares[:len(j.spares)-1]
	j.segments = append(j.segments, s)
	j.writeOffset, j.unindexed, j.unindexedBytes, j.indexCount, j.sealed, j.syncedOffset = segmentHeaderBytes, j.unindexed[:0], 0, 0, false, segmentHeaderBytes
	return nil
}

// ensureSpare provides a spare segment for the next roll, by compaction if need be.
func (j *Journal) ensureSpare() error {
	for len(j.spares) == 0 && !j.allocateSpare() {
		if (j.allocatedBytes() > j.limit || j.segments[0].size > j.segmentSize) && j.createSpare() {
			break // the limit was lowered: larger segments must be compacted before it is met
		}
		if done, err := j.compact(j.segmentSize); err != nil || !done {
			return err
		}
	}
	return nil
}

// Reserve reserves room for one more message of a size, if there is any. All of it is allocated on the disk
// then, so that an accepted message can be completed even if the disk fills up.
func (j *Journal) Reserve(size int) (bool, error) {
	if j.err != nil {
		return false, j.err
	}
	state := stateBytes(size)
	if j.limit == 0 || state > j.segmentSize/2 || !j.memory.hasRoomFor(len(j.live)) {
		return false, nil
	}
	if len(j.segments) == 0 {
		if err := j.beginSegment(); errors.Is(err, errNoRoom) {
			return false, nil
		} else if err != nil {
			j.err = err
			return false, err
		}
	}
	largest := max(j.largestState, state)
	for j.reservedBytes+cost(size) > j.availableBytes(largest) {
		if !j.allocateSpare() {
			return false, nil
		}
	}
	j.largestState = largest
	j.reservedBytes += cost(size)
	return true, nil
}

// Usage is the share of the room that is in use, on disk or in memory, whichever is scarcer.
func (j *Journal) Usage() float64 {
	if j.limit == 0 {
		return 1
	}
	lost := segmentHeaderBytes + sealBytes + j.largestState
	room := ((j.limit-j.damagedBytes)/j.segmentSize - reservedSegments) * (j.segmentSize - lost)
	if time.Now().Before(j.allocationFailedUntil) { // the disk has less
		room = j.availableBytes(j.largestState)
	}
	full := float64(j.reservedBytes) / float64(max(1, room))
	if m := j.memory.limit - j.memory.limit/bodyMemoryShare; m > 0 {
		full = max(full, float64(len(j.live)*messageMemoryBytes)/float64(m))
	}
	return min(full, 1)
}

// Release returns what Reserve reserved for a message that was rejected.
func (j *Journal) Release(size int) {
	j.reservedBytes -= cost(size)
	if j.reservedBytes == 0 {
		j.largestState = 0
	}
}
