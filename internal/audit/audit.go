// Package audit says of a fleet who acted on which version, out of its members' ledgers. It merges them by cause, the list's index and the operators' digest, and not by
// clocks, which it only estimates. audit.go judges what gather.go has gathered.
package audit

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"scaleroute/internal/ledger"
	"scaleroute/internal/straggler"
	"scaleroute/internal/version"
)

// Gathered is what one member has said, or why it has not.
type Gathered struct {
	Source  string           `json:"source"` // its door, or its folder
	Name    string           `json:"name"`
	Vector  *version.Vector  `json:"vector,omitempty"` // that it acts under now; nil: its process was not asked
	Fenced  bool             `json:"fenced,omitempty"`
	ShutOut string           `json:"shut_out,omitempty"`
	Offset  time.Duration    `json:"offset_ns"` // its clock less the auditor's
	Error   time.Duration    `json:"error_ns"`  // of that, at most
	Record  *ledger.Snapshot `json:"-"`
	Err     string           `json:"err,omitempty"` // why nothing is known of it
}

// Report is what the audit has found.
type Report struct {
	Members []Member  `json:"members"`
	Lists   []RollOut `json:"lists"`     // by index
	Files   []RollOut `json:"operators"` // by digest, in the order in which they were first acted on
	Asked   *Asked    `json:"asked,omitempty"`
	Caveats []string  `json:"caveats,omitempty"`
}

// Member is how one stands.
type Member struct {
	Gathered
	Verdict straggler.Verdict  `json:"verdict"`
	Lacks   []version.Mismatch `json:"lacks,omitempty"`
	Remedy  string             `json:"remedy,omitempty"`
	Changes int                `json:"changes"` // that its ledger has
	Slept   int                `json:"slept"`   // times that it was fenced
}

// RollOut is how a version went through the fleet.
type RollOut struct {
	Index   int64          `json:"index,omitempty"`
	Digest  version.Digest `json:"digest"`
	Digests int            `json:"digests"` // contents under this index: more than 1 is a fork
	First   time.Time      `json:"first"`   // by the auditor's clock
	Half    time.Duration  `json:"half_ns,omitempty"`
	Most    time.Duration  `json:"most_ns,omitempty"` // 99 of 100
	All     time.Duration  `json:"all_ns,omitempty"`  // 0: not all have
	Acted   int            `json:"acted"`             // members that acted on it, or on a later one
	Steps   []Step         `json:"steps"`
}

// Step is one member's.
type Step struct {
	Name  string        `json:"name"`
	After time.Duration `json:"after_ns"` // the first
	Cause string        `json:"cause"`
	Seq   uint64        `json:"seq"`
	Error time.Duration `json:"error_ns"`
}

// Question is about calls to a target.
type Question struct {
	Target string
	Older  int64          // under lists with a lower index; 0: under any
	Not    version.Digest // under operators' settings other than these; 0: under any
}

// Asked is its answer.
type Asked struct {
	Target string       `json:"target"`
	Older  int64        `json:"older_than,omitempty"`
	Total  ledger.Count `json:"arrived"`
	By     []By         `json:"by"`
}

// By is one member's part.
type By struct {
	Name string `json:"name"`
	ledger.CallSummary
	LastHere time.Time      `json:"last_here"` // by the auditor's clock
	Acting   version.Vector `json:"acting"`    // the last of the vectors under which it was called
	Cause    string         `json:"cause"`
}

// Merge judges what was gathered. want is what the fleet is to act under; empty: the newest list that anybody has.
func Merge(all []Gathered, want version.Desired, q *Question) *Report {
	r := &Report{}
	all = slices.Clone(all)
	slices.SortFunc(all, func(a, b Gathered) int { return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Source, b.Source)) })
	if want.Empty() {
		for _, g := range all {
			if g.Vector != nil {
				want.Index = max(want.Index, g.Vector.List.Index)
			}
		}
	}
	digests := map[int64]map[version.Digest]int{}
	processes := map[string]map[time.Time]bool{}
	for _, g := range all {
		if g.Vector == nil {
			continue
		}
		l := g.Vector.List
		if digests[l.Index] == nil {
			digests[l.Index] = map[version.Digest]int{}
		}
		digests[l.Index][l.Digest]++
		if processes[g.Name] == nil {
			processes[g.Name] = map[time.Time]bool{}
		}
		processes[g.Name][g.Vector.Started] = true
	}
	for _, g := range all {
		m := Member{Gathered: g, Verdict: straggler.Current}
		if g.Record != nil {
			m.Changes = len(g.Record.Entries)
			for _, e := range g.Record.Entries {
				if e.Cause == ledger.CauseFenced {
					m.Slept++
				}
			}
			for _, c := range g.Record.Caveats() {
				r.Caveats = append(r.Caveats, g.Name+": "+c)
			}
		}
		switch v := g.Vector; {
		case v == nil && g.Record != nil && g.Err == "": // a folder: what its process acts under is not known
			if n := len(g.Record.Entries); n > 0 {
				last := g.Record.Entries[n-1].Vector
				m.Lacks = last.Mismatches(want)
			}
			m.Verdict, m.Remedy = straggler.Silent, "its process was not asked: only its folder was read"
		case v == nil:
			m.Verdict, m.Remedy = straggler.Silent, "see whether its process runs and its door answers: "+g.Err
		default:
			m.Lacks = v.Mismatches(want)
			split := false
			for d, n := range digests[v.List.Index] {
				split = split || d != v.List.Digest && n >= digests[v.List.Index][v.List.Digest]
			}
			switch {
			case len(processes[g.Name]) > 1:
				m.Verdict, m.Remedy = straggler.Duplicate, "end one of the two: each calls targets on its own"
			case split:
				m.Verdict, m.Remedy = straggler.Diverged, straggler.Remedy([]version.Mismatch{version.ListDiverged})
			case g.ShutOut != "":
				m.Verdict, m.Remedy = straggler.FencedOff, straggler.Remedy(m.Lacks)
			case len(m.Lacks) > 0:
				m.Verdict, m.Remedy = straggler.Stale, straggler.Remedy(m.Lacks)
			}
		}
		r.Members = append(r.Members, m)
	}
	r.rollOuts(all)
	if q != nil {
		r.ask(all, q)
	}
	return r
}

