package main

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"scaleroute/internal/standin"
)

// step is one thing that is done to the world or the program, so long after the start.
type step struct {
	at time.Duration
	do func() error
}

// playTroubles carries out the troubles that were asked for.
func (s *session) playTroubles(ctx context.Context, stop <-chan struct{}) error {
	sickness, err := s.sicknessSteps()
	if err != nil {
		return err
	}
	steps := slices.Concat(sickness, s.restartSteps(), s.reloadSteps(), s.drainSteps(), s.upgradeSteps(ctx), s.banSteps(ctx))
	slices.SortStableFunc(steps, func(a, b step) int { return int(a.at - b.at) })
	began := time.Now()
	for _, next := range steps {
		select {
		case <-ctx.Done():
			return nil
		case <-stop:
			return nil
		case <-time.After(time.Until(began.Add(next.at))):
		}
		if err := next.do(); err != nil {
			return err
		}
	}
	return nil
}

// at is the time of one of so many steps that are spread evenly over the load.
func (s *session) at(i, steps int) time.Duration {
	return s.span() * time.Duration(i+1) / time.Duration(steps+1)
}

// span is how long the load takes at the rate asked for, as far as that is known.
func (s *session) span() time.Duration {
	o := s.options
	if o.Rate > 0 {
		return min(o.Limit, time.Duration(float64(o.Messages)/o.Rate*float64(time.Second)))
	}
	return o.Limit
}

// sicknessSteps has destinations fall sick and recover. What comes before the first message is done at once.
func (s *session) sicknessSteps() (steps []step, err error) {
	o := s.options
	order := make([]int, 0, len(s.sick))
	for d := range o.Destinations {
		if s.sick[d] {
			order = append(order, d)
		}
	}
	fall := func() error { return s.fallSick(order) }
	if o.From <= 0 {
		if err := fall(); err != nil {
			return nil, err
		}
	} else {
		steps = append(steps, step{o.From, fall})
	}
	if o.Last > 0 {
		steps = append(steps, step{max(0, o.From) + o.Last, func() error {
			for _, d := range order {
				for _, e := range s.world.Of(d) {
					e.Set(s.healthy)
				}
			}
			return nil
		}})
	}
	return steps, nil
}

func (s *session) fallSick(destinations []int) error {
	for n, d := range destinations {
		script, err := sicknessOf(s.options.Sickness, n, s.options)
		if err != nil {
			return err
		}
		for _, e := range s.world.Of(d) {
			e.Set(script)
		}
	}
	return nil
}

// restartSteps kills the program and starts it again.
func (s *session) restartSteps() (steps []step) {
	for i := range s.options.Kills {
		steps = append(steps, step{s.at(i, s.options.Kills), func() error {
			if s.operators != nil { // a start takes no spoilt file
				if err := s.operators.put(s.operators.text); err != nil {
					return err
				}
			}
			return restart(s.world, s.program)
		}})
	}
	return steps
}

// reloadSteps has the program reload its operators' file, every other time a spoilt one.
func (s *session) reloadSteps() (steps []step) {
	for i := range s.options.Reloads {
		steps = append(steps, step{s.at(i, s.options.Reloads), func() error { return s.operators.reload(s.program, i%2 == 0) }})
	}
	if s.options.PluginFrom > 0 {
		steps = append(steps, step{s.options.PluginFrom, func() error { return s.operators.reload(s.program, false) }})
	}
	return steps
}

// drainSteps drains endpoints, deletes them and serves them again.
func (s *session) drainSteps() (steps []step) {
	w, span := s.world, s.span()
	for i := range s.options.Drains {
		e := w.Endpoints[(i*7919)%len(w.Endpoints)]
		at := span * time.Duration(2*i+1) / time.Duration(2*s.options.Drains+2)
		steps = append(steps,
			step{at, func() error { w.Discovery.Set(standin.Draining, e); return nil }},
			step{at + span/8, func() error { w.Discovery.Set(standin.Deleted, e); return nil }},
			step{at + span/4, func() error { w.Discovery.Set(standin.Serving, e); return nil }})
	}
	return steps
}

// upgradeSteps hands the program over to another process.
func (s *session) upgradeSteps(ctx context.Context) (steps []step) {
	draw := rand.New(rand.NewPCG(s.options.Seed, 0x53))
	for i := range s.options.Upgrades {
		steps = append(steps, step{s.at(i, s.options.Upgrades), func() error {
			return s.report.Upgrades.play(ctx, s.world, s.program, draw)
		}})
	}
	return steps
}

// banSteps disables endpoints by hand and enables them again.
func (s *session) banSteps(ctx context.Context) (steps []step) {
	w, span := s.world, s.span()
	for i := range s.options.Bans {
		e := w.Endpoints[(i*6007)%len(w.Endpoints)]
		at := span * time.Duration(2*i+1) / time.Duration(2*s.options.Bans+2)
		steps = append(steps,
			step{at, func() error { return byHand(ctx, w, s.program, e.Name, true) }},
			step{at + span/10, func() error { return byHand(ctx, w, s.program, e.Name, false) }})
	}
	return steps
}
