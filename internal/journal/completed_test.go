package journal

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"scaleroute/internal/message"
)

// withIDs returns options for a small folder that remembers so many IDs.
func withIDs(fs FS, count int) Options {
	o := smallOptions(fs)
	o.CompletedIDBytes = int64(count) * completedBytes
	o.DiskLimit += o.CompletedIDBytes
	return o
}

// complete accepts a message, records an attempt, and closes it as one whose ID is to be remembered. The record is flushed.
func complete(j *Journal, id string, deadline time.Time, outcome CompletedOutcome) error {
	s := &MessageState{ID: id, Class: "unsafe", Body: message.Bytes("x"), Deadline: deadline}
	if reserved, err := j.Reserve(s.Size()); err != nil || !reserved {
		return fmt.Errorf("reserved %v: %w", reserved, err)
	}
	j.RecordAccepted(s)
	j.RecordSending(id)
	j.RecordCompleted(id, outcome)
	return j.Flush()
}

// TestCompletedIDsAgainstModel guards against an ID that is forgotten before its expiry while there is room, or kept with a wrong outcome,
// over restarts and changes of the limit.
func TestCompletedIDsAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		files := newMemFS()
		c := completedIDs{fs: files, capacity: rapid.IntRange(1, 40).Draw(t, "capacity")}
		model := map[idDigest]completedID{} // all that must be remembered
		now := int64(1000)
		number := 0
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				c.expire(now)
				if len(c.current) == c.capacity {
					return // HasRoomForID reports that there is no room
				}
				number++
				id := completedID{digestOf(fmt.Sprint(number)), now + rapid.Int64Range(-5, 60).Draw(t, "expiry"), rapid.SampledFrom([]CompletedOutcome{Delivered, Undelivered}).Draw(t, "outcome")}
				c.add(id.digest, id.expiry, id.outcome, now)
				model[id.digest] = id
				if err := c.save(); err != nil {
					t.Fatal(err)
				}
			},
			"allocate": func(t *rapid.T) {
				if err := c.allocate(rapid.IntRange(len(c.slots), c.capacity).Draw(t, "slots")); err != nil {
					t.Fatal(err)
				}
			},
			"wait": func(t *rapid.T) {
				now += rapid.Int64Range(0, 30).Draw(t, "ms")
				maps.DeleteFunc(model, func(_ idDigest, id completedID) bool { return id.expiry <= now })
			},
			"restart": func(t *rapid.T) {
				capacity := c.capacity
				if rapid.Bool().Draw(t, "other limit") {
					capacity = rapid.IntRange(max(1, len(model)), 40).Draw(t, "capacity")
				}
				c = completedIDs{fs: files, capacity: capacity}
				if err := c.load(now, false); err != nil {
					t.Fatal(err)
				}
			},
			"": func(t *rapid.T) {
				for digest, id := range model {
					slot, ok := c.bySlot[digest]
					if id.expiry > now && (!ok || c.slots[slot] != id) {
						t.Fatalf("forgotten, or not as it was added: %+v at %d", id, now)
					}
				}
				if len(c.slots) > c.capacity || len(c.bySlot) > c.capacity {
					t.Fatalf("%d slots, %d IDs, capacity %d", len(c.slots), len(c.bySlot), c.capacity)
				}
				if file := files.files[completedFile]; file != nil && len(file.data) > c.capacity*completedBytes {
					t.Fatalf("the file has %d bytes, %d slots are allowed", len(file.data), c.capacity)
				}
				if got := len(c.current) + len(c.expired) + len(c.empty); got != len(c.slots) {
					t.Fatalf("%d of %d slots are accounted for", got, len(c.slots))
				}
			},
		})
	})
}

