package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
)

// Durability says which failures the records of a journal survive.
type Durability int

const (
	Process  Durability = iota // those of the process, not of the machine: nothing is synced
	Interval                   // those of the machine, except what was written since the last of the syncs at intervals
	Group                      // those of the machine: nothing is reported before a sync has covered it (group commit)
)

// Only synced data survives a failure of the machine. A caller that promises such durability reports nothing that Flush
// has written before [Journal.FinishSync] has covered it. Within a segment the sync runs concurrently with further
// writes; at the end of a segment, and before its file is reused, the journal syncs by itself.
// After a failure of the machine, any of the blocks that were written since the last sync may be on the disk. So that
// replay can distinguish them from damage, the journal records the offset before which all is synced whenever it grows,
// before anything relies on it, in segments that are marked for this. If the last of these segments has a gap after the
// last such offset, the log ends there.

// PrepareSync returns the number of bytes written in all, and a function that syncs them, which any goroutine may call.
// If there is nothing to sync, it returns the number of synced bytes and nil.
func (j *Journal) PrepareSync() (written int64, sync func() error) {
	if j.durability == Process || len(j.segments) == 0 || j.syncedBytes >= j.syncNeeded {
		return j.syncedBytes, nil
	}
	f, syncIDs := j.activeSegment().file, j.completed.prepareSync()
	return j.writtenBytes, func() error {
		if err := syncIDs(); err != nil {
			return err
		}
		if err := f.Sync(); !errors.Is(err, os.ErrClosed) && !errors.Is(err, fs.ErrClosed) {
			return err
		}
		return nil // its segment was completed in the meantime, which synced it
	}
}

// Durability returns which failures the records survive.
func (j *Journal) Durability() Durability { return j.durability }

// SyncTarget returns the number of written bytes that a caller may wait for to be synced.
func (j *Journal) SyncTarget() int64 { return j.syncNeeded }

// IsSynced reports whether a sync has covered the given number of written bytes.
func (j *Journal) IsSynced(written int64) bool { return j.syncedBytes >= written }

// FinishSync notes that the given number of written bytes is synced, and with [Group] records that. An error says that
// the sync failed: the data may be lost, and a second sync would not report that, so nothing more is written.
func (j *Journal) FinishSync(written int64, err error) error {
	if err != nil && j.err == nil {
		j.err = fmt.Errorf("journal: syncing: %w", err)
	}
	if j.err != nil || written <= j.syncedBytes {
		return j.err
	}
	at := j.writeOffset - (j.writtenBytes - written)
	j.noteSynced(written)
	if j.durability == Group && at > j.syncedOffset && j.bytesLeft() > recordHeaderBytes+binary.MaxVarintLen64 { // otherwise that segment has ended
		if j.err = j.writeBuffer(); j.err != nil { // records that were appended since the last Flush
			return j.err
		}
		unsynced := j.syncNeeded
		j.syncedOffset = at
		j.appendToBuffer(kindSynced, binary.AppendUvarint(nil, uint64(at)))
		j.err = j.writeBuffer()
		j.syncNeeded = unsynced // the record of the synced offset itself need not be synced
	}
	return j.err
}

// clearTornTail clears the data after the end of the log that was never synced, so that it is not found again after the
// records that will be written there.
func (j *Journal) clearTornTail() error {
	if !j.tornTail {
		return nil
	}
	s := j.activeSegment()
	slog.Warn("the end of the journal was not synced before the machine failed, and is discarded", "file", s.name, "offset", j.writeOffset)
	zeros := make([]byte, 64<<10)
	for at := j.writeOffset; at < s.size; at += int64(len(zeros)) {
		if _, err := s.file.WriteAt(zeros[:min(int64(len(zeros)), s.size-at)], at); err != nil {
			return fmt.Errorf("journal: clearing the end of %s: %w", s.name, err)
		}
	}
	j.tornTail = false
	if err := s.file.Sync(); err != nil {
		return fmt.Errorf("journal: %s: %w", s.name, err)
	}
	return nil
}

// syncNow syncs what was written to the active segment.
func (j *Journal) syncNow() error {
	written, sync := j.PrepareSync()
	if sync == nil {
		return nil
	}
	if err := sync(); err != nil {
		return fmt.Errorf("journal: syncing: %w", err)
	}
	j.noteSynced(written)
	return nil
}

func (j *Journal) syncFolder() error {
	if j.durability == Process {
		return nil
	}
	return j.fs.Sync()
}

func (j *Journal) syncedOffsetsFlag() uint16 {
	if j.durability == Group {
		return flagSyncedOffsets
	}
	return 0
}

// syncedBefore returns the highest synced offset that a record from the given offset on reports.
func syncedBefore(data []byte, nonce uint32, from int64) int64 {
	var highest int64
	for off := from; off >= 0 && off < int64(len(data)); {
		k, payload, _, ok := readRecord(data[off:], nonce, off, false)
		if !ok {
			off = findRecord(data, nonce, off+1)
			continue
		}
		if k == kindSynced {
			if at, w := binary.Uvarint(payload); w > 0 {
				highest = max(highest, int64(at))
			}
		}
		off += int64(recordHeaderBytes + len(payload))
	}
	return highest
}
