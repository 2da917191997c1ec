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

	"scaleroute/internal/message"
)

// modelMessage is the model's state of one message.
type modelMessage struct {
	class, origin, body  string
	dest, attempts       int
	inFlight, mayHaveRun bool
	completion           byte
	retryAfter           time.Duration
	extras               string
}

func (k modelMessage) String() string {
	return fmt.Sprintf("{%s %s %d, %d bytes, %d attempts, in flight %v, may have run %v, completion %q, %v}", k.class, k.origin, k.dest, len(k.body), k.attempts, k.inFlight, k.mayHaveRun, k.completion, k.retryAfter)
}

// model is the journal without a disk: the open messages after each record.
type model struct {
	current map[string]modelMessage
	history []map[string]modelMessage
	flushed int // index in history of the last state that was flushed
}

func newModel() *model {
	return &model{current: map[string]modelMessage{}, history: []map[string]modelMessage{{}}}
}

func (m *model) change(id string, f func(*modelMessage)) {
	k := m.current[id]
	f(&k)
	m.current[id] = k
	m.history = append(m.history, maps.Clone(m.current))
}

func (m *model) remove(id string) {
	delete(m.current, id)
	m.history = append(m.history, maps.Clone(m.current))
}

// queuedIn returns the messages of a journal in the model's terms.
func queuedIn(j *Journal) map[string]modelMessage {
	queued := map[string]modelMessage{}
	for _, s := range j.Queued() {
		body, _ := s.Body.Load()
		queued[s.ID] = modelMessage{s.Class, s.Origin, string(body), s.Dest, s.Attempts, s.InFlight, s.MayHaveRun, s.Completion, s.RetryAfter, describeExtras(s.Extras)}
	}
	return queued
}

// describeExtras returns the extras of a message as text.
func describeExtras(a *message.Extras) string {
	if a == nil {
		return ""
	}
	return fmt.Sprintf("%q before %q with %q", a.Only, a.Prefer, a.Header)
}

const smallLimit = 70_000

// smallOptions are for a small folder, of whose bodies some stay in memory and some do not.
func smallOptions(fs FS) Options {
	return Options{FS: fs, DiskLimit: smallLimit, MemoryLimit: 40_000, AllowExtras: true}
}

func optionsWithDurability(fs FS, d Durability) Options {
	o := smallOptions(fs)
	o.Durability = d
	return o
}

// dryRun runs the workload without a fault. It returns how many operations change the file system, and in what steps a
// test is to go through them.
func dryRun(t *testing.T, d Durability, steps int, segments uint64) (j *Journal, ops, every int) {
	t.Helper()
	dry := newMemFS()
	j, err := runWorkload(optionsWithDurability(dry, d), newModel(), 1, steps)
	if err != nil {
		t.Fatal(err)
	}
	if j.compactedBytes == 0 || j.activeSegment().seq < segments {
		t.Fatalf("%d bytes copied by compaction, %d segments: the workload does too little", j.compactedBytes, j.activeSegment().seq)
	}
	if testing.Short() || raceEnabled {
		return j, dry.ops, 7
	}
	return j, dry.ops, 1
}

// flush flushes and, if requested, syncs, and then marks the model's current state as durable.
func (m *model) flush(j *Journal, sync bool) error {
	if err := j.Flush(); err != nil {
		return err
	}
	if j.durability == Group {
		if !sync {
			return nil
		}
		written, f := j.PrepareSync()
		var err error
		if f != nil {
			err = f()
		}
		if err := j.FinishSync(written, err); err != nil {
			return err
		}
	}
	m.flushed = len(m.history) - 1
	return nil
}

