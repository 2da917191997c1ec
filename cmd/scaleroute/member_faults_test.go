package main

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"scaleroute/internal/audit"
	"scaleroute/internal/fleet"
	"scaleroute/internal/ledger"
	"scaleroute/internal/operator"
	"scaleroute/internal/standin"
	"scaleroute/internal/straggler"
	"scaleroute/internal/version"
)

// newGossipRig starts forwarders that gossip, and waits until each sees all the others.
func newGossipRig(t *testing.T, s fleet.Shape, set operator.Fleet, l *fleetLogs, prepare ...func(*fleet.Rig)) *fleet.Rig {
	t.Helper()
	mesh, err := fleet.NewMesh(s.Forwarders, 17)
	if err != nil {
		t.Fatal(err)
	}
	set.Gossip = &operator.Gossip{Join: []string{mesh.Told(0)}}
	s.Mesh, s.Set, s.Env = mesh, operatorsFile(t, set), append(s.Env, quickFleetVariable+"=1")
	r := newFleetRig(t, s, l, prepare...)
	for _, one := range r.Nodes {
		eventually(t, one.Name+" sees all", func() bool { return len(verdicts(t, one)) == s.Forwarders })
	}
	t.Cleanup(func() {
		if !t.Failed() {
			return
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, one := range r.Nodes {
			t.Logf("%s: %s", one.Name, strings.Join(l.lines[one.Name], "\n"))
		}
	})
	return r
}

// count returns how many lines of a forwarder's log contain all the texts, in this order.
func (l *fleetLogs) count(node string, texts ...string) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range l.lines[node] {
		hasAll := true
		for _, text := range texts {
			i := strings.Index(line, text)
			if hasAll = hasAll && i >= 0; i >= 0 {
				line = line[i+len(text)-1:] // two texts may share a space
			}
		}
		if hasAll {
			n++
		}
	}
	return n
}

// stopLoadAndCheck ends the load, waits until all messages are completed, and checks the rules.
func stopLoadAndCheck(t *testing.T, r *fleet.Rig, done chan struct{}, wait func()) {
	t.Helper()
	close(done)
	wait()
	r.Settle(r.Nodes, 10*time.Second)
	checkLimits(t, r, standin.Rules)
}

// checkLimits checks each forwarder's record of messages against the given limits.
func checkLimits(t *testing.T, r *fleet.Rig, rules standin.Limits) {
	t.Helper()
	for _, one := range r.Nodes {
		if v := one.Log.Check(rules); v.Broken() {
			t.Errorf("%s: %+v", one.Name, v)
		}
	}
}

// checkAudit compares the audit's number of calls with each endpoint's own count, for each endpoint and forwarder.
func checkAudit(t *testing.T, r *fleet.Rig, nodes ...*fleet.Node) *audit.Report {
	t.Helper()
	var addresses []string
	for _, one := range nodes {
		addresses = append(addresses, one.Process().Door())
	}
	all := audit.CollectMembers(context.Background(), addresses, 5*time.Second, nil)
	for i, one := range nodes {
		for _, e := range r.World.Endpoints {
			seen, _ := one.Arrived(e.Name, time.Time{}, time.Time{})
			a := audit.Merge(all[i:i+1], version.Desired{}, &audit.CallQuery{Target: e.Name}).Calls
			if a.Total.Min > uint64(seen) || a.Total.Max < uint64(seen) {
				t.Errorf("%s has received %d calls from %s, and the audit says %d to %d", e.Name, seen, one.Name, a.Total.Min, a.Total.Max)
			}
		}
	}
	return audit.Merge(all, version.Desired{}, nil)
}

