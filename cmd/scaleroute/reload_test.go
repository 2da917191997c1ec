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

// reloadDeadline is the time after SIGHUP by which the list of the new discovery must be in effect.
const reloadDeadline = 4 * time.Second

// TestReloadTakesEffectInTime: SIGHUP switches to another discovery, which answers the first two requests with 503 and then with a list in which an
// endpoint drains. From 4 s after the signal on that endpoint receives no message, and others do.
func TestReloadTakesEffectInTime(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t, func(http.ResponseWriter, string) {})
	w.endpoints = w.endpointJSON("drains", 7, "SERVING") + "," + w.endpointJSON("serves", 9, "SERVING")
	p := w.start()
	w.discoveryHangs.Store(true)
	var calls atomic.Int32
	done := make(chan bool)
	newDiscovery := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		switch {
		case calls.Add(1) <= 2:
			rw.WriteHeader(http.StatusServiceUnavailable)
		case r.URL.Query().Has("from"):
			<-done
		default:
			fmt.Fprintf(rw, `{"index":5,"snapshot":true,"endpoints":[%s,%s]}`, w.endpointJSON("drains", 7, "DRAINING"), w.endpointJSON("serves", 9, "SERVING"))
		}
	}))
	t.Cleanup(newDiscovery.Close)
	t.Cleanup(func() { close(done) })
	text, err := os.ReadFile(p.config)
	if err != nil {
		t.Fatal(err)
	}
	text = []byte(strings.ReplaceAll(string(text), w.discovery.Listener.Addr().String(), newDiscovery.Listener.Addr().String()))
	if err := os.WriteFile(p.config, text, 0o600); err != nil {
		t.Fatal(err)
	}
	p.cmd.Process.Signal(syscall.SIGHUP)
	time.Sleep(reloadDeadline)
	c := p.connect()
	if got := c.enqueueTo("to-7", "harmless", 7); got != "+OK" && !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("for destination 7: %q", got)
	}
	if got := c.enqueueTo("to-9", "harmless", 9); got != "+OK" {
		t.Errorf("for destination 9: %q", got)
	}
	w.awaitCall("to-9")
	if n := w.callCount("to-7"); n != 0 {
		t.Errorf("the message was sent %d times to an endpoint that drains", n)
	}
}
