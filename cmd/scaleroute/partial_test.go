package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"scaleroute/internal/control"
	controlclient "scaleroute/internal/control/client"
	"scaleroute/internal/operations"
	"scaleroute/internal/operator"
	"scaleroute/internal/ownership"
)

// controlMain lets the test binary stand in for a control server: a process of its own that can be killed.
func controlMain(options string) {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	var o control.Options
	if err := json.Unmarshal([]byte(options), &o); err != nil {
		panic(err)
	}
	listener, err := net.Listen("tcp", os.Getenv("SCALEROUTE_TEST_CONTROL_LISTEN"))
	if err != nil {
		panic(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	server, err := control.New(o)
	if err != nil {
		panic(err)
	}
	slog.Info("control", "address", listener.Addr())
	if err := server.Run(ctx, listener); err != nil {
		panic(err)
	}
}

// The part of these tests: each partition has one owner, so that most destinations are somebody else's.
var partLayout = ownership.Layout{Partitions: 256, Replicas: 1}

var partMembers = []string{"n0", "n1", "n2", "n3"}

// partWorld is a world whose forwarder gets its list from control servers.
type partWorld struct {
	*world
	set     operator.Control
	options control.Options
	servers []*controlProcess
	inside  []int // destinations of n0's part
	outside []int
	release chan bool // calls of messages whose names begin with hang are answered once it is closed
}

// controlProcess is one control server.
type controlProcess struct {
	w       *partWorld
	number  int
	address string
	cmd     *exec.Cmd
}

// newPartWorld starts so many control servers, which know so many destinations inside the part of n0 and outside, and four members.
func newPartWorld(t testing.TB, servers, destinations int) *partWorld {
	w := &partWorld{set: operator.DefaultControl(), release: make(chan bool),
		options: control.Options{Layout: partLayout, Lease: 10 * time.Minute, Settle: time.Millisecond, PublishEvery: 10 * time.Millisecond}}
	w.world = newWorld(t, func(_ http.ResponseWriter, id string) {
		if strings.HasPrefix(id, "hang") {
			<-w.release
		}
	})
	t.Cleanup(sync.OnceFunc(func() { w.let() }))
	w.set.Partitions, w.set.Replicas, w.set.LookupBytes = partLayout.Partitions, partLayout.Replicas, 1<<20
	w.noKnown, w.env = true, []string{"NODE_OPS=127.0.0.1:0"}
	own := partLayout.Owned("n0", partMembers)
	for d := 1; len(w.inside) < destinations || len(w.outside) < destinations; d++ {
		if own.Contains(partLayout.PartitionOf(d)) {
			w.inside = append(w.inside, d)
		} else {
			w.outside = append(w.outside, d)
		}
	}
	w.inside, w.outside = w.inside[:destinations], w.outside[:destinations]
	var entries []string
	for _, d := range append(append([]int(nil), w.inside...), w.outside...) {
		entries = append(entries, w.entry(fmt.Sprint("s", d), d, "SERVING"))
	}
	w.mu.Lock()
	w.listing = strings.Join(entries, ",")
	w.mu.Unlock()
	for i := range servers {
		s := &controlProcess{w: w, number: i, address: "127.0.0.1:0"}
		s.start()
		w.servers = append(w.servers, s)
		w.set.Servers = append(w.set.Servers, s.address)
	}
	w.operators()
	for _, s := range w.servers {
		s.join(partMembers...)
	}
	return w
}

// let has the calls that hang answered.
func (w *partWorld) let() {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.release:
	default:
		close(w.release)
	}
}

// operators writes the operators' file.
func (w *partWorld) operators() {
	c := operator.Default()
	c.Control = &w.set
	text, err := json.Marshal(c)
	if err != nil {
		w.t.Fatal(err)
	}
	file := filepath.Join(w.t.TempDir(), "operators.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		w.t.Fatal(err)
	}
	w.args = []string{"-operators", file}
}

// start runs the control server, again at the same address and with the same folder.
func (s *controlProcess) start() {
	t := s.w.t
	t.Helper()
	o := s.w.options
	o.Name, o.Upstream = fmt.Sprint("c", s.number), s.w.discovery.Listener.Addr().String()
	o.Folder = filepath.Join(s.w.state, "..", fmt.Sprint("control", s.number))
	text, err := json.Marshal(o)
	if err != nil {
		t.Fatal(err)
	}
	s.cmd = exec.Command(os.Args[0])
	s.cmd.Env = append(os.Environ(), endsAtOnce, "SCALEROUTE_TEST_CONTROL="+string(text), "SCALEROUTE_TEST_CONTROL_LISTEN="+s.address)
	log, err := s.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := s.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.kill)
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		if _, address, found := strings.Cut(lines.Text(), "msg=control address="); found {
			s.address = address
			go io.Copy(io.Discard, log)
			return
		}
	}
	t.Fatal("a control server has ended")
}

