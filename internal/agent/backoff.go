package agent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// Failed calls are retried with a back-off. All forwarders of a fleet call the same discovery and fail at the same moment, so that retries which are
// harmless from one of them keep discovery down when all make them. The back-off therefore has exponential growth and full jitter: its ceiling doubles with each
// consecutive failure, and each delay is drawn between 0 and the ceiling, which spreads the calls evenly.
//
// The first ceiling is the time in which discovery can serve a fleet of this size: it works on each call of a fleet that has to subscribe, and work on a
// call that waits there for longer than its timeout is wasted. Discovery does not announce its capacity; 100 ms for each forwarder is assumed at
// first, and each forwarder that has received its list leaves capacity for the others.
const (
	initialBackoff       = 100 * time.Millisecond // for one forwarder; multiplied by the number of forwarders for list calls of a fleet that has to subscribe
	maxSubscribedBackoff = 30 * time.Second       // for list calls; four times the initial call period if that is longer
	maxPushedBackoff     = 2 * initialBackoff     // for list calls where the list is pushed: the call to the machine's own agent costs nothing, and what the agent has counts as received
	reopenDelay          = 5 * initialBackoff     // the longest delay after a watch that fell silent
	maxNoticeBackoff     = initialBackoff         // for notices: one that is 300 ms late counts as a lost message, and the agent is this machine's own
	// maxRetryInterval is the longest time from the beginning of a failed call to the beginning of the next one: a change counts as received 6 s after
	// discovery had it and could be reached, whatever failed before.
	maxRetryInterval = receiptLimit - reopenDelay
	// overloadRefusals consecutive refusals, or twice as many calls without a response, are taken as overload of discovery by a fleet that is too large for
	// each forwarder to be answered within maxRetryInterval, if discovery has worked on one of these calls. It would stay overloaded if all forwarders kept on
	// calling at that rate. Refusals that all come at once cost it nothing.
	overloadRefusals = 4
)

// Fleet describes the forwarders that call the same discovery.
type Fleet struct {
	Forwarders          int            // their number, this one included
	MustSubscribe       bool           // the list has to be requested, and discovery works on each request
	ResubscribeInterval time.Duration  // with MustSubscribe: a forwarder without a request for this long counts as having received all changes; 0: no such rule
	Random              func() float64 // returns numbers from 0 to 1; nil: the runtime's generator
}

// initialCallPeriod is the time in which discovery is assumed to serve each forwarder of the fleet once.
func (f Fleet) initialCallPeriod() time.Duration {
	return initialBackoff * time.Duration(max(1, f.Forwarders))
}

// initialSpread is the span over which the first calls of forwarders that start together are spread: short enough that no change counts as received
// before a forwarder's first call.
func (f Fleet) initialSpread() time.Duration {
	if !f.MustSubscribe {
		return 0
	}
	span := f.initialCallPeriod()
	if f.ResubscribeInterval > 0 {
		span = min(span, f.ResubscribeInterval*3/4)
	}
	return span
}

func (f Fleet) random() float64 {
	if f.Random != nil {
		return f.Random()
	}
	return rand.Float64()
}

// holdTime is how long discovery may hold a watch until there are changes.
func (f Fleet) holdTime() time.Duration {
	if f.MustSubscribe {
		return subscribedHold
	}
	return pushedHold
}

// newListBackoff returns the back-off for list calls.
func (f Fleet) newListBackoff() backoff {
	if !f.MustSubscribe {
		return backoff{initial: initialBackoff, max: maxPushedBackoff, random: f.random}
	}
	return backoff{initial: max(initialBackoff, f.initialSpread()), max: max(maxSubscribedBackoff, 4*f.initialCallPeriod()), random: f.random}
}

// retryDelay returns the delay after a list call that failed; took is the duration of that call.
func (f Fleet) retryDelay(b *backoff, took time.Duration, how listFailure) time.Duration {
	delay := b.nextDelay()
	if !f.MustSubscribe {
		return delay
	}
	b.overloadScore += overloadScore(how)
	b.workedInVain = b.workedInVain || how == listSilent || how == listRefused && took > promptRefusal
	limit := maxRetryInterval - min(took, subscribedListTimeout)
	if b.ceiling <= limit || f.initialCallPeriod() > maxRetryInterval && b.showsOverload() {
		return delay
	}
	return time.Duration((1 + b.random()) / 2 * float64(limit))
}

// showsOverload reports whether the consecutive failures are taken as overload of discovery.
func (b *backoff) showsOverload() bool {
	return b.workedInVain && b.overloadScore >= 2*overloadRefusals
}

// overloadScore rates a failed call as a sign that discovery is overloaded: a refusal counts twice as much as no answer, and a failed connection not at all.
func overloadScore(how listFailure) int {
	switch how {
	case listRefused:
		return 2
	case listSilent:
		return 1
	}
	return 0
}

// backoff computes the delays after consecutive failures of one kind of call.
type backoff struct {
	initial       time.Duration
	max           time.Duration
	ceiling       time.Duration  // of the last delay; doubled by each failure, up to max
	overloadScore int            // the sum over the consecutive failures, as rated by the function overloadScore
	workedInVain  bool           // discovery has worked on one of these calls, as far as can be seen
	random        func() float64 // from 0 to 1
}

// nextDelay returns the delay after one more failure.
func (b *backoff) nextDelay() time.Duration {
	b.ceiling = min(b.max, max(b.initial, 2*b.ceiling))
	return time.Duration(b.random() * float64(b.ceiling))
}

// reset starts over after a success.
func (b *backoff) reset() { b.ceiling, b.overloadScore, b.workedInVain = 0, 0, false }

// sleep waits for d, until ctx ends, or until the client is replaced.
func (c *discoveryClient) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-c.replaced.Done():
	case <-timer.C:
	}
}

// statusError is a response that holds no list: discovery can be reached, but has not answered the request.
type statusError struct{ status int }

func (e *statusError) Error() string { return fmt.Sprintf("status %d", e.status) }
