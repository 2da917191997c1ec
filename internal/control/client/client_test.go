package client

import (
	"compress/gzip"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"scaleroute/internal/agent"
	"scaleroute/internal/control/api"
	"scaleroute/internal/ownership"
	"scaleroute/internal/partial"
)

func newTestClient(t *testing.T, servers ...*fakeServer) *Client {
	c := Config{Layout: testLayout, Name: "n0", Zone: "a", Seed: 3, LookupTimeout: testTimeout}
	for _, s := range servers {
		c.Servers = append(c.Servers, s.address())
	}
	client := New(c)
	t.Cleanup(client.Close)
	return client
}

// currentServer returns the fake server that a client's next call goes to, and the other ones.
func currentServer(c *Client, servers ...*fakeServer) (current *fakeServer, others []*fakeServer) {
	for _, s := range servers {
		if s.address() == c.Server() {
			current = s
		} else {
			others = append(others, s)
		}
	}
	return current, others
}

// TestWatchRegistersUnknownScopeOnce checks that a watch registers an unknown scope once and then repeats its request.
func TestWatchRegistersUnknownScopeOnce(t *testing.T) {
	s := newFakeServer(t, newSharedList())
	scope := testLayout.OwnedPartitions("n0", []string{"n0", "n1", "n2"})
	inside, outside := destinationsOf(scope, 2)
	for _, d := range []int{inside[0], outside[0], outside[1]} {
		s.set(d, endpointName(d), agent.Serving)
	}
	c := newTestClient(t, s)
	for range 2 {
		a, err := c.Watch(t.Context(), scope, partial.Watch{From: partial.NoIndex, Destinations: outside[:1]}, 0)
		if err != nil || a.Index != 4 || !a.Snapshot || len(a.Endpoints) != 2 {
			t.Fatalf("%+v, error %v; want a snapshot of index 4 with 2 endpoints", a, err)
		}
	}
	if n := s.count("PUT /v1/scopes"); n != 1 {
		t.Errorf("the scope was registered %d times; want once", n)
	}
	traffic := c.Traffic()
	if traffic["scope"].Calls != 1 || traffic["watch"].Calls != 3 || traffic["watch"].Sent < 100 || traffic["watch"].Received < 300 {
		t.Errorf("traffic %+v; want 1 scope call and 3 watch calls with their bytes", traffic)
	}
}

// TestFailedWatchSwitchesServer checks that no part of an invalid answer is used, and that the next call goes to another server.
func TestFailedWatchSwitchesServer(t *testing.T) {
	oversized := func(w http.ResponseWriter, r *http.Request) bool {
		w.Header().Set("Content-Encoding", "gzip")
		z := gzip.NewWriter(w)
		io.WriteString(z, `{"index":9,`)
		spaces := []byte(strings.Repeat(" ", 1<<20))
		for range 2 * maxAnswer >> 20 {
			if _, err := z.Write(spaces); err != nil {
				return true
			}
		}
		z.Close()
		return true
	}
	status := func(code int, text string) func(http.ResponseWriter, *http.Request) bool {
		return func(w http.ResponseWriter, r *http.Request) bool {
			http.Error(w, text, code)
			return true
		}
	}
	answer := func(text string) func(http.ResponseWriter, *http.Request) bool {
		return func(w http.ResponseWriter, r *http.Request) bool {
			io.WriteString(w, text)
			return true
		}
	}
	for what, intercept := range map[string]func(http.ResponseWriter, *http.Request) bool{
		"connection closed within the answer": truncateAnswer,
		"no list yet":                         status(http.StatusServiceUnavailable, "no list"),
		"unknown path":                        status(http.StatusNotFound, "not found"),
		"not JSON":                            answer("<html>"),
		"no index":                            answer(`{"endpoints":[]}`),
		"an older list":                       answer(`{"index":1,"snapshot":true,"endpoints":[]}`),
		"larger than the limit":               oversized,
		"redirect": func(w http.ResponseWriter, r *http.Request) bool {
			http.Redirect(w, r, "/v1/members", http.StatusFound)
			return true
		},
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			l := newSharedList()
			l.set(7, endpointName(7), agent.Serving)
			a, b := newFakeServer(t, l), newFakeServer(t, l)
			c := newTestClient(t, a, b)
			failing, _ := currentServer(c, a, b)
			failing.setIntercept(intercept)
			scope := ownership.NewSet(testLayout.PartitionOf(7))
			w := partial.Watch{From: partial.NoIndex, MinIndex: 2}
			if got, err := c.Watch(t.Context(), scope, w, 0); err == nil {
				t.Fatalf("the invalid answer was accepted as %+v", got)
			}
			if got, err := c.Watch(t.Context(), scope, w, 0); err != nil || len(got.Endpoints) != 1 {
				t.Fatalf("the next server: %+v, error %v; want 1 endpoint", got, err)
			}
		})
	}
}

