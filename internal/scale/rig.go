package scale

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"scaleroute/internal/agent"
	"scaleroute/internal/fleet"
)

const (
	readyWithin    = 5 * time.Minute
	changeWithin   = 2 * time.Minute
	settleWithin   = time.Minute
	settleStep     = 500 * time.Millisecond
	settledCPU     = 10 * time.Millisecond // of a process in a step: its start is over
	perNodeChanges = 5                     // destinations of each part that the change which is timed touches, in the mean
)

// Rig runs the cells of a scenario.
type Rig struct {
	Scenario  *Scenario
	Dir       string   // for files of the processes
	Forwarder []string // the command of a real forwarder
	Control   []string // the command of a real control server
	Host      []string // the command of a process of simulated nodes
	Log       *slog.Logger
}

// simulatedHost is a process of simulated nodes with its edges.
type simulatedHost struct {
	*hostProcess
	edges []*fleet.Edge
}

// realProcess is a forwarder or a control server with its edges.
type realProcess struct {
	*fleet.Process
	edges []*fleet.Edge
}

// bench is what runs for one cell.
type bench struct {
	rig       *Rig
	cell      Cell
	dir       string
	directory *Directory
	random    *rand.Rand
	controls  []*realProcess
	hosts     []*simulatedHost
	leases    *hostProcess // of members that are not simulated; nil: there are none
	reals     []*realProcess
	result    *Result
}

// Run measures one cell.
func (r *Rig) Run(ctx context.Context, cell Cell) (*Result, error) {
	b := &bench{rig: r, cell: cell, random: rand.New(rand.NewPCG(cell.Seed, 0x5ca1e)), result: &Result{Cell: cell}}
	defer b.close()
	if err := b.prepare(); err != nil {
		return nil, fmt.Errorf("%v: %w", cell, err)
	}
	if err := b.measure(ctx); err != nil {
		return nil, fmt.Errorf("%v: %w", cell, err)
	}
	return b.result, nil
}

// prepare starts everything but the nodes.
func (b *bench) prepare() (err error) {
	if b.dir, err = os.MkdirTemp(b.rig.Dir, "cell-"); err != nil {
		return err
	}
	if b.directory, err = NewDirectory(b.cell.Destinations); err != nil {
		return err
	}
	if b.rig.Scenario.Mechanism == PartialList {
		if err := b.startControls(); err != nil {
			return err
		}
	}
	first := 0
	for _, count := range hostSizes(b.cell.Forwarders) {
		process, err := startHost(b.rig.Host, first, count)
		if err != nil {
			return err
		}
		h := &simulatedHost{hostProcess: process}
		b.hosts = append(b.hosts, h)
		if h.edges, err = b.edges(); err != nil {
			return err
		}
		first += count
	}
	return nil
}

// sources are the addresses that forwarders ask.
func (b *bench) sources() (addresses []string) {
	for _, c := range b.controls {
		addresses = append(addresses, c.Address())
	}
	if len(addresses) == 0 {
		addresses = []string{b.directory.Address()}
	}
	return addresses
}

// edges makes a relay to each source.
func (b *bench) edges() (edges []*fleet.Edge, err error) {
	for _, address := range b.sources() {
		e, err := fleet.NewEdge("127.0.0.1:0", address, b.cell.Seed)
		if err != nil {
			return edges, err
		}
		edges = append(edges, e)
	}
	return edges, nil
}

func addressesOf(edges []*fleet.Edge) (addresses []string) {
	for _, e := range edges {
		addresses = append(addresses, e.Address())
	}
	return addresses
}

func passed(edges []*fleet.Edge) (bytes int64) {
	for _, e := range edges {
		bytes += e.Passed()
	}
	return bytes
}

