package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/parquet-go/parquet-go"
	"github.com/schollz/progressbar/v3"

	"scaleroute/internal/audit"
	"scaleroute/internal/door"
	"scaleroute/internal/fleet"
	"scaleroute/internal/operator"
	"scaleroute/internal/standin"
	"scaleroute/internal/straggler"
	"scaleroute/internal/version"
)

// loadClients is how many connections put load on each forwarder.
const loadClients = 4

// fleetRun plays a scenario.
type fleetRun struct {
	File    string `arg:"" type:"existingfile" help:"The scenario (docs/fleet-audit.md)."`
	Program string `help:"The daemon, with scaleroute-gossip beside it; built from the module of the current folder if empty."`
	Off     bool   `help:"Without the scenario's operators' file: nothing of the fleet is on."`
	Seed    uint64 `help:"Another seed than the scenario's."`
	Size    int    `name:"forwarders" help:"Another number of forwarders than the scenario's."`
	Out     string `type:"path" help:"A folder for tables (Parquet) and a chart."`
	Keep    string `type:"path" help:"A folder for the forwarders' own folders and logs; else they go."`
	JSON    bool   `help:"Report as one line of JSON."`
	Quiet   bool   `help:"Show no progress."`
}

// fleetReport is what came of a scenario.
type fleetReport struct {
	Scenario   string           `json:"scenario"`
	Forwarders int              `json:"forwarders"`
	Seconds    float64          `json:"seconds"`
	StartedS   float64          `json:"started_s"` // until all served
	Verdict    *standin.Verdict `json:"verdict"`
	Deliveries spread           `json:"deliveries_ms"`
	CPUms      spread           `json:"cpu_ms"`    // a forwarder
	MemoryMB   spread           `json:"memory_mb"` // a forwarder's peak
	CPUus      float64          `json:"cpu_us_per_message"`
	ListCalls  int              `json:"list_calls"`
	Gossip     float64          `json:"gossip_kb_per_s"` // a forwarder
	Speaker    spread           `json:"speaker_cpu_ms"`  // of the process that speaks for one that runs at the end
	Lists      []audit.Rollout  `json:"lists,omitempty"`
	Files      []audit.Rollout  `json:"operators,omitempty"`
	Verdicts   map[string]int   `json:"verdicts,omitempty"` // at the end
	Spreads    []fleet.Spread   `json:"spreads"`            // over targets that never drained, the first third left out
	Opened     float64          `json:"connections_per_call"`
	Seen       []sighting       `json:"seen,omitempty"` // members that one member saw not current, the first time each
	Events     []string         `json:"events"`
	Crashed    []string         `json:"crashed,omitempty"`
	Audited    int              `json:"audited"`          // answers of the audit that were held against the targets' records
	Differ     []string         `json:"differ,omitempty"` // those that are not what the targets saw
}

// sighting is when somebody was seen not to be current.
type sighting struct {
	Name    string            `json:"name"`
	Verdict straggler.Verdict `json:"verdict"`
	AtS     float64           `json:"at_s"`
}

// spread is of a histogram.
type spread struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
	N   int64   `json:"n"`
}

func spreadOf(h *hdrhistogram.Histogram, unit float64) spread {
	return spread{float64(h.ValueAtQuantile(50)) / unit, float64(h.ValueAtQuantile(99)) / unit, float64(h.Max()) / unit, h.TotalCount()}
}

// Run plays the scenario and reports what came of it.
func (c *fleetRun) Run(ctx context.Context, out io.Writer) error {
	s, err := c.scenario()
	if err != nil {
		return err
	}
	dir := c.Keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "scaleroute-fleet-"); err != nil {
			return err
		}
		defer os.RemoveAll(dir)
	}
	shape, err := c.shape(ctx, s, dir)
	if err != nil {
		return err
	}
	r, err := fleet.New(shape)
	if err != nil {
		return err
	}
	defer r.Close()
	report := &fleetReport{Scenario: c.File, Forwarders: s.Forwarders}
	if err := report.start(ctx, s, r); err != nil {
		return err
	}
	cpu := map[*fleet.Node]time.Duration{}
	for _, n := range r.Nodes {
		cpu[n], _ = n.Used()
	}
	if err := c.play(ctx, s, r, report); err != nil {
		return err
	}
	report.fill(ctx, s, r, cpu, shape.Set != nil)
	return c.publish(report, r, out)
}