func (s *controlProcess) kill() {
	s.cmd.Process.Kill()
	s.cmd.Wait()
}

// join makes members, whose leases outlast the test.
func (s *controlProcess) join(names ...string) {
	s.w.t.Helper()
	for _, name := range names {
		s.get("/v1/members?name=" + name)
	}
}

// leave ends leases.
func (s *controlProcess) leave(name string) { s.get("/v1/members?leave=1&name=" + name) }

// get makes a call until it is answered.
func (s *controlProcess) get(path string) {
	s.w.t.Helper()
	for limit := time.Now().Add(patience); ; time.Sleep(5 * time.Millisecond) {
		resp, err := http.Get("http://" + s.address + path)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode < 300 {
				return
			}
		}
		if time.Now().After(limit) {
			s.w.t.Fatalf("%s: %v", path, err)
		}
	}
}

// status is how the forwarder stands.
func (p *process) status() (s controlclient.Status) {
	p.t.Helper()
	_, body := p.ask("GET", "/control")
	if err := json.Unmarshal([]byte(body), &s); err != nil {
		p.t.Fatalf("%s: %v", body, err)
	}
	return s
}

// statusWhen waits until something is true of it.
func (p *process) statusWhen(what string, is func(s controlclient.Status) bool) controlclient.Status {
	p.t.Helper()
	for limit := time.Now().Add(patience); ; time.Sleep(5 * time.Millisecond) {
		s := p.status()
		if is(s) {
			return s
		}
		if time.Now().After(limit) {
			p.t.Fatalf("%s: %+v", what, s)
		}
	}
}

func hasPart(s controlclient.Status) bool { return s.Complete && s.Members == len(partMembers) }

// deliver hands a message in until it is taken, and waits for its call.
func (w *partWorld) deliver(c *client, id string, dest int) {
	w.t.Helper()
	for limit := time.Now().Add(patience); ; time.Sleep(20 * time.Millisecond) {
		got := c.hand(id, "harmless", dest)
		if got == "+OK" {
			break
		}
		if !strings.HasPrefix(got, "-BUSY") || time.Now().After(limit) {
			w.t.Fatalf("%s for %d: %q", id, dest, got)
		}
	}
	w.made(id)
}

// madeTwice waits until a harmless message has been sent again, after its first call went with a process.
func (w *partWorld) madeTwice(id string) {
	w.t.Helper()
	for limit := time.Now().Add(patience); w.count(id) < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			w.t.Fatalf("%s was not called again", id)
		}
	}
}

// TestPartAndOutside: the part is known, destinations outside are looked up, one that does not exist is rejected, and what the part has not is not held.
func TestPartAndOutside(t *testing.T) {
	t.Parallel()
	w := newPartWorld(t, 2, 20)
	p := w.start()
	p.statusWhen("no part", hasPart)
	c := p.client()
	for i, d := range w.inside {
		if got := c.hand(fmt.Sprint("in", i), "harmless", d); got != "+OK" {
			t.Fatalf("inside: %q", got)
		}
		w.made(fmt.Sprint("in", i))
	}
	if s := p.status(); s.Part.Destinations != len(w.inside) || s.Traffic["lookup"].Calls != 0 {
		t.Errorf("%+v", s)
	}
	for i, d := range w.outside {
		w.deliver(c, fmt.Sprint("out", i), d)
	}
	if got := c.hand("none", "harmless", 1<<30); got != "-ERR unknown destination" {
		t.Errorf("a destination that there is not: %q", got)
	}
	if s := p.status(); s.Part.Fetched != len(w.outside) {
		t.Errorf("%+v", s)
	}
}

