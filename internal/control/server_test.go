package control

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"scaleroute/internal/agent"
	"scaleroute/internal/ownership"
)

// TestListRequests checks the entries of snapshots: a scope gets its partitions and the extra destinations of the request, a look-up gets the named
// destinations, and an unknown destination or an empty scope gets no entries.
func TestListRequests(t *testing.T) {
	d := newFakeDiscovery(t, 7, endpoint("a1", 1), endpoint("a2", 1), endpoint("b", 2), endpoint("c", 3))
	s := startServer(t, testOptions(t, d.address()))
	s.awaitIndex(7)
	scope, empty := s.register(partitionOf(1)), s.register()
	for path, want := range map[string]string{
		"/v1/servers?scope=" + scope: "a1 a2",
		"/v1/servers?scope=" + scope + "&destinations=" + ownership.NewSet(1, 3, 99).String(): "a1 a2 c",
		"/v1/servers?scope=" + empty: "",
		"/v1/servers?scope=" + empty + "&destinations=" + ownership.NewSet(2).String(): "b",
		"/v1/servers?destinations=" + ownership.NewSet(2, 3).String():                  "b c",
		"/v1/servers?destinations=" + ownership.NewSet(500).String():                   "",
		"/v1/servers": "",
	} {
		got := s.get("%s", path)
		if path == "/v1/servers" {
			want = got.names() // the order does not matter
			if len(got.list.Endpoints) != 4 {
				t.Errorf("the whole list: %s", got.names())
			}
		}
		if got.status != 200 || !got.list.Snapshot || got.list.Index != 7 || got.names() != want {
			t.Errorf("%s: status %d, %s, want %s", path, got.status, got.text, want)
		}
	}
	if got := s.get("/v1/servers?destinations=%s", ownership.NewSet(2)).list.Endpoints[0]; got != endpoint("b", 2) {
		t.Errorf("the entry was altered: %+v", got)
	}
}

// TestInvalidRequests checks that each invalid request gets its status and an error text that names the fault.
func TestInvalidRequests(t *testing.T) {
	d := newFakeDiscovery(t, 7, endpoint("a", 1))
	s := startServer(t, testOptions(t, d.address()))
	s.awaitIndex(7)
	set := ownership.NewSet(1, 2)
	tooMany := make([]uint32, 300)
	for i := range tooMany {
		tooMany[i] = uint32(i)
	}
	put := func(digest string, partitions int, set string) *reply {
		body, _ := json.Marshal(map[string]any{"partitions": partitions, "set": set})
		return s.do(http.MethodPut, "/v1/scopes/"+digest, string(body))
	}
	for name, c := range map[string]struct {
		got    *reply
		status int
		text   string
	}{
		"unknown scope":             {s.get("/v1/servers?scope=%016x", 5), 404, "unknown scope"},
		"wrong digest":              {put(testLayout.Digest(ownership.NewSet(1)), 64, set.String()), 400, "that of the body is " + testLayout.Digest(set)},
		"other partitions":          {put(ownership.Digest(128, set.String()), 128, set.String()), 400, "this server has 64"},
		"a partition too large":     {put(ownership.Digest(64, ownership.NewSet(64).String()), 64, ownership.NewSet(64).String()), 400, "beyond 63"},
		"no set":                    {put(ownership.Digest(64, "!"), 64, "!"), 400, "base64url"},
		"no scope":                  {s.do(http.MethodPut, "/v1/scopes/x", "[]"), 400, "no scope"},
		"an endless scope":          {s.do(http.MethodPut, "/v1/scopes/x", `{"set":"`+strings.Repeat("A", maxScopeBody)), 400, "too large"},
		"no number":                 {s.get("/v1/servers?from=x"), 400, "from"},
		"a number below 0":          {s.get("/v1/servers?from=1&hold_ms=-1"), 400, "hold_ms"},
		"no destinations":           {s.get("/v1/servers?destinations="), 400, "empty"},
		"too many destinations":     {s.get("/v1/servers?destinations=%s", ownership.NewSet(tooMany...)), 400, "more than 256"},
		"behind the client's index": {s.get("/v1/servers?from=8&hold_ms=60000"), 503, "behind 8"},
		"neither name nor peer":     {s.get("/v1/members"), 400, "name"},
		"a long name":               {s.get("/v1/members?name=%s", strings.Repeat("x", 300)), 400, "at most 256"},
	} {
		if c.got.status != c.status || !strings.Contains(c.got.text, c.text) {
			t.Errorf("%s: status %d, %.100s", name, c.got.status, c.got.text)
		}
		if retry := c.got.header.Get("Retry-After"); (retry != "") != (c.status == 503) {
			t.Errorf("%s: Retry-After %q", name, retry)
		}
	}
}

