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

// TestPartialListWithLookups: the forwarder has its part of the list and looks other destinations up. A destination that does not exist is
// rejected, and the state has no more destinations than the part and those looked up.
func TestPartialListWithLookups(t *testing.T) {
	t.Parallel()
	w := newPartialListEnv(t, 2, 20)
	p := w.start()
	p.awaitControlStatus("the part is not received", ownsPartOfAll)
	c := p.connect()
	for i, d := range w.ownedDestinations {
		if got := c.enqueueTo(fmt.Sprint("in", i), "harmless", d); got != "+OK" {
			t.Fatalf("a destination of the part: %q", got)
		}
		w.awaitCall(fmt.Sprint("in", i))
	}
	if s := p.controlStatus(); s.Part.Destinations != len(w.ownedDestinations) || s.Traffic["lookup"].Calls != 0 {
		t.Errorf("%+v", s)
	}
	for i, d := range w.otherDestinations {
		w.enqueueAndAwaitCall(c, fmt.Sprint("out", i), d)
	}
	if got := w.enqueueUntilAnswered(c, "none", 1<<30); got != "-ERR unknown destination" {
		t.Errorf("a destination that does not exist: %q", got)
	}
	if s := p.controlStatus(); s.Part.Fetched != len(w.otherDestinations) {
		t.Errorf("%+v", s)
	}
}

// TestHotDestinationLookedUpOnce: 300 messages go to 30 destinations outside the part, three of them to the first one and the rest evenly to the
// others. Each destination is looked up once.
func TestHotDestinationLookedUpOnce(t *testing.T) {
	t.Parallel()
	w := newPartialListEnv(t, 1, 30)
	p := w.start()
	p.awaitControlStatus("the part is not received", ownsPartOfAll)
	c := p.connect()
	for i := range 300 {
		d := w.otherDestinations[1+i%(len(w.otherDestinations)-1)]
		if i%100 == 0 {
			d = w.otherDestinations[0]
		}
		w.enqueueAndAwaitCall(c, fmt.Sprint("m", i), d)
	}
	if s := p.controlStatus(); s.Part.Fetched != len(w.otherDestinations) || s.Traffic["lookup"].Calls != int64(len(w.otherDestinations))+s.FailedLookups { // a lookup that times out is repeated
		t.Errorf("%+v", s)
	}
	for i := range 300 {
		if n := w.callCount(fmt.Sprint("m", i)); n != 1 {
			t.Errorf("m%d was sent %d times", i, n)
		}
	}
}

// TestLookupBudget: above the byte budget for lookups, messages are refused with a retry-after and not sent; accepted messages are delivered.
func TestLookupBudget(t *testing.T) {
	t.Parallel()
	w := newPartialListEnv(t, 1, 30)
	w.set.LookupBytesPerSecond = 500
	w.writeOperatorsFile()
	p := w.start()
	p.awaitControlStatus("the part is not received", ownsPartOfAll)
	c := p.connect()
	w.enqueueAndAwaitCall(c, "first", w.otherDestinations[0])
	refused := 0
	for i, d := range w.otherDestinations[1:] {
		id := fmt.Sprint("m", i)
		switch got := c.enqueueTo(id, "harmless", d); {
		case got == "+OK":
			w.awaitCall(id)
		case strings.HasPrefix(got, "-BUSY ") && got != "-BUSY 0":
			if refused++; w.callCount(id) != 0 {
				t.Errorf("%s was refused and sent", id)
			}
		default:
			t.Fatalf("%s: %q", id, got)
		}
	}
	if refused == 0 {
		t.Error("no message was refused")
	}
}

