package decide

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const never = time.Duration(math.MaxInt64)

// The module's memory. Nothing here decides anything: see policy.go.

// message is one that was taken and is not yet forgotten.
type message struct {
	id       string
	seq      uint64 // in the order taken
	class    *Class
	dest     *dest
	line     *keyLine // its key's line, or nil
	inFront  *message // in that line
	behind   *message
	born     time.Duration // when it was first handed in
	deadline time.Duration
	worth    float64
	limits   *Limits
	among    *amongKey
	attempts int  // sends, as the host numbers them
	tries    int  // sends that were really made
	owed     bool // taken up from before a restart, and not sent since: nobody makes room by it
	out      int  // attempts without an outcome
	over     bool
	mayRan   bool          // an earlier attempt may have run
	ranZone  string        // where the first such attempt went
	ranSent  time.Duration // and when
	after    time.Duration // not sent before this
	granted  *route        // the route whose budget has granted its next try, or nil
	sent     *attempt      // the one that is out, or nil
	other    *attempt      // sent before that one, and out still
	copyAt   time.Duration // when a second copy is due
	copying  bool          // one is being sent

	// While it waits.
	group       *group
	left, right *message // in the group
	prio        uint32
	endsAt      time.Duration // when it must be answered
	endsPlace   int
	delayPlace  int
	copyPlace   int
}

// ended takes the attempt of a number off those that are out, and returns it; m may be nil.
func (m *message) ended(n int) (a *attempt) {
	switch {
	case m == nil:
	case m.sent != nil && m.sent.n == n:
		a, m.sent, m.other = m.sent, m.other, nil
	case m.other != nil && m.other.n == n:
		a, m.other = m.other, nil
	}
	return a
}

// outAt tells whether an attempt is out to a target.
func (m *message) outAt(t *target) bool { return m.sent != nil && m.sent.call.target == t }

// from is when a message may be sent at the earliest.
func (m *message) from() time.Duration {
	if m.line != nil && m.tries == 0 {
		return max(m.after, m.line.rests)
	}
	return m.after
}

// amongKey is an Among as groups are told apart by it.
type amongKey struct {
	Among
	key string // the same for the same targets; empty for all
}

var anyTarget = &amongKey{}

func among(a *Among) *amongKey {
	if a == nil {
		return anyTarget
	}
	return &amongKey{*a, strings.Join(slices.Compact(slices.Sorted(slices.Values(a.Only))), "\x00")}
}

func (a *amongKey) permits(t *target) bool {
	return len(a.Only) == 0 || slices.Contains(a.Only, t.id)
}

// keyLine holds the messages of one key in the order taken.
type keyLine struct {
	key         string
	first, last *message
	rests       time.Duration // idle until then
}

// call is one or more attempts that travel together and take one slot.
type call struct {
	route  *route
	target *target
	sent   time.Duration
	left   int // attempts without an outcome
	parts  []*attempt
	trial  bool
	called bool      // off
	missed bool      // counted as lost
	hasty  bool      // its message has too little time for a time-out to mean anything
	idle   int       // how long its connection had been idle, as a step; 0 for a new one
	doubt  doubtKind // as it is counted

	seq        uint64 // in the order sent
	prev, next *call
}

// attempt is one send of one message.
type attempt struct {
	n    int
	m    *message
	call *call
}

// dest is a destination and the messages that wait for it.
type dest struct {
	id     int
	seq    uint64 // in the order of making
	limits *Limits
	routes []*route
	out    int           // calls
	served time.Duration // its last turn
	taken  decaying      // messages that came for it

	most   float64       // targets that might have a connection
	mostAt time.Duration // as of then

	n       int // messages that wait
	groups  []*group
	delayed heap[*message] // of those, the ones not sent before a time
	turn    uint64         // when it began to wait, in the order of that
	rank    rank
	gate    time.Duration // not looked at before this, unless it is stirred
	delay   time.Duration // until the last of its messages would be sent, as a guess
	moved   bool          // the index of what may be shed is not up to date
	quietAt time.Duration // it may be forgotten from then on

	shyBy doubtKind // which bound holds it

	readyPlace, gatePlace, shyPlace, quietPlace int
}

