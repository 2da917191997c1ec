package measure

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"scaleroute/internal/door"
	"scaleroute/internal/fleet"
	"scaleroute/internal/standin"
)

const (
	hosts         = 16 // listeners that stand for all endpoints
	settleLimit   = 90 * time.Second
	settleLook    = 100 * time.Millisecond
	settleQuiet   = 5 // looks without processor time
	messageLife   = 30 * time.Minute
	stopLimit     = 4 * time.Second
	bytesOfKB     = 1024
	configMemory  = 4096 // MB that the forwarder is told it may use
	configDisk    = 2000 // MB
	configSockets = 4096
)

// forwarder is a real one in a world of its own, with its agent behind a relay that counts bytes.
type forwarder struct {
	world   *standin.World
	list    *fleet.Edge
	process *fleet.Process
	dir     string
}

// startForwarder starts one that knows so many destinations, and returns once it has nothing left to do for its start.
func startForwarder(ctx context.Context, l *Lab, destinations int, seed uint64) (f *forwarder, err error) {
	f = &forwarder{}
	defer func() {
		if err != nil {
			f.close()
			f = nil
		}
	}()
	if f.dir, err = os.MkdirTemp(l.Folder, "forwarder-"); err != nil {
		return f, err
	}
	if f.world, err = standin.New(standin.Shape{Destinations: destinations, Endpoints: 1, Hosts: hosts}); err != nil {
		return f, err
	}
	if f.list, err = fleet.NewEdge("127.0.0.1:0", f.world.Discovery.Address(), seed); err != nil {
		return f, err
	}
	config := standin.Config{Discovery: f.list.Address(), Slots: 64, Sockets: configSockets, MemoryMB: configMemory, DiskMB: configDisk, Left: messageLife, Seed: seed}
	file := filepath.Join(f.dir, "config.json")
	if err = os.WriteFile(file, config.Write(f.world), 0o600); err != nil {
		return f, err
	}
	state := filepath.Join(f.dir, "state")
	if err = os.Mkdir(state, 0o700); err != nil {
		return f, err
	}
	env := append(os.Environ(), "NODE_CONFIG="+file, "NODE_STATE="+state, "NODE_OPS=127.0.0.1:0", "TMPDIR="+f.dir)
	if f.process, err = fleet.Launch([]string{l.Program}, env, nil, nil); err != nil {
		return f, err
	}
	if err = f.process.Ready(); err != nil {
		return f, err
	}
	f.world.Clients.At(f.process.Address())
	return f, f.settle(ctx, destinations)
}

// settle waits until the forwarder knows so many endpoints and uses no processor any more.
func (f *forwarder) settle(ctx context.Context, endpoints int) error {
	ctx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	if err := f.await(ctx, func() (bool, error) {
		known, err := f.endpoints(ctx)
		return known == endpoints, err
	}); err != nil {
		return fmt.Errorf("waiting for %d endpoints to be known: %w", endpoints, err)
	}
	quiet, used := 0, f.process.CPU()
	return f.await(ctx, func() (bool, error) {
		if now := f.process.CPU(); now > used {
			quiet, used = 0, now
		}
		quiet++
		return quiet > settleQuiet, nil
	})
}

// await looks until something is so.
func (f *forwarder) await(ctx context.Context, done func() (bool, error)) error {
	look := time.NewTicker(settleLook)
	defer look.Stop()
	for {
		if is, err := done(); is || err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.process.Ended():
			return fmt.Errorf("the program ended; its log ends:\n%s", f.process.Tail())
		case <-look.C:
		}
	}
}

// endpoints is how many endpoints it knows, by its admin API.
func (f *forwarder) endpoints(ctx context.Context) (int, error) {
	text, err := door.To(f.process.Door()).Call(ctx, "GET", "/stats")
	if err != nil {
		return 0, err
	}
	var figures struct {
		Known int `json:"registry_entries"`
	}
	return figures.Known, json.Unmarshal([]byte(text), &figures)
}

// peakBytes is the largest resident memory so far.
func (f *forwarder) peakBytes() float64 { return float64(f.process.Measure() * bytesOfKB) }

// kill ends it, and has its processor time to the microsecond.
func (f *forwarder) kill() (cpuSeconds float64, err error) {
	if err := f.process.Kill(); err != nil {
		return 0, err
	}
	return f.process.CPU().Seconds(), nil
}

// close ends what runs and removes what it wrote.
func (f *forwarder) close() error {
	var errs []error
	if f.process != nil {
		errs = append(errs, f.process.Kill())
	}
	if f.list != nil {
		f.list.Close()
	}
	if f.world != nil {
		f.world.Close()
	}
	if f.dir != "" {
		errs = append(errs, os.RemoveAll(f.dir))
	}
	return errors.Join(errs...)
}
