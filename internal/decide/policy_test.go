package decide

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings returns settings for tests, with short times and small limits.
func testSettings() Settings {
	return Settings{
		Seed: 7, Slots: 10, MaxOpen: 100, MaxAttempts: 6, MayCancel: true, Forwarders: 2, Zone: "a",
		Classes: []Class{
			{Name: "pure", Effect: Idempotent, OnTime: time.Second, Deadline: 10 * time.Second, Value: 1, LateShare: .4},
			{Name: "unsafe", Effect: AtMostOnce, OnTime: time.Second, Deadline: 10 * time.Second, Value: 3, LateShare: .4},
			{Name: "keyed", Effect: Deduplicated, DedupPerZone: true, DedupWindow: 3 * time.Second, OnTime: time.Second,
				Deadline: 10 * time.Second, Value: 1, LateShare: .4, Ordered: true},
		},
		Kinds:        []Kind{{Name: "plain", MaxBatch: 1}, {Name: "apart", SeparateRoutes: true, MaxBatch: 3}},
		ConnectPrice: .06, ConnIdle: 10 * time.Second, ConnectTimeout: time.Second, MaxRetryAfter: 2 * time.Second,
		AnswerSlack: 20 * ms, DrainGrace: time.Second, KeyPause: 100 * ms,
		StartCapacity: .2, SlowStart: 10 * time.Second, OverloadFactor: 2, OverloadOutage: 3 * time.Second,
	}
}

func newForwarder(t testing.TB, targets ...Target) *Forwarder {
	t.Helper()
	f, err := New(testSettings())
	if err != nil {
		t.Fatal(err)
	}
	f.Step(0, []Event{TargetList{Scope: LastKnown, Targets: targets}})
	return f
}

func plain(id string) Target { return Target{ID: id, Destination: 1, Kind: "plain", Zone: "a"} }

func msg(id, class, key string) Message {
	return Message{ID: id, Class: class, Destination: 1, Key: key, TimeLeft: 10 * time.Second}
}

func sends(actions []Action) (ids []string) {
	for _, a := range actions {
		if s, ok := a.(Send); ok {
			ids = append(ids, s.Message)
		}
	}
	return ids
}

// policyFiles returns the paths of the files that the policy setting of a deploy file lists.
func policyFiles(t *testing.T, deploy string) []string {
	t.Helper()
	const root = "../../"
	text, err := os.ReadFile(root + "deploy/" + deploy)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for line := range strings.Lines(string(text)) {
		if list, ok := strings.CutPrefix(line, "policy = "); ok {
			if err := json.Unmarshal([]byte(list), &names); err != nil {
				t.Fatalf("%s: %v", deploy, err)
			}
		}
	}
	var files []string
	for _, name := range names {
		files = append(files, root+name)
	}
	return files
}

func TestPolicyFilesWithinSizeLimit(t *testing.T) {
	files := policyFiles(t, "balancer.toml")
	if same := policyFiles(t, "steps.toml"); !slices.Equal(files, same) {
		t.Errorf("balancer.toml lists the policy files %v, steps.toml lists %v", files, same)
	}
	if !slices.Contains(files, "../../internal/decide/policy.go") {
		t.Errorf("policy.go is not among the policy files %v", files)
	}
	lines := 0
	for _, name := range files {
		lines += policyLines(t, name)
	}
	if lines > 1200 {
		t.Errorf("the policy files have %d lines that are not blank, 1200 are allowed", lines)
	}
}

// policyLines counts the lines of a policy file that are not blank, and fails the test for lines of more than 110 characters.
func policyLines(t *testing.T, name string) (lines int) {
	t.Helper()
	file, err := os.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	for s := bufio.NewScanner(file); s.Scan(); {
		if strings.TrimSpace(s.Text()) != "" {
			lines++
		}
		if n := len(strings.ReplaceAll(s.Text(), "\t", "    ")); n > 110 {
			t.Errorf("%s: %d characters: %s", name, n, s.Text())
		}
	}
	return lines
}

func TestRetryAfterBlocksAllMessages(t *testing.T) {
	f := newForwarder(t, plain("x"))
	if got := sends(f.Step(0, []Event{msg("m1", "pure", "")})); len(got) != 1 {
		t.Fatalf("sent %v", got)
	}
	f.Step(100*ms, []Event{Outcome{Message: "m1", Target: "x", Result: Overloaded, RetryAfter: 500 * ms}})
	for at := 100 * ms; at < 600*ms; at += 20 * ms {
		if got := sends(f.Step(at, []Event{msg("n"+at.String(), "unsafe", "")})); len(got) > 0 {
			t.Fatalf("sent %v at %v", got, at)
		}
	}
	if got := sends(f.Step(600*ms, nil)); len(got) == 0 {
		t.Error("nothing sent at the retry-after time")
	}
}

