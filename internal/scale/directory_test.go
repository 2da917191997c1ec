package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"scaleroute/internal/agent"
)

func newDirectory(t *testing.T, destinations int) *Directory {
	t.Helper()
	d, err := NewDirectory(destinations)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

func get(t *testing.T, d *Directory, query string) *agent.List {
	t.Helper()
	resp, err := http.Get("http://" + d.Address() + "/v1/servers" + query)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	l := &agent.List{}
	if err := json.NewDecoder(resp.Body).Decode(l); err != nil {
		t.Fatalf("%s: status %d: %v", query, resp.StatusCode, err)
	}
	return l
}

// apply has a list change what is known.
func apply(known map[string]string, l *agent.List) {
	if l.Snapshot {
		clear(known)
	}
	for _, e := range l.Endpoints {
		if known[e.Name] = e.Status; e.Status == agent.Deleted {
			delete(known, e.Name)
		}
	}
}

// TestDirectory: who follows the changes from any index knows what a snapshot says.
func TestDirectory(t *testing.T) {
	const destinations = 50
	d := newDirectory(t, destinations)
	random := rand.New(rand.NewPCG(1, 2))
	followed := map[string]string{}
	first := get(t, d, "")
	apply(followed, first)
	if len(followed) != destinations || !first.Snapshot || first.Index != firstIndex {
		t.Fatalf("%d endpoints, index %d", len(followed), first.Index)
	}
	from := first.Index
	for step := range 60 {
		status := []string{agent.Serving, agent.Draining, agent.Deleted}[random.IntN(3)]
		index := d.Set(status, random.Perm(destinations)[:1+random.IntN(5)]...)
		if random.IntN(3) > 0 {
			continue // several changes at once
		}
		l := get(t, d, fmt.Sprintf("?from=%d&hold_ms=1000", from))
		apply(followed, l)
		if from = l.Index; from != index {
			t.Fatalf("step %d: index %d, %d is the newest", step, from, index)
		}
		whole := map[string]string{}
		apply(whole, get(t, d, ""))
		if !maps.Equal(whole, followed) {
			t.Fatalf("step %d: the snapshot and what was followed differ", step)
		}
	}
	apply(followed, get(t, d, ""))
	for _, destination := range d.Pick(random, destinations) {
		if status := followed[EndpointName(destination)]; status != agent.Serving {
			t.Errorf("%d was drawn, and is %q", destination, status)
		}
	}
	for _, query := range []string{"?from=x&hold_ms=0", "?from=1", "?from=1&hold_ms=-1"} {
		if resp, err := http.Get("http://" + d.Address() + "/v1/servers" + query); err != nil || resp.StatusCode != http.StatusBadRequest {
			t.Errorf("%s: %v, %v", query, resp, err)
		}
	}
	if l := get(t, d, "?from=999999&hold_ms=0"); !l.Snapshot {
		t.Error("an index that never was is answered with changes")
	}
}

// TestNode: a simulated node follows the whole list, and says since when a change is in force; held watches end with it.
func TestNode(t *testing.T) {
	d := newDirectory(t, 20)
	n, err := NewNode("n", settingsOf(t, d), newWholeList(d.Address(), t.TempDir()))
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	if _, err := n.clock.reached(ctx, firstIndex); err != nil {
		t.Fatal(err)
	}
	if _, ready := n.clock.readyAfter(); !ready {
		t.Error("a list is in force, and the node is not ready")
	}
	made := time.Now()
	index := d.Set(agent.Draining, 3)
	at, err := n.clock.reached(ctx, index)
	if err != nil {
		t.Fatal(err)
	}
	if at.Before(made) {
		t.Errorf("in force %v before it was made", made.Sub(at))
	}
	gone, cancelGone := context.WithCancel(t.Context())
	cancelGone()
	if _, err := n.clock.reached(gone, index+1); err == nil {
		t.Error("a change that nobody made is in force")
	}
}
