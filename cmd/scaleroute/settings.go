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

	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
	"scaleroute/internal/membership"
	"scaleroute/internal/operations"
	"scaleroute/internal/operator"
	"scaleroute/internal/plugin/runner"
)

// settings is what operators have set, and the file that says so. Only its limits can change while the process runs.
type settings struct {
	file     string // empty: nothing is set
	host     string // the program that runs plug-ins
	logSteps bool   // each step of the module is logged
	now      *operator.Config
	platform decide.Settings
	limits   atomic.Pointer[operator.Limits]
	routes   atomic.Pointer[operator.Routes]
	plugins  *runner.Runner // nil if nothing is set
	sources  *sources
	mail     bool // there are endpoints that take mail: descriptors are kept for them
	most     int  // processes of plug-ins: descriptors are kept for so many, and as many while they are replaced
}

const (
	fewProcesses    = 4 // of plug-ins, that a reload may come to in any case
	descriptorsEach = 3
	publishEvery    = time.Second
	mostLogged      = 50 // changes of routes at one reload: diff has all
	pluginHost      = "scaleroute-plugin-host"
)

// startPlugins starts those that are set, and returns how many descriptors they may take. Whoever calls it closes them.
func (s *settings) startPlugins() (descriptors int, err error) {
	if s.file == "" {
		return 0, nil
	}
	if s.host == "" {
		own, err := os.Executable()
		if err != nil {
			return 0, err
		}
		s.host = filepath.Join(filepath.Dir(own), pluginHost)
	}
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
	old := s.now
	s.limits.Store(set.NewLimits())
	if !reflect.DeepEqual(s.now.Pools, set.Pools) {
		s.sources.tell(membership.File, set.Endpoints())
	}
	s.routes.Store(routes) // the engine has heard of a pool before a route leads there
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
	leftOut operations.LeftOut
}

// start tells what is known before the engine runs, and returns what it is to begin with.
func (s *sources) start(file engine.List, lists ...engine.List) []engine.List {
	s.set.StartLeftOut(s.leftOut.Start())
	s.set.Tell(membership.File, file)
	for i := range lists {
		lists[i] = s.set.Tell(membership.Agent, lists[i])
	}
	return lists
}

func (s *sources) tell(from membership.Source, l engine.List) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l = s.set.Tell(from, l); l.Scope == decide.Unavailable || l.Scope == decide.Whole || len(l.Endpoints) > 0 {
		s.to.List(l)
	}
}

// bindWithin is how long an operator's call waits until the engine has heard of it: what is said yes to binds.
const bindWithin = 500 * time.Millisecond

// LeaveOut leaves an endpoint out until PutBack. The folder that lasts has it before it counts.
func (s *sources) LeaveOut(name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, err := s.set.LeaveOut(name, operations.MostTargets, s.leftOut.Store)
	return s.bind("left out by hand", name, l, err)
}

// PutBack puts one back.
func (s *sources) PutBack(name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, err := s.set.PutBack(name, s.leftOut.Store)
	return s.bind("put back by hand", name, l, err)
}

// bind has the engine hear what an operator has said.
func (s *sources) bind(what, name string, l engine.List, err error) error {
	if err != nil || len(l.Endpoints) == 0 {
		return err
	}
	slog.Info(what, "target", name)
	if !s.to.ListWithin(l, bindWithin) {
		slog.Warn("the loop has not heard of an operator's call yet", "after", bindWithin)
	}
	return nil
}
