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

// engine is what a Follower delivers to.
type engine struct {
	mu     sync.Mutex
	view   map[string]string
	signal chan struct{}
}

func newEngine() *engine { return &engine{view: map[string]string{}, signal: make(chan struct{}, 1)} }

func (e *engine) deliver(u partial.Update) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, gone := range u.Evicted {
		for _, name := range gone.Endpoints {
			delete(e.view, name)
		}
	}
	for _, c := range u.Changed {
		if e.view[c.Name] = c.Status; c.Status == agent.Deleted {
			delete(e.view, c.Name)
		}
	}
	signal(e.signal)
}

func (e *engine) status(name string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view[name]
}

// await waits until something is delivered that makes a condition true.
func (e *engine) await(t *testing.T, what string, is func() bool) {
	t.Helper()
	limit := time.After(patience)
	for !is() {
		select {
		case <-e.signal:
		case <-limit:
			t.Fatalf("not delivered: %s; there is %v", what, e.view)
		}
	}
}

// following runs a Follower of the member n0.
func following(t *testing.T, limits partial.Limits, servers ...*fake) (*Follower, *engine) {
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
	run(t, f)
	return f, e
}

func run(t *testing.T, f *Follower) {
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan struct{})
	go func() {
		f.Run(ctx)
		close(over)
	}()
	t.Cleanup(func() {
		cancel()
		<-over
	})
}

func soon() time.Time { return time.Now().Add(patience) }

// fill lists destinations, one endpoint each.
func (l *list) fill(destinations ...int) {
	for _, d := range destinations {
		l.set(d, name(d), agent.Serving)
	}
}

// TestFollow: the part is known and followed; a destination outside is looked up once for all that wait for it, and followed from then on; one that does not exist passes.
func TestFollow(t *testing.T) {
	l := newList()
	l.setMembers("n0", "n1", "n2", "n3")
	inside, outside := destinationsOf(testLayout.OwnedPartitions("n0", []string{"n0", "n1", "n2", "n3"}), 3)
	l.fill(inside[0], outside[0], outside[1])
	s := newFake(t, l)
	f, e := following(t, partial.DefaultLimits(), s)
	if len(e.view) != 1 || e.status(name(inside[0])) != agent.Serving {
		t.Fatalf("at the start: %v", e.view)
	}
	if d := f.Arrive(inside[0], soon()); d.Action != partial.Proceed {
		t.Fatalf("%+v", d)
	}
	var all sync.WaitGroup
	for range 20 {
		all.Go(func() {
			if d := f.Arrive(outside[0], soon()); d.Action != partial.Proceed || e.status(name(outside[0])) != agent.Serving {
				t.Errorf("%+v; %q", d, e.status(name(outside[0])))
			}
		})
	}
	all.Wait()
	if n := s.count("lookup"); n != 1 {
		t.Errorf("%d look-ups", n)
	}
	if d := f.Arrive(outside[2], soon()); d.Action != partial.Proceed || e.status(name(outside[2])) != "" {
		t.Errorf("one that does not exist: %+v", d)
	}
	l.set(outside[0], name(outside[0]), agent.Draining)
	l.set(inside[0], name(inside[0]), agent.Draining)
	e.await(t, "two drains", func() bool {
		return e.status(name(outside[0])) == agent.Draining && e.status(name(inside[0])) == agent.Draining
	})
	status := f.Status()
	if status.Part.Fetched != 1 || status.Members != 4 || !status.Complete || status.Traffic["lookup"].Calls != 2 {
		t.Errorf("%+v", status)
	}
}

// TestAllServersDead: what was received holds, the part goes on, and destinations outside are rejected with a retry-after; once a server is back, all goes on.
func TestAllServersDead(t *testing.T) {
	l := newList()
	l.setMembers("n0", "n1", "n2", "n3")
	inside, outside := destinationsOf(testLayout.OwnedPartitions("n0", []string{"n0", "n1", "n2", "n3"}), 2)
	l.fill(inside[0], inside[1], outside[0])
	a, b := newFake(t, l), newFake(t, l)
	f, e := following(t, partial.DefaultLimits(), a, b)
	l.set(inside[0], name(inside[0]), agent.Draining)
	e.await(t, "a drain", func() bool { return e.status(name(inside[0])) == agent.Draining })
	var dead sync.Map
	for _, s := range []*fake{a, b} {
		s.spoils(func(w http.ResponseWriter, r *http.Request) bool {
			if _, back := dead.Load("back"); back {
				return false
			}
			return cutOff(w, r)
		})
	}
	if d := f.Arrive(outside[0], soon()); d.Action != partial.Reject || d.RetryAfter <= 0 {
		t.Errorf("%+v", d)
	}
	if d := f.Arrive(inside[1], soon()); d.Action != partial.Proceed || e.status(name(inside[0])) != agent.Draining {
		t.Errorf("%+v; %v", d, e.view)
	}
	dead.Store("back", true)
	if err := f.Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	for limit := soon(); ; { // the budget may be spent
		if d := f.Arrive(outside[0], soon()); d.Action == partial.Proceed {
			break
		}
		if time.Now().After(limit) {
			t.Fatal("no look-up succeeds")
		}
	}
}

