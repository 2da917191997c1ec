package decide

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// What a Forwarder remembers, for one of the same settings that goes on in its place: routes and targets with their waits, outages, budgets and
// paces, the calls that are out, and what it knows of each message. Times are on the clock of the one that saved it; the host lets the
// clock of the other go on from there. Nothing here decides anything.

// memoryFormat changes whenever what is written does.
const memoryFormat = 4

var errMemory = errors.New("what the process before remembers can't be read")

// carrier writes or reads one value after the other: one list of fields serves both ways.
type carrier struct {
	buf     []byte
	reading bool
	err     error
}

func (c *carrier) fail(what string) {
	if c.err == nil {
		c.err = fmt.Errorf("%w: %s, %d bytes before its end", errMemory, what, len(c.buf))
	}
	c.buf = nil
}

func (c *carrier) uint(v *uint64) {
	if !c.reading {
		c.buf = binary.AppendUvarint(c.buf, *v)
		return
	}
	got, n := binary.Uvarint(c.buf)
	if n <= 0 {
		c.fail("a number that is cut short")
		return
	}
	*v, c.buf = got, c.buf[n:]
}

func carryInt[T ~int | ~int8 | ~int64](c *carrier, v *T) {
	u := uint64(int64(*v)<<1) ^ uint64(int64(*v)>>63)
	if c.uint(&u); c.reading {
		*v = T(int64(u>>1) ^ -int64(u&1))
	}
}

func (c *carrier) times(list ...*time.Duration) {
	for _, v := range list {
		carryInt(c, v)
	}
}

func (c *carrier) ints(list ...*int) {
	for _, v := range list {
		if carryInt(c, v); *v < 0 {
			c.fail("less than nothing")
			*v = 0
		}
	}
}

func (c *carrier) floats(list ...*float64) {
	for _, v := range list {
		u := math.Float64bits(*v)
		if c.uint(&u); !c.reading {
			continue
		}
		if *v = math.Float64frombits(u); math.IsNaN(*v) {
			c.fail("no number")
		}
	}
}

func (c *carrier) bools(list ...*bool) {
	for _, v := range list {
		n := int(share(*v))
		if carryInt(c, &n); c.reading {
			*v = n == 1
		}
	}
}

func (c *carrier) counts(list ...*decaying) {
	for _, v := range list {
		c.floats(&v.value)
		c.times(&v.at)
	}
}

func (c *carrier) text(v *string) {
	n := c.length(len(*v))
	if !c.reading {
		c.buf = append(c.buf, *v...)
	} else if c.err == nil {
		*v, c.buf = string(c.buf[:n]), c.buf[n:]
	}
}

// length carries how many items follow, each a byte at least.
func (c *carrier) length(n int) int {
	u := uint64(n)
	if c.uint(&u); c.reading && u > uint64(len(c.buf)) {
		c.fail("more items than bytes")
		return 0
	}
	return int(u)
}

// Memory is what was read of a Save.
type Memory struct {
	usual, begun time.Duration
	seq          uint64
	chance       string // the state of what draws by chance
	idleLoss     [idleSteps]decayingMean
	longLoss     decayingMean
	longer       map[string]float64
	tenants      map[string]tenant
	dests        []destMemory
	targets      []targetMemory
	calls        []callMemory
	messages     map[string]*messageMemory
	lines        map[string]time.Duration // keys that rest
}

type destMemory struct {
	id        int
	seq, turn uint64
	served    time.Duration
	taken     decaying
	most      float64
	mostAt    time.Duration
	routes    []routeMemory
}

// routeMemory is a route as carry carries it, with the names of its targets in their order.
type routeMemory struct {
	route
	order []string
}

type targetMemory struct {
	listed Target
	target
}

type callMemory struct {
	target string
	call
	made   *call // by Restore
	places []int // of its parts, in the order that they came
}

type messageMemory struct {
	message
	granted string // the route's name, after = or, if that went with its target, -; empty for none
	copies  bool   // a second copy is due
	parts   []partMemory
}

// partMemory is an attempt that is out.
type partMemory struct{ n, call, place int }

