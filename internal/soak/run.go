package soak

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"scaleroute/internal/fleet"
	"scaleroute/internal/standin"
)

const (
	killAfterTerm  = 3700 * time.Millisecond // the earliest that the platform allows
	startAfterKill = 600 * time.Millisecond
	pauseTime      = 150 * time.Millisecond
	clientsOfNode  = 8
	bodyBytes      = 600
	settleMargin   = 3 * time.Second
	drainStep      = 700 * time.Millisecond
	repeatShare    = 0.25
	repeatWithin   = 12 * time.Millisecond
	// lateRepeatWithin has copies come later than the network usually delays them, and scarceSockets leaves a process 9 connections to endpoints.
	lateRepeatWithin = 40 * time.Millisecond
	scarceSockets    = 72
	resetShare       = 0.02 // of pieces
	pieceBytes       = 7
	replayPause      = 20 * time.Millisecond
	connectTimeout   = 1500 * time.Millisecond // longer than until a SYN is sent again
	drainSlack       = 50 * time.Millisecond   // that the rules on sockets add to each time limit

	// replayedMessages is how many messages are handed in again in one round.
	replayedMessages = 40

	mostTimelines = 3

	// FaultsVariable names the file by which a process's system calls fail.
	FaultsVariable = "SCALEROUTE_FAULTS"
)

// Program is the daemon under test.
type Program struct {
	Command []string
	Env     []string
	Dir     string // for folders and files; it must exist and be empty
}

// Result is the outcome of a run.
type Result struct {
	Seed      uint64
	Faults    []Fault
	Verdict   *standin.Verdict
	Open      int      // messages that are not completed
	Broken    []string // failures besides broken rules: crashes and failed starts
	Timelines []string // of some messages for which a rule was broken
	Events    []string
}

// IsBroken reports whether a rule was broken, or a process crashed.
func (r *Result) IsBroken() bool { return r.Verdict.Broken() || len(r.Broken) > 0 }

// run is a run in progress.
type run struct {
	shape  Shape
	rig    *fleet.Rig
	result *Result
	dir    string
	busy   []sync.Mutex // per node: held by a fault that ends or stops its process
	spare  []time.Time  // per node: it must not be killed before, since its folder was replaced
	mu     sync.Mutex
	files  []map[Kind]string // per node: the line of its fault file by kind
	step   []string          // per node: the offset of its wall clock
	places []place
	// replacements counts the endpoints that were replaced.
	replacements int
	uncalled     []*standin.Endpoint // endpoints that no message is for
	steps        sync.WaitGroup
}

// Run injects the faults of a seed and checks the rules afterwards.
func Run(ctx context.Context, p Program, s Shape, seed uint64, list []Fault) (*Result, error) {
	rig, err := fleet.New(fleet.Shape{Forwarders: s.Forwarders, Destinations: s.Destinations, Targets: s.Endpoints, Slots: 16, Left: s.Left, DiskMB: 3, Seed: seed, Grace: drainGrace, Connect: connectTimeout,
		Inherited: hasKind(list, Upgrade), Sockets: socketsFor(list), FirstList: hasKind(list, Outage),
		Command: p.Command, Env: p.Env, Dir: p.Dir})
	if err != nil {
		return nil, err
	}
	defer rig.Close()
	r := &run{shape: s, rig: rig, result: &Result{Seed: seed, Faults: list}, dir: p.Dir, busy: make([]sync.Mutex, s.Forwarders), spare: make([]time.Time, s.Forwarders),
		files: make([]map[Kind]string, s.Forwarders), step: make([]string, s.Forwarders)}
	for i, n := range rig.Nodes {
		r.files[i] = map[Kind]string{}
		n.Env = append(n.Env, FaultsVariable+"="+r.faultFile(i))
	}
	for _, e := range rig.World.Endpoints {
		e.Set(healthy)
		r.places = append(r.places, place{endpoint: e})
	}
	if hasKind(list, Outage) {
		r.uncalled = rig.World.AddUncalled(uncalledEndpoints)
	}
	if err := rig.Start(ctx); err != nil {
		return nil, err
	}
	for _, n := range rig.Nodes {
		n.Clients.At(n.Process().Address()) // without a relay, so that only the process ends a connection
	}
	over := make(chan struct{})
	wait := rig.Load(s.Rate, clientsOfNode, bodyBytes, over)
	err = r.play(ctx, list)
	close(over)
	wait()
	if err != nil {
		return nil, err
	}
	r.result.Open = rig.Settle(rig.Nodes, s.Left+settleMargin)
	r.judge()
	return r.result, nil
}

// socketsFor returns how many descriptors the processes of a run have; 0 for the usual number.
func socketsFor(list []Fault) int {
	if hasKind(list, Scarce) {
		return scarceSockets
	}
	return 0
}

