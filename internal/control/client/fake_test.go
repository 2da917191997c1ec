package client

import (
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"scaleroute/internal/agent"
	"scaleroute/internal/control/api"
	"scaleroute/internal/ownership"
	"scaleroute/internal/partial"
)

var testLayout = ownership.Layout{Partitions: 64, Replicas: 2}

const testTimeout = 30 * time.Second // limit on waits for an event that must happen

// sharedList is the endpoint list and the membership that the fake control servers of a test share.
type sharedList struct {
	mu      sync.Mutex
	index   int64
	entries map[string]listEntry
	members map[string]bool
	version int64         // of the members
	changed chan struct{} // closed and replaced at each change
}

// listEntry is an endpoint and the index of its latest change.
type listEntry struct {
	agent.Endpoint
	index int64
}

func newSharedList() *sharedList {
	return &sharedList{index: 1, entries: map[string]listEntry{}, members: map[string]bool{}, changed: make(chan struct{})}
}

// notifyChange wakes all held calls. The caller holds the lock.
func (l *sharedList) notifyChange() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// set adds or replaces an endpoint under the next index of the list.
func (l *sharedList) set(destination int, name, status string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	l.entries[name] = listEntry{agent.Endpoint{Name: name, Address: "127.0.0.1:1", Zone: "a", Type: "std", Group: destination, Status: status, Weight: 1}, l.index}
	l.notifyChange()
}

// setMembers replaces the set of members.
func (l *sharedList) setMembers(names ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members = map[string]bool{}
	for _, name := range names {
		l.members[name] = true
	}
	l.version++
	l.notifyChange()
}

// fakeServer is a fake control server.
type fakeServer struct {
	*sharedList
	t      *testing.T
	server *http.Server
	ln     net.Listener
	closed chan struct{}

	scopes      map[string]ownership.Set
	calls       map[string]int // number of calls by method and path without the query; "lookup" for look-ups
	listQueries []string       // query strings of the requests for lists
	lag         int64          // how much lower the index of its list is than that of sharedList
	// intercept may answer a request in place of the server; it returns whether it has. nil answers none.
	intercept func(w http.ResponseWriter, r *http.Request) bool
}

func newFakeServer(t *testing.T, l *sharedList) *fakeServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeServer{sharedList: l, t: t, ln: ln, closed: make(chan struct{}), scopes: map[string]ownership.Set{}, calls: map[string]int{}}
	f.server = &http.Server{Handler: f}
	go f.server.Serve(ln)
	t.Cleanup(f.close)
	return f
}

func (f *fakeServer) address() string { return f.ln.Addr().String() }

func (f *fakeServer) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.closed:
	default:
		close(f.closed)
		f.server.Close()
	}
}

// count returns the number of calls of a kind, as named in calls.
func (f *fakeServer) count(kind string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[kind]
}

// setIntercept sets or, with nil, removes the function that may answer requests in place of the server.
func (f *fakeServer) setIntercept(intercept func(w http.ResponseWriter, r *http.Request) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.intercept = intercept
}

func (f *fakeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind := r.Method + " " + strings.Join(strings.Split(r.URL.Path, "/")[:3], "/")
	if r.URL.Path == "/v1/servers" && !r.URL.Query().Has("scope") {
		kind = "lookup"
	}
	f.mu.Lock()
	f.calls[kind]++
	if r.URL.Path == "/v1/servers" {
		f.listQueries = append(f.listQueries, r.URL.RawQuery)
	}
	intercept := f.intercept
	f.mu.Unlock()
	if intercept != nil && intercept(w, r) {
		return
	}
	switch {
	case strings.HasPrefix(r.URL.Path, "/v1/scopes/"):
		f.register(w, r)
	case r.URL.Path == "/v1/members":
		f.serveMembers(w, r)
	default:
		f.serveList(w, r)
	}
}

