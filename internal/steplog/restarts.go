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

// RestartCounts counts the messages that forwarders recovered from their journals at a start, over the logs of a fleet,
// and the outcomes of those without an attempt before the start.
type RestartCounts struct {
	Starts      int // starts that recovered at least one message
	Found       int // recovered messages
	Unattempted int // recovered messages without an earlier attempt; the counts below are of these
	Sent        int // sent
	Refused     int // refused without an attempt
	Failed      int // failed without an attempt
	Withdrawn   int // withdrawn by the client before an attempt
	Pending     int // none of these when the process ended; the next start recovers them again
	Expired     int // those refused or failed whose deadline had passed
}

// recoveredMessage is a recovered message without an attempt that has not been sent, refused, failed or withdrawn yet.
type recoveredMessage struct {
	recoveredAt, timeLeft float64 // seconds
}

// CountRestarts counts the logs (*.log) of a folder and its subfolders, by the name of the folder that a log is in.
func CountRestarts(dir string) (map[string]*RestartCounts, error) {
	all := map[string]*RestartCounts{}
	err := filepath.WalkDir(dir, func(path string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(path) != ".log" {
			return err
		}
		folder := filepath.Base(filepath.Dir(path))
		if all[folder] == nil {
			all[folder] = &RestartCounts{}
		}
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		defer f.Close()
		if err := all[folder].countLines(f); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		return nil
	})
	if err == nil && len(all) == 0 {
		err = fmt.Errorf("%s: no *.log files: replay a day with --logs and run the forwarders with -log-steps", dir)
	}
	return all, err
}

// countLines adds the lines of one log, which holds the successive processes of one forwarder.
func (r *RestartCounts) countLines(from io.Reader) error {
	pending := map[string]recoveredMessage{}
	now, anyRecovered := 0.0, false
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		prefix, text, found := strings.Cut(lines.Text(), Mark+" ")
		if at, err := strconv.ParseFloat(strings.TrimSpace(strings.SplitN(prefix, " ", 2)[0]), 64); err == nil {
			now = at
		}
		if !found {
			continue
		}
		word, rest, _ := strings.Cut(text, " ")
		values := map[string]string{}
		for _, p := range keyValue.FindAllStringSubmatch(rest, -1) {
			values[p[1]] = strings.Trim(p[2], `"`)
		}
		id := values["id"]
		m, isPending := pending[id]
		switch word {
		case "start":
			r.Pending += len(pending)
			clear(pending)
			anyRecovered = false
		case "take":
			if values["recovered"] != "true" {
				continue
			}
			if !anyRecovered {
				anyRecovered = true
				r.Starts++
			}
			if r.Found++; values["attempts"] == "0" {
				r.Unattempted++
				timeLeft, _ := strconv.ParseFloat(values["left"], 64)
				pending[id] = recoveredMessage{now, timeLeft / 1000}
			}
		case "send", "refuse", "fail", "withdrawn":
			if !isPending {
				continue
			}
			delete(pending, id)
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
			if now-m.recoveredAt >= m.timeLeft-0.1 {
				r.Expired++
			}
		}
	}
	r.Pending += len(pending)
	return lines.Err()
}

// WriteRestartTable writes the counts as a table with a row for each folder of logs.
func WriteRestartTable(to io.Writer, all map[string]*RestartCounts) {
	fmt.Fprintf(to, "%-28s %6s %7s %8s %6s %8s %7s %6s %10s %5s\n", "logs", "starts", "found", "untried", "tried", "refused", "failed", "late", "withdrawn", "left")
	for _, folder := range slices.Sorted(maps.Keys(all)) {
		r := all[folder]
		fmt.Fprintf(to, "%-28s %6d %7d %8d %6d %8d %7d %6d %10d %5d\n", folder, r.Starts, r.Found, r.Unattempted, r.Sent, r.Refused, r.Failed, r.Expired, r.Withdrawn, r.Pending)
	}
}