func TestKeyIsSerialAndPausesAfterTimeout(t *testing.T) {
	f := newForwarder(t, plain("x"))
	f.destinations[1].routes[0].recentSuccesses.value = 9 // one timeout must not open the circuit
	got := sends(f.Step(0, []Event{msg("m1", "keyed", "k"), msg("m2", "keyed", "k"), msg("m3", "keyed", "j")}))
	if strings.Join(got, " ") != "m1 m3" {
		t.Fatalf("sent %v", got)
	}
	f.Step(50*ms, []Event{Withdrawn{"m1"}})
	if got := sends(f.Step(60*ms, nil)); len(got) > 0 {
		t.Fatalf("sent %v while an attempt with the same key was in flight", got)
	}
	f.Step(100*ms, []Event{Outcome{Message: "m1", Target: "x", Result: TimedOut, NoAnswerNeeded: true}})
	if got := sends(f.Step(199*ms, nil)); len(got) > 0 {
		t.Fatalf("sent %v while the key was paused", got)
	}
	if got := sends(f.Step(200*ms, nil)); len(got) != 1 {
		t.Errorf("sent %v after the pause of the key", got)
	}
}

func TestUnsafeWithUnclearOutcomeFails(t *testing.T) {
	for _, result := range []Result{Errored, TimedOut, Reset} {
		f := newForwarder(t, plain("x"))
		f.Step(0, []Event{msg("m1", "unsafe", "")})
		got := f.Step(100*ms, []Event{Outcome{Message: "m1", Target: "x", Result: result}})
		if !slices.Contains(got, Action(Fail{"m1"})) {
			t.Errorf("result %v: %v", result, got)
		}
	}
}

func TestDrainingEndpointGetsNoMessage(t *testing.T) {
	f := newForwarder(t, plain("x"))
	x := plain("x")
	x.State = Draining
	got := f.Step(0, []Event{TargetList{Scope: Delta, Targets: []Target{x}}, msg("m1", "pure", "")})
	if s := sends(got); len(s) > 0 {
		t.Errorf("sent %v", s)
	}
}

// A call of several messages may end for one of them first. A retry-after time in that outcome applies to the
// whole route at once.
func TestRetryAfterWithinSharedCall(t *testing.T) {
	x := Target{ID: "x", Destination: 1, Kind: "apart", Zone: "a"}
	f := newForwarder(t, x)
	if got := sends(f.Step(0, []Event{msg("m1", "pure", ""), msg("m2", "pure", "")})); len(got) != 2 {
		t.Fatalf("sent %v", got)
	}
	f.Step(100*ms, []Event{Outcome{Message: "m1", Target: "x", Result: Overloaded, RetryAfter: time.Second}})
	f.Step(110*ms, []Event{Outcome{Message: "m2", Target: "x", Result: TimedOut}})
	if got := sends(f.Step(500*ms, []Event{msg("m3", "pure", "")})); len(got) > 0 {
		t.Errorf("sent %v before the retry-after time", got)
	}
}

// A call that is lost while later ones are answered is no evidence against its route (incident 001).
func TestLostCallDoesNotOpenCircuit(t *testing.T) {
	f := newForwarder(t, plain("x"))
	f.Step(0, []Event{msg("lost", "pure", "")})
	f.Step(100*ms, []Event{msg("m2", "pure", "")})
	f.Step(300*ms, []Event{Outcome{Message: "m2", Target: "x", Result: Succeeded, Latency: 200 * ms, NoAnswerNeeded: true}})
	f.Step(1400*ms, nil)
	if r := f.Routes()[0]; r.CircuitOpen {
		t.Errorf("the circuit is open: %q", r.OpenReason)
	}
	if got := sends(f.Step(3*time.Second, []Event{msg("m3", "pure", "")})); len(got) != 1 {
		t.Errorf("sent %v", got)
	}
}

// Calls that never get an answer must not occupy all slots (incident 001).
func TestOverdueCallIsCancelledWhenSlotsRunOut(t *testing.T) {
	f := newForwarder(t, plain("x"), Target{ID: "y", Destination: 2, Kind: "plain", Zone: "a"},
		Target{ID: "z", Destination: 3, Kind: "plain", Zone: "a"})
	for _, d := range f.destinations { // as if they had answered before
		d.routes[0].suspicion = notSuspect
	}
	var events []Event
	for i := range 5 {
		for d := 1; d <= 2; d++ {
			m := msg("m"+string(rune('0'+i))+string(rune('0'+d)), "unsafe", "")
			m.Destination = d
			events = append(events, m)
		}
	}
	if got := sends(f.Step(0, events)); len(got) != 10 {
		t.Fatalf("sent %v", got)
	}
	m := msg("m", "pure", "")
	m.Destination = 3
	cancels := 0
	for _, a := range f.Step(4*time.Second, []Event{m}) {
		if _, ok := a.(Cancel); ok {
			cancels++
		}
	}
	if cancels != 1 {
		t.Errorf("%d calls cancelled, want 1", cancels)
	}
}

