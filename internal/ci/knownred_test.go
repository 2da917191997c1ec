package ci

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestKnownRedList(t *testing.T) {
	const good = "m/a.TestOne | the clock jumps | issue 7\n"
	for _, c := range []struct {
		name, text string
		entries    int
		faults     []string
	}{
		{"empty", "", 0, nil},
		{"one", good, 1, nil},
		{"no newline at the end", strings.TrimSuffix(good, "\n"), 1, nil},
		{"a subtest and a dotted path", "h.org/m.v2/a.TestOne/x.y#01 | cause | issue 12", 1, nil},
		{"one name in two packages", good + "m/b.TestOne | cause | issue 7", 2, nil},
		{"two fields", "m/a.TestOne | issue 7", 0, []string{"LIST:1: 2 fields, 3 are needed; write PACKAGE.TestName | cause | issue N"}},
		{"a comment", "# nothing\n" + good, 1, []string{"LIST:1: 1 fields"}},
		{"an empty line", good + "\n" + good, 1, []string{"LIST:2: 1 fields", "LIST:3: m/a.TestOne stands in line 1 already; delete"}},
		{"no package", "TestOne | cause | issue 7", 0, []string{`LIST:1: "TestOne" is no test with its package's import path; write`}},
		{"no cause", "m/a.TestOne || issue 7", 0, []string{"LIST:1: no cause"}},
		{"no issue", "m/a.TestOne | cause | 7", 0, []string{`LIST:1: "7" is no issue`}},
		{"four lines", good + "m/a.TestTwo | c | issue 7\nm/a.TestThree | c | issue 7\nm/a.TestFour | c | issue 7\nm/a.TestFive | c | issue 7", 3,
			[]string{"LIST:4: more than 3 lines; fix a listed test and delete its line"}},
		{"far too long", strings.Repeat(good, 1000), 0, []string{"LIST:1: over 16384 bytes; keep to 3"}},
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
