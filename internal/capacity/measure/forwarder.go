package measure

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"scaleroute/internal/fleet"
	"scaleroute/internal/standin"
)

const (
	hosts         = 16 // listeners that stand for all endpoints
	settleLimit   = 90 * time.Second
	settleLook    = 100 * time.Millisecond
	settleQuiet   = 10 // looks without processor time
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
	agent   *listAgent
	list    *fleet.Edge
	process *fleet.Process
	dir     string
}

// startForwarder starts one that knows so many destinations, and returns once it has nothing left to do for its start. It has no admin API, which uses the processor all the time.
func startForwarder(ctx context.Context, l *Lab, destinations int, seed uint64) (f *forwarder, err error) {
	if f, err = launch(l, destinations, seed, ""); err != nil {
		return nil, err
	}
	if err = f.settle(ctx); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// launch starts one and waits until it serves; adminAPI is where operators may ask it, empty: nowhere.
func launch(l *Lab, destinations int, seed uint64, adminAPI string) (f *forwarder, err error) {
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
	if f.agent, err = newListAgent(f.world); err != nil {
		return f, err
	}
	if f.list, err = fleet.NewEdge("127.0.0.1:0", f.agent.address(), seed); err != nil {
		return f, err
	}
	return f, f.start(l, f.list.Address(), adminAPI, seed)
}

// start starts the process in its folder, with an address of discovery, and waits until it serves.
func (f *forwarder) start(l *Lab, discovery, adminAPI string, seed uint64, arguments ...string) (err error) {
	config := standin.Config{Discovery: discovery, Slots: 64, Sockets: configSockets, MemoryMB: configMemory, DiskMB: configDisk, Left: messageLife, Seed: seed}
	file := filepath.Join(f.dir, "config.json")
	if err = os.WriteFile(file, config.Write(f.world), 0o600); err != nil {
		return err
	}
	state := filepath.Join(f.dir, "state")
	if err = os.Mkdir(state, 0o700); err != nil {
		return err
	}
	env := append(os.Environ(), "NODE_CONFIG="+file, "NODE_STATE="+state, "NODE_OPS="+adminAPI, "TMPDIR="+f.dir)
	if f.process, err = fleet.Launch(append([]string{l.Program}, arguments...), env, nil, nil); err != nil {
		return err
	}
	if err = f.process.Ready(); err != nil {
		return err
	}
	f.world.Clients.At(f.process.Address())
	return nil
}

// settle waits until the forwarder has all that its agent knows in force, and does not use the processor any more.
func (f *forwarder) settle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	if _, err := f.agent.await(ctx); err != nil {
		return err
	}
	return awaitIdle(ctx, f.process)
}

// awaitIdle waits until a process does not use the processor any more.
func awaitIdle(ctx context.Context, process *fleet.Process) error {
	look := time.NewTicker(settleLook)
	defer look.Stop()
	for quiet, used := 0, process.CPU(); quiet < settleQuiet; {
		select {
		case <-ctx.Done():
			return fmt.Errorf("waiting for it to be idle: %w", ctx.Err())
		case <-process.Ended():
			return fmt.Errorf("the program ended; its log ends:\n%s", process.Tail())
		case <-look.C:
		}
		quiet++
		if now := process.CPU(); now > used {
			quiet, used = 0, now
		}
	}
	return nil
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
	if f.agent != nil {
		errs = append(errs, f.agent.close())
	}
	if f.world != nil {
		f.world.Close()
	}
	if f.dir != "" {
		errs = append(errs, os.RemoveAll(f.dir))
	}
	return errors.Join(errs...)
}
