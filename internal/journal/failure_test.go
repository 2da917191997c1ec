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

// driver takes a journal through failures in the way the engine does, beside a model of what the journal contains.
type driver struct {
	options     Options
	journal     *Journal
	current     map[string]modelMessage
	unflushed   []string // since the last flush: their acceptance has not been reported
	flushed     map[string]modelMessage
	mayBeOnDisk map[string]bool // not accepted, though a restart may find them
	rng         *rand.Rand
	failures    int
	lastNumber  int
}

func newDriver(o Options, seed uint64) (*driver, error) {
	d := &driver{options: o, current: map[string]modelMessage{}, flushed: map[string]modelMessage{}, mayBeOnDisk: map[string]bool{}, rng: rand.New(rand.NewPCG(seed, 42))}
	var err error
	d.journal, err = OpenWith(o)
	return d, err
}

// accept accepts a message if there is space and the journal writes records.
func (d *driver) accept() {
	d.lastNumber++
	k := modelMessage{class: "note", dest: d.rng.IntN(9), body: strings.Repeat("b", d.rng.IntN(1500))}
	s := &MessageState{ID: fmt.Sprint("m", d.lastNumber), Class: k.class, Dest: k.dest, Body: message.Bytes(k.body)}
	if reserved, err := d.journal.Reserve(s.Size()); err != nil || !reserved {
		return
	}
	d.journal.RecordAccepted(s)
	d.current[s.ID] = k
	d.unflushed = append(d.unflushed, s.ID)
}

// advance takes an acknowledged message one step further. While no records are written, it begins no step that a restart
// must know of.
func (d *driver) advance(id string) {
	k := d.current[id]
	fails := d.journal.Failure() != nil
	switch begun := d.flushed[id]; {
	case k.inFlight && begun.attempts < k.attempts: // the attempt is made only once it is recorded
		return
	case k.inFlight && d.rng.IntN(2) == 0: // delivered
		d.journal.RecordClosed(id)
		delete(d.current, id)
		return
	case k.inFlight:
		ran := d.rng.IntN(2) == 0
		d.journal.RecordOutcome(id, ran)
		k.inFlight, k.mayHaveRun = false, k.mayHaveRun || ran
	case fails || k.completion != 0:
		return
	case k.attempts > 2:
		d.journal.RecordCompletion(id, 'd', 0)
		k.completion = 'd'
	default:
		d.journal.RecordSending(id)
		k.mayHaveRun = k.mayHaveRun || k.inFlight
		k.attempts, k.inFlight = k.attempts+1, true
	}
	d.current[id] = k
}

// flush makes the steps so far durable, or drops the messages that could not be accepted.
func (d *driver) flush() {
	if err := d.journal.Flush(); err == nil {
		d.unflushed = d.unflushed[:0]
		clear(d.flushed)
		for id, k := range d.current {
			d.flushed[id] = k
		}
		return
	}
	d.failures++
	for _, id := range d.unflushed {
		if s := d.journal.live[id]; d.journal.MayBeOnDisk(s) {
			d.mayBeOnDisk[id] = true
		}
		d.journal.RecordClosed(id)
		delete(d.current, id)
	}
	d.unflushed = d.unflushed[:0]
	for id, k := range d.current { // attempts that could not be recorded are not made
		if k.inFlight && d.flushed[id].attempts < k.attempts {
			d.journal.RecordOutcome(id, false)
			k.inFlight = false
			d.current[id] = k
		}
	}
}

