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

func newTestClient(t *testing.T, servers ...*fake) *Client {
	c := Config{Layout: testLayout, Name: "n0", Zone: "a", Seed: 3, LookupTimeout: patience}
	for _, s := range servers {
		c.Servers = append(c.Servers, s.address())
	}
	k := New(c)
	t.Cleanup(k.Close)
	return k
}

// serving is the fake that a client calls now, and the others.
func serving(c *Client, servers ...*fake) (now *fake, others []*fake) {
	for _, s := range servers {
		if s.address() == c.Server() {
			now = s
		} else {
			others = append(others, s)
		}
	}
	return now, others
}

// TestWatchRegisters: an unknown scope is registered once, and asked for again.
func TestWatchRegisters(t *testing.T) {
	s := newFake(t, newList())
	scope := testLayout.OwnedPartitions("n0", []string{"n0", "n1", "n2"})
	inside, outside := destinationsOf(scope, 2)
	for _, d := range []int{inside[0], outside[0], outside[1]} {
		s.set(d, name(d), agent.Serving)
	}
	c := newTestClient(t, s)
	for range 2 {
		a, err := c.Watch(t.Context(), scope, partial.Watch{From: partial.NoIndex, Destinations: outside[:1]}, 0)
		if err != nil || a.Index != 4 || !a.Snapshot || len(a.Endpoints) != 2 {
			t.Fatalf("%+v %v", a, err)
		}
	}
	if n := s.count("PUT /v1/scopes"); n != 1 {
		t.Errorf("registered %d times", n)
	}
	traffic := c.Traffic()
	if traffic["scope"].Calls != 1 || traffic["watch"].Calls != 3 || traffic["watch"].Sent < 100 || traffic["watch"].Received < 300 {
		t.Errorf("%+v", traffic)
	}
}

// TestNextServer: whatever a server does wrong, nothing of its answer counts, and the next one is asked.
func TestNextServer(t *testing.T) {
	bomb := func(w http.ResponseWriter, r *http.Request) bool {
		w.Header().Set("Content-Encoding", "gzip")
		z := gzip.NewWriter(w)
		io.WriteString(z, `{"index":9,`)
		blank := []byte(strings.Repeat(" ", 1<<20))
		for range 2 * maxAnswer >> 20 {
			if _, err := z.Write(blank); err != nil {
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
	for what, spoil := range map[string]func(http.ResponseWriter, *http.Request) bool{
		"killed in the middle of an answer": cutOff,
		"no list yet":                       status(http.StatusServiceUnavailable, "no list"),
		"no such call":                      status(http.StatusNotFound, "not found"),
		"no JSON":                           answer("<html>"),
		"no index":                          answer(`{"endpoints":[]}`),
		"an older list":                     answer(`{"index":1,"snapshot":true,"endpoints":[]}`),
		"more than is read":                 bomb,
		"sent elsewhere": func(w http.ResponseWriter, r *http.Request) bool {
			http.Redirect(w, r, "/v1/members", http.StatusFound)
			return true
		},
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			l := newList()
			l.set(7, name(7), agent.Serving)
			a, b := newFake(t, l), newFake(t, l)
			c := newTestClient(t, a, b)
			bad, _ := serving(c, a, b)
			bad.spoils(spoil)
			scope := ownership.NewSet(testLayout.PartitionOf(7))
			w := partial.Watch{From: partial.NoIndex, MinIndex: 2}
			if got, err := c.Watch(t.Context(), scope, w, 0); err == nil {
				t.Fatalf("%+v is taken", got)
			}
			if got, err := c.Watch(t.Context(), scope, w, 0); err != nil || len(got.Endpoints) != 1 {
				t.Fatalf("the next: %+v %v", got, err)
			}
		})
	}
}

// TestSilentServer: one that takes a call and never answers, as a machine that is dead, is left after the hold.
func TestSilentServer(t *testing.T) {
	l := newList()
	a, b := newFake(t, l), newFake(t, l)
	c := newTestClient(t, a, b)
	silent, _ := serving(c, a, b)
	silent.spoils(func(w http.ResponseWriter, r *http.Request) bool {
		<-r.Context().Done()
		return true
	})
	w := partial.Watch{From: 1}
	if _, err := c.Watch(t.Context(), ownership.Set{}, w, time.Millisecond); err == nil {
		t.Fatal("an answer")
	}
	if _, err := c.Watch(t.Context(), ownership.Set{}, w, time.Millisecond); err != nil {
		t.Fatal(err)
	}
}

// TestLookupAsksOthers: a look-up goes on to the next server where one is dead, silent or behind, and fails where all are.
func TestLookupAsksOthers(t *testing.T) {
	l := newList()
	l.set(7, name(7), agent.Serving)
	l.set(8, name(8), agent.Serving)
	servers := []*fake{newFake(t, l), newFake(t, l), newFake(t, l)}
	c := newTestClient(t, servers...)
	first, others := serving(c, servers...)
	first.close()
	behind := slices.Index(c.fromCurrent(), others[0].address())
	if behind == 1 {
		others[0].lag = 1
	} else {
		others[1].lag = 1
	}
	a, spent, err := c.Lookup(t.Context(), []int{7, 8, 9}, 3)
	if err != nil || a.Index != 3 || len(a.Endpoints) != 2 || spent < 200 {
		t.Fatalf("%+v %d %v", a, spent, err)
	}
	var older *StaleAnswerError
	if _, _, err := c.Lookup(t.Context(), []int{7}, 4); !errors.As(err, &older) || older.MinIndex != 4 {
		t.Fatal(err)
	}
}

// TestMembership: who is missing at another server stays for a lease; who is at the same one does not.
func TestMembership(t *testing.T) {
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
		{"nothing new", 2, api.Members{Epoch: "A", Index: 2, LeaseMS: 1000}, false, "a b d"},
		{"another server that knows fewer", 3, api.Members{Epoch: "B", Index: 1, Snapshot: true, LeaseMS: 1000, Members: serving("a", "e")}, true, "a b d e"},
		{"it learns", 4, api.Members{Epoch: "B", Index: 2, LeaseMS: 1000, Members: serving("b")}, false, "a b d e"},
	} {
		if changed := m.Apply(step.now, step.a); changed != step.changed || strings.Join(m.Names(), " ") != step.want {
			t.Fatalf("%s: changed %v, %v", step.what, changed, m.Names())
		}
	}
	if m.Expire(time.Second+2) || !m.Expire(time.Second+3) || strings.Join(m.Names(), " ") != "a b e" {
		t.Fatal(m.Names())
	}
	if !m.Apply(time.Minute, api.Members{Epoch: "B", Index: 3, Snapshot: true, LeaseMS: 1000, Members: serving("a")}) || strings.Join(m.Names(), " ") != "a" {
		t.Fatal(m.Names())
	}
}

// TestMembersRead: an answer that can't be right is refused.
func TestMembersRead(t *testing.T) {
	for _, text := range []string{``, `{}`, `{"epoch":"x"}`, `{"lease_ms":5}`, `[1]`} {
		if _, err := readMembers(strings.NewReader(text)); err == nil {
			t.Errorf("%s is taken", text)
		}
	}
	a, err := readMembers(strings.NewReader(`{"epoch":"17","index":3,"snapshot":true,"lease_ms":5,"members":[{"name":"a"}]}`))
	if err != nil || a.Epoch != "17" || len(a.Members) != 1 {
		t.Errorf("%+v %v", a, err)
	}
}
