// Package straggler decides, for one member of a fleet, who is behind what is wanted, by how much and since when; when this member asks again for what it
// lacks; and whether it takes itself out. It does no I/O, reads no clock and starts no goroutine: time is a parameter, of this member's own clock alone.
//
// The guard must not be the outage. A member takes itself out only while all of this holds, for a settling time without a break: it lacks what has been wanted for
// longer than the deadline; most of the members that it hears of lack nothing; and of the members that agree with it about who is out and who is about to go, no
// more than the stated share is out with it, in the whole and in its zone. Members that are not heard of, or see it differently, do not count in its favour. So
// silence, a partition, or a want that nobody can reach take nobody out, and each half of a fleet that is cut in two may lose its share of that half.
package straggler

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"scaleroute/internal/version"
)

// Format is the version of News. A member that hears of a higher one uses what it knows of it. 2 has Waits.
const Format = 2

// SendFormat is the format in which this program tells its news: that of a build before, or after, where a test says so.
var SendFormat = Format

// Config is what a member is told.
type Config struct {
	Name, Zone     string
	MaxOutFraction float64       // of the fleet, and of each zone, that may be out; 0: nobody
	ReportTTL      time.Duration // news that is older says nothing of what is
	SettleTime     time.Duration // how long all must agree; longer than Fresh
	DetectionTime  time.Duration // how long a process may be said to be there that is gone
	NewerListGrace time.Duration // how long another's newer list may be known before this member asks
	Seed           uint64
}

// Bounds of what is kept and done.
const (
	mostMembers = 4096
	looks       = 6 // that are made for one reason, with waits that double
	firstLook   = time.Second
	forget      = 10 * time.Minute // a silent member, after its last news
	mostText    = 200
)

// Desired is what the fleet is to act under from some time on.
type Desired struct {
	Gen      uint64          `json:"gen"` // a higher one takes the place of a lower
	By       string          `json:"by"`
	Deadline time.Duration   `json:"deadline_ns"` // from when a member hears of it
	Version  version.Desired `json:"what"`
	ForceOut []string        `json:"out,omitempty"` // names of members that are to be out whatever they lack
	ForceIn  []string        `json:"in,omitempty"`  // and in
}

// digest tells two wants of one generation apart.
func (w *Desired) digest() uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%d %q %d %+v %q %q", w.Gen, w.By, w.Deadline, w.Version, w.ForceOut, w.ForceIn))
}

// same tells whether two are one want.
func (w *Desired) same(o *Desired) bool {
	return w.Gen == o.Gen && w.By == o.By && w.Deadline == o.Deadline && w.Version == o.Version && slices.Equal(w.ForceOut, o.ForceOut) && slices.Equal(w.ForceIn, o.ForceIn)
}

// newer tells whether it takes the place of another. Of two with one generation all members take the same.
func (w *Desired) newer(o *Desired) bool {
	return o == nil || w.Gen > o.Gen || w.Gen == o.Gen && !w.same(o) && w.digest() > o.digest()
}

// MemberState is how a member stands to being out.
type MemberState int

// The stands.
const (
	InRotation       MemberState = iota
	RemovalRequested             // it would go out, if the others agree
	OutOfRotation                // it is
	OutByOperator                // it is, since an operator said so
)

// Report is what a member tells of itself.
type Report struct {
	Format       int            `json:"format"`
	Name         string         `json:"name"`
	Zone         string         `json:"zone,omitempty"`
	Seq          uint64         `json:"seq"` // within a process
	Vector       version.Vector `json:"vector"`
	State        MemberState    `json:"stand,omitempty"`
	Reason       string         `json:"why,omitempty"`
	StateDigest  uint64         `json:"agrees"` // with what it knows of everybody's stand
	Stale        bool           `json:"lacking,omitempty"`
	Desired      *Desired       `json:"want,omitempty"`
	Drains       []Drain        `json:"drains,omitempty"`
	RetryAfters  []RetryAfter   `json:"waits,omitempty"`
	AdminAddress string         `json:"door,omitempty"` // for operators
	Clock        time.Time      `json:"clock"`          // its own, when it told this
}

