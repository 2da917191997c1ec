package decide

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// ruleChecker records the events that a forwarder receives and the actions that it returns, and fails the test
// with the number of the rule that an action breaks. It models no destination: outcomes are random.
type ruleChecker struct {
	t              *testing.T
	settings       Settings
	now            time.Duration
	messages       map[string]*trackedMessage
	order          []*trackedMessage        // in the order accepted
	drainedAt      map[string]time.Duration // by endpoint
	retryAfter     map[string]time.Duration // by route
	targets        map[string]Target
	keyPausedUntil map[string]time.Duration // by key
}

// trackedMessage is a message that was handed to the forwarder, with what the events and actions say of it.
type trackedMessage struct {
	Message
	class       Class
	deadline    time.Duration
	answered    bool
	withdrawnAt time.Duration // when the client withdrew the message
	inFlight    []*trackedAttempt
	sends       int
	firstRun    *trackedAttempt // the first attempt that may have run
}

// trackedAttempt is one attempt at a message.
type trackedAttempt struct {
	number    int
	target    Target
	sentAt    time.Duration
	timeoutAt time.Duration
}

// routeOf returns the name of an endpoint's route, to which retry-after times apply.
func (c *ruleChecker) routeOf(t Target) string {
	for _, k := range c.settings.Kinds {
		if k.Name == t.Kind && k.SeparateRoutes {
			return t.ID
		}
	}
	return fmt.Sprint(t.Destination)
}

// check checks the actions of a Step, and that no message is past its deadline without an answer.
func (c *ruleChecker) check(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			c.checkSend(a)
		case Refuse:
			e := c.recordAnswer(a.Message)
			harmless := e.firstRun == nil && len(e.inFlight) == 0 || e.class.Effect == Idempotent || e.class.Effect == Deduplicated && !e.class.DedupPerZone
			if !harmless {
				c.t.Fatalf("%v: rule 2: %s refused although it may have run", c.now, a.Message)
			}
		case Fail:
			c.recordAnswer(a.Message)
		}
	}
	for _, e := range c.order {
		if !e.answered && c.now > e.deadline+c.settings.AnswerSlack {
			c.t.Fatalf("%v: rule 1: %s not answered by %v", c.now, e.ID, e.deadline)
		}
	}
}

// recordAnswer records the final answer of a message, which must be its only one.
func (c *ruleChecker) recordAnswer(id string) *trackedMessage {
	e := c.messages[id]
	if e != nil && e.withdrawnAt == c.now { // the withdrawal was reported in the Step that answered it
		return e
	}
	if e == nil || e.answered {
		c.t.Fatalf("%v: rule 1: answer for %s, which is unknown or was answered before", c.now, id)
	}
	e.answered = true
	return e
}

// checkSend checks that an attempt is permitted now, and records it.
func (c *ruleChecker) checkSend(a Send) {
	e, t := c.messages[a.Message], c.targets[a.Target]
	switch {
	case e == nil || e.answered:
		c.t.Fatalf("%v: rule 1: %s sent after its final answer", c.now, a.Message)
	case t.Destination != e.Destination:
		c.t.Fatalf("%v: %s sent to another destination", c.now, a.Message)
	case len(e.inFlight) > 0:
		c.t.Fatalf("%v: rule 2: two attempts of %s in flight", c.now, a.Message)
	case e.firstRun != nil && e.class.Effect == AtMostOnce:
		c.t.Fatalf("%v: rule 2: unsafe %s sent again", c.now, a.Message)
	case e.firstRun != nil && e.class.Effect == Deduplicated && (c.now > e.firstRun.sentAt+e.class.DedupWindow || t.Zone != e.firstRun.target.Zone):
		c.t.Fatalf("%v: rule 2: keyed %s repeated outside its group or window", c.now, a.Message)
	case e.sends > 3:
		c.t.Fatalf("%v: %s sent a fifth time", c.now, a.Message)
	}
	if at, ok := c.drainedAt[a.Target]; ok && c.now > at+c.settings.DrainGrace {
		c.t.Fatalf("%v: rule 3: %s sent to %s after its drain grace time", c.now, a.Message, a.Target)
	}
	if c.now < c.retryAfter[c.routeOf(t)] {
		c.t.Fatalf("%v: rule 6: %s sent before the retry-after time", c.now, a.Message)
	}
	if e.Key != "" && e.class.Ordered {
		for _, o := range c.order {
			if o == e {
				break
			}
			if o.Key == e.Key && o.class.Ordered && (!o.answered || len(o.inFlight) > 0) {
				c.t.Fatalf("%v: rule 5: %s sent before %s is completed", c.now, e.ID, o.ID)
			}
		}
		if e.sends == 0 && c.now < c.keyPausedUntil[e.Key] {
			c.t.Fatalf("%v: rule 5: %s sent while its key is paused", c.now, e.ID)
		}
	}
	timeoutAt := c.now + a.Timeout
	if a.Timeout <= 0 || timeoutAt > e.deadline {
		timeoutAt = e.deadline
	}
	e.inFlight = append(e.inFlight, &trackedAttempt{number: e.sends, target: t, sentAt: c.now, timeoutAt: timeoutAt})
	e.sends++
}

