package ci

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// event is what go test -json writes, one a line.
type event struct {
	Action      string
	Package     string
	Test        string
	Output      string
	FailedBuild string
}

// outcome is the action that ended a test or package; none while it runs.
type outcome string

const (
	unfinished outcome = ""
	passed     outcome = "pass"
	failed     outcome = "fail"
	skipped    outcome = "skip"
)

// Run is what became of each package.
type Run struct {
	packages map[string]*packageRun
	order    []string // of the packages' beginnings
	out      io.Writer
}

// packageRun is what became of one package's tests.
type packageRun struct {
	name        string
	outcome     outcome
	buildFailed bool
	tests       map[string]*testRun
	order       []string // of the tests' beginnings
	lines       []outputLine
	outside     []string // output of no test: before the first, between two, or after the verdict on one
}

type testRun struct {
	outcome  outcome
	reported bool // its verdict was printed: what comes then is not of the test
	spoke    bool // it printed something of its own
}

type outputLine struct{ test, text string }

// Read follows a run to its end. As a package ends, it writes the package's closing line to out, and the whole output of each test that failed.
func Read(events io.Reader, out io.Writer) (*Run, error) {
	run := &Run{packages: map[string]*packageRun{}, out: out}
	lines := bufio.NewReader(events)
	for {
		line, err := lines.ReadBytes('\n')
		if len(line) > 0 {
			run.readLine(line)
		}
		if errors.Is(err, io.EOF) {
			return run, nil
		}
		if err != nil {
			return run, fmt.Errorf("the output of go test: %w", err)
		}
	}
}

func (r *Run) readLine(line []byte) {
	var e event
	if err := json.Unmarshal(line, &e); err != nil || e.Action == "" {
		r.out.Write(line) // not of go test itself
		return
	}
	switch {
	case e.Action == "build-output":
		io.WriteString(r.out, e.Output)
	case e.Package != "":
		r.packageOf(e.Package).note(e)
		if e.Test == "" && isEnd(e.Action) {
			r.packages[e.Package].print(r.out)
		}
	}
}

func (r *Run) packageOf(name string) *packageRun {
	p := r.packages[name]
	if p == nil {
		p = &packageRun{name: name, tests: map[string]*testRun{}}
		r.packages[name] = p
		r.order = append(r.order, name)
	}
	return p
}

func isEnd(action string) bool {
	o := outcome(action)
	return o == passed || o == failed || o == skipped
}

func (p *packageRun) note(e event) {
	if e.Action == "output" {
		p.noteOutput(e)
		return
	}
	if e.Test != "" {
		t := p.testOf(e.Test)
		if isEnd(e.Action) && t.outcome != failed {
			t.outcome = outcome(e.Action)
		}
		return
	}
	if isEnd(e.Action) {
		p.outcome = outcome(e.Action)
		p.buildFailed = e.FailedBuild != ""
	}
}

func (p *packageRun) testOf(name string) *testRun {
	t := p.tests[name]
	if t == nil {
		t = &testRun{}
		p.tests[name] = t
		p.order = append(p.order, name)
	}
	return t
}

func (p *packageRun) noteOutput(e event) {
	p.lines = append(p.lines, outputLine{e.Test, e.Output})
	if e.Test == "" {
		p.outside = append(p.outside, e.Output)
		return
	}
	t := p.testOf(e.Test)
	text := strings.TrimLeft(e.Output, " ")
	switch {
	case t.reported:
		p.outside = append(p.outside, e.Output)
	case strings.HasPrefix(text, "--- ") && strings.Contains(text, ": "+e.Test+" ("):
		t.reported = true
	case !strings.HasPrefix(text, "=== "):
		t.spoke = true
	}
}

// print writes what go test would: the closing line, and of a package that failed all output but that of tests that passed or were skipped.
func (p *packageRun) print(out io.Writer) {
	for i, line := range p.lines {
		isClosing := i == len(p.lines)-1 && line.test == ""
		if isClosing || p.outcome == failed && !p.isDone(line.test) {
			io.WriteString(out, line.text)
		}
	}
	p.lines = nil
}

// isDone tells whether the test's top test has passed or was skipped.
func (p *packageRun) isDone(test string) bool {
	top, _, _ := strings.Cut(test, "/")
	t := p.tests[top]
	return t != nil && (t.outcome == passed || t.outcome == skipped)
}

// hasFailedSubtest tells whether a test failed that is part of the named one.
func (p *packageRun) hasFailedSubtest(name string) bool {
	for other, t := range p.tests {
		if t.outcome == failed && strings.HasPrefix(other, name+"/") {
			return true
		}
	}
	return false
}