// Drain is a target that drains or is gone, by a list.
type Drain struct {
	Target string `json:"target"`
	Index  int64  `json:"index"`
}

// member is what is known of another one.
type member struct {
	Report
	first time.Duration // its process was heard of first then
	heard time.Duration // it was there last then
	since time.Duration // it lacks something, as far as this member sees; only while it does
	lacks bool
	skew  time.Duration // its clock less ours, from what it told
}

// process is one of a member's: there should be one.
type process struct {
	name    string
	started int64
}

// Decision is what this member is to do now.
type Decision struct {
	RefreshList     bool   // ask discovery again
	ReloadOperators bool   // read the operators' file again
	FenceOffReason  string // why it is out from now on
	Readmitted      bool   // it is in again
	ReportChanged   bool   // its news has changed and is to be told at once
}

// Evaluator is one member's.
type Evaluator struct {
	set       Config
	rng       *rand.Rand
	own       Report
	members   map[string]*member // the process that stands for each other one
	want      *Desired
	wanted    time.Duration // since then
	lost      *Desired      // one of the same generation that had to give way
	lacks     []version.Mismatch
	since     time.Duration // it lacks something of the want
	agreed    time.Duration // since then all that must hold to go out does; 0: it does not
	older     time.Duration // since then others have a newer list; 0: they have not
	retry     map[string]*retry
	processes map[process]*member
	changed   bool
	clock     func() time.Time
	judged    bool // what is kept of others' lacks is by this want and this vector
	summed    bool // sum is that of all stands
	sum       uint64
	stepped   time.Duration // the last Step
	waits     waits
}

// retry is how often something was asked for again, for one reason.
type retry struct {
	reason string
	n      int
	next   time.Duration
}

// New makes one. The clock is only told to others, for the audit.
func New(c Config, clock func() time.Time) *Evaluator {
	c.SettleTime = max(c.SettleTime, c.ReportTTL+c.ReportTTL/4)
	return &Evaluator{set: c, rng: rand.New(rand.NewPCG(c.Seed, xxhash.Sum64String(c.Name))), members: map[string]*member{}, processes: map[process]*member{}, retry: map[string]*retry{}, clock: clock,
		own: Report{Format: SendFormat, Name: c.Name, Zone: c.Zone}}
}

// SetLocal tells under which vector this member acts from now on, and which targets drain by its list.
func (j *Evaluator) SetLocal(v version.Vector, drains []Drain, door string) {
	j.own.Vector, j.own.Drains, j.own.AdminAddress = v, drains, door
	j.changed, j.judged = true, false
}

// Receive takes another member's news. What is older than what is known, or of this member's own process, is passed over; so is what makes no sense.
func (j *Evaluator) Receive(now time.Duration, n Report) (took bool) {
	if n.Name == "" || len(n.Name) > mostText || n.Seq == 0 || n.State < InRotation || n.State > OutByOperator {
		return false
	}
	n.Reason = n.Reason[:min(len(n.Reason), mostText)]
	if n.Desired != nil {
		j.SetDesired(now, *n.Desired)
	}
	if n.Name == j.set.Name && n.Vector.Started.Equal(j.own.Vector.Started) {
		return false
	}
	k := process{n.Name, n.Vector.Started.UnixNano()}
	m := j.processes[k]
	switch {
	case m != nil && n.Seq <= m.Seq:
		return false // old news
	case m == nil && len(j.processes) >= mostMembers:
		return false
	case m == nil:
		m = &member{first: now}
		j.processes[k] = m
	}
	stood := m.State
	if m.Report, m.heard = n, now; !n.Clock.IsZero() && j.clock != nil {
		m.skew = n.Clock.Sub(j.clock())
	}
	if n.Name == j.set.Name { // another process says that it is this member
		return true
	}
	for _, w := range n.RetryAfters {
		j.waits.hear(now, n.Name, w)
	}
	j.choose(now, n.Name)
	if j.members[n.Name] == m && stood != n.State {
		j.summed = false // what this member agrees with is another now
	}
	j.lackOf(now, m)
	return true
}

