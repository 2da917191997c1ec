package main

import (
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"scaleroute/internal/standin"
)

// doubledWithin is how long behind an answer its second copy may come.
const doubledWithin = 25 * time.Millisecond

// run plays one world.
func run(ctx context.Context, o *options) (*report, error) {
	ctx, cancel := context.WithTimeout(ctx, o.Limit)
	defer cancel()
	dir, err := os.MkdirTemp("", "scaleroute-lab-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	progress := newProgress(o.Quiet || o.JSON)
	defer progress.end()

	progress.say("building the program")
	p := &program{dir: dir}
	if err := p.prepare(ctx, o); err != nil {
		return nil, err
	}
	set, err := p.configure(o)
	if err != nil {
		return nil, err
	}
	progress.say("starting %d endpoints", o.Destinations*o.Endpoints)
	world, err := standin.New(standin.Shape{Destinations: o.Destinations, Endpoints: o.Endpoints, Hosts: o.Hosts})
	if err != nil {
		return nil, err
	}
	defer world.Close()
	s := &session{options: o, program: p, operators: set, world: world, progress: progress,
		healthy: standin.Script{Latency: o.Latency, Jitter: o.Latency, Repeats: o.Doubled, RepeatWithin: doubledWithin}, report: &report{options: o, rules: standin.Rules}}
	defer s.stopProgram()
	if err := s.startProgram(); err != nil {
		return nil, err
	}
	if err := s.setRules(); err != nil {
		return nil, err
	}
	if err := s.play(ctx); err != nil {
		return nil, err
	}
	return s.report, nil
}

// configure gives the program the operators' file that the options call for; nil if they call for none.
func (p *program) configure(o *options) (set *operators, err error) {
	if o.Operators != "" {
		if set, err = p.setOperators(o.Operators); err != nil {
			return nil, err
		}
	}
	if plugged := o.plugins(rand.New(rand.NewPCG(o.Seed, 0x52))); plugged != nil {
		if set, err = p.setPlugins(plugged, o.PluginFrom > 0); err != nil {
			return nil, err
		}
	}
	if o.Routes > 0 {
		if set, err = p.setRoutes(&routes{n: o.Routes, destinations: o.Destinations, seed: o.Seed}); err != nil {
			return nil, err
		}
	}
	return set, nil
}

// prepare finds out what to run.
func (p *program) prepare(ctx context.Context, o *options) error {
	p.env = []string{"NODE_CONFIG=" + filepath.Join(p.dir, "config.json"), "NODE_STATE=" + filepath.Join(p.dir, "state")}
	tags := ""
	if o.Profile != "" {
		path, err := filepath.Abs(o.Profile)
		if err != nil {
			return err
		}
		tags = "profile"
		p.env = append(p.env, "SCALEROUTE_CPUPROFILE="+path)
	}
	switch {
	case o.Relay:
		self := relayPath
		if self == "" {
			var err error
			if self, err = os.Executable(); err != nil {
				return err
			}
		}
		p.command = []string{self, relayCommand}
		return nil
	case o.Program != "":
		p.command = []string{o.Program}
		return nil
	}
	path, err := build(ctx, p.dir, tags)
	p.command = []string{path}
	return err
}

// sickOnes draws the destinations that are sick, of which there is never all.
func sickOnes(rng *rand.Rand, o *options) map[int]bool {
	sick := map[int]bool{}
	for _, d := range rng.Perm(o.Destinations)[:int(o.Sick*float64(o.Destinations))] {
		sick[d] = true
	}
	return sick
}

// hand offers the messages, at the rate asked for.
func hand(ctx context.Context, o *options, rng *rand.Rand, jobs chan<- standin.Job) {
	defer close(jobs)
	body := make([]byte, o.Body)
	for i := range body {
		body[i] = byte(rng.IntN(256))
	}
	if o.Plugin != "" || o.Hostile > 0 {
		body = jsonBody(o.Body)
	}
	began := time.Now()
	for i := range o.Messages {
		if o.Rate > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(time.Until(began.Add(time.Duration(float64(i) / o.Rate * float64(time.Second))))):
			}
		}
		j := standin.Job{Class: standin.Safe, Destination: i % o.Destinations, Left: o.Left, Body: body}
		if o.Routes > 0 {
			j.Fields = campaign(rng)
		}
		if rng.Float64() < 0.23 {
			j.Class, j.Unsafe = standin.Unsafe, true
		}
		select {
		case <-ctx.Done():
			return
		case jobs <- j:
		}
	}
}

// restart kills the program and starts it again, with the folder that lasts.
func restart(w *standin.World, p *program) error {
	w.SetAway(true)
	ended := time.Now()
	p.kill()
	gone := time.Now()
	if err := p.start(); err != nil {
		return err
	}
	w.Clients.At(p.address)
	w.SetAway(false)
	w.Log.Restarted(standin.Restart{Ended: ended, Gone: gone, Ready: time.Now()})
	return nil
}
