package scale

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"image/color"
	"io"
	"os"
	"path/filepath"
	"slices"

	"github.com/parquet-go/parquet-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// cost is one column of the tables and one chart of each sweep.
type cost struct {
	name  string // of its file
	title string
	unit  string
	of    func(*Row) float64
}

var costs = []cost{
	{"heap", "live heap", "MB", func(r *Row) float64 { return r.HeapBytes / 1e6 }},
	{"resident", "resident memory", "MB", func(r *Row) float64 { return r.ResidentBytes / 1e6 }},
	{"peak", "peak resident memory", "MB", func(r *Row) float64 { return r.PeakBytes / 1e6 }},
	{"start-cpu", "processor for the start", "ms", func(r *Row) float64 { return r.StartCPUms }},
	{"start-bytes", "bytes for the start", "kB", func(r *Row) float64 { return r.StartBytes / 1e3 }},
	{"calm-bytes", "bytes a second, calm", "B/s", func(r *Row) float64 { return r.CalmBytesPerS }},
	{"calm-cpu", "processor, calm", "% of a core", func(r *Row) float64 { return r.CalmCPUPercent }},
	{"changing-bytes", "bytes a second under changes", "B/s", func(r *Row) float64 { return r.BusyBytesPerS }},
	{"changing-cpu", "processor under changes", "% of a core", func(r *Row) float64 { return r.BusyCPUPercent }},
}

// kindColors tell the kinds apart, also for those who see few colors.
var kindColors = map[Kind]color.Color{Simulated: color.RGBA{0, 114, 178, 255}, Real: color.RGBA{213, 94, 0, 255}, ControlServer: color.RGBA{0, 158, 115, 255}}

// ReadResults reads what Write has written.
func ReadResults(dir string) (results []*Result, err error) {
	text, err := os.ReadFile(filepath.Join(dir, resultsFile))
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(text, &results); err != nil {
		return nil, fmt.Errorf("%s: %w", filepath.Join(dir, resultsFile), err)
	}
	return results, nil
}

// Write writes results, table and charts to a folder.
func Write(dir string, results []*Result) error {
	text, err := json.MarshalIndent(results, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, resultsFile), append(text, '\n'), 0o644); err != nil {
		return err
	}
	var rows []Row
	for _, r := range results {
		rows = append(rows, r.Rows...)
	}
	return errors.Join(writeParquet(filepath.Join(dir, "costs.parquet"), rows), writeCharts(dir, rows))
}

func writeParquet(path string, rows []Row) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(parquet.Write(f, rows), f.Close())
}

// sweepsOf are the names of the sweeps, in order.
func sweepsOf(rows []Row) (names []string) {
	for i := range rows {
		if !slices.Contains(names, rows[i].Sweep) {
			names = append(names, rows[i].Sweep)
		}
	}
	return names
}

func writeCharts(dir string, rows []Row) error {
	for _, sweep := range sweepsOf(rows) {
		for i := range costs {
			path := filepath.Join(dir, fmt.Sprintf("%s-%s.png", sweep, costs[i].name))
			if err := writeChart(path, sweep, &costs[i], rows); err != nil {
				return err
			}
		}
	}
	return nil
}

// writeChart draws one cost of each kind over the size that a sweep varies. A sweep of one size has no chart.
func writeChart(path, sweep string, c *cost, rows []Row) error {
	p := plot.New()
	p.Title.Text = c.title
	p.Y.Label.Text = c.unit
	p.Y.Min = 0
	label, sizeOf, varied := variedBy(sweep, rows)
	if !varied {
		return nil
	}
	p.X.Label.Text = label
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	for _, kind := range []Kind{Simulated, Real, ControlServer} {
		var points plotter.XYs
		for i := range rows {
			if r := &rows[i]; r.Sweep == sweep && r.Kind == kind {
				points = append(points, plotter.XY{X: float64(sizeOf(r)), Y: c.of(r)})
			}
		}
		if len(points) == 0 {
			continue
		}
		scatter, err := plotter.NewScatter(points)
		if err != nil {
			return fmt.Errorf("drawing %s: %w", path, err)
		}
		scatter.Color = kindColors[kind]
		p.Add(scatter)
		p.Legend.Add(string(kind), scatter)
	}
	p.Add(plotter.NewGrid())
	return p.Save(16*vg.Centimeter, 10*vg.Centimeter, path)
}

// variedBy tells which size a sweep varies: the number of forwarders, with the destinations in proportion where both grow, or that of the destinations.
func variedBy(sweep string, rows []Row) (label string, sizeOf func(*Row) int64, varied bool) {
	forwarders, destinations := map[int64]bool{}, map[int64]bool{}
	for i := range rows {
		if rows[i].Sweep == sweep {
			forwarders[rows[i].Forwarders], destinations[rows[i].Destinations] = true, true
		}
	}
	if len(forwarders) > 1 || len(destinations) < 2 {
		return "forwarders", func(r *Row) int64 { return r.Forwarders }, len(forwarders) > 1
	}
	return "destinations", func(r *Row) int64 { return r.Destinations }, true
}

