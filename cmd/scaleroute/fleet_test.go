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

// logs are the lines of all processes, to be waited for.
type logs struct {
	mu    sync.Mutex
	lines map[string][]string
	more  sync.Cond
}

func newLogs() *logs {
	l := &logs{lines: map[string][]string{}}
	l.more.L = &l.mu
	return l
}

func (l *logs) told(node, line string) {
	l.mu.Lock()
	l.lines[node] = append(l.lines[node], line)
	l.mu.Unlock()
	l.more.Broadcast()
}

// await waits for a line with a text, the nth of them.
func (l *logs) await(t *testing.T, node, text string, n int) {
	t.Helper()
	late := false
	timer := time.AfterFunc(patience, func() {
		l.mu.Lock()
		late = true
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
		if late {
			t.Fatalf("%s: no %d lines with %q; its log:\n%s", node, n, text, strings.Join(l.lines[node], "\n"))
		}
		l.more.Wait()
	}
}

func resolved(t *testing.T, f operator.Fleet, limits ...operator.Limit) []byte {
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

func newRig(t *testing.T, s fleet.Shape, l *logs, prepare ...func(*fleet.Rig)) *fleet.Rig {
	t.Helper()
	s.Dir, s.Command, s.Told, s.Seed = t.TempDir(), append([]string{os.Args[0], "-gossip-host", os.Args[0]}, s.Command...), l.told, 17
	s.Env = append(s.Env, "SCALEROUTE_TEST_MAIN=1", endsAtOnce)
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

// ask makes one call at a forwarder's door.
func ask[T any](t *testing.T, n *fleet.Node, path string) (v T) {
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

// eventually waits until something is so.
func eventually(t *testing.T, what string, so func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !so(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", patience, what)
		}
	}
}

// TestFleetAudit starts eight forwarders, with a relay on each edge. While messages flow, one is stopped right before the first byte of a call, and woken after that
// call's target was taken away and its address given to another; one hears nothing of discovery; one misses a reload; one is killed; one loses its folder,
// one finds it damaged, and two find each other's. No rule is broken, and each answer of the ledgers is what the targets' and the agents' own records say.
func TestFleetAudit(t *testing.T) {
	l := newLogs()
	stop := filepath.Join(t.TempDir(), "stop")
	set := operator.Fleet{Ledger: 1 << 20, Fence: operator.Duration(400 * time.Millisecond), Unheard: operator.Duration(time.Minute)}
	r := newRig(t, fleet.Shape{Forwarders: 8, Destinations: 2, Targets: 3, Left: 4 * time.Second, Set: resolved(t, set), Env: []string{"SCALEROUTE_TEST_STOP=" + stop}, Command: []string{"-log-steps"}}, l)
	n := r.Nodes
	for _, e := range r.World.Endpoints { // slow, so that a forwarder has use for all three of a destination
		e.Set(standin.Script{Latency: 80 * time.Millisecond})
	}
	over := make(chan struct{})
	wait := r.Load(60, 12, 200, over)
	busy := func(nodes ...*fleet.Node) { // each has called every target
		for _, one := range nodes {
			for _, e := range r.World.Endpoints[:6] {
				eventually(t, one.Name+" calls "+e.Name, func() bool { c, _ := one.Arrived(e.Name, time.Time{}, time.Time{}); return c > 0 })
			}
		}
	}
	busy(n...)

	victim := r.World.Endpoints[0]
	n[1].List.Set(fleet.Fault{Silent: fleet.Down})
	if err := os.WriteFile(stop+".n1", nil, 0o600); err != nil {
		t.Fatal(err)
	}
	eventually(t, "n1 is stopped before the first byte of a call", func() bool { _, err := os.Stat(stop + ".n1"); return errors.Is(err, os.ErrNotExist) })
	stopped := time.Now()

	// A new list: one target drains. The others hear of it; n1 sleeps, n2 is cut off.
	r.World.Set(standin.Draining, victim)
	index := n[2].Discovery.Index()
	for _, one := range n[2:] {
		eventually(t, one.Name+" has the list", func() bool { return ask[Versions](t, one, "/versions").Vector.List.Index >= index })
	}
	// What operators set: all but n3 are told to read it.
	changed := resolved(t, set, operator.Limit{Name: "few", Attempts: 4})
	digest := decoded(t, changed).Digest()
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
		eventually(t, one.Name+" has read the file", func() bool { return ask[Versions](t, one, "/versions").Vector.Operators.Digest == digest })
	}
	if got := ask[Versions](t, n[2], "/versions").Vector; got.Operators.Digest == digest || got.Operators.LoadCount != 1 {
		t.Errorf("n3 has missed the reload, and says %+v", got.Operators)
	}
	old, _ := n[1].Arrived(victim.Name, time.Time{}, time.Time{})
	eventually(t, "n2, which has not heard, calls the target that drains", func() bool { c, _ := n[1].Arrived(victim.Name, time.Time{}, time.Time{}); return c > old+2 })

	// Its address becomes another's, and everybody who listens hears so; n2 too, from now on.
	n[1].List.Set(fleet.Fault{})
	eventually(t, "n2 has the list", func() bool { return ask[Versions](t, n[1], "/versions").Vector.List.Index >= index })
	r.World.Set(standin.Deleted, victim)
	heir := r.Replace(victim, 1-victim.Group)
	for _, e := range r.World.Of(heir.Group) { // so that there is use for a new one
		e.Set(standin.Script{Latency: 400 * time.Millisecond})
	}
	r.World.Set(standin.Serving, heir)
	for _, one := range n[1:] {
		eventually(t, one.Name+" calls the new target", func() bool { c, _ := one.Arrived(heir.Name, time.Time{}, time.Time{}); return c > 0 })
	}
	if err := n[0].Continue(); err != nil {
		t.Fatal(err)
	}
	l.await(t, "n1", "calls begin again", 1)
	for _, e := range r.World.Endpoints[1:] {
		eventually(t, "n1 calls "+e.Name, func() bool { c, _ := n[0].Arrived(e.Name, stopped, time.Time{}); return c > 0 })
	}

	// Ends of processes and of folders.
	gone := map[*fleet.Node]time.Time{} // of those whose folder does not tell of the process before
	for _, step := range []struct {
		node    *fleet.Node
		between func() error
	}{{n[3], nil}, {n[4], n[4].LoseFolder}, {n[5], func() error { return n[5].DamageFolder(3) }}} {
		if err := step.node.Restart(step.node.Kill, func() error {
			if step.between == nil {
				return nil
			}
			gone[step.node] = time.Now()
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
	gone[n[6]], gone[n[7]] = time.Now(), time.Now()
	for _, one := range n[6:] {
		if err := one.Start(); err != nil {
			t.Fatal(err)
		}
		one.SetAway(false)
		one.Log.Restarted(standin.Restart{Ended: ended, Gone: ended, Ready: time.Now()})
	}
	for _, one := range n[3:] {
		eventually(t, one.Name+" calls again", func() bool { c, _ := one.Arrived(heir.Name, restarted, time.Time{}); return c > 0 })
	}
	close(over)
	wait()
	if open := r.Settle(n[:4], 10*time.Second); open > 0 { // what the others held may be gone with their folders
		t.Errorf("%d messages are not over", open)
	}

	// The rules hold for all of them: but for those whose folder was taken away, which is the end of a machine.
	for i, one := range n {
		v := one.Log.Check(standin.Rules)
		if i >= 4 {
			v.Lost, v.Twice = 0, 0 // what it held is gone, or another's
		}
		if v.Broken() {
			t.Errorf("%s: %+v", one.Name, v)
		}
		if v.Delivered < 50 {
			t.Errorf("%s has delivered %d: this test tests too little", one.Name, v.Delivered)
		}
	}
	// Each ledger says what the targets saw, to the call; the two with each other's folder have sent each other's messages, and count together.
	for i, group := range [][]*fleet.Node{n[:1], n[1:2], n[2:3], n[3:4], n[4:5], n[5:6], n[6:]} {
		killed := i >= 3
		for _, e := range r.World.Endpoints {
			var begun, arrived, older ledger.Count
			var lastSeen, lastSaid time.Time
			seen := 0
			for _, one := range group {
				record := ask[ledger.Snapshot](t, one, "/ledger")
				from := gone[one]
				count, last := one.Arrived(e.Name, from, time.Time{})
				seen += count
				got := record.CallsTo(e.Name, func(c *ledger.Change) bool { return !c.At.Before(from) })
				begun, arrived = begun.Plus(got.Begun), arrived.Plus(got.Arrived)
				older = older.Plus(record.CallsTo(e.Name, func(c *ledger.Change) bool { return !c.At.Before(from) && c.Vector.List.Index < index }).Begun)
				if last.After(lastSeen) {
					lastSeen = last
				}
				if got.Last.After(lastSaid) {
					lastSaid = got.Last
				}
			}
			if late := lastSeen.Sub(lastSaid); seen > 0 && (late < -2*time.Second || late > 2*time.Second) { // it may be connecting, or wait for a core
				t.Errorf("%s: %s was called last at %v, and the ledger says %v", group[0].Name, e.Name, lastSeen, lastSaid)
			}
			if arrived.Min > uint64(seen) || arrived.Max < uint64(seen) {
				t.Errorf("%s: %s saw %d calls, and the ledger says %+v", group[0].Name, e.Name, seen, arrived)
			}
			// In doubt are the calls that were written and got no answer, as the module heard: those that timed out or were cut off, those called off
			// by the byte that they had come to, and those that a kill cut off.
			doubt, mostCut := int(arrived.Max-arrived.Min), 0
			if killed {
				mostCut = 12
			}
			eventually(t, fmt.Sprintf("%s: %s: a line for each call in doubt, %+v, and killed: %v", group[0].Name, e.Name, arrived, killed), func() bool {
				ended, off := 0, 0
				for _, one := range group {
					outcome := fmt.Sprintf("step: outcome dest=%d target=%q ", e.Group, e.Name)
					ended += l.count(one.Name, outcome, " result=timedout ") + l.count(one.Name, outcome, " result=reset ")
					off += l.count(one.Name, outcome, " result=cancelled ")
				}
				return (killed || doubt >= ended) && doubt <= ended+off+mostCut
			})
			switch { // under lists from before the drain: all calls to the one that drained, and none to its heir
			case e == victim && older != begun:
				t.Errorf("%s: %+v calls to the target that drains, %+v of them under an older list", group[0].Name, begun, older)
			case e == heir && older.Max > 0:
				t.Errorf("%s: the new target was called under an old list: %+v", group[0].Name, older)
			}
		}
	}
	// The audit of all: who called the target that drained, under lists from before; and who acted on the list.
	doors := []string{}
	for _, one := range n {
		doors = append(doors, one.Process().Door())
	}
	report := audit.Merge(audit.CollectMembers(t.Context(), doors, 5*time.Second, nil), version.Desired{}, &audit.CallQuery{Target: victim.Name, BelowIndex: index})
	for _, by := range report.Calls.Members {
		i := slices.IndexFunc(n, func(one *fleet.Node) bool { return one.Name == by.Name })
		if seen, _ := n[i].Arrived(victim.Name, time.Time{}, time.Time{}); i < 3 && by.Arrived != (ledger.Count{Min: uint64(seen), Max: uint64(seen)}) {
			t.Errorf("the audit has %s call %s %+v times, and it saw %d", by.Name, victim.Name, by.Arrived, seen)
		}
		if by.LastVector.List.Index >= index && by.Begun.Max > 0 {
			t.Errorf("%s: %+v", by.Name, by)
		}
	}
	for _, m := range report.Members {
		if m.Verdict != straggler.Current || m.Offset < -time.Second || m.Offset > time.Second {
			t.Errorf("%s is %s, its clock %v off", m.Name, m.Verdict, m.Offset)
		}
	}
	if i := slices.IndexFunc(report.Lists, func(o audit.Rollout) bool { return o.Index == index }); i < 0 || report.Lists[i].Acted != len(n) || report.Lists[i].Digests != 1 {
		t.Errorf("the list that drains it: %+v", report.Lists)
	}
	// The one that slept: fenced, no call until it was confirmed, and by then the list is in force.
	fenced, open := false, false
	for _, e := range ask[ledger.Snapshot](t, n[0], "/ledger").Entries {
		if fenced = fenced || e.Cause == ledger.CauseFenced; e.Cause == ledger.CauseFenced && len(e.Calls) > 0 {
			t.Errorf("n1 has called while it was fenced: %+v", e.Calls)
		}
		if e.Cause == ledger.CauseConfirmed {
			if open = true; !fenced || e.Vector.List.Index < index {
				t.Errorf("n1 calls again under list %d, and %d was told meanwhile", e.Vector.List.Index, index)
			}
		}
	}
	if !open {
		t.Error("n1 was not fenced, or not confirmed")
	}
	if got := ask[ledger.Snapshot](t, n[5], "/ledger"); len(got.Damage) == 0 && got.Overwritten.UnreadSegments == 0 {
		t.Error("n6 does not say that its folder was damaged")
	}
	if got := ask[ledger.Snapshot](t, n[6], "/ledger"); len(got.Foreign) == 0 {
		t.Error("n7 does not say that its folder was another's")
	}
	// n4 was killed: it goes on counting where it was.
	if got, err := ledger.Read(journal.DirFS(n[3].Folder()), "n4"); err != nil || len(got.Caveats()) > 0 || lastStart(got.Entries) == 0 {
		t.Errorf("n4: %+v (%v)", got, err)
	}
}

func lastStart(list []ledger.Entry) int {
	for i := len(list) - 1; i > 0; i-- {
		if list[i].Cause == ledger.CauseStart {
			return i
		}
	}
	return 0
}

func decoded(t *testing.T, text []byte) *operator.Config {
	t.Helper()
	c, err := operator.Decode("test", text)
	if err != nil {
		t.Fatal(err)
	}
	return c
}
