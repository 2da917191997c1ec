// Command scaleroute is one forwarder: it accepts messages from clients over
// RESP2 and delivers them by calls to the endpoints of their destinations. It
// reads its configuration from the file that NODE_CONFIG names, keeps its state
// in the folder NODE_STATE, reads the file again on SIGHUP, and shuts down in
// an orderly way on SIGTERM.
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

// exitDiskError is the exit status when the disk that holds the journal has failed: EX_IOERR of sysexits.h. The next start recovers
// what had been written.
const exitDiskError = 74

func main() {
	hup := make(chan os.Signal, 1) // first of all, since SIGHUP ends the process until it is handled
	signal.Notify(hup, syscall.SIGHUP)
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, os.Interrupt)
	stop := make(chan struct{})
	go func() {
		<-term
		close(stop)
	}()
	operators := flag.String("operators", "", "the operators' configuration `file`, as written by scaleroutectl compile; default: none, all settings of operators have their defaults")
	pluginHost := flag.String("plugin-host", "", "the `program` that runs plug-ins; default: scaleroute-plugin-host in the folder of this program")
	gossipHost := flag.String("gossip-host", "", "the `program` that gossips with other forwarders; default: scaleroute-gossip in the folder of this program")
	steps := flag.Bool("log-steps", false, "log each event and decision, for replays that scaleroute-lab fleet counts; slow")
	flag.Parse()
	operatorConfig, err := loadOperators(*operators)
	if err == nil && flag.NArg() > 0 {
		err = fmt.Errorf("unexpected argument %q: see -help", flag.Arg(0))
	}
	var c *config.Config
	if err == nil {
		c, err = config.Load(os.Getenv)
	}
	if err == nil {
		err = run(c, &settings{file: *operators, current: operatorConfig, pluginHostPath: *pluginHost, gossipHostPath: *gossipHost, logSteps: *steps}, stop, hup)
	}
	if err != nil {
		slog.Error("scaleroute", "err", err)
		if errors.Is(err, errDisk) || journal.IsDiskError(err) {
			os.Exit(exitDiskError)
		}
		os.Exit(1)
	}
}
