package main

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"scaleroute/internal/agent"
	"scaleroute/internal/door"
	"scaleroute/internal/engine"
	"scaleroute/internal/fence"
	"scaleroute/internal/journal"
	"scaleroute/internal/ledger"
	"scaleroute/internal/load"
	"scaleroute/internal/operations"
	"scaleroute/internal/version"
)

// auditing is what makes this forwarder one of a fleet that can be audited. A nil one is none: what operators have set does not ask for it.
type auditing struct {
	f      *forwarder
	build  version.Build
	began  time.Time
	ledger *ledger.Ledger // the loop's while there is one
	over   int            // take-overs before
	to     atomic.Pointer[engine.Engine]
	asleep chan sleep
	member *member
	load   load.Meter // the loop's while there is one
}

// sleep is one that the loop has seen.
type sleep struct {
	epoch uint64
	slept time.Duration
}

// Versions is what a forwarder acts under, as its door tells it.
type Versions struct {
	Name  string    `json:"name"`
	Clock time.Time `json:"clock"` // this machine's, for who compares it
	engine.VersionStatus
}

func newFleet(f *forwarder) (*auditing, error) {
	if f.operators.now.Fleet == nil {
		return nil, nil
	}
	f.operators.reads = 1
	p := &auditing{f: f, build: version.OwnBuild(), began: time.Now(), asleep: make(chan sleep, 1)}
	var err error
	p.member, err = newMember(p)
	return p, err
}

// disk is how much of the folder the ledger may take.
func (p *auditing) disk() int64 {
	if p == nil {
		return 0
	}
	return p.f.operators.now.Fleet.Ledger
}

func (p *auditing) generation() int {
	if p == nil {
		return 0
	}
	return p.over
}

// acting is what the loop begins with: the list that is known, and what the process before has left.
func (p *auditing) acting(known *agent.List, from *bundle) (*engine.Accounting, error) {
	if p == nil {
		return nil, nil
	}
	set := p.f.operators.now
	if from != nil {
		p.over = from.takeOver + 1
	}
	v := version.Vector{Format: version.Format, Build: p.build, Settings: version.Contents{Digest: p.f.c.Digest, LoadCount: 1},
		Operators: version.Contents{Digest: set.Digest(), LoadCount: p.f.operators.reads}, Handovers: p.over, Started: p.began}
	if names, err := operations.NewDisabledFile(p.f.c.StateDir).Load(); len(names) > 0 || err != nil {
		v.Disabled = version.Contents{Digest: version.DigestOfNames(names), LoadCount: 1}
	}
	v.List = new(version.ListTracker).Update(known.Index, true, known.VersionEntries())
	a := &engine.Accounting{Vector: v, OnSuspended: func(epoch uint64, slept time.Duration) {
		select {
		case <-p.asleep: // an earlier one that nobody has seen to: what is asked for now is newer than both
		default:
		}
		p.asleep <- sleep{epoch, slept} // the loop alone sends
	}}
	a.Load = &p.load
	if why := p.member.out.Load(); why != nil { // another process did not take over: this one was out, and is
		a.FencedOff = *why
	}
	if set.Fleet.Ledger > 0 {
		var err error
		if p.ledger, err = ledger.Open(journal.DirFS(p.f.c.StateDir), set.Fleet.Ledger, p.f.c.Name); err != nil {
			return nil, err
		}
		a.Ledger = p.ledger
	}
	if set.Fleet.Fence > 0 {
		a.Fence = fence.New(time.Duration(set.Fleet.Fence))
	}
	return a, nil
}

// serve sees to sleeps until ctx ends.
func (p *auditing) serve(ctx context.Context, all *sync.WaitGroup, l *engine.Engine) {
	if p == nil {
		return
	}
	p.to.Store(l)
	all.Go(func() { p.member.run(ctx, l) })
	all.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case s := <-p.asleep:
				p.wake(ctx, l, s)
			}
		}
	})
}

// wake has what this process knows asked for again, and calls begin once that is so. Discovery that does not answer keeps them back for a bounded time only:
// it may be silent for everyone.
func (p *auditing) wake(ctx context.Context, l *engine.Engine, s sleep) {
	limit, cancel := context.WithTimeout(ctx, time.Duration(p.f.operators.now.Fleet.Unheard))
	defer cancel()
	cause := ledger.CauseConfirmed
	if err := p.f.look(limit); err != nil {
		if ctx.Err() != nil {
			return
		}
		cause = ledger.CauseUnconfirmed
		slog.Warn("discovery has not answered since this process slept: calls begin by what was known", "slept", s.slept)
	}
	l.ReopenFence(s.epoch, cause)
}

// close ends the ledger, after the loop.
func (p *auditing) close(handed bool) {
	if p == nil {
		return
	}
	p.to.Store(nil)
	cause := ledger.CauseStop
	if handed {
		cause = ledger.CauseHandedOver
	}
	p.ledger.Close(cause, time.Now())
	p.ledger = nil
}

// again is told when the operators' file is to be read again.
func (p *auditing) again() <-chan struct{} {
	if p == nil {
		return nil
	}
	return p.member.read
}

// calls are those that the operators' door answers for the fleet.
func (p *auditing) calls() []door.Route {
	if p == nil {
		return nil
	}
	return append(p.member.calls(), door.Route{Pattern: "GET /versions", Handler: p.versions}, door.Route{Pattern: "GET /ledger", Handler: p.record}, door.Route{Pattern: "GET /load", Handler: p.spread})
}

func (p *auditing) versions(w http.ResponseWriter, r *http.Request) {
	l := p.to.Load()
	if l == nil {
		http.Error(w, "it does not serve: starting, or another process has taken over", http.StatusServiceUnavailable)
		return
	}
	door.WriteJSON(w, Versions{p.f.c.Name, ledger.Clock(), *l.VersionStatus()})
}

func (p *auditing) record(w http.ResponseWriter, r *http.Request) {
	record, err := ledger.Read(journal.DirFS(p.f.c.StateDir), p.f.c.Name)
	if err != nil {
		door.WriteResult(w, err)
		return
	}
	door.WriteJSON(w, record)
}

// loadWithin is how long the loop may take to say how its calls are spread.
const loadWithin = time.Second

func (p *auditing) spread(w http.ResponseWriter, r *http.Request) {
	l := p.to.Load()
	if l == nil {
		http.Error(w, "it does not serve: starting, or another process has taken over", http.StatusServiceUnavailable)
		return
	}
	s, err := l.Load(loadWithin)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	s.Name, s.Zone = p.f.c.Name, p.f.c.Settings.Zone
	if sources := p.f.operators.sources; sources != nil {
		for _, name := range sources.byHand() {
			if i := slices.IndexFunc(s.Targets, func(t load.Target) bool { return t.Name == name }); i >= 0 {
				s.Targets[i].ByHand = true
			}
		}
	}
	door.WriteJSON(w, s)
}
