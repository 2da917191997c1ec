package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"scaleroute/internal/operator"
	"scaleroute/internal/route"
)

// callRecorder starts endpoints and records which messages reach them.
type callRecorder struct {
	mu            sync.Mutex
	endpointsByID map[string][]string // the endpoints that each message was sent to
	calledIDs     chan string
}

// startEndpoint starts an endpoint that answers each call with the status, and returns its address.
func (p *callRecorder) startEndpoint(t *testing.T, name string, status int) string {
	s := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		id := r.Header.Get("Req-Id")
		p.mu.Lock()
		p.endpointsByID[id] = append(p.endpointsByID[id], name)
		p.mu.Unlock()
		rw.WriteHeader(status)
		p.calledIDs <- id
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// TestRoutes sends thousands of messages. Each goes where the explanation of the operators' file says, by class, destination, fields and weights,
// and by the new routes after a reload; a message without a route is rejected if the file says so. A queued message keeps its route after a kill.
func TestRoutes(t *testing.T) {
	p := &callRecorder{endpointsByID: map[string][]string{}, calledIDs: make(chan string, 10_000)}
	seven := 7
	set := operator.Default()
	pool := func(name string, dest *int, endpoints ...operator.PoolEndpoint) {
		for i := range endpoints {
			endpoints[i].Name, endpoints[i].Address = fmt.Sprint(name, i), p.startEndpoint(t, fmt.Sprint(name, i), 200)
		}
		set.Pools = append(set.Pools, operator.Pool{Name: name, Destination: dest, Endpoints: endpoints})
	}
	pool("handovers", nil, operator.PoolEndpoint{})
	pool("tartu", nil, operator.PoolEndpoint{Weight: 3}, operator.PoolEndpoint{Weight: 1})
	pool("late", nil, operator.PoolEndpoint{})
	pool("seven", &seven, operator.PoolEndpoint{Backup: false})
	set.Pools = append(set.Pools, operator.Pool{Name: "failing", Endpoints: []operator.PoolEndpoint{{Name: "failing0", Address: p.startEndpoint(t, "failing0", 503)}}})
	set.Routes = []operator.Route{
		{Name: "1", Classes: []string{"unsafe"}, Pool: "handovers"},
		{Name: "2", Fields: map[string]string{"campaign": "tartu-*"}, Pool: "tartu"},
		{Name: "3", Fields: map[string]string{"campaign": "tartu-old"}, Destinations: []int{7, 9}, Pool: "late"},
		{Name: "4", Fields: map[string]string{"campaign": "/[0-9]+/"}, Order: 1, Pool: "seven"},
		{Name: "5", Destinations: []int{99}, Pool: "failing"},
	}
	set.Limits = []operator.Limit{{Name: "two", Routes: []string{"5"}, MaxAttempts: 2}}
	path := filepath.Join(t.TempDir(), "operators.json")
	put := func() {
		t.Helper()
		if err := set.Error(set.Check()); err != nil {
			t.Fatal(err)
		}
		text, err := json.Marshal(set)
		if err == nil {
			err = os.WriteFile(path, text, 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	put()
	w := newTestEnv(t, func(_ http.ResponseWriter, id string) { p.calledIDs <- id })
	w.args, w.diskMB = []string{"-operators", path}, 50
	proc := w.start()
	rng := rand.New(rand.NewPCG(1, 2))
	// Few messages go to destination 7: by its weight in discovery it accepts 50 a second.
	fields := []string{"campaign=17", "campaign=tartu-old", "campaign=tartu-1", "campaign=tartu-", "campaign=tartu-1", "campaign=x7", ""}
	sendAndCheck := func(name string, n int) {
		t.Helper()
		c, want, left, parts := proc.connect(), map[string]string{}, 0, map[string]int{}
		awaitOne := func() {
			t.Helper()
			id := ""
			select {
			case id = <-p.calledIDs:
			case <-time.After(testTimeout):
				t.Fatalf("%d messages were not received", left)
			}
			if _, isExpected := want[id]; !isExpected {
				return
			}
			left--
			p.mu.Lock()
			at := strings.Join(p.endpointsByID[id], " ")
			p.mu.Unlock()
			if at == "" {
				at = "seven" // the endpoint that discovery lists
			}
			parts[at]++
			if !strings.HasPrefix(at, want[id]) || strings.Contains(at, " ") {
				t.Fatalf("%s went to %q, and the explanation says %s", id, at, want[id])
			}
		}
		for i := range n {
			id, class, dest, field := fmt.Sprint(name, i), []string{"harmless", "unsafe"}[rng.IntN(2)], []int{7, 8, 8, 8, 9, 9, 9}[rng.IntN(7)], fields[rng.IntN(len(fields))]
			m := &route.Message{Front: "resp2", Class: class, Destination: dest, Field: func(string) (string, bool) {
				_, v, isFound := strings.Cut(field, "=")
				return v, isFound
			}}
			list, err := set.Explain(m)
			if err != nil {
				t.Fatal(err)
			}
			explained := list[0].New
			got := c.do("ENQUEUE", "0", id, strings.TrimSuffix(fmt.Sprintf("c=%s,d=60000,dest=%d,%s", class, dest, field), ","), "body")
			switch {
			case strings.Contains(explained, `pool "`):
				_, want[id], _ = strings.Cut(explained, `pool "`)
				want[id] = strings.TrimSuffix(want[id], `"`)
			case explained == "destination 7" || strings.HasSuffix(explained, "to destination 7"):
				want[id] = "seven"
			case set.Unrouted == operator.RejectUnrouted:
				if got != "-ERR no route" {
					t.Fatalf("%s: %q, and %s", id, got, explained)
				}
				continue
			default: // the destination has no endpoint
				if got != "-ERR unknown destination" {
					t.Fatalf("%s: %q, and %s", id, got, explained)
				}
				continue
			}
			if got != "+OK" {
				t.Fatalf("%s: %q", id, got)
			}
			for left++; left > 40; { // the queue has room for 100
				awaitOne()
			}
		}
		for left > 0 {
			awaitOne()
		}
		if a, b := float64(parts["tartu0"]), float64(parts["tartu1"]); n > 1000 && (a+b < 100 || a/(a+b) < 0.70 || a/(a+b) > 0.80) {
			t.Errorf("two endpoints of weights 3 and 1 received %v", parts)
		}
	}
	sendAndCheck("a", 2000)
	if got := proc.connect().do("ENQUEUE", "0", "two", "c=harmless,d=60000,dest=99", "body"); got != "+OK" {
		t.Fatal(got)
	}
	w.awaitValue(w.notices, "two bounced")
	if n := len(p.endpointsByID["two"]); n != 2 {
		t.Errorf("%d attempts by a route with a limit of 2", n)
	}
	if got := proc.connect().do("ENQUEUE", "0", "no", fmt.Sprintf("c=harmless,d=60000,dest=%d", set.Pools[0].DestinationNumber()), "body"); got != "-ERR bad destination" {
		t.Errorf("a client used the number of a pool as a destination: %q", got)
	}

	// A message is queued for a pool whose endpoint does not listen yet. After a kill it keeps its route, though the operators' file no longer has it.
	late := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { p.calledIDs <- "late " + r.Header.Get("Req-Id") }))
	defer late.Close()
	address := late.Listener.Addr().String()
	late.Listener.Close()
	set.Pools = append(set.Pools, operator.Pool{Name: "not yet", Endpoints: []operator.PoolEndpoint{{Name: "n", Address: address}}})
	set.Routes = append(set.Routes, operator.Route{Name: "6", Classes: []string{"harmless"}, Destinations: []int{8}, Fields: map[string]string{"held": "*"}, Pool: "not yet"})
	set.Unrouted = operator.RejectUnrouted
	put()
	proc.cmd.Process.Signal(syscall.SIGHUP)
	proc.awaitLog("set by operators")
	if got := proc.connect().do("ENQUEUE", "0", "held", "c=harmless,d=60000,dest=8,held=yes", "body"); got != "+OK" {
		t.Fatal(got)
	}
	proc.kill()
	set.Routes = set.Routes[:5]
	put()
	proc = w.start()
	relisten(t, late, address)
	w.awaitValue(p.calledIDs, "late held")
	sendAndCheck("b", 500)
}

func relisten(t *testing.T, s *httptest.Server, address string) {
	t.Helper()
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Skip("another process uses the port: ", err)
	}
	s.Listener = l
	s.Start()
}
