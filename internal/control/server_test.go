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

// TestParts: a scope is served its partitions, and destinations beside it; look-ups name what they want; a destination that does not exist has no
// entries, and neither has a scope without destinations.
func TestParts(t *testing.T) {
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
			want = got.names() // in whatever order
			if len(got.list.Endpoints) != 4 {
				t.Errorf("the whole list: %s", got.names())
			}
		}
		if got.status != 200 || !got.list.Snapshot || got.list.Index != 7 || got.names() != want {
			t.Errorf("%s: status %d, %s, want %s", path, got.status, got.text, want)
		}
	}
	if got := s.get("/v1/servers?destinations=%s", ownership.NewSet(2)).list.Endpoints[0]; got != endpoint("b", 2) {
		t.Errorf("an entry has become %+v", got)
	}
}

// TestRefusedCalls: each call that can't be right is answered with what is wrong.
func TestRefusedCalls(t *testing.T) {
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

// TestNoListYet: without a list there is no answer that could be taken for an empty one.
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

// TestOnlyThoseTouchedAreWoken: a change wakes the watches of its destination's former and new scopes, of the destination itself, and of the whole list.
func TestOnlyThoseTouchedAreWoken(t *testing.T) {
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
			idle = append(idle, s.getAside("/v1/servers?scope=%s&from=7&hold_ms=60000", s.register(p)))
		}
	}
	left := s.getAside("/v1/servers?scope=%s&from=7&hold_ms=60000", s.register(partitionOf(former)))
	joined := s.getAside("/v1/servers?scope=%s&from=7&hold_ms=60000", s.register(partitionOf(next), 63))
	single := s.getAside("/v1/servers?destinations=%s&from=7&hold_ms=60000", ownership.NewSet(uint32(former)))
	whole := s.getAside("/v1/servers?from=7&hold_ms=60000")
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
	if f := s.snapshotFigures(); f.WakeUps != 4 || f.Watchers != len(idle) {
		t.Errorf("%d have been woken, %d wait", f.WakeUps, f.Watchers)
	}
	if err := s.stop(); err != nil { // which answers those that still wait
		t.Error(err)
	}
	for _, answer := range idle {
		if got := <-answer; got.status != 200 || got.names() != "" || got.list.Index != 8 {
			t.Fatalf("at the end: status %d, %s", got.status, got.text)
		}
	}
}

// TestHoldEnds: a watch in which nothing happens ends with the list's index as it is now.
func TestHoldEnds(t *testing.T) {
	d := newFakeDiscovery(t, 7, endpoint("a", 1))
	s := startServer(t, testOptions(t, d.address()))
	s.awaitIndex(7)
	other := (partitionOf(1) + 1) % 64
	answer := s.getAside("/v1/servers?scope=%s&from=7&hold_ms=300", s.register(other))
	s.awaitWatchers(1)
	s.awaitIndex(d.change(draining(endpoint("a", 1))))
	if got := <-answer; got.list.Index != 8 || got.list.Snapshot || got.names() != "" {
		t.Errorf("%s", got.text)
	}
}

// TestEveryEntryChanges: each scope is answered with all that it has.
func TestEveryEntryChanges(t *testing.T) {
	list := endpoints(2000)
	d := newFakeDiscovery(t, 7, list...)
	s := startServer(t, testOptions(t, d.address()))
	s.awaitIndex(7)
	var answers []<-chan *reply
	for p := range uint32(64) {
		answers = append(answers, s.getAside("/v1/servers?scope=%s&from=7&hold_ms=60000", s.register(p)))
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
		t.Errorf("%d entries are sent, of %d", total, len(list))
	}
}

// TestMissedChanges: who missed 10,000 changes gets these, each endpoint once and as it is now; who missed more than the log has gets a snapshot.
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
			t.Errorf("round %d: %d entries, and %d in a snapshot", round, len(names), len(whole.list.Endpoints))
		}
	}
}

