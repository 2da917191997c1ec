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

// known is what the model holds of one message.
type known struct {
	class, origin, body string
	dest, attempts      int
	open, ran           bool
	end                 byte
	wait                time.Duration
	among               string
}

func (k known) String() string {
	return fmt.Sprintf("{%s %s %d, %d bytes, %d attempts, open %v, ran %v, end %q, %v}", k.class, k.origin, k.dest, len(k.body), k.attempts, k.open, k.ran, k.end, k.wait)
}

// model is the journal without a disk: what is held after each record.
type model struct {
	now     map[string]known
	history []map[string]known
	flushed int // of the history
}

func newModel() *model { return &model{now: map[string]known{}, history: []map[string]known{{}}} }

func (m *model) change(id string, f func(*known)) {
	k := m.now[id]
	f(&k)
	m.now[id] = k
	m.history = append(m.history, maps.Clone(m.now))
}

func (m *model) drop(id string) {
	delete(m.now, id)
	m.history = append(m.history, maps.Clone(m.now))
}

// heldIn is what a journal holds, in the model's terms.
func heldIn(j *Journal) map[string]known {
	held := map[string]known{}
	for _, s := range j.Queued() {
		body, _ := s.Body.Load()
		held[s.ID] = known{s.Class, s.Origin, string(body), s.Dest, s.Attempts, s.InFlight, s.MayHaveRun, s.Completion, s.RetryAfter, named(s.Extras)}
	}
	return held
}

// named is what a message is told of endpoints.
func named(a *message.Extras) string {
	if a == nil {
		return ""
	}
	return fmt.Sprintf("%q before %q with %q", a.Only, a.Prefer, a.Header)
}

const smallLimit = 70_000

// small is a folder in which some bodies stay in memory and some do not.
func small(fs FS) Options {
	return Options{FS: fs, DiskLimit: smallLimit, MemoryLimit: 40_000, AllowExtras: true}
}

func durable(fs FS, d Durability) Options {
	o := small(fs)
	o.Durability = d
	return o
}

// dryRun runs the workload without a fault: how often it changes the file system, and how many of those to try.
func dryRun(t *testing.T, d Durability, steps int, segments uint64) (j *Journal, ops, every int) {
	t.Helper()
	dry := newMemFS()
	j, err := work(durable(dry, d), newModel(), 1, steps)
	if err != nil {
		t.Fatal(err)
	}
	if j.compactedBytes == 0 || j.activeSegment().seq < segments {
		t.Fatalf("%d bytes moved, %d segments: the workload does too little", j.compactedBytes, j.activeSegment().seq)
	}
	if testing.Short() || raceEnabled {
		return j, dry.ops, 7
	}
	return j, dry.ops, 1
}

// flush flushes and, where that is asked for, syncs: the model may then rely on what is there.
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