// drawOutcome completes an attempt with a random result, or with TimedOut once its timeout is over.
func (c *ruleChecker) drawOutcome(e *trackedMessage, s *trackedAttempt, rng *rand.Rand, successRate float64) Outcome {
	o := Outcome{Message: e.ID, Attempt: s.number, Target: s.target.ID, Latency: c.now - s.sentAt}
	switch {
	case c.now >= s.timeoutAt:
		o.Result = TimedOut
	case rng.Float64() < successRate:
		o.Result = Succeeded
	default:
		o.Result = []Result{Errored, Overloaded, ConnectFailed, Reset, Overloaded}[rng.IntN(5)]
		if o.Result == Overloaded && rng.IntN(2) == 0 {
			o.RetryAfter = time.Duration(rng.IntN(1500)) * ms
			c.retryAfter[c.routeOf(s.target)] = max(c.retryAfter[c.routeOf(s.target)], c.now+o.RetryAfter)
		}
	}
	e.inFlight = nil
	if (o.Result == Errored || o.Result == Reset || o.Result == TimedOut) && e.firstRun == nil {
		e.firstRun = s
	}
	if o.Result == Reset || o.Result == TimedOut {
		c.keyPausedUntil[e.Key] = c.now + c.settings.KeyPause
	}
	if o.Result == Succeeded && !e.answered {
		e.answered = true
	}
	o.NoAnswerNeeded = e.answered
	return o
}

