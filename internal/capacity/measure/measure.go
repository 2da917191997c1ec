// Package measure runs the built program at several sizes on loopback, and has what it used as the series of package capacity. Processor time is what the system counts for the
// process, not wall time, so that another load on the machine moves it little; delays are wall time, and their notes say the load.
package measure

import (
	"context"
	"fmt"
	"maps"
	"os"
	"runtime"
	"slices"
	"strings"
	"time"

	"scaleroute/internal/capacity"
)

// Lab is where and how it is measured.
type Lab struct {
	Program   string // the daemon, with scaleroute-gossip beside it
	Commit    string // that it was built from
	Tool      string // scaleroutectl
	Operators string // the resolved operators' file of a fleet that gossips
	Folder    string // for what the processes write; it must exist
	Repeats   int    // of each size
	Sizes     []int  // in place of the measurement's own
	Small     bool   // moments and small lists, in place of the measurement's own: a test's
	Progress  func(text string)
}

// result is what one measurement yields: points by the name of their series.
type result map[string][]capacity.Point

func (r result) add(name string, x, y float64, seed uint64) {
	r[name] = append(r[name], capacity.Point{X: x, Y: y, Seed: seed})
}

// measurement is something that can be measured.
type measurement struct {
	about  string
	sizes  []int
	series map[string]capacity.Series // what they say beside their points
	run    func(ctx context.Context, l *Lab, size int, seed uint64, into result) error
}

var measurements = map[string]measurement{
	"list":         listMeasurement,
	"idle":         idleMeasurement,
	"changes":      changesMeasurement,
	"every-entry":  everyEntryMeasurement,
	"queue":        queueMeasurement,
	"members":      membersMeasurement,
	"member-bound": memberBoundMeasurement,
	"decide":       decideMeasurement,
	"ownership":    ownershipMeasurement,
	"catalog":      catalogMeasurement,
	"control":      controlMeasurement,
	"part":         partMeasurement,
	"served":       servedMeasurement,
}

// Names are what can be measured, with a line about each.
func Names() map[string]string {
	names := map[string]string{}
	for name, m := range measurements {
		names[name] = m.about
	}
	return names
}

// Run measures, and has a series for each cost. What is measured again by the same command has the same names.
func (l *Lab) Run(ctx context.Context, name string) ([]*capacity.Series, error) {
	m, known := measurements[name]
	if !known {
		return nil, fmt.Errorf("nothing is called %q: measure one of %s", name, strings.Join(slices.Sorted(maps.Keys(measurements)), ", "))
	}
	sizes := m.sizes
	if len(l.Sizes) > 0 {
		sizes = l.Sizes
	}
	load := machineLoad()
	found := result{}
	for seed := uint64(1); seed <= uint64(max(1, l.Repeats)); seed++ {
		for _, size := range sizes {
			l.Progress(fmt.Sprintf("%s: %d, repeat %d", name, size, seed))
			if err := m.run(ctx, l, size, seed, found); err != nil {
				return nil, fmt.Errorf("%s at %d: %w", name, size, err)
			}
		}
	}
	var list []*capacity.Series
	for _, series := range slices.Sorted(maps.Keys(m.series)) {
		s := m.series[series]
		s.Name, s.Points = series, found[series]
		s.Unit = capacity.UnitOf(s.Resource)
		s.Command = command(name, l)
		s.Commit, s.Machine, s.Date = l.Commit, machine(), time.Now().UTC().Format(time.DateOnly)
		s.Note = strings.TrimSpace(s.Note + " " + fmt.Sprintf("Load of the machine before and after: %s and %s.", load, machineLoad()))
		if err := s.Check(); err != nil {
			return nil, fmt.Errorf("%s: %w", series, err)
		}
		list = append(list, &s)
	}
	return list, nil
}

// window is how long something is counted, or waited for before.
func (l *Lab) window(own time.Duration) time.Duration {
	if l.Small {
		return min(own, smallWindow)
	}
	return own
}

const smallWindow = 300 * time.Millisecond

func command(name string, l *Lab) string {
	text := fmt.Sprintf("scaleroute-lab capacity measure %s --repeats %d", name, max(1, l.Repeats))
	for _, size := range l.Sizes {
		text += fmt.Sprintf(" --size %d", size)
	}
	return text
}

func machine() string {
	return fmt.Sprintf("%d cores, %.0f GB, %s/%s, loopback", runtime.NumCPU(), memoryGB(), runtime.GOOS, runtime.GOARCH)
}

func memoryGB() (gb float64) {
	text, err := os.ReadFile("/proc/meminfo")
	if err == nil {
		var kb float64
		fmt.Sscanf(string(text), "MemTotal: %f kB", &kb)
		gb = kb * 1024 / 1e9
	}
	return gb
}

// machineLoad is the number of processes that ran or waited for a processor in the last minute, in the mean.
func machineLoad() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	load, _, _ := strings.Cut(string(text), " ")
	return load
}
