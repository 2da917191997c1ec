package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/schollz/progressbar/v3"

	"scaleroute/internal/audit"
	"scaleroute/internal/operator"
	"scaleroute/internal/straggler"
	"scaleroute/internal/version"
)

// fleetCommands query and control a fleet of forwarders. The forwarders' operators' file needs a fleet block.
type fleetCommands struct {
	Status statusCommand `cmd:"" help:"Show the state of each member, as one of them sees it; the exit status is that of the worst verdict."`
	Audit  auditCommand  `cmd:"" help:"Show from the members' audit logs which member used which version, and which members called an endpoint."`
	Want   wantCommand   `cmd:"" help:"Set the desired version of the fleet and its deadline."`
	Up     upCommand     `cmd:"" help:"Make the version that one member uses the desired version of the fleet."`
	Out    outCommand    `cmd:"" help:"Force members out of rotation, within the quota that is set."`
	In     inCommand     `cmd:"" help:"Force members into rotation, even if they are out of date."`
	Load   loadCommand   `cmd:"" help:"Show how the calls of all members are spread over the endpoints: hot spots and starved endpoints, each with its cause."`
}

// verdictExitStatuses maps the worst verdict to the exit status. Status 2 is not in it: it means that the command could not be carried out.
var verdictExitStatuses = map[straggler.Verdict]exitStatus{straggler.Stale: 1, straggler.FencedOff: 1, straggler.Silent: 3, straggler.Diverged: 4, straggler.Duplicate: 5}

// findingError is returned by a command that was carried out and has findings with an exit status of their own.
type findingError struct{ exitStatus }

func (findingError) Error() string { return errFindings.Error() }

func verdictError(v straggler.Verdict) error {
	if e := verdictExitStatuses[v]; e != 0 {
		return findingError{e}
	}
	return nil
}

// fleetView is the fleet as one member sees it.
type fleetView struct {
	Name       string             `json:"name"`
	Desired    *straggler.Desired `json:"want"`
	Superseded *straggler.Desired `json:"lost"`
	Share      float64            `json:"share"`
	Members    []straggler.View   `json:"members"`
}

func (d adminAPI) fetchFleetView() (v fleetView, text string, err error) {
	if text, err = d.call("GET", "/fleet"); err != nil {
		return v, "", fmt.Errorf("%w; does the operators' file of that forwarder have a fleet block?", err)
	}
	if err := json.Unmarshal([]byte(text), &v); err != nil {
		return v, "", fmt.Errorf("invalid view of the fleet: is %s the admin API of a forwarder of this version? (%w)", d.At, err)
	}
	return v, text, nil
}

type statusCommand struct {
	adminAPI
	JSON bool `help:"Print the view as the forwarder's JSON."`
}

func (c *statusCommand) Run(out io.Writer) error {
	v, text, err := c.fetchFleetView()
	if err != nil {
		return err
	}
	worst, counts := straggler.Current, map[straggler.Verdict]int{}
	for _, m := range v.Members {
		counts[m.Verdict]++
		if straggler.CompareVerdicts(m.Verdict, worst) > 0 {
			worst = m.Verdict
		}
	}
	if c.JSON {
		fmt.Fprintln(out, text)
		return verdictError(worst)
	}
	fmt.Fprintf(out, "%d members, as seen by %s\n", len(v.Members), v.Name)
	writeDesired(out, v)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "member\tzone\tverdict\tlist\tbuild\toperators\tlacks\tfor\tclock\tnews")
	for _, m := range v.Members {
		mismatches := make([]string, len(m.Mismatches))
		for i, l := range m.Mismatches {
			mismatches[i] = string(l)
		}
		since := ""
		if m.StaleFor > 0 {
			since = m.StaleFor.Round(100 * time.Millisecond).String()
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%.8s\t%s\t%s\t%+.1fs\t%v ago\n", m.Name, m.Zone, m.Verdict, m.Vector.List.Index, m.Vector.Build, m.Vector.Operators.Digest, strings.Join(mismatches, ","), since,
			m.ClockSkew.Seconds(), m.ReportAge.Round(100*time.Millisecond))
	}
	t.Flush()
	for _, m := range v.Members {
		if m.Verdict != straggler.Current {
			fmt.Fprintf(out, "%s is %s", m.Name, m.Verdict)
			if m.Reason != "" {
				fmt.Fprintf(out, ": %s", m.Reason)
			}
			if m.Remedy != "" {
				fmt.Fprintf(out, "; remedy: %s", m.Remedy)
			}
			fmt.Fprintln(out)
		}
	}
	return verdictError(worst)
}

