package client

import (
	"context"
	"log/slog"
	"time"
)

// Waits after calls that failed. All that called a server which is gone fail in the same moment, so each draws its wait between nought and a bound that doubles
// (full jitter).
const (
	firstBackoff = 200 * time.Millisecond
	maxBackoff   = 1500 * time.Millisecond
)

type backoff struct {
	client *Client
	bound  time.Duration
}

// wait logs a call that failed, and waits before the next one.
func (b *backoff) wait(ctx context.Context, what string, err error) {
	if ctx.Err() != nil {
		return
	}
	b.bound = min(maxBackoff, max(firstBackoff, 2*b.bound))
	wait := time.Duration(b.client.uniform() * float64(b.bound))
	slog.Warn("a control server has not answered: the next one is asked", "call", what, "err", err, "next", b.client.Server(), "in", wait.Round(time.Millisecond))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// reset begins anew after a call that succeeded.
func (b *backoff) reset() { b.bound = 0 }

// maxNamed is how many destinations a line of the log names.
const maxNamed = 8

// lookupWarnings is how often failed look-ups are logged at most.
const lookupWarnings = time.Second

// warnLookup logs a look-up that failed, once in a while. The lock is held.
func (f *Follower) warnLookup(batch []int, err error) {
	f.failedLookups++
	if now := f.now(); f.warned == 0 || now-f.warned >= lookupWarnings {
		f.warned = now
		slog.Warn("destinations could not be looked up: their messages are refused with a retry-after", "destinations", batch[:min(len(batch), maxNamed)], "batch", len(batch),
			"failed_so_far", f.failedLookups, "err", err)
	}
}
