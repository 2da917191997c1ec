package decide

import (
	"math"
	"slices"
	"time"
)

const never = time.Duration(math.MaxInt64)

// decayingCount is a count that decays exponentially. Its value is as of the time at.
type decayingCount struct {
	value float64
	at    time.Duration
}

// get returns what is left of the count. It changes nothing: the result does not depend on how often it is read.
func (d decayingCount) get(now, tau time.Duration) float64 {
	if now > d.at {
		return d.value * math.Exp(-float64(now-d.at)/float64(tau))
	}
	return d.value
}

func (d *decayingCount) add(now, tau time.Duration) {
	d.value, d.at = d.get(now, tau)+1, max(d.at, now)
}

// until returns when the count will have decayed to a lower value.
func (d decayingCount) until(tau time.Duration, lower float64) time.Duration {
	if d.value > lower {
		return d.at + time.Duration(math.Log(d.value/lower)*float64(tau)) + time.Microsecond
	}
	return 0
}

// decayingMean is a mean that follows new values and decays to zero.
type decayingMean struct{ decayingCount }

func (d *decayingMean) record(now, tau time.Duration, share, v float64) {
	d.value, d.at = d.get(now, tau), max(d.at, now)
	d.value += share * (v - d.value)
}

// movingMean moves a mean towards a new value v by one part in parts. A mean of 0 is not known yet and becomes v.
func movingMean(mean, v, parts time.Duration) time.Duration {
	if mean == 0 {
		return v
	}
	return mean + (v-mean)/parts
}

// oneIf returns 1 if a condition holds, else 0.
func oneIf(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// withoutItem removes an item from a list and keeps the order of the others.
func withoutItem[T comparable](list []T, item T) []T {
	for i, x := range list {
		if x == item {
			return slices.Delete(list, i, i+1)
		}
	}
	return list
}
