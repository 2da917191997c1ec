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

// take takes a message on, and tells whether there was room.
func take(t *testing.T, j *Journal, id string, body string) bool {
	t.Helper()
	s := &MessageState{ID: id, Class: "note", Body: message.Bytes(body), Deadline: time.UnixMilli(1)}
	room, err := j.Reserve(s.Size())
	if err == nil && room {
		err = errors.Join(j.RecordAccepted(s), j.Flush())
	}
	if err != nil {
		t.Fatalf("%s: %v", id, err)
	}
	return room
}

func mustOpen(t *testing.T, o Options) *Journal {
	t.Helper()
	j, err := OpenWith(o)
	if err != nil {
		t.Fatal(err)
	}
	return j
}

// TestBodiesAreReadBackWhileTheyMove has goroutines read bodies from disk while compaction moves them and their old
// segments serve again.
func TestBodiesAreReadBackWhileTheyMove(t *testing.T) {
	j, err := Open(t.TempDir(), Options{DiskLimit: smallLimit + diskMargin, MemoryLimit: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	j.memory.bodyBytes = 1 << 20 // no room for any
	body := func(i int) string { return strings.Repeat(fmt.Sprint(i), 300) }
	var readers sync.WaitGroup
	stop := make(chan struct{})
	for i := range 6 {
		if !take(t, j, fmt.Sprint("kept", i), body(i)) {
			t.Fatal("no room")
		}
		kept := j.live[fmt.Sprint("kept", i)].Body
		if _, onDisk := kept.(*stored); !onDisk || kept.Len() != len(body(i)) {
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
		if take(t, j, id, body(i)) {
			j.RecordClosed(id)
		}
	}
	close(stop)
	readers.Wait()
	if j.compactedBytes == 0 {
		t.Error("nothing was moved: the test says nothing")
	}
}

// TestBodyLost: a body that can't be read back costs its own message its body, and nothing else; that outlasts restarts.
func TestBodyLost(t *testing.T) {
	fs := newMemFS()
	j := mustOpen(t, small(fs))
	j.memory.bodyBytes = 1 << 20
	for _, id := range []string{"a", "hit", "z"} {
		take(t, j, id, strings.Repeat(id, 200))
	}
	at := j.live["hit"].position
	for i := range 100 {
		fs.files[at.segment.name].text[at.offset+100+int64(i)] ^= 0x5a
	}
	for i := 0; len(j.segments) < 2 || j.segments[0].seq == 1; i++ { // until they have been moved
		id := fmt.Sprint("m", i)
		take(t, j, id, strings.Repeat("x", 1000))
		j.RecordClosed(id)
	}
	for range 2 {
		if _, err := j.live["hit"].Body.Load(); !errors.Is(err, errBodyLost) {
			t.Errorf("the body that was hit: %v", err)
		}
		for _, id := range []string{"a", "z"} {
			if got, err := j.live[id].Body.Load(); err != nil || string(got) != strings.Repeat(id, 200) {
				t.Errorf("%s: %q, %v", id, got, err)
			}
		}
		j = mustOpen(t, small(fs.after()))
	}
}

// TestMemoryBoundsIntake: messages are taken on up to the memory told, also at the next start, and again when some end.
func TestMemoryBoundsIntake(t *testing.T) {
	fs := newMemFS()
	o := Options{FS: fs, DiskLimit: 3e6, MemoryLimit: 300_000}
	j := mustOpen(t, o)
	n := 0
	for take(t, j, fmt.Sprint("m", n), strings.Repeat("b", 2000)) {
		n++
	}
	if want := int(o.MemoryLimit * 2 / 3 / messageMemoryBytes); n != want {
		t.Errorf("%d taken on, want %d", n, want)
	}
	if j.memory.bodyBytes > o.MemoryLimit/3 {
		t.Errorf("%d bytes of bodies in memory", j.memory.bodyBytes)
	}
	for id, k := range heldIn(j) {
		if k.body != strings.Repeat("b", 2000) {
			t.Errorf("%s: the body is %q", id, k.body)
		}
	}
	o.FS = fs.after()
	j = mustOpen(t, o)
	if len(j.live) != n || take(t, j, "more", "b") {
		t.Errorf("%d held, and one more was taken on", len(j.live))
	}
	j.RecordClosed("m7")
	if !take(t, j, "more", "b") {
		t.Error("turned away though one has ended")
	}
	for id := range maps.Clone(j.live) {
		j.RecordClosed(id)
	}
	if j.memory.bodyBytes != 0 || j.reservedBytes != 0 {
		t.Errorf("left over: %d bytes in memory, %d of room", j.memory.bodyBytes, j.reservedBytes)
	}
}

// TestSizesFollowTheDisk opens folders whose limit and disk differ, and differ again at the next start: what is held is
// kept and goes on, the folder shrinks to its limit as it ends, and messages are taken on in what there is.
func TestSizesFollowTheDisk(t *testing.T) {
	for _, c := range []struct {
		name          string
		disk, limit   int64 // at first
		disk2, limit2 int64 // at the next start; a disk of 0 has all
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
			for n < 3000 && take(t, j, fmt.Sprint("m", n), body) {
				n++
			}
			if n < 50 && c.disk != 20_000 {
				t.Fatalf("%d taken on", n)
			}
			fs = fs.after()
			fs.limit = c.disk2
			j = mustOpen(t, Options{FS: fs, DiskLimit: c.limit2})
			if len(j.live) != n || len(j.damage) > 0 {
				t.Fatalf("%d held of %d, %v", len(j.live), n, j.damage)
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
			for i := range 2000 { // a turn of the ring
				id := fmt.Sprint("later", i)
				if j.allocationFailedUntil = (time.Time{}); !take(t, j, id, body) {
					t.Fatalf("no room for %s with nothing held", id)
				}
				j.RecordClosed(id)
			}
			if used := fs.used(); used > c.limit2 {
				t.Errorf("%d bytes in the folder", used)
			}
		})
	}
}
