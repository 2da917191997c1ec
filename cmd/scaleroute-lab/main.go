// Command scaleroute-lab starts a stand-in world and the real program in it, hands
// messages in, and reports what came of them and whether a rule was broken.
// Without flags it shows a small world with troubles in under half a minute.
// fleet run plays a scenario with many forwarders, and fleet count counts over a fleet's logs.
//
// It exits with 0 if no rule was broken, 1 if one was, and 2 if it could not run.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"scaleroute/internal/commandline"
)

// options are what a run is asked for.
type options struct {
	Destinations  int           `name:"destinations" default:"40" help:"destinations"`
	Endpoints     int           `name:"endpoints" default:"2" help:"endpoints of each"`
	Hosts         int           `name:"hosts" default:"2000" help:"addresses at most; more endpoints share them"`
	Messages      int           `name:"messages" default:"3000" help:"messages to hand in"`
	Rate          float64       `name:"rate" default:"300" help:"messages a second; 0 for as fast as it goes"`
	Clients       int           `name:"clients" default:"64" help:"connections of clients"`
	Body          int           `name:"body" default:"200" help:"bytes of a body"`
	Left          time.Duration `name:"left" default:"6s" help:"how long a message may be delivered"`
	Limit         time.Duration `name:"limit" default:"1m" help:"the run ends after this time in any case"`
	Slots         int           `name:"slots" default:"64" help:"calls out at once"`
	Held          int           `name:"held" default:"0" help:"messages held at once; 0 for no limit"`
	DiskMB        float64       `name:"disk" default:"500" help:"MB of disk for the journal"`
	Sockets       int           `name:"sockets" default:"8192" help:"descriptors that the program may use"`
	Memory        int           `name:"memory" default:"1024" help:"MB of memory that the program is told of"`
	Latency       time.Duration `name:"latency" default:"10ms" help:"time that an endpoint takes to answer, and up to as much again"`
	Doubled       float64       `name:"doubled" help:"share of answers that an endpoint writes a second time, up to 25 ms behind the first"`
	Sick          float64       `name:"sick" default:"0.2" help:"share of destinations that are sick"`
	Sickness      string        `name:"sickness" default:"mixed" help:"kind of sickness: ${sicknesses}"`
	From          time.Duration `name:"sick-from" default:"0" help:"they are sick from then on"`
	Last          time.Duration `name:"sick-for" default:"0" help:"and for so long; 0 for good"`
	Kills         int           `name:"kills" default:"1" help:"times that the program is killed (SIGKILL) and started again, evenly spread"`
	Drains        int           `name:"drains" default:"4" help:"endpoints that are drained and then deleted, and come back, evenly spread"`
	Upgrades      int           `name:"upgrades" default:"0" help:"times that another process takes over, evenly spread; in half of them one of the two is killed at a random moment"`
	Bans          int           `name:"bans" default:"0" help:"endpoints that an operator leaves out and puts back, evenly spread"`
	Seed          uint64        `name:"seed" default:"1" help:"for random numbers"`
	Program       string        `name:"program" help:"the program; built from the module of the current folder if empty"`
	Operators     string        `name:"operators" help:"a resolved operators' file for the program; what it sets is checked in the record"`
	Reloads       int           `name:"reloads" default:"0" help:"times that the program is told (SIGHUP) to read that file again, every other time spoilt"`
	Plugin        string        `name:"plugin" help:"plug-ins (files, with commas between) for a share of the destinations; bodies are JSON then"`
	PluginShare   float64       `name:"plugin-share" default:"0.2" help:"share of the destinations that have plug-ins"`
	PluginFailure string        `name:"plugin-failure" default:"refuse" help:"what becomes of a message whose plug-in fails: refuse or pass"`
	PluginFrom    time.Duration `name:"plugin-from" default:"0" help:"the plug-ins are set from then on, by a reload; what was before is reported apart"`
	Hostile       int           `name:"hostile" default:"0" help:"generated plug-ins that mean harm, others in each reload"`
	Routes        int           `name:"routes" default:"0" help:"generated routes between the destinations, others in each reload; it is checked where messages go"`
	Relay         bool          `name:"relay" help:"run a bare relay in the place of the program, for a comparison"`
	JSON          bool          `name:"json" help:"report as one line of JSON"`
	Quiet         bool          `name:"quiet" help:"show no progress"`
	Profile       string        `name:"cpuprofile" help:"have the program write a CPU profile of its first 4 seconds to this file"`

	routesWrong bool // for a test: the check knows others
}

type commands struct {
	Run   options `cmd:"" default:"withargs" help:"Run one forwarder in a stand-in world (without a command: this)."`
	Fleet struct {
		Run   fleetRun   `cmd:"" help:"Run a fleet of real processes with faults on the edges between them, as a scenario says."`
		Count fleetCount `cmd:"" help:"Count over the logs (*.log) of forwarders that ran with -log-steps."`
	} `cmd:"" help:"Many forwarders."`
	Soak     soakRun          `cmd:"" help:"Run real forwarders under faults that seeds draw, and judge the rules from the endpoints' records."`
	Scale    scaleCommands    `cmd:"" help:"What control costs as fleet and destinations grow."`
	Capacity capacityCommands `cmd:"" help:"What the operators' plan costs, by figures measured at smaller sizes."`
}

