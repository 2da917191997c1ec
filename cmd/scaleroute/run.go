package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime/debug"
	"strings"
	"sync"
	"syscall"
	"time"

	"scaleroute/internal/agent"
	"scaleroute/internal/back/httpcall"
	"scaleroute/internal/back/smtpcall"
	"scaleroute/internal/config"
	"scaleroute/internal/decide"
	"scaleroute/internal/door"
	"scaleroute/internal/engine"
	"scaleroute/internal/front/resp2"
	"scaleroute/internal/journal"
	"scaleroute/internal/operations"
	"scaleroute/internal/operator"
	"scaleroute/internal/steplog"
	"scaleroute/internal/takeover"
)

// How a planned stop goes, counted from SIGTERM. SIGKILL can come 3.7 s after it.
const (
	acceptOn  = 500 * time.Millisecond  // new connections are taken for so long
	serveOn   = 2400 * time.Millisecond // and those there are served while calls can still be started
	lastCall  = 3400 * time.Millisecond // calls are to end by then
	lastEnd   = 3600 * time.Millisecond // what is still out then is left to the journal
	lastWrite = 50 * time.Millisecond   // for answers still to be written
	listWait  = 500 * time.Millisecond  // for the first list, at a start

	heldShare = 25 // of a hundred parts of the memory: for what is held

	reloadPause = 100 * time.Millisecond // until a configuration that can't be read is read again
)

var (
	errDisk       = errors.New("the journal can't be kept, and nothing may be taken on without it")
	errStopping   = errors.New("stopping")
	errHandedOver = errors.New("another process has taken over")
)

// forwarder is one process of a forwarder.
type forwarder struct {
	c         *config.Config
	operators *settings
	control   *operations.Control
	stop      <-chan struct{}
	hup       <-chan os.Signal
	settings  decide.Settings // with what operators have set
	platform  *agent.Platform
	withdrawn *agent.WithdrawnStore

	inherited net.Listener // the clients' socket that the platform holds; nil if it does not
	id        takeover.Identity
	door      string        // the operators' address
	before    *engine.Stats // of what served before in this process
	fleet     *auditing     // nil: it is none that can be audited
	partial   *partialList  // nil: it knows the whole list
}

