package main

import (
	"cmp"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"scaleroute/internal/journal"
)

// journalCommands read the journal in the folder that a forwarder's NODE_STATE names.
type journalCommands struct {
	Verify verifyCommand `cmd:"" help:"Report damaged records and the messages that they affect."`
	Stat   statCommand   `cmd:"" help:"Count queued messages by destination, class and attempts, with their remaining time."`
	Dump   dumpCommand   `cmd:"" help:"Print each queued message as a line of JSON."`
	Repair repairCommand `cmd:"" help:"Write the queued messages into a new folder."`
}

type journalFolder struct {
	Folder string `arg:"" type:"existingdir" help:"NODE_STATE of a forwarder. Nothing in it is changed. It may be in use: records that are written during the command may then be missing."`
}

type (
	verifyCommand struct {
		journalFolder
		JSON bool `help:"Print one line of JSON."`
	}
	statCommand struct {
		journalFolder
		JSON bool `help:"Print one line of JSON."`
	}
	dumpCommand   struct{ journalFolder }
	repairCommand struct {
		journalFolder
		To string `arg:"" name:"new-folder" help:"A folder that does not exist yet."`
	}
)

// withJournal opens the folder's journal read-only, passes it to do, and closes it.
func (f journalFolder) withJournal(do func(*journal.Journal) error) error {
	j, err := journal.Read(f.Folder)
	if err != nil {
		return err
	}
	defer j.Close()
	return do(j)
}

func (c *verifyCommand) Run(out io.Writer) error {
	return c.withJournal(func(j *journal.Journal) error {
		found, err := verify(j, c.JSON, out)
		if err == nil && found {
			err = errFindings
		}
		return err
	})
}

func (c *statCommand) Run(out io.Writer) error {
	return c.withJournal(func(j *journal.Journal) error { return stat(j, c.JSON, out, time.Now()) })
}

func (c *dumpCommand) Run(out io.Writer) error {
	return c.withJournal(func(j *journal.Journal) error { return dump(j, out) })
}

func (c *repairCommand) Run(out io.Writer) error {
	return c.withJournal(func(j *journal.Journal) error { return repair(j, c.To, out) })
}

func verify(j *journal.Journal, asJSON bool, out io.Writer) (found bool, err error) {
	damage := j.Damage()
	if asJSON {
		if damage == nil {
			damage = []journal.Damage{}
		}
		return len(damage) > 0, json.NewEncoder(out).Encode(map[string]any{"held": len(j.Queued()), "damage": damage})
	}
	for _, d := range damage {
		fmt.Fprintf(out, "%s: at %d, %d bytes: %s\n", d.File, d.Offset, d.Bytes, d.Description)
		for _, id := range d.IDs {
			fmt.Fprintf(out, "\t%s is treated as possibly executed\n", id)
		}
	}
	if len(damage) > 0 {
		fmt.Fprintf(out, "%d places are damaged; %d messages are queued. The forwarder starts with the remaining messages, and logs the same damage.\n", len(damage), len(j.Queued()))
	} else {
		fmt.Fprintf(out, "all records are valid; %d messages are queued\n", len(j.Queued()))
	}
	return len(damage) > 0, nil
}

// messageCounts summarizes one group of messages for stat.
type messageCounts struct {
	Queued      int   `json:"held"`
	Bytes       int64 `json:"bytes"` // of bodies
	MayHaveRun  int   `json:"may_have_run"`
	Completed   int   `json:"ended"` // their completion notice is still to be sent
	Overdue     int   `json:"overdue"`
	Attempts    int   `json:"attempts"`
	LeastLeftMS int64 `json:"least_left_ms"` // until the earliest deadline among them
}

func (c *messageCounts) add(s *journal.MessageState, now time.Time) {
	left := s.Deadline.Sub(now).Milliseconds()
	if c.Queued == 0 || left < c.LeastLeftMS {
		c.LeastLeftMS = left
	}
	c.Queued++
	c.Bytes += int64(s.Body.Len())
	c.Attempts += s.Attempts
	if s.PossiblyRan() {
		c.MayHaveRun++
	}
	if s.Completion != 0 {
		c.Completed++
	}
	if left < 0 {
		c.Overdue++
	}
}

