package journal

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"time"
)

// When its file system fails, a journal continues in memory: messages change, complete and are removed as before, but no
// record is written and no message is accepted. Resume tries to write records again, in a new segment. From then on each
// change is recorded as usual, and Rebuild writes the messages of all older segments again, since changes made in the
// meantime are missing there and a failed sync may have dropped any part of them. Until that is done, the older segments
// may lack changes, but they contain none that was not made: a caller makes no attempt that must not be repeated unless
// RecordSending has been written, and reports no completion that has not been.

// folderCheckInterval is the minimum time between two checks whether the folder is still the one that was locked.
const folderCheckInterval = 100 * time.Millisecond

var errFolderReplaced = errors.New("journal: the folder was replaced by another one")

// Failure returns why no records can be written at present; nil if they can.
func (j *Journal) Failure() error { return j.err }

// MayBeOnDisk reports, after a failure, whether a message that could not be accepted may be on disk nevertheless, so
// that a restart would find it.
func (j *Journal) MayBeOnDisk(s *MessageState) bool {
	return s.isWritten || s.segment != nil && j.bufferMayBeOnDisk
}

// discardBuffer drops the records that could not be written, and erases what has reached the disk of them.
func (j *Journal) discardBuffer() {
	if len(j.buffer) > 0 {
		j.bufferMayBeOnDisk = !j.erase(len(j.buffer))
	}
	j.buffer = j.buffer[:0]
	dropPositions(j.pendingPositions)
	j.pendingPositions = j.pendingPositions[:0]
}

// erase overwrites size bytes after the end of the log with zeros, and reports whether no valid record is left there.
func (j *Journal) erase(size int) bool {
	s := j.activeSegment()
	data := make([]byte, size)
	if _, err := s.file.WriteAt(data, j.writeOffset); err == nil {
		return true
	}
	if n, _ := s.file.ReadAt(data, j.writeOffset); n < size {
		return false
	}
	for i := range data {
		if _, _, ok := verifyRecord(data[i:], s.nonce, j.writeOffset+int64(i)); ok {
			return false
		}
	}
	return true
}

// Resume tries to write records again after a failure. If it returns nil they are written again, and Rebuild has work to
// do.
func (j *Journal) Resume() error {
	if j.err == nil || !j.reported { // records that were appended last count as written until Flush reports that they are not
		return j.err
	}
	j.discardBuffer()
	j.err = j.resume()
	j.reported = j.err != nil // nothing has been appended since
	return j.err
}

func (j *Journal) resume() error {
	if err := j.switchFolder(); err != nil {
		return err
	}
	if err := j.removeOrphans(); err != nil {
		return err
	}
	if err := j.completed.saveAgain(); err != nil {
		return err
	}
	j.err, j.reported, j.allocationFailedUntil = nil, false, time.Time{}
	if len(j.spares) == 0 && !j.allocateSpare() {
		if len(j.segments) == 0 {
			return j.err // no message is open: all new ones are refused until there is space
		}
		if err := j.freeSegment(); err != nil {
			return err
		}
	}
	j.flags |= flagAfterFailure
	err := j.beginSegment()
	j.flags &^= flagAfterFailure
	if err != nil {
		return err
	}
	j.rebuildBefore = j.activeSegment().seq
	dropPositions(j.unsyncedPositions)
	j.unsyncedPositions = j.unsyncedPositions[:0]
	j.syncedBytes, j.syncNeeded, j.tornTail = j.writtenBytes, j.writtenBytes, false
	for j.allocatedSegments() < reservedSegments && j.allocateSpare() {
	}
	return j.err
}

// freeSegment frees a segment by compaction into the active one, if that can still be written to.
func (j *Journal) freeSegment() error {
	if j.sealed || j.activeSegment().detached {
		return errNoRoom
	}
	if err := j.clearTornTail(); err != nil {
		return err
	}
	const clearedBytes = 4 << 10 // what an interrupted write may have left
	if !j.erase(int(min(clearedBytes, j.segmentSize-j.writeOffset))) {
		return errNoRoom
	}
	if err := j.ensureSpare(); err != nil {
		return err
	}
	if len(j.spares) == 0 {
		return errNoRoom
	}
	return j.Flush()
}