// TestFleetPartition starts eight forwarders whose links to each other lose three packets in ten and delay the rest. A network partition cuts them
// into halves, and in each half one forwarder receives nothing from discovery: it learns of a drain from its half, and a desired version that one
// half has received fences off the stale forwarder of that half alone. One forwarder receives packets and its own are not received. After the
// partition has healed, the desired version reaches all forwarders and both stale ones are fenced off; once discovery answers them, both are
// readmitted. No other forwarder is ever fenced off, and the audit agrees with the endpoints' records.
func TestFleetPartition(t *testing.T) {
	t.Parallel()
	l := newFleetLogs()
	set := operator.Fleet{LedgerBytes: 1 << 20, Lease: operator.Duration(time.Second), DiscoveryWait: operator.Duration(2 * time.Second), MaxFencedShare: 0.25}
	r := newGossipRig(t, fleet.Shape{Forwarders: 8, Destinations: 2, Targets: 3, Left: 3 * time.Second}, set, l)
	n := r.Nodes
	lossy := fleet.Fault{Loss: 0.3, Delay: 5 * time.Millisecond, Jitter: 30 * time.Millisecond}
	r.Between(n, lossy)
	for _, e := range r.World.Endpoints {
		e.Set(standin.Script{Latency: 80 * time.Millisecond})
	}
	done := make(chan struct{})
	wait := r.Load(30, 8, 200, done)
	seen := func(of *fleet.Node, verdict straggler.Verdict, nodes ...*fleet.Node) func() bool {
		return func() bool {
			v := verdicts(t, of)
			for _, one := range nodes {
				if v[one.Name].Verdict != verdict {
					return false
				}
			}
			return true
		}
	}
	partition := lossy
	partition.Cut = true
	r.Between(n[:4], partition)
	eventually(t, "the first half sees the second as silent", seen(n[1], straggler.Silent, n[4:]...))
	eventually(t, "the second half sees the first as silent", seen(n[6], straggler.Silent, n[:4]...))
	eventually(t, "n2 sees n3, which is in its own half", seen(n[1], straggler.Current, n[2]))
	n[0].List.Set(fleet.Fault{Silent: fleet.Down})
	n[4].List.Set(fleet.Fault{Silent: fleet.Down})
	r.World.Set(standin.Draining, r.World.Endpoints[0])
	index := n[1].Discovery.Index()
	l.await(t, "n1", "drained by what others know", 1)
	l.await(t, "n5", "drained by what others know", 1)
	drainedAt := time.Now().Add(200 * time.Millisecond)
	if status, body := putDesired(t, n[2], straggler.Desired{Gen: 1, By: "test", Deadline: time.Second, Version: version.Desired{Index: index}}); status != http.StatusOK {
		t.Fatalf("%d %s", status, body)
	}
	l.await(t, "n1", "shut out", 1)
	if w := getJSON[FleetView](t, n[4], "/fleet").Desired; w != nil {
		t.Errorf("n5 knows the desired version of the half that it is cut off from: %+v", w)
	}
	// n4 receives the packets of its half and its own are lost: the others see it as silent, and it is not fenced off.
	isolation := lossy
	isolation.Silent = fleet.Up
	for _, other := range n[:3] {
		r.Mesh.Set(3, indexOf(r, other), isolation)
	}
	eventually(t, "n2 sees n4 as silent", seen(n[1], straggler.Silent, n[3]))
	r.Between(n, lossy) // the partition heals; loss and delay remain
	l.await(t, "n5", "shut out", 1)
	eventually(t, "both halves see two forwarders as fenced off", func() bool {
		return seen(n[6], straggler.FencedOff, n[0], n[4])() && seen(n[1], straggler.FencedOff, n[0], n[4])()
	})
	eventually(t, "n2 sees n4 as current", seen(n[1], straggler.Current, n[3]))
	n[0].List.Set(fleet.Fault{})
	n[4].List.Set(fleet.Fault{})
	l.await(t, "n1", "let in again", 1)
	l.await(t, "n5", "let in again", 1)
	for _, one := range n {
		eventually(t, one.Name+" is ready", func() bool { return healthy(one) == nil })
	}
	stopLoadAndCheck(t, r, done, wait)
	checkAudit(t, r, n...)
	for i, one := range n {
		if out := l.count(one.Name, "msg=\"shut out"); (out > 0) != (i == 0 || i == 4) {
			t.Errorf("%s was fenced off %d times", one.Name, out)
		}
		if c, _ := one.Arrived(r.World.Endpoints[0].Name, drainedAt, time.Time{}); c > 0 {
			t.Errorf("%s has called the draining endpoint %d times after it was told of the drain", one.Name, c)
		}
	}
	if m := r.Mesh.Passed(); m == 0 {
		t.Error("no packet has passed between members")
	}
}

func indexOf(r *fleet.Rig, n *fleet.Node) int {
	for i, one := range r.Nodes {
		if one == n {
			return i
		}
	}
	return -1
}

