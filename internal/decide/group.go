package decide

import (
	"math"
	"slices"
	"time"
)

// groupKey is what all messages of a group have in common. Whether one of them may be sent depends on nothing
// else, and their order of priority on their age alone.
type groupKey struct {
	class        *Class
	value        float64
	retried      bool // they were sent before
	retryGranted bool // their next attempt has been granted by a retry budget
	mayHaveRun   bool // an earlier attempt may have run
	recovered    bool
	runZone      string
	endpoints    string // key of the endpoints that they may go to; empty for all
	state        groupState
}

type groupState int8

const (
	groupReady     groupState = iota
	groupDelayed              // not eligible until a time
	groupBehindKey            // an earlier message with its key is not completed
)

// group holds the messages with one groupKey that are queued for one destination, by age.
type group struct {
	key  groupKey
	dest *destination
	root *message
	size int

	shedIndex     int           // index in its heap of the shed index
	shedCreatedAt time.Duration // with shedSeq: what it is ordered by there
	shedSeq       uint64
}

// isOlder is the order within a group: by creation time, then by sequence number.
func isOlder(a, b *message) bool {
	return a.createdAt < b.createdAt || a.createdAt == b.createdAt && a.seq < b.seq
}

// A group is a treap: a search tree by age that is also a heap by a hash of the
// sequence number, which keeps it balanced whatever the order of insertions and removals.

func (g *group) insert(m *message) {
	m.left, m.right, m.treapPriority = nil, nil, hashSequence(m.seq)
	g.root = treapInsert(g.root, m)
	g.size++
}

func (g *group) remove(m *message) {
	link := &g.root
	for *link != m {
		if isOlder(m, *link) {
			link = &(*link).left
		} else {
			link = &(*link).right
		}
	}
	*link = treapJoin(m.left, m.right)
	m.left, m.right = nil, nil
	g.size--
}

func treapInsert(t, m *message) *message {
	link := &t
	at := link
	for *at != nil && (*at).treapPriority >= m.treapPriority {
		if isOlder(m, *at) {
			at = &(*at).left
		} else {
			at = &(*at).right
		}
	}
	m.left, m.right = treapSplit(*at, m)
	*at = m
	return t
}

// treapSplit splits a tree into the messages older than m and the others.
func treapSplit(t, m *message) (before, after *message) {
	l, r := &before, &after
	for t != nil {
		if isOlder(t, m) {
			*l = t
			l = &t.right
			t = t.right
		} else {
			*r = t
			r = &t.left
			t = t.left
		}
	}
	*l, *r = nil, nil
	return before, after
}

// treapJoin joins two trees; all messages of the first must be older than all of the second.
func treapJoin(a, b *message) (root *message) {
	link := &root
	for a != nil && b != nil {
		if a.treapPriority >= b.treapPriority {
			*link = a
			link = &a.right
			a = a.right
		} else {
			*link = b
			link = &b.left
			b = b.left
		}
	}
	if a == nil {
		a = b
	}
	*link = a
	return root
}

// hashSequence is the finalizer of splitmix64.
func hashSequence(x uint64) uint32 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return uint32(x >> 32)
}

// oldest returns the oldest message of the group, or nil.
func (g *group) oldest() *message {
	m := g.root
	for m != nil && m.left != nil {
		m = m.left
	}
	return m
}

func (g *group) youngest() *message {
	m := g.root
	for m != nil && m.right != nil {
		m = m.right
	}
	return m
}

// createdAround returns the last message created at a time or before it, and the first created after it.
func (g *group) createdAround(createdAt time.Duration) (before, after *message) {
	for m := g.root; m != nil; {
		if m.createdAt <= createdAt {
			before, m = m, m.right
		} else {
			after, m = m, m.left
		}
	}
	return before, after
}

// createdFrom returns the first message created at a time or after it.
func (g *group) createdFrom(createdAt time.Duration) (first *message) {
	for m := g.root; m != nil; {
		if m.createdAt >= createdAt {
			first, m = m, m.left
		} else {
			m = m.right
		}
	}
	return first
}