// runWorkload applies a workload that depends only on the seed to a journal and its model, and returns when it is
// complete or the journal fails. In the middle of it the journal is closed and opened again.
func runWorkload(o Options, m *model, seed uint64, steps int) (j *Journal, err error) {
	rng := rand.New(rand.NewPCG(seed, 3))
	if j, err = OpenWith(o); err != nil {
		return nil, err
	}
	ids := []string{}
	for step := range steps {
		switch x := rng.IntN(10); {
		case step == steps/2:
			if err := m.flush(j, true); err != nil {
				return j, err
			}
			j.Close()
			if j, err = OpenWith(o); err != nil {
				return nil, err
			}
			if got := queuedIn(j); !maps.Equal(got, m.current) {
				return nil, fmt.Errorf("opened again after an orderly close: got %v, want %v", got, m.current)
			}
		case x < 3 && len(ids) < 18:
			k := modelMessage{class: "note", dest: rng.IntN(1000), body: strings.Repeat("b", rng.IntN(1200))}
			if rng.IntN(4) == 0 {
				k.origin = "smtp"
			}
			s := &MessageState{ID: fmt.Sprint("m", rng.IntN(40)), Class: k.class, Origin: k.origin, Dest: k.dest, Body: message.Bytes(k.body), Deadline: time.UnixMilli(1)}
			if rng.IntN(4) == 0 {
				s.Extras = &message.Extras{Only: []string{"s-1", strings.Repeat("e", rng.IntN(256))}[:rng.IntN(3)], Prefer: []string{"s-2", ""}[:rng.IntN(3)],
					Header: []message.Field{{Name: "X-Council", Value: strings.Repeat("v", rng.IntN(300))}}[:rng.IntN(2)]}
				k.extras = describeExtras(s.Extras)
			}
			if _, there := m.current[s.ID]; there {
				continue
			}
			reserved, err := j.Reserve(s.Size())
			if err != nil {
				return j, err
			}
			if !reserved {
				continue
			}
			m.change(s.ID, func(n *modelMessage) { *n = k })
			ids = append(ids, s.ID)
			if err := j.RecordAccepted(s); err != nil {
				return j, err
			}
		case len(ids) > 0 && x < 9:
			i := rng.IntN(len(ids))
			id := ids[i]
			if i < 6 && rng.IntN(40) > 0 {
				continue // some messages stay open through many compactions
			}
			switch k := m.current[id]; {
			case k.completion != 0:
				m.remove(id)
				ids = append(ids[:i], ids[i+1:]...)
				j.RecordClosed(id)
			case k.inFlight:
				ran := rng.IntN(2) == 0
				m.change(id, func(n *modelMessage) { n.inFlight, n.mayHaveRun = false, n.mayHaveRun || ran })
				j.RecordOutcome(id, ran)
			case k.attempts > 3:
				m.change(id, func(n *modelMessage) { n.completion, n.retryAfter = 'b', 5*time.Second })
				j.RecordCompletion(id, 'b', 5*time.Second)
			default:
				m.change(id, func(n *modelMessage) { n.mayHaveRun = n.mayHaveRun || n.inFlight; n.attempts++; n.inFlight = true })
				j.RecordSending(id)
			}
		default:
			if err := m.flush(j, rng.IntN(2) == 0); err != nil {
				return j, err
			}
		}
	}
	return j, nil
}

// allows reports whether a crash may leave the given state: all that was flushed, and any beginning of the rest.
func (m *model) allows(got map[string]modelMessage) bool {
	for i := len(m.history) - 1; i >= m.flushed; i-- {
		if maps.Equal(got, m.history[i]) {
			return true
		}
	}
	return false
}

// TestKillAtEveryOperation kills the process before, within and after each change of the file system that a workload
// makes, and opens the journal again: what was flushed is there, no closed message comes back, and no attempt is
// forgotten.
func TestKillAtEveryOperation(t *testing.T) {
	const steps = 5000
	j, ops, every := dryRun(t, Process, steps, 20)
	points, err := 0, error(nil)
	for at := 1; at <= ops; at += every {
		for _, part := range []float64{0, 0.4, 0.99, 1} {
			points++
			fs, m := newMemFS(), newModel()
			fs.crashAt, fs.crashFraction = at, part
			if !wasKilled(func() { _, err = runWorkload(smallOptions(fs), m, 1, steps) }) {
				t.Fatalf("operation %d was not reached (%v)", at, err)
			}
			j, err := OpenWith(smallOptions(fs.afterKill()))
			if err != nil {
				t.Fatalf("killed in operation %d, %v of it done: %v", at, part, err)
			}
			if got := queuedIn(j); !m.allows(got) || len(damageWithoutRepairs(j)) > 0 {
				t.Fatalf("killed in operation %d, %v of it done: recovered %v, damage %+v; flushed was %v", at, part, got, j.Damage(), m.history[m.flushed])
			}
		}
	}
	t.Logf("%d fault points; %d segments, %d of %d bytes written by compaction", points, j.activeSegment().seq, j.compactedBytes, j.writtenBytes)
}

