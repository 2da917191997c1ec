package main

import (
	"os"
	"path/filepath"
	"syscall"

	"scaleroute/internal/operator"
	"scaleroute/internal/standin"
)

// operators is a resolved operators' file that the program is given.
type operators struct {
	path   string // the program's own copy
	text   []byte
	limits *operator.Limits

	plugins *plugins // nil if the file was given
	routes  *routes  // the same
	version int
}

// setOperators gives the program a copy of a file.
func (p *program) setOperators(file string) (*operators, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	set, err := operator.Decode(file, text)
	if err != nil {
		return nil, err
	}
	o := &operators{path: filepath.Join(p.dir, "operators.json"), text: text, limits: set.NewLimits()}
	p.command = append(p.command, "-operators", o.path)
	return o, os.WriteFile(o.path, text, 0o600)
}

// of is what is set for a message.
func (o *operators) of(unsafe bool, destination int) standin.Set {
	class := standin.Safe
	if unsafe {
		class = standin.Unsafe
	}
	calls, intake := o.limits.DecisionLimits(class, destination, ""), o.limits.IntakeLimits(class, destination, "")
	return standin.Set{Attempts: calls.MaxAttempts, Answer: calls.AttemptTimeout, Whole: intake.Total, Out: calls.MaxInFlight, Rate: calls.MaxRate}
}

// reload has the program read its file again: cut short, which it must not take, or whole.
func (o *operators) reload(p *program, spoilt bool) error {
	if o.plugins != nil && !spoilt {
		if err := o.render(o.version); err != nil {
			return err
		}
		o.version++
	}
	if o.routes != nil && !spoilt {
		if err := o.next(); err != nil {
			return err
		}
	}
	text := o.text
	if spoilt {
		text = text[:len(text)/2]
	}
	if err := o.put(text); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.killed {
		return nil
	}
	return p.cmd.Process.Signal(syscall.SIGHUP)
}

// put replaces the program's copy.
func (o *operators) put(text []byte) error {
	next := o.path + ".next"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return err
	}
	return os.Rename(next, o.path)
}
