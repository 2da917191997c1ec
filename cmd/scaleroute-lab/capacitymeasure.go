package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"

	"scaleroute/internal/capacity/measure"
)

// capacityMeasure measures one of what the capacity model is fed with, and keeps it.
type capacityMeasure struct {
	Name      string `arg:"" optional:"" help:"What to measure; none: say what there is."`
	Measured  string `default:"experiments/capacity/measured" type:"path" help:"The folder for series; those of the same names are replaced."`
	Program   string `help:"The daemon, with scaleroute-gossip, scaleroutectl and scaleroute-control beside it; built from the module of the current folder if empty."`
	Commit    string `help:"The commit that the program was built from; that of the current folder if empty."`
	Operators string `default:"experiments/fleet/operators.json" type:"path" help:"The resolved operators' file of a fleet that gossips."`
	Repeats   int    `default:"3" help:"How often each size is measured, from 1 to 10."`
	Size      []int  `help:"Sizes in place of the measurement's own."`
	Quiet     bool   `help:"Show no progress."`
}

const maxRepeats = 10

// Run measures.
func (c *capacityMeasure) Run(ctx context.Context, out io.Writer) error {
	names := measure.Names()
	if c.Name == "" {
		for _, name := range slices.Sorted(maps.Keys(names)) {
			fmt.Fprintf(out, "%-13s %s\n", name, names[name])
		}
		return nil
	}
	if c.Repeats < 1 || c.Repeats > maxRepeats {
		return fmt.Errorf("--repeats %d: from 1 to %d", c.Repeats, maxRepeats)
	}
	folder, err := os.MkdirTemp("", "scaleroute-capacity-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	lab, err := c.lab(ctx, folder)
	if err != nil {
		return err
	}
	series, err := lab.Run(ctx, c.Name)
	if err != nil {
		return err
	}
	var errs []error
	for _, s := range series {
		errs = append(errs, s.Write(c.Measured))
		fmt.Fprintf(out, "%s: %d points\n", s.Name, len(s.Points))
	}
	return errors.Join(errs...)
}

// lab finds out what to run and which commit it is from.
func (c *capacityMeasure) lab(ctx context.Context, folder string) (lab *measure.Lab, err error) {
	lab = &measure.Lab{Program: c.Program, Commit: c.Commit, Operators: c.Operators, Folder: folder, Repeats: c.Repeats, Sizes: c.Size, Progress: func(text string) {
		if !c.Quiet {
			fmt.Fprintln(os.Stderr, text)
		}
	}}
	if lab.Commit == "" {
		if lab.Commit, err = commitHere(ctx); err != nil {
			return nil, err
		}
	}
	if lab.Program == "" {
		if lab.Program, err = buildForMeasuring(ctx, folder); err != nil {
			return nil, err
		}
	}
	lab.Tool = filepath.Join(filepath.Dir(lab.Program), "scaleroutectl")
	return lab, nil
}

// buildForMeasuring makes the daemon, what speaks for it, the operators' tool and the control server.
func buildForMeasuring(ctx context.Context, to string) (string, error) {
	program, err := build(ctx, to, "")
	if err != nil {
		return "", err
	}
	text, err := exec.CommandContext(ctx, "go", "build", "-o", to, "scaleroute/cmd/scaleroutectl", "scaleroute/cmd/scaleroute-control").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("building the operators' tool and the control server: %w\n%s", err, text)
	}
	return program, nil
}

// commitHere is the one of the current folder, with a + where the code differs from it.
func commitHere(ctx context.Context) (string, error) {
	text, err := exec.CommandContext(ctx, "git", "rev-parse", "--short", "HEAD").Output()
	if err != nil {
		return "", fmt.Errorf("asking git for the commit (name it by --commit): %w", err)
	}
	revision := strings.TrimSpace(string(text))
	if exec.CommandContext(ctx, "git", "diff", "--quiet", "HEAD", "--", "cmd", "internal", "go.mod").Run() != nil {
		revision += "+"
	}
	return revision, nil
}
