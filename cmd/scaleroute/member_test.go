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

// putDesired sends a desired version to a forwarder's admin API and returns the status and the body of the response.
func putDesired(t *testing.T, n *fleet.Node, desired straggler.Desired) (int, string) {
	t.Helper()
	text, err := json.Marshal(desired)
	if err != nil {
		t.Fatal(err)
	}
	return putDesiredText(t, n, text)
}

func putDesiredText(t *testing.T, n *fleet.Node, text []byte) (int, string) {
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
	body, _ := io.ReadAll(io.LimitReader(resp.Body, 4096))
	return resp.StatusCode, string(body)
}

// verdicts returns one forwarder's view of the members, by name.
func verdicts(t *testing.T, n *fleet.Node) map[string]straggler.View {
	t.Helper()
	views := map[string]straggler.View{}
	for _, v := range getJSON[FleetView](t, n, "/fleet").Members {
		views[v.Name] = v
	}
	return views
}

// TestFleetDesired starts eight forwarders that gossip, and checks that:
//   - a member that is cut off from discovery learns from the others which endpoints drain, fences itself off once it is out of date past the deadline of the
//     desired version, rejects clients then, and is readmitted once it reaches discovery again;
//   - a member that missed the signal reads the operators' file again because of the desired version;
//   - a member that is stopped, two members of one name, and three that are killed are reported;
//   - a desired version that no member can reach fences no member off;
//   - no rule about calls is broken.
func TestFleetDesired(t *testing.T) {
	t.Parallel()
	l := newFleetLogs()
	mesh, err := fleet.NewMesh(8, 17)
	if err != nil {
		t.Fatal(err)
	}
	set := operator.Fleet{LedgerBytes: 1 << 20, Lease: operator.Duration(time.Second), DiscoveryWait: operator.Duration(2 * time.Second), MaxFencedShare: 0.25,
		Gossip: &operator.Gossip{Join: []string{mesh.Told(0)}}}
	r := newFleetRig(t, fleet.Shape{Forwarders: 8, Destinations: 2, Targets: 3, Left: 3 * time.Second, Mesh: mesh, Set: operatorsFile(t, set), Env: []string{quickFleetVariable + "=1"}}, l)
	nodes := r.Nodes
	for _, e := range r.World.Endpoints {
		e.Set(standin.Script{Latency: 80 * time.Millisecond})
	}
	stop := make(chan struct{})
	wait := r.Load(40, 8, 200, stop)
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
			for _, node := range nodes {
				t.Logf("%s: %s", node.Name, strings.Join(l.lines[node.Name], "\n"))
			}
		}
	})
	for _, node := range nodes {
		eventually(t, node.Name+" sees all", func() bool { return all(node, straggler.Current, "n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8")() })
	}

	// n1 is cut off from discovery while an endpoint drains; the other members know of that.
	draining := r.World.Endpoints[0]
	eventually(t, "n1 calls the endpoint", func() bool { c, _ := nodes[0].Arrived(draining.Name, time.Time{}, time.Time{}); return c > 0 })
	nodes[0].List.Set(fleet.Fault{Silent: fleet.Down})
	r.World.Set(standin.Draining, draining)
	index := nodes[1].Discovery.Index()
	l.await(t, "n1", "drained by what others know", 1)
	informedAt := time.Now().Add(200 * time.Millisecond) // connects that were in progress have ended by then
	eventually(t, "n2 sees that n1 is out of date", all(nodes[1], straggler.Stale, "n1"))
	if v := verdicts(t, nodes[1])["n1"]; len(v.Mismatches) != 1 || v.Mismatches[0] != version.ListOutdated || v.Remedy == "" {
		t.Errorf("n2's view of n1 is %+v, want one mismatch (the list) and a remedy", v)
	}
	// The new list becomes the desired version. n1 alone can't reach it: it fences itself off and reports the reason.
	if status, body := putDesired(t, nodes[2], straggler.Desired{Gen: 1, By: "test", Deadline: time.Second, Version: version.Desired{Index: index}}); status != http.StatusOK {
		t.Fatalf("status %d: %s", status, body)
	}
	l.await(t, "n1", "shut out", 1)
	client := (&process{t: t, address: nodes[0].Process().Address()}).connect()
	if got := client.tryDo("PING"); got == "+PONG" {
		t.Error("n1 is fenced off and answers PING")
	}
	eventually(t, "n6 knows that n1 is fenced off", all(nodes[5], straggler.FencedOff, "n1"))
	if v := verdicts(t, nodes[5])["n1"]; v.Reason == "" || v.Remedy == "" {
		t.Errorf("n1 is fenced off without a reason or a remedy: %+v", v)
	}
	for _, node := range nodes[1:] {
		if err := healthy(node); err != nil {
			t.Errorf("%s: %v", node.Name, err)
		}
	}
	if err := healthy(nodes[0]); err == nil {
		t.Error("n1 is fenced off and reports that it is ready")
	}
	// Once n1 reaches discovery again it is readmitted, and must not have called the draining endpoint.
	nodes[0].List.Set(fleet.Fault{})
	l.await(t, "n1", "let in again", 1)
	eventually(t, "n1 is ready", func() bool { return healthy(nodes[0]) == nil })
	if c, _ := nodes[0].Arrived(draining.Name, informedAt, time.Time{}); c > 0 {
		t.Errorf("n1 has called the draining endpoint %d times since the others reported it", c)
	}

	// The operators' file changes and no member gets a signal. It becomes the desired version, and all members read it.
	changed := operatorsFile(t, set, operator.Limit{Name: "few", MaxAttempts: 4})
	digest := decodeConfig(t, changed).Digest()
	for _, node := range nodes {
		if err := node.SetOperators(changed); err != nil {
			t.Fatal(err)
		}
	}
	if status, body := putDesired(t, nodes[6], straggler.Desired{Gen: 2, By: "test", Deadline: time.Minute, Version: version.Desired{Index: index, Operators: digest}}); status != http.StatusOK {
		t.Fatalf("status %d: %s", status, body)
	}
	for _, node := range nodes {
		eventually(t, node.Name+" has read the file", func() bool { return getJSON[VersionReport](t, node, "/versions").Vector.Operators.Digest == digest })
	}
	// Of two desired versions of one generation all members choose the same one and report the other as superseded.
	for i, node := range []*fleet.Node{nodes[0], nodes[7]} {
		putDesired(t, node, straggler.Desired{Gen: 3, By: fmt.Sprint("operator ", i), Deadline: time.Minute, Version: version.Desired{Index: index}})
	}
	eventually(t, "all members have the same desired version", func() bool {
		by := map[string]int{}
		for _, node := range nodes {
			if v := getJSON[FleetView](t, node, "/fleet"); v.Desired != nil && v.Desired.Gen == 3 {
				by[v.Desired.By]++
			}
		}
		return len(by) == 1 && by["operator 0"]+by["operator 1"] == len(nodes)
	})
	if a, b := getJSON[FleetView](t, nodes[0], "/fleet").Superseded, getJSON[FleetView](t, nodes[7], "/fleet").Superseded; a == nil && b == nil {
		t.Error("neither n1 nor n8 reports the superseded desired version")
	}
	for _, invalid := range []string{"", "{", `{"gen":0,"by":"x"}`, `{"gen":9}`, `{"gen":9,"by":"x","deadline_ns":-1}`, `{"gen":9,"by":"x","wrong":1}`, `{"gen":1,"by":"test"}`} {
		if status, _ := putDesiredText(t, nodes[3], []byte(invalid)); status/100 != 4 {
			t.Errorf("desired version %s: status %d, want 4xx", invalid, status)
		}
	}
	// A desired version that no member can reach fences no member off.
	putDesired(t, nodes[4], straggler.Desired{Gen: 4, By: "test", Deadline: 100 * time.Millisecond, Version: version.Desired{Build: "feedface"}})
	eventually(t, "n1 knows the desired version of generation 4", func() bool { return getJSON[FleetView](t, nodes[0], "/fleet").Desired.Gen == 4 })
	// Meanwhile n7 is stopped, and there is a second n4.
	if err := nodes[6].Stop(); err != nil {
		t.Fatal(err)
	}
	port, err := fleet.FreePort()
	if err != nil {
		t.Fatal(err)
	}
	twin, err := nodes[3].Twin("twin", port)
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "n7 is silent", all(nodes[1], straggler.Silent, "n7"))
	eventually(t, "n2 sees that there are two n4", all(nodes[1], straggler.Duplicate, "n4"))
	eventually(t, "n4 knows of the other n4", all(nodes[3], straggler.Duplicate, "n4"))
	if err := twin.Kill(); err != nil {
		t.Fatal(err)
	}
	if err := nodes[6].Continue(); err != nil {
		t.Fatal(err)
	}
	l.await(t, "n7", "calls begin again", 1)
	eventually(t, "n7 is back and there is one n4", all(nodes[1], straggler.Stale, "n7", "n4"))
	for _, node := range nodes {
		if err := healthy(node); err != nil {
			t.Errorf("%s is not ready, though no member can reach the desired version: %v", node.Name, err)
		}
	}
	putDesired(t, nodes[4], straggler.Desired{Gen: 5, By: "test", Deadline: time.Second, Version: version.Desired{Index: index}})
	// Three members are killed at once.
	for _, node := range nodes[5:] {
		if err := node.Kill(); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "three are silent", all(nodes[1], straggler.Silent, "n6", "n7", "n8"))
	close(stop)
	wait()
	r.Settle(nodes[:5], 10*time.Second)
	for _, node := range nodes[:5] {
		if v := node.Log.Check(standin.Rules); v.Broken() {
			t.Errorf("%s broke a rule about calls: %+v", node.Name, v)
		}
	}
	causes := map[string]int{}
	for _, e := range getJSON[ledger.Snapshot](t, nodes[0], "/ledger").Entries {
		causes[e.Cause]++
		if e.Cause == ledger.CauseFencedOff && len(e.Calls) > 0 {
			t.Errorf("n1 has made calls while it was fenced off: %+v", e.Calls)
		}
	}
	for _, c := range []string{ledger.CauseStart, ledger.CausePeerDrain, ledger.CauseFencedOff, ledger.CauseReadmitted, ledger.CauseEndpointList, ledger.CauseOperatorsFile} {
		if causes[c] == 0 {
			t.Errorf("n1's ledger has no entry %q: %v", c, causes)
		}
	}
	if _, err := os.Stat(nodes[0].Folder() + "/want"); err != nil {
		t.Error(err)
	}
}

// healthy returns nil if a forwarder reports that it is ready, or an error with its response.
func healthy(n *fleet.Node) error {
	resp, err := http.Get("http://" + n.Process().Door() + "/healthcheck")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if body, _ := io.ReadAll(io.LimitReader(resp.Body, 4096)); resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", resp.StatusCode, body)
	}
	return nil
}
