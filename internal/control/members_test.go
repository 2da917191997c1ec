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

// fleetMembers holds the members of a fleet as a forwarder learns them from a server's responses.
type fleetMembers struct {
	epoch string
	index int64
	zones map[string]string
}

func (f *fleetMembers) apply(answer *api.Members) {
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

// TestLeases checks that a lease lasts as long as it is renewed and ends immediately when its member leaves, and that the members of an
// unresponsive peer are kept for the duration of one lease.
func TestLeases(t *testing.T) {
	m := newMembers(30 * time.Second)
	at := func(second int) time.Time { return testStart.Add(time.Duration(second) * time.Second) }
	check := func(second int, fleet, own string) {
		t.Helper()
		m.publish(at(second))
		names := func(v *memberView) string { return strings.Join(slices.Sorted(maps.Keys(v.zones)), " ") }
		if names(&m.fleetView) != fleet || names(&m.ownView) != own {
			t.Errorf("after %d s: fleet %q, own %q; want %q, %q", second, names(&m.fleetView), names(&m.ownView), fleet, own)
		}
	}
	check(0, "", "")
	m.renew("a", "z1", at(0))
	m.renew("b", "z1", at(0))
	m.applyPeerAnswer("peer", &api.Members{Snapshot: true, Members: []api.Member{{Name: "c", Status: api.Serving}, {Name: "a", Zone: "old", Status: api.Serving}}}, at(1))
	check(1, "a b c", "a b")
	if m.fleetView.zones["a"] != "z1" {
		t.Error("the zone of a peer overrides that of the server that holds the lease")
	}
	m.renew("b", "z2", at(20))
	check(29, "a b c", "a b")
	check(30, "a b c", "b") // the peer still holds a lease of member a
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

// TestMemberLimit checks that a new member is rejected at the limit while an existing lease can still be renewed.
func TestMemberLimit(t *testing.T) {
	m := newMembers(time.Minute)
	for i := range maxMembers {
		m.renew(fmt.Sprint("m-", i), "", testStart)
	}
	if m.renew("one more", "", testStart) || !m.renew("m-7", "", testStart) {
		t.Error("a member above the limit got a lease, or an existing lease was not renewed")
	}
}

// TestMemberChanges checks that one response brings a client up to date whatever it has missed, also if the log does not reach back to its index.
func TestMemberChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, client := newMemberView(), &fleetMembers{index: -1, zones: map[string]string{}}
		for range rapid.IntRange(1, 15).Draw(t, "steps") {
			zones := rapid.MapOfN(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), rapid.SampledFrom([]string{"z1", "z2"}), 0, 5).Draw(t, "zones")
			before := v.index
			if changed := v.replace(zones); changed != (v.index > before) {
				t.Fatal("the index and the members did not change together")
			}
			if rapid.Bool().Draw(t, "truncates the log") {
				v.logStart, v.log = v.index, nil
			}
			if rapid.Bool().Draw(t, "requests") {
				answer := &api.Members{Index: v.index, Snapshot: !v.covers(client.index)}
				if answer.Members = v.allMembers(); !answer.Snapshot {
					answer.Members = v.changedSince(client.index)
				}
				client.apply(answer)
				if !maps.Equal(client.zones, zones) {
					t.Fatalf("has %v, want %v", client.zones, zones)
				}
			}
		}
	})
}

// memberCall sends one members request of a forwarder, with the epoch and index of the last response.
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
	f.apply(&answer)
}

// awaitMembers repeats the request until a forwarder sees the wanted members.
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

// TestMembersOfPeers checks that two servers publish the members of both, that a member that leaves disappears from both, and that the end of one
// server removes no member before its lease expires.
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
	servers[0].memberCall("f2", &fleetMembers{index: -1}, 0) // f2 continues at the other server
	for range 3 {
		if servers[0].memberCall("f1", first, 50*time.Millisecond); first.names() != "f1 f2" {
			t.Errorf("members after one server has stopped: %s", first.names())
		}
	}
}

// TestRestartKeepsMembers checks that a restarted server publishes its previous members under a new epoch before any member has called again.
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
	options.Settle = time.Hour // applies only if no leases were restored
	s = startServer(t, options)
	s.await("settled", func(f Stats) bool { return f.Settled })
	epoch := f.epoch
	s.memberCall("f1", f, 0)
	if f.names() != "f1 f2 f3" || f.epoch == epoch {
		t.Errorf("members %q, epoch %s before and %s after", f.names(), epoch, f.epoch)
	}
}

// TestSettleTime checks that on a first start no members are published before the settle time is over, and that requests until then renew leases.
func TestSettleTime(t *testing.T) {
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
		t.Errorf("the first response has members %q", f.names())
	}
}

// TestMassLeaveAndRejoin checks that a watcher gets one response for each publication and the log few lines when 523 of 700 forwarders leave within
// one publication and rejoin within another.
func TestMassLeaveAndRejoin(t *testing.T) {
	logs := captureLogs(t)
	d := newFakeDiscovery(t, 7, endpoint("a", 1))
	options := testOptions(t, d.address())
	options.PublishEvery = time.Hour // the test calls publishOnce itself
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
		t.Errorf("%d responses for two publications", answers)
	}
	if n := strings.Count(logs.String(), "\n"); n > 12 {
		t.Errorf("%d log lines:\n%s", n, logs.String())
	}
}

// TestUnresponsivePeer checks that the log has one line when a peer stops responding, however often requests to it fail, and one when it is back.
func TestUnresponsivePeer(t *testing.T) {
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
