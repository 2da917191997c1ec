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
	repeatedResponses = 0.3
	repeatWithin      = 12 * time.Millisecond
)

// TestRepeatedResponseIsNotNextCalls: a late duplicate of a response must not complete the next call on the connection.
func TestRepeatedResponseIsNotNextCalls(t *testing.T) {
	const loadFor = 4 * time.Second
	r := newFleetRig(t, fleet.Shape{Forwarders: 3, Destinations: 4, Targets: 2, Slots: 16, Left: 6 * time.Second}, newFleetLogs())
	for _, e := range r.World.Endpoints {
		e.Set(standin.Script{Latency: 5 * time.Millisecond, Jitter: 20 * time.Millisecond, Errors: 0.05, Full: 0.02, Repeats: repeatedResponses, RepeatWithin: repeatWithin})
	}
	done := make(chan struct{})
	wait := r.Load(150, 24, 100, done)
	time.Sleep(loadFor)
	close(done)
	wait()
	if open := r.Settle(r.Nodes, 8*time.Second); open > 0 {
		t.Errorf("%d messages are not completed", open)
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

// TestFolderReplacedUnderLiveProcess: the process must not end when its state folder is replaced by an empty one.
func TestFolderReplacedUnderLiveProcess(t *testing.T) {
	w := newTestEnv(t, func(http.ResponseWriter, string) {})
	w.diskMB = 1.1
	p := w.start()
	c := p.connect()
	c.mustEnqueue("first", "harmless", 200000)
	if err := os.RemoveAll(w.state); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(w.state, 0o700); err != nil {
		t.Fatal(err)
	}
	enqueueThroughFault(t, w, p, func() {})
}

// TestDiskFailsTemporarily: the process must not end, or accept messages that it can't write, while the disk fails.
func TestDiskFailsTemporarily(t *testing.T) {
	for _, fault := range []string{"write=ENOSPC", "write=EIO", "write=short", "allocate=ENOSPC,rename=EIO,remove=EIO,open=EIO", "write=EIO,sync=EIO,allocate=EIO,rename=EIO,remove=EIO,open=EIO"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			w := newTestEnv(t, func(http.ResponseWriter, string) {})
			w.diskMB = 1.1
			faults := newFaultFile(t, w)
			p := w.start()
			p.connect().mustEnqueue("first", "harmless", 200000)
			faults.set(t, "disk "+fault)
			enqueueThroughFault(t, w, p, func() { faults.set(t, "") })
		})
	}
}

const (
	messagesPerPhase = 300 // with bodies that fill many journal segments
	faultBodyBytes   = 16 << 10
)

