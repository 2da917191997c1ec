package agent

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// fetchFunc makes one call for the changes after a position, or for the snapshot. It calls progress whenever a part of the answer arrived.
type fetchFunc func(ctx context.Context, c *discoveryClient, at *watchPosition, held bool, progress func()) (*List, error)

// listFollower makes the list calls that a listPolicy decides, and accepts or rejects their answers. It is used by one goroutine at a time; each call has a
// goroutine of its own, which sends its result to the channel results.
type listFollower struct {
	platform *Platform
	policy   *listPolicy
	fetch    fetchFunc
	warn     func(err error, next nextCall)

	started time.Time // the policy's time 0
	client  *discoveryClient
	at      watchPosition
	calls   map[int]*runningCall // in flight
	results chan listResult      // of calls that were not cancelled
	running sync.WaitGroup
	waiters []refreshWaiter
}

// runningCall is a call in flight.
type runningCall struct {
	cancel   context.CancelFunc
	progress atomic.Int64 // when a part of the answer last arrived; 0: not yet
}

// nextCall says for the log what comes after a failed call.
type nextCall struct {
	wait     time.Duration // until the next call begins; 0 also if that depends on the calls in flight
	inFlight int           // other calls whose answers are still awaited
}

// listResult is what became of a call.
type listResult struct {
	id   int
	list *List
	at   watchPosition // where the call began, with what its answer changed
	err  error
}

// refreshWaiter waits for the answer to a call whose id is not lower than firstCall.
type refreshWaiter struct {
	firstCall int
	reported  chan<- struct{}
}

// newListFollower returns a follower that continues from an index, or begins with a snapshot if that is -1.
func newListFollower(p *Platform, index int64, timing listTiming, retry backoff, fetch fetchFunc, warn func(error, nextCall)) *listFollower {
	return &listFollower{platform: p, policy: newListPolicy(p.fleet, timing, retry, index >= 0), fetch: fetch, warn: warn, started: time.Now(), client: p.currentClient(), at: startingAt(index),
		calls: map[int]*runningCall{}, results: make(chan listResult, maxListCalls)}
}

func (f *listFollower) now() time.Duration { return time.Since(f.started) }

// run makes calls and reports lists until ctx ends.
func (f *listFollower) run(ctx context.Context, report func(*List)) {
	defer f.stop()
	for ctx.Err() == nil {
		result := f.next(ctx)
		if result == nil {
			continue
		}
		l, err := f.settle(result)
		if err != nil {
			continue
		}
		report(l)
		f.releaseWaiters(result.id)
		if f.platform.AwaitRecorded != nil {
			f.platform.AwaitRecorded()
		}
	}
}

// first returns the first list, or the error of the first call that fails. Calls that are in flight when ctx ends go on, and run continues them.
func (f *listFollower) first(ctx context.Context) (*List, error) {
	for ctx.Err() == nil {
		if result := f.next(ctx); result != nil {
			return f.settle(result)
		}
	}
	return nil, errors.New("list: no answer yet; the call goes on")
}

// stop cancels all calls and waits for their ends.
func (f *listFollower) stop() {
	for id := range f.calls {
		f.cancel(id)
	}
	f.running.Wait()
	f.requeueWaiters()
}

// next does what the policy decides, and waits until a call has ended or the policy is to be asked again. It returns the result of a call in flight, or nil.
func (f *listFollower) next(ctx context.Context) *listResult {
	if client := f.platform.currentClient(); client != f.client {
		f.client, f.at = client, startingAt(-1)
		f.cancelAll(f.policy.changeAddress(f.now()))
	}
	f.takeWaiters()
	for id, call := range f.calls {
		if at := call.progress.Load(); at > 0 {
			f.policy.progress(time.Duration(at), id)
		}
	}
	step := f.policy.advance(f.now())
	for _, id := range step.giveUp {
		f.warn(fmt.Errorf("list: no answer from %s for too long: %w", f.client.base, context.DeadlineExceeded), f.nextCall())
		f.cancel(id)
	}
	if step.begin != nil {
		f.begin(*step.begin)
	}
	timer := time.NewTimer(step.wake - f.now())
	defer timer.Stop()
	select {
	case result := <-f.results:
		if f.calls[result.id] == nil { // it was cancelled
			return nil
		}
		return &result
	case <-timer.C:
	case <-f.client.replaced.Done():
	case <-f.platform.refreshQueued:
	case <-ctx.Done():
	}
	return nil
}