// target is one listed endpoint.
type target struct {
	id       string
	kind     Kind
	zone     string
	state    TargetState
	weight   float64
	backup   bool
	share    float64 // of the calls, against others
	turn     float64 // calls by its share: when its next one is due, on its route's count
	route    *route
	listed   uint64 // the whole list that had it last
	out      int
	free     []time.Duration // when each connection believed to be open and free became so
	uses     decaying        // calls
	place    time.Duration   // in turns: when it had its last
	failed   int             // failures in a row
	avoidTil time.Duration
	failing  decayingMean  // share of calls that left doubt
	said     Target        // by the list
	putBack  uint32        // how often it was put back by hand
	coldTil  time.Duration // after that
}

// shareOf is what a list says of a target's share.
func shareOf(e Target) float64 { return cmp.Or(max(e.Share, 0), 1) }

// due is a target's place among the turns of its route. One that was away, or was passed over while it failed, has one turn in hand and no
// more: what it missed must not come down on it when it is back.
func (t *target) due() float64 { return max(t.turn, t.route.turn-1/t.share) }

// ahead is how many turns a target is ahead of those of its route that have had least for their shares; 0 where all have one share.
func (t *target) ahead() float64 {
	if !t.route.shared {
		return 0
	}
	return t.due() - t.route.turn
}

func (t *target) spare() bool { return t.backup && t.state == Active }

// route is whatever a limit, a wait, an outage, a budget and a return belong to.
type route struct {
	name    string
	dest    *dest
	targets []*target
	calls   []*call // out, in the order sent
	trials  int     // trial calls out
	shared  bool    // its targets have different shares
	turn    float64 // of the call that was made last
	touched time.Duration

	told time.Duration // told to wait until then

	ratio           float64 // the retry budget
	firsts, further decaying
	reserved        int           // granted further tries not yet sent
	spent           time.Duration // the allowance is almost spent: until then, unless told otherwise
	interval        time.Duration // start of the budget's interval
	seen, bad       int           // outcomes and failures in it
	fulls, good     int           // refusals and good answers since the pace was set
	allFirst, all   int           // for the host: first tries and all tries

	mean   time.Duration // usual time to answer; 0 if none was seen
	doubt  decayingMean  // share of outcomes that leave doubt
	fails  float64       // failures in a row; a refusal counts as part of one
	lastOK time.Duration // when the latest good answer came
	okSent time.Duration // the latest send that had a good answer
	oks    decaying      // good answers
	proof  float64       // calls that failed or are overdue, sent after okSent

	silence   doubtKind
	calledOff int // calls called off in doubt since the last answer

	watchAt    time.Duration // when a call will be overdue
	watchPlace int
	unwatched  bool // watchAt must be worked out

	open    bool
	why     string
	closed  time.Duration // when it was last closed
	failing time.Duration // when the first of the failures in a row was sent
	tried   time.Duration // when the latest trial call ended, or the route opened
	draw    float64       // by chance: the next comes so many gaps later
	gap     time.Duration // between trial calls
	goods   int           // good trial calls in a row
	cold    bool          // it is an outage: what comes back is cold
	warming bool
	warm0   time.Duration // start of the return

	rate   float64 // calls a second that this sender allows itself
	pace   float64 // the same with all that bounds it, as of filled
	tokens float64 // as of filled, 1 at most
	filled time.Duration
	free   time.Duration // when there will be a whole token
	bound  bool          // the pace held a message in this interval
	cutAt  time.Duration
	sent   decaying      // calls
	limit  float64       // told limit in calls a second; 0 for none
	heard  time.Duration // when the limit was told
	room   float64       // share of the limit's allowance that was left then
	asked  float64       // calls a second that all senders together have messages for, as far as that tells
}

// decaying is a count that fades.
type decaying struct {
	value float64
	at    time.Duration
}

// get is what is left of it; it changes nothing, so that it does not matter how often one looks.
func (d decaying) get(now, tau time.Duration) float64 {
	if now > d.at {
		return d.value * math.Exp(-float64(now-d.at)/float64(tau))
	}
	return d.value
}

func (d *decaying) add(now, tau time.Duration) { d.value, d.at = d.get(now, tau)+1, max(d.at, now) }

// until is when the count will have faded to a lower one.
func (d decaying) until(tau time.Duration, lower float64) time.Duration {
	if d.value > lower {
		return d.at + time.Duration(math.Log(d.value/lower)*float64(tau)) + time.Microsecond
	}
	return 0
}

// decayingMean is a mean that follows new values and fades towards nought.
type decayingMean struct{ decaying }

// follow moves a mean, once there is one, towards a new value by one part in so many.
func follow(mean, v, parts time.Duration) time.Duration {
	if mean == 0 {
		return v
	}
	return mean + (v-mean)/parts
}