// Worst is the worst verdict.
func (r *Report) Worst() straggler.Verdict {
	worst := straggler.Current
	for _, m := range r.Members {
		if straggler.CompareVerdicts(m.Verdict, worst) > 0 {
			worst = m.Verdict
		}
	}
	return worst
}

// rollOuts follows each list and each operators' file through the fleet. A member has acted on an index once it acts on that or a later one.
func (r *Report) rollOuts(all []Gathered) {
	type acted struct {
		step Step
		at   time.Time
	}
	indexes, contents := map[int64]map[version.Digest]bool{}, map[int64]version.Digest{}
	files := map[version.Digest]bool{}
	members := 0
	for _, g := range all {
		if g.Record == nil || len(g.Record.Entries) == 0 {
			continue
		}
		members++
		for _, e := range g.Record.Entries {
			if e.At.IsZero() { // its change was overwritten
				continue
			}
			l := e.Vector.List
			if indexes[l.Index] == nil {
				indexes[l.Index] = map[version.Digest]bool{}
			}
			indexes[l.Index][l.Digest], contents[l.Index] = true, l.Digest
			if e.Vector.Operators.Digest != 0 {
				files[e.Vector.Operators.Digest] = true
			}
		}
	}
	follow := func(has func(*ledger.Entry) bool) (o RollOut) {
		var steps []acted
		for _, g := range all {
			if g.Record == nil {
				continue
			}
			for i := range g.Record.Entries {
				if e := &g.Record.Entries[i]; !e.At.IsZero() && has(e) {
					steps = append(steps, acted{Step{Name: g.Name, Cause: e.Cause, Seq: e.Seq, Error: g.Error}, e.At.Add(-g.Offset)})
					break
				}
			}
		}
		slices.SortFunc(steps, func(a, b acted) int { return a.at.Compare(b.at) })
		if o.Acted = len(steps); o.Acted == 0 {
			return o
		}
		o.First = steps[0].at
		for i := range steps {
			steps[i].step.After = steps[i].at.Sub(o.First)
			o.Steps = append(o.Steps, steps[i].step)
		}
		at := func(share float64) time.Duration {
			if n := int(share*float64(members) + 0.999999); n >= 1 && n <= len(steps) {
				return max(1, o.Steps[n-1].After)
			}
			return 0
		}
		o.Half, o.Most, o.All = at(0.5), at(0.99), at(1)
		return o
	}
	for index, of := range indexes {
		o := follow(func(e *ledger.Entry) bool { return e.Vector.List.Index >= index })
		o.Index, o.Digest, o.Digests = index, contents[index], len(of)
		r.Lists = append(r.Lists, o)
	}
	slices.SortFunc(r.Lists, func(a, b RollOut) int { return cmp.Compare(a.Index, b.Index) })
	for digest := range files {
		o := follow(func(e *ledger.Entry) bool { return e.Vector.Operators.Digest == digest })
		o.Digest, o.Digests = digest, 1
		r.Files = append(r.Files, o)
	}
	slices.SortFunc(r.Files, func(a, b RollOut) int { return a.First.Compare(b.First) })
}

func (r *Report) ask(all []Gathered, q *Question) {
	a := &Asked{Target: q.Target, Older: q.Older}
	for _, g := range all {
		if g.Record == nil {
			continue
		}
		fits := func(c *ledger.Change) bool {
			return (q.Older == 0 || c.Vector.List.Index < q.Older) && (q.Not == 0 || c.Vector.Operators.Digest != q.Not)
		}
		got := g.Record.CallsTo(q.Target, fits)
		if got.Begun.Max == 0 && len(got.Caveats) == 0 {
			continue
		}
		by := By{Name: g.Name, CallSummary: got}
		if !got.Last.IsZero() {
			by.LastHere = got.Last.Add(-g.Offset)
		}
		for i := range g.Record.Entries {
			if e := &g.Record.Entries[i]; len(got.Changes) > 0 && e.Seq == got.Changes[len(got.Changes)-1] {
				by.Acting, by.Cause = e.Vector, e.Cause
			}
		}
		a.Total = a.Total.Plus(got.Arrived)
		a.By = append(a.By, by)
	}
	slices.SortFunc(a.By, func(x, y By) int { return y.LastHere.Compare(x.LastHere) })
	r.Asked = a
}

// String is a roll-out in a line.
func (o *RollOut) String() string {
	name := o.Digest.String()
	if o.Index != 0 {
		name = fmt.Sprintf("list %d", o.Index)
	}
	times := ""
	for _, t := range []struct {
		what string
		d    time.Duration
	}{{"half", o.Half}, {"99%", o.Most}, {"all", o.All}} {
		if t.d > 0 {
			times += fmt.Sprintf(", %s after %v", t.what, t.d.Round(time.Millisecond))
		}
	}
	if o.Digests > 1 {
		times += fmt.Sprintf("; FORKED into %d contents", o.Digests)
	}
	return fmt.Sprintf("%s: first at %s, %d acted on it%s", name, o.First.UTC().Format("15:04:05.000"), o.Acted, times)
}
