package decide

import (
	"fmt"
	"time"
)

// The state of a Forwarder, for the hot restart into one of the same settings: routes and endpoints with
// their retry-after times, outages, retry budgets and paces, the calls in flight, and what is known of each
// message. Times are on the clock of the Forwarder that saved it; the host continues that clock for the
// other one. Nothing here decides anything.

// memoryFormat changes whenever what is written does.
const memoryFormat = 4

// SavedState is the state decoded from a Save.
type SavedState struct {
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

// routeMemory is a route as it is serialized, with the names of its endpoints in their order.
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

// DecodeState decodes what Save returned.
func DecodeState(b []byte) (*SavedState, error) {
	m := &SavedState{}
	c := &stateCodec{buf: b, reading: true}
	if m.serialize(c); c.err == nil && len(c.buf) > 0 {
		c.fail("more than there should be")
	}
	return m, c.err
}

func (m *SavedState) serialize(c *stateCodec) {
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
	serializeMap(c, &m.latencyFactor, func(v *float64) { c.floats(v) })
	serializeMap(c, &m.tenants, func(t *tenant) {
		c.floats(&t.tokens)
		c.times(&t.filled)
	})
	serializeList(c, &m.destinations, func(d *destinationMemory) { d.serialize(c) })
	serializeList(c, &m.endpoints, func(t *endpointMemory) { t.serialize(c) })
	serializeList(c, &m.calls, func(k *callMemory) { k.serialize(c) })
	serializeMap(c, &m.messages, func(v **messageMemory) {
		if *v == nil {
			*v = &messageMemory{}
		}
		(*v).serialize(c)
		for _, p := range (*v).inFlightAttempts {
			if p.call < 0 || p.call >= len(m.calls) {
				c.fail("an attempt of no call")
			}
		}
	})
	serializeMap(c, &m.restingKeys, func(at *time.Duration) { c.times(at) })
}

func (d *destinationMemory) serialize(c *stateCodec) {
	c.ints(&d.id)
	c.uint(&d.seq)
	c.uint(&d.queuedSeq)
	c.times(&d.lastScheduled)
	c.counts(&d.accepted)
	c.floats(&d.connectedLimit)
	c.times(&d.connectedLimitAt)
	serializeList(c, &d.routes, func(r *routeMemory) { r.serialize(c) })
}

func (r *routeMemory) serialize(c *stateCodec) {
	serializeList(c, &r.endpointOrder, c.text)
	c.text(&r.name)
	c.times(&r.lastUsedAt, &r.retryAfter, &r.allowanceSpentUntil, &r.intervalStart, &r.meanLatency, &r.lastSuccessAt, &r.lastSuccessSentAt, &r.closedAt, &r.failingSince, &r.lastProbeAt, &r.probeInterval, &r.slowStartAt,
		&r.tokensAt, &r.nextTokenAt, &r.nextCutAt, &r.allowanceAt)
	c.ints(&r.outcomes, &r.failures, &r.rejections, &r.successes, &r.totalFirstAttempts, &r.totalAttempts, &r.cancelledCalls, &r.successfulProbes)
	c.floats(&r.virtualTime, &r.retryRatio, &r.consecutiveFailures, &r.outageEvidence, &r.probeJitter, &r.adaptiveRate, &r.currentRate, &r.tokens, &r.serverLimit, &r.allowanceLeft, &r.totalDemand)
	c.bools(&r.weighted, &r.circuitOpen, &r.needsSlowStart, &r.slowStart, &r.paceLimited)
	c.counts(&r.firstAttempts, &r.retries, &r.recentSuccesses, &r.recentCalls, &r.unclearShare.decayingCount)
	c.text(&r.openReason)
	serializeInt(c, &r.suspicion)
	if r.suspicion < 0 || r.suspicion >= suspicionKinds {
		c.fail("a doubt of no kind")
	}
}

func (t *endpointMemory) serialize(c *stateCodec) {
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

func (k *callMemory) serialize(c *stateCodec) {
	c.text(&k.endpointID)
	c.times(&k.sentAt)
	c.bools(&k.isProbe, &k.cancelled, &k.lossCounted, &k.shortTimeout)
	c.ints(&k.idleStep)
	serializeInt(c, &k.suspicion)
	if k.suspicion < 0 || k.suspicion >= suspicionKinds || k.idleStep < 0 || k.idleStep >= idleSteps {
		c.fail("a call of no kind")
	}
}

func (m *messageMemory) serialize(c *stateCodec) {
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
