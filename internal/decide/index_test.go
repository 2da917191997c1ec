package decide_test

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
	. "scaleroute/internal/decide"
)

// stepper is what the module and its oracle have in common.
type stepper interface {
	Step(time.Duration, []Event) []Action
}

// stream draws events and keeps to what a host may do: each Send gets one outcome, and a
// Step comes when it was asked for.
type stream struct {
	rng     *rand.Rand
	set     Settings
	now     time.Duration
	wake    time.Duration
	dests   int
	targets map[string]Target
	next    int
	calls   int
	held    map[string]bool
	ids     []string
	sent    map[string]*flight
	tries   map[string]int
	mood    float64 // share of outcomes that are no good
	silence float64 // share of calls that no one answers until their time-out
}

type flight struct {
	target string
	n      int
	due    time.Duration
	result Result
	wait   time.Duration
	order  int
}

func drawSettings(t *rapid.T) Settings {
	ms := func(lo, hi int, what string) time.Duration {
		return time.Duration(rapid.IntRange(lo, hi).Draw(t, what)) * time.Millisecond
	}
	return Settings{
		Seed: rapid.Uint64().Draw(t, "seed"), Slots: rapid.IntRange(1, 24).Draw(t, "slots"),
		MaxOpen: rapid.SampledFrom([]int{0, 10, 60}).Draw(t, "held"), MaxAttempts: rapid.IntRange(0, 6).Draw(t, "attempts"),
		MayCancel: rapid.Bool().Draw(t, "cancel"), Forwarders: rapid.SampledFrom([]int{1, 2, 30}).Draw(t, "forwarders"), Zone: "a",
		Decay:          rapid.SampledFrom([]Decay{Linear, Exponential}).Draw(t, "decay"),
		OverQuotaValue: rapid.SampledFrom([]float64{0, .3, 1}).Draw(t, "over"),
		Tenants:        []Tenant{{Name: "small", Quota: 2}, {Name: "free"}},
		Weights:        rapid.SampledFrom([]Weights{NoWeights, ExactWeights}).Draw(t, "weights"),
		Classes: []Class{
			{Name: "pure", Effect: Idempotent, OnTime: ms(0, 4000, "aim"), Deadline: ms(3000, 30000, "deadline"), Value: 1, LateShare: .4},
			{Name: "count", Effect: Idempotent, OnTime: time.Second, Deadline: 10 * time.Second, Value: 1, LateShare: 1},
			{Name: "unsafe", Effect: AtMostOnce, OnTime: ms(0, 4000, "aim"), Deadline: ms(3000, 30000, "deadline"), Value: 3, LateShare: .4},
			{Name: "keyed", Effect: Deduplicated, DedupPerZone: true, DedupWindow: 3 * time.Second, OnTime: time.Second,
				Deadline: 10 * time.Second, Value: 1, LateShare: 0, Ordered: true},
			{Name: "token", Effect: Deduplicated, DedupWindow: 5 * time.Second, OnTime: 2 * time.Second, Deadline: 9 * time.Second, Value: 2, LateShare: .1},
		},
		Kinds:        []Kind{{Name: "plain", MaxBatch: 1}, {Name: "apart", SeparateRoutes: true, MaxBatch: 3}, {Name: "many", MaxBatch: 2}},
		ConnectPrice: rapid.SampledFrom([]float64{0, .06}).Draw(t, "connect"), ConnIdle: 10 * time.Second, ConnectTimeout: time.Second,
		MaxRetryAfter: 2 * time.Second, AnswerSlack: 20 * time.Millisecond, DrainGrace: time.Second, KeyPause: 100 * time.Millisecond,
		StartCapacity: .2, SlowStart: 10 * time.Second, OverloadFactor: 2, OverloadOutage: 3 * time.Second,
	}
}

func newStream(t *rapid.T, set Settings) *stream {
	seed := rapid.Uint64().Draw(t, "stream")
	return &stream{rng: rand.New(rand.NewPCG(seed, 1)), set: set, dests: rapid.IntRange(1, 30).Draw(t, "destinations"),
		mood:    rapid.SampledFrom([]float64{0, .05, .3, .9}).Draw(t, "mood"),
		silence: rapid.SampledFrom([]float64{0, .1, .6}).Draw(t, "silence"),
		targets: map[string]Target{}, held: map[string]bool{}, sent: map[string]*flight{}, tries: map[string]int{}}
}

