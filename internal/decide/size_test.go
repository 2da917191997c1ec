package decide_test

import (
	"fmt"
	"testing"
	"time"

	. "scaleroute/internal/decide"
)

// held makes a module (or its oracle) with so many destinations, all but the first of which have
// messages that wait out a told wait, so many together.
func atSize(tb testing.TB, f stepper, dests, held int) {
	list := TargetList{Scope: Whole}
	for d := range dests {
		list.Targets = append(list.Targets, Target{ID: fmt.Sprint("t", d), Destination: d, Kind: "std", Zone: "a", Weight: 1e6})
	}
	f.Step(0, []Event{list})
	sent := map[string]string{}
	var events []Event
	for i := range held {
		d := 1 + i%(dests-1)
		m := Message{ID: fmt.Sprint("h", i), Class: "pure", Destination: d, Left: time.Hour}
		events = append(events, m)
		if i < dests-1 {
			sent[m.ID] = fmt.Sprint("t", d)
		}
	}
	for len(sent) > 0 { // the first of each is told to wait
		actions := f.Step(0, events)
		events = nil
		for _, a := range actions {
			if s, ok := a.(Send); ok {
				delete(sent, s.Message)
				events = append(events, Outcome{Message: s.Message, Target: s.Target, Result: Full, Wait: 1000 * time.Hour, Took: time.Millisecond})
			}
		}
		if len(events) == 0 {
			tb.Fatal("no destination is sent to")
		}
	}
	f.Step(0, events)
}

func sizeSettings() Settings {
	return Settings{Slots: 512, MaxAttempts: 6, MayCancel: true, Forwarders: 1, Zone: "a", Weights: ExactWeights,
		Classes: []Class{{Name: "pure", Effect: Pure, Aim: time.Hour, Deadline: time.Hour, Worth: 1, LateShare: .4}},
		Kinds:   []Kind{{Name: "std", PerCall: 1}}, ConnectPrice: .06, ConnIdle: 10 * time.Second, ConnectLimit: time.Second,
		AdviceLimit: 2 * time.Second, DrainGrace: time.Second, StartCapacity: .2, Cold: 10 * time.Second, TipMultiple: 2, Fall: 1e6 * time.Hour}
}

// oneMessage takes a message on, sends it and has it answered.
func oneMessage(tb testing.TB, f stepper, now time.Duration, id string) {
	sent := false
	for _, a := range f.Step(now, []Event{Message{ID: id, Class: "pure", Destination: 0, Left: time.Hour}}) {
		s, ok := a.(Send)
		sent = sent || ok && s.Message == id
	}
	if !sent {
		tb.Fatalf("%s is not sent", id)
	}
	f.Step(now+time.Millisecond, []Event{Outcome{Message: id, Target: "t0", Result: Done, Over: true, Took: time.Millisecond}})
}

// BenchmarkMessageAtSize is the cost of one message through the module - taken, sent, answered - while
// all other destinations have messages that wait out a told wait. 'scans' is the oracle, for a comparison.
func BenchmarkMessageAtSize(b *testing.B) {
	for _, size := range []struct{ dests, held int }{{20, 1000}, {200, 10_000}, {2000, 10_000}, {2000, 100_000}, {20_000, 200_000}} {
		for _, kind := range []string{"indexes", "scans"} {
			if kind == "scans" && size.dests > 200 {
				continue
			}
			b.Run(fmt.Sprintf("%s/destinations=%d/held=%d", kind, size.dests, size.held), func(b *testing.B) {
				f := newStepper(b, kind, sizeSettings())
				atSize(b, f, size.dests, size.held)
				now := time.Second
				b.ReportAllocs()
				for n := 0; b.Loop(); n++ {
					now += 2 * time.Millisecond
					oneMessage(b, f, now, fmt.Sprint("m", n))
				}
			})
		}
	}
}

func newStepper(tb testing.TB, kind string, set Settings) stepper {
	if kind == "scans" {
		f, err := newScanner(set)
		if err != nil {
			tb.Fatal(err)
		}
		return f
	}
	f, err := New(set)
	if err != nil {
		tb.Fatal(err)
	}
	return f
}