// share counts one outcome as a share: 1 if it is of a kind, else 0.
func share(of bool) float64 {
	if of {
		return 1
	}
	return 0
}

func (d *decayingMean) put(now, tau time.Duration, share, v float64) {
	d.value, d.at = d.get(now, tau), max(d.at, now)
	d.value += share * (v - d.value)
}

// Forwarder decides for one forwarder. It is made by New.
type Forwarder struct {
	set      Settings
	platform Limits // where no others are set
	classes  map[string]*Class
	kinds    map[string]Kind
	tenants  map[string]*tenant
	idleLoss [idleSteps]decayingMean // share of calls lost, by how long the connection was idle
	longLoss decayingMean            // share of calls lost among those out for long to routes that work
	longer   map[*Class]float64      // time that a class takes, over its route's usual time
	rng      *rand.Rand
	source   *rand.PCG // of rng
	now      time.Duration

	msgs    map[string]*message
	held    int // messages not yet answered
	seq     uint64
	lines   map[string]*keyLine
	resting []*keyLine // empty, until their rest is over; in that order
	dests   map[int]*dest
	targets map[string]*target
	calls   callList
	doubts  [kindsOfDoubt]int // calls in doubt
	lists   uint64
	usual   time.Duration // usual time to answer, over all routes; 0 if none was seen
	begun   time.Duration // the first Step
	stop    time.Duration // when the host ends
	shut    bool          // no call is to be begun; a host that goes on says so anew
	next    time.Duration // when something falls due that no event will tell

	copies    heap[*message]            // those with a call out for which a second copy is due at a time
	ends      heap[*message]            // those that wait, by when they must be answered
	ready     heap[*dest]               // those with messages that may perhaps go, by turn
	shy       [kindsOfDoubt]heap[*dest] // those held by a bound on calls in doubt
	gates     heap[*dest]               // those with nothing that may go before a time
	watch     heap[*route]              // those with calls that will be overdue
	unwatched []*route
	quiet     heap[*dest] // those without targets
	shedding  map[shedKey]*heap[*group]
	moved     []*dest
	spare     []*group

	some, others []*route        // scratch
	breaks       []time.Duration // scratch

	actions []Action
	wakeAt  time.Duration
	asked   bool
	askAt   time.Duration
}

type tenant struct {
	quota, tokens float64
	filled        time.Duration
}

// New makes a Forwarder. The error names the setting that is impossible.
func New(s Settings) (*Forwarder, error) {
	if err := check(s); err != nil {
		return nil, err
	}
	s.Forwarders, s.TipMultiple = max(s.Forwarders, 1), cmp.Or(s.TipMultiple, 1) // untold, a cold route is sent what it can do
	source := rand.NewPCG(s.Seed, s.Seed^0x9e3779b97f4a7c15)
	f := &Forwarder{
		set: s, platform: Limits{Attempts: s.MaxAttempts}, classes: map[string]*Class{}, kinds: map[string]Kind{}, tenants: map[string]*tenant{},
		longer: map[*Class]float64{},
		rng:    rand.New(source), source: source,
		msgs: map[string]*message{}, lines: map[string]*keyLine{},
		dests: map[int]*dest{}, targets: map[string]*target{}, begun: never, stop: never,
		shedding: map[shedKey]*heap[*group]{},
		ends: heap[*message]{less: func(a, b *message) bool {
			return a.endsAt < b.endsAt || a.endsAt == b.endsAt && a.seq < b.seq
		}, place: func(m *message) *int { return &m.endsPlace }},
		copies: heap[*message]{less: func(a, b *message) bool {
			return a.copyAt < b.copyAt || a.copyAt == b.copyAt && a.seq < b.seq
		}, place: func(m *message) *int { return &m.copyPlace }},
		ready: heap[*dest]{less: sooner, place: func(d *dest) *int { return &d.readyPlace }},
		gates: heap[*dest]{less: func(a, b *dest) bool { return a.gate < b.gate }, place: func(d *dest) *int { return &d.gatePlace }},
		quiet: heap[*dest]{less: func(a, b *dest) bool { return a.quietAt < b.quietAt }, place: func(d *dest) *int { return &d.quietPlace }},
		watch: heap[*route]{less: func(a, b *route) bool { return a.watchAt < b.watchAt }, place: func(r *route) *int { return &r.watchPlace }},
	}
	for by := range f.shy {
		f.shy[by] = heap[*dest]{less: sooner, place: func(d *dest) *int { return &d.shyPlace }}
	}
	for i := range s.Classes {
		f.classes[s.Classes[i].Name] = &s.Classes[i]
	}
	for _, k := range s.Kinds {
		f.kinds[k.Name] = k
	}
	for _, t := range s.Tenants {
		q := t.Quota / float64(s.Forwarders)
		f.tenants[t.Name] = &tenant{quota: q, tokens: q}
	}
	return f, nil
}

