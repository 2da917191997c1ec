package engine

import (
	"sync/atomic"
	"time"

	"scaleroute/internal/decide"
)

// told is until when a route has told this forwarder to wait. The module holds what it has not decided yet; a call that it has decided may
// still be waiting for its connection, for a second and more, and must not begin within a wait that was told meanwhile. It is set where the
// wait is read, not when the loop gets to it: the loop may be busy for longer than the rule lets pass.
type told struct {
	until atomic.Int64 // ns on the clock
	clock time.Time
	begin func() bool // asked before a first byte is written
	out   int         // calls that may still tell it; the loop's alone
}

// place is what a target asks and tells.
type place struct {
	*told
	own bool // its route is its own
}

// tell takes a wait that was told just now. It never ends one. Any goroutine may call it.
func (t *told) tell(wait time.Duration) {
	if wait <= 0 {
		return
	}
	until := int64(time.Since(t.clock) + wait)
	for old := t.until.Load(); old < until && !t.until.CompareAndSwap(old, until); old = t.until.Load() {
	}
}

// left is how much of the wait there is still.
func (t *told) left() time.Duration {
	return max(0, time.Duration(t.until.Load())-time.Since(t.clock))
}

// waits finds what a target's route was told: as the module has it, a target's own where its kind has routes apart, else that of its destination.
type waits struct {
	apart        map[string]bool // kinds
	shared       map[int]*told
	byTarget     map[string]place
	left         map[string]bool // those of them that are not listed now
	evicted      []int           // destinations that were, whose wait is not over
	clock        time.Time
	mayBeginElse func() bool // nil: yes
}

func (w *waits) init(kinds []decide.Kind, clock time.Time, otherwise func() bool) {
	w.apart, w.shared, w.byTarget, w.clock, w.mayBeginElse = map[string]bool{}, map[int]*told{}, map[string]place{}, clock, otherwise
	w.left = map[string]bool{}
	for _, k := range kinds {
		w.apart[k.Name] = k.SeparateRoutes
	}
}

func (w *waits) fresh() *told {
	t := &told{clock: w.clock}
	t.begin = func() bool { return t.left() == 0 && (w.mayBeginElse == nil || w.mayBeginElse()) }
	return t
}

// list notes whose route each target belongs to. The wait of a target that leaves the list and comes back is not over for that.
func (w *waits) list(targets []decide.Target, whole bool) {
	if whole {
		for id := range w.byTarget {
			w.left[id] = true
		}
	}
	for i := range targets {
		w.listed(&targets[i])
	}
	for id := range w.left {
		if p := w.byTarget[id]; !p.own || p.out == 0 && p.told.left() == 0 { // else it runs, or may still be told
			delete(w.byTarget, id)
			delete(w.left, id)
		}
	}
}

func (w *waits) listed(t *decide.Target) {
	p := w.byTarget[t.ID]
	if t.State == decide.Gone { // such an entry need not say where that was
		if p.told != nil {
			w.left[t.ID] = true
		}
		return
	}
	delete(w.left, t.ID)
	switch {
	case !w.apart[t.Kind]:
		if w.shared[t.Destination] == nil {
			w.shared[t.Destination] = w.fresh()
		}
		p.told, p.own = w.shared[t.Destination], false
	case !p.own:
		p.told, p.own = w.fresh(), true
	}
	w.byTarget[t.ID] = p
}

// of is what a call to a target asks and tells; nil if none of that name is known.
func (w *waits) of(target string) *told { return w.byTarget[target].told }

// began and over count the calls that may still be told to wait.
func (t *told) began() {
	if t != nil {
		t.out++
	}
}

func (t *told) over(o *decide.Outcome) {
	if t == nil {
		return
	}
	if t.out--; o.Result != decide.NotSent { // with that, it is what is left of what was told before
		t.tell(o.RetryAfter)
	}
}

// rest adds to the outcome of a call that was not made what is left of a wait, so that the module knows of it before its next Step.
func (t *told) rest(o *decide.Outcome) {
	if t != nil && o.Result == decide.NotSent {
		o.RetryAfter = max(o.RetryAfter, t.left())
	}
}

// beginsBy has a call begin by a time, and only if begin, where that is not nil, says so too.
func beginsBy(limit time.Time, begin func() bool) func() bool {
	return func() bool { return time.Now().Before(limit) && (begin == nil || begin()) }
}
