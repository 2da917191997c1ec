package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// TestStaticEndpoints: the operators' file names an endpoint that discovery does not know. It is called, also after a kill, and no longer once a
// reload drains or removes it. The file can also withdraw an endpoint that discovery lists, and restore it.
func TestStaticEndpoints(t *testing.T) {
	called := make(chan string, 100)
	static := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { called <- r.Header.Get("Req-Id") }))
	defer static.Close()
	path := filepath.Join(t.TempDir(), "operators.json")
	set := func(pools string) {
		text := fmt.Sprintf(`{"format":1,"journal":{"durability":"process"},"pools":[%s]}`, pools)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	poolEight := func(more string) string {
		return fmt.Sprintf(`{"name":"p","destination":8,"endpoints":[{"name":"t1","address":%q%s}]}`, static.Listener.Addr(), more)
	}
	w := newTestEnv(t, func(http.ResponseWriter, string) {})
	drainSeven := fmt.Sprintf(`,{"name":"q","destination":7,"endpoints":[{"name":"s1","address":%q,"drain":true}]}`, w.target.Listener.Addr())
	set(poolEight(""))
	w.args = []string{"-operators", path}
	p := w.start()
	reload := func(pools, log string) {
		t.Helper()
		set(pools)
		p.cmd.Process.Signal(syscall.SIGHUP)
		p.awaitLog(log)
		time.Sleep(50 * time.Millisecond) // the log line comes before the engine applies the change, which a drain must within a second
	}
	send := func(id string, dest, ms int) {
		t.Helper()
		if got := p.connect().do("ENQUEUE", "0", id, fmt.Sprintf("c=harmless,d=%d,dest=%d", ms, dest), "body"); got != "+OK" {
			t.Fatalf("%s: %q", id, got)
		}
	}
	send("one", 8, 60000)
	w.awaitValue(called, "one")
	send("two", 7, 60000)
	w.awaitValue(w.called, "two")
	reload(poolEight(`,"drain":true`)+drainSeven, "draining")
	send("three", 8, 300)
	w.awaitValue(w.notices, "three bounced")
	send("four", 7, 300)
	w.awaitValue(w.notices, "four bounced")
	if len(called) > 0 || w.callCount("four") > 0 {
		t.Errorf("endpoints that the file drains were called: %d, %d", len(called), w.callCount("four"))
	}
	reload(poolEight(""), "not in this file")
	send("five", 8, 60000)
	w.awaitValue(called, "five")
	send("six", 7, 60000)
	w.awaitValue(w.called, "six")
	p.kill()
	p = w.start()
	send("seven", 8, 60000)
	w.awaitValue(called, "seven")
	reload("", "not in this file")
	send("eight", 8, 300)
	w.awaitValue(w.notices, "eight bounced")
	reload(`{"name":"p","destination":8,"endpoints":[{"name":"t1","address":"example.org:80"}]}`, "no name is looked up")
}
