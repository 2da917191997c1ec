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

// FollowerConfig is the configuration of a Follower.
type FollowerConfig struct {
	Client *Client
	Limits partial.Limits
	// FleetSize is the expected number of forwarders. While less than half of them are known, the part is limited to twice what one member of a complete fleet
	// owns, so that the first member of a fleet that starts does not request the whole list. 0 means no limit.
	FleetSize int
	// Deliver receives each update, in order, from one goroutine at a time. It may block.
	Deliver func(partial.Update)
	// AwaitRecorded returns once the delivered updates are recorded for the next process. The watch then confirms to the server that it has them. nil: they
	// are not recorded.
	AwaitRecorded func()
	// WatchHold is the time for which a server may hold its answer to a watch; 0 means DefaultWatchHold.
	WatchHold time.Duration
}

// Follower keeps a partial.State up to date through a Client. Run runs its goroutines: one watches the members, one watches the part, one starts look-ups, and one
// delivers updates. Each look-up has a goroutine of its own; up to Limits.InFlight of them run at a time.
type Follower struct {
	FollowerConfig
	layout      ownership.Layout
	startTime   time.Time
	lookupReady chan struct{}      // signals that a look-up may be started
	outboxReady chan struct{}      // signals that the outbox has an update
	runEnded    chan struct{}      // closed once Run has ended
	partKnown   chan struct{}      // closed once the members are known, from a control server or from a saved state
	tracker     *ownership.Tracker // used only by followMembers, which never runs concurrently with itself

	mu                    sync.Mutex
	delivering            bool             // StartDelivery was called and Run has not ended
	changedBeforeDelivery []agent.Endpoint // endpoints that changed before StartDelivery
	stopped               bool             // Run has ended: nothing is delivered any more
	state                 *partial.State
	membership            Membership
	membersChanged        bool                  // owned was computed from an earlier set of members
	owned                 ownership.Set         // partitions of the current part
	waiters               map[int]chan struct{} // by destination; closed once its look-up ends
	outbox                []delivery            // updates to deliver, oldest first
	outboxDelivered       chan struct{}         // closed once everything in outbox is delivered; nil if there is nothing to deliver
	interruptWatch        context.CancelFunc    // cancels the watch in flight; nil if there is none
	refreshRequests       []chan<- struct{}     // closed once the answer to a watch that starts from now on is delivered

	failedLookups     int64
	lastLookupWarning time.Duration // when a failed look-up was last logged
}

// delivery is an update in the outbox. done is closed once it is delivered.
type delivery struct {
	update partial.Update
	done   chan struct{}
}

// NewFollower returns a Follower that knows no endpoints and no members.
func NewFollower(c FollowerConfig) *Follower {
	if c.WatchHold == 0 {
		c.WatchHold = DefaultWatchHold
	}
	return &Follower{FollowerConfig: c, layout: c.Client.config.Layout, startTime: time.Now(), lookupReady: make(chan struct{}, 1), outboxReady: make(chan struct{}, 1), partKnown: make(chan struct{}), runEnded: make(chan struct{}),
		state: partial.New(c.Limits), waiters: map[int]chan struct{}{}, tracker: ownership.NewTracker(c.Client.config.Layout, c.Client.config.Name)}
}

// now returns the time since startTime, which is the clock of the partial.State and of the Membership.
func (f *Follower) now() time.Duration { return time.Since(f.startTime) }

// SavedState is the state that a process hands over to its successor.
type SavedState struct {
	Members    []string   `json:"members"`
	Owned      string     `json:"owned"`
	Index      int64      `json:"index"`
	Known      agent.List `json:"known"`
	Complete   bool       `json:"complete"`
	Partitions int        `json:"partitions"`
}

// Save returns the state for the successor process. It is called after Run has ended.
func (f *Follower) Save() SavedState {
	f.mu.Lock()
	defer f.mu.Unlock()
	index := f.state.Counts().Index
	return SavedState{Members: f.membership.Names(), Owned: f.owned.String(), Index: index, Partitions: f.layout.Partitions, Complete: f.state.Complete(),
		Known: agent.List{Index: max(0, index), Snapshot: true, Endpoints: f.state.Endpoints()}}
}

// Resume restores the state that another process has saved. It is called before any other method. It returns false, and changes nothing, if the saved state has
// another layout or is incomplete.
func (f *Follower) Resume(from SavedState) bool {
	owned, err := ownership.ParseSet(from.Owned, f.layout.Partitions, uint64(f.layout.Partitions))
	if err != nil || from.Partitions != f.layout.Partitions || !from.Complete {
		return false
	}
	f.owned = owned
	f.state.Initialize(f.owns(owned), from.Index, from.Known.Endpoints)
	f.state.ContinueWatch()
	f.membership.Restore(from.Members)
	close(f.partKnown)
	return true
}

