package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"scaleroute/internal/control/client"
	"scaleroute/internal/ownership"
	"scaleroute/internal/partial"
)

const (
	listHold      = 3 * time.Second  // a forwarder's, of its part
	membersHold   = 10 * time.Second // a forwarder's, of the members
	watchersAside = 64               // that begin at the same time
	afterFailure  = 100 * time.Millisecond
)

// watcher follows a part and the members at a control server as a forwarder does, and keeps only how far it has come.
type watcher struct {
	client  *client.Client
	part    ownership.Set
	index   atomic.Int64 // of the list that it has received
	members atomic.Int64 // index of the members
	failed  atomic.Int64 // calls
	epoch   string       // of the members; followMembers alone reads and writes it
}

// watchers are the forwarders that one control server serves.
type watchers struct {
	list []*watcher
	stop context.CancelFunc
	done sync.WaitGroup
}

// newWatchers makes so many, each with a part drawn at random: which partitions they are matters to nobody here.
func newWatchers(server string, layout ownership.Layout, names []string, partitions int, seed uint64) *watchers {
	random := rand.New(rand.NewPCG(seed, 0x5e7))
	w := &watchers{}
	for i, name := range names {
		numbers := make([]uint32, partitions)
		for j := range numbers {
			numbers[j] = random.Uint32N(uint32(layout.Partitions))
		}
		slices.Sort(numbers)
		w.list = append(w.list, &watcher{part: ownership.NewSet(slices.Compact(numbers)...),
			client: client.New(client.Config{Servers: []string{server}, Layout: layout, Name: name, Zone: "a", Seed: seed + uint64(i)})})
	}
	return w
}

// fetch has each ask for all of its part, some beside each other.
func (w *watchers) fetch(ctx context.Context) error {
	errs := make(chan error, len(w.list))
	places := make(chan struct{}, watchersAside)
	for _, one := range w.list {
		places <- struct{}{}
		go func() {
			defer func() { <-places }()
			answer, err := one.client.Snapshot(ctx, one.part, 0)
			one.index.Store(answer.Index)
			errs <- err
		}()
	}
	for range w.list {
		if err := <-errs; err != nil {
			return fmt.Errorf("asking for a part: %w", err)
		}
	}
	return nil
}

// follow has each watch its part and the members, until halt.
func (w *watchers) follow(ctx context.Context) {
	ctx, w.stop = context.WithCancel(ctx)
	for _, one := range w.list {
		w.done.Go(func() { one.followList(ctx) })
		w.done.Go(func() { one.followMembers(ctx) })
	}
}

// halt ends all calls that are held, and closes their connections.
func (w *watchers) halt() {
	w.stop()
	w.done.Wait()
	for _, one := range w.list {
		one.client.Close()
	}
}

func (one *watcher) followList(ctx context.Context) {
	for ctx.Err() == nil {
		answer, err := one.client.Watch(ctx, one.part, partial.Watch{From: one.index.Load(), MinIndex: one.index.Load()}, listHold)
		if err != nil {
			one.rest(ctx)
			continue
		}
		one.index.Store(answer.Index)
	}
}

func (one *watcher) followMembers(ctx context.Context) {
	for ctx.Err() == nil {
		answer, err := one.client.Members(ctx, one.epoch, one.members.Load(), membersHold)
		if err != nil {
			one.rest(ctx)
			continue
		}
		one.epoch = answer.Epoch
		one.members.Store(answer.Index)
	}
}

// rest follows a call that failed.
func (one *watcher) rest(ctx context.Context) {
	if ctx.Err() == nil {
		one.failed.Add(1)
		pause(ctx, afterFailure) // an error is the context's, which the caller looks at
	}
}

// await waits until all have come so far, and is how long that took from a time on.
func (w *watchers) await(ctx context.Context, what string, since time.Time, hasCome func(*watcher) bool) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	for i := 0; i < len(w.list); {
		if hasCome(w.list[i]) {
			i++
			continue
		}
		if err := pause(ctx, time.Millisecond); err != nil {
			return 0, fmt.Errorf("%s: %d of %d watchers, %d calls failed: %w", what, i, len(w.list), w.failures(), err)
		}
	}
	return time.Since(since), nil
}

func (w *watchers) failures() (n int64) {
	for _, one := range w.list {
		n += one.failed.Load()
	}
	return n
}

// bytes are those of all calls so far, both ways.
func (w *watchers) bytes() (n int64) {
	for _, one := range w.list {
		for _, used := range one.client.Traffic() {
			n += used.Sent + used.Received
		}
	}
	return n
}
