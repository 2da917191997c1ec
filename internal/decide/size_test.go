package decide_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	. "scaleroute/internal/decide"
)

// held makes a module (or its oracle) with so many destinations, all but the first of which have
// messages that wait out a told wait, so many together.
func atSize(tb testing.TB, f stepper, dests, held int) {
	list := TargetList{Scope: Snapshot}
	for d := range dests {
		list.Targets = append(list.Targets, Target{ID: fmt.Sprint("t", d), Destination: d, Kind: "std", Zone: "a", Weight: 1e6})
	}
	f.Step(0, []Event{list})
	sent := map[string]string{}
	var events []Event
	for i := range held {
		d := 1 + i%(dests-1)
		m := Message{ID: fmt.Sprint("h", i), Class: "pure", Destination: d, TimeLeft: time.Hour}
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
				events = append(events, Outcome{Message: s.Message, Target: s.Target, Result: Overloaded, RetryAfter: 1000 * time.Hour, Latency: time.Millisecond})
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
		Classes: []Class{{Name: "pure", Effect: Idempotent, OnTime: time.Hour, Deadline: time.Hour, Value: 1, LateShare: .4}},
		Kinds:   []Kind{{Name: "std", MaxBatch: 1}}, ConnectPrice: .06, ConnIdle: 10 * time.Second, ConnectTimeout: time.Second,
		MaxRetryAfter: 2 * time.Second, DrainGrace: time.Second, StartCapacity: .2, SlowStart: 10 * time.Second, OverloadFactor: 2, OverloadOutage: 1e6 * time.Hour}
}

// oneMessage takes a message on, sends it and has it answered.
func oneMessage(tb testing.TB, f stepper, now time.Duration, id string) {
	sent := false
	for _, a := range f.Step(now, []Event{Message{ID: id, Class: "pure", Destination: 0, TimeLeft: time.Hour}}) {
		s, ok := a.(Send)
		sent = sent || ok && s.Message == id
	}
	if !sent {
		tb.Fatalf("%s is not sent", id)
	}
	f.Step(now+time.Millisecond, []Event{Outcome{Message: id, Target: "t0", Result: Succeeded, NoAnswerNeeded: true, Latency: time.Millisecond}})
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

// heapOf is the memory that what f makes takes, in bytes.
func heapOf(f func() any) (bytes float64, kept any) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept = f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc), kept
}

// The memory that the module may take, in bytes.
const (
	perDestination = 2000 // with one endpoint, idle
	perHeld        = 600  // message, its body not counted: the module does not see it
)

// TestMemoryAtSize holds the module to what it may take for each idle destination and each held message.
func TestMemoryAtSize(t *testing.T) {
	const dests, held = 20_000, 100_000
	var f stepper
	idle, kept := heapOf(func() any {
		f = newStepper(t, "indexes", sizeSettings())
		list := TargetList{Scope: Snapshot}
		for d := range dests {
			list.Targets = append(list.Targets, Target{ID: fmt.Sprint("t", d), Destination: d, Kind: "std", Zone: "a", Weight: 1e6})
		}
		f.Step(0, []Event{list})
		return f
	})
	if idle /= dests; idle > perDestination {
		t.Errorf("%.0f bytes for an idle destination, %d allowed", idle, perDestination)
	}
	runtime.KeepAlive(kept)
	active, kept := heapOf(func() any {
		f := newStepper(t, "indexes", sizeSettings())
		atSize(t, f, dests, held)
		return f
	})
	each := (active - idle*dests) / held
	if each > perHeld {
		t.Errorf("%.0f bytes for a held message, %d allowed", each, perHeld)
	}
	t.Logf("%.0f bytes for an idle destination, %.0f for a held message", idle, each)
	runtime.KeepAlive(kept)
}

// TestWholeListReplaced: a list of 20,000 endpoints replaced by 20,000 others while messages wait: none of those
// that are gone is sent to, all messages go to the new ones, and what is gone is forgotten.
func TestWholeListReplaced(t *testing.T) {
	const dests = 20_000
	set := sizeSettings()
	set.Slots = dests
	f := newStepper(t, "indexes", set)
	list := func(life int) TargetList {
		snapshot := TargetList{Scope: Snapshot}
		for d := range dests {
			snapshot.Targets = append(snapshot.Targets, Target{ID: fmt.Sprint("t", life, ".", d), Destination: d, Kind: "std", Zone: "a", Weight: 1e6})
		}
		return snapshot
	}
	f.Step(0, []Event{list(1)})
	events := []Event{}
	for d := range dests {
		events = append(events, Message{ID: fmt.Sprint("m", d), Class: "pure", Destination: d, TimeLeft: time.Hour})
	}
	events = append(events, list(2))
	sent := 0
	for now := time.Second; sent < dests && now < time.Minute; now += 10 * time.Millisecond {
		actions := f.Step(now, events)
		events = nil
		for _, a := range actions {
			if s, ok := a.(Send); ok {
				sent++
				if !strings.HasPrefix(s.Target, "t2.") {
					t.Fatalf("%s goes to %s, which is gone", s.Message, s.Target)
				}
				events = append(events, Outcome{Message: s.Message, Target: s.Target, Result: Succeeded, NoAnswerNeeded: true, Latency: time.Millisecond})
			}
		}
	}
	if sent != dests {
		t.Errorf("%d of %d sent", sent, dests)
	}
}

