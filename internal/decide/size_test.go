package decide_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	. "scaleroute/internal/decide"
)

// queueAtSize gives a forwarder, or its oracle, a number of destinations, and queues a number of messages for
// all of them but the first. Each of these destinations has rejected its first message, with a retry-after time
// that no test reaches.
func queueAtSize(tb testing.TB, f stepper, destinations, queued int) {
	list := TargetList{Scope: Snapshot}
	for d := range destinations {
		list.Targets = append(list.Targets, Target{ID: fmt.Sprint("t", d), Destination: d, Kind: "std", Zone: "a", Weight: 1e6})
	}
	f.Step(0, []Event{list})
	unsent := map[string]string{}
	var events []Event
	for i := range queued {
		d := 1 + i%(destinations-1)
		m := Message{ID: fmt.Sprint("h", i), Class: "pure", Destination: d, TimeLeft: time.Hour}
		events = append(events, m)
		if i < destinations-1 {
			unsent[m.ID] = fmt.Sprint("t", d)
		}
	}
	for len(unsent) > 0 { // the first message of each destination is rejected
		actions := f.Step(0, events)
		events = nil
		for _, a := range actions {
			if s, ok := a.(Send); ok {
				delete(unsent, s.Message)
				events = append(events, Outcome{Message: s.Message, Target: s.Target, Result: Overloaded, RetryAfter: 1000 * time.Hour, Latency: time.Millisecond})
			}
		}
		if len(events) == 0 {
			tb.Fatal("no message is sent to the destinations that are still to reject one")
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

// deliverMessage hands in a message, checks that it is sent at once, and reports its delivery.
func deliverMessage(tb testing.TB, f stepper, now time.Duration, id string) {
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

// BenchmarkMessageAtSize measures one message from its acceptance to its delivery while all other destinations
// have messages queued until a retry-after time. 'scans' is the oracle, for comparison.
func BenchmarkMessageAtSize(b *testing.B) {
	for _, size := range []struct{ destinations, queued int }{{20, 1000}, {200, 10_000}, {2000, 10_000}, {2000, 100_000}, {20_000, 200_000}} {
		for _, kind := range []string{"indexes", "scans"} {
			if kind == "scans" && size.destinations > 200 {
				continue
			}
			b.Run(fmt.Sprintf("%s/destinations=%d/held=%d", kind, size.destinations, size.queued), func(b *testing.B) {
				f := newStepper(b, kind, sizeSettings())
				queueAtSize(b, f, size.destinations, size.queued)
				now := time.Second
				b.ReportAllocs()
				for n := 0; b.Loop(); n++ {
					now += 2 * time.Millisecond
					deliverMessage(b, f, now, fmt.Sprint("m", n))
				}
			})
		}
	}
}

func newStepper(tb testing.TB, kind string, settings Settings) stepper {
	if kind == "scans" {
		f, err := newScanner(settings)
		if err != nil {
			tb.Fatal(err)
		}
		return f
	}
	f, err := New(settings)
	if err != nil {
		tb.Fatal(err)
	}
	return f
}

// heapGrowth calls a function and returns how many bytes of heap its result takes, and the result.
func heapGrowth(create func() any) (bytes float64, kept any) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept = create()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc), kept
}

// The memory that a Forwarder may take, in bytes.
const (
	maxBytesPerDestination = 2000 // for an idle destination with one endpoint
	maxBytesPerMessage     = 600  // for a queued message without its body, which a Forwarder does not see
)

// TestMemoryAtSize checks the memory that a Forwarder takes for each idle destination and each queued message.
func TestMemoryAtSize(t *testing.T) {
	const destinations, queued = 20_000, 100_000
	var f stepper
	idle, kept := heapGrowth(func() any {
		f = newStepper(t, "indexes", sizeSettings())
		snapshot := TargetList{Scope: Snapshot}
		for d := range destinations {
			snapshot.Targets = append(snapshot.Targets, Target{ID: fmt.Sprint("t", d), Destination: d, Kind: "std", Zone: "a", Weight: 1e6})
		}
		f.Step(0, []Event{snapshot})
		return f
	})
	if idle /= destinations; idle > maxBytesPerDestination {
		t.Errorf("%.0f bytes for an idle destination, %d allowed", idle, maxBytesPerDestination)
	}
	runtime.KeepAlive(kept)
	active, kept := heapGrowth(func() any {
		f := newStepper(t, "indexes", sizeSettings())
		queueAtSize(t, f, destinations, queued)
		return f
	})
	perMessage := (active - idle*destinations) / queued
	if perMessage > maxBytesPerMessage {
		t.Errorf("%.0f bytes for a queued message, %d allowed", perMessage, maxBytesPerMessage)
	}
	t.Logf("%.0f bytes for an idle destination, %.0f for a queued message", idle, perMessage)
	runtime.KeepAlive(kept)
}

// TestSnapshotReplacesAllEndpoints: a snapshot replaces 20,000 endpoints by 20,000 others while messages are
// queued: nothing is sent to the endpoints that are gone, and all messages go to the new ones.
func TestSnapshotReplacesAllEndpoints(t *testing.T) {
	const destinations = 20_000
	settings := sizeSettings()
	settings.Slots = destinations
	f := newStepper(t, "indexes", settings)
	snapshotOf := func(generation int) TargetList {
		snapshot := TargetList{Scope: Snapshot}
		for d := range destinations {
			snapshot.Targets = append(snapshot.Targets, Target{ID: fmt.Sprint("t", generation, ".", d), Destination: d, Kind: "std", Zone: "a", Weight: 1e6})
		}
		return snapshot
	}
	f.Step(0, []Event{snapshotOf(1)})
	events := []Event{}
	for d := range destinations {
		events = append(events, Message{ID: fmt.Sprint("m", d), Class: "pure", Destination: d, TimeLeft: time.Hour})
	}
	events = append(events, snapshotOf(2))
	sent := 0
	for now := time.Second; sent < destinations && now < time.Minute; now += 10 * time.Millisecond {
		actions := f.Step(now, events)
		events = nil
		for _, a := range actions {
			if s, ok := a.(Send); ok {
				sent++
				if !strings.HasPrefix(s.Target, "t2.") {
					t.Fatalf("%s is sent to %s, which is gone", s.Message, s.Target)
				}
				events = append(events, Outcome{Message: s.Message, Target: s.Target, Result: Succeeded, NoAnswerNeeded: true, Latency: time.Millisecond})
			}
		}
	}
	if sent != destinations {
		t.Errorf("%d of %d messages sent", sent, destinations)
	}
}

// TestLargeQueueGetsOneTurnInRoundRobin: a destination with very many queued messages gets its turn like any
// other, and the others with one message each wait no longer than the round robin takes.
func TestLargeQueueGetsOneTurnInRoundRobin(t *testing.T) {
	const largeQueue, others = 50_000, 10_000
	settings := sizeSettings()
	settings.Slots = 100
	f := newStepper(t, "indexes", settings)
	snapshot := TargetList{Scope: Snapshot}
	var events []Event
	for d := range others + 1 {
		snapshot.Targets = append(snapshot.Targets, Target{ID: fmt.Sprint("t", d), Destination: d, Kind: "std", Zone: "a", Weight: 1e9})
	}
	f.Step(0, []Event{snapshot})
	for i := range largeQueue {
		events = append(events, Message{ID: fmt.Sprint("many", i), Class: "pure", Destination: 0, TimeLeft: time.Hour})
	}
	for d := range others {
		events = append(events, Message{ID: fmt.Sprint("one", d), Class: "pure", Destination: d + 1, TimeLeft: time.Hour})
	}
	sentOthers, sentOfLarge, sends := 0, 0, 0
	now := time.Second
	for sentOthers < others && sends < 3*others {
		actions := f.Step(now, events)
		events = nil
		for _, a := range actions {
			if s, ok := a.(Send); ok {
				sends++
				if strings.HasPrefix(s.Message, "many") {
					sentOfLarge++
				} else {
					sentOthers++
				}
				events = append(events, Outcome{Message: s.Message, Target: s.Target, Result: Succeeded, NoAnswerNeeded: true, Latency: 10 * time.Millisecond})
			}
		}
		now += 10 * time.Millisecond
	}
	// In each round of 100 slots the destination with the large queue gets its turn like any other.
	if sentOthers < others || sentOfLarge > sends/50 || sentOfLarge == 0 {
		t.Errorf("%d messages sent to the other destinations and %d to the one with the large queue, in %d sends", sentOthers, sentOfLarge, sends)
	}
}

// TestRetryAfterTimesOfAllEndTogether: when the retry-after times of ten thousand destinations end at the same
// instant, each destination gets its turn, in one Step as far as there are slots, and none before that instant.
func TestRetryAfterTimesOfAllEndTogether(t *testing.T) {
	const destinations = 10_000
	settings := sizeSettings()
	settings.Slots, settings.OverloadOutage = 2*destinations, 0
	f := newStepper(t, "indexes", settings)
	snapshot := TargetList{Scope: Snapshot}
	var events []Event
	for d := range destinations {
		snapshot.Targets = append(snapshot.Targets, Target{ID: fmt.Sprint("t", d), Destination: d, Kind: "std", Zone: "a", Weight: 1e9})
		for i := range 2 {
			events = append(events, Message{ID: fmt.Sprint("m", d, ".", i), Class: "pure", Destination: d, TimeLeft: time.Hour})
		}
	}
	f.Step(0, []Event{snapshot})
	var rejections []Event
	for _, a := range f.Step(0, events) {
		if s, ok := a.(Send); ok {
			rejections = append(rejections, Outcome{Message: s.Message, Target: s.Target, Result: Overloaded, RetryAfter: 10 * time.Second, Latency: time.Millisecond})
		}
	}
	f.Step(time.Millisecond, rejections)
	for now := 2 * time.Millisecond; now < 10*time.Second; now += 500 * time.Millisecond {
		for _, a := range f.Step(now, []Event{Woken{}}) {
			if s, ok := a.(Send); ok {
				t.Fatalf("%s is sent %v before the retry-after time", s.Message, 10*time.Second+time.Millisecond-now)
			}
		}
	}
	reached := map[string]bool{}
	for now := 10*time.Second + time.Millisecond; now < 20*time.Second && len(reached) < destinations; now += 100 * time.Millisecond {
		var done []Event
		for _, a := range f.Step(now, []Event{Woken{}}) {
			if s, ok := a.(Send); ok {
				reached[s.Target] = true
				done = append(done, Outcome{Message: s.Message, Attempt: attemptsBefore(s.Message, rejections), Target: s.Target, Result: Succeeded, NoAnswerNeeded: true, Latency: time.Millisecond})
			}
		}
		f.Step(now+time.Millisecond, done)
	}
	if len(reached) < destinations {
		t.Errorf("only %d of %d destinations were sent to within 10 s", len(reached), destinations)
	}
}

// attemptsBefore is how often a message was sent before: once if it was rejected.
func attemptsBefore(id string, rejections []Event) int {
	for _, e := range rejections {
		if e.(Outcome).Message == id {
			return 1
		}
	}
	return 0
}

// BenchmarkArrivalAtFullQueue measures the arrival of a message when the queue is full, so that one is shed.
func BenchmarkArrivalAtFullQueue(b *testing.B) {
	for _, size := range []struct{ destinations, queued int }{{20, 1000}, {20_000, 200_000}} {
		b.Run(fmt.Sprintf("destinations=%d/held=%d", size.destinations, size.queued), func(b *testing.B) {
			settings := sizeSettings()
			settings.MaxOpen = (size.queued + 20) * 10 / 9 // nine tenths of it are slightly more than what is queued
			f := newStepper(b, "indexes", settings)
			queueAtSize(b, f, size.destinations, size.queued)
			now, shed := time.Second, 0
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				now += time.Millisecond
				for _, a := range f.Step(now, []Event{Message{ID: fmt.Sprint("m", n), Class: "pure", Destination: 1 + n%(size.destinations-1), TimeLeft: time.Hour}}) {
					if _, ok := a.(Refuse); ok {
						shed++
					}
				}
			}
			if shed < b.N/2 {
				b.Fatalf("%d messages shed for %d arrivals", shed, b.N)
			}
		})
	}
}

// BenchmarkOrderedKeys measures a message of a class that keeps order while many others are in per-key queues.
func BenchmarkOrderedKeys(b *testing.B) {
	for _, size := range []struct{ keys, queued int }{{10, 100}, {5000, 50_000}} {
		b.Run(fmt.Sprintf("keys=%d/held=%d", size.keys, size.queued), func(b *testing.B) {
			settings := sizeSettings()
			settings.Classes = append(settings.Classes, Class{Name: "ordered", Effect: Idempotent, OnTime: time.Hour, Deadline: time.Hour, Value: 1, Ordered: true})
			f := newStepper(b, "indexes", settings)
			queueAtSize(b, f, 20, 1000)
			var events []Event
			for i := range size.queued { // for a destination without endpoints, so they stay queued
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

// BenchmarkEndpointChange measures a delta that changes the state of one endpoint among many.
func BenchmarkEndpointChange(b *testing.B) {
	for _, destinations := range []int{20, 20_000} {
		b.Run(fmt.Sprintf("endpoints=%d", destinations), func(b *testing.B) {
			f := newStepper(b, "indexes", sizeSettings())
			queueAtSize(b, f, destinations, destinations)
			now := time.Second
			for n := 0; b.Loop(); n++ {
				now += time.Millisecond
				state := []TargetState{Draining, Active}[n%2]
				f.Step(now, []Event{TargetList{Scope: Delta, Targets: []Target{{ID: "t1", Destination: 1, Kind: "std", Zone: "a", State: state, Weight: 1e6}}}})
			}
		})
	}
}

// BenchmarkSnapshot measures a snapshot of 20,000 endpoints that repeats the last one or replaces all endpoints.
func BenchmarkSnapshot(b *testing.B) {
	const destinations = 20_000
	snapshots := [2]TargetList{{Scope: Snapshot}, {Scope: Snapshot}}
	for d := range destinations {
		for generation := range snapshots {
			snapshots[generation].Targets = append(snapshots[generation].Targets, Target{ID: fmt.Sprint("t", generation, ".", d), Destination: d, Kind: "std", Zone: "a", Weight: 1e6})
		}
	}
	for name, step := range map[string]int{"same": 0, "replaced": 1} {
		b.Run(name, func(b *testing.B) {
			f := newStepper(b, "indexes", sizeSettings())
			now, n := time.Second, 0
			f.Step(now, []Event{snapshots[0]})
			for b.Loop() {
				now += time.Second
				n += step
				f.Step(now, []Event{snapshots[n%2]})
			}
		})
	}
}

// TestRemovedDestinationsTakeNoMemory: destinations that come and go, each with a message, leave no memory in use.
func TestRemovedDestinationsTakeNoMemory(t *testing.T) {
	settings := sizeSettings()
	settings.MaxOpen = 1000
	f := newStepper(t, "indexes", settings)
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
	growth, _ := heapGrowth(func() any { churn(5000, 50_000); return nil })
	if growth > 500_000 {
		t.Errorf("the heap grew by %.0f bytes over 45,000 destinations that came and went", growth)
	}
	runtime.KeepAlive(f)
}
