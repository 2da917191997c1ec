package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"sync"

	"scaleroute/internal/soak"
)

// soakRun runs real forwarders under faults that seeds draw.
type soakRun struct {
	From     uint64   `default:"1" help:"The first seed."`
	Seeds    int      `default:"10" help:"How many seeds, one after the other."`
	Parallel int      `default:"3" help:"Runs at a time."`
	Kinds    []string `help:"Kinds of faults to draw from; all if none is named."`
	Program  string   `help:"A daemon built with -tags faults; built from the module of the current folder if empty."`
	Shrink   bool     `help:"Play a seed that broke a rule again without each of its kinds of faults, and tell which it needs."`
	Verbose  bool     `help:"Show the faults of each seed."`
}

const maxSoakSeeds = 10_000

// Run plays the seeds, prints a line for each and a timeline for each that broke a rule.
func (c *soakRun) Run(ctx context.Context, out io.Writer) error {
	shape := soak.DefaultShape()
	if err := c.check(&shape); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "scaleroute-soak-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if c.Program == "" {
		if c.Program, err = build(ctx, dir, "faults"); err != nil {
			return err
		}
	}
	results := make([]*soak.Result, c.Seeds)
	errs := make([]error, c.Seeds)
	turns := make(chan struct{}, c.Parallel)
	var all sync.WaitGroup
	var printing sync.Mutex
	for i := range c.Seeds {
		turns <- struct{}{}
		all.Go(func() {
			defer func() { <-turns }()
			results[i], errs[i] = c.play(ctx, shape, c.From+uint64(i), dir)
			printing.Lock()
			defer printing.Unlock()
			c.print(out, results[i], errs[i])
		})
	}
	all.Wait()
	broken := 0
	for i, result := range results {
		if errs[i] != nil || result.IsBroken() {
			broken++
		}
	}
	fmt.Fprintf(out, "%d seeds, %d broken\n", c.Seeds, broken)
	if broken > 0 {
		return errBroken
	}
	return nil
}

// check says what is wrong with the flags, and takes the kinds of faults.
func (c *soakRun) check(shape *soak.Shape) error {
	if c.Seeds < 1 || c.Seeds > maxSoakSeeds || c.Parallel < 1 || c.Parallel > 16 {
		return fmt.Errorf("--seeds %d --parallel %d: from 1 to %d, and to 16", c.Seeds, c.Parallel, maxSoakSeeds)
	}
	if len(c.Kinds) == 0 {
		return nil
	}
	shape.Kinds = nil
	for _, name := range c.Kinds {
		if !slices.Contains(soak.Kinds(), soak.Kind(name)) {
			return fmt.Errorf("--kinds %s: one of %v", name, soak.Kinds())
		}
		shape.Kinds = append(shape.Kinds, soak.Kind(name))
	}
	return nil
}

// play runs one seed, and again with fewer faults where that is asked for.
func (c *soakRun) play(ctx context.Context, shape soak.Shape, seed uint64, dir string) (*soak.Result, error) {
	list := soak.Draw(shape, seed)
	result, err := c.playFaults(ctx, shape, seed, list, dir)
	if err != nil || !c.Shrink || !result.IsBroken() {
		return result, err
	}
	for _, kind := range shape.Kinds {
		fewer := slices.DeleteFunc(slices.Clone(list), func(f soak.Fault) bool { return f.Kind == kind })
		if len(fewer) == len(list) {
			continue
		}
		again, err := c.playFaults(ctx, shape, seed, fewer, dir)
		if err != nil {
			return nil, err
		}
		if again.IsBroken() {
			result, list = again, fewer
		}
	}
	return result, nil
}

func (c *soakRun) playFaults(ctx context.Context, shape soak.Shape, seed uint64, list []soak.Fault, dir string) (*soak.Result, error) {
	own, err := os.MkdirTemp(dir, "run-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(own)
	return soak.Run(ctx, soak.Program{Command: []string{c.Program}, Dir: own}, shape, seed, list)
}

// print shows what a seed came to.
func (c *soakRun) print(out io.Writer, result *soak.Result, err error) {
	if err != nil {
		fmt.Fprintln(out, "could not run:", err)
		return
	}
	kinds := map[soak.Kind]int{}
	var names []string
	for _, f := range result.Faults {
		if kinds[f.Kind]++; kinds[f.Kind] == 1 {
			names = append(names, string(f.Kind))
		}
	}
	v, state := result.Verdict, "held"
	if result.IsBroken() {
		state = "BROKEN"
	}
	fmt.Fprintf(out, "seed %-4d %-6s %4d messages, %4d delivered, %3d refused, %3d failed, %d open; %s\n", result.Seed, state, v.Handed, v.Delivered, v.Refused, v.Failed, result.Open, strings.Join(names, " "))
	if c.Verbose || result.IsBroken() {
		for _, f := range result.Faults {
			fmt.Fprintln(out, "   ", f)
		}
	}
	if !result.IsBroken() {
		return
	}
	again := fmt.Sprintf("scaleroute-lab soak --from %d --seeds 1", result.Seed)
	if len(c.Kinds) > 0 { // a seed draws other faults from other kinds
		again += " --kinds " + strings.Join(c.Kinds, ",")
	}
	fmt.Fprintln(out, "    again:", again)
	for _, text := range slices.Concat(result.Broken, v.Examples, result.Timelines, result.Events) {
		fmt.Fprintln(out, "    "+strings.ReplaceAll(text, "\n", "\n        "))
	}
}
