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
	lookupWait    = 250 * time.Millisecond // from when a message was read: its client waits for 400 ms
	firstPartWait = 2 * time.Second        // for control servers to tell the part, at a start
	partialCalls  = "GET /control"         // of the operators' door

	controlDescriptors = 8 // connections to control servers, in use and idle
)

// partialList has the forwarder know a part of the endpoint list, by control servers, in place of the whole of it by discovery. A nil one is off.
type partialList struct {
	f         *forwarder
	client    *control.Client
	limits    partial.Limits
	follower  atomic.Pointer[control.Follower] // of the present tenure
	recovered []int                            // destinations that its start has asked for
}

// newPartialList is that of what operators have set; nil: the whole list is watched.
func newPartialList(f *forwarder) *partialList {
	set := f.operators.now.Control
	if set == nil {
		return nil
	}
	seed := fnv.New64a() // another order of the servers in each forwarder
	seed.Write([]byte(f.c.Name + " " + f.c.Seed))
	limits := partial.DefaultLimits()
	limits.MaxFetched, limits.LookupBytesPerSecond, limits.Burst = set.Fetched, float64(set.LookupBytes), 2*float64(set.LookupBytes)
	return &partialList{f: f, limits: limits, client: control.New(control.Config{Servers: set.Servers, Name: f.c.Name, Zone: f.c.Settings.Zone, Seed: seed.Sum64(),
		Layout: ownership.Layout{Partitions: set.Partitions, Replicas: set.Replicas}})}
}

// start has a new tenure know what the process before knew, or what control servers answer within a bounded time, or else the list of the configuration: no call
// begins by less. The destinations of recovered messages are among what is asked for.
func (p *partialList) start(configured *agent.List, from *bundle, j *journal.Journal) *agent.List {
	follower := control.NewFollower(control.FollowerConfig{Client: p.client, Limits: p.limits, FleetSize: p.f.settings.Forwarders, Deliver: p.deliver})
	p.follower.Store(follower)
	p.recovered = nil
	if from != nil && from.part != nil && follower.Resume(*from.part) {
		known, _ := follower.StartDelivery()
		return &known
	}
	if from != nil && from.list != nil { // that process watched the whole list: no client waits for control servers
		follower.SetInitialList(from.list)
		known, _ := follower.StartDelivery()
		return &known
	}
	follower.SetInitialList(configured)
	p.recovered = recoveredDestinations(j)
	ctx, cancel := context.WithTimeout(context.Background(), firstPartWait)
	defer cancel()
	if err := follower.FetchInitial(ctx, p.recovered); err != nil {
		slog.Warn("no control server has told this forwarder's part: starting with the list of the configuration", "endpoints", len(configured.Endpoints), "err", err)
	}
	known, changed := follower.StartDelivery()
	p.f.withdrawn.Update(&agent.List{Index: known.Index, Endpoints: changed})
	return &known
}

// recoveredDestinations are those of the messages that the journal holds.
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

// started ends what start did for recovered messages: the engine has them.
func (p *partialList) started() {
	if p == nil {
		return
	}
	follower := p.follower.Load()
	for _, d := range p.recovered {
		follower.Release(d)
	}
	p.recovered = nil
}

// holding notes for which destinations the engine holds messages.
func (p *partialList) holding(destination int, begins bool) {
	if follower := p.follower.Load(); begins {
		follower.Hold(destination)
	} else {
		follower.Release(destination)
	}
}

// deliver has the engine know of an update.
func (p *partialList) deliver(u partial.Update) {
	sources := p.f.operators.sources
	if len(u.Evicted) > 0 {
		sources.evict(u.Evicted, u.Index)
	}
	if len(u.Changed) > 0 {
		list := &agent.List{Index: u.Index, Endpoints: u.Changed}
		p.f.withdrawn.Update(list)
		sources.hear(list)
	}
}

