package scale

import (
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

// Print writes the results as tables in Markdown: the median over the seeds, and how far from it the seeds are.
func Print(w io.Writer, results []*Result) {
	var rows []Row
	for _, r := range results {
		rows = append(rows, r.Rows...)
	}
	for _, sweep := range sweepsOf(rows) {
		fmt.Fprintf(w, "\n### %s\n\n| forwarders | destinations | kind | seeds |", sweep)
		for _, c := range costs {
			fmt.Fprintf(w, " %s (%s) |", c.title, c.unit)
		}
		fmt.Fprint(w, "\n| ---: | ---: | --- | ---: |")
		for range costs {
			fmt.Fprint(w, " ---: |")
		}
		fmt.Fprintln(w)
		for _, group := range groupsOf(sweep, rows) {
			first := &group[0]
			fmt.Fprintf(w, "| %d | %d | %s | %d |", first.Forwarders, first.Destinations, first.Kind, len(group))
			for _, c := range costs {
				fmt.Fprintf(w, " %s |", spreadText(group, c.of))
			}
			fmt.Fprintln(w)
		}
		printTimes(w, sweep, results)
	}
}

// groupsOf are the rows of a sweep that differ by their seed alone, together.
func groupsOf(sweep string, rows []Row) (groups [][]Row) {
	type key struct {
		kind                     Kind
		forwarders, destinations int64
	}
	at := map[key]int{}
	for _, r := range rows {
		if r.Sweep != sweep {
			continue
		}
		k := key{r.Kind, r.Forwarders, r.Destinations}
		if _, seen := at[k]; !seen {
			at[k] = len(groups)
			groups = append(groups, nil)
		}
		groups[at[k]] = append(groups[at[k]], r)
	}
	return groups
}

// spreadText is the median of a cost, with the lowest and the highest where there are several.
func spreadText(group []Row, of func(*Row) float64) string {
	var values []float64
	for i := range group {
		values = append(values, of(&group[i]))
	}
	slices.Sort(values)
	if len(values) == 1 {
		return fmt.Sprintf("%.3g", values[0])
	}
	return fmt.Sprintf("%.3g (%.3g to %.3g)", values[len(values)/2], values[0], values[len(values)-1])
}

// printTimes writes the times of the cells of a sweep.
func printTimes(w io.Writer, sweep string, results []*Result) {
	fmt.Fprint(w, "\n| forwarders | destinations | seed | ready, all at once: median, worst (ms) | a real one: worst (ms) | change in force: median, 99.9%, worst (ms) | the same, one control server dead | part: mean, max over mean | moved over part |\n")
	fmt.Fprintln(w, "| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |")
	for _, r := range results {
		if r.Cell.Sweep != sweep {
			continue
		}
		fmt.Fprintf(w, "| %d | %d | %d | %.0f, %.0f | %s | %s | %s | %s | %s |\n", r.Cell.Forwarders, r.Cell.Destinations, r.Cell.Seed, r.Ready.Median, r.Ready.Max,
			orNone(r.RealReady.Max, fmt.Sprintf("%.0f", r.RealReady.Max)), r.InForce.text(), r.InForceImpaired.text(), orNone(r.PartsMean, fmt.Sprintf("%.0f, %.2f", r.PartsMean, r.PartsMaxOver)), orNone(r.Moved, fmt.Sprintf("%.2f", r.Moved)))
	}
}

func (t Times) text() string {
	if t.Count == 0 {
		return "not measured"
	}
	return fmt.Sprintf("%.0f, %.0f, %.0f", t.Median, t.P999, t.Max)
}

func orNone(value float64, text string) string {
	if value == 0 {
		return "not measured"
	}
	return text
}
