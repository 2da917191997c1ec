package engine

import "testing"

// TestShutOutMakesNoCall: an engine that begins shut out refuses before anything else, and one that is shut out while a client's +OK is on its way does not send what was decided before.
func TestShutOutMakesNoCall(t *testing.T) {
	n := startLoop(t, func(w *world) { w.acting = &Accounting{FencedOff: "behind"} })
	if a := n.loop.Accept(note("first")); a.Kind == Accepted {
		t.Errorf("taken, though it begins shut out: %+v", a)
	}
	n.loop.SetFencedOff("", "test")
	a := n.loop.Accept(note("decided"))
	if a.Kind != Accepted {
		t.Fatalf("%+v", a)
	}
	n.loop.SetFencedOff("behind", "test")
	a.ConfirmWritten(true)
	n.loop.SetFencedOff("", "test")
	if a = n.loop.Accept(note("last")); a.Kind != Accepted {
		t.Fatalf("%+v", a)
	}
	a.ConfirmWritten(true)
	if id := <-n.calls; id != "last" {
		t.Errorf("%s is sent", id)
	}
}
