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

// newMembers starts forwarders that gossip, and waits until each sees all.
func newMembers(t *testing.T, s fleet.Shape, set operator.Fleet, l *logs, prepare ...func(*fleet.Rig)) *fleet.Rig {
	t.Helper()
	mesh, err := fleet.NewMesh(s.Forwarders, 17)
	if err != nil {
		t.Fatal(err)
	}
	set.Gossip = &operator.Gossip{Join: []string{mesh.Told(0)}}
	s.Mesh, s.Set, s.Env = mesh, resolved(t, set), append(s.Env, quickFleet+"=1")
	r := newRig(t, s, l, prepare...)
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

// count is how many lines of a forwarder's log have some texts, one behind the other.
func (l *logs) count(node string, texts ...string) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range l.lines[node] {
		has := true
		for _, text := range texts {
			i := strings.Index(line, text)
			if has = has && i >= 0; i >= 0 {
				line = line[i+len(text)-1:] // two may share a space
			}
		}
		if has {
			n++
		}
	}
	return n
}

// finish ends the load, waits for what is owed, and checks the rules.
func finish(t *testing.T, r *fleet.Rig, over chan struct{}, wait func()) {
	t.Helper()
	close(over)
	wait()
	r.Settle(r.Nodes, 10*time.Second)
	keptBy(t, r, standin.Rules)
}

func keptBy(t *testing.T, r *fleet.Rig, rules standin.Limits) {
	t.Helper()
	for _, one := range r.Nodes {
		if v := one.Log.Check(rules); v.Broken() {
			t.Errorf("%s: %+v", one.Name, v)
		}
	}
}

// exact has the audit's answer for each target and forwarder be what the target saw.
func exact(t *testing.T, r *fleet.Rig, nodes ...*fleet.Node) *audit.Report {
	t.Helper()
	var doors []string
	for _, one := range nodes {
		doors = append(doors, one.Process().Door())
	}
	all := audit.CollectMembers(context.Background(), doors, 5*time.Second, nil)
	for i, one := range nodes {
		for _, e := range r.World.Endpoints {
			seen, _ := one.Arrived(e.Name, time.Time{}, time.Time{})
			a := audit.Merge(all[i:i+1], version.Desired{}, &audit.CallQuery{Target: e.Name}).Calls
			if a.Total.Min > uint64(seen) || a.Total.Max < uint64(seen) {
				t.Errorf("%s has seen %d calls of %s, and the audit says %d to %d", e.Name, seen, one.Name, a.Total.Min, a.Total.Max)
			}
		}
	}
	return audit.Merge(all, version.Desired{}, nil)
}

