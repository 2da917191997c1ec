package runner

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
	"scaleroute/internal/message"
	"scaleroute/internal/operator"
	"scaleroute/internal/plugin"
	"scaleroute/internal/plugin/host"
	"scaleroute/internal/plugin/hostile"
	"scaleroute/internal/plugin/pipe"
	"scaleroute/internal/plugin/script"
)

// TestMain lets the test binary serve as the host process of a plug-in, or as a fake one that answers late.
func TestMain(m *testing.M) {
	if len(os.Args) == 2 {
		switch os.Args[1] {
		case "serve-plugin":
			os.Exit(host.Main())
		case "answer-late":
			serveWithDelay(150*time.Millisecond, 0)
			os.Exit(0)
		case "answer-slowly":
			serveWithDelay(600*time.Millisecond, 600*time.Millisecond)
			os.Exit(0)
		}
	}
	os.Exit(m.Run())
}

func command(t testing.TB) []string {
	own, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return []string{own, "serve-plugin"}
}

// spec returns a spec as the operators' file would give it, with larger time limits, since a test machine may be slow.
func spec(t testing.TB, name, source string, set ...func(*plugin.Spec)) plugin.Spec {
	t.Helper()
	program, err := script.Compile(name+".star", source)
	if err != nil {
		t.Fatal(err)
	}
	p := operator.DefaultPlugin()
	p.Name, p.File, p.Source, p.Points = name, name+".star", source, program.Points()
	s := p.Spec()
	s.Time, s.Allowance.CPU = 20*time.Second, time.Hour
	for _, f := range set {
		f(&s)
	}
	return s
}

func newLoadedRunner(t testing.TB, specs ...plugin.Spec) *Runner {
	t.Helper()
	r := New(command(t))
	t.Cleanup(r.Close)
	if err := r.Load(specs); err != nil {
		t.Fatal(err)
	}
	r.updateEndpoints(engine.List{Scope: decide.Snapshot, Endpoints: []engine.Endpoint{
		{Target: decide.Target{ID: "a", Destination: 7}}, {Target: decide.Target{ID: "b", Destination: 7}},
		{Target: decide.Target{ID: "drains", Destination: 7, State: decide.Draining}}, {Target: decide.Target{ID: "other", Destination: 8}}}})
	return r
}

// acceptRecorder accepts and records every message.
type acceptRecorder struct {
	mu       sync.Mutex
	accepted []*message.Message
}

func (k *acceptRecorder) Accept(m *message.Message) engine.Answer {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.accepted = append(k.accepted, m)
	return engine.Answer{Kind: engine.Accepted}
}

func submit(front Acceptor, body string) engine.Answer {
	return front.Accept(&message.Message{ID: "7f", Class: "note", Destination: 7, TimeLeft: 3 * time.Second, ReadAt: time.Now(), Body: message.Bytes(body)})
}

