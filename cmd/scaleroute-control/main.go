// Command scaleroute-control is a control server: it holds discovery's full endpoint list and serves each forwarder the part that it owns.
// docs/control-server.md is for operators.
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
	Listen      string        `required:"" help:"host:port to listen on; port 0 selects a free port, which is logged."`
	Upstream    string        `required:"" help:"host:port of discovery."`
	State       string        `required:"" help:"Folder for the list and leases of this server; not shared with another server."`
	Name        string        `required:"" help:"Name of this server, unique among its peers."`
	Peers       []string      `help:"host:port of each other control server, separated by commas."`
	Partitions  int           `default:"2097152" help:"Number of partitions of the destinations: a power of two, the same for the whole fleet."`
	Replicas    int           `default:"3" help:"Number of owners of each partition, the same for the whole fleet."`
	Lease       time.Duration `default:"30s" help:"A forwarder that has sent no request for this time is removed from the members."`
	Settle      time.Duration `default:"3s" help:"Time to wait for members to call after a first start before they are published."`
	Publish     time.Duration `default:"1s" help:"Interval at which changes of the members are published."`
	Save        time.Duration `default:"5m" help:"Interval of snapshots of the list in the state folder."`
	MaxRequests int           `default:"16384" help:"Limit of concurrent requests, held ones included; further requests get 503."`
	Gc          int           `default:"25" help:"Garbage collection target in percent of the live heap, as GOGC."`
	LogLevel    string        `default:"info" enum:"debug,info,warn,error" help:"Lowest level of log lines that are written."`
}

// statusFailed is the exit status if the server fails to start or to serve. An invalid command line exits with commandline.StatusNotDone.
const statusFailed = 1

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, errs io.Writer) (status int) {
	tool := commandline.Tool{Name: "scaleroute-control", Description: "A control server of scaleroute.", Stdout: out, Stderr: errs, StatusOf: statusOf}
	return tool.Run(&flags{}, args)
}

// errServing wraps errors that occur after the command line was parsed.
type errServing struct{ error }

func statusOf(err error) (status int, isFinding bool) {
	var serving errServing
	return statusFailed, errors.As(err, &serving)
}

// Run serves until the process receives SIGTERM or SIGINT.
func (f *flags) Run() error {
	var level slog.Level
	if err := level.UnmarshalText([]byte(f.LogLevel)); err != nil {
		return err
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
	if err := serve(f); err != nil {
		slog.Error("control server failed", "err", err)
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
