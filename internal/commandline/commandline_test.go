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

// Run prints, and fails as it is told to.
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
	tool := Tool{Name: "tool", Description: "A tool of tests.", Stdout: &o, Stderr: &e, Options: []kong.Option{kong.BindTo(name("me"), (*fmt.Stringer)(nil))},
		StatusOf: func(err error) (int, bool) { return 7, errors.Is(err, errFinding) }}
	status = tool.Run(&commands{}, args)
	return status, o.String(), e.String()
}

func TestRun(t *testing.T) {
	for _, c := range []struct {
		args      string
		status    int
		out, errs string // each contains
	}{
		{"do", 0, "done by me\n", ""},
		{"do --fails=finding", 7, "done by me\n", ""},
		{"do --fails=error", StatusNotDone, "done by me\n", "tool: no disk\n"},
		{"do --other", StatusNotDone, "", "tool: unknown flag --other"},
		{"other", StatusNotDone, "", "tool: unexpected argument other"},
		{"--help", 0, "A tool of tests.", ""},
	} {
		status, out, errs := runTool(strings.Fields(c.args)...)
		if status != c.status || !strings.Contains(out, c.out) || !strings.HasPrefix(errs, c.errs) || (errs == "") != (c.errs == "") {
			t.Errorf("%s: status %d, %q, %q; want %d, %q, %q", c.args, status, out, errs, c.status, c.out, c.errs)
		}
	}
	defer func() {
		if got := recover(); got != "oh" {
			t.Errorf("a command's panic came out as %v", got)
		}
	}()
	runTool("do", "--fails=panic")
}
