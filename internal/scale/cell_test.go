package scale

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

// TestRow: what one of a kind costs, by what all of the kind had used before and after each phase.
func TestRow(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds int, cpu time.Duration, bytes, memory int64) reading {
		return reading{at: start.Add(time.Duration(seconds) * time.Second), heap: memory, usage: Usage{Resident: 2 * memory, Peak: 3 * memory, CPU: cpu}, bytes: bytes}
	}
	p := &phases{count: 2, empty: at(0, 0, 0, 1000), started: at(5, 100*time.Millisecond, 5000, 0), calm: at(15, 300*time.Millisecond, 7000, 0),
		busy: at(25, 700*time.Millisecond, 17_000, 5000), settled: at(26, time.Second, 17_000, 4000)}
	got := p.row(&Scenario{Mechanism: WholeList}, Cell{"s", 2, 2, 100, 64, 1}, Simulated)
	want := Row{Mechanism: WholeList, Sweep: "s", Kind: Simulated, Forwarders: 2, Destinations: 100, Seed: 1, Count: 2, HeapBytes: 1500, ResidentBytes: 4000, PeakBytes: 5000,
		StartCPUms: 50, StartBytes: 2500, CalmBytesPerS: 100, CalmCPUPercent: 1, BusyBytesPerS: 500, BusyCPUPercent: 2}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
}

// TestTimes: quantiles of none, one and a thousand times.
func TestTimes(t *testing.T) {
	if got := timesOf(nil); got != (Times{}) {
		t.Errorf("none: %+v", got)
	}
	if got := timesOf([]time.Duration{3 * time.Millisecond}); got != (Times{1, 3, 3, 3}) {
		t.Errorf("one: %+v", got)
	}
	var thousand []time.Duration
	for i := range 1000 {
		thousand = append(thousand, time.Duration(i+1)*time.Millisecond)
	}
	if got := timesOf(mergeSorted([][]time.Duration{thousand[500:], thousand[:500]})); got != (Times{1000, 501, 1000, 1000}) {
		t.Errorf("a thousand: %+v", got)
	}
}

// TestParts: how even parts are, and what moves when one leaves.
func TestParts(t *testing.T) {
	if mean, over := spreadOfParts([]Part{{Destinations: 10}, {Destinations: 20}, {Destinations: 30}}); mean != 20 || over != 1.5 {
		t.Errorf("parts: mean %v, max over mean %v", mean, over)
	}
	if mean, over := spreadOfParts(nil); mean != 0 || over != 0 {
		t.Errorf("no parts: mean %v, max over mean %v", mean, over)
	}
	if moved := movedOverPart(Part{Partitions: 100}, []Part{{Gained: 60}, {Gained: 50}, {}}); moved != 1.1 {
		t.Errorf("moved %v times the part", moved)
	}
}

// TestWrite: results come back as they were written, and the tables name each size once, with the spread over the seeds.
func TestWrite(t *testing.T) {
	var results []*Result
	for seed := range uint64(3) {
		for _, destinations := range []int{100, 300} {
			c := Cell{"sizes", 2, 2, destinations, 64, seed + 1}
			row := Row{Mechanism: WholeList, Sweep: c.Sweep, Kind: Simulated, Forwarders: 2, Destinations: int64(destinations), Seed: int64(c.Seed), Count: 2, HeapBytes: float64(destinations) * 1e4 * float64(seed+1)}
			results = append(results, &Result{Cell: c, Rows: []Row{row}, InForce: Times{2, 1, 2, 3}})
		}
	}
	dir := t.TempDir()
	if err := Write(dir, results); err != nil {
		t.Fatal(err)
	}
	back, err := ReadResults(dir)
	if err != nil || !reflect.DeepEqual(back, results) {
		t.Errorf("read back: %v", err)
	}
	var text strings.Builder
	Print(&text, results)
	for _, want := range []string{"| 2 | 2 | 100 | - | simulated | 3 | 2 (1 to 3) |", "| 2 | 2 | 300 | - | simulated | 3 | 6 (3 to 9) |", "| 1 (1 to 1) | 2 (2 to 2) | 3 (3 to 3) | - |"} {
		if strings.Count(text.String(), want) == 0 {
			t.Errorf("no %q in:\n%s", want, text.String())
		}
	}
}
