package client

import (
	"context"
	"log/slog"
	"time"
)

// Bounds of the wait after a failed call. All clients of a server that has gone fail at the same moment, so each draws its wait between zero and a bound that
// doubles with every failure in a row (exponential back-off with full jitter).
const (
	firstBackoff = 200 * time.Millisecond
	maxBackoff   = 1500 * time.Millisecond
)

// backoff delays the calls of one loop after failures.
type backoff struct {
	client *Client
	bound  time.Duration
}

// wait logs a failed call and waits before the next one. It returns early if ctx ends.
func (b *backoff) wait(ctx context.Context, what string, err error) {
	if ctx.Err() != nil {
		return
	}
	b.bound = min(maxBackoff, max(firstBackoff, 2*b.bound))
	wait := time.Duration(b.client.uniform() * float64(b.bound))
	slog.Warn("call to a control server failed: retrying with the next server", "call", what, "err", err, "next", b.client.Server(), "in", wait.Round(time.Millisecond))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// reset restores the first bound after a call that succeeded.
func (b *backoff) reset() { b.bound = 0 }

// maxLoggedDestinations is the maximum number of destinations that one log line names.
const maxLoggedDestinations = 8

// lookupWarningInterval is the minimum time between two log lines about failed look-ups.
const lookupWarningInterval = time.Second

// warnLookup counts a failed look-up, and logs it unless another one was logged within lookupWarningInterval. The caller holds the lock.
func (f *Follower) warnLookup(batch []int, err error) {
	f.failedLookups++
	if now := f.now(); f.lastLookupWarning == 0 || now-f.lastLookupWarning >= lookupWarningInterval {
		f.lastLookupWarning = now
		slog.Warn("look-up of destinations failed: their messages are refused with a retry-after", "destinations", batch[:min(len(batch), maxLoggedDestinations)], "batch", len(batch),
			"failed_so_far", f.failedLookups, "err", err)
	}
}
