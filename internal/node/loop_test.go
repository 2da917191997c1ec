package node

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"scaleroute/internal/decide"
)

// testNode is a loop with real sockets on both sides, without a process.
type testNode struct {
	loop  *loop
	calls chan string // ids, as they come to the target
}

func startLoop(t *testing.T, set func(*Config)) *testNode {
	t.Helper()
	n := &testNode{calls: make(chan string, 100)}
	target := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		n.calls <- r.Header.Get("Req-Id")
	}))
	c := &Config{Limits: Limits{Sockets: 1024, DiskMB: 3}, State: t.TempDir(),
		Known: List{Endpoints: []Endpoint{{Name: "s1", Address: target.Listener.Addr().String(), Group: 7, Weight: 1000}}},
		Settings: decide.Settings{Slots: 8, MaxHeld: 100, MaxAttempts: 6, ConnIdle: time.Minute, ConnectLimit: time.Minute,
			AdviceLimit: 3 * time.Second, StartCapacity: 0.9, TipMultiple: 2, Fall: 3 * time.Second, Weights: decide.ExactWeights,
			Classes: []decide.Class{{Name: "note", Deadline: 5 * time.Minute, Aim: time.Minute, Worth: 1}}}}
	if set != nil {
		set(c)
	}
	j := mustJournal(t, c.State, int64(c.Limits.DiskMB*1e6))
	l, err := newLoop(c, j, newPlatform("127.0.0.1:1"))
	if err != nil {
		t.Fatal(err)
	}
	n.loop = l
	l.recover(&c.Known, nil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- l.run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		target.Close()
	})
	return n
}

func note(id string) *request {
	return &request{id: id, class: "note", dest: 7, left: time.Minute, body: []byte("x"), read: time.Now()}
}

// onDisk reads the journal as a restart would; the loop may go on.
func onDisk(t *testing.T, l *loop) map[string]*saved {
	t.Helper()
	dir := t.TempDir()
	copyFile(t, l.journal.path(), dir+"/"+journalName)
	return mustJournal(t, dir, 3e6).live
}

// TestIntakeOrder: a message is in the journal when its client hears +OK, and
// is sent only after that; one whose +OK can't be written is not sent at all.
func TestIntakeOrder(t *testing.T) {
	n := startLoop(t, nil)
	answer, written := n.loop.take(note("lost"))
	if answer != answerOK {
		t.Fatal(answer)
	}
	if s := onDisk(t, n.loop)["lost"]; s == nil || string(s.body) != "x" || s.attempts != 0 {
		t.Errorf("in the journal at +OK: %+v", s)
	}
	written(false)
	answer, written = n.loop.take(note("kept"))
	if answer != answerOK {
		t.Fatal(answer)
	}
	written(true)
	if got := <-n.calls; got != "kept" {
		t.Errorf("%s was sent", got)
	}
	if onDisk(t, n.loop)["lost"] != nil {
		t.Error("the withdrawn message is still held")
	}
}

// TestTakenOnAtTheEnd: a message that the loop takes on as its last one is not
// refused to its client, since the next start will deliver it.
func TestTakenOnAtTheEnd(t *testing.T) {
	for range 100 {
		l := &loop{inbox: make(chan any), done: make(chan struct{})}
		go func() {
			a := (<-l.inbox).(arrival)
			a.answer <- reply{text: answerOK}
			close(l.done)
		}()
		if got, _ := l.take(note("m")); got != answerOK {
			t.Fatalf("got %q", got)
		}
	}
	l := &loop{inbox: make(chan any), done: make(chan struct{})}
	close(l.done)
	if got, _ := l.take(note("m")); got != "-BUSY\r\n" {
		t.Errorf("after the end, got %q", got)
	}
}

// TestUnsentCountsAsAttempt: a send called off before its client had +OK gets
// its outcome, and the next one has the next number, as in the module.
func TestUnsentCountsAsAttempt(t *testing.T) {
	j := mustJournal(t, t.TempDir(), 3e6)
	accept(t, j, "m", nil)
	e := &entry{saved: j.live["m"]}
	l := &loop{journal: j, targets: testTargets(), entries: map[string]*entry{"m": e}}
	l.send(t.Context(), decide.Send{Message: "m", Target: "s1"})
	l.callOff(decide.Cancel{Message: "m", Attempt: 0})
	l.acked(t.Context(), ackWritten{e, true})
	l.send(t.Context(), decide.Send{Message: "m", Target: "gone"})
	want := []decide.Event{
		decide.Outcome{Message: "m", Attempt: 0, Target: "s1", Result: decide.NotSent},
		decide.Outcome{Message: "m", Attempt: 1, Target: "gone", Result: decide.NotSent},
	}
	if !slices.Equal(l.events, want) {
		t.Errorf("told %+v", l.events)
	}
	if s := j.live["m"]; s.attempts != 2 || s.ran() {
		t.Errorf("in the journal: %+v", s)
	}
}

// TestHandedInTwice: the same id is taken on once, and another client that hands
// it in can neither confirm the first one's message nor withdraw it.
func TestHandedInTwice(t *testing.T) {
	n := startLoop(t, nil)
	answer, written := n.loop.take(note("m"))
	if answer != answerOK {
		t.Fatal(answer)
	}
	if got, w := n.loop.take(note("m")); !strings.HasPrefix(got, "-ERR") || w != nil {
		t.Errorf("before the first client has its +OK, the second got %q", got)
	}
	if len(n.calls) > 0 {
		t.Error("sent before its client has its +OK")
	}
	written(true)
	if got := <-n.calls; got != "m" {
		t.Errorf("%s was sent", got)
	}

	n = startLoop(t, func(c *Config) { c.Known.Endpoints[0].Status = statusDraining }) // nothing can be sent
	_, written = n.loop.take(note("m"))
	written(true)
	got, w := n.loop.take(note("m"))
	if got != answerOK || w != nil {
		t.Errorf("held already: got %q", got)
	}
	if live := onDisk(t, n.loop); len(live) != 1 {
		t.Errorf("%d messages held", len(live))
	}
}