// choose finds the process that stands for a member: of those that are heard of the one that was started last, or else the one heard last.
func (j *Evaluator) choose(now time.Duration, name string) {
	old := j.members[name]
	var best *member
	for k, m := range j.processes {
		if k.name == name && (best == nil || j.better(now, m, best)) {
			best = m
		}
	}
	if best == old {
		return
	}
	j.summed, j.changed = false, true
	if best == nil {
		delete(j.members, name)
		return
	}
	j.members[name] = best
}

func (j *Evaluator) better(now time.Duration, a, b *member) bool {
	if fa, fb := now-a.heard <= j.set.ReportTTL, now-b.heard <= j.set.ReportTTL; fa != fb {
		return fa
	} else if !fa {
		return a.heard > b.heard
	}
	return a.Vector.Started.After(b.Vector.Started)
}

// doubled tells whether two processes say that they are one member. One that has just been started may be taken for that until the end of the one before has been
// found out.
func (j *Evaluator) doubled(now time.Duration, name string) bool {
	n := 0
	for k, m := range j.processes {
		if k.name == name && now-m.heard <= j.set.ReportTTL && now-m.first > j.set.DetectionTime {
			n++
		}
	}
	return n > 1 || n == 1 && name == j.set.Name
}

// MarkAlive tells that a process of a member is there, whatever it has told.
func (j *Evaluator) MarkAlive(now time.Duration, name string, started int64) {
	m := j.processes[process{name, started}]
	if m == nil {
		return
	}
	was := now-m.heard <= j.set.ReportTTL
	if m.heard = now; !was && name != j.set.Name {
		j.choose(now, name)
	}
}

// SetDesired takes a want, unless a newer one is known; it tells whether.
func (j *Evaluator) SetDesired(now time.Duration, w Desired) bool {
	w.By = w.By[:min(len(w.By), mostText)]
	if !w.newer(j.want) {
		if w.Gen == j.want.Gen && !w.same(j.want) {
			j.lost = &w
		}
		return false
	}
	if j.want != nil && w.Gen == j.want.Gen {
		j.lost = j.want
	} else {
		j.lost = nil
	}
	j.want, j.wanted, j.since, j.agreed, j.changed = &w, now, 0, 0, true
	j.judged, j.summed = false, false
	return true
}

// Desired is the one that holds, and one of the same generation that gave way; nil: none.
func (j *Evaluator) Desired() (want, lost *Desired) { return j.want, j.lost }

// Step decides.
func (j *Evaluator) Step(now time.Duration) (d Decision) {
	for k, m := range j.processes {
		// Of a process that was followed by another one nothing is kept once it is silent.
		if now-m.heard > forget || now-m.heard > j.set.ReportTTL && j.members[k.name] != m && j.members[k.name] != nil {
			delete(j.processes, k)
			j.choose(now, k.name)
		} else if now-m.heard > j.set.ReportTTL && j.members[k.name] == m {
			j.choose(now, k.name)
		}
	}
	j.lacks = nil
	if j.want != nil {
		j.lacks = j.own.Vector.Mismatches(j.want.Version)
	}
	slept := j.stepped > 0 && now-j.stepped > j.set.ReportTTL
	j.stepped = now
	lacking := len(j.lacks) > 0
	switch {
	case !lacking:
		j.since = 0
	case j.since == 0:
		j.since = max(1, now)
	}
	if lacking != j.own.Stale {
		j.own.Stale, j.changed = lacking, true
	}
	j.note(now)
	j.bringUp(now, &d)
	j.stand(now, slept, &d)
	if agrees := j.agrees(); agrees != j.own.StateDigest {
		j.own.StateDigest, j.changed = agrees, true
	}
	d.ReportChanged, j.changed = j.changed, false
	return d
}