// differences lists the messages that differ between two states.
func differences(a, b map[string]modelMessage) (list []string) {
	for id := range a {
		if a[id] != b[id] {
			list = append(list, fmt.Sprintf("%s: %v, %v", id, a[id], b[id]))
		}
	}
	for id := range b {
		if _, there := a[id]; !there {
			list = append(list, fmt.Sprintf("%s is missing: %v", id, b[id]))
		}
	}
	return list
}

// damageWithoutRepairs returns the damage but for corrected bits: an incomplete record of which only one bit was not
// zero is corrected, too.
func damageWithoutRepairs(j *Journal) []Damage {
	return slices.DeleteFunc(slices.Clone(j.Damage()), func(d Damage) bool { return strings.HasPrefix(d.Description, "one bit") })
}

// wasKilled runs f, and reports whether it was ended by a crash of the file system.
func wasKilled(f func()) (yes bool) {
	defer func() {
		if r := recover(); r != nil {
			if _, yes = r.(crash); !yes {
				panic(r)
			}
		}
	}()
	f()
	return false
}

// TestPowerFailureAtEveryOperation makes the machine fail in each change of the file system, and draws at random what of
// the unsynced data survives: what was synced is there, and of the rest a beginning.
func TestPowerFailureAtEveryOperation(t *testing.T) {
	const steps = 2500
	group := func(fs FS) Options { return optionsWithDurability(fs, Group) }
	_, ops, every := dryRun(t, Group, steps, 8)
	points, err := 0, error(nil)
	rng := rand.New(rand.NewPCG(6, 6))
	for at := 1; at <= ops; at += every {
		fs, m := newMemFS(), newModel()
		fs.crashAt, fs.crashFraction = at, rng.Float64()
		if !wasKilled(func() { _, err = runWorkload(group(fs), m, 1, steps) }) {
			t.Fatalf("operation %d was not reached (%v)", at, err)
		}
		for range 3 {
			points++
			after := fs.afterPowerFailure(rng)
			j, err := OpenWith(group(after))
			if err != nil {
				t.Fatalf("the machine fails in operation %d: %v", at, err)
			}
			got := queuedIn(j)
			if !m.allows(got) || len(damageWithoutRepairs(j)) > 0 {
				t.Fatalf("the machine fails in operation %d: %d messages queued, damage %+v; differences from what was synced: %v", at, len(got), j.Damage(), differences(got, m.history[m.flushed]))
			}
			// Records that are written after the end are not mixed with what was there before.
			s := &MessageState{ID: "new", Class: "note", Body: message.Bytes("b")}
			if reserved, err := j.Reserve(s.Size()); err != nil {
				t.Fatal(err)
			} else if reserved {
				if err := errors.Join(j.RecordAccepted(s), newModel().flush(j, true)); err != nil {
					t.Fatal(err)
				}
				got["new"] = modelMessage{class: "note", body: "b"}
			}
			if j, err = OpenWith(group(after.afterPowerFailure(rng))); err != nil || !maps.Equal(queuedIn(j), got) || len(damageWithoutRepairs(j)) > 0 {
				t.Fatalf("operation %d, opened again: %v, %v, want %v; damage %+v", at, err, queuedIn(j), got, j.Damage())
			}
		}
	}
	t.Logf("%d failures of the machine", points)
}