// limits are those of a class towards a destination, the platform's included.
func (f *Forwarder) limits(class string, dest int, route string) *Limits {
	if f.set.Limits == nil {
		return &f.platform
	}
	l := f.set.Limits(class, dest, route)
	if most := f.set.MaxAttempts; most > 0 && (l.Attempts == 0 || l.Attempts > most) {
		l.Attempts = most
	}
	return &l
}

// full tells whether no more calls may be out, trial calls counted.
func (l *Limits) full(out int) bool { return l.Out > 0 && out >= l.Out }

// rate and ratio are figures of the module's own, cut to a destination's limits.
func (l *Limits) rate(rate float64) float64 {
	if l.Rate > 0 {
		return min(rate, l.Rate)
	}
	return rate
}

// paced is when the next call may begin where a rate is set.
func (l *Limits) paced(from time.Duration) time.Duration {
	if l.Rate > 0 {
		return from
	}
	return 0
}

func (l *Limits) ratio(ratio float64) float64 {
	if l.Ratio > 0 {
		return min(ratio, l.Ratio)
	}
	return ratio
}

// within is a time for an answer, cut to the message's limit.
func (m *message) within(t time.Duration) time.Duration {
	if m.limits.Answer > 0 {
		return min(t, m.limits.Answer)
	}
	return t
}

func check(s Settings) error {
	switch {
	case s.Slots <= 0:
		return fmt.Errorf("settings: Slots is %d, must be 1 or more", s.Slots)
	case len(s.Classes) == 0:
		return fmt.Errorf("settings: Classes is empty")
	case s.Cold < 0 || s.Fall < 0 || s.KeyRest < 0 || s.Slack < 0 || s.DrainGrace < 0 ||
		s.ConnIdle < 0 || s.ConnectLimit < 0 || s.AdviceLimit < 0 || s.AskEvery < 0:
		return fmt.Errorf("settings: a time is negative")
	}
	for _, c := range s.Classes {
		if c.Deadline <= 0 || c.Aim < 0 || c.Window < 0 {
			return fmt.Errorf("settings: class %q: impossible Deadline, Aim or Window", c.Name)
		}
	}
	return nil
}

// target finds a listed endpoint, or makes it and its route.
func (f *Forwarder) target(e Target) *target {
	if t := f.targets[e.ID]; t != nil {
		if t.route.dest.id == e.Destination || e.State == Gone {
			return t
		}
		f.moveAway(t)
	}
	kind := f.kinds[e.Kind]
	kind.PerCall = max(kind.PerCall, 1)
	t := &target{id: e.ID, kind: kind, zone: e.Zone, state: Gone, share: 1}
	f.targets[e.ID] = t
	d := f.destination(e.Destination)
	f.settleAll(d)
	if kind.Apart || len(d.routes) == 0 {
		name := ""
		if kind.Apart {
			name = e.ID
		}
		d.routes = append(d.routes, f.freshRoute(name, d))
	}
	t.route = d.routes[len(d.routes)-1]
	t.route.targets = append(t.route.targets, t)
	f.quiet.remove(d)
	return t
}

// moveAway takes a target from its destination for good, since its name stands at another one now. Calls that are out to it go on.
func (f *Forwarder) moveAway(t *target) {
	f.listed(t, Target{Zone: t.zone, State: Gone, Weight: t.weight})
	if f.targets[t.id] != t {
		return
	}
	delete(f.targets, t.id)
	for f.targets[t.id] != nil || !strings.HasSuffix(t.id, movedAway) {
		t.id += movedAway
	}
	f.targets[t.id] = t
}

// movedAway stands behind the name of a target that was moved, and in no name of a list.
const movedAway = "\x00"

// dropGone forgets a target that is gone once no call to it is out. What it taught the route that it
// shared with others stays; a route of its own goes with it.
func (f *Forwarder) dropGone(t *target) {
	if t.state != Gone || t.out > 0 || f.targets[t.id] != t {
		return
	}
	delete(f.targets, t.id)
	r := t.route
	d := r.dest
	r.targets = without(r.targets, t)
	if t.kind.Apart && len(r.targets) == 0 {
		f.settleAll(d)
		d.routes = without(d.routes, r)
		f.watch.remove(r)
	}
	f.mayBeQuiet(d)
}