// TestCompletedIDsSurviveKill guards against a message that is closed on disk while its ID is not: killed at any operation, a message is
// either still open, as one that may have run, or its ID is remembered.
func TestCompletedIDsSurviveKill(t *testing.T) {
	const messages = 300
	far := time.Now().Add(time.Hour)
	workload := func(fs *memFS) (completed []string, err error) {
		j, err := OpenWith(withIDs(fs, 400))
		if err != nil {
			return nil, err
		}
		for n := range messages {
			id := fmt.Sprint("m", n)
			if !j.HasRoomForID(0) {
				return completed, errors.New("no room")
			}
			if err := complete(j, id, far, Delivered); err != nil {
				return completed, err
			}
			completed = append(completed, id)
		}
		return completed, nil
	}
	dry := newMemFS()
	if _, err := workload(dry); err != nil {
		t.Fatal(err)
	}
	every := 1
	if testing.Short() || raceEnabled {
		every = 7
	}
	for at := 1; at <= dry.ops; at += every {
		for _, part := range []float64{0, 0.4, 0.99, 1} {
			fs := newMemFS()
			fs.crashAt, fs.crashFraction = at, part
			var completed []string
			wasKilled(func() { completed, _ = workload(fs) })
			j, err := OpenWith(withIDs(fs.afterKill(), 400))
			if err != nil {
				t.Fatalf("killed in operation %d, %v of it done: %v", at, part, err)
			}
			for n := range messages {
				id := fmt.Sprint("m", n)
				s := j.live[id]
				isSafe := s != nil || j.Completed(id) == Delivered
				if slices.Contains(completed, id) && !isSafe || s != nil && s.Attempts > 0 && !s.PossiblyRan() {
					t.Fatalf("killed in operation %d, %v of it done: %s is %+v, completed %q", at, part, id, s, j.Completed(id))
				}
			}
		}
	}
	t.Logf("%d operations", dry.ops)
}

// TestCompletedIDsAfterDiskFailure guards against IDs that are lost because the disk refused writes for a while: any first operation that
// fails, and the journal written again later.
func TestCompletedIDsAfterDiskFailure(t *testing.T) {
	const messages = 60
	far := time.Now().Add(time.Hour)
	for failAt := 10; failAt < 200; failAt += 3 {
		fs := newMemFS()
		fs.failAt, fs.healAt, fs.err, fs.shortWrites = failAt, failAt+8, syscall.EIO, failAt%2 == 0
		j, err := OpenWith(withIDs(fs, 400))
		for errors.Is(err, syscall.EIO) {
			j, err = OpenWith(withIDs(fs, 400))
		}
		if err != nil {
			t.Fatal(err)
		}
		var completed []string
		for n := range messages {
			for tries := 0; j.Failure() != nil && j.Resume() != nil; tries++ {
				if tries > 100 {
					t.Fatalf("failed at operation %d: %v", failAt, j.Failure())
				}
			}
			for j.Rebuilding() {
				j.Rebuild(1 << 20)
			}
			id := fmt.Sprint("m", n)
			s := &MessageState{ID: id, Class: "unsafe", Body: message.Bytes("x"), Deadline: far}
			if reserved, err := j.Reserve(s.Size()); err != nil || !reserved || !j.HasRoomForID(0) {
				continue
			}
			j.RecordAccepted(s)
			if j.Flush() != nil {
				continue // it was not accepted
			}
			j.RecordSending(id)
			if j.Flush() != nil {
				continue // the attempt is not made
			}
			j.RecordCompleted(id, Delivered) // the journal may fail now, and continues in memory
			j.Flush()
			completed = append(completed, id)
			if j.Completed(id) != Delivered {
				t.Fatalf("failed at operation %d: %s is not remembered", failAt, id)
			}
		}
		again := mustOpen(t, withIDs(fs.afterKill(), 400))
		for _, id := range completed {
			if again.Completed(id) != Delivered && (again.live[id] == nil || !again.live[id].PossiblyRan()) {
				t.Fatalf("failed at operation %d: %s is forgotten", failAt, id)
			}
		}
	}
}

// TestCompletedIDsAreBounded guards against IDs that take more than their part of the folder, and against one that is forgotten because
// others are added: a message is refused instead.
func TestCompletedIDsAreBounded(t *testing.T) {
	fs := newMemFS()
	j := mustOpen(t, withIDs(fs, 50))
	far := time.Now().Add(time.Hour)
	for n := range 50 {
		if !j.HasRoomForID(49 - n) {
			t.Fatalf("no room with %d IDs and %d messages open", n, 49-n)
		}
		if err := complete(j, fmt.Sprint("m", n), far, Undelivered); err != nil {
			t.Fatal(err)
		}
	}
	if j.HasRoomForID(0) {
		t.Error("there is room for one more than the limit")
	}
	for n := range 50 {
		if j.Completed(fmt.Sprint("m", n)) != Undelivered {
			t.Errorf("m%d is forgotten", n)
		}
	}
	if size := len(fs.files[completedFile].data); size != 50*completedBytes {
		t.Errorf("the file has %d bytes, want %d", size, 50*completedBytes)
	}
	if fs.used() > withIDs(fs, 50).DiskLimit {
		t.Errorf("the files take %d bytes of %d", fs.used(), withIDs(fs, 50).DiskLimit)
	}
}

