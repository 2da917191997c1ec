package main

import (
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"scaleroute/internal/standin"
)

// report is what a run came to.
type report struct {
	options *options
	rules   standin.Limits
	bound   func(destination int) bool // has plug-ins
	from    time.Time                  // they were set
	*standin.Verdict

	Seconds    float64  `json:"seconds"`
	HandedInS  float64  `json:"handed_in_seconds"`
	CutOff     bool     `json:"cut_off,omitempty"` // -limit was over first
	CPUSeconds float64  `json:"cpu_seconds"`
	CPUMicros  float64  `json:"cpu_us_per_message"`
	PeakMB     float64  `json:"peak_mb"`
	Handshakes int64    `json:"handshakes"`
	Kills      int      `json:"kills"`
	StartMS    int64    `json:"longest_restart_ms"` // from the kill on, until it is ready
	Upgrades   upgrades `json:"upgrades"`

	Left           int      `json:"processes_left,omitempty"` // of plug-ins, when the program had ended
	HostCPUSeconds float64  `json:"plugin_cpu_seconds,omitempty"`
	Plugins        []string `json:"plugins,omitempty"`
	PlainBefore    *times   `json:"plain_before_deliver_ms,omitempty"` // to destinations without plug-ins, before there were any
	Plain          *times   `json:"plain_deliver_ms,omitempty"`        // and after
	BoundMost      float64  `json:"bound_end_ms_max,omitempty"`        // until a message with plug-ins had its end, from when it was handed in

	Answer  times `json:"answer_ms"`
	Deliver times `json:"deliver_ms"`

	Healthy        int     `json:"healthy_handed"` // of the destinations that are never sick
	HealthyDone    int     `json:"healthy_delivered"`
	HealthyDeliver times   `json:"healthy_deliver_ms"`
	Healthy90S     float64 `json:"healthy_90_seconds"` // from the first message on, until so many were delivered
	HealthyAllS    float64 `json:"healthy_all_seconds"`
}

type times struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

func timesOf(t *standin.Times) times {
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	p50, p99, longest := t.Spread()
	return times{ms(p50), ms(p99), ms(longest)}
}

// fill works the report out from the record.
func (r *report) fill(w *standin.World, p *program, cpu time.Duration, sick map[int]bool) {
	r.Verdict = w.Log.Check(r.rules)
	r.CPUSeconds = cpu.Seconds()
	r.CPUMicros = float64(cpu.Microseconds()) / float64(max(1, r.Handed))
	r.PeakMB = float64(p.peakKB) / 1024
	r.Handshakes = w.Handshakes()
	n, longest := w.Log.Restarts()
	r.Kills, r.StartMS = n, longest.Milliseconds()
	r.Answer = timesOf(w.Clients.Answers())
	r.Deliver = timesOf(w.Log.Deliveries(func(*standin.Handed) bool { return true }))
	if r.bound != nil {
		after, before := timesOf(w.Log.Deliveries(func(h *standin.Handed) bool { return !r.bound(h.Destination) && !h.Sent.Before(r.from) })),
			timesOf(w.Log.Deliveries(func(h *standin.Handed) bool { return !r.bound(h.Destination) && h.Sent.Before(r.from) }))
		r.Plain, r.PlainBefore = &after, &before
		r.BoundMost = float64(w.Log.LongestEnd(func(h *standin.Handed) bool { return r.bound(h.Destination) }).Microseconds()) / 1000
	}
	well := func(h *standin.Handed) bool {
		if r.rules.Goals != nil {
			return !slices.ContainsFunc(r.rules.Goals(h), func(d int) bool { return sick[d] })
		}
		return !sick[h.Destination]
	}
	r.HealthyDeliver = timesOf(w.Log.Deliveries(well))
	r.Healthy, r.HealthyDone, r.Healthy90S, r.HealthyAllS = w.Log.Progress(well)
}

// status is a line of progress.
func (r *report) status(w *standin.World, began time.Time) string {
	handed, ended := w.Log.Counts()
	return fmt.Sprintf("%4.1f s: %d handed in, %d over", time.Since(began).Seconds(), handed, ended)
}

