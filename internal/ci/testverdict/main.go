// Command testverdict runs the command that it is given, which has go test run, and passes if nothing failed but the tests that a list names. Scripts that
// the list names are run after them.
//
//	go tool testverdict [-known-red FILE] COMMAND [ARGUMENT...]
//
// The command runs as it is, with -json in GOFLAGS: that alone makes the output of go test one that a program can read. Tests inherit it, and so does
// a go command that one of them starts: go build is silent with it as without, go env and go list are not.
// It exits with 0 if the run passed, 1 if it failed, and 2 if it could not be run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"

	"scaleroute/internal/ci"
)

const (
	statusOK = iota
	statusFailed
	statusNotRun
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, errs io.Writer) int {
	flags := flag.NewFlagSet("testverdict", flag.ContinueOnError)
	flags.SetOutput(errs)
	list := flags.String("known-red", "KNOWN-RED.txt", "the `file` of tests and scripts that are known to fail")
	if err := flags.Parse(args); err != nil {
		return statusNotRun
	}
	if flags.NArg() == 0 {
		fmt.Fprintln(errs, "testverdict: no command; give the one that has go test run")
		return statusNotRun
	}
	known, faults := ci.ReadKnownRed(*list)
	for _, fault := range faults {
		fmt.Fprintln(errs, "testverdict:", fault)
	}
	if len(faults) > 0 {
		return statusFailed
	}
	verdict, err := runTests(flags.Args(), known, out, errs)
	if err != nil {
		fmt.Fprintln(errs, "testverdict:", err)
		return statusNotRun
	}
	ci.NewScriptRunner(*list, out).Judge(verdict, known)
	verdict.Print(out)
	if !verdict.OK() {
		return statusFailed
	}
	return statusOK
}

// currentGoFlags is what GOFLAGS is set to, in the environment or else by go env -w.
func currentGoFlags() (string, error) {
	if set := os.Getenv("GOFLAGS"); set != "" { // go env is not asked: a -json in it holds for its output too
		return set, nil
	}
	set, err := exec.Command("go", "env", "GOFLAGS").Output()
	if err != nil {
		return "", fmt.Errorf("go env GOFLAGS: %w", err)
	}
	return strings.TrimSpace(string(set)), nil
}

// runTests runs the command to its end and judges what it wrote.
func runTests(command []string, known []ci.Entry, out, errs io.Writer) (*ci.Verdict, error) {
	goFlags, err := currentGoFlags()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env = append(os.Environ(), "GOFLAGS="+goFlags+" -json")
	cmd.Stderr = errs
	events, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	tests, err := ci.Read(events, out)
	if err != nil {
		cmd.Process.Kill()
		cmd.Wait()
		return nil, err
	}
	var exit *exec.ExitError
	if err := cmd.Wait(); err != nil && !errors.As(err, &exit) {
		return nil, err
	}
	return ci.Judge(tests, known, cmd.ProcessState.ExitCode()), nil
}
