package journal

import (
	"errors"
	"fmt"
	"strings"
)

// compact copies up to maxBytes of the states that are still needed from the oldest segment to the end of the log. When
// none is left there, it recycles the segment's file and returns true.
func (j *Journal) compact(maxBytes int64) (done bool, err error) {
	if len(j.segments) < 2 {
		return false, nil
	}
	old := j.segments[0]
	for old.head != nil && maxBytes > 0 {
		s := old.head
		if int64(j.bytesLeft()) < s.stateSize {
			if len(j.spares) == 0 {
				return false, nil // a new segment would take the space that compaction is to free
			}
			if err := j.rollSegment(); err != nil {
				return false, err
			}
			if j.segments[0] != old {
				return true, nil
			}
			continue
		}
		maxBytes -= s.stateSize
		j.compactedBytes += s.stateSize
		if err := j.appendState(s); err != nil {
			return false, err
		}
	}
	if old.head != nil {
		return false, nil
	}
	if err := j.writeBuffer(); err != nil { // the copies must be written before the originals are gone
		return false, err
	}
	if err := j.syncNow(); err != nil {
		return false, err
	}
	return true, j.recycleSegment(old)
}

// recycleSegment turns the file of the oldest segment into a spare one, or removes it if its size does not fit the
// current limit.
func (j *Journal) recycleSegment(old *segment) error {
	if old.detached {
		j.segments = j.segments[1:]
		return closeSegment(old)
	}
	if old.size != j.segmentSize || j.allocatedBytes()+j.segmentSize > j.limit { // begun under another limit, or by an upgrade
		if err := j.fs.Remove(old.name); err != nil {
			return fmt.Errorf("journal: %w", err)
		}
		j.segments = j.segments[1:]
		return errors.Join(closeSegment(old), j.syncFolder())
	}
	spare := strings.TrimSuffix(old.name, segmentSuffix) + spareSuffix
	if err := j.fs.Rename(old.name, spare); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	j.segments = j.segments[1:]
	j.spares = append(j.spares, spare)
	return errors.Join(closeSegment(old), j.syncFolder())
}

// closeSegment closes the file of a segment that is no longer needed.
func closeSegment(s *segment) error {
	if err := s.file.Close(); err != nil {
		return fmt.Errorf("journal: %s: %w", s.name, err)
	}
	return nil
}
