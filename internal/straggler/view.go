package straggler

import (
	"cmp"
	"slices"
	"time"

	"scaleroute/internal/version"
)

// Verdict is the status of a member in one word. CompareVerdicts orders verdicts by severity.
type Verdict string

// The verdicts.
const (
	Current   Verdict = "current"
	Stale     Verdict = "behind"
	Diverged  Verdict = "diverged" // its list has the same index as other members' lists, and different contents
	Duplicate Verdict = "doubled"  // two running processes claim the member's name
	Silent    Verdict = "silent"   // no fresh report
	FencedOff Verdict = "shut out" // out of rotation
)

var severity = map[Verdict]int{Current: 0, Stale: 2, FencedOff: 3, Silent: 4, Diverged: 5, Duplicate: 6}

// CompareVerdicts compares the severity of two verdicts: the result is positive if a is worse.
func CompareVerdicts(a, b Verdict) int { return cmp.Compare(severity[a], severity[b]) }

// View is the status of one member as this member knows it.
type View struct {
	Name         string             `json:"name"`
	Zone         string             `json:"zone,omitempty"`
	Verdict      Verdict            `json:"verdict"`
	Mismatches   []version.Mismatch `json:"lacks,omitempty"`
	StaleFor     time.Duration      `json:"since_ns,omitempty"` // how long the member has been out of date in this member's view
	ReportAge    time.Duration      `json:"age_ns"`             // since the last sign of life
	ClockSkew    time.Duration      `json:"skew_ns"`            // the member's clock minus this member's clock, as of its latest report
	Reason       string             `json:"why,omitempty"`      // why the member is out of rotation
	Remedy       string             `json:"remedy,omitempty"`
	AdminAddress string             `json:"door,omitempty"`
	Vector       version.Vector     `json:"vector"`
}

// updateAllStaleness recomputes the staleness of all other members if the desired version or this member's vector has changed.
func (e *Evaluator) updateAllStaleness(now time.Duration) {
	if e.stalenessValid {
		return
	}
	e.stalenessValid = true
	for _, m := range e.members {
		e.updateStaleness(now, m)
	}
}

// updateStaleness records whether a member is out of date and since when. Without a desired version, a member with an older list than this member's counts as out of
// date.
func (e *Evaluator) updateStaleness(now time.Duration, m *member) {
	stale := e.desired != nil && len(m.Vector.Mismatches(e.desired.Version)) > 0 || e.desired == nil && m.Vector.List.Index < e.own.Vector.List.Index
	if stale && !m.stale {
		m.staleSince = now
	}
	m.stale = stale
}

// Fleet returns the status of every member, including this one, sorted by name.
func (e *Evaluator) Fleet(now time.Duration) (views []View) {
	digests := map[int64]map[version.Digest]int{} // by list index: how many members have a list with which contents
	count := func(v *version.Vector) {
		index := v.List.Index
		if digests[index] == nil {
			digests[index] = map[version.Digest]int{}
		}
		digests[index][v.List.Digest]++
	}
	count(&e.own.Vector)
	for _, m := range e.members {
		count(&m.Vector)
	}
	diverged := func(v *version.Vector) bool { // true for the members in the minority; in a tie for all of them
		of := digests[v.List.Index]
		for d, report := range of {
			if d != v.List.Digest && report >= of[v.List.Digest] {
				return true
			}
		}
		return false
	}
	newest := e.own.Vector.List.Index
	for _, m := range e.members {
		if now-m.lastSeen <= e.config.ReportTTL {
			newest = max(newest, m.Vector.List.Index)
		}
	}
	setVerdict := func(v *View, n *Report, duplicate bool) {
		if e.desired != nil {
			v.Mismatches = n.Vector.Mismatches(e.desired.Version)
		} else if n.Vector.List.Index < newest {
			v.Mismatches = []version.Mismatch{version.ListOutdated}
		}
		switch {
		case duplicate:
			v.Verdict, v.Remedy = Duplicate, "end one of the two: each calls targets on its own"
		case diverged(&n.Vector):
			v.Verdict, v.Remedy = Diverged, Remedy([]version.Mismatch{version.ListDiverged})
		case v.ReportAge > e.config.ReportTTL:
			v.Verdict, v.Remedy = Silent, "see whether its process runs and its network reaches others"
		case n.State >= OutOfRotation:
			v.Verdict, v.Reason, v.Remedy = FencedOff, n.Reason, Remedy(v.Mismatches)
		case len(v.Mismatches) > 0 && v.StaleFor > e.config.ReportTTL: // otherwise its newer report may still be in transit
			v.Verdict, v.Remedy = Stale, Remedy(v.Mismatches)
		default:
			v.Verdict = Current
		}
	}
	own := View{Name: e.config.Name, Zone: e.config.Zone, Vector: e.own.Vector, AdminAddress: e.own.AdminAddress}
	if since := e.staleSince; since > 0 {
		own.StaleFor = now - since
	} else if e.desired == nil && e.newerListSince > 0 {
		own.StaleFor = now - e.newerListSince
	}
	setVerdict(&own, &e.own, e.hasDuplicate(now, e.config.Name))
	views = append(views, own)
	for name, m := range e.members {
		v := View{Name: name, Zone: m.Zone, Vector: m.Vector, ReportAge: now - m.lastSeen, ClockSkew: m.clockSkew, AdminAddress: m.AdminAddress}
		if m.stale {
			v.StaleFor = now - m.staleSince
		}
		setVerdict(&v, &m.Report, e.hasDuplicate(now, name))
		views = append(views, v)
	}
	slices.SortFunc(views, func(a, b View) int { return cmp.Compare(a.Name, b.Name) })
	return views
}

// Withdrawn returns the endpoints that are draining or gone according to a list newer than this member's. Other members' reports can only withdraw endpoints, never add
// them. A withdrawal remains in force when the reporting member falls silent: it ends when this member's own list reaches that index, or when the reporting member is
// forgotten.
func (e *Evaluator) Withdrawn() (names []string) {
	for _, m := range e.members {
		for _, d := range m.Drains {
			if d.Index > e.own.Vector.List.Index && d.Index <= m.Vector.List.Index && len(d.Target) <= maxTextLength {
				names = append(names, d.Target)
			}
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
