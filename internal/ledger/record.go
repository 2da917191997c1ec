package ledger

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"scaleroute/internal/version"
)

// Snapshot holds the contents of a ledger, which may still be in use by its forwarder.
type Snapshot struct {
	Entries     []Entry     `json:"entries"`          // by sequence number; missing numbers were not recorded or have been overwritten
	Overwritten Overwritten `json:"dropped"`          // changes and calls that have been overwritten
	Unrecorded  Unrecorded  `json:"missed"`           // changes and calls that there was no room for
	Damage      []string    `json:"damage,omitempty"` // descriptions of unreadable data
	Foreign     []string    `json:"others,omitempty"` // files that another forwarder wrote
}

// Entry is a change and the calls that were started under it.
type Entry struct {
	Change
	Calls []CallCounts `json:"calls,omitempty"`
}

// CallCounts counts the calls to one endpoint under one change.
type CallCounts struct {
	Target    string    `json:"target"`
	First     time.Time `json:"first"`
	Last      time.Time `json:"last"`
	Begun     Count     `json:"begun"` // counted just before they were started
	Completed Count     `json:"over"`
	Unsent    Count     `json:"unsent"`   // never sent in full, so not executed
	Answered  Count     `json:"answered"` // by the endpoint
}

// Count is a number of calls or changes. Min and Max are equal unless a kill interrupted an update, which leaves a difference of one.
type Count struct {
	Min uint64 `json:"least"`
	Max uint64 `json:"most"`
}

// Plus returns the sum of two counts.
func (c Count) Plus(o Count) Count { return Count{c.Min + o.Min, c.Max + o.Max} }

func (c *Count) add(o Count) { c.Min, c.Max = c.Min+o.Min, c.Max+o.Max }

// Overwritten counts the changes and calls whose records have been overwritten.
type Overwritten struct {
	Changes        uint64    `json:"changes"`
	Calls          uint64    `json:"calls"`
	Latest         time.Time `json:"until,omitzero"`   // time of the newest of these calls
	UnreadSegments int       `json:"unread,omitempty"` // segments that were removed unread since they were damaged or another forwarder's
}

// Unrecorded counts the calls and changes that there was no room to record.
type Unrecorded struct {
	Calls   Count `json:"calls"`
	Changes Count `json:"changes"`
}

// Read reads the ledger of the named forwarder in a folder. If the name is empty it reads the ledger that the newest readable segment belongs to.
func Read(files FS, name string) (*Snapshot, error) {
	names, err := files.List()
	if err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	r := &Snapshot{}
	own := version.DigestOf([]byte(name))
	entries := map[uint64]*Entry{}
	slices.Sort(names)
	slices.Reverse(names) // newest first: its header counts what was lost before it
	newest, partial := true, 0
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
		h, ok := parseHeader(text, seq)
		if !ok && partlyInitialized(text, seq) {
			partial++
			continue
		}
		if !ok {
			r.Damage = append(r.Damage, n+": its header fails its checksum or has another format: read it with the version that wrote it")
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
			r.Overwritten = Overwritten{Changes: h.overwritten.changes, Calls: h.overwritten.calls, UnreadSegments: int(h.overwritten.unreadSegments)}
			if h.overwritten.latest > 0 {
				r.Overwritten.Latest = time.Unix(0, h.overwritten.latest)
			}
			calls, changes := readCount(text[offUnrecordedCalls:]), readCount(text[offUnrecordedChanges:])
			r.Unrecorded = Unrecorded{Count{h.unrecorded.calls + calls.min, h.unrecorded.calls + calls.max}, Count{h.unrecorded.changes + changes.min, h.unrecorded.changes + changes.max}}
		}
		if _, damage := scan(text, func(rec record) { r.addRecord(rec, entries, n) }); damage != "" {
			r.Damage = append(r.Damage, n+": "+damage)
		}
	}
	r.Overwritten.UnreadSegments += partial
	for _, e := range entries {
		slices.SortFunc(e.Calls, func(a, b CallCounts) int { return cmp.Compare(a.Target, b.Target) })
		r.Entries = append(r.Entries, *e)
	}
	slices.SortFunc(r.Entries, func(a, b Entry) int { return cmp.Compare(a.Seq, b.Seq) })
	return r, nil
}