func (r *routeMemory) carry(c *carrier) {
	carryList(c, &r.order, c.text)
	c.text(&r.name)
	c.times(&r.touched, &r.told, &r.spent, &r.interval, &r.mean, &r.lastOK, &r.okSent, &r.closed, &r.failing, &r.tried, &r.gap, &r.warm0,
		&r.filled, &r.free, &r.cutAt, &r.heard)
	c.ints(&r.seen, &r.bad, &r.fulls, &r.good, &r.allFirst, &r.all, &r.calledOff, &r.goods)
	c.floats(&r.turn, &r.ratio, &r.fails, &r.proof, &r.draw, &r.rate, &r.pace, &r.tokens, &r.limit, &r.room, &r.asked)
	c.bools(&r.shared, &r.open, &r.cold, &r.warming, &r.bound)
	c.counts(&r.firsts, &r.further, &r.oks, &r.sent, &r.doubt.decaying)
	c.text(&r.why)
	carryInt(c, &r.silence)
	if r.silence < 0 || r.silence >= kindsOfDoubt {
		c.fail("a doubt of no kind")
	}
}

func (t *targetMemory) carry(c *carrier) {
	c.text(&t.listed.ID)
	c.ints(&t.listed.Destination)
	c.text(&t.listed.Kind)
	c.text(&t.listed.Zone)
	c.floats(&t.turn)
	c.counts(&t.uses, &t.failing.decaying)
	c.ints(&t.failed)
	c.times(&t.avoidTil, &t.coldTil, &t.place)
	carryList(c, &t.free, func(at *time.Duration) { c.times(at) })
}

func (k *callMemory) carry(c *carrier) {
	c.text(&k.target)
	c.times(&k.sent)
	c.bools(&k.trial, &k.called, &k.missed, &k.hasty)
	c.ints(&k.idle)
	carryInt(c, &k.doubt)
	if k.doubt < 0 || k.doubt >= kindsOfDoubt || k.idle < 0 || k.idle >= idleSteps {
		c.fail("a call of no kind")
	}
}

func (m *messageMemory) carry(c *carrier) {
	c.text(&m.id)
	c.uint(&m.seq)
	c.times(&m.born, &m.deadline, &m.ranSent, &m.after, &m.copyAt)
	c.floats(&m.worth)
	c.ints(&m.attempts, &m.tries)
	c.bools(&m.mayRan, &m.copies, &m.owed)
	c.text(&m.ranZone)
	c.text(&m.granted)
	n := c.length(len(m.parts))
	if c.reading {
		m.parts = make([]partMemory, n)
	}
	for i := range m.parts {
		c.ints(&m.parts[i].n, &m.parts[i].call, &m.parts[i].place)
	}
}

// carryList carries a list of things, each of which carries itself.
func carryList[T any](c *carrier, list *[]T, carry func(*T)) {
	n := c.length(len(*list))
	if c.reading {
		*list = make([]T, 0, min(n, 1024))
	}
	for i := 0; i < n && c.err == nil; i++ {
		if c.reading {
			var zero T
			*list = append(*list, zero)
		}
		carry(&(*list)[i])
	}
}

// carryMap carries what is known by name, in the order of the names.
func carryMap[T any](c *carrier, m *map[string]T, carry func(*T)) {
	names := slices.Sorted(maps.Keys(*m))
	if c.reading {
		*m = map[string]T{}
	}
	carryList(c, &names, func(name *string) {
		c.text(name)
		v := (*m)[*name]
		carry(&v)
		(*m)[*name] = v
	})
}