// mayBeQuiet notes a destination that has no targets: it may be forgotten in time.
func (f *Forwarder) mayBeQuiet(d *dest) {
	d.quietAt = 0
	for _, r := range d.routes {
		if len(r.targets) > 0 {
			return
		}
		d.quietAt = max(d.quietAt, r.touched+forget)
	}
	if len(d.routes) == 0 {
		d.quietAt = d.served + forget
	}
	f.quiet.fix(d)
}

// dropQuiet forgets the destinations that have had no target, message or call for long.
func (f *Forwarder) dropQuiet() {
	var not []*dest
	for f.quiet.len() > 0 && f.quiet.min().quietAt < f.now {
		d := f.quiet.pop()
		if f.isQuiet(d) {
			delete(f.dests, d.id)
		} else {
			not = append(not, d)
		}
	}
	for _, d := range not {
		f.mayBeQuiet(d)
	}
	if len(f.moved) > 2*len(f.dests)+64 { // most of them are forgotten
		f.sheddable(func(*group) {})
	}
}

func (f *Forwarder) isQuiet(d *dest) bool {
	for _, r := range d.routes {
		if len(r.targets)+len(r.calls) > 0 || f.now < r.told || f.now-r.touched <= forget {
			return false
		}
	}
	return d.n == 0 && (len(d.routes) > 0 || f.now-d.served > forget)
}

func (f *Forwarder) freshRoute(name string, d *dest) *route {
	return &route{name: name, dest: d, okSent: -1, ratio: startRatio, interval: f.now, rate: math.Inf(1), room: 1,
		touched: f.now, pace: math.Inf(1), tokens: 1, filled: f.now, free: f.now, silence: untried}
}

func (f *Forwarder) destination(id int) *dest {
	d := f.dests[id]
	if d == nil {
		f.seq++
		d = &dest{id: id, seq: f.seq, limits: &f.platform, most: math.Inf(1), delayed: heap[*message]{less: leavesFirst, place: delayPlace}}
		f.dests[id] = d
		f.mayBeQuiet(d)
	}
	if f.set.Limits != nil { // what is set now
		d.limits = f.limits("", id, "")
	}
	return d
}

func leavesFirst(a, b *message) bool {
	x, y := a.from(), b.from()
	return x < y || x == y && a.seq < b.seq
}

func delayPlace(m *message) *int { return &m.delayPlace }

// without removes one item and keeps the order.
func without[T comparable](list []T, item T) []T {
	for i, x := range list {
		if x == item {
			return slices.Delete(list, i, i+1)
		}
	}
	return list
}

// newMessage is one that is taken now.
func (f *Forwarder) newMessage(e Message, c *Class) *message {
	f.seq++
	m := &message{id: e.ID, seq: f.seq, class: c, dest: f.destination(e.Destination), worth: c.Worth,
		born: f.now + e.Left - c.Deadline, deadline: f.now + e.Left,
		limits: f.limits(c.Name, e.Destination, e.Route), among: among(e.Among)}
	if c.KeepsOrder && e.Key != "" {
		f.queue(m, e.Key)
	}
	f.msgs[m.id] = m
	f.held++
	return m
}

// overShare tells whether a tenant has used up this forwarder's part of its quota.
func (f *Forwarder) overShare(name string) bool {
	t := f.tenants[name]
	if t == nil || t.quota <= 0 {
		return false
	}
	t.tokens = min(2*t.quota, t.tokens+t.quota*(f.now-t.filled).Seconds())
	t.filled = f.now
	if t.tokens < 1 {
		return true
	}
	t.tokens--
	return false
}

// queue puts a message last in the line of its key.
func (f *Forwarder) queue(m *message, key string) {
	l := f.lines[key]
	if l == nil {
		l = &keyLine{key: key}
		f.lines[key] = l
	}
	m.line, m.inFront = l, l.last
	if l.last != nil {
		l.last.behind = m
	} else {
		l.first = m
	}
	l.last = m
}

// leaveLine takes a message out of the line of its key. Who is first then may perhaps go.
func (f *Forwarder) leaveLine(m *message) {
	l := m.line
	if m.inFront != nil {
		m.inFront.behind = m.behind
	} else {
		l.first = m.behind
	}
	if m.behind != nil {
		m.behind.inFront = m.inFront
	} else {
		l.last = m.inFront
	}
	switch first := l.first; {
	case first == nil && f.now >= l.rests:
		delete(f.lines, l.key)
	case first == nil:
		f.resting = append(f.resting, l)
	case m.inFront == nil && first.group != nil:
		f.displace(first)
		f.place(first)
		f.stirred(first.dest)
	}
	m.inFront, m.behind = nil, nil
}