// readFile reads a segment file whole.
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

// addRecord adds one record of a segment file. The counts of one endpoint under one change may be spread over several segments and are added up.
func (r *Snapshot) addRecord(rec record, entries map[uint64]*Entry, file string) {
	switch rec.kind {
	case kindChange:
		e := Entry{}
		if err := json.Unmarshal(rec.payload, &e.Change); err != nil {
			r.Damage = append(r.Damage, fmt.Sprintf("%s: change can't be decoded: %v", file, err))
			return
		}
		if existing := entries[e.Seq]; existing != nil { // another segment holds the change too
			existing.Change = e.Change
			return
		}
		entries[e.Seq] = &e
	case kindCounter:
		e := entries[rec.seq]
		if e == nil { // the change itself was in a segment that is gone or damaged
			e = &Entry{Change: Change{Seq: rec.seq}}
			entries[rec.seq] = e
		}
		c := CallCounts{Target: string(rec.target), First: time.Unix(0, rec.first), Last: readTime(rec.counters[indexLast*16:])}
		for i, to := range map[int]*Count{indexBegun: &c.Begun, indexCompleted: &c.Completed, indexUnsent: &c.Unsent, indexAnswered: &c.Answered} {
			b := readCount(rec.counters[i*16:])
			if *to = (Count{b.min, b.max}); b.damaged {
				r.Damage = append(r.Damage, fmt.Sprintf("%s: damaged count of %s under change %d", file, c.Target, rec.seq))
			}
		}
		if c.Last.IsZero() {
			c.Last = c.First
		}
		for i := range e.Calls {
			if existing := &e.Calls[i]; existing.Target == c.Target { // counted in another segment too
				existing.Begun.add(c.Begun)
				existing.Completed.add(c.Completed)
				existing.Unsent.add(c.Unsent)
				existing.Answered.add(c.Answered)
				if c.First.Before(existing.First) {
					existing.First = c.First
				}
				if c.Last.After(existing.Last) {
					existing.Last = c.Last
				}
				return
			}
		}
		e.Calls = append(e.Calls, c)
	}
}

// CallSummary answers how often an endpoint was called.
type CallSummary struct {
	Begun   Count     `json:"begun"`   // calls counted just before they were started
	Arrived Count     `json:"arrived"` // calls that can have reached the endpoint: at least the answered ones, at most those not known to be unsent
	First   time.Time `json:"first,omitzero"`
	Last    time.Time `json:"last,omitzero"`
	Changes []uint64  `json:"under,omitempty"`   // sequence numbers of the changes under which it was called
	Caveats []string  `json:"caveats,omitempty"` // why there may have been more calls
}

// CallsTo returns how often an endpoint was called under the changes for which matches returns true.
func (r *Snapshot) CallsTo(target string, matches func(*Change) bool) (a CallSummary) {
	for i := range r.Entries {
		e := &r.Entries[i]
		for _, c := range e.Calls {
			if c.Target != target || !matches(&e.Change) {
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

// Caveats describes what the snapshot lacks. A complete snapshot has no caveats.
func (r *Snapshot) Caveats() (list []string) {
	if r.Overwritten.Changes > 0 || r.Overwritten.Calls > 0 {
		list = append(list, fmt.Sprintf("%d changes and %d calls, the last at %s, have been overwritten: increase the ledger's size", r.Overwritten.Changes, r.Overwritten.Calls,
			r.Overwritten.Latest.UTC().Format(time.RFC3339Nano)))
	}
	if r.Overwritten.UnreadSegments > 0 {
		list = append(list, fmt.Sprintf("%d files have been lost unread: each was damaged, was another forwarder's, or was being reinitialized when the process was killed", r.Overwritten.UnreadSegments))
	}
	if r.Unrecorded.Calls.Max > 0 || r.Unrecorded.Changes.Max > 0 {
		list = append(list, fmt.Sprintf("the disk was too full to record %d calls and %d changes: free space on the disk of NODE_STATE", r.Unrecorded.Calls.Max, r.Unrecorded.Changes.Max))
	}
	for _, d := range r.Damage {
		list = append(list, "damaged: "+d)
	}
	for _, o := range r.Foreign {
		list = append(list, "written by another forwarder: "+o)
	}
	return list
}