// TestRefusedAtIntake: what the module refuses in the Step that brought it gets
// -BUSY and leaves no trace; so does what the disk has no room for.
func TestRefusedAtIntake(t *testing.T) {
	for _, c := range []struct {
		name string
		set  func(*Config)
		req  func(*request)
		want string
	}{
		{"unknown class", nil, func(r *request) { r.class = "other" }, "-ERR unknown class"},
		{"unknown destination", nil, func(r *request) { r.dest = 8 }, "-ERR unknown destination"},
		{"no time left", nil, func(r *request) { r.left = 0 }, "-BUSY"},
		{"hold full", func(c *Config) { c.Settings.MaxHeld = 1 }, nil, "-BUSY"},
		{"disk full", func(c *Config) { c.Limits.DiskMB = 0.017 }, nil, "-BUSY 1000"},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := startLoop(t, c.set)
			r := note("m")
			if c.req != nil {
				c.req(r)
			}
			if got, _ := n.loop.take(r); strings.TrimSpace(got) != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
			if live := onDisk(t, n.loop); len(live) != 0 {
				t.Errorf("in the journal: %v", live)
			}
		})
	}
}

// TestIntakeBounds: a destination exists while its targets are away, and a message
// is not held for longer than its class allows, whatever its client says.
func TestIntakeBounds(t *testing.T) {
	n := startLoop(t, nil)
	n.loop.tell(&List{Endpoints: []Endpoint{{Name: "s1", Group: 7, Status: statusDeleted}}})
	r := note("m")
	r.left = 1e6 * time.Second
	answer, written := n.loop.take(r)
	if answer != answerOK {
		t.Fatalf("with its targets away, got %q", answer)
	}
	written(true)
	if left := time.Until(onDisk(t, n.loop)["m"].deadline); left > 5*time.Minute {
		t.Errorf("held for %v", left)
	}
}

// testPlatform stands in for discovery's address.
func testPlatform(t *testing.T, h http.HandlerFunc) *platform {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return newPlatform(s.Listener.Addr().String())
}

// TestWatch: the whole list first, then each change from the version before,
// and after an error again from where it was.
func TestWatch(t *testing.T) {
	var mu sync.Mutex
	var asked []string
	answers := []string{
		`{"index":41,"endpoints":[{"name":"a","address":"127.0.0.1:1","group":3,"status":"SERVING","weight":2.5}]}`,
		`{"index":43,"endpoints":[{"name":"a","address":"127.0.0.1:1","group":3,"status":"DRAINING"}]}`,
		`no list`,
		``,
		`{"index":44,"snapshot":false,"endpoints":[{"name":"a","group":3,"status":"DELETED"}]}`,
	}
	over := make(chan struct{})
	p := testPlatform(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		n := len(asked)
		asked = append(asked, r.URL.Query().Get("from"))
		mu.Unlock()
		switch {
		case n >= len(answers):
			<-over
		case answers[n] == "":
			w.WriteHeader(http.StatusInternalServerError)
		default:
			w.Write([]byte(answers[n]))
		}
	})
	t.Cleanup(func() { close(over) })
	lists := make(chan *List)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go p.watch(ctx, nil, func(l *List) {
		select {
		case lists <- l:
		case <-ctx.Done():
		}
	})
	want := []struct {
		whole bool
		state decide.TargetState
	}{{true, decide.Active}, {false, decide.Draining}, {false, decide.Gone}}
	for _, w := range want {
		l := <-lists
		if e := l.event(decide.Changes).Targets; l.Snapshot != w.whole || len(e) != 1 || e[0].State != w.state || e[0].Destination != 3 {
			t.Errorf("got %+v, want %+v", l, w)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if got := strings.Join(asked[:5], " "); got != " 41 43 43 43" {
		t.Errorf("asked from %q", got)
	}
}

// TestNotices: each is sent until it gets its 204, and one that can't be read
// does not keep out the others.
func TestNotices(t *testing.T) {
	var mu sync.Mutex
	taken := map[string]notice{}
	failures := 0
	p := testPlatform(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		var batch []notice
		for d := json.NewDecoder(r.Body); ; {
			var n notice
			if d.Decode(&n) != nil {
				break
			}
			batch = append(batch, n)
		}
		if failures++; failures <= 2 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(batch) > 1 || batch[0].Ref == "bad" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		taken[batch[0].Ref] = batch[0]
		w.WriteHeader(http.StatusNoContent)
	})
	p.notify(notice{Ref: "bad", Result: "dead"})
	sent := []notice{{Ref: "a", Result: "dead"}, {Ref: "b", Result: "bounced", WaitMS: 500}}
	for _, n := range sent {
		p.notify(n)
	}
	arrived := make(chan string)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go p.deliver(ctx, func(refs []string) {
		for _, r := range refs {
			arrived <- r
		}
	})
	for _, n := range sent {
		if got := <-arrived; got != n.Ref {
			t.Errorf("%s arrived", got)
		}
		mu.Lock()
		if taken[n.Ref] != n {
			t.Errorf("taken: %+v, want %+v", taken[n.Ref], n)
		}
		mu.Unlock()
	}
}