// TestOneWithManyAmongManyWithOne: a destination with very many messages waits for its turn like the others, and
// each of the others for no longer than the turns say.
func TestOneWithManyAmongManyWithOne(t *testing.T) {
	const many, others = 50_000, 10_000
	set := sizeSettings()
	set.Slots = 100
	f := newStepper(t, "indexes", set)
	snapshot := TargetList{Scope: Snapshot}
	var events []Event
	for d := range others + 1 {
		snapshot.Targets = append(snapshot.Targets, Target{ID: fmt.Sprint("t", d), Destination: d, Kind: "std", Zone: "a", Weight: 1e9})
	}
	f.Step(0, []Event{snapshot})
	for i := range many {
		events = append(events, Message{ID: fmt.Sprint("many", i), Class: "pure", Destination: 0, TimeLeft: time.Hour})
	}
	for d := range others {
		events = append(events, Message{ID: fmt.Sprint("one", d), Class: "pure", Destination: d + 1, TimeLeft: time.Hour})
	}
	sentOthers, sentMany, sends := 0, 0, 0
	now := time.Second
	for sentOthers < others && sends < 3*others {
		actions := f.Step(now, events)
		events = nil
		for _, a := range actions {
			if s, ok := a.(Send); ok {
				sends++
				if strings.HasPrefix(s.Message, "many") {
					sentMany++
				} else {
					sentOthers++
				}
				events = append(events, Outcome{Message: s.Message, Target: s.Target, Result: Succeeded, NoAnswerNeeded: true, Latency: 10 * time.Millisecond})
			}
		}
		now += 10 * time.Millisecond
	}
	// In each round of 100 slots the large one has its turn like any other.
	if sentOthers < others || sentMany > sends/50 || sentMany == 0 {
		t.Errorf("%d of the others and %d of the one with many, in %d sends", sentOthers, sentMany, sends)
	}
}

// TestAllWaitsEndAtOnce: when ten thousand told waits end at the same instant, each destination gets its turn, in
// one Step as far as there are slots, and none before the wait is over.
func TestAllWaitsEndAtOnce(t *testing.T) {
	const dests = 10_000
	set := sizeSettings()
	set.Slots, set.OverloadOutage = 2*dests, 0
	f := newStepper(t, "indexes", set)
	snapshot := TargetList{Scope: Snapshot}
	var events []Event
	for d := range dests {
		snapshot.Targets = append(snapshot.Targets, Target{ID: fmt.Sprint("t", d), Destination: d, Kind: "std", Zone: "a", Weight: 1e9})
		for i := range 2 {
			events = append(events, Message{ID: fmt.Sprint("m", d, ".", i), Class: "pure", Destination: d, TimeLeft: time.Hour})
		}
	}
	f.Step(0, []Event{snapshot})
	var told []Event
	for _, a := range f.Step(0, events) {
		if s, ok := a.(Send); ok {
			told = append(told, Outcome{Message: s.Message, Target: s.Target, Result: Overloaded, RetryAfter: 10 * time.Second, Latency: time.Millisecond})
		}
	}
	f.Step(time.Millisecond, told)
	for now := 2 * time.Millisecond; now < 10*time.Second; now += 500 * time.Millisecond {
		for _, a := range f.Step(now, []Event{Woken{}}) {
			if s, ok := a.(Send); ok {
				t.Fatalf("%s is sent %v before its wait is over", s.Message, 10*time.Second+time.Millisecond-now)
			}
		}
	}
	got := map[string]bool{}
	for now := 10*time.Second + time.Millisecond; now < 20*time.Second && len(got) < dests; now += 100 * time.Millisecond {
		var done []Event
		for _, a := range f.Step(now, []Event{Woken{}}) {
			if s, ok := a.(Send); ok {
				got[s.Target] = true
				done = append(done, Outcome{Message: s.Message, Attempt: attempts(s.Message, told), Target: s.Target, Result: Succeeded, NoAnswerNeeded: true, Latency: time.Millisecond})
			}
		}
		f.Step(now+time.Millisecond, done)
	}
	if len(got) < dests {
		t.Errorf("%d of %d destinations were sent to within 10 s", len(got), dests)
	}
}

// attempts is how often a message had been sent before: once if it was told to wait.
func attempts(id string, told []Event) int {
	for _, e := range told {
		if e.(Outcome).Message == id {
			return 1
		}
	}
	return 0
}