// TestNoListYet checks that a server without a list responds with 503 and never with an empty list.
func TestNoListYet(t *testing.T) {
	closed := newFakeDiscovery(t, 1)
	closed.Server.Close()
	s := startServer(t, testOptions(t, closed.address()))
	scope := s.register(1)
	for _, path := range []string{"/v1/servers", "/v1/servers?scope=" + scope, "/v1/servers?from=3&hold_ms=60000", "/v1/servers?destinations=AQ"} {
		if got := s.get("%s", path); got.status != 503 || got.header.Get("Retry-After") != "1" || !strings.Contains(got.text, "no list yet") {
			t.Errorf("%s: status %d, %s", path, got.status, got.text)
		}
	}
}

// TestChangeWakesAffectedWatches checks that an endpoint that moves to another destination wakes only the watches of its former and new scopes, of
// the former destination, and of the whole list.
func TestChangeWakesAffectedWatches(t *testing.T) {
	d := newFakeDiscovery(t, 7, endpoints(64)...)
	s := startServer(t, testOptions(t, d.address()))
	s.awaitIndex(7)
	former, next := 0, 1
	for partitionOf(next) == partitionOf(former) {
		next++
	}
	var idle []<-chan *reply
	for p := range uint32(64) {
		if p != partitionOf(former) && p != partitionOf(next) {
			idle = append(idle, s.getAsync("/v1/servers?scope=%s&from=7&hold_ms=60000", s.register(p)))
		}
	}
	left := s.getAsync("/v1/servers?scope=%s&from=7&hold_ms=60000", s.register(partitionOf(former)))
	joined := s.getAsync("/v1/servers?scope=%s&from=7&hold_ms=60000", s.register(partitionOf(next), 63))
	single := s.getAsync("/v1/servers?destinations=%s&from=7&hold_ms=60000", ownership.NewSet(uint32(former)))
	whole := s.getAsync("/v1/servers?from=7&hold_ms=60000")
	s.awaitWatchers(len(idle) + 4)
	d.change(endpoint("s-00000", next))
	for name, c := range map[string]struct {
		answer <-chan *reply
		want   string
	}{"left": {left, "s-00000-"}, "joined": {joined, "s-00000"}, "single": {single, "s-00000-"}, "whole": {whole, "s-00000"}} {
		if got := <-c.answer; got.names() != c.want || got.list.Snapshot || got.list.Index != 8 {
			t.Errorf("%s: %s", name, got.text)
		}
	}
	if f := s.collectStats(); f.WakeUps != 4 || f.Watchers != len(idle) {
		t.Errorf("%d watches were woken, %d still wait", f.WakeUps, f.Watchers)
	}
	if err := s.stop(); err != nil { // stopping responds to the held requests
		t.Error(err)
	}
	for _, answer := range idle {
		if got := <-answer; got.status != 200 || got.names() != "" || got.list.Index != 8 {
			t.Fatalf("after the stop: status %d, %s", got.status, got.text)
		}
	}
}

// TestHoldExpires checks that a held request without a change in its scope gets an empty delta with the current index of the list.
func TestHoldExpires(t *testing.T) {
	d := newFakeDiscovery(t, 7, endpoint("a", 1))
	s := startServer(t, testOptions(t, d.address()))
	s.awaitIndex(7)
	other := (partitionOf(1) + 1) % 64
	answer := s.getAsync("/v1/servers?scope=%s&from=7&hold_ms=300", s.register(other))
	s.awaitWatchers(1)
	s.awaitIndex(d.change(draining(endpoint("a", 1))))
	if got := <-answer; got.list.Index != 8 || got.list.Snapshot || got.names() != "" {
		t.Errorf("%s", got.text)
	}
}

