package engine

import (
	"context"
	"slices"
	"testing"

	"scaleroute/internal/decide"
	"scaleroute/internal/journal"
	"scaleroute/internal/message"
)

// journalWithMessage returns a journal that has accepted the message m, and what it knows of that.
func journalWithMessage(t *testing.T) (*journal.Journal, *journal.MessageState) {
	t.Helper()
	j := mustJournal(t, t.TempDir(), 3e6)
	s := &journal.MessageState{ID: "m", Class: "note", Body: message.Bytes(nil)}
	if _, err := j.Reserve(0); err != nil {
		t.Fatal(err)
	}
	if err := j.RecordAccepted(s); err != nil {
		t.Fatal(err)
	}
	return j, s
}

// renamedBack is a back whose only endpoint can be replaced.
type renamedBack struct{ current Caller }

func (*renamedBack) UpdateEndpoints(List)     {}
func (b *renamedBack) Endpoint(string) Caller { return b.current }

// namedCaller is a Caller that must not be called.
type namedCaller struct {
	t    *testing.T
	name string
}

func (namedCaller) CloseIdle() {}
func (c namedCaller) Call(context.Context, Attempt) decide.Outcome {
	c.t.Errorf("the %s endpoint was called", c.name)
	return decide.Outcome{Result: decide.NotSent}
}

// drainingCaller is an endpoint that begins to drain, as a back has it.
type drainingCaller struct {
	namedCaller
	reason *string
}

func (c drainingCaller) WithheldReason() string { return *c.reason }

// TestPendingAttemptOfDrainingEndpoint guards against calls in the audit log that began, to a draining endpoint, under the list that has the drain: an attempt
// that waits for its client's +OK, or for the fence, is not begun if its endpoint drains meanwhile.
func TestPendingAttemptOfDrainingEndpoint(t *testing.T) {
	for _, drains := range []bool{false, true} {
		j, s := journalWithMessage(t)
		reason := ""
		e := &entry{saved: s}
		l := &Engine{journal: j, back: &renamedBack{current: drainingCaller{namedCaller{t, "draining"}, &reason}}, entries: map[string]*entry{"m": e}}
		l.counters.init(false, nil, nil)
		l.perform(t.Context(), decide.Send{Message: "m", Target: "s1"})
		if drains {
			reason = "endpoint draining"
		}
		l.handleAck(t.Context(), ackWritten{e, true}) // effects are not run: no call is made
		var want []decide.Event
		if drains {
			want = []decide.Event{decide.Outcome{Message: "m", Attempt: 0, Target: "s1", Result: decide.NotSent}}
		}
		if began := len(e.calls) > 0; !slices.Equal(l.events, want) || began == drains {
			t.Errorf("drains: %v; events %+v, %d calls in flight", drains, l.events, len(e.calls))
		}
		if n := l.counters.withheld.snapshot()[reason]; drains && n != 1 {
			t.Errorf("%d counted as withheld", n)
		}
	}
}

// TestPendingAttemptKeepsItsEndpoint: an attempt that waits for its client's +OK is not made if its endpoint was withdrawn meanwhile, and does not go to
// another one that has the name since.
func TestPendingAttemptKeepsItsEndpoint(t *testing.T) {
	for name, later := range map[string]Caller{"renamed": namedCaller{t, "later"}, "gone": nil} {
		t.Run(name, func(t *testing.T) {
			j, s := journalWithMessage(t)
			back := &renamedBack{current: namedCaller{t, "former"}}
			e := &entry{saved: s}
			l := &Engine{journal: j, back: back, entries: map[string]*entry{"m": e}}
			l.counters.init(false, nil, nil)
			l.perform(t.Context(), decide.Send{Message: "m", Target: "s1"})
			back.current = later
			l.handleAck(t.Context(), ackWritten{e, true})
			l.runEffects()
			want := []decide.Event{decide.Outcome{Message: "m", Attempt: 0, Target: "s1", Result: decide.NotSent}}
			if !slices.Equal(l.events, want) || len(e.calls) != 0 || s.PossiblyRan() {
				t.Errorf("events %+v, %d calls in flight, journal entry %+v", l.events, len(e.calls), s)
			}
			if n := l.counters.withheld.snapshot()[withdrawnWhilePending]; n != 1 {
				t.Errorf("%d counted as withheld", n)
			}
		})
	}
}
