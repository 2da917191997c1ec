package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
)

// Durability is what the records of a journal survive.
type Durability int

const (
	Process  Durability = iota // the process, and not the machine: nothing is synced
	Interval                   // the machine, but for what was written since the last sync: those come at intervals
	Group                      // the machine: nothing is reported before a sync has covered it (group commit)
)

// Only what was synced survives a failure of the machine. A caller that promises that reports nothing of what a Flush has
// written before [Journal.Synced] has covered it. Within a segment the sync runs beside further writes; at its end, and
// before its file is used again, the journal syncs itself.
//
// A failing machine may keep any of the blocks that were written since the last sync. So that replay can tell those from
// damage, the offset before which all is synced is recorded whenever it grows, before anyone relies on it, in segments
// marked for it: where a gap is behind the last such offset in the last of them, the log ends there.

// PrepareSync returns how much has been written in all, and a function, for any goroutine to call, that syncs it;
// nil and what is synced if there is nothing to do.
func (j *Journal) PrepareSync() (written int64, sync func() error) {
	if j.durability == Process || len(j.segments) == 0 || j.syncedBytes >= j.syncNeeded {
		return j.syncedBytes, nil
	}
	f := j.activeSegment().file
	return j.writtenBytes, func() error {
		if err := f.Sync(); !errors.Is(err, os.ErrClosed) && !errors.Is(err, fs.ErrClosed) {
			return err
		}
		return nil // its segment has ended meanwhile: that was synced
	}
}

// Durability is what the records survive.
func (j *Journal) Durability() Durability { return j.durability }

// SyncTarget is how much has been written that somebody may wait for.
func (j *Journal) SyncTarget() int64 { return j.syncNeeded }

// IsSynced reports whether all that had been written by then is synced.
func (j *Journal) IsSynced(written int64) bool { return j.syncedBytes >= written }

// FinishSync notes that all that had been written by then is synced, and with [Group] records that. An error says
// that it could not be synced: it may be lost, and a second sync would not report that, so nothing more is
// written.
func (j *Journal) FinishSync(written int64, err error) error {
	if err != nil && j.err == nil {
		j.err = fmt.Errorf("journal: syncing: %w", err)
	}
	if j.err != nil || written <= j.syncedBytes {
		return j.err
	}
	at := j.writeOffset - (j.writtenBytes - written)
	j.noteSynced(written)
	if j.durability == Group && at > j.syncedOffset && j.bytesLeft() > recordHeaderBytes+binary.MaxVarintLen64 { // else that segment has ended
		if j.err = j.writeBuffer(); j.err != nil { // what Step has added
			return j.err
		}
		unsynced := j.syncNeeded
		j.syncedOffset = at
		j.appendToBuffer(kindSynced, binary.AppendUvarint(nil, uint64(at)))
		j.err = j.writeBuffer()
		j.syncNeeded = unsynced // the mark itself need not be
	}
	return j.err
}

// clearTornTail clears what is behind the end of the log and was never synced, so that it is not found again
// behind what will be written there.
func (j *Journal) clearTornTail() error {
	if !j.tornTail {
		return nil
	}
	s := j.activeSegment()
	slog.Warn("the journal's end was not synced when the machine failed, and is left out", "file", s.name, "offset", j.writeOffset)
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

func (j *Journal) groupFlag() uint16 {
	if j.durability == Group {
		return grouped
	}
	return 0
}

// syncedBefore is the highest offset that a record from an offset on reports as synced.
func syncedBefore(text []byte, nonce uint32, from int64) int64 {
	var highest int64
	for off := from; off >= 0 && off < int64(len(text)); {
		k, payload, _, ok := readRecord(text[off:], nonce, off, false)
		if !ok {
			off = findRecord(text, nonce, off+1)
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