// scenario loads the scenario, with the seed and size asked for.
func (c *fleetRun) scenario() (*fleet.Scenario, error) {
	s, err := fleet.LoadScenario(c.File)
	if err != nil {
		return nil, err
	}
	if c.Seed != 0 {
		s.Seed = c.Seed
	}
	if c.Size != 0 {
		s.Forwarders = c.Size
	}
	return s, nil
}

// shape is the fleet of a scenario. The program is built if none is named.
func (c *fleetRun) shape(ctx context.Context, s *fleet.Scenario, dir string) (shape fleet.Shape, err error) {
	program := c.Program
	if program == "" {
		if program, err = build(ctx, dir, ""); err != nil {
			return shape, err
		}
	}
	shape = fleet.Shape{Forwarders: s.Forwarders, Destinations: s.Destinations, Targets: s.Targets, Zones: s.Zones, Left: s.Lifetime, Seed: s.Seed, MustAsk: s.MustAsk,
		Command: []string{program}, Dir: dir}
	if s.Gossip && !c.Off {
		if shape.Mesh, err = fleet.NewMesh(s.Forwarders, s.Seed); err != nil {
			return shape, err
		}
	}
	if s.Operators != "" && !c.Off {
		if shape.Set, err = c.operatorsFile(s, shape.Mesh); err != nil {
			return shape, err
		}
	}
	if c.Keep != "" {
		shape.Told = keepLogs(dir)
	}
	return shape, nil
}

// operatorsFile reads the scenario's operators' file and names a member to join, which only the mesh knows.
func (c *fleetRun) operatorsFile(s *fleet.Scenario, mesh *fleet.Mesh) ([]byte, error) {
	path := filepath.Join(filepath.Dir(c.File), s.Operators)
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: operators: %w", c.File, err)
	}
	set, err := operator.Decode(path, text)
	if err != nil {
		return nil, err
	}
	if mesh == nil || set.Fleet == nil || set.Fleet.Gossip == nil {
		return text, nil
	}
	set.Fleet.Gossip.Join = []string{mesh.Told(0)}
	return json.Marshal(set)
}

