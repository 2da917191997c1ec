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
		j, err := OpenWith(Options{FS: osFS{dir: dir, readOnly: true}, ReadOnly: true, Memory: readMemory})
		if !errors.Is(err, fs.ErrNotExist) || try == readTries {
			return j, err
		}
		// A segment was given up between the listing and its turn.
	}
}

const (
	readTries  = 10
	readMemory = 3 * mostBody // for bodies; a reader takes on nothing, and so is not held by the rest
)

// Copy writes what a journal holds into a folder without one, and returns how many messages that are.
func Copy(from *Journal, dir string) (n int, err error) {
	held := from.Held()
	o := Options{}
	for _, s := range held {
		o.Limit += 4 * cost(s.Size())
		o.Extras = o.Extras || s.Extras != nil
	}
	o.Limit = min(math.MaxInt64/4, max(o.Limit, 64<<20))
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
		copied.seg, copied.before, copied.after, copied.at, copied.resident = nil, nil, nil, place{}, 0
		if err := j.Accepted(&copied); err != nil {
			return n, err
		}
		if err := j.Flush(); err != nil {
			return n, err
		}
		n++
	}
	return n, nil
}
