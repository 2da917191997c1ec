// Package audit reports which members of a fleet acted on which version, from their audit logs (package ledger). It orders the logs by the index of the
// endpoint list and the digest of the operators' settings, not by clocks, whose offsets it can only estimate. collect.go collects the members' data and
// audit.go evaluates it.
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

// MemberData holds the data collected from one member, or the error that prevented it.
type MemberData struct {
	Source          string           `json:"source"` // address of its admin API, or its folder
	Name            string           `json:"name"`
	Vector          *version.Vector  `json:"vector,omitempty"` // its current version vector; nil if its process was not queried
	Fenced          bool             `json:"fenced,omitempty"`
	FencedOffReason string           `json:"shut_out,omitempty"`
	Offset          time.Duration    `json:"offset_ns"` // its clock minus the auditor's
	OffsetError     time.Duration    `json:"error_ns"`  // largest possible error of Offset
	Ledger          *ledger.Snapshot `json:"-"`
	Err             string           `json:"err,omitempty"` // why its data is missing
}

// Report holds the findings of an audit.
type Report struct {
	Members       []Member    `json:"members"`
	Lists         []Rollout   `json:"lists"`     // ordered by index
	OperatorFiles []Rollout   `json:"operators"` // one for each digest, ordered by the time of first use
	Calls         *CallReport `json:"asked,omitempty"`
	Caveats       []string    `json:"caveats,omitempty"`
}

// Member holds a member's data and its evaluation.
type Member struct {
	MemberData
	Verdict     straggler.Verdict  `json:"verdict"`
	Mismatches  []version.Mismatch `json:"lacks,omitempty"`
	Remedy      string             `json:"remedy,omitempty"`
	Changes     int                `json:"changes"` // in its ledger
	FencedCount int                `json:"slept"`   // number of times that it was fenced
}

// Rollout describes how a version spread through the fleet.
type Rollout struct {
	Index   int64          `json:"index,omitempty"`
	Digest  version.Digest `json:"digest"`
	Digests int            `json:"digests"` // number of different contents under this index; more than 1 is a fork
	First   time.Time      `json:"first"`   // by the auditor's clock
	Half    time.Duration  `json:"half_ns,omitempty"`
	P99     time.Duration  `json:"most_ns,omitempty"` // until 99% of the members acted on it
	All     time.Duration  `json:"all_ns,omitempty"`  // 0 if not all members have acted on it
	Acted   int            `json:"acted"`             // members that acted on this list or a later one
	Steps   []Step         `json:"steps"`
}

// Step is one member's first use of a version.
type Step struct {
	Name        string        `json:"name"`
	After       time.Duration `json:"after_ns"` // time since the fleet's first use
	Cause       string        `json:"cause"`
	Seq         uint64        `json:"seq"`
	OffsetError time.Duration `json:"error_ns"`
}

// CallQuery selects the calls to one endpoint.
type CallQuery struct {
	Target          string
	BelowIndex      int64          // only calls under lists with a lower index; 0 for any list
	ExceptOperators version.Digest // only calls under operators' settings with another digest; 0 for any settings
}

// CallReport is the answer to a CallQuery.
type CallReport struct {
	Target     string        `json:"target"`
	BelowIndex int64         `json:"older_than,omitempty"`
	Total      ledger.Count  `json:"arrived"`
	Members    []MemberCalls `json:"by"`
}

// MemberCalls holds one member's calls in a CallReport.
type MemberCalls struct {
	Name string `json:"name"`
	ledger.CallSummary
	LastCorrected time.Time      `json:"last_here"` // time of the last call by the auditor's clock
	LastVector    version.Vector `json:"acting"`    // newest vector under which the member called the endpoint
	Cause         string         `json:"cause"`
}

