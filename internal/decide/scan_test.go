package decide_test

// The oracle of index_test.go: the decisions of policy.go by walks over everything that there is,
// as they were made before there were indexes. What does not walk stands here as there.
// docs/large-sizes.md tells where both differ from the walks of old, and why.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	. "scaleroute/internal/decide"
)

const never = time.Duration(math.MaxInt64)

// The module's memory. Nothing here decides anything: see policy.go.

// message is one that was taken and is not yet forgotten.
type message struct {
	id       string
	class    *Class
	dest     *dest
	line     *keyLine      // its key's line, or nil
	born     time.Duration // when it was first handed in
	deadline time.Duration
	worth    float64
	attempts int  // sends, as the host numbers them
	tries    int  // sends that were really made
	owed     bool // taken up from before a restart, and not sent since
	out      int  // attempts without an outcome
	over     bool
	mayRan   bool          // an earlier attempt may have run
	ranZone  string        // where the first such attempt went
	ranSent  time.Duration // and when
	after    time.Duration // not sent before this
	granted  *route
	among    *Among
	seq      uint64
}

// keyLine holds the messages of one key in the order taken.
type keyLine struct {
	key   string
	queue []*message
	rests time.Duration // idle until then
}

// call is one or more attempts that travel together and take one slot.
type call struct {
	route  *route
	target *target
	sent   time.Duration
	left   int // attempts without an outcome
	parts  []*attempt
	trial  bool
	called bool // off
	missed bool // counted as lost
	hasty  bool // its message has too little time for a time-out to mean anything
	doubt  doubtKind
	seq    uint64
	idle   int // how long its connection had been idle, as a step; 0 for a new one
}

// attempt is one send of one message.
type attempt struct {
	n    int
	m    *message
	call *call
}

// dest is a destination and the messages that wait for it.
type dest struct {
	id      int
	routes  []*route
	waiting []*message
	turn    uint64
	served  time.Duration // its last turn
	taken   decaying      // messages that came for it
	most    float64
	mostAt  time.Duration
}

// target is one listed endpoint.
type target struct {
	id       string
	kind     Kind
	zone     string
	state    TargetState
	weight   float64
	backup   bool
	route    *route
	out      int
	free     []time.Duration // when each connection believed to be open and free became so
	uses     decaying        // calls
	place    time.Duration
	failed   int // failures in a row
	avoidTil time.Duration
	failing  decayingMean // share of calls that left doubt
}

// route is whatever a limit, a wait, an outage, a budget and a return belong to.
type route struct {
	name    string
	dest    *dest
	targets []*target
	calls   []*call
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

	silence   doubtKind
	calledOff int
	pace      float64
	free      time.Duration
	rate      float64 // calls a second that this sender allows itself
	tokens    float64
	filled    time.Duration
	bound     bool // the pace held a message in this interval
	cutAt     time.Duration
	sent      decaying      // calls
	limit     float64       // told limit in calls a second; 0 for none
	heard     time.Duration // when the limit and the room were told
	room      float64       // share of the limit's allowance that was left then
	asked     float64       // calls a second that all senders together have messages for, as far as that tells
}

// decaying is a count that fades.
type decaying struct {
	value float64
	at    time.Duration
}

func (d decaying) get(now, tau time.Duration) float64 {
	if now > d.at {
		return d.value * math.Exp(-float64(now-d.at)/float64(tau))
	}
	return d.value
}

func (d *decaying) add(now, tau time.Duration) { d.value, d.at = d.get(now, tau)+1, max(d.at, now) }

func (d decaying) until(tau time.Duration, lower float64) time.Duration {
	if d.value > lower {
		return d.at + time.Duration(math.Log(d.value/lower)*float64(tau)) + time.Microsecond
	}
	return 0
}

// decayingMean is a mean that follows new values and fades towards nought.
type decayingMean struct{ decaying }

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

