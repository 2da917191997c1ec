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

// stepper is implemented by Forwarder and by its oracle, the scanner.
type stepper interface {
	Step(time.Duration, []Event) []Action
}

// stream draws random events as a host may report them: each Send gets one outcome, and a
// Step comes when a Wake asked for it.
type stream struct {
	rng          *rand.Rand
	settings     Settings
	now          time.Duration
	wakeAt       time.Duration // 0 if no Wake is pending
	destinations int
	targets      map[string]Target        // as last listed
	messageCount int                      // drawn so far
	callCount    int                      // carried out so far
	open         map[string]bool          // messages not completed
	messageIDs   []string                 // of all messages drawn
	inFlight     map[string]*inFlightCall // by message
	attempts     map[string]int           // by message
	failureShare float64                  // share of calls that fail or are refused
	timeoutShare float64                  // share of calls to half of the endpoints that are not answered before their timeout
}

// inFlightCall is an attempt whose outcome is drawn already and reported at endsAt.
type inFlightCall struct {
	endpoint   string
	attempt    int
	endsAt     time.Duration
	result     Result
	retryAfter time.Duration
	order      int // number of the call
}

func drawSettings(t *rapid.T) Settings {
	ms := func(lo, hi int, what string) time.Duration {
		return time.Duration(rapid.IntRange(lo, hi).Draw(t, what)) * time.Millisecond
	}
	return Settings{
		Seed: rapid.Uint64().Draw(t, "seed"), Slots: rapid.IntRange(1, 24).Draw(t, "slots"),
		MaxOpen: rapid.SampledFrom([]int{0, 10, 60}).Draw(t, "open"), MaxAttempts: rapid.IntRange(0, 6).Draw(t, "attempts"),
		MayCancel: rapid.Bool().Draw(t, "cancel"), Forwarders: rapid.SampledFrom([]int{1, 2, 30}).Draw(t, "forwarders"), Zone: "a",
		Decay:          rapid.SampledFrom([]Decay{Linear, Exponential}).Draw(t, "decay"),
		OverQuotaValue: rapid.SampledFrom([]float64{0, .3, 1}).Draw(t, "over"),
		Tenants:        []Tenant{{Name: "small", Quota: 2}, {Name: "free"}},
		Weights:        rapid.SampledFrom([]Weights{NoWeights, ExactWeights}).Draw(t, "weights"),
		Classes: []Class{
			{Name: "pure", Effect: Idempotent, OnTime: ms(0, 4000, "onTime"), Deadline: ms(3000, 30000, "deadline"), Value: 1, LateShare: .4},
			{Name: "count", Effect: Idempotent, OnTime: time.Second, Deadline: 10 * time.Second, Value: 1, LateShare: 1},
			{Name: "unsafe", Effect: AtMostOnce, OnTime: ms(0, 4000, "onTime"), Deadline: ms(3000, 30000, "deadline"), Value: 3, LateShare: .4},
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
	return &stream{rng: rand.New(rand.NewPCG(seed, 1)), settings: set, destinations: rapid.IntRange(1, 30).Draw(t, "destinations"),
		failureShare: rapid.SampledFrom([]float64{0, .05, .3, .9}).Draw(t, "failureShare"),
		timeoutShare: rapid.SampledFrom([]float64{0, .1, .6}).Draw(t, "timeoutShare"),
		targets:      map[string]Target{}, open: map[string]bool{}, inFlight: map[string]*inFlightCall{}, attempts: map[string]int{}}
}

func (s *stream) chance(p float64) bool { return s.rng.Float64() < p }

func (s *stream) drawSnapshot() TargetList {
	kinds := []string{"plain", "apart", "many"}
	entry := func(name string) Target {
		t, ok := s.targets[name]
		if !ok {
			d := s.rng.IntN(s.destinations)
			t = Target{ID: name, Destination: d, Kind: kinds[d%3], Zone: "ab"[s.rng.IntN(2):][:1], Weight: float64(s.rng.IntN(40)), Backup: s.chance(.2)}
		}
		t.State = []TargetState{Active, Active, Active, Draining, Gone}[s.rng.IntN(5)]
		s.targets[name] = t
		return t
	}
	snapshot := TargetList{Scope: []ListScope{Snapshot, Delta, Delta, Delta, LastKnown, Unavailable}[s.rng.IntN(6)]}
	n := 1 + s.rng.IntN(4)
	if snapshot.Scope == Snapshot || snapshot.Scope == LastKnown {
		n = 2 * s.destinations
	}
	if snapshot.Scope == Unavailable {
		return snapshot
	}
	for range n {
		snapshot.Targets = append(snapshot.Targets, entry(fmt.Sprint("t", s.rng.IntN(3*s.destinations))))
	}
	return snapshot
}

// drawFilter draws a filter for a message, mostly with endpoints of its own destination.
func (s *stream) drawFilter(dest int) *EndpointFilter {
	filter := &EndpointFilter{}
	for i := range 3 * s.destinations {
		id := fmt.Sprint("t", i)
		if s.targets[id].Destination != dest && !s.chance(.05) {
			continue
		}
		if s.chance(.5) {
			filter.Only = append(filter.Only, id)
		}
		if s.chance(.5) {
			filter.Prefer = append(filter.Prefer, id)
		}
	}
	return filter
}

// drawEvents advances the clock by a random time and draws the events until then.
func (s *stream) drawEvents() []Event {
	switch {
	case s.chance(.01):
		s.now += time.Duration(s.rng.IntN(70000)) * time.Millisecond // up to 70 s without events
	case s.chance(.3):
		s.now += time.Duration(s.rng.IntN(400)) * time.Millisecond
	case s.chance(.9):
		s.now += time.Duration(s.rng.IntN(20)) * time.Millisecond
	}
	var events []Event
	if s.wakeAt > 0 && s.now >= s.wakeAt { // the host is mostly on time
		if s.chance(.9) {
			s.now = s.wakeAt
		}
		s.wakeAt = 0
		events = append(events, Woken{})
	}
	var ended []string
	for id, c := range s.inFlight {
		if s.now >= c.endsAt {
			ended = append(ended, id)
		}
	}
	slices.SortFunc(ended, func(a, b string) int { return s.inFlight[a].order - s.inFlight[b].order })
	for _, id := range ended {
		c := s.inFlight[id]
		delete(s.inFlight, id)
		o := Outcome{Message: id, Attempt: c.attempt, Target: c.endpoint, Result: c.result, RetryAfter: c.retryAfter, NoAnswerNeeded: c.result == Succeeded,
			Latency: time.Duration(1+s.rng.IntN(400)) * time.Millisecond}
		if s.chance(.2) {
			o.Allowance = Allowance{Reported: true, Remaining: s.rng.Float64(), Rate: float64(s.rng.IntN(30))}
		}
		if o.Result == NotSent && s.chance(.3) {
			o.RetryDelay = time.Duration(s.rng.IntN(3000)) * time.Millisecond
		}
		if o.NoAnswerNeeded {
			delete(s.open, id)
		}
		events = append(events, o)
	}
	n := s.rng.IntN(4)
	if s.chance(.03) {
		n = 40
	}
	for range n {
		s.messageCount++
		c := s.settings.Classes[s.rng.IntN(len(s.settings.Classes))]
		m := Message{ID: fmt.Sprint("m", s.messageCount), Class: c.Name, Destination: s.rng.IntN(s.destinations), Key: fmt.Sprint("k", s.rng.IntN(3*s.destinations)),
			Tenant: []string{"", "small", "free"}[s.rng.IntN(3)], TimeLeft: time.Duration(s.rng.Float64() * 1.05 * float64(c.Deadline))}
		if s.chance(.02) {
			m.Recovered, m.Attempts, m.MayHaveRun = true, s.rng.IntN(4), s.chance(.5)
			m.HasOpenAttempt = m.MayHaveRun && m.Attempts > 0 && s.chance(.5)
			s.attempts[m.ID] = m.Attempts
		}
		if s.chance(.15) {
			m.Filter = s.drawFilter(m.Destination)
		}
		s.open[m.ID] = true
		s.messageIDs = append(s.messageIDs, m.ID)
		events = append(events, m)
	}
	if s.chance(.05) && len(s.messageIDs) > 0 {
		id := s.messageIDs[s.rng.IntN(len(s.messageIDs))]
		delete(s.open, id)
		events = append(events, Withdrawn{id})
	}
	if s.chance(.05) || len(s.targets) == 0 {
		events = append(events, s.drawSnapshot())
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

// execute carries out actions and draws the outcomes of the calls.
func (s *stream) execute(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Send:
			c := &inFlightCall{endpoint: a.Target, attempt: s.attempts[a.Message], order: s.callCount}
			s.callCount++
			s.attempts[a.Message]++
			took := time.Duration(1+s.rng.IntN(300)) * time.Millisecond
			c.result = Succeeded
			switch {
			case s.chance(s.timeoutShare) && (a.Target[len(a.Target)-1])%2 == 0:
				c.result, took = TimedOut, a.Timeout
			case s.chance(s.failureShare):
				c.result = []Result{Errored, Overloaded, Overloaded, ConnectFailed, Reset, NotSent}[s.rng.IntN(6)]
				if c.result == Overloaded && s.chance(.5) {
					c.retryAfter = time.Duration(s.rng.IntN(4000)) * time.Millisecond
				}
			}
			c.endsAt = s.now + min(took, max(0, a.Timeout))
			s.inFlight[a.Message] = c
		case Cancel:
			if c := s.inFlight[a.Message]; c != nil && c.attempt == a.Attempt {
				c.result, c.endsAt = Cancelled, s.now
			}
		case Refuse:
			delete(s.open, a.Message)
		case Fail:
			delete(s.open, a.Message)
		case Wake:
			s.wakeAt = s.now + a.After
		}
	}
}

// setStreamCount has rapid draw n streams from a fixed seed, unless flags are set.
func setStreamCount(t *testing.T, n string) {
	for name, value := range map[string]string{"rapid.checks": n, "rapid.seed": "7"} {
		f := flag.Lookup(name)
		if f.Value.String() != f.DefValue {
			continue
		}
		flag.Set(name, value)
		t.Cleanup(func() { flag.Set(name, f.DefValue) })
	}
}

// TestIndexAgreesWithScans passes streams of events to a Forwarder and to its oracle, which scans where the
// Forwarder has indexes: both must return the same actions.
func TestIndexAgreesWithScans(t *testing.T) {
	setStreamCount(t, "2000")
	sends, otherActions := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		set := drawSettings(t)
		s := newStream(t, set)
		forwarder, err := New(set)
		if err != nil {
			t.Fatal(err)
		}
		oracle, err := newScanner(set)
		if err != nil {
			t.Fatal(err)
		}
		for step := range rapid.IntRange(1, 400).Draw(t, "steps") {
			events := s.drawEvents()
			got, want := forwarder.Step(s.now, events), oracle.Step(s.now, events)
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("step %d at %v, events %+v:\n got %+v\nwant %+v", step, s.now, events, got, want)
			}
			for _, a := range got {
				switch a.(type) {
				case Send:
					sends++
				case Wake:
				default:
					otherActions++
				}
			}
			s.execute(got)
		}
	})
	if sends < 1000 || otherActions < 100 {
		t.Errorf("%d sends and %d other actions: too few to compare them", sends, otherActions)
	}
}