// TestFleetParted starts eight forwarders on whose edges to each other three packets in ten are lost and the rest is late. They are cut into halves; in each one forwarder hears nothing of
// discovery, and behaves by what its half knows: what drains drains there, and a want that one half has heard of takes out the one behind there alone. One hears others and is not heard. Healed,
// the want reaches all, both go out; cured, both come back. Nobody else ever goes out, and the audit's answers are what the targets saw.
func TestFleetParted(t *testing.T) {
	t.Parallel()
	l := newLogs()
	set := operator.Fleet{Ledger: 1 << 20, Fence: operator.Duration(time.Second), Unheard: operator.Duration(2 * time.Second), Share: 0.25}
	r := newMembers(t, fleet.Shape{Forwarders: 8, Destinations: 2, Targets: 3, Left: 3 * time.Second}, set, l)
	n := r.Nodes
	bad := fleet.Fault{Loss: 0.3, Delay: 5 * time.Millisecond, Jitter: 30 * time.Millisecond}
	r.Between(n, bad)
	for _, e := range r.World.Endpoints {
		e.Set(standin.Script{Latency: 80 * time.Millisecond})
	}
	over := make(chan struct{})
	wait := r.Load(30, 8, 200, over)
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
	parted := bad
	parted.Cut = true
	r.Between(n[:4], parted)
	eventually(t, "one half misses the other", seen(n[1], straggler.Silent, n[4:]...))
	eventually(t, "and the other the one", seen(n[6], straggler.Silent, n[:4]...))
	eventually(t, "n2 sees n3, which it is not cut from", seen(n[1], straggler.Current, n[2]))
	n[0].List.Set(fleet.Fault{Silent: fleet.Down})
	n[4].List.Set(fleet.Fault{Silent: fleet.Down})
	r.World.Set(standin.Draining, r.World.Endpoints[0])
	index := n[1].Discovery.Index()
	l.await(t, "n1", "drained by what others know", 1)
	l.await(t, "n5", "drained by what others know", 1)
	deaf := time.Now().Add(200 * time.Millisecond)
	if status, said := put(t, n[2], straggler.Desired{Gen: 1, By: "test", Deadline: time.Second, Version: version.Desired{Index: index}}); status != http.StatusOK {
		t.Fatalf("%d %s", status, said)
	}
	l.await(t, "n1", "shut out", 1)
	if w := ask[FleetView](t, n[4], "/fleet").Want; w != nil {
		t.Errorf("n5 knows a want of the half that it is cut from: %+v", w)
	}
	// n4 hears its half and is not heard: it is silent for the others, and stays in.
	deafness := bad
	deafness.Silent = fleet.Up
	for _, other := range n[:3] {
		r.Mesh.Set(3, indexOf(r, other), deafness)
	}
	eventually(t, "n4 is not heard", seen(n[1], straggler.Silent, n[3]))
	r.Between(n, bad) // all is healed, but for what is lost and late
	l.await(t, "n5", "shut out", 1)
	eventually(t, "all know that two are out", func() bool {
		return seen(n[6], straggler.FencedOff, n[0], n[4])() && seen(n[1], straggler.FencedOff, n[0], n[4])()
	})
	eventually(t, "n4 is heard", seen(n[1], straggler.Current, n[3]))
	n[0].List.Set(fleet.Fault{})
	n[4].List.Set(fleet.Fault{})
	l.await(t, "n1", "let in again", 1)
	l.await(t, "n5", "let in again", 1)
	for _, one := range n {
		eventually(t, one.Name+" is ready", func() bool { return healthy(one) == nil })
	}
	finish(t, r, over, wait)
	exact(t, r, n...)
	for i, one := range n {
		if out := l.count(one.Name, "msg=\"shut out"); (out > 0) != (i == 0 || i == 4) {
			t.Errorf("%s went out %d times", one.Name, out)
		}
		if c, _ := one.Arrived(r.World.Endpoints[0].Name, deaf, time.Time{}); c > 0 {
			t.Errorf("%s has called what drains %d times since it could know", one.Name, c)
		}
	}
	if m := r.Mesh.Passed(); m == 0 {
		t.Error("nothing has passed between members")
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

// TestFleetWaits: what one forwarder is told to wait holds the others before they have called, and ends when it was told to; one whose build does not know of that is not held, and one that
// speaks a later format is.
func TestFleetWaits(t *testing.T) {
	t.Parallel()
	l := newLogs()
	r := newMembers(t, fleet.Shape{Forwarders: 8, Destinations: 1, Targets: 2, Left: 20 * time.Second}, operator.Fleet{Share: 0.25}, l, func(r *fleet.Rig) {
		r.Nodes[1].Env = []string{"SCALEROUTE_TEST_FORMAT=1"} // what it tells an older build would
		r.Nodes[2].Env = []string{"SCALEROUTE_TEST_FORMAT=9"}
	})
	n := r.Nodes
	const told = 4 * time.Second
	for _, e := range r.World.Endpoints {
		e.Set(standin.Script{Full: 1, Wait: told})
	}
	hand := func(one *fleet.Node, id string) {
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
	hand(n[2], "first")
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
		hand(one, "held-"+one.Name)
	}
	for _, one := range n[3:] {
		eventually(t, one.Name+" calls once the wait is over", func() bool { return calls(one, began) > 0 })
		if c, last := calls(one, began), time.Since(began); last < told-2*time.Second {
			t.Errorf("%s has called %d times after %v: it was not held", one.Name, c, last)
		}
	}
	// What n2 is told its format can't say: nobody is held, and nobody is confused.
	held := l.count("n4", "held by a wait")
	for _, e := range r.World.Endpoints {
		e.Set(standin.Script{Full: 1, Wait: 2 * time.Second})
	}
	before := time.Now()
	hand(n[1], "second")
	eventually(t, "n2 was told to wait", func() bool { return calls(n[1], before) > 0 })
	eventually(t, "all see n2", func() bool { return verdicts(t, n[3])["n2"].Verdict == straggler.Current })
	if now := l.count("n4", "held by a wait"); now != held {
		t.Errorf("n4 is held by what n2 can't have told")
	}
}

// TestFleetMixed starts eight forwarders that differ: two whose news are of an older format and one of a later one, clocks ten minutes before and behind, an agent that gives the same index to another
// list, one whose index runs backwards, and one whose ledger runs over again and again while it is audited; noise and old packets come to all. The audit names each, by cause and not by clock; what was
// overwritten is told; nobody is taken out by any of it.
func TestFleetMixed(t *testing.T) {
	t.Parallel()
	l := newLogs()
	set := operator.Fleet{Ledger: ledger.MinBytes, Fence: operator.Duration(time.Second), Unheard: operator.Duration(2 * time.Second), Share: 0.25}
	r := newMembers(t, fleet.Shape{Forwarders: 8, Destinations: 2, Targets: 3, Left: 3 * time.Second}, set, l, func(r *fleet.Rig) {
		for i, env := range []string{"FORMAT=1", "FORMAT=1", "FORMAT=7", "CLOCK=10m", "CLOCK=-10m"} {
			r.Nodes[i].Env = []string{"SCALEROUTE_TEST_" + env}
		}
	})
	n := r.Nodes
	over := make(chan struct{})
	wait := r.Load(30, 8, 200, over)

	// Noise, and packets that came once before.
	noise := rand.New(rand.NewPCG(3, 4))
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	old, err := hex.DecodeString("0c6e01026e31000100000000000000000000000000000000")
	if err != nil {
		t.Fatal(err)
	}
	for i := range n {
		at, err := net.ResolveUDPAddr("udp", r.Mesh.Told(i))
		if err != nil {
			t.Fatal(err)
		}
		for range 200 {
			b := make([]byte, 1+noise.IntN(1400))
			for k := range b {
				b[k] = byte(noise.Uint32())
			}
			conn.WriteTo(b, at)
			conn.WriteTo(old, at)
		}
	}

	// A new list for all; n6's agent gives its index to another one, n7's goes back.
	n[5].Discovery.Set(standin.Draining, r.World.Endpoints[4])
	for i, one := range n {
		if i != 5 {
			one.Discovery.Set(standin.Draining, r.World.Endpoints[0])
		}
	}
	index := n[0].Discovery.Index()
	for _, one := range n {
		eventually(t, one.Name+" has the list", func() bool { return ask[Versions](t, one, "/versions").Vector.List.Index >= index })
	}
	eventually(t, "n6 is seen to have diverged", func() bool { return verdicts(t, n[1])["n6"].Verdict == straggler.Diverged })
	for _, other := range []string{"n1", "n2", "n3", "n4", "n5", "n7", "n8"} {
		eventually(t, other+" is seen to be current", func() bool { return verdicts(t, n[3])[other].Verdict == straggler.Current })
	}
	n[6].Discovery.Skip(-1)
	n[6].List.Set(fleet.Fault{Cut: true}) // it asks anew, and is told of an index that it has passed
	n[6].List.Set(fleet.Fault{})

	// n8's ledger runs over, while it is audited.
	changes := 0
	audited := make(chan struct{})
	var auditing sync.WaitGroup
	auditing.Go(func() {
		for {
			select {
			case <-audited:
				return
			default:
			}
			for _, e := range r.World.Endpoints {
				before, _ := n[7].Arrived(e.Name, time.Time{}, time.Time{})
				all := audit.CollectMembers(context.Background(), []string{n[7].Process().Door()}, 5*time.Second, nil)
				after, _ := n[7].Arrived(e.Name, time.Time{}, time.Time{})
				a := audit.Merge(all, version.Desired{}, &audit.CallQuery{Target: e.Name})
				if all[0].Ledger == nil {
					t.Errorf("n8 is not audited: %s", all[0].Err)
					return
				}
				out := uint64(4) // begun, and not at the target yet, when either was read
				if a.Calls.Total.Min > uint64(after)+out || a.Calls.Total.Max+out < uint64(before) && len(a.Caveats) == 0 {
					t.Errorf("%s has seen %d to %d calls of n8, and the audit says %+v, %v", e.Name, before, after, a.Calls.Total, a.Caveats)
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
			eventually(t, "n8 has the list", func() bool { return ask[Versions](t, n[7], "/versions").Vector.List.Index > at })
		}
		if record = ask[ledger.Snapshot](t, n[7], "/ledger"); changes > 4000 {
			t.Fatalf("the ledger does not run over: %+v", record.Overwritten)
		}
	}
	close(audited)
	auditing.Wait()
	finish(t, r, over, wait)
	report := exact(t, r, n[:7]...)
	for _, m := range report.Members {
		skew := map[string]time.Duration{"n4": 10 * time.Minute, "n5": -10 * time.Minute}[m.Name]
		if d := m.Offset - skew; d < -m.OffsetError-time.Millisecond || d > m.OffsetError+time.Millisecond {
			t.Errorf("%s: its clock is said to be off by %v within %v, and is by %v", m.Name, m.Offset, m.OffsetError, skew)
		}
		if want := m.Name == "n6"; (m.Verdict == straggler.Diverged) != want {
			t.Errorf("%s is %s", m.Name, m.Verdict)
		}
	}
	// Lists went through the fleet within seconds, whatever the clocks say.
	for _, o := range report.Lists {
		for _, s := range o.Steps {
			if s.After > 30*time.Second {
				t.Errorf("list %d: %s acted on it after %v, by a clock", o.Index, s.Name, s.After)
			}
		}
		if want := o.Index == index; want != (o.Digests == 2) {
			t.Errorf("list %d has %d contents", o.Index, o.Digests)
		}
	}
	// What n8 has, has lost and had no room for is all that it called.
	record := ask[ledger.Snapshot](t, n[7], "/ledger")
	var least, most, seen uint64
	for _, e := range r.World.Endpoints {
		c, _ := n[7].Arrived(e.Name, time.Time{}, time.Time{})
		seen += uint64(c)
		got := record.CallsTo(e.Name, func(*ledger.Change) bool { return true })
		least, most = least+got.Arrived.Min, most+got.Begun.Max
	}
	if least > seen || most+record.Overwritten.Calls+record.Unrecorded.Calls.Max < seen || record.Overwritten.Calls == 0 {
		t.Errorf("n8 has made %d calls; its ledger has %d to %d, and says that %d are gone", seen, least, most, record.Overwritten.Calls)
	}
	for _, one := range n {
		if out := l.count(one.Name, "msg=\"shut out"); out > 0 {
			t.Errorf("%s went out", one.Name)
		}
	}
}

// TestFleetUpgradeOut: three of eight forwarders lack a file that is wanted, and are shut out. Each is upgraded by take-over meanwhile, and either process is killed at each step of that. Whoever is
// left is out again within the settling time, has begun no call while it was, and comes back once nothing is wanted any more.
func TestFleetUpgradeOut(t *testing.T) {
	t.Parallel()
	l := newLogs()
	set := operator.Fleet{Ledger: 1 << 20, Share: 0.5}
	r := newMembers(t, fleet.Shape{Forwarders: 8, Destinations: 2, Targets: 2, Left: 2 * time.Second, Inherited: true}, set, l)
	n := r.Nodes
	over := make(chan struct{})
	wait := r.Load(20, 4, 200, over)
	set.Gossip = &operator.Gossip{Join: []string{r.Mesh.Told(0)}}
	changed := resolved(t, set, operator.Limit{Name: "few", Attempts: 4})
	for _, one := range n[3:] {
		if err := one.SetOperators(changed); err != nil {
			t.Fatal(err)
		}
		if err := one.Process().Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		eventually(t, one.Name+" has read the file", func() bool {
			return ask[Versions](t, one, "/versions").Vector.Operators.Digest == decoded(t, changed).Digest()
		})
	}
	if status, said := put(t, n[3], straggler.Desired{Gen: 1, By: "test", Deadline: 100 * time.Millisecond, Version: version.Desired{Operators: decoded(t, changed).Digest()}}); status != http.StatusOK {
		t.Fatalf("%d %s", status, said)
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
					if err := upgradeOut(t, l, one, steps[k]); err != nil {
						t.Fatalf("%s: %v", steps[k], err)
					}
				}
			})
		}
	})
	if t.Failed() {
		return
	}
	put(t, n[4], straggler.Desired{Gen: 2, By: "test", Deadline: time.Minute})
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
	finish(t, r, over, wait)
	exact(t, r, n...)
	for i, one := range n {
		out, isOut, process := 0, false, time.Time{}
		for _, e := range ask[ledger.Snapshot](t, one, "/ledger").Entries {
			if e.Cause == ledger.CauseFencedOff {
				out++
				isOut, process = true, e.Vector.Started
			} else if e.Cause == ledger.CauseReadmitted || !e.Vector.Started.Equal(process) { // the next process begins in
				isOut = false
			}
			if isOut && len(e.Calls) > 0 {
				t.Errorf("%s has called while it was shut out (%s): %+v", one.Name, e.Cause, e.Calls)
			}
		}
		if (out > 0) != (i < 3) {
			t.Errorf("%s was out %d times", one.Name, out)
		}
	}
}

// upgradeOut upgrades a forwarder that is shut out, with a kill at a step; it ends with one that is.
func upgradeOut(t *testing.T, l *logs, one *fleet.Node, step string) error {
	isNew := strings.HasPrefix(step, "new")
	ended := func(p *fleet.Process) (time.Time, error) {
		one.SetAway(true) // clients are told: what they have handed in may get no answer
		at := time.Now()
		return at, p.Kill()
	}
	reached := l.count(one.Name, "reached "+step)
	if !isNew && step != "none" { // the process that hands over is to stop at a step
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
	back := l.count(one.Name, "did not take over")
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
		if killed, err = ended(next); err != nil {
			return err
		}
		if step != "new: owned" && step != "new: serving" { // the old one goes on, out as it was
			l.await(t, one.Name, "did not take over", back+1)
			eventually(t, "the old process says no again", func() bool {
				got, err := ping(old.Address())
				return err == nil && got != "+PONG"
			})
			if healthy(one) == nil {
				return errors.New("ready, though it is shut out")
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
		if killed, err = ended(old); err != nil {
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

func ping(address string) (string, error) {
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
