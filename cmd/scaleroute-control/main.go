// Command scaleroute-control is a control server: it holds discovery's list whole and serves each forwarder the part that it owns. docs/control-server.md
// is for operators.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"scaleroute/internal/commandline"
	"scaleroute/internal/control"
	"scaleroute/internal/ownership"
)

type flags struct {
	Listen      string        `required:"" help:"host:port to serve at; port 0 takes a free one, which the log names."`
	Upstream    string        `required:"" help:"host:port of discovery."`
	State       string        `required:"" help:"Folder of this server alone, in which it keeps the list and its leases."`
	Name        string        `required:"" help:"Name of this server among its peers."`
	Peers       []string      `help:"host:port of each other control server, with commas between them."`
	Partitions  int           `default:"2097152" help:"Partitions of the destinations: a power of two, the same for the whole fleet."`
	Replicas    int           `default:"3" help:"Owners of each partition, the same for the whole fleet."`
	Lease       time.Duration `default:"30s" help:"A forwarder that has not called for so long is no member any more."`
	Settle      time.Duration `default:"3s" help:"How long members are gathered after a first start before they are published."`
	Publish     time.Duration `default:"1s" help:"Changes of the members within this time are published together."`
	Save        time.Duration `default:"5m" help:"Time between two snapshots of the list in the state folder."`
	MaxRequests int           `default:"16384" help:"Requests at the same time, held ones included; more get 503."`
	Gc          int           `default:"25" help:"Share of the memory in use that may be garbage, in per cent (as GOGC)."`
	LogLevel    string        `default:"info" enum:"debug,info,warn,error" help:"Lines of less weight are not written."`
}

// statusFailed is the exit status of a server that could not serve; a wrong command line has commandline.StatusNotDone.
const statusFailed = 1

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, errs io.Writer) (status int) {
	tool := commandline.Tool{Name: "scaleroute-control", Description: "A control server of scaleroute.", Stdout: out, Stderr: errs, StatusOf: statusOf}
	return tool.Run(&flags{}, args)
}

// errServing marks errors that came after the command line was read.
type errServing struct{ error }

func statusOf(err error) (status int, isFinding bool) {
	var serving errServing
	return statusFailed, errors.As(err, &serving)
}

// Run serves until the process gets SIGTERM.
func (f *flags) Run() error {
	var level slog.Level
	if err := level.UnmarshalText([]byte(f.LogLevel)); err != nil {
		return err
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
	if err := serve(f); err != nil {
		slog.Error("control server has ended", "err", err)
		return errServing{err}
	}
	return nil
}

func serve(f *flags) error {
	debug.SetGCPercent(f.Gc)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	listener, err := net.Listen("tcp", f.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server, err := control.New(control.Options{Name: f.Name, Upstream: f.Upstream, StateDir: f.State, Peers: f.Peers,
		Layout: ownership.Layout{Partitions: f.Partitions, Replicas: f.Replicas}, Lease: f.Lease, Settle: f.Settle,
		PublishEvery: f.Publish, SaveEvery: f.Save, MaxRequests: f.MaxRequests})
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	return server.Run(ctx, listener)
}
