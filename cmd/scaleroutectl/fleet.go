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

// fleetCommands ask and tell a fleet whose operators' file has a block fleet.
type fleetCommands struct {
	Status statusCommand `cmd:"" help:"How each member stands, as one of them sees it; the exit status says the worst."`
	Audit  auditCommand  `cmd:"" help:"Who acted on which version, and who called a target, out of the members' ledgers."`
	Want   wantCommand   `cmd:"" help:"Say what the fleet is to act under, and by when."`
	Up     upCommand     `cmd:"" help:"Want of all what one member acts under."`
	Out    outCommand    `cmd:"" help:"Have members shut out, within the share that is set."`
	In     inCommand     `cmd:"" help:"Have members in, whatever they lack."`
	Load   loadCommand   `cmd:"" help:"How the calls of all members are spread over the targets: herds with their ground, idle targets and why."`
}

// exits are the exit statuses by the worst verdict. 2 is that the command could not do what was asked.
var exits = map[straggler.Verdict]exit{straggler.Stale: 1, straggler.FencedOff: 1, straggler.Silent: 3, straggler.Diverged: 4, straggler.Duplicate: 5}

// found is a verdict that is an exit status.
type found struct{ exit }

func (found) Error() string { return errFound.Error() }

func verdictError(v straggler.Verdict) error {
	if e := exits[v]; e != 0 {
		return found{e}
	}
	return nil
}

// fleetView is what a member knows of the fleet.
type fleetView struct {
	Name    string             `json:"name"`
	Want    *straggler.Desired `json:"want"`
	Lost    *straggler.Desired `json:"lost"`
	Share   float64            `json:"share"`
	Members []straggler.View   `json:"members"`
}

func (d atDoor) view() (v fleetView, text string, err error) {
	if text, err = d.call("GET", "/fleet"); err != nil {
		return v, "", fmt.Errorf("%w; is there a block fleet in the operators' file of that forwarder?", err)
	}
	if err := json.Unmarshal([]byte(text), &v); err != nil {
		return v, "", fmt.Errorf("a view that can't be read: is %s a forwarder's door, of this version? (%w)", d.At, err)
	}
	return v, text, nil
}

type statusCommand struct {
	atDoor
	JSON bool `help:"As the forwarder tells it."`
}

