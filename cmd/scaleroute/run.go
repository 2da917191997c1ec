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

// The steps of a planned stop, counted from SIGTERM. SIGKILL may follow 3.7 s after it.
const (
	acceptPeriod       = 500 * time.Millisecond  // until then new connections are accepted
	servePeriod        = 2400 * time.Millisecond // until then requests on open connections are served, since calls can still be started
	callsDeadline      = 3400 * time.Millisecond // by then calls have to end
	stopDeadline       = 3600 * time.Millisecond // calls still in flight then stay in the journal for the next start
	finalWriteTimeout  = 50 * time.Millisecond   // for replies that are still to be written
	initialListTimeout = 500 * time.Millisecond  // for the first endpoint list at a start

	queueMemoryPercent = 25 // of the memory limit, for queued messages

	configRetryInterval = 100 * time.Millisecond // between attempts to read a configuration that can't be read
)

var (
	errDisk       = errors.New("the journal can't be kept, and no message may be accepted without it")
	errStopping   = errors.New("stopping")
	errHandedOver = errors.New("another process has taken over")
)

// forwarder is one process of a forwarder.
type forwarder struct {
	config    *config.Config
	operators *settings
	control   *operations.Control
	stop      <-chan struct{}
	hup       <-chan os.Signal
	settings  decide.Settings // the platform's settings with those of operators applied
	platform  *agent.Platform
	callable  *agent.CallableStore

	inherited     net.Listener // the clients' socket that the platform passes on; nil if it does not
	identity      takeover.Identity
	adminAddress  string        // where the admin API listens; empty: nowhere
	previousStats *engine.Stats // of the engine that served before in this process; nil if none did
	fleet         *fleetState   // nil: the operators' file has no fleet block
	partial       *partialList  // nil: this forwarder watches the whole endpoint list
}

