package main

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"scaleroute/internal/agent"
	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
	"scaleroute/internal/ledger"
	"scaleroute/internal/membership"
	"scaleroute/internal/operations"
	"scaleroute/internal/operator"
	"scaleroute/internal/plugin/runner"
	"scaleroute/internal/straggler"
	"scaleroute/internal/version"
)

// settings are the operators' settings and the file that they come from. reload checks which of them can change while the process runs.
type settings struct {
	file           string // empty: all settings have their defaults
	pluginHostPath string // the program that runs plug-ins
	gossipHostPath string // the program that gossips with other forwarders
	logSteps       bool   // log each step of the decision module
	current        *operator.Config
	platform       decide.Settings
	limits         atomic.Pointer[operator.Limits]
	routes         atomic.Pointer[operator.Routes]
	plugins        *runner.Runner // nil if no file is set
	sources        *sources
	loadCount      int  // how often the file has been applied
	mailReserved   bool // there were mail endpoints at the start, so descriptors are reserved for them
	maxProcesses   int  // plug-in processes for which descriptors are reserved, twice, since old and new ones run at once while they are replaced
}

const (
	minReservedProcesses  = 4 // plug-in processes that a reload may always set
	descriptorsPerProcess = 3
	publishInterval       = time.Second
	maxLoggedChanges      = 50 // changes that one reload logs; scaleroutectl diff prints all
	pluginHostName        = "scaleroute-plugin-host"
	gossipHostName        = "scaleroute-gossip"
)

// startPlugins starts the configured plug-ins and returns how many descriptors they may use. The caller closes s.plugins.
func (s *settings) startPlugins() (descriptors int, err error) {
	if s.file == "" {
		return 0, nil
	}
	own, err := os.Executable()
	if err != nil {
		return 0, err
	}
	s.pluginHostPath = cmp.Or(s.pluginHostPath, filepath.Join(filepath.Dir(own), pluginHostName))
	s.gossipHostPath = cmp.Or(s.gossipHostPath, filepath.Join(filepath.Dir(own), gossipHostName))
	s.maxProcesses = max(minReservedProcesses, s.current.PluginProcesses())
	s.plugins = runner.New([]string{s.pluginHostPath})
	if err := s.plugins.Load(s.current.Specs()); err != nil {
		return 0, fmt.Errorf("-operators: %w", err)
	}
	return 2 * descriptorsPerProcess * s.maxProcesses, nil
}

// loadOperators reads the operators' file, or returns the defaults if none is named.
func loadOperators(file string) (*operator.Config, error) {
	if file == "" {
		return operator.Default(), nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("reading -operators: %w", err)
	}
	return operator.Decode(file, text)
}

// apply checks the operators' limits against the platform's settings, and makes the decision module use them.
func (s *settings) apply(set *decide.Settings) error {
	s.platform = *set
	if err := s.current.Error(s.current.CheckPlatform(*set)); err != nil {
		return fmt.Errorf("-operators: %w", err)
	}
	if s.file != "" {
		routes, err := s.current.NewRoutes()
		if err != nil {
			return fmt.Errorf("-operators: %w", err)
		}
		s.routes.Store(routes)
		s.limits.Store(s.current.NewLimits())
		set.Limits = func(class string, dest int, route string) decide.Limits {
			return s.limits.Load().DecisionLimits(class, dest, route)
		}
	}
	return nil
}

// engineLimits returns the function by which the engine looks up the operators' limits; nil if no file is set.
func (s *settings) engineLimits() func(class string, dest int, route string) engine.Limits {
	if s.file == "" {
		return nil
	}
	return func(class string, dest int, route string) engine.Limits {
		return s.limits.Load().IntakeLimits(class, dest, route)
	}
}

