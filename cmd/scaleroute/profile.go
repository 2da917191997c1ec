//go:build profile

package main

import (
	"log/slog"
	"os"
	"runtime/pprof"
	"time"
)

// Writes a CPU profile of the first seconds. Only the load test tool builds
// with this tag; the deployed daemon has no profiling.
func init() {
	path := os.Getenv("SCALEROUTE_CPUPROFILE")
	if path == "" {
		return
	}
	f, err := os.Create(path)
	if err == nil {
		err = pprof.StartCPUProfile(f)
	}
	if err != nil {
		slog.Error("profile", "err", err)
		return
	}
	time.AfterFunc(4*time.Second, func() {
		pprof.StopCPUProfile()
		f.Close()
	})
}
