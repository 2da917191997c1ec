package agent

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// policyWorld drives a listPolicy in virtual time and checks it against a plain model: the set of the calls that are in flight.
type policyWorld struct {
	policy   *listPolicy
	now      time.Duration
	inFlight []listCall
	step     listStep
}

func newPolicyWorld(fleet Fleet, listKnown bool) *policyWorld {
	return &policyWorld{policy: newListPolicy(fleet, fleet.listTiming(), fleet.newListBackoff(), listKnown)}
}

// check stops the test run with a description if a condition does not hold.
func check(holds bool, format string, args ...any) {
	if !holds {
		panic(fmt.Sprintf(format, args...))
	}
}

// advance lets the policy do what is due.
func (w *policyWorld) advance() {
	for {
		w.step = w.policy.advance(w.now)
		for _, id := range w.step.giveUp {
			c := w.drop(id)
			check(len(w.inFlight)+1 >= w.policy.timing.maxCalls || w.now >= c.began+w.policy.timing.giveUp, "at %v: gives up %+v", w.now, c)
		}
		if w.step.begin == nil {
			break
		}
		w.inFlight = append(w.inFlight, *w.step.begin)
	}
	check(w.step.wake > w.now && w.step.wake != never, "at %v: to be woken at %v", w.now, w.step.wake)
	check(len(w.inFlight) <= w.policy.timing.maxCalls, "at %v: %d calls in flight", w.now, len(w.inFlight))
	check(slices.EqualFunc(w.inFlight, w.policy.calls, func(a, b listCall) bool { return a.id == b.id }), "at %v: in flight %v, the policy has %v", w.now, w.inFlight, w.policy.calls)
}

// drop removes a call from the model.
func (w *policyWorld) drop(id int) listCall {
	i := slices.IndexFunc(w.inFlight, func(c listCall) bool { return c.id == id })
	check(i >= 0, "at %v: gives up call %d, which is not in flight", w.now, id)
	c := w.inFlight[i]
	w.inFlight = slices.Delete(w.inFlight, i, i+1)
	return c
}

// answer answers one of the calls in flight.
func (w *policyWorld) answer(i int) {
	want := []int{}
	for _, c := range w.inFlight[:i] {
		want = append(want, c.id)
	}
	got := w.policy.answered(w.now, w.inFlight[i].id)
	check(slices.Equal(got, want), "at %v: an answer to %+v gives up %v, want %v", w.now, w.inFlight[i], got, want)
	w.inFlight = w.inFlight[i+1:]
}

func (w *policyWorld) fail(i int, how listFailure) {
	id := w.inFlight[i].id
	w.policy.failed(w.now, id, how)
	w.drop(id)
}

// policyEvents are what may happen to a policy; the number of a call is reduced to those in flight.
var policyEvents = []struct {
	name string
	do   func(w *policyWorld)
}{
	{"the first call is answered", func(w *policyWorld) {
		if len(w.inFlight) > 0 {
			w.answer(0)
		}
	}},
	{"the last call is answered", func(w *policyWorld) {
		if n := len(w.inFlight); n > 0 {
			w.answer(n - 1)
		}
	}},
	{"the last call is reset", func(w *policyWorld) {
		if n := len(w.inFlight); n > 0 {
			w.fail(n-1, listUnusable)
		}
	}},
	{"the first call is refused", func(w *policyWorld) {
		if len(w.inFlight) > 0 {
			w.fail(0, listRefused)
		}
	}},
	{"a part of the last answer arrives", func(w *policyWorld) {
		if n := len(w.inFlight); n > 0 {
			w.policy.progress(w.now, w.inFlight[n-1].id)
		}
	}},
	{"refresh", func(w *policyWorld) { w.policy.refreshNow(w.now) }},
	{"another address", func(w *policyWorld) {
		check(len(w.policy.changeAddress(w.now)) == len(w.inFlight), "a call to the former address goes on")
		w.inFlight = nil
	}},
	{"time", func(w *policyWorld) { w.now = w.step.wake }},
}

