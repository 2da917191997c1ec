package steplog

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// RestartCounts is what became of the messages that restarts took up from their journals, over the logs of a fleet.
type RestartCounts struct {
	Starts      int // starts that took something up
	Found       int // messages taken up
	Unattempted int // those of them with no call before
	Sent        int // those of these that were sent
	Refused     int // or were refused with no call,
	Failed      int // or failed so,
	Withdrawn   int // or were not wanted any more,
	Pending     int // or had none when the process ended: the next start finds them again
	Expired     int // of those refused or failed: their time was up
}

// found is a message that a start took up untried, until it is sent or ends.
type found struct {
	at, left float64 // seconds
}

// CountRestarts counts over all logs (*.log) of a folder and of those in it.
func CountRestarts(dir string) (map[string]*RestartCounts, error) {
	all := map[string]*RestartCounts{}
	err := filepath.WalkDir(dir, func(path string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(path) != ".log" {
			return err
		}
		day := filepath.Base(filepath.Dir(path))
		if all[day] == nil {
			all[day] = &RestartCounts{}
		}
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		defer f.Close()
		if err := all[day].count(f); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		return nil
	})
	if err == nil && len(all) == 0 {
		err = fmt.Errorf("%s: no *.log there: replay a day with --logs and a run line with -log-steps", dir)
	}
	return all, err
}

// count adds the lines of one log, of one forwarder's processes one after the other.
func (r *RestartCounts) count(from io.Reader) error {
	waiting := map[string]found{}
	now, took := 0.0, false
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		before, text, ours := strings.Cut(lines.Text(), Mark+" ")
		if at, err := strconv.ParseFloat(strings.TrimSpace(strings.SplitN(before, " ", 2)[0]), 64); err == nil {
			now = at
		}
		if !ours {
			continue
		}
		word, rest, _ := strings.Cut(text, " ")
		values := map[string]string{}
		for _, p := range pair.FindAllStringSubmatch(rest, -1) {
			values[p[1]] = strings.Trim(p[2], `"`)
		}
		id := values["id"]
		m, is := waiting[id]
		switch word {
		case "start":
			r.Pending += len(waiting)
			clear(waiting)
			took = false
		case "take":
			if values["recovered"] != "true" {
				continue
			}
			if !took {
				took = true
				r.Starts++
			}
			if r.Found++; values["attempts"] == "0" {
				r.Unattempted++
				left, _ := strconv.ParseFloat(values["left"], 64)
				waiting[id] = found{now, left / 1000}
			}
		case "send", "refuse", "fail", "withdrawn":
			if !is {
				continue
			}
			delete(waiting, id)
			switch word {
			case "send":
				r.Sent++
				continue
			case "refuse":
				r.Refused++
			case "fail":
				r.Failed++
			case "withdrawn":
				r.Withdrawn++
				continue
			}
			if now-m.at >= m.left-0.1 {
				r.Expired++
			}
		}
	}
	r.Pending += len(waiting)
	return lines.Err()
}

// WriteRestartTable writes the counts, a row for each folder of logs.
func WriteRestartTable(to io.Writer, all map[string]*RestartCounts) {
	fmt.Fprintf(to, "%-28s %6s %7s %8s %6s %8s %7s %6s %10s %5s\n", "logs", "starts", "found", "untried", "tried", "refused", "failed", "late", "withdrawn", "left")
	for _, day := range slices.Sorted(maps.Keys(all)) {
		r := all[day]
		fmt.Fprintf(to, "%-28s %6d %7d %8d %6d %8d %7d %6d %10d %5d\n", day, r.Starts, r.Found, r.Unattempted, r.Sent, r.Refused, r.Failed, r.Expired, r.Withdrawn, r.Pending)
	}
}
