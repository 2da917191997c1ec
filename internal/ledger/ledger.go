// Package ledger is a forwarder's audit log. It records in the state folder under which version vector the forwarder made how many calls to which
// endpoint, and so answers later whether an endpoint was called under an older vector, how often, and when last.
//
// The log consists of a few segment files of a fixed size, which are allocated before use and mapped into memory. Records are appended with a
// checksum. Their counts are changed in place, each by two stores of eight bytes, so that neither a kill at any moment nor a full disk loses a
// call that was counted, and counting a call needs no system call. Calls and changes that could not be recorded, or were overwritten, are
// counted and reported.
package ledger

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"syscall"
	"time"

	"scaleroute/internal/journal"
	"scaleroute/internal/version"
)

// Clock returns the machine's time. Tests replace it to run a process whose clock is wrong.
var Clock = time.Now

const (
	maxSegments = 4 // files; the oldest is then overwritten
	// MinBytes and MaxBytes bound the size of a ledger.
	MinBytes = maxSegments * 16 << 10
	MaxBytes = 256 << 20

	retryEvery         = time.Second // interval between attempts to allocate a segment on a full disk
	maxInFlightTargets = 200         // endpoints with in-flight calls that a change names
	maxTargetLength    = 1 << 10     // bytes of an endpoint's name; longer names are truncated
)

// FS is the folder of the ledger. Its files must have file descriptors, as those of [journal.DirFS] do.
type FS = journal.FS

// Change is the transition from one version vector to the next.
type Change struct {
	Seq             uint64         `json:"seq"` // counts from 1, across all processes that use the folder
	At              time.Time      `json:"at"`  // by this machine's clock
	Cause           string         `json:"cause"`
	By              string         `json:"by,omitempty"`
	Vector          version.Vector `json:"vector"`
	InFlight        []InFlight     `json:"out,omitempty"`  // calls in flight at the change
	InFlightOmitted int            `json:"more,omitempty"` // calls in flight at endpoints that InFlight has no room for
}

// InFlight is the number of calls in flight at an endpoint.
type InFlight struct {
	Target string `json:"target"`
	Calls  int    `json:"calls"`
}

// Causes of changes. Later versions may add others.
const (
	CauseStart          = "start"
	CauseTakenOver      = "took over"   // serving taken over from another process
	CauseStop           = "end"         // orderly stop; a start without one before it follows a kill
	CauseHandedOver     = "hand-over"   // serving passed to another process
	CauseEndpointList   = "list"        // discovery sent an endpoint list
	CauseOperatorsFile  = "operators"   // the operators' settings file was read
	CauseManualOverride = "by hand"     // an operator disabled or re-enabled an endpoint
	CausePeerDrain      = "by peers"    // endpoints drain according to other members' newer lists
	CauseFenced         = "slept"       // fenced: no call is started
	CauseConfirmed      = "confirmed"   // discovery confirmed the list: calls are started again
	CauseUnconfirmed    = "unconfirmed" // discovery did not answer in time: calls are started with the known list
	CauseFencedOff      = "shut out"
	CauseReadmitted     = "let in"
)

// Ledger writes an audit log. A nil Ledger records nothing and costs nothing. It must not be used by several goroutines at a time.
type Ledger struct {
	fs               FS
	segmentBytes     int64
	name             version.Digest
	segments         []*segment // oldest first; records are appended to the last
	current          Change
	counters         map[string]*CallCounter // under the current change
	countersByKey    map[counterKey]*CallCounter
	inFlight         map[string]int
	allocationFailed time.Time         // time of the last failed allocation; zero if it succeeded since
	unrecorded       unrecordedCounts  // counted while there is no segment to store it in
	overwritten      overwrittenCounts // likewise
}

type counterKey struct {
	seq    uint64
	target string
}

type unrecordedCounts struct{ calls, changes uint64 }

// CallCounter counts the calls to one endpoint under one change.
type CallCounter struct {
	ledger *Ledger
	target string
	seq    uint64
	data   []byte // counts in a mapped segment; nil if the disk was full or the segment has been overwritten
}