// SetInitialList sets the endpoint list that is used until a control server has answered, such as the list of the configuration.
func (f *Follower) SetInitialList(known *agent.List) {
	f.state.Initialize(f.owns(ownership.Set{}), known.Index, known.Endpoints)
}

// owns returns a function that reports whether a destination is in a set of partitions.
func (f *Follower) owns(set ownership.Set) partial.DestinationFilter {
	return func(destination int) bool { return set.Contains(f.layout.PartitionOf(destination)) }
}

// FetchInitial requests the members and the part, and in addition the destinations of recovered messages. It is called before Run. It tries each server once; an
// error means that none has answered or that ctx has ended; Run then retries. It adds a reference to each of these destinations, which is held until Release.
func (f *Follower) FetchInitial(ctx context.Context, recovered []int) error {
	f.mu.Lock()
	for _, d := range recovered {
		f.state.AddRecoveredMessage(d)
	}
	f.mu.Unlock()
	var err error
	for range f.Client.servers { // try each server once
		if err = f.fetchInitialOnce(ctx); err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// fetchInitialOnce requests the members, unless they are known already, and then the part.
func (f *Follower) fetchInitialOnce(ctx context.Context) error {
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

// StartDelivery returns all known endpoints, and the changes since SetInitialList or Resume. Later changes go to Deliver once Run runs.
func (f *Follower) StartDelivery() (known agent.List, changed []agent.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delivering, changed, f.changedBeforeDelivery = true, f.changedBeforeDelivery, nil
	return agent.List{Index: max(0, f.state.NewestIndex()), Snapshot: true, Endpoints: f.state.Endpoints()}, changed
}

// Status describes the state of a Follower for operators.
type Status struct {
	Server     string         `json:"server"`
	Members    int            `json:"members"`
	Partitions int            `json:"partitions"`
	Complete   bool           `json:"complete"`
	Part       partial.Counts `json:"part"`
	// FailedLookups counts look-ups without a usable answer. Their messages were refused with a retry-after.
	FailedLookups int64            `json:"failed_lookups"`
	Traffic       map[string]Usage `json:"traffic"`
}

// Status returns the current status.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Status{Server: f.Client.Server(), Members: len(f.membership.Names()), Partitions: f.owned.Len(), Complete: f.state.Complete(), Part: f.state.Counts(), FailedLookups: f.failedLookups,
		Traffic: f.Client.Traffic()}
}

// Run follows the list until ctx ends. After it returns, nothing is delivered and no message waits for a look-up.
func (f *Follower) Run(ctx context.Context) {
	defer f.stop()
	var all sync.WaitGroup
	defer all.Wait()
	all.Go(func() { f.watchMembers(ctx) })
	all.Go(func() { f.watchPart(ctx) })
	all.Go(func() { f.startLookups(ctx) })
	all.Go(func() { f.deliver(ctx) })
}

// watchMembers watches the members until ctx ends. Each call also renews this member's lease.
func (f *Follower) watchMembers(ctx context.Context) {
	retry := backoff{client: f.Client}
	for ctx.Err() == nil {
		f.mu.Lock()
		epoch, index, hold := f.membership.Epoch, f.membership.Index, min(maxMembersHold, f.membership.Lease/3)
		f.mu.Unlock()
		a, err := f.Client.Members(ctx, epoch, index, hold)
		if err != nil {
			retry.wait(ctx, "members", err)
			continue
		}
		retry.reset()
		f.applyMembers(a)
	}
}

// maxMembersHold is the maximum time for which a server holds its answer to a watch of the members. The lease is renewed at least that often.
const maxMembersHold = 10 * time.Second

// applyMembers applies an answer to a watch of the members.
func (f *Follower) applyMembers(a api.Members) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.membership.Apply(f.now(), a) {
		f.membersChanged = true
	}
	select {
	case <-f.partKnown:
	default:
		close(f.partKnown)
	}
}

// watchPart waits until the members are known and then watches this forwarder's part of the list until ctx ends.
func (f *Follower) watchPart(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-f.partKnown:
	}
	retry := backoff{client: f.Client}
	for ctx.Err() == nil {
		if err := f.followMembers(ctx); err != nil && ctx.Err() == nil { // the watch of the current part continues regardless
			slog.Warn("fetching the entries of new partitions failed: their destinations are looked up until a retry succeeds", "err", err)
		}
		if err := f.watchOnce(ctx, f.WatchHold); err != nil {
			retry.wait(ctx, "list", err)
			continue
		}
		retry.reset()
	}
}