// TestHotDestination: of 300 events three go to one destination outside the part, and as many to each of the others there: each is looked up once.
func TestHotDestination(t *testing.T) {
	t.Parallel()
	w := newPartWorld(t, 1, 30)
	p := w.start()
	p.statusWhen("no part", hasPart)
	c := p.client()
	for i := range 300 {
		d := w.outside[1+i%(len(w.outside)-1)]
		if i%100 == 0 {
			d = w.outside[0]
		}
		w.deliver(c, fmt.Sprint("m", i), d)
	}
	if s := p.status(); s.Part.Fetched != len(w.outside) || s.Traffic["lookup"].Calls != int64(len(w.outside)) {
		t.Errorf("%+v", s)
	}
	for i := range 300 {
		if n := w.count(fmt.Sprint("m", i)); n != 1 {
			t.Errorf("m%d was sent %d times", i, n)
		}
	}
}

// TestLookupBudget: beyond what look-ups may cost, messages are refused with a retry-after and not sent; those that are taken are delivered.
func TestLookupBudget(t *testing.T) {
	t.Parallel()
	w := newPartWorld(t, 1, 30)
	w.set.LookupBytes = 500
	w.operators()
	p := w.start()
	p.statusWhen("no part", hasPart)
	c := p.client()
	refused := 0
	for i, d := range w.outside {
		id := fmt.Sprint("m", i)
		switch got := c.hand(id, "harmless", d); {
		case got == "+OK":
			w.made(id)
		case strings.HasPrefix(got, "-BUSY ") && got != "-BUSY 0":
			if refused++; w.count(id) != 0 {
				t.Errorf("%s was refused, and sent", id)
			}
		default:
			t.Fatalf("%s: %q", id, got)
		}
	}
	if refused == 0 || refused == len(w.outside) {
		t.Errorf("%d of %d are refused", refused, len(w.outside))
	}
}

// TestControlServersDie: one server is killed, and what changes comes from the other; all are, and what was received holds: the part goes on, a drain is kept, destinations
// outside are refused with a retry-after, also after a restart; and all goes on once a server is back.
func TestControlServersDie(t *testing.T) {
	t.Parallel()
	w := newPartWorld(t, 2, 2)
	p := w.start()
	s := p.statusWhen("no part", hasPart)
	c := p.client()
	w.deliver(c, "fetched", w.outside[0])
	for _, one := range w.servers {
		if one.address == s.Server {
			one.kill()
		}
	}
	drained := func(names ...int) (list []string) {
		for _, d := range names {
			list = append(list, w.entry(fmt.Sprint("s", d), d, "DRAINING"))
		}
		return list
	}
	w.tell(false, drained(w.inside[0], w.outside[0])...)
	p.statusWhen("the drain is not received", func(s controlclient.Status) bool { return s.Part.Index == 2 })
	for _, one := range w.servers {
		one.kill()
	}
	w.deliver(c, "inside", w.inside[1])
	for i, d := range []int{w.inside[0], w.outside[0]} {
		if got := c.hand(fmt.Sprint("drained", i), "harmless", d); got != "+OK" {
			t.Fatalf("%q", got)
		}
	}
	if got := c.hand("outside", "harmless", w.outside[1]); !strings.HasPrefix(got, "-BUSY ") || got == "-BUSY 0" {
		t.Errorf("outside, with no control server: %q", got)
	}
	w.deliver(c, "inside-again", w.inside[1])
	if w.count("drained0")+w.count("drained1") != 0 {
		t.Error("a destination that drains is called")
	}
	w.servers[0].start()
	w.deliver(c, "outside", w.outside[1])
	w.tell(false, w.entry(fmt.Sprint("s", w.inside[0]), w.inside[0], "SERVING"), w.entry(fmt.Sprint("s", w.outside[0]), w.outside[0], "SERVING"))
	w.made("drained0")
	w.made("drained1")
}

// TestRestartOutside: messages for destinations outside the part are accepted; the process is killed. The next one looks their destinations up before it serves, and the messages are delivered;
// or they wait, where no control server answers, until one does.
func TestRestartOutside(t *testing.T) {
	t.Parallel()
	for name, dead := range map[string]bool{"servers answer": false, "no server answers": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newPartWorld(t, 1, 3)
			p := w.start()
			p.statusWhen("no part", hasPart)
			c := p.client()
			for i, d := range w.outside {
				if got := c.hand(fmt.Sprint("hang", i), "harmless", d); got != "+OK" {
					t.Fatalf("%q", got)
				}
				w.await(w.called, fmt.Sprint("hang", i))
			}
			if dead {
				w.servers[0].kill()
			}
			p.kill()
			w.let()
			p = w.start()
			if dead {
				if s := p.status(); s.Complete {
					t.Errorf("%+v", s)
				}
				w.servers[0].start()
			}
			for i := range w.outside {
				w.madeTwice(fmt.Sprint("hang", i))
			}
			p.stats("messages are left", func(s operations.Stats) bool { return s.OpenRequests == 0 })
			p.statusWhen("what was recovered stays for good", func(s controlclient.Status) bool { return s.Complete && s.Part.Retained == 0 })
		})
	}
}

