// Package journal keeps the messages that a forwarder has accepted in a folder that outlasts its
// process. It decides nothing: it records, and recovers at the next start.
//
// The journal is a log in segments of one size. Records are written with plain
// write(2) before the step that they announce shows outside: what was written
// outlasts SIGKILL without a sync. Room is taken from the oldest segment: what is still owed there is
// written again, as it is now, at the log's end, in small parts; then the file serves as a new segment.
// So each message has its newest state last, and a record of its end is never
// forgotten before its beginning. docs/journal.md has the format and the promises.
package journal

import (
	"errors"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"scaleroute/internal/steadyclock"
)

const (
	diskMargin       = 16 << 10  // of the folder's limit: the lock and the file system's own
	minLimit         = 64 << 10  // a folder with a lower limit keeps nothing
	minSegments      = 14        // of the size that a small limit allows
	minSegmentSize   = 144 << 10 // two of the longest messages
	maxSegmentSize   = 16 << 20
	reservedSegments = 3 // segments: the active one, one for what compaction moves, one spare

	// What a message may still need after its acceptance: some ten attempts, its end, and their index
	// entries.
	controlBytes  = 512
	indexInterval = 32 << 10
	maxIndexEntry = 11 // bytes, at most
	sealBytes     = recordHeaderBytes + 16

	compactionSlice  = 16 << 10 // what compaction moves at least with each write
	compactionFactor = 4        // and so many times what was written
	allocationRetry  = time.Second
)

// Options are for OpenWith.
type Options struct {
	FS          FS
	DiskLimit   int64 // bytes that the folder may hold
	MemoryLimit int64 // bytes that open messages may take in memory; 0 for no limit
	ReadOnly    bool  // only replay: nothing is written, and nothing can be

	Clock steadyclock.Clock // of deadlines; the zero Clock for one that starts from the wall clock

	Durability  Durability
	AllowExtras bool // messages may have extras; older programs can't read such a folder
}

// IsDiskError reports whether an error is the disk's: one that no setting fixes.
func IsDiskError(err error) bool {
	var e syscall.Errno
	return errors.As(err, &e) && e != syscall.EWOULDBLOCK && e != syscall.ENOENT && e != syscall.EACCES
}

// Journal is the log. It is owned by one goroutine.
type Journal struct {
	fs                    FS
	segmentSize           int64 // of a segment
	limit                 int64 // of all files together; nothing is kept if it is 0
	segments              []*segment
	spares                []string
	damagedBytes          int64  // copies of damaged segments that are kept for inspection
	writeOffset           int64  // of what is written in the active segment
	buffer                []byte // to be written at writeOffset
	unindexed             []recordID
	unindexedBytes        int   // of records since the last index
	err                   error // why no records are kept now
	live                  map[string]*MessageState
	nextNumber            uint64 // message number
	reservedBytes         int64  // for open messages and those in acceptance
	largestState          int64  // of the states open at once
	allocationFailedUntil time.Time
	flags                 uint16 // of new segments
	version               uint16 // the same

	durability       Durability
	syncNeeded       int64 // of writtenBytesBytes: a sync must cover up to here
	syncedBytes      int64 // of writtenBytes
	syncedOffset     int64 // the same, as an offset in the active segment
	tornTail         bool  // what is behind the end was never synced, and must be cleared
	memory           bodyMemory
	positionsMu      sync.RWMutex      // guards the positions of bodies, which other goroutines read
	pendingPositions []pendingPosition // of states in the buffer
	// unsyncedPositions are those of states that were written and not synced, where syncs are promised.
	unsyncedPositions []pendingPosition
	sealed            bool   // the active segment is complete
	indexCount        uint64 // in the active segment
	lock              *os.File

	reported      bool     // Flush has returned err
	survived      bool     // a record of the buffer that was abandoned last may be on disk
	rebuildBefore uint64   // segments with a lower sequence number are to be written anew
	orphans       []string // files to be removed before a segment is begun
	clock         steadyclock.Clock
	dir           string    // of the lock; empty without one
	folderChecked time.Time // whether it is still the same

	damage         []Damage
	writtenBytes   int64 // bytes in all
	compactedBytes int64 // of those, by compaction
}

// recordID is one record of one message, as an index names it.
type recordID struct {
	number uint64
	count  byte
}

// activeSegment is the segment that is written to.
func (j *Journal) activeSegment() *segment { return j.segments[len(j.segments)-1] }

// Queued lists the open messages in the order accepted.
func (j *Journal) Queued() []*MessageState {
	list := make([]*MessageState, 0, len(j.live))
	for _, s := range j.live {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *MessageState) int {
		if a.number < b.number {
			return -1
		}
		return 1
	})
	return list
}
