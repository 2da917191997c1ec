package ci

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Script is a program outside the default run. It exits with 0 if what it checks held, and with 1 if not; any other status means that it could not run.
type Script struct {
	Path     string        // from the folder of the list
	Duration time.Duration // how long one run takes
}

const (
	scriptHeld   = 0
	scriptBroken = 1

	// maxScriptDuration is the duration from which on scripts are not run, only looked for.
	maxScriptDuration = time.Minute
	// passesToLeave is how often a script passes in a row until it has to leave the list. One that fails sometimes stays.
	passesToLeave = 5
	// scriptSlack is how much longer than stated a run may take, beside twice the time, until it is ended.
	scriptSlack = 30 * time.Second
	// scriptsBudget is the time within which the last script is begun.
	scriptsBudget = 10 * time.Minute
	// killDelay is how long the output of a script that was ended is waited for.
	killDelay = 5 * time.Second
	// maxScriptOutput is how much of a script's output is kept: its end.
	maxScriptOutput = 16 << 10
)

// ScriptRunner runs the listed scripts.
type ScriptRunner struct {
	Folder string    // of the list; the commands run in it
	Out    io.Writer // receives the output of scripts that could not run

	slack  time.Duration
	budget time.Duration
}

// NewScriptRunner returns a runner for the scripts of a list.
func NewScriptRunner(list string, out io.Writer) *ScriptRunner {
	return &ScriptRunner{Folder: filepath.Dir(list), Out: out, slack: scriptSlack, budget: scriptsBudget}
}

// Judge runs the listed scripts and adds what became of them to the verdict.
func (r *ScriptRunner) Judge(v *Verdict, known []Entry) {
	began := time.Now()
	for _, entry := range known {
		if entry.Script == nil {
			continue
		}
		if fault := r.check(entry); fault != nil {
			v.Faults = append(v.Faults, fault)
			continue
		}
		if entry.Script.Duration >= maxScriptDuration || time.Since(began) >= r.budget {
			v.NotRun = append(v.NotRun, entry)
			continue
		}
		r.judgeRuns(v, entry)
	}
}

// check says what is wrong with the script's file, nil if nothing is.
func (r *ScriptRunner) check(entry Entry) error {
	info, err := os.Stat(filepath.Join(r.Folder, entry.Script.Path))
	switch {
	case errors.Is(err, os.ErrNotExist):
		return entry.fault(fmt.Sprintf("there is no script %s", entry.Script.Path), "write its path from the root, or delete the line")
	case err != nil:
		return entry.fault(err.Error(), "make the script readable")
	case !info.Mode().IsRegular():
		return entry.fault(fmt.Sprintf("%s is no regular file", entry.Script.Path), "name the script itself")
	case info.Mode().Perm()&0o111 == 0:
		return entry.fault(fmt.Sprintf("%s is not executable", entry.Script.Path), "chmod +x it")
	}
	return nil
}

// judgeRuns runs a script until it fails, or has passed often enough to leave the list.
func (r *ScriptRunner) judgeRuns(v *Verdict, entry Entry) {
	for range passesToLeave {
		status, output, err := r.run(entry)
		switch {
		case err != nil:
			r.Out.Write(output)
			v.Faults = append(v.Faults, entry.fault(fmt.Sprintf("%s: %v", entry.Script.Path, err), "correct the command, or the time that the line states"))
			return
		case status == scriptBroken:
			v.KnownRed = append(v.KnownRed, entry)
			return
		case status != scriptHeld:
			r.Out.Write(output)
			v.Faults = append(v.Faults, entry.fault(fmt.Sprintf("%s could not run: status %d", entry.Script.Path, status), "build what it needs in its command"))
			return
		}
	}
	v.Faults = append(v.Faults, entry.fault(fmt.Sprintf("%s has passed %d times in a row", entry.Script.Path, passesToLeave), "delete the line"))
}

// run runs a script's command once. An error means that it did not end by itself in time.
func (r *ScriptRunner) run(entry Entry) (status int, output []byte, err error) {
	limit := 2*entry.Script.Duration + r.slack
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	cmd := exec.CommandContext(ctx, "sh", "-c", entry.Command)
	cmd.Dir = r.Folder
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	killGroup := func() error { return syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) }
	cmd.Cancel = killGroup
	cmd.WaitDelay = killDelay
	tail := &tailBuffer{limit: maxScriptOutput}
	cmd.Stdout, cmd.Stderr = tail, tail
	err = cmd.Run()
	if cmd.Process != nil {
		killGroup() // what it has left behind; fails if there is nothing
	}
	var exit *exec.ExitError
	switch {
	case ctx.Err() != nil:
		return 0, tail.text, fmt.Errorf("ended after %v, since its line says %v", limit, entry.Script.Duration)
	case errors.As(err, &exit) && exit.ExitCode() >= 0:
		return exit.ExitCode(), tail.text, nil
	case err != nil:
		return 0, tail.text, err
	}
	return scriptHeld, tail.text, nil
}

// tailBuffer keeps the end of what is written to it.
type tailBuffer struct {
	limit int
	text  []byte
}

func (b *tailBuffer) Write(p []byte) (int, error) {
	b.text = append(b.text, p...)
	if excess := len(b.text) - b.limit; excess > 0 {
		b.text = bytes.Clone(b.text[excess:])
	}
	return len(p), nil
}