func writeDesired(out io.Writer, v fleetView) {
	if v.Desired == nil {
		fmt.Fprintln(out, "no desired version is set: a member is behind if its list is older than those of other members")
		return
	}
	text, _ := json.Marshal(v.Desired.Version) // can't fail: all fields are plain values
	fmt.Fprintf(out, "desired version %d, set by %s, within %v: %s; up to %.0f%% of the members may be shut out\n", v.Desired.Gen, v.Desired.By, v.Desired.Deadline, text, 100*v.Share)
	if v.Superseded != nil {
		fmt.Fprintf(out, "desired version %d, set by %s at the same time, was superseded: agree with its operator, and set a new one\n", v.Superseded.Gen, v.Superseded.By)
	}
}

// desiredFlags are the flags that all commands that set a desired version have in common.
type desiredFlags struct {
	adminAPI
	By       string        `help:"The operator who sets the desired version; default: the user and host that run this command."`
	Deadline time.Duration `default:"1m" help:"Time after which a member that knows the desired version and is still out of date may be shut out; 0: never."`
}

// putDesired sets a desired version that supersedes the current one.
func (c *desiredFlags) putDesired(out io.Writer, change func(v fleetView, w *straggler.Desired) error) error {
	v, _, err := c.fetchFleetView()
	if err != nil {
		return err
	}
	w := straggler.Desired{}
	if v.Desired != nil {
		w = *v.Desired
	}
	w.Gen++
	if w.By = c.By; w.By == "" {
		host, _ := os.Hostname()
		w.By = host
		if u, err := user.Current(); err == nil {
			w.By = u.Username + "@" + host
		}
	}
	w.Deadline = c.Deadline
	if err := change(v, &w); err != nil {
		return err
	}
	text, err := json.Marshal(w)
	if err != nil {
		return err
	}
	d, err := c.client()
	if err != nil {
		return err
	}
	if _, err := d.Put(context.Background(), "/fleet/want", text); err != nil {
		return err
	}
	v.Desired, v.Superseded = &w, nil
	writeDesired(out, v)
	fmt.Fprintln(out, "it spreads from member to member; scaleroutectl fleet status shows which members are out of date")
	return nil
}

type wantCommand struct {
	desiredFlags
	Index     int64  `help:"Minimum index of the endpoint list."`
	Newest    bool   `help:"Require the newest endpoint list that any member has."`
	Operators string `type:"existingfile" help:"The resolved operators' file that scaleroutectl compile writes."`
	Build     string `help:"Revision of the program, or a prefix of it."`
	Nothing   bool   `help:"Remove the desired version."`
}

func (c *wantCommand) Run(out io.Writer) error {
	if !c.Nothing && c.Index == 0 && !c.Newest && c.Operators == "" && c.Build == "" {
		return errors.New("no desired version given: use --index, --newest, --operators, --build, or --nothing")
	}
	return c.putDesired(out, func(v fleetView, w *straggler.Desired) error {
		w.Version, w.ForceOut, w.ForceIn = version.Desired{Index: c.Index, Build: c.Build}, nil, nil
		if c.Newest {
			for _, m := range v.Members {
				w.Version.Index = max(w.Version.Index, m.Vector.List.Index)
			}
		}
		if c.Operators != "" {
			text, err := os.ReadFile(c.Operators)
			if err != nil {
				return err
			}
			set, err := operator.Decode(c.Operators, text)
			if err != nil {
				return err
			}
			w.Version.Operators = set.Digest()
		}
		matching := 0
		for _, m := range v.Members {
			if len(m.Vector.Mismatches(w.Version)) == 0 {
				matching++
			}
		}
		fmt.Fprintf(out, "%d of %d members match it now\n", matching, len(v.Members))
		return nil
	})
}

type upCommand struct{ desiredFlags }

func (c *upCommand) Run(out io.Writer) error {
	return c.putDesired(out, func(v fleetView, w *straggler.Desired) error {
		i := slices.IndexFunc(v.Members, func(m straggler.View) bool { return m.Name == v.Name })
		if i < 0 {
			return fmt.Errorf("%s is not in its own view of the fleet yet: retry in a second", v.Name)
		}
		own := v.Members[i].Vector
		w.Version = version.Desired{Index: own.List.Index, List: own.List.Digest, Operators: own.Operators.Digest, Build: own.Build.Revision}
		return nil
	})
}