var healthy = standin.Script{Latency: 5 * time.Millisecond, Jitter: 40 * time.Millisecond}

// play begins each fault at its time, and returns once all have ended.
func (r *run) play(ctx context.Context, list []Fault) error {
	began := time.Now()
	var failed error
	for _, f := range list {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(began.Add(f.At))):
		}
		r.rig.Note(r.rig.Nodes[f.Node].Name, string(f.Kind), f.How)
		r.steps.Go(func() {
			if err := r.begin(ctx, f); err != nil {
				r.mu.Lock()
				failed = errors.Join(failed, fmt.Errorf("%s: %w", f, err))
				r.mu.Unlock()
			}
		})
	}
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(began.Add(r.shape.Length))):
	}
	r.steps.Wait()
	return errors.Join(failed, ctx.Err())
}

// begin injects a fault and returns once it has ended.
func (r *run) begin(ctx context.Context, f Fault) error {
	n := r.rig.Nodes[f.Node]
	switch f.Kind {
	case Disk, Accept, Connect:
		r.setFault(f.Node, f.Kind, f.How)
		sleep(ctx, f.Lasts)
		r.setFault(f.Node, f.Kind, "")
	case Folder:
		return r.replaceFolder(f.Node)
	case Kill:
		return r.restart(ctx, f.Node, endByKill, "")
	case Term:
		return r.restart(ctx, f.Node, endBySIGTERM, "")
	case Series:
		return errors.Join(r.restart(ctx, f.Node, endBySeries, ""), r.restart(ctx, f.Node, endBySIGTERM, ""))
	case Upgrade:
		return r.upgrade(ctx, f.Node)
	case Replace:
		return r.replace(ctx, f)
	case Late:
		return r.late(ctx, f)
	case Crowd:
		r.crowd(ctx, f)
	case Clock:
		return r.restart(ctx, f.Node, endByKill, f.How)
	case Connecting:
		return r.connecting(ctx, f)
	case Outage:
		return r.outage(ctx, f)
	case Lists:
		return r.lists(ctx, f)
	case Repeats:
		r.script(ctx, f, standin.Script{Latency: healthy.Latency, Jitter: healthy.Jitter, Errors: 0.02, Full: 0.02, Repeats: repeatShare, RepeatWithin: repeatWithin})
	case Scarce:
		r.script(ctx, f, standin.Script{Latency: healthy.Latency, Jitter: healthy.Jitter, Errors: 0.1, Full: 0.1, Repeats: repeatShare, RepeatWithin: lateRepeatWithin})
	case Sick:
		scripts := []standin.Script{{Silent: true}, {Refusing: true}, {Errors: 1}, {Full: 1, Wait: time.Second}, {ResetLast: 0.5}, {ResetFirst: 0.5}}
		r.script(ctx, f, scripts[f.Place%len(scripts)])
	case Resets:
		r.setEdges(ctx, n.Edges("targets"), f, fleet.Fault{Reset: resetShare})
	case Pieces:
		r.setEdges(ctx, n.Edges("targets"), f, fleet.Fault{Piece: pieceBytes})
	case Discovery:
		n.Discovery.Down(true) // completion notices are still accepted
		sleep(ctx, f.Lasts)
		n.Discovery.Down(false)
	case Drain:
		r.drain(ctx, f)
	case Pause:
		return r.pause(ctx, f.Node)
	case Replay:
		r.replay(ctx, f)
	}
	return nil
}

// replay submits the ids of delivered messages again for a while, the latest first, in either class.
func (r *run) replay(ctx context.Context, f Fault) {
	n := r.rig.Nodes[f.Node]
	for end := time.Now().Add(f.Lasts); time.Now().Before(end) && ctx.Err() == nil; {
		delivered := n.Log.DeliveredUnsafe()
		slices.Reverse(delivered)
		for i, message := range delivered[:min(len(delivered), replayedMessages)] {
			n.Clients.SendAgain(message, []string{standin.Unsafe, standin.Safe}[i%2])
		}
		sleep(ctx, replayPause)
	}
}

// script changes the behaviour of a destination's endpoints for a while.
func (r *run) script(ctx context.Context, f Fault, script standin.Script) {
	endpoints := r.endpointsOf(f.Place % r.shape.Destinations)
	for _, e := range endpoints {
		e.Set(script)
	}
	sleep(ctx, f.Lasts)
	for _, e := range endpoints {
		e.Set(healthy)
	}
}

// setEdges injects a network fault on edges for a while.
func (r *run) setEdges(ctx context.Context, edges []*fleet.Edge, f Fault, networkFault fleet.Fault) {
	for _, edge := range edges {
		edge.Set(networkFault)
	}
	sleep(ctx, f.Lasts)
	for _, edge := range edges {
		edge.Set(fleet.Fault{})
	}
}

