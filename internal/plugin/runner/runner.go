// Package runner asks plug-ins on a message's way: it wraps the front and the back of the engine, keeps the processes that run the
// code, and lets through what package plugin says may be. It never runs on the engine's loop.
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
	finalsWaiting = 1024                 // ends that wait for observers; more are not shown to them
	retirePause   = 5 * time.Millisecond // between two looks whether a replaced version is still used
)

// Acceptor takes a message on or turns it away.
type Acceptor interface {
	Accept(*message.Message) engine.Answer
}

// Runner holds the plug-ins that are loaded.
type Runner struct {
	command []string
	ctx     context.Context
	stop    context.CancelFunc
	wg      sync.WaitGroup
	now     atomic.Pointer[set]
	load    sync.Mutex
	retired sync.WaitGroup // pools that were replaced, until they have ended
	finals  chan engine.MessageOutcome
	unseen  atomic.Uint64

	mu     sync.RWMutex
	active map[int][]plugin.Endpoint // by destination, by name
	where  map[string]int            // destination of each
}

// set is what was loaded at once.
type set struct {
	pools []*pool      // as messages meet them
	users atomic.Int64 // that may still ask them

	mu      sync.Mutex
	choices plugin.EndpointSets
}

// New makes a Runner without plug-ins. The command starts a process that serves one (package host).
func New(command []string) *Runner {
	ctx, stop := context.WithCancel(context.Background())
	r := &Runner{command: command, ctx: ctx, stop: stop, finals: make(chan engine.MessageOutcome, finalsWaiting),
		active: map[int][]plugin.Endpoint{}, where: map[string]int{}}
	r.now.Store(&set{choices: plugin.EndpointSets{}})
	r.wg.Go(r.observe)
	return r
}

// use returns the plug-ins that there are now; they stay until they are given back.
func (r *Runner) use() *set {
	for {
		s := r.now.Load()
		s.users.Add(1)
		if r.now.Load() == s {
			return s
		}
		s.users.Add(-1) // it was replaced meanwhile, and may have ended
	}
}

func (s *set) giveBack() { s.users.Add(-1) }

// Load takes plug-ins in the place of those there are: all of them, or none if one can't be started. Calls that are out to
// the old ones end there. One that is the same as before goes on, with what is known of it. Those replaced before have ended
// first, so that there are never more than two versions' processes.
func (r *Runner) Load(specs []plugin.Spec) error {
	r.load.Lock()
	defer r.load.Unlock()
	r.retired.Wait()
	old := r.now.Load()
	next := &set{choices: plugin.EndpointSets{}}
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
		p, err := open(r.ctx, r.command, spec)
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
	r.now.Store(next)
	for _, p := range old.pools {
		if kept[p] {
			continue
		}
		r.retired.Go(func() {
			for old.users.Load() > 0 { // each of them is bounded by its plug-ins' times
				time.Sleep(retirePause)
			}
			p.close()
		})
	}
	return nil
}

func (p *pool) sameBinding(s *plugin.Spec) bool {
	return slices.Equal(p.spec.Classes, s.Classes) && slices.Equal(p.spec.Destinations, s.Destinations) && p.spec.Order == s.Order
}

// Close ends all processes. Nobody asks any more.
func (r *Runner) Close() {
	r.stop()
	r.retired.Wait()
	for _, p := range r.now.Load().pools {
		p.close()
	}
	r.wg.Wait()
}

// Status tells what each plug-in has done.
func (r *Runner) Status() (list []Status) {
	for _, p := range r.now.Load().pools {
		list = append(list, p.snapshot())
	}
	return list
}

// Front asks about messages before next takes them on.
func (r *Runner) Front(next Acceptor) Acceptor { return front{r, next} }

type front struct {
	r    *Runner
	next Acceptor
}

// Take runs in the goroutine of the message's client. What the plug-ins take of its time counts in the message's time.
func (f front) Accept(m *message.Message) engine.Answer {
	altered, answer := f.ask(m)
	if altered == nil {
		return answer
	}
	return f.next.Accept(altered)
}

