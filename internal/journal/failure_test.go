package journal

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"

	"scaleroute/internal/message"
)

// host drives a journal through failures as the engine does, beside a model of what it holds.
type host struct {
	options  Options
	journal  *Journal
	now      map[string]known
	accepted []string // since the last flush: nobody was told of them
	flushed  map[string]known
	mayHold  map[string]bool // rejected, though a restart may find them
	rng      *rand.Rand
	failures int
	number   int
}

func newHost(o Options, seed uint64) (*host, error) {
	h := &host{options: o, now: map[string]known{}, flushed: map[string]known{}, mayHold: map[string]bool{}, rng: rand.New(rand.NewPCG(seed, 42))}
	var err error
	h.journal, err = OpenWith(o)
	return h, err
}

// accept accepts a message if there is room and the journal keeps records.
func (h *host) accept() {
	h.number++
	k := known{class: "note", dest: h.rng.IntN(9), body: strings.Repeat("b", h.rng.IntN(1500))}
	s := &MessageState{ID: fmt.Sprint("m", h.number), Class: k.class, Dest: k.dest, Body: message.Bytes(k.body)}
	if room, err := h.journal.Reserve(s.Size()); err != nil || !room {
		return
	}
	h.journal.RecordAccepted(s)
	h.now[s.ID] = k
	h.accepted = append(h.accepted, s.ID)
}

// change carries a message that was told of one step on. What a restart must know of is not begun while no records are kept.
func (h *host) change(id string) {
	k := h.now[id]
	fails := h.journal.Failure() != nil
	switch begun := h.flushed[id]; {
	case k.open && begun.attempts < k.attempts: // it is made once it is recorded
		return
	case k.open && h.rng.IntN(2) == 0: // delivered
		h.journal.RecordClosed(id)
		delete(h.now, id)
		return
	case k.open:
		ran := h.rng.IntN(2) == 0
		h.journal.RecordOutcome(id, ran)
		k.open, k.ran = false, k.ran || ran
	case fails || k.end != 0:
		return
	case k.attempts > 2:
		h.journal.RecordCompletion(id, 'd', 0)
		k.end = 'd'
	default:
		h.journal.RecordSending(id)
		k.ran = k.ran || k.open
		k.attempts, k.open = k.attempts+1, true
	}
	h.now[id] = k
}

// flush makes what happened durable, or drops what could not be accepted.
func (h *host) flush() {
	if err := h.journal.Flush(); err == nil {
		h.accepted = h.accepted[:0]
		clear(h.flushed)
		for id, k := range h.now {
			h.flushed[id] = k
		}
		return
	}
	h.failures++
	for _, id := range h.accepted {
		if s := h.journal.live[id]; h.journal.MayBeOnDisk(s) {
			h.mayHold[id] = true
		}
		h.journal.RecordClosed(id)
		delete(h.now, id)
	}
	h.accepted = h.accepted[:0]
	for id, k := range h.now { // attempts that are not recorded are not made
		if k.open && h.flushed[id].attempts < k.attempts {
			h.journal.RecordOutcome(id, false)
			k.open = false
			h.now[id] = k
		}
	}
}