// acknowledged returns the messages whose acceptance was reported, in a fixed order.
func (d *driver) acknowledged() (ids []string) {
	for id := range d.current {
		if !slices.Contains(d.unflushed, id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// run takes the journal through the given number of steps.
func (d *driver) run(steps int) {
	for range steps {
		switch x := d.rng.IntN(10); {
		case x < 3 && len(d.current) < 20:
			d.accept()
		case x < 8:
			if ids := d.acknowledged(); len(ids) > 0 {
				d.advance(ids[d.rng.IntN(len(ids))])
			}
		case x < 9 && d.journal.Failure() != nil:
			d.journal.Resume()
		case x < 9:
			d.journal.Rebuild(int64(1 + d.rng.IntN(4096)))
		}
		if d.rng.IntN(3) == 0 {
			d.flush()
		}
	}
}

// recover makes the journal write records again until all messages are on disk.
func (d *driver) recover() error {
	for range 100 {
		if d.journal.Resume() != nil {
			continue
		}
		for d.journal.Rebuilding() && d.journal.Rebuild(1<<20) == nil {
		}
		if d.flush(); d.journal.Failure() == nil {
			return nil
		}
	}
	return fmt.Errorf("the journal does not recover: %w", d.journal.Failure())
}

// checkRestart compares what a restart finds after a kill with what was reported: no message is missing, and one that
// may have run and must not be repeated is known as such.
func (d *driver) checkRestart(found map[string]modelMessage) error {
	for id, k := range d.flushed {
		current, isOpen := d.current[id]
		got, isFound := found[id]
		switch {
		case isOpen && !isFound:
			return fmt.Errorf("message %s is lost: %v", id, current)
		case isFound && (k.inFlight || k.mayHaveRun) && !got.inFlight && !got.mayHaveRun && (!isOpen || current.attempts == k.attempts && (current.inFlight || current.mayHaveRun)):
			return fmt.Errorf("message %s may have run, and the restart does not know it: got %v, was %v", id, got, k)
		}
	}
	return nil
}

// TestTransientFailureAtEveryOperation makes all operations fail for a while, beginning at each change of the file
// system in turn: no accepted message is lost, and afterwards all of them are on disk in their current state.
func TestTransientFailureAtEveryOperation(t *testing.T) {
	const steps, seed = 1500, 5
	for _, c := range []struct {
		name       string
		durability Durability
		errno      syscall.Errno
		short      bool
	}{{"ENOSPC", Process, syscall.ENOSPC, false}, {"short", Process, syscall.ENOSPC, true}, {"EIO with group commit", Group, syscall.EIO, false}} {
		t.Run(c.name, func(t *testing.T) {
			dry := newMemFS()
			d, err := newDriver(optionsWithDurability(dry, c.durability), seed)
			if err != nil {
				t.Fatal(err)
			}
			d.run(steps)
			failures := 0
			for at := 1; at <= dry.ops; at += 5 {
				for _, lasts := range []int{1, 2, 5, 40} {
					fs := newMemFS()
					fs.failAt, fs.healAt, fs.err, fs.shortWrites = at, at+lasts, c.errno, c.short
					d, err := newDriver(optionsWithDurability(fs, c.durability), seed)
					if errors.Is(err, c.errno) {
						continue // nothing was begun: a forwarder would try to start again
					}
					if err != nil {
						t.Fatal(err)
					}
					d.run(steps)
					failures += d.failures
					fs.healAt = min(fs.healAt, fs.ops+1)
					if err := d.recover(); err != nil {
						t.Fatalf("from operation %d on %d operations fail: %v", at, lasts, err)
					}
					again, err := OpenWith(optionsWithDurability(fs.afterKill(), c.durability))
					if err != nil {
						t.Fatal(err)
					}
					if got := queuedIn(again); len(differences(got, d.current)) > 0 || len(damageWithoutRepairs(again)) > 0 {
						t.Fatalf("from operation %d on %d operations fail: differences %v; damage %v", at, lasts, differences(got, d.current), again.Damage())
					}
				}
			}
			t.Logf("%d operations, %d failed flushes", dry.ops, failures)
		})
	}
}

// TestKilledWhileRecovering kills the process at many of the changes of the file system that follow a failure, and
// checks that a restart finds every acknowledged message.
func TestKilledWhileRecovering(t *testing.T) {
	const steps, seed, follows = 1500, 6, 60
	kills := 0
	for failsAt := 20; failsAt < 400; failsAt += 7 {
		lasts := []int{1, 12}[failsAt%2]
		for kill := failsAt + lasts; kill < failsAt+follows; kill += 2 {
			fs := newMemFS()
			fs.failAt, fs.healAt, fs.err, fs.shortWrites = failsAt, failsAt+lasts, syscall.ENOSPC, kill%4 == 0
			fs.crashAt, fs.crashFraction = kill, 0.6
			d, err := newDriver(optionsWithDurability(fs, Process), seed+uint64(failsAt))
			if err != nil {
				t.Fatal(err)
			}
			isKilled := wasKilled(func() {
				d.run(steps)
				err = d.recover()
			})
			if err != nil {
				t.Fatal(err)
			}
			if isKilled {
				kills++
			}
			again, err := OpenWith(optionsWithDurability(fs.afterKill(), Process))
			if err != nil {
				t.Fatalf("failure at operation %d, killed %v at %d: %v", failsAt, isKilled, kill, err)
			}
			if err := d.checkRestart(queuedIn(again)); err != nil || len(damageWithoutRepairs(again)) > 0 {
				t.Fatalf("failure at operation %d, killed %v at %d: %v; damage %v", failsAt, isKilled, kill, err, again.Damage())
			}
		}
	}
	t.Logf("%d kills", kills)
}

// TestFolderReplaced replaces the folder of an open journal twice: each time the journal continues in the new folder
// with all of its messages.
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
		if reserved, err := j.Reserve(s.Size()); err != nil || !reserved {
			t.Fatal(i, reserved, err)
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
	want := queuedIn(j)
	j.Close()
	again, err := Open(dir, Options{DiskLimit: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	if diff := differences(queuedIn(again), want); len(want) != 40 || len(diff) > 0 || len(again.Damage()) > 0 {
		t.Errorf("%d messages queued; differences %v; damage %v", len(want), diff, again.Damage())
	}
}

// replaceFolder replaces a folder by an empty one.
func replaceFolder(t *testing.T, dir string) {
	t.Helper()
	if err := errors.Join(os.RemoveAll(dir), os.Mkdir(dir, 0o700)); err != nil {
		t.Fatal(err)
	}
}
