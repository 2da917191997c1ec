package decide

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// ledger follows what a forwarder was told and what it does, and tells which rule it breaks. It
// models no destination: outcomes are drawn at random.
type ledger struct {
	t       *testing.T
	set     Settings
	now     time.Duration
	msgs    map[string]*entry
	order   []*entry
	drained map[string]time.Duration
	waits   map[string]time.Duration
	targets map[string]Target
	rests   map[string]time.Duration
}

type entry struct {
	Message
	class    Class
	deadline time.Duration
	answered bool
	dropped  time.Duration // when the client withdrew it
	out      []*sent
	tries    int
	ran      *sent // the first attempt that may have run
}

type sent struct {
	n      int
	target Target
	at     time.Duration
	until  time.Duration
}

func (l *ledger) route(t Target) string {
	for _, k := range l.set.Kinds {
		if k.Name == t.Kind && k.SeparateRoutes {
			return t.ID
		}
	}
	return fmt.Sprint(t.Destination)
}

func (l *ledger) check(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			l.send(a)
		case Refuse:
			e := l.answer(a.Message)
			free := e.ran == nil && len(e.out) == 0 || e.class.Effect == Idempotent || e.class.Effect == Deduplicated && !e.class.DedupPerZone
			if !free {
				l.t.Fatalf("%v: rule 2: %s refused though it may have run", l.now, a.Message)
			}
		case Fail:
			l.answer(a.Message)
		}
	}
	for _, e := range l.order {
		if !e.answered && l.now > e.deadline+l.set.AnswerSlack {
			l.t.Fatalf("%v: rule 1: %s not answered by %v", l.now, e.ID, e.deadline)
		}
	}
}

func (l *ledger) answer(id string) *entry {
	e := l.msgs[id]
	if e != nil && e.dropped == l.now { // told in the batch in which it was answered
		return e
	}
	if e == nil || e.answered {
		l.t.Fatalf("%v: rule 1: second answer for %s", l.now, id)
	}
	e.answered = true
	return e
}

func (l *ledger) send(a Send) {
	e, t := l.msgs[a.Message], l.targets[a.Target]
	switch {
	case e == nil || e.answered:
		l.t.Fatalf("%v: rule 1: %s sent after its end", l.now, a.Message)
	case t.Destination != e.Destination:
		l.t.Fatalf("%v: %s sent elsewhere", l.now, a.Message)
	case len(e.out) > 0:
		l.t.Fatalf("%v: rule 2: two attempts of %s", l.now, a.Message)
	case e.ran != nil && e.class.Effect == AtMostOnce:
		l.t.Fatalf("%v: rule 2: unsafe %s sent again", l.now, a.Message)
	case e.ran != nil && e.class.Effect == Deduplicated && (l.now > e.ran.at+e.class.DedupWindow || t.Zone != e.ran.target.Zone):
		l.t.Fatalf("%v: rule 2: keyed %s sent out of its group or window", l.now, a.Message)
	case e.tries > 3:
		l.t.Fatalf("%v: %s sent a fifth time", l.now, a.Message)
	}
	if at, ok := l.drained[a.Target]; ok && l.now > at+l.set.DrainGrace {
		l.t.Fatalf("%v: rule 3: %s sent to drained %s", l.now, a.Message, a.Target)
	}
	if l.now < l.waits[l.route(t)] {
		l.t.Fatalf("%v: rule 6: %s sent during a wait", l.now, a.Message)
	}
	if e.Key != "" && e.class.Ordered {
		for _, o := range l.order {
			if o == e {
				break
			}
			if o.Key == e.Key && o.class.Ordered && (!o.answered || len(o.out) > 0) {
				l.t.Fatalf("%v: rule 5: %s sent before %s is over", l.now, e.ID, o.ID)
			}
		}
		if e.tries == 0 && l.now < l.rests[e.Key] {
			l.t.Fatalf("%v: rule 5: %s sent while its key rests", l.now, e.ID)
		}
	}
	until := l.now + a.Timeout
	if a.Timeout <= 0 || until > e.deadline {
		until = e.deadline
	}
	e.out = append(e.out, &sent{n: e.tries, target: t, at: l.now, until: until})
	e.tries++
}

