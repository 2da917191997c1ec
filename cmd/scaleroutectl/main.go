// Command scaleroutectl is the operators' tool: scaleroutectl --help lists its commands.
//
// It exits with 0 if all is well, 1 if something was found, and 2 if it could not do what was asked; fleet status and fleet audit with 3, 4 or 5 where a member is
// silent, has diverged, or is doubled.
package main

import (
	"errors"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/alecthomas/kong"

	"scaleroute/internal/commandline"
	"scaleroute/internal/plugin/host"
)

type commands struct {
	Journal journalCommands `cmd:"" help:"Look into the journal of a forwarder."`
	Check   checkCommand    `cmd:"" help:"Say all that is wrong with an operators' file."`
	Door    doorCommands    `cmd:"" help:"Ask or tell a running forwarder at its door for operators."`
	Fleet   fleetCommands   `cmd:"" help:"Say of a fleet who acts on which version, who called a target, and what is wanted."`
	Explain explainCommand  `cmd:"" help:"Say what holds for a message, and which line says so."`
	Diff    diffCommand     `cmd:"" help:"Say what two versions change in effect; exit 1 if anything."`
	Fmt     fmtCommand      `cmd:"" help:"Lay operators' files out; comments stay."`
	Plugin  pluginCommands  `cmd:"" help:"Check, test and run plug-ins."`
	Compile compileCommand  `cmd:"" help:"Check an operators' file and write the resolved form that the daemon reads."`
}

// errFound tells that a command has carried out what was asked, and found something.
var errFound = errors.New("something was found")

func main() {
	if len(os.Args) == 2 && os.Args[1] == pluginHostCommand {
		os.Exit(host.Main())
	}
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(args []string, out, errs io.Writer) (status int) {
	tool := commandline.Tool{Name: "scaleroutectl", Description: "The operators' tool of scaleroute.", Stdout: out, Stderr: errs, StatusOf: statusOf,
		Options: []kong.Option{kong.UsageOnError(), kong.Bind(stderr{errs})}}
	return tool.Run(&commands{}, doubleDashes(args))
}

// doubleDashes takes -flag for --flag.
func doubleDashes(args []string) []string {
	list := slices.Clone(args)
	for i, a := range args {
		if a == "--" {
			break
		}
		if len(a) > 2 && a[0] == '-' && a[1] != '-' && !strings.Contains(a, "=") {
			list[i] = "-" + a
		}
	}
	return list
}

// statusOf is the exit status of what a command found.
func statusOf(err error) (status int, isFinding bool) {
	var worst found
	if errors.As(err, &worst) {
		return int(worst.exit), true
	}
	return 1, errors.Is(err, errFound)
}

// exit is an exit status.
type exit int

// stderr is where findings go.
type stderr struct{ io.Writer }