// enqueueThroughFault sends messages during a fault and after heal has ended it: the process keeps running, accepts messages again, and delivers every accepted message.
func enqueueThroughFault(t *testing.T, w *testEnv, p *process, heal func()) {
	t.Helper()
	c := p.connect()
	body := strings.Repeat("x", faultBodyBytes)
	var accepted []string
	enqueue := func(id string, class string) (isAccepted bool) {
		got := c.tryDo("ENQUEUE", "0", id, fmt.Sprintf("c=%s,d=200000,dest=7", class), body)
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
	for i := range messagesPerPhase {
		enqueue(fmt.Sprint("during-", i), classes[rng.IntN(2)])
	}
	t.Logf("%d of %d accepted during the fault", len(accepted), messagesPerPhase)
	heal()
	limit := time.Now().Add(testTimeout / 2) // the clients' connections have a longer deadline
	for i := range messagesPerPhase {
		for n := 0; !enqueue(fmt.Sprintf("after-%d-%d", i, n), classes[rng.IntN(2)]); n++ {
			if time.Now().After(limit) {
				for len(p.log) > 0 {
					t.Log(<-p.log)
				}
				t.Fatalf("%d of %d messages accepted after the fault", i, messagesPerPhase)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	for _, id := range accepted {
		for w.callCount(id) == 0 {
			if time.Now().After(limit) {
				t.Fatalf("%s was accepted and never sent", id)
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
		if n := w.callCount(id); n > 1 {
			t.Errorf("%s was sent %d times", id, n)
		}
	}
	if len(w.notices) > 0 {
		t.Errorf("notice %q", <-w.notices)
	}
}

// faultFile is the file that lists the faults to inject into a process's system calls.
type faultFile struct{ path string }

func newFaultFile(t *testing.T, w *testEnv) *faultFile {
	f := &faultFile{filepath.Join(t.TempDir(), "faults")}
	w.env = append(w.env, soak.FaultsVariable+"="+f.path)
	return f
}

// set replaces the injected faults.
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

// TestKilledAfterFolderReplaced: messages must be written to the folder that a restart reads, not to the removed one.
func TestKilledAfterFolderReplaced(t *testing.T) {
	release := make(chan bool)
	w := newTestEnv(t, func(http.ResponseWriter, string) { <-release })
	p := w.start()
	c := p.connect()
	const queued = 40
	for i := range queued {
		c.mustEnqueue(fmt.Sprint("before-", i), "harmless", 200000)
	}
	if err := os.RemoveAll(w.state); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(w.state, 0o700); err != nil {
		t.Fatal(err)
	}
	p.awaitLog("the journal has all that is held")
	for i := range queued {
		c.mustEnqueue(fmt.Sprint("after-", i), "unsafe", 200000)
	}
	p.kill()
	close(release)
	w.start()
	for i := range queued {
		for _, id := range []string{fmt.Sprint("before-", i), fmt.Sprint("after-", i)} {
			eventually(t, id+" is sent or reported", func() bool { return w.callCount(id) > 0 || w.hasNotice(id) })
		}
	}
}

// hasNotice reports whether a completion notice of a message has arrived.
func (w *testEnv) hasNotice(id string) bool {
	for len(w.notices) > 0 {
		ref, _, _ := strings.Cut(<-w.notices, " ")
		w.readNotices = append(w.readNotices, ref)
	}
	return slices.Contains(w.readNotices, id)
}

// TestNoticeWaitsForJournalRecord: a completion notice must not be sent before its journal record, or a restart would send the message again.
func TestNoticeWaitsForJournalRecord(t *testing.T) {
	release := make(chan bool)
	w := newTestEnv(t, func(rw http.ResponseWriter, id string) {
		if id == "held" {
			<-release
		}
		rw.WriteHeader(http.StatusInternalServerError) // the message may have run
	})
	faults := newFaultFile(t, w)
	p := w.start()
	c := p.connect()
	c.mustEnqueue("held", "unsafe", 200000)
	w.awaitValue(w.called, "held")
	faults.set(t, "disk write=EIO")
	for i := range 3 { // the rejections show that the event loop has noticed the fault
		if got := c.do("ENQUEUE", "0", fmt.Sprint("r", i), "c=unsafe,d=200000,dest=7", "x"); !strings.HasPrefix(got, "-BUSY ") {
			t.Fatal(got)
		}
	}
	close(release)
	p.awaitLogWhile("the journal still can't be kept", func(i int) {
		c.do("ENQUEUE", "0", fmt.Sprint("s", i), "c=unsafe,d=200000,dest=7", "x")
	})
	if len(w.notices) > 0 {
		t.Errorf("notice %q without a journal record", <-w.notices)
	}
	faults.set(t, "")
	w.awaitValue(w.notices, "held dead")
}

// TestStartsWhileDiskFails: the process must start, and keep the recovered messages, though its disk fails at the start.
func TestStartsWhileDiskFails(t *testing.T) {
	for _, fault := range []string{"write=EIO", "allocate=ENOSPC", "open=EIO,rename=EIO", "write=short,allocate=EIO,rename=EIO,remove=EIO,open=EIO"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			var accepts atomic.Bool
			w := newTestEnv(t, rejectingTarget(&accepts))
			faults := newFaultFile(t, w)
			w.queueBehindRetryAfter("recovered", 200000)
			accepts.Store(true)
			faults.set(t, "disk "+fault)
			c := w.start().connect()
			got := c.do("ENQUEUE", "0", "new", "c=unsafe,d=200000,dest=7", "x")
			if got != "+OK" && !strings.HasPrefix(got, "-BUSY ") {
				t.Fatal(got)
			}
			faults.set(t, "")
			w.awaitValue(w.called, "recovered")
			for i := 0; c.do("ENQUEUE", "0", fmt.Sprint("after", i), "c=unsafe,d=200000,dest=7", "x") != "+OK"; i++ {
				time.Sleep(10 * time.Millisecond)
			}
			if len(w.notices) > 0 {
				t.Errorf("notice %q", <-w.notices)
			}
		})
	}
}
