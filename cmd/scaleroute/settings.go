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

// settings is what operators have set, and the file that says so. Only its limits can change while the process runs.
type settings struct {
	file     string // empty: nothing is set
	host     string // the program that runs plug-ins
	gossip   string // the program that speaks to other forwarders
	logSteps bool   // each step of the module is logged
	now      *operator.Config
	platform decide.Settings
	limits   atomic.Pointer[operator.Limits]
	routes   atomic.Pointer[operator.Routes]
	plugins  *runner.Runner // nil if nothing is set
	sources  *sources
	reads    int  // that the file was taken into force
	mail     bool // there are endpoints that take mail: descriptors are kept for them
	most     int  // processes of plug-ins: descriptors are kept for so many, and as many while they are replaced
}

const (
	fewProcesses    = 4 // of plug-ins, that a reload may come to in any case
	descriptorsEach = 3
	publishEvery    = time.Second
	mostLogged      = 50 // changes of routes at one reload: diff has all
	pluginHost      = "scaleroute-plugin-host"
	gossipHost      = "scaleroute-gossip"
)

// startPlugins starts those that are set, and returns how many descriptors they may take. Whoever calls it closes them.
func (s *settings) startPlugins() (descriptors int, err error) {
	if s.file == "" {
		return 0, nil
	}
	own, err := os.Executable()
	if err != nil {
		return 0, err
	}
	s.host = cmp.Or(s.host, filepath.Join(filepath.Dir(own), pluginHost))
	s.gossip = cmp.Or(s.gossip, filepath.Join(filepath.Dir(own), gossipHost))
	s.most = max(fewProcesses, s.now.PluginProcesses())
	s.plugins = runner.New([]string{s.host})
	if err := s.plugins.Load(s.now.Specs()); err != nil {
		return 0, fmt.Errorf("-operators: %w", err)
	}
	return 2 * descriptorsEach * s.most, nil
}

// loadOperators reads what operators have set, if a file is named.
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

// apply checks the limits against the platform's settings, and has the module ask for them.
func (s *settings) apply(set *decide.Settings) error {
	s.platform = *set
	if err := s.now.Error(s.now.Against(*set)); err != nil {
		return fmt.Errorf("-operators: %w", err)
	}
	if s.file != "" {
		routes, err := s.now.NewRoutes()
		if err != nil {
			return fmt.Errorf("-operators: %w", err)
		}
		s.routes.Store(routes)
		s.limits.Store(s.now.NewLimits())
		set.Limits = func(class string, dest int, route string) decide.Limits {
			return s.limits.Load().For(class, dest, route)
		}
	}
	return nil
}

// intake is what the engine asks for; nil if nothing is set.
func (s *settings) intake() func(class string, dest int, route string) engine.Limits {
	if s.file == "" {
		return nil
	}
	return func(class string, dest int, route string) engine.Limits {
		return s.limits.Load().Intake(class, dest, route)
	}
}

// reload takes what the file sets now, whole or not at all. Messages that are held keep the limits they were taken on
// with.
func (s *settings) reload() {
	if s.file == "" {
		return
	}
	set, err := loadOperators(s.file)
	if err == nil {
		err = set.Error(set.Against(s.platform))
	}
	if set == nil {
		set = s.now // for what is looked at below
	}
	if err == nil && set.Journal != s.now.Journal {
		err = errors.New("the journal's settings can't change while it is in use: restart, or set them as they were")
	}
	if n := set.PluginProcesses(); err == nil && n > s.most {
		err = fmt.Errorf("plug-ins with %d processes, and descriptors were kept for %d at the start: restart, or set fewer", n, s.most)
	}
	if err == nil && set.PluginStatus != s.now.PluginStatus {
		err = errors.New("the file for the plug-ins' status can't change: restart, or set it as it was")
	}
	if err == nil && set.HasMail() && !s.mail {
		i := slices.IndexFunc(set.Pools, func(p operator.Pool) bool { return p.Mail() })
		key := "pool." + set.Pools[i].Name
		err = fmt.Errorf("%s: the first endpoint that takes mail needs descriptors that were not kept for it at the start: restart, or leave it out", cmp.Or(set.Where[key], key))
	}
	var routes *operator.Routes
	if err == nil {
		routes, err = set.NewRoutes()
	}
	if err == nil {
		err = s.plugins.Load(set.Specs())
	}
	if err != nil {
		slog.Error("the operators' file is not taken; what was set stays", "err", err)
		return
	}
	if !reflect.DeepEqual(s.now.Fleet, set.Fleet) {
		slog.Warn("what is set of the fleet can't change while it runs: restart")
		set.Fleet = s.now.Fleet
	}
	keepControl(s.now, set)
	old := s.now
	s.reads++
	read := version.Contents{Digest: set.Digest(), LoadCount: s.reads}
	s.sources.change(version.Change{Cause: ledger.CauseOperatorsFile, Apply: func(v *version.Vector) { v.Operators = read }}, func() {
		s.limits.Store(set.NewLimits())
		s.routes.Store(routes)
	}, !reflect.DeepEqual(s.now.Pools, set.Pools), set)
	s.now = set
	for _, c := range operator.DiffMost(old, set, mostLogged) {
		slog.Info("set by operators", "for", c.For, "key", c.Key, "old", c.Old, "new", c.New, "where", c.To)
	}
}

