package client

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"scaleroute/internal/agent"
	"scaleroute/internal/partial"
)

// engine is a fake engine that applies the updates of a Follower.
type engine struct {
	mu     sync.Mutex
	view   map[string]string // status of each known endpoint, by name
	signal chan struct{}     // receives a value after each update
}

func newEngine() *engine { return &engine{view: map[string]string{}, signal: make(chan struct{}, 1)} }

func (e *engine) deliver(u partial.Update) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, evicted := range u.Evicted {
		for _, name := range evicted.Endpoints {
			delete(e.view, name)
		}
	}
	for _, c := range u.Changed {
		if e.view[c.Name] = c.Status; c.Status == agent.Deleted {
			delete(e.view, c.Name)
		}
	}
	notify(e.signal)
}

func (e *engine) status(name string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view[name]
}

// waitFor waits until delivered updates make a condition true.
func (e *engine) waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	limit := time.After(testTimeout)
	for !condition() {
		select {
		case <-e.signal:
		case <-limit:
			t.Fatalf("not delivered: %s; the endpoints are %v", what, e.view)
		}
	}
}

// startFollower starts a Follower for the member n0 and returns it with the engine that it delivers to.
func startFollower(t *testing.T, limits partial.Limits, servers ...*fakeServer) (*Follower, *engine) {
	t.Helper()
	e := newEngine()
	f := NewFollower(FollowerConfig{Client: newTestClient(t, servers...), Limits: limits, Deliver: e.deliver, WatchHold: 50 * time.Millisecond})
	if err := f.FetchInitial(t.Context(), nil); err != nil {
		t.Fatal(err)
	}
	known, _ := f.StartDelivery()
	for _, one := range known.Endpoints {
		e.view[one.Name] = one.Status
	}
	runFollower(t, f)
	return f, e
}

// runFollower runs a Follower until the test ends.
func runFollower(t *testing.T, f *Follower) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		f.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// testDeadline is the deadline of messages that must not expire in a test.
func testDeadline() time.Time { return time.Now().Add(testTimeout) }

// addEndpoints adds one endpoint for each destination.
func (l *sharedList) addEndpoints(destinations ...int) {
	for _, d := range destinations {
		l.set(d, endpointName(d), agent.Serving)
	}
}

// TestFollowerWatchesPartAndLooksUpOthers checks that a Follower watches its own part, that a destination outside the part is looked up once for all messages that wait for it and is watched from
// then on, and that a message for a destination that does not exist passes.
func TestFollowerWatchesPartAndLooksUpOthers(t *testing.T) {
	l := newSharedList()
	l.setMembers("n0", "n1", "n2", "n3")
	inside, outside := destinationsOf(testLayout.OwnedPartitions("n0", []string{"n0", "n1", "n2", "n3"}), 3)
	l.addEndpoints(inside[0], outside[0], outside[1])
	s := newFakeServer(t, l)
	f, e := startFollower(t, partial.DefaultLimits(), s)
	if len(e.view) != 1 || e.status(endpointName(inside[0])) != agent.Serving {
		t.Fatalf("initial endpoints: %v", e.view)
	}
	if d := f.Arrive(inside[0], testDeadline()); d.Action != partial.Proceed {
		t.Fatalf("a message for the part: %+v; want it to pass", d)
	}
	var all sync.WaitGroup
	for range 20 {
		all.Go(func() {
			if d := f.Arrive(outside[0], testDeadline()); d.Action != partial.Proceed || e.status(endpointName(outside[0])) != agent.Serving {
				t.Errorf("a message for another destination: %+v, endpoint status %q; want it to pass", d, e.status(endpointName(outside[0])))
			}
		})
	}
	all.Wait()
	if n := s.count("lookup"); n != 1 {
		t.Errorf("%d look-ups; want 1", n)
	}
	if d := f.Arrive(outside[2], testDeadline()); d.Action != partial.Proceed || e.status(endpointName(outside[2])) != "" {
		t.Errorf("a destination that does not exist: %+v", d)
	}
	l.set(outside[0], endpointName(outside[0]), agent.Draining)
	l.set(inside[0], endpointName(inside[0]), agent.Draining)
	e.waitFor(t, "two draining endpoints", func() bool {
		return e.status(endpointName(outside[0])) == agent.Draining && e.status(endpointName(inside[0])) == agent.Draining
	})
	status := f.Status()
	if status.Part.Fetched != 1 || status.Members != 4 || !status.Complete || status.Traffic["lookup"].Calls != 2 {
		t.Errorf("status %+v; want 1 fetched destination, 4 members, a complete part and 2 look-ups", status)
	}
}

