package decide

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Restore resumes from the state of another Forwarder, before the first Step; now is on that one's clock. The lists
// are those that the host knows, and open is its open messages, as for a restart. Restore returns the actions that
// are due at once, and for each message that the state knows the numbers of its attempts in flight.
func (f *Forwarder) Restore(now time.Duration, m *SavedState, lists []TargetList, open []Message) (actions []Action, inFlight map[string][]int) {
	f.now, f.actions, f.nextWakeAt = now, nil, never
	f.restoreTotals(m)
	for _, snapshot := range lists {
		f.applySnapshot(snapshot)
	}
	f.restoreRoutes(m)
	f.restoreCalls(m)
	f.seq = max(f.seq, m.seq)
	if err := f.rngSource.UnmarshalBinary([]byte(m.rngState)); err != nil { // the random numbers may start from the seed again
		f.rngSource.Seed(f.settings.Seed, f.settings.Seed)
	}
	inFlight, unknown := f.restoreMessages(open, m)
	for _, k := range m.calls { // one whose messages are all gone would never free its slot
		if c := k.restored; c != nil && c.pending == 0 {
			f.endCall(c)
		}
	}
	f.restoreKeyQueues(m)
	f.restoreRoutes(m) // again, since enqueue has updated the paces of routes
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
	return f.actions, inFlight
}

// restoreTotals restores the state of all routes together, of classes and of tenants.
func (f *Forwarder) restoreTotals(m *SavedState) {
	f.startedAt, f.meanLatency, f.lossByIdleTime, f.longCallLoss = m.startedAt, m.meanLatency, m.lossByIdleTime, m.longCallLoss
	for name, class := range f.classes {
		if v, ok := m.latencyFactor[name]; ok {
			f.latencyFactor[class] = v
		}
	}
	for name, t := range m.tenants {
		if own := f.tenants[name]; own != nil {
			own.tokens, own.refilledAt = min(t.tokens, 2*own.quota), t.refilledAt
		}
	}
}

// restoreMessages resumes the messages that the state knows. It returns their attempts in flight and the other messages.
func (f *Forwarder) restoreMessages(open []Message, m *SavedState) (inFlight map[string][]int, unknown []Message) {
	slices.SortFunc(open, func(a, b Message) int {
		if x, y := m.messages[a.ID], m.messages[b.ID]; x != nil && y != nil {
			return cmp.Compare(x.seq, y.seq)
		}
		return 0 // the host passes the others in the order accepted
	})
	inFlight = map[string][]int{}
	for _, e := range open {
		if k := m.messages[e.ID]; k != nil && f.classes[e.Class] != nil && f.messages[e.ID] == nil {
			inFlight[e.ID] = f.restoreMessage(e, k, m)
		} else {
			unknown = append(unknown, e)
		}
	}
	return inFlight, unknown
}

