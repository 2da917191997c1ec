package ledger

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"scaleroute/internal/version"
)

// Snapshot is a ledger as it is read, also one that is being written.
type Snapshot struct {
	Entries     []Entry     `json:"entries"`          // in order; numbers that lack were not kept
	Overwritten Overwritten `json:"dropped"`          // overwritten since
	Unrecorded  Unrecorded  `json:"missed"`           // there was no room for it
	Damage      []string    `json:"damage,omitempty"` // what can't be read
	Foreign     []string    `json:"others,omitempty"` // files that another forwarder wrote
}

// Entry is a change, and the calls that were begun under it.
type Entry struct {
	Change
	Calls []CallCounts `json:"calls,omitempty"`
}

// CallCounts are those to one target under one change.
type CallCounts struct {
	Target    string    `json:"target"`
	First     time.Time `json:"first"`
	Last      time.Time `json:"last"`
	Begun     Count     `json:"begun"` // that were about to be made
	Completed Count     `json:"over"`
	Unsent    Count     `json:"unsent"`   // never written whole: they did not run
	Answered  Count     `json:"answered"` // by the target
}

// Count is how many: exactly, or within a kill's step.
type Count struct {
	Min uint64 `json:"least"`
	Max uint64 `json:"most"`
}

// Plus is both together.
func (c Count) Plus(o Count) Count { return Count{c.Min + o.Min, c.Max + o.Max} }

func (c *Count) add(o Count) { c.Min, c.Max = c.Min+o.Min, c.Max+o.Max }

// Overwritten is what has been overwritten.
type Overwritten struct {
	Changes        uint64    `json:"changes"`
	Calls          uint64    `json:"calls"`
	Latest         time.Time `json:"until,omitzero"`   // the newest of the calls
	UnreadSegments int       `json:"unread,omitempty"` // segments that were damaged or another's, and made room
}

// Unrecorded is what there was no room for.
type Unrecorded struct {
	Calls   Count `json:"calls"`
	Changes Count `json:"changes"`
}

// Read reads the ledger of a forwarder in a folder; without its name, whoever's is newest.
func Read(files FS, name string) (*Snapshot, error) {
	names, err := files.List()
	if err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	r := &Snapshot{}
	own := version.DigestOf([]byte(name))
	entries := map[uint64]*Entry{}
	slices.Sort(names)
	slices.Reverse(names) // newest first: it says what is before it
	newest, half := true, 0
	for _, n := range names {
		seq, ok := parseName(n)
		if !ok {
			continue
		}
		text, err := readFile(files, n)
		if err != nil {
			r.Damage = append(r.Damage, fmt.Sprintf("%s: %v", n, err))
			continue
		}
		h, ok := readHead(text, seq)
		if !ok && halfBegun(text, seq) {
			half++
			continue
		}
		if !ok {
			r.Damage = append(r.Damage, n+": its head does not check, or is of another format: read it by the program that wrote it")
			continue
		}
		if name == "" {
			name, own = "?", h.name
		}
		if h.name != own {
			r.Foreign = append(r.Foreign, n)
			continue
		}
		if newest {
			newest = false
			r.Overwritten = Overwritten{Changes: h.dropped.changes, Calls: h.dropped.calls, UnreadSegments: int(h.dropped.unread)}
			if h.dropped.until > 0 {
				r.Overwritten.Latest = time.Unix(0, h.dropped.until)
			}
			calls, changes := read(text[offMissedCalls:]), read(text[offMissedChanges:])
			r.Unrecorded = Unrecorded{Count{h.missed.calls + calls.least, h.missed.calls + calls.most}, Count{h.missed.changes + changes.least, h.missed.changes + changes.most}}
		}
		if _, damage := scan(text, func(one record) { r.take(one, entries, n) }); damage != "" {
			r.Damage = append(r.Damage, n+": "+damage)
		}
	}
	r.Overwritten.UnreadSegments += half
	for _, e := range entries {
		slices.SortFunc(e.Calls, func(a, b CallCounts) int { return cmp.Compare(a.Target, b.Target) })
		r.Entries = append(r.Entries, *e)
	}
	slices.SortFunc(r.Entries, func(a, b Entry) int { return cmp.Compare(a.Seq, b.Seq) })
	return r, nil
}

func readFile(files FS, name string) ([]byte, error) {
	f, err := files.Open(name, false)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	if size > MaxBytes {
		return nil, fmt.Errorf("%d bytes", size)
	}
	text := make([]byte, size)
	if n, err := f.ReadAt(text, 0); err != nil && int64(n) < size {
		return nil, err
	}
	return text, nil
}