// highestScore returns the message of a group with the highest score, the oldest of equals, and its score. Between
// turning points the score is monotonic in age, so the highest one is at a turning point or at an end.
func (g *group) highestScore(f *Forwarder, mode selectionMode, latency time.Duration) (best *message, highest float64) {
	best = g.oldest()
	highest = f.score(best, mode, latency)
	if g.size == 1 {
		return best, highest
	}
	ages := f.turningPoints(g.key.class, mode, latency)
	if f.now-best.createdAt < slices.Min(ages) {
		return best, highest
	}
	consider := func(m *message) {
		if m == nil || m == best {
			return
		}
		if s := f.score(m, mode, latency); s > highest || s == highest && isOlder(m, best) {
			best, highest = m, s
		}
	}
	for _, b := range ages {
		before, after := g.createdAround(f.now - b)
		consider(after)
		if before != nil {
			consider(g.createdFrom(before.createdAt)) // the oldest of those created at the same time
		}
	}
	consider(g.createdFrom(g.youngest().createdAt))
	return best, highest
}

// turningPoints returns the ages at which the score of a class may turn from rising to falling with age or back.
// Before the first of them it does not fall.
func (f *Forwarder) turningPoints(class *Class, mode selectionMode, latency time.Duration) []time.Duration {
	b := f.scratchAges[:0]
	if mode == forProbe {
		b = append(b, class.Deadline-overdueAfter(latency)+1)
	} else {
		b = append(b, class.OnTime, class.OnTime-valueLossSpan+1-latency, class.OnTime-latency, class.OnTime+1-latency,
			class.Deadline-valueLossSpan-latency, class.Deadline-latency)
		if f.settings.Decay == Exponential && class.LateShare > 0 && class.LateShare < 1 {
			floor := class.OnTime + time.Duration(-math.Log2(class.LateShare)*float64(class.OnTime))
			b = append(b, floor-valueLossSpan-latency, floor-latency)
		}
	}
	f.scratchAges = b
	return b
}

// addToGroup puts a queued message into its group.
func (f *Forwarder) addToGroup(m *message) {
	key := groupKey{class: m.class, value: m.value, retried: m.sends > 0, retryGranted: m.retryGrant != nil, mayHaveRun: m.mayHaveRun, recovered: m.recovered, endpoints: m.filter.key}
	if m.mayHaveRun {
		key.runZone = m.runZone
	}
	switch {
	case m.keyQueue != nil && m.keyQueue.first != m:
		key.state = groupBehindKey
	case f.now < m.earliest():
		key.state = groupDelayed
		m.dest.delayed.fix(m)
	}
	m.group = m.dest.findGroup(f, key)
	m.group.insert(m)
}

// removeFromGroup removes a message from its group.
func (f *Forwarder) removeFromGroup(m *message) {
	g := m.group
	g.remove(m)
	m.group = nil
	m.dest.delayed.remove(m)
	f.invalidateShedIndex(m.dest)
	if g.size == 0 {
		if g.shedIndex != 0 {
			f.shedIndex[shedKey{g.key.class, g.key.value}].remove(g)
		}
		g.dest.groups = withoutItem(g.dest.groups, g)
		if len(f.freeGroups) < 64 {
			f.freeGroups = append(f.freeGroups, g)
		}
	}
}

// findGroup returns the group of a key, and creates it if need be.
func (d *destination) findGroup(f *Forwarder, key groupKey) *group {
	for _, g := range d.groups {
		if g.key == key {
			return g
		}
	}
	g := &group{}
	if n := len(f.freeGroups); n > 0 {
		g, f.freeGroups = f.freeGroups[n-1], f.freeGroups[:n-1]
	}
	*g = group{key: key, dest: d}
	d.groups = append(d.groups, g)
	return g
}

// releaseDelayed moves the delayed messages whose earliest time has come to the ready groups.
func (f *Forwarder) releaseDelayed(d *destination) {
	for d.delayed.len() > 0 && f.now >= d.delayed.min().earliest() {
		m := d.delayed.min()
		f.removeFromGroup(m)
		f.addToGroup(m)
	}
}