type outCommand struct {
	desiredFlags
	Members []string `arg:"" help:"Names of the members."`
}

type inCommand struct {
	desiredFlags
	Members []string `arg:"" help:"Names of the members."`
}

func (c *outCommand) Run(out io.Writer) error {
	return c.putDesired(out, func(v fleetView, w *straggler.Desired) error {
		return forceMembers(v, c.Members, &w.ForceOut, &w.ForceIn)
	})
}

func (c *inCommand) Run(out io.Writer) error {
	return c.putDesired(out, func(v fleetView, w *straggler.Desired) error {
		return forceMembers(v, c.Members, &w.ForceIn, &w.ForceOut)
	})
}

func forceMembers(v fleetView, names []string, to, from *[]string) error {
	for _, name := range names {
		if !slices.ContainsFunc(v.Members, func(m straggler.View) bool { return m.Name == name }) {
			return fmt.Errorf("%s knows no member %q: scaleroutectl fleet status lists the members", v.Name, name)
		}
		*from = slices.DeleteFunc(slices.Clone(*from), func(n string) bool { return n == name })
		if !slices.Contains(*to, name) {
			*to = append(slices.Clone(*to), name)
		}
	}
	return nil
}

type auditCommand struct {
	At      string        `env:"NODE_OPS" placeholder:"HOST:PORT" help:"Address of the admin API of one member, which knows those of the others."`
	Door    []string      `placeholder:"HOST:PORT" help:"Admin API addresses of members that do not gossip."`
	Folder  []string      `placeholder:"[NAME=]DIR" help:"Folders (NODE_STATE) of members whose admin API can't be reached."`
	Target  string        `help:"Show which members called this endpoint."`
	Older   int64         `help:"With --target, count only calls under endpoint lists with a lower index."`
	Steps   bool          `help:"Show when each member reached each roll-out."`
	Lists   int           `default:"10" help:"Number of endpoint lists to show, the newest ones."`
	Timeout time.Duration `default:"2s" help:"Time limit for the answer of one member."`
	JSON    bool          `help:"Print the whole report as JSON."`
	Parquet string        `type:"path" help:"Write all audit logs to this file as one table."`
	Chart   string        `type:"path" help:"Draw the roll-outs in this PNG file."`
	Quiet   bool          `help:"Show no progress."`
}

