package main

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	roomyMB      = 512 // from here on memory is spent to spare the collector's work
	spentPart    = 8   // of the memory: what the heap may grow by between two collections
	leastPercent = 100 // the runtime's own setting
	mostPercent  = 400
	tuneEvery    = time.Second
)

// spendMemory lets the heap grow by a number of bytes between two collections, and not by a multiple of what is held.
func spendMemory(ctx context.Context, bytes int64) {
	live := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	tick := time.NewTicker(tuneEvery)
	defer tick.Stop()
	for now := 0; ; {
		metrics.Read(live)
		want := int(min(mostPercent, max(leastPercent, 100*bytes/max(1, int64(live[0].Value.Uint64())))))
		if want*10 < now*9 || want*9 > now*10 { // to set it costs a collection
			now = want
			debug.SetGCPercent(now)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}
