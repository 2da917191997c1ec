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

// Key is what is counted apart: one second of one destination.
type Key struct{ Second, Destination int }

// Counts are counts by what happened: take, send, again (a further try), done, full, told (a wait), connect and the other
// results, refuse, fail, close.
type Counts map[string]int

// Columns are the counts that are shown, in order.
var Columns = []string{"take", "send", "again", "done", "full", "told", "connect", "reset", "timedout", "errored", "notsent", "refuse", "fail", "close"}

var pair = regexp.MustCompile(`(\w+)=("[^"]*"|\S+)`)

// CountFolder counts over all logs (*.log) of a folder.
func CountFolder(dir string) (map[Key]Counts, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return nil, err
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("%s: no *.log there: replay a day with --logs and a run line with -log-steps", dir)
	}
	all := map[Key]Counts{}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		err = count(f, all)
		f.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	return all, nil
}

// count adds the lines of one log. A line that is none of ours, or that was cut off, is passed over.
func count(from io.Reader, all map[Key]Counts) error {
	second := 0
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		before, text, ours := strings.Cut(lines.Text(), Mark+" ")
		if at, err := strconv.ParseFloat(strings.TrimSpace(strings.SplitN(before, " ", 2)[0]), 64); err == nil && at >= 0 {
			second = int(at)
		}
		if !ours {
			continue
		}
		word, rest, _ := strings.Cut(text, " ")
		values := map[string]string{}
		for _, p := range pair.FindAllStringSubmatch(rest, -1) {
			values[p[1]] = p[2]
		}
		dest, err := strconv.Atoi(values["dest"])
		if err != nil {
			continue
		}
		c := all[Key{second, dest}]
		if c == nil {
			c = Counts{}
			all[Key{second, dest}] = c
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

// WriteTable writes the counts by destination, or by second; of one destination only, if it is not negative.
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