func (m *Memory) carry(c *carrier) {
	format := memoryFormat
	if c.ints(&format); c.err == nil && format != memoryFormat {
		c.fail(fmt.Sprintf("format %d, and this program reads %d", format, memoryFormat))
	}
	c.times(&m.usual, &m.begun)
	c.uint(&m.seq)
	c.text(&m.chance)
	c.counts(&m.longLoss.decaying)
	for i := range m.idleLoss {
		c.counts(&m.idleLoss[i].decaying)
	}
	carryMap(c, &m.longer, func(v *float64) { c.floats(v) })
	carryMap(c, &m.tenants, func(t *tenant) {
		c.floats(&t.tokens)
		c.times(&t.filled)
	})
	carryList(c, &m.dests, func(d *destMemory) {
		c.ints(&d.id)
		c.uint(&d.seq)
		c.uint(&d.turn)
		c.times(&d.served)
		c.counts(&d.taken)
		c.floats(&d.most)
		c.times(&d.mostAt)
		carryList(c, &d.routes, func(r *routeMemory) { r.carry(c) })
	})
	carryList(c, &m.targets, func(t *targetMemory) { t.carry(c) })
	carryList(c, &m.calls, func(k *callMemory) { k.carry(c) })
	carryMap(c, &m.messages, func(v **messageMemory) {
		if *v == nil {
			*v = &messageMemory{}
		}
		(*v).carry(c)
		for _, p := range (*v).parts {
			if p.call < 0 || p.call >= len(m.calls) {
				c.fail("an attempt of no call")
			}
		}
	})
	carryMap(c, &m.lines, func(at *time.Duration) { c.times(at) })
}

// Save returns what the Forwarder remembers. Calls that are out without a message that is still held are left out: the host has called them off.
func (f *Forwarder) Save() []byte {
	m := &Memory{usual: f.usual, begun: f.begun, seq: f.seq, lines: map[string]time.Duration{}, idleLoss: f.idleLoss, longLoss: f.longLoss, longer: map[string]float64{}, tenants: map[string]tenant{}, messages: map[string]*messageMemory{}}
	for class, v := range f.longer {
		m.longer[class.Name] = v
	}
	for name, t := range f.tenants {
		m.tenants[name] = *t
	}
	for _, d := range slices.SortedFunc(maps.Values(f.dests), func(a, b *dest) int { return cmp.Compare(a.seq, b.seq) }) {
		dm := destMemory{id: d.id, seq: d.seq, turn: d.turn, served: d.served, taken: d.taken, most: d.most, mostAt: d.mostAt}
		for _, r := range d.routes {
			f.settle(r)
			rm := routeMemory{route: *r}
			for _, t := range r.targets {
				rm.order = append(rm.order, t.id)
			}
			dm.routes = append(dm.routes, rm)
		}
		m.dests = append(m.dests, dm)
	}
	for _, id := range slices.Sorted(maps.Keys(f.targets)) {
		t := f.targets[id]
		m.targets = append(m.targets, targetMemory{Target{ID: t.id, Destination: t.route.dest.id, Kind: t.kind.Name, Zone: t.zone}, *t})
	}
	if state, err := f.source.MarshalBinary(); err == nil {
		m.chance = string(state)
	}
	for key, l := range f.lines {
		if f.now < l.rests {
			m.lines[key] = l.rests
		}
	}
	numbers := map[*call]int{}
	for c := f.calls.first; c != nil; c = c.next {
		if slices.ContainsFunc(c.parts, func(a *attempt) bool { return !a.m.over && a.isOut() }) {
			numbers[c] = len(m.calls)
			m.calls = append(m.calls, callMemory{target: c.target.id, call: *c})
		}
	}
	for id, msg := range f.msgs {
		if msg.over {
			continue
		}
		mm := &messageMemory{message: *msg, copies: msg.copyPlace > 0}
		if msg.granted != nil {
			mm.granted = "=" + msg.granted.name
			if !slices.Contains(msg.dest.routes, msg.granted) { // its target went; one of the same name may have come
				mm.granted = "-" + msg.granted.name
			}
		}
		for _, a := range []*attempt{msg.other, msg.sent} {
			if a != nil {
				mm.parts = append(mm.parts, partMemory{a.n, numbers[a.call], slices.Index(a.call.parts, a)})
			}
		}
		m.messages[id] = mm
	}
	c := &carrier{}
	m.carry(c)
	return c.buf
}

// isOut tells whether an attempt has no outcome yet.
func (a *attempt) isOut() bool { return a.m.sent == a || a.m.other == a }

