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

// journalCommands look into the folder that NODE_STATE of a forwarder names.
type journalCommands struct {
	Verify verifyCommand `cmd:"" help:"What can't be read, and what it hit."`
	Stat   statCommand   `cmd:"" help:"What is held, by destination, class, age and attempts."`
	Dump   dumpCommand   `cmd:"" help:"What is held, a line of JSON each."`
	Repair repairCommand `cmd:"" help:"Write what is held into a new folder."`
}

type source struct {
	Folder string `arg:"" type:"existingdir" help:"NODE_STATE of a forwarder. Nothing in it is changed, and it may be in use: what is written meanwhile may then be missing."`
}

type (
	verifyCommand struct {
		source
		JSON bool `help:"One line of JSON."`
	}
	statCommand struct {
		source
		JSON bool `help:"One line of JSON."`
	}
	dumpCommand   struct{ source }
	repairCommand struct {
		source
		To string `arg:"" name:"new-folder" help:"A folder that is not there yet."`
	}
)

// read reads the folder's journal for a command.
func (f source) read(do func(*journal.Journal) error) error {
	j, err := journal.Read(f.Folder)
	if err != nil {
		return err
	}
	defer j.Close()
	return do(j)
}

func (c *verifyCommand) Run(out io.Writer) error {
	return c.read(func(j *journal.Journal) error {
		found, err := verify(j, c.JSON, out)
		if err == nil && found {
			err = errFound
		}
		return err
	})
}

func (c *statCommand) Run(out io.Writer) error {
	return c.read(func(j *journal.Journal) error { return stat(j, c.JSON, out, time.Now()) })
}

func (c *dumpCommand) Run(out io.Writer) error {
	return c.read(func(j *journal.Journal) error { return dump(j, out) })
}

func (c *repairCommand) Run(out io.Writer) error {
	return c.read(func(j *journal.Journal) error { return repair(j, c.To, out) })
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
			fmt.Fprintf(out, "\t%s counts as one that may have run\n", id)
		}
	}
	if len(damage) > 0 {
		fmt.Fprintf(out, "%d places are damaged; %d messages are held. The forwarder starts with what is left, and says the same in its log.\n", len(damage), len(j.Queued()))
	} else {
		fmt.Fprintf(out, "all records check; %d messages are held\n", len(j.Queued()))
	}
	return len(damage) > 0, nil
}

// counts is what stat tells of one group of messages.
type counts struct {
	Held       int   `json:"held"`
	Bytes      int64 `json:"bytes"` // of bodies
	MayHaveRun int   `json:"may_have_run"`
	Ended      int   `json:"ended"` // their final answer is still to be told
	Overdue    int   `json:"overdue"`
	Attempts   int   `json:"attempts"`
	OldestMS   int64 `json:"least_left_ms"` // until the first of them must have its end
}

func (c *counts) add(s *journal.MessageState, now time.Time) {
	left := s.Deadline.Sub(now).Milliseconds()
	if c.Held == 0 || left < c.OldestMS {
		c.OldestMS = left
	}
	c.Held++
	c.Bytes += int64(s.Body.Len())
	c.Attempts += s.Attempts
	if s.PossiblyRan() {
		c.MayHaveRun++
	}
	if s.Completion != 0 {
		c.Ended++
	}
	if left < 0 {
		c.Overdue++
	}
}

func stat(j *journal.Journal, asJSON bool, out io.Writer, now time.Time) error {
	var all counts
	byClass, byDest, byTries := map[string]*counts{}, map[string]*counts{}, map[string]*counts{}
	group := func(m map[string]*counts, key string, s *journal.MessageState) {
		if m[key] == nil {
			m[key] = &counts{}
		}
		m[key].add(s, now)
	}
	for _, s := range j.Queued() {
		all.add(s, now)
		group(byClass, s.Class, s)
		group(byDest, fmt.Sprint(s.Dest), s)
		group(byTries, fmt.Sprint(s.Attempts), s)
	}
	if asJSON {
		return json.NewEncoder(out).Encode(map[string]any{"all": all, "class": byClass, "destination": byDest, "attempts": byTries})
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "\theld\tbytes\tmay have run\tended\toverdue\tleast time left\t")
	row := func(name string, c *counts) {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%v\t\n", name, c.Held, c.Bytes, c.MayHaveRun, c.Ended, c.Overdue,
			time.Duration(c.OldestMS)*time.Millisecond)
	}
	row("all", &all)
	for _, part := range []struct {
		name string
		of   map[string]*counts
	}{{"class ", byClass}, {"attempts ", byTries}, {"destination ", byDest}} {
		keys := slices.SortedFunc(maps.Keys(part.of), func(a, b string) int {
			return cmp.Or(cmp.Compare(part.of[b].Held, part.of[a].Held), cmp.Compare(a, b))
		})
		const most = 20 // the whole list is in the JSON
		for _, k := range keys[:min(most, len(keys))] {
			row(part.name+k, part.of[k])
		}
		if len(keys) > most {
			fmt.Fprintf(t, "%d more\t\t\t\t\t\t\t\n", len(keys)-most)
		}
	}
	return t.Flush()
}

func dump(j *journal.Journal, out io.Writer) error {
	enc := json.NewEncoder(out)
	for _, s := range j.Queued() {
		line := map[string]any{"id": s.ID, "class": s.Class, "destination": s.Dest, "deadline": s.Deadline.UTC().Format(time.RFC3339Nano),
			"attempts": s.Attempts, "open": s.InFlight, "may_have_run": s.PossiblyRan()}
		// In a folder that is in use a body may have moved or ended since it was read; damage may have cost it.
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

// repair writes what is held into a new folder, in which a forwarder can be started.
func repair(j *journal.Journal, to string, out io.Writer) error {
	if err := os.Mkdir(to, 0o700); errors.Is(err, os.ErrExist) {
		return fmt.Errorf("%s is there already: name a folder that is not, nothing is repaired in place", to)
	} else if err != nil {
		return err
	}
	n, err := journal.Copy(j, to)
	if err != nil {
		return fmt.Errorf("%w; %s is not complete, remove it", err, to)
	}
	fmt.Fprintf(out, "%d messages written to %s\n", n, to)
	return nil
}
