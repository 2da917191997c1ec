package scale

import (
	"slices"
	"time"
)

// Kind says whose cost a row is.
type Kind string

// The kinds.
const (
	Simulated     Kind = "simulated" // nodes, each counted as one
	Real          Kind = "real"      // scaleroute
	ControlServer Kind = "control"   // scaleroute-control
)

// Row is what one forwarder, or one control server, of a cell costs.
type Row struct {
	Mechanism    Mechanism `json:"mechanism" parquet:"mechanism,dict"`
	Sweep        string    `json:"sweep" parquet:"sweep,dict"`
	Kind         Kind      `json:"kind" parquet:"kind,dict"`
	Forwarders   int64     `json:"forwarders" parquet:"forwarders"`
	Destinations int64     `json:"destinations" parquet:"destinations"`
	Seed         int64     `json:"seed" parquet:"seed"`
	Count        int64     `json:"count" parquet:"count"` // that the cost is a mean of

	HeapBytes      float64 `json:"heap_bytes" parquet:"heap_bytes"`                     // live heap and stacks above an empty process; simulated nodes only
	ResidentBytes  float64 `json:"resident_bytes" parquet:"resident_bytes"`             // of simulated nodes above an empty process
	PeakBytes      float64 `json:"peak_bytes" parquet:"peak_bytes"`                     // the same at its most
	StartCPUms     float64 `json:"start_cpu_ms" parquet:"start_cpu_ms"`                 // until the first list is in force
	StartBytes     float64 `json:"start_bytes" parquet:"start_bytes"`                   // over its control connections, both ways
	CalmBytesPerS  float64 `json:"calm_bytes_per_s" parquet:"calm_bytes_per_s"`         // nothing changes
	CalmCPUPercent float64 `json:"calm_cpu_percent" parquet:"calm_cpu_percent"`         // of a core
	BusyBytesPerS  float64 `json:"changing_bytes_per_s" parquet:"changing_bytes_per_s"` // at the scenario's rate of changes
	BusyCPUPercent float64 `json:"changing_cpu_percent" parquet:"changing_cpu_percent"`
}

// Times are quantiles of times, in milliseconds.
type Times struct {
	Count  int64   `json:"count" parquet:"count"`
	Median float64 `json:"median_ms" parquet:"median_ms"`
	P999   float64 `json:"p999_ms" parquet:"p999_ms"`
	Max    float64 `json:"max_ms" parquet:"max_ms"`
}

// timesOf takes times in order of size.
func timesOf(sorted []time.Duration) (t Times) {
	if len(sorted) == 0 {
		return t
	}
	at := func(share float64) float64 {
		return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))].Seconds() * 1000
	}
	return Times{Count: int64(len(sorted)), Median: at(0.5), P999: at(0.999), Max: at(1)}
}

// Result is what came of one cell.
type Result struct {
	Cell            Cell    `json:"cell"`
	Rows            []Row   `json:"rows"`
	Ready           Times   `json:"ready"`             // from a node's start until its first list is in force
	RealReady       Times   `json:"real_ready"`        // from the start of a real forwarder, beside the others that run, until it serves
	InForce         Times   `json:"in_force"`          // from one change until it is in force, over the nodes that it concerns
	InForceImpaired Times   `json:"in_force_impaired"` // the same while one control server is dead
	PartsMaxOver    float64 `json:"parts_max_over_mean"`
	PartsMean       float64 `json:"parts_mean"`      // destinations owned by a node
	Moved           float64 `json:"moved_over_part"` // destinations that changed owner when one node left, over its part
}

// reading is what one process, or all of one kind, had used at a moment.
type reading struct {
	at    time.Time
	heap  int64
	usage Usage
	bytes int64
}

// phases are the readings of one kind over a cell.
type phases struct {
	count                               int64
	empty, started, calm, busy, settled reading
}

// row is what one of a kind costs by the readings.
func (p *phases) row(s *Scenario, c Cell, kind Kind) Row {
	each := func(v int64) float64 { return float64(v) / float64(max(1, p.count)) }
	perSecond := func(from, to reading, v int64) float64 {
		return each(v) / max(to.at.Sub(from.at).Seconds(), 1e-3)
	}
	cpuPercent := func(from, to reading) float64 {
		return perSecond(from, to, int64(to.usage.CPU-from.usage.CPU)) / float64(time.Second) * 100
	}
	return Row{
		Mechanism: s.Mechanism, Sweep: c.Sweep, Kind: kind, Forwarders: int64(c.Forwarders), Destinations: int64(c.Destinations), Seed: int64(c.Seed), Count: p.count,
		HeapBytes:      each(p.settled.heap - p.empty.heap),
		ResidentBytes:  each(p.busy.usage.Resident - p.empty.usage.Resident),
		PeakBytes:      each(p.settled.usage.Peak - p.empty.usage.Resident),
		StartCPUms:     each(int64(p.started.usage.CPU-p.empty.usage.CPU)) / float64(time.Millisecond),
		StartBytes:     each(p.started.bytes - p.empty.bytes),
		CalmBytesPerS:  perSecond(p.started, p.calm, p.calm.bytes-p.started.bytes),
		CalmCPUPercent: cpuPercent(p.started, p.calm),
		BusyBytesPerS:  perSecond(p.calm, p.busy, p.busy.bytes-p.calm.bytes),
		BusyCPUPercent: cpuPercent(p.calm, p.busy),
	}
}

// spreadOfParts is the mean number of destinations of a part, and the largest over it.
func spreadOfParts(parts []Part) (mean, maxOverMean float64) {
	sum, largest := 0, 0
	for _, p := range parts {
		sum, largest = sum+p.Destinations, max(largest, p.Destinations)
	}
	if sum == 0 {
		return 0, 0
	}
	mean = float64(sum) / float64(len(parts))
	return mean, float64(largest) / mean
}

// movedOverPart is how many partitions others gained when one left, over those that it owned.
func movedOverPart(left Part, others []Part) float64 {
	gained := 0
	for _, p := range others {
		gained += p.Gained
	}
	return float64(gained) / float64(max(1, left.Partitions))
}

// add adds what one process uses.
func (r *reading) add(u Usage, bytes int64) {
	r.usage.Resident += u.Resident
	r.usage.Peak += u.Peak
	r.usage.CPU += u.CPU
	r.bytes += bytes
}

// mergeSorted joins lists of times into one in order of size.
func mergeSorted(lists [][]time.Duration) []time.Duration {
	all := slices.Concat(lists...)
	slices.Sort(all)
	return all
}