// runRandomEvents plays random events of 30 s to a forwarder, checks its actions, and returns them.
func runRandomEvents(t *testing.T, seed uint64) (trace []string) {
	rng := rand.New(rand.NewPCG(seed, 1))
	settings := testSettings()
	settings.Seed = seed
	f, err := New(settings)
	if err != nil {
		t.Fatal(err)
	}
	checker := &ruleChecker{t: t, settings: settings, messages: map[string]*trackedMessage{}, drainedAt: map[string]time.Duration{},
		retryAfter: map[string]time.Duration{}, targets: map[string]Target{}, keyPausedUntil: map[string]time.Duration{}}
	var list []Target
	for i := range 10 {
		target := Target{ID: fmt.Sprint("t", i), Destination: i % 4, Kind: []string{"plain", "plain", "plain", "apart"}[i%4],
			Zone: []string{"a", "b"}[i/4%2]}
		list = append(list, target)
		checker.targets[target.ID] = target
	}
	events := []Event{TargetList{Scope: LastKnown, Targets: list}}
	successRate := 1.0
	for step := range 6000 {
		checker.now += 5 * ms
		if step%400 == 0 {
			successRate = []float64{1, .9, .3, .6, 0}[rng.IntN(5)] // at 0 no call is answered
		}
		if step < 3000 && rng.IntN(3) == 0 {
			c := settings.Classes[rng.IntN(len(settings.Classes))]
			m := Message{ID: fmt.Sprint("m", step), Class: c.Name, Destination: rng.IntN(5), TimeLeft: c.Deadline} // the last destination has no endpoint
			if c.Ordered {
				m.Key = fmt.Sprint("k", rng.IntN(5), m.Destination)
			}
			e := &trackedMessage{Message: m, class: c, deadline: checker.now + m.TimeLeft}
			checker.messages[m.ID] = e
			checker.order = append(checker.order, e)
			events = append(events, m)
		}
		if rng.IntN(500) == 0 { // drain an endpoint and replace it
			i := rng.IntN(len(list))
			if _, gone := checker.drainedAt[list[i].ID]; !gone {
				old := list[i]
				old.State = Draining
				fresh := list[i]
				fresh.ID = fmt.Sprint("t", 100+step)
				list[i] = fresh
				checker.targets[fresh.ID] = fresh
				checker.drainedAt[old.ID] = checker.now
				events = append(events, TargetList{Scope: Delta, Targets: []Target{old, fresh}})
			}
		}
		for _, e := range checker.order {
			for _, s := range e.inFlight {
				if checker.now >= s.timeoutAt || successRate > 0 && rng.IntN(40) == 0 {
					events = append(events, checker.drawOutcome(e, s, rng, successRate))
				}
			}
			if !e.answered && rng.IntN(20000) == 0 {
				e.answered, e.withdrawnAt = true, checker.now
				events = append(events, Withdrawn{e.ID})
			}
		}
		actions := f.Step(checker.now, events)
		checker.check(actions)
		trace = append(trace, fmt.Sprint(actions))
		events = nil
	}
	for _, e := range checker.order {
		if !e.answered && e.deadline+settings.AnswerSlack < checker.now {
			t.Fatalf("rule 1: %s never answered", e.ID)
		}
	}
	return trace
}

func TestRulesHoldForRandomEvents(t *testing.T) {
	for seed := range uint64(12) {
		runRandomEvents(t, seed)
	}
}

func TestSameEventsGiveSameActions(t *testing.T) {
	if a, b := runRandomEvents(t, 3), runRandomEvents(t, 3); !reflect.DeepEqual(a, b) {
		t.Error("two runs with the same events give different actions")
	}
}

// Erroneous events of a host cause neither a panic nor a broken rule.
func TestHostErrorsAreTolerated(t *testing.T) {
	f := newForwarder(t, plain("x"))
	f.Step(time.Second, []Event{msg("m1", "pure", "")})
	if got := sends(f.Step(500*ms, []Event{msg("m1", "pure", "")})); len(got) > 0 {
		t.Errorf("a message with an id that was accepted before was sent again: %v", got)
	}
	done := Outcome{Message: "m1", Target: "x", Result: Succeeded, NoAnswerNeeded: true}
	f.Step(1100*ms, []Event{done, done, Outcome{Message: "never", Target: "nowhere"}, Withdrawn{"never"}, Woken{},
		ProbeResult{Target: "nowhere"}, TargetList{Scope: Unavailable}})
	got := f.Step(1200*ms, []Event{msg("m2", "no such class", "")})
	if len(got) == 0 || got[0] != (Refuse{Message: "m2"}) {
		t.Errorf("unknown class: %v", got)
	}
	far := msg("m3", "pure", "")
	far.Destination = 99 // no endpoint is listed for it
	f.Step(1300*ms, []Event{far})
	answered := false
	for _, a := range f.Step(1300*ms+far.TimeLeft, nil) {
		answered = answered || a == Action(Refuse{Message: "m3", RetryAfter: 2 * time.Second})
	}
	if !answered {
		t.Error("a message for a destination without endpoints was not answered by its deadline")
	}
}

func TestNewRejectsInvalidSettings(t *testing.T) {
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
	actions := f.Step(90*time.Millisecond, []Event{
		Outcome{Message: "m1", Target: "shop-1", Result: Succeeded, Latency: 85 * time.Millisecond, NoAnswerNeeded: true}})
	fmt.Println(len(actions), "actions after the answer")
	// Output:
	// decide.Send {m1 shop-1 4s 0s}
	// decide.Wake {1.6s}
	// 0 actions after the answer
}

// A destination returns a retry-after time. A message that expires before then is refused, with advice on how
// long to stay away.
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
