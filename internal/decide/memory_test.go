package decide_test

import (
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
	. "scaleroute/internal/decide"
)

// TestRestoreGoesOn plays streams of events to a module. Somewhere in each, another one is made from what it remembers, its host's list and
// what its host holds, with calls out, waits, outages and budgets; from then on both must do the same, action by action.
func TestRestoreGoesOn(t *testing.T) {
	manyStreams(t, "500")
	sends, out, ends := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		set := drawSettings(t)
		s := newStream(t, set)
		module, err := New(set)
		if err != nil {
			t.Fatal(err)
		}
		first := rapid.IntRange(1, 300).Draw(t, "before")
		held := map[string]Message{}
		var order []string
		listed := map[string]Target{}
		mayRun, stopping := map[string]bool{}, false
		var other *Forwarder
		for step := range first + rapid.IntRange(1, 200).Draw(t, "after") {
			events := s.events()
			for _, e := range events {
				switch e := e.(type) {
				case Message:
					if _, there := held[e.ID]; !there {
						held[e.ID], mayRun[e.ID] = e, e.MayHaveRun
						order = append(order, e.ID)
					}
				case Outcome:
					mayRun[e.Message] = mayRun[e.Message] || e.Result != Overloaded && e.Result != ConnectFailed && e.Result != NotSent
				case TargetList:
					if e.Scope == Snapshot || e.Scope == LastKnown {
						clear(listed)
					}
					for _, target := range e.Targets {
						if listed[target.ID] = target; target.State == Gone {
							delete(listed, target.ID)
						}
					}
				case Stopping:
					stopping = true // what is handed over is not that
				}
			}
			got := module.Step(s.now, events)
			if other != nil {
				if again := other.Step(s.now, events); !reflect.DeepEqual(plain(got), plain(again)) {
					t.Fatalf("step %d, %d behind it, at %v, events %+v:\n  the first %+v\nthe second %+v", step, step-first, s.now, events, plain(got), plain(again))
				}
				for _, a := range got {
					switch a.(type) {
					case Send:
						sends++
					case Refuse, Fail:
						ends++
					}
				}
			}
			s.carry(got)
			if step < first || other != nil || stopping || module.HasOrphanedCalls() {
				continue
			}
			saved := module.Save()
			memory, err := DecodeState(saved)
			if err != nil {
				t.Fatal(err)
			}
			before, _ := DecodeState(saved)
			if other, err = New(set); err != nil {
				t.Fatal(err)
			}
			whole := TargetList{Scope: Snapshot}
			for _, name := range slices.Sorted(maps.Keys(listed)) {
				whole.Targets = append(whole.Targets, listed[name])
			}
			var messages []Message
			for _, id := range order {
				if s.held[id] {
					m := held[id]
					m.Recovered, m.Attempts, m.MayHaveRun = true, s.tries[id], mayRun[id]
					m.HasOpenAttempt = s.sent[id] != nil
					m.TimeLeft = 0 // the memory knows better
					messages = append(messages, m)
				}
			}
			actions, calls := other.Restore(s.now, memory, []TargetList{whole}, messages)
			again, err := DecodeState(other.Save())
			if err != nil {
				t.Fatal(err)
			}
			if !before.EqualIgnoringSeq(again) {
				t.Fatalf("at %v, step %d, remembered otherwise:\n%+v\n%+v", s.now, step, before, again)
			}
			if len(actions) > 0 {
				t.Fatalf("at once: %+v", actions)
			}
			for id, numbers := range calls {
				out += len(numbers)
				if c := s.sent[id]; len(numbers) > 1 || c == nil != (len(numbers) == 0) || c != nil && numbers[0] != c.n {
					t.Fatalf("%s has %v out: %+v", id, numbers, c)
				}
			}
		}
	})
	if sends < 1000 || out < 100 || ends < 100 {
		t.Errorf("%d sends, %d ends, %d calls out: the streams say too little", sends, ends, out)
	}
}

// plain is what was decided without the times to be woken at, of which one too many does no harm.
func plain(actions []Action) (rest []Action) {
	for _, a := range actions {
		if _, ok := a.(Wake); !ok {
			rest = append(rest, a)
		}
	}
	return rest
}

// TestMemoryDamaged: what was cut short or spoilt is refused with its place, or is read as something; nothing comes of it but actions that
// a host can carry out.
func TestMemoryDamaged(t *testing.T) {
	refused, read := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		set := drawSettings(t)
		s := newStream(t, set)
		module, err := New(set)
		if err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			s.carry(module.Step(s.now, s.events()))
		}
		saved := module.Save()
		if _, err := DecodeState(append(slices.Clone(saved), 0)); err == nil {
			t.Fatal("more than there should be is read")
		}
		at := rapid.IntRange(0, len(saved)-1).Draw(t, "at")
		if _, err := DecodeState(saved[:at]); err == nil || !strings.Contains(err.Error(), "bytes before its end") {
			t.Fatalf("cut at %d: %v", at, err)
		}
		saved[at] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		m, err := DecodeState(saved)
		if err != nil {
			refused++
			return
		}
		read++
		other, err := New(set)
		if err != nil {
			t.Fatal(err)
		}
		var held []Message
		for id := range s.held {
			held = append(held, Message{ID: id, Class: "pure", TimeLeft: 1e9, Recovered: true})
		}
		other.Restore(s.now, m, nil, held)
		for range 20 {
			other.Step(s.now, s.events())
		}
	})
	if refused == 0 || read == 0 {
		t.Errorf("%d refused and %d read: the test shows little", refused, read)
	}
}
