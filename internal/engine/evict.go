package engine

import "slices"

// A forwarder that knows only a part of the endpoint list evicts destinations that it does not need. The Forwarder expires its own state of them; the
// rest is dropped here, so that no data structure grows with the number of destinations that were ever listed.

// eviction is an event that drops destinations and removes their endpoints.
type eviction struct {
	List
	destinations []int
}

// Evict removes endpoints and drops their destinations: a message for one of them is rejected from then on, until a list contains it again. None of them
// may have a queued message (see Config.OnQueueChange). Evictions and lists take effect in the order in which they are reported.
func (l *Engine) Evict(v List, destinations []int) { l.post(eviction{v, destinations}) }

func (l *Engine) evict(v eviction) {
	l.applyList(v.List)
	for _, d := range v.destinations {
		if !l.fairShare.HasQueued(d) {
			delete(l.destinations, d)
		}
	}
	l.routeWaits.evicted = slices.DeleteFunc(append(l.routeWaits.evicted, v.destinations...), func(d int) bool {
		return l.destinations[d] || l.routeWaits.drop(d)
	})
}

// drop removes the retry-after state of a destination's shared route once the time has expired and no call in flight can report another. It reports
// whether the state is gone.
func (w *routeWaits) drop(destination int) bool {
	t := w.byDestination[destination]
	if t == nil {
		return true
	}
	if t.inFlight > 0 || t.remaining() > 0 {
		return false
	}
	delete(w.byDestination, destination)
	return true
}

// notifyQueueChange calls OnQueueChange when a message for a destination enters or leaves the queue.
func (l *Engine) notifyQueueChange(destination int, added bool) {
	if l.onQueueChange != nil {
		l.onQueueChange(destination, added)
	}
}
