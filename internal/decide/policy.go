package decide

// The decision module. Its interface - settings, events, actions - is in decide.go; the structs
// that it remembers things in, and their making, are in state.go, and what finds them without a
// walk in index.go. All else is decided here, in the order in which a message lives: taken, held,
// sent, outcome, again or answered; then route health, the retry budget and pace.
//
// Whether a destination may be sent to is worked out from its state and the clock alone, and
// working it out changes nothing. So it need be done only when something happens there (touch)
// or when the time comes that the last answer named (its gate). docs/large-sizes.md has the rest.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

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
	lossShare  = 1.0 / 8  // weight of one call in the share lost
	longFactor = 4.0      // a call to a route that works is given so many times as long
	lostLong   = 1.5      // the same where all that were out for long were lost
	idleShare  = 1.0 / 16 // the same for connections of one idle time
	staleLoss  = 0.17     // above this share, connections idle for so long are not used
	roomCost   = 0.1      // price of a connection that idles at a target
	tableRoom  = 20.0     // connections that a small table takes: fewer senders than that can't fill it
	rareGap    = 1.65     // standard deviations: one turn in twenty comes later

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
	backupAfter   = 1000 // targets that come before a backup, as it were
	preferCost    = 2    // calls out that an endpoint one place behind another seems to have too many
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
	slotShare   = 0.5      // of the slots that one route may hold
	doubtShare  = 0.75     // of the slots that calls to routes which don't answer may hold together
	crowdShare  = 0.25     // of the slots: under that such a route may have more than one call out
	silentShare = 1.0 / 8  // the same for those known to be silent, where that is more than
	fullShare   = 1.0 / 32 // or this while more than half of the slots are taken,
	fewSilent   = 8        // so many calls
	longDoubt   = 3        // doublings, at most, of the time that such a call is left out
	stopFactor  = 3        // times the usual time that a call needs before the host ends
	fullHold    = 0.9      // of the hold: from here on the least worth is shed
	earlyPrice  = 0.3      // of its worth: a message that was taken on is given up
	early       = 0.7      // before so much of its time is over
)

// Step takes the clock and what happened since the last Step, and returns what to do, in order.
func (f *Forwarder) Step(now time.Duration, events []Event) []Action {
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
		case Withdrawn:
			f.withdraw(e)
		case Crowded:
			if m := f.least(); m != nil && allOpen(m.dest.routes) { // it can't go soon: others may
				f.answer(m)
			}
		default:
			f.note(e)
		}
	}
	f.dropLines()
	f.askForList()
	f.answerInTime()
	f.watchCalls()
	f.sendWaiting()
	f.sendCopies()
	f.watchNew()
	f.freeSlots()
	f.setWake()
	return f.actions
}

// ---- The list of targets.

func (f *Forwarder) list(l TargetList) {
	if l.Scope == Unavailable {
		f.asked = false
		f.askAt = f.now + f.jitter(f.set.AskEvery)
		return
	}
	f.lists++
	for _, e := range l.Targets {
		t := f.target(e)
		t.listed = f.lists
		f.listed(t, e)
	}
	if l.Scope != Changes { // a target missing from a whole list is gone
		for _, t := range f.targets {
			if t.listed != f.lists {
				f.listed(t, Target{Zone: t.zone, State: Gone, Weight: t.weight})
			}
		}
	}
	f.dropQuiet()
}

func (f *Forwarder) askForList() {
	if f.set.MustAsk && !f.asked && !f.before(f.askAt) {
		f.asked = true
		f.do(Subscribe{})
	}
}

// ---- A message is taken.

