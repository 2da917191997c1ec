package decide

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
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
	attempts int // sends, as the host numbers them
	tries    int // sends that were really made
	out      int // attempts without an outcome
	over     bool
	mayRan   bool          // an earlier attempt may have run
	ranZone  string        // where the first such attempt went
	ranSent  time.Duration // and when
	after    time.Duration // not sent before this
	granted  *route        // the route whose budget has granted its next try, or nil
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
	idle   int  // how long its connection had been idle, as a step; 0 for a new one
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
	served  time.Duration // its last turn
	taken   decaying      // messages that came for it
}

// target is one listed endpoint.
type target struct {
	id       string
	kind     Kind
	zone     string
	state    TargetState
	weight   float64
	route    *route
	out      int
	free     []time.Duration // when each connection believed to be open and free became so
	uses     decaying        // calls
	failed   int             // failures in a row
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

	rate   float64 // calls a second that this sender allows itself
	tokens float64
	filled time.Duration
	bound  bool // the pace held a message in this interval
	cutAt  time.Duration
	sent   decaying      // calls
	limit  float64       // told limit in calls a second; 0 for none
	heard  time.Duration // when the limit and the room were told
	room   float64       // how much of the limit others leave, from 0 to 1
}

// decaying is a count that fades.
type decaying struct {
	value float64
	at    time.Duration
}

func (d *decaying) get(now, tau time.Duration) float64 {
	if now > d.at {
		d.value *= math.Exp(-float64(now-d.at) / float64(tau))
		d.at = now
	}
	return d.value
}

func (d *decaying) add(now, tau time.Duration) { d.get(now, tau); d.value++ }

// until is when the count will have faded to a lower one.
func (d *decaying) until(now, tau time.Duration, lower float64) time.Duration {
	if v := d.get(now, tau); v > lower {
		return now + time.Duration(math.Log(v/lower)*float64(tau)) + time.Microsecond
	}
	return now
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
	d.get(now, tau)
	d.value += share * (v - d.value)
}

// Forwarder decides for one forwarder. It is made by New.
type Forwarder struct {
	set      Settings
	classes  map[string]*Class
	kinds    map[string]Kind
	tenants  map[string]*tenant
	idleLoss [idleSteps]decayingMean // share of calls lost, by how long the connection was idle
	longer   map[*Class]float64      // time that a class takes, over its route's usual time
	rng      *rand.Rand
	now      time.Duration

	msgs     map[string]*message
	held     []*message // all not yet answered, in the order taken
	attempts map[string][]*attempt
	lines    map[string]*keyLine
	dests    map[int]*dest
	order    []*dest
	targets  map[string]*target
	calls    []*call       // out, in the order sent
	turns    []*dest       // those with messages waiting
	due      time.Duration // no held message must be answered before this
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
func New(s Settings) (*Forwarder, error) {
	if err := check(s); err != nil {
		return nil, err
	}
	s.Forwarders = max(s.Forwarders, 1)
	f := &Forwarder{
		set: s, classes: map[string]*Class{}, kinds: map[string]Kind{}, tenants: map[string]*tenant{},
		longer: map[*Class]float64{},
		rng:    rand.New(rand.NewPCG(s.Seed, s.Seed^0x9e3779b97f4a7c15)),
		msgs:   map[string]*message{}, attempts: map[string][]*attempt{}, lines: map[string]*keyLine{},
		dests: map[int]*dest{}, targets: map[string]*target{}, due: never, begun: never, stop: never,
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
		return t
	}
	kind := f.kinds[e.Kind]
	kind.PerCall = max(kind.PerCall, 1)
	t := &target{id: e.ID, kind: kind, zone: e.Zone}
	f.targets[e.ID] = t
	d := f.destination(e.Destination)
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
func (f *Forwarder) dropGone(t *target) {
	if t.state != Gone || t.out > 0 || f.targets[t.id] != t {
		return
	}
	delete(f.targets, t.id)
	r := t.route
	r.targets = without(r.targets, t)
	if t.kind.Apart && len(r.targets) == 0 {
		r.dest.routes = without(r.dest.routes, r)
	}
}

// dropQuiet forgets the destinations that have had no target, message or call for long.
func (f *Forwarder) dropQuiet() {
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

func (f *Forwarder) freshRoute(name string, d *dest) *route {
	return &route{name: name, dest: d, okSent: -1, ratio: startRatio, interval: f.now, rate: math.Inf(1), room: 1, touched: f.now}
}

func (f *Forwarder) destination(id int) *dest {
	d := f.dests[id]
	if d == nil {
		d = &dest{id: id}
		f.dests[id] = d
		f.order = append(f.order, d)
	}
	return d
}

func (f *Forwarder) takeAttempt(o Outcome) *attempt {
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
func (f *Forwarder) queue(m *message, key string) {
	m.line = f.lines[key]
	if m.line == nil {
		m.line = &keyLine{key: key}
		f.lines[key] = m.line
	}
	m.line.queue = append(m.line.queue, m)
}

// hold puts a message among those that wait for its destination.
func (f *Forwarder) hold(m *message) {
	if len(m.dest.waiting) == 0 {
		f.turns = append(f.turns, m.dest)
	}
	m.dest.waiting = append(m.dest.waiting, m)
	f.due = min(f.due, m.ends())
}

func (f *Forwarder) unhold(m *message) {
	before := len(m.dest.waiting)
	m.dest.waiting = without(m.dest.waiting, m)
	if before > 0 && len(m.dest.waiting) == 0 {
		f.turns = without(f.turns, m.dest)
	}
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
		f.held = without(f.held, m)
		f.unhold(m)
		if m.granted != nil {
			m.granted.reserved--
			m.granted = nil
		}
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

func (f *Forwarder) startCall(t *target) *call {
	r := t.route
	c := &call{route: r, target: t, sent: f.now, trial: r.open}
	if n := f.idle(t); n > 0 { // the host uses the one used last
		c.idle = idleStep(f.now - t.free[n-1])
		t.free = t.free[:n-1]
	}
	r.calls = append(r.calls, c)
	r.tokens--
	r.sent.add(f.now, rateSpan)
	r.touched = f.now
	f.calls = append(f.calls, c)
	t.out++
	t.uses.add(f.now, max(f.set.ConnIdle, 1))
	return c
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
