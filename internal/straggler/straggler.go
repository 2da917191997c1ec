// Package straggler evaluates, for one member of a fleet, which members are out of date with the desired version, in which parts and for how long. It also decides
// when this member fetches again what it is missing, and whether it takes itself out of rotation. The package does no I/O, reads no clock and starts no goroutine:
// time is a parameter and always comes from this member's own clock.
//
// The safeguard must not cause an outage itself. A member takes itself out of rotation only while all of these conditions hold without interruption for the
// settling time:
//   - the member has been out of date for longer than the deadline of the desired version allows;
//   - most members with fresh reports are up to date;
//   - among the members that agree with this one about which members are out or request removal, no more than the configured fraction is out, including this one,
//     both in the fleet and in the zone.
//
// Members without fresh reports, and members that see the fleet differently, do not count in favour of a removal. Silence, a partition, or a desired version that
// no member can reach therefore removes no member, and each half of a partitioned fleet may lose at most the configured fraction of that half.
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

// Format is the version of the Report format. A member that receives a higher format uses the fields it knows. Format 2 added RetryAfters.
const Format = 2

// SendFormat is the format in which this program sends its reports. Tests change it to act as an older or a newer build.
var SendFormat = Format

// Config configures the Evaluator of one member.
type Config struct {
	Name, Zone     string
	MaxOutFraction float64       // the largest fraction of the fleet, and of each zone, that may be out of rotation; 0: no member is removed
	ReportTTL      time.Duration // a report older than this says nothing about the present state
	SettleTime     time.Duration // how long the conditions for a removal must hold; longer than ReportTTL
	DetectionTime  time.Duration // the longest time for which a process that is gone is still listed as alive
	NewerListGrace time.Duration // how long this member waits before it fetches a newer list that another member reported
	Seed           uint64
}

// Limits on memory and on retries.
const (
	mostMembers     = 4096 // processes of other members that are kept; a test of the capacity plan looks the constant up by its name
	maxAttempts     = 6    // for one reason, with delays that double
	firstRetryDelay = time.Second
	forgetAfter     = 10 * time.Minute // after the last sign of life of a process
	maxTextLength   = 200
)

// Desired is the version that the fleet is to run, set by an operator, with the deadline for reaching it and manual overrides.
type Desired struct {
	Gen      uint64          `json:"gen"` // generation: a higher one replaces a lower one
	By       string          `json:"by"`
	Deadline time.Duration   `json:"deadline_ns"` // counted from the time at which a member learns of it
	Version  version.Desired `json:"what"`
	ForceOut []string        `json:"out,omitempty"` // names of members that are to be out of rotation whatever their version
	ForceIn  []string        `json:"in,omitempty"`  // names of members that are to stay in rotation whatever their version
}

// digest distinguishes two desired versions of the same generation. All members must compute the same value, so the format and the printed field names are fixed.
func (d *Desired) digest() uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%d %q %d %+v %q %q", d.Gen, d.By, d.Deadline, d.Version, d.ForceOut, d.ForceIn))
}

// equal reports whether two desired versions are the same.
func (d *Desired) equal(other *Desired) bool {
	return d.Gen == other.Gen && d.By == other.By && d.Deadline == other.Deadline && d.Version == other.Version && slices.Equal(d.ForceOut, other.ForceOut) && slices.Equal(d.ForceIn, other.ForceIn)
}

// supersedes reports whether d replaces other. Of two desired versions with the same generation, all members choose the same one.
func (d *Desired) supersedes(other *Desired) bool {
	return other == nil || d.Gen > other.Gen || d.Gen == other.Gen && !d.equal(other) && d.digest() > other.digest()
}

// MemberState says whether a member is in rotation.
type MemberState int

// The states of a member. Their numbers are part of the report format.
const (
	InRotation       MemberState = iota
	RemovalRequested             // the member leaves the rotation if the others agree
	OutOfRotation                // removed because it is out of date
	OutByOperator                // removed by an operator's override
)