// Merge evaluates the data of all members against the desired version, and answers the query if q is not nil. If desired is empty, the newest list that
// any member reports is the desired one.
func Merge(all []MemberData, desired version.Desired, q *CallQuery) *Report {
	r := &Report{}
	all = slices.Clone(all)
	slices.SortFunc(all, func(a, b MemberData) int { return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Source, b.Source)) })
	if desired.Empty() {
		for _, g := range all {
			if g.Vector != nil {
				desired.Index = max(desired.Index, g.Vector.List.Index)
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
		case v == nil && g.Ledger != nil && g.Err == "": // read from a folder: the process's current vector is unknown
			if n := len(g.Ledger.Entries); n > 0 {
				last := g.Ledger.Entries[n-1].Vector
				m.Mismatches = last.Mismatches(desired)
			}
			m.Verdict, m.Remedy = straggler.Silent, "its process was not queried: only its folder was read"
		case v == nil:
			m.Verdict, m.Remedy = straggler.Silent, "check that its process runs and its admin API answers: "+g.Err
		default:
			m.Mismatches = v.Mismatches(desired)
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
	r.addRollouts(all)
	if q != nil {
		r.addCalls(all, q)
	}
	return r
}

// Worst returns the worst verdict of all members.
func (r *Report) Worst() straggler.Verdict {
	worst := straggler.Current
	for _, m := range r.Members {
		if straggler.CompareVerdicts(m.Verdict, worst) > 0 {
			worst = m.Verdict
		}
	}
	return worst
}

// addRollouts adds the rollout of each endpoint list and of each version of the operators' settings. A member has acted on a list once it acts on that
// list or a later one.
func (r *Report) addRollouts(all []MemberData) {
	type firstUse struct {
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
			if e.At.IsZero() { // the change itself was overwritten
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
	rolloutOf := func(matches func(*ledger.Entry) bool) (o Rollout) {
		var steps []firstUse
		for _, g := range all {
			if g.Ledger == nil {
				continue
			}
			for i := range g.Ledger.Entries {
				if e := &g.Ledger.Entries[i]; !e.At.IsZero() && matches(e) {
					steps = append(steps, firstUse{Step{Name: g.Name, Cause: e.Cause, Seq: e.Seq, OffsetError: g.OffsetError}, e.At.Add(-g.Offset)})
					break
				}
			}
		}
		slices.SortFunc(steps, func(a, b firstUse) int { return a.at.Compare(b.at) })
		if o.Acted = len(steps); o.Acted == 0 {
			return o
		}
		o.First = steps[0].at
		for i := range steps {
			steps[i].step.After = steps[i].at.Sub(o.First)
			o.Steps = append(o.Steps, steps[i].step)
		}
		timeUntil := func(fraction float64) time.Duration {
			if n := int(fraction*float64(members) + 0.999999); n >= 1 && n <= len(steps) {
				return max(1, o.Steps[n-1].After)
			}
			return 0
		}
		o.Half, o.P99, o.All = timeUntil(0.5), timeUntil(0.99), timeUntil(1)
		return o
	}
	for index, contentDigests := range indexes {
		o := rolloutOf(func(e *ledger.Entry) bool { return e.Vector.List.Index >= index })
		o.Index, o.Digest, o.Digests = index, contents[index], len(contentDigests)
		r.Lists = append(r.Lists, o)
	}
	slices.SortFunc(r.Lists, func(a, b Rollout) int { return cmp.Compare(a.Index, b.Index) })
	for digest := range files {
		o := rolloutOf(func(e *ledger.Entry) bool { return e.Vector.Operators.Digest == digest })
		o.Digest, o.Digests = digest, 1
		r.OperatorFiles = append(r.OperatorFiles, o)
	}
	slices.SortFunc(r.OperatorFiles, func(a, b Rollout) int { return a.First.Compare(b.First) })
}

// addCalls answers the query from all members' ledgers, the most recent caller first.
func (r *Report) addCalls(all []MemberData, q *CallQuery) {
	a := &CallReport{Target: q.Target, BelowIndex: q.BelowIndex}
	for _, g := range all {
		if g.Ledger == nil {
			continue
		}
		matches := func(c *ledger.Change) bool {
			return (q.BelowIndex == 0 || c.Vector.List.Index < q.BelowIndex) && (q.ExceptOperators == 0 || c.Vector.Operators.Digest != q.ExceptOperators)
		}
		got := g.Ledger.CallsTo(q.Target, matches)
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

// String describes a rollout in one line.
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
		times += fmt.Sprintf("; FORKED: %d different contents", o.Digests)
	}
	return fmt.Sprintf("%s: first at %s, %d acted on it%s", name, o.First.UTC().Format("15:04:05.000"), o.Acted, times)
}