// run runs the forwarder until stop is closed and the planned stop is complete, or until another process has taken over.
// On each value from hup it reads its configuration again. An error means that it could not start or can't continue.
func run(c *config.Config, operators *settings, stop <-chan struct{}, hup <-chan os.Signal) error {
	memory := int64(c.Limits.MemoryMB) << 20
	// The rest of the memory is for the journal's file, which counts as memory too, for connections and for the runtime.
	debug.SetMemoryLimit(memory * 6 / 10)
	descriptors, err := operators.startPlugins()
	if operators.plugins != nil {
		defer operators.plugins.Close()
	}
	if err != nil {
		return err
	}
	if operators.mailReserved = operators.current.HasMail(); operators.mailReserved {
		descriptors += maxIdleMailConns
	}
	if c.AdminListen != "" {
		descriptors += door.MaxDescriptors
	}
	if set := operators.current.Fleet; set != nil && set.Gossip != nil {
		descriptors += sidecarDescriptors
	}
	f := &forwarder{config: c, operators: operators, control: operations.NewControl(), stop: stop, hup: hup}
	f.partial = newPartialList(f)
	descriptors += f.partial.descriptors()
	if c.Limits.Sockets -= descriptors; c.Limits.MaxEndpointConnections() < 1 {
		return fmt.Errorf("plug-ins, mail connections, the admin API and the connections to other forwarders and control servers need %d descriptors, which leaves %d: allow more sockets, or set fewer plug-in processes", descriptors, c.Limits.Sockets)
	}
	if limit := c.Limits.MaxEndpointConnections(); c.Settings.Slots > limit { // each slot in use needs a connection, and more slots would exhaust the descriptors
		slog.Warn("the limit of sockets allows fewer calls in flight than the settings", "slots", c.Settings.Slots, "calls", limit, "sockets", c.Limits.Sockets)
		c.Settings.Slots = limit
	}
	f.settings = c.Settings
	f.platform = agent.New(c.Discovery, agent.Fleet{Forwarders: c.Settings.Forwarders, MustSubscribe: c.Settings.MustSubscribe, ResubscribeInterval: c.Settings.ResubscribeInterval})
	if err := operators.apply(&f.settings); err != nil {
		return err
	}
	if f.fleet, err = newFleetState(f); err != nil {
		return err
	}
	if c.AdminListen != "" { // before the steps that may take long, so that operators can ask whether the process is ready
		ln, err := net.Listen("tcp", c.AdminListen)
		if err != nil {
			return fmt.Errorf("listening for the admin API (NODE_OPS, or ops in the configuration): give each process its own address: %w", err)
		}
		admin := door.New(f.control, append(f.fleet.routes(), f.partial.routes()...)...)
		defer admin.Close()
		go admin.Serve(ln)
		f.adminAddress = ln.Addr().String()
		slog.Info("operators' door", "address", ln.Addr())
	}
	if c.SocketFD != 0 {
		if err := f.inheritSocket(); err != nil {
			return err
		}
		f.platform.RetainLatest()
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if c.Limits.MemoryMB >= gcTuningMinMB {
		go tuneGC(ctx, memory/heapGrowthDivisor)
	}
	j, previous, receiver, err := f.acquireState()
	if err != nil {
		return err
	}
	for {
		saved, sender, err := f.serve(j, previous, receiver)
		if sender == nil || err != nil {
			return err
		}
		receiver = nil
		if j, err = f.handOver(sender, saved); err != nil || j == nil {
			return err
		}
		previous = saved
	}
}

// System calls into which faults can be injected: tests and builds with the tag faults replace these functions.
var (
	folderFS      = journal.DirFS // opens the state folder
	listenClients = func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	dialControl   func(network, address string, c syscall.RawConn) error // called before each connect, unless it is nil
)

// diskRetryInterval is how long a start waits before it opens the journal again after a disk error.
const diskRetryInterval = 100 * time.Millisecond

// openJournal opens the journal and retries on disk errors until it succeeds. It returns errStopping if the process is told to stop before.
func (f *forwarder) openJournal() (*journal.Journal, error) {
	for refusals := 0; ; refusals++ {
		j, err := f.openJournalOnce()
		if err == nil || !journal.IsDiskError(err) {
			return j, err
		}
		if refusals == 0 {
			slog.Error("the journal can't be opened: this process does not serve until its disk works again", "folder", f.config.StateDir, "err", err)
		}
		select {
		case <-f.stop:
			return nil, fmt.Errorf("%w: %w", errStopping, err)
		case <-time.After(diskRetryInterval):
		}
	}
}

func (f *forwarder) openJournalOnce() (*journal.Journal, error) {
	_, reserved := f.callableRecord()
	disk, memory := int64(f.config.Limits.DiskMB*1e6)-f.fleet.ledgerSize()-reserved, int64(f.config.Limits.MemoryMB)<<20
	return journal.Open(f.config.StateDir, journal.Options{FS: folderFS(f.config.StateDir), DiskLimit: disk, MemoryLimit: memory * queueMemoryPercent / 100, CompletedIDBytes: journal.CompletedIDBytes(disk, memory),
		Durability: operator.Durabilities[f.operators.current.Journal.Durability], AllowExtras: f.operators.file != ""})
}

// callableRecord returns how many endpoints the record of callable endpoints may have, and the bytes that the journal must leave for it.
func (f *forwarder) callableRecord() (limit int, reserved int64) {
	return agent.RecordLimit(len(f.config.InitialList.Endpoints), int64(f.config.Limits.DiskMB*1e6))
}

// newBack returns the back that makes all calls, and the part of it that makes calls over HTTP.
func (f *forwarder) newBack() (back engine.Back, http *httpcall.Back) {
	set := &f.settings
	http = httpcall.New(httpcall.Config{MaxConnections: f.config.Limits.MaxEndpointConnections(), EndpointIdleTimeout: set.ConnIdle, ConnectTimeout: set.ConnectTimeout, DialControl: dialControl})
	back = http
	if f.operators.mailReserved {
		name := f.config.Name
		if name == "" || strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r > '~' }) {
			name = "scaleroute"
		}
		back = backByScheme{http, smtpcall.New(smtpcall.Config{Hostname: name, MaxIdle: maxIdleMailConns, IdleTimeout: set.ConnIdle, ConnectTimeout: set.ConnectTimeout})}
	}
	if f.operators.plugins != nil {
		back = f.operators.plugins.Back(back)
	}
	return back, http
}