// TestCompletedIDsOnFullDisk guards against an ID that can't be written once the disk is full: its space is allocated before its message is
// accepted.
func TestCompletedIDsOnFullDisk(t *testing.T) {
	fs := newMemFS()
	j := mustOpen(t, withIDs(fs, 2000))
	far := time.Now().Add(time.Hour)
	accepted := 0
	for ; accepted < 1000 && j.HasRoomForID(0); accepted++ {
		if accepted == 10 {
			fs.limit = fs.used() // from now on the disk is full
		}
		if err := complete(j, fmt.Sprint("m", accepted), far, Delivered); err != nil {
			t.Fatalf("message %d: %v", accepted, err)
		}
	}
	if accepted < 100 || accepted == 1000 {
		t.Errorf("%d messages were accepted", accepted)
	}
	if again := mustOpen(t, withIDs(fs.afterKill(), 2000)); again.CompletedIDs() != accepted {
		t.Errorf("%d IDs after a restart, want %d", again.CompletedIDs(), accepted)
	}
}

// TestCorruptCompletedIDs guards against a start that fails, or that reads a wrong ID, because some bytes of the file are corrupt or missing.
func TestCorruptCompletedIDs(t *testing.T) {
	const ids = 60
	fs := newMemFS()
	j := mustOpen(t, withIDs(fs, 100))
	far := time.Now().Add(time.Hour)
	for n := range ids {
		if !j.HasRoomForID(0) {
			t.Fatal("no room")
		}
		if err := complete(j, fmt.Sprint("m", n), far, Delivered); err != nil {
			t.Fatal(err)
		}
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		damaged := fs.afterKill()
		file := damaged.files[completedFile]
		hits := 1 + rng.IntN(4)
		for range hits {
			file.data[rng.IntN(len(file.data))] ^= byte(1 + rng.IntN(255))
		}
		if rng.IntN(4) == 0 {
			file.data = file.data[:rng.IntN(len(file.data))]
			hits = ids
		}
		again := mustOpen(t, withIDs(damaged, 100))
		if got := again.CompletedIDs(); got < ids-hits || got > ids {
			t.Fatalf("%d IDs with %d bytes changed", got, hits)
		}
	}
}

// TestCopyKeepsCompletedIDs guards against a folder that is copied without the IDs.
func TestCopyKeepsCompletedIDs(t *testing.T) {
	dir, other := t.TempDir(), t.TempDir()
	j, err := Open(dir, Options{DiskLimit: 3e6, CompletedIDBytes: CompletedIDBytes(3e6, 192<<20)})
	if err != nil {
		t.Fatal(err)
	}
	if !j.HasRoomForID(0) {
		t.Fatal("no room")
	}
	if err := complete(j, "m", time.Now().Add(time.Hour), Delivered); err != nil {
		t.Fatal(err)
	}
	j.Close()
	from, err := Read(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer from.Close()
	if _, err := Copy(from, other); err != nil {
		t.Fatal(err)
	}
	copied, err := Read(other)
	if err != nil {
		t.Fatal(err)
	}
	defer copied.Close()
	if copied.Completed("m") != Delivered {
		t.Error("the copy does not remember the ID")
	}
}

// BenchmarkCompleted measures what remembering an ID adds to closing a message.
func BenchmarkCompleted(b *testing.B) {
	for _, remembered := range []bool{false, true} {
		b.Run(fmt.Sprint("remembered ", remembered), func(b *testing.B) {
			j, err := Open(b.TempDir(), Options{DiskLimit: 64 << 20, CompletedIDBytes: CompletedIDBytes(64<<20, 192<<20)})
			if err != nil {
				b.Fatal(err)
			}
			defer j.Close()
			body := message.Bytes(strings.Repeat("x", 200))
			for n := 0; b.Loop(); n++ {
				s := &MessageState{ID: fmt.Sprintf("%016x", n), Class: "unsafe", Body: body, Deadline: time.Now().Add(-time.Hour)}
				if reserved, err := j.Reserve(s.Size()); err != nil || !reserved {
					b.Fatal(reserved, err)
				}
				j.RecordAccepted(s)
				j.Flush()
				j.RecordSending(s.ID)
				j.Flush()
				if remembered {
					j.HasRoomForID(0)
					j.RecordCompleted(s.ID, Delivered)
				} else {
					j.RecordClosed(s.ID)
				}
				if err := j.Flush(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