// Two outcomes a second are too few to judge a failure rate by: the retry budget must not fluctuate on them
// (incident 003).
func TestRetryBudgetNeedsEnoughOutcomes(t *testing.T) {
	for _, c := range []struct {
		name               string
		outcomes, failures int
		ratio, want        float64
	}{
		{"too few", 3, 2, .2, .2},
		{"many fail", 10, 4, .2, .1},
		{"floor", 10, 10, .012, .01},
		{"between", 10, 2, .1, .1},
		{"few fail", 40, 1, .1, .11},
		{"cap", 40, 0, .19, .2},
	} {
		f := newForwarder(t, plain("x"))
		r := f.destinations[1].routes[0]
		r.outcomes, r.failures, r.retryRatio = c.outcomes, c.failures, c.ratio
		f.Step(time.Second, nil)
		f.closeIntervals(r)
		if d := r.retryRatio - c.want; d > 1e-9 || d < -1e-9 {
			t.Errorf("%s: %v, want %v", c.name, r.retryRatio, c.want)
		}
	}
}

// If calls on connections that were idle for long get no answer while calls on new connections do, idle
// connections are closed before a send (incident 004).
func TestStaleConnectionsAreClosed(t *testing.T) {
	f := newForwarder(t, plain("x"))
	now, open := time.Duration(0), false // open: there is an idle connection to the endpoint
	step := func(at time.Duration, events ...Event) {
		for _, a := range f.Step(at, events) {
			if _, ok := a.(CloseIdle); ok {
				open = false
			}
		}
	}
	for i := range 24 { // at this pace a few losses open the circuit, and its probes use new connections
		id := "m" + time.Duration(i).String()
		step(now, msg(id, "pure", ""))
		if open {
			step(now + 900*ms)
			step(now+1500*ms, Outcome{Message: id, Target: "x", Result: TimedOut}, Withdrawn{id})
			open = false // an abandoned call closes its connection
		} else {
			step(now+100*ms, Outcome{Message: id, Target: "x", Result: Succeeded, Latency: 100 * ms, NoAnswerNeeded: true})
			open = true
		}
		now += 4 * time.Second
	}
	if !f.losesWhenIdle(idleStep(4 * time.Second)) {
		t.Error("connections that were idle for 4 s are still used")
	}
	if f.losesWhenIdle(idleStep(100 * ms)) {
		t.Error("connections that were used 100 ms ago are not used")
	}
}

// One endpoint resets a quarter of its calls, the other none: the other is preferred (incident 005).
func TestPrefersEndpointThatFailsLess(t *testing.T) {
	f := newForwarder(t, plain("x"), plain("y"))
	now := time.Duration(0)
	lateSends := map[string]int{}
	for i := range 60 {
		id := "m" + time.Duration(i).String()
		for _, a := range f.Step(now, []Event{msg(id, "pure", "")}) {
			if s, ok := a.(Send); ok && s.Message == id {
				o := Outcome{Message: id, Target: s.Target, Result: Succeeded, Latency: 50 * ms, NoAnswerNeeded: true}
				if s.Target == "x" && i%4 == 1 {
					o.Result, o.NoAnswerNeeded = Reset, false
				}
				f.Step(now+50*ms, []Event{o, Withdrawn{id}})
				if i >= 40 {
					lateSends[s.Target]++
				}
			}
		}
		now += 300 * ms
	}
	if lateSends["y"] < 10 || lateSends["y"] < 3*lateSends["x"] {
		t.Errorf("sends of the last third, by endpoint: %v", lateSends)
	}
}

// When slots run out, a call whose message could not be refused after a cancellation stays in flight longer
// than one that is safe to repeat. A keyed one still leaves time for a repeat within its window.
func TestCancelAfterByClass(t *testing.T) {
	f := newForwarder(t)
	latency := 250 * ms
	for _, c := range []struct {
		class  string
		window time.Duration
		want   time.Duration
	}{{"pure", 0, 1000 * ms}, {"unsafe", 0, 1750 * ms}, {"keyed", 20 * time.Second, 1750 * ms}, {"keyed", 5 * time.Second, 1250 * ms}} {
		class := *f.classes[c.class]
		class.DedupWindow = c.window
		if got := f.cancelAfter(&message{class: &class}, latency); got != c.want {
			t.Errorf("%s, window %v: %v, want %v", c.class, c.window, got, c.want)
		}
	}
}

// A route that is unused for forgetAfter is reset. A retry-after time that lasts longer must survive the reset.
func TestRouteResetKeepsRetryAfter(t *testing.T) {
	f := newForwarder(t, plain("x"))
	f.Step(0, []Event{msg("m1", "pure", "")})
	f.Step(100*ms, []Event{Outcome{Message: "m1", Target: "x", Result: Overloaded, RetryAfter: 2 * time.Minute}, Withdrawn{"m1"}})
	f.Step(61*time.Second, nil)
	f.Step(62*time.Second, nil)
	if got := sends(f.Step(63*time.Second, []Event{msg("m2", "pure", "")})); len(got) > 0 {
		t.Errorf("sent %v before the retry-after time", got)
	}
}

