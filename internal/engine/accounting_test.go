package engine

import "testing"

// TestFencedOffMakesNoCall checks that an engine that starts fenced off refuses the first message, and that an engine that is fenced off while a
// client's +OK is being written does not make the attempt that it decided before.
func TestFencedOffMakesNoCall(t *testing.T) {
	n := startEngine(t, func(w *testConfig) { w.accounting = &Accounting{FencedOff: "behind"} })
	if a := n.engine.Accept(note("first")); a.Kind == Accepted {
		t.Errorf("accepted although the engine starts fenced off: %+v", a)
	}
	n.engine.SetFencedOff("", "test")
	a := n.engine.Accept(note("decided"))
	if a.Kind != Accepted {
		t.Fatalf("%+v", a)
	}
	n.engine.SetFencedOff("behind", "test")
	a.ConfirmWritten(true)
	n.engine.SetFencedOff("", "test")
	if a = n.engine.Accept(note("last")); a.Kind != Accepted {
		t.Fatalf("%+v", a)
	}
	a.ConfirmWritten(true)
	if id := <-n.calls; id != "last" {
		t.Errorf("%s was sent", id)
	}
}
