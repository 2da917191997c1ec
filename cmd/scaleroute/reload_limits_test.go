package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

// TestReloadLowersAttemptLimit: a reload lowers the attempt limit below what a queued message has used. That message keeps its limit, and the next
// message has the new one. A reload during a planned shutdown is applied, and the shutdown completes in order.
func TestReloadLowersAttemptLimit(t *testing.T) {
	reloaded := make(chan bool)
	var w *testEnv
	w = newTestEnv(t, func(rw http.ResponseWriter, id string) {
		switch n := w.callCount(id); {
		case id == "held" && n == 2:
			<-reloaded
			rw.WriteHeader(http.StatusInternalServerError)
		case id == "held" && n < 3, id == "next":
			rw.WriteHeader(http.StatusInternalServerError)
		}
	})
	path := filepath.Join(t.TempDir(), "operators.json")
	set := func(attempts int) {
		text := fmt.Sprintf(`{"format":1,"journal":{"durability":"process"},"limits":[{"name":"l","destinations":[7],"attempts":%d}]}`, attempts)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	set(4)
	w.args = []string{"-operators", path}
	p := w.start()
	c := p.connect()
	for n := range 30 { // first attempts; retries may be a fifth of them
		id := fmt.Sprint("plain", n)
		c.mustEnqueue(id, "harmless", 60000)
		w.awaitValue(w.called, id)
	}
	c.mustEnqueue("held", "harmless", 60000)
	w.awaitValue(w.called, "held")
	w.awaitValue(w.called, "held")
	set(1)
	p.cmd.Process.Signal(syscall.SIGHUP)
	p.awaitLog("set by operators")
	close(reloaded)
	w.awaitValue(w.called, "held")
	c.mustEnqueue("next", "harmless", 60000)
	w.awaitValue(w.notices, "next bounced")
	if n := w.callCount("next"); n != 1 {
		t.Errorf("%d attempts after the reload, the limit is 1", n)
	}
	set(2)
	p.cmd.Process.Signal(syscall.SIGTERM)
	p.awaitLog("stopping")
	p.cmd.Process.Signal(syscall.SIGHUP)
	p.awaitLog("set by operators")
	p.awaitLog("stopped")
	if err := p.cmd.Wait(); err != nil {
		t.Errorf("the shutdown ended with %v", err)
	}
}