// sleep waits for some time, or until the run is cancelled.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// faultFile returns the path of the file from which a node's process reads the faults of its system calls.
func (r *run) faultFile(node int) string {
	return filepath.Join(r.dir, fmt.Sprintf("faults-%d", node+1))
}

// setFault replaces one kind of fault of a node's system calls.
func (r *run) setFault(node int, kind Kind, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.files[node][kind] = how
	lines := make([]string, 0, len(r.files[node])+1)
	for _, line := range r.files[node] {
		lines = append(lines, line)
	}
	if r.step[node] != "" {
		lines = append(lines, "clock "+r.step[node])
	}
	next := r.faultFile(node) + ".next"
	if os.WriteFile(next, []byte(strings.Join(lines, "\n")), 0o600) == nil {
		os.Rename(next, r.faultFile(node))
	}
}

// folderSafety is how long a process whose folder was replaced may take to write its queue to the new one before it is killed.
const folderSafety = 4 * time.Second

// replaceFolder puts an empty folder in the place of a node's, under its process.
func (r *run) replaceFolder(node int) error {
	r.busy[node].Lock()
	defer r.busy[node].Unlock()
	r.spare[node] = time.Now().Add(folderSafety)
	folder := r.rig.Nodes[node].Folder()
	old := folder + ".old"
	if err := errors.Join(os.RemoveAll(old), os.Rename(folder, old)); err != nil {
		return err
	}
	return os.Mkdir(folder, 0o700)
}

// pause stops a process for the longest time that the rules allow between two instructions.
func (r *run) pause(ctx context.Context, node int) error {
	r.busy[node].Lock()
	defer r.busy[node].Unlock()
	n := r.rig.Nodes[node]
	if err := n.Stop(); err != nil {
		return err
	}
	time.Sleep(pauseTime)
	return n.Continue()
}

// ending is the way in which a process is ended.
type ending int

const (
	endByKill ending = iota
	endBySIGTERM
	endBySeries // SIGTERM among other signals
)

// restart ends a node's process and starts the next one, with the wall clock set by a step between them.
func (r *run) restart(ctx context.Context, node int, how ending, step string) error {
	r.busy[node].Lock()
	defer r.busy[node].Unlock()
	sleep(ctx, time.Until(r.spare[node]))
	n := r.rig.Nodes[node]
	p := n.Process()
	ended := time.Now()
	r.checkAlive(n, p)
	if how != endByKill {
		if err := endInOrder(ctx, p, how == endBySeries); err != nil {
			return err
		}
	}
	if err := n.Kill(); err != nil {
		return err
	}
	gone := time.Now()
	time.Sleep(startAfterKill)
	if step != "" {
		r.mu.Lock()
		r.step[node] = step
		r.mu.Unlock()
		r.setFault(node, Clock, "")
	}
	began := time.Now()
	if err := n.Start(); err != nil {
		r.addBroken("%s did not start: %v", n.Name, err)
		return nil
	}
	n.Clients.At(n.Process().Address())
	n.SetAway(false)
	n.Log.Restarted(standin.Restart{Ended: ended, Gone: gone, Ready: time.Now()})
	r.rig.Note(n.Name, "ready", fmt.Sprintf("after %v", time.Since(began).Round(time.Millisecond)))
	return nil
}

// checkAlive records a process that has ended by itself.
func (r *run) checkAlive(n *fleet.Node, p *fleet.Process) {
	if p == nil {
		r.addBroken("%s has no process", n.Name)
	} else if p.Crashed() {
		r.addBroken("%s ended by itself; its log ends:\n%s", n.Name, p.Tail())
	}
}

func (r *run) addBroken(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Broken = append(r.result.Broken, fmt.Sprintf(format, values...))
}

// judge checks the rules against the records of endpoints, clients and notices.
func (r *run) judge() {
	for _, n := range r.rig.Nodes {
		r.checkAlive(n, n.Process())
	}
	rules := standin.Rules
	rules.Drain, rules.AllowUntoldOwner = drainGrace+drainSlack, true
	// Otherwise each start is configured with the present list, or has lost the folder with what was told.
	rules.ToldOutlastsRestart = hasKind(r.result.Faults, Outage) && !hasKind(r.result.Faults, Folder)
	r.result.Verdict = r.rig.Check(rules)
	if !hasKind(r.result.Faults, losesWrittenBytes...) {
		r.judgeUntried()
	}
	for _, event := range r.rig.Events() {
		r.result.Events = append(r.result.Events, event.String())
	}
	for _, text := range r.result.Verdict.Examples[:min(mostTimelines, len(r.result.Verdict.Examples))] {
		name, rest, _ := strings.Cut(text, ": ")
		id, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
		if n := r.rig.Node(name); n != nil {
			r.result.Timelines = append(r.result.Timelines, text+"\n"+strings.Join(n.Log.History(strings.TrimSuffix(id, ","), r.rig.Began()), "\n"))
		}
	}
}
