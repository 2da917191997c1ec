package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

// TestReloadTightens: a reload that allows fewer attempts than a held message has used leaves that one its own; the next message has the new
// ones. A reload in the middle of a planned stop is taken, and the stop goes on in order.
func TestReloadTightens(t *testing.T) {
	reloaded := make(chan bool)
	var w *world
	w = newWorld(t, func(rw http.ResponseWriter, id string) {
		switch n := w.count(id); {
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
	c := p.client()
	for n := range 30 { // first tries, of which further ones may be a fifth
		id := fmt.Sprint("plain", n)
		c.enqueue(id, "harmless", 60000)
		w.await(w.called, id)
	}
	c.enqueue("held", "harmless", 60000)
	w.await(w.called, "held")
	w.await(w.called, "held")
	set(1)
	p.cmd.Process.Signal(syscall.SIGHUP)
	p.awaitLog("set by operators")
	close(reloaded)
	w.await(w.called, "held")
	c.enqueue("next", "harmless", 60000)
	w.await(w.notices, "next bounced")
	if n := w.count("next"); n != 1 {
		t.Errorf("%d attempts after the reload, 1 is allowed", n)
	}
	set(2)
	p.cmd.Process.Signal(syscall.SIGTERM)
	p.awaitLog("stopping")
	p.cmd.Process.Signal(syscall.SIGHUP)
	p.awaitLog("set by operators")
	p.awaitLog("stopped")
	if err := p.cmd.Wait(); err != nil {
		t.Errorf("the stop ended with %v", err)
	}
}
