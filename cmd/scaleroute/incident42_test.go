package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"scaleroute/internal/fleet"
	"scaleroute/internal/soak"
	"scaleroute/internal/standin"
)

const (
	repeatedAnswers = 0.3
	repeatWithin    = 12 * time.Millisecond
)

// TestRepeatedAnswerIsNotTheNextCalls guards against a late second copy of an answer that ends the connection's next call.
func TestRepeatedAnswerIsNotTheNextCalls(t *testing.T) {
	const loadFor = 4 * time.Second
	r := newRig(t, fleet.Shape{Forwarders: 3, Destinations: 4, Targets: 2, Slots: 16, Left: 6 * time.Second}, newLogs())
	for _, e := range r.World.Endpoints {
		e.Set(standin.Script{Latency: 5 * time.Millisecond, Jitter: 20 * time.Millisecond, Errors: 0.05, Full: 0.02, Repeats: repeatedAnswers, RepeatWithin: repeatWithin})
	}
	over := make(chan struct{})
	wait := r.Load(150, 24, 100, over)
	time.Sleep(loadFor)
	close(over)
	wait()
	if open := r.Settle(r.Nodes, 8*time.Second); open > 0 {
		t.Errorf("%d messages are not over", open)
	}
	verdict := r.Check(standin.Rules)
	if verdict.Broken() {
		t.Errorf("%+v", verdict)
	}
	for _, n := range r.Nodes {
		if wrong := n.Log.DeadThoughRun(); len(wrong) > 0 {
			t.Errorf("%s: reported dead, though a call was answered 200: %v", n.Name, wrong)
		}
	}
	t.Logf("%d messages, %d calls, %d connections", verdict.Handed, verdict.Calls, r.World.Handshakes())
}

// TestFolderReplacedUnderLiveProcess guards against a process that ends because its folder was replaced by an empty one.
func TestFolderReplacedUnderLiveProcess(t *testing.T) {
	w := newWorld(t, func(http.ResponseWriter, string) {})
	w.diskMB = 1.1
	p := w.start()
	c := p.client()
	c.enqueue("first", "harmless", 200000)
	if err := os.RemoveAll(w.state); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(w.state, 0o700); err != nil {
		t.Fatal(err)
	}
	handInThroughFault(t, w, p, func() {})
}

// TestDiskFailsForAWhile guards against a process that ends, or accepts what it can't keep, when the disk refuses for a while.
func TestDiskFailsForAWhile(t *testing.T) {
	for _, fault := range []string{"write=ENOSPC", "write=EIO", "write=short", "allocate=ENOSPC,rename=EIO,remove=EIO,open=EIO", "write=EIO,sync=EIO,allocate=EIO,rename=EIO,remove=EIO,open=EIO"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, func(http.ResponseWriter, string) {})
			w.diskMB = 1.1
			faults := newFaultFile(t, w)
			p := w.start()
			p.client().enqueue("first", "harmless", 200000)
			faults.set(t, "disk "+fault)
			handInThroughFault(t, w, p, func() { faults.set(t, "") })
		})
	}
}

const (
	faultMessages = 300 // of a size that takes many segments
	faultBody     = 16 << 10
)