// keepLogs returns a function that appends a line to the log file of a forwarder in a folder.
func keepLogs(dir string) func(node, line string) {
	var mu sync.Mutex
	return func(node, line string) {
		mu.Lock()
		defer mu.Unlock()
		f, err := os.OpenFile(filepath.Join(dir, node+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
		if err == nil {
			fmt.Fprintln(f, line)
			f.Close()
		}
	}
}

// start starts the fleet.
func (p *fleetReport) start(ctx context.Context, s *fleet.Scenario, r *fleet.Rig) error {
	for _, e := range r.World.Endpoints {
		e.Set(standin.Script{Latency: s.Takes, Jitter: s.Takes})
	}
	for _, n := range r.Nodes {
		n.SetAway(true)
	}
	began := time.Now()
	if err := r.Start(ctx); err != nil {
		return err
	}
	for _, n := range r.Nodes {
		n.SetAway(false)
	}
	p.StartedS = time.Since(began).Seconds()
	return nil
}

// play plays the scenario under load, and waits until the messages have ended.
func (c *fleetRun) play(ctx context.Context, s *fleet.Scenario, r *fleet.Rig, report *fleetReport) error {
	bar := progressbar.NewOptions(int(s.Length.Seconds()*10), progressbar.OptionSetWriter(os.Stderr), progressbar.OptionSetDescription("playing"), progressbar.OptionSetPredictTime(true),
		progressbar.OptionClearOnFinish(), progressbar.OptionSetVisibility(!c.Quiet && !c.JSON))
	over := make(chan struct{})
	wait := r.Load(s.Rate, loadClients, s.Body, over)
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		report.Seen = watch(ctx, r, over, bar)
	}()
	began := time.Now()
	err := s.Play(ctx, r)
	close(over)
	wait()
	<-watched
	bar.Finish()
	if err != nil {
		return err
	}
	for _, n := range r.Nodes {
		if n.Stopped() {
			n.Continue()
		}
	}
	r.Settle(r.Nodes, s.Lifetime+extraTime)
	report.Seconds = time.Since(began).Seconds()
	for _, window := range []time.Duration{time.Second, 10 * time.Second} {
		report.Spreads = append(report.Spreads, r.Spread(began.Add(s.Length/3), began.Add(s.Length), window))
	}
	return nil
}

// publish writes the report, and returns errBroken if it says that a rule was broken.
func (c *fleetRun) publish(report *fleetReport, r *fleet.Rig, out io.Writer) error {
	if c.Out != "" {
		if err := report.write(c.Out, r); err != nil {
			return err
		}
	}
	if c.JSON {
		text, err := json.Marshal(report)
		if err != nil {
			return err
		}
		fmt.Fprintln(out, string(text))
	} else {
		report.print(out)
	}
	if report.Verdict.Broken() || len(report.Crashed) > 0 || len(report.Differ) > 0 {
		return errBroken
	}
	return nil
}

// fleetView is what a member knows of the others.
type fleetView struct {
	Members []straggler.View `json:"members"`
}

// watch asks one member after the other how it sees the fleet, four times a second.
func watch(ctx context.Context, r *fleet.Rig, over <-chan struct{}, bar *progressbar.ProgressBar) (list []sighting) {
	seen := map[string]straggler.Verdict{}
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return list
		case <-over:
			return list
		case <-time.After(100 * time.Millisecond):
		}
		bar.Add(1)
		if i%3 != 0 || r.Set == nil || r.Mesh == nil {
			continue
		}
		for k := range r.Nodes { // the first that answers
			p := r.Nodes[k].Process()
			if r.Nodes[k].Stopped() || p == nil || p.Door() == "" {
				continue
			}
			text, err := door.NewClient(p.Door()).Call(ctx, "GET", "/fleet")
			var v fleetView
			if err != nil || json.Unmarshal([]byte(text), &v) != nil {
				continue
			}
			for _, m := range v.Members {
				if seen[m.Name] != m.Verdict && !(seen[m.Name] == "" && m.Verdict == straggler.Current) {
					list = append(list, sighting{m.Name, m.Verdict, time.Since(r.Began()).Seconds()})
				}
				seen[m.Name] = m.Verdict
			}
			break
		}
	}
}

