package ci

import (
	"fmt"
	"io"
	"strings"
)

// Verdict is what a run amounts to.
type Verdict struct {
	Passed  int // tests, not counting subtests
	Failed  int // those of the list too, and packages that failed without a failing test
	Skipped int

	KnownRed []Entry // failed, and were passed over
	NotRun   []Entry // scripts that take too long to be run here
	Faults   []error // why the run as a whole failed; none if it passed
}

// OK tells whether the run as a whole passed.
func (v *Verdict) OK() bool { return len(v.Faults) == 0 }

// Judge weighs a run of the tests against the list. ScriptRunner.Judge adds the scripts. exitStatus is that of go test.
func Judge(run *Run, known []Entry, exitStatus int) *Verdict {
	v := &Verdict{}
	hasFailed := false
	for _, name := range run.order {
		p := run.packages[name]
		v.count(p)
		v.judgePackage(p, known)
		hasFailed = hasFailed || p.outcome != passed && p.outcome != skipped
	}
	for _, entry := range known {
		if entry.Script == nil {
			v.judgeEntry(run, entry)
		}
	}
	if v.Passed+v.Failed == 0 {
		v.addFault("no test was run")
	}
	if exitStatus > 1 || exitStatus < 0 || exitStatus == 1 && !hasFailed {
		v.addFault("go test ended with status %d, which no test accounts for", exitStatus)
	}
	return v
}

func (v *Verdict) addFault(format string, args ...any) {
	v.Faults = append(v.Faults, fmt.Errorf(format, args...))
}

func (v *Verdict) count(p *packageRun) {
	failures := 0
	for name, t := range p.tests {
		switch {
		case strings.Contains(name, "/"):
		case t.outcome == passed:
			v.Passed++
		case t.outcome == skipped:
			v.Skipped++
		default:
			failures++
		}
	}
	if failures == 0 && p.outcome != passed && p.outcome != skipped {
		failures = 1
	}
	v.Failed += failures
}

// judgePackage adds a fault for each failed test that is not listed, and for a package that failed otherwise than by a test.
func (v *Verdict) judgePackage(p *packageRun, known []Entry) {
	if p.outcome == passed || p.outcome == skipped {
		return
	}
	for _, name := range p.order {
		if p.tests[name].outcome == failed && p.failedByItself(name) && !isListed(known, TestID{p.name, name}) {
			v.addFault("%s.%s failed", p.name, name)
		}
	}
	if why := p.irregularEnd(); why != "" {
		v.addFault("%s: %s", p.name, why)
	}
}

// failedByItself tells whether a failed test has to be accounted for: not one that printed nothing and whose subtests say why it failed.
func (p *packageRun) failedByItself(name string) bool {
	return p.tests[name].spoke || !p.hasFailedSubtest(name)
}

func isListed(known []Entry, test TestID) bool {
	for _, entry := range known {
		if entry.Test.contains(test) {
			return true
		}
	}
	return false
}

// faultMarkers begin lines by which the runtime and package testing report what is no test's failure.
var faultMarkers = []string{"panic: ", "fatal error: ", "WARNING: DATA RACE", "testing: ", "SIG"}

// irregularEnd says in what way a failed package ended otherwise than by failing tests: nothing if it did not.
func (p *packageRun) irregularEnd() string {
	if p.outcome == unfinished {
		return "did not end"
	}
	if p.buildFailed {
		return "build failed"
	}
	hasFailed := false
	for _, name := range p.order {
		switch p.tests[name].outcome {
		case unfinished:
			return name + " did not end (panic, time-out or exit)"
		case failed:
			hasFailed = true
		}
	}
	if !hasFailed {
		return "failed without a failing test"
	}
	for _, line := range p.outside {
		for _, marker := range faultMarkers {
			if strings.HasPrefix(line, marker) {
				return "outside of a test: " + strings.TrimSpace(line)
			}
		}
	}
	if !p.hasClosingLines() {
		return "the test binary did not end in order (panic, time-out or exit)"
	}
	return ""
}

// hasClosingLines tells whether the last words were package testing's FAIL, and go test's line after it.
func (p *packageRun) hasClosingLines() bool {
	n := len(p.outside)
	return n >= 2 && p.outside[n-2] == "FAIL\n" && strings.HasPrefix(p.outside[n-1], "FAIL\t"+p.name+"\t")
}

func (v *Verdict) judgeEntry(run *Run, entry Entry) {
	var test *testRun
	if p := run.packages[entry.Test.Package]; p != nil {
		test = p.tests[entry.Test.Name]
	}
	switch {
	case test == nil:
		v.Faults = append(v.Faults, entry.fault(fmt.Sprintf("%s was not run", entry.Test), "write the import path and the test as go test -v prints them, or delete the line"))
	case test.outcome == passed:
		v.Faults = append(v.Faults, entry.fault(fmt.Sprintf("%s passes", entry.Test), "delete the line"))
	case test.outcome == skipped:
		v.Faults = append(v.Faults, entry.fault(fmt.Sprintf("%s was skipped", entry.Test), "have it run, or delete the line"))
	case test.outcome == failed:
		v.KnownRed = append(v.KnownRed, entry)
	}
}

// Print writes the closing summary; its last line has the two counts.
func (v *Verdict) Print(out io.Writer) {
	fmt.Fprintln(out)
	for _, entry := range v.KnownRed {
		fmt.Fprintf(out, "known red, passed over: %s: %s; seen by: %s (issue %d)\n", entry.Name(), entry.Seen, entry.Command, entry.Issue)
	}
	for _, entry := range v.NotRun {
		fmt.Fprintf(out, "known red, not run here: %s (%v): %s; seen by: %s (issue %d)\n", entry.Name(), entry.Script.Duration, entry.Seen, entry.Command, entry.Issue)
	}
	for _, fault := range v.Faults {
		fmt.Fprintln(out, "FAIL:", fault)
	}
	if v.Skipped > 0 {
		fmt.Fprintln(out, "skipped:", v.Skipped)
	}
	if v.OK() {
		fmt.Fprintln(out, "ok")
	} else {
		fmt.Fprintln(out, "FAIL")
	}
	fmt.Fprintf(out, "%d passed, %d failed\n", v.Passed, v.Failed)
}