// bringUp asks again for what this member lacks, or for a list that others have: each a few times, with waits that double and are drawn by chance, since
// all that are behind are so for the same reason.
func (j *Evaluator) bringUp(now time.Duration, d *Decision) {
	newest := j.own.Vector.List.Index
	for _, m := range j.members {
		if now-m.heard <= j.set.ReportTTL {
			newest = max(newest, m.Vector.List.Index)
		}
	}
	look, read := "", ""
	if newest > j.own.Vector.List.Index {
		look = "newer" // whichever it is: a member that makes indexes up is asked for no more often
		if j.older == 0 {
			j.older = max(1, now)
		}
	} else {
		j.older = 0
	}
	if slices.Contains(j.lacks, version.ListOutdated) || slices.Contains(j.lacks, version.ListDiverged) {
		look = fmt.Sprint("want ", j.want.Gen)
	}
	if slices.Contains(j.lacks, version.OperatorsMismatch) {
		read = fmt.Sprint("want ", j.want.Gen)
	}
	d.RefreshList = j.due(now, "look", look, j.set.NewerListGrace)
	d.ReloadOperators = j.due(now, "read", read, 0)
}

// due tells whether something is to be asked for now.
func (j *Evaluator) due(now time.Duration, what, reason string, grace time.Duration) bool {
	r := j.retry[what]
	if reason == "" {
		if r != nil && now > r.next+forget/10 { // it is as if it had never been
			delete(j.retry, what)
		}
		return false
	}
	if r == nil || r.reason != reason {
		if strings.HasPrefix(reason, "want") {
			grace = 0
		}
		r = &retry{reason: reason, next: now + grace + j.jitter(firstLook)}
		j.retry[what] = r
	}
	if r.n >= looks {
		if now < r.next+forget/10 { // a minute of rest
			return false
		}
		r.n = 0
	}
	if now < r.next {
		return false
	}
	r.n++
	r.next = now + firstLook<<r.n/2 + j.jitter(firstLook<<r.n)
	return true
}

func (j *Evaluator) jitter(d time.Duration) time.Duration {
	return time.Duration(j.rng.Int64N(int64(d)))
}

// stand decides whether this member is in, would go, or is out. One that was stopped for longer than news are good for settles anew, in: what made it go out need not hold any
// more, and what others told meanwhile comes now as if it were new. The settling is longer than such news are taken for fresh.
func (j *Evaluator) stand(now time.Duration, slept bool, d *Decision) {
	why, byHand := j.reason(now)
	was := j.own.State
	switch {
	case why == "" || j.set.MaxOutFraction <= 0:
		j.own.State, j.agreed = InRotation, 0
	case was == InRotation, slept:
		j.own.State, j.agreed = RemovalRequested, 0
	case was == RemovalRequested:
		if !j.roomFor(now) || !byHand && !j.mostCurrent(now) {
			j.agreed = 0
		} else if j.agreed == 0 {
			j.agreed = max(1, now)
		} else if now-j.agreed >= j.set.SettleTime {
			j.own.State = OutOfRotation
			if byHand {
				j.own.State = OutByOperator
			}
		}
	default: // out: for as long as there is room for that
		if !j.roomFor(now) || !byHand && !j.mostCurrent(now) {
			j.own.State, j.agreed = RemovalRequested, 0
		}
	}
	isOut, wasOut := j.own.State >= OutOfRotation, was >= OutOfRotation
	switch {
	case isOut && !wasOut:
		d.FenceOffReason = why
	case wasOut && !isOut:
		d.Readmitted = true
	}
	if j.own.State != was {
		j.own.Reason, j.changed, j.summed = why, true, false
		if j.own.State == InRotation {
			j.own.Reason = ""
		}
	}
}

// reason is why this member should be out; empty: it should not.
func (j *Evaluator) reason(now time.Duration) (why string, byHand bool) {
	w := j.want
	switch {
	case w == nil || slices.Contains(w.ForceIn, j.set.Name):
		return "", false
	case slices.Contains(w.ForceOut, j.set.Name):
		return fmt.Sprintf("%s has said so (want %d); scaleroutectl fleet in %s lets it in", w.By, w.Gen, j.set.Name), true
	case j.since == 0 || now-j.wanted < w.Deadline || w.Deadline <= 0:
		return "", false
	}
	return fmt.Sprintf("behind want %d of %s in %v for %v; remedy: %s", w.Gen, w.By, j.lacks, (now - j.since).Round(time.Second), Remedy(j.lacks)), false
}