// TestFleetSharesRetryAfter: a retry-after that one forwarder receives makes the others wait before they have called, and ends at its time. The format
// of an older build can't carry it, so the others don't wait for one that such a forwarder receives; a later format carries it.
func TestFleetSharesRetryAfter(t *testing.T) {
	t.Parallel()
	l := newFleetLogs()
	r := newGossipRig(t, fleet.Shape{Forwarders: 8, Destinations: 1, Targets: 2, Left: 20 * time.Second}, operator.Fleet{MaxFencedShare: 0.25}, l, func(r *fleet.Rig) {
		r.Nodes[1].Env = []string{"SCALEROUTE_TEST_FORMAT=1"} // sends status reports in the format of an older build
		r.Nodes[2].Env = []string{"SCALEROUTE_TEST_FORMAT=9"}
	})
	n := r.Nodes
	const retryAfter = 4 * time.Second
	for _, e := range r.World.Endpoints {
		e.Set(standin.Script{Full: 1, Wait: retryAfter})
	}
	send := func(one *fleet.Node, id string) {
		jobs := make(chan standin.Job, 1)
		jobs <- standin.Job{Class: standin.Safe, Left: 20 * time.Second, Body: []byte("body of " + id)}
		close(jobs)
		one.Clients.Run(t.Context(), 1, jobs)
	}
	calls := func(one *fleet.Node, from time.Time) (c int) {
		for _, e := range r.World.Endpoints {
			k, _ := one.Arrived(e.Name, from, time.Time{})
			c += k
		}
		return c
	}
	send(n[2], "first")
	for _, one := range n {
		if one != n[2] {
			l.await(t, one.Name, "held by a wait that another forwarder was told", 1)
		}
	}
	began := time.Now()
	for _, e := range r.World.Endpoints {
		e.Set(standin.Script{})
	}
	for _, one := range n[3:] {
		send(one, "held-"+one.Name)
	}
	for _, one := range n[3:] {
		eventually(t, one.Name+" calls once the retry-after is over", func() bool { return calls(one, began) > 0 })
		if c, last := calls(one, began), time.Since(began); last < retryAfter-2*time.Second {
			t.Errorf("%s has called %d times after %v: it did not wait for the retry-after", one.Name, c, last)
		}
	}
	// The older format of n2 can't carry a retry-after: no other forwarder waits, and all still see n2 as current.
	held := l.count("n4", "held by a wait")
	for _, e := range r.World.Endpoints {
		e.Set(standin.Script{Full: 1, Wait: 2 * time.Second})
	}
	before := time.Now()
	send(n[1], "second")
	eventually(t, "n2 has received a retry-after", func() bool { return calls(n[1], before) > 0 })
	eventually(t, "n4 sees n2 as current", func() bool { return verdicts(t, n[3])["n2"].Verdict == straggler.Current })
	if now := l.count("n4", "held by a wait"); now != held {
		t.Errorf("n4 waits for a retry-after that n2 can't have sent")
	}
}