// front has messages for destinations outside the part wait for their look-up before they go on.
func (p *partialList) front(next runner.Taker) runner.Taker {
	if p == nil {
		return next
	}
	return lookupFront{p.follower.Load(), p.f.operators, next}
}

type lookupFront struct {
	follower *control.Follower
	set      *settings
	next     runner.Taker
}

func (t lookupFront) Accept(m *message.Message) engine.Answer {
	d := t.follower.Arrive(m.Destination, m.ReadAt.Add(lookupWait))
	if d.Action == partial.Reject {
		if t.set.sources.inFile(m.Destination) { // its endpoints in the operators' file are known
			return t.next.Accept(m)
		}
		return engine.Answer{Kind: engine.Refused, RetryAfter: d.RetryAfter}
	}
	defer t.follower.Release(m.Destination)
	return t.next.Accept(m)
}

// calls are those that the operators' door answers for it.
func (p *partialList) calls() []door.Route {
	if p == nil {
		return nil
	}
	return []door.Route{{Pattern: partialCalls, Handler: func(w http.ResponseWriter, r *http.Request) {
		follower := p.follower.Load()
		if follower == nil {
			http.Error(w, "it does not serve yet", http.StatusServiceUnavailable)
			return
		}
		door.WriteJSON(w, follower.Status())
	}}}
}

// descriptors is how many it may hold.
func (p *partialList) descriptors() int {
	if p == nil {
		return 0
	}
	return controlDescriptors
}

// leave is what the next process goes on with.
func (p *partialList) leave() *control.SavedState {
	if p == nil {
		return nil
	}
	saved := p.follower.Load().Save()
	return &saved
}

// followList follows the list until ctx ends: by control servers, or by discovery.
func (f *forwarder) followList(ctx context.Context, known *agent.List, l *engine.Engine) {
	if f.partial != nil {
		f.partial.follower.Load().Run(ctx)
		return
	}
	heard := func(list *agent.List) { l.UpdateEndpoints(list.EngineUpdate()) }
	if sources := f.operators.sources; sources != nil {
		heard = sources.hear
	}
	f.platform.Watch(ctx, known, func(list *agent.List) {
		f.withdrawn.Update(list)
		heard(list)
	})
}

// look asks for what the list is now, and returns once that has been applied.
func (f *forwarder) look(ctx context.Context) error {
	if f.partial != nil {
		return f.partial.follower.Load().Refresh(ctx)
	}
	return f.platform.Refresh(ctx)
}

// evict has destinations that are not needed forgotten, unless the operators' file has endpoints of them.
func (s *sources) evict(list []partial.Eviction, index int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	var destinations []int
	for _, e := range list {
		names = append(names, e.Endpoints...)
		if !s.file[e.Destination] {
			destinations = append(destinations, e.Destination)
		}
	}
	gone := make([]version.Entry, len(names))
	for i, name := range names {
		gone[i] = version.Entry{Name: name, Gone: true}
	}
	l := s.set.Forget(membership.Agent, names)
	if now := s.targets.Update(index, false, gone); now != s.list {
		s.list = now
		l.Version = &version.Change{Cause: ledger.CauseEndpointList, Apply: func(v *version.Vector) { v.List = now }}
	}
	s.to.Evict(l, destinations)
}

// inFile tells whether the operators' file has endpoints of a destination.
func (s *sources) inFile(destination int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.file[destination]
}

// noteFile notes the destinations of which the operators' file has endpoints. The lock is held, or nobody else is there yet.
func (s *sources) noteFile(set *operator.Config) {
	s.file = map[int]bool{}
	for _, e := range set.Endpoints().Endpoints {
		s.file[e.Destination] = true
	}
}

// keepControl warns of a block control that a reload would change.
func keepControl(now, next *operator.Config) {
	if !reflect.DeepEqual(now.Control, next.Control) {
		slog.Warn("the block control can't change while it runs: restart", "where", cmp.Or(next.Where["control"], "control"))
		next.Control = now.Control
	}
}
