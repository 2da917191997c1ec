package client

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"scaleroute/internal/agent"
	"scaleroute/internal/control/api"
	"scaleroute/internal/ownership"
	"scaleroute/internal/partial"
)

// FollowerConfig is what a Follower is told.
type FollowerConfig struct {
	Client *Client
	Limits partial.Limits
	// FleetSize is how many forwarders are expected. While fewer are known, no more than twice the part of so many is taken: the first member of a fleet that starts
	// must not ask for the whole list. 0: no such bound.
	FleetSize int
	// Deliver takes each update, in order, by one goroutine; it may wait.
	Deliver func(partial.Update)
	// WatchHold is how long a watch may be held; 0: Hold.
	WatchHold time.Duration
}

// Follower keeps a partial.State up to date by a Client. Its goroutines run in Run: one watches the members, one the part, one starts look-ups, of which Limits.InFlight
// have one each, and one delivers updates.
type Follower struct {
	FollowerConfig
	layout ownership.Layout
	began  time.Time
	wake   chan struct{}      // a look-up may be started
	ready  chan struct{}      // an update may be delivered
	ended  chan struct{}      // closed once Run has ended
	parted chan struct{}      // closed once there is a part, by the members or by what was saved
	parts  *ownership.Tracker // used by followMembers alone, which never runs twice at the same time

	mu         sync.Mutex
	begun      bool             // updates are delivered
	early      []agent.Endpoint // changed before that
	stopped    bool             // nothing is delivered any more
	state      *partial.State
	membership Membership
	changed    bool          // the members are others than those of owned
	owned      ownership.Set // the present part
	waiters    map[int]chan struct{}
	outbox     []delivery
	delivered  chan struct{}      // closed once all of outbox is; nil: nothing is in it
	look       context.CancelFunc // ends the hold of the watch; nil: none is held
	asked      []chan<- struct{}  // closed after the answer to a watch that begins from now on

	failedLookups int64
	warned        time.Duration // when one was logged last
}

// delivery is an update, and who waits until it is delivered.
type delivery struct {
	update partial.Update
	done   chan struct{}
}

// NewFollower makes a Follower, which knows nothing.
func NewFollower(c FollowerConfig) *Follower {
	if c.WatchHold == 0 {
		c.WatchHold = DefaultWatchHold
	}
	return &Follower{FollowerConfig: c, layout: c.Client.config.Layout, began: time.Now(), wake: make(chan struct{}, 1), ready: make(chan struct{}, 1), parted: make(chan struct{}), ended: make(chan struct{}),
		state: partial.New(c.Limits), waiters: map[int]chan struct{}{}, parts: ownership.NewTracker(c.Client.config.Layout, c.Client.config.Name)}
}

// now is the State's time.
func (f *Follower) now() time.Duration { return time.Since(f.began) }

// SavedState is what one process leaves to the next one.
type SavedState struct {
	Members    []string   `json:"members"`
	Owned      string     `json:"owned"`
	Index      int64      `json:"index"`
	Known      agent.List `json:"known"`
	Complete   bool       `json:"complete"`
	Partitions int        `json:"partitions"`
}

// Save is for the next process, after Run has ended.
func (f *Follower) Save() SavedState {
	f.mu.Lock()
	defer f.mu.Unlock()
	index := f.state.Counts().Index
	return SavedState{Members: f.membership.Names(), Owned: f.owned.String(), Index: index, Partitions: f.layout.Partitions, Complete: f.state.Complete(),
		Known: agent.List{Index: max(0, index), Snapshot: true, Endpoints: f.state.Endpoints()}}
}

// Resume goes on from what another process has saved. It comes first; false: that is of another layout, or incomplete, and is not used.
func (f *Follower) Resume(from SavedState) bool {
	owned, err := ownership.ParseSet(from.Owned, f.layout.Partitions, uint64(f.layout.Partitions))
	if err != nil || from.Partitions != f.layout.Partitions || !from.Complete {
		return false
	}
	f.owned = owned
	f.state.Initialize(f.owns(owned), from.Index, from.Known.Endpoints)
	f.state.ContinueWatch()
	f.membership.Restore(from.Members)
	close(f.parted)
	return true
}

