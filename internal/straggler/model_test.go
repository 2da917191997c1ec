package straggler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"scaleroute/internal/version"
)

const tick = 200 * time.Millisecond

// delivery is a report in transit.
type delivery struct {
	arrival time.Duration
	to      int
	report  Report
}

// modelMember is one member of the simulated fleet.
type modelMember struct {
	name, zone  string
	evaluator   *Evaluator
	vector      version.Vector
	dead        bool
	paused      bool
	agentSilent bool // its agent delivers no newer list
	side        int  // of the partition on which it is
	out         bool
	removals    int // how often it was taken out of rotation
	lastReport  time.Duration
	refreshes   int
}

// model simulates a fleet in virtual time. Reports are delayed, lost or cut off by a partition, and members pause, die and restart.
type model struct {
	rng            *rand.Rand
	now            time.Duration
	members        []*modelMember
	inTransit      []delivery
	partitioned    bool
	loss           float64
	maxOutFraction float64
	newestIndex    int64 // index of the newest endpoint list
	starts         int
	running        []int // number of running members at each tick
	runningByZone  map[string][]int
}

func newModel(seed uint64, n, zones int, maxOutFraction, loss float64) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 5)), maxOutFraction: maxOutFraction, loss: loss, newestIndex: 1, runningByZone: map[string][]int{}}
	for i := range n {
		mm := &modelMember{name: fmt.Sprint("n", i), zone: fmt.Sprint("z", i%zones)}
		m.members = append(m.members, mm)
		m.start(mm)
	}
	return m
}

func (m *model) start(mm *modelMember) {
	m.starts++
	mm.evaluator = New(Config{Name: mm.name, Zone: mm.zone, MaxOutFraction: m.maxOutFraction, ReportTTL: 5 * time.Second, SettleTime: 7 * time.Second, NewerListGrace: time.Second, Seed: uint64(m.starts)}, nil)
	mm.vector = version.Vector{Started: time.Unix(int64(m.starts), 0), List: version.List{Index: m.newestIndex, Digest: version.Digest(m.newestIndex)}}
	mm.dead, mm.paused, mm.out = false, false, false
	mm.evaluator.SetLocal(mm.vector, nil, "")
}

func (m *model) send(from int, mm *modelMember) {
	report := mm.evaluator.NextReport(m.now)
	for to, peer := range m.members {
		if to == from || peer.dead || m.rng.Float64() < m.loss {
			continue
		}
		m.inTransit = append(m.inTransit, delivery{m.now + time.Duration(m.rng.Int64N(int64(600*time.Millisecond))), to, report})
	}
	mm.lastReport = m.now
}

// step advances the fleet by one tick and returns an error if an invariant is violated.
func (m *model) step() error {
	m.now += tick
	rest := m.inTransit[:0]
	for _, p := range m.inTransit {
		to := m.members[p.to]
		from := m.find(p.report.Name)
		switch {
		case p.arrival > m.now, to.paused: // reports for a paused member wait until it resumes
			rest = append(rest, p)
		case to.dead, m.partitioned && from.side != to.side:
		default:
			to.evaluator.Receive(m.now, p.report)
		}
	}
	m.inTransit = rest
	for i, mm := range m.members {
		if mm.dead || mm.paused {
			continue
		}
		d := mm.evaluator.Step(m.now)
		if d.RefreshList {
			mm.refreshes++
			if !mm.agentSilent {
				mm.vector.List = version.List{Index: m.newestIndex, Digest: version.Digest(m.newestIndex)}
				mm.evaluator.SetLocal(mm.vector, nil, "")
			}
		}
		switch {
		case d.FenceOffReason != "" && d.Readmitted, d.FenceOffReason != "" && mm.out, d.Readmitted && !mm.out:
			return fmt.Errorf("%v: %s has been taken out: %v, and its decision is %+v", m.now, mm.name, mm.out, d)
		case d.FenceOffReason != "":
			mm.out = true
			mm.removals++
		case d.Readmitted:
			mm.out = false
		}
		if d.ReportChanged && m.now-mm.lastReport >= 200*time.Millisecond || m.now-mm.lastReport >= time.Second {
			m.send(i, mm)
		}
	}
	return m.checkBounds()
}