// Print writes the results as two tables in Markdown, of what each forwarder and control server costs, and of times and parts: the median over the seeds, with the lowest and the highest.
func Print(w io.Writer, results []*Result) {
	fmt.Fprint(w, "| list | sweep | forwarders | members | destinations | part | of | seeds |")
	for _, c := range costs {
		fmt.Fprintf(w, " %s (%s) |", c.title, c.unit)
	}
	fmt.Fprint(w, "\n| --- | --- | ---: | ---: | ---: | ---: | --- | ---: |")
	for range costs {
		fmt.Fprint(w, " ---: |")
	}
	fmt.Fprintln(w)
	for _, group := range groupsOf(results) {
		for _, kind := range []Kind{Simulated, Real, ControlServer} {
			printCosts(w, group, kind)
		}
	}
	fmt.Fprint(w, "\n| list | sweep | forwarders | members | destinations | seeds | ready, all at once: worst (ms) | a real one: worst (ms) | a change in force: median (ms) | 99.9% (ms) | worst (ms) | with a control server dead: median (ms) | 99.9% (ms) | worst (ms) | largest part over mean | moved over part |\n")
	fmt.Fprintln(w, "| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |")
	for _, group := range groupsOf(results) {
		printTimes(w, group)
	}
}

// printCosts writes the row of one kind for the cells of a group.
func printCosts(w io.Writer, group []*Result, kind Kind) {
	var rows []Row
	var parts []float64
	for _, r := range group {
		parts = append(parts, r.PartsMean)
		for _, row := range r.Rows {
			if row.Kind == kind {
				rows = append(rows, row)
			}
		}
	}
	if len(rows) == 0 {
		return
	}
	c := group[0].Cell
	fmt.Fprintf(w, "| %s | %s | %d | %d | %d | %s | %s | %d |", rows[0].Mechanism, c.Sweep, c.Forwarders, max(c.Members, c.Forwarders), c.Destinations, spreadText(parts), kind, len(rows))
	for _, cost := range costs {
		var values []float64
		for i := range rows {
			values = append(values, cost.of(&rows[i]))
		}
		fmt.Fprintf(w, " %s |", spreadText(values))
	}
	fmt.Fprintln(w)
}

// printTimes writes the row of times and parts for the cells of a group.
func printTimes(w io.Writer, group []*Result) {
	c := group[0].Cell
	fmt.Fprintf(w, "| %s | %s | %d | %d | %d | %d |", group[0].Rows[0].Mechanism, c.Sweep, c.Forwarders, max(c.Members, c.Forwarders), c.Destinations, len(group))
	for _, of := range []func(*Result) float64{
		func(r *Result) float64 { return r.Ready.Max },
		func(r *Result) float64 { return r.RealReady.Max },
		func(r *Result) float64 { return r.InForce.Median },
		func(r *Result) float64 { return r.InForce.P999 },
		func(r *Result) float64 { return r.InForce.Max },
		func(r *Result) float64 { return r.InForceImpaired.Median },
		func(r *Result) float64 { return r.InForceImpaired.P999 },
		func(r *Result) float64 { return r.InForceImpaired.Max },
		func(r *Result) float64 { return r.PartsMaxOver },
		func(r *Result) float64 { return r.Moved },
	} {
		var values []float64
		for _, r := range group {
			values = append(values, of(r))
		}
		fmt.Fprintf(w, " %s |", spreadText(values))
	}
	fmt.Fprintln(w)
}

// groupsOf are the results of cells that differ by their seed alone, together.
func groupsOf(results []*Result) (groups [][]*Result) {
	at := map[Cell]int{}
	for _, r := range results {
		c := r.Cell
		c.Seed = 0
		if _, seen := at[c]; !seen {
			at[c] = len(groups)
			groups = append(groups, nil)
		}
		groups[at[c]] = append(groups[at[c]], r)
	}
	slices.SortStableFunc(groups, func(a, b []*Result) int {
		x, y := a[0].Cell, b[0].Cell
		return cmp.Or(cmp.Compare(x.Sweep, y.Sweep), cmp.Compare(x.Forwarders, y.Forwarders), cmp.Compare(x.Destinations, y.Destinations))
	})
	return groups
}

// spreadText is the median of a cost, with the lowest and the highest where there are several; a cost of 0 was not measured.
func spreadText(values []float64) string {
	slices.Sort(values)
	median, lowest, highest := values[len(values)/2], values[0], values[len(values)-1]
	if highest == 0 {
		return "-"
	}
	if len(values) == 1 {
		return numberText(median)
	}
	return fmt.Sprintf("%s (%s to %s)", numberText(median), numberText(lowest), numberText(highest))
}

// numberText has three digits, or all of a whole number.
func numberText(value float64) string {
	if value >= 100 {
		return fmt.Sprintf("%.0f", value)
	}
	return fmt.Sprintf("%.3g", value)
}