// ReadMemory reads what Save returned.
func ReadMemory(b []byte) (*Memory, error) {
	m := &Memory{}
	c := &carrier{buf: b, reading: true}
	if m.carry(c); c.err == nil && len(c.buf) > 0 {
		c.fail("more than there should be")
	}
	return m, c.err
}

// Restore goes on from what another Forwarder remembered, before the first Step: now is on that one's clock. The lists are those that the host
// knows, and held is what it holds, as for a restart. It returns the final answers that are due at once, and the messages of which the
// memory knows calls that are out.
func (f *Forwarder) Restore(now time.Duration, m *Memory, lists []TargetList, held []Message) (actions []Action, out map[string][]int) {
	f.now, f.actions, f.next = now, nil, never
	f.begun, f.usual, f.idleLoss, f.longLoss = m.begun, m.usual, m.idleLoss, m.longLoss
	for name, c := range f.classes {
		if v, ok := m.longer[name]; ok {
			f.longer[c] = v
		}
	}
	for name, t := range m.tenants {
		if own := f.tenants[name]; own != nil {
			own.tokens, own.filled = min(t.tokens, 2*own.quota), t.filled
		}
	}
	for _, l := range lists {
		f.list(l)
	}
	f.restoreRoutes(m)
	f.restoreCalls(m)
	f.seq = max(f.seq, m.seq)
	if err := f.source.UnmarshalBinary([]byte(m.chance)); err != nil { // its own will do
		f.source.Seed(f.set.Seed, f.set.Seed)
	}
	slices.SortFunc(held, func(a, b Message) int {
		if x, y := m.messages[a.ID], m.messages[b.ID]; x != nil && y != nil {
			return cmp.Compare(x.seq, y.seq)
		}
		return 0 // the host has them in the order taken
	})
	out = map[string][]int{}
	var unknown []Message
	for _, e := range held {
		if k := m.messages[e.ID]; k != nil && f.classes[e.Class] != nil && f.msgs[e.ID] == nil {
			out[e.ID] = f.carryOn(e, k, m)
		} else {
			unknown = append(unknown, e)
		}
	}
	for _, k := range m.calls { // one whose messages are gone would hold its slot for good
		if c := k.made; c != nil && c.left == 0 {
			f.endCall(c)
		}
	}
	f.restoreLines(m)
	f.restoreRoutes(m) // again: to hold a message works its routes' paces out anew
	for _, dm := range m.dests {
		d := f.dests[dm.id]
		d.seq, d.turn = dm.seq, dm.turn
	}
	for _, d := range f.dests {
		f.stirred(d)
		f.mayBeQuiet(d)
	}
	for _, e := range unknown {
		f.take(e)
	}
	return f.actions, out
}

func (f *Forwarder) restoreRoutes(m *Memory) {
	for _, dm := range m.dests {
		d := f.destination(dm.id)
		d.served, d.taken = dm.served, dm.taken
		d.most, d.mostAt = dm.most, dm.mostAt
		for i := range dm.routes {
			from := &dm.routes[i]
			at := slices.IndexFunc(d.routes, func(r *route) bool { return r.name == from.name })
			if at < 0 && from.name != "" {
				continue // it went with its target
			}
			if at < 0 { // no target of it is listed just now; what it was told holds all the same
				at = len(d.routes)
				d.routes = append(d.routes, f.freshRoute("", d))
			}
			r := d.routes[at]
			from.dest, from.targets, from.calls, from.trials, from.reserved = d, r.targets, r.calls, r.trials, r.reserved
			from.watchAt, from.watchPlace, from.unwatched = r.watchAt, r.watchPlace, r.unwatched
			*r = from.route
			slices.SortStableFunc(r.targets, func(a, b *target) int {
				return cmp.Compare(slices.Index(from.order, a.id), slices.Index(from.order, b.id))
			})
			if to := min(i, len(d.routes)-1); to != at { // in the order of before
				d.routes = slices.Insert(slices.Delete(d.routes, at, at+1), to, r)
			}
		}
	}
	for _, tm := range m.targets {
		t := f.targets[tm.listed.ID]
		if t == nil && slices.ContainsFunc(m.calls, func(k callMemory) bool { return k.target == tm.listed.ID }) {
			t = f.target(Target{ID: tm.listed.ID, Destination: tm.listed.Destination, Kind: tm.listed.Kind, Zone: tm.listed.Zone, State: Gone})
		}
		if t == nil || t.route.dest.id != tm.listed.Destination {
			continue
		}
		t.turn, t.uses, t.failing, t.failed, t.avoidTil, t.coldTil, t.place = tm.turn, tm.uses, tm.failing, tm.failed, tm.avoidTil, tm.coldTil, tm.place
		t.free = tm.free
	}
}