// outcome ends an attempt as drawn, or as its time-out demands.
func (l *ledger) outcome(e *entry, s *sent, rng *rand.Rand, mood float64) Outcome {
	o := Outcome{Message: e.ID, Attempt: s.n, Target: s.target.ID, Latency: l.now - s.at}
	switch {
	case l.now >= s.until:
		o.Result = TimedOut
	case rng.Float64() < mood:
		o.Result = Succeeded
	default:
		o.Result = []Result{Errored, Overloaded, ConnectFailed, Reset, Overloaded}[rng.IntN(5)]
		if o.Result == Overloaded && rng.IntN(2) == 0 {
			o.RetryAfter = time.Duration(rng.IntN(1500)) * ms
			l.waits[l.route(s.target)] = max(l.waits[l.route(s.target)], l.now+o.RetryAfter)
		}
	}
	e.out = nil
	if (o.Result == Errored || o.Result == Reset || o.Result == TimedOut) && e.ran == nil {
		e.ran = s
	}
	if o.Result == Reset || o.Result == TimedOut {
		l.rests[e.Key] = l.now + l.set.KeyPause
	}
	if o.Result == Succeeded && !e.answered {
		e.answered = true
	}
	o.NoAnswerNeeded = e.answered
	return o
}

func play(t *testing.T, seed uint64) (trace []string) {
	rng := rand.New(rand.NewPCG(seed, 1))
	set := testSettings()
	set.Seed = seed
	f, err := New(set)
	if err != nil {
		t.Fatal(err)
	}
	l := &ledger{t: t, set: set, msgs: map[string]*entry{}, drained: map[string]time.Duration{},
		waits: map[string]time.Duration{}, targets: map[string]Target{}, rests: map[string]time.Duration{}}
	var list []Target
	for i := range 10 {
		x := Target{ID: fmt.Sprint("t", i), Destination: i % 4, Kind: []string{"plain", "plain", "plain", "apart"}[i%4],
			Zone: []string{"a", "b"}[i/4%2]}
		list = append(list, x)
		l.targets[x.ID] = x
	}
	events := []Event{TargetList{Scope: LastKnown, Targets: list}}
	mood := 1.0
	for step := range 6000 {
		l.now += 5 * ms
		if step%400 == 0 {
			mood = []float64{1, .9, .3, .6, 0}[rng.IntN(5)] // at 0 nothing is answered
		}
		if step < 3000 && rng.IntN(3) == 0 {
			c := set.Classes[rng.IntN(len(set.Classes))]
			m := Message{ID: fmt.Sprint("m", step), Class: c.Name, Destination: rng.IntN(5), TimeLeft: c.Deadline} // none is listed for the last
			if c.Ordered {
				m.Key = fmt.Sprint("k", rng.IntN(5), m.Destination)
			}
			e := &entry{Message: m, class: c, deadline: l.now + m.TimeLeft}
			l.msgs[m.ID] = e
			l.order = append(l.order, e)
			events = append(events, m)
		}
		if rng.IntN(500) == 0 { // drain one, replace it
			i := rng.IntN(len(list))
			if _, gone := l.drained[list[i].ID]; !gone {
				old := list[i]
				old.State = Draining
				fresh := list[i]
				fresh.ID = fmt.Sprint("t", 100+step)
				list[i] = fresh
				l.targets[fresh.ID] = fresh
				l.drained[old.ID] = l.now
				events = append(events, TargetList{Scope: Delta, Targets: []Target{old, fresh}})
			}
		}
		for _, e := range l.order {
			for _, s := range e.out {
				if l.now >= s.until || mood > 0 && rng.IntN(40) == 0 {
					events = append(events, l.outcome(e, s, rng, mood))
				}
			}
			if !e.answered && rng.IntN(20000) == 0 {
				e.answered, e.dropped = true, l.now
				events = append(events, Withdrawn{e.ID})
			}
		}
		actions := f.Step(l.now, events)
		l.check(actions)
		trace = append(trace, fmt.Sprint(actions))
		events = nil
	}
	for _, e := range l.order {
		if !e.answered && e.deadline+set.AnswerSlack < l.now {
			t.Fatalf("rule 1: %s never answered", e.ID)
		}
	}
	return trace
}

