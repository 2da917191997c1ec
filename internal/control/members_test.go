package control

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"scaleroute/internal/control/api"
)

// fleetMembers is what tests know of a fleet from a server's answers, as a forwarder does.
type fleetMembers struct {
	epoch string
	index int64
	zones map[string]string
}

func (f *fleetMembers) take(answer *api.Members) {
	if answer.Snapshot {
		f.zones = map[string]string{}
	}
	f.epoch, f.index = answer.Epoch, answer.Index
	for _, each := range answer.Members {
		if f.zones[each.Name] = each.Zone; each.Status == api.Deleted {
			delete(f.zones, each.Name)
		}
	}
}

func (f *fleetMembers) names() string { return strings.Join(slices.Sorted(maps.Keys(f.zones)), " ") }

var testStart = time.Unix(1_000_000, 0)

// TestLeases: a lease lasts as long as it is renewed, ends at once when its member leaves, and members of a silent peer are kept for one lease.
func TestLeases(t *testing.T) {
	m := newMembers(30 * time.Second)
	at := func(second int) time.Time { return testStart.Add(time.Duration(second) * time.Second) }
	check := func(second int, all, held string) {
		t.Helper()
		m.publish(at(second))
		names := func(v *memberView) string { return strings.Join(slices.Sorted(maps.Keys(v.zones)), " ") }
		if names(&m.all) != all || names(&m.held) != held {
			t.Errorf("after %d s: all %q, held here %q; want %q, %q", second, names(&m.all), names(&m.held), all, held)
		}
	}
	check(0, "", "")
	m.renew("a", "z1", at(0))
	m.renew("b", "z1", at(0))
	m.applyPeerAnswer("peer", &api.Members{Snapshot: true, Members: []api.Member{{Name: "c", Status: api.Serving}, {Name: "a", Zone: "old", Status: api.Serving}}}, at(1))
	check(1, "a b c", "a b")
	if m.all.zones["a"] != "z1" {
		t.Error("a peer knows the zone better than the server that holds the lease")
	}
	m.renew("b", "z2", at(20))
	check(29, "a b c", "a b")
	check(30, "a b c", "b") // the peer still holds a lease of it
	m.applyPeerAnswer("peer", &api.Members{Members: []api.Member{{Name: "a", Status: api.Deleted}}}, at(31))
	check(31, "b c", "b")
	m.leave("b")
	check(32, "c", "")
	check(61, "c", "")
	check(62, "", "")
	m.applyPeerAnswer("peer", &api.Members{Snapshot: true, Members: []api.Member{{Name: "d", Status: api.Serving}}}, at(70))
	m.applyPeerAnswer("peer", &api.Members{Snapshot: true, Members: []api.Member{{Name: "e", Status: api.Serving}}}, at(71))
	check(71, "e", "")
}

// TestMembersAreBounded: there are so many leases at most; who has one is renewed all the same.
func TestMembersAreBounded(t *testing.T) {
	m := newMembers(time.Minute)
	for i := range maxMembers {
		m.renew(fmt.Sprint("m-", i), "", testStart)
	}
	if m.renew("one more", "", testStart) || !m.renew("m-7", "", testStart) {
		t.Error("the bound does not hold")
	}
}

// TestMemberChanges: whatever a client missed, it has the members after one answer, also where the log does not go back so far.
func TestMemberChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, client := newMemberView(), &fleetMembers{index: -1, zones: map[string]string{}}
		for range rapid.IntRange(1, 15).Draw(t, "steps") {
			zones := rapid.MapOfN(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), rapid.SampledFrom([]string{"z1", "z2"}), 0, 5).Draw(t, "zones")
			before := v.index
			if changed := v.replace(zones); changed != (v.index > before) {
				t.Fatal("the index does not change with it")
			}
			if rapid.Bool().Draw(t, "forgets") {
				v.oldest, v.log = v.index, nil
			}
			if rapid.Bool().Draw(t, "asks") {
				answer := &api.Members{Index: v.index, Snapshot: !v.covers(client.index)}
				if answer.Members = v.everybody(); !answer.Snapshot {
					answer.Members = v.changedSince(client.index)
				}
				client.take(answer)
				if !maps.Equal(client.zones, zones) {
					t.Fatalf("has %v, want %v", client.zones, zones)
				}
			}
		}
	})
}

// memberCall makes one call of a forwarder, as the answer to the last one says.
func (s *testServer) memberCall(name string, f *fleetMembers, hold time.Duration) {
	s.t.Helper()
	got := s.get("/v1/members?name=%s&zone=z1&epoch=%s&from=%d&hold_ms=%d", name, f.epoch, max(f.index, 0), hold.Milliseconds())
	if got.status != 200 {
		s.t.Fatalf("status %d: %s", got.status, got.text)
	}
	var answer api.Members
	if err := json.Unmarshal([]byte(got.text), &answer); err != nil {
		s.t.Fatal(err)
	}
	f.take(&answer)
}

// awaitMembers calls until a forwarder sees the members.
func (s *testServer) awaitMembers(name string, f *fleetMembers, want string) {
	s.t.Helper()
	for limit := time.Now().Add(20 * time.Second); ; {
		if s.memberCall(name, f, 100*time.Millisecond); f.names() == want {
			return
		}
		if time.Now().After(limit) {
			s.t.Fatalf("%s sees %q, want %q", name, f.names(), want)
		}
	}
}