// measure goes through the phases of a cell.
func (b *bench) measure(ctx context.Context) error {
	nodes, reals, controls := &phases{count: int64(b.cell.Forwarders)}, &phases{count: int64(b.rig.Scenario.Real)}, &phases{count: int64(len(b.controls))}
	began := time.Now()
	readAll := func(pick func(*phases) *reading, collect bool) error {
		var err error
		if *pick(nodes), err = b.readHosts(collect); err != nil {
			return err
		}
		if *pick(reals), err = readProcesses(b.reals); err != nil {
			return err
		}
		*pick(controls), err = readProcesses(b.controls)
		return err
	}
	steps := []struct {
		name string
		do   func() error
	}{
		{"empty", func() error {
			err := readAll(func(p *phases) *reading { return &p.empty }, true)
			reals.empty, controls.empty = reading{at: began}, reading{at: began} // real processes are counted whole
			return err
		}},
		{"start", func() error { return b.start(ctx) }},
		{"started", func() error { return readAll(func(p *phases) *reading { return &p.started }, false) }},
		{"calm", func() error { return pause(ctx, b.rig.Scenario.Window) }},
		{"calm over", func() error { return readAll(func(p *phases) *reading { return &p.calm }, false) }},
		{"changes", func() error { return b.change(ctx) }},
		{"changes over", func() error { return readAll(func(p *phases) *reading { return &p.busy }, false) }},
		{"one change", func() (err error) { b.result.InForce, err = b.timeChange(); return err }},
		{"settled", func() error { return readAll(func(p *phases) *reading { return &p.settled }, true) }},
		{"leave", b.leave},
		{"impaired", b.impair},
	}
	for _, step := range steps {
		began := time.Now()
		if err := step.do(); err != nil {
			return fmt.Errorf("%s: %w", step.name, err)
		}
		b.rig.Log.Info("phase", "cell", b.cell.String(), "phase", step.name, "took", time.Since(began))
	}
	b.addRow(nodes, Simulated)
	b.addRow(reals, Real)
	b.addRow(controls, ControlServer)
	return nil
}

func (b *bench) addRow(p *phases, kind Kind) {
	if p.count > 0 {
		b.result.Rows = append(b.result.Rows, p.row(b.rig.Scenario, b.cell, kind))
	}
}

// pause waits, or returns why not.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// start starts all forwarders and waits until their lists are in force.
func (b *bench) start(ctx context.Context) error {
	if err := b.holdLeases(); err != nil {
		return err
	}
	b.note("leases are held")
	took, err := b.askAll(b.startNodes)
	if err != nil {
		return err
	}
	b.result.Ready = timesOf(took)
	b.note("nodes are ready")
	if err := b.startReals(); err != nil {
		return err
	}
	b.note("real forwarders are ready")
	if err := b.awaitMembers(); err != nil {
		return err
	}
	b.note("all know all members")
	return b.settle(ctx)
}

// startNodes starts the nodes of a host, and returns how long each took until its first list was in force.
func (b *bench) startNodes(h *simulatedHost) ([]time.Duration, error) {
	file := filepath.Join(b.dir, fmt.Sprintf("host-%d.json", h.first))
	if err := writeConfig(file, "simulated", b.directory.Address(), b.members(), b.cell.Seed); err != nil {
		return nil, err
	}
	s := b.rig.Scenario
	start := &Start{First: h.first, Count: h.count, Mechanism: s.Mechanism, Addresses: addressesOf(h.edges), Config: file, Seed: b.cell.Seed,
		Partial: Partial{Replicas: s.Replicas, Partitions: b.cell.Partitions, Cached: s.Cached, LookupBytes: s.LookupBytes, Fleet: b.members()}}
	if s.KeepWithdrawn && b.cell.Forwarders == 1 {
		start.Folder = b.dir
	}
	if _, err := h.ask(&Request{Operation: StartNodes, Start: start}); err != nil {
		return nil, err
	}
	a, err := h.ask(&Request{Operation: AwaitReady, Within: readyWithin})
	if err != nil {
		return nil, err
	}
	return a.Took, nil
}

// startReals starts the real forwarders, one after the other.
func (b *bench) startReals() error {
	var took []time.Duration
	for i := range b.rig.Scenario.Real {
		began := time.Now()
		if err := b.startReal(i); err != nil {
			return err
		}
		took = append(took, time.Since(began))
	}
	slices.Sort(took)
	b.result.RealReady = timesOf(took)
	return nil
}

// members are all members of the fleet.
func (b *bench) members() int { return b.cell.Members }

// note keeps in the log how far a cell is.
func (b *bench) note(what string) { b.rig.Log.Info(what, "cell", b.cell.String()) }

// startReal starts a real forwarder.
func (b *bench) startReal(number int) error {
	name := fmt.Sprintf("real-%d", number)
	dir := filepath.Join(b.dir, name)
	state := filepath.Join(dir, "state")
	if err := os.MkdirAll(state, 0o700); err != nil {
		return err
	}
	edges, err := b.edges()
	p := &realProcess{edges: edges}
	b.reals = append(b.reals, p)
	if err != nil {
		return err
	}
	file := filepath.Join(dir, "config.json")
	if err := writeConfig(file, name, edges[0].Address(), b.members(), b.cell.Seed); err != nil {
		return err
	}
	command, err := b.realCommand(dir, edges)
	if err != nil {
		return err
	}
	env := append(os.Environ(), "NODE_CONFIG="+file, "NODE_STATE="+state, "TMPDIR="+dir)
	if p.Process, err = fleet.Launch(command, env, nil, nil); err != nil {
		return err
	}
	return p.Ready()
}