// startEngine creates the engine and lets it recover from the journal, or resume from the state that the previous process handed over.
func (f *forwarder) startEngine(j *journal.Journal, previous *handoverState) (e *engine.Engine, http *httpcall.Back, known *agent.List, err error) {
	back, http := f.newBack()
	configuration := engine.Config{Settings: f.settings, Journal: j, Back: back, Resumer: http, Limits: f.operators.engineLimits(), SyncEvery: time.Duration(f.operators.current.Journal.SyncEvery),
		CompletionNotifiers: map[string]engine.CompletionNotifier{"": f.platform}, PublishStats: f.config.AdminListen != "", PreviousStats: f.previousStats}
	if f.operators.plugins != nil {
		configuration.OnOutcome = f.operators.plugins.ObserveOutcome
	}
	if f.partial != nil {
		configuration.OnQueueChange = f.partial.queueChanged
	}
	if f.operators.logSteps {
		configuration.OnStep = steplog.NewWriter(os.Stderr).Step
	}
	recordLimit, _ := f.callableRecord()
	f.callable = agent.OpenCallableStore(f.config.StateDir, &f.config.InitialList, recordLimit)
	list := f.callable.InitialList()
	lists := []engine.List{list.ToEngineList(decide.LastKnown)}
	if f.partial != nil {
		list = f.partial.start(list, previous, j)
		lists = []engine.List{list.ToEngineList(decide.Snapshot)}
		defer f.partial.releaseRecovered()
	} else if known = f.initialList(previous); known != nil {
		lists = append(lists, known.ToEngineList(decide.Snapshot))
		f.callable.Update(known)
		list = known
	} else if f.settings.MustSubscribe && len(list.Endpoints) > 0 {
		known = list // to subscribe for the changes since then is less work than to fetch the whole list
	}
	if configuration.Accounting, err = f.fleet.accounting(list, previous); err != nil {
		return nil, nil, nil, err
	}
	if e, err = engine.New(configuration); err != nil {
		return nil, nil, nil, err
	}
	if f.operators.file != "" || f.config.AdminListen != "" {
		f.operators.sources = &sources{engine: e, disabledFile: operations.NewDisabledFile(f.config.StateDir)}
		lists = f.operators.sources.start(f.operators.current.Endpoints(), lists...)
		f.operators.sources.setFileDestinations(f.operators.current)
		f.operators.sources.list = f.operators.sources.listTracker.Update(list.Index, true, list.VersionEntries())
	}
	if previous != nil && previous.engine.ForwarderState != nil {
		err := e.Resume(&previous.engine, lists[len(lists)-1])
		if err == nil {
			return e, http, known, nil
		}
		previous.discardEngine(err)
	}
	e.Recover(lists...) // before the first PING is answered
	return e, http, known, nil
}

// initialList returns the endpoint list of the previous process, or else fetches it. The list in the configuration may be older than the last one that this
// forwarder received, and recovered messages must not go to endpoints that have begun to drain since. If discovery does not answer, initialList returns nil
// and the configured list is used.
func (f *forwarder) initialList(previous *handoverState) *agent.List {
	if previous != nil && previous.list != nil {
		return previous.list
	}
	snapshot, err := f.platform.FetchSnapshot(initialListTimeout)
	if err != nil {
		slog.Warn("discovery has not answered: starting with the last known endpoint list", "err", err)
	}
	return snapshot
}

