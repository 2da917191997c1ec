package decide

import (
	"math"
	"slices"
	"time"
)

// What keeps the cost of a message from growing with the destinations and the
// messages held: heaps and ordered trees in the place of walks. Nothing here
// decides anything; scan_test.go has the walks that it must agree with.

// heap is a binary heap whose items know their place, so that one can be moved
// or taken out. The place is kept plus one: 0 is not in the heap.
type heap[T any] struct {
	items []T
	less  func(a, b T) bool
	place func(T) *int
}

func (h *heap[T]) len() int { return len(h.items) }

// min is the least item; the heap must not be empty.
func (h *heap[T]) min() T { return h.items[0] }

// fix puts an item into its place, in the heap or not.
func (h *heap[T]) fix(x T) {
	p := h.place(x)
	if *p == 0 {
		h.items = append(h.items, x)
		*p = len(h.items)
	}
	if !h.up(*p - 1) {
		h.down(*p - 1)
	}
}

// remove takes an item out, if it is in.
func (h *heap[T]) remove(x T) {
	p := h.place(x)
	if *p == 0 {
		return
	}
	i, last := *p-1, len(h.items)-1
	*p = 0
	moved := h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	if i < last {
		h.items[i] = moved
		*h.place(moved) = i + 1
		if !h.up(i) {
			h.down(i)
		}
	}
	if cap(h.items) > 64 && len(h.items) < cap(h.items)/8 { // what a peak took is given back
		h.items = slices.Clone(h.items)
	}
}

func (h *heap[T]) pop() T {
	x := h.items[0]
	h.remove(x)
	return x
}

func (h *heap[T]) up(i int) (moved bool) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			break
		}
		h.swap(i, parent)
		i, moved = parent, true
	}
	return moved
}

func (h *heap[T]) down(i int) {
	for {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(h.items); c++ {
			if h.less(h.items[c], h.items[least]) {
				least = c
			}
		}
		if least == i {
			return
		}
		h.swap(i, least)
		i = least
	}
}

func (h *heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.place(h.items[i]), *h.place(h.items[j]) = i+1, j+1
}

// groupKey is what is the same for all messages of a group: whether one of them
// may go depends on nothing else, and how urgent it is on its age alone.
type groupKey struct {
	class   *Class
	worth   float64
	again   bool // tried before
	granted bool // its next try has been granted
	ran     bool // it may have run
	owed    bool
	ranZone string
	only    string // the targets that it may go to; empty: all
	state   groupState
}

type groupState int8

const (
	ready   groupState = iota
	delayed            // not sent before a time
	behind             // an earlier message with its key is not over
)

// group is the messages of one kind that wait for one destination, by age.
type group struct {
	key  groupKey
	dest *dest
	root *message
	n    int

	at       int           // in the heap of what is shed first
	shedBorn time.Duration // by which it stands there
	shedSeq  uint64
}

// older is the order within a group: by birth, and then as taken.
func older(a, b *message) bool {
	return a.born < b.born || a.born == b.born && a.seq < b.seq
}

// A group is a treap: a search tree by age that is a heap by a hash of the
// sequence number, which keeps it flat whatever the order of coming and going.

func (g *group) insert(m *message) {
	m.left, m.right, m.prio = nil, nil, scatter(m.seq)
	g.root = treapInsert(g.root, m)
	g.n++
}

func (g *group) remove(m *message) {
	link := &g.root
	for *link != m {
		if older(m, *link) {
			link = &(*link).left
		} else {
			link = &(*link).right
		}
	}
	*link = treapJoin(m.left, m.right)
	m.left, m.right = nil, nil
	g.n--
}

func treapInsert(t, m *message) *message {
	link := &t
	at := link
	for *at != nil && (*at).prio >= m.prio {
		if older(m, *at) {
			at = &(*at).left
		} else {
			at = &(*at).right
		}
	}
	m.left, m.right = treapSplit(*at, m)
	*at = m
	return t
}