// TestWithdrawnWhilePartMoves: a member leaves, and an endpoint of its part drains at that time. Whoever owns it then does not call it, and delivers to the others.
func TestWithdrawnWhilePartMoves(t *testing.T) {
	t.Parallel()
	w := newPartWorld(t, 2, 40)
	p := w.start()
	p.statusWhen("no part", hasPart)
	after := partLayout.Owned("n0", []string{"n0", "n1", "n2"}).Minus(partLayout.Owned("n0", partMembers))
	var moves []int
	for _, d := range w.outside {
		if after.Contains(partLayout.PartitionOf(d)) {
			moves = append(moves, d)
		}
	}
	if len(moves) < 2 {
		t.Fatalf("%d destinations move", len(moves))
	}
	w.tell(false, w.entry(fmt.Sprint("s", moves[0]), moves[0], "DRAINING"))
	for _, s := range w.servers {
		s.leave("n3")
	}
	s := p.statusWhen("the part has not moved", func(s controlclient.Status) bool { return s.Members == 3 && s.Part.Index == 2 })
	c := p.client()
	if got := c.hand("withdrawn", "harmless", moves[0]); got != "+OK" {
		t.Fatalf("%q", got)
	}
	w.deliver(c, "moved", moves[1])
	if n := w.count("withdrawn"); n != 0 {
		t.Errorf("a destination that drains is called %d times", n)
	}
	if s.Traffic["lookup"].Calls != 0 {
		t.Errorf("%+v", s)
	}
}

// TestFetchedBound: with as many messages out as destinations may be fetched, another one is refused with a retry-after; it is taken once there is room, and each that was taken is delivered once.
func TestFetchedBound(t *testing.T) {
	t.Parallel()
	w := newPartWorld(t, 1, 3)
	w.set.Fetched = 1
	w.operators()
	p := w.start()
	p.statusWhen("no part", hasPart)
	c := p.client()
	if got := c.hand("hang", "harmless", w.outside[0]); got != "+OK" {
		t.Fatalf("%q", got)
	}
	w.await(w.called, "hang")
	if got := c.hand("other", "harmless", w.outside[1]); !strings.HasPrefix(got, "-BUSY ") {
		t.Fatalf("beyond the bound: %q", got)
	}
	w.let()
	w.deliver(c, "other", w.outside[1])
	if s := p.statusWhen("more is known", func(s controlclient.Status) bool { return s.Part.Fetched == 1 }); s.Part.Destinations != 4 {
		t.Errorf("%+v", s)
	}
	if w.count("hang") != 1 || w.count("other") != 1 {
		t.Errorf("sent %d and %d times", w.count("hang"), w.count("other"))
	}
}

// TestMembersDiffer: two forwarders get their members from servers that differ by one, and for a while both own, or neither owns, what the one has. Each message is delivered, once.
// The second forwarder is then started with the folder of the first, and delivers what that one had accepted.
func TestMembersDiffer(t *testing.T) {
	t.Parallel()
	w := newPartWorld(t, 2, 20)
	w.servers[1].leave("n3")
	first := w.servers[:1:1]
	var processes []*process
	for i, s := range w.servers {
		w.set.Servers = []string{s.address}
		w.operators()
		state := w.state
		if i == 1 {
			w.state = t.TempDir()
		}
		processes = append(processes, w.start())
		w.state = state
	}
	processes[0].statusWhen("no part", hasPart)
	processes[1].statusWhen("no part", func(s controlclient.Status) bool { return s.Complete && s.Members == 3 })
	for i, p := range processes {
		c := p.client()
		for _, d := range append(append([]int(nil), w.inside...), w.outside...) {
			id := fmt.Sprintf("m%d-%d", i, d)
			w.deliver(c, id, d)
		}
	}
	c := processes[0].client()
	if got := c.hand("hang", "harmless", w.outside[0]); got != "+OK" {
		t.Fatalf("%q", got)
	}
	w.await(w.called, "hang")
	for _, p := range processes {
		p.kill()
	}
	w.let()
	w.set.Servers = []string{first[0].address}
	w.operators()
	p := w.start("NODE_NAME=n2") // another member, with the folder of n0
	w.madeTwice("hang")
	p.stats("messages are left", func(s operations.Stats) bool { return s.OpenRequests == 0 })
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, n := range w.calls {
		if n != 1 && id != "hang" {
			t.Errorf("%s was sent %d times", id, n)
		}
	}
}

