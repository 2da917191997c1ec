package commandline

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
)

var errFinding = errors.New("found")

type commands struct {
	Do doCommand `cmd:""`
}

type doCommand struct {
	Fails string `name:"fails"`
}

// Run prints a line and then fails in the way that the flag selects.
func (c *doCommand) Run(out io.Writer, name fmt.Stringer) error {
	fmt.Fprintln(out, "done by", name)
	switch c.Fails {
	case "finding":
		return fmt.Errorf("wrapped: %w", errFinding)
	case "error":
		return errors.New("no disk")
	case "panic":
		panic("oh")
	}
	return nil
}

type name string

func (n name) String() string { return string(n) }

func runTool(args ...string) (status int, out, errs string) {
	var o, e strings.Builder
	tool := Tool{Name: "tool", Description: "A tool for tests.", Stdout: &o, Stderr: &e, Options: []kong.Option{kong.BindTo(name("me"), (*fmt.Stringer)(nil))},
		StatusOf: func(err error) (int, bool) { return 7, errors.Is(err, errFinding) }}
	status = tool.Run(&commands{}, args)
	return status, o.String(), e.String()
}

func TestRun(t *testing.T) {
	for _, c := range []struct {
		args      string
		status    int
		out, errs string // out is a part of standard output, errs a prefix of standard error
	}{
		{"do", 0, "done by me\n", ""},
		{"do --fails=finding", 7, "done by me\n", ""},
		{"do --fails=error", StatusNotDone, "done by me\n", "tool: no disk\n"},
		{"do --other", StatusNotDone, "", "tool: unknown flag --other"},
		{"other", StatusNotDone, "", "tool: unexpected argument other"},
		{"--help", 0, "A tool for tests.", ""},
	} {
		status, out, errs := runTool(strings.Fields(c.args)...)
		if status != c.status || !strings.Contains(out, c.out) || !strings.HasPrefix(errs, c.errs) || (errs == "") != (c.errs == "") {
			t.Errorf("%s: status %d, stdout %q, stderr %q; want %d, %q, %q", c.args, status, out, errs, c.status, c.out, c.errs)
		}
	}
	defer func() {
		if got := recover(); got != "oh" {
			t.Errorf("the panic of a command was propagated as %v; want \"oh\"", got)
		}
	}()
	runTool("do", "--fails=panic")
}
