// Package ci judges a run of the module's tests: it reads what go test -json writes, and lets the run pass if nothing failed but the tests of a short list.
//
// The list, KNOWN-RED.txt, names tests that fail for a real fault which is not fixed yet. They run as all others do; their failure alone is passed over, and printed.
// It may name scripts as well, which run after the tests.
package ci

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"
)

const (
	maxEntries   = 20
	maxListBytes = 16 << 10

	maxStatedDuration = time.Hour // of a script

	lineFormat = "PACKAGE.TestName or SCRIPT.sh DURATION | command and seed | what was seen | issue N"
	lineFields = 4
)

// TestID names a test of a package; a subtest by its whole path, as in TestName/case.
type TestID struct{ Package, Name string }

// String is the form in which the list has it.
func (t TestID) String() string { return t.Package + "." + t.Name }

// contains tells whether other is the test itself or one of its subtests.
func (t TestID) contains(other TestID) bool {
	return t.Package == other.Package && (t.Name == other.Name || strings.HasPrefix(other.Name, t.Name+"/"))
}

// Entry is a line of the list: a test or a script that is known to fail.
type Entry struct {
	Test    TestID  // the zero value for a script
	Script  *Script // nil for a test
	Command string  // that shows the failure, with its seed
	Seen    string  // what it showed
	Issue   int
	File    string
	Line    int
}

// Name names the test or the script.
func (e Entry) Name() string {
	if e.Script != nil {
		return e.Script.Path
	}
	return e.Test.String()
}

// fault says what is wrong with the entry.
func (e Entry) fault(what, remedy string) *ListError {
	return &ListError{File: e.File, Line: e.Line, What: what, Remedy: remedy}
}

// ListError says what is wrong with the list, where, and what to do about it.
type ListError struct {
	File   string
	Line   int
	What   string
	Remedy string
}

func (e *ListError) Error() string {
	return fmt.Sprintf("%s:%d: %s; %s", e.File, e.Line, e.What, e.Remedy)
}

// ReadKnownRed reads the list from a file; one that is absent is empty. It returns all that is wrong with it.
func ReadKnownRed(file string) ([]Entry, []error) {
	f, err := os.Open(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, []error{err}
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxListBytes+1))
	if err != nil {
		return nil, []error{err}
	}
	return parseKnownRed(file, text)
}

func parseKnownRed(file string, text []byte) (entries []Entry, faults []error) {
	if len(text) > maxListBytes {
		return nil, []error{&ListError{file, 1, fmt.Sprintf("over %d bytes", maxListBytes), fmt.Sprintf("keep to %d short lines", maxEntries)}}
	}
	text = bytes.TrimSuffix(text, []byte("\n"))
	if len(text) == 0 {
		return nil, nil
	}
	firstLine := map[string]int{}
	for i, line := range strings.Split(string(text), "\n") {
		entry, err := parseEntry(line)
		entry.File, entry.Line = file, i+1
		if i >= maxEntries {
			faults = append(faults, entry.fault(fmt.Sprintf("more than %d lines", maxEntries), "fix a listed test and delete its line"))
			break
		}
		if err != nil {
			faults = append(faults, entry.fault(err.Error(), "write "+lineFormat))
			continue
		}
		if first := firstLine[entry.Name()]; first != 0 {
			faults = append(faults, entry.fault(fmt.Sprintf("%s stands in line %d already", entry.Name(), first), "delete one of the two"))
			continue
		}
		firstLine[entry.Name()] = entry.Line
		entries = append(entries, entry)
	}
	return entries, faults
}

var (
	testPattern   = regexp.MustCompile(`^([^\s|]+?)\.((?:Test|Fuzz|Example)[^\s|]*)$`)
	scriptPattern = regexp.MustCompile(`^(\S+\.sh)\s+(\S+)$`)
	issuePattern  = regexp.MustCompile(`^issue ([1-9][0-9]{0,8})$`)
)

func parseEntry(line string) (Entry, error) {
	fields := strings.Split(line, "|")
	if len(fields) != lineFields {
		return Entry{}, fmt.Errorf("%d fields, %d are needed", len(fields), lineFields)
	}
	for i := range fields {
		fields[i] = strings.TrimSpace(fields[i])
	}
	entry, err := parseSubject(fields[0])
	if err != nil {
		return Entry{}, err
	}
	if fields[1] == "" {
		return Entry{}, errors.New("no command")
	}
	if entry.Script != nil && !strings.Contains(fields[1], entry.Script.Path) {
		return Entry{}, fmt.Errorf("the command does not run %s", entry.Script.Path)
	}
	if fields[2] == "" {
		return Entry{}, errors.New("nothing is said of what was seen")
	}
	issue := issuePattern.FindStringSubmatch(fields[3])
	if issue == nil {
		return Entry{}, fmt.Errorf("%q is no issue", fields[3])
	}
	number, err := strconv.Atoi(issue[1])
	if err != nil {
		return Entry{}, err
	}
	entry.Command, entry.Seen, entry.Issue = fields[1], fields[2], number
	return entry, nil
}

// parseSubject reads the first field: a test with its package's import path, or a script with the time that it takes.
func parseSubject(field string) (Entry, error) {
	if script := scriptPattern.FindStringSubmatch(field); script != nil {
		duration, err := time.ParseDuration(script[2])
		if err != nil || duration <= 0 || duration > maxStatedDuration || !filepath.IsLocal(script[1]) {
			return Entry{}, fmt.Errorf("%q is no path below the list's folder with the time that the script takes, as in review/1/run.sh 20s", field)
		}
		return Entry{Script: &Script{filepath.Clean(script[1]), duration}}, nil
	}
	test := testPattern.FindStringSubmatch(field)
	if test == nil {
		return Entry{}, fmt.Errorf("%q is no test with its package's import path, and no script with the time that it takes", field)
	}
	return Entry{Test: TestID{test[1], test[2]}}, nil
}