func stat(j *journal.Journal, asJSON bool, out io.Writer, now time.Time) error {
	var all messageCounts
	byClass, byDest, byAttempts := map[string]*messageCounts{}, map[string]*messageCounts{}, map[string]*messageCounts{}
	group := func(m map[string]*messageCounts, key string, s *journal.MessageState) {
		if m[key] == nil {
			m[key] = &messageCounts{}
		}
		m[key].add(s, now)
	}
	for _, s := range j.Queued() {
		all.add(s, now)
		group(byClass, s.Class, s)
		group(byDest, fmt.Sprint(s.Dest), s)
		group(byAttempts, fmt.Sprint(s.Attempts), s)
	}
	if asJSON {
		return json.NewEncoder(out).Encode(map[string]any{"all": all, "class": byClass, "destination": byDest, "attempts": byAttempts, "completed_ids": j.CompletedIDs()})
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "\theld\tbytes\tmay have run\tended\toverdue\tleast time left\t")
	row := func(name string, c *messageCounts) {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%v\t\n", name, c.Queued, c.Bytes, c.MayHaveRun, c.Completed, c.Overdue,
			time.Duration(c.LeastLeftMS)*time.Millisecond)
	}
	row("all", &all)
	for _, part := range []struct {
		name string
		of   map[string]*messageCounts
	}{{"class ", byClass}, {"attempts ", byAttempts}, {"destination ", byDest}} {
		keys := slices.SortedFunc(maps.Keys(part.of), func(a, b string) int {
			return cmp.Or(cmp.Compare(part.of[b].Queued, part.of[a].Queued), cmp.Compare(a, b))
		})
		const maxRows = 20 // the JSON has all of them
		for _, k := range keys[:min(maxRows, len(keys))] {
			row(part.name+k, part.of[k])
		}
		if len(keys) > maxRows {
			fmt.Fprintf(t, "%d more\t\t\t\t\t\t\t\n", len(keys)-maxRows)
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "%d ids of completed messages that must not run again\n", j.CompletedIDs())
	return err
}

func dump(j *journal.Journal, out io.Writer) error {
	enc := json.NewEncoder(out)
	for _, s := range j.Queued() {
		line := map[string]any{"id": s.ID, "class": s.Class, "destination": s.Dest, "deadline": s.Deadline.UTC().Format(time.RFC3339Nano),
			"attempts": s.Attempts, "open": s.InFlight, "may_have_run": s.PossiblyRan()}
		// In a folder that is in use, the body may have moved, or the message completed, since the journal was read. Damage may have destroyed the body too.
		if body, err := s.Body.Load(); err != nil {
			line["body_error"] = err.Error()
		} else {
			line["body"] = base64.StdEncoding.EncodeToString(body)
		}
		if s.Origin != "" {
			line["front"] = s.Origin
		}
		if s.Completion != 0 {
			line["end"] = map[byte]string{'b': "bounced", 'd': "dead"}[s.Completion]
			line["wait_ms"] = s.RetryAfter.Milliseconds()
		}
		if err := enc.Encode(line); err != nil {
			return err
		}
	}
	return nil
}

// repair writes the queued messages into a new folder, in which a forwarder can be started.
func repair(j *journal.Journal, to string, out io.Writer) error {
	if err := os.Mkdir(to, 0o700); errors.Is(err, os.ErrExist) {
		return fmt.Errorf("%s already exists: name a folder that does not, since nothing is repaired in place", to)
	} else if err != nil {
		return err
	}
	n, err := journal.Copy(j, to)
	if err != nil {
		return fmt.Errorf("%w; %s is incomplete, remove it", err, to)
	}
	fmt.Fprintf(out, "%d messages written to %s\n", n, to)
	return nil
}
