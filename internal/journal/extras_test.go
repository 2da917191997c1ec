package journal

import (
	"testing"

	"scaleroute/internal/message"
)

// TestFormatFollowsWhatIsHeld: a folder is readable for older programs as long as no message in it has extras, and
// again once none does.
func TestFormatFollowsWhatIsHeld(t *testing.T) {
	fs := newMemFS()
	open := func(among bool, want uint16) *Journal {
		t.Helper()
		j, err := OpenWith(Options{FS: fs, Limit: smallLimit, Extras: among})
		if err != nil {
			t.Fatal(err)
		}
		if got := j.active().version; got != want {
			t.Fatalf("format %d, want %d", got, want)
		}
		return j
	}
	open(false, plainVersion).Close()
	j := open(true, version)
	s := &Saved{ID: "a", Class: "note", Body: message.Bytes("b"), Extras: &message.Extras{Only: []string{"s-1"}}}
	if room, err := j.Reserve(s.Size()); err != nil || !room {
		t.Fatal(room, err)
	}
	if err := j.Accepted(s); err != nil {
		t.Fatal(err)
	}
	if err := j.Flush(); err != nil {
		t.Fatal(err)
	}
	j.Close()
	j = open(false, version) // it is still held
	if got := named(j.Held()[0].Extras); got != named(s.Extras) {
		t.Fatalf("read back: %s", got)
	}
	j.Closed("a")
	if err := j.Flush(); err != nil {
		t.Fatal(err)
	}
	j.Close()
	open(false, plainVersion).Close()
}