func (f *Forwarder) take(e Message) {
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
	case f.shut, f.set.MaxHeld > 0 && f.held >= f.set.MaxHeld:
		f.do(Refuse{Message: e.ID, Wait: f.advice(f.destination(e.Destination))})
		return
	}
	m := f.newMessage(e, c)
	if f.overShare(e.Tenant) {
		m.worth = c.Worth * f.set.OverShareWorth
	}
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
func (f *Forwarder) recover(m *message, e Message) {
	m.attempts, m.tries, m.mayRan, m.owed = e.Attempts, e.Attempts, e.MayHaveRun, true
	if e.Open {
		m.tries--
	}
	m.tries = min(m.tries, maxFurther) // the host's number counts what was not sent, too: it has a try left
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

// shed makes room in an almost full hold by refusing what is worth least, so that messages
// for destinations in trouble don't keep out those for the others. Where others wait before it, the one
// that comes goes sooner than one that is worth little more: nobody was told yet that it is taken on.
func (f *Forwarder) shed(taken *message) {
	if f.set.MaxHeld == 0 || float64(f.held) < fullHold*float64(f.set.MaxHeld) {
		return
	}
	if m := f.least(); m != nil {
		left := float64(m.deadline-f.now) / float64(m.class.Deadline)
		if taken.dest.n > 1 && f.value(taken) <= f.value(m)+earlyPrice*m.worth*share(left > 1-early) {
			m = taken
		}
		f.answer(m)
	}
}

// value is what a message is worth once the last of those that wait for its destination is sent.
func (f *Forwarder) value(m *message) float64 {
	return m.worth * f.share(m.class, f.now+m.dest.delay-m.born)
}

// least is the message worth least of those that may be refused, once what waits before it is sent.
func (f *Forwarder) least() (least *message) {
	var lowest float64
	f.sheddable(func(g *group) {
		m := g.oldest()
		v := f.value(m)
		if least == nil || v < lowest || v == lowest && shedFirst(g, least.group) {
			least, lowest = m, v
		}
	})
	return least
}

// queueTime is how long it takes until the last of those that wait for a destination is sent. Where
// all routes are open they go out by trial calls only: so messages for a destination that does not
// answer are worth least in a hold that is almost full, and make room for the others.
func (f *Forwarder) queueTime(d *dest) time.Duration {
	each := f.usualTime(d.routes)
	if len(d.routes) > 0 && allOpen(d.routes) {
		for _, r := range d.routes {
			each = max(each, r.gap)
		}
	}
	return time.Duration(d.n) * each
}

// share is the share of its worth that a message of a class has at an age.
func (f *Forwarder) share(c *Class, age time.Duration) float64 {
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

func (f *Forwarder) sendWaiting() {
	for f.stop < never && f.shy[untried].len() > 0 { // before a stop, time alone changes what may still go
		f.stirred(f.shy[untried].min())
	}
	for f.gates.len() > 0 && f.gates.min().gate <= f.now {
		f.stirred(f.gates.min())
	}
	for f.calls.n < f.set.Slots {
		d := f.nextTurn()
		if d == nil {
			break
		}
		if sent, gate, by := f.sendOne(d); sent {
			d.served = f.now
			f.touch(d)
		} else {
			f.rest(d, gate, by)
		}
	}
	if f.calls.n < f.set.Slots && f.gates.len() > 0 { // else the end of a call comes first
		f.before(f.gates.min().gate)
	}
}

// sendOne makes one call to a destination, if any message there may go. If none may, it tells
// when that changes unless something happens there, and by which bound on calls in doubt it is held.
func (f *Forwarder) sendOne(d *dest) (sent bool, gate time.Duration, by doubtKind) {
	usable, others := f.some[:0], f.others[:0]
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
	f.some, f.others = usable, others
	f.release(d)
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
	for n := 1; n < to.kind.PerCall && !trial; n++ { // what goes in one turn is one call
		if m, _ = f.choose(d, usable, how, to); m == nil {
			break
		}
		f.send(m, c)
	}
	return true, 0, noDoubt
}

// choice is how a message is chosen among those of a destination.
type choice int

const (
	byUrgency choice = iota
	asTrial          // a trial call risks its message: the least worth goes, if it may be repeated
	asFirst          // to a route that has not answered: the most urgent of those that may be repeated
)

// choose picks what is sent next, to the target named or to any, or tells from when on one may go.
func (f *Forwarder) choose(d *dest, usable []*route, how choice,
	only *target) (best *message, gate time.Duration) {
	gate = never
	if len(usable) > 0 && d.delayed.len() > 0 {
		gate = d.delayed.min().from()
	}
	usual, highest := f.usualTime(d.routes), 0.0
	for _, g := range d.groups {
		if g.key.state != ready {
			continue
		}
		if from := f.soonest(g.root, usable, only); from > f.now {
			gate = min(gate, from)
			continue
		}
		m, s := g.pick(f, how, usual)
		if best == nil || s > highest || s == highest && older(m, best) {
			best, highest = m, s
		}
	}
	return best, gate
}

// soonest is when a message may go to one of some routes' targets.
func (f *Forwarder) soonest(m *message, usable []*route, only *target) time.Duration {
	from := never
	for _, r := range usable {
		for _, t := range r.targets {
			if only == nil || t == only {
				from = min(from, f.mayGo(m, t))
			}
		}
	}
	return from
}

// score ranks the messages of a destination where the usual time to answer is known.
func (f *Forwarder) score(m *message, how choice, usual time.Duration) float64 {
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
func (f *Forwarder) urgency(m *message, usual time.Duration) float64 {
	age := f.now - m.born
	if loss := m.worth * f.loss(m.class, age+usual); loss > 0 {
		return 1e6 * loss
	}
	if age < m.class.Aim {
		return 1e3*m.worth + age.Seconds()
	}
	return m.worth + age.Seconds()/1e3
}

const lossSpan = time.Second

// loss is the share of its worth that a message loses in the second after an age.
func (f *Forwarder) loss(c *Class, age time.Duration) float64 {
	if f.set.Decay == Line && c.Aim > 0 && age >= c.Aim && age+lossSpan < c.Deadline {
		// The same for all, to the last bit: rounding is not to rank them.
		return (1 - c.LateShare) * float64(lossSpan) / float64(c.Deadline-c.Aim)
	}
	return f.share(c, age) - f.share(c, age+lossSpan)
}

// routeGate is from when on any message may go to a route: the part of the gate that is the same for
// all of its messages.
func (f *Forwarder) routeGate(r *route) (from time.Duration) {
	f.settle(r)
	switch {
	case f.now < r.told:
		return r.told
	case r.open && r.trials > 0, r.dest.limits.full(len(r.calls)):
		return never
	case r.open:
		return max(f.nextTrial(r), r.dest.limits.paced(min(r.free, r.interval+adjustEvery)))
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
func (f *Forwarder) roomIn(kind doubtKind) bool {
	share, slots := doubtShare, float64(f.set.Slots)
	switch kind {
	case noDoubt:
		return true
	case crowded:
		share = crowdShare
	}
	silent := silentShare
	if 2*f.calls.n > f.set.Slots {
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
func (f *Forwarder) mayGo(m *message, t *target) (from time.Duration) {
	r, c := t.route, m.class
	switch {
	case m.over || m.out > 0 && !m.copying || t.state != Active || r.dest != m.dest, m.outAt(t),
		f.usedUp(m), f.now >= m.endsAt,
		m.mayRan && !repeatable(m, t), !m.among.permits(t), m.line != nil && m.line.first != m:
		return never
	}
	from = m.from()
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

func (f *Forwarder) usedUp(m *message) bool {
	return f.shut || m.tries > maxFurther || m.limits.Attempts > 0 && m.attempts >= m.limits.Attempts
}

// repeatable tells whether a message that may have run may be sent to a target again in its time.
func repeatable(m *message, t *target) bool {
	e := m.class.Effect
	return e == Pure || e == Keyed && (!m.class.ZoneGroup || t.zone == m.ranZone)
}

// chooseTarget picks the cheapest target that a message may go to: not one that fails while
// others work, of the own zone where that costs less, with an idle connection, least busy. Equals
// have turns.
func (f *Forwarder) chooseTarget(m *message, usable []*route) (best *target) {
	all, held, worth := f.kept(usable)
	// Of targets without a connection each has its part of the calls, also one that is back: all senders
	// together send it its share.
	lowest, some := math.Inf(1), held > 0 && held < all && held+1 <= min(worth, f.mayHold(m.dest))
	explore := some && f.rng.Float64()*all < all-held
	for _, r := range usable {
		for _, t := range r.targets {
			if f.mayGo(m, t) > f.now {
				continue
			}
			cost := (float64(t.out)+evenOut*f.lately(t))/(t.share*f.warmth(t)) + t.ahead()
			cost += failCost*t.failing.get(f.now, forget) + preferCost*f.behind(m, t)
			cost += 1e6*share(f.now < t.avoidTil) + 0.5*share((f.idle(t) == 0) != explore)
			cost += 100 * f.set.CrossPrice * share(t.zone != f.set.Zone)
			cost += 100 * f.set.ZoneFee[t.zone] * share(t.kind.Apart)
			if cost < lowest {
				best, lowest = t, cost
			}
		}
	}
	return best
}

// lately is how lately a target was called, from 0 to 1. One without a connection has its place by
// chance, or else all senders would call the same one.
func (f *Forwarder) lately(t *target) float64 {
	chance := f.rng.Float64()
	if f.now < t.avoidTil {
		f.requeue(t)
	}
	if f.idle(t) == 0 {
		return chance
	}
	return math.Exp(-float64(f.now-t.place) / float64(max(f.set.ConnIdle, 1)))
}

// kept counts the targets of some routes, those with a connection, and how many of these are worth
// having: as many as turns keep busy enough. Few calls come later than a connection lasts, and each
// saves more than its room is worth.
func (f *Forwarder) kept(routes []*route) (all, held, worth float64) {
	calls := 0.0
	for _, r := range routes {
		calls += r.firsts.get(f.now, memory) * float64(f.set.ConnIdle) / float64(memory)
		for _, t := range r.targets {
			all += share(t.state == Active)
			held += share(t.state == Active && t.out+f.idle(t) > 0)
		}
	}
	worth = calls - rareGap*math.Sqrt(calls)
	if part := f.set.ConnectPrice / f.room(); part < 1 {
		worth = min(worth, -calls*math.Log1p(-part))
	}
	return all, held, worth
}

// mayHold is how many targets may have a connection: after one was refused as many as there were then,
// and one more each idle time.
func (f *Forwarder) mayHold(d *dest) float64 {
	return d.most + float64(f.now-d.mostAt)/float64(max(f.set.ConnIdle, 1))
}

// behind is how many targets a message would sooner go to; one that failed of late comes after all
// that it prefers, and backups before one that did.
func (f *Forwarder) behind(m *message, t *target) float64 {
	i, failed := slices.Index(m.among.Prefer, t.id), t.failed > 0 && f.now-t.uses.at < memory
	if i < 0 || failed {
		i = len(m.among.Prefer)
	}
	if t.backup || failed && slices.ContainsFunc(t.route.targets, (*target).spare) {
		i += backupAfter * (1 + int(share(!t.backup)) + 2*int(share(failed && t.backup)))
	}
	return float64(i)
}

// sendCopies sends a second copy of what may be repeated, where operators say so, once its first call
// has been out as long as they say: to another target, within the budget, while half the slots are free.
func (f *Forwarder) sendCopies() {
	for f.copies.len() > 0 && !f.before(f.copies.min().copyAt) {
		m := f.copies.pop()
		r := m.sent.call.route
		if r.open || 2*f.calls.n >= f.set.Slots || f.routeGate(r) > f.now || !f.roomIn(r.kind()) {
			continue
		}
		m.copying = true
		if t := f.chooseTarget(m, []*route{r}); t != nil && !t.backup && t.avoidTil <= f.now {
			f.send(m, f.startCall(t))
		}
		m.copying = false
	}
}

func (f *Forwarder) send(m *message, c *call) {
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
	m.sent, m.other, m.owed = a, m.sent, false
	c.parts = append(c.parts, a)
	m.attempts++
	m.tries++
	m.out++
	c.left++
	f.unhold(m)
	limit := f.timeout(m, c)
	c.hasty = limit < fairOf(f.usualTime(m.dest.routes))
	if m.limits.Copy > 0 && f.set.SecondCopies && m.class.Effect == Pure && m.tries == 1 && !c.trial {
		m.copyAt = f.now + m.limits.Copy
		f.copies.fix(m)
	}
	f.do(Send{Message: m.id, Target: c.target.id, Timeout: limit})
}

// fairOf is how long a call must be waited for before silence says anything of its route.
func fairOf(usual time.Duration) time.Duration { return max(minPatience, lateFactor*usual) }

// timeout is how long to wait for an answer: what may be repeated is given up well after its
// usual time; what may not is lost by giving up, so it waits as long as its time lasts.
func (f *Forwarder) timeout(m *message, c *call) time.Duration {
	left := m.within(m.deadline - f.now)
	if m.class.Effect == Unsafe {
		return left
	}
	own := time.Duration(f.pacing(m.class) * float64(f.usualTime(m.dest.routes)))
	return min(left, max(minTimeout, timeFactor*own))
}

// ---- Outcomes.

func (f *Forwarder) outcome(o Outcome) {
	m := f.msgs[o.Message]
	a := m.ended(o.Attempt)
	if a == nil {
		return
	}
	c := a.call
	r, t, d := c.route, c.target, c.route.dest
	f.settleAll(d)
	f.copies.remove(m)
	r.told = max(r.told, f.now+o.Wait) // told to any one message of a call, it holds all
	m.out--
	c.left--
	last := c.left == 0
	if last {
		f.endCall(c)
		if o.Result.answered() || o.Result == Errored || o.Result == Full || o.Result == NotSent {
			t.free = append(t.free, f.now) // its connection is kept
		}
	}
	f.unwatch(r)
	if o.Result == NotSent {
		m.tries--
	} else if last {
		f.learn(r, c, o)
	}
	f.leave(t)
	f.dropGone(t)
	doubtful := o.Result == TimedOut || o.Result == Reset || o.Result == Cancelled
	if doubtful && m.line != nil {
		m.line.rests = max(m.line.rests, f.now+f.set.KeyRest)
	}
	if (doubtful || o.Result == Errored || o.Result == Done) && !m.mayRan {
		m.mayRan, m.ranZone, m.ranSent = true, t.zone, c.sent
	}
	if o.Over || m.over {
		f.forget(m)
	} else if m.out == 0 {
		f.again(m, r, o)
	}
	f.touch(d)
}

// again decides whether a message whose attempt failed waits for a further try or is answered.
func (f *Forwarder) again(m *message, r *route, o Outcome) {
	notSent := o.Result == NotSent
	if o.Result == Rejected || f.usedUp(m) || m.mayRan && m.class.Effect == Unsafe || f.now >= m.ends() {
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
		m.after = f.now + f.jitter(max(first, m.limits.Wait)<<max(0, m.tries-1))
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

func (f *Forwarder) answerInTime() {
	var late []*message
	for f.ends.len() > 0 && (f.shut || f.now >= f.ends.min().endsAt) { // those out have a time-out
		late = append(late, f.ends.pop())
	}
	slices.SortFunc(late, func(a, b *message) int { return cmp.Compare(a.seq, b.seq) })
	for _, m := range late {
		f.answer(m)
	}
}

// refusable tells whether the client may be told that handing the message in again is harmless.
func (f *Forwarder) refusable(m *message) bool {
	if !m.mayRan && m.out == 0 || m.class.Effect == Pure {
		return true
	}
	return m.class.Effect == Keyed && !m.class.ZoneGroup
}

// answer gives the one final answer.
func (f *Forwarder) answer(m *message) {
	if f.refusable(m) {
		f.do(Refuse{Message: m.id, Wait: f.advice(m.dest)})
	} else {
		f.do(Fail{Message: m.id})
	}
	f.forget(m)
}

// advice is how long a client should stay away: until a told wait or the next trial is over.
func (f *Forwarder) advice(d *dest) time.Duration {
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
func (f *Forwarder) learn(r *route, c *call, o Outcome) {
	switch o.Result {
	case Done, Rejected, Errored, Full:
		f.trust(r)
	case TimedOut:
		if c.sent > r.okSent {
			f.doubt(r)
		}
	}
	if f.long(c, o) { // unless such calls mostly were
		f.longLoss.put(f.now, forget, lossShare, share(!o.Result.answered()))
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
	good := o.Result.answered()
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
		if r.lastOK > f.now-memory { // its table is full, rather than that it is down
			_, r.dest.most, _ = f.kept(r.dest.routes)
			r.dest.mostAt = f.now
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

func (f *Forwarder) learnGood(r *route, c *call, took time.Duration) {
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
	r.mean, f.usual = follow(r.mean, took, 8), follow(f.usual, took, 64)
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
func (f *Forwarder) proof(r *route) float64 {
	return min(proofOfOutage, 1+r.oks.get(f.now, memory)/2)
}

// targetAlone tells whether one target fails while others of its route work: then it is
// avoided for a while, and the route is not judged by it.
func (f *Forwarder) targetAlone(r *route, t *target, res Result) bool {
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

func (f *Forwarder) openRoute(r *route, why string) {
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

func (f *Forwarder) trialFailed(r *route) {
	r.gap = min(2*r.gap, longestTrial)
	r.cold = r.cold || r.proof >= f.proof(r)
	r.goods, r.tried, r.draw = 0, f.now, 0.5+f.rng.Float64()
}

// nextTrial is when an open route may get its next trial call. All who hold messages for it try it: so that
// together they don't push it over on its return, each tries as often as its own messages have come since
// the outage began, or its equal part of a limit would let it call, times the part of its capacity that a
// cold route may be sent in trials. So it goes from the end of a told wait on: all were told the same.
func (f *Forwarder) nextTrial(r *route) time.Duration {
	cold := max(trialShare*f.set.TipMultiple*f.set.StartCapacity, floorRatio)
	from := max(r.tried, r.told)
	took := from - r.failing
	own := float64(took) / (cold * max(1, float64(r.dest.n), f.fairPart(r)*took.Seconds()))
	gap := max(float64(r.gap), min(own, float64(longestTrial)*float64(f.set.Forwarders)/fewSenders))
	return from + time.Duration(r.draw*gap)
}

func (f *Forwarder) closeRoute(r *route) {
	r.open, r.why, r.fails, r.closed = false, "", 0, f.now
	r.doubt.value = 0
	r.warming, r.warm0, r.cold = r.cold, f.now, false
	r.tokens, r.filled, r.cutAt = 0, f.now, f.now
	f.unwatch(r)
}

// watchCalls looks for what no outcome tells: silence.
func (f *Forwarder) watchCalls() {
	for _, r := range f.toWatch() {
		if silent, next := f.silent(r); silent {
			f.openRoute(r, "silent")
			f.touch(r.dest)
		} else if next < never {
			r.watchAt = next
			f.watch.fix(r)
		}
	}
}

// watchNew does the same where calls were made in this Step, and asks for a Step when one is overdue.
func (f *Forwarder) watchNew() {
	f.watchCalls()
	if f.watch.len() > 0 {
		f.before(f.watch.min().watchAt)
	}
}

// silent tells whether calls are out for far longer than usual while none sent later came back,
// and when the next one will be out for so long.
func (f *Forwarder) silent(r *route) (silent bool, next time.Duration) {
	usual := cmp.Or(r.mean, guessTime)
	late, overdue := 0, 0
	next = never
	for _, c := range r.calls {
		if at := c.sent + fairOf(usual); f.now < at {
			next = min(next, at)
			break // those sent later are overdue later
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
func (f *Forwarder) leave(t *target) {
	saved := f.set.ConnectPrice * t.uses.get(f.now, max(f.set.ConnIdle, 1))
	if saved < f.room() && f.idle(t) > 0 && t.route.dest.n == 0 {
		if _, held, worth := f.kept(t.route.dest.routes); held > worth {
			f.closeIdle(t)
		}
	}
}

// stale tells whether connections idle for so long have been losing calls that newer ones don't:
// something on the way has forgotten them. They are closed before a send, at the price of a new one.
func (f *Forwarder) stale(step int) bool {
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
func (f *Forwarder) patience(m *message, usual time.Duration) time.Duration {
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

// freeSlots calls off the call that is most overdue when slots run out, so that calls that were
// swallowed don't keep out the others. A call with a message that may not be repeated is given
// longer, since that message is lost.
func (f *Forwarder) freeSlots() {
	if !f.set.MayCancel {
		return
	}
	if f.calls.n < f.set.Slots {
		f.freeDoubts(f.shy[untried].len())
		return
	}
	if f.freeDoubts(1) {
		return
	}
	var worst *call
	most := 1.0
	for c := f.calls.first; c != nil; c = c.next {
		if soonest := c.sent + minPatience; soonest > f.now && soonest >= f.next {
			break // no call from here on is overdue, or will be before the next Step
		}
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

// freeDoubts does the same for calls in doubt, while destinations wait for their room or for a slot: a
// call to a route that has not answered for longer than routes usually take makes place. Only
// messages that may be repeated are called off for it, and each time that a route is, it gets longer.
func (f *Forwarder) freeDoubts(need int) (freed bool) {
	for c := f.calls.first; c != nil && need > 0; c = c.next {
		if soonest := c.sent + minPatience; soonest > f.now && soonest >= f.next {
			break
		}
		if c.doubt == noDoubt || slices.ContainsFunc(c.parts, (*attempt).notPure) {
			continue
		}
		if c.called { // its place comes free
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

// ---- The retry budget.

// settle closes the budget's intervals that are over, each at its end: the budget halves when many
// fail, and grows when few do. With too few outcomes to judge by they go on counting in the next one:
// else the budget lurches where a route is called only a few times a second.
func (f *Forwarder) settle(r *route) {
	for f.now-r.interval >= adjustEvery {
		if !r.bound && r.seen < enoughSeen && r.free <= r.interval {
			// Nothing comes of the ends of intervals in which nothing goes on.
			f.closeInterval(r, r.interval+(f.now-r.interval)/adjustEvery*adjustEvery)
			return
		}
		f.closeInterval(r, r.interval+adjustEvery)
	}
}

func (f *Forwarder) closeInterval(r *route, end time.Duration) {
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
func (f *Forwarder) repace(r *route, at time.Duration) {
	f.fill(r, at)
	r.pace = f.paceAt(r, at)
	r.free = at
	if r.tokens < 1 && !math.IsInf(r.pace, 1) {
		r.free += time.Duration(min((1-r.tokens)/r.pace, 1e6) * float64(time.Second))
	}
	held := r.dest.n > 0 && !r.open && at >= r.told && at < r.free
	r.bound = held || r.bound && at != r.interval
}

// budgetRoom tells whether one more further try fits the budget: those of the last seconds, and
// those granted, stay under the ratio of the first tries. One is in hand where none was made.
func (f *Forwarder) budgetRoom(r *route) bool {
	room := r.dest.limits.ratio(r.ratio) * r.firsts.get(f.now, memory)
	return r.further.get(f.now, memory)+float64(r.reserved) <= room
}

// ---- Pace.

// paceAt is the rate in calls a second at which this sender may call a route.
func (f *Forwarder) paceAt(r *route, at time.Duration) float64 {
	p := r.dest.limits.rate(r.rate)
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
		p = min(p, warmShare*f.set.TipMultiple*f.capacity(at-r.warm0)*f.part(r, at))
	}
	return p
}

// capacity is the share that what came back cold some time ago has of it.
func (f *Forwarder) capacity(age time.Duration) float64 {
	return f.set.StartCapacity + (1-f.set.StartCapacity)*float64(age)/float64(f.set.Cold)
}

// warmth is the same for a target that was put back by hand.
func (f *Forwarder) warmth(t *target) float64 {
	if left := t.coldTil - f.now; left > 0 {
		return max(f.capacity(f.set.Cold-left), floorRatio)
	}
	return 1
}

// warming tells whether a route is on its return from an outage.
func (f *Forwarder) warming(r *route, at time.Duration) bool {
	return r.warming && at-r.warm0 < f.set.Cold
}

// part is this sender's part of what a route can take, as far as it knows: its equal part, or the
// part that its own messages make up, over the last minute.
func (f *Forwarder) part(r *route, at time.Duration) float64 {
	span := min(forget, max(at-f.begun, rateSpan))
	own := r.dest.taken.get(at, forget) / span.Seconds() / float64(len(r.dest.routes))
	return max(f.fairPart(r), own)
}

// heed takes what an answer tells of a limit, and follows how much all senders together ask for. All hear the
// same, so they come to the same; and a limit that falls is kept at once, as what is asked for stays.
func (f *Forwarder) heed(r *route, o Outcome) {
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
		r.room, rise = 0, crowdUp // the first as well: many have only one to learn from
	}
	r.asked = min(mostCrowd*limit, max(limit, r.asked*math.Exp(since*rise)))
}

// fairPart is an equal part of the limit of a route, where that is told; else 0.
func (f *Forwarder) fairPart(r *route) float64 {
	w := r.limit
	if w <= 0 && f.set.Weights == ExactWeights {
		w = f.weight(r)
	}
	return w / float64(f.set.Forwarders)
}

// refusedAtPace slows a route down after a refusal, once for each lot of refusals.
func (f *Forwarder) refusedAtPace(r *route) {
	r.fulls++
	if f.now < r.cutAt {
		return
	}
	r.cutAt = f.now + adjustEvery
	sent := r.sent.get(f.now, rateSpan) / rateSpan.Seconds()
	least := max(leastPart, share(r.limit > 0)) // paceAt sees to a told limit
	r.rate = max(minRate/float64(f.set.Forwarders), least*f.part(r, f.now), min(r.rate, sent)*cutTo)
}
