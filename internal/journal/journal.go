// Package journal keeps the messages that a forwarder has accepted in a folder that outlives its process. It makes no
// decisions about messages: it records them, and recovers them at the next start.
// The journal is a log in segments of equal size. A record is written with plain write(2) before the step that it
// announces becomes visible outside the process, so that it survives SIGKILL without a sync. Space is reclaimed from the
// oldest segment: in small parts, compaction copies the current states of the messages that are still open there to the
// end of the log; then the file is reused as a new segment. So the last state of a message in the log is its newest, and
// the record that closes a message is never removed before the record that accepted it. docs/journal.md describes the
// format and the guarantees.
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
	diskMargin       = 16 << 10  // kept free of the folder's limit for the lock and the file system's own data
	minDiskLimit     = 64 << 10  // a folder with a lower limit stores nothing
	minSegments      = 14        // number of segments into which a small limit is divided
	minSegmentSize   = 144 << 10 // fits two of the longest messages
	maxSegmentSize   = 16 << 20
	reservedSegments = 3 // the active segment, one for what compaction copies, one spare

	// followUpBytes is the space that a message may need after its acceptance: for about ten attempts, its completion,
	// and their index entries.
	followUpBytes = 512
	indexInterval = 32 << 10
	maxIndexEntry = 11 // bytes of one entry, at most
	sealBytes     = recordHeaderBytes + 16

	compactionSlice  = 16 << 10 // bytes that compaction copies with each write, at least
	compactionFactor = 4        // and at least this many times the bytes of the write
	allocationRetry  = time.Second
)

// Options configure Open and OpenWith.
type Options struct {
	FS          FS
	DiskLimit   int64 // bytes that all files in the folder may take
	MemoryLimit int64 // bytes that open messages may take in memory; 0 for no limit
	ReadOnly    bool  // replay only: nothing is written, and nothing can be

	Clock steadyclock.Clock // for deadlines; the zero Clock stands for a new one that starts from the wall clock

	Durability  Durability
	AllowExtras bool // messages may have extras; older programs can't read such a folder

	// CompletedIDBytes is the part of DiskLimit for the IDs of completed messages; 0 if none are remembered.
	CompletedIDBytes int64
}

// IsDiskError reports whether an error comes from the disk, so that no change of settings can fix it.
func IsDiskError(err error) bool {
	var e syscall.Errno
	return errors.As(err, &e) && e != syscall.EWOULDBLOCK && e != syscall.ENOENT && e != syscall.EACCES
}

// Journal is the log. One goroutine owns it.
type Journal struct {
	fs                    FS
	segmentSize           int64 // bytes of a new segment
	limit                 int64 // bytes of all files together; 0: nothing is stored
	segments              []*segment
	spares                []string
	damagedBytes          int64  // size of the copies of damaged segments that are kept for inspection
	writeOffset           int64  // end of the written data in the active segment
	buffer                []byte // to be written at writeOffset
	unindexed             []recordID
	unindexedBytes        int   // size of the records since the last index
	err                   error // why no records can be written at present
	live                  map[string]*MessageState
	nextNumber            uint64 // number of the next message
	reservedBytes         int64  // for open messages and those being accepted
	largestStateBytes     int64  // bytes of the largest state since reservedBytes was last 0
	allocationFailedUntil time.Time
	flags                 uint16 // of new segments
	version               uint16 // format version of new segments

	durability       Durability
	syncNeeded       int64 // number of written bytes that a sync must cover
	syncedBytes      int64 // number of written bytes that are synced
	syncedOffset     int64 // the end of the synced data in the active segment, as last recorded there
	tornTail         bool  // the data after the end of the log was never synced, and must be cleared
	memory           bodyMemory
	positionsMu      sync.RWMutex      // guards the positions of bodies, which other goroutines read
	pendingPositions []pendingPosition // of states in the buffer
	// unsyncedPositions are the positions of states that are written but not synced, in a journal that syncs.
	unsyncedPositions []pendingPosition
	sealed            bool   // the active segment is complete
	indexCount        uint64 // number of indexes in the active segment
	lock              *os.File

	reported          bool     // Flush has returned err
	bufferMayBeOnDisk bool     // a record of the buffer that was discarded last may be on disk
	rebuildBefore     uint64   // segments with a lower sequence number are to be rewritten
	orphans           []string // files to remove before a segment is begun
	completed         completedIDs
	clock             steadyclock.Clock
	dir               string    // the folder of the lock; empty without one
	folderChecked     time.Time // when it was last checked whether the folder is still the same

	damage         []Damage
	writtenBytes   int64 // bytes written in all
	compactedBytes int64 // of these, the bytes that compaction has copied
}

// recordID identifies one record of one message in an index.
type recordID struct {
	number uint64
	count  byte
}

// activeSegment returns the segment that is written to.
func (j *Journal) activeSegment() *segment { return j.segments[len(j.segments)-1] }

// Queued returns the open messages in the order in which they were accepted.
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
