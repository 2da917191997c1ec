package control

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"scaleroute/internal/agent"
	"scaleroute/internal/catalog"
	"scaleroute/internal/control/api"
	"scaleroute/internal/ownership"
)

// fakeDiscovery is a fake of the discovery service with a list that a test changes.
type fakeDiscovery struct {
	*httptest.Server
	mu        sync.Mutex
	index     int64
	endpoints map[string]agent.Endpoint
	changedAt map[string]int64 // index of the last change by name, deleted endpoints included
	changed   chan struct{}
	calls     int
}

func newFakeDiscovery(t *testing.T, index int64, endpoints ...agent.Endpoint) *fakeDiscovery {
	d := &fakeDiscovery{index: index, endpoints: map[string]agent.Endpoint{}, changedAt: map[string]int64{}, changed: make(chan struct{})}
	for _, e := range endpoints {
		d.endpoints[e.Name] = e
	}
	d.Server = httptest.NewServer(d)
	t.Cleanup(d.Server.Close)
	t.Cleanup(d.Server.CloseClientConnections)
	return d
}

func (d *fakeDiscovery) address() string { return d.Listener.Addr().String() }

// change sets the state of some entries under the next index, and returns that index.
func (d *fakeDiscovery) change(endpoints ...agent.Endpoint) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	for _, e := range endpoints {
		d.endpoints[e.Name], d.changedAt[e.Name] = e, d.index
	}
	close(d.changed)
	d.changed = make(chan struct{})
	return d.index
}

// restart replaces the list and sets its index, as a restart of discovery does.
func (d *fakeDiscovery) restart(index int64, endpoints ...agent.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index = index
	clear(d.endpoints)
	clear(d.changedAt)
	for _, e := range endpoints {
		d.endpoints[e.Name] = e
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *fakeDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, hold := int64(-1), 0
	if text := r.URL.Query().Get("from"); text != "" {
		from, _ = strconv.ParseInt(text, 10, 64)
		hold, _ = strconv.Atoi(r.URL.Query().Get("hold_ms"))
	}
	timeout := time.After(time.Duration(hold) * time.Millisecond)
	d.mu.Lock()
	d.calls++
	for isOver := false; d.index == from && !isOver; {
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			isOver = true
		case <-r.Context().Done():
			isOver = true
		}
		d.mu.Lock()
	}
	answer := agent.List{Index: d.index, Snapshot: from < 0 || from > d.index, Endpoints: []agent.Endpoint{}}
	for name, e := range d.endpoints {
		if answer.Snapshot && e.Status != agent.Deleted || !answer.Snapshot && d.changedAt[name] > from {
			answer.Endpoints = append(answer.Endpoints, e)
		}
	}
	d.mu.Unlock()
	json.NewEncoder(w).Encode(answer)
}

func endpoint(name string, group int) agent.Endpoint {
	return agent.Endpoint{Name: name, Address: "127.0.0.1:1", Zone: "z1", Type: "std", Group: group, Status: agent.Serving, Weight: 1.5}
}

func draining(e agent.Endpoint) agent.Endpoint {
	e.Status = agent.Draining
	return e
}

func deleted(e agent.Endpoint) agent.Endpoint {
	e.Status = agent.Deleted
	return e
}

func endpoints(n int) []agent.Endpoint {
	list := make([]agent.Endpoint, n)
	for i := range list {
		list[i] = endpoint(fmt.Sprintf("s-%05d", i), i)
	}
	return list
}

// testServer is a control server that runs in the test process.
type testServer struct {
	*Server
	t          *testing.T
	address    string
	stop       func() error
	hasStopped bool
}

var testLayout = ownership.Layout{Partitions: 64, Replicas: 2}

func testOptions(t *testing.T, upstream string) Options {
	return Options{Name: "control-1", Upstream: upstream, StateDir: t.TempDir(), Layout: testLayout, Settle: settleAtOnce, PublishEvery: 5 * time.Millisecond, SaveEvery: time.Hour}
}

