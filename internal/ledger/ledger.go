// Package ledger keeps, in the folder that lasts, under which version vector a forwarder made how many calls to which target. It answers
// afterwards: was this target called under an older one, how often, when last?
//
// It is a few files of a fixed size, set aside before they are used and mapped into memory. Entries are appended and checked; the counts under
// them are changed in place, each by two stores of eight bytes, so that neither a kill at any moment nor a disk without room loses a count that
// was made, and a call costs no system call. What could not be kept, or was overwritten, is counted and told.
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

// Clock is the machine's. A test has a process whose clock is wrong.
var Clock = time.Now

const (
	segments = 4 // the oldest makes room
	// MinBytes and MostBytes bound what a ledger may take.
	MinBytes = segments * 16 << 10
	MaxBytes = 256 << 20

	retryEvery = time.Second // after there was no room
	mostOut    = 200         // targets with calls out that an entry names
	longest    = 1 << 10     // a target's name; what is longer is cut
)

// FS is the folder. Its files must have descriptors; the journal's [journal.DirFS] does.
type FS = journal.FS

// Change is one step from one vector to the next.
type Change struct {
	Seq             uint64         `json:"seq"` // from 1 on, over all processes of this folder
	At              time.Time      `json:"at"`  // by this machine's clock
	Cause           string         `json:"cause"`
	By              string         `json:"by,omitempty"`
	Vector          version.Vector `json:"vector"`
	InFlight        []InFlight     `json:"out,omitempty"`  // calls that were out then
	InFlightOmitted int            `json:"more,omitempty"` // calls out at targets that Out has no room for
}

// InFlight is how many calls were out at a target.
type InFlight struct {
	Target string `json:"target"`
	Calls  int    `json:"calls"`
}

// Causes of changes. Others may come.
const (
	CauseStart          = "start"
	CauseTakenOver      = "took over"
	CauseStop           = "end"         // in order: what follows none was killed
	CauseHandedOver     = "hand-over"   // to another process
	CauseEndpointList   = "list"        // discovery has told it
	CauseOperatorsFile  = "operators"   // their file was read
	CauseManualOverride = "by hand"     // a target was left out or put back
	CausePeerDrain      = "by peers"    // what drains by others' newer lists
	CauseFenced         = "slept"       // fenced: no call begins
	CauseConfirmed      = "confirmed"   // discovery was asked again: calls begin
	CauseUnconfirmed    = "unconfirmed" // nobody answered in time: calls begin by what is known
	CauseFencedOff      = "shut out"
	CauseReadmitted     = "let in"
)

// Ledger is one that is written. A nil Ledger keeps nothing and costs nothing. It is not for several goroutines.
type Ledger struct {
	fs      FS
	each    int64 // bytes of a segment
	name    version.Digest
	list    []*segment // oldest first; the last is written to
	current Change
	slots   map[string]*CallCounter // under the current change
	known   map[slotKey]*CallCounter
	out     map[string]int
	failed  time.Time // there was no room then
	missed  missed    // while there is no segment to note it in
	dropped dropped   // the same
}

type slotKey struct {
	seq    uint64
	target string
}

type missed struct{ calls, changes uint64 }

// CallCounter is where the calls to one target under one change are counted.
type CallCounter struct {
	l      *Ledger
	target string
	seq    uint64
	at     []byte // in a mapped segment; nil: there was no room, or it has been overwritten
}

// Open opens the ledger of a forwarder in a folder, of so many bytes at most. One that another forwarder wrote, which its name tells, is set
// aside: a folder that was swapped says nothing of this one. Disk trouble is no error: what can't be kept is counted.
func Open(files FS, bytes int64, name string) (*Ledger, error) {
	if bytes < MinBytes || bytes > MaxBytes {
		return nil, fmt.Errorf("a ledger of %d bytes: from %d to %d", bytes, MinBytes, MaxBytes)
	}
	l := &Ledger{fs: files, each: bytes / segments / 4096 * 4096, name: version.DigestOf([]byte(name)), known: map[slotKey]*CallCounter{}, out: map[string]int{}}
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
			l.list = append(l.list, s)
		}
	}
	return l, nil
}