// Open opens the ledger of the named forwarder in a folder and limits its size to the given number of bytes. It ignores segments that a forwarder of
// another name wrote, since after a swap of folders they say nothing about this forwarder. A full or failing disk is no error: calls and changes that
// can't be recorded are counted.
func Open(files FS, bytes int64, name string) (*Ledger, error) {
	if bytes < MinBytes || bytes > MaxBytes {
		return nil, fmt.Errorf("ledger size of %d bytes is out of range: it must be from %d to %d", bytes, MinBytes, MaxBytes)
	}
	l := &Ledger{fs: files, segmentBytes: bytes / maxSegments / 4096 * 4096, name: version.DigestOf([]byte(name)), countersByKey: map[counterKey]*CallCounter{}, inFlight: map[string]int{}}
	names, err := files.List()
	if err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	slices.Sort(names) // by sequence number
	for _, n := range names {
		seq, ok := parseName(n)
		if !ok {
			continue
		}
		if s := l.reopen(n, seq); s != nil {
			l.segments = append(l.segments, s)
		}
	}
	return l, nil
}

// reopen maps an existing segment and loads its counters. It returns nil for a segment that another forwarder wrote or that can't be used.
func (l *Ledger) reopen(name string, seq uint64) *segment {
	s, err := mapFile(l.fs, name, seq)
	if err != nil {
		return nil // Read reports it; the file stays until it is the oldest and its space is needed
	}
	if h, ok := s.header(); !ok || h.name != l.name {
		s.close()
		return nil
	}
	end, damage := s.scan(func(r record) {
		switch r.kind {
		case kindChange:
			var c Change
			if json.Unmarshal(r.payload, &c) == nil {
				s.entries++
				l.current = c
			}
		case kindCounter:
			slot := &CallCounter{ledger: l, target: string(r.target), seq: r.seq, data: r.counters}
			l.countersByKey[counterKey{r.seq, slot.target}] = slot
			s.counters = append(s.counters, slot)
		}
	})
	if s.end = end; damage != "" { // no record is appended after unreadable data
		s.end = int64(len(s.data))
	}
	return s
}

// LastChange returns the newest change, which an earlier process may have written. Its Seq is 0 if there is none.
func (l *Ledger) LastChange() Change {
	if l == nil {
		return Change{}
	}
	return l.current
}

// RecordChange records that calls started from now on are made under another vector.
func (l *Ledger) RecordChange(cause, by string, now time.Time, v version.Vector) {
	if l == nil {
		return
	}
	c := Change{Seq: l.current.Seq + 1, At: now, Cause: cause, By: by, Vector: v}
	for target, n := range l.inFlight {
		if len(c.InFlight) < maxInFlightTargets {
			c.InFlight = append(c.InFlight, InFlight{target, n})
		} else {
			c.InFlightOmitted += n
		}
	}
	slices.SortFunc(c.InFlight, func(a, b InFlight) int {
		if a.Target < b.Target {
			return -1
		}
		return 1
	})
	l.current, l.counters = c, map[string]*CallCounter{}
	if !l.append(kindChange, l.encodeCurrent(), nil, now) {
		l.countUnrecorded(0, 1)
		return
	}
	l.segments[len(l.segments)-1].entries++
}

// encodeCurrent returns the payload of the current change's record.
func (l *Ledger) encodeCurrent() []byte {
	text, err := json.Marshal(l.current)
	if err != nil {
		panic(err) // can't happen: the fields have plain types
	}
	return text
}

// BeginCall counts a call that is about to be made.
func (l *Ledger) BeginCall(target string, now time.Time) *CallCounter {
	if l == nil {
		return nil
	}
	if len(target) > maxTargetLength {
		target = target[:maxTargetLength]
	}
	s := l.counters[target]
	if s == nil || s.data == nil && now.Sub(l.allocationFailed) >= retryEvery {
		s = l.newCounter(target, now)
	}
	l.inFlight[target]++
	if s.data == nil {
		l.countUnrecorded(1, 0)
		return s
	}
	increment(s.data, indexBegun)
	raiseTo(s.data, indexLast, uint64(now.UnixNano()))
	return s
}