func (m *model) find(name string) *modelMember {
	i := slices.IndexFunc(m.members, func(mm *modelMember) bool { return mm.name == name })
	return m.members[i]
}

// checkBounds checks that no more than the allowed fraction of members is out of rotation. The fraction refers to the largest number of members that ran within the
// period for which reports may still influence decisions. A paused member serves no clients and makes no decisions, whether in rotation or out: it counts on neither
// side until its first step after the pause.
func (m *model) checkBounds() error {
	const memory = 65 // in ticks: the report TTL and the settling time
	largest := func(list []int) int { return slices.Max(list[max(0, len(list)-memory):]) }
	running, out, runningInZone, outInZone := 0, 0, map[string]int{}, map[string]int{}
	for _, mm := range m.members {
		if !mm.dead && !mm.paused {
			running++
			runningInZone[mm.zone]++
			if mm.out {
				out++
				outInZone[mm.zone]++
			}
		}
	}
	m.running = append(m.running, running)
	if out > int(m.maxOutFraction*float64(largest(m.running))) || out > 0 && out == running && running > 1 {
		return fmt.Errorf("%v: %d of %d members are out of rotation", m.now, out, running)
	}
	for z, n := range runningInZone {
		m.runningByZone[z] = append(m.runningByZone[z], n)
		if outInZone[z] > int(m.maxOutFraction*float64(largest(m.runningByZone[z]))) {
			return fmt.Errorf("%v: %d of %d members are out of rotation in zone %s", m.now, outInZone[z], n, z)
		}
	}
	return nil
}

func (m *model) countOut() (n int) {
	for _, mm := range m.members {
		if mm.out && !mm.dead {
			n++
		}
	}
	return n
}

func (m *model) run(d time.Duration) error {
	for end := m.now + d; m.now < end; {
		if err := m.step(); err != nil {
			return err
		}
	}
	return nil
}

