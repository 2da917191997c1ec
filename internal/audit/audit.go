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

// MemberData is what one member has said, or why it has not.
type MemberData struct {
	Source          string           `json:"source"` // its door, or its folder
	Name            string           `json:"name"`
	Vector          *version.Vector  `json:"vector,omitempty"` // that it acts under now; nil: its process was not asked
	Fenced          bool             `json:"fenced,omitempty"`
	FencedOffReason string           `json:"shut_out,omitempty"`
	Offset          time.Duration    `json:"offset_ns"` // its clock less the auditor's
	OffsetError     time.Duration    `json:"error_ns"`  // of that, at most
	Ledger          *ledger.Snapshot `json:"-"`
	Err             string           `json:"err,omitempty"` // why nothing is known of it
}

// Report is what the audit has found.
type Report struct {
	Members       []Member    `json:"members"`
	Lists         []Rollout   `json:"lists"`     // by index
	OperatorFiles []Rollout   `json:"operators"` // by digest, in the order in which they were first acted on
	Calls         *CallReport `json:"asked,omitempty"`
	Caveats       []string    `json:"caveats,omitempty"`
}

// Member is how one stands.
type Member struct {
	MemberData
	Verdict     straggler.Verdict  `json:"verdict"`
	Mismatches  []version.Mismatch `json:"lacks,omitempty"`
	Remedy      string             `json:"remedy,omitempty"`
	Changes     int                `json:"changes"` // that its ledger has
	FencedCount int                `json:"slept"`   // times that it was fenced
}

// Rollout is how a version went through the fleet.
type Rollout struct {
	Index   int64          `json:"index,omitempty"`
	Digest  version.Digest `json:"digest"`
	Digests int            `json:"digests"` // contents under this index: more than 1 is a fork
	First   time.Time      `json:"first"`   // by the auditor's clock
	Half    time.Duration  `json:"half_ns,omitempty"`
	P99     time.Duration  `json:"most_ns,omitempty"` // 99 of 100
	All     time.Duration  `json:"all_ns,omitempty"`  // 0: not all have
	Acted   int            `json:"acted"`             // members that acted on it, or on a later one
	Steps   []Step         `json:"steps"`
}

// Step is one member's.
type Step struct {
	Name        string        `json:"name"`
	After       time.Duration `json:"after_ns"` // the first
	Cause       string        `json:"cause"`
	Seq         uint64        `json:"seq"`
	OffsetError time.Duration `json:"error_ns"`
}

// CallQuery is about calls to a target.
type CallQuery struct {
	Target          string
	BelowIndex      int64          // under lists with a lower index; 0: under any
	ExceptOperators version.Digest // under operators' settings other than these; 0: under any
}

// CallReport is its answer.
type CallReport struct {
	Target     string        `json:"target"`
	BelowIndex int64         `json:"older_than,omitempty"`
	Total      ledger.Count  `json:"arrived"`
	Members    []MemberCalls `json:"by"`
}

// MemberCalls is one member's part.
type MemberCalls struct {
	Name string `json:"name"`
	ledger.CallSummary
	LastCorrected time.Time      `json:"last_here"` // by the auditor's clock
	LastVector    version.Vector `json:"acting"`    // the last of the vectors under which it was called
	Cause         string         `json:"cause"`
}