func (s *stream) chance(p float64) bool { return s.rng.Float64() < p }

func (s *stream) list() TargetList {
	kinds := []string{"plain", "apart", "many"}
	entry := func(name string) Target {
		t, ok := s.targets[name]
		if !ok {
			d := s.rng.IntN(s.dests)
			t = Target{ID: name, Destination: d, Kind: kinds[d%3], Zone: "ab"[s.rng.IntN(2):][:1], Weight: float64(s.rng.IntN(40)), Backup: s.chance(.2)}
		}
		t.State = []TargetState{Active, Active, Active, Draining, Gone}[s.rng.IntN(5)]
		s.targets[name] = t
		return t
	}
	snapshot := TargetList{Scope: []ListScope{Snapshot, Delta, Delta, Delta, LastKnown, Unavailable}[s.rng.IntN(6)]}
	n := 1 + s.rng.IntN(4)
	if snapshot.Scope == Snapshot || snapshot.Scope == LastKnown {
		n = 2 * s.dests
	}
	if snapshot.Scope == Unavailable {
		return snapshot
	}
	for range n {
		snapshot.Targets = append(snapshot.Targets, entry(fmt.Sprint("t", s.rng.IntN(3*s.dests))))
	}
	return snapshot
}

// among draws targets for a message, mostly of its own destination.
func (s *stream) among(dest int) *EndpointFilter {
	a := &EndpointFilter{}
	for i := range 3 * s.dests {
		id := fmt.Sprint("t", i)
		if s.targets[id].Destination != dest && !s.chance(.05) {
			continue
		}
		if s.chance(.5) {
			a.Only = append(a.Only, id)
		}
		if s.chance(.5) {
			a.Prefer = append(a.Prefer, id)
		}
	}
	return a
}

// events draws what happens next, and when.
func (s *stream) events() []Event {
	switch {
	case s.chance(.01):
		s.now += time.Duration(s.rng.IntN(70000)) * time.Millisecond // a quiet minute
	case s.chance(.3):
		s.now += time.Duration(s.rng.IntN(400)) * time.Millisecond
	case s.chance(.9):
		s.now += time.Duration(s.rng.IntN(20)) * time.Millisecond
	}
	var events []Event
	if s.wake > 0 && s.now >= s.wake { // a host is there on time, as far as it can be
		if s.chance(.9) {
			s.now = s.wake
		}
		s.wake = 0
		events = append(events, Woken{})
	}
	var ended []string
	for id, c := range s.sent {
		if s.now >= c.due {
			ended = append(ended, id)
		}
	}
	slices.SortFunc(ended, func(a, b string) int { return s.sent[a].order - s.sent[b].order })
	for _, id := range ended {
		c := s.sent[id]
		delete(s.sent, id)
		o := Outcome{Message: id, Attempt: c.n, Target: c.target, Result: c.result, RetryAfter: c.wait, NoAnswerNeeded: c.result == Succeeded,
			Latency: time.Duration(1+s.rng.IntN(400)) * time.Millisecond}
		if s.chance(.2) {
			o.Allowance = Allowance{Reported: true, Remaining: s.rng.Float64(), Rate: float64(s.rng.IntN(30))}
		}
		if o.Result == NotSent && s.chance(.3) {
			o.RetryDelay = time.Duration(s.rng.IntN(3000)) * time.Millisecond
		}
		if o.NoAnswerNeeded {
			delete(s.held, id)
		}
		events = append(events, o)
	}
	n := s.rng.IntN(4)
	if s.chance(.03) {
		n = 40
	}
	for range n {
		s.next++
		c := s.set.Classes[s.rng.IntN(len(s.set.Classes))]
		m := Message{ID: fmt.Sprint("m", s.next), Class: c.Name, Destination: s.rng.IntN(s.dests), Key: fmt.Sprint("k", s.rng.IntN(3*s.dests)),
			Tenant: []string{"", "small", "free"}[s.rng.IntN(3)], TimeLeft: time.Duration(s.rng.Float64() * 1.05 * float64(c.Deadline))}
		if s.chance(.02) {
			m.Recovered, m.Attempts, m.MayHaveRun = true, s.rng.IntN(4), s.chance(.5)
			m.HasOpenAttempt = m.MayHaveRun && m.Attempts > 0 && s.chance(.5)
			s.tries[m.ID] = m.Attempts
		}
		if s.chance(.15) {
			m.Filter = s.among(m.Destination)
		}
		s.held[m.ID] = true
		s.ids = append(s.ids, m.ID)
		events = append(events, m)
	}
	if s.chance(.05) && len(s.ids) > 0 {
		id := s.ids[s.rng.IntN(len(s.ids))]
		delete(s.held, id)
		events = append(events, Withdrawn{id})
	}
	if s.chance(.05) || len(s.targets) == 0 {
		events = append(events, s.list())
	}
	if s.chance(.02) && len(s.targets) > 0 {
		names := slices.Sorted(maps.Keys(s.targets))
		events = append(events, PeerRetryAfter{names[s.rng.IntN(len(names))], time.Duration(s.rng.IntN(3000)) * time.Millisecond})
	}
	if s.chance(.05) {
		events = append(events, StoreFull{})
	}
	if s.chance(.0005) {
		events = append(events, Stopping{time.Duration(s.rng.IntN(5000)) * time.Millisecond})
	}
	return events
}

