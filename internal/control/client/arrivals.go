package client

import (
	"context"
	"time"

	"scaleroute/internal/partial"
)

// Arrive decides whether a message for a destination is passed on. If the destination has to be looked up, Arrive waits for the look-up until the deadline; it also waits until updates that
// were received earlier are delivered. A message that passes holds a reference to its destination until Release.
func (f *Follower) Arrive(destination int, deadline time.Time) partial.Decision {
	f.mu.Lock()
	d := f.state.Admit(f.now(), destination)
	if d.Action == partial.Reject {
		f.mu.Unlock()
		return d
	}
	delivered := f.outboxDelivered
	if d.Action == partial.Proceed && delivered == nil {
		f.mu.Unlock()
		return d
	}
	var lookedUp chan struct{}
	if d.Action == partial.Wait {
		lookedUp = f.lookupWaiter(destination)
	}
	f.mu.Unlock()
	return f.await(destination, lookedUp, delivered, deadline)
}

// lookupWaiter returns a channel that is closed when the look-up of a destination ends. The caller holds the lock.
func (f *Follower) lookupWaiter(destination int) chan struct{} {
	lookedUp := f.waiters[destination]
	if lookedUp == nil {
		lookedUp = make(chan struct{})
		f.waiters[destination] = lookedUp
		notify(f.lookupReady)
	}
	return lookedUp
}

// await waits for the end of a look-up if lookedUp is not nil, and then until all updates received so far are delivered.
func (f *Follower) await(destination int, lookedUp, delivered chan struct{}, deadline time.Time) partial.Decision {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	if lookedUp != nil {
		select {
		case <-lookedUp:
		case <-f.runEnded:
			return f.reject(destination, f.state.RejectWaiting)
		case <-timer.C:
			return f.reject(destination, f.state.RejectWaiting)
		}
		f.mu.Lock()
		d := f.state.Resume(f.now(), destination)
		delivered = f.outboxDelivered
		f.mu.Unlock()
		if d.Action == partial.Reject {
			f.Release(destination)
			return d
		}
	}
	if delivered != nil {
		select {
		case <-delivered:
		case <-timer.C:
			return f.reject(destination, f.state.RejectNotWaiting)
		}
	}
	return partial.Decision{Action: partial.Proceed}
}

// reject returns the decision that decide makes, and drops the message's reference to its destination.
func (f *Follower) reject(destination int, decide func(now time.Duration) partial.Decision) partial.Decision {
	f.mu.Lock()
	d := decide(f.now())
	f.mu.Unlock()
	f.Release(destination)
	return d
}

// Hold adds a reference to a destination for a message that the engine has queued.
func (f *Follower) Hold(destination int) {
	f.mu.Lock()
	f.state.AddReference(destination)
	f.mu.Unlock()
}

// Release drops a reference that Arrive, FetchInitial or Hold has added.
func (f *Follower) Release(destination int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.enqueue(f.state.Release(destination))
}

// enqueue adds an update to the outbox and wakes the waiters of look-ups that it ends. done is closed once the update, or, if the update is empty,
// everything enqueued before it, is delivered. Before StartDelivery and after Run has ended it delivers nothing. The caller holds the lock.
func (f *Follower) enqueue(u partial.Update) (done chan struct{}) {
	for _, d := range u.CompletedLookups {
		if lookedUp := f.waiters[d]; lookedUp != nil {
			close(lookedUp)
			delete(f.waiters, d)
		}
	}
	empty := len(u.Changed)+len(u.Evicted) == 0
	if empty && f.outboxDelivered != nil {
		return f.outboxDelivered
	}
	done = make(chan struct{})
	if !f.delivering && !f.stopped {
		f.changedBeforeDelivery = append(f.changedBeforeDelivery, u.Changed...)
	}
	if empty || !f.delivering {
		close(done)
		return done
	}
	f.outbox = append(f.outbox, delivery{u, done})
	f.outboxDelivered = done
	notify(f.outboxReady)
	return done
}

// deliver delivers enqueued updates until ctx ends.
func (f *Follower) deliver(ctx context.Context) {
	for {
		f.deliverAll()
		select {
		case <-ctx.Done():
			return
		case <-f.outboxReady:
		}
	}
}

// deliverAll delivers all updates in the outbox. It releases the lock during each call of Deliver.
func (f *Follower) deliverAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(f.outbox) > 0 {
		next := f.outbox[0]
		f.outbox = f.outbox[1:]
		f.mu.Unlock()
		f.Deliver(next.update)
		f.mu.Lock()
		close(next.done)
		if f.outboxDelivered == next.done {
			f.outboxDelivered = nil
		}
	}
}

// stop ends Run: it delivers the updates in the outbox and disables delivery from then on.
func (f *Follower) stop() {
	f.deliverAll()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delivering, f.stopped = false, true
	close(f.runEnded)
}

// startLookups starts look-ups as their budget permits until ctx ends, and then waits for those in flight.
func (f *Follower) startLookups(ctx context.Context) {
	inFlight := make(chan struct{}, f.Limits.MaxInFlight)
	defer func() {
		for range cap(inFlight) {
			inFlight <- struct{}{}
		}
	}()
	retryTimer := time.NewTimer(time.Hour)
	defer retryTimer.Stop()
	for {
		f.mu.Lock()
		batch, wait := f.state.NextLookup(f.now())
		newest := f.state.NewestIndex()
		f.mu.Unlock()
		if len(batch) > 0 {
			inFlight <- struct{}{}
			go func() {
				f.lookUp(ctx, batch, newest)
				<-inFlight
				notify(f.lookupReady)
			}()
			continue
		}
		if wait > 0 {
			retryTimer.Reset(wait)
		}
		select {
		case <-ctx.Done():
			return
		case <-f.lookupReady:
		case <-retryTimer.C:
		}
	}
}

// lookUp makes one look-up of a batch of destinations and applies its result.
func (f *Follower) lookUp(ctx context.Context, batch []int, newest int64) {
	a, spent, err := f.Client.Lookup(ctx, batch, newest)
	f.mu.Lock()
	defer f.mu.Unlock()
	var u partial.Update
	if err == nil {
		u, err = f.state.ApplyLookup(f.now(), batch, a, spent)
	} else {
		u = f.state.FailLookup(f.now(), batch, spent)
	}
	if err != nil {
		f.warnLookup(batch, err)
	}
	f.enqueue(u)
}

// notify wakes the goroutine that receives from a channel of capacity 1. It does nothing if a notification is already pending.
func notify(to chan struct{}) {
	select {
	case to <- struct{}{}:
	default:
	}
}