// TestFailedWrites makes all writes fail from some operation on: the journal reports it and accepts nothing more, and
// what was flushed is there when it is opened again.
func TestFailedWrites(t *testing.T) {
	testFailedWrites(t, Process, syscall.EIO)
	testFailedWrites(t, Group, syscall.EROFS) // a folder that becomes read-only
}

func testFailedWrites(t *testing.T, d Durability, why syscall.Errno) {
	on := func(fs FS) Options { return optionsWithDurability(fs, d) }
	dry := newMemFS()
	if _, err := runWorkload(on(dry), newModel(), 2, 3000); err != nil {
		t.Fatal(err)
	}
	for at := 9; at <= dry.ops; at += 3 {
		fs, m := newMemFS(), newModel()
		fs.failAt, fs.err = at, why
		j, err := runWorkload(on(fs), m, 2, 3000)
		if err == nil && len(m.history) == 1 {
			continue // no space from the beginning: all messages were refused
		}
		if !errors.Is(err, why) {
			t.Fatalf("operation %d fails: %v", at, err)
		}
		if j != nil {
			if _, err := j.Reserve(10); err == nil {
				if err := j.Flush(); err == nil {
					t.Fatalf("operation %d fails, and the journal continues", at)
				}
			}
		}
		if !IsDiskError(err) {
			t.Fatalf("not recognized as an error of the disk: %v", err)
		}
		again, err := OpenWith(on(fs.afterKill()))
		if err != nil {
			t.Fatal(err)
		}
		if got := queuedIn(again); !m.allows(got) {
			t.Fatalf("operation %d failed: recovered %v; flushed was %v", at, got, m.history[m.flushed])
		}
	}
}

// TestDiskFull: when the disk is full, the queued messages proceed to their completion, and new messages are refused
// until there is space again.
func TestDiskFull(t *testing.T) {
	fs := newMemFS()
	j, err := OpenWith(smallOptions(fs))
	if err != nil {
		t.Fatal(err)
	}
	accept := func(id string) bool {
		s := &MessageState{ID: id, Class: "note", Body: message.Bytes(strings.Repeat("b", 900)), Deadline: time.UnixMilli(1)}
		reserved, err := j.Reserve(s.Size())
		if err != nil {
			t.Fatal(err)
		}
		if reserved {
			if err := j.RecordAccepted(s); err != nil {
				t.Fatal(err)
			}
		}
		return reserved
	}
	if !accept("first") {
		t.Fatal("no space in an empty folder")
	}
	fs.limit = fs.used() // the disk is full from now on
	n := 1
	for accept(fmt.Sprint("m", n)) {
		n++
	}
	if n > 30 {
		t.Fatalf("%d messages accepted", n)
	}
	// Each message goes through six attempts and its completion, one message after the other; the first one stays open.
	for range 20 { // new messages take the place of those that were closed
		for i := 1; i < n; i++ {
			id := fmt.Sprint("m", i)
			for range 6 {
				j.RecordSending(id)
				j.RecordOutcome(id, false)
				if err := j.Flush(); err != nil {
					t.Fatalf("the disk is full, and %s can't go on: %v", id, err)
				}
			}
			j.RecordCompletion(id, 'b', time.Second)
			j.RecordClosed(id)
			if err := j.Flush(); err != nil {
				t.Fatal(err)
			}
			j.allocationFailedUntil = time.Time{}
			if !accept(id) {
				t.Fatal("closed messages give back no space")
			}
		}
	}
	j.allocationFailedUntil = time.Time{}
	if accept("more") {
		t.Error("accepted without space")
	}
	fs.limit = 0
	j.allocationFailedUntil = time.Time{}
	if !accept("more") {
		t.Error("refused though there is space again")
	}
	if got := queuedIn(j)["first"]; len(got.body) != 900 {
		t.Errorf("the first message: %v", got)
	}
}

// TestDiskLimitIsKept: whatever messages are queued, the files together never take more than the folder's limit.
func TestDiskLimitIsKept(t *testing.T) {
	for seed := range uint64(20) {
		fs := newMemFS()
		if _, err := runWorkload(smallOptions(fs), newModel(), seed, 4000); err != nil {
			t.Fatal(err)
		}
		if fs.maxUsed > smallLimit {
			t.Errorf("%d bytes in the folder, %d allowed", fs.maxUsed, smallLimit)
		}
	}
}