// run runs the forwarder until stop is closed and the planned stop is over, or another process has taken over. On
// each value from hup it reads its configuration again. An error means that it
// could not start or can't go on.
func run(c *config.Config, operators *settings, stop <-chan struct{}, hup <-chan os.Signal) error {
	memory := int64(c.Limits.MemoryMB) << 20
	// The journal's file counts as memory too; connections and the runtime need some.
	debug.SetMemoryLimit(memory * 6 / 10)
	descriptors, err := operators.startPlugins()
	if operators.plugins != nil {
		defer operators.plugins.Close()
	}
	if err != nil {
		return err
	}
	if operators.mail = operators.now.HasMail(); operators.mail {
		descriptors += mailIdle
	}
	if c.AdminListen != "" {
		descriptors += door.MaxDescriptors
	}
	if set := operators.now.Fleet; set != nil && set.Gossip != nil {
		descriptors += speakerDescriptors
	}
	f := &forwarder{c: c, operators: operators, control: operations.NewControl(), stop: stop, hup: hup}
	f.partial = newPartialList(f)
	descriptors += f.partial.descriptors()
	if c.Limits.Sockets -= descriptors; c.Limits.MaxEndpointConnections() < 1 {
		return fmt.Errorf("plug-ins, connections for mail and the operators' door need %d descriptors, which leaves %d: allow more, or set fewer processes", descriptors, c.Limits.Sockets)
	}
	if most := c.Limits.MaxEndpointConnections(); c.Settings.Slots > most { // with each slot in use there is a connection for each call, or the descriptors run out
		slog.Warn("fewer calls are out at once than the settings let", "slots", c.Settings.Slots, "calls", most, "sockets", c.Limits.Sockets)
		c.Settings.Slots = most
	}
	f.settings = c.Settings
	f.platform = agent.New(c.Discovery, agent.Fleet{Forwarders: c.Settings.Forwarders, MustSubscribe: c.Settings.MustSubscribe, ResubscribeInterval: c.Settings.ResubscribeInterval})
	if err := operators.apply(&f.settings); err != nil {
		return err
	}
	if f.fleet, err = newFleet(f); err != nil {
		return err
	}
	if c.AdminListen != "" { // before what may take a while
		ln, err := net.Listen("tcp", c.AdminListen)
		if err != nil {
			return fmt.Errorf("listening for operators (NODE_OPS, or ops in the configuration): give each process an address of its own: %w", err)
		}
		d := door.New(f.control, append(f.fleet.calls(), f.partial.calls()...)...)
		defer d.Close()
		go d.Serve(ln)
		f.door = ln.Addr().String()
		slog.Info("operators' door", "address", ln.Addr())
	}
	if c.SocketFD != 0 {
		if err := f.inherit(); err != nil {
			return err
		}
		f.platform.RetainLatest()
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if c.Limits.MemoryMB >= roomyMB {
		go spendMemory(ctx, memory/spentPart)
	}
	j, from, taker, err := f.begin()
	if err != nil {
		return err
	}
	for {
		left, giver, err := f.serve(j, from, taker)
		if giver == nil || err != nil {
			return err
		}
		taker = nil
		if j, err = f.give(giver, left); err != nil || j == nil {
			return err
		}
		from = left
	}
}

// The edges to the system at which faults are injected: tests and builds with the tag faults replace them.
var (
	folderFS      = journal.DirFS // the folder that lasts
	listenClients = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	dialControl   func(network, address string, c syscall.RawConn) error // before each connect; nil: nothing is done
)

// diskPause is how long a start waits before it tries a disk again that has refused.
const diskPause = 100 * time.Millisecond

// openJournal opens the journal, as soon as its disk lets it. It returns errStopping if the process is to end before.
func (f *forwarder) openJournal() (*journal.Journal, error) {
	for refusals := 0; ; refusals++ {
		j, err := f.tryJournal()
		if err == nil || !journal.IsDiskError(err) {
			return j, err
		}
		if refusals == 0 {
			slog.Error("the journal can't be opened: nothing is served until its disk lets it", "folder", f.c.StateDir, "err", err)
		}
		select {
		case <-f.stop:
			return nil, fmt.Errorf("%w: %w", errStopping, err)
		case <-time.After(diskPause):
		}
	}
}

func (f *forwarder) tryJournal() (*journal.Journal, error) {
	return journal.Open(f.c.StateDir, journal.Options{FS: folderFS(f.c.StateDir), DiskLimit: int64(f.c.Limits.DiskMB*1e6) - f.fleet.disk(), MemoryLimit: int64(f.c.Limits.MemoryMB) << 20 * heldShare / 100,
		Durability: operator.Durabilities[f.operators.now.Journal.Durability], AllowExtras: f.operators.file != ""})
}

// back makes the calls; http is the part of it for HTTP.
func (f *forwarder) back() (back engine.Back, http *httpcall.Back) {
	set := &f.settings
	http = httpcall.New(httpcall.Config{MaxConnections: f.c.Limits.MaxEndpointConnections(), EndpointIdleTimeout: set.ConnIdle, ConnectTimeout: set.ConnectTimeout, DialControl: dialControl})
	back = http
	if f.operators.mail {
		name := f.c.Name
		if name == "" || strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r > '~' }) {
			name = "scaleroute"
		}
		back = backs{http, smtpcall.New(smtpcall.Config{Hostname: name, MaxIdle: mailIdle, IdleTimeout: set.ConnIdle, ConnectTimeout: set.ConnectTimeout})}
	}
	if f.operators.plugins != nil {
		back = f.operators.plugins.Back(back)
	}
	return back, http
}