// Report is the status report that a member sends about itself.
type Report struct {
	Format       int            `json:"format"`
	Name         string         `json:"name"`
	Zone         string         `json:"zone,omitempty"`
	Seq          uint64         `json:"seq"` // increases with each report of a process
	Vector       version.Vector `json:"vector"`
	State        MemberState    `json:"stand,omitempty"`
	Reason       string         `json:"why,omitempty"`
	StateDigest  uint64         `json:"agrees"` // of the states of all members as this member knows them
	Stale        bool           `json:"lacking,omitempty"`
	Desired      *Desired       `json:"want,omitempty"`
	Drains       []Drain        `json:"drains,omitempty"`
	RetryAfters  []RetryAfter   `json:"waits,omitempty"`
	AdminAddress string         `json:"door,omitempty"` // of the admin API
	Clock        time.Time      `json:"clock"`          // the sender's own clock at the time of sending
}

// Drain is an endpoint that is draining or gone according to the endpoint list with this index.
type Drain struct {
	Target string `json:"target"`
	Index  int64  `json:"index"`
}

// member is what this member knows about one process of another member.
type member struct {
	Report
	firstSeen  time.Duration // when the first report of the process arrived
	lastSeen   time.Duration // when the process was last known to be alive
	staleSince time.Duration // since when the process is out of date in this member's view; valid only while stale
	stale      bool
	clockSkew  time.Duration // the process's clock minus this member's clock, as of the latest report
}

// process identifies one process of a member. A member should have only one.
type process struct {
	name    string
	started int64
}

// Decision is what this member has to do now.
type Decision struct {
	RefreshList     bool   // fetch the endpoint list from discovery again
	ReloadOperators bool   // read the operators' file again
	FenceOffReason  string // if not empty: the member leaves the rotation now, for this reason
	Readmitted      bool   // the member is back in rotation
	ReportChanged   bool   // the member's report has changed and is to be sent at once
}

// Evaluator holds one member's view of the fleet.
type Evaluator struct {
	config         Config
	rng            *rand.Rand
	own            Report
	members        map[string]*member // by name: the process that represents each other member
	desired        *Desired
	desiredSince   time.Duration // when desired was received
	conflicting    *Desired      // another desired version of the same generation, which was superseded
	mismatches     []version.Mismatch
	staleSince     time.Duration // since when this member has been out of date; 0: it is up to date
	removableSince time.Duration // since when all conditions for a removal have held; 0: they do not hold
	newerListSince time.Duration // since when other members have had a newer list; 0: no member has one
	retries        map[string]*retry
	processes      map[process]*member
	reportChanged  bool
	clock          func() time.Time
	stalenessValid bool // the staleness of the other members was computed from the current desired version and local vector
	digestCached   bool // cachedDigest is up to date
	cachedDigest   uint64
	lastStep       time.Duration // time of the latest Step
	retryAfters    retryAfters
}

// retry counts the attempts to fetch something again for one reason.
type retry struct {
	reason   string
	attempts int
	next     time.Duration
}

// New returns an Evaluator. The clock's readings are only sent to other members, for the audit; no decision depends on them.
func New(c Config, clock func() time.Time) *Evaluator {
	c.SettleTime = max(c.SettleTime, c.ReportTTL+c.ReportTTL/4)
	return &Evaluator{config: c, rng: rand.New(rand.NewPCG(c.Seed, xxhash.Sum64String(c.Name))), members: map[string]*member{}, processes: map[process]*member{}, retries: map[string]*retry{}, clock: clock,
		own: Report{Format: SendFormat, Name: c.Name, Zone: c.Zone}}
}

// SetLocal sets the version vector under which this member now runs, the endpoints that are draining according to its list, and the address of its admin API.
func (e *Evaluator) SetLocal(v version.Vector, drains []Drain, adminAddress string) {
	e.own.Vector, e.own.Drains, e.own.AdminAddress = v, drains, adminAddress
	e.reportChanged, e.stalenessValid = true, false
}

