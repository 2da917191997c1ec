package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"scaleroute/internal/standin"
)

const (
	measureInterval = 250 * time.Millisecond
	extraTime       = 3 * time.Second // that the rules allow a message after its own time
)

// session is one run of the program in a world of fakes.
type session struct {
	options   *options
	program   *program
	operators *operators // nil without an operators' file
	world     *standin.World
	healthy   standin.Script // of endpoints
	sick      map[int]bool   // destinations
	report    *report
	progress  *progress
	listening bool // the clients' socket is open
	started   bool
	began     time.Time
}

// startProgram writes the program's configuration and starts it.
func (s *session) startProgram() error {
	for _, e := range s.world.Endpoints {
		e.Set(s.healthy)
	}
	o := s.options
	config := standin.Config{Slots: o.Slots, MaxHeld: o.Held, Sockets: o.Sockets, MemoryMB: o.Memory,
		DiskMB: o.DiskMB, Left: o.Left, Seed: o.Seed}
	if err := os.WriteFile(filepath.Join(s.program.dir, "config.json"), config.Write(s.world), 0o600); err != nil {
		return err
	}
	if err := os.Mkdir(filepath.Join(s.program.dir, "state"), 0o700); err != nil {
		return err
	}
	if o.Upgrades > 0 || o.Bans > 0 {
		if err := s.program.listen(); err != nil {
			return err
		}
		s.listening = true
	}
	if err := s.program.start(); err != nil {
		return err
	}
	s.started = true
	s.world.Clients.At(s.program.address)
	return nil
}

// stopProgram kills the program, if it was started, and closes the clients' socket.
func (s *session) stopProgram() {
	if s.started {
		s.program.kill()
		s.report.Left = s.program.leftHosts()
	}
	if s.listening {
		s.program.socket.Close()
	}
}

// setRules has the verdict follow the operators' file.
func (s *session) setRules() error {
	set, r := s.operators, s.report
	if set == nil {
		return nil
	}
	r.rules.Set = set.of
	if set.routes != nil {
		r.rules.Goals = set.routes.goals
		if s.options.routesWrong {
			other := &routes{n: s.options.Routes, destinations: s.options.Destinations, seed: s.options.Seed + 1}
			ways, err := other.version(0).NewRoutes()
			if err != nil {
				return err
			}
			other.told = []routesTold{{ways: ways}}
			r.rules.Goals = other.goals
		}
	}
	if set.plugins != nil {
		r.rules.Altered = func(d int) bool { return slices.Contains(set.plugins.bound, d) }
		r.rules.PerAttempt = true // a hook call may be among them
		r.bound = r.rules.Altered
	}
	return nil
}

// play puts load and troubles on the program until all messages have ended, and fills in the report.
func (s *session) play(ctx context.Context) error {
	rng := rand.New(rand.NewPCG(s.options.Seed, 0x51))
	s.sick = sickOnes(rng, s.options)
	cpu := s.program.used()
	s.began = time.Now()
	stopTroubles := make(chan struct{})
	var troubles sync.WaitGroup
	var failed error
	troubles.Go(func() { failed = s.playTroubles(ctx, stopTroubles) })
	jobs := make(chan standin.Job)
	go hand(ctx, s.options, rng, jobs)
	handedIn := make(chan struct{})
	go func() {
		s.world.Clients.Run(ctx, s.options.Clients, jobs)
		close(handedIn)
	}()
	crashed := s.wait(ctx, handedIn)
	s.report.Seconds = time.Since(s.began).Seconds()
	close(stopTroubles)
	troubles.Wait()
	switch {
	case crashed:
		return fmt.Errorf("the program ended by itself; its log ends:\n%s", s.program.logTail())
	case failed != nil:
		return failed
	}
	if err := ctx.Err(); err != nil {
		<-handedIn
		if !errors.Is(err, context.DeadlineExceeded) {
			return fmt.Errorf("interrupted")
		}
		s.report.CutOff = true
	}
	s.fillReport(cpu)
	return nil
}

// wait returns once all messages are handed in and have ended, or their time is up with what the rules allow.
// It reports whether the program has crashed before.
func (s *session) wait(ctx context.Context, handedIn <-chan struct{}) (crashed bool) {
	watch := time.NewTicker(measureInterval)
	defer watch.Stop()
	var due <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return false
		case <-handedIn:
			s.report.HandedInS = time.Since(s.began).Seconds()
			handedIn, due = nil, time.After(s.options.Left+extraTime)
		case <-due:
			return false
		case <-watch.C:
			s.program.measure()
			if s.program.crashed() {
				return true
			}
			s.progress.say("%s", s.report.status(s.world, s.began))
			if handedIn == nil && s.world.Log.Open() == 0 {
				return false
			}
		}
	}
}

// fillReport takes the figures; cpu is what the program had used at the start.
func (s *session) fillReport(cpu time.Duration) {
	s.program.measure()
	if set := s.operators; set != nil && set.plugins != nil {
		s.report.HostCPUSeconds, s.report.Plugins = s.program.usedByHosts().Seconds(), set.status()
	}
	s.report.from = s.began.Add(s.options.PluginFrom)
	s.report.fill(s.world, s.program, s.program.used()-cpu, s.sick)
}
