// Command scaleroutectl is the operators' tool: scaleroutectl --help lists its commands.
//
// Its exit status is 0 if there are no findings, 1 if there are findings, and 2 if the command could not be carried out. The commands fleet status and fleet audit
// exit with 3, 4 or 5 if a member is silent, has diverged, or shares its name with another running process.
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
	Journal journalCommands `cmd:"" help:"Inspect or repair the journal of a forwarder."`
	Check   checkCommand    `cmd:"" help:"Report all errors and warnings in an operators' file."`
	Door    adminCommands   `cmd:"" help:"Query or control a running forwarder through its admin API."`
	Fleet   fleetCommands   `cmd:"" help:"Show which version each member of a fleet uses and which members called an endpoint, and set the desired version."`
	Explain explainCommand  `cmd:"" help:"Show which settings apply to a message, and the line that sets each."`
	Diff    diffCommand     `cmd:"" help:"Show how the effective settings of two versions differ; exit 1 if they do."`
	Fmt     fmtCommand      `cmd:"" help:"Format operators' files; comments are kept."`
	Plugin  pluginCommands  `cmd:"" help:"Check, test and run plug-ins."`
	Compile compileCommand  `cmd:"" help:"Check an operators' file and write the resolved form that the daemon reads."`
}

// errFindings is returned by a command that was carried out and has findings: exit status 1.
var errFindings = errors.New("the command has findings")

func main() {
	if len(os.Args) == 2 && os.Args[1] == pluginHostCommand {
		os.Exit(host.Main())
	}
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

func run(args []string, out, errs io.Writer) (status int) {
	tool := commandline.Tool{Name: "scaleroutectl", Description: "The operators' tool of scaleroute.", Stdout: out, Stderr: errs, StatusOf: exitStatusOf,
		Options: []kong.Option{kong.UsageOnError(), kong.Bind(stderr{errs})}}
	return tool.Run(&commands{}, normalizeFlags(args))
}

// normalizeFlags returns the arguments with each -flag before "--" written as --flag. Single letters and arguments with "=" stay.
func normalizeFlags(args []string) []string {
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

// exitStatusOf returns the exit status of an error that stands for a command's findings; isFinding is false for any other error.
func exitStatusOf(err error) (status int, isFinding bool) {
	var worst findingError
	if errors.As(err, &worst) {
		return int(worst.exitStatus), true
	}
	return 1, errors.Is(err, errFindings)
}

// exitStatus is the exit status of a command with findings.
type exitStatus int

// stderr is the writer for findings and progress.
type stderr struct{ io.Writer }
