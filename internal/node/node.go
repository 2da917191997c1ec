package node

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"aspenshift"
)

// How a planned stop goes, counted from SIGTERM: clients are served for a
// while, what is held goes on being delivered, and the process ends before
// SIGKILL can come, 3.7 s after SIGTERM.
const (
	serveOn = 500 * time.Millisecond
	lastEnd = 3400 * time.Millisecond
)

// Run runs the forwarder until stop is closed and the planned stop is over. An
// error means that it could not start or can't go on.
func Run(c *Config, stop <-chan struct{}) error {
	// The journal's file counts as memory too; connections and the runtime need some.
	debug.SetMemoryLimit(int64(c.Limits.MemoryMB) << 20 * 6 / 10)
	j, err := openJournal(c.State, int64(c.Limits.DiskMB*1e6))
	if err != nil {
		return err
	}
	defer j.close()
	p := newPlatform(c.Discovery)
	l, err := newLoop(c, j, p)
	if err != nil {
		return err
	}
	l.recover(&c.Known) // before any PING is answered
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listening for clients: %w", err)
	}
	clients := newClients(ln, c.Limits.Sockets/4, l.take)

	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer clients.close()
	defer cancel()
	failed := make(chan error, 1)
	wg.Go(func() {
		if err := l.run(ctx); err != nil {
			failed <- err
		}
	})
	wg.Go(func() { p.watch(ctx, func(list *List) { l.tell(list) }) })
	wg.Go(func() { p.deliver(ctx, func(refs []string) { l.tell(noticed{refs}) }) })
	wg.Go(func() { clients.serve(ctx) })
	slog.Info("serving", "name", c.Name, "address", ln.Addr())

	select {
	case err := <-failed:
		return err
	case <-stop:
	}
	slog.Info("stopping")
	end := time.NewTimer(lastEnd)
	l.tell(aspenshift.Stopping{Left: lastEnd})
	select {
	case err := <-failed:
		return err
	case <-time.After(serveOn):
	}
	clients.close()
	select {
	case err := <-failed:
		return err
	case <-l.idle:
	case <-end.C:
	}
	slog.Info("stopped")
	return nil
}
