package engine

import (
	"sync/atomic"
	"time"

	"scaleroute/internal/decide"
)

// routeWait is the retry-after time that a route has sent to this forwarder. The Forwarder does not decide any call before that time; but a call
// that it has decided earlier may still be waiting for its connection, for a second and more, and must not begin within a retry-after time that
// arrived meanwhile. The time is set where the answer is read and not in the loop, which may be busy for longer than the rule permits.
type routeWait struct {
	until    atomic.Int64 // ns since clock
	clock    time.Time
	mayBegin func() bool // called before the first byte is written
	inFlight int         // calls that may still report a retry-after time; used by the loop alone
}

// endpointWait is the routeWait that an endpoint uses.
type endpointWait struct {
	*routeWait
	separate bool // the endpoint is a separate route
}

// extend applies a retry-after time that was received just now. It never shortens the present one. Any goroutine may call it.
func (t *routeWait) extend(wait time.Duration) {
	if wait <= 0 {
		return
	}
	until := int64(time.Since(t.clock) + wait)
	for old := t.until.Load(); old < until && !t.until.CompareAndSwap(old, until); old = t.until.Load() {
	}
}

// remaining returns the time that is left until the retry-after time.
func (t *routeWait) remaining() time.Duration {
	return max(0, time.Duration(t.until.Load())-time.Since(t.clock))
}

// routeWaits finds the routeWait of an endpoint by the same rule as the Forwarder: the endpoint's own if the endpoints of its kind are separate
// routes, else that of its destination.
type routeWaits struct {
	separateKinds map[string]bool // kinds whose endpoints are separate routes
	byDestination map[int]*routeWait
	byEndpoint    map[string]endpointWait
	unlisted      map[string]bool // endpoints in byEndpoint that are not listed now
	evicted       []int           // evicted destinations whose retry-after time has not expired
	clock         time.Time
	otherCheck    func() bool // further condition for a call to begin; nil for none
}

func (w *routeWaits) init(kinds []decide.Kind, clock time.Time, otherCheck func() bool) {
	w.separateKinds, w.byDestination, w.byEndpoint, w.clock, w.otherCheck = map[string]bool{}, map[int]*routeWait{}, map[string]endpointWait{}, clock, otherCheck
	w.unlisted = map[string]bool{}
	for _, k := range kinds {
		w.separateKinds[k.Name] = k.SeparateRoutes
	}
}

func (w *routeWaits) newWait() *routeWait {
	t := &routeWait{clock: w.clock}
	t.mayBegin = func() bool { return t.remaining() == 0 && (w.otherCheck == nil || w.otherCheck()) }
	return t
}

// update assigns each listed endpoint to its route. The retry-after time of an endpoint that leaves the list and returns stays in force.
func (w *routeWaits) update(targets []decide.Target, whole bool) {
	if whole {
		for id := range w.byEndpoint {
			w.unlisted[id] = true
		}
	}
	for i := range targets {
		w.updateOne(&targets[i])
	}
	for id := range w.unlisted {
		if p := w.byEndpoint[id]; !p.separate || p.inFlight == 0 && p.routeWait.remaining() == 0 { // otherwise its time has not expired, or a call may still extend it
			delete(w.byEndpoint, id)
			delete(w.unlisted, id)
		}
	}
}

func (w *routeWaits) updateOne(t *decide.Target) {
	p := w.byEndpoint[t.ID]
	if t.State == decide.Gone { // the entry of a removed endpoint may lack its destination and kind
		if p.routeWait != nil {
			w.unlisted[t.ID] = true
		}
		return
	}
	delete(w.unlisted, t.ID)
	switch {
	case !w.separateKinds[t.Kind]:
		if w.byDestination[t.Destination] == nil {
			w.byDestination[t.Destination] = w.newWait()
		}
		p.routeWait, p.separate = w.byDestination[t.Destination], false
	case !p.separate:
		p.routeWait, p.separate = w.newWait(), true
	}
	w.byEndpoint[t.ID] = p
}

// forEndpoint returns the routeWait for calls to an endpoint, or nil if the endpoint is unknown.
func (w *routeWaits) forEndpoint(target string) *routeWait { return w.byEndpoint[target].routeWait }

// callBegan and callCompleted count the calls that may still receive a retry-after time.
func (t *routeWait) callBegan() {
	if t != nil {
		t.inFlight++
	}
}

func (t *routeWait) callCompleted(o *decide.Outcome) {
	if t == nil {
		return
	}
	if t.inFlight--; o.Result != decide.NotSent { // with NotSent, Wait is the rest of an earlier retry-after time
		t.extend(o.RetryAfter)
	}
}

// addRemaining adds the remaining time to the outcome of a call that was not made, so that the Forwarder knows it in its next Step.
func (t *routeWait) addRemaining(o *decide.Outcome) {
	if t != nil && o.Result == decide.NotSent {
		o.RetryAfter = max(o.RetryAfter, t.remaining())
	}
}

// beginBefore returns a check that permits a call to begin before the limit, if begin is nil or permits it too.
func beginBefore(limit time.Time, begin func() bool) func() bool {
	return func() bool { return time.Now().Before(limit) && (begin == nil || begin()) }
}
