package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"scaleroute/internal/audit"
	"scaleroute/internal/door"
	"scaleroute/internal/fleet"
	"scaleroute/internal/journal"
	"scaleroute/internal/ledger"
	"scaleroute/internal/operator"
	"scaleroute/internal/standin"
	"scaleroute/internal/straggler"
	"scaleroute/internal/version"
)

// fleetLogs collects the log lines of all processes by forwarder, so that a test can wait for them.
type fleetLogs struct {
	mu    sync.Mutex
	lines map[string][]string
	more  sync.Cond
}

func newFleetLogs() *fleetLogs {
	l := &fleetLogs{lines: map[string][]string{}}
	l.more.L = &l.mu
	return l
}

func (l *fleetLogs) add(node, line string) {
	l.mu.Lock()
	l.lines[node] = append(l.lines[node], line)
	l.mu.Unlock()
	l.more.Broadcast()
}

// await waits until n lines of a forwarder's log contain the text.
func (l *fleetLogs) await(t *testing.T, node, text string, n int) {
	t.Helper()
	isTimedOut := false
	timer := time.AfterFunc(testTimeout, func() {
		l.mu.Lock()
		isTimedOut = true
		l.mu.Unlock()
		l.more.Broadcast()
	})
	defer timer.Stop()
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		have := 0
		for _, line := range l.lines[node] {
			if strings.Contains(line, text) {
				have++
			}
		}
		if have >= n {
			return
		}
		if isTimedOut {
			t.Fatalf("%s: fewer than %d log lines contain %q; the log:\n%s", node, n, text, strings.Join(l.lines[node], "\n"))
		}
		l.more.Wait()
	}
}

// operatorsFile returns a resolved operators' file.
func operatorsFile(t *testing.T, f operator.Fleet, limits ...operator.Limit) []byte {
	t.Helper()
	c := operator.Default()
	c.Fleet, c.Limits = &f, limits
	text, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := operator.Decode("test", text); err != nil {
		t.Fatal(err)
	}
	return text
}

// newFleetRig starts a fleet of forwarders, each marked as restarting until all of them serve.
func newFleetRig(t *testing.T, s fleet.Shape, l *fleetLogs, prepare ...func(*fleet.Rig)) *fleet.Rig {
	t.Helper()
	s.Dir, s.Command, s.Told, s.Seed = t.TempDir(), append([]string{os.Args[0], "-gossip-host", os.Args[0]}, s.Command...), l.add, 17
	s.Env = append(s.Env, "SCALEROUTE_TEST_MAIN=1", exitWithoutRaceDelay)
	r, err := fleet.New(s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	for _, do := range prepare {
		do(r)
	}
	for _, n := range r.Nodes {
		n.SetAway(true)
	}
	if err := r.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	for _, n := range r.Nodes {
		n.SetAway(false)
	}
	return r
}

// getJSON reads one resource of a forwarder's admin API.
func getJSON[T any](t *testing.T, n *fleet.Node, path string) (v T) {
	t.Helper()
	text, err := door.NewClient(n.Process().Door()).Call(context.Background(), http.MethodGet, path)
	if err == nil {
		err = json.Unmarshal([]byte(text), &v)
	}
	if err != nil {
		t.Fatalf("%s: %s: %v", n.Name, path, err)
	}
	return v
}

// eventually waits until a condition is true.
func eventually(t *testing.T, what string, isTrue func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !isTrue(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not true within %v: %s", testTimeout, what)
		}
	}
}