// runSchedule runs one random schedule of faults and reports whether any member left the rotation.
func runSchedule(t *rapid.T) (anyOut bool) {
	n := rapid.IntRange(3, 16).Draw(t, "members")
	m := newModel(rapid.Uint64().Draw(t, "seed"), n, rapid.IntRange(1, 2).Draw(t, "zones"), rapid.Float64Range(0.2, 0.5).Draw(t, "share"), rapid.Float64Range(0, 0.3).Draw(t, "loss"))
	run := func(d time.Duration) {
		if err := m.run(d); err != nil {
			t.Fatal(err)
		}
		anyOut = anyOut || m.countOut() > 0
	}
	pick := func() *modelMember { return m.members[rapid.IntRange(0, n-1).Draw(t, "member")] }
	run(3 * time.Second)
	gen := uint64(0)
	setDesired := func(mm *modelMember, w version.Desired, deadline time.Duration) {
		gen++
		if !mm.dead && !mm.paused {
			mm.evaluator.SetDesired(m.now, Desired{Gen: gen, By: "test", Deadline: deadline, Version: w})
		}
	}
	for range rapid.IntRange(1, 8).Draw(t, "steps") {
		switch rapid.IntRange(0, 7).Draw(t, "step") {
		case 0, 1, 2: // the agents of some members fall silent; the other members get a new list, which becomes the desired one
			for range rapid.IntRange(1, n/2).Draw(t, "silent agents") {
				pick().agentSilent = true
			}
			m.newestIndex++
			for _, mm := range m.members {
				if !mm.dead && !mm.agentSilent && !mm.paused {
					mm.vector.List = version.List{Index: m.newestIndex, Digest: version.Digest(m.newestIndex)}
					mm.evaluator.SetLocal(mm.vector, nil, "")
				}
			}
			setDesired(pick(), version.Desired{Index: m.newestIndex}, time.Second)
			run(time.Duration(rapid.IntRange(0, 15).Draw(t, "s")) * time.Second)
		case 3: // a desired list that no member can reach, or two desired lists of one generation set by two members
			setDesired(pick(), version.Desired{Index: m.newestIndex + 1000}, time.Second)
			if rapid.Bool().Draw(t, "conflicting") {
				gen--
				setDesired(pick(), version.Desired{Index: m.newestIndex}, time.Second)
			}
		case 4:
			m.partitioned = !m.partitioned
			for _, mm := range m.members {
				mm.side = rapid.IntRange(0, 1).Draw(t, "side")
			}
		case 5:
			mm := pick()
			mm.paused = !mm.paused
		case 6: // some members die at the same time
			for range rapid.IntRange(1, n/3).Draw(t, "deaths") {
				pick().dead = true
			}
			run(time.Duration(rapid.IntRange(0, 25).Draw(t, "s")) * time.Second)
		default:
			mm := pick()
			if mm.dead {
				m.start(mm)
			}
			mm.agentSilent = false
		}
		run(time.Duration(rapid.IntRange(0, 6).Draw(t, "s")) * time.Second)
	}
	// All faults are removed: every member returns to the rotation and stays there.
	m.partitioned = false
	for _, mm := range m.members {
		if mm.dead {
			m.start(mm)
		}
		mm.agentSilent, mm.paused = false, false
	}
	setDesired(m.members[0], version.Desired{Index: m.newestIndex}, 2*time.Second)
	run(60 * time.Second)
	if n := m.countOut(); n > 0 {
		t.Fatalf("%d members are still out of rotation after all faults were removed", n)
	}
	removals := 0
	for _, mm := range m.members {
		removals += mm.removals
	}
	run(20 * time.Second)
	for _, mm := range m.members {
		removals -= mm.removals
	}
	if removals != 0 {
		t.Fatalf("%d removals without a fault", -removals)
	}
	return anyOut
}

// TestRandomFaultSchedules runs 500 random schedules of new lists, desired versions, partitions, pauses, deaths and silent agents. It checks that never more than the
// allowed fraction of the fleet or of a zone is out of rotation, and never the last member; that every recovered member returns by itself; and that no member leaves the
// rotation while there is no fault.
func TestRandomFaultSchedules(t *testing.T) {
	var withRemovals, total atomic.Int64
	t.Run("all", func(t *testing.T) {
		for i := range 5 { // 100 schedules each
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				t.Parallel()
				rapid.Check(t, func(t *rapid.T) {
					rapid.SliceOfN(rapid.Byte(), i, i).Draw(t, "part") // makes the schedules of the parts differ although all parts use the same seed
					total.Add(1)
					if runSchedule(t) {
						withRemovals.Add(1)
					}
				})
			})
		}
	})
	if withRemovals.Load() < total.Load()/10 {
		t.Errorf("a member went out of rotation in only %d of %d schedules: the test covers too little", withRemovals.Load(), total.Load())
	}
	t.Logf("a member went out of rotation in %d of %d schedules", withRemovals.Load(), total.Load())
}

