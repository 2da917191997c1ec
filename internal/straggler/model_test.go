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

// parcel is news on its way.
type parcel struct {
	at   time.Duration
	to   int
	news Report
}

// one is a member of the modelled fleet.
type one struct {
	name, zone string
	judge      *Evaluator
	vector     version.Vector
	dead       bool
	paused     bool
	deaf       bool // its agent tells it nothing new
	side       int  // of a partition
	out        bool
	turns      int // that it was put out
	told       time.Duration
	looks      int
}

// model is a fleet in virtual time: what members tell each other is late, lost and cut off, and members stop, die and come back.
type model struct {
	rng     *rand.Rand
	now     time.Duration
	members []*one
	mail    []parcel
	split   bool
	loss    float64
	share   float64
	index   int64 // of the newest list
	starts  int
	alive   []int // at each tick
	byZone  map[string][]int
}

func newModel(seed uint64, n, zones int, share, loss float64) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 5)), share: share, loss: loss, index: 1, byZone: map[string][]int{}}
	for i := range n {
		o := &one{name: fmt.Sprint("n", i), zone: fmt.Sprint("z", i%zones)}
		m.members = append(m.members, o)
		m.start(o)
	}
	return m
}

func (m *model) start(o *one) {
	m.starts++
	o.judge = New(Config{Name: o.name, Zone: o.zone, MaxOutFraction: m.share, ReportTTL: 5 * time.Second, SettleTime: 7 * time.Second, NewerListGrace: time.Second, Seed: uint64(m.starts)}, nil)
	o.vector = version.Vector{Started: time.Unix(int64(m.starts), 0), List: version.List{Index: m.index, Digest: version.Digest(m.index)}}
	o.dead, o.paused, o.out = false, false, false
	o.judge.SetLocal(o.vector, nil, "")
}

func (m *model) send(from int, o *one) {
	n := o.judge.NextReport(m.now)
	for to, peer := range m.members {
		if to == from || peer.dead || m.rng.Float64() < m.loss {
			continue
		}
		m.mail = append(m.mail, parcel{m.now + time.Duration(m.rng.Int64N(int64(600*time.Millisecond))), to, n})
	}
	o.told = m.now
}

// step goes on by one tick, and returns what is broken.
func (m *model) step() error {
	m.now += tick
	rest := m.mail[:0]
	for _, p := range m.mail {
		to := m.members[p.to]
		from := m.find(p.news.Name)
		switch {
		case p.at > m.now, to.paused: // what comes to one that is stopped waits there
			rest = append(rest, p)
		case to.dead, m.split && from.side != to.side:
		default:
			to.judge.Receive(m.now, p.news)
		}
	}
	m.mail = rest
	for i, o := range m.members {
		if o.dead || o.paused {
			continue
		}
		d := o.judge.Step(m.now)
		if d.RefreshList {
			o.looks++
			if !o.deaf {
				o.vector.List = version.List{Index: m.index, Digest: version.Digest(m.index)}
				o.judge.SetLocal(o.vector, nil, "")
			}
		}
		switch {
		case d.FenceOffReason != "" && d.Readmitted, d.FenceOffReason != "" && o.out, d.Readmitted && !o.out:
			return fmt.Errorf("%v: %s is out: %v, and is told %+v", m.now, o.name, o.out, d)
		case d.FenceOffReason != "":
			o.out = true
			o.turns++
		case d.Readmitted:
			o.out = false
		}
		if d.ReportChanged && m.now-o.told >= 200*time.Millisecond || m.now-o.told >= time.Second {
			m.send(i, o)
		}
	}
	return m.bound()
}

func (m *model) find(name string) *one {
	i := slices.IndexFunc(m.members, func(o *one) bool { return o.name == name })
	return m.members[i]
}

// bound checks that no more than the share is out: of those that ran when the longest of what was known then was told. One that is stopped serves nobody, and decides nothing,
// out or in: it counts on neither side, and again from its first step on.
func (m *model) bound() error {
	const memory = 65 // ticks: what is fresh, and the settling
	most := func(list []int) int { return slices.Max(list[max(0, len(list)-memory):]) }
	alive, out, zones, zoneOut := 0, 0, map[string]int{}, map[string]int{}
	for _, o := range m.members {
		if !o.dead && !o.paused {
			alive++
			zones[o.zone]++
			if o.out {
				out++
				zoneOut[o.zone]++
			}
		}
	}
	m.alive = append(m.alive, alive)
	if out > int(m.share*float64(most(m.alive))) || out > 0 && out == alive && alive > 1 {
		return fmt.Errorf("%v: %d of %d are out", m.now, out, alive)
	}
	for z, n := range zones {
		m.byZone[z] = append(m.byZone[z], n)
		if zoneOut[z] > int(m.share*float64(most(m.byZone[z]))) {
			return fmt.Errorf("%v: %d of %d are out in %s", m.now, zoneOut[z], n, z)
		}
	}
	return nil
}

