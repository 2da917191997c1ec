package main

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	gcTuningMinMB     = 512 // memory limit from which on the forwarder uses more memory to save garbage collections
	heapGrowthDivisor = 8   // the heap may grow by the memory limit divided by this between two collections
	minGCPercent      = 100 // the runtime's default
	maxGCPercent      = 400
	gcTuneInterval    = time.Second
)

// tuneGC lets the heap grow by a fixed number of bytes between two collections, in place of a fraction of the live heap.
func tuneGC(ctx context.Context, bytes int64) {
	live := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	tick := time.NewTicker(gcTuneInterval)
	defer tick.Stop()
	for percent := 0; ; {
		metrics.Read(live)
		wanted := int(min(maxGCPercent, max(minGCPercent, 100*bytes/max(1, int64(live[0].Value.Uint64())))))
		if wanted*10 < percent*9 || wanted*9 > percent*10 { // each change of the setting runs a collection
			percent = wanted
			debug.SetGCPercent(percent)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}
