// Package runner calls plug-ins while messages are processed: it wraps the front and the back of the engine, supervises the
// processes that run the code, and applies those results that package plugin permits. It never runs on the engine's loop.
package runner

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
	"scaleroute/internal/message"
	"scaleroute/internal/plugin"
)

const (
	maxQueuedOutcomes  = 1024                 // outcomes that wait for final hooks; further ones are counted and not passed to the hooks
	retirePollInterval = 5 * time.Millisecond // interval at which Load checks if a replaced set is still in use
)

// Acceptor accepts, refuses or rejects a message.
type Acceptor interface {
	Accept(*message.Message) engine.Answer
}

// Runner calls the plug-ins that are loaded, and replaces them at a reload.
type Runner struct {
	command    []string
	ctx        context.Context
	stop       context.CancelFunc
	wg         sync.WaitGroup
	current    atomic.Pointer[pluginSet]
	loadMu     sync.Mutex
	retired    sync.WaitGroup // tracks replaced pools until their processes have ended
	outcomes   chan engine.MessageOutcome
	unobserved atomic.Uint64

	mu                  sync.RWMutex
	active              map[int][]plugin.Endpoint // by destination, sorted by name; a slice is replaced and never modified
	endpointDestination map[string]int            // by name of an active endpoint
}

// pluginSet holds the plug-ins of one Load.
type pluginSet struct {
	pools []*pool      // in the order in which they are called
	users atomic.Int64 // calls in flight that may use the pools

	mu           sync.Mutex
	endpointSets plugin.EndpointSets
}

// New returns a Runner without plug-ins. command starts a host process, which runs one plug-in (package host).
func New(command []string) *Runner {
	ctx, stop := context.WithCancel(context.Background())
	r := &Runner{command: command, ctx: ctx, stop: stop, outcomes: make(chan engine.MessageOutcome, maxQueuedOutcomes),
		active: map[int][]plugin.Endpoint{}, endpointDestination: map[string]int{}}
	r.current.Store(&pluginSet{endpointSets: plugin.EndpointSets{}})
	r.wg.Go(r.runFinalHooks)
	return r
}

// acquire returns the current set. Its processes run until the caller releases it.
func (r *Runner) acquire() *pluginSet {
	for {
		s := r.current.Load()
		s.users.Add(1)
		if r.current.Load() == s {
			return s
		}
		s.users.Add(-1) // it was replaced between the two loads, and its processes may have ended
	}
}

// release must be called once for each acquire, after the last call.
func (s *pluginSet) release() { s.users.Add(-1) }

// Load replaces the current plug-ins by those of specs; if one can't be started, it changes nothing and returns an error. Calls
// in flight complete with the old plug-ins. A plug-in whose spec is unchanged keeps its processes, its status and its circuit
// breaker. Load first waits until the processes that an earlier Load has replaced have ended, so that the processes of at most
// two versions run at once.
func (r *Runner) Load(specs []plugin.Spec) error {
	r.loadMu.Lock()
	defer r.loadMu.Unlock()
	r.retired.Wait()
	old := r.current.Load()
	next := &pluginSet{endpointSets: plugin.EndpointSets{}}
	kept := map[*pool]bool{}
	var opened []*pool
	for i := range specs {
		spec := specs[i]
		same := slices.IndexFunc(old.pools, func(p *pool) bool { return !kept[p] && p.spec.Digest() == spec.Digest() })
		if same >= 0 && old.pools[same].sameBinding(&spec) {
			kept[old.pools[same]] = true
			next.pools = append(next.pools, old.pools[same])
			continue
		}
		p, err := openPool(r.ctx, r.command, spec)
		if err != nil {
			for _, p := range opened {
				p.close()
			}
			return fmt.Errorf("plug-in %q: %w", spec.Name, err)
		}
		opened = append(opened, p)
		next.pools = append(next.pools, p)
	}
	slices.SortFunc(next.pools, func(a, b *pool) int { return plugin.CompareOrder(&a.spec, &b.spec) })
	r.current.Store(next)
	for _, p := range old.pools {
		if kept[p] {
			continue
		}
		r.retired.Go(func() {
			for old.users.Load() > 0 { // the time limits of the plug-ins bound this wait
				time.Sleep(retirePollInterval)
			}
			p.close()
		})
	}
	return nil
}

// sameBinding reports whether the pool's spec selects the same messages in the same order as s. Digest covers the other fields.
func (p *pool) sameBinding(s *plugin.Spec) bool {
	return slices.Equal(p.spec.Classes, s.Classes) && slices.Equal(p.spec.Destinations, s.Destinations) && p.spec.Order == s.Order
}

// Close ends all processes. No caller may use the Runner any more.
func (r *Runner) Close() {
	r.stop()
	r.retired.Wait()
	for _, p := range r.current.Load().pools {
		p.close()
	}
	r.wg.Wait()
}

