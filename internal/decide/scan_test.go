package decide_test

// The oracle of index_test.go. It makes the decisions of the policy files by plain scans over all of the state,
// as the module did before it had indexes. Code that has no scan is repeated here as it is in the module.
// docs/large-sizes.md says where both differ from the original scans, and why.

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

// The state of the oracle. This part makes no decision.

// message is an accepted message that is not yet completed.
type message struct {
	id         string
	class      *Class
	dest       *destination
	keyQueue   *keyQueue     // its key's queue, or nil
	createdAt  time.Duration // when it was first handed in
	deadline   time.Duration
	value      float64
	attempts   int  // as the host numbers them
	sends      int  // attempts that were really sent
	recovered  bool // accepted before a restart, and not sent since
	inFlight   int  // attempts without an outcome
	completed  bool
	mayHaveRun bool          // an earlier attempt may have run
	runZone    string        // of the first such attempt
	runSentAt  time.Duration // of the first such attempt
	notBefore  time.Duration // not sent before this
	retryGrant *route
	filter     *EndpointFilter
	seq        uint64
}

// keyQueue holds the messages of one key in the order accepted.
type keyQueue struct {
	key       string
	messages  []*message
	idleUntil time.Duration // no message may go before, after an unclear outcome
}

// call is one or more attempts that travel together and occupy one slot.
type call struct {
	route        *route
	endpoint     *endpoint
	sentAt       time.Duration
	pending      int // attempts without an outcome
	attempts     []*attempt
	isProbe      bool
	cancelled    bool // cancellation requested
	lossCounted  bool // already counted by countLoss
	shortTimeout bool // too short for a timeout to mean anything
	suspicion    suspicion
	seq          uint64
	idleStep     int // bucket of its connection's idle time; 0 for a new one
}

// attempt is one send of one message.
type attempt struct {
	number  int
	message *message
	call    *call
}

// destination is a destination and the messages queued for it.
type destination struct {
	id               int
	routes           []*route
	queued           []*message
	queuedSeq        uint64
	lastScheduled    time.Duration // when it was last sent to
	accepted         decayingCount // messages accepted for it
	connectedLimit   float64
	connectedLimitAt time.Duration
}

// endpoint is one listed endpoint.
type endpoint struct {
	id                  string
	kind                Kind
	zone                string
	state               TargetState
	weight              float64
	backup              bool
	route               *route
	inFlight            int
	idleSince           []time.Duration // since when each open connection is idle
	recentCalls         decayingCount
	lastScheduled       time.Duration
	consecutiveFailures int
	avoidUntil          time.Duration
	failureShare        decayingMean // share of calls with an unclear outcome
}

// route has its own rate limit, retry-after time, circuit, retry budget and slow start. It is a destination, or
// one endpoint of it.
type route struct {
	name       string
	dest       *destination
	endpoints  []*endpoint
	inFlight   []*call
	lastUsedAt time.Duration

	retryAfter time.Duration // set by the destination; no call before

	retryRatio                        float64 // retry budget: retries per first attempt
	firstAttempts, retries            decayingCount
	reservedRetries                   int           // retries granted but not yet sent
	allowanceSpentUntil               time.Duration // no retries until then, unless a later report leaves more
	intervalStart                     time.Duration // of the current adjustment interval
	outcomes, failures                int           // in the interval
	rejections, successes             int           // in the interval
	totalFirstAttempts, totalAttempts int           // the module reports them

	meanLatency         time.Duration // 0 if none was measured
	unclearShare        decayingMean  // share of outcomes after which a message may have run
	consecutiveFailures float64       // in a row; a rejection counts in part
	lastSuccessAt       time.Duration // when the latest success arrived
	lastSuccessSentAt   time.Duration // when the latest successful call was sent
	recentSuccesses     decayingCount
	outageEvidence      float64 // calls that failed or are overdue, sent after lastSuccessSentAt

	circuitOpen      bool
	openReason       string
	closedAt         time.Duration // when the circuit was last closed
	failingSince     time.Duration // when the first of the failures in a row was sent
	lastProbeAt      time.Duration // when the latest probe ended, or the circuit opened
	probeJitter      float64       // random: intervals until the next probe
	probeInterval    time.Duration // between probes
	successfulProbes int           // in a row
	needsSlowStart   bool          // after an outage
	slowStart        bool
	slowStartAt      time.Duration // when it began

	suspicion      suspicion
	cancelledCalls int
	currentRate    float64
	nextTokenAt    time.Duration
	adaptiveRate   float64 // calls a second, lowered by rejections and raised while they are absent
	tokens         float64
	tokensAt       time.Duration
	paceLimited    bool // the pace delayed a message in this interval
	nextCutAt      time.Duration
	recentCalls    decayingCount
	serverLimit    float64       // reported, in calls a second; 0 for none
	allowanceAt    time.Duration // when the limit was reported
	allowanceLeft  float64       // share of the limit that was left then
	totalDemand    float64       // estimated demand of all senders in calls a second
}

// decayingCount is a count that decays exponentially.
type decayingCount struct {
	value float64
	at    time.Duration
}

// get returns what is left of the count.
func (d decayingCount) get(now, tau time.Duration) float64 {
	if now > d.at {
		return d.value * math.Exp(-float64(now-d.at)/float64(tau))
	}
	return d.value
}

func (d *decayingCount) add(now, tau time.Duration) {
	d.value, d.at = d.get(now, tau)+1, max(d.at, now)
}

// until is when the count will have decayed to a lower value.
func (d decayingCount) until(tau time.Duration, lower float64) time.Duration {
	if d.value > lower {
		return d.at + time.Duration(math.Log(d.value/lower)*float64(tau)) + time.Microsecond
	}
	return 0
}

// decayingMean is a mean that follows new values and decays to zero.
type decayingMean struct{ decayingCount }