// TestFleetMixedVersions starts eight forwarders that differ: two send status reports in an older format and one in a later one, clocks are ten minutes
// fast and slow, one agent gives the same index to another list, one agent's index goes backwards, and one audit log overflows
// repeatedly while it is audited. All receive random and replayed packets. The audit names each difference by its cause, unaffected by the clocks, and
// reports that entries were overwritten. No forwarder is fenced off.
func TestFleetMixedVersions(t *testing.T) {
	t.Parallel()
	l := newFleetLogs()
	set := operator.Fleet{LedgerBytes: ledger.MinBytes, Lease: operator.Duration(time.Second), DiscoveryWait: operator.Duration(2 * time.Second), MaxFencedShare: 0.25}
	r := newGossipRig(t, fleet.Shape{Forwarders: 8, Destinations: 2, Targets: 3, Left: 3 * time.Second}, set, l, func(r *fleet.Rig) {
		for i, env := range []string{"FORMAT=1", "FORMAT=1", "FORMAT=7", "CLOCK=10m", "CLOCK=-10m"} {
			r.Nodes[i].Env = []string{"SCALEROUTE_TEST_" + env}
		}
	})
	n := r.Nodes
	done := make(chan struct{})
	wait := r.Load(30, 8, 200, done)

	// Random bytes, and a replayed packet.
	random := rand.New(rand.NewPCG(3, 4))
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	replayed, err := hex.DecodeString("0c6e01026e31000100000000000000000000000000000000")
	if err != nil {
		t.Fatal(err)
	}
	for i := range n {
		address, err := net.ResolveUDPAddr("udp", r.Mesh.Told(i))
		if err != nil {
			t.Fatal(err)
		}
		for range 200 {
			b := make([]byte, 1+random.IntN(1400))
			for k := range b {
				b[k] = byte(random.Uint32())
			}
			conn.WriteTo(b, address)
			conn.WriteTo(replayed, address)
		}
	}

	// A new list for all; n6's agent gives the same index to another list, and the index of n7's agent goes backwards.
	n[5].Discovery.Set(standin.Draining, r.World.Endpoints[4])
	for i, one := range n {
		if i != 5 {
			one.Discovery.Set(standin.Draining, r.World.Endpoints[0])
		}
	}
	index := n[0].Discovery.Index()
	for _, one := range n {
		eventually(t, one.Name+" has the list", func() bool { return getJSON[VersionReport](t, one, "/versions").Vector.List.Index >= index })
	}
	eventually(t, "n6 is seen to have diverged", func() bool { return verdicts(t, n[1])["n6"].Verdict == straggler.Diverged })
	for _, other := range []string{"n1", "n2", "n3", "n4", "n5", "n7", "n8"} {
		eventually(t, other+" is seen to be current", func() bool { return verdicts(t, n[3])[other].Verdict == straggler.Current })
	}
	n[6].Discovery.Skip(-1)
	n[6].List.Set(fleet.Fault{Cut: true}) // n7 asks again from scratch, and is answered with a lower index than it has
	n[6].List.Set(fleet.Fault{})

	// n8's audit log overflows while it is audited.
	changes := 0
	stopAudit := make(chan struct{})
	var auditing sync.WaitGroup
	auditing.Go(func() {
		for {
			select {
			case <-stopAudit:
				return
			default:
			}
			for _, e := range r.World.Endpoints {
				before, _ := n[7].Arrived(e.Name, time.Time{}, time.Time{})
				all := audit.CollectMembers(context.Background(), []string{n[7].Process().Door()}, 5*time.Second, nil)
				after, _ := n[7].Arrived(e.Name, time.Time{}, time.Time{})
				a := audit.Merge(all, version.Desired{}, &audit.CallQuery{Target: e.Name})
				if all[0].Ledger == nil {
					t.Errorf("the audit can't read n8: %s", all[0].Err)
					return
				}
				inFlight := uint64(4) // calls that have begun and not reached the endpoint when either count is read
				if a.Calls.Total.Min > uint64(after)+inFlight || a.Calls.Total.Max+inFlight < uint64(before) && len(a.Caveats) == 0 {
					t.Errorf("%s has received %d to %d calls from n8, and the audit says %+v, %v", e.Name, before, after, a.Calls.Total, a.Caveats)
				}
			}
		}
	})
	for record := (ledger.Snapshot{}); record.Overwritten.Calls == 0 || record.Overwritten.Changes < 100; {
		for range 20 {
			changes++
			at := n[7].Discovery.Index()
			state := standin.Draining
			if changes%2 == 0 {
				state = standin.Serving
			}
			n[7].Discovery.Set(state, r.World.Endpoints[5])
			eventually(t, "n8 has the list", func() bool { return getJSON[VersionReport](t, n[7], "/versions").Vector.List.Index > at })
		}
		if record = getJSON[ledger.Snapshot](t, n[7], "/ledger"); changes > 4000 {
			t.Fatalf("the audit log does not overflow: %+v", record.Overwritten)
		}
	}
	close(stopAudit)
	auditing.Wait()
	stopLoadAndCheck(t, r, done, wait)
	report := checkAudit(t, r, n[:7]...)
	for _, m := range report.Members {
		skew := map[string]time.Duration{"n4": 10 * time.Minute, "n5": -10 * time.Minute}[m.Name]
		if d := m.Offset - skew; d < -m.OffsetError-time.Millisecond || d > m.OffsetError+time.Millisecond {
			t.Errorf("%s: the audit says its clock is off by %v, within %v; it is off by %v", m.Name, m.Offset, m.OffsetError, skew)
		}
		if want := m.Name == "n6"; (m.Verdict == straggler.Diverged) != want {
			t.Errorf("%s is %s", m.Name, m.Verdict)
		}
	}
	// By the audit, each list reached the fleet within seconds, whatever the clocks show.
	for _, o := range report.Lists {
		for _, s := range o.Steps {
			if s.After > 30*time.Second {
				t.Errorf("list %d: %s acted on it after %v: the audit was misled by a clock", o.Index, s.Name, s.After)
			}
		}
		if want := o.Index == index; want != (o.Digests == 2) {
			t.Errorf("list %d has %d digests", o.Index, o.Digests)
		}
	}
	// The calls that n8 has logged, has overwritten and had no room for add up to all its calls.
	record := getJSON[ledger.Snapshot](t, n[7], "/ledger")
	var least, most, seen uint64
	for _, e := range r.World.Endpoints {
		c, _ := n[7].Arrived(e.Name, time.Time{}, time.Time{})
		seen += uint64(c)
		got := record.CallsTo(e.Name, func(*ledger.Change) bool { return true })
		least, most = least+got.Arrived.Min, most+got.Begun.Max
	}
	if least > seen || most+record.Overwritten.Calls+record.Unrecorded.Calls.Max < seen || record.Overwritten.Calls == 0 {
		t.Errorf("n8 has made %d calls; its audit log has %d to %d, and says that %d were overwritten", seen, least, most, record.Overwritten.Calls)
	}
	for _, one := range n {
		if out := l.count(one.Name, "msg=\"shut out"); out > 0 {
			t.Errorf("%s was fenced off", one.Name)
		}
	}
}

