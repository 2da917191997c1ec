package decide

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Restore resumes from the state of another Forwarder, before the first Step: now is on that one's clock.
// The lists are those that the host knows, and held is the messages that it holds, as for a restart. It
// returns the final answers that are due at once, and the messages of which the state has attempts in
// flight.
func (f *Forwarder) Restore(now time.Duration, m *SavedState, lists []TargetList, held []Message) (actions []Action, out map[string][]int) {
	f.now, f.actions, f.nextDue = now, nil, never
	f.restoreTotals(m)
	for _, snapshot := range lists {
		f.applySnapshot(snapshot)
	}
	f.restoreRoutes(m)
	f.restoreCalls(m)
	f.seq = max(f.seq, m.seq)
	if err := f.rngSource.UnmarshalBinary([]byte(m.rngState)); err != nil { // a fresh seed will do
		f.rngSource.Seed(f.settings.Seed, f.settings.Seed)
	}
	out, unknown := f.restoreMessages(held, m)
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

// restoreTotals restores what is known of all routes together, of classes and of tenants.
func (f *Forwarder) restoreTotals(m *SavedState) {
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
}

// restoreMessages resumes the messages that the state knows, and returns their attempts in flight and the other messages.
func (f *Forwarder) restoreMessages(held []Message, m *SavedState) (out map[string][]int, unknown []Message) {
	slices.SortFunc(held, func(a, b Message) int {
		if x, y := m.messages[a.ID], m.messages[b.ID]; x != nil && y != nil {
			return cmp.Compare(x.seq, y.seq)
		}
		return 0 // the host has them in the order accepted
	})
	out = map[string][]int{}
	for _, e := range held {
		if k := m.messages[e.ID]; k != nil && f.classes[e.Class] != nil && f.messages[e.ID] == nil {
			out[e.ID] = f.restoreMessage(e, k, m)
		} else {
			unknown = append(unknown, e)
		}
	}
	return out, unknown
}

// restoreRoutes restores destinations, routes and endpoints.
func (f *Forwarder) restoreRoutes(m *SavedState) {
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
	f.restoreEndpoints(m)
}

// restoreEndpoints restores the endpoints that are listed or have calls in flight.
func (f *Forwarder) restoreEndpoints(m *SavedState) {
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
func (f *Forwarder) restoreKeyQueues(m *SavedState) {
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

func (f *Forwarder) restoreCalls(m *SavedState) {
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
func (f *Forwarder) restoreMessage(e Message, k *messageMemory, mem *SavedState) (out []int) {
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
	if len(k.inFlightAttempts) == 0 && e.HasOpenAttempt { // the host began one that the state does not know
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
	case m.mayHaveRun && m.class.Effect == AtMostOnce || f.attemptsExhausted(m) || f.now >= m.answerDeadline():
		f.answerMessage(m)
	default:
		f.enqueue(m)
	}
	return out
}
