package journal

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"math/rand/v2"
	"time"
)

// allocatedSegments returns how many segments have disk space allocated, spares included.
func (j *Journal) allocatedSegments() int {
	n := len(j.spares)
	for _, s := range j.segments {
		if !s.detached {
			n++
		}
	}
	return n
}

// allocatedBytes returns the size of all files.
func (j *Journal) allocatedBytes() (n int64) {
	for _, s := range j.segments {
		if !s.detached {
			n += s.size
		}
	}
	return n + int64(len(j.spares))*j.segmentSize + j.damagedBytes
}

// availableBytes returns how many bytes of states, and of the records that follow them, fit into the allocated segments
// without the reserved ones. If more segments are allocated than the limit allows, only the limit counts.
func (j *Journal) availableBytes(largest int64) int64 {
	overhead := segmentHeaderBytes + sealBytes + largest // the unusable part of each segment, at most
	return min(j.allocatedBytes(), j.limit) - j.damagedBytes - int64(j.allocatedSegments())*overhead - reservedSegments*(j.segmentSize-overhead)
}

// allocateSpare allocates one more segment, if the limit and the disk have space for it.
func (j *Journal) allocateSpare() bool {
	return j.allocatedBytes()+j.segmentSize <= j.limit && time.Now().After(j.allocationFailedUntil) && j.createSpare()
}

// createSpare allocates one more segment, whatever the limit is.
func (j *Journal) createSpare() bool {
	name := fmt.Sprintf("%016x%s", rand.Uint64(), spareSuffix)
	f, err := j.fs.Open(name, true)
	if err == nil {
		if j.flags&flagUpgrading == 0 { // as long as the legacy file exists it takes the space
			err = f.Allocate(j.segmentSize)
		}
		err = errors.Join(err, f.Close())
	}
	if errors.Is(err, fs.ErrNotExist) && len(j.segments) > 0 { // the folder was removed: the next start would not find what is written from now on
		j.err = fmt.Errorf("%w: %w", errFolderReplaced, err)
		return false
	}
	if err != nil {
		j.allocationFailedUntil = time.Now().Add(allocationRetry)
		if j.fs.Remove(name) != nil {
			j.orphans = append(j.orphans, name)
		}
		slog.Warn("the journal can't allocate more disk space: new messages are refused", "held", len(j.live), "err", err)
		return false
	}
	j.spares = append(j.spares, name)
	return true
}

var errNoRoom = errors.New("journal: no disk space for a segment: free some space on the disk")

// beginSegment turns a spare file into the active segment.
func (j *Journal) beginSegment() error {
	if len(j.spares) == 0 && !j.allocateSpare() {
		return errNoRoom
	}
	s := &segment{seq: 1, nonce: rand.Uint32(), firstNumber: j.nextNumber, version: j.version, flags: j.flags | j.syncedOffsetsFlag(), size: j.segmentSize}
	if j.flags&flagUpgrading != 0 {
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
	if _, err = f.WriteAt(s.header(), 0); err == nil { // the header must be there before the name says that the file is a segment
		if j.durability != Process { // otherwise a rename that is lost would hide records
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
		if renamed { // the next segment to be begun takes the same sequence number
			j.spares, j.orphans = j.spares[:len(j.spares)-1], append(j.orphans, s.name)
		}
		return fmt.Errorf("journal: beginning a segment: %w", err)
	}
	j.spares = j.spares[:len(j.spares)-1]
	j.segments = append(j.segments, s)
	j.writeOffset, j.unindexed, j.unindexedBytes, j.indexCount, j.sealed, j.syncedOffset = segmentHeaderBytes, j.unindexed[:0], 0, 0, false, segmentHeaderBytes
	return nil
}

// ensureSpare provides a spare file for the next segment, by compaction if necessary.
func (j *Journal) ensureSpare() error {
	for len(j.spares) == 0 && !j.allocateSpare() {
		if (j.allocatedBytes() > j.limit || j.segments[0].size > j.segmentSize) && j.createSpare() {
			break // the limit was lowered: the larger segments must be compacted before it can be met
		}
		if done, err := j.compact(j.segmentSize); err != nil || !done {
			return err
		}
	}
	return nil
}

// Reserve reserves space for one more message of the given size, and reports whether there was any. All of the space is
// allocated on the disk at once, so that an accepted message can be completed even if the disk fills up.
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
	largest := max(j.largestStateBytes, state)
	for j.reservedBytes+cost(size) > j.availableBytes(largest) {
		if !j.allocateSpare() {
			return false, nil
		}
	}
	j.largestStateBytes = largest
	j.reservedBytes += cost(size)
	return true, nil
}

// Usage returns the used part of the disk space or of the memory, from 0 to 1, whichever is greater.
func (j *Journal) Usage() float64 {
	if j.limit == 0 {
		return 1
	}
	overhead := segmentHeaderBytes + sealBytes + j.largestStateBytes
	capacity := ((j.limit-j.damagedBytes)/j.segmentSize - reservedSegments) * (j.segmentSize - overhead)
	if time.Now().Before(j.allocationFailedUntil) { // the disk has less space than the limit allows
		capacity = j.availableBytes(j.largestStateBytes)
	}
	used := float64(j.reservedBytes) / float64(max(1, capacity))
	if m := j.memory.limit - j.memory.limit/bodyMemoryShare; m > 0 {
		used = max(used, float64(len(j.live)*messageMemoryBytes)/float64(m))
	}
	return min(used, 1)
}

// Release gives back the space that Reserve has reserved for a message.
func (j *Journal) Release(size int) {
	j.reservedBytes -= cost(size)
	if j.reservedBytes == 0 {
		j.largestStateBytes = 0
	}
}