func startServer(t *testing.T, options Options) *testServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return startServerAt(t, options, listener)
}

func startServerAt(t *testing.T, options Options, listener net.Listener) *testServer {
	t.Helper()
	server, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() { result <- server.Run(ctx, listener) }()
	s := &testServer{Server: server, t: t, address: listener.Addr().String()}
	s.stop = sync.OnceValue(func() error {
		s.hasStopped = true
		cancel()
		return <-result
	})
	t.Cleanup(func() {
		if s.hasStopped { // the test has checked the result
			return
		}
		if err := s.stop(); err != nil {
			t.Error(err)
		}
	})
	if options.Settle == settleAtOnce { // members are published from the first publication on
		s.await("settled", func(f Stats) bool { return f.Settled })
	}
	return s
}

// settleAtOnce is a settle time after which a server publishes its members at the first publication.
const settleAtOnce = time.Nanosecond

// reply is a response, with its list if it has one.
type reply struct {
	status int
	header http.Header
	text   string
	list   agent.List
}

// names returns the sorted names of the entries; ~ marks a draining one and - a deleted one.
func (r *reply) names() string {
	var names []string
	for _, e := range r.list.Endpoints {
		names = append(names, e.Name+map[string]string{agent.Draining: "~", agent.Deleted: "-"}[e.Status])
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

func (s *testServer) do(method, path, body string) *reply {
	s.t.Helper()
	request, err := http.NewRequest(method, "http://"+s.address+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		s.t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	got := &reply{status: response.StatusCode, header: response.Header, text: string(text)}
	if got.status == http.StatusOK {
		if err := json.Unmarshal(text, &got.list); err != nil {
			s.t.Fatalf("%s: %v in %.200s", path, err, text)
		}
	}
	return got
}

func (s *testServer) get(path string, args ...any) *reply {
	s.t.Helper()
	return s.do(http.MethodGet, fmt.Sprintf(path, args...), "")
}

// getAsync sends a request that may be held, and returns a channel for the reply.
func (s *testServer) getAsync(path string, args ...any) <-chan *reply {
	answer := make(chan *reply, 1)
	go func() { answer <- s.get(path, args...) }()
	return answer
}

// register registers a scope and returns its digest.
func (s *testServer) register(partitions ...uint32) string {
	s.t.Helper()
	set := ownership.NewSet(partitions...)
	body, _ := json.Marshal(api.Scope{Partitions: s.options.Layout.Partitions, Set: set.String()})
	digest := s.options.Layout.Digest(set)
	if got := s.do(http.MethodPut, "/v1/scopes/"+digest, string(body)); got.status != http.StatusNoContent {
		s.t.Fatalf("status %d: %s", got.status, got.text)
	}
	return digest
}

// await waits until the server's statistics meet a condition.
func (s *testServer) await(what string, condition func(Stats) bool) {
	s.t.Helper()
	for limit := time.Now().Add(20 * time.Second); !condition(s.collectStats()); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			s.t.Fatalf("%s: condition not met after 20 s: %+v", what, s.collectStats())
		}
	}
}

func (s *testServer) awaitIndex(index int64) {
	s.t.Helper()
	s.await(fmt.Sprint("index ", index), func(f Stats) bool { return f.Index == index })
}

func (s *testServer) awaitWatchers(n int) {
	s.t.Helper()
	s.await(fmt.Sprint(n, " watchers"), func(f Stats) bool { return f.Watchers == n })
}

// partitionOf returns the partition of a destination in the layout of the tests.
func partitionOf(destination int) uint32 { return testLayout.PartitionOf(destination) }

// captureLogs captures the log until the test ends.
func captureLogs(t *testing.T) *logCapture {
	logs, before := &logCapture{}, slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(logs, nil)))
	t.Cleanup(func() { slog.SetDefault(before) })
	return logs
}

type logCapture struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logCapture) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (l *logCapture) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func TestMain(m *testing.M) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

var smallLimits = catalog.Limits{Entries: 1 << 20, Changes: 12_000}