// errBroken tells that a rule was broken.
var errBroken = errors.New("a rule was broken")

func main() {
	if len(os.Args) > 1 && os.Args[1] == relayCommand {
		os.Exit(runRelay())
	}
	os.Exit(command(os.Args[1:], os.Stdout, os.Stderr))
}

// command carries out what the arguments say, and returns the exit status.
func command(args []string, out, errs io.Writer) (status int) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	tool := commandline.Tool{Name: "scaleroute-lab", Description: "Experiments with scaleroute.", Stdout: out, Stderr: errs, StatusOf: statusOf,
		Options: []kong.Option{kong.Vars{"sicknesses": strings.Join(sicknesses(), ", ")}, kong.BindTo(ctx, (*context.Context)(nil))}}
	return tool.Run(&commands{}, doubled(args))
}

// statusOf is the exit status of a broken rule.
func statusOf(err error) (status int, isFinding bool) { return 1, errors.Is(err, errBroken) }

// doubled takes -flag for --flag.
func doubled(args []string) []string {
	list := make([]string, len(args))
	for i, a := range args {
		if list[i] = a; len(a) > 2 && a[0] == '-' && (a[1] >= 'a' && a[1] <= 'z') {
			list[i] = "-" + a
		}
	}
	return list
}

// Run plays one world.
func (o *options) Run(ctx context.Context, out io.Writer) error {
	if err := o.check(); err != nil {
		return err
	}
	if o.Relay { // it knows no destination's troubles, and is not to be killed
		o.Kills, o.Drains, o.Sick = 0, 0, 0
	}
	r, err := run(ctx, o)
	if err != nil {
		return err
	}
	if o.JSON {
		text, err := json.Marshal(r)
		if err != nil {
			return err
		}
		fmt.Fprintln(out, string(text))
	} else {
		r.print(out)
	}
	if r.Broken() {
		return errBroken
	}
	return nil
}

// check says what is wrong with the flags, and what is right.
func (o *options) check() error {
	switch {
	case o.Destinations < 1 || o.Destinations > 100_000:
		return fmt.Errorf("-destinations %d: from 1 to 100000", o.Destinations)
	case o.Endpoints < 1 || o.Endpoints > 16 || o.Destinations*o.Endpoints > 100_000:
		return fmt.Errorf("-endpoints %d: from 1 to 16, and 100000 of all destinations together", o.Endpoints)
	case o.Hosts < o.Endpoints:
		return fmt.Errorf("-hosts %d: at least one for each endpoint of a destination", o.Hosts)
	case o.Messages < 1 || o.Messages > 5_000_000:
		return fmt.Errorf("-messages %d: from 1 to 5000000", o.Messages)
	case o.Rate < 0:
		return fmt.Errorf("-rate %v: 0 or more", o.Rate)
	case o.Clients < 1 || o.Clients > 5000:
		return fmt.Errorf("-clients %d: from 1 to 5000", o.Clients)
	case o.Body < 0 || o.Body > 64<<10:
		return fmt.Errorf("-body %d: from 0 to 65536", o.Body)
	case o.Sick < 0 || o.Sick > 1:
		return fmt.Errorf("-sick %v: a share, from 0 to 1", o.Sick)
	case o.Left <= 0 || o.Limit <= 0 || o.Limit > 2*time.Hour:
		return fmt.Errorf("-left and -limit: above 0, and two hours at most")
	case o.Reloads < 0 || o.Reloads > 10_000 || o.Reloads > 0 && o.Operators == "" && o.Plugin == "" && o.Hostile == 0 && o.Routes == 0:
		return fmt.Errorf("-reloads: from 0 to 10000, and -operators, -plugin, -hostile or -routes says what")
	case (o.Plugin != "" || o.Hostile != 0) && (o.Operators != "" || o.Relay):
		return fmt.Errorf("-plugin and -hostile write an operators' file of their own: leave -operators and -relay out")
	case o.Routes < 0 || o.Routes > 2000 || o.Routes > 0 && (o.Plugin != "" || o.Hostile != 0 || o.Operators != "" || o.Relay):
		return fmt.Errorf("-routes: from 0 to 2000, without -operators, -plugin, -hostile and -relay: it writes an operators' file of its own")
	case o.Hostile < 0 || o.Hostile > 20:
		return fmt.Errorf("-hostile %d: from 0 to 20", o.Hostile)
	case o.PluginShare < 0 || o.PluginShare > 1:
		return fmt.Errorf("-plugin-share %v: a share, from 0 to 1", o.PluginShare)
	case o.PluginFailure != "" && o.PluginFailure != "refuse" && o.PluginFailure != "pass":
		return fmt.Errorf("-plugin-failure %q: refuse or pass", o.PluginFailure)
	case o.Upgrades < 0 || o.Upgrades > 1000 || o.Bans < 0 || o.Bans > 10_000 || o.Upgrades+o.Bans > 0 && (o.Relay || o.Kills > 0):
		return fmt.Errorf("-upgrades and -bans: from 0 to 1000, and to 10000, without -relay, and with -kills 0")
	case o.Kills < 0 || o.Kills > 1000 || o.Drains < 0 || o.Drains > 10_000:
		return fmt.Errorf("-kills and -drains: from 0 to 1000, and to 10000")
	}
	if _, err := sicknessOf(o.Sickness, 0, o); err != nil {
		return err
	}
	return nil
}