// start makes the engine and has it go on with what the journal holds, and with what another one left.
func (f *forwarder) start(j *journal.Journal, from *bundle) (l *engine.Engine, http *httpcall.Back, known *agent.List, err error) {
	back, http := f.back()
	configuration := engine.Config{Settings: f.settings, Journal: j, Back: back, Resumer: http, Limits: f.operators.intake(), SyncEvery: time.Duration(f.operators.now.Journal.SyncEvery),
		CompletionNotifiers: map[string]engine.CompletionNotifier{"": f.platform}, PublishStats: f.c.AdminListen != "", PreviousStats: f.before}
	if f.operators.plugins != nil {
		configuration.OnOutcome = f.operators.plugins.Ended
	}
	if f.partial != nil {
		configuration.OnQueueChange = f.partial.holding
	}
	if f.operators.logSteps {
		configuration.OnStep = steplog.NewWriter(os.Stderr).Step
	}
	f.withdrawn = agent.OpenWithdrawnStore(f.c.StateDir, &f.c.InitialList)
	list := f.withdrawn.InitialList()
	lists := []engine.List{list.ToEngineList(decide.LastKnown)}
	if f.partial != nil {
		list = f.partial.start(list, from, j)
		lists = []engine.List{list.ToEngineList(decide.Snapshot)}
		defer f.partial.started()
	} else if known = f.knownFrom(from); known != nil {
		lists = append(lists, known.ToEngineList(decide.Snapshot))
		f.withdrawn.Update(known)
		list = known
	} else if f.settings.MustSubscribe && len(list.Endpoints) > 0 {
		known = list // what has changed since is less work than the whole list
	}
	if configuration.Accounting, err = f.fleet.acting(list, from); err != nil {
		return nil, nil, nil, err
	}
	if l, err = engine.New(configuration); err != nil {
		return nil, nil, nil, err
	}
	if f.operators.file != "" || f.c.AdminListen != "" {
		f.operators.sources = &sources{to: l, leftOut: operations.NewDisabledFile(f.c.StateDir)}
		lists = f.operators.sources.start(f.operators.now.Endpoints(), lists...)
		f.operators.sources.noteFile(f.operators.now)
		f.operators.sources.list = f.operators.sources.targets.Update(list.Index, true, list.VersionEntries())
	}
	if from != nil && from.engine.ForwarderState != nil {
		err := l.Resume(&from.engine, lists[len(lists)-1])
		if err == nil {
			return l, http, known, nil
		}
		from.forget(err)
	}
	l.Recover(lists...) // before any PING is answered
	return l, http, known, nil
}

// knownFrom is the list as this forwarder knows it. The one that it is started with may be older than what it was last told: recovered
// messages must not go to targets that drain since. Without an answer it has to do.
func (f *forwarder) knownFrom(from *bundle) *agent.List {
	if from != nil && from.list != nil {
		return from.list
	}
	first, err := f.platform.FetchSnapshot(listWait)
	if err != nil {
		slog.Warn("starting with the list as last known", "err", err)
	}
	return first
}