// TestWatchTimesOutOnUnresponsiveServer checks that a client gives up on a server that accepts a call and never answers, as a failed machine does, once the hold and its margin have
// passed, and that the next call goes to another server.
func TestWatchTimesOutOnUnresponsiveServer(t *testing.T) {
	l := newSharedList()
	a, b := newFakeServer(t, l), newFakeServer(t, l)
	c := newTestClient(t, a, b)
	unresponsive, _ := currentServer(c, a, b)
	unresponsive.setIntercept(func(w http.ResponseWriter, r *http.Request) bool {
		<-r.Context().Done()
		return true
	})
	w := partial.Watch{From: 1}
	if _, err := c.Watch(t.Context(), ownership.Set{}, w, time.Millisecond); err == nil {
		t.Fatal("the watch of an unresponsive server returned no error")
	}
	if _, err := c.Watch(t.Context(), ownership.Set{}, w, time.Millisecond); err != nil {
		t.Fatal(err)
	}
}

// TestLookupTriesOtherServers checks that a look-up goes on to the next server after one that is down and one whose list is out of date, and fails if no server has a list
// that is recent enough.
func TestLookupTriesOtherServers(t *testing.T) {
	l := newSharedList()
	l.set(7, endpointName(7), agent.Serving)
	l.set(8, endpointName(8), agent.Serving)
	servers := []*fakeServer{newFakeServer(t, l), newFakeServer(t, l), newFakeServer(t, l)}
	c := newTestClient(t, servers...)
	first, others := currentServer(c, servers...)
	first.close()
	position := slices.Index(c.serversFromCurrent(), others[0].address())
	if position == 1 { // the server that is tried second is out of date
		others[0].lag = 1
	} else {
		others[1].lag = 1
	}
	a, spent, err := c.Lookup(t.Context(), []int{7, 8, 9}, 3)
	if err != nil || a.Index != 3 || len(a.Endpoints) != 2 || spent < 200 {
		t.Fatalf("%+v, %d bytes, error %v; want index 3, 2 endpoints and at least 200 bytes", a, spent, err)
	}
	var stale *StaleAnswerError
	if _, _, err := c.Lookup(t.Context(), []int{7}, 4); !errors.As(err, &stale) || stale.MinIndex != 4 {
		t.Fatal(err)
	}
}

// TestMembershipAcrossServers checks that a member which is missing from the answer of a different server stays for one lease, and that one which is missing from a later
// snapshot of the same server is removed at once.
func TestMembershipAcrossServers(t *testing.T) {
	serving := func(names ...string) (list []api.Member) {
		for _, n := range names {
			list = append(list, api.Member{Name: n, Status: api.Serving})
		}
		return list
	}
	var m Membership
	for _, step := range []struct {
		what    string
		now     time.Duration
		a       api.Members
		changed bool
		want    string
	}{
		{"the first answer", 0, api.Members{Epoch: "A", Index: 1, Snapshot: true, LeaseMS: 1000, Members: serving("a", "b", "c")}, true, "a b c"},
		{"changes", 1, api.Members{Epoch: "A", Index: 2, LeaseMS: 1000, Members: []api.Member{{Name: "c", Status: "DELETED"}, {Name: "d"}}}, true, "a b d"},
		{"no change", 2, api.Members{Epoch: "A", Index: 2, LeaseMS: 1000}, false, "a b d"},
		{"a different server that knows fewer members", 3, api.Members{Epoch: "B", Index: 1, Snapshot: true, LeaseMS: 1000, Members: serving("a", "e")}, true, "a b d e"},
		{"that server learns of a member", 4, api.Members{Epoch: "B", Index: 2, LeaseMS: 1000, Members: serving("b")}, false, "a b d e"},
	} {
		if changed := m.Apply(step.now, step.a); changed != step.changed || strings.Join(m.Names(), " ") != step.want {
			t.Fatalf("%s: changed %v, members %v", step.what, changed, m.Names())
		}
	}
	if m.Expire(time.Second+2) || !m.Expire(time.Second+3) || strings.Join(m.Names(), " ") != "a b e" {
		t.Fatal(m.Names())
	}
	if !m.Apply(time.Minute, api.Members{Epoch: "B", Index: 3, Snapshot: true, LeaseMS: 1000, Members: serving("a")}) || strings.Join(m.Names(), " ") != "a" {
		t.Fatal(m.Names())
	}
}

// TestReadMembersRejectsInvalidAnswers checks that an answer which is not JSON or lacks the epoch or the lease is an error.
func TestReadMembersRejectsInvalidAnswers(t *testing.T) {
	for _, text := range []string{``, `{}`, `{"epoch":"x"}`, `{"lease_ms":5}`, `[1]`} {
		if _, err := readMembers(strings.NewReader(text)); err == nil {
			t.Errorf("%s was accepted", text)
		}
	}
	a, err := readMembers(strings.NewReader(`{"epoch":"17","index":3,"snapshot":true,"lease_ms":5,"members":[{"name":"a"}]}`))
	if err != nil || a.Epoch != "17" || len(a.Members) != 1 {
		t.Errorf("a valid answer: %+v, error %v", a, err)
	}
}
