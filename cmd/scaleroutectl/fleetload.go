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

// loadCommand says how the fleet's calls are spread over its targets.
type loadCommand struct {
	At      string        `env:"NODE_OPS" placeholder:"HOST:PORT" help:"The door of one member, which tells those of the others."`
	Door    []string      `placeholder:"HOST:PORT" help:"Doors of members, where they do not gossip."`
	Dest    []int         `help:"Only these destinations."`
	Over    time.Duration `default:"1m" help:"How far back: 10s to 118s."`
	Timeout time.Duration `default:"2s" help:"For one member's answer."`
	JSON    bool          `help:"The whole report as JSON."`
	Parquet string        `type:"path" help:"Write the calls by target and second as one table."`
	From    string        `type:"existingfile" help:"Read such a table in place of asking members."`
	Chart   string        `type:"path" help:"Draw the calls of each target in times its share, as PNG."`
	Quiet   bool          `help:"Show no progress."`
}

func (c *loadCommand) Run(out io.Writer, errs stderr) error {
	if c.Over < 10*time.Second || c.Over > (load.Kept-2)*time.Second {
		return fmt.Errorf("--over %v: 10s to %ds are kept", c.Over, load.Kept-2)
	}
	r, err := c.report(errs)
	if err != nil {
		return err
	}
	if len(c.Dest) > 0 {
		known := r.Destinations
		r.Destinations = nil
		for _, id := range c.Dest {
			i := slices.IndexFunc(known, func(d load.Destination) bool { return d.Destination == id })
			if i < 0 {
				return fmt.Errorf("--dest %d: no member has a target of that destination", id)
			}
			r.Destinations = append(r.Destinations, known[i])
		}
	}
	if err := export(c.Parquet, func(w io.Writer) error { return audit.WriteLoad(w, r) }, c.Chart, func(w io.Writer) error { return audit.WriteLoadChart(w, r) }); err != nil {
		return err
	}
	if c.JSON {
		text, err := json.Marshal(r)
		if err != nil {
			return err
		}
		fmt.Fprintln(out, string(text))
	} else {
		c.tell(out, r)
	}
	for _, d := range r.Destinations {
		if len(d.Herds)+len(d.Idle) > 0 {
			return found{exit(1)}
		}
	}
	if r.Members == 0 {
		return errors.New("no member has answered: are these doors of forwarders with a block fleet, of this version?")
	}
	return nil
}

func (c *loadCommand) report(errs stderr) (*load.Report, error) {
	if c.From != "" {
		return audit.ReadLoad(c.From)
	}
	doors, unheard, err := memberDoors(c.At, c.Door)
	if err != nil {
		return nil, err
	}
	if len(doors) == 0 {
		return nil, errors.New("whose calls? Name a member that gossips by --at, or doors by --door")
	}
	bar := progressbar.NewOptions(len(doors), progressbar.OptionSetWriter(errs.Writer), progressbar.OptionSetDescription("asking"), progressbar.OptionShowCount(), progressbar.OptionSetPredictTime(true),
		progressbar.OptionClearOnFinish(), progressbar.OptionSetVisibility(!c.Quiet && !c.JSON))
	all := audit.CollectLoads(context.Background(), doors, c.Timeout, func() { bar.Add(1) })
	bar.Finish()
	for _, name := range unheard {
		all = append(all, load.Member{Source: name, Err: "it has not told its door: is ops set there?"})
	}
	return load.Merge(all, int(c.Over/time.Second)), nil
}

func (c *loadCommand) tell(out io.Writer, r *load.Report) {
	fmt.Fprintf(out, "%d members, %d s until %s\n", r.Members, r.Seconds, time.Unix(r.Until, 0).UTC().Format("15:04:05"))
	for _, d := range r.Destinations {
		fmt.Fprintf(out, "destination %d: %d calls; the most loaded target of a second %s; of ten seconds %s\n", d.Destination, d.Calls, multiple(d.Second), multiple(d.Ten))
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
			fmt.Fprintf(out, "  herd: %s had %d calls, %.1f times its share, in the 10 s from %s; ground: %s", h.Target, h.Calls, h.Times, time.Unix(h.From, 0).UTC().Format("15:04:05"), h.Ground)
			if h.Detail != "" {
				fmt.Fprintf(out, " (%s)", h.Detail)
			}
			fmt.Fprintln(out)
		}
		for _, i := range d.Idle {
			fmt.Fprintf(out, "  idle: %s has had no call for %d s, %.1f a second are due: %s\n", i.Target, i.For, i.Due, i.Why)
		}
	}
	for _, text := range r.Caveats {
		fmt.Fprintln(out, "not whole:", text)
	}
}

func multiple(m load.Multiple) string {
	if m.Windows == 0 {
		return "says nothing, with so few calls"
	}
	return fmt.Sprintf("%.2f times its share on average, %.2f at worst (by chance %.2f)", m.Mean, m.Worst, m.Chance)
}