// treapSplit parts a tree into what is older than m and what is not.
func treapSplit(t, m *message) (before, after *message) {
	l, r := &before, &after
	for t != nil {
		if older(t, m) {
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

// treapJoin joins two trees, all of the first older than all of the second.
func treapJoin(a, b *message) (root *message) {
	link := &root
	for a != nil && b != nil {
		if a.prio >= b.prio {
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

// scatter is the finalizer of splitmix64.
func scatter(x uint64) uint32 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return uint32(x >> 32)
}

// oldest is the first of the group, or nil.
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

// around finds the last message born at a time or before, and the first born after it.
func (g *group) around(born time.Duration) (before, after *message) {
	for m := g.root; m != nil; {
		if m.born <= born {
			before, m = m, m.right
		} else {
			after, m = m, m.left
		}
	}
	return before, after
}

// first finds the first message born at a time or after it.
func (g *group) first(born time.Duration) (first *message) {
	for m := g.root; m != nil; {
		if m.born >= born {
			first, m = m, m.left
		} else {
			m = m.right
		}
	}
	return first
}

// pick finds the message of a group with the highest score, and of equals the oldest. Between
// turning points the score goes one way only, or stays: so it is at one of them, or at an end.
func (g *group) pick(f *Forwarder, how choice, usual time.Duration) (best *message, highest float64) {
	best = g.oldest()
	highest = f.score(best, how, usual)
	if g.n == 1 {
		return best, highest
	}
	breaks := f.turningPoints(g.key.class, how, usual)
	if f.now-best.born < slices.Min(breaks) {
		return best, highest
	}
	consider := func(m *message) {
		if m == nil || m == best {
			return
		}
		if s := f.score(m, how, usual); s > highest || s == highest && older(m, best) {
			best, highest = m, s
		}
	}
	for _, b := range breaks {
		before, after := g.around(f.now - b)
		consider(after)
		if before != nil {
			consider(g.first(before.born)) // the oldest of those born then
		}
	}
	consider(g.first(g.youngest().born))
	return best, highest
}

// turningPoints are the ages of a class between which the score rises with age, falls or stays;
// before the first of them it does not fall.
func (f *Forwarder) turningPoints(c *Class, how choice, usual time.Duration) []time.Duration {
	b := f.breaks[:0]
	if how == asTrial {
		b = append(b, c.Deadline-fairOf(usual)+1)
	} else {
		b = append(b, c.Aim, c.Aim-lossSpan+1-usual, c.Aim-usual, c.Aim+1-usual,
			c.Deadline-lossSpan-usual, c.Deadline-usual)
		if f.set.Decay == Halves && c.LateShare > 0 && c.LateShare < 1 {
			floor := c.Aim + time.Duration(-math.Log2(c.LateShare)*float64(c.Aim))
			b = append(b, floor-lossSpan-usual, floor-usual)
		}
	}
	f.breaks = b
	return b
}

// place puts a message that waits into its group.
func (f *Forwarder) place(m *message) {
	key := groupKey{class: m.class, worth: m.worth, again: m.tries > 0, granted: m.granted != nil, ran: m.mayRan, owed: m.owed, only: m.among.key}
	if m.mayRan {
		key.ranZone = m.ranZone
	}
	switch {
	case m.line != nil && m.line.first != m:
		key.state = behind
	case f.now < m.from():
		key.state = delayed
		m.dest.delayed.fix(m)
	}
	m.group = m.dest.group(f, key)
	m.group.insert(m)
}

// displace takes a message out of its group.
func (f *Forwarder) displace(m *message) {
	g := m.group
	g.remove(m)
	m.group = nil
	m.dest.delayed.remove(m)
	f.noteMoved(m.dest)
	if g.n == 0 {
		if g.at != 0 {
			f.shedding[shedKey{g.key.class, g.key.worth}].remove(g)
		}
		g.dest.groups = without(g.dest.groups, g)
		if len(f.spare) < 64 {
			f.spare = append(f.spare, g)
		}
	}
}

// group finds the group of a kind, or makes it.
func (d *dest) group(f *Forwarder, key groupKey) *group {
	for _, g := range d.groups {
		if g.key == key {
			return g
		}
	}
	g := &group{}
	if n := len(f.spare); n > 0 {
		g, f.spare = f.spare[n-1], f.spare[:n-1]
	}
	*g = group{key: key, dest: d}
	d.groups = append(d.groups, g)
	return g
}

// release puts messages whose time has come among those that are ready.
func (f *Forwarder) release(d *dest) {
	for d.delayed.len() > 0 && f.now >= d.delayed.min().from() {
		m := d.delayed.min()
		f.displace(m)
		f.place(m)
	}
}

// nextTurn is the destination whose turn it is: of those at which something may
// have changed, and of those that wait for room among the calls in doubt, if there is some.
func (f *Forwarder) nextTurn() (next *dest) {
	consider := func(h *heap[*dest]) {
		if h.len() > 0 && (next == nil || sooner(h.min(), next)) {
			next = h.min()
		}
	}
	consider(&f.ready)
	for by := range f.shy {
		if f.roomIn(doubtKind(by)) {
			consider(&f.shy[by])
		}
	}
	return next
}

// sooner is the order of turns: fewest calls out, longest since the last turn, longest waiting.
func sooner(a, b *dest) bool {
	switch a, b := a.rank, b.rank; {
	case a.out != b.out:
		return a.out < b.out
	case a.served != b.served:
		return a.served < b.served
	default:
		return a.turn < b.turn
	}
}

// rank is what the turn of a destination goes by, as of when it was last stirred.
type rank struct {
	out    int
	served time.Duration
	turn   uint64
}

// stirred notes that a destination must be looked at again.
func (f *Forwarder) stirred(d *dest) {
	f.gates.remove(d)
	f.unshy(d)
	if d.n > 0 {
		d.rank = rank{d.out, d.served, d.turn}
		f.ready.fix(d)
	} else {
		f.ready.remove(d)
	}
	f.noteMoved(d)
}

// noteMoved notes that what may be shed of a destination must be looked at again.
func (f *Forwarder) noteMoved(d *dest) {
	if f.set.MaxHeld > 0 && !d.moved {
		d.moved = true
		f.moved = append(f.moved, d)
	}
}

// rest notes from when on a destination must be looked at again, though nothing comes for it, and
// for which room it waits.
func (f *Forwarder) rest(d *dest, gate time.Duration, by doubtKind) {
	f.ready.remove(d)
	f.unshy(d)
	if d.gate = gate; gate < never {
		f.gates.fix(d)
	}
	if by != noDoubt {
		d.shyBy = by
		f.shy[by].fix(d)
	}
}

func (f *Forwarder) unshy(d *dest) {
	if d.shyPlace != 0 {
		f.shy[d.shyBy].remove(d)
	}
}

// shedKey is a kind of message for which what is worth least is what was born first,
// the wait before it counted in.
type shedKey struct {
	class *Class
	worth float64
}

// sheddable brings the index of what may be shed up to date and returns the
// group of each kind in which the one worth least is the oldest.
func (f *Forwarder) sheddable(each func(g *group)) {
	for _, d := range f.moved {
		d.moved = false
		d.delay = f.queueTime(d)
		for _, g := range d.groups {
			if g.key.owed || !f.refusable(g.root) {
				continue
			}
			k := shedKey{g.key.class, g.key.worth}
			h := f.shedding[k]
			if h == nil {
				h = &heap[*group]{less: shedFirst, place: func(g *group) *int { return &g.at }}
				f.shedding[k] = h
			}
			first := g.oldest()
			g.shedBorn, g.shedSeq = first.born-d.delay, first.seq
			h.fix(g)
		}
	}
	clear(f.moved)
	f.moved = f.moved[:0]
	for i := range f.set.Classes { // not over the map: the order must not be by chance
		c := &f.set.Classes[i]
		for _, worth := range [...]float64{c.Worth, c.Worth * f.set.OverShareWorth} {
			if h := f.shedding[shedKey{c, worth}]; h != nil && h.len() > 0 {
				each(h.min())
			}
		}
	}
}

func shedFirst(a, b *group) bool {
	return a.shedBorn < b.shedBorn || a.shedBorn == b.shedBorn && a.shedSeq < b.shedSeq
}

// callList is the calls out in the order sent.
type callList struct {
	first, last *call
	n           int
}

func (l *callList) push(c *call) {
	c.prev = l.last
	if l.last != nil {
		l.last.next = c
	} else {
		l.first = c
	}
	l.last = c
	l.n++
}

func (l *callList) remove(c *call) {
	if c.prev != nil {
		c.prev.next = c.next
	} else {
		l.first = c.next
	}
	if c.next != nil {
		c.next.prev = c.prev
	} else {
		l.last = c.prev
	}
	c.prev, c.next = nil, nil
	l.n--
}
