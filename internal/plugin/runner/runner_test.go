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

// TestMain lets the test program be the process that runs a plug-in.
func TestMain(m *testing.M) {
	if len(os.Args) == 2 {
		switch os.Args[1] {
		case "serve-plugin":
			os.Exit(host.Main())
		case "answer-late":
			answer(150*time.Millisecond, 0)
			os.Exit(0)
		case "answer-slowly":
			answer(600*time.Millisecond, 600*time.Millisecond)
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

// spec is one as the operators' file would have it, with more time: a test's machine may be slow.
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

func loaded(t testing.TB, specs ...plugin.Spec) *Runner {
	t.Helper()
	r := New(command(t))
	t.Cleanup(r.Close)
	if err := r.Load(specs); err != nil {
		t.Fatal(err)
	}
	r.list(engine.List{Scope: decide.Snapshot, Endpoints: []engine.Endpoint{
		{Target: decide.Target{ID: "a", Destination: 7}}, {Target: decide.Target{ID: "b", Destination: 7}},
		{Target: decide.Target{ID: "drains", Destination: 7, State: decide.Draining}}, {Target: decide.Target{ID: "other", Destination: 8}}}})
	return r
}

// taker notes what is taken on.
type taker struct {
	mu   sync.Mutex
	list []*message.Message
}

func (k *taker) Accept(m *message.Message) engine.Answer {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.list = append(k.list, m)
	return engine.Answer{Kind: engine.Accepted}
}

func handIn(f Acceptor, body string) engine.Answer {
	return f.Accept(&message.Message{ID: "7f", Class: "note", Destination: 7, TimeLeft: 3 * time.Second, ReadAt: time.Now(), Body: message.Bytes(body)})
}

// TestIntake: what a plug-in wishes for before a message is taken on, and what comes of it.
func TestIntake(t *testing.T) {
	pass := func(s *plugin.Spec) { s.Pass = true }
	impatient := func(s *plugin.Spec) { s.Time = 300 * time.Millisecond }
	for _, c := range []struct {
		name, hook string
		set        func(*plugin.Spec)
		want       engine.Answer
		body, more string
		why        string // a part of the last error
	}{
		{"nothing", "return None", nil, engine.Answer{Kind: engine.Accepted}, "body", "", ""},
		{"altered", `return change(body = message.body.upper(), header = {"X-A": "1"}, only = ["b"], prefer = ["b"])`, nil, engine.Answer{Kind: engine.Accepted}, "BODY", "[b] [b] [{X-A 1}]", ""},
		{"refused", `return refuse("not\r\nhere")`, nil, engine.Answer{Kind: engine.Rejected, Reason: "plug-in p: not  here"}, "", "", ""},
		{"refused for a while", `return refuse("later", retry_after = "2s")`, nil, engine.Answer{Kind: engine.Refused, RetryAfter: 2 * time.Second}, "", "", ""},
		{"another's endpoint", `return change(only = ["other"])`, nil, engine.Answer{Kind: engine.Refused, RetryAfter: time.Second}, "", "", ""},
		{"one that drains", `return change(only = ["drains"])`, pass, engine.Answer{Kind: engine.Accepted}, "body", "", ""},
		{"another id", `return change(body = "x", header = {"Req-Id": "0"})`, pass, engine.Answer{Kind: engine.Accepted}, "body", "", ""},
		{"an endless loop", "while True:\n        pass", nil, engine.Answer{Kind: engine.Refused, RetryAfter: time.Second}, "", "", ""},
		{"an endless loop, passed", "while True:\n        pass", pass, engine.Answer{Kind: engine.Accepted}, "body", "", ""},
		{"a gigabyte", "x = \"x\"\n    for i in range(30):\n        x = x + x\n    return change(body = x)", nil, engine.Answer{Kind: engine.Refused, RetryAfter: time.Second}, "", "", "its process ended"},
		{"one step without end", "x = 3\n    for i in range(60):\n        x = x * x", impatient, engine.Answer{Kind: engine.Refused, RetryAfter: time.Second}, "", "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.set == nil {
				c.set = func(*plugin.Spec) {}
			}
			r, k := loaded(t, spec(t, "p", "def intake(message):\n    "+c.hook+"\n", c.set)), &taker{}
			if got := handIn(r.Front(k), "body"); got.Kind != c.want.Kind || got.Reason != c.want.Reason || got.RetryAfter != c.want.RetryAfter {
				t.Fatalf("%+v, %+v is wanted; %+v", got, c.want, r.Status())
			}
			if c.why != "" {
				if s := r.Status()[0]; len(s.Errors) == 0 || !strings.Contains(s.Errors[0].Error, c.why) {
					t.Errorf("%+v", s)
				}
			}
			if len(k.list) == 0 {
				return
			}
			body, _ := k.list[0].Body.Load()
			more := ""
			if x := k.list[0].Extras; x != nil {
				more = fmt.Sprint(x.Only, x.Prefer, x.Header)
			}
			if string(body) != c.body || more != c.more {
				t.Errorf("%q with %s; %q with %s is wanted", body, more, c.body, c.more)
			}
		})
	}
}

// answer is a process that takes a time for its first answer, and another for each more; they name the message they are about.
func answer(first, more time.Duration) {
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

// TestNoHost: without the program that runs plug-ins nothing is loaded, and what there was stays.
func TestNoHost(t *testing.T) {
	r, k := loaded(t, spec(t, "p", "def intake(message):\n    return change(body = \"asked\")\n")), &taker{}
	r.command = []string{filepath.Join(t.TempDir(), "none")}
	if err := r.Load([]plugin.Spec{spec(t, "q", "def intake(message):\n    pass\n")}); err == nil || !strings.Contains(err.Error(), "-plugin-host") {
		t.Errorf("%v", err)
	}
	handIn(r.Front(k), "b")
	if body, _ := k.list[0].Body.Load(); string(body) != "asked" {
		t.Errorf("%q: the old one is not asked any more", body)
	}
}

// TestLateAnswer: an answer that comes after its time is never taken for that to the next question.
func TestLateAnswer(t *testing.T) {
	r, k := New([]string{command(t)[0], "answer-late"}), &taker{}
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
	for _, m := range k.list {
		if body, _ := m.Body.Load(); string(body) != m.ID {
			t.Errorf("message %s got the body of %s", m.ID, body)
		}
	}
	if s := r.Status()[0]; s.Failed == 0 {
		t.Errorf("none was late: %+v", s)
	}
}

// TestWaitingIsNoFailure: a call that has waited for its process has all its time from then on; one that waits too long is not
// asked, and neither counts against the plug-in or ends its process.
func TestWaitingIsNoFailure(t *testing.T) {
	r, k := New([]string{command(t)[0], "answer-slowly"}), &taker{}
	t.Cleanup(r.Close)
	if err := r.Load([]plugin.Spec{spec(t, "p", "def intake(message):\n    pass\n", func(s *plugin.Spec) { s.Time, s.Pass = time.Second, true })}); err != nil {
		t.Fatal(err)
	}
	f := r.Front(k)
	var wg sync.WaitGroup
	for range 6 {
		wg.Go(func() { handIn(f, "b") })
	}
	wg.Wait()
	if s := r.Status()[0]; s.Changed < 2 || s.Changed+s.Skipped != 6 || s.Failed > 0 || s.Restarts > 0 {
		t.Errorf("%+v", s)
	}
}

// TestTwoThatDisagree: the lower order is asked first; the next sees what it made; both must permit an endpoint.
func TestTwoThatDisagree(t *testing.T) {
	first := spec(t, "z", "def intake(message):\n    return change(body = message.body + \"1\", only = [\"a\", \"b\"], prefer = [\"b\"], header = {\"X\": \"1\"})\n", func(s *plugin.Spec) { s.Order = 1 })
	second := spec(t, "a", "def intake(message):\n    return change(body = message.body + \"2\", only = [\"a\"], prefer = [\"a\"], header = {\"x\": \"2\"})\n", func(s *plugin.Spec) { s.Order = 2 })
	third := spec(t, "b", "def intake(message):\n    return change(body = \"3\", only = [\"b\"])\n", func(s *plugin.Spec) { s.Order, s.Pass = 3, true })
	r, k := loaded(t, second, third, first), &taker{}
	handIn(r.Front(k), "0")
	body, _ := k.list[0].Body.Load()
	if got := fmt.Sprint(string(body), k.list[0].Extras.Only, k.list[0].Extras.Prefer, k.list[0].Extras.Header); got != "012[a] [b a] [{x 2}]" {
		t.Errorf("%s", got)
	}
}

// called is a back whose endpoint answers as it is told.
type called struct {
	status int
	body   string
	result decide.Result
	got    []engine.Attempt
}

func (c *called) UpdateEndpoints(engine.List)   {}
func (c *called) Endpoint(string) engine.Caller { return c }
func (c *called) CloseIdle()                    {}
func (c *called) Call(_ context.Context, a engine.Attempt) decide.Outcome {
	c.got = append(c.got, a)
	if a.Reply != nil {
		a.Reply.Status, a.Reply.Body = c.status, []byte(c.body)
	}
	return decide.Outcome{Result: c.result, NoAnswerNeeded: c.result == decide.Succeeded}
}

// TestCallAndReply: an attempt is altered or held back, and a reply counts for less or the same.
func TestCallAndReply(t *testing.T) {
	for _, c := range []struct {
		name, source string
		pass         bool
		result       decide.Result
		want         decide.Outcome
		body         string
	}{
		{"altered", "def call(message):\n    return change(body = message.body + message.endpoint + str(message.attempt))\n", false, decide.Succeeded, decide.Outcome{Result: decide.Succeeded, NoAnswerNeeded: true}, "bodya2"},
		{"held back", "def call(message):\n    fail(\"no\")\n", false, decide.Succeeded, decide.Outcome{Result: decide.NotSent, RetryDelay: time.Second}, ""},
		{"passed", "def call(message):\n    fail(\"no\")\n", true, decide.Succeeded, decide.Outcome{Result: decide.Succeeded, NoAnswerNeeded: true}, "body"},
		{"a wish that is not for it", "def call(message):\n    return refuse(\"no\")\n", true, decide.Succeeded, decide.Outcome{Result: decide.Succeeded, NoAnswerNeeded: true}, "body"},
		{"no delivery", "def reply(message, reply):\n    return not_delivered(wait = \"3s\") if \"full\" in reply.body else None\n", false, decide.Succeeded, decide.Outcome{Result: decide.Errored, RetryAfter: 3 * time.Second}, "body"},
		{"no less than refused", "def reply(message, reply):\n    return not_delivered()\n", false, decide.Overloaded, decide.Outcome{Result: decide.Overloaded}, "body"},
		{"a reply that can't be judged", "def reply(message, reply):\n    fail(\"no\")\n", false, decide.Errored, decide.Outcome{Result: decide.Errored}, "body"},
	} {
		t.Run(c.name, func(t *testing.T) {
			end := &called{status: 200, body: "we are full", result: c.result}
			r := loaded(t, spec(t, "p", c.source, func(s *plugin.Spec) { s.Pass = c.pass }))
			got := r.Back(end).Endpoint("a").Call(t.Context(), engine.Attempt{ID: "7f", Class: "note", Destination: 7, Number: 2, Body: message.Bytes("body"), Timeout: time.Minute})
			if got != c.want {
				t.Errorf("%+v, %+v is wanted", got, c.want)
			}
			body := ""
			if len(end.got) > 0 {
				b, _ := end.got[0].Body.Load()
				body = string(b)
			}
			if body != c.body {
				t.Errorf("%q went out, %q is wanted", body, c.body)
			}
		})
	}
}

// TestCircuit: a hook that hangs is asked so often and no more, others are not touched by it, and one that is well again is asked
// again.
func TestCircuit(t *testing.T) {
	hangs := spec(t, "hangs", "def intake(message):\n    while message.body == \"bad\":\n        pass\n    return change(body = \"asked\")\n", func(s *plugin.Spec) {
		s.Allowance.Failures, s.Allowance.Rest, s.Steps = 3, 50*time.Millisecond, 20_000
	})
	r, k := loaded(t, hangs), &taker{}
	f := r.Front(k)
	for range 50 {
		if a := handIn(f, "bad"); a.Kind != engine.Refused || a.RetryAfter != time.Second {
			t.Fatalf("%+v", a)
		}
	}
	s := r.Status()[0]
	if s.Circuit != "open" || s.Calls > 10 || s.Costly != s.Calls || s.Skipped < 40 || len(s.Errors) == 0 || !strings.Contains(s.Errors[0].Error, "too many steps") {
		t.Fatalf("%+v", s)
	}
	for end := time.Now().Add(20 * time.Second); handIn(f, "good").Kind != engine.Accepted; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("it is not asked again: %+v", r.Status())
		}
	}
	if s := r.Status()[0]; s.Circuit != "closed" {
		t.Errorf("%+v", s)
	}
}