// handInThroughFault hands messages in while a fault lasts and after heal has ended it: the process goes on, accepts again, and what it accepted is delivered.
func handInThroughFault(t *testing.T, w *world, p *process, heal func()) {
	t.Helper()
	c := p.client()
	body := strings.Repeat("x", faultBody)
	var accepted []string
	hand := func(id string, class string) (isAccepted bool) {
		got := c.try("ENQUEUE", "0", id, fmt.Sprintf("c=%s,d=200000,dest=7", class), body)
		switch {
		case got == "":
			t.Fatalf("%s: the connection ended without an answer", id)
		case got == "+OK":
			accepted = append(accepted, id)
			return true
		case !strings.HasPrefix(got, "-BUSY "):
			t.Fatalf("%s: %q", id, got)
		}
		return false
	}
	classes := []string{"harmless", "unsafe"}
	rng := rand.New(rand.NewPCG(1, 42))
	for i := range faultMessages {
		hand(fmt.Sprint("during-", i), classes[rng.IntN(2)])
	}
	t.Logf("%d of %d accepted during the fault", len(accepted), faultMessages)
	heal()
	limit := time.Now().Add(patience / 2) // the clients' connections last longer
	for i := range faultMessages {
		for n := 0; !hand(fmt.Sprintf("after-%d-%d", i, n), classes[rng.IntN(2)]); n++ {
			if time.Now().After(limit) {
				for len(p.log) > 0 {
					t.Log(<-p.log)
				}
				t.Fatalf("%d of %d messages accepted after the fault", i, faultMessages)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	for _, id := range accepted {
		for w.count(id) == 0 {
			if time.Now().After(limit) {
				t.Fatalf("%s was accepted and never called", id)
			}
			time.Sleep(time.Millisecond)
		}
	}
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Wait(); err != nil {
		t.Errorf("SIGTERM: %v", err)
	}
	w.start()
	for _, id := range accepted {
		if n := w.count(id); n > 1 {
			t.Errorf("%s was called %d times", id, n)
		}
	}
	if len(w.notices) > 0 {
		t.Errorf("notice %q", <-w.notices)
	}
}

// faultFile is the file by which a process's system calls fail.
type faultFile struct{ path string }

func newFaultFile(t *testing.T, w *world) *faultFile {
	f := &faultFile{filepath.Join(t.TempDir(), "faults")}
	w.env = append(w.env, soak.FaultsVariable+"="+f.path)
	return f
}

// set replaces what fails from now on.
func (f *faultFile) set(t *testing.T, text string) {
	t.Helper()
	next := f.path + ".next"
	if err := os.WriteFile(next, []byte(strings.ReplaceAll(text, ",", " ")), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(next, f.path); err != nil {
		t.Fatal(err)
	}
}

// TestKilledAfterFolderReplaced guards against messages that are kept in a folder which no restart finds.
func TestKilledAfterFolderReplaced(t *testing.T) {
	release := make(chan bool)
	w := newWorld(t, func(http.ResponseWriter, string) { <-release })
	p := w.start()
	c := p.client()
	const held = 40
	for i := range held {
		c.enqueue(fmt.Sprint("before-", i), "harmless", 200000)
	}
	if err := os.RemoveAll(w.state); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(w.state, 0o700); err != nil {
		t.Fatal(err)
	}
	p.awaitLog("the journal has all that is held")
	for i := range held {
		c.enqueue(fmt.Sprint("after-", i), "unsafe", 200000)
	}
	p.kill()
	close(release)
	w.start()
	for i := range held {
		for _, id := range []string{fmt.Sprint("before-", i), fmt.Sprint("after-", i)} {
			eventually(t, id+" has its end", func() bool { return w.count(id) > 0 || w.isNoticed(id) })
		}
	}
}

// isNoticed reports whether a final answer of a message has come.
func (w *world) isNoticed(id string) bool {
	for len(w.notices) > 0 {
		ref, _, _ := strings.Cut(<-w.notices, " ")
		w.noticed = append(w.noticed, ref)
	}
	return slices.Contains(w.noticed, id)
}

// TestNoticeWaitsForItsRecord guards against a final answer that a restart does not know of, whose message it would send again.
func TestNoticeWaitsForItsRecord(t *testing.T) {
	release := make(chan bool)
	w := newWorld(t, func(rw http.ResponseWriter, id string) {
		if id == "held" {
			<-release
		}
		rw.WriteHeader(http.StatusInternalServerError) // it may have run
	})
	faults := newFaultFile(t, w)
	p := w.start()
	c := p.client()
	c.enqueue("held", "unsafe", 200000)
	w.await(w.called, "held")
	faults.set(t, "disk write=EIO")
	for i := range 3 { // the loop knows of it
		if got := c.say("ENQUEUE", "0", fmt.Sprint("r", i), "c=unsafe,d=200000,dest=7", "x"); !strings.HasPrefix(got, "-BUSY ") {
			t.Fatal(got)
		}
	}
	close(release)
	p.awaitLogWhile("the journal still can't be kept", func(i int) {
		c.say("ENQUEUE", "0", fmt.Sprint("s", i), "c=unsafe,d=200000,dest=7", "x")
	})
	if len(w.notices) > 0 {
		t.Errorf("notice %q without a record", <-w.notices)
	}
	faults.set(t, "")
	w.await(w.notices, "held dead")
}

// TestStartsWhileDiskRefuses guards against a process that does not start, or loses what it recovered, because its disk refuses at the start.
func TestStartsWhileDiskRefuses(t *testing.T) {
	for _, fault := range []string{"write=EIO", "allocate=ENOSPC", "open=EIO,rename=EIO", "write=short,allocate=EIO,rename=EIO,remove=EIO,open=EIO"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			var accepts atomic.Bool
			w := newWorld(t, rejectingTarget(&accepts))
			faults := newFaultFile(t, w)
			p := w.start()
			c := p.client()
			c.enqueue("told", "harmless", 200000)
			w.await(w.called, "told")
			c.enqueue("recovered", "unsafe", 200000)
			p.kill()
			accepts.Store(true)
			faults.set(t, "disk "+fault)
			p = w.start()
			c = p.client()
			got := c.say("ENQUEUE", "0", "new", "c=unsafe,d=200000,dest=7", "x")
			if got != "+OK" && !strings.HasPrefix(got, "-BUSY ") {
				t.Fatal(got)
			}
			faults.set(t, "")
			w.await(w.called, "recovered")
			for i := 0; c.say("ENQUEUE", "0", fmt.Sprint("after", i), "c=unsafe,d=200000,dest=7", "x") != "+OK"; i++ {
				time.Sleep(10 * time.Millisecond)
			}
			if len(w.notices) > 0 {
				t.Errorf("notice %q", <-w.notices)
			}
		})
	}
}
