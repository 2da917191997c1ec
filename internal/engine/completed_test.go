package engine

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"scaleroute/internal/decide"
	"scaleroute/internal/journal"
	"scaleroute/internal/message"
)

// withUnsafeClass adds a class whose messages must not run twice, and a journal that remembers so many of their IDs.
func withUnsafeClass(w *testConfig, dir string, ids int64) {
	const idBytes = 24 // in the journal's folder
	w.settings.Classes = append(w.settings.Classes, decide.Class{Name: "unsafe", Effect: decide.AtMostOnce, OnTime: 10 * time.Second, Deadline: time.Minute, Value: 1})
	w.dir = dir
	w.journal = journal.Options{FS: journal.DirFS(dir), CompletedIDBytes: ids * idBytes}
}

func unsafeMessage(id string) *message.Message {
	m := note(id)
	m.Class = "unsafe"
	return m
}

// TestRefusedWithoutRoomForID guards against accepting a message that must not run twice and whose ID could not be remembered, and against
// refusing others.
func TestRefusedWithoutRoomForID(t *testing.T) {
	const ids = 3
	answered := make(chan MessageOutcome, 10)
	n := startEngine(t, func(w *testConfig) {
		withUnsafeClass(w, t.TempDir(), ids)
		w.onOutcome = func(o MessageOutcome) { answered <- o }
	})
	for i := range ids {
		answer := n.engine.Accept(unsafeMessage(fmt.Sprint("m", i)))
		if answer.Kind != Accepted {
			t.Fatalf("message %d: %+v", i, answer)
		}
		answer.ConfirmWritten(true)
		<-n.calls
		<-answered
	}
	if got := n.engine.Accept(unsafeMessage("more")); got.Kind != Refused || got.RetryAfter != storageRetryAfter {
		t.Errorf("without room for its ID: %+v", got)
	}
	if got := n.engine.Accept(note("harmless")); got.Kind != Accepted {
		t.Errorf("a message that may run again: %+v", got)
	}
	if got := n.engine.Accept(unsafeMessage("m0")); got.Kind != Accepted || got.ConfirmWritten != nil {
		t.Errorf("a delivered message again: %+v", got)
	}
}

// TestRecoveredAfterItsIDWasRecorded guards against reporting a delivered message as failed, because the process was killed after the record
// of its ID and before the record of its end.
func TestRecoveredAfterItsIDWasRecorded(t *testing.T) {
	dir := t.TempDir()
	options := journal.Options{DiskLimit: 3e6, CompletedIDBytes: 2400}
	j, err := journal.Open(dir, options)
	if err != nil {
		t.Fatal(err)
	}
	m := unsafeMessage("m")
	s := &journal.MessageState{ID: m.ID, Class: m.Class, Dest: m.Destination, Body: m.Body, Deadline: time.Now().Add(time.Minute)}
	if reserved, err := j.Reserve(s.Size()); err != nil || !reserved {
		t.Fatal(reserved, err)
	}
	j.RecordAccepted(s)
	j.RecordSending(s.ID)
	mustFlush(t, j)
	segments, err := filepath.Glob(filepath.Join(dir, "*.seg"))
	if err != nil || len(segments) != 1 {
		t.Fatal(segments, err)
	}
	before, err := os.ReadFile(segments[0])
	if err != nil {
		t.Fatal(err)
	}
	j.RecordCompleted(s.ID, journal.Delivered)
	mustFlush(t, j)
	j.Close()
	if err := os.WriteFile(segments[0], before, 0o600); err != nil { // as if the last write had not been made
		t.Fatal(err)
	}
	if j, err = journal.Open(dir, options); err != nil {
		t.Fatal(err)
	}
	defer j.Close()
	if len(j.Queued()) != 1 || j.Completed("m") != journal.Delivered {
		t.Fatalf("%d messages are open, m is %q", len(j.Queued()), j.Completed("m"))
	}
	settings := decide.Settings{Slots: 8, MaxOpen: 100, MaxAttempts: 6, ConnIdle: time.Minute, ConnectTimeout: time.Minute, MaxRetryAfter: 3 * time.Second, StartCapacity: 0.9,
		OverloadFactor: 2, OverloadOutage: 3 * time.Second, Weights: decide.ExactWeights, Classes: []decide.Class{{Name: "unsafe", Effect: decide.AtMostOnce, Deadline: time.Minute, OnTime: time.Minute, Value: 1}}}
	notices := make(chan Completion, 1)
	l, err := New(Config{Settings: settings, Journal: j, Back: &fakeBack{names: map[string]bool{}}, CompletionNotifiers: map[string]CompletionNotifier{"": notifierFunc(func(c Completion) { notices <- c })}})
	if err != nil {
		t.Fatal(err)
	}
	l.Recover()
	ctx, cancel := context.WithCancel(t.Context())
	l.Finish()
	ended := make(chan error, 1)
	go func() { ended <- l.Run(ctx) }()
	select {
	case <-l.Idle():
	case <-time.After(10 * time.Second):
		t.Error("the message is still open")
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if len(notices) > 0 {
		t.Errorf("notice %+v", <-notices)
	}
}

// notifierFunc is a function as a CompletionNotifier.
type notifierFunc func(Completion)

func (f notifierFunc) NotifyCompletion(c Completion) { f(c) }

func mustFlush(t *testing.T, j *journal.Journal) {
	t.Helper()
	if err := j.Flush(); err != nil {
		t.Fatal(err)
	}
}