// TestControlServersKilled kills the control server that the forwarder watches, and changes arrive from the other one. Then it kills both, and
// the forwarder keeps the list that it has received: it delivers to its part, keeps a drain, and refuses destinations outside its part with a
// retry-after. It continues normally once a server is back.
func TestControlServersKilled(t *testing.T) {
	t.Parallel()
	w := newPartialListEnv(t, 2, 2)
	p := w.start()
	s := p.awaitControlStatus("the part is not received", ownsPartOfAll)
	c := p.connect()
	w.enqueueAndAwaitCall(c, "fetched", w.otherDestinations[0])
	s = p.controlStatus()
	for _, one := range w.servers { // ends the watch; the next watch covers the fetched destinations too
		if one.address == s.Server {
			one.kill()
		}
	}
	drained := func(names ...int) (list []string) {
		for _, d := range names {
			list = append(list, w.endpointJSON(fmt.Sprint("s", d), d, "DRAINING"))
		}
		return list
	}
	w.publish(false, drained(w.ownedDestinations[0], w.otherDestinations[0])...)
	p.awaitControlStatus("the drain is not received", func(s controlclient.Status) bool { return s.Part.Index == 2 })
	for _, one := range w.servers {
		one.kill()
	}
	w.enqueueAndAwaitCall(c, "inside", w.ownedDestinations[1])
	for i, d := range []int{w.ownedDestinations[0], w.otherDestinations[0]} {
		if got := c.enqueueTo(fmt.Sprint("drained", i), "harmless", d); got != "+OK" {
			t.Fatalf("%q", got)
		}
	}
	if got := c.enqueueTo("outside", "harmless", w.otherDestinations[1]); !strings.HasPrefix(got, "-BUSY ") || got == "-BUSY 0" {
		t.Errorf("a destination outside the part, with no control server: %q", got)
	}
	w.enqueueAndAwaitCall(c, "inside-again", w.ownedDestinations[1])
	if w.callCount("drained0")+w.callCount("drained1") != 0 {
		t.Error("a draining destination is called")
	}
	w.servers[0].start()
	w.enqueueAndAwaitCall(c, "outside", w.otherDestinations[1])
	w.publish(false, w.endpointJSON(fmt.Sprint("s", w.ownedDestinations[0]), w.ownedDestinations[0], "SERVING"), w.endpointJSON(fmt.Sprint("s", w.otherDestinations[0]), w.otherDestinations[0], "SERVING"))
	w.awaitCall("drained0")
	w.awaitCall("drained1")
}

// TestRestartWithLookedUpDestinations: the process is killed with accepted messages for destinations outside its part. The next process looks their
// destinations up before it serves and delivers them; if no control server answers, they wait until one does.
func TestRestartWithLookedUpDestinations(t *testing.T) {
	t.Parallel()
	for name, dead := range map[string]bool{"servers answer": false, "no server answers": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newPartialListEnv(t, 1, 3)
			p := w.start()
			p.awaitControlStatus("the part is not received", ownsPartOfAll)
			c := p.connect()
			for i, d := range w.otherDestinations {
				w.enqueueAccepted(c, fmt.Sprint("hang", i), d)
				w.awaitValue(w.called, fmt.Sprint("hang", i))
			}
			if dead {
				w.servers[0].kill()
			}
			p.kill()
			w.releaseCalls()
			p = w.start()
			if dead {
				if s := p.controlStatus(); s.Complete {
					t.Errorf("%+v", s)
				}
				w.servers[0].start()
			}
			for i := range w.otherDestinations {
				w.awaitSecondCall(fmt.Sprint("hang", i))
			}
			p.awaitStats("messages are not completed", func(s operations.Stats) bool { return s.OpenRequests == 0 })
			p.awaitControlStatus("the destinations of recovered messages are not released", func(s controlclient.Status) bool { return s.Complete && s.Part.Retained == 0 })
		})
	}
}

// TestDrainWhilePartitionsMove: a member leaves while an endpoint of its part begins to drain. The new owner of the part does not call that endpoint,
// and delivers to the others.
func TestDrainWhilePartitionsMove(t *testing.T) {
	t.Parallel()
	w := newPartialListEnv(t, 2, 40)
	p := w.start()
	p.awaitControlStatus("the part is not received", ownsPartOfAll)
	after := partialListLayout.OwnedPartitions("n0", []string{"n0", "n1", "n2"}).Difference(partialListLayout.OwnedPartitions("n0", partialListMembers))
	var moved []int
	for _, d := range w.otherDestinations {
		if after.Contains(partialListLayout.PartitionOf(d)) {
			moved = append(moved, d)
		}
	}
	if len(moved) < 2 {
		t.Fatalf("only %d destinations move", len(moved))
	}
	w.publish(false, w.endpointJSON(fmt.Sprint("s", moved[0]), moved[0], "DRAINING"))
	for _, s := range w.servers {
		s.leave("n3")
	}
	s := p.awaitControlStatus("the part has not moved", func(s controlclient.Status) bool {
		return ownsPartAmong(s, partialListMembers[:3]) && s.Part.Index == 2
	})
	c := p.connect()
	if got := c.enqueueTo("withdrawn", "harmless", moved[0]); got != "+OK" {
		t.Fatalf("%q", got)
	}
	w.enqueueAndAwaitCall(c, "moved", moved[1])
	if n := w.callCount("withdrawn"); n != 0 {
		t.Errorf("a draining destination is called %d times", n)
	}
	if s.Traffic["lookup"].Calls != 0 {
		t.Errorf("%+v", s)
	}
}