// serve owns the forwarder from here on: until the planned stop is over, or another process asks to take over. Then it returns what it
// leaves to that one, with the journal closed.
func (f *forwarder) serve(j *journal.Journal, from *bundle, taker *takeover.Receiver) (left *bundle, giver *takeover.Sender, err error) {
	defer j.Close()
	takeover.StepReached("new: locked")
	l, http, known, err := f.start(j, from)
	if err != nil {
		return nil, nil, err
	}
	takeover.StepReached("new: recovered")
	if taker != nil {
		if err := taker.ConfirmOwnership(f.door); err != nil { // it has ended: nobody else owns what it had
			slog.Warn("the process before has not heard that this one has taken over", "err", err)
		}
		taker.Close()
		takeover.StepReached("new: owned")
	}
	ln := f.inherited
	if ln == nil {
		if ln, err = listenClients(f.c.Listen); err != nil {
			return nil, nil, fmt.Errorf("listening for clients: %w", err)
		}
	}
	var intake resp2.Acceptor = l
	if f.operators.plugins != nil {
		intake = router{f.operators, f.operators.plugins.Front(f.partial.front(l))}
	}
	clients := resp2.New(ln, f.c.Limits.MaxClientConnections(), intake)
	clients.HandoverEnabled = f.inherited != nil
	if from != nil && from.drained {
		clients.Drain()
	}

	ctx, cancel := context.WithCancel(context.Background())
	watching, unwatch := context.WithCancel(ctx)
	defer unwatch()
	var all, lists, accepting sync.WaitGroup
	defer func() { // what has not ended in order ends now
		if giver == nil {
			clients.Close()
		}
		cancel()
		all.Wait()
		lists.Wait()
		accepting.Wait()
		if giver == nil {
			clients.Wait(lastWrite)
		}
		f.fleet.close(giver != nil)
	}()
	failed := make(chan error, 1)
	all.Go(func() {
		if err := l.Run(ctx); err != nil {
			failed <- fmt.Errorf("%w: %w", errDisk, err)
		}
	})
	lists.Go(func() { f.followList(watching, known, l) })
	lists.Go(func() { reload(watching, f.hup, f.fleet.again(), f.c.File, f.platform, f.operators) })
	all.Go(func() { f.platform.DeliverNotices(ctx, l.Acknowledge) })
	if from != nil {
		http.AdoptIdle(from.idle)
		clients.Adopt(from.clients, from.stopped)
	}
	accepting.Go(func() { clients.Serve(ctx) })
	if file := f.operators.now.PluginStatus; file != "" {
		all.Go(func() { f.operators.plugins.Publish(ctx, file, publishEvery) })
	}
	f.fleet.serve(watching, &lists, l)
	asks := f.listenForNext(ctx, &all)
	f.control.SetServing(operations.Components{Clients: clients, Endpoints: f.operators.sources, Stats: l.Stats, JournalFailing: l.JournalFailing})
	slog.Info("serving", "name", f.c.Name, "address", ln.Addr(), "discovery", f.c.Discovery)
	takeover.StepReached("new: serving")

	for {
		select {
		case err := <-failed:
			return nil, nil, err
		case <-f.stop:
			return nil, nil, f.end(l, clients, failed)
		case next := <-asks:
			if since := l.JournalFailing(); !since.IsZero() {
				slog.Warn("no other process takes over while the journal can't be kept: it may ask again", "since", since)
				next.Close()
				continue
			}
			if err := next.Accept(); err != nil {
				slog.Warn("a process that asked to take over is gone", "err", err)
				next.Close()
				continue
			}
			slog.Info("handing over")
			f.control.BeginHandover(errHandedOver)
			takeover.StepReached("old: asked")
			// In the order in which things come: lists, then requests, then calls.
			unwatch()
			lists.Wait()
			left = &bundle{list: f.platform.Latest(), part: f.partial.leave(), drained: f.control.DrainedByOperator(), stopped: time.Now()}
			left.clients = clients.Detach(detachLimit)
			accepting.Wait()
			takeover.StepReached("old: clients detached")
			left.takeOver = f.fleet.generation()
			left.idle = http.ReleaseIdle()
			h := l.Detach()
			if h == nil {
				return nil, nil, <-failed
			}
			left.engine = *h
			takeover.StepReached("old: engine detached")
			f.before = l.Stats()
			return left, next, nil
		}
	}
}

// end is the planned stop.
func (f *forwarder) end(l *engine.Engine, clients *resp2.Server, failed <-chan error) error {
	f.control.SetStopped(errStopping)
	slog.Info("stopping")
	l.NotifyStopping(lastCall)
	began := time.Now()
	for _, step := range []struct {
		at time.Duration
		do func()
	}{{acceptOn, clients.StopAccepting}, {serveOn, clients.Close}, {serveOn + 2*resp2.FinalReadGrace, l.Finish}} {
		select {
		case err := <-failed:
			return err
		case <-time.After(time.Until(began.Add(step.at))):
			step.do()
		}
	}
	select {
	case err := <-failed:
		return err
	case <-l.Idle():
	case <-time.After(time.Until(began.Add(lastEnd))):
	}
	slog.Info("stopped")
	return nil
}

// reload moves to the discovery that the configuration names, and takes what operators have set, each time that it
// is told to read them again, also in a stop. Until the configuration can be read the old address stays.
func reload(ctx context.Context, hup <-chan os.Signal, behind <-chan struct{}, file string, p *agent.Platform, operators *settings) {
	var again <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			operators.reload()
		case <-behind:
			operators.reload()
		case <-again:
		}
		address, err := config.ReadDiscovery(file)
		if err != nil {
			slog.Warn("the configuration stays as it was", "err", err)
			again = time.After(reloadPause)
			continue
		}
		again = nil
		p.SetAddress(address)
	}
}