// TestAllServersUnavailable checks that while no control server answers, the received endpoints stay in use, messages for destinations of the part pass, and messages for
// other destinations are rejected with a retry-after; once a server answers again, look-ups succeed.
func TestAllServersUnavailable(t *testing.T) {
	l := newSharedList()
	l.setMembers("n0", "n1", "n2", "n3")
	inside, outside := destinationsOf(testLayout.OwnedPartitions("n0", []string{"n0", "n1", "n2", "n3"}), 2)
	l.addEndpoints(inside[0], inside[1], outside[0])
	a, b := newFakeServer(t, l), newFakeServer(t, l)
	f, e := startFollower(t, partial.DefaultLimits(), a, b)
	l.set(inside[0], endpointName(inside[0]), agent.Draining)
	e.waitFor(t, "a draining endpoint", func() bool { return e.status(endpointName(inside[0])) == agent.Draining })
	var state sync.Map // has the key "back" once the servers answer again
	for _, s := range []*fakeServer{a, b} {
		s.setIntercept(func(w http.ResponseWriter, r *http.Request) bool {
			if _, recovered := state.Load("back"); recovered {
				return false
			}
			return truncateAnswer(w, r)
		})
	}
	if d := f.Arrive(outside[0], testDeadline()); d.Action != partial.Reject || d.RetryAfter <= 0 {
		t.Errorf("a message for another destination: %+v; want a rejection with a retry-after", d)
	}
	if d := f.Arrive(inside[1], testDeadline()); d.Action != partial.Proceed || e.status(endpointName(inside[0])) != agent.Draining {
		t.Errorf("a message for the part: %+v, endpoints %v; want it to pass and the drain to remain", d, e.view)
	}
	state.Store("back", true)
	if err := f.Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	for limit := testDeadline(); ; { // the budget of look-ups may be used up at first
		if d := f.Arrive(outside[0], testDeadline()); d.Action == partial.Proceed {
			break
		}
		if time.Now().After(limit) {
			t.Fatal("no look-up has succeeded after the servers recovered")
		}
	}
}

