package scale

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"scaleroute/internal/agent"
	"scaleroute/internal/back/httpcall"
	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
	"scaleroute/internal/journal"
)

const (
	// applyWithin is how long a node waits until a list that it received is in force.
	applyWithin = time.Minute
	// callConnections bounds the connections to endpoints of a node; it makes none.
	callConnections = 64
)

// Node is a simulated node: a forwarder's engine, decision module, addresses and watch, without clients, calls and journal.
type Node struct {
	Name          string
	engine        *engine.Engine
	source        source
	loop          context.CancelFunc
	watch         context.CancelFunc
	watching, all sync.WaitGroup
	clock         arrivals
}

// source tells a node which endpoints there are.
type source interface {
	// watch has each list in force until ctx ends.
	watch(ctx context.Context, to *Node)
	// concerns tells whether changes of some destinations are reported to this node.
	concerns(destinations []int) bool
}

// arrivals notes when lists were in force. Any goroutine may use it.
type arrivals struct {
	mu      sync.Mutex
	started time.Time
	ready   time.Time // the first list was in force
	index   int64
	at      time.Time // index, or a later one, was in force first
	changed chan struct{}
}

// note takes a list that is in force now.
func (a *arrivals) note(index int64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ready.IsZero() && index >= firstIndex {
		a.ready = now
	}
	if index > a.index {
		a.index, a.at = index, now
		close(a.changed)
		a.changed = make(chan struct{})
	}
}

// reached waits until an index is in force, and returns since when.
func (a *arrivals) reached(ctx context.Context, index int64) (time.Time, error) {
	for {
		a.mu.Lock()
		have, at, changed := a.index, a.at, a.changed
		a.mu.Unlock()
		if have >= index {
			return at, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return time.Time{}, fmt.Errorf("index %d is in force, and %d was awaited: %w", have, index, ctx.Err())
		}
	}
}

// readyAfter is how long the start of a node took; false: it is not ready yet.
func (a *arrivals) readyAfter() (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ready.Sub(a.started), !a.ready.IsZero()
}

// NewNode starts a simulated node.
func NewNode(name string, settings decide.Settings, from source) (*Node, error) {
	store, err := journal.OpenWith(journal.Options{FS: noFiles{}})
	if err != nil {
		return nil, err
	}
	back := httpcall.New(httpcall.Config{MaxConnections: callConnections, EndpointIdleTimeout: settings.ConnIdle, ConnectTimeout: settings.ConnectTimeout})
	e, err := engine.New(engine.Config{Settings: settings, Journal: store, Back: back, CompletionNotifiers: map[string]engine.CompletionNotifier{"": noFinals{}}})
	if err != nil {
		return nil, fmt.Errorf("node %s: %w", name, err)
	}
	n := &Node{Name: name, engine: e, source: from, clock: arrivals{started: time.Now(), changed: make(chan struct{})}}
	loop, endLoop := context.WithCancel(context.Background())
	watch, endWatch := context.WithCancel(loop)
	n.loop, n.watch = endLoop, endWatch
	e.Recover()
	n.all.Go(func() { e.Run(loop) }) // fails by its journal alone, and that has no files
	n.watching.Go(func() { from.watch(watch, n) })
	return n, nil
}

// apply has a list in force.
func (n *Node) apply(index int64, l engine.List) {
	if n.engine.UpdateEndpointsAndWait(l, applyWithin) {
		n.clock.note(index, time.Now())
	}
}

// Leave ends the node's lease, where it has one, and the node.
func (n *Node) Leave() error {
	n.watch()
	n.watching.Wait()
	var err error
	if p, isPartial := n.source.(*partialList); isPartial {
		err = p.leave()
	}
	n.Close()
	return err
}

// Close ends the node, its watch first.
func (n *Node) Close() {
	n.watch()
	n.watching.Wait()
	n.loop()
	n.all.Wait()
}

// wholeList watches the whole list, as a forwarder without a scope does.
type wholeList struct {
	platform *agent.Platform
	callable *agent.CallableStore // what may be called after a restart, in a file; nil: it is not kept
}

// newWholeList makes one. A folder is where a forwarder would keep which endpoints may be called; empty: that is not kept.
func newWholeList(address, folder string) source {
	w := &wholeList{platform: agent.New(address, agent.Fleet{})}
	if folder != "" {
		w.callable = agent.OpenCallableStore(folder, &agent.List{}, agent.MaxRecordedInMargin)
	}
	return w
}

func (w *wholeList) watch(ctx context.Context, to *Node) {
	w.platform.Watch(ctx, nil, func(l *agent.List) {
		if w.callable != nil {
			w.callable.Update(l)
		}
		to.apply(l.Index, l.EngineUpdate())
	})
}

func (w *wholeList) concerns([]int) bool { return true }

// noFiles is a file system without room: a journal on it keeps nothing.
type noFiles struct{}

var errNoFiles = errors.New("a simulated node has no files")

func (noFiles) List() ([]string, error)                 { return nil, nil }
func (noFiles) Open(string, bool) (journal.File, error) { return nil, errNoFiles }
func (noFiles) Rename(string, string) error             { return errNoFiles }
func (noFiles) Remove(string) error                     { return errNoFiles }
func (noFiles) Free() (int64, error)                    { return 0, nil }
func (noFiles) Sync() error                             { return nil }

// noFinals takes no final answers: there are no messages.
type noFinals struct{}

func (noFinals) NotifyCompletion(engine.Completion) {}