// restoreRoutes restores the destinations, routes and endpoints.
func (f *Forwarder) restoreRoutes(m *SavedState) {
	for _, dm := range m.destinations {
		d := f.destination(dm.id)
		d.lastScheduled, d.accepted = dm.lastScheduled, dm.accepted
		d.connectedLimit, d.connectedLimitAt = dm.connectedLimit, dm.connectedLimitAt
		for i := range dm.routes {
			saved := &dm.routes[i]
			at := slices.IndexFunc(d.routes, func(r *route) bool { return r.name == saved.name })
			if at < 0 && saved.name != "" {
				continue // the route went with its endpoint
			}
			if at < 0 { // no endpoint is listed now, but the retry-after time still holds
				at = len(d.routes)
				d.routes = append(d.routes, f.newRoute("", d))
			}
			r := d.routes[at]
			saved.dest, saved.endpoints, saved.inFlight, saved.probesInFlight, saved.reservedRetries = d, r.endpoints, r.inFlight, r.probesInFlight, r.reservedRetries
			saved.overdueAt, saved.overdueIndex, saved.overdueStale = r.overdueAt, r.overdueIndex, r.overdueStale
			*r = saved.route
			slices.SortStableFunc(r.endpoints, func(a, b *endpoint) int {
				return cmp.Compare(slices.Index(saved.endpointOrder, a.id), slices.Index(saved.endpointOrder, b.id))
			})
			if to := min(i, len(d.routes)-1); to != at { // in the saved order
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
		if ep == nil && slices.ContainsFunc(m.calls, func(k savedCall) bool { return k.endpointID == tm.listing.ID }) {
			ep = f.endpointFor(Target{ID: tm.listing.ID, Destination: tm.listing.Destination, Kind: tm.listing.Kind, Zone: tm.listing.Zone, State: Gone})
		}
		if ep == nil || ep.route.dest.id != tm.listing.Destination {
			continue
		}
		ep.virtualDue, ep.recentCalls, ep.failureShare, ep.consecutiveFailures, ep.avoidUntil, ep.slowStartUntil, ep.lastScheduled = tm.virtualDue, tm.recentCalls, tm.failureShare, tm.consecutiveFailures, tm.avoidUntil, tm.slowStartUntil, tm.lastScheduled
		ep.idleSince = tm.idleSince
	}
}

// restoreKeyQueues restores the paused key queues in the order in which their pauses end.
func (f *Forwarder) restoreKeyQueues(m *SavedState) {
	keys := slices.SortedFunc(maps.Keys(m.pausedKeys), func(a, b string) int { return cmp.Compare(m.pausedKeys[a], m.pausedKeys[b]) })
	for _, key := range keys {
		queue := f.keyQueues[key]
		if queue == nil {
			queue = &keyQueue{key: key}
			f.keyQueues[key] = queue
			f.pausedKeyQueues = append(f.pausedKeyQueues, queue)
		}
		queue.pausedUntil = m.pausedKeys[key]
		if queue.first != nil && queue.first.group != nil { // its group depends on its earliest time
			f.removeFromGroup(queue.first)
			f.addToGroup(queue.first)
		}
	}
}

func (f *Forwarder) restoreCalls(m *SavedState) {
	for i := range m.calls {
		saved := &m.calls[i]
		ep := f.endpoints[saved.endpointID]
		if ep == nil {
			continue
		}
		r := ep.route
		f.seq++
		c := &call{route: r, endpoint: ep, sentAt: saved.sentAt, isProbe: saved.isProbe, cancelled: saved.cancelled, lossCounted: saved.lossCounted, shortTimeout: saved.shortTimeout, idleStep: saved.idleStep, suspicion: saved.suspicion, seq: f.seq}
		saved.restored = c
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
func (f *Forwarder) restoreMessage(e Message, saved *savedMessage, state *SavedState) (inFlight []int) {
	m := f.newMessage(e, f.classes[e.Class])
	m.createdAt, m.deadline, m.value, m.runSentAt, m.notBefore, m.runZone = saved.createdAt, saved.deadline, saved.value, saved.runSentAt, saved.notBefore, saved.runZone
	m.seq, m.attempts, m.sends, m.mayHaveRun, m.recovered = saved.seq, e.Attempts, saved.sends, saved.mayHaveRun, saved.recovered
	for _, p := range saved.inFlightAttempts {
		savedCall := &state.calls[p.call]
		c := savedCall.restored
		if c == nil { // the call went to an unknown endpoint
			m.mayHaveRun = true
			continue
		}
		a := &attempt{number: p.number, message: m, call: c}
		m.latest, m.earlier = a, m.latest
		at, _ := slices.BinarySearch(savedCall.positions, p.position) // the attempts of a call keep their order
		savedCall.positions = slices.Insert(savedCall.positions, at, p.position)
		c.attempts = slices.Insert(c.attempts, at, a)
		c.pending++
		m.inFlight++
		inFlight = append(inFlight, p.number)
	}
	if len(saved.inFlightAttempts) == 0 && e.HasOpenAttempt { // the host began an attempt that the state does not know
		m.mayHaveRun = true
	}
	if saved.retryGrant != "" && m.inFlight == 0 {
		at := slices.IndexFunc(m.dest.routes, func(r *route) bool { return "="+r.name == saved.retryGrant })
		if m.retryGrant = f.newRoute(saved.retryGrant[1:], m.dest); at >= 0 { // else the route went with its endpoint, but the grant still holds
			m.retryGrant = m.dest.routes[at]
		}
		m.retryGrant.reservedRetries++
	}
	switch {
	case m.inFlight > 0:
		if saved.hedgeDue && m.earlier == nil {
			m.hedgeAt = saved.hedgeAt
			f.hedges.fix(m)
		}
	case m.mayHaveRun && m.class.Effect == AtMostOnce || f.attemptsExhausted(m) || f.now >= m.answerDeadline():
		f.answerMessage(m)
	default:
		f.enqueue(m)
	}
	return inFlight
}
