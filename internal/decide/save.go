package decide

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Save returns the encoded state of the Forwarder, for DecodeState. Calls in flight without an open message are not
// part of it, since the host has cancelled them.
func (f *Forwarder) Save() []byte {
	m := &SavedState{meanLatency: f.meanLatency, startedAt: f.startedAt, seq: f.seq, lossByIdleTime: f.lossByIdleTime, longCallLoss: f.longCallLoss,
		latencyFactor: map[string]float64{}, tenants: map[string]tenant{}, messages: map[string]*savedMessage{},
		pausedKeys: map[string]time.Duration{}}
	for class, v := range f.latencyFactor {
		m.latencyFactor[class.Name] = v
	}
	for name, t := range f.tenants {
		m.tenants[name] = *t
	}
	f.saveDestinations(m)
	if state, err := f.rngSource.MarshalBinary(); err == nil {
		m.rngState = string(state)
	}
	for key, queue := range f.keyQueues {
		if f.now < queue.pausedUntil {
			m.pausedKeys[key] = queue.pausedUntil
		}
	}
	f.saveMessages(m, f.saveCalls(m))
	c := &stateCodec{}
	m.serialize(c)
	return c.buf
}

// saveDestinations saves the destinations, routes and endpoints.
func (f *Forwarder) saveDestinations(m *SavedState) {
	bySeq := func(a, b *destination) int { return cmp.Compare(a.seq, b.seq) }
	for _, d := range slices.SortedFunc(maps.Values(f.destinations), bySeq) {
		dm := savedDestination{id: d.id, seq: d.seq, queuedSeq: d.queuedSeq, lastScheduled: d.lastScheduled, accepted: d.accepted,
			connectedLimit: d.connectedLimit, connectedLimitAt: d.connectedLimitAt}
		for _, r := range d.routes {
			f.closeIntervals(r)
			rm := savedRoute{route: *r}
			for _, ep := range r.endpoints {
				rm.endpointOrder = append(rm.endpointOrder, ep.id)
			}
			dm.routes = append(dm.routes, rm)
		}
		m.destinations = append(m.destinations, dm)
	}
	for _, id := range slices.Sorted(maps.Keys(f.endpoints)) {
		ep := f.endpoints[id]
		listing := Target{ID: ep.id, Destination: ep.route.dest.id, Kind: ep.kind.Name, Zone: ep.zone}
		m.endpoints = append(m.endpoints, savedEndpoint{listing, *ep})
	}
}

// saveCalls saves the calls in flight that have an open message, and returns their indexes in SavedState.calls.
func (f *Forwarder) saveCalls(m *SavedState) map[*call]int {
	isOpen := func(a *attempt) bool { return !a.message.completed && a.inFlight() }
	numbers := map[*call]int{}
	for c := f.inFlight.first; c != nil; c = c.next {
		if slices.ContainsFunc(c.attempts, isOpen) {
			numbers[c] = len(m.calls)
			m.calls = append(m.calls, savedCall{endpointID: c.endpoint.id, call: *c})
		}
	}
	return numbers
}

// saveMessages saves the open messages, given the indexes of the calls.
func (f *Forwarder) saveMessages(m *SavedState, numbers map[*call]int) {
	for id, msg := range f.messages {
		if msg.completed {
			continue
		}
		mm := &savedMessage{message: *msg, hedgeDue: msg.hedgeIndex > 0}
		if msg.retryGrant != nil {
			mm.retryGrant = "=" + msg.retryGrant.name
			if !slices.Contains(msg.dest.routes, msg.retryGrant) { // the route went with its endpoint; there may be a new one of that name
				mm.retryGrant = "-" + msg.retryGrant.name
			}
		}
		for _, a := range []*attempt{msg.earlier, msg.latest} {
			if a != nil {
				at := slices.Index(a.call.attempts, a)
				mm.inFlightAttempts = append(mm.inFlightAttempts, savedAttempt{a.number, numbers[a.call], at})
			}
		}
		m.messages[id] = mm
	}
}

// inFlight reports whether an attempt has no outcome yet.
func (a *attempt) inFlight() bool { return a.message.latest == a || a.message.earlier == a }