// The forwarder asks to be woken when something falls due next, here at a retry-after time, and not at fixed
// intervals; a Step scans no idle route.
func TestWakeIsAtNextDueTime(t *testing.T) {
	f := newForwarder(t, plain("x"))
	f.Step(0, []Event{msg("m1", "pure", "")})
	got := f.Step(100*ms, []Event{Outcome{Message: "m1", Target: "x", Result: Overloaded, RetryAfter: 700 * ms}})
	if !slices.Contains(got, Action(Wake{700 * ms})) {
		t.Errorf("got %v, want one Wake at the retry-after time", got)
	}
}

// BenchmarkStep measures a Step that finds nothing due while many routes are listed and many messages are
// queued.
func BenchmarkStep(b *testing.B) {
	for _, routes := range []int{10, 1000} {
		for _, queued := range []int{1, 100} {
			b.Run(fmt.Sprintf("routes=%d/held=%d", routes, queued), func(b *testing.B) {
				s := testSettings()
				s.Slots, s.MaxOpen = 1, 0
				f, _ := New(s)
				var list []Target
				for i := range routes {
					list = append(list, Target{ID: fmt.Sprint("t", i), Destination: i, Kind: "plain", Zone: "a"})
				}
				events := []Event{TargetList{Scope: Snapshot, Targets: list}}
				for i := range queued {
					m := msg(fmt.Sprint("m", i), "pure", "")
					m.Destination, m.TimeLeft = i%routes, 10*time.Second
					events = append(events, m)
				}
				f.Step(0, events)
				now := time.Duration(0)
				b.ResetTimer()
				for range b.N {
					now += time.Nanosecond
					f.Step(now, []Event{Woken{}})
				}
			})
		}
	}
}

// All senders that saw a destination fail probe it: the more senders there are, and the fewer messages each
// has for it, the fewer probes each may send. A single refused connection is enough to open the circuit of a
// route without recent successes.
func TestProbesOfManySendersAreRare(t *testing.T) {
	for _, c := range []struct {
		forwarders, queued, maxCalls int
	}{{2, 1, 20}, {500, 1, 5}, {500, 20, 20}} {
		f := newForwarder(t, plain("x"))
		f.settings.Forwarders = c.forwarders
		sent, now := 0, time.Duration(0)
		var events []Event
		for i := range c.queued {
			events = append(events, Message{ID: fmt.Sprint("m", i), Class: "pure", Destination: 1, TimeLeft: 10 * time.Second})
		}
		for ; now < 9*time.Second; now += 5 * ms {
			var failed []Event
			for _, a := range f.Step(now, events) {
				if s, ok := a.(Send); ok {
					sent++
					n := f.messages[s.Message].attempts - 1
					failed = append(failed, Outcome{Message: s.Message, Attempt: n, Target: "x", Result: ConnectFailed})
				}
			}
			if events = failed; now == 5*ms && !f.Routes()[0].CircuitOpen {
				t.Errorf("%+v: the circuit was not opened", c)
			}
		}
		if sent > c.maxCalls || sent < 2 {
			t.Errorf("%+v: %d calls sent", c, sent)
		}
	}
}

// Many senders that each keep an idle connection fill the connection table of a destination: a connection is
// kept only if it is used so often that the saved handshakes outweigh the room that it takes.
func TestRarelyUsedConnectionsAreClosed(t *testing.T) {
	for _, c := range []struct {
		forwarders int
		price      float64
		every      time.Duration
		kept       bool
	}{
		{100, .06, 20 * time.Second, false}, {100, .06, 3 * time.Second, true}, {100, .02, 3 * time.Second, false},
		{100, .02, 500 * ms, true}, {3, .02, 3 * time.Second, true},
	} {
		f := newForwarder(t, plain("x"))
		f.settings.ConnectPrice, f.settings.Forwarders = c.price, c.forwarders
		now, kept := time.Duration(0), false
		for i := range 30 {
			id := fmt.Sprint("m", i)
			f.Step(now, []Event{msg(id, "pure", "")})
			done := Outcome{Message: id, Target: "x", Result: Succeeded, Latency: 50 * ms, NoAnswerNeeded: true}
			kept = !slices.Contains(f.Step(now+50*ms, []Event{done}), Action(CloseIdle{"x"}))
			now += c.every
		}
		if kept != c.kept {
			t.Errorf("%+v: kept %v", c, kept)
		}
	}
}

// A reported allowance goes stale. A sender that rarely calls a route must neither slow down to almost nothing
// nor withhold retries because its last answer, some time ago, reported that little of the limit was left. It
// goes by its own share, which is the rate of its own messages, and not by the whole limit, or all senders
// would take that at once.
func TestReportedAllowanceGoesStale(t *testing.T) {
	f := newForwarder(t, plain("x"))
	f.settings.Forwarders = 500
	f.Step(0, []Event{msg("m1", "pure", "")})
	f.Step(100*ms, []Event{Outcome{Message: "m1", Target: "x", Result: Succeeded, Latency: 100 * ms, NoAnswerNeeded: true,
		Allowance: Allowance{Reported: true, Rate: 6, Remaining: .01}}})
	if got := sends(f.Step(4*time.Second, []Event{msg("m2", "pure", "")})); len(got) != 1 {
		t.Errorf("sent %v", got)
	}
	f.Step(4100*ms, []Event{Outcome{Message: "m2", Target: "x", Result: Succeeded, Latency: 100 * ms, NoAnswerNeeded: true}})
	for at := 4200 * ms; ; at += 100 * ms { // 3 messages in 4.2 s are one in 1.4 s; half of that is allowed too, for calls that are rejected on the way
		events := []Event{Woken{}}
		if at == 4200*ms {
			events = []Event{msg("m3", "pure", "")}
		}
		if got := sends(f.Step(at, events)); len(got) > 0 {
			if at < 4500*ms || at > 6*time.Second {
				t.Errorf("the third message is sent at %v", at)
			}
			break
		}
		if at > 10*time.Second {
			t.Fatal("the third message is never sent")
		}
	}
}

