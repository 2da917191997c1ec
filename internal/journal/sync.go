package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
)

// Durability is what a journal's records outlast.
type Durability int

const (
	Process  Durability = iota // the process, and not the machine: nothing is synced
	Interval                   // the machine, but for what was written since the last sync: those come at intervals
	Group                      // the machine: nobody is told of anything before a sync has covered it, many at a time
)

// What outlasts the machine, and not only the process, is what was synced. Whoever promises that tells nobody of what
// a Flush has written before [Journal.Synced] has covered it. Within a segment the sync runs beside further writes; at
// its end, and before its file serves again, the journal syncs itself.
//
// A machine that fails may keep any of the blocks that were written since the last sync. So that replay can tell those
// from damage, the offset before which all is synced is written each time that it grows, before anyone hears of it, in the
// segments that are so marked: where a gap lies behind the last such offset in the last of them, the log ends there.

// Unsynced returns how much has been written in all, and what must be called, by any goroutine, to make that outlast the
// machine; nil and what is covered if there is nothing to do.
func (j *Journal) Unsynced() (written int64, sync func() error) {
	if j.durability == Process || len(j.segs) == 0 || j.synced >= j.unsynced {
		return j.synced, nil
	}
	f := j.active().file
	return j.written, func() error {
		if err := f.Sync(); !errors.Is(err, os.ErrClosed) && !errors.Is(err, fs.ErrClosed) {
			return err
		}
		return nil // its segment has ended meanwhile: that was synced
	}
}

// Durability is what the records outlast.
func (j *Journal) Durability() Durability { return j.durability }

// Written is how much has been written of which somebody may wait to hear.
func (j *Journal) Written() int64 { return j.unsynced }

// Covered tells whether all that had been written by then is synced.
func (j *Journal) Covered(written int64) bool { return j.synced >= written }

// Synced notes that all that had been written by then is synced, and with [Group] writes that down. An error says that it
// could not be: what it would have covered may be gone, and a second try would not say so, so that nothing more is written.
func (j *Journal) Synced(written int64, err error) error {
	if err != nil && j.err == nil {
		j.err = fmt.Errorf("journal: syncing: %w", err)
	}
	if j.err != nil || written <= j.synced {
		return j.err
	}
	at := j.end - (j.written - written)
	j.synced = written
	if j.durability == Group && at > j.syncedAt && j.left() > recordHead+binary.MaxVarintLen64 { // else that segment has ended
		if j.err = j.write(); j.err != nil { // what Step has added
			return j.err
		}
		unsynced := j.unsynced
		j.syncedAt = at
		j.put(kindSynced, binary.AppendUvarint(nil, uint64(at)))
		j.err = j.write()
		j.unsynced = unsynced // the mark itself need not be
	}
	return j.err
}

// cutOff clears what stands behind the end of the log and was never synced, so that it is not found again behind what
// will be written there.
func (j *Journal) cutOff() error {
	if !j.cut {
		return nil
	}
	s := j.active()
	slog.Warn("the journal's end was not synced when the machine failed, and is left out", "file", s.name, "offset", j.end)
	zeros := make([]byte, 64<<10)
	for at := j.end; at < s.size; at += int64(len(zeros)) {
		if _, err := s.file.WriteAt(zeros[:min(int64(len(zeros)), s.size-at)], at); err != nil {
			return fmt.Errorf("journal: clearing the end of %s: %w", s.name, err)
		}
	}
	j.cut = false
	if err := s.file.Sync(); err != nil {
		return fmt.Errorf("journal: %s: %w", s.name, err)
	}
	return nil
}

// syncNow syncs what was written in the last segment.
func (j *Journal) syncNow() error {
	written, sync := j.Unsynced()
	if sync == nil {
		return nil
	}
	if err := sync(); err != nil {
		return fmt.Errorf("journal: syncing: %w", err)
	}
	j.synced = written
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

// syncedBefore is the highest offset that the records from one on say is synced.
func syncedBefore(text []byte, nonce uint32, from int64) int64 {
	var highest int64
	for off := from; off >= 0 && off < int64(len(text)); {
		k, payload, _, ok := readRecord(text[off:], nonce, off, false)
		if !ok {
			off = find(text, nonce, off+1)
			continue
		}
		if k == kindSynced {
			if at, w := binary.Uvarint(payload); w > 0 {
				highest = max(highest, int64(at))
			}
		}
		off += int64(recordHead + len(payload))
	}
	return highest
}
