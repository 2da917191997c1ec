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

// The state of a Forwarder, for the hot restart into one of the same settings: routes and endpoints with
// their retry-after times, outages, retry budgets and paces, the calls in flight, and what is known of each
// message. Times are on the clock of the Forwarder that saved it; the host continues that clock for the
// other one. Nothing here decides anything.

// memoryFormat changes whenever what is written does.
const memoryFormat = 4

var errMemory = errors.New("what the process before remembers can't be read")

// stateCodec encodes or decodes one value after the other: one list of fields serves both ways.
type stateCodec struct {
	buf     []byte
	reading bool
	err     error
}

func (c *stateCodec) fail(what string) {
	if c.err == nil {
		c.err = fmt.Errorf("%w: %s, %d bytes before its end", errMemory, what, len(c.buf))
	}
	c.buf = nil
}

func (c *stateCodec) uint(v *uint64) {
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

func carryInt[T ~int | ~int8 | ~int64](c *stateCodec, v *T) {
	u := uint64(int64(*v)<<1) ^ uint64(int64(*v)>>63)
	if c.uint(&u); c.reading {
		*v = T(int64(u>>1) ^ -int64(u&1))
	}
}

func (c *stateCodec) times(list ...*time.Duration) {
	for _, v := range list {
		carryInt(c, v)
	}
}

func (c *stateCodec) ints(list ...*int) {
	for _, v := range list {
		if carryInt(c, v); *v < 0 {
			c.fail("less than nothing")
			*v = 0
		}
	}
}

func (c *stateCodec) floats(list ...*float64) {
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

func (c *stateCodec) bools(list ...*bool) {
	for _, v := range list {
		n := int(oneIf(*v))
		if carryInt(c, &n); c.reading {
			*v = n == 1
		}
	}
}

func (c *stateCodec) counts(list ...*decayingCount) {
	for _, v := range list {
		c.floats(&v.value)
		c.times(&v.at)
	}
}

func (c *stateCodec) text(v *string) {
	n := c.length(len(*v))
	if !c.reading {
		c.buf = append(c.buf, *v...)
	} else if c.err == nil {
		*v, c.buf = string(c.buf[:n]), c.buf[n:]
	}
}

// length codes how many items follow, each a byte at least.
func (c *stateCodec) length(n int) int {
	u := uint64(n)
	if c.uint(&u); c.reading && u > uint64(len(c.buf)) {
		c.fail("more items than bytes")
		return 0
	}
	return int(u)
}

// Memory is the state decoded from a Save.
type Memory struct {
	meanLatency, startedAt time.Duration
	seq                    uint64
	rngState               string // state of the random number generator
	idleLoss               [idleSteps]decayingMean
	longCallLoss           decayingMean
	latencyFactor          map[string]float64
	tenants                map[string]tenant
	destinations           []destinationMemory
	endpoints              []endpointMemory
	calls                  []callMemory
	messages               map[string]*messageMemory
	restingKeys            map[string]time.Duration // by key
}

type destinationMemory struct {
	id               int
	seq, queuedSeq   uint64
	lastScheduled    time.Duration
	accepted         decayingCount
	connectedLimit   float64
	connectedLimitAt time.Duration
	routes           []routeMemory
}

// routeMemory is a route as it is coded, with the names of its endpoints in their order.
type routeMemory struct {
	route
	endpointOrder []string
}

type endpointMemory struct {
	listing Target
	endpoint
}

type callMemory struct {
	endpointID string
	call
	restored  *call // by Restore
	positions []int // of its attempts, in the order that they came
}

type messageMemory struct {
	message
	retryGrant       string // the route's name after =, or after - if it is gone; empty for none
	hedgeDue         bool   // a hedged request is due
	inFlightAttempts []attemptMemory
}

// attemptMemory is an attempt that is in flight.
type attemptMemory struct{ number, call, position int }

func (r *routeMemory) carry(c *stateCodec) {
	carryList(c, &r.endpointOrder, c.text)
	c.text(&r.name)
	c.times(&r.lastUsedAt, &r.retryAfter, &r.allowanceSpentUntil, &r.intervalStart, &r.meanLatency, &r.lastSuccessAt, &r.lastSuccessSentAt, &r.closedAt, &r.failingSince, &r.lastProbeAt, &r.probeInterval, &r.slowStartAt,
		&r.tokensAt, &r.nextTokenAt, &r.nextCutAt, &r.allowanceAt)
	c.ints(&r.outcomes, &r.failures, &r.rejections, &r.successes, &r.totalFirstAttempts, &r.totalAttempts, &r.cancelledCalls, &r.successfulProbes)
	c.floats(&r.virtualTime, &r.retryRatio, &r.consecutiveFailures, &r.outageEvidence, &r.probeJitter, &r.adaptiveRate, &r.currentRate, &r.tokens, &r.serverLimit, &r.allowanceLeft, &r.totalDemand)
	c.bools(&r.weighted, &r.circuitOpen, &r.needsSlowStart, &r.slowStart, &r.paceLimited)
	c.counts(&r.firstAttempts, &r.retries, &r.recentSuccesses, &r.recentCalls, &r.unclearShare.decayingCount)
	c.text(&r.openReason)
	carryInt(c, &r.suspicion)
	if r.suspicion < 0 || r.suspicion >= suspicionKinds {
		c.fail("a doubt of no kind")
	}
}

func (t *endpointMemory) carry(c *stateCodec) {
	c.text(&t.listing.ID)
	c.ints(&t.listing.Destination)
	c.text(&t.listing.Kind)
	c.text(&t.listing.Zone)
	c.floats(&t.virtualDue)
	c.counts(&t.recentCalls, &t.failureShare.decayingCount)
	c.ints(&t.consecutiveFailures)
	c.times(&t.avoidUntil, &t.slowStartUntil, &t.lastScheduled)
	carryList(c, &t.idleSince, func(at *time.Duration) { c.times(at) })
}

func (k *callMemory) carry(c *stateCodec) {
	c.text(&k.endpointID)
	c.times(&k.sentAt)
	c.bools(&k.isProbe, &k.cancelled, &k.lossCounted, &k.shortTimeout)
	c.ints(&k.idleStep)
	carryInt(c, &k.suspicion)
	if k.suspicion < 0 || k.suspicion >= suspicionKinds || k.idleStep < 0 || k.idleStep >= idleSteps {
		c.fail("a call of no kind")
	}
}

func (m *messageMemory) carry(c *stateCodec) {
	c.text(&m.id)
	c.uint(&m.seq)
	c.times(&m.createdAt, &m.deadline, &m.runSentAt, &m.notBefore, &m.hedgeAt)
	c.floats(&m.value)
	c.ints(&m.attempts, &m.sends)
	c.bools(&m.mayHaveRun, &m.hedgeDue, &m.recovered)
	c.text(&m.runZone)
	c.text(&m.retryGrant)
	n := c.length(len(m.inFlightAttempts))
	if c.reading {
		m.inFlightAttempts = make([]attemptMemory, n)
	}
	for i := range m.inFlightAttempts {
		c.ints(&m.inFlightAttempts[i].number, &m.inFlightAttempts[i].call, &m.inFlightAttempts[i].position)
	}
}

// carryList codes a list of items, each of which codes itself.
func carryList[T any](c *stateCodec, list *[]T, carry func(*T)) {
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

// carryMap codes a map in the order of its keys.
func carryMap[T any](c *stateCodec, m *map[string]T, carry func(*T)) {
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

func (m *Memory) carry(c *stateCodec) {
	format := memoryFormat
	if c.ints(&format); c.err == nil && format != memoryFormat {
		c.fail(fmt.Sprintf("format %d, and this program reads %d", format, memoryFormat))
	}
	c.times(&m.meanLatency, &m.startedAt)
	c.uint(&m.seq)
	c.text(&m.rngState)
	c.counts(&m.longCallLoss.decayingCount)
	for i := range m.idleLoss {
		c.counts(&m.idleLoss[i].decayingCount)
	}
	carryMap(c, &m.latencyFactor, func(v *float64) { c.floats(v) })
	carryMap(c, &m.tenants, func(t *tenant) {
		c.floats(&t.tokens)
		c.times(&t.filled)
	})
	carryList(c, &m.destinations, func(d *destinationMemory) {
		c.ints(&d.id)
		c.uint(&d.seq)
		c.uint(&d.queuedSeq)
		c.times(&d.lastScheduled)
		c.counts(&d.accepted)
		c.floats(&d.connectedLimit)
		c.times(&d.connectedLimitAt)
		carryList(c, &d.routes, func(r *routeMemory) { r.carry(c) })
	})
	carryList(c, &m.endpoints, func(t *endpointMemory) { t.carry(c) })
	carryList(c, &m.calls, func(k *callMemory) { k.carry(c) })
	carryMap(c, &m.messages, func(v **messageMemory) {
		if *v == nil {
			*v = &messageMemory{}
		}
		(*v).carry(c)
		for _, p := range (*v).inFlightAttempts {
			if p.call < 0 || p.call >= len(m.calls) {
				c.fail("an attempt of no call")
			}
		}
	})
	carryMap(c, &m.restingKeys, func(at *time.Duration) { c.times(at) })
}

// Save returns the state of the Forwarder. Calls in flight without an open message are left out: the host
// has cancelled them.
func (f *Forwarder) Save() []byte {
	m := &Memory{meanLatency: f.meanLatency, startedAt: f.startedAt, seq: f.seq, restingKeys: map[string]time.Duration{}, idleLoss: f.idleLoss, longCallLoss: f.longCallLoss, latencyFactor: map[string]float64{}, tenants: map[string]tenant{}, messages: map[string]*messageMemory{}}
	for class, v := range f.latencyFactor {
		m.latencyFactor[class.Name] = v
	}
	for name, t := range f.tenants {
		m.tenants[name] = *t
	}
	for _, d := range slices.SortedFunc(maps.Values(f.destinations), func(a, b *destination) int { return cmp.Compare(a.seq, b.seq) }) {
		dm := destinationMemory{id: d.id, seq: d.seq, queuedSeq: d.queuedSeq, lastScheduled: d.lastScheduled, accepted: d.accepted, connectedLimit: d.connectedLimit, connectedLimitAt: d.connectedLimitAt}
		for _, r := range d.routes {
			f.closeIntervals(r)
			rm := routeMemory{route: *r}
			for _, ep := range r.endpoints {
				rm.endpointOrder = append(rm.endpointOrder, ep.id)
			}
			dm.routes = append(dm.routes, rm)
		}
		m.destinations = append(m.destinations, dm)
	}
	for _, id := range slices.Sorted(maps.Keys(f.endpoints)) {
		ep := f.endpoints[id]
		m.endpoints = append(m.endpoints, endpointMemory{Target{ID: ep.id, Destination: ep.route.dest.id, Kind: ep.kind.Name, Zone: ep.zone}, *ep})
	}
	if state, err := f.rngSource.MarshalBinary(); err == nil {
		m.rngState = string(state)
	}
	for key, queue := range f.keyQueues {
		if f.now < queue.idleUntil {
			m.restingKeys[key] = queue.idleUntil
		}
	}
	numbers := map[*call]int{}
	for c := f.inFlight.first; c != nil; c = c.next {
		if slices.ContainsFunc(c.attempts, func(a *attempt) bool { return !a.message.completed && a.inFlight() }) {
			numbers[c] = len(m.calls)
			m.calls = append(m.calls, callMemory{endpointID: c.endpoint.id, call: *c})
		}
	}
	for id, msg := range f.messages {
		if msg.completed {
			continue
		}
		mm := &messageMemory{message: *msg, hedgeDue: msg.hedgeIndex > 0}
		if msg.retryGrant != nil {
			mm.retryGrant = "=" + msg.retryGrant.name
			if !slices.Contains(msg.dest.routes, msg.retryGrant) { // its endpoint went; one of the same name may have come
				mm.retryGrant = "-" + msg.retryGrant.name
			}
		}
		for _, a := range []*attempt{msg.earlier, msg.latest} {
			if a != nil {
				mm.inFlightAttempts = append(mm.inFlightAttempts, attemptMemory{a.number, numbers[a.call], slices.Index(a.call.attempts, a)})
			}
		}
		m.messages[id] = mm
	}
	c := &stateCodec{}
	m.carry(c)
	return c.buf
}

// inFlight reports whether an attempt has no outcome yet.
func (a *attempt) inFlight() bool { return a.message.latest == a || a.message.earlier == a }

// ReadMemory decodes what Save returned.
func ReadMemory(b []byte) (*Memory, error) {
	m := &Memory{}
	c := &stateCodec{buf: b, reading: true}
	if m.carry(c); c.err == nil && len(c.buf) > 0 {
		c.fail("more than there should be")
	}
	return m, c.err
}

// Restore resumes from the state of another Forwarder, before the first Step: now is on that one's clock.
// The lists are those that the host knows, and held is the messages that it holds, as for a restart. It
// returns the final answers that are due at once, and the messages of which the state has attempts in
// flight.
func (f *Forwarder) Restore(now time.Duration, m *Memory, lists []TargetList, held []Message) (actions []Action, out map[string][]int) {
	f.now, f.actions, f.nextDue = now, nil, never
	f.startedAt, f.meanLatency, f.idleLoss, f.longCallLoss = m.startedAt, m.meanLatency, m.idleLoss, m.longCallLoss
	for name, class := range f.classes {
		if v, ok := m.latencyFactor[name]; ok {
			f.latencyFactor[class] = v
		}
	}
	for name, t := range m.tenants {
		if own := f.tenants[name]; own != nil {
			own.tokens, own.filled = min(t.tokens, 2*own.quota), t.filled
		}
	}
	for _, snapshot := range lists {
		f.applySnapshot(snapshot)
	}
	f.restoreRoutes(m)
	f.restoreCalls(m)
	f.seq = max(f.seq, m.seq)
	if err := f.rngSource.UnmarshalBinary([]byte(m.rngState)); err != nil { // a fresh seed will do
		f.rngSource.Seed(f.settings.Seed, f.settings.Seed)
	}
	slices.SortFunc(held, func(a, b Message) int {
		if x, y := m.messages[a.ID], m.messages[b.ID]; x != nil && y != nil {
			return cmp.Compare(x.seq, y.seq)
		}
		return 0 // the host has them in the order accepted
	})
	out = map[string][]int{}
	var unknown []Message
	for _, e := range held {
		if k := m.messages[e.ID]; k != nil && f.classes[e.Class] != nil && f.messages[e.ID] == nil {
			out[e.ID] = f.restoreMessage(e, k, m)
		} else {
			unknown = append(unknown, e)
		}
	}
	for _, k := range m.calls { // one whose messages are gone would keep its slot for ever
		if c := k.restored; c != nil && c.pending == 0 {
			f.endCall(c)
		}
	}
	f.restoreKeyQueues(m)
	f.restoreRoutes(m) // again: enqueue has updated the paces of routes
	for _, dm := range m.destinations {
		d := f.destinations[dm.id]
		d.seq, d.queuedSeq = dm.seq, dm.queuedSeq
	}
	for _, d := range f.destinations {
		f.reconsider(d)
		f.scheduleExpiry(d)
	}
	for _, e := range unknown {
		f.acceptMessage(e)
	}
	return f.actions, out
}

func (f *Forwarder) restoreRoutes(m *Memory) {
	for _, dm := range m.destinations {
		d := f.destination(dm.id)
		d.lastScheduled, d.accepted = dm.lastScheduled, dm.accepted
		d.connectedLimit, d.connectedLimitAt = dm.connectedLimit, dm.connectedLimitAt
		for i := range dm.routes {
			from := &dm.routes[i]
			at := slices.IndexFunc(d.routes, func(r *route) bool { return r.name == from.name })
			if at < 0 && from.name != "" {
				continue // it went with its endpoint
			}
			if at < 0 { // no endpoint is listed just now; its retry-after time still holds
				at = len(d.routes)
				d.routes = append(d.routes, f.newRoute("", d))
			}
			r := d.routes[at]
			from.dest, from.endpoints, from.inFlight, from.probesInFlight, from.reservedRetries = d, r.endpoints, r.inFlight, r.probesInFlight, r.reservedRetries
			from.overdueAt, from.overdueIndex, from.overdueStale = r.overdueAt, r.overdueIndex, r.overdueStale
			*r = from.route
			slices.SortStableFunc(r.endpoints, func(a, b *endpoint) int {
				return cmp.Compare(slices.Index(from.endpointOrder, a.id), slices.Index(from.endpointOrder, b.id))
			})
			if to := min(i, len(d.routes)-1); to != at { // in the order of before
				d.routes = slices.Insert(slices.Delete(d.routes, at, at+1), to, r)
			}
		}
	}
	for _, tm := range m.endpoints {
		ep := f.endpoints[tm.listing.ID]
		if ep == nil && slices.ContainsFunc(m.calls, func(k callMemory) bool { return k.endpointID == tm.listing.ID }) {
			ep = f.endpointFor(Target{ID: tm.listing.ID, Destination: tm.listing.Destination, Kind: tm.listing.Kind, Zone: tm.listing.Zone, State: Gone})
		}
		if ep == nil || ep.route.dest.id != tm.listing.Destination {
			continue
		}
		ep.virtualDue, ep.recentCalls, ep.failureShare, ep.consecutiveFailures, ep.avoidUntil, ep.slowStartUntil, ep.lastScheduled = tm.virtualDue, tm.recentCalls, tm.failureShare, tm.consecutiveFailures, tm.avoidUntil, tm.slowStartUntil, tm.lastScheduled
		ep.idleSince = tm.idleSince
	}
}

// restoreKeyQueues restores idle key queues in the order in which their idle times end.
func (f *Forwarder) restoreKeyQueues(m *Memory) {
	keys := slices.SortedFunc(maps.Keys(m.restingKeys), func(a, b string) int { return cmp.Compare(m.restingKeys[a], m.restingKeys[b]) })
	for _, key := range keys {
		queue := f.keyQueues[key]
		if queue == nil {
			queue = &keyQueue{key: key}
			f.keyQueues[key] = queue
			f.restingKeys = append(f.restingKeys, queue)
		}
		queue.idleUntil = m.restingKeys[key]
		if queue.first != nil && queue.first.group != nil { // its place depends on when it may go
			f.removeFromGroup(queue.first)
			f.addToGroup(queue.first)
		}
	}
}

func (f *Forwarder) restoreCalls(m *Memory) {
	for i := range m.calls {
		k := &m.calls[i]
		ep := f.endpoints[k.endpointID]
		if ep == nil {
			continue
		}
		r := ep.route
		f.seq++
		c := &call{route: r, endpoint: ep, sentAt: k.sentAt, isProbe: k.isProbe, cancelled: k.cancelled, lossCounted: k.lossCounted, shortTimeout: k.shortTimeout, idleStep: k.idleStep, suspicion: k.suspicion, seq: f.seq}
		k.restored = c
		if c.suspicion != notSuspect {
			f.suspectCalls[c.suspicion]++
		}
		r.inFlight = append(r.inFlight, c)
		if c.isProbe {
			r.probesInFlight++
		}
		r.dest.inFlight++
		ep.inFlight++
		f.inFlight.push(c)
		f.invalidateOverdue(r)
	}
}

// restoreMessage resumes one message, and returns the numbers of its attempts in flight.
func (f *Forwarder) restoreMessage(e Message, k *messageMemory, mem *Memory) (out []int) {
	m := f.newMessage(e, f.classes[e.Class])
	m.createdAt, m.deadline, m.value, m.runSentAt, m.notBefore, m.runZone = k.createdAt, k.deadline, k.value, k.runSentAt, k.notBefore, k.runZone
	m.seq, m.attempts, m.sends, m.mayHaveRun, m.recovered = k.seq, e.Attempts, k.sends, k.mayHaveRun, k.recovered
	for _, p := range k.inFlightAttempts {
		of := &mem.calls[p.call]
		c := of.restored
		if c == nil { // to an unknown endpoint
			m.mayHaveRun = true
			continue
		}
		a := &attempt{number: p.number, message: m, call: c}
		m.latest, m.earlier = a, m.latest
		at, _ := slices.BinarySearch(of.positions, p.position) // attempts of one call keep their order
		of.positions = slices.Insert(of.positions, at, p.position)
		c.attempts = slices.Insert(c.attempts, at, a)
		c.pending++
		m.inFlight++
		out = append(out, p.number)
	}
	if len(k.inFlightAttempts) == 0 && e.Open { // the host began one that the state does not know
		m.mayHaveRun = true
	}
	if k.retryGrant != "" && m.inFlight == 0 {
		at := slices.IndexFunc(m.dest.routes, func(r *route) bool { return "="+r.name == k.retryGrant })
		if m.retryGrant = f.newRoute(k.retryGrant[1:], m.dest); at >= 0 { // else the route went with its endpoint, and the grant did not
			m.retryGrant = m.dest.routes[at]
		}
		m.retryGrant.reservedRetries++
	}
	switch {
	case m.inFlight > 0:
		if k.hedgeDue && m.earlier == nil {
			m.hedgeAt = k.hedgeAt
			f.hedges.fix(m)
		}
	case m.mayHaveRun && m.class.Effect == Unsafe || f.attemptsExhausted(m) || f.now >= m.answerDeadline():
		f.answerMessage(m)
	default:
		f.enqueue(m)
	}
	return out
}