// dropLines forgets lines that are empty and have rested.
func (f *Forwarder) dropLines() {
	n := 0
	for n < len(f.resting) && f.now >= f.resting[n].rests {
		if l := f.resting[n]; l.first == nil && f.lines[l.key] == l {
			delete(f.lines, l.key)
		}
		n++
	}
	f.resting = slices.Delete(f.resting, 0, n)
}

// hold puts a message among those that wait for its destination.
func (f *Forwarder) hold(m *message) {
	d := m.dest
	if d.n == 0 {
		f.seq++
		d.turn = f.seq
	}
	d.n++
	m.endsAt = m.ends()
	f.ends.fix(m)
	f.place(m)
	f.touch(d)
}

func (f *Forwarder) unhold(m *message) {
	if m.group == nil {
		return
	}
	f.settleAll(m.dest)
	f.ends.remove(m)
	f.displace(m)
	m.dest.n--
	f.touch(m.dest)
}

func (f *Forwarder) weight(r *route) (w float64) {
	for _, t := range r.targets {
		if t.state == Active {
			w = max(w, t.weight)
		}
	}
	return w
}

func allOpen(routes []*route) bool {
	for _, r := range routes {
		if !r.open {
			return false
		}
	}
	return true
}

// forget drops a message that is over; its key's line waits until no attempt is out.
func (f *Forwarder) forget(m *message) {
	if !m.over {
		m.over = true
		f.held--
		if m.granted != nil {
			m.granted.reserved--
			m.granted = nil
		}
		f.unhold(m)
		f.copies.remove(m)
		if m.out > 0 && m.limits.Copy > 0 && m.sent != nil && f.set.MayCancel { // its other copy, if there is one, serves nobody any more
			f.do(Cancel{Message: m.id, Attempt: m.sent.n})
		}
	}
	if m.out > 0 {
		return
	}
	delete(f.msgs, m.id)
	if m.line != nil {
		f.leaveLine(m)
	}
}

func (f *Forwarder) startCall(t *target) *call {
	r := t.route
	f.settleAll(r.dest)
	f.seq++
	c := &call{route: r, target: t, sent: f.now, trial: r.open, seq: f.seq}
	if n := f.idle(t); n > 0 { // the host uses the one used last
		c.idle = idleStep(f.now - t.free[n-1])
		t.free = t.free[:n-1]
	}
	r.calls = append(r.calls, c)
	if c.trial {
		r.trials++
	}
	f.fill(r, f.now)
	if !math.IsInf(r.pace, 1) {
		r.tokens = max(0, r.tokens-1)
	}
	r.sent.add(f.now, rateSpan)
	r.touched = f.now
	r.dest.out++
	f.calls.push(c)
	f.unwatch(r)
	if r.silence != noDoubt {
		f.suspect(c)
	}
	t.out++
	r.shared = slices.ContainsFunc(r.targets, func(o *target) bool { return o.share != t.share })
	r.turn = t.due()
	t.turn = r.turn + 1/t.share
	t.uses.add(f.now, max(f.set.ConnIdle, 1))
	t.place = f.now
	return c
}

// endCall takes a call off all lists.
func (f *Forwarder) endCall(c *call) {
	r := c.route
	r.calls = without(r.calls, c)
	r.dest.out--
	if c.trial {
		r.trials--
	}
	f.calls.remove(c)
	f.believe(c)
	c.target.out--
}

// doubtKind is what is known of a route that does not answer, and of the calls out to it.
type doubtKind int8

const (
	noDoubt  doubtKind = iota
	untried            // it has not answered yet
	silenced           // it is known to be silent
	crowded            // of a route: it does not answer, and has a call out
	kindsOfDoubt
)

// doubt counts the calls to a route among those in doubt from now on.
func (f *Forwarder) doubt(r *route) {
	if r.silence == silenced {
		return
	}
	r.silence = silenced
	for _, c := range r.calls {
		f.suspect(c)
	}
	f.stirred(r.dest)
}

// trust takes them out again: the route has answered.
func (f *Forwarder) trust(r *route) {
	r.silence, r.calledOff = noDoubt, 0
	for _, c := range r.calls {
		f.believe(c)
	}
}

