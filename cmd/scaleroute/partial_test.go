package main

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	controlclient "scaleroute/internal/control/client"
	"scaleroute/internal/operations"
	"scaleroute/internal/operator"
)

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
	if got := w.lastAnswer(c, "none", 1<<30); got != "-ERR unknown destination" {
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
	if s := p.status(); s.Part.Fetched != len(w.outside) || s.Traffic["lookup"].Calls != int64(len(w.outside))+s.FailedLookups { // one that had no answer in time is made again
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
	w.deliver(c, "first", w.outside[0])
	refused := 0
	for i, d := range w.outside[1:] {
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
	if refused == 0 {
		t.Error("none is refused")
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
	s = p.status()
	for _, one := range w.servers { // which ends its watch: the next one asks for what was fetched, too
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
				w.accept(c, fmt.Sprint("hang", i), d)
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
	after := partLayout.OwnedPartitions("n0", []string{"n0", "n1", "n2"}).Difference(partLayout.OwnedPartitions("n0", partMembers))
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
	s := p.statusWhen("the part has not moved", func(s controlclient.Status) bool { return hasPartAmong(s, partMembers[:3]) && s.Part.Index == 2 })
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

// TestWokenAsksControlServers: with a fence, a process that was stopped for longer than its lease asks the control servers before it makes a call. An endpoint of its part
// that began to drain meanwhile gets nothing, though a message for it was there when the process woke; others are called.
func TestWokenAsksControlServers(t *testing.T) {
	t.Parallel()
	const lease = 300 * time.Millisecond
	w := newPartWorld(t, 1, 5)
	w.fleet = &operator.Fleet{Ledger: 1 << 20, Fence: operator.Duration(lease), Unheard: operator.Duration(patience)}
	w.operators()
	p := w.start()
	p.statusWhen("no part", hasPart)
	for round, drains := range w.inside[:3] {
		c, other := p.client(), p.client()
		w.deliver(c, fmt.Sprint("before", round), drains)
		p.cmd.Process.Signal(syscall.SIGSTOP)
		w.tell(false, w.entry(fmt.Sprint("s", drains), drains, "DRAINING"))
		w.hear()
		answers := make(chan string, 2)
		go func() { answers <- c.hand(fmt.Sprint("drained", round), "harmless", drains) }()
		go func() { answers <- other.hand(fmt.Sprint("served", round), "harmless", w.inside[4]) }()
		time.Sleep(2 * lease)
		p.cmd.Process.Signal(syscall.SIGCONT)
		for range 2 {
			if got := <-answers; got != "+OK" {
				t.Errorf("round %d: %q", round, got)
			}
		}
		w.made(fmt.Sprint("served", round))
		if n := w.count(fmt.Sprint("drained", round)); n != 0 {
			t.Errorf("round %d: an endpoint that drains was called %d times", round, n)
		}
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
	w.accept(c, "hang", w.outside[0])
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
	w.accept(c, "hang", w.outside[0])
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
	w.tell(false, w.entry(fmt.Sprint("s", w.inside[2]), w.inside[2], "DRAINING"))
	p.statusWhen("the first change is not received", func(s controlclient.Status) bool { return s.Part.Index == 2 }) // the next watch asks for what was fetched, too
	drains := []int{w.inside[0], w.outside[0]}
	w.tell(false, w.entry(fmt.Sprint("s", drains[0]), drains[0], "DRAINING"), w.entry(fmt.Sprint("s", drains[1]), drains[1], "DRAINING"))
	p.statusWhen("the drain is not received", func(s controlclient.Status) bool { return s.Part.Index == 3 })
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
	if got := w.lastAnswer(c, "gone", w.inside[0]); got != "-ERR unknown destination" {
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
	w.accept(c, "hang", w.outside[0])
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
