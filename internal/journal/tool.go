package journal

import (
	"errors"
	"fmt"
	"io/fs"
	"math"
)

// Read replays the journal in a folder and changes nothing there; the folder may be in use.
func Read(dir string) (*Journal, error) {
	for try := 0; ; try++ {
		j, err := OpenWith(Options{FS: osFS{dir: dir, readOnly: true}, ReadOnly: true, MemoryLimit: readMemory})
		if !errors.Is(err, fs.ErrNotExist) || try == readAttempts {
			return j, err
		}
		// A segment was recycled after the listing.
	}
}

const (
	readAttempts = 10
	readMemory   = 3 * maxBodyMemory // for bodies; a reader accepts nothing, so the rest does not apply
)

// Copy writes the open messages of a journal into an empty folder, and returns how many there are.
func Copy(from *Journal, dir string) (n int, err error) {
	held := from.Queued()
	o := Options{}
	for _, s := range held {
		o.DiskLimit += 4 * cost(s.Size())
		o.AllowExtras = o.AllowExtras || s.Extras != nil
	}
	o.DiskLimit = min(math.MaxInt64/4, max(o.DiskLimit, 64<<20))
	j, err := Open(dir, o)
	if err != nil {
		return 0, err
	}
	defer j.Close()
	if len(j.live) > 0 {
		return 0, fmt.Errorf("journal: %s holds messages", dir)
	}
	for _, s := range held {
		if room, err := j.Reserve(s.Size()); err != nil || !room {
			return n, fmt.Errorf("journal: no room for %s (%w)", s.ID, err)
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