func (f *Forwarder) suspect(c *call) {
	if c.doubt == noDoubt {
		c.doubt = c.route.silence
		f.doubts[c.doubt]++
	}
}

func (f *Forwarder) believe(c *call) {
	if c.doubt != noDoubt {
		f.doubts[c.doubt]--
		c.doubt = noDoubt
	}
}

// unwatch notes that it must be worked out anew when a call to a route is overdue.
func (f *Forwarder) unwatch(r *route) {
	if !r.unwatched {
		r.unwatched = true
		f.unwatched = append(f.unwatched, r)
	}
}

// toWatch returns the routes to which a call may have become overdue, in the order of their first calls.
func (f *Forwarder) toWatch() []*route {
	for f.watch.len() > 0 && f.watch.min().watchAt <= f.now {
		f.unwatch(f.watch.pop())
	}
	list := f.unwatched
	f.unwatched = nil
	n := 0
	for _, r := range list {
		r.unwatched = false
		f.watch.remove(r)
		if !r.open && len(r.calls) > 0 {
			list[n] = r
			n++
		}
	}
	list = list[:n]
	slices.SortFunc(list, func(a, b *route) int { return cmp.Compare(a.calls[0].seq, b.calls[0].seq) })
	return list
}

func (f *Forwarder) jitter(most time.Duration) time.Duration {
	return time.Duration(f.rng.Float64() * float64(most))
}

// pacing is how much longer than others at the same route the messages of a class take.
func (f *Forwarder) pacing(c *Class) float64 {
	if p, ok := f.longer[c]; ok {
		return p
	}
	return 1
}

// idleStep puts idle times into steps, each twice as long as the one before.
func idleStep(idle time.Duration) (step int) {
	for limit := firstIdle; step < idleSteps-1 && idle >= limit; limit *= 2 {
		step++
	}
	return step
}

// noteLoss counts a call that was reset or is overdue as lost, by how long its connection was idle.
func (f *Forwarder) noteLoss(c *call) {
	if !c.missed {
		c.missed = true
		f.idleLoss[c.idle].put(f.now, forget, idleShare, 1)
	}
}

// long tells whether a call that has ended was out for long though its route works, and either was answered or was given up.
func (f *Forwarder) long(c *call, o Outcome) bool {
	return c.sent <= c.route.okSent && f.now-c.sent > max(2*minPatience, lostFactor*cmp.Or(c.route.mean, guessTime)) &&
		(o.Result.answered() || o.Result == TimedOut || o.Result == Cancelled && c.called)
}

// idle is the number of connections to a target believed to be open and free.
func (f *Forwarder) idle(t *target) int {
	n := 0
	for n < len(t.free) && f.now-t.free[n] >= f.set.ConnIdle {
		n++
	}
	t.free = slices.Delete(t.free, 0, n)
	return len(t.free)
}

func (f *Forwarder) withdraw(w Withdrawn) {
	if m := f.msgs[w.Message]; m != nil {
		f.forget(m)
	}
}

func (f *Forwarder) closeIdle(t *target) {
	f.do(CloseIdle{Target: t.id})
	t.free = nil
}

func (f *Forwarder) do(a Action) { f.actions = append(f.actions, a) }

// before tells whether a time is still to come; the host is then asked for a Step at that time.
func (f *Forwarder) before(t time.Duration) bool {
	if f.now < t {
		f.next = min(f.next, t)
		return true
	}
	return false
}

func (a *attempt) notPure() bool { return a.m.class.Effect != Pure }

func (f *Forwarder) callOff(c *call) {
	c.called = true
	for _, a := range c.parts {
		f.do(Cancel{Message: a.m.id, Attempt: a.n})
	}
}

// setWake asks for a Step when the next thing falls due, unless one is coming before that.
func (f *Forwarder) setWake() {
	if f.ends.len() > 0 {
		f.before(f.ends.min().endsAt)
	}
	if f.next < never && (f.wakeAt <= f.now || f.next < f.wakeAt) {
		f.wakeAt = f.next
		f.do(Wake{After: f.next - f.now})
	}
}

// listed takes what a list says of one target.
func (f *Forwarder) listed(t *target, e Target) {
	if e == t.said && e.State != Gone {
		return
	}
	d := t.route.dest
	f.settleAll(d)
	if t.state != Active && e.State == Active {
		f.requeue(t)
	}
	t.state, t.zone, t.weight, t.backup, t.share = e.State, e.Zone, e.Weight, e.Backup, shareOf(e)
	if t.said = e; e.PutBack > t.putBack {
		f.putBack(t, e.PutBack)
	}
	f.dropGone(t)
	f.touch(d)
}

