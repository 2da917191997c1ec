package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// reloadInForce is when what discovery says at its new address counts as received, after SIGHUP.
const reloadInForce = 4 * time.Second

// TestReloadIsInForce: SIGHUP names another discovery, which refuses the first two calls and then says that a target drains. From 4 s after the signal on that target gets
// nothing, and others do.
func TestReloadIsInForce(t *testing.T) {
	t.Parallel()
	w := newWorld(t, func(http.ResponseWriter, string) {})
	w.listing = w.entry("drains", 7, "SERVING") + "," + w.entry("serves", 9, "SERVING")
	p := w.start()
	w.silent.Store(true)
	var calls atomic.Int32
	over := make(chan bool)
	moved := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		switch {
		case calls.Add(1) <= 2:
			rw.WriteHeader(http.StatusServiceUnavailable)
		case r.URL.Query().Has("from"):
			<-over
		default:
			fmt.Fprintf(rw, `{"index":5,"snapshot":true,"endpoints":[%s,%s]}`, w.entry("drains", 7, "DRAINING"), w.entry("serves", 9, "SERVING"))
		}
	}))
	t.Cleanup(moved.Close)
	t.Cleanup(func() { close(over) })
	text, err := os.ReadFile(p.config)
	if err != nil {
		t.Fatal(err)
	}
	text = []byte(strings.ReplaceAll(string(text), w.discovery.Listener.Addr().String(), moved.Listener.Addr().String()))
	if err := os.WriteFile(p.config, text, 0o600); err != nil {
		t.Fatal(err)
	}
	p.cmd.Process.Signal(syscall.SIGHUP)
	time.Sleep(reloadInForce)
	c := p.client()
	if got := c.hand("to-7", "harmless", 7); got != "+OK" && !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("for 7: %q", got)
	}
	if got := c.hand("to-9", "harmless", 9); got != "+OK" {
		t.Errorf("for 9: %q", got)
	}
	w.made("to-9")
	if n := w.count("to-7"); n != 0 {
		t.Errorf("it was sent %d times to a target that drains", n)
	}
}