// followMembers switches to the part that this forwarder owns among the current members, if these have changed. If less than half of the part is new, it requests the
// entries of the new partitions alone and keeps the rest; otherwise the next watch requests the whole part.
func (f *Follower) followMembers(ctx context.Context) error {
	names, owned, needed, complete := f.changedMembers()
	if names == nil {
		return nil
	}
	next := f.limitPart(f.tracker.Update(names), len(names))
	gained := next.Difference(owned)
	var answer *partial.Answer
	if complete && gained.Len() > 0 && 2*gained.Len() < next.Len() {
		a, err := f.Client.Snapshot(ctx, gained, needed)
		if err != nil {
			return f.retryPart(err)
		}
		answer = &a
	}
	if err := f.applyPart(next, gained, answer); err != nil {
		return f.retryPart(err)
	}
	slog.Info("the forwarder's part of the list has changed", "members", len(names), "partitions", next.Len(), "gained", gained.Len(), "lost", owned.Difference(next).Len(), "index", needed)
	return nil
}

// changedMembers returns the names of the members if they have changed since the current part was computed, and nil otherwise. It also returns the current part, the
// minimum index of an answer, and whether the current part is complete.
func (f *Follower) changedMembers() (names []string, owned ownership.Set, needed int64, complete bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if expired := f.membership.Expire(f.now()); !f.membersChanged && !expired {
		return nil, owned, 0, false
	}
	f.membersChanged = false
	return f.membership.Names(), f.owned, f.state.NewestIndex(), f.state.Complete()
}

// retryPart makes the next followMembers compute the part again. It returns its argument.
func (f *Follower) retryPart(err error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.membersChanged = true
	return err
}

// applyPart switches to the part next. answer has the entries of the gained partitions; if it is nil and there are any, the next watch requests the whole part.
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

// limitPart truncates a part that is much larger than it will be once the whole fleet has joined.
func (f *Follower) limitPart(owned ownership.Set, members int) ownership.Set {
	if f.FleetSize <= 1 || 2*members >= f.FleetSize {
		return owned
	}
	limit := max(1, 2*f.layout.Partitions*min(f.layout.Replicas, f.FleetSize)/f.FleetSize)
	if owned.Len() <= limit {
		return owned
	}
	slog.Warn("fewer than half of the expected members are known: following a limited part of the list and looking up the rest", "members", members, "expected", f.FleetSize, "partitions", limit, "owned", owned.Len())
	var kept []uint32
	for p := range owned.All() {
		if len(kept) == limit {
			break
		}
		kept = append(kept, p)
	}
	return ownership.NewSet(kept...)
}

// watchOnce makes one call of the watch and waits until the changes in its answer are delivered. A pending Refresh makes the server answer at once.
func (f *Follower) watchOnce(ctx context.Context, hold time.Duration) error {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	w, owned := f.state.NextWatch(), f.owned
	refreshes := f.refreshRequests
	f.refreshRequests, f.interruptWatch = nil, cancel
	f.mu.Unlock()
	if len(refreshes) > 0 {
		hold = 0
	}
	a, err := f.Client.Watch(callCtx, owned, w, hold)

	f.mu.Lock()
	f.interruptWatch = nil
	var u partial.Update
	if err == nil {
		u, err = f.state.ApplyWatch(w, a)
	}
	if err != nil {
		f.refreshRequests = append(f.refreshRequests, refreshes...)
		f.mu.Unlock()
		if callCtx.Err() != nil && ctx.Err() == nil {
			return nil // Refresh has cancelled the call
		}
		return err
	}
	done := f.enqueue(u)
	f.mu.Unlock()
	select {
	case <-done:
		for _, refreshed := range refreshes {
			close(refreshed)
		}
		if f.AwaitRecorded != nil {
			f.AwaitRecorded()
		}
	case <-ctx.Done():
	}
	return nil
}

// Refresh makes the watch request the current state of the list. It returns once the answer to a call that began after Refresh was called is applied and delivered.
func (f *Follower) Refresh(ctx context.Context) error {
	done := make(chan struct{})
	f.mu.Lock()
	f.refreshRequests = append(f.refreshRequests, done)
	if f.interruptWatch != nil {
		f.interruptWatch()
	}
	f.mu.Unlock()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
