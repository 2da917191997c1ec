package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"scaleroute/internal/journal"
	"scaleroute/internal/message"
)

// readyWithin is how long nine in ten restarted processes may take until they are used.
const readyWithin = 10 * time.Second

// TestReadyWhateverIsHeld: the journal is full, to the last message that it has room for, of each kind of message that a restart can find, and is damaged besides. Nine in
// ten processes that are started on them, two on each, and killed once they are ready, answer PING within 10 s.
func TestReadyWhateverIsHeld(t *testing.T) {
	const restarts, allowedLate = 2, 1
	late := 0
	for name, c := range map[string]struct {
		diskMB  float64
		body    int
		damaged bool
		mark    func(j *journal.Journal, s *journal.MessageState)
	}{
		"untried, small":       {12, 10, false, func(*journal.Journal, *journal.MessageState) {}},
		"untried, large":       {12, 60 << 10, false, func(*journal.Journal, *journal.MessageState) {}},
		"calls that were out":  {12, 200, false, func(j *journal.Journal, s *journal.MessageState) { j.RecordSending(s.ID) }},
		"notices that are due": {12, 200, false, func(j *journal.Journal, s *journal.MessageState) { j.RecordCompletion(s.ID, 'd', 0) }},
		"damaged":              {12, 200, true, func(*journal.Journal, *journal.MessageState) {}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, func(rw http.ResponseWriter, _ string) {
				rw.Header().Set("X-RateLimit-Wait-Ms", "200000") // what is held stays so
				rw.WriteHeader(http.StatusTooManyRequests)
			})
			w.diskMB, w.dead = c.diskMB, true
			held := fillJournal(t, w.state, c.diskMB, c.body, c.mark)
			if c.damaged {
				damage(t, w.state)
			}
			var longest time.Duration
			for range restarts {
				began := time.Now()
				p := w.start()
				took := time.Since(began)
				longest = max(longest, took)
				if took > readyWithin {
					late++
				}
				p.kill()
			}
			t.Logf("%d messages held; ready after %v at most", held, longest)
		})
	}
	if late > allowedLate {
		t.Errorf("%d were ready after more than %v", late, readyWithin)
	}
}

// fillJournal accepts messages until there is no room for one more, marks each, and tells how many they are.
func fillJournal(t *testing.T, folder string, diskMB float64, body int, mark func(*journal.Journal, *journal.MessageState)) (held int) {
	t.Helper()
	j, err := journal.Open(folder, journal.Options{DiskLimit: int64(diskMB * 1e6)})
	if err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	text := message.Bytes(strings.Repeat("x", body))
	for ; ; held++ {
		s := &journal.MessageState{ID: fmt.Sprint("m", held), Class: []string{"harmless", "unsafe"}[held%2], Dest: 7, Body: text, Deadline: time.Now().Add(5 * time.Minute)}
		room, err := j.Reserve(s.Size())
		if err == nil && room {
			err = j.RecordAccepted(s)
		}
		if err != nil {
			t.Fatal(err)
		}
		if !room {
			break
		}
		mark(j, s)
		if held%100 == 0 {
			if err := j.Flush(); err != nil {
				t.Fatal(err)
			}
		}
	}
	if err := j.Flush(); err != nil {
		t.Fatal(err)
	}
	return held
}

// damage writes over some bytes of each of the journal's files.
func damage(t *testing.T, folder string) {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(folder, "*.seg"))
	if err != nil || len(names) == 0 {
		t.Fatal(names, err)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for range 20 {
			text[rng.IntN(len(text))] ^= 0x55
		}
		if err := os.WriteFile(name, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}