// putBack takes a target in again that was left out by hand: it was restarted meanwhile, and is cold. A route
// that has no warm one is entered as after an outage.
func (f *Forwarder) putBack(t *target, times uint32) {
	t.putBack, t.coldTil, t.failed, t.avoidTil = times, f.now+f.set.Cold, 0, 0
	warm := func(o *target) bool { return o.state == Active && f.warmth(o) == 1 }
	if r := t.route; !slices.ContainsFunc(r.targets, warm) {
		r.warming, r.warm0, r.cold = true, f.now, true
	}
}

// requeue gives a target that was left out the place of one of its route, by chance: else it would be next at every sender that
// comes to know that it is back.
func (f *Forwarder) requeue(t *target) {
	if others := t.route.targets; len(others) > 1 {
		t.place = others[f.rng.IntN(len(others))].place
	}
}

// room is what an idle connection costs at a target.
func (f *Forwarder) room() float64 {
	return roomCost * min(1, float64(max(1, f.set.Forwarders))/tableRoom)
}

// note keeps what the host tells of itself, and of what other senders were told.
func (f *Forwarder) note(e Event) {
	switch e := e.(type) {
	case Stopping:
		f.stop = min(f.stop, f.now+e.Left)
	case ShutOut:
		f.shut = e.On
	case Woken:
		f.wakeAt = f.now // the host may have rounded the time: ask again for what is still to come
	case PeerWait:
		if t := f.targets[e.Target]; t != nil {
			f.settleAll(t.route.dest)
			t.route.told = max(t.route.told, f.now+e.Wait)
			f.touch(t.route.dest)
		}
	}
}

func (f *Forwarder) settleAll(d *dest) {
	for _, r := range d.routes {
		f.settle(r)
	}
}

// fill counts what has come to a route's tokens since.
func (f *Forwarder) fill(r *route, at time.Duration) {
	if math.IsInf(r.pace, 1) {
		r.tokens = 1
	} else {
		r.tokens = min(1, r.tokens+r.pace*(at-r.filled).Seconds())
	}
	r.filled = at
}

// touch notes that something has changed at a destination: its pace is worked out anew, and it is
// looked at before this Step is over.
func (f *Forwarder) touch(d *dest) {
	for _, r := range d.routes {
		f.settle(r)
		f.repace(r, f.now)
	}
	f.stirred(d)
}

// usualTime is how long calls to the slowest of some routes usually take, as far as that is known.
func (f *Forwarder) usualTime(routes []*route) (t time.Duration) {
	for _, r := range routes {
		t = max(t, r.mean)
	}
	if t == 0 {
		return guessTime
	}
	return t
}

// age starts a quiet entry afresh, but never a wait or an outage.
func (f *Forwarder) age(r *route) {
	idle := len(r.calls) == 0 && r.dest.n == 0 && !r.open && f.now >= r.told
	if idle && f.now-r.touched > forget {
		fresh := f.freshRoute(r.name, r.dest)
		fresh.targets, fresh.unwatched = r.targets, r.unwatched
		fresh.watchAt, fresh.watchPlace = r.watchAt, r.watchPlace
		*r = *fresh
	}
}

// TargetView is how a target stands, for who looks on.
type TargetView struct {
	Target
	Out, Connections int    // calls; those and idle connections
	Held             string // why it would not be called now, whatever waits; empty if it would
}

// Targets lists those that are known and not gone, by name.
func (f *Forwarder) Targets(now time.Duration) (list []TargetView) {
	for _, t := range f.targets {
		if t.state == Gone {
			continue
		}
		v := TargetView{Target: t.said, Out: t.out, Connections: t.out + f.idle(t)}
		v.ID, v.Zone, v.State, v.Weight = t.id, t.zone, t.state, t.weight
		switch r := t.route; {
		case t.state != Active:
		case now < r.told:
			v.Held = "told to wait"
		case r.open:
			v.Held = "outage: " + r.why
		case now < t.avoidTil:
			v.Held = "fails while others work"
		case now < r.free:
			v.Held = "pace"
		case f.warmth(t) < 1:
			v.Held = "cold"
		}
		if r := t.route; r != nil && r.dest != nil {
			v.Destination = r.dest.id
		}
		list = append(list, v)
	}
	slices.SortFunc(list, func(a, b TargetView) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
