package journal

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"scaleroute/internal/message"
)

// TestLargestExtras: a message of the longest body with as much besides as plug-ins and routes may add is read back after a kill.
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
			held := j.Queued()
			if len(held) != 1 || !reflect.DeepEqual(held[0].Extras, x) || held[0].Body.Len() != MaxBody {
				t.Fatalf("%d read back", len(held))
			}
		} else {
			s := &MessageState{ID: strings.Repeat("i", 255), Class: strings.Repeat("c", 255), Origin: strings.Repeat("o", 255), Body: message.Bytes(make([]byte, MaxBody)), Extras: x}
			if room, err := j.Reserve(s.Size()); err != nil || !room {
				t.Fatal(room, err)
			}
			if err := errors.Join(j.RecordAccepted(s), j.Flush()); err != nil {
				t.Fatal(err)
			}
		}
		j.Close()
	}
}

// TestFormatFollowsWhatIsHeld: a folder is readable for older programs as long as no message in it has extras, and
// again once none does.
func TestFormatFollowsWhatIsHeld(t *testing.T) {
	fs := newMemFS()
	open := func(among bool, want uint16) *Journal {
		t.Helper()
		j, err := OpenWith(Options{FS: fs, DiskLimit: smallLimit, AllowExtras: among})
		if err != nil {
			t.Fatal(err)
		}
		if got := j.activeSegment().version; got != want {
			t.Fatalf("format %d, want %d", got, want)
		}
		return j
	}
	open(false, plainVersion).Close()
	j := open(true, version)
	s := &MessageState{ID: "a", Class: "note", Body: message.Bytes("b"), Extras: &message.Extras{Only: []string{"s-1"}}}
	if room, err := j.Reserve(s.Size()); err != nil || !room {
		t.Fatal(room, err)
	}
	if err := j.RecordAccepted(s); err != nil {
		t.Fatal(err)
	}
	if err := j.Flush(); err != nil {
		t.Fatal(err)
	}
	j.Close()
	j = open(false, version) // it is still held
	if got := named(j.Queued()[0].Extras); got != named(s.Extras) {
		t.Fatalf("read back: %s", got)
	}
	j.RecordClosed("a")
	if err := j.Flush(); err != nil {
		t.Fatal(err)
	}
	j.Close()
	open(false, plainVersion).Close()
}