// Receive processes another member's report and returns whether it was accepted. A report that is older than a known one, comes from this process itself, or has
// invalid values is ignored.
func (e *Evaluator) Receive(now time.Duration, report Report) (accepted bool) {
	if report.Name == "" || len(report.Name) > maxTextLength || report.Seq == 0 || report.State < InRotation || report.State > OutByOperator {
		return false
	}
	report.Reason = report.Reason[:min(len(report.Reason), maxTextLength)]
	if report.Desired != nil {
		e.SetDesired(now, *report.Desired)
	}
	if report.Name == e.config.Name && report.Vector.Started.Equal(e.own.Vector.Started) {
		return false
	}
	k := process{report.Name, report.Vector.Started.UnixNano()}
	m := e.processes[k]
	switch {
	case m != nil && report.Seq <= m.Seq:
		return false // an old report
	case m == nil && len(e.processes) >= mostMembers:
		return false
	case m == nil:
		m = &member{firstSeen: now}
		e.processes[k] = m
	}
	oldState := m.State
	if m.Report, m.lastSeen = report, now; !report.Clock.IsZero() && e.clock != nil {
		m.clockSkew = report.Clock.Sub(e.clock())
	}
	if report.Name == e.config.Name { // another process claims this member's name
		return true
	}
	for _, w := range report.RetryAfters {
		e.retryAfters.receive(now, report.Name, w)
	}
	e.selectProcess(now, report.Name)
	if e.members[report.Name] == m && oldState != report.State {
		e.digestCached = false // the digest covers the states of all members
	}
	e.updateStaleness(now, m)
	return true
}

// selectProcess chooses the process that represents a member: among the processes that are alive the one started last, or else the one last known to be alive.
func (e *Evaluator) selectProcess(now time.Duration, name string) {
	old := e.members[name]
	var best *member
	for k, m := range e.processes {
		if k.name == name && (best == nil || e.preferred(now, m, best)) {
			best = m
		}
	}
	if best == old {
		return
	}
	e.digestCached, e.reportChanged = false, true
	if best == nil {
		delete(e.members, name)
		return
	}
	e.members[name] = best
}

// preferred reports whether process a represents a member better than process b does.
func (e *Evaluator) preferred(now time.Duration, a, b *member) bool {
	if fa, fb := now-a.lastSeen <= e.config.ReportTTL, now-b.lastSeen <= e.config.ReportTTL; fa != fb {
		return fa
	} else if !fa {
		return a.lastSeen > b.lastSeen
	}
	return a.Vector.Started.After(b.Vector.Started)
}

// hasDuplicate reports whether two running processes claim to be the same member. Processes younger than the detection time do not count: after a restart, the
// previous process may still be listed as alive for that long.
func (e *Evaluator) hasDuplicate(now time.Duration, name string) bool {
	n := 0
	for k, m := range e.processes {
		if k.name == name && now-m.lastSeen <= e.config.ReportTTL && now-m.firstSeen > e.config.DetectionTime {
			n++
		}
	}
	return n > 1 || n == 1 && name == e.config.Name
}

// MarkAlive records that a process of a member is alive, independent of its reports.
func (e *Evaluator) MarkAlive(now time.Duration, name string, started int64) {
	m := e.processes[process{name, started}]
	if m == nil {
		return
	}
	wasFresh := now-m.lastSeen <= e.config.ReportTTL
	if m.lastSeen = now; !wasFresh && name != e.config.Name {
		e.selectProcess(now, name)
	}
}

