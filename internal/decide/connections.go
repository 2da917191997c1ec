package decide

import (
	"slices"
	"time"
)

// idleStep returns the bucket of an idle time. Each bucket is twice as wide as the one before.
func idleStep(idle time.Duration) (step int) {
	for limit := firstIdleStep; step < idleSteps-1 && idle >= limit; limit *= 2 {
		step++
	}
	return step
}

// idleConnections returns how many connections to an endpoint are taken to be open and idle.
func (f *Forwarder) idleConnections(ep *endpoint) int {
	n := 0
	for n < len(ep.idleSince) && f.now-ep.idleSince[n] >= f.settings.ConnIdle {
		n++
	}
	ep.idleSince = slices.Delete(ep.idleSince, 0, n)
	return len(ep.idleSince)
}

// closeIdleConnections has the host close the idle connections to an endpoint.
func (f *Forwarder) closeIdleConnections(ep *endpoint) {
	f.emit(CloseIdle{Target: ep.id})
	ep.idleSince = nil
}

// countLoss counts a call that was reset or is overdue as lost, in the bucket of its connection's idle time.
func (f *Forwarder) countLoss(c *call) {
	if !c.lossCounted {
		c.lossCounted = true
		f.lossByIdleTime[c.idleStep].record(f.now, forgetAfter, idleLossWeight, 1)
	}
}

// idleConnectionPrice returns the price of keeping an idle connection at an endpoint.
func (f *Forwarder) idleConnectionPrice() float64 {
	return idleConnectionCost * min(1, float64(max(1, f.settings.Forwarders))/smallTableSize)
}
