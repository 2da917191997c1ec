// Package commandline runs a tool's command line as kong describes it, and makes an exit status of what came of it.
package commandline

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// StatusNotDone is the exit status of a tool that could not do what was asked.
const StatusNotDone = 2

// Tool is a program with commands.
type Tool struct {
	Name           string
	Description    string
	Stdout, Stderr io.Writer
	Options        []kong.Option

	// StatusOf is the exit status of an error that says what a command found, having done what was asked; false for any other error.
	StatusOf func(error) (status int, isFinding bool)
}

// exitStatus is panicked with where kong would end the process, as after --help.
type exitStatus int

// Run parses the arguments into commands, a struct with kong's tags, and runs the command that they name. It returns the exit status.
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
