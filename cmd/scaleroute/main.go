// Command scaleroute is one forwarder: it takes messages from clients over
// RESP2 and delivers them by calls to the targets of their destinations. It
// reads its configuration from the file that NODE_CONFIG names, keeps its state
// in the folder NODE_STATE, reads the file again on SIGHUP, and ends in order
// on SIGTERM.
package main

import (
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"scaleroute/internal/config"
	"scaleroute/internal/journal"
)

// exitDisk is the exit status when the disk that the journal is on has failed: EX_IOERR of sysexits.h. What had been
// written is there at the next start.
const exitDisk = 74

func main() {
	hup := make(chan os.Signal, 1) // before all else: unhandled, it ends the process
	signal.Notify(hup, syscall.SIGHUP)
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, os.Interrupt)
	stop := make(chan struct{})
	go func() {
		<-term
		close(stop)
	}()
	operators := flag.String("operators", "", "the resolved operators' `file`, as scaleroutectl compile writes it; none: nothing is set")
	host := flag.String("plugin-host", "", "the `program` that runs plug-ins; none: scaleroute-plugin-host beside this one")
	speaker := flag.String("gossip-host", "", "the `program` that speaks to other forwarders; none: scaleroute-gossip beside this one")
	steps := flag.Bool("log-steps", false, "log each event and decision, to be counted by scaleroute-lab fleet; slow, for a replay")
	flag.Parse()
	set, err := loadOperators(*operators)
	if err == nil && flag.NArg() > 0 {
		err = fmt.Errorf("%q is no flag: see -help", flag.Arg(0))
	}
	var c *config.Config
	if err == nil {
		c, err = config.Load(os.Getenv)
	}
	if err == nil {
		err = run(c, &settings{file: *operators, now: set, host: *host, gossip: *speaker, logSteps: *steps}, stop, hup)
	}
	if err != nil {
		slog.Error("scaleroute", "err", err)
		if errors.Is(err, errDisk) || journal.IsDiskError(err) {
			os.Exit(exitDisk)
		}
		os.Exit(1)
	}
}