// TestIntake checks which results of intake hooks are applied, and how a message is answered if a hook fails.
func TestIntake(t *testing.T) {
	pass := func(s *plugin.Spec) { s.Pass = true }
	impatient := func(s *plugin.Spec) { s.Time = 300 * time.Millisecond }
	for _, c := range []struct {
		name, hook string
		set        func(*plugin.Spec)
		want       engine.Answer
		body, more string
		why        string // substring of the first recorded error
	}{
		{"no change", "return None", nil, engine.Answer{Kind: engine.Accepted}, "body", "", ""},
		{"altered", `return change(body = message.body.upper(), header = {"X-A": "1"}, only = ["b"], prefer = ["b"])`, nil, engine.Answer{Kind: engine.Accepted}, "BODY", "[b] [b] [{X-A 1}]", ""},
		{"rejected", `return refuse("not\r\nhere")`, nil, engine.Answer{Kind: engine.Rejected, Reason: "plug-in p: not  here"}, "", "", ""},
		{"refused with retry-after", `return refuse("later", retry_after = "2s")`, nil, engine.Answer{Kind: engine.Refused, RetryAfter: 2 * time.Second}, "", "", ""},
		{"endpoint of another destination", `return change(only = ["other"])`, nil, engine.Answer{Kind: engine.Refused, RetryAfter: time.Second}, "", "", ""},
		{"draining endpoint", `return change(only = ["drains"])`, pass, engine.Answer{Kind: engine.Accepted}, "body", "", ""},
		{"reserved header field", `return change(body = "x", header = {"Req-Id": "0"})`, pass, engine.Answer{Kind: engine.Accepted}, "body", "", ""},
		{"endless loop", "while True:\n        pass", nil, engine.Answer{Kind: engine.Refused, RetryAfter: time.Second}, "", "", ""},
		{"endless loop, failure ignored", "while True:\n        pass", pass, engine.Answer{Kind: engine.Accepted}, "body", "", ""},
		{"memory limit", "x = \"x\"\n    for i in range(30):\n        x = x + x\n    return change(body = x)", nil, engine.Answer{Kind: engine.Refused, RetryAfter: time.Second}, "", "", "its process ended"},
		{"endless single step", "x = 3\n    for i in range(60):\n        x = x * x", impatient, engine.Answer{Kind: engine.Refused, RetryAfter: time.Second}, "", "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.set == nil {
				c.set = func(*plugin.Spec) {}
			}
			r, k := newLoadedRunner(t, spec(t, "p", "def intake(message):\n    "+c.hook+"\n", c.set)), &acceptRecorder{}
			if got := submit(r.Front(k), "body"); got.Kind != c.want.Kind || got.Reason != c.want.Reason || got.RetryAfter != c.want.RetryAfter {
				t.Fatalf("answer %+v, want %+v; status %+v", got, c.want, r.Status())
			}
			if c.why != "" {
				if s := r.Status()[0]; len(s.Errors) == 0 || !strings.Contains(s.Errors[0].Error, c.why) {
					t.Errorf("%+v", s)
				}
			}
			if len(k.accepted) == 0 {
				return
			}
			body, _ := k.accepted[0].Body.Load()
			more := ""
			if x := k.accepted[0].Extras; x != nil {
				more = fmt.Sprint(x.Only, x.Prefer, x.Header)
			}
			if string(body) != c.body || more != c.more {
				t.Errorf("accepted %q with %s, want %q with %s", body, more, c.body, c.more)
			}
		})
	}
}

// serveWithDelay is a fake host process. It delays the first result by first and each further one by more. Each result sets the
// message's id as the body, so that a test sees to which request it belongs.
func serveWithDelay(first, more time.Duration) {
	c := pipe.NewConn(os.Stdin, os.Stdout)
	c.Receive(&pipe.StartRequest{}, 0)
	c.Send(pipe.StartResponse{Points: []plugin.Point{plugin.Intake}}, nil)
	for n := 0; ; n++ {
		q, err := c.ReceiveRequest()
		if err != nil {
			return
		}
		if time.Sleep(more); n == 0 {
			time.Sleep(first - more)
		}
		c.SendResult(&plugin.Result{HasBody: true, Body: []byte(q.ID)})
	}
}

// TestLoadWithoutHostProgram checks that Load fails if the host program is missing, and that the old plug-in is still called.
func TestLoadWithoutHostProgram(t *testing.T) {
	r, k := newLoadedRunner(t, spec(t, "p", "def intake(message):\n    return change(body = \"asked\")\n")), &acceptRecorder{}
	r.command = []string{filepath.Join(t.TempDir(), "none")}
	if err := r.Load([]plugin.Spec{spec(t, "q", "def intake(message):\n    pass\n")}); err == nil || !strings.Contains(err.Error(), "-plugin-host") {
		t.Errorf("%v", err)
	}
	submit(r.Front(k), "b")
	if body, _ := k.accepted[0].Body.Load(); string(body) != "asked" {
		t.Errorf("body %q: the old plug-in is not called any more", body)
	}
}

// TestLateResultIsDiscarded checks that a result that arrives after the time limit is never used for the next request.
func TestLateResultIsDiscarded(t *testing.T) {
	r, k := New([]string{command(t)[0], "answer-late"}), &acceptRecorder{}
	t.Cleanup(r.Close)
	if err := r.Load([]plugin.Spec{spec(t, "p", "def intake(message):\n    pass\n", func(s *plugin.Spec) {
		s.Time, s.Allowance.Failures = 100*time.Millisecond, 1000
	})}); err != nil {
		t.Fatal(err)
	}
	f := r.Front(k)
	for i := range 40 {
		f.Accept(&message.Message{ID: fmt.Sprint(i), Class: "note", Destination: 7, TimeLeft: 3 * time.Second, ReadAt: time.Now(), Body: message.Bytes("b")})
	}
	for _, m := range k.accepted {
		if body, _ := m.Body.Load(); string(body) != m.ID {
			t.Errorf("message %s got the body of %s", m.ID, body)
		}
	}
	if s := r.Status()[0]; s.Failed == 0 {
		t.Errorf("no result was late: %+v", s)
	}
}

