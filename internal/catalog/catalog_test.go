package catalog

import (
	"errors"
	"fmt"
	"maps"
	"runtime"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"scaleroute/internal/agent"
	"scaleroute/internal/ownership"
)

var testLayout = ownership.Layout{Partitions: 8, Replicas: 2}

func serving(name string, group int) agent.Endpoint {
	return agent.Endpoint{Name: name, Address: "127.0.0.1:1", Zone: "a", Type: "std", Group: group, Status: agent.Serving, Weight: 1}
}

// clientView holds what a client knows: the endpoints of its scope by name, at an index.
type clientView struct {
	scope     Scope
	index     int64
	endpoints map[string]agent.Endpoint
}

func (v *clientView) apply(e agent.Endpoint) {
	if v.endpoints[e.Name] = e; e.Status == agent.Deleted {
		delete(v.endpoints, e.Name)
	}
}

// catchUp updates the view as a client does: it requests the changes, and a snapshot if the catalog no longer has them.
func (v *clientView) catchUp(c *Catalog) error {
	err := ErrSnapshotNeeded
	if v.index >= 0 {
		err = c.VisitChanges(&v.scope, v.index, v.apply)
	}
	if errors.Is(err, ErrSnapshotNeeded) {
		clear(v.endpoints)
		err = v.snapshot(c)
	}
	if err == nil {
		v.index = c.Index()
	}
	return err
}

func (v *clientView) snapshot(c *Catalog) error {
	if !v.scope.Whole {
		return c.VisitScope(&v.scope, v.apply)
	}
	for begin, more := 0, true; more; {
		begin, more = c.VisitSlots(begin, 3, v.apply)
	}
	return nil
}

// model holds the list as a plain map.
type model struct {
	index     int64
	endpoints map[string]agent.Endpoint
}

func drawEndpoint(t *rapid.T) agent.Endpoint {
	e := serving(fmt.Sprintf("s-%d", rapid.IntRange(0, 15).Draw(t, "name")), rapid.IntRange(0, 12).Draw(t, "group"))
	e.Status = rapid.SampledFrom([]string{agent.Serving, agent.Draining, agent.Deleted}).Draw(t, "status")
	e.Address = rapid.SampledFrom([]string{"127.0.0.1:1", "127.0.0.1:2", "host:33"}).Draw(t, "address")
	e.Zone = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")
	return e
}

// deliver applies a list to the model and to the catalog. If cut is true, the catalog receives the entries without a Commit, and the model nothing.
func (m *model) deliver(t *rapid.T, c *Catalog, l *agent.List, cut bool) {
	if cut {
		if err := c.Begin(l.Index, l.Snapshot); err != nil {
			t.Fatal(err)
		}
		for _, e := range l.Endpoints {
			if err := c.Put(e); err != nil {
				t.Fatal(err)
			}
		}
		return
	}
	if l.Snapshot {
		clear(m.endpoints)
	}
	for _, e := range l.Endpoints {
		if m.endpoints[e.Name] = e; e.Status == agent.Deleted {
			delete(m.endpoints, e.Name)
		}
	}
	m.index = l.Index
	if _, refused, err := c.Apply(l); err != nil || len(refused) > 0 {
		t.Fatal(err, refused)
	}
}

// TestCatalogAgainstMap applies random snapshots and changes, some of them cut off before the commit, some with a lower index. Clients with scopes of all kinds
// skip some of the lists. A client that catches up must have the endpoints that a plain map has for its scope, and so must a new client.
func TestCatalogAgainstMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New(testLayout, Limits{Entries: 100, Changes: rapid.IntRange(0, 12).Draw(t, "log")})
		m := model{index: -1, endpoints: map[string]agent.Endpoint{}}
		views := []*clientView{{scope: Scope{Whole: true}}, {scope: Scope{Partitions: ownership.NewSet(0, 3, 4)}},
			{scope: Scope{Destinations: ownership.NewSet(1, 5, 6)}}, {scope: Scope{Partitions: ownership.NewSet(1, 2), Destinations: ownership.NewSet(0, 1, 2, 3)}}, {}}
		for _, v := range views {
			v.index, v.endpoints = -1, map[string]agent.Endpoint{}
		}
		for range rapid.IntRange(1, 20).Draw(t, "lists") {
			l := &agent.List{Index: m.index + int64(rapid.IntRange(1, 3).Draw(t, "step")), Snapshot: m.index < 0 || rapid.IntRange(0, 4).Draw(t, "whole") == 0}
			l.Endpoints = rapid.SliceOfNDistinct(rapid.Custom(drawEndpoint), 0, 8, func(e agent.Endpoint) string { return e.Name }).Draw(t, "endpoints")
			cut := rapid.IntRange(0, 5).Draw(t, "cut") == 0
			if back := rapid.IntRange(0, 9).Draw(t, "back") == 0; back && m.index > 0 && !cut {
				l.Index, l.Snapshot = int64(rapid.IntRange(0, int(m.index)-1).Draw(t, "index")), true
				for _, v := range views { // a client that misses an index reset can't tell old indexes from new ones, so each has the current index first
					v.index = max(v.index, c.Index())
				}
			}
			if m.deliver(t, c, l, cut); cut { // a list that was cut off is sent again
				m.deliver(t, c, l, false)
			}
			for i, v := range append(views, &clientView{scope: views[1].scope, index: -1, endpoints: map[string]agent.Endpoint{}}) {
				if v.index <= c.Index() && i < len(views) && rapid.Bool().Draw(t, "misses it") {
					continue
				}
				m.compare(t, c, v)
			}
		}
	})
}