// SetInitialList has the list of the configuration known until a control server has answered.
func (f *Follower) SetInitialList(known *agent.List) {
	f.state.Initialize(f.owns(ownership.Set{}), known.Index, known.Endpoints)
}

func (f *Follower) owns(set ownership.Set) partial.DestinationFilter {
	return func(destination int) bool { return set.Contains(f.layout.PartitionOf(destination)) }
}

// FetchInitial asks for the members and for the part, with some destinations beside it that messages are recovered for, before Run. An error says that there is no answer yet:
// then Run goes on asking. Each of these destinations is referred to until Release.
func (f *Follower) FetchInitial(ctx context.Context, recovered []int) error {
	f.mu.Lock()
	for _, d := range recovered {
		f.state.AddRecoveredMessage(d)
	}
	f.mu.Unlock()
	var err error
	for range f.Client.servers { // each once
		if err = f.first(ctx); err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

func (f *Follower) first(ctx context.Context) error {
	if f.membership.Epoch == "" {
		a, err := f.Client.Members(ctx, "", 0, 0)
		if err != nil {
			return err
		}
		f.applyMembers(a)
	}
	if err := f.followMembers(ctx); err != nil {
		return err
	}
	return f.watchOnce(ctx, 0)
}

// StartDelivery lists what is known, and what of it differs from what Start was told. What changes from then on is delivered.
func (f *Follower) StartDelivery() (known agent.List, changed []agent.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.begun, changed, f.early = true, f.early, nil
	return agent.List{Index: max(0, f.state.NewestIndex()), Snapshot: true, Endpoints: f.state.Endpoints()}, changed
}

// Status is how a Follower stands.
type Status struct {
	Server     string         `json:"server"`
	Members    int            `json:"members"`
	Partitions int            `json:"partitions"`
	Complete   bool           `json:"complete"`
	Part       partial.Counts `json:"part"`
	// FailedLookups had no answer that counts: their messages were refused with a retry-after.
	FailedLookups int64            `json:"failed_lookups"`
	Traffic       map[string]Usage `json:"traffic"`
}

// Status tells how it stands.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Status{Server: f.Client.Server(), Members: len(f.membership.Names()), Partitions: f.owned.Len(), Complete: f.state.Complete(), Part: f.state.Counts(), FailedLookups: f.failedLookups,
		Traffic: f.Client.Traffic()}
}

// Run follows the list until ctx ends. After that nothing is delivered, and no message waits.
func (f *Follower) Run(ctx context.Context) {
	defer f.stop()
	var all sync.WaitGroup
	defer all.Wait()
	all.Go(func() { f.watchMembers(ctx) })
	all.Go(func() { f.watchPart(ctx) })
	all.Go(func() { f.startLookups(ctx) })
	all.Go(func() { f.deliver(ctx) })
}

// watchMembers renews the lease and follows the members.
func (f *Follower) watchMembers(ctx context.Context) {
	again := backoff{client: f.Client}
	for ctx.Err() == nil {
		f.mu.Lock()
		epoch, index, hold := f.membership.Epoch, f.membership.Index, min(maxMembersHold, f.membership.Lease/3)
		f.mu.Unlock()
		a, err := f.Client.Members(ctx, epoch, index, hold)
		if err != nil {
			again.wait(ctx, "members", err)
			continue
		}
		again.reset()
		f.applyMembers(a)
	}
}

// maxMembersHold is how long a watch of the members is held: the lease is renewed so often at least.
const maxMembersHold = 10 * time.Second

func (f *Follower) applyMembers(a api.Members) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.membership.Apply(f.now(), a) {
		f.changed = true
	}
	select {
	case <-f.parted:
	default:
		close(f.parted)
	}
}

// watchPart follows the part of the list.
func (f *Follower) watchPart(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-f.parted:
	}
	again := backoff{client: f.Client}
	for ctx.Err() == nil {
		if err := f.followMembers(ctx); err != nil && ctx.Err() == nil { // the present part is followed all the same
			slog.Warn("the entries of new partitions can't be had yet: their destinations are looked up", "err", err)
		}
		if err := f.watchOnce(ctx, f.WatchHold); err != nil {
			again.wait(ctx, "list", err)
			continue
		}
		again.reset()
	}
}