// TestWaitingIsNotAFailure checks that a call that has waited for a process then gets its full time limit, and that a call that
// waits too long is skipped. Neither may count as a failure of the plug-in or end its process.
func TestWaitingIsNotAFailure(t *testing.T) {
	r, k := New([]string{command(t)[0], "answer-slowly"}), &acceptRecorder{}
	t.Cleanup(r.Close)
	if err := r.Load([]plugin.Spec{spec(t, "p", "def intake(message):\n    pass\n", func(s *plugin.Spec) { s.Time, s.Pass = time.Second, true })}); err != nil {
		t.Fatal(err)
	}
	f := r.Front(k)
	var wg sync.WaitGroup
	for range 6 {
		wg.Go(func() { submit(f, "b") })
	}
	wg.Wait()
	if s := r.Status()[0]; s.Changed < 2 || s.Changed+s.Skipped != 6 || s.Failed > 0 || s.Restarts > 0 {
		t.Errorf("%+v", s)
	}
}

// TestConflictingPlugins checks that the plug-in of the lowest order is called first, that the next one sees its changes, and that
// a message goes only to endpoints that all permit.
func TestConflictingPlugins(t *testing.T) {
	first := spec(t, "z", "def intake(message):\n    return change(body = message.body + \"1\", only = [\"a\", \"b\"], prefer = [\"b\"], header = {\"X\": \"1\"})\n", func(s *plugin.Spec) { s.Order = 1 })
	second := spec(t, "a", "def intake(message):\n    return change(body = message.body + \"2\", only = [\"a\"], prefer = [\"a\"], header = {\"x\": \"2\"})\n", func(s *plugin.Spec) { s.Order = 2 })
	third := spec(t, "b", "def intake(message):\n    return change(body = \"3\", only = [\"b\"])\n", func(s *plugin.Spec) { s.Order, s.Pass = 3, true })
	r, k := newLoadedRunner(t, second, third, first), &acceptRecorder{}
	submit(r.Front(k), "0")
	body, _ := k.accepted[0].Body.Load()
	if got := fmt.Sprint(string(body), k.accepted[0].Extras.Only, k.accepted[0].Extras.Prefer, k.accepted[0].Extras.Header); got != "012[a] [b a] [{x 2}]" {
		t.Errorf("%s", got)
	}
}

// fakeBack is a back whose endpoint replies with a fixed status, body and result.
type fakeBack struct {
	status   int
	body     string
	result   decide.Result
	attempts []engine.Attempt
}

func (c *fakeBack) UpdateEndpoints(engine.List)   {}
func (c *fakeBack) Endpoint(string) engine.Caller { return c }
func (c *fakeBack) CloseIdle()                    {}
func (c *fakeBack) Call(_ context.Context, a engine.Attempt) decide.Outcome {
	c.attempts = append(c.attempts, a)
	if a.Reply != nil {
		a.Reply.Status, a.Reply.Body = c.status, []byte(c.body)
	}
	return decide.Outcome{Result: c.result, NoAnswerNeeded: c.result == decide.Succeeded}
}

