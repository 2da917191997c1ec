package ci

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// manyEntries is a list of so many good lines.
func manyEntries(count int) string {
	var lines strings.Builder
	for i := range count {
		fmt.Fprintf(&lines, "m/a.Test%d | command | seen | issue 7\n", i)
	}
	return lines.String()
}

func TestKnownRedList(t *testing.T) {
	const good = "m/a.TestOne | go test -run One ./a, seed 4 | the clock jumps | issue 7\n"
	for _, c := range []struct {
		name, text string
		entries    int
		faults     []string
	}{
		{"empty", "", 0, nil},
		{"one", good, 1, nil},
		{"no newline at the end", strings.TrimSuffix(good, "\n"), 1, nil},
		{"a subtest and a dotted path", "h.org/m.v2/a.TestOne/x.y#01 | command | seen | issue 12", 1, nil},
		{"one name in two packages", good + "m/b.TestOne | command | seen | issue 7", 2, nil},
		{"three fields", "m/a.TestOne | seen | issue 7", 0, []string{"LIST:1: 3 fields, 4 are needed; write PACKAGE.TestName or SCRIPT.sh DURATION | command and seed | what was seen | issue N"}},
		{"a comment", "# nothing\n" + good, 1, []string{"LIST:1: 1 fields"}},
		{"an empty line", good + "\n" + good, 1, []string{"LIST:2: 1 fields", "LIST:3: m/a.TestOne stands in line 1 already; delete"}},
		{"no package", "TestOne | command | seen | issue 7", 0, []string{`LIST:1: "TestOne" is no test with its package's import path, and no script with the time that it takes; write`}},
		{"scripts", "review/1/run.sh 20s | review/1/run.sh | seen | issue 7\nreview/./2/run.sh 1m15s | review/build.sh && review/2/run.sh | seen | issue 7", 2, nil},
		{"a script twice", "a/run.sh 20s | a/run.sh | seen | issue 7\na//run.sh 30s | a/run.sh | seen | issue 7", 1, []string{"LIST:2: a/run.sh stands in line 1 already; delete"}},
		{"a script without its time", "a/run.sh | a/run.sh | seen | issue 7", 0, []string{`LIST:1: "a/run.sh" is no test`}},
		{"a script that takes no time", "a/run.sh 0s | a/run.sh | seen | issue 7", 0, []string{`LIST:1: "a/run.sh 0s" is no path below the list's folder with the time`}},
		{"a script that takes hours", "a/run.sh 2h | a/run.sh | seen | issue 7", 0, []string{`LIST:1: "a/run.sh 2h" is no path`}},
		{"a script and another command", "a/run.sh 2s | b/run.sh | seen | issue 7", 0, []string{"LIST:1: the command does not run a/run.sh; write"}},
		{"a script outside", "../a/run.sh 1s | ../a/run.sh | seen | issue 7", 0, []string{`LIST:1: "../a/run.sh 1s" is no path`}},
		{"no command", "m/a.TestOne || seen | issue 7", 0, []string{"LIST:1: no command"}},
		{"nothing seen", "m/a.TestOne | command || issue 7", 0, []string{"LIST:1: nothing is said of what was seen"}},
		{"no issue", "m/a.TestOne | command | seen | 7", 0, []string{`LIST:1: "7" is no issue`}},
		{"a line too many", manyEntries(maxEntries + 1), maxEntries, []string{"LIST:21: more than 20 lines; fix a listed test and delete its line"}},
		{"far too long", strings.Repeat(good, 1000), 0, []string{"LIST:1: over 16384 bytes; keep to 20"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "LIST")
			if err := os.WriteFile(file, []byte(c.text), 0o600); err != nil {
				t.Fatal(err)
			}
			entries, faults := ReadKnownRed(file)
			if len(entries) != c.entries || len(faults) != len(c.faults) {
				t.Fatalf("%v, %v", entries, faults)
			}
			for i, want := range c.faults {
				if got := faults[i].Error(); !strings.HasPrefix(got, filepath.Dir(file)+"/"+want) {
					t.Errorf("%s, want %s", got, want)
				}
			}
		})
	}
	if entries, faults := ReadKnownRed(filepath.Join(t.TempDir(), "absent")); len(entries)+len(faults) > 0 {
		t.Errorf("absent: %v, %v", entries, faults)
	}
}