// oneIf is 1 if a condition holds, else 0.
func oneIf(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

func (d *decayingMean) record(now, tau time.Duration, share, v float64) {
	d.value, d.at = d.get(now, tau), max(d.at, now)
	d.value += share * (v - d.value)
}

// scanner is the oracle: given the same settings and events, it must return the same actions as a Forwarder.
type scanner struct {
	settings      Settings
	classes       map[string]*Class
	kinds         map[string]Kind
	tenants       map[string]*tenant
	idleLoss      [idleSteps]decayingMean // share of calls lost, by idle time of the connection
	longCallLoss  decayingMean
	latencyFactor map[*Class]float64 // latency of a class, relative to its route's
	rng           *rand.Rand
	now           time.Duration

	messages           map[string]*message
	pending            []*message // all not yet answered, in the order accepted
	attempts           map[string][]*attempt
	keyQueues          map[string]*keyQueue
	destinations       map[int]*destination
	destinationOrder   []*destination // in the order of creation
	endpoints          map[string]*endpoint
	inFlight           []*call        // in the order sent
	queuedDestinations []*destination // those with queued messages
	suspectCalls       [suspicionKinds]int
	seq                uint64
	meanLatency        time.Duration
	blocked            [suspicionKinds]int
	startedAt          time.Duration // the first Step
	stopsAt            time.Duration // when the host stops
	nextDue            time.Duration // when something falls due without an event

	actions     []Action
	wakeAt      time.Duration
	subscribed  bool
	subscribeAt time.Duration
}

type tenant struct {
	quota, tokens float64
	filled        time.Duration
}

// newScanner makes an oracle. It does not check the settings, since the module does.
func newScanner(s Settings) (*scanner, error) {
	s.Forwarders = max(s.Forwarders, 1)
	f := &scanner{
		settings: s, classes: map[string]*Class{}, kinds: map[string]Kind{}, tenants: map[string]*tenant{},
		latencyFactor: map[*Class]float64{},
		rng:           rand.New(rand.NewPCG(s.Seed, s.Seed^0x9e3779b97f4a7c15)),
		messages:      map[string]*message{}, attempts: map[string][]*attempt{}, keyQueues: map[string]*keyQueue{},
		destinations: map[int]*destination{}, endpoints: map[string]*endpoint{}, startedAt: never, stopsAt: never,
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

// endpointFor finds a listed endpoint, or makes it and its route.
func (f *scanner) endpointFor(listing Target) *endpoint {
	if ep := f.endpoints[listing.ID]; ep != nil {
		return ep
	}
	kind := f.kinds[listing.Kind]
	kind.MaxBatch = max(kind.MaxBatch, 1)
	ep := &endpoint{id: listing.ID, kind: kind, zone: listing.Zone, state: Gone}
	f.endpoints[listing.ID] = ep
	d := f.destination(listing.Destination)
	f.closeAllIntervals(d)
	if kind.SeparateRoutes || len(d.routes) == 0 {
		name := strconv.Itoa(d.id)
		if kind.SeparateRoutes {
			name = listing.ID
		}
		d.routes = append(d.routes, f.newRoute(name, d))
	}
	ep.route = d.routes[len(d.routes)-1]
	ep.route.endpoints = append(ep.route.endpoints, ep)
	return ep
}

// removeIfGone removes an endpoint that is gone once no call to it is in flight. The state of a route that it
// shared with others stays; a separate route is removed with it.
func (f *scanner) removeIfGone(ep *endpoint) {
	if ep.state != Gone || ep.inFlight > 0 || f.endpoints[ep.id] != ep {
		return
	}
	delete(f.endpoints, ep.id)
	r := ep.route
	f.closeAllIntervals(r.dest)
	r.endpoints = withoutItem(r.endpoints, ep)
	if ep.kind.SeparateRoutes && len(r.endpoints) == 0 {
		r.dest.routes = withoutItem(r.dest.routes, r)
	}
}

// expireDestinations removes the destinations that have had no endpoint, message or call for forgetAfter.
func (f *scanner) expireDestinations() {
	f.destinationOrder = slices.DeleteFunc(f.destinationOrder, func(d *destination) bool {
		for _, r := range d.routes {
			if len(r.endpoints)+len(r.inFlight) > 0 || f.now < r.retryAfter || f.now-r.lastUsedAt <= forgetAfter {
				return false
			}
		}
		if len(d.queued) > 0 || len(d.routes) == 0 && f.now-d.lastScheduled <= forgetAfter {
			return false
		}
		delete(f.destinations, d.id)
		return true
	})
}

func (f *scanner) newRoute(name string, d *destination) *route {
	return &route{name: name, dest: d, lastSuccessSentAt: -1, retryRatio: initialRetryRatio, intervalStart: f.now, adaptiveRate: math.Inf(1), allowanceLeft: 1, lastUsedAt: f.now,
		currentRate: math.Inf(1), tokens: 1, tokensAt: f.now, nextTokenAt: f.now, suspicion: untested}
}

func (f *scanner) destination(id int) *destination {
	d := f.destinations[id]
	if d == nil {
		d = &destination{id: id, connectedLimit: math.Inf(1)}
		f.destinations[id] = d
		f.destinationOrder = append(f.destinationOrder, d)
	}
	return d
}

// takeAttempt removes the attempt of an outcome from those in flight and returns it, or nil.
func (f *scanner) takeAttempt(o Outcome) *attempt {
	list := f.attempts[o.Message]
	for i, a := range list {
		if a.number == o.Attempt {
			f.attempts[o.Message] = append(list[:i:i], list[i+1:]...)
			return a
		}
	}
	return nil
}

// withoutItem removes one item and keeps the order.
func withoutItem[T comparable](list []T, item T) []T {
	for i, x := range list {
		if x == item {
			return slices.Delete(list, i, i+1)
		}
	}
	return list
}

// enqueueByKey appends a message to the queue of its key.
func (f *scanner) enqueueByKey(m *message, key string) {
	m.keyQueue = f.keyQueues[key]
	if m.keyQueue == nil {
		m.keyQueue = &keyQueue{key: key}
		f.keyQueues[key] = m.keyQueue
	}
	m.keyQueue.messages = append(m.keyQueue.messages, m)
}

// enqueue adds a message to those queued for its destination.
func (f *scanner) enqueue(m *message) {
	f.closeAllIntervals(m.dest)
	if len(m.dest.queued) == 0 {
		f.queuedDestinations = append(f.queuedDestinations, m.dest)
		f.seq++
		m.dest.queuedSeq = f.seq
	}
	m.dest.queued = append(m.dest.queued, m)
	f.invalidate(m.dest)
}

// dequeue removes a message from those queued for its destination, if it is one.
func (f *scanner) dequeue(m *message) {
	if !slices.Contains(m.dest.queued, m) {
		return
	}
	f.closeAllIntervals(m.dest)
	m.dest.queued = withoutItem(m.dest.queued, m)
	if len(m.dest.queued) == 0 {
		f.queuedDestinations = withoutItem(f.queuedDestinations, m.dest)
	}
	f.invalidate(m.dest)
}

// callsInFlight counts the calls in flight to a destination.
func callsInFlight(d *destination) (n int) {
	for _, r := range d.routes {
		n += len(r.inFlight)
	}
	return n
}

// probeInFlight reports whether a probe to a route is in flight.
func probeInFlight(r *route) bool {
	for _, c := range r.inFlight {
		if c.isProbe {
			return true
		}
	}
	return false
}

// listedWeight is the listed rate limit of a route.
func (f *scanner) listedWeight(r *route) (weight float64) {
	for _, ep := range r.endpoints {
		if ep.state == Active {
			weight = max(weight, ep.weight)
		}
	}
	return weight
}

func allCircuitsOpen(routes []*route) bool {
	for _, r := range routes {
		if !r.circuitOpen {
			return false
		}
	}
	return true
}

// completeMessage removes a message that is completed. It keeps its place in the queue of its key until no
// attempt at it is in flight.
func (f *scanner) completeMessage(m *message) {
	if !m.completed {
		m.completed = true
		f.pending = withoutItem(f.pending, m)
		if m.retryGrant != nil {
			m.retryGrant.reservedRetries--
			m.retryGrant = nil
		}
		f.dequeue(m)
	}
	if m.inFlight > 0 {
		return
	}
	delete(f.messages, m.id)
	delete(f.attempts, m.id)
	if m.keyQueue != nil {
		m.keyQueue.messages = withoutItem(m.keyQueue.messages, m)
		if len(m.keyQueue.messages) == 0 && f.now >= m.keyQueue.idleUntil {
			delete(f.keyQueues, m.keyQueue.key)
		}
	}
}

// startCall begins a call to an endpoint.
func (f *scanner) startCall(ep *endpoint) *call {
	r := ep.route
	f.closeAllIntervals(r.dest)
	f.seq++
	c := &call{route: r, endpoint: ep, sentAt: f.now, isProbe: r.circuitOpen, seq: f.seq}
	if n := f.idleConnections(ep); n > 0 { // the host uses the connection that was used last
		c.idleStep = idleStep(f.now - ep.idleSince[n-1])
		ep.idleSince = ep.idleSince[:n-1]
	}
	r.inFlight = append(r.inFlight, c)
	f.refillTokens(r, f.now)
	if !math.IsInf(r.currentRate, 1) {
		r.tokens = max(0, r.tokens-1)
	}
	if r.suspicion != notSuspect {
		f.countSuspect(c)
	}
	r.recentCalls.add(f.now, rateWindow)
	r.lastUsedAt = f.now
	f.inFlight = append(f.inFlight, c)
	ep.inFlight++
	ep.recentCalls.add(f.now, max(f.settings.ConnIdle, 1))
	ep.lastScheduled = f.now
	return c
}

func (f *scanner) jitter(most time.Duration) time.Duration {
	return time.Duration(f.rng.Float64() * float64(most))
}

// classLatencyFactor is the latency of a class, relative to the mean latency of the same route.
func (f *scanner) classLatencyFactor(class *Class) float64 {
	if factor, ok := f.latencyFactor[class]; ok {
		return factor
	}
	return 1
}

// idleStep buckets idle times, each bucket twice as wide as the one before.
func idleStep(idle time.Duration) (step int) {
	for limit := firstIdleStep; step < idleSteps-1 && idle >= limit; limit *= 2 {
		step++
	}
	return step
}

// countLoss counts a call that was reset or is overdue as lost, by the idle time of its connection.
func (f *scanner) countLoss(c *call) {
	if !c.lossCounted {
		c.lossCounted = true
		f.idleLoss[c.idleStep].record(f.now, forgetAfter, idleLossWeight, 1)
	}
}

// idleConnections is the number of connections to an endpoint believed to be open and idle.
func (f *scanner) idleConnections(ep *endpoint) int {
	n := 0
	for n < len(ep.idleSince) && f.now-ep.idleSince[n] >= f.settings.ConnIdle {
		n++
	}
	ep.idleSince = slices.Delete(ep.idleSince, 0, n)
	return len(ep.idleSince)
}

func (f *scanner) withdrawMessage(w Withdrawn) {
	if m := f.messages[w.Message]; m != nil {
		f.completeMessage(m)
	}
}

func (f *scanner) closeIdleConnections(ep *endpoint) {
	f.emit(CloseIdle{Target: ep.id})
	ep.idleSince = nil
}

const (
	// Constants of the design.
	initialRetryRatio    = 0.2  // at the start, and the cap
	minRetryRatio        = 0.01 // the floor
	adjustInterval       = time.Second
	highFailureShare     = 0.3 // above it the budget halves
	lowFailureShare      = 0.05
	retryRatioGrowth     = 0.1
	firstBackoff         = 100 * time.Millisecond
	maxRetries           = 3   // of one message
	allowanceNearlySpent = 0.1 // with less left there are no retries

	// Constants of the extensions to the design.
	rejectedBackoff = 2 * adjustInterval // after a rejection without a retry-after time

	minOutcomes          = 10                     // that are needed to judge a failure rate
	recentWindow         = 10 * time.Second       // span of the counts of attempts and outcomes
	forgetAfter          = 60 * time.Second       // an unused route is reset after it; losses decay over it
	answerMargin         = 15 * time.Millisecond  // queued messages are answered this long before their deadline
	keyWindowMargin      = 300 * time.Millisecond // a keyed repeat keeps this far from the end of its window
	windowEndMargin      = 100 * time.Millisecond // and its first byte keeps this far from it
	assumedLatency       = 400 * time.Millisecond // before any was measured
	minOverdue           = 600 * time.Millisecond // no call is overdue before it
	lateLatencyFactor    = 4                      // latencies: overdue if others are too
	lostLatencyFactor    = 7                      // latencies: overdue on its own
	minTimeout           = 1500 * time.Millisecond
	timeoutLatencyFactor = 10 // latencies: timeout of a repeatable call

	idleSteps          = 9 // buckets of connection idle times
	firstIdleStep      = 60 * time.Millisecond
	lossWeight         = 1.0 / 8  // weight of one call in loss and failure shares
	longCallFactor     = 4.0      // times as long for a call to a working route
	lostLongCallFactor = 1.5      // the same where all long calls were lost
	idleLossWeight     = 1.0 / 16 // weight of one call in idleLoss
	staleLossShare     = 0.17     // of lost calls: above it, connections that were idle for so long are not used
	idleConnectionCost = 0.1      // price of an idle connection at a small connection table
	smallTableSize     = 20.0     // connections: fewer senders can't fill a table
	rareGapDeviations  = 1.65     // standard deviations: one call in twenty comes later

	rejectionsPerFailure = 2.0 // rejections that weigh as much as one failure
	probeShare           = 0.5 // of the capacity of a cold route: probes of all senders together
	halfFailingShare     = 0.5 // of unclear outcomes: above it the circuit opens and unsafe messages are not sent
	minProbeInterval     = 300 * time.Millisecond
	maxProbeInterval     = 1500 * time.Millisecond
	unspacedSenders      = 4.0  // senders that may each probe at maxProbeInterval; with more senders each probes less often
	maxOutageEvidence    = 3    // failures in a row that always open a circuit
	probesToClose        = 2    // successful probes that close a circuit
	secondProbe          = 0.1  // of the interval between probes: from a successful one to the next
	slowStartShare       = 0.75 // of what the fail-back rule allows
	recencyCost          = 0.25 // calls: differences in cost that chance may outweigh
	failureCost          = 4    // calls in flight that a failure share of 1 weighs

	minTotalRate         = 1.0  // calls a second of all senders, whatever is rejected
	minOwnShare          = 0.5  // of the own share: rejections do not cut the rate below it
	overloadShare        = 0.85 // of the equal share: if all senders keep to it, the limit is not exhausted
	balancedAllowance    = 0.5  // share left where all senders together keep to the limit
	scarceAllowance      = 0.2  // with less, a sender keeps to its own share
	ampleAllowance       = 0.7  // with more, it may use the whole limit
	demandRise           = 1.0  // a second: growth of the estimated demand after rejections
	demandDrift          = 0.3  // a second: its decline, times the share of the limit that is left above balancedAllowance
	maxDemandFactor      = 16   // times the limit: bound of the estimated demand
	limitNoise           = 0.3  // relative differences of reported limits that are smoothed
	rateCut              = 0.7  // of the rate sent, after a rejection
	rateGrowth           = 1.25
	rateWindow           = 3 * time.Second
	routeQuota           = 0.5      // of the slots: calls to one route
	suspectQuota         = 0.75     // calls to all suspect routes
	unresponsiveQuota    = 1.0 / 8  // calls to unresponsive routes
	scarceQuota          = 1.0 / 32 // the same while over half of the slots are in use
	occupiedQuota        = 0.25     // below it a suspect route may have several calls
	minUnresponsiveCalls = 8        // or this many calls, if that is more
	maxCancelDoublings   = 3        // doublings of the time before a suspect call is cancelled
	valueLossSpan        = time.Second
	stopLatencyFactor    = 3   // latencies that must be left before the host stops
	shedThreshold        = 0.9 // of MaxHeld: from here on messages are shed
	earlyShedCost        = 0.3 // of its value: the cost of shedding an accepted message
	earlyShedAge         = 0.7 // before this share of its time has passed
)

// Step takes the time and the events since the last Step, and returns the actions to carry out, in order.
func (f *scanner) Step(now time.Duration, events []Event) []Action {
	f.now = max(f.now, now)
	if f.startedAt == never {
		f.startedAt = f.now
	}
	f.actions, f.nextDue = nil, never
	for _, e := range events {
		switch e := e.(type) {
		case TargetList:
			f.applySnapshot(e)
		case Message:
			f.acceptMessage(e)
		case Outcome:
			f.handleOutcome(e)
		case StoreFull:
			if m := f.leastValuable(); m != nil && allCircuitsOpen(m.dest.routes) {
				f.answerMessage(m)
			}
		case Withdrawn:
			f.withdrawMessage(e)
		case Stopping:
			f.stopsAt = min(f.stopsAt, f.now+e.TimeLeft)
		case Woken:
			f.wakeAt = f.now // the host may have rounded the time: ask again
		case PeerRetryAfter:
			if ep := f.endpoints[e.Target]; ep != nil {
				f.closeAllIntervals(ep.route.dest)
				ep.route.retryAfter = max(ep.route.retryAfter, f.now+e.RetryAfter)
				f.invalidate(ep.route.dest)
			}
		}
	}
	f.subscribeIfDue()
	f.answerDue()
	f.checkOverdue()
	f.sendQueued()
	f.checkNewCalls()
	f.freeSlots()
	f.scheduleWake()
	return f.actions
}

func (f *scanner) emit(a Action) { f.actions = append(f.actions, a) }

// waitUntil reports whether a time is still to come; if so, the host is asked for a Step at that time.
func (f *scanner) waitUntil(t time.Duration) bool {
	if f.now < t {
		f.nextDue = min(f.nextDue, t)
		return true
	}
	return false
}

// ---- Endpoint snapshots and deltas.

func (f *scanner) applySnapshot(snapshot TargetList) {
	if snapshot.Scope == Unavailable {
		f.subscribed = false
		f.subscribeAt = f.now + f.jitter(f.settings.ResubscribeInterval)
		return
	}
	listed := map[string]bool{}
	for _, listing := range snapshot.Targets {
		listed[listing.ID] = true
		f.updateEndpoint(f.endpointFor(listing), listing)
	}
	for id, ep := range f.endpoints { // an endpoint missing from a snapshot is gone
		if snapshot.Scope != Delta && !listed[id] {
			f.updateEndpoint(ep, Target{Zone: ep.zone, State: Gone, Weight: ep.weight})
		}
	}
	f.expireDestinations()
}

// updateEndpoint applies the listing of one endpoint.
func (f *scanner) updateEndpoint(ep *endpoint, listing Target) {
	if ep.state == listing.State && ep.zone == listing.Zone && ep.weight == listing.Weight && ep.backup == listing.Backup && listing.State != Gone {
		return
	}
	d := ep.route.dest
	f.closeAllIntervals(d)
	if ep.state != Active && listing.State == Active {
		f.resetTurn(ep)
	}
	ep.state, ep.zone, ep.weight, ep.backup = listing.State, listing.Zone, listing.Weight, listing.Backup
	f.removeIfGone(ep)
	f.invalidate(d)
}

func (f *scanner) subscribeIfDue() {
	if f.settings.MustSubscribe && !f.subscribed && !f.waitUntil(f.subscribeAt) {
		f.subscribed = true
		f.emit(Subscribe{})
	}
}

// ---- New and recovered messages.

func (f *scanner) acceptMessage(e Message) {
	if f.messages[e.ID] != nil {
		return
	}
	class := f.classes[e.Class]
	switch {
	case e.Recovered && class == nil:
		f.emit(Fail{Message: e.ID})
		return
	case e.Recovered: // it was accepted before, so it must get a final answer
	case class == nil || e.TimeLeft <= 0:
		f.emit(Refuse{Message: e.ID})
		return
	case f.settings.MaxOpen > 0 && len(f.pending) >= f.settings.MaxOpen:
		f.emit(Refuse{Message: e.ID, RetryAfter: f.retryAdvice(f.destination(e.Destination))})
		return
	}
	f.seq++
	m := &message{id: e.ID, seq: f.seq, class: class, dest: f.destination(e.Destination), value: class.Value,
		createdAt: f.now + e.TimeLeft - class.Deadline, deadline: f.now + e.TimeLeft, filter: e.Filter}
	if f.exceedsQuota(e.Tenant) {
		m.value = class.Value * f.settings.OverQuotaValue
	}
	if class.Ordered && e.Key != "" {
		f.enqueueByKey(m, e.Key)
	}
	f.messages[m.id] = m
	f.pending = append(f.pending, m)
	f.closeAllIntervals(m.dest)
	for _, r := range m.dest.routes {
		f.resetIfUnused(r)
	}
	if e.Recovered {
		f.recoverMessage(m, e)
		return
	}
	m.dest.accepted.add(f.now, forgetAfter)
	f.enqueue(m)
	f.shedIfFull(m)
}

// recoverMessage resumes a message from before a restart. An attempt that the restart interrupted is no
// failure of its destination, so the next one is no retry. Knowledge of outages is lost, and the queue may
// have built up during one: routes begin with a slow start.
func (f *scanner) recoverMessage(m *message, e Message) {
	m.attempts, m.sends, m.mayHaveRun, m.recovered = e.Attempts, e.Attempts, e.MayHaveRun, true
	if e.HasOpenAttempt {
		m.sends--
	}
	m.sends = min(m.sends, maxRetries)
	if m.mayHaveRun && m.class.Effect != Idempotent || f.attemptsExhausted(m) || f.now >= m.answerDeadline() {
		f.answerMessage(m) // a restart loses the time at which a keyed message ran
		return
	}
	for _, r := range m.dest.routes {
		if r.lastSuccessSentAt < 0 && !r.slowStart {
			r.slowStart, r.slowStartAt = true, f.now
		}
		if f.equalShare(r) <= 0 { // without a known limit, the messages queued set the pace
			m.dest.accepted.add(f.now, forgetAfter)
			f.startedAt = min(f.startedAt, m.createdAt) // the rate of messages counts from then
		}
	}
	f.enqueue(m)
}

// exceedsQuota reports whether a tenant has used up this forwarder's part of its quota.
func (f *scanner) exceedsQuota(name string) bool {
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

// shedIfFull rejects the least valuable message when the queues are almost full, so that messages for
// failing destinations do not displace the others. If others are queued before it, a new message is rejected
// before an old one of slightly less value, since its client has no acceptance yet.
func (f *scanner) shedIfFull(incoming *message) {
	if f.settings.MaxOpen == 0 || float64(len(f.pending)) < shedThreshold*float64(f.settings.MaxOpen) {
		return
	}
	if m := f.leastValuable(); m != nil {
		earlyCost := 0.0
		if left := float64(m.deadline-f.now) / float64(m.class.Deadline); left > 1-earlyShedAge {
			earlyCost = earlyShedCost * m.value
		}
		if len(incoming.dest.queued) > 1 && f.valueWhenSent(incoming) <= f.valueWhenSent(m)+earlyCost {
			m = incoming
		}
		f.answerMessage(m)
	}
}

// valueWhenSent is the value that a message will have once all queued for its destination are sent.
func (f *scanner) valueWhenSent(m *message) float64 {
	return m.value * f.valueShare(m.class, f.now+f.queueDrainTime(m.dest)-m.createdAt)
}

// leastValuable is the rejectable message with the lowest value when sent.
func (f *scanner) leastValuable() (least *message) {
	var lowest float64
	if f.settings.MaxOpen == 0 {
		return nil
	}
	for _, m := range f.pending {
		if m.inFlight > 0 || m.recovered || !f.isRefusable(m) {
			continue
		}
		delay := f.queueDrainTime(m.dest)
		v := f.valueWhenSent(m)
		shedCreatedAt := m.createdAt - delay
		if least != nil {
			leastCreatedAt := least.createdAt - f.queueDrainTime(least.dest)
			if v > lowest || v == lowest && (shedCreatedAt > leastCreatedAt || shedCreatedAt == leastCreatedAt && m.seq > least.seq) {
				continue
			}
		}
		least, lowest = m, v
	}
	return least
}

// queueDrainTime is how long it takes to send all messages queued for a destination. With all circuits open
// only probes are sent, so messages for a failing destination have the lowest value when sent and are shed first.
func (f *scanner) queueDrainTime(d *destination) time.Duration {
	each := f.expectedLatency(d.routes)
	if len(d.routes) > 0 && allCircuitsOpen(d.routes) {
		for _, r := range d.routes {
			each = max(each, r.probeInterval)
		}
	}
	return time.Duration(len(d.queued)) * each
}

// valueShare is the share of its value that a message of a class has left at an age.
func (f *scanner) valueShare(class *Class, age time.Duration) float64 {
	if age <= class.OnTime || class.OnTime <= 0 {
		return 1
	}
	if age >= class.Deadline {
		return 0
	}
	if f.settings.Decay == Exponential {
		return max(class.LateShare, math.Pow(0.5, float64(age-class.OnTime)/float64(class.OnTime)))
	}
	return 1 - (1-class.LateShare)*float64(age-class.OnTime)/float64(class.Deadline-class.OnTime)
}

// ---- Sending. Free slots are given to the destinations with queued messages, in fair order.

func (f *scanner) sendQueued() {
	candidates := slices.Clone(f.queuedDestinations)
	next := f.nextDue
	f.blocked = [suspicionKinds]int{}
	for len(candidates) > 0 && len(f.inFlight) < f.settings.Slots {
		d := slices.MinFunc(candidates, func(a, b *destination) int { // fewest calls in flight first
			return cmp.Or(cmp.Compare(callsInFlight(a), callsInFlight(b)), cmp.Compare(a.lastScheduled, b.lastScheduled), cmp.Compare(a.queuedSeq, b.queuedSeq))
		})
		sent, eligibleAt, bound := f.sendFrom(d)
		if sent {
			d.lastScheduled = f.now
			f.invalidate(d)
			if len(d.queued) == 0 {
				candidates = withoutItem(candidates, d)
			}
			continue
		}
		if eligibleAt < never {
			f.waitUntil(eligibleAt)
		}
		f.blocked[bound]++
		candidates = withoutItem(candidates, d)
	}
	if len(f.inFlight) >= f.settings.Slots {
		f.nextDue = next
	}
}

// sendFrom makes one call to a destination, if a message for it is eligible. If none is, it returns the time at
// which one becomes eligible without an event, and which quota of suspect calls blocks the destination.
func (f *scanner) sendFrom(d *destination) (sent bool, eligibleAt time.Duration, bound suspicion) {
	usable, blocked := []*route(nil), []*route(nil)
	eligibleAt = never
	halfOpen, allSuspect := true, true
	for _, r := range d.routes {
		switch earliest := f.routeEligibleAt(r); {
		case earliest > f.now:
			eligibleAt = min(eligibleAt, earliest)
		case !f.suspectSlotFree(r.suspicionBound()):
			blocked = append(blocked, r)
		default:
			usable = append(usable, r)
			halfOpen, allSuspect = halfOpen && r.circuitOpen, allSuspect && r.suspicion != notSuspect
		}
	}
	mode := byPriority
	switch {
	case halfOpen:
		mode = forProbe
	case allSuspect:
		mode = forUntested
	}
	m, earliest := f.chooseMessage(d, usable, mode, nil)
	if m == nil {
		for i, r := range blocked { // a route counts as blocked only if a message is eligible for it
			m, other := f.chooseMessage(d, blocked[i:i+1], mode, nil)
			if eligibleAt = min(eligibleAt, other); m != nil && (bound == notSuspect || r.suspicionBound() < bound) {
				bound = r.suspicionBound()
			}
		}
		return false, min(eligibleAt, earliest), bound
	}
	ep := f.chooseEndpoint(m, usable)
	if n := f.idleConnections(ep); n > 0 && f.idleTooLong(idleStep(f.now-ep.idleSince[n-1])) {
		f.closeIdleConnections(ep)
	}
	c := f.startCall(ep)
	f.sendMessage(m, c)
	for n := 1; n < ep.kind.MaxBatch && !halfOpen; n++ {
		if m, _ = f.chooseMessage(d, usable, mode, ep); m == nil {
			break
		}
		f.sendMessage(m, c)
	}
	return true, 0, notSuspect
}

type selectionMode int

const (
	byPriority selectionMode = iota
	forProbe
	forUntested
)

// chooseMessage picks the next message for an endpoint or any, or returns when one becomes eligible.
func (f *scanner) chooseMessage(d *destination, usable []*route, mode selectionMode, only *endpoint) (best *message, eligibleAt time.Duration) {
	highest, eligibleAt := 0.0, never
	latency := f.expectedLatency(d.routes)
	for _, m := range d.queued {
		earliest := never
		for _, r := range usable {
			for _, ep := range r.endpoints {
				if only == nil || ep == only {
					earliest = min(earliest, f.sendEligibleAt(m, ep))
				}
			}
		}
		if m.keyQueue == nil || m.keyQueue.messages[0] == m { // its time counts even if no endpoint of these routes is eligible
			if at := f.earliestFor(m); at > f.now && len(usable) > 0 {
				earliest = at
			}
		}
		if earliest > f.now {
			eligibleAt = min(eligibleAt, earliest)
			continue
		}
		s := f.score(m, mode, latency)
		if best == nil || s > highest || s == highest && (m.createdAt < best.createdAt || m.createdAt == best.createdAt && m.seq < best.seq) {
			best, highest = m, s
		}
	}
	return best, eligibleAt
}

// earliestFor is when a message may be sent at the earliest.
func (f *scanner) earliestFor(m *message) time.Duration {
	if m.keyQueue != nil && m.sends == 0 {
		return max(m.notBefore, m.keyQueue.idleUntil)
	}
	return m.notBefore
}

// score ranks the messages of a destination, given the expected latency.
func (f *scanner) score(m *message, mode selectionMode, latency time.Duration) float64 {
	switch mode {
	case forProbe:
		s := -m.value*f.valueShare(m.class, f.now-m.createdAt) - 100*float64(m.class.Effect)
		if m.deadline-f.now < overdueAfter(latency) { // its timeout would be no evidence against the route
			s -= 1e6
		}
		return s
	case forUntested:
		return f.priority(m, latency) - 1e12*float64(m.class.Effect)
	}
	return f.priority(m, latency)
}

// priority ranks messages by the value that they lose in a short delay. After those come messages that lose
// nothing yet, by value and age, and last those that have no more value to lose.
func (f *scanner) priority(m *message, latency time.Duration) float64 {
	age := f.now - m.createdAt
	if loss := m.value * f.valueLoss(m.class, age+latency); loss > 0 {
		return 1e6 * loss
	}
	if age < m.class.OnTime {
		return 1e3*m.value + age.Seconds()
	}
	return m.value + age.Seconds()/1e3
}

// valueLoss is the share of its value that a message loses in valueLossSpan after an age.
func (f *scanner) valueLoss(class *Class, age time.Duration) float64 {
	if f.settings.Decay == Linear && class.OnTime > 0 && age >= class.OnTime && age+valueLossSpan < class.Deadline {
		// Exactly the same for all ages in this range, so that rounding errors do not rank messages.
		return (1 - class.LateShare) * float64(valueLossSpan) / float64(class.Deadline-class.OnTime)
	}
	return f.valueShare(class, age) - f.valueShare(class, age+valueLossSpan)
}

// routeEligibleAt is when messages may go to a route, as far as this is the same for all of them.
func (f *scanner) routeEligibleAt(r *route) (earliest time.Duration) {
	f.closeIntervals(r)
	switch {
	case f.now < r.retryAfter:
		return r.retryAfter
	case r.circuitOpen && probeInFlight(r):
		return never
	case r.circuitOpen:
		return f.nextProbeAt(r)
	case len(r.inFlight) >= max(2, int(routeQuota*float64(f.settings.Slots))):
		return never
	case f.now < r.nextTokenAt:
		return min(r.nextTokenAt, r.intervalStart+adjustInterval) // the pace may rise then
	}
	return f.now
}

// suspicionBound is which quota of suspect calls applies to one more call to a route.
func (r *route) suspicionBound() suspicion {
	if r.suspicion != notSuspect && !r.circuitOpen && len(r.inFlight) > 0 {
		return occupied
	}
	return r.suspicion
}

// suspectSlotFree reports whether a quota has room for one more suspect call, so that unresponsive routes leave
// slots to the others. Beyond a smaller quota, each suspect route gets one call before any gets a second, and
// routes known to be unresponsive leave most of the quota to untested ones.
func (f *scanner) suspectSlotFree(kind suspicion) bool {
	quota, slots := suspectQuota, float64(f.settings.Slots)
	switch kind {
	case notSuspect:
		return true
	case occupied:
		quota = occupiedQuota
	}
	limit := unresponsiveQuota
	if 2*len(f.inFlight) > f.settings.Slots {
		limit = scarceQuota
	}
	if kind != untested && f.suspectCalls[unresponsive] >= max(minUnresponsiveCalls, int(limit*slots)) {
		return false
	}
	return f.suspectCalls[untested]+f.suspectCalls[unresponsive] < int(math.Ceil(quota*slots))
}

// sendEligibleAt is when a message may be sent to an endpoint, as far as it depends on the two; every send is
// checked by it. Times are checked before conditions that may end at any moment: such a condition must not hide
// the time from which on the message is eligible.
func (f *scanner) sendEligibleAt(m *message, ep *endpoint) (earliest time.Duration) {
	r, class := ep.route, m.class
	switch {
	case m.completed || m.inFlight > 0 || ep.state != Active || r.dest != m.dest, f.attemptsExhausted(m), f.now >= m.answerDeadline(),
		m.mayHaveRun && !isRepeatable(m, ep), m.filter != nil && len(m.filter.Only) > 0 && !slices.Contains(m.filter.Only, ep.id), m.keyQueue != nil && m.keyQueue.messages[0] != m:
		return never
	}
	earliest = f.earliestFor(m)
	if m.sends > 0 && !r.circuitOpen {
		earliest = max(earliest, r.allowanceSpentUntil)
	}
	if class.Effect == AtMostOnce {
		// It would fail for good after an unclear outcome: it waits, and leaves probes to repeatable messages.
		earliest = max(earliest, r.unclearShare.until(recentWindow, halfFailingShare))
		if r.circuitOpen {
			earliest = max(earliest, f.nextProbeAt(r)+maxProbeInterval)
		}
	}
	switch {
	case earliest > f.now:
		return earliest
	case m.sends > 0 && !r.circuitOpen && m.retryGrant == nil && !f.retryBudgetLeft(r):
		return never
	case f.stopsAt < never && f.now+stopLatencyFactor*f.expectedLatency(m.dest.routes) > f.stopsAt:
		return never // the host would stop before the answer arrives
	}
	return earliest
}

// attemptsExhausted reports whether no further attempt at a message is allowed.
func (f *scanner) attemptsExhausted(m *message) bool {
	return m.sends > maxRetries || f.settings.MaxAttempts > 0 && m.attempts >= f.settings.MaxAttempts
}

// isRepeatable reports whether a message that may have run may be sent to an endpoint again within its window.
func isRepeatable(m *message, ep *endpoint) bool {
	e := m.class.Effect
	return e == Idempotent || e == Deduplicated && (!m.class.DedupPerZone || ep.zone == m.runZone)
}

// chooseEndpoint picks the eligible endpoint of lowest cost: one that does not fail alone, is in the same zone,
// is connected and least busy. Among equals it uses round robin.
func (f *scanner) chooseEndpoint(m *message, usable []*route) (best *endpoint) {
	lowest := math.Inf(1)
	active, connected, worthKeeping := f.connectionStats(usable)
	explore := connected > 0 && connected < active && float64(connected+1) <= min(worthKeeping, m.dest.connectedLimit+float64(f.now-m.dest.connectedLimitAt)/float64(max(f.settings.ConnIdle, 1))) && f.rng.Float64()*float64(active) < float64(active-connected)
	for _, r := range usable {
		for _, ep := range r.endpoints {
			if f.sendEligibleAt(m, ep) > f.now {
				continue
			}
			chance := f.rng.Float64()
			if f.now < ep.avoidUntil {
				f.resetTurn(ep)
			}
			recency := math.Exp(-float64(f.now-ep.lastScheduled) / float64(f.settings.ConnIdle))
			if f.idleConnections(ep) == 0 {
				recency = chance
			}
			cost := float64(ep.inFlight) + recencyCost*recency + failureCost*ep.failureShare.get(f.now, forgetAfter)
			cost += 2 * f.preferenceRank(m, ep)
			if f.now < ep.avoidUntil {
				cost += 1e6
			}
			if ep.zone != f.settings.Zone {
				cost += 100 * f.settings.CrossZonePrice
			}
			if ep.kind.SeparateRoutes {
				cost += 100 * f.settings.ZoneFee[ep.zone]
			}
			if (f.idleConnections(ep) == 0) != explore {
				cost += 0.5
			}
			if cost < lowest {
				best, lowest = ep, cost
			}
		}
	}
	return best
}

// connectionStats counts the active and the connected endpoints of some routes, and how many connections
// round robin uses within the idle time often enough to save more handshakes than they cost.
func (f *scanner) connectionStats(routes []*route) (active, connected int, worthKeeping float64) {
	calls := 0.0
	for _, r := range routes {
		calls += r.firstAttempts.get(f.now, recentWindow) * float64(f.settings.ConnIdle) / float64(recentWindow)
		for _, ep := range r.endpoints {
			if ep.state == Active {
				if active++; ep.inFlight > 0 || f.idleConnections(ep) > 0 {
					connected++
				}
			}
		}
	}
	price := idleConnectionCost * min(1, float64(f.settings.Forwarders)/smallTableSize)
	worthKeeping = calls - rareGapDeviations*math.Sqrt(calls)
	if f.settings.ConnectPrice < price {
		worthKeeping = min(worthKeeping, -calls*math.Log1p(-f.settings.ConnectPrice/price))
	}
	return active, connected, worthKeeping
}

// resetTurn gives an endpoint that was not called for a while the round robin place of a random endpoint of
// its route: otherwise it would be next at every sender that learns of its return.
func (f *scanner) resetTurn(ep *endpoint) {
	if others := ep.route.endpoints; len(others) > 1 {
		ep.lastScheduled = others[f.rng.IntN(len(others))].lastScheduled
	}
}

// preferenceRank is the rank of an endpoint among those that a message prefers. One that failed recently is not
// preferred. Backups rank behind the other endpoints, but before one that failed recently.
func (f *scanner) preferenceRank(m *message, ep *endpoint) float64 {
	var prefer []string
	if m.filter != nil {
		prefer = m.filter.Prefer
	}
	failed := ep.consecutiveFailures > 0 && f.now < ep.recentCalls.at+recentWindow
	rank := len(prefer)
	for i, id := range prefer {
		if id == ep.id && !failed {
			rank = i
			break
		}
	}
	hasBackup := false
	for _, o := range ep.route.endpoints {
		hasBackup = hasBackup || o.backup && o.state == Active
	}
	switch { // in rising order: a backup, a failed endpoint where there is a backup, a failed backup
	case ep.backup && failed:
		rank += 3000
	case ep.backup:
		rank += 1000
	case failed && hasBackup:
		rank += 2000
	}
	return float64(rank)
}

func (f *scanner) sendMessage(m *message, c *call) {
	r := c.route
	r.totalAttempts++
	if m.sends == 0 {
		r.totalFirstAttempts++
		r.firstAttempts.add(f.now, recentWindow)
	} else {
		r.retries.add(f.now, recentWindow)
	}
	if m.retryGrant != nil {
		m.retryGrant.reservedRetries--
		m.retryGrant = nil
	}
	a := &attempt{number: m.attempts, message: m, call: c}
	f.attempts[m.id] = append(f.attempts[m.id], a)
	c.attempts = append(c.attempts, a)
	m.attempts++
	m.sends++
	m.recovered = false
	m.inFlight++
	c.pending++
	f.dequeue(m)
	limit := f.attemptTimeout(m, c)
	c.shortTimeout = limit < f.minInformativeTimeout(m.dest.routes)
	within := time.Duration(0)
	if m.mayHaveRun && m.class.Effect == Deduplicated {
		within = m.runSentAt + m.class.DedupWindow - windowEndMargin - f.now
	}
	f.emit(Send{Message: m.id, Target: c.endpoint.id, Timeout: limit, StartWithin: within})
}

// minInformativeTimeout is how long a call must be in flight before its silence is evidence against its route.
func (f *scanner) minInformativeTimeout(routes []*route) time.Duration {
	return overdueAfter(f.expectedLatency(routes))
}

func overdueAfter(latency time.Duration) time.Duration {
	return max(minOverdue, lateLatencyFactor*latency)
}

// attemptTimeout is how long to wait for an answer. A repeatable message times out well after its expected
// latency. A message that must not be repeated would fail at its timeout, so it waits until its deadline.
func (f *scanner) attemptTimeout(m *message, c *call) time.Duration {
	left := m.deadline - f.now
	if m.class.Effect == AtMostOnce {
		return left
	}
	own := time.Duration(f.classLatencyFactor(m.class) * float64(f.expectedLatency(m.dest.routes)))
	return min(left, max(minTimeout, timeoutLatencyFactor*own))
}

// expectedLatency is the mean latency of the slowest of some routes, as far as it is known.
func (f *scanner) expectedLatency(routes []*route) (t time.Duration) {
	for _, r := range routes {
		t = max(t, r.meanLatency)
	}
	if t == 0 {
		return assumedLatency
	}
	return t
}

// ---- Outcomes.

func (f *scanner) handleOutcome(o Outcome) {
	a := f.takeAttempt(o)
	if a == nil {
		return
	}
	m, r := a.message, a.call.route
	d, ep := r.dest, a.call.endpoint
	f.closeAllIntervals(d)
	r.retryAfter = max(r.retryAfter, f.now+o.RetryAfter) // it applies at once, also while other messages of the call are in flight
	m.inFlight--
	a.call.pending--
	last := a.call.pending == 0
	if last {
		r.inFlight = withoutItem(r.inFlight, a.call)
		f.inFlight = withoutItem(f.inFlight, a.call)
		a.call.endpoint.inFlight--
		f.uncountSuspect(a.call)
		if o.Result == Succeeded || o.Result == Errored || o.Result == Overloaded || o.Result == NotSent {
			a.call.endpoint.idleSince = append(a.call.endpoint.idleSince, f.now) // its connection is kept
		}
	}
	if o.Result == NotSent {
		m.sends--
	} else if last {
		f.recordOutcome(r, a.call, o)
	}
	f.closeSurplusIdle(ep)
	f.removeIfGone(ep)
	unclear := o.Result == TimedOut || o.Result == Reset || o.Result == Cancelled
	if unclear && m.keyQueue != nil {
		m.keyQueue.idleUntil = max(m.keyQueue.idleUntil, f.now+f.settings.KeyPause)
	}
	if (unclear || o.Result == Errored || o.Result == Succeeded) && !m.mayHaveRun {
		m.mayHaveRun, m.runZone, m.runSentAt = true, a.call.endpoint.zone, a.call.sentAt
	}
	if o.NoAnswerNeeded || m.completed {
		f.completeMessage(m)
	} else {
		f.retryOrAnswer(m, r, o)
	}
	f.invalidate(d)
}

// suspicion is the state of a route that has not answered, and of the calls in flight to it.
type suspicion int8

const (
	notSuspect   suspicion = iota
	untested               // it has not answered yet
	unresponsive           // calls to it are overdue
	occupied               // suspect, with a call in flight
	suspicionKinds
)

// markUnresponsive counts the calls to a route as suspect from now on.
func (f *scanner) markUnresponsive(r *route) {
	if r.suspicion == unresponsive {
		return
	}
	r.suspicion = unresponsive
	for _, c := range r.inFlight {
		f.countSuspect(c)
	}
}

// clearSuspicion stops counting the calls to a route as suspect, since it has answered.
func (f *scanner) clearSuspicion(r *route) {
	r.suspicion, r.cancelledCalls = notSuspect, 0
	for _, c := range r.inFlight {
		f.uncountSuspect(c)
	}
}

func (f *scanner) countSuspect(c *call) {
	if c.suspicion == notSuspect {
		c.suspicion = c.route.suspicion
		f.suspectCalls[c.suspicion]++
	}
}

func (f *scanner) uncountSuspect(c *call) {
	if c.suspicion != notSuspect {
		f.suspectCalls[c.suspicion]--
		c.suspicion = notSuspect
	}
}

// retryOrAnswer queues a message whose attempt failed for a retry, or gives its final answer.
func (f *scanner) retryOrAnswer(m *message, r *route, o Outcome) {
	notSent := o.Result == NotSent
	if f.attemptsExhausted(m) || m.mayHaveRun && m.class.Effect == AtMostOnce || f.now >= m.answerDeadline() {
		f.answerMessage(m)
		return
	}
	// A route whose circuit is open gets probes only, so the retry budget does not apply. The message is
	// queued like a first attempt, and the budget is checked when it is about to be sent.
	if !notSent && !r.circuitOpen {
		if !f.retryBudgetLeft(r) {
			f.answerMessage(m)
			return
		}
		m.retryGrant = r
		r.reservedRetries++
	}
	first := firstBackoff
	if o.Result == Overloaded && o.RetryAfter == 0 { // it will still be full after firstBackoff
		first = rejectedBackoff
	}
	m.notBefore = max(m.notBefore, f.now+o.RetryDelay)
	if !notSent {
		m.notBefore = f.now + f.jitter(first<<max(0, m.sends-1))
	}
	f.enqueue(m)
}

// ---- Final answers.

// answerDeadline is when a queued message must be answered: its deadline, or the end of its keyed window.
func (m *message) answerDeadline() time.Duration {
	if m.mayHaveRun && m.class.Effect == Deduplicated {
		return min(m.deadline-answerMargin, m.runSentAt+m.class.DedupWindow-keyWindowMargin)
	}
	return m.deadline - answerMargin
}

func (f *scanner) answerDue() {
	for _, m := range slices.Clone(f.pending) {
		if m.inFlight == 0 && f.now >= m.answerDeadline() { // while an attempt is in flight, its timeout comes first
			f.answerMessage(m)
		}
	}
}

// isRefusable reports whether the client may be told that handing the message in again is harmless.
func (f *scanner) isRefusable(m *message) bool {
	if !m.mayHaveRun && m.inFlight == 0 || m.class.Effect == Idempotent {
		return true
	}
	return m.class.Effect == Deduplicated && !m.class.DedupPerZone
}

// answerMessage gives the final answer of a message.
func (f *scanner) answerMessage(m *message) {
	if f.isRefusable(m) {
		f.emit(Refuse{Message: m.id, RetryAfter: f.retryAdvice(m.dest)})
	} else {
		f.emit(Fail{Message: m.id})
	}
	f.completeMessage(m)
}

// retryAdvice is how long a client should stay away: until the retry-after time or the next probe.
func (f *scanner) retryAdvice(d *destination) time.Duration {
	wait := f.settings.MaxRetryAfter
	for _, r := range d.routes {
		left := max(0, r.retryAfter-f.now)
		if r.circuitOpen {
			left = max(left, f.nextProbeAt(r)-f.now)
		}
		wait = min(wait, left)
	}
	return wait
}

// ---- Route health.

// isLongCall reports whether a call that has ended was in flight for long though its route works, and was
// either answered or abandoned.
func (f *scanner) isLongCall(c *call, o Outcome) bool {
	return c.sentAt <= c.route.lastSuccessSentAt && f.now-c.sentAt > max(2*minOverdue, lostLatencyFactor*cmp.Or(c.route.meanLatency, assumedLatency)) &&
		(o.Result == Succeeded || o.Result == Rejected || o.Result == TimedOut || o.Result == Cancelled && c.cancelled)
}

func (f *scanner) recordOutcome(r *route, c *call, o Outcome) {
	switch o.Result {
	case Succeeded, Errored, Overloaded:
		f.clearSuspicion(r)
	case TimedOut:
		if c.sentAt > r.lastSuccessSentAt {
			f.markUnresponsive(r)
		}
	}
	if f.isLongCall(c, o) {
		f.longCallLoss.record(f.now, forgetAfter, lossWeight, oneIf(o.Result != Succeeded && o.Result != Rejected))
	}
	if o.Result == TimedOut && c.shortTimeout { // its message expired, which is not a failure of the route
		if c.isProbe {
			r.lastProbeAt = f.now
		}
		return
	}
	if o.Result == Reset || o.Result == TimedOut {
		f.countLoss(c)
	} else if !c.lossCounted && o.Result != ConnectFailed {
		f.idleLoss[c.idleStep].record(f.now, forgetAfter, idleLossWeight, 0)
	}
	good := o.Result == Succeeded
	if o.Result == Cancelled {
		return
	}
	if o.Allowance.Reported {
		f.observeAllowance(r, o)
		r.allowanceSpentUntil = 0
		if o.Allowance.Rate > 0 && o.Allowance.Remaining < allowanceNearlySpent {
			r.allowanceSpentUntil = f.now + rateWindow
		}
	}
	r.outcomes++
	unclear := oneIf(!good && o.Result != Overloaded && o.Result != ConnectFailed)
	r.unclearShare.record(f.now, recentWindow, 0.2, unclear)
	if o.Result != TimedOut { // a timeout is mostly the route's failure, not the endpoint's
		c.endpoint.failureShare.record(f.now, forgetAfter, lossWeight, unclear)
	}
	if good {
		f.recordSuccess(r, c, o.Latency)
		return
	}
	r.failures++
	if r.consecutiveFailures == 0 {
		r.failingSince = c.sentAt
	}
	weight := 1.0
	if o.Result == Overloaded {
		weight = 1 / rejectionsPerFailure
	}
	r.consecutiveFailures += weight
	if c.sentAt > r.lastSuccessSentAt {
		r.outageEvidence += weight
	}
	if o.Result == ConnectFailed {
		c.endpoint.idleSince = nil
		if r.lastSuccessAt > f.now-recentWindow {
			_, connected, _ := f.connectionStats(r.dest.routes)
			r.dest.connectedLimit, r.dest.connectedLimitAt = float64(connected), f.now
		}
	}
	if f.avoidFailingEndpoint(r, c.endpoint, o.Result) {
		return
	}
	if c.isProbe || r.circuitOpen {
		f.scheduleProbe(r)
		return
	}
	switch {
	case o.RetryAfter > 0 && o.RetryAfter >= f.settings.OverloadOutage && f.settings.OverloadOutage > 0:
		f.openCircuit(r, "shut")
	case r.consecutiveFailures >= f.outageThreshold(r):
		f.openCircuit(r, "failing")
	case r.unclearShare.get(f.now, recentWindow) > halfFailingShare:
		r.needsSlowStart = true // a partial outage needs a slow start, too
		f.openCircuit(r, "half failing")
	case o.Result == Overloaded:
		f.cutRate(r)
	}
}

func (f *scanner) recordSuccess(r *route, c *call, took time.Duration) {
	r.successes++
	r.recentSuccesses.add(f.now, recentWindow)
	r.consecutiveFailures = 0
	c.endpoint.consecutiveFailures, c.endpoint.avoidUntil = 0, 0
	r.lastSuccessAt, r.lastSuccessSentAt = f.now, max(r.lastSuccessSentAt, c.sentAt)
	if !r.circuitOpen {
		r.outageEvidence = 0
	}
	for _, a := range c.attempts {
		factor := f.classLatencyFactor(a.message.class)
		if r.meanLatency > 0 {
			factor += (min(lateLatencyFactor, float64(took)/float64(r.meanLatency)) - factor) / 64
		}
		f.latencyFactor[a.message.class] = factor
	}
	if r.meanLatency == 0 {
		r.meanLatency = took
	} else {
		r.meanLatency += (took - r.meanLatency) / 8
	}
	if f.meanLatency == 0 {
		f.meanLatency = took
	} else {
		f.meanLatency += (took - f.meanLatency) / 64
	}
	if !r.circuitOpen {
		return
	}
	if c.isProbe {
		r.successfulProbes++
		r.lastProbeAt, r.probeJitter = f.now, secondProbe
	}
	if !r.needsSlowStart || r.successfulProbes >= probesToClose {
		f.closeCircuit(r)
	}
}

// outageThreshold is how many failures in a row count as an outage: one more than half of the recent successes,
// with an upper bound. A sender with little traffic to a route cannot wait for many.
func (f *scanner) outageThreshold(r *route) float64 {
	return min(maxOutageEvidence, 1+r.recentSuccesses.get(f.now, recentWindow)/2)
}

// avoidFailingEndpoint has an endpoint avoided for a while if it fails while others of its route work. It
// reports whether this is so: then the failure does not count against the route.
func (f *scanner) avoidFailingEndpoint(r *route, ep *endpoint, result Result) bool {
	ep.consecutiveFailures++
	if result == Overloaded || ep.consecutiveFailures < 2 {
		return false
	}
	for _, other := range r.endpoints {
		if other != ep && other.state == Active && other.consecutiveFailures == 0 && r.lastSuccessAt > f.now-recentWindow && !r.circuitOpen {
			ep.avoidUntil = f.now + min(minProbeInterval<<min(ep.consecutiveFailures, 4), 4*maxProbeInterval)
			return true
		}
	}
	return false
}

// openCircuit stops all calls to a route but probes.
func (f *scanner) openCircuit(r *route, why string) {
	f.closeIntervals(r)
	r.circuitOpen, r.openReason, r.slowStart = true, why, false
	if r.probeInterval == 0 || f.now-r.closedAt > recentWindow { // otherwise the back-off continues
		r.probeInterval = minProbeInterval / 2
	}
	if r.consecutiveFailures == 0 {
		r.failingSince = f.now
	}
	f.scheduleProbe(r)
	for _, ep := range r.endpoints {
		if ep.state == Active && f.idleConnections(ep) > 0 { // whether a new connection is accepted tells a dead endpoint from a busy one
			f.closeIdleConnections(ep)
		}
	}
}

// scheduleProbe backs off the next probe after a failure.
func (f *scanner) scheduleProbe(r *route) {
	r.probeInterval = min(2*r.probeInterval, maxProbeInterval)
	r.needsSlowStart = r.needsSlowStart || r.outageEvidence >= f.outageThreshold(r)
	r.successfulProbes, r.lastProbeAt, r.probeJitter = 0, f.now, 0.5+f.rng.Float64()
}

// nextProbeAt is when a route whose circuit is open may get its next probe. All senders probe it. In order not to
// overload it on its return, each probes at the rate of its own messages during the outage, or of its equal share
// of a limit, times the part of its capacity that a returning route has for probes. The same holds from a
// retry-after time on, since all senders got the same one.
func (f *scanner) nextProbeAt(r *route) time.Duration {
	capacity := max(probeShare*f.settings.OverloadFactor*f.settings.StartCapacity, minRetryRatio)
	earliest := max(r.lastProbeAt, r.retryAfter)
	outage := earliest - r.failingSince
	came := float64(len(r.dest.queued)) - r.probeJitter/capacity // messages, less those since the last probe
	own := float64(outage) / (capacity * max(1, came, f.equalShare(r)*outage.Seconds()))
	interval := max(float64(r.probeInterval), min(own, float64(maxProbeInterval)*float64(f.settings.Forwarders)/unspacedSenders))
	return earliest + time.Duration(r.probeJitter*interval)
}

// closeCircuit resumes normal calls to a route, with a slow start after an outage.
func (f *scanner) closeCircuit(r *route) {
	r.circuitOpen, r.openReason, r.consecutiveFailures, r.closedAt = false, "", 0, f.now
	r.unclearShare.value = 0
	r.slowStart, r.slowStartAt, r.needsSlowStart = r.needsSlowStart, f.now, false
	r.tokens, r.tokensAt, r.nextCutAt = 0, f.now, f.now
}

// resetIfUnused resets a route that was unused for forgetAfter, unless its retry-after time is still to come or
// its circuit is open.
func (f *scanner) resetIfUnused(r *route) {
	idle := len(r.inFlight) == 0 && len(r.dest.queued) == 0 && !r.circuitOpen && f.now >= r.retryAfter
	if idle && f.now-r.lastUsedAt > forgetAfter {
		endpoints := r.endpoints
		*r = *f.newRoute(r.name, r.dest)
		r.endpoints = endpoints
	}
}

// checkOverdue opens the circuits of routes that have become unresponsive.
func (f *scanner) checkOverdue() {
	for _, c := range slices.Clone(f.inFlight) {
		if r := c.route; c == r.inFlight[0] && !r.circuitOpen {
			if silent, _ := f.checkUnresponsive(r); silent {
				f.openCircuit(r, "silent")
				f.invalidate(r.dest)
			}
		}
	}
}

// checkNewCalls asks for a Step when the next call becomes overdue.
func (f *scanner) checkNewCalls() {
	for _, c := range f.inFlight {
		if r := c.route; c == r.inFlight[0] && !r.circuitOpen {
			if silent, next := f.checkUnresponsive(r); silent {
				panic("a call became overdue in the Step that started it")
			} else if next < never {
				f.waitUntil(next)
			}
		}
	}
}

// checkUnresponsive reports whether calls are overdue and no call that was sent later has been answered, and
// when the next call becomes overdue.
func (f *scanner) checkUnresponsive(r *route) (silent bool, next time.Duration) {
	latency := cmp.Or(r.meanLatency, assumedLatency)
	late, overdue := 0, 0
	next = never
	for _, c := range r.inFlight {
		if at := c.sentAt + overdueAfter(latency); f.now < at {
			next = min(next, at)
			continue
		}
		f.countLoss(c)
		if c.sentAt <= r.lastSuccessSentAt {
			continue // a later call was answered: the route is responsive
		}
		late++
		overdue++
		if at := c.sentAt + max(2*minOverdue, lostLatencyFactor*latency); f.now < at {
			next = min(next, at)
		} else {
			late++
		}
	}
	if overdue > 0 {
		f.markUnresponsive(r)
	}
	if late >= 2 {
		r.outageEvidence = max(r.outageEvidence, float64(overdue))
	}
	return late >= 2, next
}

// closeSurplusIdle closes the idle connections to an endpoint unless the handshakes that they are expected to
// save outweigh the entries that they take in its connection table, which many senders fill.
func (f *scanner) closeSurplusIdle(ep *endpoint) {
	price := idleConnectionCost * min(1, float64(f.settings.Forwarders)/smallTableSize)
	saved := f.settings.ConnectPrice * ep.recentCalls.get(f.now, max(f.settings.ConnIdle, 1))
	if _, connected, worthKeeping := f.connectionStats(ep.route.dest.routes); saved < price && float64(connected) > worthKeeping && f.idleConnections(ep) > 0 && len(ep.route.dest.queued) == 0 {
		f.closeIdleConnections(ep)
	}
}

// idleTooLong reports whether connections that were idle for so long lose calls that fresh ones do not, for
// instance behind a middlebox that drops their state. They are then closed before a send, which costs a handshake.
func (f *scanner) idleTooLong(step int) bool {
	fresh := f.idleLoss[0].get(f.now, forgetAfter)
	for s := 1; s <= step; s++ {
		if loss := f.idleLoss[s].get(f.now, forgetAfter); loss > staleLossShare && loss > 2*fresh {
			return true
		}
	}
	return false
}

// cancelAfter is how long a call may be in flight when slots run out. A message that could not be refused after
// its cancellation gets longer; a keyed one is left time for a repeat within its window.
func (f *scanner) cancelAfter(m *message, latency time.Duration) time.Duration {
	own := time.Duration(float64(latency) * f.classLatencyFactor(m.class))
	short, long := lateLatencyFactor*own, max(2*minOverdue, lostLatencyFactor*own)
	switch {
	case m.class.Effect == AtMostOnce:
		return long
	case m.class.Effect == Deduplicated && m.class.DedupPerZone:
		return max(short, min(long, m.class.DedupWindow/4))
	}
	return short
}

// freeSlots cancels the most overdue call when slots run out, so that lost calls do not block other messages.
func (f *scanner) freeSlots() {
	if !f.settings.MayCancel {
		return
	}
	if len(f.inFlight) < f.settings.Slots {
		f.cancelSuspects(f.blocked[untested])
		return
	}
	if f.cancelSuspects(1) {
		return
	}
	var worst *call
	highest := 1.0
	for _, c := range f.inFlight {
		latency, limit := f.expectedLatency(c.route.dest.routes), minOverdue
		for _, a := range c.attempts {
			limit = max(limit, f.cancelAfter(a.message, latency))
		}
		if r := c.route; !r.circuitOpen && c.sentAt <= r.lastSuccessSentAt { // the route works, so the call is slow rather than lost
			lost := f.longCallLoss.get(f.now, forgetAfter)
			limit = time.Duration(float64(limit) * (longCallFactor - (longCallFactor-lostLongCallFactor)*lost))
		}
		overdueRatio := float64(f.now-c.sentAt) / float64(limit)
		if !c.cancelled && !f.waitUntil(c.sentAt+limit) && overdueRatio >= highest {
			worst, highest = c, overdueRatio
		}
	}
	if worst != nil {
		f.cancelCall(worst)
	}
}

// cancelSuspects cancels suspect calls with repeatable messages once they are overdue, until enough slots are
// or will be free. After each cancellation the next call to that route gets longer.
func (f *scanner) cancelSuspects(need int) (freed bool) {
	for _, c := range f.inFlight {
		if c.suspicion == notSuspect || need <= 0 || slices.ContainsFunc(c.attempts, (*attempt).notPure) {
			continue
		}
		if c.cancelled {
			need--
			continue
		}
		latency := cmp.Or(c.route.meanLatency, f.meanLatency, assumedLatency)
		if !f.waitUntil(c.sentAt + overdueAfter(latency)<<min(c.route.cancelledCalls, maxCancelDoublings)) {
			c.route.cancelledCalls++
			f.markUnresponsive(c.route)
			f.cancelCall(c)
			freed = true
			need--
		}
	}
	return freed
}

func (a *attempt) notPure() bool { return a.message.class.Effect != Idempotent }

func (f *scanner) cancelCall(c *call) {
	c.cancelled = true
	for _, a := range c.attempts {
		f.emit(Cancel{Message: a.message.id, Attempt: a.number})
	}
}

// ---- The retry budget.

// closeIntervals closes the adjustment intervals that have ended, each at its end. If an interval has too few
// outcomes to judge, they are carried over to the next one; otherwise the retry budget of a route with few calls
// would fluctuate.
func (f *scanner) closeIntervals(r *route) {
	for f.now-r.intervalStart >= adjustInterval {
		if !r.paceLimited && r.outcomes < minOutcomes && r.nextTokenAt <= r.intervalStart {
			// Idle intervals change nothing: close them all at once.
			f.closeInterval(r, r.intervalStart+(f.now-r.intervalStart)/adjustInterval*adjustInterval)
			return
		}
		f.closeInterval(r, r.intervalStart+adjustInterval)
	}
}

func (f *scanner) closeAllIntervals(d *destination) {
	for _, r := range d.routes {
		f.closeIntervals(r)
	}
}

// closeInterval raises the pace after an interval without rejections, halves the retry budget at a high
// failure rate and raises it at a low one.
func (f *scanner) closeInterval(r *route, end time.Duration) {
	if r.paceLimited && r.rejections == 0 && r.successes > 0 && !r.circuitOpen && !f.inSlowStart(r, end) {
		r.adaptiveRate *= rateGrowth
	}
	r.rejections, r.successes, r.intervalStart = 0, 0, end
	f.updatePace(r, end)
	if r.outcomes < minOutcomes {
		return
	}
	switch rate := float64(r.failures) / float64(r.outcomes); {
	case rate > highFailureShare:
		r.retryRatio = max(minRetryRatio, r.retryRatio/2)
	case rate < lowFailureShare:
		r.retryRatio = min(initialRetryRatio, r.retryRatio*(1+retryRatioGrowth))
	}
	r.outcomes, r.failures = 0, 0
}

// updatePace computes when a route may be called next, and whether its pace delays a message now.
func (f *scanner) updatePace(r *route, at time.Duration) {
	f.refillTokens(r, at)
	r.currentRate = f.allowedRate(r, at)
	r.nextTokenAt = at
	if r.tokens < 1 && !math.IsInf(r.currentRate, 1) {
		r.nextTokenAt += time.Duration(min((1-r.tokens)/r.currentRate, 1e6) * float64(time.Second))
	}
	limited := len(r.dest.queued) > 0 && !r.circuitOpen && at >= r.retryAfter && at < r.nextTokenAt
	r.paceLimited = limited || r.paceLimited && at != r.intervalStart
}

// invalidate computes the pace of a destination again after a change there. Nothing else has to be updated,
// since each Step scans all of the state.
func (f *scanner) invalidate(d *destination) {
	for _, r := range d.routes {
		f.closeIntervals(r)
		f.updatePace(r, f.now)
	}
}

// retryBudgetLeft reports whether the budget allows one more retry: recent and granted retries may be at most
// retryRatio of the recent first attempts before it, so one is allowed if there was none.
func (f *scanner) retryBudgetLeft(r *route) bool {
	return r.retries.get(f.now, recentWindow)+float64(r.reservedRetries) <= r.retryRatio*r.firstAttempts.get(f.now, recentWindow)
}

// ---- Pace.

// allowedRate is the rate in calls a second at which this sender may call a route.
func (f *scanner) allowedRate(r *route, at time.Duration) float64 {
	rate := r.adaptiveRate
	if equal := f.equalShare(r); equal > 0 {
		staleness := min(1, (at-r.allowanceAt).Seconds()/rateWindow.Seconds())
		left := r.allowanceLeft + (scarceAllowance-r.allowanceLeft)*staleness // without recent reports it approaches the own share
		limit, own := equal*float64(f.settings.Forwarders), f.ownShare(r, at)
		if r.totalDemand > limit { // each sender lets through the same share of its messages
			own = max(overloadShare*equal, own*limit/r.totalDemand*(balancedAllowance+min(left, ampleAllowance)))
		} else { // more than the own share while others leave some of the limit
			own = max(own, limit*min(1, (left-scarceAllowance)/(ampleAllowance-scarceAllowance)))
		}
		rate = min(rate, own)
	}
	if f.inSlowStart(r, at) {
		progress := float64(at-r.slowStartAt) / float64(f.settings.SlowStart)
		capacity := f.settings.StartCapacity + (1-f.settings.StartCapacity)*progress
		rate = min(rate, slowStartShare*f.settings.OverloadFactor*capacity*f.ownShare(r, at))
	}
	return rate
}

// inSlowStart reports whether a route is in the slow start after an outage.
func (f *scanner) inSlowStart(r *route, at time.Duration) bool {
	return r.slowStart && at-r.slowStartAt < f.settings.SlowStart
}

// ownShare is the part of a route's rate that is due to this sender: its equal share of a known limit, or the
// rate of its own messages over the last minute if that is more.
func (f *scanner) ownShare(r *route, at time.Duration) float64 {
	span := min(forgetAfter, max(at-f.startedAt, rateWindow))
	own := r.dest.accepted.get(at, forgetAfter) / span.Seconds() / float64(len(r.dest.routes))
	return max(f.equalShare(r), own)
}

// observeAllowance records a reported limit and estimates the demand of all senders from what is left of it.
// All senders get the same reports, so their estimates agree. A lower limit applies at once, since the demand
// stays the same.
func (f *scanner) observeAllowance(r *route, o Outcome) {
	limit, since := o.Allowance.Rate, min(f.now-r.allowanceAt, rateWindow).Seconds()
	if limit <= 0 {
		r.serverLimit, r.totalDemand = 0, 0
		return
	}
	if r.serverLimit > 0 && math.Abs(limit-r.serverLimit) < limitNoise*r.serverLimit {
		limit = r.serverLimit + (limit-r.serverLimit)/4
	}
	r.serverLimit, r.allowanceLeft, r.allowanceAt = limit, o.Allowance.Remaining, f.now
	rise := demandDrift * min(0, balancedAllowance-r.allowanceLeft)
	if o.Result == Overloaded && o.Allowance.Remaining < allowanceNearlySpent { // rejected calls may count against the limit, too
		r.allowanceLeft, rise = 0, demandRise
	}
	r.totalDemand = min(maxDemandFactor*limit, max(limit, r.totalDemand*math.Exp(since*rise)))
}

// equalShare is an equal share of a route's limit for each sender, or 0 if none is known.
func (f *scanner) equalShare(r *route) float64 {
	limit := r.serverLimit
	if limit <= 0 && f.settings.Weights == ExactWeights {
		limit = f.listedWeight(r)
	}
	return limit / float64(f.settings.Forwarders)
}

// refillTokens adds the tokens that a route has gained since the last time.
func (f *scanner) refillTokens(r *route, at time.Duration) {
	if math.IsInf(r.currentRate, 1) {
		r.tokens = 1
	} else {
		r.tokens = min(1, r.tokens+r.currentRate*(at-r.tokensAt).Seconds())
	}
	r.tokensAt = at
}

// cutRate slows a route down after a rejection, once for each burst of rejections.
func (f *scanner) cutRate(r *route) {
	r.rejections++
	if f.now < r.nextCutAt {
		return
	}
	r.nextCutAt = f.now + adjustInterval
	sent := r.recentCalls.get(f.now, rateWindow) / rateWindow.Seconds()
	minShare := max(minOwnShare, oneIf(r.serverLimit > 0)) // allowedRate applies a known limit
	r.adaptiveRate = max(minTotalRate/float64(f.settings.Forwarders), minShare*f.ownShare(r, f.now), min(r.adaptiveRate, sent)*rateCut)
}

// ---- Wake-ups.

func (f *scanner) scheduleWake() {
	for _, m := range f.pending {
		if m.inFlight == 0 {
			f.waitUntil(m.answerDeadline())
		}
	}
	if f.nextDue < never && (f.wakeAt <= f.now || f.nextDue < f.wakeAt) {
		f.wakeAt = f.nextDue
		f.emit(Wake{After: f.nextDue - f.now})
	}
}
