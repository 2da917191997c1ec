package main

import (
	"cmp"
	"context"
	"hash/fnv"
	"log/slog"
	"math"
	"net/http"
	"reflect"
	"sync/atomic"
	"time"

	"scaleroute/internal/agent"
	control "scaleroute/internal/control/client"
	"scaleroute/internal/door"
	"scaleroute/internal/engine"
	"scaleroute/internal/journal"
	"scaleroute/internal/ledger"
	"scaleroute/internal/membership"
	"scaleroute/internal/message"
	"scaleroute/internal/operator"
	"scaleroute/internal/ownership"
	"scaleroute/internal/partial"
	"scaleroute/internal/plugin/runner"
	"scaleroute/internal/version"
)

const (
	lookupTimeout        = 250 * time.Millisecond // counted from when the message was read; its client waits for 400 ms
	initialPartTimeout   = 2 * time.Second        // for the forwarder's part of the list from control servers, at a start
	controlStatusPattern = "GET /control"         // route of the admin API

	controlDescriptors = 8 // connections to control servers, in use and idle
)

// partialList keeps a part of the endpoint list, which it receives from control servers, in place of the whole list from discovery. It is nil if the
// forwarder watches the whole list.
type partialList struct {
	forwarder *forwarder
	client    *control.Client
	limits    partial.Limits
	follower  atomic.Pointer[control.Follower] // of the present serving generation
	recovered []int                            // destinations of recovered messages, which start holds
}

// newPartialList returns the partialList for the control block of the operators' file; nil if there is none.
func newPartialList(f *forwarder) *partialList {
	set := f.operators.current.Control
	if set == nil {
		return nil
	}
	seed := fnv.New64a() // so that each forwarder tries the servers in another order
	seed.Write([]byte(f.config.Name + " " + f.config.Seed))
	limits := partial.DefaultLimits()
	limits.MaxFetched, limits.LookupBytesPerSecond, limits.Burst = set.MaxFetched, float64(set.LookupBytesPerSecond), 2*float64(set.LookupBytesPerSecond)
	return &partialList{forwarder: f, limits: limits, client: control.New(control.Config{Servers: set.Servers, Name: f.config.Name, Zone: f.config.Settings.Zone, Seed: seed.Sum64(),
		Layout: ownership.Layout{Partitions: set.Partitions, Replicas: set.Replicas}})}
}

// start returns the list that a new serving generation starts with: the one that the previous process handed over, or what control servers answer within
// initialPartTimeout, or else the configured list. No call begins before that. The destinations of recovered messages are requested as well.
func (p *partialList) start(configured *agent.List, previous *handoverState, j *journal.Journal) *agent.List {
	follower := control.NewFollower(control.FollowerConfig{Client: p.client, Limits: p.limits, FleetSize: p.forwarder.settings.Forwarders, Deliver: p.deliver, AwaitRecorded: func() { p.forwarder.callable.AwaitRecorded() }})
	p.follower.Store(follower)
	p.recovered = nil
	if previous != nil && previous.partialList != nil && follower.Resume(*previous.partialList) {
		known, _ := follower.StartDelivery()
		return &known
	}
	if previous != nil && previous.list != nil { // the previous process watched the whole list, so clients need not wait for control servers
		follower.SetInitialList(previous.list)
		known, _ := follower.StartDelivery()
		return &known
	}
	follower.SetInitialList(configured)
	p.recovered = recoveredDestinations(j)
	ctx, cancel := context.WithTimeout(context.Background(), initialPartTimeout)
	defer cancel()
	if err := follower.FetchInitial(ctx, p.recovered); err != nil {
		slog.Warn("control servers have not sent this forwarder's part of the endpoint list: starting with the configured list", "endpoints", len(configured.Endpoints), "err", err)
	}
	known, changed := follower.StartDelivery()
	p.forwarder.callable.Update(&agent.List{Index: known.Index, Endpoints: changed})
	return &known
}

// recoveredDestinations returns the destinations of the uncompleted messages in the journal.
func recoveredDestinations(j *journal.Journal) []int {
	var list []int
	seen := map[int]bool{}
	for _, s := range j.Queued() {
		if s.Completion == 0 && s.Dest >= 0 && s.Dest <= math.MaxUint32 && !seen[s.Dest] {
			seen[s.Dest] = true
			list = append(list, s.Dest)
		}
	}
	return list
}

// releaseRecovered releases the destinations that start holds for recovered messages, once the engine holds them itself.
func (p *partialList) releaseRecovered() {
	if p == nil {
		return
	}
	follower := p.follower.Load()
	for _, d := range p.recovered {
		follower.Release(d)
	}
	p.recovered = nil
}

// queueChanged holds a destination while the engine has messages queued for it.
func (p *partialList) queueChanged(destination int, added bool) {
	if follower := p.follower.Load(); added {
		follower.Hold(destination)
	} else {
		follower.Release(destination)
	}
}

