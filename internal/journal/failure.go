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

// A journal goes on in memory when its file system refuses: messages change, end and are removed as before, while no record is kept and
// no message is accepted. Resume tries to keep records again, in a new segment. From then on each change is recorded as ever, and
// Rebuild writes the messages of all older segments anew, since what changed meanwhile is not in them and a sync that failed may have
// dropped any of it. Until that is done the older segments say less than is true, never more: a caller sends nothing that may not be
// repeated unless Sending was recorded, and reports no end that was not.

// folderCheckInterval is how often it is looked whether the folder is still the one that was locked.
const folderCheckInterval = 100 * time.Millisecond

var errFolderReplaced = errors.New("journal: its folder was replaced by another one")

// Failure returns why no records are kept now; nil if they are.
func (j *Journal) Failure() error { return j.err }

// MayBeOnDisk reports, after a failure, whether a message that was to be accepted may be on disk all the same: a restart would find it.
func (j *Journal) MayBeOnDisk(s *MessageState) bool {
	return s.isWritten || s.segment != nil && j.survived
}

// abandonBuffer drops the records that could not be written, and what of them is on disk.
func (j *Journal) abandonBuffer() {
	if len(j.buffer) > 0 {
		j.survived = !j.erase(len(j.buffer))
	}
	j.buffer = j.buffer[:0]
	dropPositions(j.pendingPositions)
	j.pendingPositions = j.pendingPositions[:0]
}

// erase clears so many bytes behind the end of the log, and reports whether no record stands there any more.
func (j *Journal) erase(size int) bool {
	s := j.activeSegment()
	text := make([]byte, size)
	if _, err := s.file.WriteAt(text, j.writeOffset); err == nil {
		return true
	}
	if n, _ := s.file.ReadAt(text, j.writeOffset); n < size {
		return false
	}
	for i := range text {
		if _, _, ok := checkRecord(text[i:], s.nonce, j.writeOffset+int64(i)); ok {
			return false
		}
	}
	return true
}

// Resume tries to keep records again after a failure. When it returns nil they are, and Rebuild has work.
func (j *Journal) Resume() error {
	if j.err == nil || !j.reported { // what was appended last counts as recorded until its Flush says otherwise
		return j.err
	}
	j.abandonBuffer()
	j.err = j.resume()
	j.reported = j.err != nil // nothing was appended since
	return j.err
}

func (j *Journal) resume() error {
	if err := j.adoptFolder(); err != nil {
		return err
	}
	if err := j.removeOrphans(); err != nil {
		return err
	}
	j.err, j.reported, j.allocationFailedUntil = nil, false, time.Time{}
	if len(j.spares) == 0 && !j.allocateSpare() {
		if len(j.segments) == 0 {
			return j.err // nothing is open: all messages are rejected until there is room
		}
		if err := j.makeRoom(); err != nil {
			return err
		}
	}
	j.flags |= afterFailure
	err := j.beginSegment()
	j.flags &^= afterFailure
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

// makeRoom frees a segment by compaction into the active one, if that can still be written to.
func (j *Journal) makeRoom() error {
	if j.sealed || j.activeSegment().detached {
		return errNoRoom
	}
	if err := j.clearTornTail(); err != nil {
		return err
	}
	const clearedBytes = 4 << 10 // what a write that was cut off may have left
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

// Rebuilding reports whether older segments are still to be written anew.
func (j *Journal) Rebuilding() bool {
	return j.err == nil && len(j.segments) > 0 && j.segments[0].seq < j.rebuildBefore
}

// Rebuild writes so many bytes of the older segments' messages anew.
func (j *Journal) Rebuild(most int64) error {
	if !j.Rebuilding() {
		return j.err
	}
	if j.err = j.ensureSpare(); j.err == nil && j.Rebuilding() {
		_, j.err = j.compact(most)
	}
	if j.err == nil {
		j.err = j.writeBuffer()
	}
	if j.err != nil {
		j.abandonBuffer()
		j.reported = true
	}
	return j.err
}

// removeOrphans removes files that an operation which failed has left.
func (j *Journal) removeOrphans() error {
	for len(j.orphans) > 0 {
		if err := j.fs.Remove(j.orphans[0]); err != nil && !errors.Is(err, os.ErrNotExist) {
			return fmt.Errorf("journal: %w", err)
		}
		j.orphans = j.orphans[1:]
	}
	return nil
}

// CheckFolder fails the journal if its folder is not the one that was locked any more.
func (j *Journal) CheckFolder() error {
	j.folderChecked = time.Now()
	if j.err == nil && j.isFolderReplaced() {
		j.err, j.reported = errFolderReplaced, len(j.buffer) == 0
	}
	return j.err
}

// checkFolderIfDue does so now and then.
func (j *Journal) checkFolderIfDue() error {
	if j.lock == nil || time.Since(j.folderChecked) < folderCheckInterval {
		return nil
	}
	return j.CheckFolder()
}

// isFolderReplaced reports whether the folder's name leads to another one, or to none.
func (j *Journal) isFolderReplaced() bool {
	if j.lock == nil {
		return false
	}
	ours, err := j.lock.Stat()
	if err != nil {
		return false
	}
	there, err := os.Stat(filepath.Join(j.dir, lockName))
	if errors.Is(err, os.ErrNotExist) {
		return true
	}
	return err == nil && !os.SameFile(ours, there)
}

// adoptFolder goes on in the folder that has replaced the one before, if one has. The segments of that can still be read.
func (j *Journal) adoptFolder() error {
	if !j.isFolderReplaced() {
		return nil
	}
	names, err := j.fs.List()
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	ours := func(name string) bool { // begun there before it was noticed
		return slices.ContainsFunc(j.segments, func(s *segment) bool { return s.name == name }) || slices.Contains(j.orphans, name)
	}
	for _, name := range names {
		if _, _, isSegment := parseName(name); isSegment && !ours(name) || name == legacyName {
			return fmt.Errorf("%w, which has a journal (%s): move that away, or put the former folder back", errFolderReplaced, name)
		}
	}
	lock, err := lockFolder(j.dir)
	if err != nil {
		return err
	}
	j.lock.Close()
	j.lock = lock
	isGone := func(name string) bool { return !slices.Contains(names, name) }
	for _, s := range j.segments {
		s.detached = s.detached || isGone(s.name)
	}
	j.spares, j.orphans = slices.DeleteFunc(j.spares, isGone), slices.DeleteFunc(j.orphans, isGone)
	j.damagedBytes = 0
	if err := j.clock.Save(filepath.Join(j.dir, clockName)); err != nil {
		slog.Warn("a wall clock that is set while no forwarder runs moves deadlines", "err", err)
	}
	slog.Warn("the journal goes on in another folder: what it holds is written anew there", "folder", j.dir, "messages", len(j.live))
	return nil
}
