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

// fleetState holds what a forwarder needs as a member of a fleet: versions, audit log, fencing and membership. It is nil if the operators' file has no
// fleet block; its methods then do nothing.
type fleetState struct {
	forwarder   *forwarder
	build       version.Build
	started     time.Time
	ledger      *ledger.Ledger // used by the engine's loop while that runs
	handovers   int            // how many handovers came before this serving generation
	engine      atomic.Pointer[engine.Engine]
	suspensions chan suspension
	member      *member
	load        load.Meter // used by the engine's loop while that runs
}

// suspension is a time for which this process did not run, as the engine's loop has detected it.
type suspension struct {
	epoch    uint64
	duration time.Duration
}

// VersionReport is the admin API's response about the versions that a forwarder acts under.
type VersionReport struct {
	Name  string    `json:"name"`
	Clock time.Time `json:"clock"` // this machine's, so that the reader can compare clocks
	engine.VersionStatus
}

func newFleetState(f *forwarder) (*fleetState, error) {
	if f.operators.current.Fleet == nil {
		return nil, nil
	}
	f.operators.loadCount = 1
	s := &fleetState{forwarder: f, build: version.OwnBuild(), started: time.Now(), suspensions: make(chan suspension, 1)}
	var err error
	s.member, err = newMember(s)
	return s, err
}

// ledgerSize returns how many bytes of the state folder the audit log may use.
func (s *fleetState) ledgerSize() int64 {
	if s == nil {
		return 0
	}
	return s.forwarder.operators.current.Fleet.LedgerBytes
}

func (s *fleetState) generation() int {
	if s == nil {
		return 0
	}
	return s.handovers
}

// accounting returns what the engine starts with: the versions in force, the fence, the audit log, and whether this process is still fenced off.
func (s *fleetState) accounting(known *agent.List, previous *handoverState) (*engine.Accounting, error) {
	if s == nil {
		return nil, nil
	}
	config := s.forwarder.operators.current
	if previous != nil {
		s.handovers = previous.handovers + 1
	}
	vector := version.Vector{Format: version.Format, Build: s.build, Settings: version.Contents{Digest: s.forwarder.config.Digest, LoadCount: 1},
		Operators: version.Contents{Digest: config.Digest(), LoadCount: s.forwarder.operators.loadCount}, Handovers: s.handovers, Started: s.started}
	if names, err := operations.NewDisabledFile(s.forwarder.config.StateDir).Load(); len(names) > 0 || err != nil {
		vector.Disabled = version.Contents{Digest: version.DigestOfNames(names), LoadCount: 1}
	}
	vector.List = new(version.ListTracker).Update(known.Index, true, known.VersionEntries())
	accounting := &engine.Accounting{Vector: vector, OnSuspended: func(epoch uint64, slept time.Duration) {
		select {
		case <-s.suspensions: // an earlier one that has not been handled: the refresh for the new one covers both
		default:
		}
		s.suspensions <- suspension{epoch, slept} // does not block, since only the loop sends
	}}
	accounting.Load = &s.load
	if why := s.member.fencedOff.Load(); why != nil { // this process serves again since the next one did not take over, and was fenced off before
		accounting.FencedOff = *why
	}
	if config.Fleet.LedgerBytes > 0 {
		var err error
		if s.ledger, err = ledger.Open(journal.DirFS(s.forwarder.config.StateDir), config.Fleet.LedgerBytes, s.forwarder.config.Name); err != nil {
			return nil, err
		}
		accounting.Ledger = s.ledger
	}
	if config.Fleet.Lease > 0 {
		accounting.Fence = fence.New(time.Duration(config.Fleet.Lease))
	}
	return accounting, nil
}

// serve runs the member and handles suspensions until ctx ends.
func (s *fleetState) serve(ctx context.Context, all *sync.WaitGroup, e *engine.Engine) {
	if s == nil {
		return
	}
	s.engine.Store(e)
	all.Go(func() { s.member.run(ctx, e) })
	all.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case suspended := <-s.suspensions:
				s.confirmVersions(ctx, e, suspended)
			}
		}
	})
}

// confirmVersions refreshes the endpoint list after a suspension and then lets calls begin again. If discovery does not answer, calls are held back for a
// bounded time only, since it may be unreachable for the whole fleet.
func (s *fleetState) confirmVersions(ctx context.Context, e *engine.Engine, suspended suspension) {
	limit, cancel := context.WithTimeout(ctx, time.Duration(s.forwarder.operators.current.Fleet.DiscoveryWait))
	defer cancel()
	cause := ledger.CauseConfirmed
	if err := s.forwarder.refreshList(limit); err != nil {
		if ctx.Err() != nil {
			return
		}
		cause = ledger.CauseUnconfirmed
		slog.Warn("discovery has not answered since this process was suspended: calls begin by the last known list", "slept", suspended.duration)
	}
	e.ReopenFence(suspended.epoch, cause)
}

// close closes the audit log after the engine's loop has ended.
func (s *fleetState) close(handedOver bool) {
	if s == nil {
		return
	}
	s.engine.Store(nil)
	cause := ledger.CauseStop
	if handedOver {
		cause = ledger.CauseHandedOver
	}
	s.ledger.Close(cause, time.Now())
	s.ledger = nil
}

// reloadRequests receives a value whenever the operators' file should be read again.
func (s *fleetState) reloadRequests() <-chan struct{} {
	if s == nil {
		return nil
	}
	return s.member.reloadRequests
}

// routes returns the routes of the admin API that are about the fleet.
func (s *fleetState) routes() []door.Route {
	if s == nil {
		return nil
	}
	return append(s.member.routes(), door.Route{Pattern: "GET /versions", Handler: s.serveVersions}, door.Route{Pattern: "GET /ledger", Handler: s.serveLedger}, door.Route{Pattern: "GET /load", Handler: s.serveLoad})
}

func (s *fleetState) serveVersions(w http.ResponseWriter, r *http.Request) {
	e := s.engine.Load()
	if e == nil {
		http.Error(w, "it does not serve: starting, or another process has taken over", http.StatusServiceUnavailable)
		return
	}
	door.WriteJSON(w, VersionReport{s.forwarder.config.Name, ledger.Clock(), *e.VersionStatus()})
}

func (s *fleetState) serveLedger(w http.ResponseWriter, r *http.Request) {
	record, err := ledger.Read(journal.DirFS(s.forwarder.config.StateDir), s.forwarder.config.Name)
	if err != nil {
		door.WriteResult(w, err)
		return
	}
	door.WriteJSON(w, record)
}

// loadTimeout is how long the engine's loop may take to report how its calls are spread over endpoints.
const loadTimeout = time.Second

func (s *fleetState) serveLoad(w http.ResponseWriter, r *http.Request) {
	e := s.engine.Load()
	if e == nil {
		http.Error(w, "it does not serve: starting, or another process has taken over", http.StatusServiceUnavailable)
		return
	}
	snapshot, err := e.Load(loadTimeout)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	snapshot.Name, snapshot.Zone = s.forwarder.config.Name, s.forwarder.config.Settings.Zone
	if sources := s.forwarder.operators.sources; sources != nil {
		for _, name := range sources.disabledNames() {
			if i := slices.IndexFunc(snapshot.Targets, func(t load.Target) bool { return t.Name == name }); i >= 0 {
				snapshot.Targets[i].ByHand = true
			}
		}
	}
	door.WriteJSON(w, snapshot)
}
