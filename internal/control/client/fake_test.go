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

const patience = 30 * time.Second // for whatever must come in the end

// list is what the fake control servers of a test have in common.
type list struct {
	mu      sync.Mutex
	index   int64
	entries map[string]listEntry
	members map[string]bool
	version int64 // of the members
	changed chan struct{}
}

type listEntry struct {
	agent.Endpoint
	index int64
}

func newList() *list {
	return &list{index: 1, entries: map[string]listEntry{}, members: map[string]bool{}, changed: make(chan struct{})}
}

func (l *list) stir() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// set makes the next version of the list.
func (l *list) set(destination int, name, status string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	l.entries[name] = listEntry{agent.Endpoint{Name: name, Address: "127.0.0.1:1", Zone: "a", Type: "std", Group: destination, Status: status, Weight: 1}, l.index}
	l.stir()
}

func (l *list) setMembers(names ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members = map[string]bool{}
	for _, name := range names {
		l.members[name] = true
	}
	l.version++
	l.stir()
}

// fake is one control server.
type fake struct {
	*list
	t      *testing.T
	server *http.Server
	ln     net.Listener
	over   chan struct{}

	scopes map[string]ownership.Set
	calls  map[string]int // by method and path, without the query
	asked  []string       // queries of lists
	lag    int64          // how far its list is behind
	spoil  func(w http.ResponseWriter, r *http.Request) bool
}

func newFake(t *testing.T, l *list) *fake {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fake{list: l, t: t, ln: ln, over: make(chan struct{}), scopes: map[string]ownership.Set{}, calls: map[string]int{}}
	f.server = &http.Server{Handler: f}
	go f.server.Serve(ln)
	t.Cleanup(f.close)
	return f
}

func (f *fake) address() string { return f.ln.Addr().String() }

func (f *fake) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.over:
	default:
		close(f.over)
		f.server.Close()
	}
}

func (f *fake) count(what string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[what]
}

// spoils has calls answered in another way; nil: as usual.
func (f *fake) spoils(spoil func(w http.ResponseWriter, r *http.Request) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.spoil = spoil
}

func (f *fake) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind := r.Method + " " + strings.Join(strings.Split(r.URL.Path, "/")[:3], "/")
	if r.URL.Path == "/v1/servers" && !r.URL.Query().Has("scope") {
		kind = "lookup"
	}
	f.mu.Lock()
	f.calls[kind]++
	if r.URL.Path == "/v1/servers" {
		f.asked = append(f.asked, r.URL.RawQuery)
	}
	spoil := f.spoil
	f.mu.Unlock()
	if spoil != nil && spoil(w, r) {
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

func (f *fake) register(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Partitions int
		Set        string
	}
	err := json.NewDecoder(r.Body).Decode(&body)
	set, err2 := ownership.ParseSet(body.Set, 1<<20, uint64(body.Partitions))
	digest := strings.TrimPrefix(r.URL.Path, "/v1/scopes/")
	if err != nil || err2 != nil || digest != ownership.Digest(body.Partitions, body.Set) {
		http.Error(w, "no scope", http.StatusBadRequest)
		return
	}
	f.mu.Lock()
	f.scopes[digest] = set
	f.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// held calls answer at once and after each change, until it has done so or the hold is over.
func (f *fake) held(r *http.Request, answer func(last bool) bool) {
	ms, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	end := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer end.Stop()
	for last := !r.URL.Query().Has("from"); ; {
		f.mu.Lock()
		changed := f.changed
		f.mu.Unlock()
		if answer(last) {
			return
		}
		select {
		case <-changed:
		case <-end.C:
			last = true
		case <-r.Context().Done():
			return
		case <-f.over:
			return
		}
	}
}

func (f *fake) serveList(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	beside, err := ownership.ParseSet(q.Get("destinations"), 1<<16, 1<<32)
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
	f.held(r, func(last bool) bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		index := f.index - f.lag
		if from > index {
			http.Error(w, "behind", http.StatusServiceUnavailable)
			return true
		}
		v := agent.List{Index: index, Snapshot: from == partial.NoIndex, Endpoints: []agent.Endpoint{}}
		for _, e := range f.entries {
			wanted := scope.Contains(testLayout.PartitionOf(e.Group)) || beside.Contains(uint32(e.Group))
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

func (f *fake) serveMembers(w http.ResponseWriter, r *http.Request) {
	q, epoch := r.URL.Query(), f.address()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	f.held(r, func(last bool) bool {
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

// cutOff answers with the beginning of an answer, and ends the connection.
func cutOff(w http.ResponseWriter, r *http.Request) bool {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"index\":99,\"snapshot\":true,\"endpoints\":[{\"name\":\"x\",\"address\":\"127.0.0.1:1\",\"group\":1,\"status\":\"SERVING\"}")
	conn.Close()
	return true
}

// destinationsOf lists so many destinations in a part, and as many outside.
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

func name(destination int) string { return fmt.Sprint("s", destination) }