// TestResumedProcessAsksControlServers: with fencing, a process that was stopped for longer than its lease asks the control servers before it makes a
// call. An endpoint of its part that began to drain meanwhile receives nothing, even if a message for it was waiting when the process resumed;
// other endpoints are called.
func TestResumedProcessAsksControlServers(t *testing.T) {
	t.Parallel()
	const lease = 300 * time.Millisecond
	w := newPartialListEnv(t, 1, 5)
	w.fleet = &operator.Fleet{LedgerBytes: 1 << 20, Lease: operator.Duration(lease), DiscoveryWait: operator.Duration(testTimeout)}
	w.writeOperatorsFile()
	p := w.start()
	p.awaitControlStatus("the part is not received", ownsPartOfAll)
	for round, drains := range w.ownedDestinations[:3] {
		c, other := p.connect(), p.connect()
		w.enqueueAndAwaitCall(c, fmt.Sprint("before", round), drains)
		p.cmd.Process.Signal(syscall.SIGSTOP)
		w.publish(false, w.endpointJSON(fmt.Sprint("s", drains), drains, "DRAINING"))
		w.awaitUpdatesReceived()
		answers := make(chan string, 2)
		go func() { answers <- c.enqueueTo(fmt.Sprint("drained", round), "harmless", drains) }()
		go func() { answers <- other.enqueueTo(fmt.Sprint("served", round), "harmless", w.ownedDestinations[4]) }()
		time.Sleep(2 * lease)
		p.cmd.Process.Signal(syscall.SIGCONT)
		for range 2 {
			if got := <-answers; got != "+OK" {
				t.Errorf("round %d: %q", round, got)
			}
		}
		w.awaitCall(fmt.Sprint("served", round))
		if n := w.callCount(fmt.Sprint("drained", round)); n != 0 {
			t.Errorf("round %d: a draining endpoint was called %d times", round, n)
		}
	}
}

// TestFetchedDestinationsLimit: when all destinations that may be fetched have a message in flight, a message for another destination is refused with
// a retry-after. It is accepted once there is room, and each accepted message is delivered once.
func TestFetchedDestinationsLimit(t *testing.T) {
	t.Parallel()
	w := newPartialListEnv(t, 1, 3)
	w.set.MaxFetched = 1
	w.writeOperatorsFile()
	p := w.start()
	p.awaitControlStatus("the part is not received", ownsPartOfAll)
	c := p.connect()
	w.enqueueAccepted(c, "hang", w.otherDestinations[0])
	w.awaitValue(w.called, "hang")
	if got := c.enqueueTo("other", "harmless", w.otherDestinations[1]); !strings.HasPrefix(got, "-BUSY ") {
		t.Fatalf("beyond the limit: %q", got)
	}
	w.releaseCalls()
	w.enqueueAndAwaitCall(c, "other", w.otherDestinations[1])
	if s := p.awaitControlStatus("the list has other destinations than the part and the fetched one", func(s controlclient.Status) bool { return s.Part.Fetched == 1 }); s.Part.Destinations != 4 {
		t.Errorf("%+v", s)
	}
	if w.callCount("hang") != 1 || w.callCount("other") != 1 {
		t.Errorf("sent %d and %d times", w.callCount("hang"), w.callCount("other"))
	}
}

// TestMembersDiffer: two forwarders get their members from control servers that differ by one member, so that for a while both own, or neither owns,
// the partitions of that member. Each message is delivered once. Then a process of another member starts with the first one's state folder, and
// delivers the messages that the first one had accepted.
func TestMembersDiffer(t *testing.T) {
	t.Parallel()
	w := newPartialListEnv(t, 2, 20)
	w.servers[1].leave("n3")
	first := w.servers[:1:1]
	var processes []*process
	for i, s := range w.servers {
		w.set.Servers = []string{s.address}
		w.writeOperatorsFile()
		state := w.state
		if i == 1 {
			w.state = t.TempDir()
		}
		processes = append(processes, w.start())
		w.state = state
	}
	processes[0].awaitControlStatus("the part is not received", ownsPartOfAll)
	processes[1].awaitControlStatus("the part is not received", func(s controlclient.Status) bool { return s.Complete && s.Members == 3 })
	for i, p := range processes {
		c := p.connect()
		for _, d := range append(append([]int(nil), w.ownedDestinations...), w.otherDestinations...) {
			id := fmt.Sprintf("m%d-%d", i, d)
			w.enqueueAndAwaitCall(c, id, d)
		}
	}
	c := processes[0].connect()
	w.enqueueAccepted(c, "hang", w.otherDestinations[0])
	w.awaitValue(w.called, "hang")
	for _, p := range processes {
		p.kill()
	}
	w.releaseCalls()
	w.set.Servers = []string{first[0].address}
	w.writeOperatorsFile()
	p := w.start("NODE_NAME=n2") // another member, with the folder of n0
	w.awaitSecondCall("hang")
	p.awaitStats("messages are not completed", func(s operations.Stats) bool { return s.OpenRequests == 0 })
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, n := range w.calls {
		if n != 1 && id != "hang" {
			t.Errorf("%s was sent %d times", id, n)
		}
	}
}