// timeUntilTold returns how long it takes until a call is answered that began from now on, or that is held now, if all such calls are answered after a
// latency and all others fall silent.
func (w *policyWorld) timeUntilTold(latency time.Duration) time.Duration {
	start := w.now
	for w.now < start+time.Minute {
		next, answered := w.step.wake, -1
		for i, c := range w.inFlight {
			at := c.began + latency
			if c.began < start {
				if !c.held || start > c.began+w.policy.timing.hold {
					continue
				}
				at = start + latency
			}
			if at <= next {
				next, answered = at, i
			}
		}
		if w.now = next; answered >= 0 {
			return w.now - start
		}
		w.advance()
	}
	return w.now - start
}

var policyFleets = map[string]Fleet{
	"pushed":               {Forwarders: 300},
	"requested by one":     {Forwarders: 1, MustSubscribe: true, ResubscribeInterval: 10 * time.Second},
	"requested by a few":   {Forwarders: 24, MustSubscribe: true, ResubscribeInterval: 10 * time.Second},
	"requested by a crowd": {Forwarders: 300, MustSubscribe: true, ResubscribeInterval: 10 * time.Second},
}

// slowestTold is the slowest answer by which a fleet still receives changes within receiptLimit.
func slowestTold(fleet Fleet) time.Duration {
	if fleet.affordsOverlap() {
		return 5 * time.Second
	}
	return 450 * time.Millisecond
}

// TestListPolicyInSmallWorlds plays all sequences of up to six events. Whatever has happened, each change is received within 6 s from then on, by answers that
// take long, and the policy agrees with the model about the calls in flight.
func TestListPolicyInSmallWorlds(t *testing.T) {
	const longest = 6
	for name, fleet := range policyFleets {
		for _, draw := range []float64{0, 1} {
			t.Run(fmt.Sprint(name, ", draw ", draw), func(t *testing.T) {
				t.Parallel()
				fleet := fleet
				fleet.Random = func() float64 { return draw }
				sequence := make([]int, longest)
				defer func() {
					if r := recover(); r != nil {
						t.Fatalf("events %v: %v", sequence, r)
					}
				}()
				var play func(n int)
				play = func(n int) {
					if n < longest {
						for sequence[n] = range policyEvents {
							play(n + 1)
						}
						return
					}
					w := newPolicyWorld(fleet, true)
					w.now = w.policy.nextAt
					w.advance()
					for _, event := range sequence {
						policyEvents[event].do(w)
						w.advance()
					}
					told := w.timeUntilTold(slowestTold(fleet))
					check(told <= receiptLimit, "received after %v", told)
				}
				play(0)
			})
		}
	}
}

// TestListPolicyModel plays long random sequences of events with any times between them.
func TestListPolicyModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.SampledFrom([]string{"pushed", "requested by one", "requested by a few", "requested by a crowd"}).Draw(t, "fleet")
		fleet := policyFleets[name]
		fleet.Random = func() float64 { return rapid.Float64Range(0, 1).Draw(t, "random") }
		w := newPolicyWorld(fleet, rapid.Bool().Draw(t, "known"))
		w.now = w.policy.nextAt // the first calls of a fleet are spread over up to 7.5 s
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			w.advance()
			pause := time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			w.now = min(w.now+pause, w.step.wake)
			w.advance()
			policyEvents[rapid.IntRange(0, len(policyEvents)-1).Draw(t, "event")].do(w)
		}
		w.advance()
		told := w.timeUntilTold(slowestTold(fleet))
		if w.policy.retry.showsOverload() && fleet.initialCallPeriod() > maxRetryInterval {
			return // the fleet is taken to overload discovery
		}
		if told > receiptLimit {
			t.Errorf("%s: received after %v", name, told)
		}
	})
}