func (c *auditCommand) Run(out io.Writer, errs stderr) error {
	addresses, unreported, err := adminAddresses(c.At, c.Door)
	if err != nil {
		return err
	}
	var desired version.Desired
	if c.At != "" {
		v, _, err := adminAPI{c.At}.fetchFleetView()
		if err != nil {
			return err
		}
		if v.Desired != nil {
			desired = v.Desired.Version
		}
	}
	if len(addresses)+len(c.Folder) == 0 {
		return errors.New("no audit logs named: use --at for a member that gossips, --door for admin API addresses, or --folder for folders")
	}
	bar := progressbar.NewOptions(len(addresses), progressbar.OptionSetWriter(errs.Writer), progressbar.OptionSetDescription("querying members"), progressbar.OptionShowCount(), progressbar.OptionSetPredictTime(true),
		progressbar.OptionClearOnFinish(), progressbar.OptionSetVisibility(!c.Quiet && !c.JSON))
	all := audit.CollectMembers(context.Background(), addresses, c.Timeout, func() { bar.Add(1) })
	bar.Finish()
	for _, name := range unreported {
		all = append(all, audit.MemberData{Source: "?", Name: name, Err: "it has not reported the address of its admin API: is ops set for it?"})
	}
	for _, f := range c.Folder {
		name, dir, ok := strings.Cut(f, "=")
		if !ok {
			name, dir = "", f
		}
		all = append(all, audit.ReadFolder(dir, name))
	}
	var q *audit.CallQuery
	if c.Target != "" {
		q = &audit.CallQuery{Target: c.Target, BelowIndex: c.Older}
	}
	r := audit.Merge(all, desired, q)
	if err := exportTableAndChart(c.Parquet, func(w io.Writer) error { return audit.WriteParquet(w, audit.Rows(all)) },
		c.Chart, func(w io.Writer) error { return audit.WriteRolloutChart(w, r, len(r.Members)) }); err != nil {
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
	return verdictError(r.Worst())
}

// adminAddresses returns the admin API addresses of all members that the member at an address knows, and the named ones, sorted and without repeats;
// unreported are the names of members that have not reported an address.
func adminAddresses(at string, named []string) (addresses, unreported []string, err error) {
	addresses = slices.Clone(named)
	if at != "" {
		v, _, err := adminAPI{at}.fetchFleetView()
		if err != nil {
			return nil, nil, err
		}
		addresses = append(addresses, at)
		for _, m := range v.Members {
			switch {
			case m.Name == v.Name:
			case m.AdminAddress == "":
				unreported = append(unreported, m.Name)
			default:
				addresses = append(addresses, m.AdminAddress)
			}
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses), unreported, nil
}

// exportTableAndChart writes the table and the chart to the named files; an empty name skips its file.
func exportTableAndChart(parquet string, table func(io.Writer) error, chart string, draw func(io.Writer) error) error {
	if parquet != "" {
		if err := writeFileAtomically(parquet, table); err != nil {
			return err
		}
	}
	if chart == "" {
		return nil
	}
	return writeFileAtomically(chart, draw)
}

// writeFileAtomically writes to a temporary file and renames it, so that a failed write leaves no partial file at path.
func writeFileAtomically(path string, write func(io.Writer) error) error {
	var b bytes.Buffer
	if err := write(&b); err != nil {
		return err
	}
	next := filepath.Join(filepath.Dir(path), "."+filepath.Base(path)+".next")
	if err := os.WriteFile(next, b.Bytes(), 0o644); err != nil {
		return err
	}
	return os.Rename(next, path)
}

func (c *auditCommand) writeText(out io.Writer, r *audit.Report) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "member\tverdict\tlist\tbuild\toperators\tchanges\tslept\tclock\tsince")
	for _, m := range r.Members {
		if m.Vector == nil {
			fmt.Fprintf(t, "%s\t%s\t\t\t\t%d\t%d\t\t\n", m.Name, m.Verdict, m.Changes, m.FencedCount)
			continue
		}
		v := m.Vector
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%.8s\t%d\t%d\t%+.3fs ±%v\t%s\n", m.Name, m.Verdict, v.List.Index, v.Build, v.Operators.Digest, m.Changes, m.FencedCount, m.Offset.Seconds(), m.OffsetError.Round(time.Microsecond),
			v.Started.UTC().Format("15:04:05"))
	}
	t.Flush()
	for _, m := range r.Members {
		if m.Verdict != straggler.Current {
			fmt.Fprintf(out, "%s is %s: %s\n", m.Name, m.Verdict, cmp.Or(m.FencedOffReason, m.Remedy))
		}
	}
	for _, o := range r.Lists[max(0, len(r.Lists)-c.Lists):] {
		c.writeRollOut(out, &o)
	}
	if len(r.OperatorFiles) > 1 {
		for _, o := range r.OperatorFiles {
			fmt.Fprint(out, "operators ")
			c.writeRollOut(out, &o)
		}
	}
	if a := r.Calls; a != nil {
		under := "any list"
		if a.BelowIndex > 0 {
			under = fmt.Sprintf("lists before %d", a.BelowIndex)
		}
		fmt.Fprintf(out, "%s under %s: %s calls have arrived, from %d members\n", a.Target, under, formatRange(a.Total.Min, a.Total.Max), len(a.Members))
		for _, by := range a.Members {
			fmt.Fprintf(out, "  %s: %s, the last at %s (clock of this machine), under list %d, operators %.8s, build %s, since %q\n", by.Name, formatRange(by.Arrived.Min, by.Arrived.Max),
				by.LastCorrected.UTC().Format("2006-01-02 15:04:05.000"), by.LastVector.List.Index, by.LastVector.Operators.Digest, by.LastVector.Build, by.Cause)
		}
	}
	for _, text := range r.Caveats {
		fmt.Fprintln(out, "incomplete:", text)
	}
}

func formatRange(least, most uint64) string {
	if least == most {
		return fmt.Sprint(least)
	}
	return fmt.Sprintf("%d to %d", least, most)
}

func (c *auditCommand) writeRollOut(out io.Writer, o *audit.Rollout) {
	fmt.Fprintln(out, o)
	if c.Steps {
		for _, s := range o.Steps {
			fmt.Fprintf(out, "  %10v ±%v  %s (%s, change %d)\n", s.After.Round(time.Microsecond), s.OffsetError.Round(time.Microsecond), s.Name, s.Cause, s.Seq)
		}
	}
}