// TestGainedPartitionsFetchedAlone checks that after a member has left, only the entries of the gained partitions are requested, and that an endpoint which was withdrawn while its
// partition moved is not used.
func TestGainedPartitionsFetchedAlone(t *testing.T) {
	l := newSharedList()
	before, after := []string{"n0", "n1", "n2", "n3", "n4", "n5"}, []string{"n0", "n1", "n2", "n3", "n4"}
	l.setMembers(before...)
	was, is := testLayout.OwnedPartitions("n0", before), testLayout.OwnedPartitions("n0", after)
	gained, _ := destinationsOf(is.Difference(was), 2)
	kept, _ := destinationsOf(was, 2)
	l.addEndpoints(append(slices.Clone(gained), kept...)...)
	s := newFakeServer(t, l)
	f, e := startFollower(t, partial.DefaultLimits(), s)
	if e.status(endpointName(gained[0])) != "" {
		t.Fatalf("initial endpoints %v; want none of the partitions gained later", e.view)
	}
	l.set(gained[1], endpointName(gained[1]), agent.Deleted)
	l.setMembers(after...)
	e.waitFor(t, "the endpoint of a gained destination", func() bool { return e.status(endpointName(gained[0])) == agent.Serving })
	if e.status(endpointName(gained[1])) != "" {
		t.Errorf("%s was withdrawn, but has status %q", endpointName(gained[1]), e.status(endpointName(gained[1])))
	}
	if d := f.Arrive(gained[0], testDeadline()); d.Action != partial.Proceed {
		t.Errorf("a message for a gained destination: %+v; want it to pass", d)
	}
	if n := s.count("lookup"); n != 0 {
		t.Errorf("%d look-ups; want none", n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	fullRequests := 0
	for _, query := range s.listQueries {
		if !strings.Contains(query, "from=") && strings.Contains(query, testLayout.Digest(is)) {
			fullRequests++
		}
	}
	if fullRequests > 0 {
		t.Errorf("the whole part was requested %d times; want never", fullRequests)
	}
}

// TestGainedPartitionsFetchFails checks that while requests for the entries of gained partitions fail, the current part is still watched and gained destinations are looked up.
func TestGainedPartitionsFetchFails(t *testing.T) {
	l := newSharedList()
	before, after := []string{"n0", "n1", "n2", "n3", "n4", "n5"}, []string{"n0", "n1", "n2", "n3", "n4"}
	l.setMembers(before...)
	was, is := testLayout.OwnedPartitions("n0", before), testLayout.OwnedPartitions("n0", after)
	gained, _ := destinationsOf(is.Difference(was), 1)
	kept, _ := destinationsOf(was, 1)
	l.addEndpoints(gained[0], kept[0])
	s := newFakeServer(t, l)
	f, e := startFollower(t, partial.DefaultLimits(), s)
	s.setIntercept(func(w http.ResponseWriter, r *http.Request) bool {
		q := r.URL.Query()
		return q.Has("scope") && !q.Has("from") && truncateAnswer(w, r)
	})
	l.setMembers(after...)
	for s.count("GET /v1/servers") < 8 || f.Status().Members != len(after) {
		time.Sleep(time.Millisecond)
	}
	l.set(kept[0], endpointName(kept[0]), agent.Draining)
	e.waitFor(t, "a draining endpoint of the current part", func() bool { return e.status(endpointName(kept[0])) == agent.Draining })
	if d := f.Arrive(gained[0], testDeadline()); d.Action != partial.Proceed || e.status(endpointName(gained[0])) != agent.Serving {
		t.Errorf("a message for a gained destination: %+v, endpoints %v; want it to pass", d, e.view)
	}
	s.setIntercept(nil)
	for limit := testDeadline(); f.Status().Partitions != is.Len(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("the gained partitions are not part of the status: %+v", f.Status())
		}
	}
}

// TestResume checks that a successor process starts from the saved state without a call, and receives the changes from there on.
func TestResume(t *testing.T) {
	l := newSharedList()
	l.setMembers("n0", "n1", "n2", "n3")
	inside, outside := destinationsOf(testLayout.OwnedPartitions("n0", []string{"n0", "n1", "n2", "n3"}), 1)
	l.addEndpoints(inside[0], outside[0])
	s := newFakeServer(t, l)
	f, _ := startFollower(t, partial.DefaultLimits(), s)
	f.Arrive(outside[0], testDeadline())
	saved := f.Save()

	e := newEngine()
	next := NewFollower(FollowerConfig{Client: newTestClient(t, s), Limits: partial.DefaultLimits(), Deliver: e.deliver, WatchHold: 50 * time.Millisecond})
	if !next.Resume(saved) {
		t.Fatal("the saved state was not used")
	}
	known, _ := next.StartDelivery()
	if len(known.Endpoints) != 2 {
		t.Fatalf("known after Resume: %+v; want 2 endpoints", known)
	}
	next.Hold(outside[0]) // for a message that the previous process accepted
	for _, one := range known.Endpoints {
		e.view[one.Name] = one.Status
	}
	runFollower(t, next)
	l.set(outside[0], endpointName(outside[0]), agent.Draining)
	e.waitFor(t, "a draining endpoint", func() bool { return e.status(endpointName(outside[0])) == agent.Draining })
	next.Release(outside[0])
	e.waitFor(t, "the eviction", func() bool { return e.status(endpointName(outside[0])) == "" })
	saved.Complete = false
	if NewFollower(FollowerConfig{Client: newTestClient(t, s)}).Resume(saved) {
		t.Error("an incomplete saved state was used")
	}
}

// TestPartLimitedDuringFleetStart checks that the first member of a fleet that starts follows no more than twice the part that it will own once the fleet is complete.
func TestPartLimitedDuringFleetStart(t *testing.T) {
	l := newSharedList()
	l.setMembers("n0")
	f := NewFollower(FollowerConfig{Client: newTestClient(t, newFakeServer(t, l)), Limits: partial.DefaultLimits(), FleetSize: 16})
	if err := f.FetchInitial(t.Context(), nil); err != nil {
		t.Fatal(err)
	}
	if n, limit := f.Status().Partitions, 2*testLayout.Partitions*testLayout.Replicas/16; n != limit {
		t.Errorf("the part has %d partitions; want %d", n, limit)
	}
}

// TestLookupBudgetExceeded checks that messages whose look-up would exceed the budget are rejected with a retry-after rather than waiting until their deadline.
func TestLookupBudgetExceeded(t *testing.T) {
	l := newSharedList()
	l.setMembers("n0", "n1", "n2", "n3")
	_, outside := destinationsOf(testLayout.OwnedPartitions("n0", []string{"n0", "n1", "n2", "n3"}), 40)
	l.addEndpoints(outside...)
	limits := partial.DefaultLimits()
	limits.LookupBytesPerSecond, limits.Burst, limits.MaxBatch = 100, 1000, 1
	f, _ := startFollower(t, limits, newFakeServer(t, l))
	passed, rejected := 0, 0
	for _, d := range outside {
		switch v := f.Arrive(d, testDeadline()); {
		case v.Action == partial.Proceed:
			passed++
		case v.RetryAfter > 0:
			rejected++
		}
	}
	if passed == 0 || rejected == 0 || passed+rejected != len(outside) {
		t.Errorf("%d messages passed and %d were rejected; want some of each and no other result", passed, rejected)
	}
	if spent := f.Status().Traffic["lookup"]; spent.Sent+spent.Received > 2000 {
		t.Errorf("look-ups: %+v; want at most 2000 bytes", spent)
	}
}

// TestRefreshWaitsForDelivery checks that Refresh returns only after the changes that it found are delivered. A process that was suspended starts its calls when Refresh
// returns, so an earlier return would let it call endpoints that are draining or withdrawn.
func TestRefreshWaitsForDelivery(t *testing.T) {
	l := newSharedList()
	l.setMembers("n0", "n1", "n2", "n3")
	inside, _ := destinationsOf(testLayout.OwnedPartitions("n0", []string{"n0", "n1", "n2", "n3"}), 1)
	l.addEndpoints(inside...)
	s := newFakeServer(t, l)
	drain := sync.OnceFunc(func() { l.set(inside[0], endpointName(inside[0]), agent.Draining) })
	s.setIntercept(func(_ http.ResponseWriter, r *http.Request) bool {
		if r.URL.Query().Get("hold_ms") == "0" { // the call that Refresh caused; the watch before it was cancelled
			drain()
		}
		return false
	})
	e, entered, release := newEngine(), make(chan struct{}, 1), make(chan struct{})
	f := NewFollower(FollowerConfig{Client: newTestClient(t, s), Limits: partial.DefaultLimits(), WatchHold: time.Minute, Deliver: func(u partial.Update) {
		if len(u.Changed) > 0 {
			notify(entered)
			<-release
		}
		e.deliver(u)
	}})
	if err := f.FetchInitial(t.Context(), nil); err != nil {
		t.Fatal(err)
	}
	f.StartDelivery()
	runFollower(t, f)
	unblock := sync.OnceFunc(func() { close(release) })
	t.Cleanup(unblock) // runs before the cleanup that waits for the Follower to end
	refreshed := make(chan error, 1)
	go func() { refreshed <- f.Refresh(t.Context()) }()
	<-entered
	select {
	case err := <-refreshed:
		t.Fatalf("Refresh returned before the delivery: %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	unblock()
	if err := <-refreshed; err != nil || e.status(endpointName(inside[0])) != agent.Draining {
		t.Errorf("Refresh: %v; the endpoint has status %q, want a drain", err, e.status(endpointName(inside[0])))
	}
}
