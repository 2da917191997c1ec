package agent

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// How long to wait before a call that failed is made again. All forwarders of a fleet call the same discovery and
// fail in the same moment, so that what is harmless from one of them keeps it down when all do it: the waits grow with each
// failure in a row, and each is drawn between nought and that (full jitter), which spreads the calls evenly.
//
// They begin at what a fleet of that size can be told in: discovery that must be asked for its list works on each call, and a
// call that waits there for longer than its time-out was work for nothing. Nobody says what it can do; a tenth of a second
// for each forwarder is what it is given at first, and whoever gets its list leaves room for the others.
const (
	firstPause  = 100 * time.Millisecond // of one forwarder; for the list, times as many as there are
	listPause   = 30 * time.Second       // the longest for the list, or four times the former if that is more
	pushedPause = 2 * firstPause         // the same where the list is pushed: one's own agent is asked, at no cost, and what it has counts as told
	reopenPause = 5 * firstPause         // after a watch that fell silent
	noticePause = firstPause             // and for notices: one that is 300 ms late is a message lost, and the agent is this machine's own
	// retryWithin is how long after the beginning of a failed call the next one begins at the latest: a change counts as received 6 s after discovery had it and
	// could be reached, whatever failed before.
	retryWithin = silentTold - reopenPause
	// maxRefusals in a row, or twice as many calls without an answer, and discovery that must be asked is taken to be overloaded, by a fleet that is too large for
	// each of it to be answered so soon: it would stay so if all of them kept on at that rate.
	maxRefusals = 4
)

// Fleet is what a Platform is told of those that call the same discovery.
type Fleet struct {
	Forwarders          int            // how many there are, this one included
	MustSubscribe       bool           // the list comes only when it is asked for, and asking is work there
	ResubscribeInterval time.Duration  // where that is so: who has not asked for so long is taken to be told what changed; 0: no such rule
	Random              func() float64 // from 0 to 1; nil: the runtime's own
}

// turns is how long it takes until each of a fleet has had its turn at first.
func (f Fleet) turns() time.Duration { return firstPause * time.Duration(max(1, f.Forwarders)) }

// firstWait is the span over which a fleet spreads its first calls after a start of all of them: not so long that what changes
// counts as told meanwhile.
func (f Fleet) firstWait() time.Duration {
	if !f.MustSubscribe {
		return 0
	}
	span := f.turns()
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

// hold is how long a watch may wait for what changes.
func (f Fleet) hold() time.Duration {
	if f.MustSubscribe {
		return askedHold
	}
	return pushedHold
}

// callTime is how long a call may take that does not wait for changes.
func (f Fleet) callTime() time.Duration {
	if f.MustSubscribe {
		return askedTime
	}
	return listTime
}

// again are the waits after list calls that failed.
func (f Fleet) again() backoff {
	if !f.MustSubscribe {
		return backoff{first: firstPause, most: pushedPause, random: f.random}
	}
	return backoff{first: max(firstPause, f.firstWait()), most: max(listPause, 4*f.turns()), random: f.random}
}

// retryPause is how long to wait after a list call that failed after so long.
func (f Fleet) retryPause(b *backoff, took time.Duration, err error) time.Duration {
	wait := b.failed()
	if !f.MustSubscribe {
		return wait
	}
	b.overload += overloadSign(err)
	latest := retryWithin - min(took, askedTime)
	if b.next <= latest || f.turns() > retryWithin && b.overload >= 2*maxRefusals {
		return wait
	}
	return time.Duration((1 + b.random()) / 2 * float64(latest))
}

// overloadSign is how much a failed call says for an overload of discovery: a refusal twice as much as silence, and nothing if there was no connection.
func overloadSign(err error) int {
	var refusal *refusedError
	switch {
	case errors.As(err, &refusal):
		return 2
	case errors.Is(err, context.DeadlineExceeded):
		return 1
	}
	return 0
}

// backoff is the waits between the failures in a row of one kind of call.
type backoff struct {
	first    time.Duration
	most     time.Duration
	next     time.Duration
	overload int            // signs of it in a row, as overloadSign has them
	random   func() float64 // from 0 to 1
}

// failed is how long to wait after one more failure.
func (b *backoff) failed() time.Duration {
	b.next = min(b.most, max(b.first, 2*b.next))
	return time.Duration(b.random() * float64(b.next))
}

// worked starts afresh.
func (b *backoff) worked() { b.next, b.overload = 0, 0 }

// pause waits so long, until ctx ends, or until the agent is left.
func (a *agent) pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-a.left.Done():
	case <-t.C:
	}
}

// refusedError is an answer that holds no list: discovery can be reached, and has not answered the call.
type refusedError struct{ status int }

func (e *refusedError) Error() string { return fmt.Sprintf("status %d", e.status) }