// register answers the registration of a scope.
func (f *fakeServer) register(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Partitions int
		Set        string
	}
	err := json.NewDecoder(r.Body).Decode(&body)
	set, err2 := ownership.ParseSet(body.Set, 1<<20, uint64(body.Partitions))
	digest := strings.TrimPrefix(r.URL.Path, "/v1/scopes/")
	if err != nil || err2 != nil || digest != ownership.Digest(body.Partitions, body.Set) {
		http.Error(w, "invalid scope", http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	f.scopes[digest] = set
	f.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// answerHeld calls answer at once and after each change until it reports that it has answered. When the hold of the request ends, answer is called with last set
// and has to answer.
func (f *fakeServer) answerHeld(r *http.Request, answer func(last bool) bool) {
	ms, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	holdTimer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer holdTimer.Stop()
	for last := !r.URL.Query().Has("from"); ; {
		f.mu.Lock()
		changed := f.changed
		f.mu.Unlock()
		if answer(last) {
			return
		}
		select {
		case <-changed:
		case <-holdTimer.C:
			last = true
		case <-r.Context().Done():
			return
		case <-f.closed:
			return
		}
	}
}

// serveList answers a watch of the list or a look-up.
func (f *fakeServer) serveList(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	extra, err := ownership.ParseSet(q.Get("destinations"), 1<<16, 1<<32)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	scope, known := f.scopes[q.Get("scope")]
	f.mu.Unlock()
	if q.Has("scope") && !known {
		http.Error(w, "unknown scope", http.StatusNotFound)
		return
	}
	from, err := strconv.ParseInt(q.Get("from"), 10, 64)
	if err != nil {
		from = partial.NoIndex
	}
	f.answerHeld(r, func(last bool) bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		index := f.index - f.lag
		if from > index {
			http.Error(w, "behind", http.StatusServiceUnavailable)
			return true
		}
		v := agent.List{Index: index, Snapshot: from == partial.NoIndex, Endpoints: []agent.Endpoint{}}
		for _, e := range f.entries {
			wanted := scope.Contains(testLayout.PartitionOf(e.Group)) || extra.Contains(uint32(e.Group))
			if wanted && e.index > from && e.index <= index && !(v.Snapshot && e.Status == agent.Deleted) {
				v.Endpoints = append(v.Endpoints, e.Endpoint)
			}
		}
		if len(v.Endpoints) == 0 && !last {
			return false
		}
		answerJSON(w, r, v)
		return true
	})
}

// serveMembers answers a watch of the members, always with a snapshot.
func (f *fakeServer) serveMembers(w http.ResponseWriter, r *http.Request) {
	q, epoch := r.URL.Query(), f.address()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	f.answerHeld(r, func(last bool) bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !last && q.Get("epoch") == epoch && from == f.version {
			return false
		}
		a := api.Members{Epoch: epoch, Index: f.version, Snapshot: true, LeaseMS: 60_000}
		for name := range f.members {
			a.Members = append(a.Members, api.Member{Name: name, Zone: "a", Status: api.Serving})
		}
		answerJSON(w, r, a)
		return true
	})
}

// answerJSON writes v as JSON, compressed if it is large and the client accepts gzip.
func answerJSON(w http.ResponseWriter, r *http.Request, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	if len(text) < 1<<10 || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		w.Write(text)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	z := gzip.NewWriter(w)
	z.Write(text)
	z.Close()
}

// truncateAnswer sends the first part of an answer and closes the connection.
func truncateAnswer(w http.ResponseWriter, r *http.Request) bool {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"index\":99,\"snapshot\":true,\"endpoints\":[{\"name\":\"x\",\"address\":\"127.0.0.1:1\",\"group\":1,\"status\":\"SERVING\"}")
	conn.Close()
	return true
}

// destinationsOf returns n destinations in a part and n destinations outside it.
func destinationsOf(part ownership.Set, n int) (inside, outside []int) {
	for d := 0; len(inside) < n || len(outside) < n; d++ {
		if part.Contains(testLayout.PartitionOf(d)) {
			inside = append(inside, d)
		} else {
			outside = append(outside, d)
		}
	}
	return inside[:n], outside[:n]
}

func endpointName(destination int) string { return fmt.Sprint("s", destination) }
