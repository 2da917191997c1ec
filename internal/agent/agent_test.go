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

// newTestPlatform returns a Platform whose discovery is the handler h.
func newTestPlatform(t *testing.T, h http.HandlerFunc) *Platform {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return New(s.Listener.Addr().String(), Fleet{})
}

// TestWatchReportsSnapshotThenChanges guards against a watch that skips or repeats changes: the first call requests the snapshot, each further one the
// changes after the last index, and after an error the same changes again.
func TestWatchReportsSnapshotThenChanges(t *testing.T) {
	var mu sync.Mutex
	var requestedFrom []string
	answers := []string{
		`{"index":41,"endpoints":[{"name":"a","address":"127.0.0.1:1","group":3,"status":"SERVING","weight":2.5}]}`,
		`{"index":43,"endpoints":[{"name":"a","address":"127.0.0.1:1","group":3,"status":"DRAINING"}]}`,
		`no list`,
		``,
		`{"index":44,"snapshot":false,"endpoints":[{"name":"a","group":3,"status":"DELETED"}]}`,
	}
	done := make(chan struct{})
	p := newTestPlatform(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		n := len(requestedFrom)
		requestedFrom = append(requestedFrom, r.URL.Query().Get("from"))
		mu.Unlock()
		switch {
		case n >= len(answers):
			<-done
		case answers[n] == "":
			w.WriteHeader(http.StatusInternalServerError)
		default:
			w.Write([]byte(answers[n]))
		}
	})
	t.Cleanup(func() { close(done) })
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
	if got := strings.Join(requestedFrom[:5], " "); got != " 41 43 43 43" {
		t.Errorf("requested changes after %q", got)
	}
}

// TestNoticesAreSentUntilAccepted checks that each notice is repeated until it is answered with 204, and that an unreadable notice
// does not block the others of its batch.
func TestNoticesAreSentUntilAccepted(t *testing.T) {
	var mu sync.Mutex
	accepted := map[string]notice{}
	requests := 0
	p := newTestPlatform(t, func(w http.ResponseWriter, r *http.Request) {
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
		if requests++; requests <= 2 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(batch) > 1 || batch[0].Ref == "bad" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		accepted[batch[0].Ref] = batch[0]
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
		if accepted[n.Ref] != n {
			t.Errorf("accepted: %+v, want %+v", accepted[n.Ref], n)
		}
		mu.Unlock()
	}
}

// TestLargeList checks that a list far over 4 MiB is read completely, and that reading an endless one fails with an error that names the limit.
func TestLargeList(t *testing.T) {
	const n = 40_000
	endless := false
	p := newTestPlatform(t, func(w http.ResponseWriter, r *http.Request) {
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