// settle waits until no real forwarder works on its start any more.
func (b *bench) settle(ctx context.Context) error {
	end := time.Now().Add(settleWithin)
	before := make([]time.Duration, len(b.reals))
	for time.Now().Before(end) {
		calm := true
		for i, p := range b.reals {
			u, err := usageOf(p.PID())
			if err != nil {
				return err
			}
			calm = calm && u.CPU-before[i] < settledCPU
			before[i] = u.CPU
		}
		if err := pause(ctx, settleStep); err != nil || calm {
			return err
		}
	}
	return nil
}

// askAll asks all hosts at once, and joins what each node took.
func (b *bench) askAll(ask func(*simulatedHost) ([]time.Duration, error)) ([]time.Duration, error) {
	var all sync.WaitGroup
	took, errs := make([][]time.Duration, len(b.hosts)), make([]error, len(b.hosts))
	for i, h := range b.hosts {
		all.Go(func() { took[i], errs[i] = ask(h) })
	}
	all.Wait()
	return mergeSorted(took), errors.Join(errs...)
}

// readHosts reads what the hosts use.
func (b *bench) readHosts(collect bool) (sum reading, err error) {
	sum.at = time.Now()
	for _, h := range b.hosts {
		a, err := h.ask(&Request{Operation: MeasureNodes, Collect: collect})
		if err != nil {
			return sum, err
		}
		sum.heap += a.Heap
		sum.add(a.Usage, passed(h.edges))
	}
	return sum, nil
}

// readProcesses reads what processes use that are ready.
func readProcesses(list []*realProcess) (sum reading, err error) {
	sum.at = time.Now()
	for _, p := range list {
		u, err := usageOf(p.PID())
		if err != nil {
			return sum, err
		}
		sum.add(u, passed(p.edges))
	}
	return sum, nil
}

// change makes changes at the scenario's rate for one window.
func (b *bench) change(ctx context.Context) error {
	s := b.rig.Scenario
	if s.ChangeRate == 0 {
		return pause(ctx, s.Window)
	}
	tick := time.NewTicker(time.Duration(float64(time.Second) / s.ChangeRate))
	defer tick.Stop()
	end := time.After(s.Window)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-end:
			return nil
		case <-tick.C:
			b.directory.Toggle(b.random.IntN(b.cell.Destinations))
		}
	}
}

// timeChange makes one change that concerns nearly all nodes, and waits until it is in force there.
func (b *bench) timeChange() (Times, error) {
	touched := 1
	if b.rig.Scenario.Mechanism == PartialList {
		touched = max(1, perNodeChanges*b.cell.Members/b.rig.Scenario.Replicas)
	}
	destinations := b.directory.Pick(b.random, touched) // a node whose endpoints all drain already would not be told
	at := time.Now()
	index := b.directory.Set(agent.Draining, destinations...)
	took, err := b.askAll(func(h *simulatedHost) ([]time.Duration, error) {
		a, err := h.ask(&Request{Operation: AwaitChange, Index: index, Destinations: destinations, At: at, Within: changeWithin})
		if err != nil {
			return nil, err
		}
		return a.Took, nil
	})
	return timesOf(took), err
}

// close ends everything.
func (b *bench) close() {
	var all sync.WaitGroup
	for _, p := range append(append([]*realProcess{}, b.reals...), b.controls...) {
		if p.Process != nil {
			all.Go(func() { p.Kill() })
		}
	}
	for _, h := range b.hosts {
		all.Go(h.close)
	}
	if b.leases != nil {
		all.Go(b.leases.close)
	}
	all.Wait()
	for _, p := range append(append([]*realProcess{}, b.reals...), b.controls...) {
		closeEdges(p.edges)
	}
	for _, h := range b.hosts {
		closeEdges(h.edges)
	}
	if b.directory != nil {
		b.directory.Close()
	}
	os.RemoveAll(b.dir)
}

func closeEdges(edges []*fleet.Edge) {
	for _, e := range edges {
		e.Close()
	}
}