// Remedy says what mends what is lacking.
func Remedy(lacks []version.Mismatch) string {
	var list []string
	for _, l := range lacks {
		list = append(list, map[version.Mismatch]string{version.ListOutdated: "see whether its agent answers", version.ListDiverged: "compare its agent's list with another's",
			version.OperatorsMismatch: "put the file where its -operators is read", version.SettingsMismatch: "restart it with the configuration",
			version.BuildMismatch: "start the new build beside it (upgrade by take-over)"}[l])
	}
	return strings.Join(list, ", ")
}

// agrees is a digest of who is known not to be in, this member included, and of the want. One that has fallen silent is taken to be as it was last.
func (j *Evaluator) agrees() uint64 {
	if j.summed {
		return j.sum
	}
	var text strings.Builder
	for _, name := range j.notIn() {
		fmt.Fprintf(&text, "%q", name)
	}
	if j.want != nil {
		fmt.Fprint(&text, j.want.Gen, j.want.digest())
	}
	j.sum, j.summed = xxhash.Sum64String(text.String()), true
	return j.sum
}

// notIn are the names of those who claim or are out, in order.
func (j *Evaluator) notIn() (names []string) {
	for name, m := range j.members {
		if m.State != InRotation {
			names = append(names, name)
		}
	}
	if j.own.State != InRotation {
		names = append(names, j.set.Name)
	}
	slices.Sort(names)
	return names
}

// roomFor tells whether this member may be out: of those that agree, the share takes it in, behind those that are out and those that all agree go first.
func (j *Evaluator) roomFor(now time.Duration) bool {
	own := j.agrees()
	type one struct {
		name, zone string
		stand      MemberState
		order      uint64
	}
	var ahead []one
	all, zone := 1, 1
	for name, m := range j.members {
		if now-m.heard <= j.set.ReportTTL && m.StateDigest == own {
			if all++; m.Zone == j.set.Zone {
				zone++
			}
		}
		if m.State != InRotation {
			ahead = append(ahead, one{name, m.Zone, m.State, j.order(name)})
		}
	}
	me := one{j.set.Name, j.set.Zone, j.own.State, j.order(j.set.Name)}
	allRank, zoneRank := 0, 0
	for _, o := range ahead {
		// Those out go before those that claim: who is out is not pushed in by who comes later.
		if cmp.Or(cmp.Compare(min(me.stand, OutOfRotation), min(o.stand, OutOfRotation)), cmp.Compare(o.order, me.order), cmp.Compare(o.name, me.name)) < 0 {
			if allRank++; o.zone == me.zone {
				zoneRank++
			}
		}
	}
	return allRank < int(j.set.MaxOutFraction*float64(all)) && zoneRank < int(j.set.MaxOutFraction*float64(zone))
}

// order is by rendezvous of name and want, the same for all members and another for each want.
func (j *Evaluator) order(name string) uint64 {
	gen := uint64(0)
	if j.want != nil {
		gen = j.want.Gen
	}
	return xxhash.Sum64String(fmt.Sprintf("%d %s", gen, name))
}

// mostCurrent tells whether most of those that are heard of lack nothing, by what they say of the same want.
func (j *Evaluator) mostCurrent(now time.Duration) bool {
	heard, current := 1, 0
	for _, m := range j.members {
		if now-m.heard > j.set.ReportTTL {
			continue
		}
		if heard++; !m.lacks {
			current++
		}
	}
	return 2*current > heard
}

// NextReport is what this member tells now. Each is newer than the one before.
func (j *Evaluator) NextReport(now time.Duration) Report {
	j.own.Seq++
	n := j.own
	n.RetryAfters = j.waits.tell(now)
	n.Desired = j.want
	if j.clock != nil {
		n.Clock = j.clock()
	}
	return n
}

// RestoreDesired goes on with a want that this member knew before its process started, for a time that has passed already.
func (j *Evaluator) RestoreDesired(now time.Duration, w Desired, passed time.Duration) {
	if j.SetDesired(now, w) {
		j.wanted = now - passed
	}
}
