package main

import (
	"flag"
	"fmt"
	"os"

	"scaleroute/internal/steplog"
)

const fleetCommand = "fleet"

// runFleet counts over the logs of a fleet's forwarders.
func runFleet(args []string) int {
	set := flag.NewFlagSet(fleetCommand, flag.ContinueOnError)
	seconds := set.Bool("seconds", false, "a row for each second, not for each destination")
	dest := set.Int("dest", -1, "of this destination alone")
	set.Usage = func() {
		fmt.Fprintln(set.Output(), "scaleroute-lab fleet [-seconds] [-dest N] FOLDER\n\ncounts over the logs (*.log) of forwarders that ran with -log-steps")
		set.PrintDefaults()
	}
	if err := set.Parse(args); err != nil {
		return 2
	}
	if set.NArg() != 1 {
		set.Usage()
		return 2
	}
	all, err := steplog.Fleet(set.Arg(0))
	if err != nil {
		fmt.Fprintln(os.Stderr, "scaleroute-lab fleet:", err)
		return 2
	}
	steplog.Table(os.Stdout, all, *seconds, *dest)
	return 0
}
