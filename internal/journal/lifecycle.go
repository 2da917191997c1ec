package journal

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"scaleroute/internal/steadyclock"
)

// Open replays the journal in a folder, or creates one, and locks the folder. A legacy journal is upgraded. Options.FS
// needs to be set only where file operations are to fail on purpose.
func Open(dir string, o Options) (*Journal, error) {
	lock, err := lockFolder(dir)
	if err != nil {
		return nil, err
	}
	if o.FS == nil {
		o.FS = osFS{dir: dir}
	}
	o.DiskLimit -= diskMargin
	if o.Clock, err = steadyclock.Open(filepath.Join(dir, clockName)); err != nil {
		slog.Warn("the clock file can't be used: deadlines shift if the wall clock is set while no forwarder runs", "err", err)
	}
	j, err := OpenWith(o)
	if err != nil {
		lock.Close()
		return nil, err
	}
	j.lock, j.dir, j.folderChecked = lock, dir, time.Now()
	return j, nil
}

const (
	lockName  = "lock"
	clockName = "clock"
)

// lockFolder locks a folder against use by a second forwarder. The lock ends with the process.
func lockFolder(dir string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockName), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, fmt.Errorf("journal: %s is in use by another forwarder: stop that one, or name another folder (%w)", dir, err)
	}
	return f, nil
}

// OpenWith replays the journal of a file system, or creates one.
func OpenWith(o Options) (*Journal, error) {
	j := &Journal{fs: o.FS, live: map[string]*MessageState{}, nextNumber: 1, durability: o.Durability, version: formatWithoutExtras, memory: bodyMemory{limit: o.MemoryLimit}}
	if j.clock = o.Clock; j.clock == (steadyclock.Clock{}) {
		j.clock = steadyclock.New()
	}
	j.completed = completedIDs{fs: o.FS, capacity: int(o.CompletedIDBytes / completedBytes)}
	if o.DiskLimit -= o.CompletedIDBytes; o.DiskLimit >= minDiskLimit {
		j.limit = o.DiskLimit
		j.segmentSize = min(max(o.DiskLimit/minSegments, minSegmentSize), maxSegmentSize, o.DiskLimit/5) / 512 * 512
	}
	if err := j.replay(o.ReadOnly); err != nil {
		j.Close()
		return nil, err
	}
	if err := j.completed.load(j.clock.Millis(time.Now()), o.ReadOnly); err != nil {
		j.Close()
		return nil, err
	}
	if o.ReadOnly {
		return j, j.loadLegacy()
	}
	if j.limit == 0 {
		return j, nil
	}
	if err := j.startAppending(o.AllowExtras); err != nil {
		if j.flags&flagUpgrading != 0 || !IsDiskError(err) {
			j.Close()
			return nil, err
		}
		j.err = err // the open messages are known: the journal continues in memory as after a later failure
		j.discardBuffer()
	}
	return j, nil
}

// startAppending prepares a replayed journal for new records.
func (j *Journal) startAppending(extras bool) error {
	for _, s := range j.live {
		extras = extras || s.Extras != nil
	}
	if extras {
		j.version = formatVersion
	}
	if err := j.clearTornTail(); err != nil {
		return err
	}
	if len(j.segments) == 0 || j.sealed {
		err := j.beginSegment()
		if errors.Is(err, errNoRoom) && len(j.segments) == 0 && j.flags&flagUpgrading == 0 {
			return nil // no message is open: all new ones are refused until there is space
		}
		if err != nil {
			return err
		}
	}
	if j.activeSegment().flags&flagSyncedOffsets != j.syncedOffsetsFlag() || j.activeSegment().version != j.version { // all records of a segment are in one format
		if err := j.rollSegment(); err != nil {
			return err
		}
	}
	for _, step := range []func() error{j.upgradeLegacy, j.finishUpgrade, j.allocateReserved, j.rewriteAffected} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// allocateReserved allocates the segments that must always be free, as far as there is space.
func (j *Journal) allocateReserved() error {
	for j.allocatedSegments() < reservedSegments && j.allocateSpare() {
	}
	return j.ensureSpare()
}

// Close closes the files. It does not write the buffer.
func (j *Journal) Close() error {
	errs := []error{j.completed.close()}
	for _, s := range j.segments {
		if s.file != nil {
			errs = append(errs, s.file.Close())
		}
	}
	if j.lock != nil {
		errs = append(errs, j.lock.Close())
	}
	return errors.Join(errs...)
}
