package journal

import (
	"errors"
	"fmt"
	"io/fs"
	"math"
)

// Read replays the journal in a folder without changing anything there; the folder may be in use.
func Read(dir string) (*Journal, error) {
	for attempt := 0; ; attempt++ {
		j, err := OpenWith(Options{FS: osFS{dir: dir, readOnly: true}, ReadOnly: true, MemoryLimit: readMemory})
		if !errors.Is(err, fs.ErrNotExist) || attempt == readAttempts {
			return j, err
		}
		// A segment was recycled after the folder was listed.
	}
}

const (
	readAttempts = 10
	readMemory   = 3 * maxBodyMemory // for bodies; a journal that is only read accepts no messages, so that the rest does not apply
)

// Copy writes the open messages of a journal, and the IDs of completed ones, into an empty folder, and returns how many messages it has
// written.
func Copy(from *Journal, dir string) (n int, err error) {
	queued := from.Queued()
	o := Options{}
	for _, s := range queued {
		o.DiskLimit += 4 * cost(s.Size())
		o.AllowExtras = o.AllowExtras || s.Extras != nil
	}
	o.DiskLimit = min(math.MaxInt64/4, max(o.DiskLimit, 64<<20))
	o.CompletedIDBytes = int64(len(from.completed.slots)) * completedBytes
	j, err := Open(dir, o)
	if err != nil {
		return 0, err
	}
	defer j.Close()
	if len(j.live) > 0 {
		return 0, fmt.Errorf("journal: %s already contains messages", dir)
	}
	if err := j.completed.copyFrom(&from.completed); err != nil {
		return 0, err
	}
	for _, s := range queued {
		if reserved, err := j.Reserve(s.Size()); err != nil || !reserved {
			return n, fmt.Errorf("journal: no space for message %s (%w)", s.ID, err)
		}
		copied := *s
		copied.segment, copied.previous, copied.next, copied.position, copied.residentBytes = nil, nil, nil, position{}, 0
		if err := j.RecordAccepted(&copied); err != nil {
			return n, err
		}
		if err := j.Flush(); err != nil {
			return n, err
		}
		n++
	}
	return n, nil
}