// sources are where endpoints are told, and the engine that hears what they come to together.
type sources struct {
	mu      sync.Mutex // what is told second is heard second
	set     membership.Set
	to      *engine.Engine
	leftOut operations.DisabledFile
	targets version.ListTracker // as discovery has told them
	list    version.List
	times   int               // that a target was left out or put back
	drain   []straggler.Drain // targets that drain or are gone, by which list, the newest last
	peers   []string          // that others know to drain
	file    map[int]bool      // destinations of which the operators' file has endpoints
}

// mostDrains is how many targets that drain are remembered for others.
const mostDrains = 64

// noteDrains remembers what drains by a list. The lock is held.
func (s *sources) noteDrains(told *agent.List) {
	if told.Snapshot {
		s.drain = s.drain[:0]
	}
	for _, e := range told.Endpoints {
		s.drain = slices.DeleteFunc(s.drain, func(d straggler.Drain) bool { return d.Target == e.Name })
		if e.Status == agent.Draining || e.Status == agent.Deleted {
			s.drain = append(s.drain, straggler.Drain{Target: e.Name, Index: told.Index})
		}
	}
	s.drain = slices.Clone(s.drain[max(0, len(s.drain)-mostDrains):])
}

func (s *sources) drains() []straggler.Drain {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drain
}

// withdraw has targets drain that others know to drain, until discovery tells of them here.
func (s *sources) withdraw(names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(names) == 0 && len(s.peers) == 0 {
		return
	}
	l := s.set.SetPeerDrains(names)
	if s.peers = names; len(l.Endpoints) == 0 {
		return
	}
	slog.Info("drained by what others know", "targets", names)
	l.Version = &version.Change{Cause: ledger.CausePeerDrain}
	s.to.UpdateEndpoints(l)
}

// start tells what is known before the engine runs, and returns what it is to begin with.
func (s *sources) start(file engine.List, lists ...engine.List) []engine.List {
	s.set.RestoreDisabled(s.leftOut.LoadAtStart())
	s.set.Update(membership.File, file)
	for i := range lists {
		lists[i] = s.set.Update(membership.Agent, lists[i])
	}
	return lists
}

// hear takes a list of discovery's.
func (s *sources) hear(told *agent.List) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.set.Update(membership.Agent, told.EngineUpdate())
	s.noteDrains(told)
	if now := s.targets.Update(told.Index, told.Snapshot, told.VersionEntries()); now != s.list {
		s.list = now
		l.Version = &version.Change{Cause: ledger.CauseEndpointList, Apply: func(v *version.Vector) { v.List = now }}
	}
	if l.Scope == decide.Snapshot || len(l.Endpoints) > 0 || l.Version != nil {
		s.to.UpdateEndpoints(l)
	}
}

// change has what operators have set take effect at one moment, with its pools if they are others. It waits until that is so.
func (s *sources) change(c version.Change, do func(), pools bool, set *operator.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list *engine.List
	if pools {
		l := s.set.Update(membership.File, set.Endpoints())
		list = &l
		s.noteFile(set)
	}
	if !s.to.ApplyChange(c, do, list, bindWithin) {
		slog.Warn("the loop has not heard of the operators' file yet", "after", bindWithin)
	}
}

// bindWithin is how long an operator's call waits until the engine has heard of it: what is said yes to binds.
const bindWithin = 500 * time.Millisecond

// DisableEndpoint leaves an endpoint out until EnableEndpoint. The folder that lasts has it before it counts.
func (s *sources) DisableEndpoint(name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, err := s.set.Disable(name, operations.MaxDisabled, s.leftOut.Store)
	return s.bind("left out by hand", name, l, err)
}

// byHand lists the names that are left out by hand.
func (s *sources) byHand() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set.Disabled()
}

// EnableEndpoint puts one back.
func (s *sources) EnableEndpoint(name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, err := s.set.Enable(name, s.leftOut.Store)
	return s.bind("put back by hand", name, l, err)
}

// bind has the engine hear what an operator has said.
func (s *sources) bind(what, name string, l engine.List, err error) error {
	if err != nil || len(l.Endpoints) == 0 {
		return err
	}
	s.times++
	out := version.Contents{Digest: version.DigestOfNames(s.set.Disabled()), LoadCount: s.times}
	l.Version = &version.Change{Cause: ledger.CauseManualOverride, By: name, Apply: func(v *version.Vector) { v.Disabled = out }}
	slog.Info(what, "target", name)
	if !s.to.UpdateEndpointsAndWait(l, bindWithin) {
		slog.Warn("the loop has not heard of an operator's call yet", "after", bindWithin)
	}
	return nil
}