// A host that rounds the time of a Wake down calls Step slightly early. What falls due a moment later, here
// the answer that rule 1 requires, must not be left until the next event.
func TestEarlyWokenSchedulesAnotherWake(t *testing.T) {
	f := newForwarder(t)
	m := msg("m1", "pure", "")
	m.TimeLeft += 300 * time.Nanosecond
	got := f.Step(0, []Event{m})
	due := got[len(got)-1].(Wake).After
	got = f.Step(due-300*time.Nanosecond, []Event{Woken{}})
	if !slices.Contains(got, Action(Wake{300})) {
		t.Errorf("got %v, want a Wake for the remaining 300 ns", got)
	}
}

// To senders that rarely call, all endpoints of a destination look equal: they must not all call the one that
// is listed first.
func TestSendersSpreadOverEqualEndpoints(t *testing.T) {
	calls := map[string]int{}
	for seed := range uint64(60) {
		s := testSettings()
		s.Seed = seed
		f, err := New(s)
		if err != nil {
			t.Fatal(err)
		}
		for _, a := range f.Step(0, []Event{TargetList{Targets: []Target{plain("x"), plain("y"), plain("z")}}, msg("m", "pure", "")}) {
			if send, ok := a.(Send); ok {
				calls[send.Target]++
			}
		}
	}
	if calls["x"] < 10 || calls["y"] < 10 || calls["z"] < 10 {
		t.Errorf("calls by endpoint: %v", calls)
	}
}

// A destination that failed half of its calls is as cold on its return as one that failed all of them: one
// successful probe must not end the outage at once, without a slow start.
func TestPartialOutageIsFollowedBySlowStart(t *testing.T) {
	f := newForwarder(t, plain("x"))
	now := time.Duration(0)
	for i := 0; i < 60 && !f.Routes()[0].CircuitOpen; i++ {
		id := fmt.Sprint("m", i)
		if len(sends(f.Step(now, []Event{msg(id, "pure", "")}))) == 1 {
			result := Succeeded
			if i >= 15 && i%3 > 0 { // never three in a row
				result = Errored
			}
			f.Step(now+50*ms, []Event{Outcome{Message: id, Target: "x", Result: result, NoAnswerNeeded: result == Succeeded}, Withdrawn{id}})
		}
		now += 200 * ms
	}
	r := f.destinations[1].routes[0]
	if r.openReason != "half failing" {
		t.Fatalf("the circuit is open for the reason %q", r.openReason)
	}
	for i := 0; i < 20 && r.circuitOpen; i++ {
		id := fmt.Sprint("t", i)
		now += time.Second
		f.Step(now, []Event{msg(id, "pure", "")})
		f.Step(now+50*ms, []Event{Outcome{Message: id, Target: "x", Result: Succeeded, Latency: 50 * ms, NoAnswerNeeded: true}})
	}
	if r.circuitOpen || !r.slowStart {
		t.Errorf("circuit open: %v, slow start: %v", r.circuitOpen, r.slowStart)
	}
}

// All senders that a destination rejects get the same long retry-after time: they must not all call it then.
func TestProbesAfterLongRetryAfterAreSpread(t *testing.T) {
	early := 0
	for seed := range uint64(50) {
		s := testSettings()
		s.Seed, s.Forwarders = seed, 50
		f, err := New(s)
		if err != nil {
			t.Fatal(err)
		}
		f.Step(0, []Event{TargetList{Targets: []Target{plain("x")}}, msg("m", "pure", "")})
		f.Step(100*ms, []Event{Outcome{Message: "m", Target: "x", Result: Overloaded, RetryAfter: 5 * time.Second}})
		if got := sends(f.Step(5200*ms, nil)); len(got) > 0 {
			early++
		}
	}
	if early > 10 {
		t.Errorf("%d of 50 senders called within 100 ms of the retry-after time", early)
	}
}

// A destination may reject every call and give no retry-after time. For a sender with little traffic to it, two
// rejections without a recent success must open the circuit, or else the calls of all senders would overload
// the destination on its return.
func TestConsecutiveRejectionsOpenLowTrafficCircuit(t *testing.T) {
	f := newForwarder(t, plain("x"))
	for i := range 2 {
		id, now := fmt.Sprint("m", i), time.Duration(i)*15*time.Second
		f.Step(now, []Event{msg(id, "pure", "")})
		f.Step(now+50*ms, []Event{Outcome{Message: id, Target: "x", Result: Overloaded}, Withdrawn{id}})
		if open := f.Routes()[0].CircuitOpen; open != (i == 1) {
			t.Errorf("after %d rejections: circuit open %v", i+1, open)
		}
	}
}