// reopen maps a segment that is there. One that is another's, or can't be used, is not.
func (l *Ledger) reopen(name string, seq uint64) *segment {
	s, err := mapFile(l.fs, name, seq)
	if err != nil {
		return nil // the audit tells of it: it is left as it is, until its number makes room
	}
	if h, ok := s.head(); !ok || h.name != l.name {
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
		case kindSlot:
			slot := &CallCounter{l: l, target: string(r.target), seq: r.seq, at: r.counters}
			l.known[slotKey{r.seq, slot.target}] = slot
			s.slots = append(s.slots, slot)
		}
	})
	if s.end = end; damage != "" { // nothing is appended behind what can't be read
		s.end = int64(len(s.data))
	}
	return s
}

// LastChange is the change that was written last, also by a process before this one; its Seq is 0 if there is none.
func (l *Ledger) LastChange() Change {
	if l == nil {
		return Change{}
	}
	return l.current
}

// RecordChange notes that the calls begun from now on are made under another vector.
func (l *Ledger) RecordChange(cause, by string, now time.Time, v version.Vector) {
	if l == nil {
		return
	}
	c := Change{Seq: l.current.Seq + 1, At: now, Cause: cause, By: by, Vector: v}
	for target, n := range l.out {
		if len(c.InFlight) < mostOut {
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
	l.current, l.slots = c, map[string]*CallCounter{}
	if !l.append(kindChange, l.entry(), nil, now) {
		l.miss(0, 1)
		return
	}
	l.list[len(l.list)-1].entries++
}

func (l *Ledger) entry() []byte {
	text, err := json.Marshal(l.current)
	if err != nil {
		panic(err) // plain values: it can't be
	}
	return text
}

// BeginCall counts a call that is about to be made.
func (l *Ledger) BeginCall(target string, now time.Time) *CallCounter {
	if l == nil {
		return nil
	}
	if len(target) > longest {
		target = target[:longest]
	}
	s := l.slots[target]
	if s == nil || s.at == nil && now.Sub(l.failed) >= retryEvery {
		s = l.slot(target, now)
	}
	l.out[target]++
	if s.at == nil {
		l.miss(1, 0)
		return s
	}
	bump(s.at, begun)
	raise(s.at, last, uint64(now.UnixNano()))
	return s
}

// slot makes room for a target's counts under the current change.
func (l *Ledger) slot(target string, now time.Time) *CallCounter {
	s := &CallCounter{l: l, target: target, seq: l.current.Seq}
	if l.slots == nil {
		l.slots = map[string]*CallCounter{}
	}
	l.slots[target] = s
	if l.append(kindSlot, slotHead(s.seq, now, target), s, now) {
		l.known[slotKey{s.seq, target}] = s
	}
	return s
}

// ResumeCall finds the counts of a call that another process began, under a change that it named.
func (l *Ledger) ResumeCall(seq uint64, target string) *CallCounter {
	if l == nil {
		return nil
	}
	l.out[target]++
	if s := l.known[slotKey{seq, target}]; s != nil {
		return s
	}
	return &CallCounter{l: l, target: target, seq: seq}
}

// ChangeSeq is the change that a call was begun under; 0 where nothing is kept.
func (s *CallCounter) ChangeSeq() uint64 {
	if s == nil {
		return 0
	}
	return s.seq
}

// Complete counts how a call ended: answered by the target, or never written whole, or neither.
func (s *CallCounter) Complete(answeredBy, neverSent bool) {
	if s == nil {
		return
	}
	s.leave()
	if s.at == nil {
		return
	}
	if answeredBy {
		bump(s.at, answered)
	}
	if neverSent {
		bump(s.at, unsent)
	}
	bump(s.at, over)
}

// leave takes a call off those that are out.
func (s *CallCounter) leave() {
	if s.l.out[s.target]--; s.l.out[s.target] <= 0 {
		delete(s.l.out, s.target)
	}
}

// HandOver tells that a call goes on in another process.
func (s *CallCounter) HandOver() {
	if s != nil {
		s.leave()
	}
}

// miss counts what there was no room for.
func (l *Ledger) miss(calls, changes uint64) {
	if len(l.list) == 0 {
		l.missed.calls += calls
		l.missed.changes += changes
		return
	}
	s := l.list[len(l.list)-1]
	add(s.data[offMissedCalls:], calls)
	add(s.data[offMissedChanges:], changes)
}

// append writes a record, in a new segment if the last one has no room. It tells whether it could.
func (l *Ledger) append(kind byte, payload []byte, slot *CallCounter, now time.Time) bool {
	if len(l.list) > 0 && l.list[len(l.list)-1].append(kind, payload, slot) {
		return true
	}
	if !l.failed.IsZero() && now.Sub(l.failed) < retryEvery && now.After(l.failed) {
		return false
	}
	if err := l.grow(now); err != nil {
		l.failed = now
		return false
	}
	l.failed = time.Time{}
	s := l.list[len(l.list)-1]
	if kind == kindChange {
		return s.append(kind, payload, nil)
	}
	// A segment says itself under which vector its counts are.
	if !s.append(kindChange, l.entry(), nil) {
		return false
	}
	s.entries++
	return s.append(kind, payload, slot)
}

// grow begins a segment: a new one, or the oldest anew where there are enough of them, or the disk has no room for another. So the bound holds
// at every moment, and a full disk costs what is oldest.
func (l *Ledger) grow(now time.Time) error {
	names, err := l.fs.List()
	if err != nil {
		return err
	}
	seq := uint64(1)
	var there []string
	for _, n := range names {
		if other, ok := parseName(n); ok {
			there, seq = append(there, n), max(seq, other+1)
		}
	}
	slices.Sort(there)
	h := head{name: l.name, created: now.UnixNano(), dropped: l.dropped, missed: l.missed}
	if n := len(l.list); n > 0 {
		newest := l.list[n-1]
		was, _ := newest.head()
		h.dropped.add(was.dropped)
		h.missed.calls += was.missed.calls + read(newest.data[offMissedCalls:]).most
		h.missed.changes += was.missed.changes + read(newest.data[offMissedChanges:]).most
	}
	var s *segment
	for s == nil {
		full := len(there) >= segments
		if !full {
			s, err = create(l.fs, seq, l.each, h)
		}
		switch {
		case s != nil:
		case len(there) == 0 || !full && len(there) == 1 && len(l.list) == 1: // it is all there is
			return err
		default:
			oldest := there[0]
			there = there[1:]
			i := slices.IndexFunc(l.list, func(s *segment) bool { return s.name == oldest })
			if i < 0 || int64(len(l.list[i].data)) != l.each { // another's, unread, or of another size
				if err := l.fs.Remove(oldest); err != nil && !errors.Is(err, fs.ErrNotExist) {
					return err
				}
				d := dropped{unread: 1}
				if i >= 0 {
					d = l.drop(i)
				}
				l.dropped.add(d) // also if there is no segment after all
				h.dropped.add(d)
				continue
			}
			again := l.list[i]
			if err := l.fs.Rename(oldest, segmentName(seq)); err != nil {
				return err
			}
			h.dropped.add(l.forget(i))
			s = &segment{name: segmentName(seq), seq: seq, data: again.data}
			s.begin(h)
		}
	}
	l.missed, l.dropped = missed{}, dropped{}
	l.list = append(l.list, s)
	return nil
}

// forget takes a segment out, and returns what is dropped with it.
func (l *Ledger) forget(i int) (d dropped) {
	s := l.list[i]
	d.changes = uint64(s.entries)
	for _, slot := range s.slots {
		d.calls += read(slot.at[begun*16:]).most
		d.until = max(d.until, readTime(slot.at[last*16:]).UnixNano())
		slot.at = nil
		if k := (slotKey{slot.seq, slot.target}); l.known[k] == slot {
			delete(l.known, k)
		}
		if l.slots[slot.target] == slot {
			delete(l.slots, slot.target)
		}
	}
	l.list = slices.Delete(l.list, i, i+1)
	return d
}

// drop forgets a segment whose file is gone.
func (l *Ledger) drop(i int) dropped {
	s := l.list[i]
	d := l.forget(i)
	s.close()
	return d
}

// Close ends it, with the change that says why: End or HandOver.
func (l *Ledger) Close(cause string, now time.Time) {
	if l == nil {
		return
	}
	l.RecordChange(cause, "", now, l.current.Vector)
	for _, s := range l.list {
		for _, slot := range s.slots {
			slot.at = nil
		}
		s.close()
	}
	l.list, l.known, l.slots, l.failed = nil, map[slotKey]*CallCounter{}, nil, now.Add(100*365*24*time.Hour)
}

// close lets go of its memory; the file stays.
func (s *segment) close() {
	if s.data != nil {
		syscall.Munmap(s.data)
		s.data = nil
	}
}