// TestPartialListDrainOutlastsRestart: control servers report that endpoints inside and outside the part drain. All servers and the forwarder are
// killed. The next process has the list of its configuration, in which these endpoints serve; it calls neither of them, and it calls the others.
func TestPartialListDrainOutlastsRestart(t *testing.T) {
	t.Parallel()
	w := newPartialListEnv(t, 1, 3)
	w.noInitialList = false
	p := w.start()
	p.awaitControlStatus("the part is not received", ownsPartOfAll)
	w.enqueueAndAwaitCall(p.connect(), "fetched", w.otherDestinations[0])
	w.publish(false, w.endpointJSON(fmt.Sprint("s", w.ownedDestinations[2]), w.ownedDestinations[2], "DRAINING"))
	p.awaitControlStatus("the first change is not received", func(s controlclient.Status) bool { return s.Part.Index == 2 }) // the next watch covers the fetched destinations too
	drains := []int{w.ownedDestinations[0], w.otherDestinations[0]}
	w.publish(false, w.endpointJSON(fmt.Sprint("s", drains[0]), drains[0], "DRAINING"), w.endpointJSON(fmt.Sprint("s", drains[1]), drains[1], "DRAINING"))
	p.awaitControlStatus("the drain is not received", func(s controlclient.Status) bool { return s.Part.Index == 3 })
	c := p.connect()
	if got := c.enqueueTo("drained0", "harmless", drains[0]); got != "+OK" { // the answer shows that the engine has received the drain
		t.Fatalf("%q", got)
	}
	w.servers[0].kill()
	p.kill()
	p = w.start()
	c = p.connect()
	if got := c.enqueueTo("drained1", "harmless", drains[1]); got != "+OK" {
		t.Fatalf("%q", got)
	}
	w.enqueueAndAwaitCall(c, "inside", w.ownedDestinations[1])
	w.enqueueAndAwaitCall(c, "outside", w.otherDestinations[1])
	if w.callCount("drained0")+w.callCount("drained1") != 0 {
		t.Error("a draining endpoint is called after a restart")
	}
}

// TestPartWithoutDestinations: a part without destinations works like any other.
func TestPartWithoutDestinations(t *testing.T) {
	t.Parallel()
	w := newPartialListEnv(t, 1, 1)
	w.publish(true, w.endpointJSON("only", w.otherDestinations[0], "SERVING"))
	p := w.start()
	s := p.awaitControlStatus("the part is not received", func(s controlclient.Status) bool { return ownsPartOfAll(s) && s.Part.Index == 2 })
	if s.Part.Endpoints != 0 || s.Part.Destinations != 0 {
		t.Errorf("%+v", s)
	}
	c := p.connect()
	if got := w.enqueueUntilAnswered(c, "gone", w.ownedDestinations[0]); got != "-ERR unknown destination" {
		t.Errorf("%q", got)
	}
	w.enqueueAndAwaitCall(c, "outside", w.otherDestinations[0])
}

// TestPartialListHandedOver: after a hot restart the new process uses the part and the fetched destinations of the old one before any control
// server has answered it.
func TestPartialListHandedOver(t *testing.T) {
	t.Parallel()
	w := newPartialListEnv(t, 1, 3)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if w.clientSocket, err = ln.(*net.TCPListener).File(); err != nil {
		t.Fatal(err)
	}
	ln.Close()
	defer w.clientSocket.Close()
	w.env = append(w.env, "TMPDIR="+t.TempDir())
	p := w.start()
	p.awaitControlStatus("the part is not received", ownsPartOfAll)
	c := p.connect()
	w.enqueueAccepted(c, "hang", w.otherDestinations[0])
	w.awaitValue(w.called, "hang")
	w.servers[0].kill()
	next := w.start()
	c = next.connect()
	if s := next.controlStatus(); s.Part.Destinations != len(w.ownedDestinations)+1 || !s.Complete {
		t.Errorf("%+v", s)
	}
	w.enqueueAndAwaitCall(c, "inside", w.ownedDestinations[0])
	w.enqueueAndAwaitCall(c, "fetched", w.otherDestinations[0])
	w.releaseCalls()
	next.awaitStats("messages are not completed", func(s operations.Stats) bool { return s.OpenRequests == 0 })
	if n := w.callCount("hang"); n != 1 {
		t.Errorf("a message whose call was handed over was sent %d times", n)
	}
	w.servers[0].start()
	next.awaitControlStatus("the part is not updated", func(s controlclient.Status) bool { return s.Members == len(partialListMembers) && s.Part.Retained == 0 })
}