func (r *Snapshot) take(one record, entries map[uint64]*Entry, file string) {
	switch one.kind {
	case kindChange:
		e := Entry{}
		if err := json.Unmarshal(one.payload, &e.Change); err != nil {
			r.Damage = append(r.Damage, fmt.Sprintf("%s: a change that can't be read: %v", file, err))
			return
		}
		if have := entries[e.Seq]; have != nil { // it goes on in another segment
			have.Change = e.Change
			return
		}
		entries[e.Seq] = &e
	case kindSlot:
		e := entries[one.seq]
		if e == nil { // its change stands in a segment that is gone or damaged
			e = &Entry{Change: Change{Seq: one.seq}}
			entries[one.seq] = e
		}
		c := CallCounts{Target: string(one.target), First: time.Unix(0, one.first), Last: readTime(one.counters[last*16:])}
		for i, to := range map[int]*Count{begun: &c.Begun, over: &c.Completed, unsent: &c.Unsent, answered: &c.Answered} {
			b := read(one.counters[i*16:])
			if *to = (Count{b.least, b.most}); b.damaged {
				r.Damage = append(r.Damage, fmt.Sprintf("%s: a count of %s under change %d", file, c.Target, one.seq))
			}
		}
		if c.Last.IsZero() {
			c.Last = c.First
		}
		for i := range e.Calls {
			if have := &e.Calls[i]; have.Target == c.Target { // in an older segment, or a newer one
				have.Begun.add(c.Begun)
				have.Completed.add(c.Completed)
				have.Unsent.add(c.Unsent)
				have.Answered.add(c.Answered)
				if c.First.Before(have.First) {
					have.First = c.First
				}
				if c.Last.After(have.Last) {
					have.Last = c.Last
				}
				return
			}
		}
		e.Calls = append(e.Calls, c)
	}
}

// CallSummary says how often a target was called.
type CallSummary struct {
	Begun   Count     `json:"begun"`   // calls that were decided and about to be made
	Arrived Count     `json:"arrived"` // of those, how many the target can have got: at least those that it answered
	First   time.Time `json:"first,omitzero"`
	Last    time.Time `json:"last,omitzero"`
	Changes []uint64  `json:"under,omitempty"`   // the changes under which
	Caveats []string  `json:"caveats,omitempty"` // why there may be more
}

// CallsTo answers how often a target was called under the changes that a question fits.
func (r *Snapshot) CallsTo(target string, fits func(*Change) bool) (a CallSummary) {
	for i := range r.Entries {
		e := &r.Entries[i]
		for _, c := range e.Calls {
			if c.Target != target || !fits(&e.Change) {
				continue
			}
			a.Begun.add(c.Begun)
			a.Arrived.add(Count{c.Answered.Min, c.Begun.Max - min(c.Begun.Max, c.Unsent.Min)})
			a.Changes = append(a.Changes, e.Seq)
			if a.First.IsZero() || c.First.Before(a.First) {
				a.First = c.First
			}
			if c.Last.After(a.Last) {
				a.Last = c.Last
			}
		}
	}
	a.Caveats = r.Caveats()
	return a
}

// Caveats lists what the record does not have, in words; none: it is whole.
func (r *Snapshot) Caveats() (list []string) {
	if r.Overwritten.Changes > 0 || r.Overwritten.Calls > 0 {
		list = append(list, fmt.Sprintf("%d changes and %d calls, the last at %s, have been overwritten: give the ledger more bytes", r.Overwritten.Changes, r.Overwritten.Calls,
			r.Overwritten.Latest.UTC().Format(time.RFC3339Nano)))
	}
	if r.Overwritten.UnreadSegments > 0 {
		list = append(list, fmt.Sprintf("%d files that were damaged, another forwarder's, or being written anew when the process was killed have made room, unread", r.Overwritten.UnreadSegments))
	}
	if r.Unrecorded.Calls.Max > 0 || r.Unrecorded.Changes.Max > 0 {
		list = append(list, fmt.Sprintf("there was no room for %d calls and %d changes: make room on the disk of NODE_STATE", r.Unrecorded.Calls.Max, r.Unrecorded.Changes.Max))
	}
	for _, d := range r.Damage {
		list = append(list, "damaged: "+d)
	}
	for _, o := range r.Foreign {
		list = append(list, "another forwarder's: "+o)
	}
	return list
}
