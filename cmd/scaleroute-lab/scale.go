package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"slices"

	"github.com/schollz/progressbar/v3"

	"scaleroute/internal/scale"
)

// scaleCommands are those of the scale run.
type scaleCommands struct {
	Run    scaleRun    `cmd:"" help:"Measure what control costs at the sizes that a scenario names (docs/scale-run.md)."`
	Table  scaleTable  `cmd:"" help:"Print the results of runs as tables."`
	Series scaleSeries `cmd:"" help:"Have the results of a run as series of the capacity model."`
	Host   scaleHost   `cmd:"" hidden:"" help:"A process of simulated nodes, asked over its standard input."`
}

// scaleRun measures the cells of a scenario.
type scaleRun struct {
	File    string   `arg:"" type:"existingfile" help:"The scenario (docs/scale-run.md)."`
	Program string   `help:"The daemon, with scaleroute-control beside it; built from the module of the current folder if empty."`
	Seeds   []uint64 `help:"Seeds in place of the scenario's."`
	Commit  string   `help:"The commit that the programs were built from; that of the current folder if empty."`
	Out     string   `required:"" type:"path" help:"A folder for results, tables (Parquet, Markdown), charts and log. Cells whose results it has are not measured again."`
	Quiet   bool     `help:"Show no progress."`
}

// scaleTable prints the results of runs.
type scaleTable struct {
	Results []string `arg:"" type:"existingdir" help:"The folders that runs have written."`
}

// Run prints them together.
func (c *scaleTable) Run(out io.Writer) error {
	var all []*scale.Result
	for _, dir := range c.Results {
		results, err := scale.ReadResults(dir)
		if err != nil {
			return err
		}
		all = append(all, results...)
	}
	scale.Print(out, all)
	return nil
}

// scaleSeries turns results into series.
type scaleSeries struct {
	Results  string `arg:"" type:"existingdir" help:"The folder that a run has written."`
	Measured string `default:"experiments/capacity/measured" type:"path" help:"The folder for series; those of the same names are replaced."`
}

// Run writes the series.
func (c *scaleSeries) Run(out io.Writer) error {
	results, err := scale.ReadResults(c.Results)
	if err != nil {
		return err
	}
	provenance, err := scale.ReadProvenance(c.Results)
	if err != nil {
		return err
	}
	series, err := scale.Series(results, provenance)
	if err != nil {
		return err
	}
	for _, s := range series {
		if err := s.Write(c.Measured); err != nil {
			return err
		}
		fmt.Fprintf(out, "%s: %d points\n", s.Name, len(s.Points))
	}
	return nil
}

// scaleHost is a process of simulated nodes.
type scaleHost struct{}

// Run serves the scale run until it ends.
func (scaleHost) Run() error {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError}))) // nodes warn, each of them, of what the run does to them
	return scale.Host(os.Stdin, os.Stdout)
}

// Run measures all cells; results are kept after each of them.
func (c *scaleRun) Run(ctx context.Context, out io.Writer) error {
	s, err := scale.LoadScenario(c.File)
	if err != nil {
		return err
	}
	if len(c.Seeds) > 0 {
		s.Seeds = c.Seeds
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "scaleroute-scale-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	rig, err := c.rig(ctx, s, dir)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(c.Out, "run.log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	rig.Log = slog.New(slog.NewJSONHandler(log, nil))
	if c.Commit == "" {
		if c.Commit, err = commitHere(ctx); err != nil {
			return err
		}
	}
	provenance := scale.Begin(s, "scaleroute-lab scale run "+fromHere(c.File), c.Commit)
	results, err := c.measure(ctx, rig, s.Cells())
	scale.Print(out, results)
	return errors.Join(err, c.printTo(results), provenance.Write(c.Out))
}

// fromHere names a file as seen from the current folder, where it is in it.
func fromHere(file string) string {
	here, err := os.Getwd()
	if err != nil {
		return file
	}
	if relative, err := filepath.Rel(here, file); err == nil && filepath.IsLocal(relative) {
		return relative
	}
	return file
}

// rig has the programs ready.
func (c *scaleRun) rig(ctx context.Context, s *scale.Scenario, dir string) (*scale.Rig, error) {
	own, err := os.Executable()
	if err != nil {
		return nil, err
	}
	program := c.Program
	if program == "" {
		program = filepath.Join(dir, "scaleroute")
		if text, err := exec.CommandContext(ctx, "go", append([]string{"build", "-o", dir}, scalePrograms...)...).CombinedOutput(); err != nil {
			return nil, fmt.Errorf("building the programs (run this in the repository, or name one by -program): %w\n%s", err, text)
		}
	}
	return &scale.Rig{Scenario: s, Dir: dir, Forwarder: []string{program}, Control: []string{filepath.Join(filepath.Dir(program), "scaleroute-control")},
		Host: []string{own, "scale", "host"}}, nil
}

// scalePrograms are what a run starts.
var scalePrograms = []string{"scaleroute/cmd/scaleroute", "scaleroute/cmd/scaleroute-control"}

// measure measures cells, and keeps the results after each.
func (c *scaleRun) measure(ctx context.Context, rig *scale.Rig, cells []scale.Cell) (results []*scale.Result, err error) {
	if results, err = scale.ReadResults(c.Out); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	cells = slices.DeleteFunc(cells, func(cell scale.Cell) bool {
		return slices.ContainsFunc(results, func(r *scale.Result) bool { return r.Cell == cell })
	})
	bar := progressbar.NewOptions(len(cells), progressbar.OptionSetWriter(os.Stderr), progressbar.OptionSetDescription("measuring"), progressbar.OptionSetPredictTime(true),
		progressbar.OptionClearOnFinish(), progressbar.OptionSetVisibility(!c.Quiet))
	defer bar.Finish()
	for _, cell := range cells {
		bar.Describe(cell.String())
		r, err := rig.Run(ctx, cell)
		if err != nil {
			rig.Log.Error("cell", "cell", cell.String(), "err", err)
			return results, err
		}
		results = append(results, r)
		if err := scale.Write(c.Out, results); err != nil {
			return results, err
		}
		bar.Add(1)
	}
	return results, nil
}

// printTo keeps the tables beside the results.
func (c *scaleRun) printTo(results []*scale.Result) error {
	f, err := os.Create(filepath.Join(c.Out, "tables.md"))
	if err != nil {
		return err
	}
	scale.Print(f, results)
	return f.Close()
}
