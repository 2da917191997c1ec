package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestHedgedRequests: while the first call of a message that may be repeated gets no answer, a hedged request goes to the other endpoint, and the first
// call is cancelled once the hedged request is answered. A message that may not be repeated has no hedged request. If the process is killed with both calls
// in flight, the next one delivers the message.
func TestHedgedRequests(t *testing.T) {
	var mu sync.Mutex
	calls := map[string][]string{}
	cancelled, answered := make(chan string, 100), make(chan string, 100)
	silent := func(string) bool { return false }
	open := func(name string) string {
		s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			id := r.Header.Get("Req-Id")
			mu.Lock()
			calls[id] = append(calls[id], name)
			isFirst, isSilent := len(calls[id]) == 1 && !strings.HasPrefix(id, "plain"), silent(id)
			mu.Unlock()
			if isFirst || isSilent {
				<-r.Context().Done()
				cancelled <- id
				return
			}
			answered <- id
		}))
		t.Cleanup(s.Close)
		return s.Listener.Addr().String()
	}
	path := filepath.Join(t.TempDir(), "operators.json")
	text := fmt.Sprintf(`{"format":1,"journal":{"durability":"process"},"limits":[{"name":"twice","classes":["harmless"],"copy":"100ms"}],
		"pools":[{"name":"p","destination":8,"endpoints":[{"name":"a","address":%q},{"name":"b","address":%q}]}]}`, open("a"), open("b"))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	w := newTestEnv(t, func(http.ResponseWriter, string) {})
	w.args = []string{"-operators", path}
	p := w.start()
	send := func(id, class string, ms int) {
		t.Helper()
		if got := p.connect().do("ENQUEUE", "0", id, fmt.Sprintf("c=%s,d=%d,dest=8", class, ms), "body"); got != "+OK" {
			t.Fatalf("%s: %q", id, got)
		}
	}
	endpointsOf := func(id string) []string {
		mu.Lock()
		defer mu.Unlock()
		return append([]string(nil), calls[id]...)
	}
	sendPlain := func() { // first attempts; hedged requests may be a fifth of them
		for n := range 40 {
			id := fmt.Sprintf("plain%d-%d", time.Now().UnixNano(), n)
			send(id, "harmless", 60000)
			w.awaitValue(answered, id)
		}
	}
	sendPlain()
	for n := range 5 {
		id, began := fmt.Sprint("copied", n), time.Now()
		send(id, "harmless", 60000)
		w.awaitValue(answered, id)
		w.awaitValue(cancelled, id)
		if took := time.Since(began); took > 20*time.Second { // a timeout would have come first
			t.Errorf("%s: cancelled only after %v", id, took)
		}
		if c := endpointsOf(id); len(c) != 2 || c[0] == c[1] {
			t.Errorf("%s went to %v, want both endpoints once", id, c)
		}
	}
	sendPlain()
	send("once", "unsafe", 1000)
	w.awaitValue(w.notices, "once dead")
	if c := endpointsOf("once"); len(c) != 1 {
		t.Errorf("a message that must not run twice went to %v", c)
	}
	sendPlain()
	mu.Lock()
	silent = func(id string) bool { return id == "killed" && len(calls[id]) < 3 }
	mu.Unlock()
	send("killed", "harmless", 60000)
	for len(endpointsOf("killed")) < 2 {
		time.Sleep(2 * time.Millisecond)
	}
	p.kill()
	p = w.start()
	w.awaitValue(answered, "killed")
}