// Merge judges what was gathered. want is what the fleet is to act under; empty: the newest list that anybody has.
func Merge(all []MemberData, want version.Desired, q *CallQuery) *Report {
	r := &Report{}
	all = slices.Clone(all)
	slices.SortFunc(all, func(a, b MemberData) int { return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Source, b.Source)) })
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
		m := Member{MemberData: g, Verdict: straggler.Current}
		if g.Ledger != nil {
			m.Changes = len(g.Ledger.Entries)
			for _, e := range g.Ledger.Entries {
				if e.Cause == ledger.CauseFenced {
					m.FencedCount++
				}
			}
			for _, c := range g.Ledger.Caveats() {
				r.Caveats = append(r.Caveats, g.Name+": "+c)
			}
		}
		switch v := g.Vector; {
		case v == nil && g.Ledger != nil && g.Err == "": // a folder: what its process acts under is not known
			if n := len(g.Ledger.Entries); n > 0 {
				last := g.Ledger.Entries[n-1].Vector
				m.Mismatches = last.Mismatches(want)
			}
			m.Verdict, m.Remedy = straggler.Silent, "its process was not asked: only its folder was read"
		case v == nil:
			m.Verdict, m.Remedy = straggler.Silent, "see whether its process runs and its door answers: "+g.Err
		default:
			m.Mismatches = v.Mismatches(want)
			split := false
			for d, n := range digests[v.List.Index] {
				split = split || d != v.List.Digest && n >= digests[v.List.Index][v.List.Digest]
			}
			switch {
			case len(processes[g.Name]) > 1:
				m.Verdict, m.Remedy = straggler.Duplicate, "end one of the two: each calls targets on its own"
			case split:
				m.Verdict, m.Remedy = straggler.Diverged, straggler.Remedy([]version.Mismatch{version.ListDiverged})
			case g.FencedOffReason != "":
				m.Verdict, m.Remedy = straggler.FencedOff, straggler.Remedy(m.Mismatches)
			case len(m.Mismatches) > 0:
				m.Verdict, m.Remedy = straggler.Stale, straggler.Remedy(m.Mismatches)
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
func (r *Report) rollOuts(all []MemberData) {
	type acted struct {
		step Step
		at   time.Time
	}
	indexes, contents := map[int64]map[version.Digest]bool{}, map[int64]version.Digest{}
	files := map[version.Digest]bool{}
	members := 0
	for _, g := range all {
		if g.Ledger == nil || len(g.Ledger.Entries) == 0 {
			continue
		}
		members++
		for _, e := range g.Ledger.Entries {
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
	follow := func(has func(*ledger.Entry) bool) (o Rollout) {
		var steps []acted
		for _, g := range all {
			if g.Ledger == nil {
				continue
			}
			for i := range g.Ledger.Entries {
				if e := &g.Ledger.Entries[i]; !e.At.IsZero() && has(e) {
					steps = append(steps, acted{Step{Name: g.Name, Cause: e.Cause, Seq: e.Seq, OffsetError: g.OffsetError}, e.At.Add(-g.Offset)})
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
		o.Half, o.P99, o.All = at(0.5), at(0.99), at(1)
		return o
	}
	for index, of := range indexes {
		o := follow(func(e *ledger.Entry) bool { return e.Vector.List.Index >= index })
		o.Index, o.Digest, o.Digests = index, contents[index], len(of)
		r.Lists = append(r.Lists, o)
	}
	slices.SortFunc(r.Lists, func(a, b Rollout) int { return cmp.Compare(a.Index, b.Index) })
	for digest := range files {
		o := follow(func(e *ledger.Entry) bool { return e.Vector.Operators.Digest == digest })
		o.Digest, o.Digests = digest, 1
		r.OperatorFiles = append(r.OperatorFiles, o)
	}
	slices.SortFunc(r.OperatorFiles, func(a, b Rollout) int { return a.First.Compare(b.First) })
}

func (r *Report) ask(all []MemberData, q *CallQuery) {
	a := &CallReport{Target: q.Target, BelowIndex: q.BelowIndex}
	for _, g := range all {
		if g.Ledger == nil {
			continue
		}
		fits := func(c *ledger.Change) bool {
			return (q.BelowIndex == 0 || c.Vector.List.Index < q.BelowIndex) && (q.ExceptOperators == 0 || c.Vector.Operators.Digest != q.ExceptOperators)
		}
		got := g.Ledger.CallsTo(q.Target, fits)
		if got.Begun.Max == 0 && len(got.Caveats) == 0 {
			continue
		}
		by := MemberCalls{Name: g.Name, CallSummary: got}
		if !got.Last.IsZero() {
			by.LastCorrected = got.Last.Add(-g.Offset)
		}
		for i := range g.Ledger.Entries {
			if e := &g.Ledger.Entries[i]; len(got.Changes) > 0 && e.Seq == got.Changes[len(got.Changes)-1] {
				by.LastVector, by.Cause = e.Vector, e.Cause
			}
		}
		a.Total = a.Total.Plus(got.Arrived)
		a.Members = append(a.Members, by)
	}
	slices.SortFunc(a.Members, func(x, y MemberCalls) int { return y.LastCorrected.Compare(x.LastCorrected) })
	r.Calls = a
}

// String is a roll-out in a line.
func (o *Rollout) String() string {
	name := o.Digest.String()
	if o.Index != 0 {
		name = fmt.Sprintf("list %d", o.Index)
	}
	times := ""
	for _, t := range []struct {
		what string
		d    time.Duration
	}{{"half", o.Half}, {"99%", o.P99}, {"all", o.All}} {
		if t.d > 0 {
			times += fmt.Sprintf(", %s after %v", t.what, t.d.Round(time.Millisecond))
		}
	}
	if o.Digests > 1 {
		times += fmt.Sprintf("; FORKED into %d contents", o.Digests)
	}
	return fmt.Sprintf("%s: first at %s, %d acted on it%s", name, o.First.UTC().Format("15:04:05.000"), o.Acted, times)
}