// restoreLines has keys rest that did, in the order in which their rests end.
func (f *Forwarder) restoreLines(m *Memory) {
	keys := slices.SortedFunc(maps.Keys(m.lines), func(a, b string) int { return cmp.Compare(m.lines[a], m.lines[b]) })
	for _, key := range keys {
		l := f.lines[key]
		if l == nil {
			l = &keyLine{key: key}
			f.lines[key] = l
			f.resting = append(f.resting, l)
		}
		l.rests = m.lines[key]
		if l.first != nil && l.first.group != nil { // it has its place by when it may go
			f.displace(l.first)
			f.place(l.first)
		}
	}
}

func (f *Forwarder) restoreCalls(m *Memory) {
	for i := range m.calls {
		k := &m.calls[i]
		t := f.targets[k.target]
		if t == nil {
			continue
		}
		r := t.route
		f.seq++
		c := &call{route: r, target: t, sent: k.sent, trial: k.trial, called: k.called, missed: k.missed, hasty: k.hasty, idle: k.idle, doubt: k.doubt, seq: f.seq}
		k.made = c
		if c.doubt != noDoubt {
			f.doubts[c.doubt]++
		}
		r.calls = append(r.calls, c)
		if c.trial {
			r.trials++
		}
		r.dest.out++
		t.out++
		f.calls.push(c)
		f.unwatch(r)
	}
}

// carryOn goes on with one message, and returns the numbers of its attempts that are out.
func (f *Forwarder) carryOn(e Message, k *messageMemory, mem *Memory) (out []int) {
	m := f.newMessage(e, f.classes[e.Class])
	m.born, m.deadline, m.worth, m.ranSent, m.after, m.ranZone = k.born, k.deadline, k.worth, k.ranSent, k.after, k.ranZone
	m.seq, m.attempts, m.tries, m.mayRan, m.owed = k.seq, e.Attempts, k.tries, k.mayRan, k.owed
	for _, p := range k.parts {
		of := &mem.calls[p.call]
		c := of.made
		if c == nil { // to a target that is not known any more
			m.mayRan = true
			continue
		}
		a := &attempt{n: p.n, m: m, call: c}
		m.sent, m.other = a, m.sent
		at, _ := slices.BinarySearch(of.places, p.place) // those that went together keep their order
		of.places = slices.Insert(of.places, at, p.place)
		c.parts = slices.Insert(c.parts, at, a)
		c.left++
		m.out++
		out = append(out, p.n)
	}
	if len(k.parts) == 0 && e.Open { // the host began one that the memory does not know
		m.mayRan = true
	}
	if k.granted != "" && m.out == 0 {
		at := slices.IndexFunc(m.dest.routes, func(r *route) bool { return "="+r.name == k.granted })
		if m.granted = f.freshRoute(k.granted[1:], m.dest); at >= 0 { // else that went with its target, and the grant did not
			m.granted = m.dest.routes[at]
		}
		m.granted.reserved++
	}
	switch {
	case m.out > 0:
		if k.copies && m.other == nil {
			m.copyAt = k.copyAt
			f.copies.fix(m)
		}
	case m.mayRan && m.class.Effect == Unsafe || f.usedUp(m) || f.now >= m.ends():
		f.answer(m)
	default:
		f.hold(m)
	}
	return out
}
