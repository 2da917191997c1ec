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

// readyLimit is how long nine in ten restarted processes may take until they serve.
const readyLimit = 10 * time.Second

// TestReadyWithFullJournal guards against restarts that take too long to recover a large journal. The journal is filled to the last message that it has room for,
// with each kind of message that a restart can find, and in one case is corrupt. Two processes are started on each journal, one after the other, and killed once
// they are ready: nine in ten of them must answer PING within 10 s.
func TestReadyWithFullJournal(t *testing.T) {
	const restarts, allowedLate = 2, 1
	late := 0
	for name, c := range map[string]struct {
		diskMB  float64
		body    int
		corrupt bool
		mark    func(j *journal.Journal, s *journal.MessageState)
	}{
		"unsent, small":      {12, 10, false, func(*journal.Journal, *journal.MessageState) {}},
		"unsent, large":      {12, 60 << 10, false, func(*journal.Journal, *journal.MessageState) {}},
		"calls in flight":    {12, 200, false, func(j *journal.Journal, s *journal.MessageState) { j.RecordSending(s.ID) }},
		"notices to be sent": {12, 200, false, func(j *journal.Journal, s *journal.MessageState) { j.RecordCompletion(s.ID, 'd', 0) }},
		"corrupt":            {12, 200, true, func(*journal.Journal, *journal.MessageState) {}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestEnv(t, func(rw http.ResponseWriter, _ string) {
				rw.Header().Set("X-RateLimit-Wait-Ms", "200000") // queued messages stay queued
				rw.WriteHeader(http.StatusTooManyRequests)
			})
			w.diskMB, w.rejectNotices = c.diskMB, true
			queued := fillJournal(t, w.state, c.diskMB, c.body, c.mark)
			if c.corrupt {
				corruptSegments(t, w.state)
			}
			var longest time.Duration
			for range restarts {
				began := time.Now()
				p := w.start()
				took := time.Since(began)
				longest = max(longest, took)
				if took > readyLimit {
					late++
				}
				p.kill()
			}
			t.Logf("%d messages queued; ready after %v at most", queued, longest)
		})
	}
	if late > allowedLate {
		t.Errorf("%d processes were ready only after more than %v", late, readyLimit)
	}
}

// fillJournal records accepted messages until the journal has no room for one more, calls mark for each, and returns how many there are.
func fillJournal(t *testing.T, folder string, diskMB float64, body int, mark func(*journal.Journal, *journal.MessageState)) (queued int) {
	t.Helper()
	j, err := journal.Open(folder, journal.Options{DiskLimit: int64(diskMB * 1e6)})
	if err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	text := message.Bytes(strings.Repeat("x", body))
	for ; ; queued++ {
		s := &journal.MessageState{ID: fmt.Sprint("m", queued), Class: []string{"harmless", "unsafe"}[queued%2], Dest: 7, Body: text, Deadline: time.Now().Add(5 * time.Minute)}
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
		if queued%100 == 0 {
			if err := j.Flush(); err != nil {
				t.Fatal(err)
			}
		}
	}
	if err := j.Flush(); err != nil {
		t.Fatal(err)
	}
	return queued
}

// corruptSegments overwrites some bytes of each of the journal's files.
func corruptSegments(t *testing.T, folder string) {
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
