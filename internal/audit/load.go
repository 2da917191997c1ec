package audit

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/parquet-go/parquet-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"scaleroute/internal/load"
)

// LoadRow is a row of the table that WriteLoad writes: one second of one endpoint.
type LoadRow struct {
	Destination int64   `parquet:"destination"`
	Target      string  `parquet:"target,dict"`
	Share       float64 `parquet:"share"`  // of the calls of its destination; 0 if the endpoint is not in service
	Second      int64   `parquet:"second"` // Unix time in s
	Calls       int64   `parquet:"calls"`
	Members     int64   `parquet:"members"` // number of members that reported, the same in all rows
}

// WriteLoad writes the calls of each second of a report as a Parquet table.
func WriteLoad(w io.Writer, r *load.Report) error {
	var rows []LoadRow
	for _, d := range r.Destinations {
		for _, t := range d.Targets {
			for i, n := range t.Seconds {
				rows = append(rows, LoadRow{int64(d.Destination), t.Name, t.Share, r.Until - int64(len(t.Seconds)-1-i), int64(n), int64(r.Members)})
			}
		}
	}
	t := parquet.NewGenericWriter[LoadRow](w)
	if _, err := t.Write(rows); err != nil {
		return fmt.Errorf("writing the Parquet table: %w", err)
	}
	return t.Close()
}

// maxTableRows bounds the size of a table that is read: endpoints times seconds.
const maxTableRows = 4 << 20

// ReadLoad makes a report from a table that WriteLoad wrote. The report lacks the members' in-flight calls and connections, which the table does not have.
func ReadLoad(file string) (r *load.Report, err error) {
	invalid := func(problem string, args ...any) error {
		return fmt.Errorf("%s: %s: specify a table written by scaleroutectl fleet load --parquet", file, fmt.Sprintf(problem, args...))
	}
	defer func() { // the Parquet library panics on some corrupt files
		if p := recover(); p != nil {
			r, err = nil, invalid("it can't be read: %v", p)
		}
	}()
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return nil, err
	}
	opened, err := parquet.OpenFile(f, info.Size())
	if err != nil {
		return nil, invalid("it is not a Parquet table: %v", err)
	}
	rows := parquet.NewGenericReader[LoadRow](opened)
	defer rows.Close()
	if n := rows.NumRows(); n < 1 || n > maxTableRows {
		return nil, invalid("it has %d rows", n)
	}
	all := make([]LoadRow, rows.NumRows())
	if n, err := rows.Read(all); n != len(all) || err != nil && !errors.Is(err, io.EOF) {
		return nil, invalid("row %d can't be read: %v", n, err)
	}
	first, last := all[0].Second, all[0].Second
	for _, row := range all {
		first, last = min(first, row.Second), max(last, row.Second)
	}
	if last-first >= load.Kept {
		return nil, invalid("it covers %d seconds, but at most %d are kept", last-first+1, load.Kept)
	}
	s := &load.Snapshot{Name: file, Began: first, Until: last}
	at := map[string]int{}
	for i, row := range all {
		if row.Calls < 0 || row.Share < 0 || row.Share > 1 {
			return nil, invalid("row %d is invalid: %d calls, a share of %g", i, row.Calls, row.Share)
		}
		key := fmt.Sprint(row.Destination, " ", row.Target)
		j, known := at[key]
		if !known {
			j = len(s.Targets)
			at[key] = j
			s.Targets = append(s.Targets, load.Target{Name: row.Target, Destination: int(row.Destination), Weight: row.Share, Serves: row.Share > 0, Since: first, Calls: make([]int, last-first+1)})
		}
		s.Targets[j].Calls[row.Second-first] += int(row.Calls)
	}
	r = load.Merge([]load.Member{{Source: file, Snapshot: s}}, int(last-first+1))
	r.Members = int(all[0].Members)
	for i := range r.Destinations { // only the members know the reasons
		d := &r.Destinations[i]
		for j := range d.Herds {
			d.Herds[j].Ground, d.Herds[j].Detail = load.Unknown, "a table has no grounds"
		}
		for j := range d.Idle {
			d.Idle[j].Why = "a table has no reasons"
		}
	}
	return r, nil
}

// WriteLoadChart writes a PNG chart of the destination with the most calls. It shows for each endpoint its fraction of the calls within ten seconds,
// relative to its share. The legend names the three most and the three least loaded endpoints.
func WriteLoadChart(w io.Writer, r *load.Report) error {
	if len(r.Destinations) == 0 {
		return errors.New("no member reports an endpoint: there is nothing to draw")
	}
	d := slices.MaxFunc(r.Destinations, func(a, b load.Destination) int { return a.Calls - b.Calls })
	const span = 10
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Destination %d: calls in %d s relative to the share", d.Destination, span)
	p.X.Label.Text, p.Y.Label.Text = "seconds before the last second", "calls relative to the share"
	p.Y.Min = 0
	var serving []load.Load
	for _, t := range d.Targets {
		if t.Share > 0 {
			serving = append(serving, t)
		}
	}
	slices.SortFunc(serving, func(a, b load.Load) int { return b.Calls - a.Calls })
	for i, t := range serving {
		var points plotter.XYs
		for start := 0; start+span <= len(t.Seconds); start++ {
			total, own := 0, 0
			for _, o := range serving {
				for _, n := range o.Seconds[start : start+span] {
					total += n
				}
			}
			for _, n := range t.Seconds[start : start+span] {
				own += n
			}
			if total > 0 {
				points = append(points, plotter.XY{X: float64(start + span - len(t.Seconds)), Y: float64(own) / (float64(total) * t.Share)})
			}
		}
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("drawing %s: %w", t.Name, err)
		}
		line.Color = lineColors[i%len(lineColors)]
		p.Add(line)
		if i < 3 || i >= len(serving)-3 {
			p.Legend.Add(t.Name, line)
		}
	}
	p.Add(plotter.NewGrid())
	to, err := p.WriterTo(18*vg.Centimeter, 11*vg.Centimeter, "png")
	if err != nil {
		return err
	}
	_, err = to.WriteTo(w)
	return err
}