// TestStaleMembersLeaveRotation: a quarter of a fleet and one more member stay out of date. The allowed fraction leaves the rotation after the deadline and the settling time, each member once,
// and stays out; all other members stay in. Members that catch up return within seconds.
func TestStaleMembersLeaveRotation(t *testing.T) {
	for _, n := range []int{8, 30, 100} {
		m := newModel(uint64(n), n, 1, 0.25, 0.1)
		for i, mm := range m.members {
			mm.agentSilent = i%4 == 3 || i == 0 // more than the allowed fraction
		}
		if err := m.run(5 * time.Second); err != nil {
			t.Fatal(err)
		}
		m.newestIndex = 2
		for _, mm := range m.members {
			if !mm.agentSilent {
				mm.vector.List = version.List{Index: 2, Digest: 2}
				mm.evaluator.SetLocal(mm.vector, nil, "")
			}
		}
		m.members[1].evaluator.SetDesired(m.now, Desired{Gen: 1, By: "test", Deadline: 5 * time.Second, Version: version.Desired{Index: 2}})
		if err := m.run(40 * time.Second); err != nil {
			t.Fatal(err)
		}
		removals := 0
		for _, mm := range m.members {
			if removals += mm.removals; mm.removals > 1 {
				t.Errorf("%d members: %s left the rotation %d times", n, mm.name, mm.removals)
			}
			if mm.out && !mm.agentSilent {
				t.Errorf("%d members: %s is up to date but out of rotation", n, mm.name)
			}
			if mm.refreshes > 12 {
				t.Errorf("%d members: %s fetched the list %d times", n, mm.name, mm.refreshes)
			}
		}
		if out := m.countOut(); out < int(0.25*float64(n))-2 || out == 0 {
			t.Errorf("%d members: %d are out of rotation", n, out)
		}
		for _, mm := range m.members {
			if mm.out {
				mm.agentSilent = false
				mm.vector.List = version.List{Index: 2, Digest: 2}
				mm.evaluator.SetLocal(mm.vector, nil, "")
			}
		}
		if err := m.run(5 * time.Second); err != nil {
			t.Fatal(err)
		}
		for _, mm := range m.members {
			if mm.out && !mm.agentSilent {
				t.Errorf("%d members: %s has caught up but is still out of rotation", n, mm.name)
			}
		}
	}
}

// TestUnreachableDesiredVersion: a desired version that no member can reach takes no member out of rotation. The same holds while the
// control plane is down, because then every member is out of date.
func TestUnreachableDesiredVersion(t *testing.T) {
	m := newModel(3, 20, 1, 0.5, 0)
	m.members[0].evaluator.SetDesired(0, Desired{Gen: 1, By: "test", Deadline: time.Second, Version: version.Desired{Build: "nowhere"}})
	if err := m.run(60 * time.Second); err != nil {
		t.Fatal(err)
	}
	for _, mm := range m.members {
		if mm.removals > 0 {
			t.Errorf("%s left the rotation", mm.name)
		}
	}
}

// TestResumeAfterSuspension: a member that is out of rotation, or about to leave it, is suspended while most other members die. When it resumes, it reads the reports that they
// sent before. It must be in rotation until a complete settling time has passed again.
func TestResumeAfterSuspension(t *testing.T) {
	for name, stopAt := range map[string]func(mm *modelMember) bool{
		"out of rotation": func(mm *modelMember) bool { return mm.out },
		"about to leave":  func(mm *modelMember) bool { return mm.evaluator.removableSince > 0 },
	} {
		m := newModel(7, 8, 1, 0.25, 0)
		mm := m.members[7]
		mm.agentSilent = true
		m.newestIndex = 2
		for _, other := range m.members[:7] {
			other.vector.List = version.List{Index: 2, Digest: 2}
			other.evaluator.SetLocal(other.vector, nil, "")
		}
		m.members[0].evaluator.SetDesired(0, Desired{Gen: 1, By: "test", Deadline: time.Second, Version: version.Desired{Index: 2}})
		for !stopAt(mm) {
			if err := m.step(); err != nil || m.now > time.Minute {
				t.Fatalf("%s: %v, at %v", name, err, m.now)
			}
		}
		mm.paused = true
		if err := m.run(time.Second); err != nil {
			t.Fatal(err)
		}
		for _, other := range m.members[:5] {
			other.dead = true
		}
		if err := m.run(20 * time.Second); err != nil {
			t.Fatal(err)
		}
		mm.paused = false
		for end := m.now + 7*time.Second; m.now < end; {
			if err := m.step(); err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			if mm.out {
				t.Fatalf("%s: at %v it is out of rotation because of reports from before its suspension", name, m.now)
			}
		}
	}
}