// filledFolder returns a folder with several segments, and the messages in it.
func filledFolder(t *testing.T) (*memFS, map[string]modelMessage) {
	t.Helper()
	fs, m := newMemFS(), newModel()
	j, err := runWorkload(smallOptions(fs), m, 5, 1500)
	if err == nil {
		err = j.Flush()
	}
	if err != nil {
		t.Fatal(err)
	}
	return fs, maps.Clone(m.current)
}

// TestOneBitFlipped flips one bit at a time, anywhere in the folder: no message is lost or changed, except that a bit at
// the very end of the log may cost the last record.
func TestOneBitFlipped(t *testing.T) {
	whole, want := filledFolder(t)
	rng := rand.New(rand.NewPCG(9, 9))
	corrected, changed := 0, 0
	for range 1500 {
		fs := whole.afterKill()
		var name string
		var data []byte
		for n, f := range fs.files {
			if strings.HasSuffix(n, segmentSuffix) && (name == "" || rng.IntN(2) == 0) {
				name, data = n, f.data
			}
		}
		at := rng.IntN(len(data))
		data[at] ^= 1 << rng.IntN(8)
		j, err := OpenWith(smallOptions(fs))
		if err != nil {
			t.Fatal(err)
		}
		if len(j.Damage()) > 0 {
			corrected++
		}
		if got := queuedIn(j); !maps.Equal(got, want) {
			changed++
			differing := 0
			for id := range want {
				if got[id] != want[id] {
					differing++
				}
			}
			if differing > 1 || len(got) < len(want)-1 {
				t.Fatalf("a bit flipped at %d of %s: %d messages differ, %d queued; damage %+v", at, name, differing, len(got), j.Damage())
			}
		}
	}
	if corrected < 200 || changed > 5 {
		t.Errorf("%d of 1,500 flipped bits were reported, %d changed a message", corrected, changed)
	}
}

// TestBlockOverwritten overwrites blocks of the log with random bytes: the messages whose records were there are
// reported, and count as ones that may have run or are gone with their state; all others are unchanged.
func TestBlockOverwritten(t *testing.T) {
	whole, want := filledFolder(t)
	rng := rand.New(rand.NewPCG(4, 4))
	affectedCount := 0
	for range 400 {
		fs := whole.afterKill()
		names := []string{}
		for n := range fs.files {
			if strings.HasSuffix(n, segmentSuffix) {
				names = append(names, n)
			}
		}
		data := fs.files[names[rng.IntN(len(names))]].data
		at, size := rng.IntN(len(data)-300), 2+rng.IntN(300)
		for i := range size {
			data[at+i] = byte(rng.Uint32())
		}
		j, err := OpenWith(smallOptions(fs))
		if err != nil {
			t.Fatal(err)
		}
		named := map[string]bool{}
		for _, d := range j.Damage() {
			for _, id := range d.IDs {
				named[id] = true
			}
		}
		got := queuedIn(j)
		missing := 0
		for id, w := range want {
			g, there := got[id]
			switch {
			case !there:
				missing++
			case named[id]:
				affectedCount++
				if !g.mayHaveRun && g != w { // except a message whose state was written again after the damage
					t.Errorf("message %s is affected and does not count as one that may have run: %v", id, g)
				}
			case g != w && len(j.Damage()) > 0:
				t.Errorf("message %s is not affected and differs: %v, want %v", id, g, w)
			}
		}
		if missing > 0 && len(j.Damage()) == 0 && missing > 3 {
			t.Errorf("%d messages are missing, and no damage is reported", missing)
		}
	}
	if affectedCount == 0 {
		t.Error("no message was affected: the test proves nothing")
	}
}

