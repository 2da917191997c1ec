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

// faultsVariable names the environment variable with the path of the fault plan. It is the same as soak.FaultsVariable.
const faultsVariable = "SCALEROUTE_FAULTS"

// Only the soak test builds with this tag. The deployed daemon can't inject faults.
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