// BenchmarkFullHold is the cost of an arrival at a hold that is full, so that one message is shed for it.
func BenchmarkFullHold(b *testing.B) {
	for _, size := range []struct{ dests, held int }{{20, 1000}, {20_000, 200_000}} {
		b.Run(fmt.Sprintf("destinations=%d/held=%d", size.dests, size.held), func(b *testing.B) {
			set := sizeSettings()
			set.MaxOpen = (size.held + 20) * 10 / 9 // nine tenths of it are a little more than what is held
			f := newStepper(b, "indexes", set)
			atSize(b, f, size.dests, size.held)
			now, shed := time.Second, 0
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				now += time.Millisecond
				for _, a := range f.Step(now, []Event{Message{ID: fmt.Sprint("m", n), Class: "pure", Destination: 1 + n%(size.dests-1), TimeLeft: time.Hour}}) {
					if _, ok := a.(Refuse); ok {
						shed++
					}
				}
			}
			if shed < b.N/2 {
				b.Fatalf("%d shed for %d arrivals", shed, b.N)
			}
		})
	}
}

// BenchmarkKeysInOrder is the cost of a message of a class that keeps order, with so many others before it in lines.
func BenchmarkKeysInOrder(b *testing.B) {
	for _, size := range []struct{ keys, held int }{{10, 100}, {5000, 50_000}} {
		b.Run(fmt.Sprintf("keys=%d/held=%d", size.keys, size.held), func(b *testing.B) {
			set := sizeSettings()
			set.Classes = append(set.Classes, Class{Name: "ordered", Effect: Idempotent, OnTime: time.Hour, Deadline: time.Hour, Value: 1, Ordered: true})
			f := newStepper(b, "indexes", set)
			atSize(b, f, 20, 1000)
			var events []Event
			for i := range size.held { // for a destination without endpoints: they wait
				events = append(events, Message{ID: fmt.Sprint("w", i), Class: "ordered", Destination: 99, Key: fmt.Sprint("k", i%size.keys), TimeLeft: time.Hour})
			}
			f.Step(time.Second, events)
			now := time.Second
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				now += 2 * time.Millisecond
				id := fmt.Sprint("m", n)
				f.Step(now, []Event{Message{ID: id, Class: "ordered", Destination: 0, Key: "own", TimeLeft: time.Hour}})
				f.Step(now+time.Millisecond, []Event{Outcome{Message: id, Target: "t0", Result: Succeeded, NoAnswerNeeded: true, Latency: time.Millisecond}, Withdrawn{id}})
			}
		})
	}
}

// BenchmarkListChange is the cost of a change of one endpoint among so many.
func BenchmarkListChange(b *testing.B) {
	for _, dests := range []int{20, 20_000} {
		b.Run(fmt.Sprintf("endpoints=%d", dests), func(b *testing.B) {
			f := newStepper(b, "indexes", sizeSettings())
			atSize(b, f, dests, dests)
			now := time.Second
			for n := 0; b.Loop(); n++ {
				now += time.Millisecond
				state := []TargetState{Draining, Active}[n%2]
				f.Step(now, []Event{TargetList{Scope: Delta, Targets: []Target{{ID: "t1", Destination: 1, Kind: "std", Zone: "a", State: state, Weight: 1e6}}}})
			}
		})
	}
}

// BenchmarkWholeList is the cost of a list of 20,000 endpoints, told again as it was and replaced by others.
func BenchmarkWholeList(b *testing.B) {
	const dests = 20_000
	lists := [2]TargetList{{Scope: Snapshot}, {Scope: Snapshot}}
	for d := range dests {
		for life := range lists {
			lists[life].Targets = append(lists[life].Targets, Target{ID: fmt.Sprint("t", life, ".", d), Destination: d, Kind: "std", Zone: "a", Weight: 1e6})
		}
	}
	for name, step := range map[string]int{"same": 0, "replaced": 1} {
		b.Run(name, func(b *testing.B) {
			f := newStepper(b, "indexes", sizeSettings())
			now, n := time.Second, 0
			f.Step(now, []Event{lists[0]})
			for b.Loop() {
				now += time.Second
				n += step
				f.Step(now, []Event{lists[n%2]})
			}
		})
	}
}

// TestForgottenDestinationsTakeNoMemory: destinations that come and go, each with a message, leave nothing behind.
func TestForgottenDestinationsTakeNoMemory(t *testing.T) {
	set := sizeSettings()
	set.MaxOpen = 1000
	f := newStepper(t, "indexes", set)
	now := time.Duration(0)
	churn := func(from, to int) {
		for d := from; d < to; d++ {
			now += 100 * time.Millisecond
			id, m := fmt.Sprint("t", d), fmt.Sprint("m", d)
			target := Target{ID: id, Destination: d, Kind: "std", Zone: "a", Weight: 1e6}
			f.Step(now, []Event{TargetList{Scope: Delta, Targets: []Target{target}}, Message{ID: m, Class: "pure", Destination: d, TimeLeft: time.Hour}})
			target.State = Gone
			f.Step(now+time.Millisecond, []Event{Outcome{Message: m, Target: id, Result: Succeeded, NoAnswerNeeded: true, Latency: time.Millisecond},
				TargetList{Scope: Delta, Targets: []Target{target}}})
		}
	}
	churn(0, 5000)
	more, _ := heapOf(func() any { churn(5000, 50_000); return nil })
	if more > 500_000 {
		t.Errorf("%.0f bytes more after 45,000 destinations that came and went", more)
	}
	runtime.KeepAlive(f)
}