// newCounter appends a counter for an endpoint under the current change. The counter has no data if there is no room.
func (l *Ledger) newCounter(target string, now time.Time) *CallCounter {
	s := &CallCounter{ledger: l, target: target, seq: l.current.Seq}
	if l.counters == nil {
		l.counters = map[string]*CallCounter{}
	}
	l.counters[target] = s
	if l.append(kindCounter, counterPayload(s.seq, now, target), s, now) {
		l.countersByKey[counterKey{s.seq, target}] = s
	}
	return s
}

// ResumeCall returns the counter of a call that another process started under the change with the given sequence number.
func (l *Ledger) ResumeCall(seq uint64, target string) *CallCounter {
	if l == nil {
		return nil
	}
	l.inFlight[target]++
	if s := l.countersByKey[counterKey{seq, target}]; s != nil {
		return s
	}
	return &CallCounter{ledger: l, target: target, seq: seq}
}

// ChangeSeq returns the sequence number of the change under which the call was started, or 0 without a ledger.
func (s *CallCounter) ChangeSeq() uint64 {
	if s == nil {
		return 0
	}
	return s.seq
}

// Complete counts the outcome of a call: answered by the endpoint, never sent in full, or neither.
func (s *CallCounter) Complete(answeredBy, neverSent bool) {
	if s == nil {
		return
	}
	s.removeInFlight()
	if s.data == nil {
		return
	}
	if answeredBy {
		increment(s.data, indexAnswered)
	}
	if neverSent {
		increment(s.data, indexUnsent)
	}
	increment(s.data, indexCompleted)
}

// removeInFlight removes a call from those in flight.
func (s *CallCounter) removeInFlight() {
	if s.ledger.inFlight[s.target]--; s.ledger.inFlight[s.target] <= 0 {
		delete(s.ledger.inFlight, s.target)
	}
}

// HandOver removes a call that continues in another process from those in flight.
func (s *CallCounter) HandOver() {
	if s != nil {
		s.removeInFlight()
	}
}

// countUnrecorded counts calls and changes that there was no room to record.
func (l *Ledger) countUnrecorded(calls, changes uint64) {
	if len(l.segments) == 0 {
		l.unrecorded.calls += calls
		l.unrecorded.changes += changes
		return
	}
	s := l.segments[len(l.segments)-1]
	add(s.data[offUnrecordedCalls:], calls)
	add(s.data[offUnrecordedChanges:], changes)
}

// append appends a record, to a new segment if the last one is full, and reports whether it could. After a failed allocation it waits for
// retryEvery before it tries again.
func (l *Ledger) append(kind byte, payload []byte, slot *CallCounter, now time.Time) bool {
	if len(l.segments) > 0 && l.segments[len(l.segments)-1].append(kind, payload, slot) {
		return true
	}
	if !l.allocationFailed.IsZero() && now.Sub(l.allocationFailed) < retryEvery && now.After(l.allocationFailed) {
		return false
	}
	if err := l.addSegment(now); err != nil {
		l.allocationFailed = now
		return false
	}
	l.allocationFailed = time.Time{}
	s := l.segments[len(l.segments)-1]
	if kind == kindChange {
		return s.append(kind, payload, nil)
	}
	// Each segment holds the change of its counters, so that it can be read on its own.
	if !s.append(kindChange, l.encodeCurrent(), nil) {
		return false
	}
	s.entries++
	return s.append(kind, payload, slot)
}