// A destination that is full is still full 100 ms later: the retry must not be spent then.
func TestRejectionWithoutRetryAfterBacksOffLonger(t *testing.T) {
	late := 0
	for seed := range uint64(40) {
		s := testSettings()
		s.Seed = seed
		f, err := New(s)
		if err != nil {
			t.Fatal(err)
		}
		f.Step(0, []Event{TargetList{Targets: []Target{plain("x")}}, msg("m", "pure", "")})
		f.Step(10*ms, []Event{Outcome{Message: "m", Target: "x", Result: Overloaded}})
		if len(sends(f.Step(200*ms, nil))) == 0 {
			late++
		}
	}
	if late < 25 {
		t.Errorf("only %d of 40 retries waited longer than the first back-off after other failures", late)
	}
}

// TestGoneEndpointsAreRemoved: endpoints come and go all day under new ids. The state must not grow with them,
// and what the route that they share has learned must outlast them.
func TestGoneEndpointsAreRemoved(t *testing.T) {
	f := newForwarder(t, plain("t0"), Target{ID: "a0", Destination: 2, Kind: "apart", Zone: "a"})
	f.Step(0, []Event{msg("m", "pure", "")}) // in flight to t0 until the end
	f.destinations[1].routes[0].retryAfter = time.Hour
	for n := 1; n <= 100; n++ {
		now := time.Duration(n) * time.Second
		f.Step(now, []Event{TargetList{Scope: Delta, Targets: []Target{
			plain(fmt.Sprintf("t%d", n)), {ID: fmt.Sprintf("t%d", n-1), State: Gone},
			{ID: fmt.Sprintf("a%d", n), Destination: 2, Kind: "apart", Zone: "a"}, {ID: fmt.Sprintf("a%d", n-1), State: Gone},
			{ID: fmt.Sprintf("b%d", n), Destination: 100 + n, Kind: "plain"}, {ID: fmt.Sprintf("b%d", n-1), State: Gone},
		}}})
	}
	if n := len(f.endpoints); n != 4 { // the newest three, and the one with a call in flight
		t.Errorf("%d endpoints kept", n)
	}
	f.Step(101*time.Second, []Event{Outcome{Message: "m", Target: "t0", Result: Succeeded, NoAnswerNeeded: true}})
	if n := len(f.endpoints); n != 3 || len(f.messages) != 0 {
		t.Errorf("%d endpoints and %d messages kept", n, len(f.messages))
	}
	r := f.destinations[1].routes
	if len(r) != 1 || r[0].retryAfter != time.Hour || len(r[0].endpoints) != 1 || r[0].endpoints[0].id != "t100" {
		t.Errorf("the shared route: %+v", r)
	}
	if r := f.destinations[2].routes; len(r) != 1 || r[0].name != "a100" {
		t.Errorf("separate routes: %v", r)
	}
	if n := len(f.destinations); n > 2+int(forgetAfter/time.Second)+2 {
		t.Errorf("%d destinations kept", n)
	}
}

// TestProbeMessageNeedsTimeLeft: a probe with a message that is about to expire times out with that message,
// and would indicate that the route fails although it has recovered. So another message is sent as the probe,
// and such a timeout is not counted as a failure.
func TestProbeMessageNeedsTimeLeft(t *testing.T) {
	f := newForwarder(t, plain("x"))
	r := f.destinations[1].routes[0]
	r.meanLatency = 200 * ms
	f.openCircuit(r, "failing")
	old := msg("old", "pure", "")
	old.TimeLeft = 400 * ms
	f.Step(0, []Event{old, msg("young", "pure", "")})
	got := sends(f.Step(350*ms, nil))
	for now := 350 * ms; len(got) == 0 && now < time.Second; now += 10 * ms {
		got = sends(f.Step(now, nil))
	}
	if len(got) != 1 || got[0] != "young" {
		t.Fatalf("the probe was sent with %v, want young", got)
	}

	f = newForwarder(t, plain("x"))
	for n := range 5 {
		id := fmt.Sprint("m", n)
		old := msg(id, "pure", "")
		old.TimeLeft = 100 * ms
		now := time.Duration(n) * time.Second
		if got := sends(f.Step(now, []Event{old})); len(got) != 1 {
			t.Fatalf("sent %v", got)
		}
		f.Step(now+100*ms, []Event{Outcome{Message: id, Target: "x", Result: TimedOut, Latency: 100 * ms}})
	}
	if r := f.destinations[1].routes[0]; r.circuitOpen || r.consecutiveFailures > 0 || r.failures > 0 {
		t.Errorf("timeouts of expiring messages count as failures: circuit open %v, %v failures in a row", r.circuitOpen, r.consecutiveFailures)
	}
}

