package engine

import (
	"context"
	"fmt"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"scaleroute/internal/decide"
	"scaleroute/internal/journal"
)

// connectingCalls is a Call that waits for a connection until release is closed, and then for the permission to write.
type connectingCalls struct {
	began   chan string
	release chan bool
	written chan string
}

func newConnectingCalls() *connectingCalls {
	return &connectingCalls{began: make(chan string, 10), release: make(chan bool), written: make(chan string, 10)}
}

func (c *connectingCalls) call(ctx context.Context, a Attempt) decide.Outcome {
	c.began <- a.ID
	select {
	case <-c.release:
	case <-ctx.Done():
		return decide.Outcome{Result: decide.ConnectFailed}
	}
	if !a.RecordSending(ctx) {
		return decide.Outcome{Result: decide.NotSent}
	}
	c.written <- a.ID
	<-ctx.Done()
	return decide.Outcome{Result: decide.Cancelled}
}

// TestJournalWhileConnecting: a message whose connection was still being established counted as one that may have run.
func TestJournalWhileConnecting(t *testing.T) {
	calls := newConnectingCalls()
	n := startEngine(t, func(w *testConfig) {
		w.waitsForConnection = true
		w.call = calls.call
	})
	n.engine.Accept(note("m")).ConfirmWritten(true)
	<-calls.began
	n.engine.Accept(note("next")) // in a later step than the beginning of the call
	if s := n.onDisk(t)["m"]; s.Attempts != 0 || s.PossiblyRan() {
		t.Errorf("journal entry before the connection is ready: %+v", s)
	}
	close(calls.release)
	<-calls.written
	if s := n.onDisk(t)["m"]; s.Attempts != 1 || !s.InFlight {
		t.Errorf("journal entry when the first byte may leave: %+v", s)
	}
}

// TestStopWhileConnecting: a call that the end of the process interrupted before it had a connection counted as a failed attempt, so that the next process
// did not send the message before its retry budget allowed one.
func TestStopWhileConnecting(t *testing.T) {
	for range 20 { // the outcome comes before or after the end of the loop
		calls := newConnectingCalls()
		n := startEngine(t, func(w *testConfig) {
			w.waitsForConnection = true
			w.call = calls.call
		})
		n.engine.Accept(note("m")).ConfirmWritten(true)
		<-calls.began
		n.stop()
		if s := n.onDisk(t)["m"]; s.Attempts != 0 || s.PossiblyRan() {
			t.Fatalf("journal entry after the stop: %+v", s)
		}
	}
}

// failingFS is a folder whose files can't be written while it fails.
type failingFS struct {
	journal.FS
	fails atomic.Bool
}

type failingFile struct {
	journal.File
	fs *failingFS
}

func (f *failingFS) Open(name string, create bool) (journal.File, error) {
	file, err := f.FS.Open(name, create)
	return failingFile{file, f}, err
}

func (f failingFile) WriteAt(b []byte, offset int64) (int, error) {
	if f.fs.fails.Load() {
		return 0, syscall.ENOSPC
	}
	return f.File.WriteAt(b, offset)
}

// TestDiskFailsWhileConnecting: when a connection is ready but the journal can't be written, a message that must not run twice is not sent before the
// journal works again, and one that may be repeated is sent at once.
func TestDiskFailsWhileConnecting(t *testing.T) {
	for name, effect := range map[string]decide.Effect{"may be repeated": decide.Idempotent, "must not run twice": decide.AtMostOnce} {
		t.Run(name, func(t *testing.T) {
			calls := newConnectingCalls()
			fs := &failingFS{FS: journal.DirFS(t.TempDir())}
			n := startEngine(t, func(w *testConfig) {
				w.waitsForConnection, w.mayFail = true, true
				w.call = calls.call
				w.settings.Classes[0].Effect = effect
				w.journal = journal.Options{FS: fs}
			})
			n.engine.Accept(note("m")).ConfirmWritten(true)
			<-calls.began
			fs.fails.Store(true)
			close(calls.release)
			if effect == decide.Idempotent {
				<-calls.written
				return
			}
			for n.engine.JournalFailing().IsZero() { // until the loop has met the failure, which answers the request of the call
				select {
				case id := <-calls.written:
					t.Fatalf("%s was written without its record", id)
				default:
				}
			}
			fs.fails.Store(false)
			<-calls.written
		})
	}
}