// TestMembersOfPeers: two servers publish the members of both; one that leaves is gone at both, and one server's end takes nobody out for a lease.
func TestMembersOfPeers(t *testing.T) {
	d := newFakeDiscovery(t, 7, endpoint("a", 1))
	listeners := make([]net.Listener, 2)
	for i := range listeners {
		var err error
		if listeners[i], err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
	}
	var servers []*testServer
	for i := range listeners {
		options := testOptions(t, d.address())
		options.Name, options.Lease, options.Peers = fmt.Sprint("control-", i), 20*time.Second, []string{listeners[1-i].Addr().String()}
		servers = append(servers, startServerAt(t, options, listeners[i]))
	}
	first, second := &fleetMembers{index: -1}, &fleetMembers{index: -1}
	servers[0].memberCall("f1", first, 0)
	servers[1].memberCall("f2", second, 0)
	servers[0].awaitMembers("f1", first, "f1 f2")
	servers[1].awaitMembers("f2", second, "f1 f2")
	servers[1].memberCall("f3", &fleetMembers{index: -1}, 0)
	servers[0].awaitMembers("f1", first, "f1 f2 f3")
	if got := servers[1].get("/v1/members?name=f3&leave=1"); got.status != http.StatusNoContent {
		t.Errorf("leaving: status %d", got.status)
	}
	servers[0].awaitMembers("f1", first, "f1 f2")
	if err := servers[1].stop(); err != nil {
		t.Error(err)
	}
	servers[0].memberCall("f2", &fleetMembers{index: -1}, 0) // goes on there
	for range 3 {
		if servers[0].memberCall("f1", first, 50*time.Millisecond); first.names() != "f1 f2" {
			t.Errorf("members after the end of a server: %s", first.names())
		}
	}
}

// TestRestartKeepsMembers: a server that restarts publishes the members it had, under another epoch, before anyone has called again.
func TestRestartKeepsMembers(t *testing.T) {
	d := newFakeDiscovery(t, 7, endpoint("a", 1))
	options := testOptions(t, d.address())
	s := startServer(t, options)
	f := &fleetMembers{index: -1}
	for _, name := range []string{"f1", "f2", "f3"} {
		s.memberCall(name, f, 0)
	}
	s.awaitMembers("f1", f, "f1 f2 f3")
	if err := s.stop(); err != nil {
		t.Fatal(err)
	}
	options.Settle = time.Hour // which is for a first start
	s = startServer(t, options)
	s.await("settled", func(f Stats) bool { return f.Settled })
	epoch := f.epoch
	s.memberCall("f1", f, 0)
	if f.names() != "f1 f2 f3" || f.epoch == epoch {
		t.Errorf("members %q, epoch %s before and %s after", f.names(), epoch, f.epoch)
	}
}

// TestGathering: on a first start members are not published before all had the time to call; their calls count meanwhile.
func TestGathering(t *testing.T) {
	d := newFakeDiscovery(t, 7, endpoint("a", 1))
	options := testOptions(t, d.address())
	options.Settle = 500 * time.Millisecond
	s := startServer(t, options)
	for i := range 5 {
		if got := s.get("/v1/members?name=f%d&hold_ms=1000", i); got.status != 503 || got.header.Get("Retry-After") == "" || !strings.Contains(got.text, "gathered") {
			t.Fatalf("status %d: %s", got.status, got.text)
		}
	}
	s.await("settled", func(f Stats) bool { return f.Settled })
	f := &fleetMembers{index: -1}
	if s.memberCall("f0", f, 0); f.names() != "f0 f1 f2 f3 f4" {
		t.Errorf("the first answer has %q", f.names())
	}
}

// TestManyGoneAtOnce: 523 of 700 forwarders leave within one publication and come back within another; a watcher gets few answers, and the log few lines.
func TestManyGoneAtOnce(t *testing.T) {
	logs := captureLogs(t)
	d := newFakeDiscovery(t, 7, endpoint("a", 1))
	options := testOptions(t, d.address())
	options.PublishEvery = time.Hour // publications are the test's
	s := startServer(t, options)
	s.await("settled", func(f Stats) bool { return f.Settled })
	call := func(from, to int, query string) {
		for i := from; i < to; i++ {
			s.get("/v1/members?name=f-%03d&zone=z%d%s", i, i%13, query)
		}
	}
	call(0, 700, "")
	s.publishOnce(time.Now())
	f := &fleetMembers{index: -1}
	s.memberCall("f-699", f, 0)
	answers := 0
	for _, query := range []string{"&leave=1", ""} {
		call(0, 523, query)
		s.publishOnce(time.Now())
		for len(f.zones) != map[bool]int{true: 177, false: 700}[query != ""] {
			s.memberCall("f-699", f, 5*time.Second)
			answers++
		}
	}
	if answers != 2 {
		t.Errorf("%d answers for two changes", answers)
	}
	if n := strings.Count(logs.String(), "\n"); n > 12 {
		t.Errorf("%d log lines:\n%s", n, logs.String())
	}
}

// TestSilentPeer: one line says that a peer does not answer, however often it is asked, and one that it is back.
func TestSilentPeer(t *testing.T) {
	logs := captureLogs(t)
	d := newFakeDiscovery(t, 7, endpoint("a", 1))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	options := testOptions(t, d.address())
	options.Peers, options.Lease = []string{address}, 3*time.Second
	s := startServer(t, options)
	f := &fleetMembers{index: -1}
	s.awaitMembers("f1", f, "f1")
	if listener, err = net.Listen("tcp", address); err != nil {
		t.Fatal(err)
	}
	other := testOptions(t, d.address())
	other.Name = "control-2"
	peer := startServerAt(t, other, listener)
	peer.memberCall("f2", &fleetMembers{index: -1}, 0)
	s.awaitMembers("f1", f, "f1 f2")
	if text := logs.String(); strings.Count(text, "does not answer") != 1 || strings.Count(text, "answers again") != 1 {
		t.Errorf("log:\n%s", text)
	}
}
