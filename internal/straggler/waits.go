package straggler

import (
	"cmp"
	"slices"
	"time"
)

// RetryAfter is one that a target told a member, and what was left of it when the member told others. Clocks play no part: what is on its way for a second makes it end a second later for who hears
// it, and never sooner.
type RetryAfter struct {
	Target    string        `json:"target"`
	Remaining time.Duration `json:"left_ns"`
}

// Bounds of waits. One that is shorter is over before most others hear of it.
const (
	leastWait              = time.Second
	mostWait               = 30 * time.Second
	MaxReportedRetryAfters = 4 // that a member tells at once, the longest
	mostHeld               = 4096
	mostTold               = 4 * mostHeld
)

// teller is a member that tells of a target.
type teller struct{ member, target string }

// waits is what this member was told by targets, and what by others.
type waits struct {
	own    map[string]time.Duration // until then
	held   map[string]time.Duration // the same, by what others tell
	rested map[teller]time.Duration // until then nothing more is taken from it
	next   []string                 // held anew
}

// SetRetryAfters tells of the waits that targets have told this member itself. What others tell it is not passed on by it: a wait would never end.
func (j *Evaluator) SetRetryAfters(now time.Duration, list []RetryAfter) {
	w := &j.waits
	for target, until := range w.own {
		if until <= now {
			delete(w.own, target)
		}
	}
	for _, one := range list {
		until := now + min(one.Remaining, mostWait)
		if one.Remaining < leastWait || len(one.Target) > mostText || until < w.own[one.Target]+leastWait/2 {
			continue // too short, or known
		}
		if w.own == nil {
			w.own = map[string]time.Duration{}
		}
		if len(w.own) < mostHeld || w.own[one.Target] > 0 {
			w.own[one.Target] = until
			j.changed = j.changed || until > w.held[one.Target]+leastWait/2 // else others know
		}
	}
}

// tell lists the longest, as others are to hear them.
func (w *waits) tell(now time.Duration) (list []RetryAfter) {
	for target, until := range w.own {
		if left := until - now; left >= leastWait && until > w.held[target]+leastWait/2 {
			list = append(list, RetryAfter{target, left})
		}
	}
	slices.SortFunc(list, func(a, b RetryAfter) int {
		return cmp.Or(cmp.Compare(b.Remaining, a.Remaining), cmp.Compare(a.Target, b.Target))
	})
	return list[:min(len(list), MaxReportedRetryAfters)]
}

// hear takes another's wait. After each it rests for as long again: one that errs or lies holds a target for half of the time.
func (w *waits) hear(now time.Duration, from string, one RetryAfter) {
	left, by := min(one.Remaining, mostWait), teller{from, one.Target}
	if left <= 0 || len(one.Target) > mostText || now < w.rested[by] {
		return
	}
	if w.held == nil {
		w.held, w.rested = map[string]time.Duration{}, map[teller]time.Duration{}
	}
	if len(w.held) >= mostHeld || len(w.rested) >= mostTold {
		w.forget(now)
		if len(w.held) >= mostHeld || len(w.rested) >= mostTold {
			return
		}
	}
	w.rested[by] = now + 2*left
	if until := now + left; until > w.held[one.Target] {
		w.held[one.Target] = until
		w.next = append(w.next, one.Target)
	}
}

func (w *waits) forget(now time.Duration) {
	for target, until := range w.held {
		if until <= now {
			delete(w.held, target)
		}
	}
	for by, until := range w.rested {
		if until <= now {
			delete(w.rested, by)
		}
	}
}

// TakePeerRetryAfters lists the waits that others have told since it was asked last, with what is left of them.
func (j *Evaluator) TakePeerRetryAfters(now time.Duration) (list []RetryAfter) {
	for _, target := range j.waits.next {
		if left := j.waits.held[target] - now; left > 0 && !slices.ContainsFunc(list, func(w RetryAfter) bool { return w.Target == target }) {
			list = append(list, RetryAfter{target, left})
		}
	}
	j.waits.next = nil
	return list
}