// TestEveryEntryChanges checks that each scope gets all of its entries when all of them change at once.
func TestEveryEntryChanges(t *testing.T) {
	list := endpoints(2000)
	d := newFakeDiscovery(t, 7, list...)
	s := startServer(t, testOptions(t, d.address()))
	s.awaitIndex(7)
	var answers []<-chan *reply
	for p := range uint32(64) {
		answers = append(answers, s.getAsync("/v1/servers?scope=%s&from=7&hold_ms=60000", s.register(p)))
	}
	s.awaitWatchers(64)
	for i := range list {
		list[i] = draining(list[i])
	}
	d.change(list...)
	total := 0
	for p, answer := range answers {
		for _, e := range (<-answer).list.Endpoints {
			if total++; e.Status != agent.Draining || partitionOf(e.Group) != uint32(p) {
				t.Fatalf("partition %d: %+v", p, e)
			}
		}
	}
	if total != len(list) {
		t.Errorf("%d of %d entries were sent", total, len(list))
	}
}

// TestMissedChanges checks that a client that missed 10,000 changes gets a delta with each endpoint once and in its current state, and that a client
// that missed more than the log holds gets a snapshot.
func TestMissedChanges(t *testing.T) {
	d := newFakeDiscovery(t, 7, endpoints(100)...)
	options := testOptions(t, d.address())
	options.Limits = smallLimits
	s := startServer(t, options)
	s.awaitIndex(7)
	scope := s.register(partitionOf(5))
	for round := range 2 {
		for i := range 100 { // 100 lists of 100 changes
			changed := endpoints(100)
			for j := range changed {
				changed[j].Weight = float64(2 + i + 1000*round)
			}
			s.awaitIndex(d.change(changed...))
		}
		got := s.get("/v1/servers?scope=%s&from=7&hold_ms=0", scope)
		if got.list.Snapshot != (round == 1) || got.list.Index != int64(107+100*round) {
			t.Errorf("round %d: snapshot %t at index %d", round, got.list.Snapshot, got.list.Index)
		}
		names := map[string]bool{}
		for _, e := range got.list.Endpoints {
			if names[e.Name] || e.Weight != float64(101+1000*round) {
				t.Errorf("round %d: %+v", round, e)
			}
			names[e.Name] = true
		}
		if whole := s.get("/v1/servers?scope=%s", scope); len(whole.list.Endpoints) != len(names) {
			t.Errorf("round %d: %d entries, but %d in a snapshot", round, len(names), len(whole.list.Endpoints))
		}
	}
}

// TestIndexGoesBack checks what clients get after discovery has restarted its index at a lower value: a client with an index of the former count
// gets a snapshot, and a client with an index above both counts gets 503.
func TestIndexGoesBack(t *testing.T) {
	d := newFakeDiscovery(t, 100, endpoint("a", 1), endpoint("b", 1))
	options := testOptions(t, d.address())
	s := startServer(t, options)
	s.awaitIndex(100)
	scope := s.register(partitionOf(1))
	waits := s.getAsync("/v1/servers?scope=%s&from=100&hold_ms=60000", scope)
	s.awaitWatchers(1)
	d.restart(3, endpoint("b", 1))
	if got := <-waits; !got.list.Snapshot || got.list.Index != 3 || got.names() != "b" {
		t.Errorf("held request: %s", got.text)
	}
	check := func(s *testServer) {
		t.Helper()
		for from, want := range map[int]int{100: 200, 50: 200, 101: 503, 2: 200} {
			if got := s.get("/v1/servers?scope=%s&from=%d&hold_ms=0", scope, from); got.status != want || want == 200 && !got.list.Snapshot {
				t.Errorf("from %d: status %d, %s", from, got.status, got.text)
			}
		}
	}
	check(s)
	if err := s.stop(); err != nil {
		t.Error(err)
	}
	again := startServer(t, options)
	again.register(partitionOf(1))
	check(again)
}

// TestInvalidEntries checks that an invalid entry is rejected by itself and the previous state of its endpoint is kept, and that the log names some
// of the rejected entries and their total.
func TestInvalidEntries(t *testing.T) {
	logs := captureLogs(t)
	good := endpoint("good", 1)
	d := newFakeDiscovery(t, 7, good)
	s := startServer(t, testOptions(t, d.address()))
	s.awaitIndex(7)
	wrong := good
	wrong.Address = "nowhere"
	many := []agent.Endpoint{wrong, endpoint("other", 1)}
	for i := range 500 {
		e := endpoint(fmt.Sprint("invalid-", i), 1)
		e.Weight = -1
		many = append(many, e)
	}
	s.awaitIndex(d.change(many...))
	got := s.get("/v1/servers?destinations=%s", ownership.NewSet(1))
	if got.names() != "good other" {
		t.Errorf("%s", got.text)
	}
	if f := s.collectStats(); f.RefusedEntries != 501 {
		t.Errorf("%d entries were rejected", f.RefusedEntries)
	}
	text := logs.String()
	if n := strings.Count(text, "is rejected"); n != maxRejectedLogLines || !strings.Contains(text, "refused=501") {
		t.Errorf("%d lines:\n%s", n, text)
	}
}