// followMembers goes on with the part that the present members leave to this one. The entries of few new partitions are asked for on their own, and the rest is kept;
// where half of the part is new, the next watch asks for all of it.
func (f *Follower) followMembers(ctx context.Context) error {
	names, owned, needed, complete := f.changedMembers()
	if names == nil {
		return nil
	}
	next := f.bounded(f.parts.Update(names), len(names))
	gained := next.Difference(owned)
	var answer *partial.Answer
	if complete && gained.Len() > 0 && 2*gained.Len() < next.Len() {
		a, err := f.Client.Snapshot(ctx, gained, needed)
		if err != nil {
			return f.tryAgain(err)
		}
		answer = &a
	}
	if err := f.applyPart(next, gained, answer); err != nil {
		return f.tryAgain(err)
	}
	slog.Info("the part of the list has changed", "members", len(names), "partitions", next.Len(), "gained", gained.Len(), "lost", owned.Difference(next).Len(), "index", needed)
	return nil
}

// changedMembers are the members, if they are others than those of the present part; else nil. With them, what the present part is, which index an answer must have
// at least, and whether the present part is complete.
func (f *Follower) changedMembers() (names []string, owned ownership.Set, needed int64, complete bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if expired := f.membership.Expire(f.now()); !f.changed && !expired {
		return nil, owned, 0, false
	}
	f.changed = false
	return f.membership.Names(), f.owned, f.state.NewestIndex(), f.state.Complete()
}

// tryAgain has the next followMembers work the part out again.
func (f *Follower) tryAgain(err error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changed = true
	return err
}

// applyPart goes on with another part; answer has the entries of what is gained, or the next watch is to ask for everything.
func (f *Follower) applyPart(next, gained ownership.Set, answer *partial.Answer) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	u, err := f.state.ApplyScope(f.owns(next), f.owns(gained), answer)
	if err != nil {
		return err
	}
	if gained.Len() > 0 && answer == nil {
		f.state.Reset()
	}
	f.owned = next
	f.enqueue(u)
	return nil
}

// bounded cuts a part that is far larger than it will be once all of the fleet are members.
func (f *Follower) bounded(owned ownership.Set, members int) ownership.Set {
	if f.FleetSize <= 1 || 2*members >= f.FleetSize {
		return owned
	}
	most := max(1, 2*f.layout.Partitions*min(f.layout.Replicas, f.FleetSize)/f.FleetSize)
	if owned.Len() <= most {
		return owned
	}
	slog.Warn("fewer members are known than the settings say: a bounded part is taken, and the rest by look-ups", "members", members, "expected", f.FleetSize, "partitions", most, "owned", owned.Len())
	var cut []uint32
	for p := range owned.All() {
		if len(cut) == most {
			break
		}
		cut = append(cut, p)
	}
	return ownership.NewSet(cut...)
}

// watchOnce makes one call for what has changed, and waits until that is delivered.
func (f *Follower) watchOnce(ctx context.Context, hold time.Duration) error {
	call, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	w, owned := f.state.NextWatch(), f.owned
	asked := f.asked
	f.asked, f.look = nil, cancel
	f.mu.Unlock()
	if len(asked) > 0 {
		hold = 0
	}
	a, err := f.Client.Watch(call, owned, w, hold)

	f.mu.Lock()
	f.look = nil
	var u partial.Update
	if err == nil {
		u, err = f.state.ApplyWatch(w, a)
	}
	if err != nil {
		f.asked = append(f.asked, asked...)
		f.mu.Unlock()
		if call.Err() != nil && ctx.Err() == nil {
			return nil // Look has ended it
		}
		return err
	}
	done := f.enqueue(u)
	f.mu.Unlock()
	select {
	case <-done:
		for _, a := range asked {
			close(a)
		}
	case <-ctx.Done():
	}
	return nil
}

// Refresh has the list asked for what there is now, and returns once the answer to a call that began after that has been applied and delivered.
func (f *Follower) Refresh(ctx context.Context) error {
	done := make(chan struct{})
	f.mu.Lock()
	f.asked = append(f.asked, done)
	if f.look != nil {
		f.look()
	}
	f.mu.Unlock()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
