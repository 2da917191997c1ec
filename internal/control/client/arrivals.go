package client

import (
	"context"
	"time"

	"scaleroute/internal/partial"
)

// Arrive decides on a message for a destination. It waits for a look-up until the deadline, and until what was received of the destination is delivered. One that passes refers to its
// destination until Release.
func (f *Follower) Arrive(destination int, deadline time.Time) partial.Decision {
	f.mu.Lock()
	d := f.state.Admit(f.now(), destination)
	if d.Action == partial.Reject {
		f.mu.Unlock()
		return d
	}
	delivered := f.delivered
	if d.Action == partial.Proceed && delivered == nil {
		f.mu.Unlock()
		return d
	}
	var over chan struct{}
	if d.Action == partial.Wait {
		over = f.waiter(destination)
	}
	f.mu.Unlock()
	return f.await(destination, over, delivered, deadline)
}

// waiter is closed when the look-up of a destination is over. The lock is held.
func (f *Follower) waiter(destination int) chan struct{} {
	over := f.waiters[destination]
	if over == nil {
		over = make(chan struct{})
		f.waiters[destination] = over
		signal(f.wake)
	}
	return over
}

// await waits for a look-up, if there is one, and then until all that has been received is delivered.
func (f *Follower) await(destination int, over, delivered chan struct{}, deadline time.Time) partial.Decision {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	if over != nil {
		select {
		case <-over:
		case <-f.ended:
			return f.reject(destination, f.state.RejectWaiting)
		case <-timer.C:
			return f.reject(destination, f.state.RejectWaiting)
		}
		f.mu.Lock()
		d := f.state.Resume(f.now(), destination)
		delivered = f.delivered
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

func (f *Follower) reject(destination int, decide func(now time.Duration) partial.Decision) partial.Decision {
	f.mu.Lock()
	d := decide(f.now())
	f.mu.Unlock()
	f.Release(destination)
	return d
}

// Hold notes a message that the engine holds for a destination.
func (f *Follower) Hold(destination int) {
	f.mu.Lock()
	f.state.AddReference(destination)
	f.mu.Unlock()
}

// Release ends what Arrive, First or Hold began.
func (f *Follower) Release(destination int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.enqueue(f.state.Release(destination))
}

// enqueue has an update delivered. done is closed once it is. The lock is held.
func (f *Follower) enqueue(u partial.Update) (done chan struct{}) {
	for _, d := range u.CompletedLookups {
		if over := f.waiters[d]; over != nil {
			close(over)
			delete(f.waiters, d)
		}
	}
	empty := len(u.Changed)+len(u.Evicted) == 0
	if empty && f.delivered != nil {
		return f.delivered
	}
	done = make(chan struct{})
	if !f.begun && !f.stopped {
		f.early = append(f.early, u.Changed...)
	}
	if empty || !f.begun {
		close(done)
		return done
	}
	f.outbox = append(f.outbox, delivery{u, done})
	f.delivered = done
	signal(f.ready)
	return done
}

// deliver delivers what is enqueued, until ctx ends.
func (f *Follower) deliver(ctx context.Context) {
	for {
		f.deliverAll()
		select {
		case <-ctx.Done():
			return
		case <-f.ready:
		}
	}
}

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
		if f.delivered == next.done {
			f.delivered = nil
		}
	}
}

// stop is the end of Run: what is enqueued is delivered, and nothing after that.
func (f *Follower) stop() {
	f.deliverAll()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.begun, f.stopped = false, true
	close(f.ended)
}

// startLookups starts look-ups as their budget permits, until ctx ends. Then it waits for those in flight.
func (f *Follower) startLookups(ctx context.Context) {
	inFlight := make(chan struct{}, f.Limits.MaxInFlight)
	defer func() {
		for range cap(inFlight) {
			inFlight <- struct{}{}
		}
	}()
	later := time.NewTimer(time.Hour)
	defer later.Stop()
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
				signal(f.wake)
			}()
			continue
		}
		if wait > 0 {
			later.Reset(wait)
		}
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
		case <-later.C:
		}
	}
}

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

// signal wakes whoever waits for something to do.
func signal(to chan struct{}) {
	select {
	case to <- struct{}{}:
	default:
	}
}