func (p *fleetReport) fill(ctx context.Context, s *fleet.Scenario, r *fleet.Rig, before map[*fleet.Node]time.Duration, audited bool) {
	p.Verdict = r.Check(standin.Rules)
	deliveries, cpus, memory := hdrhistogram.New(1, 60_000_000, 3), hdrhistogram.New(1, 3_600_000, 3), hdrhistogram.New(1, 1<<30, 3)
	var used time.Duration
	var doors []string
	for _, n := range r.Nodes {
		n.Log.Deliveries(func(*standin.Handed) bool { return true }).Each(func(d time.Duration) { deliveries.RecordValue(d.Microseconds()) })
		cpu, kb := n.Used()
		used += cpu - before[n]
		cpus.RecordValue((cpu - before[n]).Milliseconds())
		memory.RecordValue(kb)
		p.ListCalls += len(n.Discovery.Calls())
		if pr := n.Process(); pr != nil {
			if pr.Crashed() {
				p.Crashed = append(p.Crashed, n.Name+": "+pr.Tail())
			}
			doors = append(doors, pr.Door())
		}
	}
	if r.Mesh != nil {
		p.Gossip = float64(r.Mesh.Passed()) / 1000 / time.Since(r.Began()).Seconds() / float64(len(r.Nodes))
		helpers := hdrhistogram.New(1, 3_600_000, 3)
		for _, n := range r.Nodes {
			if pr := n.Process(); pr != nil {
				helpers.RecordValue(pr.Helpers().Milliseconds())
			}
		}
		p.Speaker = spreadOf(helpers, 1)
	}
	p.Deliveries, p.CPUms, p.MemoryMB = spreadOf(deliveries, 1000), spreadOf(cpus, 1), spreadOf(memory, 1024)
	p.Opened = float64(r.World.Handshakes()) / float64(max(1, p.Verdict.Calls))
	p.CPUus = float64(used.Microseconds()) / float64(max(1, p.Verdict.Handed))
	for _, e := range r.Events() {
		p.Events = append(p.Events, e.String())
	}
	if !audited {
		return
	}
	all := audit.CollectMembers(ctx, doors, 5*time.Second, nil)
	m := audit.Merge(all, version.Desired{}, nil)
	p.Lists, p.Files, p.Verdicts = m.Lists, m.OperatorFiles, map[string]int{}
	for i := range p.Lists {
		p.Lists[i].Steps = nil
	}
	for i := range p.Files {
		p.Files[i].Steps = nil
	}
	for _, one := range m.Members {
		p.Verdicts[string(one.Verdict)]++
	}
	p.compare(r, all)
}

// compare holds what the ledgers say of each target against what the target saw of each forwarder, where no folder was touched.
func (p *fleetReport) compare(r *fleet.Rig, all []audit.MemberData) {
	for _, g := range all {
		n := r.Node(g.Name)
		if n == nil || n.Touched() || g.Ledger == nil || len(g.Ledger.Caveats()) > 0 {
			continue
		}
		for _, e := range r.World.Endpoints {
			seen, _ := n.Arrived(e.Name, time.Time{}, time.Time{})
			a := audit.Merge([]audit.MemberData{g}, version.Desired{}, &audit.CallQuery{Target: e.Name}).Calls
			p.Audited++
			if a.Total.Min > uint64(seen) || a.Total.Max < uint64(seen) {
				p.Differ = append(p.Differ, fmt.Sprintf("%s has seen %d calls of %s, and the audit says %d to %d", e.Name, seen, g.Name, a.Total.Min, a.Total.Max))
			}
		}
	}
}

// nodeRow is a forwarder in the table.
type nodeRow struct {
	Name      string `parquet:"name"`
	CPUms     int64  `parquet:"cpu_ms"`
	MemoryKB  int64  `parquet:"memory_kb"`
	Handed    int64  `parquet:"handed"`
	Delivered int64  `parquet:"delivered"`
	Refused   int64  `parquet:"refused"`
	Failed    int64  `parquet:"failed"`
	Calls     int64  `parquet:"calls"`
	ListCalls int64  `parquet:"list_calls"`
}

// write writes the tables and the chart.
func (p *fleetReport) write(dir string, r *fleet.Rig) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	var rows []nodeRow
	var doors []string
	for _, n := range r.Nodes {
		cpu, kb := n.Used()
		v := n.Log.Check(standin.Rules)
		rows = append(rows, nodeRow{n.Name, cpu.Milliseconds(), kb, int64(v.Handed), int64(v.Delivered), int64(v.Refused), int64(v.Failed), int64(v.Calls), int64(len(n.Discovery.Calls()))})
		if pr := n.Process(); pr != nil {
			doors = append(doors, pr.Door())
		}
	}
	all := audit.CollectMembers(context.Background(), doors, 5*time.Second, nil)
	put := func(name string, write func(io.Writer) error) error {
		f, err := os.Create(filepath.Join(dir, name))
		if err != nil {
			return err
		}
		return errors.Join(write(f), f.Close())
	}
	return errors.Join(
		put("forwarders.parquet", func(w io.Writer) error { return parquet.Write(w, rows) }),
		put("calls.parquet", func(w io.Writer) error { return audit.WriteParquet(w, audit.Rows(all)) }),
		put("lists.png", func(w io.Writer) error {
			return audit.WriteRolloutChart(w, audit.Merge(all, version.Desired{}, nil), len(r.Nodes))
		}))
}