// TestProcessIsReplaced: a process that is killed from outside costs one message its plug-in, and is there again.
func TestProcessIsReplaced(t *testing.T) {
	r, k := loaded(t, spec(t, "p", "def intake(message):\n    return change(body = \"asked\")\n")), &taker{}
	f := r.Front(k)
	pool := r.now.Load().pools[0]
	for range 3 {
		to := <-pool.idle
		to.cmd.Process.Kill()
		<-to.gone
		pool.idle <- to // as if nobody had noticed
		for end := time.Now().Add(20 * time.Second); handIn(f, "b").Kind != engine.Accepted; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%+v", r.Status())
			}
		}
	}
	if s := r.Status()[0]; s.Restarts != 3 {
		t.Errorf("%+v", s)
	}
}

// TestReloadUnderCalls: while calls of an old version are out, new ones take its place, every other one of which is spoilt and
// refused whole. Each message is altered by one whole version, and never by a spoilt one.
func TestReloadUnderCalls(t *testing.T) {
	version := func(n int) plugin.Spec {
		return spec(t, "p", fmt.Sprintf("def intake(message):\n    x = 0\n    for i in range(2000):\n        x += i\n    return change(body = \"%d\", header = {\"X-Version\": \"%d\"})\n", n, n),
			func(s *plugin.Spec) { s.Processes = 2 })
	}
	r, k := loaded(t, version(0)), &taker{}
	f := r.Front(k)
	var wg sync.WaitGroup
	const callers, each = 1000, 2 // at once
	for range callers {
		wg.Go(func() {
			for range each {
				if a := handIn(f, "b"); a.Kind != engine.Accepted {
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
		if spoilt := n%2 == 0; spoilt != (err != nil) || spoilt && !strings.Contains(err.Error(), "p.star:7:5: undefined: undefined") {
			t.Errorf("version %d: %v", n, err)
		}
	}
	wg.Wait()
	seen := map[string]int{}
	for _, m := range k.list {
		body, _ := m.Body.Load()
		if string(body) != m.Extras.Header[0].Value {
			t.Fatalf("body of version %s with the header of %s", body, m.Extras.Header[0].Value)
		}
		seen[string(body)]++
	}
	for n := 2; n <= 10; n += 2 {
		if seen[fmt.Sprint(n)] > 0 {
			t.Errorf("a spoilt version was used: %v", seen)
		}
	}
	if len(k.list) != callers*each || len(seen) < 2 {
		t.Errorf("%d messages; versions %v", len(k.list), seen)
	}
}

// TestHostile has processes run generated plug-ins at every point: each call ends, nothing but what the rules let through comes of
// it, and no process, goroutine or memory of ours is left afterwards. The lab runs thousands (docs/plugins.md).
func TestHostile(t *testing.T) {
	programs := 40
	if testing.Short() || raceEnabled {
		programs = 16
	}
	before, heap := runtime.NumGoroutine(), heapInUse()
	r := New(command(t))
	r.list(engine.List{Scope: decide.Snapshot, Endpoints: []engine.Endpoint{{Target: decide.Target{ID: "a", Destination: 7}}}})
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
			k := &taker{}
			a := handIn(r.Front(k), "body")
			if a.Kind == engine.Accepted {
				if x := k.list[0].Extras; k.list[0].ID != "7f" || k.list[0].Destination != 7 || x != nil && slices.ContainsFunc(append(x.Only, x.Prefer...), func(n string) bool { return n != "a" }) {
					t.Fatalf("%+v\n%s", k.list[0], source)
				}
			}
			end := &called{status: 200, result: decide.Overloaded}
			if o := r.Back(end).Endpoint("a").Call(t.Context(), engine.Attempt{ID: "7f", Class: "note", Destination: 7, Body: message.Bytes("body"), Timeout: time.Minute}); o.Result != decide.Overloaded && o.Result != decide.NotSent {
				t.Fatalf("%+v\n%s", o, source)
			}
			r.ObserveOutcome(engine.MessageOutcome{ID: "7f", Class: "note", Destination: 7, Result: "failed"})
			calls++
		}
	}
	r.Close()
	if calls == 0 {
		t.Fatal("none could be compiled")
	}
	for end := time.Now().Add(10 * time.Second); runtime.NumGoroutine() > before; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d goroutines, %d at the start", runtime.NumGoroutine(), before)
		}
	}
	if after := heapInUse(); after > heap+4<<20 {
		t.Errorf("%d bytes of heap, %d at the start", after, heap)
	}
	if n := children(t); n != 0 {
		t.Errorf("%d processes are left", n)
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// children counts the processes that this one has.
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