func (m *model) outs() (n int) {
	for _, o := range m.members {
		if o.out && !o.dead {
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

// play is one schedule of faults.
func play(t *rapid.T) (wentOut bool) {
	n := rapid.IntRange(3, 16).Draw(t, "members")
	m := newModel(rapid.Uint64().Draw(t, "seed"), n, rapid.IntRange(1, 2).Draw(t, "zones"), rapid.Float64Range(0.2, 0.5).Draw(t, "share"), rapid.Float64Range(0, 0.3).Draw(t, "loss"))
	run := func(d time.Duration) {
		if err := m.run(d); err != nil {
			t.Fatal(err)
		}
		wentOut = wentOut || m.outs() > 0
	}
	pick := func() *one { return m.members[rapid.IntRange(0, n-1).Draw(t, "member")] }
	run(3 * time.Second)
	gen := uint64(0)
	want := func(o *one, w version.Desired, deadline time.Duration) {
		gen++
		if !o.dead && !o.paused {
			o.judge.SetDesired(m.now, Desired{Gen: gen, By: "test", Deadline: deadline, Version: w})
		}
	}
	for range rapid.IntRange(1, 8).Draw(t, "steps") {
		switch rapid.IntRange(0, 7).Draw(t, "step") {
		case 0, 1, 2: // some hear nothing of their agents; a new list for those that do, which is wanted
			for range rapid.IntRange(1, n/2).Draw(t, "deaf") {
				pick().deaf = true
			}
			m.index++
			for _, o := range m.members {
				if !o.dead && !o.deaf && !o.paused {
					o.vector.List = version.List{Index: m.index, Digest: version.Digest(m.index)}
					o.judge.SetLocal(o.vector, nil, "")
				}
			}
			want(pick(), version.Desired{Index: m.index}, time.Second)
			run(time.Duration(rapid.IntRange(0, 15).Draw(t, "s")) * time.Second)
		case 3: // that nobody can reach, or from two sides at once
			want(pick(), version.Desired{Index: m.index + 1000}, time.Second)
			if rapid.Bool().Draw(t, "two") {
				gen--
				want(pick(), version.Desired{Index: m.index}, time.Second)
			}
		case 4:
			m.split = !m.split
			for _, o := range m.members {
				o.side = rapid.IntRange(0, 1).Draw(t, "side")
			}
		case 5:
			o := pick()
			o.paused = !o.paused
		case 6: // some vanish at once
			for range rapid.IntRange(1, n/3).Draw(t, "dead") {
				pick().dead = true
			}
			run(time.Duration(rapid.IntRange(0, 25).Draw(t, "s")) * time.Second)
		default:
			o := pick()
			if o.dead {
				m.start(o)
			}
			o.deaf = false
		}
		run(time.Duration(rapid.IntRange(0, 6).Draw(t, "s")) * time.Second)
	}
	// All is mended: everybody comes back, and stays in.
	m.split = false
	for _, o := range m.members {
		if o.dead {
			m.start(o)
		}
		o.deaf, o.paused = false, false
	}
	want(m.members[0], version.Desired{Index: m.index}, 2*time.Second)
	run(60 * time.Second)
	if n := m.outs(); n > 0 {
		t.Fatalf("%d are still out though all is mended", n)
	}
	turns := 0
	for _, o := range m.members {
		turns += o.turns
	}
	run(20 * time.Second)
	for _, o := range m.members {
		turns -= o.turns
	}
	if turns != 0 {
		t.Fatalf("%d went out in a calm", -turns)
	}
	return wentOut
}

// TestSchedules plays 500 schedules of lists, wants, partitions, pauses, deaths and deaf agents: never is more than the stated share out, in the whole or in a zone, or the
// last; everybody who is cured comes back by itself; nobody goes out in a calm.
func TestSchedules(t *testing.T) {
	var out, all atomic.Int64
	t.Run("all", func(t *testing.T) {
		for i := range 5 { // 100 each
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				t.Parallel()
				rapid.Check(t, func(t *rapid.T) {
					rapid.SliceOfN(rapid.Byte(), i, i).Draw(t, "part") // with one seed for all, each part has schedules of its own
					all.Add(1)
					if play(t) {
						out.Add(1)
					}
				})
			})
		}
	})
	if out.Load() < all.Load()/10 {
		t.Errorf("in %d schedules of %d somebody went out: this test tests too little", out.Load(), all.Load())
	}
	t.Logf("somebody went out in %d of %d", out.Load(), all.Load())
}

// TestStragglersGoOut: a fifth of a fleet stays behind; the share goes out after deadline and settling, each once, and stays so; the rest stays in. Cured, they come back within
// seconds.
func TestStragglersGoOut(t *testing.T) {
	for _, n := range []int{8, 30, 100} {
		m := newModel(uint64(n), n, 1, 0.25, 0.1)
		for i, o := range m.members {
			o.deaf = i%4 == 3 || i == 0 // more than the share
		}
		if err := m.run(5 * time.Second); err != nil {
			t.Fatal(err)
		}
		m.index = 2
		for _, o := range m.members {
			if !o.deaf {
				o.vector.List = version.List{Index: 2, Digest: 2}
				o.judge.SetLocal(o.vector, nil, "")
			}
		}
		m.members[1].judge.SetDesired(m.now, Desired{Gen: 1, By: "test", Deadline: 5 * time.Second, Version: version.Desired{Index: 2}})
		if err := m.run(40 * time.Second); err != nil {
			t.Fatal(err)
		}
		turns := 0
		for _, o := range m.members {
			if turns += o.turns; o.turns > 1 {
				t.Errorf("%d: %s went out %d times", n, o.name, o.turns)
			}
			if o.out && !o.deaf {
				t.Errorf("%d: %s is current, and out", n, o.name)
			}
			if o.looks > 12 {
				t.Errorf("%d: %s has asked %d times", n, o.name, o.looks)
			}
		}
		if out := m.outs(); out < int(0.25*float64(n))-2 || out == 0 {
			t.Errorf("%d: %d are out", n, out)
		}
		for _, o := range m.members {
			if o.out {
				o.deaf = false
				o.vector.List = version.List{Index: 2, Digest: 2}
				o.judge.SetLocal(o.vector, nil, "")
			}
		}
		if err := m.run(5 * time.Second); err != nil {
			t.Fatal(err)
		}
		for _, o := range m.members {
			if o.out && !o.deaf {
				t.Errorf("%d: %s is cured, and out", n, o.name)
			}
		}
	}
}

// TestUnreachable: a want that nobody can reach, or a dead control side, takes nobody out.
func TestUnreachable(t *testing.T) {
	m := newModel(3, 20, 1, 0.5, 0)
	m.members[0].judge.SetDesired(0, Desired{Gen: 1, By: "test", Deadline: time.Second, Version: version.Desired{Build: "nowhere"}})
	if err := m.run(60 * time.Second); err != nil {
		t.Fatal(err)
	}
	for _, o := range m.members {
		if o.turns > 0 {
			t.Errorf("%s went out", o.name)
		}
	}
}

// TestSlept: a member that is out, or about to go, is stopped while most others vanish. Woken, it hears what they told before, and is in until it has settled anew.
func TestSlept(t *testing.T) {
	for name, stopAt := range map[string]func(o *one) bool{
		"out":         func(o *one) bool { return o.out },
		"about to go": func(o *one) bool { return o.judge.agreed > 0 },
	} {
		m := newModel(7, 8, 1, 0.25, 0)
		o := m.members[7]
		o.deaf = true
		m.index = 2
		for _, other := range m.members[:7] {
			other.vector.List = version.List{Index: 2, Digest: 2}
			other.judge.SetLocal(other.vector, nil, "")
		}
		m.members[0].judge.SetDesired(0, Desired{Gen: 1, By: "test", Deadline: time.Second, Version: version.Desired{Index: 2}})
		for !stopAt(o) {
			if err := m.step(); err != nil || m.now > time.Minute {
				t.Fatalf("%s: %v, at %v", name, err, m.now)
			}
		}
		o.paused = true
		if err := m.run(time.Second); err != nil {
			t.Fatal(err)
		}
		for _, other := range m.members[:5] {
			other.dead = true
		}
		if err := m.run(20 * time.Second); err != nil {
			t.Fatal(err)
		}
		o.paused = false
		for end := m.now + 7*time.Second; m.now < end; {
			if err := m.step(); err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			if o.out {
				t.Fatalf("%s: at %v it is out, by what it heard before it was stopped", name, m.now)
			}
		}
	}
}