// deliver passes an update from control servers to the engine.
func (p *partialList) deliver(update partial.Update) {
	sources := p.forwarder.operators.sources
	if len(update.Evicted) > 0 {
		sources.evict(update.Evicted, update.Index)
	}
	if len(update.Changed) > 0 {
		list := &agent.List{Index: update.Index, Endpoints: update.Changed}
		sources.updateFromDiscovery(list)
		p.forwarder.callable.Apply(list)
	}
}

// front returns an acceptor that looks up destinations outside the part before it passes messages for them on to next.
func (p *partialList) front(next runner.Acceptor) runner.Acceptor {
	if p == nil {
		return next
	}
	return lookupFront{p.follower.Load(), p.forwarder.operators, next}
}

type lookupFront struct {
	follower *control.Follower
	settings *settings
	next     runner.Acceptor
}

func (t lookupFront) Accept(m *message.Message) engine.Answer {
	decision := t.follower.Arrive(m.Destination, m.ReadAt.Add(lookupTimeout))
	if decision.Action == partial.Reject {
		if t.settings.sources.inFile(m.Destination) { // the operators' file has endpoints for it
			return t.next.Accept(m)
		}
		return engine.Answer{Kind: engine.Refused, RetryAfter: decision.RetryAfter}
	}
	defer t.follower.Release(m.Destination)
	return t.next.Accept(m)
}

// routes returns the route of the admin API for the state of the partial list.
func (p *partialList) routes() []door.Route {
	if p == nil {
		return nil
	}
	return []door.Route{{Pattern: controlStatusPattern, Handler: func(w http.ResponseWriter, r *http.Request) {
		follower := p.follower.Load()
		if follower == nil {
			http.Error(w, "it does not serve yet", http.StatusServiceUnavailable)
			return
		}
		door.WriteJSON(w, follower.Status())
	}}}
}

// descriptors returns how many file descriptors the connections to control servers may use.
func (p *partialList) descriptors() int {
	if p == nil {
		return 0
	}
	return controlDescriptors
}

// save returns the state for the next process.
func (p *partialList) save() *control.SavedState {
	if p == nil {
		return nil
	}
	saved := p.follower.Load().Save()
	return &saved
}

// followList watches the endpoint list until ctx ends, from control servers or from discovery.
func (f *forwarder) followList(ctx context.Context, known *agent.List, e *engine.Engine) {
	if f.partial != nil {
		f.partial.follower.Load().Run(ctx)
		f.callable.AwaitRecorded()
		return
	}
	update := func(list *agent.List) { e.UpdateEndpoints(list.EngineUpdate()) }
	if sources := f.operators.sources; sources != nil {
		update = sources.updateFromDiscovery
	}
	f.platform.AwaitRecorded = f.callable.AwaitRecorded
	f.platform.Watch(ctx, known, func(list *agent.List) {
		update(list)
		f.callable.Apply(list)
	})
}

// refreshList requests the current endpoint list and returns once it has been applied.
func (f *forwarder) refreshList(ctx context.Context) error {
	if f.partial != nil {
		return f.partial.follower.Load().Refresh(ctx)
	}
	return f.platform.Refresh(ctx)
}

// evict removes the endpoints of destinations that are not needed any more, and makes the engine forget those destinations for which the operators' file
// has no endpoints.
func (s *sources) evict(list []partial.Eviction, index int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	var destinations []int
	for _, e := range list {
		names = append(names, e.Endpoints...)
		if !s.fileDestinations[e.Destination] {
			destinations = append(destinations, e.Destination)
		}
	}
	gone := make([]version.Entry, len(names))
	for i, name := range names {
		gone[i] = version.Entry{Name: name, Gone: true}
	}
	l := s.set.Forget(membership.Agent, names)
	if now := s.listTracker.Update(index, false, gone); now != s.list {
		s.list = now
		l.Version = &version.Change{Cause: ledger.CauseEndpointList, Apply: func(v *version.Vector) { v.List = now }}
	}
	s.engine.Evict(l, destinations)
}

// inFile reports whether the operators' file has endpoints for a destination.
func (s *sources) inFile(destination int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fileDestinations[destination]
}

// setFileDestinations records the destinations for which the operators' file has endpoints. The caller holds the lock, or no other goroutine uses s yet.
func (s *sources) setFileDestinations(config *operator.Config) {
	s.fileDestinations = map[int]bool{}
	for _, e := range config.Endpoints().Endpoints {
		s.fileDestinations[e.Destination] = true
	}
}

// keepControlBlock keeps the control block, which a reload can't change, and logs a warning if the new file has another one.
func keepControlBlock(current, next *operator.Config) {
	if !reflect.DeepEqual(current.Control, next.Control) {
		slog.Warn("the control block can't change while the process runs: restart", "where", cmp.Or(next.Positions["control"], "control"))
		next.Control = current.Control
	}
}