// TestCallAndReply checks that call hooks alter or delay an attempt, and that reply hooks can only downgrade its outcome.
func TestCallAndReply(t *testing.T) {
	for _, c := range []struct {
		name, source string
		pass         bool
		result       decide.Result
		want         decide.Outcome
		body         string
	}{
		{"altered", "def call(message):\n    return change(body = message.body + message.endpoint + str(message.attempt))\n", false, decide.Succeeded, decide.Outcome{Result: decide.Succeeded, NoAnswerNeeded: true}, "bodya2"},
		{"failure delays the attempt", "def call(message):\n    fail(\"no\")\n", false, decide.Succeeded, decide.Outcome{Result: decide.NotSent, RetryDelay: time.Second}, ""},
		{"failure ignored", "def call(message):\n    fail(\"no\")\n", true, decide.Succeeded, decide.Outcome{Result: decide.Succeeded, NoAnswerNeeded: true}, "body"},
		{"result not allowed at this point", "def call(message):\n    return refuse(\"no\")\n", true, decide.Succeeded, decide.Outcome{Result: decide.Succeeded, NoAnswerNeeded: true}, "body"},
		{"not delivered", "def reply(message, reply):\n    return not_delivered(wait = \"3s\") if \"full\" in reply.body else None\n", false, decide.Succeeded, decide.Outcome{Result: decide.Errored, RetryAfter: 3 * time.Second}, "body"},
		{"overloaded stays overloaded", "def reply(message, reply):\n    return not_delivered()\n", false, decide.Overloaded, decide.Outcome{Result: decide.Overloaded}, "body"},
		{"failing reply hook", "def reply(message, reply):\n    fail(\"no\")\n", false, decide.Errored, decide.Outcome{Result: decide.Errored}, "body"},
	} {
		t.Run(c.name, func(t *testing.T) {
			end := &fakeBack{status: 200, body: "we are full", result: c.result}
			r := newLoadedRunner(t, spec(t, "p", c.source, func(s *plugin.Spec) { s.Pass = c.pass }))
			got := r.Back(end).Endpoint("a").Call(t.Context(), engine.Attempt{ID: "7f", Class: "note", Destination: 7, Number: 2, Body: message.Bytes("body"), Timeout: time.Minute})
			if got != c.want {
				t.Errorf("outcome %+v, want %+v", got, c.want)
			}
			body := ""
			if len(end.attempts) > 0 {
				b, _ := end.attempts[0].Body.Load()
				body = string(b)
			}
			if body != c.body {
				t.Errorf("sent body %q, want %q", body, c.body)
			}
		})
	}
}

// TestCircuitBreaker checks that the circuit of a plug-in whose hook loops opens after a few calls, and that the plug-in is called
// again once it has recovered.
func TestCircuitBreaker(t *testing.T) {
	hangs := spec(t, "hangs", "def intake(message):\n    while message.body == \"bad\":\n        pass\n    return change(body = \"asked\")\n", func(s *plugin.Spec) {
		s.Allowance.Failures, s.Allowance.Rest, s.Steps = 3, 50*time.Millisecond, 20_000
	})
	r, k := newLoadedRunner(t, hangs), &acceptRecorder{}
	f := r.Front(k)
	for range 50 {
		if a := submit(f, "bad"); a.Kind != engine.Refused || a.RetryAfter != time.Second {
			t.Fatalf("%+v", a)
		}
	}
	s := r.Status()[0]
	if s.Circuit != "open" || s.Calls > 10 || s.Costly != s.Calls || s.Skipped < 40 || len(s.Errors) == 0 || !strings.Contains(s.Errors[0].Error, "too many steps") {
		t.Fatalf("%+v", s)
	}
	for end := time.Now().Add(20 * time.Second); submit(f, "good").Kind != engine.Accepted; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the recovered plug-in is not called again: %+v", r.Status())
		}
	}
	if s := r.Status()[0]; s.Circuit != "closed" {
		t.Errorf("%+v", s)
	}
}

// TestProcessIsReplaced checks that a host process that is killed from outside is replaced, so that messages are accepted again.
func TestProcessIsReplaced(t *testing.T) {
	r, k := newLoadedRunner(t, spec(t, "p", "def intake(message):\n    return change(body = \"asked\")\n")), &acceptRecorder{}
	f := r.Front(k)
	pool := r.current.Load().pools[0]
	for range 3 {
		killed := <-pool.idle
		killed.cmd.Process.Kill()
		<-killed.exited
		pool.idle <- killed // as if its end had not been noticed yet
		for end := time.Now().Add(20 * time.Second); submit(f, "b").Kind != engine.Accepted; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%+v", r.Status())
			}
		}
	}
	if s := r.Status()[0]; s.Restarts != 3 {
		t.Errorf("%+v", s)
	}
}

