package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"scaleroute/internal/decide"
	"scaleroute/internal/engine"
)

// testPlatform stands in for discovery's address.
func testPlatform(t *testing.T, h http.HandlerFunc) *Platform {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return New(s.Listener.Addr().String(), Fleet{})
}

// TestWatch: the whole list first, then each change from the version before,
// and after an error again from where it was.
func TestWatch(t *testing.T) {
	var mu sync.Mutex
	var asked []string
	answers := []string{
		`{"index":41,"endpoints":[{"name":"a","address":"127.0.0.1:1","group":3,"status":"SERVING","weight":2.5}]}`,
		`{"index":43,"endpoints":[{"name":"a","address":"127.0.0.1:1","group":3,"status":"DRAINING"}]}`,
		`no list`,
		``,
		`{"index":44,"snapshot":false,"endpoints":[{"name":"a","group":3,"status":"DELETED"}]}`,
	}
	over := make(chan struct{})
	p := testPlatform(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		n := len(asked)
		asked = append(asked, r.URL.Query().Get("from"))
		mu.Unlock()
		switch {
		case n >= len(answers):
			<-over
		case answers[n] == "":
			w.WriteHeader(http.StatusInternalServerError)
		default:
			w.Write([]byte(answers[n]))
		}
	})
	t.Cleanup(func() { close(over) })
	lists := make(chan *List)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go p.Watch(ctx, nil, func(l *List) {
		select {
		case lists <- l:
		case <-ctx.Done():
		}
	})
	want := []struct {
		whole bool
		state decide.TargetState
	}{{true, decide.Active}, {false, decide.Draining}, {false, decide.Gone}}
	for _, w := range want {
		l := <-lists
		if e := l.EngineUpdate().Endpoints; l.Snapshot != w.whole || len(e) != 1 || e[0].State != w.state || e[0].Destination != 3 {
			t.Errorf("got %+v, want %+v", l, w)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if got := strings.Join(asked[:5], " "); got != " 41 43 43 43" {
		t.Errorf("asked from %q", got)
	}
}

// TestNotices: each is sent until it gets its 204, and one that can't be read
// does not keep out the others.
func TestNotices(t *testing.T) {
	var mu sync.Mutex
	taken := map[string]notice{}
	failures := 0
	p := testPlatform(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		var batch []notice
		for d := json.NewDecoder(r.Body); ; {
			var n notice
			if d.Decode(&n) != nil {
				break
			}
			batch = append(batch, n)
		}
		if failures++; failures <= 2 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(batch) > 1 || batch[0].Ref == "bad" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		taken[batch[0].Ref] = batch[0]
		w.WriteHeader(http.StatusNoContent)
	})
	p.NotifyCompletion(engine.Completion{ID: "bad", Failed: true})
	p.NotifyCompletion(engine.Completion{ID: "a", Failed: true})
	p.NotifyCompletion(engine.Completion{ID: "b", RetryAfter: 500 * time.Millisecond})
	sent := []notice{{Ref: "a", Result: "dead"}, {Ref: "b", Result: "bounced", WaitMS: 500}}
	arrived := make(chan string)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go p.DeliverNotices(ctx, func(refs []string) {
		for _, r := range refs {
			arrived <- r
		}
	})
	for _, n := range sent {
		if got := <-arrived; got != n.Ref {
			t.Errorf("%s arrived", got)
		}
		mu.Lock()
		if taken[n.Ref] != n {
			t.Errorf("taken: %+v, want %+v", taken[n.Ref], n)
		}
		mu.Unlock()
	}
}

// TestLargeList: a list far over 4 MiB is read whole; one without an end is given up, with the reason.
func TestLargeList(t *testing.T) {
	const n = 40_000
	endless := false
	p := testPlatform(t, func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, `{"index":7,"snapshot":true,"endpoints":[`)
		for i := 0; i < n || endless; i++ {
			if i > 0 {
				io.WriteString(w, ",")
			}
			_, err := fmt.Fprintf(w, `{"name":"s-%06d","address":"127.0.0.1:%d","zone":"a","type":"std","group":%d,"status":"SERVING","weight":1.5,"since_ms":0}`, i, i%60000, i/2)
			if err != nil {
				return
			}
		}
		io.WriteString(w, `]}`)
	})
	l, err := p.FetchSnapshot(time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	if len(l.Endpoints) != n || l.Endpoints[n-1].Group != (n-1)/2 {
		t.Errorf("%d endpoints, the last %+v", len(l.Endpoints), l.Endpoints[len(l.Endpoints)-1])
	}
	endless = true
	if _, err := p.FetchSnapshot(time.Minute); err == nil || !strings.Contains(err.Error(), "more than 64 MiB") {
		t.Errorf("an endless list: %v", err)
	}
}