// serve runs the engine and the clients' front until the planned stop is complete, or until another process requests the handover. In that case it returns
// the state for that process and the sender for it, with the journal closed.
func (f *forwarder) serve(j *journal.Journal, previous *handoverState, receiver *takeover.Receiver) (saved *handoverState, sender *takeover.Sender, err error) {
	defer j.Close()
	takeover.StepReached("new: locked")
	e, http, known, err := f.startEngine(j, previous)
	if err != nil {
		return nil, nil, err
	}
	takeover.StepReached("new: recovered")
	if receiver != nil {
		if err := receiver.ConfirmOwnership(f.adminAddress); err != nil { // the previous process has ended, so no other process owns the state
			slog.Warn("the previous process was not notified that this one has taken over", "err", err)
		}
		receiver.Close()
		takeover.StepReached("new: owned")
	}
	ln := f.inherited
	if ln == nil {
		if ln, err = listenClients(f.config.Listen); err != nil {
			return nil, nil, fmt.Errorf("listening for clients: %w", err)
		}
	}
	var intake resp2.Acceptor = e
	if f.operators.plugins != nil {
		intake = router{f.operators, f.operators.plugins.Front(f.partial.front(e))}
	}
	clients := resp2.New(ln, f.config.Limits.MaxClientConnections(), intake)
	clients.HandoverEnabled = f.inherited != nil
	lendSpareDescriptors := func(clients int) { http.SetBorrowed(f.config.Limits.SpareClientConnections(clients)) }
	lendSpareDescriptors(0)
	clients.OnConnections = lendSpareDescriptors
	if previous != nil && previous.drained {
		clients.Drain()
	}

	ctx, cancel := context.WithCancel(context.Background())
	watching, unwatch := context.WithCancel(ctx)
	defer unwatch()
	var all, lists, accepting sync.WaitGroup
	defer func() { // ends whatever a planned stop or a handover has not ended
		if sender == nil {
			clients.Close()
		}
		cancel()
		all.Wait()
		lists.Wait()
		accepting.Wait()
		if sender == nil {
			clients.Wait(finalWriteTimeout)
		}
		f.fleet.close(sender != nil)
	}()
	failed := make(chan error, 1)
	all.Go(func() {
		if err := e.Run(ctx); err != nil {
			failed <- fmt.Errorf("%w: %w", errDisk, err)
		}
	})
	lists.Go(func() { f.followList(watching, known, e) })
	lists.Go(func() { reloadLoop(watching, f.hup, f.fleet.reloadRequests(), f.config.File, f.platform, f.operators) })
	all.Go(func() { f.platform.DeliverNotices(ctx, e.Acknowledge) })
	if previous != nil {
		http.AdoptIdle(previous.idle)
		clients.Adopt(previous.clients, previous.stopped)
	} else if f.inherited != nil {
		clients.CountFromArrival()
	}
	accepting.Go(func() { clients.Serve(ctx) })
	if file := f.operators.current.PluginStatus; file != "" {
		all.Go(func() { f.operators.plugins.Publish(ctx, file, publishInterval) })
	}
	f.fleet.serve(watching, &lists, e)
	requests := f.listenForNext(ctx, &all)
	f.control.SetServing(operations.Components{Clients: clients, Endpoints: f.operators.sources, Stats: e.Stats, JournalFailing: e.JournalFailing})
	slog.Info("serving", "name", f.config.Name, "address", ln.Addr(), "discovery", f.config.Discovery)
	takeover.StepReached("new: serving")

	for {
		select {
		case err := <-failed:
			return nil, nil, err
		case <-f.stop:
			return nil, nil, f.shutDown(e, clients, failed)
		case request := <-requests:
			if since := e.JournalFailing(); !since.IsZero() {
				slog.Warn("a handover was refused since the journal can't be kept: the other process may ask again", "since", since)
				request.Close()
				continue
			}
			if err := request.Accept(); err != nil {
				slog.Warn("the process that requested the handover is gone", "err", err)
				request.Close()
				continue
			}
			slog.Info("handing over")
			f.control.BeginHandover(errHandedOver)
			takeover.StepReached("old: asked")
			// What produces work stops first: list updates, then clients' requests, then calls.
			unwatch()
			lists.Wait()
			saved = &handoverState{list: f.platform.Latest(), partialList: f.partial.save(), drained: f.control.DrainedByOperator(), stopped: time.Now()}
			saved.clients = clients.Detach(detachTimeout)
			accepting.Wait()
			takeover.StepReached("old: clients detached")
			saved.handovers = f.fleet.generation()
			saved.idle = http.ReleaseIdle()
			h := e.Detach()
			if h == nil {
				return nil, nil, <-failed
			}
			saved.engine = *h
			takeover.StepReached("old: engine detached")
			f.previousStats = e.Stats()
			return saved, request, nil
		}
	}
}

// shutDown carries out the planned stop.
func (f *forwarder) shutDown(e *engine.Engine, clients *resp2.Server, failed <-chan error) error {
	f.control.SetStopped(errStopping)
	slog.Info("stopping")
	e.NotifyStopping(callsDeadline)
	began := time.Now()
	for _, step := range []struct {
		at time.Duration
		do func()
	}{{acceptPeriod, clients.StopAccepting}, {servePeriod, clients.Close}, {servePeriod + 2*resp2.FinalReadGrace, e.Finish}} {
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
	case <-e.Idle():
	case <-time.After(time.Until(began.Add(stopDeadline))):
	}
	slog.Info("stopped")
	return nil
}

// reloadLoop reads the operators' file and the configuration again on each signal, also during a planned stop. It applies the operators' settings and
// the address of discovery. While the configuration can't be read, the old address stays and the read is retried.
func reloadLoop(ctx context.Context, hup <-chan os.Signal, outOfDate <-chan struct{}, file string, platform *agent.Platform, operators *settings) {
	var retry <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			operators.reload()
		case <-outOfDate:
			operators.reload()
		case <-retry:
		}
		address, err := config.ReadDiscovery(file)
		if err != nil {
			slog.Warn("the configuration can't be read again: the address of discovery stays as it was", "err", err)
			retry = time.After(configRetryInterval)
			continue
		}
		retry = nil
		platform.SetAddress(address)
	}
}