func (m *model) compare(t *rapid.T, c *Catalog, v *clientView) {
	if err := v.catchUp(c); err != nil {
		t.Fatal(err)
	}
	want := maps.Clone(m.endpoints)
	maps.DeleteFunc(want, func(_ string, e agent.Endpoint) bool { return !v.scope.Contains(testLayout, uint32(e.Group)) })
	if !maps.Equal(want, v.endpoints) {
		t.Fatalf("scope %+v at index %d:\nhas  %v\nwant %v", v.scope, v.index, v.endpoints, want)
	}
}

// TestInvalidEntries checks that Apply rejects only the invalid entries of a list, each with an error that names it, and that an existing entry stays if its new
// state is invalid.
func TestInvalidEntries(t *testing.T) {
	c := New(testLayout, Limits{Entries: 4, Changes: 10})
	long := strings.Repeat("x", 2000)
	malformed := func(change func(e *agent.Endpoint)) agent.Endpoint {
		e := serving("malformed", 1)
		change(&e)
		return e
	}
	list := &agent.List{Index: 1, Snapshot: true, Endpoints: []agent.Endpoint{serving("good", 1),
		malformed(func(e *agent.Endpoint) { e.Address = "nowhere" }), malformed(func(e *agent.Endpoint) { e.Address = long + ":1" }),
		malformed(func(e *agent.Endpoint) { e.Group = -1 }), malformed(func(e *agent.Endpoint) { e.Group, e.Status = -1, agent.Draining }),
		malformed(func(e *agent.Endpoint) { e.Group = 1 << 32 }), malformed(func(e *agent.Endpoint) { e.Status = "?" }), malformed(func(e *agent.Endpoint) { e.Weight = -1 }),
		malformed(func(e *agent.Endpoint) { e.Name += long }), malformed(func(e *agent.Endpoint) { e.Zone = long }), malformed(func(e *agent.Endpoint) { e.Name = "" })}}
	_, refused, err := c.Apply(list)
	if err != nil || len(refused) != len(list.Endpoints)-1 || c.Len() != 1 {
		t.Fatalf("%v, %d refused, %d kept", err, len(refused), c.Len())
	}
	for _, err := range refused {
		if !strings.Contains(err.Error(), `"malformed`) && !strings.Contains(err.Error(), `name`) {
			t.Errorf("the error does not name its entry: %v", err)
		}
	}
	malformedGood := serving("good", 1)
	malformedGood.Address = "nowhere"
	if _, refused, _ := c.Apply(&agent.List{Index: 2, Snapshot: true, Endpoints: []agent.Endpoint{malformedGood}}); len(refused) != 1 || c.Len() != 1 {
		t.Errorf("an invalid new state of a valid entry: %v, %d kept", refused, c.Len())
	}
	many := &agent.List{Index: 3, Snapshot: true}
	for i := range 6 {
		many.Endpoints = append(many.Endpoints, serving(fmt.Sprint("s-", i), i))
	}
	if _, refused, _ := c.Apply(many); len(refused) != 3 || c.Len() != 3 { // "good" counts until the snapshot is committed
		t.Errorf("over the limit: %v, %d kept", refused, c.Len())
	}
}

// TestZoneLimit checks that entries with a new zone are rejected once the maximum number of different zones is reached.
func TestZoneLimit(t *testing.T) {
	c := New(testLayout, DefaultLimits)
	list := &agent.List{Index: 1, Snapshot: true}
	for i := range maxStrings + 2 {
		e := serving(fmt.Sprint("s-", i), i)
		e.Zone = fmt.Sprint("zone-", i)
		list.Endpoints = append(list.Endpoints, e)
	}
	if _, refused, err := c.Apply(list); err != nil || len(refused) != 2 || !strings.Contains(refused[0].Error(), "different zones") {
		t.Errorf("%v, %v", err, refused)
	}
}