// TestHedgeWhileConnecting: while a hedged request has no connection yet, the journal knows of the first call alone; a hedged request that never gets one leaves
// the message as one that may have run.
func TestHedgeWhileConnecting(t *testing.T) {
	hedging, release := make(chan bool, 1), make(chan bool)
	n := startEngine(t, func(w *testConfig) {
		w.settings.Hedging, w.settings.MayCancel, w.settings.Weights = true, true, decide.NoWeights
		w.settings.Limits = func(string, int, string) decide.Limits { return decide.Limits{HedgeDelay: 20 * time.Millisecond} }
		w.list.Endpoints = append(w.list.Endpoints, Endpoint{Target: decide.Target{ID: "s2", Destination: 7}})
		w.waitsForConnection = true
		w.call = func(ctx context.Context, a Attempt) decide.Outcome {
			if a.ID == "m" && a.Number == 1 { // the hedged request
				hedging <- true
				<-release
				return decide.Outcome{Result: decide.ConnectFailed}
			}
			if !a.RecordSending(ctx) {
				return decide.Outcome{Result: decide.NotSent}
			}
			if a.ID == "m" {
				<-ctx.Done()
				return decide.Outcome{Result: decide.Cancelled}
			}
			return decide.Outcome{Result: decide.Succeeded, NoAnswerNeeded: true, Latency: time.Millisecond}
		}
	})
	for i := range 30 { // first attempts: hedged requests may be a fifth of them
		n.engine.Accept(note(fmt.Sprint("plain", i))).ConfirmWritten(true)
	}
	for len(n.onDisk(t)) > 0 {
		time.Sleep(time.Millisecond)
	}
	n.engine.Accept(note("m")).ConfirmWritten(true)
	<-hedging
	if s := n.onDisk(t)["m"]; s.Attempts != 1 || !s.InFlight {
		t.Errorf("while the hedged request has no connection: %+v", s)
	}
	close(release)
	for n.onDisk(t)["m"].Attempts < 2 {
		time.Sleep(time.Millisecond)
	}
	if s := n.onDisk(t)["m"]; !s.PossiblyRan() {
		t.Errorf("after the hedged request got no connection: %+v", s)
	}
}

// notices is a CompletionNotifier that passes completion notices on.
type notices chan Completion

func (n notices) NotifyCompletion(c Completion) { n <- c }

// TestKillBeforeFirstByte: the next process is started on the folder as a kill leaves it between the readiness of a connection and the first byte of a message
// that must not run twice. Before the record the message is sent; after it the message is reported as failed and not sent.
func TestKillBeforeFirstByte(t *testing.T) {
	for _, isRecorded := range []bool{false, true} {
		t.Run(fmt.Sprintf("recorded=%t", isRecorded), func(t *testing.T) {
			calls := newConnectingCalls()
			n := startEngine(t, func(w *testConfig) {
				w.waitsForConnection, w.call = true, calls.call
				w.settings.Classes[0].Effect = decide.AtMostOnce
			})
			n.engine.Accept(note("m")).ConfirmWritten(true)
			<-calls.began
			if isRecorded {
				close(calls.release)
				<-calls.written // the call may write its first byte, and has not
			} else {
				n.engine.Accept(note("next")) // in a later step than the beginning of the call
			}
			folder := t.TempDir()
			if err := os.CopyFS(folder, os.DirFS(n.dir)); err != nil {
				t.Fatal(err)
			}
			ended := make(notices, 10)
			next := startEngine(t, func(w *testConfig) {
				w.dir, w.notifier = folder, ended
				w.settings.Classes[0].Effect = decide.AtMostOnce
			})
			for limit := time.After(time.Minute); ; {
				select {
				case c := <-ended:
					if !isRecorded || c.ID != "m" || !c.Failed || len(next.calls) > 0 {
						t.Errorf("%+v, %d calls", c, len(next.calls))
					}
					return
				case id := <-next.calls:
					if isRecorded {
						t.Errorf("%s was sent", id)
					}
					if id == "m" {
						return
					}
				case <-limit:
					t.Fatal("neither sent nor ended")
				}
			}
		})
	}
}