// ask asks the plug-ins. Without a message the answer is final.
func (f front) ask(m *message.Message) (*message.Message, engine.Answer) {
	s := f.r.use()
	defer s.giveBack()
	var d *plugin.Draft
	for _, p := range s.pools {
		if !p.spec.AppliesTo(plugin.Intake, m.Class, m.RequestedDestination()) {
			continue
		}
		if d == nil {
			body, err := m.Body.Load()
			if err != nil {
				slog.Error("a body can't be read", "id", m.ID, "err", err)
				return nil, engine.Answer{Kind: engine.Refused, RetryAfter: p.spec.Wait}
			}
			d = &plugin.Draft{Body: body, Endpoints: f.r.endpoints(m.Destination)}
		}
		q := &plugin.Request{Point: plugin.Intake, ID: m.ID, Class: m.Class, Destination: m.RequestedDestination(), TimeLeft: (m.TimeLeft - time.Since(m.ReadAt)).Seconds(),
			Header: d.Header, Endpoints: d.Endpoints, Body: d.Body}
		err := p.ask(q, func(r *plugin.Result) error {
			next := *d
			if err := next.Apply(r, p.spec.Output); err != nil {
				return err
			}
			if !s.admits(m.Destination, next.Only, d.Endpoints) {
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
	altered := *m // the client's goroutine may still hold the old one
	altered.Body = message.Bytes(d.Body)
	if len(d.Only)+len(d.Prefer)+len(d.Header) > 0 {
		extras := message.Extras{}
		if m.Extras != nil { // its route
			extras = *m.Extras
		}
		extras.Only, extras.Prefer, extras.Header = d.Only, d.Prefer, d.Header
		altered.Extras = &extras
	}
	return &altered, engine.Answer{}
}

func (s *set) admits(destination int, only []string, listed []plugin.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.choices.Admit(destination, only, listed)
}

func (r *Runner) endpoints(destination int) []plugin.Endpoint {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.active[destination]
}

// Back asks about calls before and after next makes them, and learns from it which endpoints there are.
func (r *Runner) Back(next engine.Back) engine.Back { return &back{r, next} }

type back struct {
	r    *Runner
	next engine.Back
}

func (b *back) UpdateEndpoints(l engine.List) {
	b.r.list(l)
	b.next.UpdateEndpoints(l)
}

// list notes which endpoints may be called. What is handed out is not changed any more.
func (r *Runner) list(l engine.List) {
	if l.Scope == decide.Unavailable {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.Scope != decide.Delta {
		clear(r.active)
		clear(r.where)
	}
	for _, e := range l.Endpoints {
		named := func(o plugin.Endpoint) bool { return o.Name == e.ID }
		if d, there := r.where[e.ID]; there && (d != e.Destination || e.State != decide.Active) {
			r.active[d] = slices.DeleteFunc(slices.Clone(r.active[d]), named)
			delete(r.where, e.ID)
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
		r.active[e.Destination], r.where[e.ID] = list, e.Destination
	}
}

func (b *back) Endpoint(name string) engine.Caller {
	next := b.next.Endpoint(name)
	if next == nil || len(b.r.now.Load().pools) == 0 {
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

// Call runs in the call's own goroutine. A reply is shown to the plug-ins that there are when it comes.
func (c caller) Call(ctx context.Context, a engine.Attempt) decide.Outcome {
	if o, ready := c.prepare(ctx, &a); !ready {
		return o
	}
	o := c.next.Call(ctx, a)
	if a.Reply == nil || a.Reply.Status == 0 || o.Result == decide.NotSent {
		return o
	}
	s := c.r.use()
	defer s.giveBack()
	for _, p := range s.pools {
		if !p.spec.AppliesTo(plugin.Reply, a.Class, a.Destination) {
			continue
		}
		q := &plugin.Request{Point: plugin.Reply, ID: a.ID, Class: a.Class, Destination: a.Destination, Endpoint: c.name, Attempt: a.Number,
			Status: a.Reply.Status, ReplyHeader: a.Reply.Header, ReplyBody: a.Reply.Body}
		p.ask(q, func(r *plugin.Result) (err error) { // without its word the reply means what it says
			o, err = plugin.RestrictOutcome(o, r)
			return err
		})
	}
	return o
}

// prepare has the plug-ins set what an attempt sends. If it is not ready, its outcome is there.
func (c caller) prepare(ctx context.Context, a *engine.Attempt) (o decide.Outcome, ready bool) {
	s := c.r.use()
	defer s.giveBack()
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
				slog.Error("a body can't be read", "id", a.ID, "err", err)
				return decide.Outcome{Result: decide.NotSent, RetryDelay: p.spec.Wait}, false
			}
			content = &plugin.Content{Body: body, Header: a.Header}
		}
		q := &plugin.Request{Point: plugin.Call, ID: a.ID, Class: a.Class, Destination: a.Destination, TimeLeft: (a.Timeout - time.Since(began)).Seconds(),
			Endpoint: c.name, Attempt: a.Number, Header: content.Header, Body: content.Body}
		err := p.ask(q, func(r *plugin.Result) error {
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

// ObserveOutcome is for the engine to tell of ends. It does not wait.
func (r *Runner) ObserveOutcome(e engine.MessageOutcome) {
	if len(r.now.Load().pools) == 0 {
		return
	}
	select {
	case r.finals <- e:
	default:
		r.unseen.Add(1)
	}
}

// observe shows ends to those who look on.
func (r *Runner) observe() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case e := <-r.finals:
			s := r.use()
			for _, p := range s.pools {
				if p.spec.AppliesTo(plugin.Final, e.Class, e.Destination) {
					p.ask(&plugin.Request{Point: plugin.Final, ID: e.ID, Class: e.Class, Destination: e.Destination, Outcome: e.Result},
						func(*plugin.Result) error { return errors.New("after the end nothing can be changed") })
				}
			}
			s.giveBack()
		}
	}
}