// TestDrainingEntryWithNameOnly checks that a draining entry may consist of name and status: the catalog keeps the other fields.
func TestDrainingEntryWithNameOnly(t *testing.T) {
	c := New(testLayout, DefaultLimits)
	c.Apply(&agent.List{Index: 1, Snapshot: true, Endpoints: []agent.Endpoint{serving("a", 5)}})
	c.Apply(&agent.List{Index: 2, Endpoints: []agent.Endpoint{{Name: "a", Status: agent.Draining}}})
	want := serving("a", 5)
	want.Status = agent.Draining
	c.VisitDestinations(ownership.NewSet(5), func(got agent.Endpoint) {
		if got != want {
			t.Errorf("%+v", got)
		}
	})
}

// TestChangedDestinations checks that Apply reports the destinations that a list has changed, including the former destination of an endpoint that moves, and All
// if there are more changes than the log holds.
func TestChangedDestinations(t *testing.T) {
	c := New(testLayout, Limits{Entries: 100, Changes: 3})
	c.Apply(&agent.List{Index: 1, Snapshot: true, Endpoints: []agent.Endpoint{serving("a", 5), serving("b", 6), serving("c", 7), serving("d", 8)}})
	changed, _, _ := c.Apply(&agent.List{Index: 2, Endpoints: []agent.Endpoint{serving("a", 9), serving("b", 6)}})
	if changed.All || !slices.Equal(changed.Destinations, []uint32{5, 9}) {
		t.Errorf("%+v", changed)
	}
	changed, _, _ = c.Apply(&agent.List{Index: 3, Snapshot: true})
	if !changed.All || c.Len() != 0 {
		t.Errorf("%+v, %d left", changed, c.Len())
	}
}

// TestVisitChanges checks that a client with a newer index gets ErrCatalogBehind and one with an index older than the log ErrSnapshotNeeded, and that after an index
// reset a client with an index from before the reset gets ErrSnapshotNeeded too.
func TestVisitChanges(t *testing.T) {
	c, scope := New(testLayout, Limits{Entries: 100, Changes: 2}), &Scope{Whole: true}
	ask := func(index int64) error { return c.VisitChanges(scope, index, func(agent.Endpoint) {}) }
	if err := ask(0); err != ErrNoList {
		t.Error(err)
	}
	if _, _, err := c.Apply(&agent.List{Index: 9}); err != ErrNoList {
		t.Error(err)
	}
	c.Apply(&agent.List{Index: 10, Snapshot: true})
	for i := range 4 {
		c.Apply(&agent.List{Index: 11 + int64(i), Endpoints: []agent.Endpoint{serving("a", i)}})
	}
	for index, want := range map[int64]error{15: ErrCatalogBehind, 14: nil, 13: nil, 12: ErrSnapshotNeeded, 3: ErrSnapshotNeeded} {
		if err := ask(index); err != want {
			t.Errorf("changes since %d: %v", index, err)
		}
	}
	if _, _, err := c.Apply(&agent.List{Index: 13}); err != ErrStaleChanges {
		t.Error(err)
	}
	c.Apply(&agent.List{Index: 5, Snapshot: true})
	for index, want := range map[int64]error{15: ErrCatalogBehind, 14: ErrSnapshotNeeded, 6: ErrSnapshotNeeded, 5: nil, 4: ErrSnapshotNeeded} {
		if err := ask(index); err != want {
			t.Errorf("changes since %d, after an index reset: %v", index, err)
		}
	}
}

// TestNameIndex adds and deletes random names, and checks that the index finds exactly the present ones, each in its slot.
func TestNameIndex(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := make([]string, 400)
		for i := range names {
			names[i] = fmt.Sprint("name-", i)
		}
		x, present := newNameIndex(func(at slot) string { return names[at] }), map[int]bool{}
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, len(names)-1), 0, 2000).Draw(t, "toggled") {
			if present[i] {
				x.delete(names[i])
			} else {
				x.add(slot(i))
			}
			present[i] = !present[i]
		}
		for i, name := range names {
			if at, found := x.find(name); found != present[i] || found && at != slot(i) {
				t.Fatalf("%s: found in slot %d: %t; present: %t", name, at, found, present[i])
			}
		}
	})
}

// BenchmarkLoad fills a catalog of the planned size and reports the memory per entry.
func BenchmarkLoad(b *testing.B) {
	const entries = 2_200_000
	heap := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for b.Loop() {
		before := heap()
		c := New(ownership.Layout{Partitions: 1 << 21, Replicas: 3}, DefaultLimits)
		c.Begin(1, true)
		for i := range entries {
			e := serving(fmt.Sprintf("endpoint-%07d", i), i)
			e.Address = fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255)
			if err := c.Put(e); err != nil {
				b.Fatal(err)
			}
		}
		c.Commit()
		b.ReportMetric((heap()-before)/1e6, "MB")
		b.ReportMetric((heap()-before)/entries, "B/entry")
		runtime.KeepAlive(c)
	}
}