func (p *fleetReport) print(w io.Writer) {
	v := p.Verdict
	fmt.Fprintf(w, "%s: %d forwarders, all served after %.1f s; %.1f s played\n", p.Scenario, p.Forwarders, p.StartedS, p.Seconds)
	for _, e := range p.Events {
		fmt.Fprintln(w, e)
	}
	fmt.Fprintf(w, "%d messages: %d delivered, %d refused, %d failed, %d late; %d calls, %d list calls\n", v.Handed, v.Delivered, v.Refused, v.Failed, v.Late, v.Calls, p.ListCalls)
	line := func(what string, s spread) {
		fmt.Fprintf(w, "%s: median %.1f, 99%% %.1f, most %.1f\n", what, s.P50, s.P99, s.Max)
	}
	line("delivery in ms", p.Deliveries)
	line("CPU in ms, a forwarder", p.CPUms)
	line("peak memory in MB, a forwarder", p.MemoryMB)
	fmt.Fprintf(w, "CPU a message: %.0f us\n", p.CPUus)
	for _, e := range p.Spreads {
		if e.Windows > 0 {
			fmt.Fprintf(w, "most loaded target, windows of %g s: %.2f times its share, %.2f at most; by chance %.2f; longest without a call %.1f s\n", e.WindowS, e.Multiple, e.Worst, e.Chance, e.IdleS)
		}
	}
	fmt.Fprintf(w, "connections a call, the start included: %.3f\n", p.Opened)
	if p.Gossip > 0 {
		fmt.Fprintf(w, "gossip: %.1f kB/s a forwarder, the start included\n", p.Gossip)
		line("CPU in ms, the process that speaks for a forwarder", p.Speaker)
	}
	for i := range p.Lists {
		fmt.Fprintln(w, p.Lists[i].String())
	}
	for i := range p.Files {
		fmt.Fprintln(w, "operators", p.Files[i].String())
	}
	for _, name := range slices.Sorted(maps.Keys(p.Verdicts)) {
		fmt.Fprintf(w, "at the end %d are %s\n", p.Verdicts[name], name)
	}
	counts := map[straggler.Verdict][]float64{}
	for _, s := range p.Seen {
		counts[s.Verdict] = append(counts[s.Verdict], s.AtS)
	}
	for _, verdict := range slices.Sorted(maps.Keys(counts)) {
		at := counts[verdict]
		fmt.Fprintf(w, "seen to become %s: %d, the first at %.1f s, the last at %.1f s\n", verdict, len(at), at[0], at[len(at)-1])
	}
	for _, text := range p.Crashed {
		fmt.Fprintln(w, "CRASHED", text)
	}
	fmt.Fprintf(w, "%d answers of the audit held against the targets' records, %d differ\n", p.Audited, len(p.Differ))
	for i, text := range p.Differ {
		if i < 10 {
			fmt.Fprintln(w, "DIFFERS", text)
		}
	}
	if v.Broken() {
		fmt.Fprintf(w, "BROKEN: %d lost, %d twice, %d drains, %d waits, %d wrong destination\n", v.Lost, v.Twice, v.DrainBroken, v.WaitBroken, v.WrongGroup)
		for _, text := range v.Examples {
			fmt.Fprintln(w, " ", text)
		}
		return
	}
	fmt.Fprintln(w, "no rule was broken")
}