// TestFleetUpgradeWhileFencedOff: three of eight forwarders lack a desired operators' file and are fenced off. Each is upgraded meanwhile by a hot restart, and the
// old or the new process is killed at each step of it. The process that is left is fenced off again within the settling time, has begun no call
// meanwhile, and is readmitted once no version is desired any more.
func TestFleetUpgradeWhileFencedOff(t *testing.T) {
	t.Parallel()
	l := newFleetLogs()
	set := operator.Fleet{LedgerBytes: 1 << 20, MaxFencedShare: 0.5}
	r := newGossipRig(t, fleet.Shape{Forwarders: 8, Destinations: 2, Targets: 2, Left: 2 * time.Second, Inherited: true}, set, l)
	n := r.Nodes
	done := make(chan struct{})
	wait := r.Load(20, 4, 200, done)
	set.Gossip = &operator.Gossip{Join: []string{r.Mesh.Told(0)}}
	changed := operatorsFile(t, set, operator.Limit{Name: "few", MaxAttempts: 4})
	for _, one := range n[3:] {
		if err := one.SetOperators(changed); err != nil {
			t.Fatal(err)
		}
		if err := one.Process().Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		eventually(t, one.Name+" has read the file", func() bool {
			return getJSON[VersionReport](t, one, "/versions").Vector.Operators.Digest == decodeConfig(t, changed).Digest()
		})
	}
	if status, body := putDesired(t, n[3], straggler.Desired{Gen: 1, By: "test", Deadline: 100 * time.Millisecond, Version: version.Desired{Operators: decodeConfig(t, changed).Digest()}}); status != http.StatusOK {
		t.Fatalf("%d %s", status, body)
	}
	for _, one := range n[:3] {
		l.await(t, one.Name, "msg=\"shut out", 1)
	}
	steps := []string{"none", "old: asked", "old: clients detached", "old: engine detached", "old: journal closed", "old: sent half", "old: sent", "old: owned",
		"new: asked", "new: received", "new: locked", "new: recovered", "new: owned", "new: serving"}
	t.Run("all", func(t *testing.T) {
		for i, one := range n[:3] {
			t.Run(one.Name, func(t *testing.T) {
				t.Parallel()
				for k := i; k < len(steps); k += 3 {
					if err := upgradeAndKill(t, l, one, steps[k]); err != nil {
						t.Fatalf("%s: %v", steps[k], err)
					}
				}
			})
		}
	})
	if t.Failed() {
		return
	}
	putDesired(t, n[4], straggler.Desired{Gen: 2, By: "test", Deadline: time.Minute})
	for _, one := range n {
		eventually(t, one.Name+" is ready", func() bool { return healthy(one) == nil })
	}
	serving := time.Now()
	for _, one := range n[:3] {
		eventually(t, one.Name+" calls again", func() bool {
			for _, e := range r.World.Endpoints {
				if c, _ := one.Arrived(e.Name, serving, time.Time{}); c > 0 {
					return true
				}
			}
			return false
		})
	}
	stopLoadAndCheck(t, r, done, wait)
	checkAudit(t, r, n...)
	for i, one := range n {
		fencedOff, isOut, process := 0, false, time.Time{}
		for _, e := range getJSON[ledger.Snapshot](t, one, "/ledger").Entries {
			if e.Cause == ledger.CauseFencedOff {
				fencedOff++
				isOut, process = true, e.Vector.Started
			} else if e.Cause == ledger.CauseReadmitted || !e.Vector.Started.Equal(process) { // a new process starts in rotation
				isOut = false
			}
			if isOut && len(e.Calls) > 0 {
				t.Errorf("%s made calls while it was fenced off (%s): %+v", one.Name, e.Cause, e.Calls)
			}
		}
		if (fencedOff > 0) != (i < 3) {
			t.Errorf("%s was fenced off %d times", one.Name, fencedOff)
		}
	}
}