// Status returns the status of each plug-in.
func (r *Runner) Status() (list []Status) {
	for _, p := range r.current.Load().pools {
		list = append(list, p.snapshot())
	}
	return list
}

// Front returns an Acceptor that calls the intake hooks before it passes a message to next.
func (r *Runner) Front(next Acceptor) Acceptor { return front{r, next} }

type front struct {
	r    *Runner
	next Acceptor
}

// Accept runs in the goroutine of the message's client. The time that the plug-ins take counts against the message's deadline.
func (f front) Accept(m *message.Message) engine.Answer {
	altered, answer := f.runIntakeHooks(m)
	if altered == nil {
		return answer
	}
	return f.next.Accept(altered)
}

// runIntakeHooks returns the message as altered by the intake hooks, or nil and the answer to the client if the message is not
// passed on.
func (f front) runIntakeHooks(m *message.Message) (*message.Message, engine.Answer) {
	s := f.r.acquire()
	defer s.release()
	var d *plugin.Draft
	for _, p := range s.pools {
		if !p.spec.AppliesTo(plugin.Intake, m.Class, m.RequestedDestination()) {
			continue
		}
		if d == nil {
			body, err := m.Body.Load()
			if err != nil {
				slog.Error("message body cannot be read", "id", m.ID, "err", err)
				return nil, engine.Answer{Kind: engine.Refused, RetryAfter: p.spec.Wait}
			}
			d = &plugin.Draft{Body: body, Endpoints: f.r.activeEndpoints(m.Destination)}
		}
		q := &plugin.Request{Point: plugin.Intake, ID: m.ID, Class: m.Class, Destination: m.RequestedDestination(), TimeLeft: (m.TimeLeft - time.Since(m.ReadAt)).Seconds(),
			Header: d.Header, Endpoints: d.Endpoints, Body: d.Body}
		err := p.call(q, func(r *plugin.Result) error {
			next := *d
			if err := next.Apply(r, p.spec.Output); err != nil {
				return err
			}
			if !s.admitEndpointSet(m.Destination, next.Only, d.Endpoints) {
				return fmt.Errorf("messages for destination %d are narrowed to %d sets of endpoints already; %q is one more", m.Destination, plugin.MaxEndpointSets, next.Only)
			}
			*d = next
			return nil
		})
		switch {
		case err != nil && p.spec.Pass:
		case err != nil:
			return nil, engine.Answer{Kind: engine.Refused, RetryAfter: p.spec.Wait}
		case d.Refused && d.Wait > 0:
			return nil, engine.Answer{Kind: engine.Refused, RetryAfter: d.Wait}
		case d.Refused:
			return nil, engine.Answer{Kind: engine.Rejected, Reason: "plug-in " + p.spec.Name + ": " + d.Reason}
		}
	}
	if d == nil {
		return m, engine.Answer{}
	}
	altered := *m // a copy, since the client's goroutine may still use the original
	altered.Body = message.Bytes(d.Body)
	if len(d.Only)+len(d.Prefer)+len(d.Header) > 0 {
		extras := message.Extras{}
		if m.Extras != nil { // they name the message's route, which stays
			extras = *m.Extras
		}
		extras.Only, extras.Prefer, extras.Header = d.Only, d.Prefer, d.Header
		altered.Extras = &extras
	}
	return &altered, engine.Answer{}
}

// admitEndpointSet reports whether a message may be restricted to the endpoints of only, and records the set.
func (s *pluginSet) admitEndpointSet(destination int, only []string, listed []plugin.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpointSets.Admit(destination, only, listed)
}

func (r *Runner) activeEndpoints(destination int) []plugin.Endpoint {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.active[destination]
}

// Back returns a back that calls the call and reply hooks around the calls of next. It also tracks the active endpoints from
// the updates that pass through it.
func (r *Runner) Back(next engine.Back) engine.Back { return &back{r, next} }

type back struct {
	r    *Runner
	next engine.Back
}

func (b *back) UpdateEndpoints(l engine.List) {
	b.r.updateEndpoints(l)
	b.next.UpdateEndpoints(l)
}