// Rebuilding reports whether messages of older segments are still to be written again.
func (j *Journal) Rebuilding() bool {
	return j.err == nil && len(j.segments) > 0 && j.segments[0].seq < j.rebuildBefore
}

// Rebuild writes up to maxBytes of the older segments' messages again.
func (j *Journal) Rebuild(maxBytes int64) error {
	if !j.Rebuilding() {
		return j.err
	}
	if j.err = j.ensureSpare(); j.err == nil && j.Rebuilding() {
		_, j.err = j.compact(maxBytes)
	}
	if j.err == nil {
		j.err = j.writeBuffer()
	}
	if j.err != nil {
		j.discardBuffer()
		j.reported = true
	}
	return j.err
}

// removeOrphans removes files that a failed operation has left behind.
func (j *Journal) removeOrphans() error {
	for len(j.orphans) > 0 {
		if err := j.fs.Remove(j.orphans[0]); err != nil && !errors.Is(err, os.ErrNotExist) {
			return fmt.Errorf("journal: %w", err)
		}
		j.orphans = j.orphans[1:]
	}
	return nil
}

// CheckFolder makes the journal fail if its folder is no longer the one that was locked.
func (j *Journal) CheckFolder() error {
	j.folderChecked = time.Now()
	if j.err == nil && j.isFolderReplaced() {
		j.err, j.reported = errFolderReplaced, len(j.buffer) == 0
	}
	return j.err
}

// checkFolderIfDue calls CheckFolder if folderCheckInterval has passed since the last check.
func (j *Journal) checkFolderIfDue() error {
	if j.lock == nil || time.Since(j.folderChecked) < folderCheckInterval {
		return nil
	}
	return j.CheckFolder()
}

// isFolderReplaced reports whether the folder's path leads to another folder, or to none.
func (j *Journal) isFolderReplaced() bool {
	if j.lock == nil {
		return false
	}
	locked, err := j.lock.Stat()
	if err != nil {
		return false
	}
	current, err := os.Stat(filepath.Join(j.dir, lockName))
	if errors.Is(err, os.ErrNotExist) {
		return true
	}
	return err == nil && !os.SameFile(locked, current)
}

// switchFolder continues in the folder that has replaced the previous one, if one has. The segments of the previous
// folder can still be read through their open files.
func (j *Journal) switchFolder() error {
	if !j.isFolderReplaced() {
		return nil
	}
	names, err := j.fs.List()
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	isOwn := func(name string) bool { // whether it was begun in the new folder before the replacement was noticed
		return slices.ContainsFunc(j.segments, func(s *segment) bool { return s.name == name }) || slices.Contains(j.orphans, name)
	}
	for _, name := range names {
		if _, _, isSegment := parseSegmentName(name); isSegment && !isOwn(name) || name == legacyName {
			return fmt.Errorf("%w, which already has a journal (%s): move that journal away, or restore the previous folder", errFolderReplaced, name)
		}
	}
	lock, err := lockFolder(j.dir)
	if err != nil {
		return err
	}
	j.lock.Close()
	j.lock = lock
	isMissing := func(name string) bool { return !slices.Contains(names, name) }
	for _, s := range j.segments {
		s.detached = s.detached || isMissing(s.name)
	}
	j.spares, j.orphans = slices.DeleteFunc(j.spares, isMissing), slices.DeleteFunc(j.orphans, isMissing)
	j.damagedBytes = 0
	if err := j.clock.Save(filepath.Join(j.dir, clockName)); err != nil {
		slog.Warn("the clock file can't be used: deadlines shift if the wall clock is set while no forwarder runs", "err", err)
	}
	slog.Warn("the journal continues in a new folder: the open messages are written again there", "folder", j.dir, "messages", len(j.live))
	return nil
}