// TestSegmentMissing: a journal without one of its segments opens, reports the gap, and counts every message that may
// have been sent in the missing segment as one that may have run.
func TestSegmentMissing(t *testing.T) {
	fs, _ := filledFolder(t)
	names := []string{}
	for n := range fs.files {
		if strings.HasSuffix(n, segmentSuffix) {
			names = append(names, n)
		}
	}
	if len(names) < 3 {
		t.Fatalf("too few segments: %v", names)
	}
	intact, err := OpenWith(Options{FS: fs.afterKill(), DiskLimit: smallLimit, ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	removed := intact.segments[1].name
	delete(fs.files, removed)
	reader, err := OpenWith(Options{FS: fs.afterKill(), DiskLimit: smallLimit, ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	j, err := OpenWith(smallOptions(fs))
	if err != nil {
		t.Fatal(err)
	}
	if len(j.Damage()) == 0 {
		t.Fatal("a missing segment is not reported")
	}
	missing, _, _ := parseSegmentName(removed)
	got, before := queuedIn(j), 0
	for id, m := range reader.live { // their positions just after opening
		if m.segment.seq < missing {
			if before++; !got[id].mayHaveRun {
				t.Errorf("message %s may have been sent in the missing segment, and counts as one that never ran", id)
			}
		}
	}
	if before == 0 {
		t.Error("no message had its state before the missing segment: the test proves nothing")
	}
}

// TestNewerFormat: a folder that a newer program has written is refused and left unchanged.
func TestNewerFormat(t *testing.T) {
	fs, _ := filledFolder(t)
	for n, f := range fs.files {
		if strings.HasSuffix(n, segmentSuffix) {
			seq, nonce, _ := parseSegmentName(n)
			s := &segment{seq: seq, nonce: nonce}
			h := s.header()
			h[4] = formatVersion + 1
			copy(f.data, withChecksum(h))
		}
	}
	before := fs.afterKill()
	if _, err := OpenWith(smallOptions(fs)); err == nil || !strings.Contains(err.Error(), "newer program") {
		t.Fatalf("opened a folder of a newer program: %v", err)
	}
	for n, f := range before.files {
		if strings.HasSuffix(n, segmentSuffix) && string(fs.files[n].data) != string(f.data) {
			t.Errorf("%s was changed", n)
		}
	}
}

// TestFolderLocked: two forwarders can't use one folder, and the second one reports why.
func TestFolderLocked(t *testing.T) {
	dir := t.TempDir()
	j, err := Open(dir, Options{DiskLimit: 3e6})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(dir, Options{DiskLimit: 3e6}); err == nil || !strings.Contains(err.Error(), "in use by another forwarder") {
		t.Errorf("the second forwarder: %v", err)
	}
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	j, err = Open(dir, Options{DiskLimit: 3e6})
	if err != nil {
		t.Fatal(err)
	}
	j.Close()
}

// TestFolderCapacity: a folder of 3 MB has space for as many of the longest messages as when the journal was a single
// file that was rewritten whole (22), and for more small ones (it was 486 of 2 kB).
func TestFolderCapacity(t *testing.T) {
	for _, c := range []struct{ body, minimum int }{{MaxBody, 22}, {2000, 700}, {100, 2500}} {
		fs := newMemFS()
		j, err := OpenWith(Options{FS: fs, DiskLimit: 3e6 - diskMargin})
		if err != nil {
			t.Fatal(err)
		}
		body, n := message.Bytes(make([]byte, c.body)), 0
		for {
			s := &MessageState{ID: fmt.Sprintf("%016x", n), Class: "signature-handover", Body: body}
			reserved, err := j.Reserve(s.Size())
			if err != nil {
				t.Fatal(err)
			}
			if !reserved {
				break
			}
			if err := errors.Join(j.RecordAccepted(s), j.Flush()); err != nil {
				t.Fatal(err)
			}
			n++
		}
		t.Logf("%d messages of %d bytes", n, c.body)
		if n < c.minimum {
			t.Errorf("%d messages of %d bytes, want at least %d", n, c.body, c.minimum)
		}
		// All of them proceed to their completion, in the worst order for compaction.
		for round := range 6 {
			for i := range n {
				id := fmt.Sprintf("%016x", i)
				j.RecordSending(id)
				j.RecordOutcome(id, round == 5)
				if err := j.Flush(); err != nil {
					t.Fatalf("with %d messages queued, attempt %d of %s: %v", n, round, id, err)
				}
			}
		}
		for i := range n {
			id := fmt.Sprintf("%016x", i)
			j.RecordCompletion(id, 'd', 0)
			j.RecordClosed(id)
			if err := j.Flush(); err != nil {
				t.Fatal(err)
			}
		}
		if fs.maxUsed > 3e6-diskMargin {
			t.Errorf("%d bytes in the folder", fs.maxUsed)
		}
		if again, err := OpenWith(Options{FS: fs.afterKill(), DiskLimit: 3e6 - diskMargin}); err != nil || len(again.live) > 0 || len(again.Damage()) > 0 {
			t.Errorf("opened again: %v, %d messages queued, damage %v", err, len(again.live), again.Damage())
		}
	}
}

// TestDamagedCopiesCountTowardsLimit: copies of damaged segments that are kept for inspection count towards the folder's
// limit, also at later starts.
func TestDamagedCopiesCountTowardsLimit(t *testing.T) {
	fs, limit := newMemFS(), int64(3e6-diskMargin)
	for i := range 5 {
		fs.files[fmt.Sprintf("%016x-00000001.seg.damaged", i)] = &memFile{fs: fs, data: make([]byte, limit/minSegments/512*512)}
	}
	j, err := OpenWith(Options{FS: fs, DiskLimit: limit})
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for {
		s := &MessageState{ID: fmt.Sprint("m", n), Class: "note", Body: message.Bytes(make([]byte, 5000))}
		reserved, err := j.Reserve(s.Size())
		if err != nil {
			t.Fatal(err)
		}
		if !reserved {
			break
		}
		if err := errors.Join(j.RecordAccepted(s), j.Flush()); err != nil {
			t.Fatal(err)
		}
		n++
	}
	if fs.maxUsed > limit || n < 100 {
		t.Errorf("%d messages; %d bytes in the folder, %d allowed", n, fs.maxUsed, limit)
	}
}

// TestMayHaveRunSurvivesRestarts guards against a message that is sent twice: if damage without an index after it hits
// the record of an attempt, the message counts as one that may have run at each later start, whatever is written after
// the damage.
func TestMayHaveRunSurvivesRestarts(t *testing.T) {
	fs := newMemFS()
	open := func() *Journal {
		t.Helper()
		j, err := OpenWith(smallOptions(fs))
		if err != nil {
			t.Fatal(err)
		}
		return j
	}
	accept := func(j *Journal, id string) {
		t.Helper()
		s := &MessageState{ID: id, Class: "note", Body: message.Bytes(make([]byte, 900))}
		reserved, err := j.Reserve(s.Size())
		if err != nil || !reserved {
			t.Fatal(reserved, err)
		}
		if err := errors.Join(j.RecordAccepted(s), j.Flush()); err != nil {
			t.Fatal(err)
		}
	}
	j := open()
	accept(j, "hit")
	from := j.writeOffset
	j.RecordSending("hit")
	if err := j.Flush(); err != nil {
		t.Fatal(err)
	}
	to := j.writeOffset
	accept(j, "behind")
	data := fs.files[j.activeSegment().name].data
	for i := from; i < to; i++ {
		data[i] = 0x55
	}
	fs = fs.afterKill()
	j = open()
	if !queuedIn(j)["hit"].mayHaveRun {
		t.Fatal("the record of its attempt is gone, and it counts as one that never ran")
	}
	for i := range 20 { // until after the next index
		id := fmt.Sprint("later", i)
		accept(j, id)
		j.RecordClosed(id)
	}
	if err := j.Flush(); err != nil {
		t.Fatal(err)
	}
	fs = fs.afterKill()
	if j = open(); !queuedIn(j)["hit"].mayHaveRun {
		t.Error("at the next start it counts as one that never ran")
	}
}