// TestOverload checks that requests over the limit get 503, that held requests count towards it, and that GET /v1/figures is still served.
func TestOverload(t *testing.T) {
	logs := captureLogs(t)
	d := newFakeDiscovery(t, 7, endpoint("a", 1))
	options := testOptions(t, d.address())
	options.MaxRequests = 5
	s := startServer(t, options)
	s.awaitIndex(7)
	var held []<-chan *reply
	for range 5 {
		held = append(held, s.getAsync("/v1/servers?from=7&hold_ms=60000"))
	}
	s.awaitWatchers(5)
	for range 50 {
		if got := s.get("/v1/servers"); got.status != 503 || got.header.Get("Retry-After") == "" {
			t.Fatalf("status %d, %s", got.status, got.text)
		}
	}
	if got := s.get("/v1/figures"); got.status != 200 || !strings.Contains(got.text, `"watchers": 5`) {
		t.Errorf("figures: %s", got.text)
	}
	d.change(draining(endpoint("a", 1)))
	for _, answer := range held {
		if got := <-answer; got.names() != "a~" {
			t.Errorf("%s", got.text)
		}
	}
	if n := strings.Count(logs.String(), "more requests"); n != 1 {
		t.Errorf("%d log lines about 50 rejected requests", n)
	}
}

// TestScopeEviction checks that the least recently used scope is evicted, and that a request held in it gets 404.
func TestScopeEviction(t *testing.T) {
	d := newFakeDiscovery(t, 7, endpoint("a", 1))
	options := testOptions(t, d.address())
	options.MaxScopes, options.MaxScopePartitions = 3, 10
	s := startServer(t, options)
	s.awaitIndex(7)
	first := s.register(1)
	waits := s.getAsync("/v1/servers?scope=%s&from=7&hold_ms=60000", first)
	s.awaitWatchers(1)
	second, third := s.register(2), s.register(1, 2)
	if s.register(3); (<-waits).status != 404 {
		t.Error("a request held in an evicted scope did not get 404")
	}
	s.register(1, 2, 3, 4, 5, 6, 7) // exceeds MaxScopePartitions together with the others
	for digest, want := range map[string]int{first: 404, second: 404, third: 200} {
		if got := s.get("/v1/servers?scope=%s", digest); got.status != want {
			t.Errorf("scope %s: status %d", digest, got.status)
		}
	}
}

// TestWatchedDestinationLimit checks that a request that would exceed the limit of watched single destinations gets 503, and that a request that
// ends releases its destinations.
func TestWatchedDestinationLimit(t *testing.T) {
	d := newFakeDiscovery(t, 7, endpoint("a", 1))
	s := startServer(t, testOptions(t, d.address()))
	s.awaitIndex(7)
	s.watches.mu.Lock()
	s.watches.maxDestinations = 3
	s.watches.mu.Unlock()
	held := s.getAsync("/v1/servers?destinations=%s&from=7&hold_ms=60000", ownership.NewSet(1, 2))
	s.awaitWatchers(1)
	if got := s.get("/v1/servers?destinations=%s&from=7&hold_ms=60000", ownership.NewSet(3, 4)); got.status != 503 || !strings.Contains(got.text, "are watched here") {
		t.Errorf("status %d: %s", got.status, got.text)
	}
	d.change(draining(endpoint("a", 1)))
	if got := <-held; got.names() != "a~" {
		t.Errorf("%s", got.text)
	}
	s.awaitWatchers(0)
	if got := s.get("/v1/servers?destinations=%s&from=8&hold_ms=1", ownership.NewSet(3, 4)); got.status != 200 {
		t.Errorf("after the first request has ended: status %d", got.status)
	}
}

