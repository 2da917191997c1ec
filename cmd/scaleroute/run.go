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
	"scaleroute/internal/membership"
	"scaleroute/internal/operations"
	"scaleroute/internal/operator"
	"scaleroute/internal/steplog"
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

var errDisk = errors.New("the journal can't be kept, and nothing may be taken on without it")

// run runs the forwarder until stop is closed and the planned stop is over. On
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
	if c.Limits.Sockets -= descriptors; c.Limits.Endpoints() < 1 {
		return fmt.Errorf("-operators: plug-ins and connections for mail need %d descriptors, which leaves %d: allow more, or set fewer processes", descriptors, c.Limits.Sockets)
	}
	control := operations.NewControl()
	if c.Ops != "" { // before what may take a while
		c.Limits.Sockets -= door.Descriptors
		ln, err := net.Listen("tcp", c.Ops)
		if err != nil {
			return fmt.Errorf("listening for operators: %w", err)
		}
		d := door.New(control)
		defer d.Close()
		go d.Serve(ln)
		slog.Info("operators' door", "address", ln.Addr())
	}
	j, err := journal.Open(c.State, journal.Options{Limit: int64(c.Limits.DiskMB * 1e6), Memory: memory * heldShare / 100,
		Durability: operator.Durabilities[operators.now.Journal.Durability], Extras: operators.file != ""})
	if err != nil {
		return err
	}
	defer j.Close()
	set := c.Settings
	p := agent.New(c.Discovery, agent.Fleet{Forwarders: set.Forwarders, Asks: set.MustAsk, AskEvery: set.AskEvery})
	if err := operators.apply(&set); err != nil {
		return err
	}
	configuration := engine.Config{Settings: set, Journal: j, Limits: operators.intake(), SyncEvery: time.Duration(operators.now.Journal.SyncEvery), Finals: map[string]engine.Finals{"": p}, Figures: c.Ops != "",
		Back: httpcall.New(httpcall.Config{Connections: c.Limits.Endpoints(), ConnIdle: set.ConnIdle, ConnectLimit: set.ConnectLimit})}
	if operators.mail {
		name := c.Name
		if name == "" || strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r > '~' }) {
			name = "scaleroute"
		}
		configuration.Back = backs{configuration.Back, smtpcall.New(smtpcall.Config{Name: name, Idle: mailIdle, ConnIdle: set.ConnIdle, ConnectLimit: set.ConnectLimit})}
	}
	if operators.plugins != nil {
		configuration.Back, configuration.Ended = operators.plugins.Back(configuration.Back), operators.plugins.Ended
	}
	if operators.logSteps {
		configuration.Steps = steplog.NewWriter(os.Stderr).Step
	}
	l, err := engine.New(configuration)
	if err != nil {
		return err
	}
	// The list that a forwarder is started with may be older than what it was last told: recovered
	// messages must not go to targets that drain since. Without an answer it has to do.
	first, err := p.First(listWait)
	if err != nil {
		slog.Warn("starting with the list as last known", "err", err)
	}
	lists := []engine.List{c.Known.As(decide.Restored)}
	if first != nil {
		lists = append(lists, first.As(decide.Whole))
	}
	known := first
	if set.MustAsk && len(c.Known.Endpoints) > 0 {
		known = &c.Known // what has changed since is less work than the whole list
	}
	heard := func(list *agent.List) { l.List(list.Told()) }
	if operators.file != "" || c.Ops != "" {
		operators.sources = &sources{to: l, leftOut: operations.NewLeftOut(c.State)}
		lists = operators.sources.start(operators.now.Endpoints(), lists...)
		heard = func(list *agent.List) { operators.sources.tell(membership.Agent, list.Told()) }
	}
	l.Recover(lists...) // before any PING is answered
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listening for clients: %w", err)
	}
	var taker resp2.Taker = l
	if operators.plugins != nil {
		taker = router{operators, operators.plugins.Front(l)}
	}
	clients := resp2.New(ln, c.Limits.Clients(), taker)

	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer clients.Wait(lastWrite)
	defer wg.Wait()
	defer cancel()
	defer clients.Close()
	failed := make(chan error, 1)
	wg.Go(func() {
		if err := l.Run(ctx); err != nil {
			failed <- fmt.Errorf("%w: %w", errDisk, err)
		}
	})
	if c.Limits.MemoryMB >= roomyMB {
		wg.Go(func() { spendMemory(ctx, memory/spentPart) })
	}
	wg.Go(func() { p.Watch(ctx, known, heard) })
	wg.Go(func() { p.Deliver(ctx, l.Heard) })
	wg.Go(func() { reload(ctx, hup, c.File, p, operators) })
	wg.Go(func() { clients.Serve(ctx) })
	if file := operators.now.PluginStatus; file != "" {
		wg.Go(func() { operators.plugins.Publish(ctx, file, publishEvery) })
	}
	control.Serve(operations.Part{Clients: clients, Members: operators.sources, Figures: l.Figures})
	slog.Info("serving", "name", c.Name, "address", ln.Addr(), "discovery", c.Discovery)

	select {
	case err := <-failed:
		return err
	case <-stop:
	}
	control.Stop(errors.New("stopping"))
	slog.Info("stopping")
	l.Stopping(lastCall)
	began := time.Now()
	for _, step := range []struct {
		at time.Duration
		do func()
	}{{acceptOn, clients.StopAccepting}, {serveOn, clients.Close}, {serveOn + 2*resp2.LastLook, l.Finish}} {
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
func reload(ctx context.Context, hup <-chan os.Signal, file string, p *agent.Platform, operators *settings) {
	var again <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			operators.reload()
		case <-again:
		}
		address, err := config.DiscoveryIn(file)
		if err != nil {
			slog.Warn("the configuration stays as it was", "err", err)
			again = time.After(reloadPause)
			continue
		}
		again = nil
		p.Move(address)
	}
}
