// Package commandline parses and runs a tool's command line with kong and turns the result into an exit status.
package commandline

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// StatusNotDone is the exit status of a tool that could not carry out its command.
const StatusNotDone = 2

// Tool is a command-line program that has subcommands.
type Tool struct {
	Name           string
	Description    string
	Stdout, Stderr io.Writer
	Options        []kong.Option

	// StatusOf returns the exit status of an error that reports a finding of a command that ran to its end, such as a difference
	// between two files. isFinding is false for any other error.
	StatusOf func(error) (status int, isFinding bool)
}

// exitStatus is the value of the panic that replaces kong's call of os.Exit, for instance after --help. Run recovers from it.
type exitStatus int

// Run parses the arguments into commands, a struct with kong's tags, runs the command that they select and returns its exit status.
func (t Tool) Run(commands any, args []string) (status int) {
	defer func() {
		switch e := recover().(type) {
		case nil:
		case exitStatus:
			status = int(e)
		default:
			panic(e)
		}
	}()
	err := t.parseAndRun(commands, args)
	if err == nil {
		return 0
	}
	if status, isFinding := t.StatusOf(err); isFinding {
		return status
	}
	fmt.Fprintf(t.Stderr, "%s: %v\n", t.Name, err)
	return StatusNotDone
}

func (t Tool) parseAndRun(commands any, args []string) error {
	options := append([]kong.Option{kong.Name(t.Name), kong.Description(t.Description), kong.Writers(t.Stdout, t.Stderr),
		kong.Exit(func(status int) { panic(exitStatus(status)) }), kong.BindTo(t.Stdout, (*io.Writer)(nil))}, t.Options...)
	parser, err := kong.New(commands, options...)
	if err != nil {
		return err
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		return err
	}
	return parsed.Run()
}