// TestEachConnectionHasItsIdleTime: the connection used last is used next, and each has its own idle time, from
// its last answer on. A connection whose call was reset does not exist any more.
func TestEachConnectionHasItsIdleTime(t *testing.T) {
	f := newForwarder(t, plain("x"))
	x := f.endpoints["x"]
	f.Step(0, []Event{msg("m1", "pure", ""), msg("m2", "pure", ""), msg("m3", "pure", "")})
	for n, at := range []time.Duration{100 * ms, 200 * ms, 300 * ms} {
		result := []Result{Succeeded, Reset, Succeeded}[n]
		f.Step(at, []Event{Outcome{Message: fmt.Sprint("m", n+1), Target: "x", Result: result, NoAnswerNeeded: true}})
	}
	if want := []time.Duration{100 * ms, 300 * ms}; !slices.Equal(x.idleSince, want) {
		t.Fatalf("connections are idle since %v, want %v", x.idleSince, want)
	}
	f.Step(400*ms, []Event{msg("m4", "pure", ""), msg("m5", "pure", ""), msg("m6", "pure", "")})
	var idle []int
	for c := f.inFlight.first; c != nil; c = c.next {
		idle = append(idle, c.idleStep)
	}
	if want := []int{idleStep(100 * ms), idleStep(300 * ms), 0}; !slices.Equal(idle, want) {
		t.Errorf("idle steps %v, want %v", idle, want)
	}
}

// TestLongCallIsNotCancelledAsLost: when slots run out, a long call to a route that answers later calls is
// cancelled later than others, since a retry of its message would take as long. A call to a route that answers
// nothing is cancelled.
func TestLongCallIsNotCancelledAsLost(t *testing.T) {
	for _, c := range []struct {
		answered bool
		want     int // cancelled calls
	}{{true, 0}, {false, 1}} {
		f := newForwarder(t, plain("x"), Target{ID: "y", Destination: 2, Kind: "plain", Zone: "a"})
		f.settings.Slots = 2
		f.destinations[1].routes[0].meanLatency = 200 * ms
		for _, d := range f.destinations { // as if they had answered before
			d.routes[0].suspicion = notSuspect
		}
		f.Step(0, []Event{msg("long", "pure", "")})
		f.Step(100*ms, []Event{msg("later", "pure", "")})
		if c.answered {
			f.Step(200*ms, []Event{Outcome{Message: "later", Target: "x", Result: Succeeded, NoAnswerNeeded: true, Latency: 100 * ms}})
			f.Step(201*ms, []Event{Message{ID: "other", Class: "pure", Destination: 2, TimeLeft: 10 * time.Second}})
		}
		cancelled := 0
		for _, a := range f.Step(time.Second, nil) {
			if _, ok := a.(Cancel); ok {
				cancelled++
			}
		}
		if cancelled != c.want {
			t.Errorf("a later call answered: %v; %d calls cancelled", c.answered, cancelled)
		}
	}
}

// TestUnresponsiveDestinationsDoNotBlockOthers: half of many destinations never answer, and nothing is known of
// any at first. All messages for those that answer are delivered while the unresponsive ones occupy no more
// than their quota of the slots, and no call of a message that must not be repeated is cancelled to free a slot.
func TestUnresponsiveDestinationsDoNotBlockOthers(t *testing.T) {
	const dests, each, slots = 200, 5, 50
	settings := testSettings()
	settings.Slots, settings.MaxOpen = slots, 0
	f, err := New(settings)
	if err != nil {
		t.Fatal(err)
	}
	list := TargetList{Scope: Snapshot}
	var events []Event
	unsafe := map[string]bool{}
	for d := range dests {
		list.Targets = append(list.Targets, Target{ID: fmt.Sprint("t", d), Destination: d, Kind: "plain", Zone: "a"})
		for i := range each {
			m := Message{ID: fmt.Sprint("m", d, ".", i), Class: "pure", Destination: d, TimeLeft: 10 * time.Second}
			if i%4 == 0 {
				m.Class, unsafe[m.ID] = "unsafe", true
			}
			events = append(events, m)
		}
	}
	f.Step(0, []Event{list})
	type flight struct {
		outcome Outcome
		due     time.Duration
	}
	var calls []flight
	attempts := map[string]int{}
	delivered, silent, maxSilent := 0, 0, 0
	for now := time.Duration(0); now < 10*time.Second && delivered < dests/2*each; now += 5 * ms {
		for i := 0; i < len(calls); {
			if c := calls[i]; c.due <= now {
				events = append(events, c.outcome)
				if c.outcome.NoAnswerNeeded {
					delivered++
				} else {
					silent--
				}
				calls = append(calls[:i], calls[i+1:]...)
			} else {
				i++
			}
		}
		for _, a := range f.Step(now, events) {
			switch a := a.(type) {
			case Send:
				n := 0
				fmt.Sscanf(a.Target, "t%d", &n)
				c := flight{Outcome{Message: a.Message, Attempt: attempts[a.Message], Target: a.Target, Result: TimedOut}, now + a.Timeout}
				if n%2 == 0 {
					c = flight{Outcome{Message: a.Message, Attempt: attempts[a.Message], Target: a.Target, Result: Succeeded, NoAnswerNeeded: true, Latency: 20 * ms}, now + 20*ms}
				} else {
					silent++
				}
				attempts[a.Message]++
				calls = append(calls, c)
			case Cancel:
				if unsafe[a.Message] {
					t.Errorf("the call of %s was cancelled", a.Message)
				}
				for i := range calls {
					if calls[i].outcome.Message == a.Message {
						calls[i].outcome.Result, calls[i].due = Cancelled, now
					}
				}
			}
		}
		events = nil
		maxSilent = max(maxSilent, silent)
		if now == 4*time.Second && delivered < dests/2*each*9/10 {
			t.Errorf("%d of %d delivered after 4 s", delivered, dests/2*each)
		}
	}
	if delivered < dests/2*each {
		t.Errorf("%d of %d delivered after 10 s", delivered, dests/2*each)
	}
	if maxSilent > slots*3/4+1 || maxSilent < slots/4 {
		t.Errorf("unresponsive destinations occupied up to %d of %d slots", maxSilent, slots)
	}
}