// SetDesired adopts a desired version unless the known one is the same or supersedes it. It returns whether it was adopted.
func (e *Evaluator) SetDesired(now time.Duration, desired Desired) bool {
	desired.By = desired.By[:min(len(desired.By), maxTextLength)]
	if !desired.supersedes(e.desired) {
		if desired.Gen == e.desired.Gen && !desired.equal(e.desired) {
			e.conflicting = &desired
		}
		return false
	}
	if e.desired != nil && desired.Gen == e.desired.Gen {
		e.conflicting = e.desired
	} else {
		e.conflicting = nil
	}
	e.desired, e.desiredSince, e.staleSince, e.removableSince, e.reportChanged = &desired, now, 0, 0, true
	e.stalenessValid, e.digestCached = false, false
	return true
}

// Desired returns the desired version in force and the superseded one of the same generation, if there was one; nil: none.
func (e *Evaluator) Desired() (current, conflicting *Desired) { return e.desired, e.conflicting }

// Step updates the evaluation and returns what is to be done now.
func (e *Evaluator) Step(now time.Duration) (d Decision) {
	for k, m := range e.processes {
		// A silent process that another process has replaced is forgotten at once.
		if now-m.lastSeen > forgetAfter || now-m.lastSeen > e.config.ReportTTL && e.members[k.name] != m && e.members[k.name] != nil {
			delete(e.processes, k)
			e.selectProcess(now, k.name)
		} else if now-m.lastSeen > e.config.ReportTTL && e.members[k.name] == m {
			e.selectProcess(now, k.name)
		}
	}
	e.mismatches = nil
	if e.desired != nil {
		e.mismatches = e.own.Vector.Mismatches(e.desired.Version)
	}
	suspended := e.lastStep > 0 && now-e.lastStep > e.config.ReportTTL
	e.lastStep = now
	stale := len(e.mismatches) > 0
	switch {
	case !stale:
		e.staleSince = 0
	case e.staleSince == 0:
		e.staleSince = max(1, now)
	}
	if stale != e.own.Stale {
		e.own.Stale, e.reportChanged = stale, true
	}
	e.updateAllStaleness(now)
	e.scheduleRefresh(now, &d)
	e.updateState(now, suspended, &d)
	if digest := e.stateDigest(); digest != e.own.StateDigest {
		e.own.StateDigest, e.reportChanged = digest, true
	}
	d.ReportChanged, e.reportChanged = e.reportChanged, false
	return d
}

// scheduleRefresh requests the parts that this member is missing, or a newer list that other members have. Each is requested a few times, with delays that double
// and have random jitter, because all members that are out of date are so for the same reason and would otherwise send their requests at the same time.
func (e *Evaluator) scheduleRefresh(now time.Duration, d *Decision) {
	newest := e.own.Vector.List.Index
	for _, m := range e.members {
		if now-m.lastSeen <= e.config.ReportTTL {
			newest = max(newest, m.Vector.List.Index)
		}
	}
	listReason, operatorsReason := "", ""
	if newest > e.own.Vector.List.Index {
		listReason = "newer" // the same reason for every newer index, so that a member that reports made-up indexes causes no additional requests
		if e.newerListSince == 0 {
			e.newerListSince = max(1, now)
		}
	} else {
		e.newerListSince = 0
	}
	if slices.Contains(e.mismatches, version.ListOutdated) || slices.Contains(e.mismatches, version.ListDiverged) {
		listReason = fmt.Sprint("want ", e.desired.Gen)
	}
	if slices.Contains(e.mismatches, version.OperatorsMismatch) {
		operatorsReason = fmt.Sprint("want ", e.desired.Gen)
	}
	d.RefreshList = e.due(now, "look", listReason, e.config.NewerListGrace)
	d.ReloadOperators = e.due(now, "read", operatorsReason, 0)
}