// TestIndexGoesBack: discovery counts anew; whoever watches from the former count gets a snapshot of the new one, and who is ahead of both is refused.
func TestIndexGoesBack(t *testing.T) {
	d := newFakeDiscovery(t, 100, endpoint("a", 1), endpoint("b", 1))
	options := testOptions(t, d.address())
	s := startServer(t, options)
	s.awaitIndex(100)
	scope := s.register(partitionOf(1))
	waits := s.getAside("/v1/servers?scope=%s&from=100&hold_ms=60000", scope)
	s.awaitWatchers(1)
	d.restart(3, endpoint("b", 1))
	if got := <-waits; !got.list.Snapshot || got.list.Index != 3 || got.names() != "b" {
		t.Errorf("who waited: %s", got.text)
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

// TestSpoiltEntries: each is refused alone, and what was known under its name stays; the log names some of them and says how many there are.
func TestSpoiltEntries(t *testing.T) {
	logs := captureLogs(t)
	good := endpoint("good", 1)
	d := newFakeDiscovery(t, 7, good)
	s := startServer(t, testOptions(t, d.address()))
	s.awaitIndex(7)
	wrong := good
	wrong.Address = "nowhere"
	many := []agent.Endpoint{wrong, endpoint("other", 1)}
	for i := range 500 {
		e := endpoint(fmt.Sprint("spoilt-", i), 1)
		e.Weight = -1
		many = append(many, e)
	}
	s.awaitIndex(d.change(many...))
	got := s.get("/v1/servers?destinations=%s", ownership.NewSet(1))
	if got.names() != "good other" {
		t.Errorf("%s", got.text)
	}
	if f := s.snapshotFigures(); f.RefusedEntries != 501 {
		t.Errorf("%d are refused", f.RefusedEntries)
	}
	text := logs.String()
	if n := strings.Count(text, "is refused"); n != maxRefusedLines || !strings.Contains(text, "refused=501") {
		t.Errorf("%d lines:\n%s", n, text)
	}
}

// TestOverload: requests over the bound are answered with 503, held ones count, and figures are served all the same.
func TestOverload(t *testing.T) {
	logs := captureLogs(t)
	d := newFakeDiscovery(t, 7, endpoint("a", 1))
	options := testOptions(t, d.address())
	options.MaxRequests = 5
	s := startServer(t, options)
	s.awaitIndex(7)
	var held []<-chan *reply
	for range 5 {
		held = append(held, s.getAside("/v1/servers?from=7&hold_ms=60000"))
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
		t.Errorf("%d lines about 50 refusals", n)
	}
}

// TestScopesAreBounded: the scope that was not used for longest leaves, and a watch held in it is answered with 404.
func TestScopesAreBounded(t *testing.T) {
	d := newFakeDiscovery(t, 7, endpoint("a", 1))
	options := testOptions(t, d.address())
	options.MaxScopes, options.MaxScopePartitions = 3, 10
	s := startServer(t, options)
	s.awaitIndex(7)
	first := s.register(1)
	waits := s.getAside("/v1/servers?scope=%s&from=7&hold_ms=60000", first)
	s.awaitWatchers(1)
	second, third := s.register(2), s.register(1, 2)
	if s.register(3); (<-waits).status != 404 {
		t.Error("a scope that has left is still watched")
	}
	s.register(1, 2, 3, 4, 5, 6, 7) // has no room beside the three
	for digest, want := range map[string]int{first: 404, second: 404, third: 200} {
		if got := s.get("/v1/servers?scope=%s", digest); got.status != want {
			t.Errorf("scope %s: status %d", digest, got.status)
		}
	}
}

// TestWatchedDestinationsAreBounded: a watch of more single destinations than there is room for is refused, and one that ends makes room.
func TestWatchedDestinationsAreBounded(t *testing.T) {
	d := newFakeDiscovery(t, 7, endpoint("a", 1))
	s := startServer(t, testOptions(t, d.address()))
	s.awaitIndex(7)
	s.watches.mu.Lock()
	s.watches.maxDestinations = 3
	s.watches.mu.Unlock()
	held := s.getAside("/v1/servers?destinations=%s&from=7&hold_ms=60000", ownership.NewSet(1, 2))
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
		t.Errorf("once there is room: status %d", got.status)
	}
}

// TestLargePart: a part that is sent piece by piece has the same entries as one that is built in memory.
func TestLargePart(t *testing.T) {
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
		t.Errorf("%d entries in memory, %d in pieces", len(answers[0].list.Endpoints), len(answers[1].list.Endpoints))
	}
	if a, b := small.snapshotFigures().StreamedLists, large.snapshotFigures().StreamedLists; a != 0 || b != 1 {
		t.Errorf("%d and %d are sent piece by piece", a, b)
	}
}

// TestCompression: an answer over a kilobyte is compressed where the caller accepts that, a smaller one is not.
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

// TestOlderBuild: a build that knows no scopes watches the whole list at a control server as it does at discovery.
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

// TestOptions: what can't be right is refused with the setting's name.
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