// reload reads the operators' file again and applies all of it, or nothing if any part is invalid or can't change while the process runs. Changes of
// the fleet and control blocks are ignored with a warning. Queued messages keep the limits that they were accepted with.
func (s *settings) reload() {
	if s.file == "" {
		return
	}
	next, err := loadOperators(s.file)
	if err == nil {
		err = next.Error(next.CheckPlatform(s.platform))
	}
	if next == nil {
		next = s.current // so that the checks below can read it
	}
	if err == nil && next.Journal != s.current.Journal {
		err = errors.New("the journal's settings can't change while it is in use: restart, or set them as they were")
	}
	if n := next.PluginProcesses(); err == nil && n > s.maxProcesses {
		err = fmt.Errorf("plug-ins need %d processes, and descriptors were reserved for %d at the start: restart, or set fewer", n, s.maxProcesses)
	}
	if err == nil && next.PluginStatus != s.current.PluginStatus {
		err = errors.New("the file for the plug-ins' status can't change: restart, or set it as it was")
	}
	if err == nil && next.HasMail() && !s.mailReserved {
		i := slices.IndexFunc(next.Pools, func(p operator.Pool) bool { return p.HasMail() })
		key := "pool." + next.Pools[i].Name
		err = fmt.Errorf("%s: the first mail endpoint needs descriptors that were not reserved at the start: restart, or remove it", cmp.Or(next.Positions[key], key))
	}
	var routes *operator.Routes
	if err == nil {
		routes, err = next.NewRoutes()
	}
	if err == nil {
		err = s.plugins.Load(next.Specs())
	}
	if err != nil {
		slog.Error("the operators' file is rejected; the old settings stay", "err", err)
		return
	}
	if !reflect.DeepEqual(s.current.Fleet, next.Fleet) {
		slog.Warn("the fleet block can't change while the process runs: restart")
		next.Fleet = s.current.Fleet
	}
	keepControlBlock(s.current, next)
	old := s.current
	s.loadCount++
	read := version.Contents{Digest: next.Digest(), LoadCount: s.loadCount}
	s.sources.applyChange(version.Change{Cause: ledger.CauseOperatorsFile, Apply: func(v *version.Vector) { v.Operators = read }}, func() {
		s.limits.Store(next.NewLimits())
		s.routes.Store(routes)
	}, !reflect.DeepEqual(s.current.Pools, next.Pools), next)
	s.current = next
	for _, c := range operator.DiffAtMost(old, next, maxLoggedChanges) {
		slog.Info("set by operators", "for", c.Scope, "key", c.Key, "old", c.Old, "new", c.New, "where", c.NewPosition)
	}
}

// sources merges what discovery, the operators' file, other forwarders and operators' requests say about endpoints, and passes the result to the engine.
type sources struct {
	mu               sync.Mutex // held until the engine is updated, so that it receives updates in order
	set              membership.Set
	engine           *engine.Engine
	disabledFile     operations.DisabledFile
	listTracker      version.ListTracker // of the lists from discovery
	list             version.List
	disableCount     int               // how often an endpoint was disabled or enabled
	recentDrains     []straggler.Drain // endpoints that drain or are deleted, with the index of the list that said so, the newest last
	peerDrains       []string          // endpoints that drain as other forwarders report
	fileDestinations map[int]bool      // destinations for which the operators' file has endpoints
}

// maxRecentDrains is how many draining endpoints are reported to other forwarders.
const maxRecentDrains = 64

// noteDrains records the endpoints that drain or are deleted according to a list. The caller holds the lock.
func (s *sources) noteDrains(list *agent.List) {
	if list.Snapshot {
		s.recentDrains = s.recentDrains[:0]
	}
	for _, e := range list.Endpoints {
		s.recentDrains = slices.DeleteFunc(s.recentDrains, func(d straggler.Drain) bool { return d.Target == e.Name })
		if e.Status == agent.Draining || e.Status == agent.Deleted {
			s.recentDrains = append(s.recentDrains, straggler.Drain{Target: e.Name, Index: list.Index})
		}
	}
	s.recentDrains = slices.Clone(s.recentDrains[max(0, len(s.recentDrains)-maxRecentDrains):])
}