func (r *report) print(out io.Writer) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight|tabwriter.TabIndent)
	row := func(name, format string, args ...any) {
		fmt.Fprintf(t, "%s\t  %s\t\n", name, fmt.Sprintf(format, args...))
	}
	o := r.options
	what := "scaleroute"
	if o.Relay {
		what = "a bare relay"
	}
	row("program", "%s, %d destinations of %d endpoints, %.3g sick (%s), %d kills, %d drains", what, o.Destinations, o.Endpoints,
		o.Sick, o.Sickness, o.Kills, o.Drains)
	row("handed in", "%d in %.1f s, all over after %.1f s", r.Handed, r.HandedInS, r.Seconds)
	row("delivered", "%d", r.Delivered)
	row("refused", "%d", r.Refused)
	row("failed", "%d", r.Failed)
	row("late", "%d", r.Late)
	if r.Unfinished > 0 {
		row("unfinished", "%d, whose time was not over when the run ended", r.Unfinished)
	}
	last := fmt.Sprintf("%d not", r.Healthy-r.HealthyDone)
	if r.HealthyDone == r.Healthy {
		last = fmt.Sprintf("the last after %.2f s", r.HealthyAllS)
	}
	row("of those well", "%d of %d delivered; 90%% after %.2f s, %s", r.HealthyDone, r.Healthy, r.Healthy90S, last)
	row("answer", "p50 %.1f ms, p99 %.1f ms, longest %.0f ms; %d without one in time", r.Answer.P50, r.Answer.P99, r.Answer.Max, r.Unheard)
	row("delivery", "p50 %.1f ms, p99 %.1f ms, longest %.0f ms", r.Deliver.P50, r.Deliver.P99, r.Deliver.Max)
	row("CPU", "%.1f us a message", r.CPUMicros)
	row("peak memory", "%.1f MB", r.PeakMB)
	row("calls", "%d over %d connections", r.Calls, r.Handshakes)
	if r.Kills > 0 {
		row("kills", "%d, the longest restart %d ms", r.Kills, r.StartMS)
	}
	if u := &r.Upgrades; o.Upgrades > 0 {
		row("upgrades", "%d without a kill, the next process ready after %.0f ms at most; the old one killed in %d, the new one in %d, of which the old one went on in %d",
			u.Whole, u.ReadyMS, u.OldKilled, u.NewKilled, u.WentOn)
		row("turned back", "%d requests without an answer, the longest answer %.0f ms", r.Unheard+r.Lost, r.Answer.Max)
	}
	if r.Plain != nil {
		row("without plug-ins", "p50 %.1f ms, p99 %.1f ms, longest %.0f ms; before they were set %.1f, %.1f, %.0f", r.Plain.P50, r.Plain.P99, r.Plain.Max,
			r.PlainBefore.P50, r.PlainBefore.P99, r.PlainBefore.Max)
		row("with plug-ins", "the last end after %.0f ms", r.BoundMost)
		row("CPU of plug-ins", "%.1f us a message", r.HostCPUSeconds*1e6/float64(max(1, r.Handed)))
		for _, s := range r.Plugins {
			row("plug-in", "%s", s)
		}
	}
	if o.Reloads > 0 {
		row("reloads", "%d, every other one of a spoilt file", o.Reloads)
	}
	row("rules", "%s", r.verdict())
	t.Flush()
	for _, e := range r.Examples {
		fmt.Fprintln(out, "  "+e)
	}
}

// Broken tells whether a rule was broken, or a process of the program's is left.
func (r *report) Broken() bool { return r.Verdict.Broken() || r.Left > 0 }

func (r *report) verdict() string {
	if r.Left > 0 {
		return fmt.Sprintf("BROKEN: %d processes of plug-ins are left", r.Left)
	}
	if !r.Broken() {
		return "kept: none lost, none twice, no drain or wait broken"
	}
	return fmt.Sprintf("BROKEN: %d lost, %d twice, %d drains, %d waits, %d to a wrong group, %d beyond what is set, %d changed, %d in two versions", r.Lost, r.Twice,
		r.DrainBroken, r.WaitBroken, r.WrongGroup, r.LimitBroken, r.Changed, r.Versions)
}

// progress shows one line that changes, on a terminal only.
type progress struct{ on bool }

func newProgress(quiet bool) *progress {
	info, err := os.Stderr.Stat()
	return &progress{on: !quiet && err == nil && info.Mode()&os.ModeCharDevice != 0}
}

func (p *progress) say(format string, args ...any) {
	if p.on {
		fmt.Fprintf(os.Stderr, "\r\033[K"+format, args...)
	}
}

func (p *progress) end() {
	if p.on {
		fmt.Fprint(os.Stderr, "\r\033[K")
	}
}
