package engine

import "slices"

// A forwarder that knows only a part of the endpoint list evicts destinations that it does not need. What the module has learnt of them it forgets in its own time;
// the rest is dropped here, so that nothing grows with the number of destinations that were ever named.

// evicted has destinations dropped, and their endpoints withdrawn.
type evicted struct {
	List
	destinations []int
}

// Evict withdraws endpoints and drops their destinations: a message for one of them is rejected from then on, until a list names it again. None of them may
// have a message (see Config.Holding). Evictions bind in order with lists.
func (l *Engine) Evict(v List, destinations []int) { l.tell(evicted{v, destinations}) }

func (l *Engine) evict(v evicted) {
	l.list(v.List)
	for _, d := range v.destinations {
		if !l.shares.HasQueued(d) {
			delete(l.dests, d)
		}
	}
	l.waits.evicted = slices.DeleteFunc(append(l.waits.evicted, v.destinations...), func(d int) bool {
		return l.dests[d] || l.waits.drop(d)
	})
}

// drop forgets the wait that a destination's route was told, once it is over and no call can tell one any more. It tells whether that is so.
func (w *waits) drop(destination int) bool {
	t := w.shared[destination]
	if t == nil {
		return true
	}
	if t.out > 0 || t.left() > 0 {
		return false
	}
	delete(w.shared, destination)
	return true
}

// holding tells whoever asked that the engine holds one message more or less for a destination.
func (l *Engine) holding(destination int, begins bool) {
	if l.holds != nil {
		l.holds(destination, begins)
	}
}