// carry takes what was decided.
func (s *stream) carry(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			c := &flight{target: a.Target, n: s.tries[a.Message], order: s.calls}
			s.calls++
			s.tries[a.Message]++
			took := time.Duration(1+s.rng.IntN(300)) * time.Millisecond
			c.result = Succeeded
			switch {
			case s.chance(s.silence) && (a.Target[len(a.Target)-1])%2 == 0:
				c.result, took = TimedOut, a.Timeout
			case s.chance(s.mood):
				c.result = []Result{Errored, Overloaded, Overloaded, ConnectFailed, Reset, NotSent}[s.rng.IntN(6)]
				if c.result == Overloaded && s.chance(.5) {
					c.wait = time.Duration(s.rng.IntN(4000)) * time.Millisecond
				}
			}
			c.due = s.now + min(took, max(0, a.Timeout))
			s.sent[a.Message] = c
		case Cancel:
			if c := s.sent[a.Message]; c != nil && c.n == a.Attempt {
				c.result, c.due = Cancelled, s.now
			}
		case Refuse:
			delete(s.held, a.Message)
		case Fail:
			delete(s.held, a.Message)
		case Wake:
			s.wake = s.now + a.After
		}
	}
}

// manyStreams has rapid play so many streams, always the same ones, unless flags say otherwise.
func manyStreams(t *testing.T, n string) {
	for name, value := range map[string]string{"rapid.checks": n, "rapid.seed": "7"} {
		f := flag.Lookup(name)
		if f.Value.String() != f.DefValue {
			continue
		}
		flag.Set(name, value)
		t.Cleanup(func() { flag.Set(name, f.DefValue) })
	}
}

// TestIndexAgreesWithScans plays streams of events to the module and to its oracle: what both do must
// be the same, action by action.
func TestIndexAgreesWithScans(t *testing.T) {
	manyStreams(t, "2000")
	sends, others := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		set := drawSettings(t)
		s := newStream(t, set)
		module, err := New(set)
		if err != nil {
			t.Fatal(err)
		}
		oracle, err := newScanner(set)
		if err != nil {
			t.Fatal(err)
		}
		for step := range rapid.IntRange(1, 400).Draw(t, "steps") {
			events := s.events()
			got, want := module.Step(s.now, events), oracle.Step(s.now, events)
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("step %d at %v, events %+v:\n got %+v\nwant %+v", step, s.now, events, got, want)
			}
			for _, a := range got {
				switch a.(type) {
				case Send:
					sends++
				case Wake:
				default:
					others++
				}
			}
			s.carry(got)
		}
	})
	if sends < 1000 || others < 100 {
		t.Errorf("%d sends and %d other actions: the streams say too little", sends, others)
	}
}