// upgradeAndKill upgrades a forwarder that is fenced off and kills a process at a step. The forwarder is fenced off again when it returns.
func upgradeAndKill(t *testing.T, l *fleetLogs, one *fleet.Node, step string) error {
	isNew := strings.HasPrefix(step, "new")
	kill := func(p *fleet.Process) (time.Time, error) {
		one.SetAway(true) // the clients then expect that messages in transit may get no answer
		at := time.Now()
		return at, p.Kill()
	}
	reached := l.count(one.Name, "reached "+step)
	if !isNew && step != "none" { // starts an old process that stops at the step
		one.Env = []string{"SCALEROUTE_TEST_STEP=" + step}
		out := l.count(one.Name, "msg=\"shut out")
		if err := one.Restart(one.Kill, nil); err != nil {
			return err
		}
		l.await(t, one.Name, "msg=\"shut out", out+1)
	}
	one.Env = nil
	if isNew {
		one.Env = []string{"SCALEROUTE_TEST_STEP=" + step}
	}
	out := l.count(one.Name, "msg=\"shut out")
	failedHandovers := l.count(one.Name, "did not take over")
	old := one.Process()
	next, err := one.Next()
	one.Env = nil
	if err != nil {
		return err
	}
	var killed time.Time
	switch {
	case step == "none":
	case isNew:
		l.await(t, one.Name, "reached "+step, reached+1)
		if killed, err = kill(next); err != nil {
			return err
		}
		if step != "new: owned" && step != "new: serving" { // the old process goes on, fenced off as before
			l.await(t, one.Name, "did not take over", failedHandovers+1)
			eventually(t, "the old process rejects PING again", func() bool {
				got, err := pingForwarder(old.Address())
				return err == nil && got != "+PONG"
			})
			if healthy(one) == nil {
				return errors.New("the forwarder is ready, though it is fenced off")
			}
			one.SetAway(false)
			return nil
		}
		if err := one.Kill(); err != nil {
			return err
		}
		gone := time.Now()
		if err := one.Start(); err != nil {
			return err
		}
		one.SetAway(false)
		one.Log.Restarted(standin.Restart{Ended: killed, Gone: gone, Ready: time.Now()})
		l.await(t, one.Name, "msg=\"shut out", out+1)
		return nil
	default:
		l.await(t, one.Name, "reached "+step, reached+1)
		if killed, err = kill(old); err != nil {
			return err
		}
	}
	if err := one.Take(next); err != nil {
		return err
	}
	if !killed.IsZero() {
		one.SetAway(false)
		one.Log.Restarted(standin.Restart{Ended: killed, Gone: time.Now(), Ready: time.Now()})
	}
	l.await(t, one.Name, "msg=\"shut out", out+1)
	if step == "none" {
		return old.End(5 * time.Second)
	}
	return nil
}

// pingForwarder sends PING on a new connection and returns the answer.
func pingForwarder(address string) (string, error) {
	conn, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := fmt.Fprint(conn, "*1\r\n$4\r\nPING\r\n"); err != nil {
		return "", err
	}
	b := make([]byte, 100)
	k, err := conn.Read(b)
	return strings.TrimSpace(string(b[:k])), err
}
