package decide

import "time"

// sendQueued gives free slots to destinations with queued messages, in fair order.
func (f *Forwarder) sendQueued() {
	for f.stopsAt < never && f.blocked[untested].len() > 0 {
		f.reconsider(f.blocked[untested].min())
	}
	for f.parked.len() > 0 && f.parked.min().eligibleAt <= f.now {
		f.reconsider(f.parked.min())
	}
	for f.inFlight.size < f.settings.Slots {
		d := f.nextDestination()
		if d == nil {
			break
		}
		if sent, eligibleAt, bound := f.sendFrom(d); sent {
			d.lastScheduled = f.now
			f.invalidate(d)
		} else {
			f.parkDestination(d, eligibleAt, bound)
		}
	}
	if f.inFlight.size < f.settings.Slots && f.parked.len() > 0 { // else the end of a call frees a slot first
		f.waitUntil(f.parked.min().eligibleAt)
	}
}

// sendFrom makes one call to a destination, if a message may be sent there. If none may, it returns when one
// may unless something changes before, and which quota of suspect calls blocks the destination.
func (f *Forwarder) sendFrom(d *destination) (sent bool, eligibleAt time.Duration, bound suspicion) {
	usable, blocked := f.usableRoutes[:0], f.blockedRoutes[:0]
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
	f.usableRoutes, f.blockedRoutes = usable, blocked
	f.releaseDelayed(d)
	mode := byPriority
	switch {
	case halfOpen:
		mode = forProbe
	case allSuspect:
		mode = forUntested
	}
	m, earliest := f.chooseMessage(d, usable, mode, nil)
	if m == nil {
		blockedAt, bound := f.blockingQuota(d, blocked, mode)
		return false, min(eligibleAt, earliest, blockedAt), bound
	}
	ep := f.chooseEndpoint(m, usable)
	if n := f.idleConnections(ep); n > 0 && f.losesWhenIdle(idleStep(f.now-ep.idleSince[n-1])) {
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

// blockingQuota returns which quota of suspect calls blocks some routes, if a message could be sent to them,
// and when one becomes eligible.
func (f *Forwarder) blockingQuota(d *destination, blocked []*route,
	mode selectionMode) (time.Duration, suspicion) {
	at, quota := never, notSuspect
	for i, r := range blocked {
		m, earliest := f.chooseMessage(d, blocked[i:i+1], mode, nil)
		at = min(at, earliest)
		if q := r.suspicionBound(); m != nil && (quota == notSuspect || q < quota) {
			quota = q
		}
	}
	return at, quota
}

// selectionMode says how a message is chosen among those queued for a destination.
type selectionMode int

const (
	byPriority  selectionMode = iota
	forProbe                  // the least valuable first, since a probe risks its message
	forUntested               // idempotent messages first, then by priority
)

// chooseMessage picks the next message, for one endpoint or any, or returns when one becomes eligible.
func (f *Forwarder) chooseMessage(d *destination, usable []*route, mode selectionMode,
	only *endpoint) (best *message, eligibleAt time.Duration) {
	eligibleAt = never
	if len(usable) > 0 && d.delayed.len() > 0 {
		eligibleAt = d.delayed.min().earliest()
	}
	latency, highest := f.expectedLatency(d.routes), 0.0
	for _, g := range d.groups {
		if g.key.state != groupReady {
			continue
		}
		if earliest := f.earliestSend(g.root, usable, only); earliest > f.now {
			eligibleAt = min(eligibleAt, earliest)
			continue
		}
		m, s := g.highestScore(f, mode, latency)
		if best == nil || s > highest || s == highest && isOlder(m, best) {
			best, highest = m, s
		}
	}
	return best, eligibleAt
}

// earliestSend returns when a message may be sent to an endpoint of some routes.
func (f *Forwarder) earliestSend(m *message, usable []*route, only *endpoint) time.Duration {
	earliest := never
	for _, r := range usable {
		for _, ep := range r.endpoints {
			if only == nil || ep == only {
				earliest = min(earliest, f.sendEligibleAt(m, ep))
			}
		}
	}
	return earliest
}

// score ranks the messages of a destination, given its expected latency; the highest is sent first.
func (f *Forwarder) score(m *message, mode selectionMode, latency time.Duration) float64 {
	switch mode {
	case forProbe:
		s := -m.value*f.valueShare(m.class, f.now-m.createdAt) - 100*float64(m.class.Effect)
		if m.deadline-f.now < overdueAfter(latency) { // a timeout would prove nothing
			s -= 1e6
		}
		return s
	case forUntested:
		return f.priority(m, latency) - 1e12*float64(m.class.Effect)
	}
	return f.priority(m, latency)
}

// priority ranks messages by the value that they lose by a short delay. Those that lose none yet come next,
// by value and age; last come those that have none left to lose.
func (f *Forwarder) priority(m *message, latency time.Duration) float64 {
	age := f.now - m.createdAt
	if loss := m.value * f.valueLoss(m.class, age+latency); loss > 0 {
		return 1e6 * loss
	}
	if age < m.class.OnTime {
		return 1e3*m.value + age.Seconds()
	}
	return m.value + age.Seconds()/1e3
}

const valueLossSpan = time.Second

// valueLoss is the share of its value that a message loses from an age on within valueLossSpan.
func (f *Forwarder) valueLoss(class *Class, age time.Duration) float64 {
	if f.settings.Decay == Linear && class.OnTime > 0 &&
		age >= class.OnTime && age+valueLossSpan < class.Deadline {
		// Computed without the age: rounding errors must not rank the messages.
		return (1 - class.LateShare) * float64(valueLossSpan) / float64(class.Deadline-class.OnTime)
	}
	return f.valueShare(class, age) - f.valueShare(class, age+valueLossSpan)
}

// sendMessage makes one attempt at a message as part of a call.
func (f *Forwarder) sendMessage(m *message, c *call) {
	f.startAttempt(m, c)
	limit := f.attemptTimeout(m, c)
	c.shortTimeout = limit < overdueAfter(f.expectedLatency(m.dest.routes))
	if m.limits.HedgeDelay > 0 && f.settings.Hedging &&
		m.class.Effect == Idempotent && m.sends == 1 && !c.isProbe {
		m.hedgeAt = f.now + m.limits.HedgeDelay
		f.hedges.fix(m)
	}
	f.emit(Send{Message: m.id, Target: c.endpoint.id, Timeout: limit, StartWithin: m.sendWithin(f.now)})
}