// due reports whether an action is to be attempted now.
func (e *Evaluator) due(now time.Duration, action, reason string, grace time.Duration) bool {
	r := e.retries[action]
	if reason == "" {
		if r != nil && now > r.next+forgetAfter/10 { // the attempts are long past: if the reason returns, they start from the beginning
			delete(e.retries, action)
		}
		return false
	}
	if r == nil || r.reason != reason {
		if strings.HasPrefix(reason, "want") {
			grace = 0
		}
		r = &retry{reason: reason, next: now + grace + e.jitter(firstRetryDelay)}
		e.retries[action] = r
	}
	if r.attempts >= maxAttempts {
		if now < r.next+forgetAfter/10 { // a minute's pause between two series of attempts
			return false
		}
		r.attempts = 0
	}
	if now < r.next {
		return false
	}
	r.attempts++
	r.next = now + firstRetryDelay<<r.attempts/2 + e.jitter(firstRetryDelay<<r.attempts)
	return true
}

// jitter returns a random duration below d.
func (e *Evaluator) jitter(d time.Duration) time.Duration {
	return time.Duration(e.rng.Int64N(int64(d)))
}

// updateState decides whether this member is in rotation, requests its removal, or is out. A process that was suspended for longer than the report TTL returns to
// the rotation and starts the settling time from the beginning: the conditions for its removal may no longer hold, and reports that arrived during the suspension
// are read only now and look new. The settling time is longer than the time for which such reports count as fresh.
func (e *Evaluator) updateState(now time.Duration, suspended bool, d *Decision) {
	reason, manual := e.removalReason(now)
	oldState := e.own.State
	switch {
	case reason == "" || e.config.MaxOutFraction <= 0:
		e.own.State, e.removableSince = InRotation, 0
	case oldState == InRotation, suspended:
		e.own.State, e.removableSince = RemovalRequested, 0
	case oldState == RemovalRequested:
		if !e.withinOutLimit(now) || !manual && !e.majorityCurrent(now) {
			e.removableSince = 0
		} else if e.removableSince == 0 {
			e.removableSince = max(1, now)
		} else if now-e.removableSince >= e.config.SettleTime {
			e.own.State = OutOfRotation
			if manual {
				e.own.State = OutByOperator
			}
		}
	default: // out of rotation, for as long as the limits allow it
		if !e.withinOutLimit(now) || !manual && !e.majorityCurrent(now) {
			e.own.State, e.removableSince = RemovalRequested, 0
		}
	}
	isOut, wasOut := e.own.State >= OutOfRotation, oldState >= OutOfRotation
	switch {
	case isOut && !wasOut:
		d.FenceOffReason = reason
	case wasOut && !isOut:
		d.Readmitted = true
	}
	if e.own.State != oldState {
		e.own.Reason, e.reportChanged, e.digestCached = reason, true, false
		if e.own.State == InRotation {
			e.own.Reason = ""
		}
	}
}

// removalReason returns why this member should be out of rotation, or an empty text if it should not, and whether an operator's override is the reason.
func (e *Evaluator) removalReason(now time.Duration) (reason string, manual bool) {
	desired := e.desired
	switch {
	case desired == nil || slices.Contains(desired.ForceIn, e.config.Name):
		return "", false
	case slices.Contains(desired.ForceOut, e.config.Name):
		return fmt.Sprintf("%s has said so (want %d); scaleroutectl fleet in %s lets it in", desired.By, desired.Gen, e.config.Name), true
	case e.staleSince == 0 || now-e.desiredSince < desired.Deadline || desired.Deadline <= 0:
		return "", false
	}
	return fmt.Sprintf("behind want %d of %s in %v for %v; remedy: %s", desired.Gen, desired.By, e.mismatches, (now - e.staleSince).Round(time.Second), Remedy(e.mismatches)), false
}

// Remedy returns instructions for operators that fix the given mismatches.
func Remedy(mismatches []version.Mismatch) string {
	var remedies []string
	for _, mismatch := range mismatches {
		remedies = append(remedies, map[version.Mismatch]string{version.ListOutdated: "see whether its agent answers", version.ListDiverged: "compare its agent's list with another's",
			version.OperatorsMismatch: "put the file where its -operators is read", version.SettingsMismatch: "restart it with the configuration",
			version.BuildMismatch: "start the new build beside it (upgrade by take-over)"}[mismatch])
	}
	return strings.Join(remedies, ", ")
}