// TestPartDrainOutlastsRestart: endpoints inside and outside the part are told to drain by control servers. All of these die, and the process is killed. The next one has the
// list of its configuration, in which they serve, and calls neither; it calls the others.
func TestPartDrainOutlastsRestart(t *testing.T) {
	t.Parallel()
	w := newPartWorld(t, 1, 3)
	w.noKnown = false
	p := w.start()
	p.statusWhen("no part", hasPart)
	w.deliver(p.client(), "fetched", w.outside[0])
	drains := []int{w.inside[0], w.outside[0]}
	w.tell(false, w.entry(fmt.Sprint("s", drains[0]), drains[0], "DRAINING"), w.entry(fmt.Sprint("s", drains[1]), drains[1], "DRAINING"))
	p.statusWhen("the drain is not received", func(s controlclient.Status) bool { return s.Part.Index == 2 })
	c := p.client()
	if got := c.hand("drained0", "harmless", drains[0]); got != "+OK" { // the engine has received it
		t.Fatalf("%q", got)
	}
	w.servers[0].kill()
	p.kill()
	p = w.start()
	c = p.client()
	if got := c.hand("drained1", "harmless", drains[1]); got != "+OK" {
		t.Fatalf("%q", got)
	}
	w.deliver(c, "inside", w.inside[1])
	w.deliver(c, "outside", w.outside[1])
	if w.count("drained0")+w.count("drained1") != 0 {
		t.Error("an endpoint that drains is called after a restart")
	}
}

// TestNoDestination: a part that has no destination is one like any other.
func TestNoDestination(t *testing.T) {
	t.Parallel()
	w := newPartWorld(t, 1, 1)
	w.tell(true, w.entry("only", w.outside[0], "SERVING"))
	p := w.start()
	s := p.statusWhen("no part", func(s controlclient.Status) bool { return hasPart(s) && s.Part.Index == 2 })
	if s.Part.Endpoints != 0 || s.Part.Destinations != 0 {
		t.Errorf("%+v", s)
	}
	c := p.client()
	if got := c.hand("gone", "harmless", w.inside[0]); got != "-ERR unknown destination" {
		t.Errorf("%q", got)
	}
	w.deliver(c, "outside", w.outside[0])
}

// TestPartHandedOver: the next process goes on with the part and with what was fetched, before any control server has answered it.
func TestPartHandedOver(t *testing.T) {
	t.Parallel()
	w := newPartWorld(t, 1, 3)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if w.listener, err = ln.(*net.TCPListener).File(); err != nil {
		t.Fatal(err)
	}
	ln.Close()
	defer w.listener.Close()
	w.env = append(w.env, "TMPDIR="+t.TempDir())
	p := w.start()
	p.statusWhen("no part", hasPart)
	c := p.client()
	if got := c.hand("hang", "harmless", w.outside[0]); got != "+OK" {
		t.Fatalf("%q", got)
	}
	w.await(w.called, "hang")
	w.servers[0].kill()
	next := w.start()
	c = next.client()
	if s := next.status(); s.Part.Destinations != len(w.inside)+1 || !s.Complete {
		t.Errorf("%+v", s)
	}
	w.deliver(c, "inside", w.inside[0])
	w.deliver(c, "fetched", w.outside[0])
	w.let()
	next.stats("messages are left", func(s operations.Stats) bool { return s.OpenRequests == 0 })
	if n := w.count("hang"); n != 1 {
		t.Errorf("a call that was handed over is made %d times", n)
	}
	w.servers[0].start()
	next.statusWhen("the part is not followed", func(s controlclient.Status) bool { return s.Members == len(partMembers) && s.Part.Retained == 0 })
}