func (c *statusCommand) Run(out io.Writer) error {
	v, text, err := c.view()
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
	fmt.Fprintf(out, "%d members as %s sees them\n", len(v.Members), v.Name)
	tellWant(out, v)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "member\tzone\tverdict\tlist\tbuild\toperators\tlacks\tfor\tclock\tnews")
	for _, m := range v.Members {
		lacks := make([]string, len(m.Mismatches))
		for i, l := range m.Mismatches {
			lacks[i] = string(l)
		}
		since := ""
		if m.StaleFor > 0 {
			since = m.StaleFor.Round(100 * time.Millisecond).String()
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%.8s\t%s\t%s\t%+.1fs\t%v ago\n", m.Name, m.Zone, m.Verdict, m.Vector.List.Index, m.Vector.Build, m.Vector.Operators.Digest, strings.Join(lacks, ","), since,
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

func tellWant(out io.Writer, v fleetView) {
	if v.Want == nil {
		fmt.Fprintln(out, "nothing is wanted: behind is who has an older list than others")
		return
	}
	text, _ := json.Marshal(v.Want.Version) // plain values
	fmt.Fprintf(out, "want %d of %s, within %v: %s; %.0f%% may be shut out\n", v.Want.Gen, v.Want.By, v.Want.Deadline, text, 100*v.Share)
	if v.Lost != nil {
		fmt.Fprintf(out, "another want %d, of %s, came at the same time and had to give way: agree, and put one after them\n", v.Lost.Gen, v.Lost.By)
	}
}

// wanting is what all commands that put a want have in common.
type wanting struct {
	atDoor
	By       string        `help:"Who wants it; default: the user and machine that runs this."`
	Deadline time.Duration `default:"1m" help:"How long after it is heard a member that lacks something may be shut out; 0: never."`
}

// put puts the next want after the one that holds.
func (c *wanting) put(out io.Writer, change func(v fleetView, w *straggler.Desired) error) error {
	v, _, err := c.view()
	if err != nil {
		return err
	}
	w := straggler.Desired{}
	if v.Want != nil {
		w = *v.Want
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
	v.Want, v.Lost = &w, nil
	tellWant(out, v)
	fmt.Fprintln(out, "it goes from member to member; scaleroutectl fleet status shows who lacks it")
	return nil
}

type wantCommand struct {
	wanting
	Index     int64  `help:"Index of the list, at least."`
	Newest    bool   `help:"The newest list that any member has."`
	Operators string `type:"existingfile" help:"The resolved operators' file, as scaleroutectl compile writes it."`
	Build     string `help:"Revision of the program, or how it begins."`
	Nothing   bool   `help:"Want nothing any more."`
}

func (c *wantCommand) Run(out io.Writer) error {
	if !c.Nothing && c.Index == 0 && !c.Newest && c.Operators == "" && c.Build == "" {
		return errors.New("say what is wanted: --index, --newest, --operators, --build, or --nothing")
	}
	return c.put(out, func(v fleetView, w *straggler.Desired) error {
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
		reach := 0
		for _, m := range v.Members {
			if len(m.Vector.Mismatches(w.Version)) == 0 {
				reach++
			}
		}
		fmt.Fprintf(out, "%d of %d members act under it now\n", reach, len(v.Members))
		return nil
	})
}

type upCommand struct{ wanting }

func (c *upCommand) Run(out io.Writer) error {
	return c.put(out, func(v fleetView, w *straggler.Desired) error {
		i := slices.IndexFunc(v.Members, func(m straggler.View) bool { return m.Name == v.Name })
		if i < 0 {
			return fmt.Errorf("%s does not know itself yet: ask again in a second", v.Name)
		}
		own := v.Members[i].Vector
		w.Version = version.Desired{Index: own.List.Index, List: own.List.Digest, Operators: own.Operators.Digest, Build: own.Build.Revision}
		return nil
	})
}

type outCommand struct {
	wanting
	Members []string `arg:"" help:"Their names."`
}

type inCommand struct {
	wanting
	Members []string `arg:"" help:"Their names."`
}

func (c *outCommand) Run(out io.Writer) error {
	return c.put(out, func(v fleetView, w *straggler.Desired) error { return move(v, c.Members, &w.ForceOut, &w.ForceIn) })
}

func (c *inCommand) Run(out io.Writer) error {
	return c.put(out, func(v fleetView, w *straggler.Desired) error { return move(v, c.Members, &w.ForceIn, &w.ForceOut) })
}

func move(v fleetView, names []string, to, from *[]string) error {
	for _, name := range names {
		if !slices.ContainsFunc(v.Members, func(m straggler.View) bool { return m.Name == name }) {
			return fmt.Errorf("%s knows no member %q: scaleroutectl fleet status lists them", v.Name, name)
		}
		*from = slices.DeleteFunc(slices.Clone(*from), func(n string) bool { return n == name })
		if !slices.Contains(*to, name) {
			*to = append(slices.Clone(*to), name)
		}
	}
	return nil
}

type auditCommand struct {
	At      string        `env:"NODE_OPS" placeholder:"HOST:PORT" help:"The door of one member, which tells those of the others."`
	Door    []string      `placeholder:"HOST:PORT" help:"Doors of members, where they do not gossip."`
	Folder  []string      `placeholder:"[NAME=]DIR" help:"Folders (NODE_STATE) of members whose doors are not there."`
	Target  string        `help:"Who called this target?"`
	Older   int64         `help:"Only under lists with a lower index."`
	Steps   bool          `help:"Each member's step of each roll-out."`
	Lists   int           `default:"10" help:"Lists that are told of, the newest."`
	Timeout time.Duration `default:"2s" help:"For one member's answer."`
	JSON    bool          `help:"The whole report as JSON."`
	Parquet string        `type:"path" help:"Write all ledgers as one table."`
	Chart   string        `type:"path" help:"Draw the roll-outs, as PNG."`
	Quiet   bool          `help:"Show no progress."`
}

func (c *auditCommand) Run(out io.Writer, errs stderr) error {
	doors, unheard, err := memberDoors(c.At, c.Door)
	if err != nil {
		return err
	}
	var want version.Desired
	if c.At != "" {
		v, _, err := atDoor{c.At}.view()
		if err != nil {
			return err
		}
		if v.Want != nil {
			want = v.Want.Version
		}
	}
	if len(doors)+len(c.Folder) == 0 {
		return errors.New("whose ledgers? Name a member that gossips by --at, doors by --door, or folders by --folder")
	}
	bar := progressbar.NewOptions(len(doors), progressbar.OptionSetWriter(errs.Writer), progressbar.OptionSetDescription("asking"), progressbar.OptionShowCount(), progressbar.OptionSetPredictTime(true),
		progressbar.OptionClearOnFinish(), progressbar.OptionSetVisibility(!c.Quiet && !c.JSON))
	all := audit.CollectMembers(context.Background(), doors, c.Timeout, func() { bar.Add(1) })
	bar.Finish()
	for _, name := range unheard {
		all = append(all, audit.MemberData{Source: "?", Name: name, Err: "it has not told its door: is ops set there?"})
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
	r := audit.Merge(all, want, q)
	if err := export(c.Parquet, func(w io.Writer) error { return audit.WriteParquet(w, audit.Rows(all)) },
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
		c.tell(out, r)
	}
	return verdictError(r.Worst())
}

// memberDoors are the doors of all members that one of them knows, and those that are named; unheard are members that have told none.
func memberDoors(at string, named []string) (doors, unheard []string, err error) {
	doors = slices.Clone(named)
	if at != "" {
		v, _, err := atDoor{at}.view()
		if err != nil {
			return nil, nil, err
		}
		doors = append(doors, at)
		for _, m := range v.Members {
			switch {
			case m.Name == v.Name:
			case m.AdminAddress == "":
				unheard = append(unheard, m.Name)
			default:
				doors = append(doors, m.AdminAddress)
			}
		}
	}
	slices.Sort(doors)
	return slices.Compact(doors), unheard, nil
}

// export writes a table and a chart, where files are named for them.
func export(parquet string, table func(io.Writer) error, chart string, draw func(io.Writer) error) error {
	if parquet != "" {
		if err := toFile(parquet, table); err != nil {
			return err
		}
	}
	if chart == "" {
		return nil
	}
	return toFile(chart, draw)
}

// toFile writes a file whole or not at all.
func toFile(path string, write func(io.Writer) error) error {
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

func (c *auditCommand) tell(out io.Writer, r *audit.Report) {
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
		c.rollOut(out, &o)
	}
	if len(r.OperatorFiles) > 1 {
		for _, o := range r.OperatorFiles {
			fmt.Fprint(out, "operators ")
			c.rollOut(out, &o)
		}
	}
	if a := r.Calls; a != nil {
		under := "any list"
		if a.BelowIndex > 0 {
			under = fmt.Sprintf("lists before %d", a.BelowIndex)
		}
		fmt.Fprintf(out, "%s under %s: %s calls have arrived, by %d members\n", a.Target, under, count(a.Total.Min, a.Total.Max), len(a.Members))
		for _, by := range a.Members {
			fmt.Fprintf(out, "  %s: %s, the last at %s (clock of this machine), under list %d, operators %.8s, build %s, since %q\n", by.Name, count(by.Arrived.Min, by.Arrived.Max),
				by.LastCorrected.UTC().Format("2006-01-02 15:04:05.000"), by.LastVector.List.Index, by.LastVector.Operators.Digest, by.LastVector.Build, by.Cause)
		}
	}
	for _, text := range r.Caveats {
		fmt.Fprintln(out, "not whole:", text)
	}
}

func count(least, most uint64) string {
	if least == most {
		return fmt.Sprint(least)
	}
	return fmt.Sprintf("%d to %d", least, most)
}

func (c *auditCommand) rollOut(out io.Writer, o *audit.Rollout) {
	fmt.Fprintln(out, o)
	if c.Steps {
		for _, s := range o.Steps {
			fmt.Fprintf(out, "  %10v ±%v  %s (%s, change %d)\n", s.After.Round(time.Microsecond), s.OffsetError.Round(time.Microsecond), s.Name, s.Cause, s.Seq)
		}
	}
}
