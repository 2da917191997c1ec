package journal

import (
	"errors"
	"fmt"
	"maps"
	"strings"
	"sync"
	"testing"
	"time"

	"scaleroute/internal/message"
)

// acceptMessage accepts a message if there is space, and reports whether there was.
func acceptMessage(t *testing.T, j *Journal, id string, body string) bool {
	t.Helper()
	s := &MessageState{ID: id, Class: "note", Body: message.Bytes(body), Deadline: time.UnixMilli(1)}
	reserved, err := j.Reserve(s.Size())
	if err == nil && reserved {
		err = errors.Join(j.RecordAccepted(s), j.Flush())
	}
	if err != nil {
		t.Fatalf("%s: %v", id, err)
	}
	return reserved
}

func mustOpen(t *testing.T, o Options) *Journal {
	t.Helper()
	j, err := OpenWith(o)
	if err != nil {
		t.Fatal(err)
	}
	return j
}

// TestBodiesAreReadDuringCompaction guards against a body that can't be read, or is read from the wrong record, while
// compaction moves it and its old segment is reused.
func TestBodiesAreReadDuringCompaction(t *testing.T) {
	j, err := Open(t.TempDir(), Options{DiskLimit: smallLimit + diskMargin, MemoryLimit: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	j.memory.bodyBytes = 1 << 20 // no body fits into memory
	body := func(i int) string { return strings.Repeat(fmt.Sprint(i), 300) }
	var readers sync.WaitGroup
	stop := make(chan struct{})
	for i := range 6 {
		if !acceptMessage(t, j, fmt.Sprint("kept", i), body(i)) {
			t.Fatal("no space")
		}
		kept := j.live[fmt.Sprint("kept", i)].Body
		if _, onDisk := kept.(*storedBody); !onDisk || kept.Len() != len(body(i)) {
			t.Fatalf("%T of %d bytes", kept, kept.Len())
		}
		readers.Go(func() {
			for {
				if got, err := kept.Load(); err != nil || string(got) != body(i) {
					t.Errorf("body %d: %q, %v", i, got, err)
					return
				}
				select {
				case <-stop:
					return
				default:
				}
			}
		})
	}
	first := j.activeSegment().seq
	for i := 0; j.activeSegment().seq < first+60; i++ {
		id := fmt.Sprint("m", i)
		if acceptMessage(t, j, id, body(i)) {
			j.RecordClosed(id)
		}
	}
	close(stop)
	readers.Wait()
	if j.compactedBytes == 0 {
		t.Error("compaction moved nothing: the test proves nothing")
	}
}

// TestBodyLost: a body that can't be read back affects only its own message, also after a restart.
func TestBodyLost(t *testing.T) {
	fs := newMemFS()
	j := mustOpen(t, smallOptions(fs))
	j.memory.bodyBytes = 1 << 20
	for _, id := range []string{"a", "hit", "z"} {
		acceptMessage(t, j, id, strings.Repeat(id, 200))
	}
	at := j.live["hit"].position
	for i := range 100 {
		fs.files[at.segment.name].data[at.offset+100+int64(i)] ^= 0x5a
	}
	for i := 0; len(j.segments) < 2 || j.segments[0].seq == 1; i++ { // until compaction has moved them
		id := fmt.Sprint("m", i)
		acceptMessage(t, j, id, strings.Repeat("x", 1000))
		j.RecordClosed(id)
	}
	for range 2 {
		if _, err := j.live["hit"].Body.Load(); !errors.Is(err, errBodyLost) {
			t.Errorf("the damaged body: %v", err)
		}
		for _, id := range []string{"a", "z"} {
			if got, err := j.live[id].Body.Load(); err != nil || string(got) != strings.Repeat(id, 200) {
				t.Errorf("%s: %q, %v", id, got, err)
			}
		}
		j = mustOpen(t, smallOptions(fs.afterKill()))
	}
}

// TestMemoryLimitsAcceptance: messages are accepted up to the memory limit, also after a restart, and again once some
// are closed.
func TestMemoryLimitsAcceptance(t *testing.T) {
	fs := newMemFS()
	o := Options{FS: fs, DiskLimit: 3e6, MemoryLimit: 300_000}
	j := mustOpen(t, o)
	n := 0
	for acceptMessage(t, j, fmt.Sprint("m", n), strings.Repeat("b", 2000)) {
		n++
	}
	if want := int(o.MemoryLimit * 2 / 3 / messageMemoryBytes); n != want {
		t.Errorf("%d messages accepted, want %d", n, want)
	}
	if j.memory.bodyBytes > o.MemoryLimit/3 {
		t.Errorf("%d bytes of bodies in memory", j.memory.bodyBytes)
	}
	for id, k := range queuedIn(j) {
		if k.body != strings.Repeat("b", 2000) {
			t.Errorf("%s: the body is %q", id, k.body)
		}
	}
	o.FS = fs.afterKill()
	j = mustOpen(t, o)
	if len(j.live) != n || acceptMessage(t, j, "more", "b") {
		t.Errorf("%d messages queued, or one more was accepted", len(j.live))
	}
	j.RecordClosed("m7")
	if !acceptMessage(t, j, "more", "b") {
		t.Error("refused though a message was closed")
	}
	for id := range maps.Clone(j.live) {
		j.RecordClosed(id)
	}
	if j.memory.bodyBytes != 0 || j.reservedBytes != 0 {
		t.Errorf("left over: %d bytes in memory, %d bytes reserved", j.memory.bodyBytes, j.reservedBytes)
	}
}

// TestSegmentSizesFollowTheDisk opens folders with various limits and disk sizes, which change at the next start: the
// queued messages are kept and proceed, the folder shrinks to its limit as they are closed, and new messages are
// accepted in the space there is.
func TestSegmentSizesFollowTheDisk(t *testing.T) {
	for _, c := range []struct {
		name          string
		disk, limit   int64 // at first
		disk2, limit2 int64 // at the next start; a disk of 0 is unlimited
	}{
		{"a small disk", 6e6, 500e6, 6e6, 500e6},
		{"a tiny disk", 1e6, 500e6, 1e6, 500e6},
		{"the limit lowered", 0, 40e6, 0, 1e6},
		{"the limit raised", 0, 1e6, 0, 40e6},
		{"the disk shrinks", 0, 40e6, 41e6, 40e6},
		{"the disk grows", 6e6, 40e6, 0, 40e6},
		{"nearly nothing", 20_000, 500e6, 0, 500e6},
	} {
		t.Run(c.name, func(t *testing.T) {
			fs := newMemFS()
			fs.limit = c.disk
			j := mustOpen(t, Options{FS: fs, DiskLimit: c.limit})
			body, n := strings.Repeat("b", 4000), 0
			for n < 3000 && acceptMessage(t, j, fmt.Sprint("m", n), body) {
				n++
			}
			if n < 50 && c.disk != 20_000 {
				t.Fatalf("%d messages accepted", n)
			}
			fs = fs.afterKill()
			fs.limit = c.disk2
			j = mustOpen(t, Options{FS: fs, DiskLimit: c.limit2})
			if len(j.live) != n || len(j.damage) > 0 {
				t.Fatalf("%d messages of %d queued, damage %v", len(j.live), n, j.damage)
			}
			for i := range n {
				id := fmt.Sprint("m", i)
				for range 4 {
					j.RecordSending(id)
					j.RecordOutcome(id, false)
				}
				j.RecordClosed(id)
				if err := j.Flush(); err != nil {
					t.Fatalf("%s of %d: %v", id, n, err)
				}
			}
			for i := range 2000 { // more than all segments can hold at once
				id := fmt.Sprint("later", i)
				if j.allocationFailedUntil = (time.Time{}); !acceptMessage(t, j, id, body) {
					t.Fatalf("no space for %s with no message queued", id)
				}
				j.RecordClosed(id)
			}
			if used := fs.used(); used > c.limit2 {
				t.Errorf("%d bytes in the folder", used)
			}
		})
	}
}