// told are the messages whose acceptance was told, in a fixed order.
func (h *host) told() (ids []string) {
	for id := range h.now {
		if !slices.Contains(h.accepted, id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// run drives the journal for so many steps.
func (h *host) run(steps int) {
	for range steps {
		switch x := h.rng.IntN(10); {
		case x < 3 && len(h.now) < 20:
			h.accept()
		case x < 8:
			if ids := h.told(); len(ids) > 0 {
				h.change(ids[h.rng.IntN(len(ids))])
			}
		case x < 9 && h.journal.Failure() != nil:
			h.journal.Resume()
		case x < 9:
			h.journal.Rebuild(int64(1 + h.rng.IntN(4096)))
		}
		if h.rng.IntN(3) == 0 {
			h.flush()
		}
	}
}

// recover has the journal keep records again, and all of them be on disk.
func (h *host) recover() error {
	for range 100 {
		if h.journal.Resume() != nil {
			continue
		}
		for h.journal.Rebuilding() && h.journal.Rebuild(1<<20) == nil {
		}
		if h.flush(); h.journal.Failure() == nil {
			return nil
		}
	}
	return fmt.Errorf("it does not recover: %w", h.journal.Failure())
}

// checkRestart holds what a restart finds after a kill against what was told: nothing is missing, and what may not be sent again is known to have been.
func (h *host) checkRestart(found map[string]known) error {
	for id, k := range h.flushed {
		current, isOpen := h.now[id]
		got, isFound := found[id]
		switch {
		case isOpen && !isFound:
			return fmt.Errorf("%s is lost: %v", id, current)
		case isFound && (k.open || k.ran) && !got.open && !got.ran && (!isOpen || current.attempts == k.attempts && (current.open || current.ran)):
			return fmt.Errorf("%s may have run, and the restart does not know: %v, was %v", id, got, k)
		}
	}
	return nil
}

// TestEveryPassingFailure has all operations fail for a while from each change of the file system on: nothing that was accepted is lost, and all of it is as
// it should be on disk afterwards.
func TestEveryPassingFailure(t *testing.T) {
	const steps, seed = 1500, 5
	for _, c := range []struct {
		name       string
		durability Durability
		errno      syscall.Errno
		short      bool
	}{{"ENOSPC", Process, syscall.ENOSPC, false}, {"short", Process, syscall.ENOSPC, true}, {"EIO with group commit", Group, syscall.EIO, false}} {
		t.Run(c.name, func(t *testing.T) {
			dry := newMemFS()
			h, err := newHost(durable(dry, c.durability), seed)
			if err != nil {
				t.Fatal(err)
			}
			h.run(steps)
			failures := 0
			for at := 1; at <= dry.ops; at += 5 {
				for _, lasts := range []int{1, 2, 5, 40} {
					fs := newMemFS()
					fs.failAt, fs.healAt, fs.err, fs.short = at, at+lasts, c.errno, c.short
					h, err := newHost(durable(fs, c.durability), seed)
					if errors.Is(err, c.errno) {
						continue // nothing was begun: the start is tried again
					}
					if err != nil {
						t.Fatal(err)
					}
					h.run(steps)
					failures += h.failures
					fs.healAt = min(fs.healAt, fs.ops+1)
					if err := h.recover(); err != nil {
						t.Fatalf("op %d, %d of them: %v", at, lasts, err)
					}
					again, err := OpenWith(durable(fs.after(), c.durability))
					if err != nil {
						t.Fatal(err)
					}
					if got := heldIn(again); len(differ(got, h.now)) > 0 || len(realDamage(again)) > 0 {
						t.Fatalf("op %d, %d of them: %v; damage %v", at, lasts, differ(got, h.now), again.Damage())
					}
				}
			}
			t.Logf("%d operations, %d failed flushes", dry.ops, failures)
		})
	}
}

// TestKilledWhileRecovering kills the process at each change of the file system that follows a failure.
func TestKilledWhileRecovering(t *testing.T) {
	const steps, seed, follows = 1500, 6, 60
	kills := 0
	for failsAt := 20; failsAt < 400; failsAt += 7 {
		lasts := []int{1, 12}[failsAt%2]
		for kill := failsAt + lasts; kill < failsAt+follows; kill += 2 {
			fs := newMemFS()
			fs.failAt, fs.healAt, fs.err, fs.short = failsAt, failsAt+lasts, syscall.ENOSPC, kill%4 == 0
			fs.crashAt, fs.part = kill, 0.6
			h, err := newHost(durable(fs, Process), seed+uint64(failsAt))
			if err != nil {
				t.Fatal(err)
			}
			isKilled := killed(func() {
				h.run(steps)
				err = h.recover()
			})
			if err != nil {
				t.Fatal(err)
			}
			if isKilled {
				kills++
			}
			again, err := OpenWith(durable(fs.after(), Process))
			if err != nil {
				t.Fatalf("fails at %d, killed %v at %d: %v", failsAt, isKilled, kill, err)
			}
			if err := h.checkRestart(heldIn(again)); err != nil || len(realDamage(again)) > 0 {
				t.Fatalf("fails at %d, killed %v at %d: %v; damage %v", failsAt, isKilled, kill, err, again.Damage())
			}
		}
	}
	t.Logf("%d kills", kills)
}

// TestFolderReplaced replaces the folder under an open journal: it goes on in the new one with all that it held, and a second time, too.
func TestFolderReplaced(t *testing.T) {
	dir := t.TempDir() + "/state"
	replaceFolder(t, dir)
	j, err := Open(dir, Options{DiskLimit: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	body := message.Bytes(strings.Repeat("x", 10_000))
	for i := range 40 {
		s := &MessageState{ID: fmt.Sprint("m", i), Class: "note", Body: body}
		if room, err := j.Reserve(s.Size()); err != nil || !room {
			t.Fatal(i, room, err)
		}
		if err := errors.Join(j.RecordAccepted(s), j.Flush()); err != nil {
			t.Fatal(err)
		}
		if i%20 != 10 {
			continue
		}
		replaceFolder(t, dir)
		if err := j.CheckFolder(); !errors.Is(err, errFolderReplaced) {
			t.Fatal(err)
		}
		if err := j.Resume(); err != nil {
			t.Fatal(err)
		}
		for j.Rebuilding() {
			if err := j.Rebuild(1 << 16); err != nil {
				t.Fatal(err)
			}
		}
	}
	want := heldIn(j)
	j.Close()
	again, err := Open(dir, Options{DiskLimit: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	if diff := differ(heldIn(again), want); len(want) != 40 || len(diff) > 0 || len(again.Damage()) > 0 {
		t.Errorf("%d held; %v; %v", len(want), diff, again.Damage())
	}
}

// replaceFolder puts an empty folder in the place of one.
func replaceFolder(t *testing.T, dir string) {
	t.Helper()
	if err := errors.Join(os.RemoveAll(dir), os.Mkdir(dir, 0o700)); err != nil {
		t.Fatal(err)
	}
}