// work drives a journal and its model with a workload that is the same for a seed, and returns when it is over or
// the journal fails. In the middle of it the journal is opened anew.
func work(o Options, m *model, seed uint64, steps int) (j *Journal, err error) {
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
			if got := heldIn(j); !maps.Equal(got, m.now) {
				return nil, fmt.Errorf("opened anew in order: got %v, want %v", got, m.now)
			}
		case x < 3 && len(ids) < 18:
			k := known{class: "note", dest: rng.IntN(1000), body: strings.Repeat("b", rng.IntN(1200))}
			if rng.IntN(4) == 0 {
				k.origin = "smtp"
			}
			s := &MessageState{ID: fmt.Sprint("m", rng.IntN(40)), Class: k.class, Origin: k.origin, Dest: k.dest, Body: message.Bytes(k.body), Deadline: time.UnixMilli(1)}
			if rng.IntN(4) == 0 {
				s.Extras = &message.Extras{Only: []string{"s-1", strings.Repeat("e", rng.IntN(256))}[:rng.IntN(3)], Prefer: []string{"s-2", ""}[:rng.IntN(3)],
					Header: []message.Field{{Name: "X-Council", Value: strings.Repeat("v", rng.IntN(300))}}[:rng.IntN(2)]}
				k.among = named(s.Extras)
			}
			if _, there := m.now[s.ID]; there {
				continue
			}
			room, err := j.Reserve(s.Size())
			if err != nil {
				return j, err
			}
			if !room {
				continue
			}
			m.change(s.ID, func(n *known) { *n = k })
			ids = append(ids, s.ID)
			if err := j.RecordAccepted(s); err != nil {
				return j, err
			}
		case len(ids) > 0 && x < 9:
			i := rng.IntN(len(ids))
			id := ids[i]
			if i < 6 && rng.IntN(40) > 0 {
				continue // some live through many compactions
			}
			switch k := m.now[id]; {
			case k.end != 0:
				m.drop(id)
				ids = append(ids[:i], ids[i+1:]...)
				j.RecordClosed(id)
			case k.open:
				ran := rng.IntN(2) == 0
				m.change(id, func(n *known) { n.open, n.ran = false, n.ran || ran })
				j.RecordOutcome(id, ran)
			case k.attempts > 3:
				m.change(id, func(n *known) { n.end, n.wait = 'b', 5*time.Second })
				j.RecordCompletion(id, 'b', 5*time.Second)
			default:
				m.change(id, func(n *known) { n.ran = n.ran || n.open; n.attempts++; n.open = true })
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

// allowed tells whether a state is one that a crash may leave: what was flushed is there, and of the
// rest any beginning.
func (m *model) allowed(got map[string]known) bool {
	for i := len(m.history) - 1; i >= m.flushed; i-- {
		if maps.Equal(got, m.history[i]) {
			return true
		}
	}
	return false
}

// TestEveryFaultPoint kills the process in each change of the file system that a workload makes, before, within and
// after it, and opens the journal again: what was flushed is there, nothing that ended comes back, no attempt is
// forgotten. The journal then takes the same workload on from there.
func TestEveryFaultPoint(t *testing.T) {
	const steps = 5000
	j, ops, every := dryRun(t, Process, steps, 20)
	points, err := 0, error(nil)
	for at := 1; at <= ops; at += every {
		for _, part := range []float64{0, 0.4, 0.99, 1} {
			points++
			fs, m := newMemFS(), newModel()
			fs.crashAt, fs.part = at, part
			if !killed(func() { _, err = work(small(fs), m, 1, steps) }) {
				t.Fatalf("op %d: not reached (%v)", at, err)
			}
			j, err := OpenWith(small(fs.after()))
			if err != nil {
				t.Fatalf("killed in op %d, %v of it done: %v", at, part, err)
			}
			if got := heldIn(j); !m.allowed(got) || len(realDamage(j)) > 0 {
				t.Fatalf("killed in op %d, %v of it done: recovered %v, damage %+v; flushed was %v", at, part, got, j.Damage(), m.history[m.flushed])
			}
		}
	}
	t.Logf("%d fault points; %d segments, %d of %d bytes written by compaction", points, j.activeSegment().seq, j.compactedBytes, j.writtenBytes)
}

// differ lists what two states have not in common.
func differ(a, b map[string]known) (list []string) {
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

// realDamage leaves out a record that was cut off where only one bit of it was not nought.
func realDamage(j *Journal) []Damage {
	return slices.DeleteFunc(slices.Clone(j.Damage()), func(d Damage) bool { return strings.HasPrefix(d.Description, "one bit") })
}

// killed runs f and tells whether it was killed.
func killed(f func()) (yes bool) {
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

// TestEveryPowerFailure has the machine fail in each change of the file system, with what it kept drawn anew: what was
// synced is there, and of the rest a beginning.
func TestEveryPowerFailure(t *testing.T) {
	const steps = 2500
	group := func(fs FS) Options { return durable(fs, Group) }
	_, ops, every := dryRun(t, Group, steps, 8)
	points, err := 0, error(nil)
	rng := rand.New(rand.NewPCG(6, 6))
	for at := 1; at <= ops; at += every {
		fs, m := newMemFS(), newModel()
		fs.crashAt, fs.part = at, rng.Float64()
		if !killed(func() { _, err = work(group(fs), m, 1, steps) }) {
			t.Fatalf("op %d: not reached (%v)", at, err)
		}
		for range 3 {
			points++
			after := fs.afterPower(rng)
			j, err := OpenWith(group(after))
			if err != nil {
				t.Fatalf("the machine fails in op %d: %v", at, err)
			}
			got := heldIn(j)
			if !m.allowed(got) || len(realDamage(j)) > 0 {
				t.Fatalf("the machine fails in op %d: %d held, damage %+v; differs from what was synced in %v", at, len(got), j.Damage(), differ(got, m.history[m.flushed]))
			}
			// What is written behind the end is not mixed with what stood there before.
			s := &MessageState{ID: "new", Class: "note", Body: message.Bytes("b")}
			if room, err := j.Reserve(s.Size()); err != nil {
				t.Fatal(err)
			} else if room {
				if err := errors.Join(j.RecordAccepted(s), newModel().flush(j, true)); err != nil {
					t.Fatal(err)
				}
				got["new"] = known{class: "note", body: "b"}
			}
			if j, err = OpenWith(group(after.afterPower(rng))); err != nil || !maps.Equal(heldIn(j), got) || len(realDamage(j)) > 0 {
				t.Fatalf("op %d, opened again: %v, %v, want %v; damage %+v", at, err, heldIn(j), got, j.Damage())
			}
		}
	}
	t.Logf("%d failures of the machine", points)
}

// TestFailedWrites has each write fail from some op on: the journal says so, takes nothing more on, and what it had
// flushed is there when it is opened again.
func TestFailedWrites(t *testing.T) {
	failWrites(t, Process, syscall.EIO)
	failWrites(t, Group, syscall.EROFS) // a folder that becomes read-only
}

func failWrites(t *testing.T, d Durability, why syscall.Errno) {
	on := func(fs FS) Options { return durable(fs, d) }
	dry := newMemFS()
	if _, err := work(on(dry), newModel(), 2, 3000); err != nil {
		t.Fatal(err)
	}
	for at := 9; at <= dry.ops; at += 3 {
		fs, m := newMemFS(), newModel()
		fs.failAt, fs.err = at, why
		j, err := work(on(fs), m, 2, 3000)
		if err == nil && len(m.history) == 1 {
			continue // no room from the beginning: all was turned away
		}
		if !errors.Is(err, why) {
			t.Fatalf("op %d fails: %v", at, err)
		}
		if j != nil {
			if _, err := j.Reserve(10); err == nil {
				if err := j.Flush(); err == nil {
					t.Fatalf("op %d fails, and the journal goes on", at)
				}
			}
		}
		if !IsDiskError(err) {
			t.Fatalf("not known as the disk's: %v", err)
		}
		again, err := OpenWith(on(fs.after()))
		if err != nil {
			t.Fatal(err)
		}
		if got := heldIn(again); !m.allowed(got) {
			t.Fatalf("op %d failed: recovered %v; flushed was %v", at, got, m.history[m.flushed])
		}
	}
}

// TestDiskFull: with the disk full at any time, what is held goes on to its end, and new messages are turned away
// until there is room again.
func TestDiskFull(t *testing.T) {
	fs := newMemFS()
	j, err := OpenWith(small(fs))
	if err != nil {
		t.Fatal(err)
	}
	accept := func(id string) bool {
		s := &MessageState{ID: id, Class: "note", Body: message.Bytes(strings.Repeat("b", 900)), Deadline: time.UnixMilli(1)}
		room, err := j.Reserve(s.Size())
		if err != nil {
			t.Fatal(err)
		}
		if room {
			if err := j.RecordAccepted(s); err != nil {
				t.Fatal(err)
			}
		}
		return room
	}
	if !accept("first") {
		t.Fatal("no room in an empty folder")
	}
	fs.limit = fs.used() // nothing more
	n := 1
	for accept(fmt.Sprint("m", n)) {
		n++
	}
	if n > 30 {
		t.Fatalf("%d messages taken on", n)
	}
	// Each goes through six attempts and its end, one after the other, the first one last of all.
	for range 20 { // and new ones come in the place of those that ended
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
				t.Fatal("what ended gives no room")
			}
		}
	}
	j.allocationFailedUntil = time.Time{}
	if accept("more") {
		t.Error("taken on without room")
	}
	fs.limit = 0
	j.allocationFailedUntil = time.Time{}
	if !accept("more") {
		t.Error("turned away though there is room again")
	}
	if got := heldIn(j)["first"]; len(got.body) != 900 {
		t.Errorf("the first one: %v", got)
	}
}

// TestFolderStaysInItsLimit: whatever is held, the files together never take more than the folder may hold.
func TestFolderStaysInItsLimit(t *testing.T) {
	for seed := range uint64(20) {
		fs := newMemFS()
		if _, err := work(small(fs), newModel(), seed, 4000); err != nil {
			t.Fatal(err)
		}
		if fs.most > smallLimit {
			t.Errorf("%d bytes, %d allowed", fs.most, smallLimit)
		}
	}
}

// filled is a folder with several segments, and what is in it.
func filled(t *testing.T) (*memFS, map[string]known) {
	t.Helper()
	fs, m := newMemFS(), newModel()
	j, err := work(small(fs), m, 5, 1500)
	if err == nil {
		err = j.Flush()
	}
	if err != nil {
		t.Fatal(err)
	}
	return fs, maps.Clone(m.now)
}

// TestOneBitFlipped flips one bit at a time, anywhere in the folder: nothing is lost or changed, but
// where the very end of the log is hit: then at most the last record.
func TestOneBitFlipped(t *testing.T) {
	whole, want := filled(t)
	rng := rand.New(rand.NewPCG(9, 9))
	mended, changed := 0, 0
	for range 1500 {
		fs := whole.after()
		var name string
		var text []byte
		for n, f := range fs.files {
			if strings.HasSuffix(n, segmentEnd) && (name == "" || rng.IntN(2) == 0) {
				name, text = n, f.text
			}
		}
		at := rng.IntN(len(text))
		text[at] ^= 1 << rng.IntN(8)
		j, err := OpenWith(small(fs))
		if err != nil {
			t.Fatal(err)
		}
		if len(j.Damage()) > 0 {
			mended++
		}
		if got := heldIn(j); !maps.Equal(got, want) {
			changed++
			differ := 0
			for id := range want {
				if got[id] != want[id] {
					differ++
				}
			}
			if differ > 1 || len(got) < len(want)-1 {
				t.Fatalf("a bit flipped at %d of %s: %d messages differ, %d held; damage %+v", at, name, differ, len(got), j.Damage())
			}
		}
	}
	if mended < 200 || changed > 5 {
		t.Errorf("%d of 1,500 were noted, %d changed a message", mended, changed)
	}
}

// TestBlockOverwritten destroys blocks of the log: the messages of the records that stood there are reported, count as
// ones that may have run, or are gone with their state; all others are as they were.
func TestBlockOverwritten(t *testing.T) {
	whole, want := filled(t)
	rng := rand.New(rand.NewPCG(4, 4))
	hits := 0
	for range 400 {
		fs := whole.after()
		names := []string{}
		for n := range fs.files {
			if strings.HasSuffix(n, segmentEnd) {
				names = append(names, n)
			}
		}
		text := fs.files[names[rng.IntN(len(names))]].text
		at, size := rng.IntN(len(text)-300), 2+rng.IntN(300)
		for i := range size {
			text[at+i] = byte(rng.Uint32())
		}
		j, err := OpenWith(small(fs))
		if err != nil {
			t.Fatal(err)
		}
		named := map[string]bool{}
		for _, d := range j.Damage() {
			for _, id := range d.IDs {
				named[id] = true
			}
		}
		got := heldIn(j)
		missing := 0
		for id, w := range want {
			g, there := got[id]
			switch {
			case !there:
				missing++
			case named[id]:
				hits++
				if !g.ran && g != w { // but for one whose state was written again behind it
					t.Errorf("%s was hit and does not count as one that may have run: %v", id, g)
				}
			case g != w && len(j.Damage()) > 0:
				t.Errorf("%s was not hit and differs: %v, want %v", id, g, w)
			}
		}
		if missing > 0 && len(j.Damage()) == 0 && missing > 3 {
			t.Errorf("%d messages are gone without a word", missing)
		}
	}
	if hits == 0 {
		t.Error("no message was hit: the test says nothing")
	}
}

// TestSegmentMissing: without one of its segments the journal opens, says so, and believes nothing of sends that may
// have stood there.
func TestSegmentMissing(t *testing.T) {
	fs, _ := filled(t)
	names := []string{}
	for n := range fs.files {
		if strings.HasSuffix(n, segmentEnd) {
			names = append(names, n)
		}
	}
	if len(names) < 3 {
		t.Fatalf("only %v", names)
	}
	j0, err := OpenWith(Options{FS: fs.after(), DiskLimit: smallLimit, ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	gone := j0.segments[1].name
	delete(fs.files, gone)
	as, err := OpenWith(Options{FS: fs.after(), DiskLimit: smallLimit, ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	j, err := OpenWith(small(fs))
	if err != nil {
		t.Fatal(err)
	}
	if len(j.Damage()) == 0 {
		t.Fatal("a missing segment is not noticed")
	}
	missing, _, _ := parseName(gone)
	got, before := heldIn(j), 0
	for id, m := range as.live { // where their states stood as it was opened
		if m.segment.seq < missing {
			if before++; !got[id].ran {
				t.Errorf("%s may have been sent in what is missing, and counts as never run", id)
			}
		}
	}
	if before == 0 {
		t.Error("no message stood before what is missing: the test says nothing")
	}
}

// TestNewerFormat: a folder of a newer program is refused and left as it is.
func TestNewerFormat(t *testing.T) {
	fs, _ := filled(t)
	for n, f := range fs.files {
		if strings.HasSuffix(n, segmentEnd) {
			seq, nonce, _ := parseName(n)
			s := &segment{seq: seq, nonce: nonce}
			h := s.header()
			h[4] = version + 1
			copy(f.text, checkedHeader(h))
		}
	}
	before := fs.after()
	if _, err := OpenWith(small(fs)); err == nil || !strings.Contains(err.Error(), "newer program") {
		t.Fatalf("opened: %v", err)
	}
	for n, f := range before.files {
		if strings.HasSuffix(n, segmentEnd) && string(fs.files[n].text) != string(f.text) {
			t.Errorf("%s was changed", n)
		}
	}
}

// TestLocked: two forwarders can't use one folder, and the second is told so.
func TestLocked(t *testing.T) {
	dir := t.TempDir()
	j, err := Open(dir, Options{DiskLimit: 3e6})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(dir, Options{DiskLimit: 3e6}); err == nil || !strings.Contains(err.Error(), "in use by another forwarder") {
		t.Errorf("the second one: %v", err)
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

// TestHoldsMoreThanHalf: on a folder of 3 MB the longest messages find as much room as when the journal was rewritten
// whole (22 of them), and small ones far more (486 of 2 kB).
func TestHoldsMoreThanHalf(t *testing.T) {
	for _, c := range []struct{ body, least int }{{MaxBody, 22}, {2000, 700}, {100, 2500}} {
		fs := newMemFS()
		j, err := OpenWith(Options{FS: fs, DiskLimit: 3e6 - diskMargin})
		if err != nil {
			t.Fatal(err)
		}
		body, n := message.Bytes(make([]byte, c.body)), 0
		for {
			s := &MessageState{ID: fmt.Sprintf("%016x", n), Class: "signature-handover", Body: body}
			room, err := j.Reserve(s.Size())
			if err != nil {
				t.Fatal(err)
			}
			if !room {
				break
			}
			if err := errors.Join(j.RecordAccepted(s), j.Flush()); err != nil {
				t.Fatal(err)
			}
			n++
		}
		t.Logf("%d messages of %d bytes", n, c.body)
		if n < c.least {
			t.Errorf("%d messages of %d bytes, %d before", n, c.body, c.least)
		}
		// All of them go on to their ends, in the worst order for compaction.
		for round := range 6 {
			for i := range n {
				id := fmt.Sprintf("%016x", i)
				j.RecordSending(id)
				j.RecordOutcome(id, round == 5)
				if err := j.Flush(); err != nil {
					t.Fatalf("with %d held, attempt %d of %s: %v", n, round, id, err)
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
		if fs.most > 3e6-diskMargin {
			t.Errorf("%d bytes in the folder", fs.most)
		}
		if again, err := OpenWith(Options{FS: fs.after(), DiskLimit: 3e6 - diskMargin}); err != nil || len(again.live) > 0 || len(again.Damage()) > 0 {
			t.Errorf("opened again: %v, %d held, damage %v", err, len(again.live), again.Damage())
		}
	}
}

// TestDamagedCopiesCount: what was kept aside for inspection counts towards what the folder may hold, also at the
// next starts.
func TestDamagedCopiesCount(t *testing.T) {
	fs, limit := newMemFS(), int64(3e6-diskMargin)
	for i := range 5 {
		fs.files[fmt.Sprintf("%016x-00000001.seg.damaged", i)] = &memFile{fs: fs, text: make([]byte, limit/minSegments/512*512)}
	}
	j, err := OpenWith(Options{FS: fs, DiskLimit: limit})
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for {
		s := &MessageState{ID: fmt.Sprint("m", n), Class: "note", Body: message.Bytes(make([]byte, 5000))}
		room, err := j.Reserve(s.Size())
		if err != nil {
			t.Fatal(err)
		}
		if !room {
			break
		}
		if err := errors.Join(j.RecordAccepted(s), j.Flush()); err != nil {
			t.Fatal(err)
		}
		n++
	}
	if fs.most > limit || n < 100 {
		t.Errorf("%d messages; %d bytes in the folder, %d allowed", n, fs.most, limit)
	}
}

// TestMarksOutlastTheNextStart: messages that damage in the part without an index has hit count as ones that may have
// run at each start from then on, whatever is written behind the damage.
func TestMarksOutlastTheNextStart(t *testing.T) {
	fs := newMemFS()
	open := func() *Journal {
		t.Helper()
		j, err := OpenWith(small(fs))
		if err != nil {
			t.Fatal(err)
		}
		return j
	}
	accept := func(j *Journal, id string) {
		t.Helper()
		s := &MessageState{ID: id, Class: "note", Body: message.Bytes(make([]byte, 900))}
		room, err := j.Reserve(s.Size())
		if err != nil || !room {
			t.Fatal(room, err)
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
	text := fs.files[j.activeSegment().name].text
	for i := from; i < to; i++ {
		text[i] = 0x55
	}
	fs = fs.after()
	j = open()
	if !heldIn(j)["hit"].ran {
		t.Fatal("the record of its send is gone, and it counts as never run")
	}
	for i := range 20 { // past the next index
		id := fmt.Sprint("later", i)
		accept(j, id)
		j.RecordClosed(id)
	}
	if err := j.Flush(); err != nil {
		t.Fatal(err)
	}
	fs = fs.after()
	if j = open(); !heldIn(j)["hit"].ran {
		t.Error("at the next start it counts as never run")
	}
}