func (s *sources) drains() []straggler.Drain {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recentDrains
}

// setPeerDrains makes endpoints drain that drain as other forwarders report, until discovery reports them here.
func (s *sources) setPeerDrains(names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(names) == 0 && len(s.peerDrains) == 0 {
		return
	}
	l := s.set.SetPeerDrains(names)
	if s.peerDrains = names; len(l.Endpoints) == 0 {
		return
	}
	slog.Info("drained by what others know", "targets", names)
	l.Version = &version.Change{Cause: ledger.CausePeerDrain}
	s.engine.UpdateEndpoints(l)
}

// start loads the known lists and the disabled endpoints before the engine runs, and returns the lists for the engine to start with.
func (s *sources) start(file engine.List, lists ...engine.List) []engine.List {
	s.set.RestoreDisabled(s.disabledFile.LoadAtStart())
	s.set.Update(membership.File, file)
	for i := range lists {
		lists[i] = s.set.Update(membership.Agent, lists[i])
	}
	return lists
}

// updateFromDiscovery applies a list or a delta from discovery.
func (s *sources) updateFromDiscovery(list *agent.List) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.set.Update(membership.Agent, list.EngineUpdate())
	s.noteDrains(list)
	if now := s.listTracker.Update(list.Index, list.Snapshot, list.VersionEntries()); now != s.list {
		s.list = now
		l.Version = &version.Change{Cause: ledger.CauseEndpointList, Apply: func(v *version.Vector) { v.List = now }}
	}
	if l.Scope == decide.Snapshot || len(l.Endpoints) > 0 || l.Version != nil {
		s.engine.UpdateEndpoints(l)
	}
}

// applyChange makes a new operators' file take effect at once in the engine, with its pools if they have changed. It waits until the engine has applied it,
// for applyTimeout at most.
func (s *sources) applyChange(change version.Change, do func(), poolsChanged bool, config *operator.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list *engine.List
	if poolsChanged {
		l := s.set.Update(membership.File, config.Endpoints())
		list = &l
		s.setFileDestinations(config)
	}
	if !s.engine.ApplyChange(change, do, list, applyTimeout) {
		slog.Warn("the engine has not applied the operators' file yet", "after", applyTimeout)
	}
}

// applyTimeout is how long an operator's change waits until the engine has applied it, so that a request that is confirmed is in force.
const applyTimeout = 500 * time.Millisecond

// DisableEndpoint takes an endpoint out of rotation until EnableEndpoint. It is stored in the state folder before it takes effect.
func (s *sources) DisableEndpoint(name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, err := s.set.Disable(name, operations.MaxDisabled, s.disabledFile.Store)
	return s.applyDisabled("endpoint disabled by an operator", name, l, err)
}

// disabledNames returns the names of the endpoints that operators have disabled.
func (s *sources) disabledNames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set.Disabled()
}

// EnableEndpoint ends DisableEndpoint.
func (s *sources) EnableEndpoint(name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, err := s.set.Enable(name, s.disabledFile.Store)
	return s.applyDisabled("endpoint enabled by an operator", name, l, err)
}

// applyDisabled passes an operator's change to the engine and waits until it is applied, for applyTimeout at most.
func (s *sources) applyDisabled(text, name string, l engine.List, err error) error {
	if err != nil || len(l.Endpoints) == 0 {
		return err
	}
	s.disableCount++
	disabled := version.Contents{Digest: version.DigestOfNames(s.set.Disabled()), LoadCount: s.disableCount}
	l.Version = &version.Change{Cause: ledger.CauseManualOverride, By: name, Apply: func(v *version.Vector) { v.Disabled = disabled }}
	slog.Info(text, "target", name)
	if !s.engine.UpdateEndpointsAndWait(l, applyTimeout) {
		slog.Warn("the engine has not applied an operator's request yet", "after", applyTimeout)
	}
	return nil
}