// begin starts the goroutine of a call. A call that the policy has given up ends before the next one begins if there may be one at a time.
func (f *listFollower) begin(c listCall) {
	if f.policy.timing.maxCalls == 1 {
		f.running.Wait()
	}
	ctx, cancel := context.WithCancel(context.Background())
	call := &runningCall{cancel: cancel}
	f.calls[c.id] = call
	client, at := f.client, f.at
	progress := func() { call.progress.Store(int64(f.now())) }
	f.running.Go(func() {
		defer cancel()
		l, err := f.fetch(ctx, client, &at, c.held, progress)
		select {
		case f.results <- listResult{c.id, l, at, err}:
		case <-ctx.Done(): // nobody waits for it: stop must not either
		}
	})
}

// cancel cancels a call, whose result is then ignored.
func (f *listFollower) cancel(id int) {
	if call := f.calls[id]; call != nil {
		call.cancel()
		delete(f.calls, id)
	}
}

func (f *listFollower) cancelAll(ids []int) {
	for _, id := range ids {
		f.cancel(id)
	}
}

// settle accepts the answer to a call in flight, or passes its failure on.
func (f *listFollower) settle(result *listResult) (*List, error) {
	f.cancel(result.id)
	if f.client.replaced.Err() != nil { // whatever it says, it is the answer of an address that is not in use any more
		return nil, errors.New("list: the address of discovery has changed")
	}
	err := result.err
	if f.policy.timing.maxCalls == 1 { // the call has accepted or rejected its answer itself, before it passed it on
		f.at = result.at
	} else if err == nil {
		err = f.at.accept(result.list.Index, result.list.Snapshot)
	}
	if err != nil {
		f.fail(result.id, err)
		return nil, err
	}
	f.at = startingAt(result.list.Index)
	f.cancelAll(f.policy.answered(f.now(), result.id))
	return result.list, nil
}

// fail passes the failure of a call on to the policy.
func (f *listFollower) fail(id int, err error) {
	var refusal *statusError
	how := listUnusable
	switch {
	case errors.As(err, &refusal):
		how = listRefused
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, errStreamIdle):
		how = listSilent
	}
	f.policy.failed(f.now(), id, how)
	if f.at.from < 0 {
		f.policy.listKnown = false
	}
	if len(f.waiters) > 0 {
		f.policy.promptNext = true
	}
	f.warn(err, f.nextCall())
}

// nextCall says when discovery is called again.
func (f *listFollower) nextCall() nextCall {
	if f.policy.nextAt == never {
		return nextCall{inFlight: len(f.policy.calls)}
	}
	return nextCall{wait: max(0, f.policy.nextAt-f.now()), inFlight: len(f.policy.calls)}
}

// takeWaiters takes over the waiters of Refresh.
func (f *listFollower) takeWaiters() {
	f.platform.mu.Lock()
	defer f.platform.mu.Unlock()
	if len(f.platform.refreshWaiters) == 0 {
		return
	}
	for _, w := range f.platform.refreshWaiters {
		f.waiters = append(f.waiters, refreshWaiter{f.policy.lastID + 1, w})
	}
	f.platform.refreshWaiters = nil
	f.policy.refreshNow(f.now())
}

// releaseWaiters ends the waits for the answer to a call.
func (f *listFollower) releaseWaiters(id int) {
	kept := f.waiters[:0]
	for _, w := range f.waiters {
		if w.firstCall <= id {
			close(w.reported)
		} else {
			kept = append(kept, w)
		}
	}
	f.waiters = kept
}

// requeueWaiters leaves the waiters to the next follower.
func (f *listFollower) requeueWaiters() {
	f.platform.mu.Lock()
	defer f.platform.mu.Unlock()
	for _, w := range f.waiters {
		f.platform.refreshWaiters = append(f.platform.refreshWaiters, w.reported)
	}
	f.waiters = nil
}
