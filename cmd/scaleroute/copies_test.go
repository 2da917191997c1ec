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

// TestSecondCopies: a message that may be repeated goes out a second time, to the other endpoint, while its first call gets no answer, and that one
// is called off once the second is answered; one that may not be repeated stays with its first. A kill with both out loses nothing.
func TestSecondCopies(t *testing.T) {
	var mu sync.Mutex
	calls := map[string][]string{}
	off, answered := make(chan string, 100), make(chan string, 100)
	silent := func(string) bool { return false }
	open := func(name string) string {
		s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			id := r.Header.Get("Req-Id")
			mu.Lock()
			calls[id] = append(calls[id], name)
			first, none := len(calls[id]) == 1 && !strings.HasPrefix(id, "plain"), silent(id)
			mu.Unlock()
			if first || none {
				<-r.Context().Done()
				off <- id
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
	w := newWorld(t, func(http.ResponseWriter, string) {})
	w.args = []string{"-operators", path}
	p := w.start()
	send := func(id, class string, ms int) {
		t.Helper()
		if got := p.client().say("ENQUEUE", "0", id, fmt.Sprintf("c=%s,d=%d,dest=8", class, ms), "body"); got != "+OK" {
			t.Fatalf("%s: %q", id, got)
		}
	}
	at := func(id string) []string {
		mu.Lock()
		defer mu.Unlock()
		return append([]string(nil), calls[id]...)
	}
	plain := func() { // first tries, of which copies may be a fifth
		for n := range 40 {
			id := fmt.Sprintf("plain%d-%d", time.Now().UnixNano(), n)
			send(id, "harmless", 60000)
			w.await(answered, id)
		}
	}
	plain()
	for n := range 5 {
		id, began := fmt.Sprint("copied", n), time.Now()
		send(id, "harmless", 60000)
		w.await(answered, id)
		w.await(off, id)
		if took := time.Since(began); took > 20*time.Second { // a time-out would have come first
			t.Errorf("%s: called off after %v", id, took)
		}
		if c := at(id); len(c) != 2 || c[0] == c[1] {
			t.Errorf("%s went to %v", id, c)
		}
	}
	plain()
	send("once", "unsafe", 1000)
	w.await(w.notices, "once dead")
	if c := at("once"); len(c) != 1 {
		t.Errorf("what must not run twice went to %v", c)
	}
	plain()
	mu.Lock()
	silent = func(id string) bool { return id == "killed" && len(calls[id]) < 3 }
	mu.Unlock()
	send("killed", "harmless", 60000)
	for len(at("killed")) < 2 {
		time.Sleep(2 * time.Millisecond)
	}
	p.kill()
	p = w.start()
	w.await(answered, "killed")
}
