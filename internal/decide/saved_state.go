package decide

import (
	"fmt"
	"time"
)

// The state of a Forwarder, for a hot restart into one with the same settings: routes and endpoints with their
// retry-after times, outages, retry budgets and paces, the calls in flight, and what is known of each message.
// Times are on the clock of the Forwarder that saved the state; the host continues that clock for the other
// one. No decision is made here.

// stateFormat is the version of the encoding. It is raised with every change of the encoding.
const stateFormat = 4

// SavedState is the decoded result of Forwarder.Save.
type SavedState struct {
	meanLatency, startedAt time.Duration
	seq                    uint64
	rngState               string // state of the random number generator
	lossByIdleTime         [idleSteps]decayingMean
	longCallLoss           decayingMean
	latencyFactor          map[string]float64
	tenants                map[string]tenant
	destinations           []savedDestination
	endpoints              []savedEndpoint
	calls                  []savedCall
	messages               map[string]*savedMessage
	pausedKeys             map[string]time.Duration // pausedUntil, by key
}

type savedDestination struct {
	id               int
	seq, queuedSeq   uint64
	lastScheduled    time.Duration
	accepted         decayingCount
	connectedLimit   float64
	connectedLimitAt time.Duration
	routes           []savedRoute
}

// savedRoute is a route with the IDs of its endpoints in their order.
type savedRoute struct {
	route
	endpointOrder []string
}

type savedEndpoint struct {
	listing Target
	endpoint
}

type savedCall struct {
	endpointID string
	call
	restored  *call // the call that Restore has created for it
	positions []int // saved positions of the attempts restored so far, ascending
}

type savedMessage struct {
	message
	retryGrant       string // name of the route after "=", or after "-" if the route is gone; empty for none
	hedgeDue         bool   // a hedged request is due
	inFlightAttempts []savedAttempt
}

// savedAttempt is an attempt in flight: its number, the index of its call and its position in the call.
type savedAttempt struct{ number, call, position int }

// DecodeState decodes a result of Forwarder.Save.
func DecodeState(b []byte) (*SavedState, error) {
	m := &SavedState{}
	c := &stateCodec{buf: b, decoding: true}
	if m.serialize(c); c.err == nil && len(c.buf) > 0 {
		c.fail("unexpected data after the state")
	}
	return m, c.err
}

func (m *SavedState) serialize(c *stateCodec) {
	format := stateFormat
	if c.ints(&format); c.err == nil && format != stateFormat {
		c.fail(fmt.Sprintf("format %d is not supported, only %d", format, stateFormat))
	}
	c.times(&m.meanLatency, &m.startedAt)
	c.uint(&m.seq)
	c.text(&m.rngState)
	c.counts(&m.longCallLoss.decayingCount)
	for i := range m.lossByIdleTime {
		c.counts(&m.lossByIdleTime[i].decayingCount)
	}
	serializeMap(c, &m.latencyFactor, func(v *float64) { c.floats(v) })
	serializeMap(c, &m.tenants, func(t *tenant) {
		c.floats(&t.tokens)
		c.times(&t.refilledAt)
	})
	serializeList(c, &m.destinations, func(d *savedDestination) { d.serialize(c) })
	serializeList(c, &m.endpoints, func(t *savedEndpoint) { t.serialize(c) })
	serializeList(c, &m.calls, func(k *savedCall) { k.serialize(c) })
	serializeMap(c, &m.messages, func(v **savedMessage) {
		if *v == nil {
			*v = &savedMessage{}
		}
		(*v).serialize(c)
		for _, p := range (*v).inFlightAttempts {
			if p.call < 0 || p.call >= len(m.calls) {
				c.fail("call index of an attempt out of range")
			}
		}
	})
	serializeMap(c, &m.pausedKeys, func(at *time.Duration) { c.times(at) })
}

func (d *savedDestination) serialize(c *stateCodec) {
	c.ints(&d.id)
	c.uint(&d.seq)
	c.uint(&d.queuedSeq)
	c.times(&d.lastScheduled)
	c.counts(&d.accepted)
	c.floats(&d.connectedLimit)
	c.times(&d.connectedLimitAt)
	serializeList(c, &d.routes, func(r *savedRoute) { r.serialize(c) })
}

func (r *savedRoute) serialize(c *stateCodec) {
	serializeList(c, &r.endpointOrder, c.text)
	c.text(&r.name)
	c.times(&r.lastUsedAt, &r.retryAfter, &r.allowanceSpentUntil, &r.intervalStart, &r.meanLatency, &r.lastSuccessAt, &r.lastSuccessSentAt, &r.closedAt, &r.failingSince, &r.lastProbeAt, &r.probeInterval, &r.slowStartAt,
		&r.tokensAt, &r.nextTokenAt, &r.nextCutAt, &r.allowanceAt)
	c.ints(&r.outcomes, &r.failures, &r.overloads, &r.successes, &r.totalFirstAttempts, &r.totalAttempts, &r.cancelledCalls, &r.successfulProbes)
	c.floats(&r.virtualTime, &r.retryRatio, &r.consecutiveFailures, &r.outageEvidence, &r.probeJitter, &r.adaptiveRate, &r.currentRate, &r.tokens, &r.serverLimit, &r.allowanceLeft, &r.totalDemand)
	c.bools(&r.weighted, &r.circuitOpen, &r.needsSlowStart, &r.slowStart, &r.paceLimited)
	c.counts(&r.firstAttempts, &r.retries, &r.recentSuccesses, &r.recentCalls, &r.unclearShare.decayingCount)
	c.text(&r.openReason)
	serializeInt(c, &r.suspicion)
	if r.suspicion < 0 || r.suspicion >= suspicionKinds {
		c.fail("unknown suspicion of a route")
	}
}

func (t *savedEndpoint) serialize(c *stateCodec) {
	c.text(&t.listing.ID)
	c.ints(&t.listing.Destination)
	c.text(&t.listing.Kind)
	c.text(&t.listing.Zone)
	c.floats(&t.virtualDue)
	c.counts(&t.recentCalls, &t.failureShare.decayingCount)
	c.ints(&t.consecutiveFailures)
	c.times(&t.avoidUntil, &t.slowStartUntil, &t.lastScheduled)
	serializeList(c, &t.idleSince, func(at *time.Duration) { c.times(at) })
}

func (k *savedCall) serialize(c *stateCodec) {
	c.text(&k.endpointID)
	c.times(&k.sentAt)
	c.bools(&k.isProbe, &k.cancelled, &k.lossCounted, &k.shortTimeout)
	c.ints(&k.idleStep)
	serializeInt(c, &k.suspicion)
	if k.suspicion < 0 || k.suspicion >= suspicionKinds || k.idleStep < 0 || k.idleStep >= idleSteps {
		c.fail("unknown suspicion or idle time of a call")
	}
}

func (m *savedMessage) serialize(c *stateCodec) {
	c.text(&m.id)
	c.uint(&m.seq)
	c.times(&m.createdAt, &m.deadline, &m.runSentAt, &m.notBefore, &m.hedgeAt)
	c.floats(&m.value)
	c.ints(&m.attempts, &m.sends)
	c.bools(&m.mayHaveRun, &m.hedgeDue, &m.recovered)
	c.text(&m.runZone)
	c.text(&m.retryGrant)
	n := c.length(len(m.inFlightAttempts))
	if c.decoding {
		m.inFlightAttempts = make([]savedAttempt, n)
	}
	for i := range m.inFlightAttempts {
		c.ints(&m.inFlightAttempts[i].number, &m.inFlightAttempts[i].call, &m.inFlightAttempts[i].position)
	}
}