// addSegment adds an empty segment. It creates a file, or, if there are maxSegments files or the disk has no room for another, reuses the oldest.
// So the size limit holds at every moment, and a full disk costs the oldest records.
func (l *Ledger) addSegment(now time.Time) error {
	names, err := l.fs.List()
	if err != nil {
		return err
	}
	seq := uint64(1)
	var existing []string
	for _, n := range names {
		if other, ok := parseName(n); ok {
			existing, seq = append(existing, n), max(seq, other+1)
		}
	}
	slices.Sort(existing)
	h := segmentHeader{name: l.name, created: now.UnixNano(), overwritten: l.overwritten, unrecorded: l.unrecorded}
	if n := len(l.segments); n > 0 {
		newest := l.segments[n-1]
		previous, _ := newest.header()
		h.overwritten.add(previous.overwritten)
		h.unrecorded.calls += previous.unrecorded.calls + readCount(newest.data[offUnrecordedCalls:]).max
		h.unrecorded.changes += previous.unrecorded.changes + readCount(newest.data[offUnrecordedChanges:]).max
	}
	var s *segment
	for s == nil {
		full := len(existing) >= maxSegments
		if !full {
			s, err = create(l.fs, seq, l.segmentBytes, h)
		}
		switch {
		case s != nil:
		case len(existing) == 0 || !full && len(existing) == 1 && len(l.segments) == 1: // no older segment can be reused or removed
			return err
		default:
			oldest := existing[0]
			existing = existing[1:]
			i := slices.IndexFunc(l.segments, func(s *segment) bool { return s.name == oldest })
			if i < 0 || int64(len(l.segments[i].data)) != l.segmentBytes { // another forwarder's, not readable, or of another size
				if err := l.fs.Remove(oldest); err != nil && !errors.Is(err, fs.ErrNotExist) {
					return err
				}
				d := overwrittenCounts{unreadSegments: 1}
				if i >= 0 {
					d = l.closeSegment(i)
				}
				l.overwritten.add(d) // kept even if no segment can be added
				h.overwritten.add(d)
				continue
			}
			reused := l.segments[i]
			if err := l.fs.Rename(oldest, segmentName(seq)); err != nil {
				return err
			}
			h.overwritten.add(l.detachSegment(i))
			s = &segment{name: segmentName(seq), seq: seq, data: reused.data}
			s.initialize(h)
		}
	}
	l.unrecorded, l.overwritten = unrecordedCounts{}, overwrittenCounts{}
	l.segments = append(l.segments, s)
	return nil
}

// detachSegment removes a segment and its counters from the ledger, and returns the counts that are lost with it.
func (l *Ledger) detachSegment(i int) (d overwrittenCounts) {
	s := l.segments[i]
	d.changes = uint64(s.entries)
	for _, slot := range s.counters {
		d.calls += readCount(slot.data[indexBegun*16:]).max
		d.latest = max(d.latest, readTime(slot.data[indexLast*16:]).UnixNano())
		slot.data = nil
		if k := (counterKey{slot.seq, slot.target}); l.countersByKey[k] == slot {
			delete(l.countersByKey, k)
		}
		if l.counters[slot.target] == slot {
			delete(l.counters, slot.target)
		}
	}
	l.segments = slices.Delete(l.segments, i, i+1)
	return d
}

// closeSegment detaches and unmaps a segment whose file has been removed.
func (l *Ledger) closeSegment(i int) overwrittenCounts {
	s := l.segments[i]
	d := l.detachSegment(i)
	s.close()
	return d
}

// Close records a last change, whose cause is CauseStop or CauseHandedOver, and unmaps the segments.
func (l *Ledger) Close(cause string, now time.Time) {
	if l == nil {
		return
	}
	l.RecordChange(cause, "", now, l.current.Vector)
	for _, s := range l.segments {
		for _, slot := range s.counters {
			slot.data = nil
		}
		s.close()
	}
	l.segments, l.countersByKey, l.counters, l.allocationFailed = nil, map[counterKey]*CallCounter{}, nil, now.Add(100*365*24*time.Hour)
}

// close unmaps the segment. The file stays.
func (s *segment) close() {
	if s.data != nil {
		syscall.Munmap(s.data)
		s.data = nil
	}
}