// updateEndpoints applies a snapshot or a delta to the active endpoints. It replaces the slices that activeEndpoints has returned
// and does not modify them.
func (r *Runner) updateEndpoints(update engine.List) {
	if update.Scope == decide.Unavailable {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if update.Scope != decide.Delta {
		clear(r.active)
		clear(r.endpointDestination)
	}
	for _, e := range update.Endpoints {
		named := func(o plugin.Endpoint) bool { return o.Name == e.ID }
		if d, listed := r.endpointDestination[e.ID]; listed && (d != e.Destination || e.State != decide.Active) {
			r.active[d] = slices.DeleteFunc(slices.Clone(r.active[d]), named)
			delete(r.endpointDestination, e.ID)
		}
		if e.State != decide.Active {
			continue
		}
		list := slices.DeleteFunc(slices.Clone(r.active[e.Destination]), named)
		list = append(list, plugin.Endpoint{Name: e.ID, Zone: e.Zone, Weight: e.Weight})
		slices.SortFunc(list, func(a, b plugin.Endpoint) int {
			if a.Name < b.Name {
				return -1
			}
			return 1
		})
		r.active[e.Destination], r.endpointDestination[e.ID] = list, e.Destination
	}
}

func (b *back) Endpoint(name string) engine.Caller {
	next := b.next.Endpoint(name)
	if next == nil || len(b.r.current.Load().pools) == 0 {
		return next
	}
	return caller{b.r, name, next}
}

type caller struct {
	r    *Runner
	name string
	next engine.Caller
}

func (c caller) CloseIdle() { c.next.CloseIdle() }

// Call runs in the call's own goroutine. A reply is passed to the plug-ins that are loaded when it arrives.
func (c caller) Call(ctx context.Context, a engine.Attempt) decide.Outcome {
	if o, ready := c.runCallHooks(ctx, &a); !ready {
		return o
	}
	o := c.next.Call(ctx, a)
	if a.Reply == nil || a.Reply.Status == 0 || o.Result == decide.NotSent {
		return o
	}
	s := c.r.acquire()
	defer s.release()
	for _, p := range s.pools {
		if !p.spec.AppliesTo(plugin.Reply, a.Class, a.Destination) {
			continue
		}
		q := &plugin.Request{Point: plugin.Reply, ID: a.ID, Class: a.Class, Destination: a.Destination, Endpoint: c.name, Attempt: a.Number,
			Status: a.Reply.Status, ReplyHeader: a.Reply.Header, ReplyBody: a.Reply.Body}
		p.call(q, func(r *plugin.Result) (err error) { // if the hook fails, the outcome stays as it is
			o, err = plugin.RestrictOutcome(o, r)
			return err
		})
	}
	return o
}

// runCallHooks lets the plug-ins alter what an attempt sends. If ready is false, the attempt must not be sent and o is its outcome.
func (c caller) runCallHooks(ctx context.Context, a *engine.Attempt) (o decide.Outcome, ready bool) {
	s := c.r.acquire()
	defer s.release()
	began := time.Now()
	var content *plugin.Content
	for _, p := range s.pools {
		if p.spec.AppliesTo(plugin.Reply, a.Class, a.Destination) {
			a.Reply = &engine.Reply{MaxBody: plugin.MaxReplyBody}
		}
		if !p.spec.AppliesTo(plugin.Call, a.Class, a.Destination) {
			continue
		}
		if content == nil {
			body, err := a.Body.Load()
			if err != nil {
				slog.Error("message body cannot be read", "id", a.ID, "err", err)
				return decide.Outcome{Result: decide.NotSent, RetryDelay: p.spec.Wait}, false
			}
			content = &plugin.Content{Body: body, Header: a.Header}
		}
		q := &plugin.Request{Point: plugin.Call, ID: a.ID, Class: a.Class, Destination: a.Destination, TimeLeft: (a.Timeout - time.Since(began)).Seconds(),
			Endpoint: c.name, Attempt: a.Number, Header: content.Header, Body: content.Body}
		err := p.call(q, func(r *plugin.Result) error {
			next := *content
			if err := next.Apply(r, p.spec.Output); err != nil {
				return err
			}
			*content = next
			return nil
		})
		if err != nil && !p.spec.Pass {
			return decide.Outcome{Result: decide.NotSent, RetryDelay: p.spec.Wait}, false
		}
	}
	if content != nil {
		a.Body, a.Header = message.Bytes(content.Body), content.Header
		if a.Timeout -= time.Since(began); a.Timeout <= 0 || ctx.Err() != nil {
			return decide.Outcome{Result: decide.NotSent}, false
		}
	}
	return o, true
}

// ObserveOutcome queues the outcome of a message for the final hooks. It does not block: if the queue is full, the outcome is
// counted and dropped.
func (r *Runner) ObserveOutcome(e engine.MessageOutcome) {
	if len(r.current.Load().pools) == 0 {
		return
	}
	select {
	case r.outcomes <- e:
	default:
		r.unobserved.Add(1)
	}
}

// runFinalHooks calls the final hooks for queued outcomes until the Runner is closed.
func (r *Runner) runFinalHooks() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case e := <-r.outcomes:
			s := r.acquire()
			for _, p := range s.pools {
				if p.spec.AppliesTo(plugin.Final, e.Class, e.Destination) {
					p.call(&plugin.Request{Point: plugin.Final, ID: e.ID, Class: e.Class, Destination: e.Destination, Outcome: e.Result},
						func(*plugin.Result) error { return errors.New("after the end nothing can be changed") })
				}
			}
			s.release()
		}
	}
}
