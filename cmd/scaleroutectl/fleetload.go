package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/schollz/progressbar/v3"

	"scaleroute/internal/audit"
	"scaleroute/internal/load"
)

// loadCommand reports how the calls of a fleet are spread over its endpoints.
type loadCommand struct {
	At      string        `env:"NODE_OPS" placeholder:"HOST:PORT" help:"Address of the admin API of one member, which knows those of the others."`
	Door    []string      `placeholder:"HOST:PORT" help:"Admin API addresses of members that do not gossip."`
	Dest    []int         `help:"Report only these destinations."`
	Over    time.Duration `default:"1m" help:"Length of the period to report, up to now: 10s to 118s."`
	Timeout time.Duration `default:"2s" help:"Time limit for the answer of one member."`
	JSON    bool          `help:"Print the whole report as JSON."`
	Parquet string        `type:"path" help:"Write the calls by endpoint and second to this file as one table."`
	From    string        `type:"existingfile" help:"Read a table that --parquet wrote, instead of querying members."`
	Chart   string        `type:"path" help:"Draw the calls of each endpoint, as a multiple of its share, in this PNG file."`
	Quiet   bool          `help:"Show no progress."`
}

func (c *loadCommand) Run(out io.Writer, errs stderr) error {
	if c.Over < 10*time.Second || c.Over > (load.Kept-2)*time.Second {
		return fmt.Errorf("--over %v is not between 10s and %ds, the period that members keep", c.Over, load.Kept-2)
	}
	r, err := c.collect(errs)
	if err != nil {
		return err
	}
	if len(c.Dest) > 0 {
		known := r.Destinations
		r.Destinations = nil
		for _, id := range c.Dest {
			i := slices.IndexFunc(known, func(d load.Destination) bool { return d.Destination == id })
			if i < 0 {
				return fmt.Errorf("--dest %d: no member has an endpoint of that destination", id)
			}
			r.Destinations = append(r.Destinations, known[i])
		}
	}
	if err := exportTableAndChart(c.Parquet, func(w io.Writer) error { return audit.WriteLoad(w, r) }, c.Chart, func(w io.Writer) error { return audit.WriteLoadChart(w, r) }); err != nil {
		return err
	}
	if c.JSON {
		text, err := json.Marshal(r)
		if err != nil {
			return err
		}
		fmt.Fprintln(out, string(text))
	} else {
		c.writeText(out, r)
	}
	for _, d := range r.Destinations {
		if len(d.Herds)+len(d.Idle) > 0 {
			return findingError{exitStatus(1)}
		}
	}
	if r.Members == 0 {
		return errors.New("no member has answered: are these the admin API addresses of forwarders of this version with a fleet block?")
	}
	return nil
}

func (c *loadCommand) collect(errs stderr) (*load.Report, error) {
	if c.From != "" {
		return audit.ReadLoad(c.From)
	}
	addresses, unreported, err := adminAddresses(c.At, c.Door)
	if err != nil {
		return nil, err
	}
	if len(addresses) == 0 {
		return nil, errors.New("no members named: use --at for a member that gossips, or --door for admin API addresses")
	}
	bar := progressbar.NewOptions(len(addresses), progressbar.OptionSetWriter(errs.Writer), progressbar.OptionSetDescription("querying members"), progressbar.OptionShowCount(), progressbar.OptionSetPredictTime(true),
		progressbar.OptionClearOnFinish(), progressbar.OptionSetVisibility(!c.Quiet && !c.JSON))
	all := audit.CollectLoads(context.Background(), addresses, c.Timeout, func() { bar.Add(1) })
	bar.Finish()
	for _, name := range unreported {
		all = append(all, load.Member{Source: name, Err: "it has not reported the address of its admin API: is ops set for it?"})
	}
	return load.Merge(all, int(c.Over/time.Second)), nil
}

func (c *loadCommand) writeText(out io.Writer, r *load.Report) {
	fmt.Fprintf(out, "%d members, %d s until %s\n", r.Members, r.Seconds, time.Unix(r.Until, 0).UTC().Format("15:04:05"))
	for _, d := range r.Destinations {
		fmt.Fprintf(out, "destination %d: %d calls; most loaded endpoint in windows of 1 s: %s; of 10 s: %s\n", d.Destination, d.Calls, formatMultiple(d.Second), formatMultiple(d.Ten))
		t := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
		fmt.Fprintln(t, "  target\tshare\tcalls\ttimes\tnow/s\tbad\tmembers\tconnections\tstate")
		for _, one := range d.Targets {
			var state []string
			if one.Drains > 0 {
				state = append(state, fmt.Sprintf("drains (%d)", one.Drains))
			}
			for _, why := range load.Reasons(one.Held) {
				state = append(state, fmt.Sprintf("%s (%d)", why, one.Held[why]))
			}
			fmt.Fprintf(t, "  %s\t%.3f\t%d\t%.2f\t%.1f\t%d\t%d\t%d\t%s\n", one.Name, one.Share, one.Calls, one.Times, one.Now, one.Bad, one.Members, one.Connections, cmp.Or(strings.Join(state, ", "), "serves"))
		}
		t.Flush()
		for _, h := range d.Herds {
			fmt.Fprintf(out, "  hot spot: %s had %d calls, %.1f times its share, in the 10 s from %s; cause: %s", h.Target, h.Calls, h.Times, time.Unix(h.From, 0).UTC().Format("15:04:05"), h.Ground)
			if h.Detail != "" {
				fmt.Fprintf(out, " (%s)", h.Detail)
			}
			fmt.Fprintln(out)
		}
		for _, i := range d.Idle {
			fmt.Fprintf(out, "  starved: %s has had no call for %d s, %.1f calls a second expected: %s\n", i.Target, i.For, i.Due, i.Why)
		}
	}
	for _, text := range r.Caveats {
		fmt.Fprintln(out, "incomplete:", text)
	}
}

func formatMultiple(m load.Multiple) string {
	if m.Windows == 0 {
		return "unknown, too few calls"
	}
	return fmt.Sprintf("%.2f times its share on average, %.2f at most (%.2f expected by chance)", m.Mean, m.Worst, m.Chance)
}
