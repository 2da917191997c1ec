package straggler

import (
	"cmp"
	"slices"
	"time"

	"scaleroute/internal/version"
)

// Verdict is how a member stands, in one word; a higher one is worse.
type Verdict string

// The verdicts.
const (
	Current   Verdict = "current"
	Stale     Verdict = "behind"
	Diverged  Verdict = "diverged" // one index and two contents
	Duplicate Verdict = "doubled"  // two processes say that they are it
	Silent    Verdict = "silent"
	FencedOff Verdict = "shut out"
)

var badness = map[Verdict]int{Current: 0, Stale: 2, FencedOff: 3, Silent: 4, Diverged: 5, Duplicate: 6}

// CompareVerdicts compares two verdicts.
func CompareVerdicts(a, b Verdict) int { return cmp.Compare(badness[a], badness[b]) }

// View is what is known of one member.
type View struct {
	Name         string             `json:"name"`
	Zone         string             `json:"zone,omitempty"`
	Verdict      Verdict            `json:"verdict"`
	Mismatches   []version.Mismatch `json:"lacks,omitempty"`
	StaleFor     time.Duration      `json:"since_ns,omitempty"` // how long it has lacked that, as this member saw it
	ReportAge    time.Duration      `json:"age_ns"`             // of its news
	ClockSkew    time.Duration      `json:"skew_ns"`            // its clock less this member's, when its news came
	Reason       string             `json:"why,omitempty"`      // it is out
	Remedy       string             `json:"remedy,omitempty"`
	AdminAddress string             `json:"door,omitempty"`
	Vector       version.Vector     `json:"vector"`
}

// note keeps since when others lack something.
func (j *Evaluator) note(now time.Duration) {
	if j.judged {
		return
	}
	j.judged = true
	for _, m := range j.members {
		j.lackOf(now, m)
	}
}

func (j *Evaluator) lackOf(now time.Duration, m *member) {
	lacks := j.want != nil && len(m.Vector.Mismatches(j.want.Version)) > 0 || j.want == nil && m.Vector.List.Index < j.own.Vector.List.Index
	if lacks && !m.lacks {
		m.since = now
	}
	m.lacks = lacks
}

// Fleet says how every member stands, this one included.
func (j *Evaluator) Fleet(now time.Duration) (list []View) {
	digests := map[int64]map[version.Digest]int{} // of each list's index: how many have it with which contents
	count := func(v *version.Vector) {
		index := v.List.Index
		if digests[index] == nil {
			digests[index] = map[version.Digest]int{}
		}
		digests[index][v.List.Digest]++
	}
	count(&j.own.Vector)
	for _, m := range j.members {
		count(&m.Vector)
	}
	split := func(v *version.Vector) bool { // the fewer are named; of as many, all
		of := digests[v.List.Index]
		for d, n := range of {
			if d != v.List.Digest && n >= of[v.List.Digest] {
				return true
			}
		}
		return false
	}
	newest := j.own.Vector.List.Index
	for _, m := range j.members {
		if now-m.heard <= j.set.ReportTTL {
			newest = max(newest, m.Vector.List.Index)
		}
	}
	judge := func(v *View, n *Report, double bool) {
		if j.want != nil {
			v.Mismatches = n.Vector.Mismatches(j.want.Version)
		} else if n.Vector.List.Index < newest {
			v.Mismatches = []version.Mismatch{version.ListOutdated}
		}
		switch {
		case double:
			v.Verdict, v.Remedy = Duplicate, "end one of the two: each calls targets on its own"
		case split(&n.Vector):
			v.Verdict, v.Remedy = Diverged, Remedy([]version.Mismatch{version.ListDiverged})
		case v.ReportAge > j.set.ReportTTL:
			v.Verdict, v.Remedy = Silent, "see whether its process runs and its network reaches others"
		case n.State >= OutOfRotation:
			v.Verdict, v.Reason, v.Remedy = FencedOff, n.Reason, Remedy(v.Mismatches)
		case len(v.Mismatches) > 0 && v.StaleFor > j.set.ReportTTL: // else its news may still be on their way
			v.Verdict, v.Remedy = Stale, Remedy(v.Mismatches)
		default:
			v.Verdict = Current
		}
	}
	own := View{Name: j.set.Name, Zone: j.set.Zone, Vector: j.own.Vector, AdminAddress: j.own.AdminAddress}
	if since := j.since; since > 0 {
		own.StaleFor = now - since
	} else if j.want == nil && j.older > 0 {
		own.StaleFor = now - j.older
	}
	judge(&own, &j.own, j.doubled(now, j.set.Name))
	list = append(list, own)
	for name, m := range j.members {
		v := View{Name: name, Zone: m.Zone, Vector: m.Vector, ReportAge: now - m.heard, ClockSkew: m.skew, AdminAddress: m.AdminAddress}
		if m.lacks {
			v.StaleFor = now - m.since
		}
		judge(&v, &m.Report, j.doubled(now, name))
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b View) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// Withdrawn lists the targets that drain or are gone by a newer list than this member's: it hears only what makes it more careful. That a member has fallen silent does not
// put them back: what it told holds until this member's own list has come that far, or nothing is kept of the other any more.
func (j *Evaluator) Withdrawn() (names []string) {
	for _, m := range j.members {
		for _, d := range m.Drains {
			if d.Index > j.own.Vector.List.Index && d.Index <= m.Vector.List.Index && len(d.Target) <= mostText {
				names = append(names, d.Target)
			}
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