// scanner decides as a Forwarder does.
type scanner struct {
	set      Settings
	classes  map[string]*Class
	kinds    map[string]Kind
	tenants  map[string]*tenant
	idleLoss [idleSteps]decayingMean // share of calls lost, by how long the connection was idle
	longLoss decayingMean
	longer   map[*Class]float64 // time that a class takes, over its route's usual time
	rng      *rand.Rand
	now      time.Duration

	msgs     map[string]*message
	held     []*message // all not yet answered, in the order taken
	attempts map[string][]*attempt
	lines    map[string]*keyLine
	dests    map[int]*dest
	order    []*dest
	targets  map[string]*target
	calls    []*call // out, in the order sent
	turns    []*dest // those with messages waiting
	doubts   [kindsOfDoubt]int
	seq      uint64
	usual    time.Duration
	shy      [kindsOfDoubt]int
	begun    time.Duration // the first Step
	stop     time.Duration // when the host ends
	next     time.Duration // when something falls due that no event will tell

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
func newScanner(s Settings) (*scanner, error) {
	s.Forwarders = max(s.Forwarders, 1)
	f := &scanner{
		set: s, classes: map[string]*Class{}, kinds: map[string]Kind{}, tenants: map[string]*tenant{},
		longer: map[*Class]float64{},
		rng:    rand.New(rand.NewPCG(s.Seed, s.Seed^0x9e3779b97f4a7c15)),
		msgs:   map[string]*message{}, attempts: map[string][]*attempt{}, lines: map[string]*keyLine{},
		dests: map[int]*dest{}, targets: map[string]*target{}, begun: never, stop: never,
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

// target finds a listed endpoint, or makes it and its route.
func (f *scanner) target(e Target) *target {
	if t := f.targets[e.ID]; t != nil {
		return t
	}
	kind := f.kinds[e.Kind]
	kind.PerCall = max(kind.PerCall, 1)
	t := &target{id: e.ID, kind: kind, zone: e.Zone, state: Gone}
	f.targets[e.ID] = t
	d := f.destination(e.Destination)
	f.settleAll(d)
	if kind.Apart || len(d.routes) == 0 {
		name := strconv.Itoa(d.id)
		if kind.Apart {
			name = e.ID
		}
		d.routes = append(d.routes, f.freshRoute(name, d))
	}
	t.route = d.routes[len(d.routes)-1]
	t.route.targets = append(t.route.targets, t)
	return t
}

// dropGone forgets a target that is gone once no call to it is out. What it taught the route that it
// shared with others stays; a route of its own goes with it.
func (f *scanner) dropGone(t *target) {
	if t.state != Gone || t.out > 0 || f.targets[t.id] != t {
		return
	}
	delete(f.targets, t.id)
	r := t.route
	f.settleAll(r.dest)
	r.targets = without(r.targets, t)
	if t.kind.Apart && len(r.targets) == 0 {
		r.dest.routes = without(r.dest.routes, r)
	}
}

// dropQuiet forgets the destinations that have had no target, message or call for long.
func (f *scanner) dropQuiet() {
	f.order = slices.DeleteFunc(f.order, func(d *dest) bool {
		for _, r := range d.routes {
			if len(r.targets)+len(r.calls) > 0 || f.now < r.told || f.now-r.touched <= forget {
				return false
			}
		}
		if len(d.waiting) > 0 || len(d.routes) == 0 && f.now-d.served <= forget {
			return false
		}
		delete(f.dests, d.id)
		return true
	})
}

func (f *scanner) freshRoute(name string, d *dest) *route {
	return &route{name: name, dest: d, okSent: -1, ratio: startRatio, interval: f.now, rate: math.Inf(1), room: 1, touched: f.now,
		pace: math.Inf(1), tokens: 1, filled: f.now, free: f.now, silence: untried}
}

func (f *scanner) destination(id int) *dest {
	d := f.dests[id]
	if d == nil {
		d = &dest{id: id, most: math.Inf(1)}
		f.dests[id] = d
		f.order = append(f.order, d)
	}
	return d
}

func (f *scanner) takeAttempt(o Outcome) *attempt {
	list := f.attempts[o.Message]
	for i, a := range list {
		if a.n == o.Attempt {
			f.attempts[o.Message] = append(list[:i:i], list[i+1:]...)
			return a
		}
	}
	return nil
}

// without removes one item and keeps the order.
func without[T comparable](list []T, item T) []T {
	for i, x := range list {
		if x == item {
			return slices.Delete(list, i, i+1)
		}
	}
	return list
}

// queue puts a message last in the line of its key.
func (f *scanner) queue(m *message, key string) {
	m.line = f.lines[key]
	if m.line == nil {
		m.line = &keyLine{key: key}
		f.lines[key] = m.line
	}
	m.line.queue = append(m.line.queue, m)
}

func (f *scanner) hold(m *message) {
	f.settleAll(m.dest)
	if len(m.dest.waiting) == 0 {
		f.turns = append(f.turns, m.dest)
		f.seq++
		m.dest.turn = f.seq
	}
	m.dest.waiting = append(m.dest.waiting, m)
	f.touch(m.dest)
}

func (f *scanner) unhold(m *message) {
	if !slices.Contains(m.dest.waiting, m) {
		return
	}
	f.settleAll(m.dest)
	m.dest.waiting = without(m.dest.waiting, m)
	if len(m.dest.waiting) == 0 {
		f.turns = without(f.turns, m.dest)
	}
	f.touch(m.dest)
}

func callsOut(d *dest) (n int) {
	for _, r := range d.routes {
		n += len(r.calls)
	}
	return n
}

func trialOut(r *route) bool {
	for _, c := range r.calls {
		if c.trial {
			return true
		}
	}
	return false
}

func (f *scanner) weight(r *route) (w float64) {
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
func (f *scanner) forget(m *message) {
	if !m.over {
		m.over = true
		f.held = without(f.held, m)
		if m.granted != nil {
			m.granted.reserved--
			m.granted = nil
		}
		f.unhold(m)
	}
	if m.out > 0 {
		return
	}
	delete(f.msgs, m.id)
	delete(f.attempts, m.id)
	if m.line != nil {
		m.line.queue = without(m.line.queue, m)
		if len(m.line.queue) == 0 && f.now >= m.line.rests {
			delete(f.lines, m.line.key)
		}
	}
}

func (f *scanner) startCall(t *target) *call {
	r := t.route
	f.settleAll(r.dest)
	f.seq++
	c := &call{route: r, target: t, sent: f.now, trial: r.open, seq: f.seq}
	if n := f.idle(t); n > 0 { // the host uses the one used last
		c.idle = idleStep(f.now - t.free[n-1])
		t.free = t.free[:n-1]
	}
	r.calls = append(r.calls, c)
	f.fill(r, f.now)
	if !math.IsInf(r.pace, 1) {
		r.tokens = max(0, r.tokens-1)
	}
	if r.silence != noDoubt {
		f.suspect(c)
	}
	r.sent.add(f.now, rateSpan)
	r.touched = f.now
	f.calls = append(f.calls, c)
	t.out++
	t.uses.add(f.now, max(f.set.ConnIdle, 1))
	t.place = f.now
	return c
}

func (f *scanner) jitter(most time.Duration) time.Duration {
	return time.Duration(f.rng.Float64() * float64(most))
}

// pacing is how much longer than others at the same route the messages of a class take.
func (f *scanner) pacing(c *Class) float64 {
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
func (f *scanner) noteLoss(c *call) {
	if !c.missed {
		c.missed = true
		f.idleLoss[c.idle].put(f.now, forget, idleShare, 1)
	}
}

// idle is the number of connections to a target believed to be open and free.
func (f *scanner) idle(t *target) int {
	n := 0
	for n < len(t.free) && f.now-t.free[n] >= f.set.ConnIdle {
		n++
	}
	t.free = slices.Delete(t.free, 0, n)
	return len(t.free)
}

func (f *scanner) withdraw(w Withdrawn) {
	if m := f.msgs[w.Message]; m != nil {
		f.forget(m)
	}
}

func (f *scanner) closeIdle(t *target) {
	f.do(CloseIdle{Target: t.id})
	t.free = nil
}

const (
	// The design's own figures.
	startRatio   = 0.2  // retry budget at the start, and its cap
	floorRatio   = 0.01 // its floor
	adjustEvery  = time.Second
	highFailure  = 0.3 // above this share of failures the budget halves
	lowFailure   = 0.05
	growth       = 0.1
	firstBackoff = 100 * time.Millisecond
	maxFurther   = 3   // further tries for one message
	nearlySpent  = 0.1 // an allowance with less left than this stops further tries

	// Extensions.
	refusedBackoff = 2 * adjustEvery // first backoff after a refusal that tells no wait

	enoughSeen  = 10                     // outcomes to judge a failure rate by
	memory      = 10 * time.Second       // span over which tries are counted, and doubt fades
	forget      = 60 * time.Second       // a route not used for so long starts afresh; losses fade over it
	answerEarly = 15 * time.Millisecond  // held messages are answered so long before their time is up
	keyMargin   = 300 * time.Millisecond // a keyed repeat keeps this far from the end of its window
	guessTime   = 400 * time.Millisecond // time to answer, before any was seen
	minPatience = 600 * time.Millisecond // no call is overdue before this
	lateFactor  = 4                      // times the usual time: overdue if others are too
	lostFactor  = 7                      // overdue on its own
	minTimeout  = 1500 * time.Millisecond
	timeFactor  = 10 // time-out of a call that may be repeated, over the usual time

	idleSteps  = 9 // steps of the time that a connection was idle
	firstIdle  = 60 * time.Millisecond
	lossShare  = 1.0 / 8 // weight of one call in the share lost
	longFactor = 4.0
	lostLong   = 1.5
	idleShare  = 1.0 / 16 // the same for connections of one idle time
	staleLoss  = 0.17     // above this share, connections idle for so long are not used
	roomCost   = 0.1      // price of a connection that idles at a target
	tableRoom  = 20.0     // connections that a small table takes: fewer senders than that can't fill it
	rareGap    = 1.65

	fullsPerFail  = 2.0 // so many refusals in a row say as much of an outage as one failure
	trialShare    = 0.5 // of what a cold route may be sent: trial calls of all senders together
	halfFailing   = 0.5 // share of outcomes in doubt that opens a route and lets unsafe messages wait
	firstTrial    = 300 * time.Millisecond
	longestTrial  = 1500 * time.Millisecond
	fewSenders    = 4.0  // so many may each make trial calls so far apart; more leave each other room
	proofOfOutage = 3    // failures in a row, at most, that open a route; what comes back then is cold
	goodsToClose  = 2    // good trial calls that close a route
	warmShare     = 0.75 // of what the rule on return allows
	evenOut       = 0.25 // of a call: differences in cost that chance may outweigh
	failCost      = 4    // calls out that an endpoint failing all calls seems to have too many

	minRate     = 1.0  // calls a second that all senders together may make at least, whatever is refused
	leastPart   = 0.5  // of the own part: refusals don't cut the pace below
	fullUse     = 0.85 // of the equal part of a limit: with so much each the limit is not used up
	evenRoom    = 0.5  // share of an allowance that is left where all senders together keep to the limit
	littleRoom  = 0.2  // with less, a sender keeps to its own part
	muchRoom    = 0.7  // with more, it may use it all
	crowdUp     = 1.0  // a second: how soon more is taken to be asked for than fits, after refusals
	crowdDown   = 0.3  // and while the allowance says so
	mostCrowd   = 16   // times the limit that all senders together may ask for
	steadyLimit = 0.3  // a told limit that differs by less is noise
	cutTo       = 0.7  // of what was sent, after a refusal
	paceUp      = 1.25
	rateSpan    = 3 * time.Second
	slotShare   = 0.5
	doubtShare  = 0.75
	silentShare = 1.0 / 8
	fullShare   = 1.0 / 32
	crowdShare  = 0.25
	fewSilent   = 8
	longDoubt   = 3
	lossSpan    = time.Second
	stopFactor  = 3   // times the usual time that a call needs before the host ends
	fullHold    = 0.9 // of the hold: from here on the least worth is shed
	earlyPrice  = 0.3
	early       = 0.7
)

// Step takes the clock and what happened since the last Step, and returns what to do, in order.
func (f *scanner) Step(now time.Duration, events []Event) []Action {
	f.now = max(f.now, now)
	if f.begun == never {
		f.begun = f.now
	}
	f.actions, f.next = nil, never
	for _, e := range events {
		switch e := e.(type) {
		case TargetList:
			f.list(e)
		case Message:
			f.take(e)
		case Outcome:
			f.outcome(e)
		case Crowded:
			if m := f.least(); m != nil && allOpen(m.dest.routes) {
				f.answer(m)
			}
		case Withdrawn:
			f.withdraw(e)
		case Stopping:
			f.stop = min(f.stop, f.now+e.Left)
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
	f.askForList()
	f.answerInTime()
	f.watchCalls()
	f.sendWaiting()
	f.watchNew()
	f.freeSlots()
	f.setWake()
	return f.actions
}

func (f *scanner) do(a Action) { f.actions = append(f.actions, a) }

// before tells whether a time is still to come; the host is then asked for a Step at that time.
func (f *scanner) before(t time.Duration) bool {
	if f.now < t {
		f.next = min(f.next, t)
		return true
	}
	return false
}

// ---- The list of targets.

func (f *scanner) list(l TargetList) {
	if l.Scope == Unavailable {
		f.asked = false
		f.askAt = f.now + f.jitter(f.set.AskEvery)
		return
	}
	listed := map[string]bool{}
	for _, e := range l.Targets {
		listed[e.ID] = true
		f.listed(f.target(e), e)
	}
	for id, t := range f.targets { // a target missing from a whole list is gone
		if l.Scope != Changes && !listed[id] {
			f.listed(t, Target{Zone: t.zone, State: Gone, Weight: t.weight})
		}
	}
	f.dropQuiet()
}

// listed takes what a list says of one target.
func (f *scanner) listed(t *target, e Target) {
	if t.state == e.State && t.zone == e.Zone && t.weight == e.Weight && t.backup == e.Backup && e.State != Gone {
		return
	}
	d := t.route.dest
	f.settleAll(d)
	if t.state != Active && e.State == Active {
		f.requeue(t)
	}
	t.state, t.zone, t.weight, t.backup = e.State, e.Zone, e.Weight, e.Backup
	f.dropGone(t)
	f.touch(d)
}

func (f *scanner) askForList() {
	if f.set.MustAsk && !f.asked && !f.before(f.askAt) {
		f.asked = true
		f.do(Subscribe{})
	}
}

// ---- A message is taken.

func (f *scanner) take(e Message) {
	if f.msgs[e.ID] != nil {
		return
	}
	c := f.classes[e.Class]
	switch {
	case e.Recovered && c == nil:
		f.do(Fail{Message: e.ID})
		return
	case e.Recovered: // it is owed its answer, whatever else holds
	case c == nil || e.Left <= 0:
		f.do(Refuse{Message: e.ID})
		return
	case f.set.MaxHeld > 0 && len(f.held) >= f.set.MaxHeld:
		f.do(Refuse{Message: e.ID, Wait: f.advice(f.destination(e.Destination))})
		return
	}
	f.seq++
	m := &message{id: e.ID, seq: f.seq, class: c, dest: f.destination(e.Destination), worth: c.Worth,
		born: f.now + e.Left - c.Deadline, deadline: f.now + e.Left, among: e.Among}
	if f.overShare(e.Tenant) {
		m.worth = c.Worth * f.set.OverShareWorth
	}
	if c.KeepsOrder && e.Key != "" {
		f.queue(m, e.Key)
	}
	f.msgs[m.id] = m
	f.held = append(f.held, m)
	f.settleAll(m.dest)
	for _, r := range m.dest.routes {
		f.age(r)
	}
	if e.Recovered {
		f.recover(m, e)
		return
	}
	m.dest.taken.add(f.now, forget)
	f.hold(m)
	f.shed(m)
}

// recover goes on with a message from before a restart. A try that the restart cut off is no
// failure of its destination, so the next one is not a further try. What was known of outages is
// gone, and what waited may have waited for one to end: its routes are entered like returning ones.
func (f *scanner) recover(m *message, e Message) {
	m.attempts, m.tries, m.mayRan, m.owed = e.Attempts, e.Attempts, e.MayHaveRun, true
	if e.Open {
		m.tries--
	}
	m.tries = min(m.tries, maxFurther)
	if m.mayRan && m.class.Effect != Pure || f.usedUp(m) || f.now >= m.ends() {
		f.answer(m) // when a keyed one may have run is not known any more
		return
	}
	for _, r := range m.dest.routes {
		if r.okSent < 0 && !r.warming {
			r.warming, r.warm0 = true, f.now
		}
		if f.fairPart(r) <= 0 { // no limit is told: what waits is all there is to pace the return by
			m.dest.taken.add(f.now, forget)
		}
	}
	f.hold(m)
}

// overShare tells whether a tenant has used up this forwarder's part of its quota.
func (f *scanner) overShare(name string) bool {
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

// shed makes room in an almost full hold by refusing what is worth least, so that messages
// for destinations in trouble don't keep out those for the others.
func (f *scanner) shed(taken *message) {
	if f.set.MaxHeld == 0 || float64(len(f.held)) < fullHold*float64(f.set.MaxHeld) {
		return
	}
	if m := f.least(); m != nil {
		promised := 0.0
		if left := float64(m.deadline-f.now) / float64(m.class.Deadline); left > 1-early {
			promised = earlyPrice * m.worth
		}
		if len(taken.dest.waiting) > 1 && f.value(taken) <= f.value(m)+promised {
			m = taken
		}
		f.answer(m)
	}
}

func (f *scanner) value(m *message) float64 {
	return m.worth * f.share(m.class, f.now+f.queueTime(m.dest)-m.born)
}

func (f *scanner) least() (least *message) {
	var lowest float64
	if f.set.MaxHeld == 0 {
		return nil
	}
	for _, m := range f.held {
		if m.out > 0 || m.owed || !f.refusable(m) {
			continue
		}
		delay := f.queueTime(m.dest)
		v := f.value(m)
		born := m.born - delay
		if least != nil {
			other := least.born - f.queueTime(least.dest)
			if v > lowest || v == lowest && (born > other || born == other && m.seq > least.seq) {
				continue
			}
		}
		least, lowest = m, v
	}
	return least
}

// queueTime is how long it takes until the last of those that wait for a destination is sent. Where
// all routes are open they go out by trial calls only: so messages for a destination that does not
// answer are worth least in a hold that is almost full, and make room for the others.
func (f *scanner) queueTime(d *dest) time.Duration {
	each := f.usualTime(d.routes)
	if len(d.routes) > 0 && allOpen(d.routes) {
		for _, r := range d.routes {
			each = max(each, r.gap)
		}
	}
	return time.Duration(len(d.waiting)) * each
}

// share is the share of its worth that a message of a class has at an age.
func (f *scanner) share(c *Class, age time.Duration) float64 {
	if age <= c.Aim || c.Aim <= 0 {
		return 1
	}
	if age >= c.Deadline {
		return 0
	}
	if f.set.Decay == Halves {
		return max(c.LateShare, math.Pow(0.5, float64(age-c.Aim)/float64(c.Aim)))
	}
	return 1 - (1-c.LateShare)*float64(age-c.Aim)/float64(c.Deadline-c.Aim)
}

// ---- Sending. Free slots go in turns over the waiting destinations.

func (f *scanner) sendWaiting() {
	turns := slices.Clone(f.turns)
	next := f.next
	f.shy = [kindsOfDoubt]int{}
	for len(turns) > 0 && len(f.calls) < f.set.Slots {
		d := slices.MinFunc(turns, func(a, b *dest) int { // fewest calls out first
			return cmp.Or(cmp.Compare(callsOut(a), callsOut(b)), cmp.Compare(a.served, b.served), cmp.Compare(a.turn, b.turn))
		})
		sent, gate, by := f.sendOne(d)
		if sent {
			d.served = f.now
			f.touch(d)
			if len(d.waiting) == 0 {
				turns = without(turns, d)
			}
			continue
		}
		if gate < never {
			f.before(gate)
		}
		f.shy[by]++
		turns = without(turns, d)
	}
	if len(f.calls) >= f.set.Slots {
		f.next = next
	}
}

func (f *scanner) sendOne(d *dest) (sent bool, gate time.Duration, by doubtKind) {
	usable, others := []*route(nil), []*route(nil)
	gate = never
	trial, careful := true, true
	for _, r := range d.routes {
		switch from := f.routeGate(r); {
		case from > f.now:
			gate = min(gate, from)
		case !f.roomIn(r.kind()):
			others = append(others, r)
		default:
			usable = append(usable, r)
			trial, careful = trial && r.open, careful && r.silence != noDoubt
		}
	}
	how := byUrgency
	switch {
	case trial:
		how = asTrial
	case careful:
		how = asFirst
	}
	m, from := f.choose(d, usable, how, nil)
	if m == nil {
		for i, r := range others { // a route that no message may go to is held by no bound
			m, other := f.choose(d, others[i:i+1], how, nil)
			if gate = min(gate, other); m != nil && (by == noDoubt || r.kind() < by) {
				by = r.kind()
			}
		}
		return false, min(gate, from), by
	}
	to := f.chooseTarget(m, usable)
	if n := f.idle(to); n > 0 && f.stale(idleStep(f.now-to.free[n-1])) {
		f.closeIdle(to)
	}
	c := f.startCall(to)
	f.send(m, c)
	for n := 1; n < to.kind.PerCall && !trial; n++ {
		if m, _ = f.choose(d, usable, how, to); m == nil {
			break
		}
		f.send(m, c)
	}
	return true, 0, noDoubt
}

type choice int

const (
	byUrgency choice = iota
	asTrial
	asFirst
)

// choose looks at every message that waits for a destination.
func (f *scanner) choose(d *dest, usable []*route, how choice, only *target) (best *message, gate time.Duration) {
	highest, gate := 0.0, never
	usual := f.usualTime(d.routes)
	for _, m := range d.waiting {
		from := never
		for _, r := range usable {
			for _, t := range r.targets {
				if only == nil || t == only {
					from = min(from, f.mayGo(m, t))
				}
			}
		}
		if m.line == nil || m.line.queue[0] == m { // its time counts also where no target is usable
			if at := f.fromOf(m); at > f.now && len(usable) > 0 {
				from = at
			}
		}
		if from > f.now {
			gate = min(gate, from)
			continue
		}
		s := f.score(m, how, usual)
		if best == nil || s > highest || s == highest && (m.born < best.born || m.born == best.born && m.seq < best.seq) {
			best, highest = m, s
		}
	}
	return best, gate
}

func (f *scanner) fromOf(m *message) time.Duration {
	if m.line != nil && m.tries == 0 {
		return max(m.after, m.line.rests)
	}
	return m.after
}

// score ranks the messages of a destination where the usual time to answer is known.
func (f *scanner) score(m *message, how choice, usual time.Duration) float64 {
	switch how {
	case asTrial:
		s := -m.worth*f.share(m.class, f.now-m.born) - 100*float64(m.class.Effect)
		if m.deadline-f.now < fairOf(usual) { // its time-out would say nothing
			s -= 1e6
		}
		return s
	case asFirst:
		return f.urgency(m, usual) - 1e12*float64(m.class.Effect)
	}
	return f.urgency(m, usual)
}

// urgency ranks messages by what they lose if they wait a little longer. Those that lose nothing
// yet come next, by worth and then by age; those that have no more to lose come last.
func (f *scanner) urgency(m *message, usual time.Duration) float64 {
	age := f.now - m.born
	if loss := m.worth * f.loss(m.class, age+usual); loss > 0 {
		return 1e6 * loss
	}
	if age < m.class.Aim {
		return 1e3*m.worth + age.Seconds()
	}
	return m.worth + age.Seconds()/1e3
}

// loss is the share of its worth that a message loses in the second after an age.
func (f *scanner) loss(c *Class, age time.Duration) float64 {
	if f.set.Decay == Line && c.Aim > 0 && age >= c.Aim && age+lossSpan < c.Deadline {
		// The same for all, to the last bit: rounding is not to rank them.
		return (1 - c.LateShare) * float64(lossSpan) / float64(c.Deadline-c.Aim)
	}
	return f.share(c, age) - f.share(c, age+lossSpan)
}

// routeGate is from when on any message may go to a route: the part of the gate that is the same for
// all of its messages.
func (f *scanner) routeGate(r *route) (from time.Duration) {
	f.settle(r)
	switch {
	case f.now < r.told:
		return r.told
	case r.open && trialOut(r):
		return never
	case r.open:
		return f.nextTrial(r)
	case len(r.calls) >= max(2, int(slotShare*float64(f.set.Slots))):
		return never
	case f.now < r.free:
		return min(r.free, r.interval+adjustEvery) // the pace may rise then
	}
	return f.now
}

// kind is by which bound on calls in doubt one more call to a route is held.
func (r *route) kind() doubtKind {
	if r.silence != noDoubt && !r.open && len(r.calls) > 0 {
		return crowded
	}
	return r.silence
}

// roomIn tells whether there is room for one more call in doubt. Routes that don't answer leave some
// slots to those that do; each gets one call before any gets more than the few that do no harm;
// and those known to be silent leave most of the room, so that new ones are heard soon.
func (f *scanner) roomIn(kind doubtKind) bool {
	share, slots := doubtShare, float64(f.set.Slots)
	switch kind {
	case noDoubt:
		return true
	case crowded:
		share = crowdShare
	}
	silent := silentShare
	if 2*len(f.calls) > f.set.Slots {
		silent = fullShare
	}
	if kind != untried && f.doubts[silenced] >= max(fewSilent, int(silent*slots)) {
		return false
	}
	return f.doubts[untried]+f.doubts[silenced] < int(math.Ceil(share*slots))
}

// mayGo is from when on a message may go to a target, as far as that lies with the two; no send
// passes without it. Times come first and the rest is looked at when they have come: what holds a
// message for now but may end with time must not hide when it ends.
func (f *scanner) mayGo(m *message, t *target) (from time.Duration) {
	r, c := t.route, m.class
	switch {
	case m.over || m.out > 0 || t.state != Active || r.dest != m.dest, f.usedUp(m), f.now >= m.ends(),
		m.mayRan && !repeatable(m, t), m.among != nil && len(m.among.Only) > 0 && !slices.Contains(m.among.Only, t.id), m.line != nil && m.line.queue[0] != m:
		return never
	}
	from = f.fromOf(m)
	if m.tries > 0 && !r.open {
		from = max(from, r.spent)
	}
	if c.Effect == Unsafe {
		// One that meets doubt is lost: it waits for better times. Trial calls are for messages that
		// may be repeated, if there are any.
		from = max(from, r.doubt.until(memory, halfFailing))
		if r.open {
			from = max(from, f.nextTrial(r)+longestTrial)
		}
	}
	switch {
	case from > f.now:
		return from
	case m.tries > 0 && !r.open && m.granted == nil && !f.budgetRoom(r):
		return never
	case f.stop < never && f.now+stopFactor*f.usualTime(m.dest.routes) > f.stop:
		return never // the host would end before the answer comes
	}
	return from
}

func (f *scanner) usedUp(m *message) bool {
	return m.tries > maxFurther || f.set.MaxAttempts > 0 && m.attempts >= f.set.MaxAttempts
}

// repeatable tells whether a message that may have run may be sent to a target again in its time.
func repeatable(m *message, t *target) bool {
	e := m.class.Effect
	return e == Pure || e == Keyed && (!m.class.ZoneGroup || t.zone == m.ranZone)
}

// chooseTarget picks the cheapest target that a message may go to: not one that fails while
// others work, of the own zone where that costs less, with an idle connection, least busy. Between
// equals chance decides, or else all senders that seldom call would call the same one.
func (f *scanner) chooseTarget(m *message, usable []*route) (best *target) {
	lowest := math.Inf(1)
	all, held, worth := f.kept(usable)
	explore := held > 0 && held < all && float64(held+1) <= min(worth, m.dest.most+float64(f.now-m.dest.mostAt)/float64(max(f.set.ConnIdle, 1))) && f.rng.Float64()*float64(all) < float64(all-held)
	for _, r := range usable {
		for _, t := range r.targets {
			if f.mayGo(m, t) > f.now {
				continue
			}
			chance := f.rng.Float64()
			if f.now < t.avoidTil {
				f.requeue(t)
			}
			lately := math.Exp(-float64(f.now-t.place) / float64(f.set.ConnIdle))
			if f.idle(t) == 0 {
				lately = chance
			}
			cost := float64(t.out) + evenOut*lately + failCost*t.failing.get(f.now, forget)
			cost += 2 * f.preferred(m, t)
			if f.now < t.avoidTil {
				cost += 1e6
			}
			if t.zone != f.set.Zone {
				cost += 100 * f.set.CrossPrice
			}
			if t.kind.Apart {
				cost += 100 * f.set.ZoneFee[t.zone]
			}
			if (f.idle(t) == 0) != explore {
				cost += 0.5
			}
			if cost < lowest {
				best, lowest = t, cost
			}
		}
	}
	return best
}

func (f *scanner) kept(usable []*route) (all, held int, worth float64) {
	calls := 0.0
	for _, r := range usable {
		calls += r.firsts.get(f.now, memory) * float64(f.set.ConnIdle) / float64(memory)
		for _, t := range r.targets {
			if t.state == Active {
				if all++; t.out > 0 || f.idle(t) > 0 {
					held++
				}
			}
		}
	}
	room := roomCost * min(1, float64(f.set.Forwarders)/tableRoom)
	worth = calls - rareGap*math.Sqrt(calls)
	if f.set.ConnectPrice < room {
		worth = min(worth, -calls*math.Log1p(-f.set.ConnectPrice/room))
	}
	return all, held, worth
}

func (f *scanner) requeue(t *target) {
	if others := t.route.targets; len(others) > 1 {
		t.place = others[f.rng.IntN(len(others))].place
	}
}

// preferred is the place of a target in what its message prefers.
func (f *scanner) preferred(m *message, t *target) float64 {
	var prefer []string
	if m.among != nil {
		prefer = m.among.Prefer
	}
	failed := t.failed > 0 && f.now < t.uses.at+memory
	place := len(prefer)
	for i, id := range prefer {
		if id == t.id && !failed {
			place = i
			break
		}
	}
	spare := false
	for _, o := range t.route.targets {
		spare = spare || o.backup && o.state == Active
	}
	switch { // a backup; one that failed, where there is a backup; a backup that failed
	case t.backup && failed:
		place += 3000
	case t.backup:
		place += 1000
	case failed && spare:
		place += 2000
	}
	return float64(place)
}

func (f *scanner) send(m *message, c *call) {
	r := c.route
	r.all++
	if m.tries == 0 {
		r.allFirst++
		r.firsts.add(f.now, memory)
	} else {
		r.further.add(f.now, memory)
	}
	if m.granted != nil {
		m.granted.reserved--
		m.granted = nil
	}
	a := &attempt{n: m.attempts, m: m, call: c}
	f.attempts[m.id] = append(f.attempts[m.id], a)
	c.parts = append(c.parts, a)
	m.attempts++
	m.tries++
	m.owed = false
	m.out++
	c.left++
	f.unhold(m)
	limit := f.timeout(m, c)
	c.hasty = limit < f.fairTime(m.dest.routes)
	f.do(Send{Message: m.id, Target: c.target.id, Timeout: limit})
}

// fairTime is how long a call must be waited for before silence says anything of its route.
func (f *scanner) fairTime(routes []*route) time.Duration {
	return fairOf(f.usualTime(routes))
}

func fairOf(usual time.Duration) time.Duration { return max(minPatience, lateFactor*usual) }

// timeout is how long to wait for an answer: what may be repeated is given up well after its
// usual time; what may not is lost by giving up, so it waits as long as its time lasts.
func (f *scanner) timeout(m *message, c *call) time.Duration {
	left := m.deadline - f.now
	if m.class.Effect == Unsafe {
		return left
	}
	own := time.Duration(f.pacing(m.class) * float64(f.usualTime(m.dest.routes)))
	return min(left, max(minTimeout, timeFactor*own))
}

func (f *scanner) usualTime(routes []*route) (t time.Duration) {
	for _, r := range routes {
		t = max(t, r.mean)
	}
	if t == 0 {
		return guessTime
	}
	return t
}

// ---- Outcomes.

func (f *scanner) outcome(o Outcome) {
	a := f.takeAttempt(o)
	if a == nil {
		return
	}
	m, r := a.m, a.call.route
	d, t := r.dest, a.call.target
	f.settleAll(d)
	r.told = max(r.told, f.now+o.Wait) // told to any one message of a call, it holds all
	m.out--
	a.call.left--
	last := a.call.left == 0
	if last {
		r.calls = without(r.calls, a.call)
		f.calls = without(f.calls, a.call)
		a.call.target.out--
		f.believe(a.call)
		if o.Result == Done || o.Result == Errored || o.Result == Full || o.Result == NotSent {
			a.call.target.free = append(a.call.target.free, f.now) // its connection is kept
		}
	}
	if o.Result == NotSent {
		m.tries--
	} else if last {
		f.learn(r, a.call, o)
	}
	f.leave(t)
	f.dropGone(t)
	doubtful := o.Result == TimedOut || o.Result == Reset || o.Result == Cancelled
	if doubtful && m.line != nil {
		m.line.rests = max(m.line.rests, f.now+f.set.KeyRest)
	}
	if (doubtful || o.Result == Errored || o.Result == Done) && !m.mayRan {
		m.mayRan, m.ranZone, m.ranSent = true, a.call.target.zone, a.call.sent
	}
	if o.Over || m.over {
		f.forget(m)
	} else {
		f.again(m, r, o)
	}
	f.touch(d)
}

// doubtKind is what is known of a route that does not answer, and of the calls out to it.
type doubtKind int8

const (
	noDoubt  doubtKind = iota
	untried            // it has not answered yet
	silenced           // it is known to be silent
	crowded
	kindsOfDoubt
)

// doubt counts the calls to a route among those in doubt from now on.
func (f *scanner) doubt(r *route) {
	if r.silence == silenced {
		return
	}
	r.silence = silenced
	for _, c := range r.calls {
		f.suspect(c)
	}
}

// trust takes them out again: the route has answered.
func (f *scanner) trust(r *route) {
	r.silence, r.calledOff = noDoubt, 0
	for _, c := range r.calls {
		f.believe(c)
	}
}

func (f *scanner) suspect(c *call) {
	if c.doubt == noDoubt {
		c.doubt = c.route.silence
		f.doubts[c.doubt]++
	}
}

func (f *scanner) believe(c *call) {
	if c.doubt != noDoubt {
		f.doubts[c.doubt]--
		c.doubt = noDoubt
	}
}

// again decides whether a message whose attempt failed waits for a further try or is answered.
func (f *scanner) again(m *message, r *route, o Outcome) {
	notSent := o.Result == NotSent
	if f.usedUp(m) || m.mayRan && m.class.Effect == Unsafe || f.now >= m.ends() {
		f.answer(m)
		return
	}
	// On an open route nothing but trial calls is sent, so there is nothing to budget: the
	// message is held like the first tries there, and asks again when it is to go.
	if !notSent && !r.open {
		if !f.budgetRoom(r) {
			f.answer(m)
			return
		}
		m.granted = r
		r.reserved++
	}
	first := firstBackoff
	if o.Result == Full && o.Wait == 0 { // it is full now, and still will be in a tenth of a second
		first = refusedBackoff
	}
	m.after = max(m.after, f.now+o.Hold)
	if !notSent {
		m.after = f.now + f.jitter(first<<max(0, m.tries-1))
	}
	f.hold(m)
}

// ---- Final answers.

// ends is when a message that waits must be answered: its time, or that for a keyed repeat, is up.
func (m *message) ends() time.Duration {
	if m.mayRan && m.class.Effect == Keyed {
		return min(m.deadline-answerEarly, m.ranSent+m.class.Window-keyMargin)
	}
	return m.deadline - answerEarly
}

func (f *scanner) answerInTime() {
	for _, m := range slices.Clone(f.held) {
		if m.out == 0 && f.now >= m.ends() { // with an attempt out, its time-out comes first
			f.answer(m)
		}
	}
}

// refusable tells whether the client may be told that handing the message in again is harmless.
func (f *scanner) refusable(m *message) bool {
	if !m.mayRan && m.out == 0 || m.class.Effect == Pure {
		return true
	}
	return m.class.Effect == Keyed && !m.class.ZoneGroup
}

// answer gives the one final answer.
func (f *scanner) answer(m *message) {
	if f.refusable(m) {
		f.do(Refuse{Message: m.id, Wait: f.advice(m.dest)})
	} else {
		f.do(Fail{Message: m.id})
	}
	f.forget(m)
}

// advice is how long a client should stay away: until a told wait or the next trial is over.
func (f *scanner) advice(d *dest) time.Duration {
	wait := f.set.AdviceLimit
	for _, r := range d.routes {
		w := max(0, r.told-f.now)
		if r.open {
			w = max(w, f.nextTrial(r)-f.now)
		}
		wait = min(wait, w)
	}
	return wait
}

// ---- Route health.

// learn takes what the outcome of a call tells of its route and target.
func (f *scanner) long(c *call, o Outcome) bool {
	return c.sent <= c.route.okSent && f.now-c.sent > max(2*minPatience, lostFactor*cmp.Or(c.route.mean, guessTime)) &&
		(o.Result == Done || o.Result == Rejected || o.Result == TimedOut || o.Result == Cancelled && c.called)
}

func (f *scanner) learn(r *route, c *call, o Outcome) {
	switch o.Result {
	case Done, Errored, Full:
		f.trust(r)
	case TimedOut:
		if c.sent > r.okSent {
			f.doubt(r)
		}
	}
	if f.long(c, o) { // unless such calls mostly were
		f.longLoss.put(f.now, forget, lossShare, share(o.Result != Done && o.Result != Rejected))
	}
	if o.Result == TimedOut && c.hasty { // its message had no time left: that is no one's failure
		if c.trial {
			r.tried = f.now
		}
		return
	}
	if o.Result == Reset || o.Result == TimedOut {
		f.noteLoss(c)
	} else if !c.missed && o.Result != ConnectFailed {
		f.idleLoss[c.idle].put(f.now, forget, idleShare, 0)
	}
	good := o.Result == Done
	if o.Result == Cancelled {
		return
	}
	if o.Allowance.Told {
		f.heed(r, o)
		r.spent = 0
		if o.Allowance.Rate > 0 && o.Allowance.Left < nearlySpent {
			r.spent = f.now + rateSpan
		}
	}
	r.seen++
	doubtful := share(!good && o.Result != Full && o.Result != ConnectFailed)
	r.doubt.put(f.now, memory, 0.2, doubtful)
	if o.Result != TimedOut { // that is the route's trouble more often than the endpoint's
		c.target.failing.put(f.now, forget, lossShare, doubtful)
	}
	if good {
		f.learnGood(r, c, o.Took)
		return
	}
	r.bad++
	if r.fails == 0 {
		r.failing = c.sent
	}
	weight := 1.0
	if o.Result == Full {
		weight = 1 / fullsPerFail
	}
	r.fails += weight
	if c.sent > r.okSent {
		r.proof += weight
	}
	if o.Result == ConnectFailed {
		c.target.free = nil
		if r.lastOK > f.now-memory {
			_, held, _ := f.kept(r.dest.routes)
			r.dest.most, r.dest.mostAt = float64(held), f.now
		}
	}
	if f.targetAlone(r, c.target, o.Result) {
		return
	}
	if c.trial || r.open {
		f.trialFailed(r)
		return
	}
	switch {
	case o.Wait > 0 && o.Wait >= f.set.Fall && f.set.Fall > 0:
		f.openRoute(r, "shut")
	case r.fails >= f.proof(r):
		f.openRoute(r, "failing")
	case r.doubt.get(f.now, memory) > halfFailing:
		r.cold = true // that some are answered makes it no less of an outage
		f.openRoute(r, "half failing")
	case o.Result == Full:
		f.refusedAtPace(r)
	}
}

func (f *scanner) learnGood(r *route, c *call, took time.Duration) {
	r.good++
	r.oks.add(f.now, memory)
	r.fails = 0
	c.target.failed, c.target.avoidTil = 0, 0
	r.lastOK, r.okSent = f.now, max(r.okSent, c.sent)
	if !r.open {
		r.proof = 0
	}
	for _, a := range c.parts {
		p := f.pacing(a.m.class)
		if r.mean > 0 {
			p += (min(lateFactor, float64(took)/float64(r.mean)) - p) / 64
		}
		f.longer[a.m.class] = p
	}
	if r.mean == 0 {
		r.mean = took
	} else {
		r.mean += (took - r.mean) / 8
	}
	if f.usual == 0 {
		f.usual = took
	} else {
		f.usual += (took - f.usual) / 64
	}
	if !r.open {
		return
	}
	if c.trial {
		r.goods++
		r.tried, r.draw = f.now, 0
	}
	if !r.cold || r.goods >= goodsToClose { // calls lost one by one, or late, were no outage
		f.closeRoute(r)
	}
}

// proof is how many calls in a row without a good answer make an outage: half as many as were
// answered well of late, and one more. A sender that seldom calls a route can't wait for many.
func (f *scanner) proof(r *route) float64 {
	return min(proofOfOutage, 1+r.oks.get(f.now, memory)/2)
}

// targetAlone tells whether one target fails while others of its route work: then it is
// avoided for a while, and the route is not judged by it.
func (f *scanner) targetAlone(r *route, t *target, res Result) bool {
	t.failed++
	if res == Full || t.failed < 2 {
		return false
	}
	for _, other := range r.targets {
		if other != t && other.state == Active && other.failed == 0 && r.lastOK > f.now-memory && !r.open {
			t.avoidTil = f.now + min(firstTrial<<min(t.failed, 4), 4*longestTrial)
			return true
		}
	}
	return false
}

func (f *scanner) openRoute(r *route, why string) {
	f.settle(r)
	r.open, r.why, r.warming = true, why, false
	if r.gap == 0 || f.now-r.closed > memory { // soon after the last time it goes on where it was
		r.gap = firstTrial / 2
	}
	if r.fails == 0 {
		r.failing = f.now
	}
	f.trialFailed(r)
	for _, t := range r.targets {
		if t.state == Active && f.idle(t) > 0 { // a new connection tells a dead target from a busy one
			f.closeIdle(t)
		}
	}
}

func (f *scanner) trialFailed(r *route) {
	r.gap = min(2*r.gap, longestTrial)
	r.cold = r.cold || r.proof >= f.proof(r)
	r.goods, r.tried, r.draw = 0, f.now, 0.5+f.rng.Float64()
}

// nextTrial is when an open route may get its next trial call. All who hold messages for it try it:
// so that together they don't push it over on its return, each tries as often as its own messages have
// come since the outage began, or its equal part of a limit would let it call, times the part of its capacity
// that a cold route may be sent in trials. So it goes from the end of a told wait on, too: all were told the same.
func (f *scanner) nextTrial(r *route) time.Duration {
	cold := max(trialShare*f.set.TipMultiple*f.set.StartCapacity, floorRatio)
	from := max(r.tried, r.told)
	took := from - r.failing
	own := float64(took) / (cold * max(1, float64(len(r.dest.waiting)), f.fairPart(r)*took.Seconds()))
	gap := max(float64(r.gap), min(own, float64(longestTrial)*float64(f.set.Forwarders)/fewSenders))
	return from + time.Duration(r.draw*gap)
}

func (f *scanner) closeRoute(r *route) {
	r.open, r.why, r.fails, r.closed = false, "", 0, f.now
	r.doubt.value = 0
	r.warming, r.warm0, r.cold = r.cold, f.now, false
	r.tokens, r.filled, r.cutAt = 0, f.now, f.now
}

// age starts a quiet entry afresh, but never a wait or an outage.
func (f *scanner) age(r *route) {
	idle := len(r.calls) == 0 && len(r.dest.waiting) == 0 && !r.open && f.now >= r.told
	if idle && f.now-r.touched > forget {
		targets := r.targets
		*r = *f.freshRoute(r.name, r.dest)
		r.targets = targets
	}
}

func (f *scanner) watchCalls() {
	for _, c := range slices.Clone(f.calls) {
		if r := c.route; c == r.calls[0] && !r.open {
			if silent, _ := f.silent(r); silent {
				f.openRoute(r, "silent")
				f.touch(r.dest)
			}
		}
	}
}

func (f *scanner) watchNew() {
	for _, c := range f.calls {
		if r := c.route; c == r.calls[0] && !r.open {
			if silent, next := f.silent(r); silent {
				panic("a call became overdue in the Step that it was made in")
			} else if next < never {
				f.before(next)
			}
		}
	}
}

// silent tells whether calls are out for far longer than usual while none sent later came back,
// and when the next one will be out for so long.
func (f *scanner) silent(r *route) (silent bool, next time.Duration) {
	usual := cmp.Or(r.mean, guessTime)
	late, overdue := 0, 0
	next = never
	for _, c := range r.calls {
		if at := c.sent + fairOf(usual); f.now < at {
			next = min(next, at)
			continue
		}
		f.noteLoss(c)
		if c.sent <= r.okSent {
			continue // a later call was answered: this one is lost or slow, the route is not silent
		}
		late++
		overdue++
		if at := c.sent + max(2*minPatience, lostFactor*usual); f.now < at {
			next = min(next, at)
		} else {
			late++
		}
	}
	if overdue > 0 {
		f.doubt(r)
	}
	if late >= 2 {
		r.proof = max(r.proof, float64(overdue))
	}
	return late >= 2, next
}

// leave closes the idle connections to a target unless the new ones that they are likely to save
// are worth the room that they take there: idle ones of very many senders fill a target's table.
func (f *scanner) leave(t *target) {
	room := roomCost * min(1, float64(f.set.Forwarders)/tableRoom)
	saved := f.set.ConnectPrice * t.uses.get(f.now, max(f.set.ConnIdle, 1))
	if _, held, worth := f.kept(t.route.dest.routes); saved < room && float64(held) > worth && f.idle(t) > 0 && len(t.route.dest.waiting) == 0 {
		f.closeIdle(t)
	}
}

// stale tells whether connections idle for so long have been losing calls that newer ones don't:
// something on the way has forgotten them. They are closed before a send, at the price of a new one.
func (f *scanner) stale(step int) bool {
	fresh := f.idleLoss[0].get(f.now, forget)
	for s := 1; s <= step; s++ {
		if loss := f.idleLoss[s].get(f.now, forget); loss > staleLoss && loss > 2*fresh {
			return true
		}
	}
	return false
}

// patience is how long a call is left out when slots are short. What could not be refused after
// that is given longer, but a keyed message is left time for a repeat within its window.
func (f *scanner) patience(m *message, usual time.Duration) time.Duration {
	own := time.Duration(float64(usual) * f.pacing(m.class))
	short, long := lateFactor*own, max(2*minPatience, lostFactor*own)
	switch {
	case m.class.Effect == Unsafe:
		return long
	case m.class.Effect == Keyed && m.class.ZoneGroup:
		return max(short, min(long, m.class.Window/4))
	}
	return short
}

func (f *scanner) freeSlots() {
	if !f.set.MayCancel {
		return
	}
	if len(f.calls) < f.set.Slots {
		f.freeDoubts(f.shy[untried])
		return
	}
	if f.freeDoubts(1) {
		return
	}
	var worst *call
	most := 1.0
	for _, c := range f.calls {
		usual, limit := f.usualTime(c.route.dest.routes), minPatience
		for _, a := range c.parts {
			limit = max(limit, f.patience(a.m, usual))
		}
		if r := c.route; !r.open && c.sent <= r.okSent { // its route works: it is long rather than lost,
			lost := f.longLoss.get(f.now, forget)
			limit = time.Duration(float64(limit) * (longFactor - (longFactor-lostLong)*lost))
		}
		over := float64(f.now-c.sent) / float64(limit)
		if !c.called && !f.before(c.sent+limit) && over >= most {
			worst, most = c, over
		}
	}
	if worst != nil {
		f.callOff(worst)
	}
}

func (f *scanner) freeDoubts(need int) (freed bool) {
	for _, c := range f.calls {
		if c.doubt == noDoubt || need <= 0 || slices.ContainsFunc(c.parts, (*attempt).notPure) {
			continue
		}
		if c.called {
			need--
			continue
		}
		usual := cmp.Or(c.route.mean, f.usual, guessTime)
		if !f.before(c.sent + fairOf(usual)<<min(c.route.calledOff, longDoubt)) {
			c.route.calledOff++
			f.doubt(c.route)
			f.callOff(c)
			freed = true
			need--
		}
	}
	return freed
}

func (a *attempt) notPure() bool { return a.m.class.Effect != Pure }

func (f *scanner) callOff(c *call) {
	c.called = true
	for _, a := range c.parts {
		f.do(Cancel{Message: a.m.id, Attempt: a.n})
	}
}

// ---- The retry budget.

// settle closes the budget's intervals that are over, each at its end: the budget halves when many
// fail, and grows when few do. With too few outcomes to judge by they go on counting in the next one:
// else the budget lurches where a route is called only a few times a second.
func (f *scanner) settle(r *route) {
	for f.now-r.interval >= adjustEvery {
		if !r.bound && r.seen < enoughSeen && r.free <= r.interval {
			// Nothing comes of the ends of intervals in which nothing goes on.
			f.closeInterval(r, r.interval+(f.now-r.interval)/adjustEvery*adjustEvery)
			return
		}
		f.closeInterval(r, r.interval+adjustEvery)
	}
}

func (f *scanner) settleAll(d *dest) {
	for _, r := range d.routes {
		f.settle(r)
	}
}

func (f *scanner) closeInterval(r *route, end time.Duration) {
	if r.bound && r.fulls == 0 && r.good > 0 && !r.open && !f.warming(r, end) {
		r.rate *= paceUp
	}
	r.fulls, r.good, r.interval = 0, 0, end
	f.repace(r, end)
	if r.seen < enoughSeen {
		return
	}
	switch rate := float64(r.bad) / float64(r.seen); {
	case rate > highFailure:
		r.ratio = max(floorRatio, r.ratio/2)
	case rate < lowFailure:
		r.ratio = min(startRatio, r.ratio*(1+growth))
	}
	r.seen, r.bad = 0, 0
}

// repace works out when a route may be called next, and whether its pace holds a message now.
func (f *scanner) repace(r *route, at time.Duration) {
	f.fill(r, at)
	r.pace = f.paceAt(r, at)
	r.free = at
	if r.tokens < 1 && !math.IsInf(r.pace, 1) {
		r.free += time.Duration(min((1-r.tokens)/r.pace, 1e6) * float64(time.Second))
	}
	held := len(r.dest.waiting) > 0 && !r.open && at >= r.told && at < r.free
	r.bound = held || r.bound && at != r.interval
}

// touch: here it is looked at in any case.
func (f *scanner) touch(d *dest) {
	for _, r := range d.routes {
		f.settle(r)
		f.repace(r, f.now)
	}
}

// budgetRoom tells whether one more further try fits the budget: those of the last seconds, and
// those granted, stay under the ratio of the first tries. One is in hand where none was made.
func (f *scanner) budgetRoom(r *route) bool {
	return r.further.get(f.now, memory)+float64(r.reserved) <= r.ratio*r.firsts.get(f.now, memory)
}

// ---- Pace.

// paceAt is the rate in calls a second at which this sender may call a route.
func (f *scanner) paceAt(r *route, at time.Duration) float64 {
	p := r.rate
	if fair := f.fairPart(r); fair > 0 {
		old := min(1, (at-r.heard).Seconds()/rateSpan.Seconds())
		room := r.room + (littleRoom-r.room)*old // who has heard nothing lately keeps to the own part
		limit, own := fair*float64(f.set.Forwarders), f.part(r, at)
		if r.asked > limit { // each lets through the same share of its messages
			own = max(fullUse*fair, own*limit/r.asked*(evenRoom+min(room, muchRoom)))
		} else { // more than the own part while others leave room
			own = max(own, limit*min(1, (room-littleRoom)/(muchRoom-littleRoom)))
		}
		p = min(p, own)
	}
	if f.warming(r, at) {
		t := float64(at-r.warm0) / float64(f.set.Cold)
		present := f.set.StartCapacity + (1-f.set.StartCapacity)*t
		p = min(p, warmShare*f.set.TipMultiple*present*f.part(r, at))
	}
	return p
}

// warming tells whether a route is on its return from an outage.
func (f *scanner) warming(r *route, at time.Duration) bool {
	return r.warming && at-r.warm0 < f.set.Cold
}

// part is this sender's part of what a route can take, as far as it knows: its equal part, or the
// part that its own messages make up, over the last minute.
func (f *scanner) part(r *route, at time.Duration) float64 {
	span := min(forget, max(at-f.begun, rateSpan))
	own := r.dest.taken.get(at, forget) / span.Seconds() / float64(len(r.dest.routes))
	return max(f.fairPart(r), own)
}

// heed takes what an answer tells of a limit.
func (f *scanner) heed(r *route, o Outcome) {
	limit, since := o.Allowance.Rate, min(f.now-r.heard, rateSpan).Seconds()
	if limit <= 0 {
		r.limit, r.asked = 0, 0
		return
	}
	if r.limit > 0 && math.Abs(limit-r.limit) < steadyLimit*r.limit {
		limit = r.limit + (limit-r.limit)/4
	}
	r.limit, r.room, r.heard = limit, o.Allowance.Left, f.now
	rise := crowdDown * min(0, evenRoom-r.room)
	if o.Result == Full && o.Allowance.Left < nearlySpent { // refused calls may use it up, too
		r.room, rise = 0, crowdUp
	}
	r.asked = min(mostCrowd*limit, max(limit, r.asked*math.Exp(since*rise)))
}

// fairPart is an equal part of the limit of a route, where that is told; else 0.
func (f *scanner) fairPart(r *route) float64 {
	w := r.limit
	if w <= 0 && f.set.Weights == ExactWeights {
		w = f.weight(r)
	}
	return w / float64(f.set.Forwarders)
}

// fill counts what has come to a route's tokens since.
func (f *scanner) fill(r *route, at time.Duration) {
	if math.IsInf(r.pace, 1) {
		r.tokens = 1
	} else {
		r.tokens = min(1, r.tokens+r.pace*(at-r.filled).Seconds())
	}
	r.filled = at
}

// refusedAtPace slows a route down after a refusal, once for each lot of refusals.
func (f *scanner) refusedAtPace(r *route) {
	r.fulls++
	if f.now < r.cutAt {
		return
	}
	r.cutAt = f.now + adjustEvery
	sent := r.sent.get(f.now, rateSpan) / rateSpan.Seconds()
	least := max(leastPart, share(r.limit > 0)) // paceAt sees to a told limit
	r.rate = max(minRate/float64(f.set.Forwarders), least*f.part(r, f.now), min(r.rate, sent)*cutTo)
}

// ---- For the host.

func (f *scanner) setWake() {
	for _, m := range f.held {
		if m.out == 0 {
			f.before(m.ends())
		}
	}
	if f.next < never && (f.wakeAt <= f.now || f.next < f.wakeAt) {
		f.wakeAt = f.next
		f.do(Wake{After: f.next - f.now})
	}
}
