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

const finalsWaiting = 1024 // ends that wait for observers; more are not shown to them

// Taker takes a message on or turns it away.
type Taker interface {
	Take(*message.Message) engine.Answer
}

// Runner holds the plug-ins that are loaded.
type Runner struct {
	command []string
	ctx     context.Context
	stop    context.CancelFunc
	wg      sync.WaitGroup
	now     atomic.Pointer[set]
	load    sync.Mutex
	finals  chan engine.Ending
	unseen  atomic.Uint64

	mu     sync.RWMutex
	active map[int][]plugin.Endpoint // by destination, by name
	where  map[string]int            // destination of each
}

// set is what was loaded at once.
type set struct {
	pools []*pool // as messages meet them

	mu      sync.Mutex
	choices plugin.Choices
}

// New makes a Runner without plug-ins. The command starts a process that serves one (package host).
func New(command []string) *Runner {
	ctx, stop := context.WithCancel(context.Background())
	r := &Runner{command: command, ctx: ctx, stop: stop, finals: make(chan engine.Ending, finalsWaiting),
		active: map[int][]plugin.Endpoint{}, where: map[string]int{}}
	r.now.Store(&set{choices: plugin.Choices{}})
	r.wg.Go(r.observe)
	return r
}

// Load takes plug-ins in the place of those there are: all of them, or none if one can't be started. Calls that are out to
// the old ones end there. One that is the same as before goes on, with what is known of it.
func (r *Runner) Load(specs []plugin.Spec) error {
	r.load.Lock()
	defer r.load.Unlock()
	old := r.now.Load()
	next := &set{choices: plugin.Choices{}}
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
	slices.SortFunc(next.pools, func(a, b *pool) int { return plugin.InOrder(&a.spec, &b.spec) })
	r.now.Store(next)
	for _, p := range old.pools {
		if kept[p] {
			continue
		}
		r.wg.Go(func() { // whoever had found it before has asked it by then, and each call is bounded
			select {
			case <-time.After(4*p.spec.Time + time.Second):
			case <-r.ctx.Done():
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
func (r *Runner) Front(next Taker) Taker { return front{r, next} }

type front struct {
	r    *Runner
	next Taker
}

// Take runs in the goroutine of the message's client. What the plug-ins take of its time counts in the message's time.
func (f front) Take(m *message.Message) engine.Answer {
	s := f.r.now.Load()
	var d *plugin.Draft
	for _, p := range s.pools {
		if !p.spec.Binds(plugin.Intake, m.Class, m.Destination) {
			continue
		}
		if d == nil {
			body, err := m.Body.Load()
			if err != nil {
				slog.Error("a body can't be read", "id", m.ID, "err", err)
				return engine.Answer{Kind: engine.Refused, Wait: p.spec.Wait}
			}
			d = &plugin.Draft{Body: body, Endpoints: f.r.endpoints(m.Destination)}
		}
		q := &plugin.Request{Point: plugin.Intake, ID: m.ID, Class: m.Class, Destination: m.Destination, Left: (m.Left - time.Since(m.Read)).Seconds(),
			Header: d.Header, Endpoints: d.Endpoints, Body: d.Body}
		err := p.ask(q, func(r *plugin.Result) error {
			next := *d
			if err := next.Apply(r, p.spec.Output); err != nil {
				return err
			}
			if !s.admits(m.Destination, next.Only) {
				return fmt.Errorf("messages for destination %d are narrowed to %d sets of endpoints already; %q is one more", m.Destination, plugin.MostChoices, next.Only)
			}
			*d = next
			return nil
		})
		switch {
		case err != nil && p.spec.Pass:
		case err != nil:
			return engine.Answer{Kind: engine.Refused, Wait: p.spec.Wait}
		case d.Refused && d.Wait > 0:
			return engine.Answer{Kind: engine.Refused, Wait: d.Wait}
		case d.Refused:
			return engine.Answer{Kind: engine.Rejected, Why: "plug-in " + p.spec.Name + ": " + d.Reason}
		}
	}
	if d == nil {
		return f.next.Take(m)
	}
	altered := *m // the client's goroutine may still hold the old one
	altered.Body = message.Bytes(d.Body)
	if len(d.Only)+len(d.Prefer)+len(d.Header) > 0 {
		altered.Extras = &message.Extras{Only: d.Only, Prefer: d.Prefer, Header: d.Header}
	}
	return f.next.Take(&altered)
}

func (s *set) admits(destination int, only []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.choices.Admit(destination, only)
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

func (b *back) List(l engine.List) {
	b.r.list(l)
	b.next.List(l)
}

// list notes which endpoints may be called. What is handed out is not changed any more.
func (r *Runner) list(l engine.List) {
	if l.Scope == decide.Unavailable {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.Scope != decide.Changes {
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

// Call runs in the call's own goroutine.
func (c caller) Call(ctx context.Context, a engine.Attempt) decide.Outcome {
	s := c.r.now.Load()
	began := time.Now()
	var content *plugin.Content
	watched := false
	for _, p := range s.pools {
		watched = watched || p.spec.Binds(plugin.Reply, a.Class, a.Destination)
		if !p.spec.Binds(plugin.Call, a.Class, a.Destination) {
			continue
		}
		if content == nil {
			body, err := a.Body.Load()
			if err != nil {
				slog.Error("a body can't be read", "id", a.ID, "err", err)
				return decide.Outcome{Result: decide.NotSent, Hold: p.spec.Wait}
			}
			content = &plugin.Content{Body: body, Header: a.Header}
		}
		q := &plugin.Request{Point: plugin.Call, ID: a.ID, Class: a.Class, Destination: a.Destination, Left: (a.Timeout - time.Since(began)).Seconds(),
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
			return decide.Outcome{Result: decide.NotSent, Hold: p.spec.Wait}
		}
	}
	if content != nil {
		a.Body, a.Header = message.Bytes(content.Body), content.Header
		if a.Timeout -= time.Since(began); a.Timeout <= 0 || ctx.Err() != nil {
			return decide.Outcome{Result: decide.NotSent}
		}
	}
	if watched {
		a.Reply = &engine.Reply{Most: plugin.ReplyBody}
	}
	o := c.next.Call(ctx, a)
	if !watched || a.Reply.Status == 0 || o.Result == decide.NotSent {
		return o
	}
	for _, p := range s.pools {
		if !p.spec.Binds(plugin.Reply, a.Class, a.Destination) {
			continue
		}
		q := &plugin.Request{Point: plugin.Reply, ID: a.ID, Class: a.Class, Destination: a.Destination, Endpoint: c.name, Attempt: a.Number,
			Status: a.Reply.Status, ReplyHeader: a.Reply.Header, ReplyBody: a.Reply.Body}
		p.ask(q, func(r *plugin.Result) (err error) { // without its word the reply means what it says
			o, err = plugin.Caution(o, r)
			return err
		})
	}
	return o
}

// Ended is for the engine to tell of ends. It does not wait.
func (r *Runner) Ended(e engine.Ending) {
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
			for _, p := range r.now.Load().pools {
				if p.spec.Binds(plugin.Final, e.Class, e.Destination) {
					p.ask(&plugin.Request{Point: plugin.Final, ID: e.ID, Class: e.Class, Destination: e.Destination, End: e.How},
						func(*plugin.Result) error { return errors.New("after the end nothing can be changed") })
				}
			}
		}
	}
}
