package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// descriptorsOutsideBudgets is how many descriptors of a process may be used for other things than connections of clients and to endpoints (internal/config).
const descriptorsOutsideBudgets = 24

// mostListCalls is how many list calls may be in flight (internal/agent).
const mostListCalls = 8

// TestHungDiscoveryKeepsWithinDescriptors guards against list calls to a discovery that never answers, made beside each other, that use up the descriptors
// kept for the journal and for accepting clients.
func TestHungDiscoveryKeepsWithinDescriptors(t *testing.T) {
	t.Parallel()
	w := newTestEnv(t, func(http.ResponseWriter, string) {})
	w.discoveryHangs.Store(true)
	p := w.start()
	most, sockets := 0, 0
	for limit := time.Now().Add(testTimeout); sockets < mostListCalls && time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
		all, ofSockets := p.descriptors()
		most, sockets = max(most, all), max(sockets, ofSockets-1) // without the listener
	}
	if sockets < mostListCalls-1 { // the first is given up when the last begins
		t.Errorf("%d list calls at most", sockets)
	}
	if most > descriptorsOutsideBudgets {
		t.Errorf("%d descriptors, %d of them for list calls", most, sockets)
	}
}

// descriptors returns how many descriptors the process has, and how many of them are sockets.
func (p *process) descriptors() (all, sockets int) {
	links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", p.cmd.Process.Pid))
	for _, link := range links {
		target, err := os.Readlink(link)
		if err != nil {
			continue
		}
		if all++; strings.HasPrefix(target, "socket:") {
			sockets++
		}
	}
	return all, sockets
}
