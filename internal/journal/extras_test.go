package journal

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"scaleroute/internal/message"
)

// TestLargestExtras guards against losing a message of the largest size: the longest body with as many extras as
// plug-ins and routes may add is read back after a restart.
func TestLargestExtras(t *testing.T) {
	x := &message.Extras{Route: strings.Repeat("r", 255), Requested: -7}
	for n := range 32 {
		name := fmt.Sprintf("%0255d", n)
		x.Only, x.Prefer = append(x.Only, name), append(x.Prefer, name)
		x.Header = append(x.Header, message.Field{Name: strings.Repeat("n", 64), Value: strings.Repeat("v", 1024)})
	}
	fs := newMemFS()
	for n := range 2 {
		j, err := OpenWith(Options{FS: fs, DiskLimit: 50_000_000, AllowExtras: true})
		if err != nil {
			t.Fatal(err)
		}
		if n == 1 {
			queued := j.Queued()
			if len(queued) != 1 || !reflect.DeepEqual(queued[0].Extras, x) || queued[0].Body.Len() != MaxBody {
				t.Fatalf("%d messages read back, or not the one that was written", len(queued))
			}
		} else {
			s := &MessageState{ID: strings.Repeat("i", 255), Class: strings.Repeat("c", 255), Origin: strings.Repeat("o", 255), Body: message.Bytes(make([]byte, MaxBody)), Extras: x}
			if reserved, err := j.Reserve(s.Size()); err != nil || !reserved {
				t.Fatal(reserved, err)
			}
			if err := errors.Join(j.RecordAccepted(s), j.Flush()); err != nil {
				t.Fatal(err)
			}
		}
		j.Close()
	}
}

// TestFormatFollowsQueuedExtras: older programs can read a folder as long as no message in it has extras, and again once
// none has.
func TestFormatFollowsQueuedExtras(t *testing.T) {
	fs := newMemFS()
	open := func(allowExtras bool, want uint16) *Journal {
		t.Helper()
		j, err := OpenWith(Options{FS: fs, DiskLimit: smallLimit, AllowExtras: allowExtras})
		if err != nil {
			t.Fatal(err)
		}
		if got := j.activeSegment().version; got != want {
			t.Fatalf("the format is %d, want %d", got, want)
		}
		return j
	}
	open(false, formatWithoutExtras).Close()
	j := open(true, formatVersion)
	s := &MessageState{ID: "a", Class: "note", Body: message.Bytes("b"), Extras: &message.Extras{Only: []string{"s-1"}}}
	if reserved, err := j.Reserve(s.Size()); err != nil || !reserved {
		t.Fatal(reserved, err)
	}
	if err := j.RecordAccepted(s); err != nil {
		t.Fatal(err)
	}
	if err := j.Flush(); err != nil {
		t.Fatal(err)
	}
	j.Close()
	j = open(false, formatVersion) // the message is still queued
	if got := describeExtras(j.Queued()[0].Extras); got != describeExtras(s.Extras) {
		t.Fatalf("extras read back: %s", got)
	}
	j.RecordClosed("a")
	if err := j.Flush(); err != nil {
		t.Fatal(err)
	}
	j.Close()
	open(false, formatWithoutExtras).Close()
}