// TestStreamedPart checks that a streamed part has the same entries as one that is built in memory.
func TestStreamedPart(t *testing.T) {
	d := newFakeDiscovery(t, 7, endpoints(3000)...)
	options := testOptions(t, d.address())
	small := startServer(t, options)
	options.StateDir, options.MaxBufferedEntries = t.TempDir(), 10
	large := startServer(t, options)
	var half []uint32
	for p := range uint32(32) {
		half = append(half, 2*p)
	}
	extra := ownership.NewSet(1, 2, 3, 4, 5, 6, 7, 8, 9, 10).String()
	var answers []*reply
	for _, s := range []*testServer{small, large} {
		s.awaitIndex(7)
		answers = append(answers, s.get("/v1/servers?scope=%s&destinations=%s", s.register(half...), extra))
	}
	if answers[0].names() != answers[1].names() || len(answers[1].list.Endpoints) < 1000 || !answers[1].list.Snapshot || answers[1].list.Index != 7 {
		t.Errorf("%d entries built in memory, %d streamed", len(answers[0].list.Endpoints), len(answers[1].list.Endpoints))
	}
	if a, b := small.collectStats().StreamedLists, large.collectStats().StreamedLists; a != 0 || b != 1 {
		t.Errorf("%d and %d lists were streamed, want 0 and 1", a, b)
	}
}

// TestCompression checks that a response over a kilobyte is compressed if the client accepts that, and that a smaller one is not.
func TestCompression(t *testing.T) {
	d := newFakeDiscovery(t, 7, endpoints(200)...)
	s := startServer(t, testOptions(t, d.address()))
	s.awaitIndex(7)
	var all []uint32
	for p := range uint32(64) {
		all = append(all, p)
	}
	for path, want := range map[string]struct {
		coding  string
		entries int
	}{"/v1/servers": {"gzip", 200}, "/v1/servers?scope=" + s.register(all...): {"gzip", 200}, "/v1/servers?destinations=AQ": {"", 1}} {
		request, _ := http.NewRequest(http.MethodGet, "http://"+s.address+path, nil)
		request.Header.Set("Accept-Encoding", "br, gzip;q=0.5")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		if got := response.Header.Get("Content-Encoding"); got != want.coding {
			t.Errorf("%s: coding %q", path, got)
			continue
		}
		var list agent.List
		from := json.NewDecoder(response.Body)
		if want.coding == "gzip" {
			plain, err := gzip.NewReader(response.Body)
			if err != nil {
				t.Fatal(err)
			}
			from = json.NewDecoder(plain)
		}
		if err := from.Decode(&list); err != nil || len(list.Endpoints) != want.entries {
			t.Errorf("%s: %d entries, %v", path, len(list.Endpoints), err)
		}
	}
}

// TestOlderBuild checks that a forwarder of an older build, which knows no scopes, can watch the whole list at a control server as it does at
// discovery.
func TestOlderBuild(t *testing.T) {
	d := newFakeDiscovery(t, 7, endpoints(3000)...)
	s := startServer(t, testOptions(t, d.address()))
	s.awaitIndex(7)
	lists := make(chan *agent.List)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	go agent.New(s.address, agent.Fleet{}).Watch(ctx, nil, func(l *agent.List) {
		select {
		case lists <- l:
		case <-ctx.Done():
		}
	})
	if l := <-lists; !l.Snapshot || l.Index != 7 || len(l.Endpoints) != 3000 {
		t.Fatalf("index %d, %d entries", l.Index, len(l.Endpoints))
	}
	d.change(draining(endpoint("s-00004", 4)), deleted(endpoint("s-00005", 5)))
	if l := <-lists; l.Snapshot || l.Index != 8 || len(l.Endpoints) != 2 {
		t.Errorf("%+v", l)
	}
}

// TestOptions checks that an invalid option is rejected with an error that names it.
func TestOptions(t *testing.T) {
	for want, change := range map[string]func(*Options){
		"name":       func(o *Options) { o.Name = "" },
		"upstream":   func(o *Options) { o.Upstream = "nowhere" },
		"state":      func(o *Options) { o.StateDir = "" },
		"peers":      func(o *Options) { o.Peers = []string{"x"} },
		"partitions": func(o *Options) { o.Layout.Partitions = 3 },
		"lease":      func(o *Options) { o.Lease = time.Millisecond },
	} {
		options := testOptions(t, "127.0.0.1:1")
		change(&options)
		if _, err := New(options); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
	options := testOptions(t, "127.0.0.1:1")
	startServer(t, options)
	if _, err := New(options); err == nil || !strings.Contains(err.Error(), "another control server uses it") {
		t.Errorf("a second server in the same folder: %v", err)
	}
}
