package journal

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"scaleroute/internal/message"
)

func mustJournal(t *testing.T, dir string, limit int64) *Journal {
	t.Helper()
	j, err := Open(dir, limit)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { j.Close() })
	return j
}

func accept(t *testing.T, j *Journal, id string, body []byte) bool {
	t.Helper()
	ok, err := j.Reserve(len(body))
	if err != nil {
		t.Fatal(err)
	}
	if ok {
		if err := j.Accepted(&Saved{ID: id, Class: "note", Dest: 7, Deadline: time.UnixMilli(1_700_000_000_123), Body: message.Bytes(body)}); err != nil {
			t.Fatal(err)
		}
	}
	return ok
}

func flush(t *testing.T, j *Journal) {
	t.Helper()
	if err := j.Flush(); err != nil {
		t.Fatal(err)
	}
}

// TestJournalReplay takes one message through each state and reads the file
// again, as written and as compacted.
func TestJournalReplay(t *testing.T) {
	dir := t.TempDir()
	j := mustJournal(t, dir, 3e6)
	for _, id := range []string{"new", "open", "notrun", "ran", "twice", "dead", "bounced", "closed"} {
		if !accept(t, j, id, []byte("body \x00 of "+id)) {
			t.Fatal("no room")
		}
	}
	for _, id := range []string{"open", "notrun", "ran", "twice", "dead"} {
		j.Sending(id)
	}
	j.Outcome("notrun", false)
	j.Outcome("ran", true)
	j.Sending("twice") // the first has no outcome: it may have run whatever comes of the second
	j.Outcome("twice", false)
	j.Outcome("dead", true)
	j.Ended("dead", 'd', 0)
	j.Ended("bounced", 'b', 1500*time.Millisecond)
	j.Closed("closed")
	flush(t, j)

	want := []Saved{
		{ID: "new"},
		{ID: "open", Attempts: 1, Open: true},
		{ID: "notrun", Attempts: 1},
		{ID: "ran", Attempts: 1, MayHaveRun: true},
		{ID: "twice", Attempts: 2, MayHaveRun: true},
		{ID: "dead", Attempts: 1, MayHaveRun: true, End: 'd'},
		{ID: "bounced", End: 'b', Wait: 1500 * time.Millisecond},
	}
	verify := func(name string) {
		held := mustJournal(t, dir, 3e6).Held()
		if len(held) != len(want) {
			t.Fatalf("%s: %d messages, want %d", name, len(held), len(want))
		}
		for i, w := range want {
			g := *held[i]
			if g.Class != "note" || g.Dest != 7 || g.Deadline.UnixMilli() != 1_700_000_000_123 ||
				string(g.Body.(message.Bytes)) != "body \x00 of "+w.ID {
				t.Errorf("%s: acceptance of %s: %+v", name, w.ID, g)
			}
			if g.ID != w.ID || g.Attempts != w.Attempts || g.Open != w.Open || g.MayHaveRun != w.MayHaveRun ||
				g.End != w.End || g.Wait != w.Wait {
				t.Errorf("%s: got %+v, want %+v", name, g, w)
			}
		}
	}
	verify("as written")
	if err := j.compact(); err != nil {
		t.Fatal(err)
	}
	verify("compacted")
}

// TestJournalTornTail cuts the file at every byte, as a kill inside a write
// does: what was whole before stays, and what is written after it is read again.
func TestJournalTornTail(t *testing.T) {
	dir := t.TempDir()
	j := mustJournal(t, dir, 3e6)
	accept(t, j, "first", []byte("one"))
	flush(t, j)
	whole := j.size
	accept(t, j, "second", []byte("two"))
	flush(t, j)
	text, err := os.ReadFile(j.path())
	if err != nil {
		t.Fatal(err)
	}
	for cut := whole; cut < int64(len(text)); cut++ {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, fileName), text[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		j, err := Open(dir, 3e6)
		if err != nil {
			t.Fatalf("cut at %d: %v", cut, err)
		}
		if len(j.live) != 1 || j.live["first"] == nil {
			t.Fatalf("cut at %d: %d messages", cut, len(j.live))
		}
		accept(t, j, "third", []byte("three"))
		flush(t, j)
		j.Close()
		if again := mustJournal(t, dir, 3e6); len(again.live) != 2 || again.live["third"] == nil {
			t.Fatalf("cut at %d: what was written after it is not read", cut)
		}
	}
	text[whole+headerSize+4] ^= 1
	if err := os.WriteFile(filepath.Join(dir, fileName), text, 0o600); err != nil {
		t.Fatal(err)
	}
	if again := mustJournal(t, dir, 3e6); len(again.live) != 1 {
		t.Errorf("a record with a wrong checksum was taken")
	}
}

// TestJournalKeepsToDisk fills the folder with the largest bodies and turns
// them over: the files together stay under the limit, also while one replaces
// the other, new work is refused, and room comes back.
func TestJournalKeepsToDisk(t *testing.T) {
	const limit = 1_000_000
	dir := t.TempDir()
	j := mustJournal(t, dir, limit)
	body := bytes.Repeat([]byte{'x'}, MaxBody)
	var held []string
	refused, compactions, most := 0, 0, int64(0)
	for n := range 400 {
		before := j.size
		id := fmt.Sprint("m", n)
		if accept(t, j, id, body) {
			held = append(held, id)
		} else {
			refused++
			for range 3 {
				j.Closed(held[0])
				held = held[1:]
			}
		}
		for range 6 { // all the attempts that a message may have
			if len(held) > 0 {
				j.Sending(held[len(held)-1])
				j.Outcome(held[len(held)-1], false)
			}
		}
		flush(t, j)
		if j.size < before {
			compactions++
			most = max(most, before+j.size) // the old file and the new one, side by side
		}
		most = max(most, j.size)
	}
	if most > limit {
		t.Errorf("%d bytes on disk, limit %d", most, limit)
	}
	if refused == 0 || compactions == 0 {
		t.Errorf("%d refused, %d compactions: the limit was not reached", refused, compactions)
	}
	if again := mustJournal(t, dir, limit); len(again.live) != len(held) {
		t.Errorf("%d messages read again, %d held", len(again.live), len(held))
	}
}

func copyFile(t *testing.T, from, to string) {
	t.Helper()
	text, err := os.ReadFile(from)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(to, text, 0o600); err != nil {
		t.Fatal(err)
	}
}