// TestReloadDuringCalls loads new versions of a plug-in while calls are in flight. Every other version does not compile and must
// be rejected. Each message must be altered by exactly one version, and never by one that does not compile.
func TestReloadDuringCalls(t *testing.T) {
	version := func(n int) plugin.Spec {
		return spec(t, "p", fmt.Sprintf("def intake(message):\n    x = 0\n    for i in range(2000):\n        x += i\n    return change(body = \"%d\", header = {\"X-Version\": \"%d\"})\n", n, n),
			func(s *plugin.Spec) { s.Processes = 2 })
	}
	r, k := newLoadedRunner(t, version(0)), &acceptRecorder{}
	f := r.Front(k)
	var wg sync.WaitGroup
	const callers, each = 1000, 2 // all callers run at once
	for range callers {
		wg.Go(func() {
			for range each {
				if a := submit(f, "b"); a.Kind != engine.Accepted {
					t.Errorf("%+v %+v", a, r.Status())
					return
				}
			}
		})
	}
	for n := 1; n <= 10; n++ {
		next := version(n)
		if n%2 == 0 {
			next.Source += "\nx = undefined\n"
		}
		err := r.Load([]plugin.Spec{next})
		if invalid := n%2 == 0; invalid != (err != nil) || invalid && !strings.Contains(err.Error(), "p.star:7:5: undefined: undefined") {
			t.Errorf("version %d: %v", n, err)
		}
	}
	wg.Wait()
	seen := map[string]int{}
	for _, m := range k.accepted {
		body, _ := m.Body.Load()
		if string(body) != m.Extras.Header[0].Value {
			t.Fatalf("body of version %s with the header of %s", body, m.Extras.Header[0].Value)
		}
		seen[string(body)]++
	}
	for n := 2; n <= 10; n += 2 {
		if seen[fmt.Sprint(n)] > 0 {
			t.Errorf("a version that does not compile was used: %v", seen)
		}
	}
	if len(k.accepted) != callers*each || len(seen) < 2 {
		t.Errorf("%d messages; versions %v", len(k.accepted), seen)
	}
}

// TestHostile runs generated hostile plug-ins at every point: each call must end, only results that the rules permit may be applied,
// and no process, goroutine or memory of the daemon may be left afterwards. The load test tool runs thousands (docs/plugins.md).
func TestHostile(t *testing.T) {
	programs := 40
	if testing.Short() || raceEnabled {
		programs = 16
	}
	before, heap := runtime.NumGoroutine(), heapInUse()
	r := New(command(t))
	r.updateEndpoints(engine.List{Scope: decide.Snapshot, Endpoints: []engine.Endpoint{{Target: decide.Target{ID: "a", Destination: 7}}}})
	calls := 0
	for n := range programs {
		source := hostile.Source(uint64(n), true)
		if _, err := script.Compile("p.star", source); err != nil {
			continue
		}
		s := spec(t, "p", source, func(s *plugin.Spec) {
			s.Time, s.Steps, s.Pass, s.Memory = 200*time.Millisecond, 100_000, n%2 == 0, 16<<20
		})
		if err := r.Load([]plugin.Spec{s}); err != nil {
			t.Fatalf("%v\n%s", err, source)
		}
		for range 3 {
			k := &acceptRecorder{}
			a := submit(r.Front(k), "body")
			if a.Kind == engine.Accepted {
				if x := k.accepted[0].Extras; k.accepted[0].ID != "7f" || k.accepted[0].Destination != 7 || x != nil && slices.ContainsFunc(append(x.Only, x.Prefer...), func(n string) bool { return n != "a" }) {
					t.Fatalf("%+v\n%s", k.accepted[0], source)
				}
			}
			end := &fakeBack{status: 200, result: decide.Overloaded}
			if o := r.Back(end).Endpoint("a").Call(t.Context(), engine.Attempt{ID: "7f", Class: "note", Destination: 7, Body: message.Bytes("body"), Timeout: time.Minute}); o.Result != decide.Overloaded && o.Result != decide.NotSent {
				t.Fatalf("%+v\n%s", o, source)
			}
			r.ObserveOutcome(engine.MessageOutcome{ID: "7f", Class: "note", Destination: 7, Result: "failed"})
			calls++
		}
	}
	r.Close()
	if calls == 0 {
		t.Fatal("no generated plug-in compiled")
	}
	for end := time.Now().Add(10 * time.Second); runtime.NumGoroutine() > before; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d goroutines are left, %d at the start", runtime.NumGoroutine(), before)
		}
	}
	if after := heapInUse(); after > heap+4<<20 {
		t.Errorf("%d bytes of heap in use, %d at the start", after, heap)
	}
	if n := children(t); n != 0 {
		t.Errorf("%d host processes are left", n)
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// children counts the child processes of this process.
func children(t *testing.T) (n int) {
	t.Helper()
	list, err := filepath.Glob("/proc/[0-9]*/stat")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range list {
		text, err := os.ReadFile(name)
		if errors.Is(err, os.ErrNotExist) || err != nil {
			continue
		}
		_, rest, _ := strings.Cut(string(text), ") ")
		if f := strings.Fields(rest); len(f) > 1 && f[1] == fmt.Sprint(os.Getpid()) {
			n++
		}
	}
	return n
}