// stateDigest returns a digest of the names of all members that are not in rotation, including this one, and of the desired version. A silent member counts with
// its last reported state.
func (e *Evaluator) stateDigest() uint64 {
	if e.digestCached {
		return e.cachedDigest
	}
	var text strings.Builder
	for _, name := range e.notInRotation() {
		fmt.Fprintf(&text, "%q", name)
	}
	if e.desired != nil {
		fmt.Fprint(&text, e.desired.Gen, e.desired.digest())
	}
	e.cachedDigest, e.digestCached = xxhash.Sum64String(text.String()), true
	return e.cachedDigest
}

// notInRotation returns the sorted names of all members that request their removal or are out.
func (e *Evaluator) notInRotation() (names []string) {
	for name, m := range e.members {
		if m.State != InRotation {
			names = append(names, name)
		}
	}
	if e.own.State != InRotation {
		names = append(names, e.config.Name)
	}
	slices.Sort(names)
	return names
}

// withinOutLimit reports whether this member may be out of rotation: it must fit into the allowed fraction of the members that agree with it, ranked behind the
// members that are already out and behind those that precede it in the common removal order.
func (e *Evaluator) withinOutLimit(now time.Duration) bool {
	ownDigest := e.stateDigest()
	type candidate struct {
		name, zone string
		state      MemberState
		order      uint64
	}
	var candidates []candidate
	agreeing, agreeingInZone := 1, 1
	for name, m := range e.members {
		if now-m.lastSeen <= e.config.ReportTTL && m.StateDigest == ownDigest {
			if agreeing++; m.Zone == e.config.Zone {
				agreeingInZone++
			}
		}
		if m.State != InRotation {
			candidates = append(candidates, candidate{name, m.Zone, m.State, e.removalOrder(name)})
		}
	}
	self := candidate{e.config.Name, e.config.Zone, e.own.State, e.removalOrder(e.config.Name)}
	rank, zoneRank := 0, 0
	for _, other := range candidates {
		// Members that are out rank before those that request removal, so that a later request does not displace a member that is already out.
		if cmp.Or(cmp.Compare(min(self.state, OutOfRotation), min(other.state, OutOfRotation)), cmp.Compare(other.order, self.order), cmp.Compare(other.name, self.name)) < 0 {
			if rank++; other.zone == self.zone {
				zoneRank++
			}
		}
	}
	return rank < int(e.config.MaxOutFraction*float64(agreeing)) && zoneRank < int(e.config.MaxOutFraction*float64(agreeingInZone))
}

// removalOrder returns a rendezvous hash of the name and the generation of the desired version: the order is the same on all members and differs between
// generations.
func (e *Evaluator) removalOrder(name string) uint64 {
	gen := uint64(0)
	if e.desired != nil {
		gen = e.desired.Gen
	}
	return xxhash.Sum64String(fmt.Sprintf("%d %s", gen, name))
}

// majorityCurrent reports whether most of the members with fresh reports, including this one, are up to date with the desired version.
func (e *Evaluator) majorityCurrent(now time.Duration) bool {
	fresh, current := 1, 0
	for _, m := range e.members {
		if now-m.lastSeen > e.config.ReportTTL {
			continue
		}
		if fresh++; !m.stale {
			current++
		}
	}
	return 2*current > fresh
}

// NextReport returns this member's report with the next sequence number.
func (e *Evaluator) NextReport(now time.Duration) Report {
	e.own.Seq++
	report := e.own
	report.RetryAfters = e.retryAfters.toReport(now)
	report.Desired = e.desired
	if e.clock != nil {
		report.Clock = e.clock()
	}
	return report
}

// RestoreDesired sets the desired version that a previous process of this member had received, of whose deadline the given time has already passed.
func (e *Evaluator) RestoreDesired(now time.Duration, desired Desired, passed time.Duration) {
	if e.SetDesired(now, desired) {
		e.desiredSince = now - passed
	}
}