// TestPartMoves: a member leaves. Only the entries of the partitions that come new are asked for, and an endpoint that was withdrawn while its part moved is not served.
func TestPartMoves(t *testing.T) {
	l := newList()
	before, after := []string{"n0", "n1", "n2", "n3", "n4", "n5"}, []string{"n0", "n1", "n2", "n3", "n4"}
	l.setMembers(before...)
	was, is := testLayout.OwnedPartitions("n0", before), testLayout.OwnedPartitions("n0", after)
	gained, _ := destinationsOf(is.Difference(was), 2)
	kept, _ := destinationsOf(was, 2)
	l.fill(append(slices.Clone(gained), kept...)...)
	s := newFake(t, l)
	f, e := following(t, partial.DefaultLimits(), s)
	if e.status(name(gained[0])) != "" {
		t.Fatalf("%v", e.view)
	}
	l.set(gained[1], name(gained[1]), agent.Deleted)
	l.setMembers(after...)
	e.await(t, "the gained destination", func() bool { return e.status(name(gained[0])) == agent.Serving })
	if e.status(name(gained[1])) != "" {
		t.Errorf("%s was withdrawn, and is %q", name(gained[1]), e.status(name(gained[1])))
	}
	if d := f.Arrive(gained[0], soon()); d.Action != partial.Proceed {
		t.Errorf("%+v", d)
	}
	if n := s.count("lookup"); n != 0 {
		t.Errorf("%d look-ups", n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	whole := 0
	for _, query := range s.asked {
		if !strings.Contains(query, "from=") && strings.Contains(query, testLayout.Digest(is)) {
			whole++
		}
	}
	if whole > 0 {
		t.Errorf("the whole part was asked for %d times", whole)
	}
}

// TestGainedFails: while the entries of new partitions can't be had, the part that is known is followed, and new destinations are looked up.
func TestGainedFails(t *testing.T) {
	l := newList()
	before, after := []string{"n0", "n1", "n2", "n3", "n4", "n5"}, []string{"n0", "n1", "n2", "n3", "n4"}
	l.setMembers(before...)
	was, is := testLayout.OwnedPartitions("n0", before), testLayout.OwnedPartitions("n0", after)
	gained, _ := destinationsOf(is.Difference(was), 1)
	kept, _ := destinationsOf(was, 1)
	l.fill(gained[0], kept[0])
	s := newFake(t, l)
	f, e := following(t, partial.DefaultLimits(), s)
	s.spoils(func(w http.ResponseWriter, r *http.Request) bool {
		q := r.URL.Query()
		return q.Has("scope") && !q.Has("from") && cutOff(w, r)
	})
	l.setMembers(after...)
	for s.count("GET /v1/servers") < 8 || f.Status().Members != len(after) {
		time.Sleep(time.Millisecond)
	}
	l.set(kept[0], name(kept[0]), agent.Draining)
	e.await(t, "a drain of the part", func() bool { return e.status(name(kept[0])) == agent.Draining })
	if d := f.Arrive(gained[0], soon()); d.Action != partial.Proceed || e.status(name(gained[0])) != agent.Serving {
		t.Errorf("%+v; %v", d, e.view)
	}
	s.spoils(nil)
	for limit := soon(); f.Status().Partitions != is.Len(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("%+v", f.Status())
		}
	}
}

// TestResume: the next process goes on from what was saved, without a call, and follows from there.
func TestResume(t *testing.T) {
	l := newList()
	l.setMembers("n0", "n1", "n2", "n3")
	inside, outside := destinationsOf(testLayout.OwnedPartitions("n0", []string{"n0", "n1", "n2", "n3"}), 1)
	l.fill(inside[0], outside[0])
	s := newFake(t, l)
	f, _ := following(t, partial.DefaultLimits(), s)
	f.Arrive(outside[0], soon())
	saved := f.Save()

	e := newEngine()
	next := NewFollower(FollowerConfig{Client: newTestClient(t, s), Limits: partial.DefaultLimits(), Deliver: e.deliver, WatchHold: 50 * time.Millisecond})
	if !next.Resume(saved) {
		t.Fatal("not resumed")
	}
	known, _ := next.StartDelivery()
	if len(known.Endpoints) != 2 {
		t.Fatalf("%+v", known)
	}
	next.Hold(outside[0]) // a message that was accepted before
	for _, one := range known.Endpoints {
		e.view[one.Name] = one.Status
	}
	run(t, next)
	l.set(outside[0], name(outside[0]), agent.Draining)
	e.await(t, "a drain", func() bool { return e.status(name(outside[0])) == agent.Draining })
	next.Release(outside[0])
	e.await(t, "the eviction", func() bool { return e.status(name(outside[0])) == "" })
	saved.Complete = false
	if NewFollower(FollowerConfig{Client: newTestClient(t, s)}).Resume(saved) {
		t.Error("an incomplete part is resumed")
	}
}

// TestBoundedPart: the first members of a fleet that starts take no more than twice their part.
func TestBoundedPart(t *testing.T) {
	l := newList()
	l.setMembers("n0")
	f := NewFollower(FollowerConfig{Client: newTestClient(t, newFake(t, l)), Limits: partial.DefaultLimits(), FleetSize: 16})
	if err := f.FetchInitial(t.Context(), nil); err != nil {
		t.Fatal(err)
	}
	if n, most := f.Status().Partitions, 2*testLayout.Partitions*testLayout.Replicas/16; n != most {
		t.Errorf("%d partitions of %d", n, most)
	}
}

// TestBudget: beyond the budget of look-ups messages are rejected with a retry-after, and none waits for long.
func TestBudget(t *testing.T) {
	l := newList()
	l.setMembers("n0", "n1", "n2", "n3")
	_, outside := destinationsOf(testLayout.OwnedPartitions("n0", []string{"n0", "n1", "n2", "n3"}), 40)
	l.fill(outside...)
	limits := partial.DefaultLimits()
	limits.LookupBytesPerSecond, limits.Burst, limits.MaxBatch = 100, 1000, 1
	f, _ := following(t, limits, newFake(t, l))
	passed, rejected := 0, 0
	for _, d := range outside {
		switch v := f.Arrive(d, soon()); {
		case v.Action == partial.Proceed:
			passed++
		case v.RetryAfter > 0:
			rejected++
		}
	}
	if passed == 0 || rejected == 0 || passed+rejected != len(outside) {
		t.Errorf("%d passed, %d rejected", passed, rejected)
	}
	if spent := f.Status().Traffic["lookup"]; spent.Sent+spent.Received > 2000 {
		t.Errorf("%+v", spent)
	}
}

// TestLookWaitsForDelivery: whoever asks for what there is now hears that it is so only once what had changed is delivered: a process that slept begins to make calls then.
func TestLookWaitsForDelivery(t *testing.T) {
	l := newList()
	l.setMembers("n0", "n1", "n2", "n3")
	inside, _ := destinationsOf(testLayout.OwnedPartitions("n0", []string{"n0", "n1", "n2", "n3"}), 1)
	l.fill(inside...)
	s := newFake(t, l)
	drain := sync.OnceFunc(func() { l.set(inside[0], name(inside[0]), agent.Draining) })
	s.spoils(func(_ http.ResponseWriter, r *http.Request) bool {
		if r.URL.Query().Get("hold_ms") == "0" { // the call that Look has made: the one before is over
			drain()
		}
		return false
	})
	e, entered, release := newEngine(), make(chan struct{}, 1), make(chan struct{})
	f := NewFollower(FollowerConfig{Client: newTestClient(t, s), Limits: partial.DefaultLimits(), WatchHold: time.Minute, Deliver: func(u partial.Update) {
		if len(u.Changed) > 0 {
			signal(entered)
			<-release
		}
		e.deliver(u)
	}})
	if err := f.FetchInitial(t.Context(), nil); err != nil {
		t.Fatal(err)
	}
	f.StartDelivery()
	run(t, f)
	letGo := sync.OnceFunc(func() { close(release) })
	t.Cleanup(letGo) // before the Follower is ended
	looked := make(chan error, 1)
	go func() { looked <- f.Refresh(t.Context()) }()
	<-entered
	select {
	case err := <-looked:
		t.Fatalf("Look has returned before the delivery: %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	letGo()
	if err := <-looked; err != nil || e.status(name(inside[0])) != agent.Draining {
		t.Errorf("%v, and it is %q", err, e.status(name(inside[0])))
	}
}
