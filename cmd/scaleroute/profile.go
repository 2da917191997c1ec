//go:build profile

package main

import (
	"log/slog"
	"os"
	"runtime/pprof"
	"time"
)

// For the lab alone, which builds with this tag: a CPU profile of the first
// seconds. The daemon as it is deployed has none of it.
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
