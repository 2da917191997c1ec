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
		j, err := OpenWith(Options{FS: osFS{dir: dir, readOnly: true}, ReadOnly: true})
		if !errors.Is(err, fs.ErrNotExist) || try == readTries {
			return j, err
		}
		// A segment was given up between the listing and its turn.
	}
}

const readTries = 10

// Copy writes what a journal holds into a folder without one, and returns how many messages that are.
func Copy(from *Journal, dir string) (n int, err error) {
	held := from.Held()
	var bytes int64
	for _, s := range held {
		bytes += cost(s.Size())
	}
	j, err := Open(dir, min(math.MaxInt64/4, max(4*bytes, 64<<20)))
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
		copied.seg, copied.before, copied.after = nil, nil, nil
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
