package ci

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
)

// events writes a run of package m/a, each event in short: "run TestX", "pass TestX", "TestX: output", ": output of the package", "fail"; "b.TestX" is of m/b.
func events(t *testing.T, lines ...string) string {
	text := ""
	for _, line := range lines {
		e := event{Package: "m/a"}
		if test, output, isOutput := strings.Cut(line, ": "); isOutput {
			e.Action, e.Test, e.Output = "output", test, output+"\n"
		} else {
			e.Action, e.Test, _ = strings.Cut(line, " ")
		}
		if test, inB := strings.CutPrefix(e.Test, "b."); inB {
			e.Package, e.Test = "m/b", test
		}
		one, err := json.Marshal(e)
		if err != nil {
			t.Fatal(err)
		}
		text += string(one) + "\n"
	}
	return text
}

const (
	failedOne  = "TestOne: --- FAIL: TestOne (0.00s)"
	closing    = ": FAIL"
	goesClosed = ": FAIL\tm/a\t0.01s"
)

func TestVerdict(t *testing.T) {
	oneFails := []string{"start", "run TestTwo", "pass TestTwo", "run TestOne", failedOne, "fail TestOne"}
	ends := []string{closing, goesClosed, "fail"}
	passes := []string{"start", "run TestOne", "pass TestOne", ": PASS", ": ok  \tm/a\t0.01s", "pass"}
	subtests := []string{"start", "run TestOne", "run TestOne/a", "run TestOne/b", "fail TestOne/a", "pass TestOne/b", failedOne, "fail TestOne"}
	for _, c := range []struct {
		name   string
		lines  []string
		known  []string
		status int
		counts string
		faults []string // none: the run passes
	}{
		{"all pass", passes, nil, 0, "1 passed, 0 failed", nil},
		{"one fails", slices.Concat(oneFails, ends), nil, 1, "1 passed, 1 failed", []string{"m/a.TestOne failed"}},
		{"the listed one fails", slices.Concat(oneFails, ends), []string{"TestOne"}, 1, "1 passed, 1 failed", nil},
		{"another is listed", slices.Concat(oneFails, ends), []string{"TestTwo"}, 1, "1 passed, 1 failed", []string{"m/a.TestOne failed", "LIST:1: m/a.TestTwo passes; delete the line"}},
		{"the listed one passes", passes, []string{"TestOne"}, 0, "1 passed, 0 failed", []string{"LIST:1: m/a.TestOne passes; delete"}},
		{"the listed one is skipped", slices.Concat([]string{"run TestOne", "skip TestOne"}, passes[3:]), []string{"TestOne"}, 0, "0 passed, 0 failed",
			[]string{"LIST:1: m/a.TestOne was skipped", "no test was run"}},
		{"the listed one is none", slices.Concat(oneFails, ends), []string{"TestOne", "TestNone"}, 1, "1 passed, 1 failed", []string{"LIST:2: m/a.TestNone was not run; write"}},
		{"one of that name in another package", slices.Concat(oneFails, ends, []string{"run b.TestOne", "fail b.TestOne", "b.: FAIL", "b.: FAIL\tm/b\t0.01s", "fail b."}), []string{"TestOne"}, 1,
			"1 passed, 2 failed", []string{"m/b.TestOne failed"}},
		{"a subtest, its test listed", slices.Concat(subtests, ends), []string{"TestOne"}, 1, "0 passed, 1 failed", nil},
		{"a subtest that is listed", slices.Concat(subtests, ends), []string{"TestOne/a"}, 1, "0 passed, 1 failed", nil},
		{"a subtest beside the listed one", slices.Concat(subtests, ends), []string{"TestOne/b"}, 1, "0 passed, 1 failed", []string{"m/a.TestOne/a failed", "LIST:1: m/a.TestOne/b passes"}},
		{"a test beside its listed subtest", slices.Concat(subtests[:6], []string{"TestOne:     a_test.go:3: bad"}, subtests[6:], ends), []string{"TestOne/a"}, 1,
			"0 passed, 1 failed", []string{"m/a.TestOne failed"}},
		{"a name that begins as the listed one", []string{"run TestOne1", "fail TestOne1", closing, goesClosed, "fail"}, []string{"TestOne"}, 1,
			"0 passed, 1 failed", []string{"m/a.TestOne1 failed", "LIST:1: m/a.TestOne was not run"}},
		{"a panic in the listed one", slices.Concat(oneFails[:5], []string{"TestOne: panic: oh", "fail TestOne", goesClosed, "fail"}), []string{"TestOne"}, 1,
			"1 passed, 1 failed", []string{"m/a: outside of a test: panic: oh"}},
		{"an exit with status 1 after the listed one", slices.Concat(oneFails, []string{goesClosed, "fail"}), []string{"TestOne"}, 1,
			"1 passed, 1 failed", []string{"m/a: the test binary did not end in order"}},
		{"a time-out beside the listed one", slices.Concat(oneFails, []string{"run TestSlow", "TestSlow: panic: test timed out after 3s", goesClosed, "fail"}), []string{"TestOne"}, 1,
			"1 passed, 2 failed", []string{"m/a: TestSlow did not end"}},
		{"a race outside of tests", slices.Concat(oneFails, []string{": testing: race detected outside of test execution"}, ends), []string{"TestOne"}, 1,
			"1 passed, 1 failed", []string{"m/a: outside of a test: testing: race detected"}},
		{"a race at exit", slices.Concat(oneFails, []string{closing, ": WARNING: DATA RACE", goesClosed, "fail"}), []string{"TestOne"}, 1,
			"1 passed, 1 failed", []string{"m/a: outside of a test: WARNING: DATA RACE"}},
		{"a race at exit after all passed", slices.Concat(passes[:4], []string{": WARNING: DATA RACE", goesClosed, "fail"}), nil, 1, "1 passed, 1 failed", []string{"m/a: failed without a failing test"}},
		{"the stream breaks off", oneFails, []string{"TestOne"}, -1, "1 passed, 1 failed", []string{"m/a: did not end", "go test ended with status -1"}},
		{"go test fails of itself", passes, nil, 1, "1 passed, 0 failed", []string{"go test ended with status 1, which no test accounts for"}},
		{"no packages", nil, nil, 0, "0 passed, 0 failed", []string{"no test was run"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			run, err := Read(strings.NewReader(events(t, c.lines...)), io.Discard)
			if err != nil {
				t.Fatal(err)
			}
			var known []Entry
			for i, name := range c.known {
				known = append(known, Entry{Test: TestID{"m/a", name}, Command: "command", Seen: "cause", Issue: 7, File: "LIST", Line: i + 1})
			}
			v := Judge(run, known, c.status)
			if len(v.Faults) != len(c.faults) || v.OK() != (len(c.faults) == 0) {
				t.Fatalf("%v, want %v", v.Faults, c.faults)
			}
			for i, want := range c.faults {
				if !strings.HasPrefix(v.Faults[i].Error(), want) {
					t.Errorf("%v, want %s", v.Faults[i], want)
				}
			}
			var out strings.Builder
			v.Print(&out)
			if !strings.HasSuffix(out.String(), "\n"+c.counts+"\n") {
				t.Errorf("%s, want %s", out.String(), c.counts)
			}
			for _, entry := range v.KnownRed {
				if want := fmt.Sprintf("known red, passed over: %s: cause; seen by: command (issue 7)\n", entry.Test); !strings.Contains(out.String(), want) {
					t.Errorf("%s, want %s", out.String(), want)
				}
			}
		})
	}
}

// TestOutput: of a package that failed all but what is of passed tests, of one that passed the closing line, what is not of go test as it is.
func TestOutput(t *testing.T) {
	lines := []string{"run TestTwo", "TestTwo: quiet", "pass TestTwo", "run TestOne", "TestOne: loud", "TestOne/a: a case", "pass TestOne/a", failedOne, "fail TestOne",
		closing, goesClosed, "fail", "b.TestOne: quiet", "pass b.TestOne", "b.: quiet", "b.: ok  \tm/b\t0.01s", "pass b."}
	var out strings.Builder
	if _, err := Read(strings.NewReader("not JSON\n"+events(t, lines...)), &out); err != nil {
		t.Fatal(err)
	}
	const want = "not JSON\nloud\na case\n--- FAIL: TestOne (0.00s)\nFAIL\nFAIL\tm/a\t0.01s\nok  \tm/b\t0.01s\n"
	if out.String() != want {
		t.Errorf("%q, want %q", out.String(), want)
	}
}