func TestRulesHoldOnAnyEvents(t *testing.T) {
	for seed := range uint64(12) {
		play(t, seed)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	if a, b := play(t, 3), play(t, 3); !reflect.DeepEqual(a, b) {
		t.Error("two plays of the same events differ")
	}
}

// A host that errs gets no panic and no broken rule.
func TestHostErrors(t *testing.T) {
	f := newForwarder(t, plain("x"))
	f.Step(time.Second, []Event{msg("m1", "pure", "")})
	if got := sends(f.Step(500*ms, []Event{msg("m1", "pure", "")})); len(got) > 0 {
		t.Errorf("an id taken twice was sent again: %v", got)
	}
	done := Outcome{Message: "m1", Target: "x", Result: Succeeded, NoAnswerNeeded: true}
	f.Step(1100*ms, []Event{done, done, Outcome{Message: "never", Target: "nowhere"}, Withdrawn{"never"}, Woken{},
		ProbeResult{Target: "nowhere"}, TargetList{Scope: Unavailable}})
	got := f.Step(1200*ms, []Event{msg("m2", "no such class", "")})
	if len(got) == 0 || got[0] != (Refuse{Message: "m2"}) {
		t.Errorf("unknown class: %v", got)
	}
	far := msg("m3", "pure", "")
	far.Destination = 99 // no target is listed for it
	f.Step(1300*ms, []Event{far})
	answered := false
	for _, a := range f.Step(1300*ms+far.TimeLeft, nil) {
		answered = answered || a == Action(Refuse{Message: "m3", RetryAfter: 2 * time.Second})
	}
	if !answered {
		t.Error("a message for no known target was not answered in its time")
	}
}

func TestNewNamesImpossibleSetting(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"Slots": func(s *Settings) { s.Slots = 0 }, "Classes": func(s *Settings) { s.Classes = nil },
		"Deadline": func(s *Settings) { s.Classes[0].Deadline = 0 }, "negative": func(s *Settings) { s.SlowStart = -1 },
	} {
		s := testSettings()
		change(&s)
		if _, err := New(s); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

func ExampleForwarder_Step() {
	f, err := New(Settings{
		Seed: 1, Slots: 4,
		Classes: []Class{{Name: "note", Effect: Idempotent, OnTime: time.Second, Deadline: 5 * time.Second, Value: 1}},
		Kinds:   []Kind{{Name: "shop", MaxBatch: 1}},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	f.Step(0, []Event{TargetList{Scope: LastKnown, Targets: []Target{{ID: "shop-1", Destination: 1, Kind: "shop"}}}})
	for _, a := range f.Step(5*time.Millisecond, []Event{
		Message{ID: "m1", Class: "note", Destination: 1, TimeLeft: 5 * time.Second}}) {
		fmt.Printf("%T %v\n", a, a)
	}
	over := f.Step(90*time.Millisecond, []Event{
		Outcome{Message: "m1", Target: "shop-1", Result: Succeeded, Latency: 85 * time.Millisecond, NoAnswerNeeded: true}})
	fmt.Println(len(over), "actions after the answer")
	// Output:
	// decide.Send {m1 shop-1 4s 0s}
	// decide.Wake {1.6s}
	// 0 actions after the answer
}

// A destination tells a wait; a message whose time ends within it is handed back with advice.
func ExampleForwarder_Step_refusal() {
	f, err := New(Settings{
		Seed: 1, Slots: 4, MaxRetryAfter: 2 * time.Second,
		Classes: []Class{{Name: "note", Effect: Idempotent, OnTime: time.Second, Deadline: 9 * time.Second, Value: 1}},
		Kinds:   []Kind{{Name: "shop", MaxBatch: 1}},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	f.Step(0, []Event{
		TargetList{Scope: LastKnown, Targets: []Target{{ID: "shop-1", Destination: 1, Kind: "shop"}}},
		Message{ID: "m1", Class: "note", Destination: 1, TimeLeft: 9 * time.Second}})
	f.Step(50*time.Millisecond, []Event{
		Outcome{Message: "m1", Target: "shop-1", Result: Overloaded, RetryAfter: 5 * time.Second},
		Message{ID: "m2", Class: "note", Destination: 1, TimeLeft: time.Second}})
	for _, a := range f.Step(1040*time.Millisecond, []Event{Woken{}}) {
		if r, ok := a.(Refuse); ok {
			fmt.Printf("%s refused, stay away for %v\n", r.Message, r.RetryAfter)
		}
	}
	// Output:
	// m2 refused, stay away for 2s
}
