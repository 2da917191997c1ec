package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"scaleroute/internal/fleet"
	"scaleroute/internal/ledger"
	"scaleroute/internal/operator"
	"scaleroute/internal/standin"
	"scaleroute/internal/straggler"
	"scaleroute/internal/version"
)

// put has a want put at a forwarder's door, and returns the status.
func put(t *testing.T, n *fleet.Node, w straggler.Desired) (int, string) {
	t.Helper()
	text, err := json.Marshal(w)
	if err != nil {
		t.Fatal(err)
	}
	return putText(t, n, text)
}

func putText(t *testing.T, n *fleet.Node, text []byte) (int, string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPut, "http://"+n.Process().Door()+"/fleet/want", bytes.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	said, _ := io.ReadAll(io.LimitReader(resp.Body, 4096))
	return resp.StatusCode, string(said)
}

// verdicts is how one forwarder sees the fleet.
func verdicts(t *testing.T, n *fleet.Node) map[string]straggler.View {
	t.Helper()
	all := map[string]straggler.View{}
	for _, v := range ask[FleetView](t, n, "/fleet").Members {
		all[v.Name] = v
	}
	return all
}

// TestFleetWant starts eight forwarders that gossip. One hears nothing of discovery: what drains reaches it by the others; behind a want past its deadline it takes itself out,
// says no and answers what it holds; cured, it comes back by itself. One that missed a signal reads the file unasked. One that is stopped, two that are one, and three
// that are killed are named. A want that nobody can reach takes nobody out. No rule is broken.
func TestFleetWant(t *testing.T) {
	t.Parallel()
	l := newLogs()
	mesh, err := fleet.NewMesh(8, 17)
	if err != nil {
		t.Fatal(err)
	}
	set := operator.Fleet{Ledger: 1 << 20, Fence: operator.Duration(time.Second), Unheard: operator.Duration(2 * time.Second), Share: 0.25,
		Gossip: &operator.Gossip{Join: []string{mesh.Told(0)}}}
	r := newRig(t, fleet.Shape{Forwarders: 8, Destinations: 2, Targets: 3, Left: 3 * time.Second, Mesh: mesh, Set: resolved(t, set), Env: []string{quickFleet + "=1"}}, l)
	n := r.Nodes
	for _, e := range r.World.Endpoints {
		e.Set(standin.Script{Latency: 80 * time.Millisecond})
	}
	over := make(chan struct{})
	wait := r.Load(40, 8, 200, over)
	all := func(of *fleet.Node, verdict straggler.Verdict, names ...string) func() bool {
		return func() bool {
			v := verdicts(t, of)
			for _, name := range names {
				if v[name].Verdict != verdict {
					return false
				}
			}
			return true
		}
	}
	t.Cleanup(func() {
		if t.Failed() {
			l.mu.Lock()
			defer l.mu.Unlock()
			for _, one := range n {
				t.Logf("%s: %s", one.Name, strings.Join(l.lines[one.Name], "\n"))
			}
		}
	})
	for _, one := range n {
		eventually(t, one.Name+" sees all", func() bool { return all(one, straggler.Current, "n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8")() })
	}

	// n1 is cut off from discovery; a target drains; the others know.
	victim := r.World.Endpoints[0]
	eventually(t, "n1 calls the target", func() bool { c, _ := n[0].Arrived(victim.Name, time.Time{}, time.Time{}); return c > 0 })
	n[0].List.Set(fleet.Fault{Silent: fleet.Down})
	r.World.Set(standin.Draining, victim)
	index := n[1].Discovery.Index()
	l.await(t, "n1", "drained by what others know", 1)
	deaf := time.Now().Add(200 * time.Millisecond) // what was being connected is over
	eventually(t, "n2 sees n1 behind", all(n[1], straggler.Stale, "n1"))
	if v := verdicts(t, n[1])["n1"]; len(v.Mismatches) != 1 || v.Mismatches[0] != version.ListOutdated || v.Remedy == "" {
		t.Errorf("n1 lacks %+v", v)
	}
	// It is wanted. n1 can't reach that: it goes out, alone, and says why.
	if status, said := put(t, n[2], straggler.Desired{Gen: 1, By: "test", Deadline: time.Second, Version: version.Desired{Index: index}}); status != http.StatusOK {
		t.Fatalf("%d %s", status, said)
	}
	l.await(t, "n1", "shut out", 1)
	client := (&process{t: t, address: n[0].Process().Address()}).client()
	if got := client.try("PING"); got == "+PONG" {
		t.Error("n1 is shut out, and says yes")
	}
	eventually(t, "all know that n1 is out", all(n[5], straggler.FencedOff, "n1"))
	if v := verdicts(t, n[5])["n1"]; v.Reason == "" || v.Remedy == "" {
		t.Errorf("n1 is out without a reason: %+v", v)
	}
	for _, one := range n[1:] {
		if err := healthy(one); err != nil {
			t.Errorf("%s: %v", one.Name, err)
		}
	}
	if err := healthy(n[0]); err == nil {
		t.Error("n1 is shut out, and ready")
	}
	// Cured, it comes back; and calls, but not what drains.
	n[0].List.Set(fleet.Fault{})
	l.await(t, "n1", "let in again", 1)
	eventually(t, "n1 is ready", func() bool { return healthy(n[0]) == nil })
	if c, _ := n[0].Arrived(victim.Name, deaf, time.Time{}); c > 0 {
		t.Errorf("n1 has called the target that drains %d times since it could know", c)
	}

	// The file: n2 does not hear the signal. It is wanted, and read.
	changed := resolved(t, set, operator.Limit{Name: "few", Attempts: 4})
	digest := decoded(t, changed).Digest()
	for _, one := range n {
		if err := one.SetOperators(changed); err != nil {
			t.Fatal(err)
		}
	}
	if status, said := put(t, n[6], straggler.Desired{Gen: 2, By: "test", Deadline: time.Minute, Version: version.Desired{Index: index, Operators: digest}}); status != http.StatusOK {
		t.Fatalf("%d %s", status, said)
	}
	for _, one := range n {
		eventually(t, one.Name+" has read the file", func() bool { return ask[Versions](t, one, "/versions").Vector.Operators.Digest == digest })
	}
	// Of two wants of one generation all take the same, and the other is named.
	for i, one := range []*fleet.Node{n[0], n[7]} {
		put(t, one, straggler.Desired{Gen: 3, By: fmt.Sprint("operator ", i), Deadline: time.Minute, Version: version.Desired{Index: index}})
	}
	eventually(t, "all want the same", func() bool {
		by := map[string]int{}
		for _, one := range n {
			if v := ask[FleetView](t, one, "/fleet"); v.Want != nil && v.Want.Gen == 3 {
				by[v.Want.By]++
			}
		}
		return len(by) == 1 && by["operator 0"]+by["operator 1"] == len(n)
	})
	if a, b := ask[FleetView](t, n[0], "/fleet").Lost, ask[FleetView](t, n[7], "/fleet").Lost; a == nil && b == nil {
		t.Error("that there were two wants is not told")
	}
	for _, bad := range []string{"", "{", `{"gen":0,"by":"x"}`, `{"gen":9}`, `{"gen":9,"by":"x","deadline_ns":-1}`, `{"gen":9,"by":"x","wrong":1}`, `{"gen":1,"by":"test"}`} {
		if status, _ := putText(t, n[3], []byte(bad)); status/100 != 4 {
			t.Errorf("%s: %d", bad, status)
		}
	}
	// What nobody can reach takes nobody out.
	put(t, n[4], straggler.Desired{Gen: 4, By: "test", Deadline: 100 * time.Millisecond, Version: version.Desired{Build: "feedface"}})
	eventually(t, "the want is known", func() bool { return ask[FleetView](t, n[0], "/fleet").Want.Gen == 4 })
	// Meanwhile one is stopped, and there is a second n4.
	if err := n[6].Stop(); err != nil {
		t.Fatal(err)
	}
	port, err := fleet.FreePort()
	if err != nil {
		t.Fatal(err)
	}
	twin, err := n[3].Twin("twin", port)
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "n7 is silent", all(n[1], straggler.Silent, "n7"))
	eventually(t, "n4 is doubled", all(n[1], straggler.Duplicate, "n4"))
	eventually(t, "n4 knows it", all(n[3], straggler.Duplicate, "n4"))
	if err := twin.Kill(); err != nil {
		t.Fatal(err)
	}
	if err := n[6].Continue(); err != nil {
		t.Fatal(err)
	}
	l.await(t, "n7", "calls begin again", 1)
	eventually(t, "n7 is back and n4 is one", all(n[1], straggler.Stale, "n7", "n4"))
	for _, one := range n {
		if err := healthy(one); err != nil {
			t.Errorf("%s, though nobody can reach what is wanted: %v", one.Name, err)
		}
	}
	put(t, n[4], straggler.Desired{Gen: 5, By: "test", Deadline: time.Second, Version: version.Desired{Index: index}})
	// Three vanish at once.
	for _, one := range n[5:] {
		if err := one.Kill(); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "three are silent", all(n[1], straggler.Silent, "n6", "n7", "n8"))
	close(over)
	wait()
	r.Settle(n[:5], 10*time.Second)
	for _, one := range n[:5] {
		if v := one.Log.Check(standin.Rules); v.Broken() {
			t.Errorf("%s: %+v", one.Name, v)
		}
	}
	causes := map[string]int{}
	for _, e := range ask[ledger.Snapshot](t, n[0], "/ledger").Entries {
		causes[e.Cause]++
		if e.Cause == ledger.CauseFencedOff && len(e.Calls) > 0 {
			t.Errorf("n1 has called while it was shut out: %+v", e.Calls)
		}
	}
	for _, c := range []string{ledger.CauseStart, ledger.CausePeerDrain, ledger.CauseFencedOff, ledger.CauseReadmitted, ledger.CauseEndpointList, ledger.CauseOperatorsFile} {
		if causes[c] == 0 {
			t.Errorf("n1's ledger has no entry %q: %v", c, causes)
		}
	}
	if _, err := os.Stat(n[0].Folder() + "/want"); err != nil {
		t.Error(err)
	}
}

func healthy(n *fleet.Node) error {
	resp, err := http.Get("http://" + n.Process().Door() + "/healthcheck")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if said, _ := io.ReadAll(io.LimitReader(resp.Body, 4096)); resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%d %s", resp.StatusCode, said)
	}
	return nil
}
