//go:build faults

package main

import (
	"net"
	"os"
	"time"

	"scaleroute/internal/faults"
	"scaleroute/internal/journal"
	"scaleroute/internal/steadyclock"
)

// faultsVariable names the file by which system calls fail; soak.FaultsVariable is the same.
const faultsVariable = "SCALEROUTE_FAULTS"

// For the soak alone, which builds with this tag. The daemon as it is deployed has none of it.
func init() {
	path := os.Getenv(faultsVariable)
	if path == "" {
		return
	}
	plan := faults.NewPlan(path, uint64(os.Getpid()))
	folderFS = func(dir string) journal.FS { return faults.NewDisk(journal.DirFS(dir), plan) }
	steadyclock.WallNow = func() time.Time { return time.Now().Add(plan.ClockStep()) }
	listenClients = func(address string) (net.Listener, error) { return faults.Listen(address, plan) }
	dialControl = plan.DialControl
}
