package audit

import (
	"fmt"
	"io"
	"slices"

	"github.com/parquet-go/parquet-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Row is a row of the exported table: the calls of one member to one endpoint under one change, or a change without calls.
type Row struct {
	Member           string `parquet:"member,dict"`
	Seq              int64  `parquet:"seq"`
	At               int64  `parquet:"at,timestamp(nanosecond)"` // by the member's clock
	OffsetNS         int64  `parquet:"offset_ns"`                // that clock minus the auditor's
	ErrorNS          int64  `parquet:"error_ns"`
	Cause            string `parquet:"cause,dict"`
	By               string `parquet:"by,dict"`
	Build            string `parquet:"build,dict"`
	Dirty            bool   `parquet:"dirty"`
	Settings         string `parquet:"settings,dict"`
	Operators        string `parquet:"operators,dict"`
	ListIndex        int64  `parquet:"list_index"`
	ListDigest       string `parquet:"list_digest,dict"`
	Disabled         string `parquet:"left_out,dict"`
	Handovers        int32  `parquet:"take_over"`
	Started          int64  `parquet:"started,timestamp(nanosecond)"`
	Target           string `parquet:"target,dict"`
	First            int64  `parquet:"first,timestamp(nanosecond)"`
	Last             int64  `parquet:"last,timestamp(nanosecond)"`
	Begun            int64  `parquet:"begun"`
	BegunMax         int64  `parquet:"begun_most"`
	Unsent           int64  `parquet:"unsent"`
	Answered         int64  `parquet:"answered"`
	InFlightAtChange int64  `parquet:"out_at_change"` // calls to this endpoint in flight at the change
}

// Rows returns the table rows of all members' ledgers, in order.
func Rows(all []MemberData) (rows []Row) {
	for _, g := range all {
		if g.Ledger == nil {
			continue
		}
		for _, e := range g.Ledger.Entries {
			v := &e.Vector
			base := Row{Member: g.Name, Seq: int64(e.Seq), OffsetNS: int64(g.Offset), ErrorNS: int64(g.OffsetError), Cause: e.Cause, By: e.By, Build: v.Build.Revision, Dirty: v.Build.Dirty,
				Settings: v.Settings.Digest.String(), Operators: v.Operators.Digest.String(), ListIndex: v.List.Index, ListDigest: v.List.Digest.String(),
				Disabled: v.Disabled.Digest.String(), Handovers: int32(v.Handovers)}
			if !e.At.IsZero() {
				base.At = e.At.UnixNano()
			}
			if !v.Started.IsZero() {
				base.Started = v.Started.UnixNano()
			}
			inFlight := map[string]int{}
			for _, o := range e.InFlight {
				inFlight[o.Target] = o.Calls
			}
			for _, c := range e.Calls {
				row := base
				row.Target, row.First, row.Last = c.Target, c.First.UnixNano(), c.Last.UnixNano()
				row.Begun, row.BegunMax, row.Unsent, row.Answered = int64(c.Begun.Min), int64(c.Begun.Max), int64(c.Unsent.Min), int64(c.Answered.Min)
				row.InFlightAtChange = int64(inFlight[c.Target])
				delete(inFlight, c.Target)
				rows = append(rows, row)
			}
			for _, o := range e.InFlight { // endpoints without calls under this change
				if n, ok := inFlight[o.Target]; ok {
					row := base
					row.Target, row.InFlightAtChange = o.Target, int64(n)
					rows = append(rows, row)
				}
			}
			if len(e.Calls)+len(inFlight) == 0 {
				rows = append(rows, base)
			}
		}
	}
	return rows
}

// WriteParquet writes the rows as a Parquet table.
func WriteParquet(w io.Writer, rows []Row) error {
	t := parquet.NewGenericWriter[Row](w)
	if _, err := t.Write(rows); err != nil {
		return fmt.Errorf("writing the Parquet table: %w", err)
	}
	return t.Close()
}

const maxChartLines = 12 // number of lists in a chart

// WriteRolloutChart writes a PNG chart of the newest lists. It shows for each list the share of the members that acted on it, by the time since the
// first member did.
func WriteRolloutChart(w io.Writer, r *Report, members int) error {
	p := plot.New()
	p.Title.Text = "Rollout: members acting on a list"
	p.X.Label.Text = "seconds since the first member"
	p.Y.Label.Text = "share of the members"
	p.Y.Min, p.Y.Max = 0, 1
	lists := slices.Clone(r.Lists)
	lists = lists[max(0, len(lists)-maxChartLines):]
	for i, o := range lists {
		var points plotter.XYs
		for n, s := range o.Steps {
			points = append(points, plotter.XY{X: s.After.Seconds(), Y: float64(n) / float64(max(1, members))}, plotter.XY{X: s.After.Seconds(), Y: float64(n+1) / float64(max(1, members))})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("drawing list %d: %w", o.Index, err)
		}
		line.Color = lineColors[i%len(lineColors)]
		p.Add(line)
		p.Legend.Add(fmt.Sprint("list ", o.Index), line)
	}
	p.Add(plotter.NewGrid())
	to, err := p.WriterTo(18*vg.Centimeter, 11*vg.Centimeter, "png")
	if err != nil {
		return err
	}
	_, err = to.WriteTo(w)
	return err
}