// TestFleetAudit starts eight forwarders that reach each other, discovery and the endpoints through relays. While messages flow, each of these
// faults happens: n1 is stopped right before the first byte of a call and resumed after that endpoint was withdrawn and its address given to
// another one; n2 receives nothing from discovery; n3 misses a reload; n4 is killed; n5 loses its state folder, n6 finds it damaged, and n7 and
// n8 find each other's. No rule is broken, and each audit log agrees with the records of the endpoints and the agents.
func TestFleetAudit(t *testing.T) {
	l := newFleetLogs()
	stop := filepath.Join(t.TempDir(), "stop")
	set := operator.Fleet{LedgerBytes: 1 << 20, Lease: operator.Duration(400 * time.Millisecond), DiscoveryWait: operator.Duration(time.Minute)}
	r := newFleetRig(t, fleet.Shape{Forwarders: 8, Destinations: 2, Targets: 3, Left: 4 * time.Second, Set: operatorsFile(t, set), Env: []string{"SCALEROUTE_TEST_STOP=" + stop}, Command: []string{"-log-steps"}}, l)
	n := r.Nodes
	for _, e := range r.World.Endpoints { // slow, so that a forwarder needs all three endpoints of a destination
		e.Set(standin.Script{Latency: 80 * time.Millisecond})
	}
	done := make(chan struct{})
	wait := r.Load(60, 12, 200, done)
	awaitCalls := func(nodes ...*fleet.Node) { // waits until each node has called every endpoint
		for _, one := range nodes {
			for _, e := range r.World.Endpoints[:6] {
				eventually(t, one.Name+" calls "+e.Name, func() bool { c, _ := one.Arrived(e.Name, time.Time{}, time.Time{}); return c > 0 })
			}
		}
	}
	awaitCalls(n...)

	victim := r.World.Endpoints[0]
	n[1].List.Set(fleet.Fault{Silent: fleet.Down})
	if err := os.WriteFile(stop+".n1", nil, 0o600); err != nil {
		t.Fatal(err)
	}
	eventually(t, "n1 is stopped before the first byte of a call", func() bool { _, err := os.Stat(stop + ".n1"); return errors.Is(err, os.ErrNotExist) })
	stopped := time.Now()

	// A new list: one endpoint drains. All receive it but n1, which is stopped, and n2, which is cut off from discovery.
	r.World.Set(standin.Draining, victim)
	index := n[2].Discovery.Index()
	for _, one := range n[2:] {
		eventually(t, one.Name+" has the list", func() bool { return getJSON[VersionReport](t, one, "/versions").Vector.List.Index >= index })
	}
	// A new operators' file: all but n1 and n3 are sent SIGHUP.
	changed := operatorsFile(t, set, operator.Limit{Name: "few", MaxAttempts: 4})
	digest := decodeConfig(t, changed).Digest()
	for _, one := range n {
		if err := one.SetOperators(changed); err != nil {
			t.Fatal(err)
		}
		if one != n[2] && one != n[0] {
			if err := one.Process().Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
		}
	}
	for _, one := range n[3:] {
		eventually(t, one.Name+" has read the file", func() bool { return getJSON[VersionReport](t, one, "/versions").Vector.Operators.Digest == digest })
	}
	if got := getJSON[VersionReport](t, n[2], "/versions").Vector; got.Operators.Digest == digest || got.Operators.LoadCount != 1 {
		t.Errorf("n3 has missed the reload, and reports %+v", got.Operators)
	}
	old, _ := n[1].Arrived(victim.Name, time.Time{}, time.Time{})
	eventually(t, "n2, which has the old list, calls the draining endpoint", func() bool { c, _ := n[1].Arrived(victim.Name, time.Time{}, time.Time{}); return c > old+2 })

	// Its address is given to another endpoint. Every running forwarder receives the list, n2 too from now on.
	n[1].List.Set(fleet.Fault{})
	eventually(t, "n2 has the list", func() bool { return getJSON[VersionReport](t, n[1], "/versions").Vector.List.Index >= index })
	r.World.Set(standin.Deleted, victim)
	successor := r.Replace(victim, 1-victim.Group)
	for _, e := range r.World.Of(successor.Group) { // so that the new endpoint is needed
		e.Set(standin.Script{Latency: 400 * time.Millisecond})
	}
	r.World.Set(standin.Serving, successor)
	for _, one := range n[1:] {
		eventually(t, one.Name+" calls the new endpoint", func() bool { c, _ := one.Arrived(successor.Name, time.Time{}, time.Time{}); return c > 0 })
	}
	if err := n[0].Continue(); err != nil {
		t.Fatal(err)
	}
	l.await(t, "n1", "calls begin again", 1)
	for _, e := range r.World.Endpoints[1:] {
		eventually(t, "n1 calls "+e.Name, func() bool { c, _ := n[0].Arrived(e.Name, stopped, time.Time{}); return c > 0 })
	}

	// Processes are killed; state folders are lost, damaged or swapped.
	folderLostAt := map[*fleet.Node]time.Time{} // for nodes whose folder has no record of their earlier process
	for _, step := range []struct {
		node    *fleet.Node
		between func() error
	}{{n[3], nil}, {n[4], n[4].LoseFolder}, {n[5], func() error { return n[5].DamageFolder(3) }}} {
		if err := step.node.Restart(step.node.Kill, func() error {
			if step.between == nil {
				return nil
			}
			folderLostAt[step.node] = time.Now()
			return step.between()
		}); err != nil {
			t.Fatal(err)
		}
	}
	restarted := time.Now()
	ended := time.Now()
	if err := errors.Join(n[6].Kill(), n[7].Kill()); err != nil {
		t.Fatal(err)
	}
	fleet.SwapFolders(n[6], n[7])
	folderLostAt[n[6]], folderLostAt[n[7]] = time.Now(), time.Now()
	for _, one := range n[6:] {
		if err := one.Start(); err != nil {
			t.Fatal(err)
		}
		one.SetAway(false)
		one.Log.Restarted(standin.Restart{Ended: ended, Gone: ended, Ready: time.Now()})
	}
	for _, one := range n[3:] {
		eventually(t, one.Name+" calls again", func() bool { c, _ := one.Arrived(successor.Name, restarted, time.Time{}); return c > 0 })
	}
	close(done)
	wait()
	if open := r.Settle(n[:4], 10*time.Second); open > 0 { // messages of the other nodes may be lost with their folders
		t.Errorf("%d messages are not completed", open)
	}

	// The rules hold for every node, but a node that has lost its folder may lose and repeat messages, as when its machine is lost.
	for i, one := range n {
		v := one.Log.Check(standin.Rules)
		if i >= 4 {
			v.Lost, v.Twice = 0, 0 // its messages are lost, or are another node's
		}
		if v.Broken() {
			t.Errorf("%s: %+v", one.Name, v)
		}
		if v.Delivered < 50 {
			t.Errorf("%s has delivered only %d messages, too few for this test", one.Name, v.Delivered)
		}
	}
	// Each audit log agrees with the endpoints' records to the call. The two nodes with swapped folders have sent each other's messages, so they are counted together.
	for i, group := range [][]*fleet.Node{n[:1], n[1:2], n[2:3], n[3:4], n[4:5], n[5:6], n[6:]} {
		killed := i >= 3
		for _, e := range r.World.Endpoints {
			var begun, arrived, older ledger.Count
			var lastSeen, lastLogged time.Time
			seen := 0
			for _, one := range group {
				record := getJSON[ledger.Snapshot](t, one, "/ledger")
				from := folderLostAt[one]
				count, last := one.Arrived(e.Name, from, time.Time{})
				seen += count
				got := record.CallsTo(e.Name, func(c *ledger.Change) bool { return !c.At.Before(from) })
				begun, arrived = begun.Plus(got.Begun), arrived.Plus(got.Arrived)
				older = older.Plus(record.CallsTo(e.Name, func(c *ledger.Change) bool { return !c.At.Before(from) && c.Vector.List.Index < index }).Begun)
				if last.After(lastSeen) {
					lastSeen = last
				}
				if got.Last.After(lastLogged) {
					lastLogged = got.Last
				}
			}
			if late := lastSeen.Sub(lastLogged); seen > 0 && (late < -2*time.Second || late > 2*time.Second) { // allows for connection set-up and for a wait for a core
				t.Errorf("%s: the last call to %s was at %v, and the audit log has %v", group[0].Name, e.Name, lastSeen, lastLogged)
			}
			if arrived.Min > uint64(seen) || arrived.Max < uint64(seen) {
				t.Errorf("%s: %s received %d calls, and the audit log has %+v", group[0].Name, e.Name, seen, arrived)
			}
			// The audit log is uncertain about calls that were written and got no answer: those that timed out or whose connection was reset, those
			// that were cancelled, depending on how many bytes were written, and those that a kill cut off.
			uncertain, maxCutOff := int(arrived.Max-arrived.Min), 0
			if killed {
				maxCutOff = 12
			}
			eventually(t, fmt.Sprintf("%s: %s: a log line for each uncertain call, %+v, killed: %v", group[0].Name, e.Name, arrived, killed), func() bool {
				ended, cancelled := 0, 0
				for _, one := range group {
					outcome := fmt.Sprintf("step: outcome dest=%d target=%q ", e.Group, e.Name)
					ended += l.count(one.Name, outcome, " result=timedout ") + l.count(one.Name, outcome, " result=reset ")
					cancelled += l.count(one.Name, outcome, " result=cancelled ")
				}
				return (killed || uncertain >= ended) && uncertain <= ended+cancelled+maxCutOff
			})
			switch { // lists from before the drain explain all calls to the drained endpoint, and none to its successor
			case e == victim && older != begun:
				t.Errorf("%s: %+v calls to the draining endpoint, only %+v of them under an older list", group[0].Name, begun, older)
			case e == successor && older.Max > 0:
				t.Errorf("%s: the new endpoint was called under an old list: %+v", group[0].Name, older)
			}
		}
	}
	// The audit of the fleet: which nodes called the draining endpoint under older lists, and which acted on the new list.
	addresses := []string{}
	for _, one := range n {
		addresses = append(addresses, one.Process().Door())
	}
	report := audit.Merge(audit.CollectMembers(t.Context(), addresses, 5*time.Second, nil), version.Desired{}, &audit.CallQuery{Target: victim.Name, BelowIndex: index})
	for _, by := range report.Calls.Members {
		i := slices.IndexFunc(n, func(one *fleet.Node) bool { return one.Name == by.Name })
		if seen, _ := n[i].Arrived(victim.Name, time.Time{}, time.Time{}); i < 3 && by.Arrived != (ledger.Count{Min: uint64(seen), Max: uint64(seen)}) {
			t.Errorf("the audit says that %s called %s %+v times, and the endpoint received %d calls", by.Name, victim.Name, by.Arrived, seen)
		}
		if by.LastVector.List.Index >= index && by.Begun.Max > 0 {
			t.Errorf("%s: %+v", by.Name, by)
		}
	}
	for _, m := range report.Members {
		if m.Verdict != straggler.Current || m.Offset < -time.Second || m.Offset > time.Second {
			t.Errorf("%s is %s, with a clock offset of %v", m.Name, m.Verdict, m.Offset)
		}
	}
	if i := slices.IndexFunc(report.Lists, func(o audit.Rollout) bool { return o.Index == index }); i < 0 || report.Lists[i].Acted != len(n) || report.Lists[i].Digests != 1 {
		t.Errorf("the list with the drain: %+v", report.Lists)
	}
	// The stopped node: it is fenced and makes no call until its list is confirmed, and by then the new list is in effect.
	isFenced, isReopened := false, false
	for _, e := range getJSON[ledger.Snapshot](t, n[0], "/ledger").Entries {
		if isFenced = isFenced || e.Cause == ledger.CauseFenced; e.Cause == ledger.CauseFenced && len(e.Calls) > 0 {
			t.Errorf("n1 made calls while it was fenced: %+v", e.Calls)
		}
		if e.Cause == ledger.CauseConfirmed {
			if isReopened = true; !isFenced || e.Vector.List.Index < index {
				t.Errorf("n1 calls again under list %d, though %d was published meanwhile", e.Vector.List.Index, index)
			}
		}
	}
	if !isReopened {
		t.Error("n1 was not fenced, or not confirmed")
	}
	if got := getJSON[ledger.Snapshot](t, n[5], "/ledger"); len(got.Damage) == 0 && got.Overwritten.UnreadSegments == 0 {
		t.Error("n6 does not report that its folder was damaged")
	}
	if got := getJSON[ledger.Snapshot](t, n[6], "/ledger"); len(got.Foreign) == 0 {
		t.Error("n7 does not report that its folder was another member's")
	}
	// n4 was killed: its audit log continues without a gap.
	if got, err := ledger.Read(journal.DirFS(n[3].Folder()), "n4"); err != nil || len(got.Caveats()) > 0 || lastStart(got.Entries) == 0 {
		t.Errorf("n4: %+v (%v)", got, err)
	}
}

// lastStart returns the index of the last start of a process in an audit log, or 0 if there is only the first entry.
func lastStart(list []ledger.Entry) int {
	for i := len(list) - 1; i > 0; i-- {
		if list[i].Cause == ledger.CauseStart {
			return i
		}
	}
	return 0
}

func decodeConfig(t *testing.T, text []byte) *operator.Config {
	t.Helper()
	c, err := operator.Decode("test", text)
	if err != nil {
		t.Fatal(err)
	}
	return c
}
