package steplog

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Key identifies a group of counts: one second of one destination.
type Key struct{ Second, Destination int }

// Counts holds the number of lines of each kind: take (a message was accepted), send (its first attempt), again (a retry),
// done, full, connect and the other results of attempts, told (a full with a retry-after time), refuse, fail, close.
type Counts map[string]int

// Columns lists the counts that WriteTable shows, in this order.
var Columns = []string{"take", "send", "again", "done", "full", "told", "connect", "reset", "timedout", "errored", "notsent", "refuse", "fail", "close"}

var keyValue = regexp.MustCompile(`(\w+)=("[^"]*"|\S+)`)

// CountFolder counts the lines of all logs (*.log) of a folder.
func CountFolder(dir string) (map[Key]Counts, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return nil, err
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("%s: no *.log files: replay a day with --logs and run the forwarders with -log-steps", dir)
	}
	all := map[Key]Counts{}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		err = countLines(f, all)
		f.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	return all, nil
}

// countLines adds the lines of one log to counts. It skips lines that are not of a step log, and truncated lines.
func countLines(from io.Reader, counts map[Key]Counts) error {
	second := 0
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		prefix, text, found := strings.Cut(lines.Text(), Mark+" ")
		if at, err := strconv.ParseFloat(strings.TrimSpace(strings.SplitN(prefix, " ", 2)[0]), 64); err == nil && at >= 0 {
			second = int(at)
		}
		if !found {
			continue
		}
		word, rest, _ := strings.Cut(text, " ")
		values := map[string]string{}
		for _, p := range keyValue.FindAllStringSubmatch(rest, -1) {
			values[p[1]] = p[2]
		}
		dest, err := strconv.Atoi(values["dest"])
		if err != nil {
			continue
		}
		c := counts[Key{second, dest}]
		if c == nil {
			c = Counts{}
			counts[Key{second, dest}] = c
		}
		switch word {
		case "send":
			if values["try"] != "0" {
				word = "again"
			}
		case "outcome":
			word = values["result"]
			if values["wait"] != "0" && word == "full" {
				c["told"]++
			}
		}
		c[word]++
	}
	return lines.Err()
}

// WriteTable writes a table of the counts with a row for each destination, or for each second if bySecond is set. If only
// is not negative, it counts just this destination.
func WriteTable(to io.Writer, all map[Key]Counts, bySecond bool, only int) {
	rows := map[int]Counts{}
	for k, c := range all {
		if only >= 0 && k.Destination != only {
			continue
		}
		row := k.Destination
		if bySecond {
			row = k.Second
		}
		if rows[row] == nil {
			rows[row] = Counts{}
		}
		for name, n := range c {
			rows[row][name] += n
		}
	}
	names := make([]int, 0, len(rows))
	for r := range rows {
		names = append(names, r)
	}
	slices.Sort(names)
	fmt.Fprintf(to, "%8s", map[bool]string{true: "second", false: "dest"}[bySecond])
	for _, c := range Columns {
		fmt.Fprintf(to, " %8s", c)
	}
	fmt.Fprintln(to)
	for _, r := range names {
		fmt.Fprintf(to, "%8d", r)
		for _, c := range Columns {
			fmt.Fprintf(to, " %8d", rows[r][c])
		}
		fmt.Fprintln(to)
	}
}