// TestSheddingStartsAtOpenCircuit: when the queue is almost full, messages for a destination whose circuit is
// open are shed before messages of the same age and value for one that answers.
func TestSheddingStartsAtOpenCircuit(t *testing.T) {
	f := newForwarder(t, plain("x"), Target{ID: "y", Destination: 2, Kind: "plain", Zone: "a"})
	f.settings.MaxOpen = 40
	failing, healthy := f.destinations[1].routes[0], f.destinations[2].routes[0]
	f.openCircuit(failing, "silent")
	failing.probeInterval, healthy.meanLatency, failing.meanLatency = maxProbeInterval, 50*ms, 50*ms
	f.settings.Slots = 1 // all others stay queued
	refused := map[int]int{}
	for i := range 60 {
		m := msg(fmt.Sprint("m", i), "pure", "")
		m.Destination = 1 + i%2
		for _, a := range f.Step(time.Duration(i)*ms, []Event{m}) {
			if r, ok := a.(Refuse); ok {
				n := 0
				fmt.Sscanf(r.Message, "m%d", &n)
				refused[1+n%2]++
			}
		}
	}
	if refused[1] < 20 || refused[2] > 0 {
		t.Errorf("refused: %d for the destination with the open circuit, %d for the other", refused[1], refused[2])
	}
}

// TestFullQueueRejectsNewMessageFirst: of messages of the same value, a full queue refuses the new one, whose
// client has no acceptance yet, and not one that was accepted before. An accepted one is refused for a message
// of more value, and once most of its time has passed.
func TestFullQueueRejectsNewMessageFirst(t *testing.T) {
	f := newForwarder(t, plain("x"), Target{ID: "y", Destination: 2, Kind: "plain", Zone: "a"})
	f.settings.MaxOpen, f.settings.Slots = 20, 1
	refused := func(at time.Duration, m Message) (id string) {
		for _, a := range f.Step(at, []Event{m}) {
			if r, ok := a.(Refuse); ok {
				id = r.Message
			}
		}
		return id
	}
	for i := range 17 {
		if id := refused(0, msg(fmt.Sprint("held", i), "pure", "")); id != "" {
			t.Fatalf("%s is refused with %d queued", id, i)
		}
	}
	if id := refused(100*ms, msg("same", "pure", "")); id != "same" {
		t.Errorf("refused %q for a message of the same value", id)
	}
	if id := refused(200*ms, msg("more", "unsafe", "")); id != "held1" {
		t.Errorf("refused %q for a message of more value", id)
	}
	other := msg("other", "pure", "")
	other.Destination = 2
	if id := refused(300*ms, other); id != "held2" {
		t.Errorf("refused %q for a message whose destination has no other queued", id)
	}
	f.settings.Slots = 0 // nothing is sent until little time is left
	if id := refused(7500*ms, msg("late", "pure", "")); id != "held3" {
		t.Errorf("refused %q for a message that arrives when the queued ones have little time left", id)
	}
}

// TestCrowdedHostShedsAtOpenCircuit: for a host without room to store messages, one that is queued for a
// destination with an open circuit is refused; none is for a destination that answers.
func TestCrowdedHostShedsAtOpenCircuit(t *testing.T) {
	for _, open := range []bool{true, false} {
		f := newForwarder(t, plain("x"))
		f.settings.Slots = 1
		f.Step(0, []Event{msg("m1", "pure", ""), msg("m2", "pure", ""), msg("m3", "unsafe", "")})
		if open {
			f.openCircuit(f.destinations[1].routes[0], "silent")
		}
		var refused []string
		for _, a := range f.Step(ms, []Event{StoreFull{}}) {
			if r, ok := a.(Refuse); ok {
				refused = append(refused, r.Message)
			}
		}
		if open && !slices.Equal(refused, []string{"m2"}) || !open && len(refused) > 0 {
			t.Errorf("circuit open %v: refused %v", open, refused)
		}
	}
}
