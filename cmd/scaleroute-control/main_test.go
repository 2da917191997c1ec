package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"scaleroute/internal/agent"
	"scaleroute/internal/control"
	"scaleroute/internal/control/api"
	"scaleroute/internal/ownership"
)

// processMarker is an environment variable that makes the test binary run the program, so that tests can kill a real process.
const processMarker = "SCALEROUTE_CONTROL_TEST_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(processMarker) != "" {
		os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// fakeDiscovery is a fake of the discovery service: each increment of its index sets the next endpoint to draining.
type fakeDiscovery struct {
	*httptest.Server
	entries     int
	index       atomic.Int64 // also the number of draining endpoints
	unavailable atomic.Bool
}

func newFakeDiscovery(t *testing.T, entries int) *fakeDiscovery {
	d := &fakeDiscovery{entries: entries}
	d.Server = httptest.NewServer(d)
	t.Cleanup(d.Close)
	return d
}

func (d *fakeDiscovery) address() string { return d.Listener.Addr().String() }

func (d *fakeDiscovery) endpoint(i int, index int64) agent.Endpoint {
	e := agent.Endpoint{Name: fmt.Sprintf("endpoint-%07d", i), Address: fmt.Sprintf("10.0.%d.%d:80", i>>8&255, i&255), Zone: "z1", Type: "std", Group: i, Status: agent.Serving, Weight: 1}
	if int64(i) < index {
		e.Status = agent.Draining
	}
	return e
}

func (d *fakeDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.unavailable.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	for limit := time.Now().Add(time.Duration(hold) * time.Millisecond); err == nil && d.index.Load() <= from && time.Now().Before(limit); {
		time.Sleep(5 * time.Millisecond)
	}
	index := d.index.Load()
	answer := agent.List{Index: index, Snapshot: err != nil, Endpoints: []agent.Endpoint{}}
	for i := range d.entries {
		if answer.Snapshot || int64(i) >= from && int64(i) < index {
			answer.Endpoints = append(answer.Endpoints, d.endpoint(i, index))
		}
	}
	json.NewEncoder(w).Encode(answer)
}

// process is a control server that runs in a separate process.
type process struct {
	t       *testing.T
	program string // path of the binary; empty: the test binary
	command *exec.Cmd
	address string
	args    []string
	logs    *syncBuffer
	ended   chan error
}

type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// freeAddress returns an address that is currently free. Peers need each other's addresses before they start.
func freeAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func startProcess(t *testing.T, address string, args ...string) *process {
	t.Helper()
	p := &process{t: t, address: address, args: append([]string{"--listen=" + address, "--partitions=64", "--publish=20ms"}, args...)}
	p.start()
	t.Cleanup(func() {
		p.command.Process.Kill()
		<-p.ended
	})
	return p
}

func (p *process) start() {
	p.t.Helper()
	p.logs, p.ended = &syncBuffer{}, make(chan error, 1)
	program := p.program
	if program == "" {
		program = os.Args[0]
	}
	p.command = exec.Command(program, p.args...)
	p.command.Env = append(os.Environ(), processMarker+"=1")
	p.command.Stderr = p.logs
	if err := p.command.Start(); err != nil {
		p.t.Fatal(err)
	}
	go func(command *exec.Cmd, ended chan<- error) { ended <- command.Wait(); close(ended) }(p.command, p.ended)
}

func (p *process) kill() {
	p.command.Process.Kill()
	<-p.ended
}

// get sends a request. The error is one of the connection; HTTP errors are in status.
func (p *process) get(path string) (status int, text string, err error) {
	response, err := http.Get("http://" + p.address + path)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

func (p *process) stats() (f control.Stats) {
	if _, text, err := p.get("/v1/figures"); err == nil {
		json.Unmarshal([]byte(text), &f)
	}
	return f
}

func (p *process) await(what string, condition func(control.Stats) bool) {
	p.t.Helper()
	for limit := time.Now().Add(60 * time.Second); !condition(p.stats()); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(limit) {
			p.t.Fatalf("%s: condition not met after a minute: %+v\n%s", what, p.stats(), p.logs)
		}
	}
}

func (p *process) awaitPersisted(index int64) {
	p.t.Helper()
	p.await(fmt.Sprint("index ", index, " is persisted"), func(f control.Stats) bool { return f.Name != "" && f.Index == index && f.PersistedIndex == index })
}

// register registers a scope of one partition.
func (p *process) register(partition uint32) (digest string) {
	p.t.Helper()
	layout, set := ownership.Layout{Partitions: 64, Replicas: 3}, ownership.NewSet(partition)
	body, _ := json.Marshal(api.Scope{Partitions: layout.Partitions, Set: set.String()})
	request, _ := http.NewRequest(http.MethodPut, "http://"+p.address+"/v1/scopes/"+layout.Digest(set), bytes.NewReader(body))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		p.t.Fatal(err)
	}
	response.Body.Close()
	return layout.Digest(set)
}

// members sends a members request as a forwarder and returns the names in the response, or the status and error if it failed.
func (p *process) members(name string) string {
	status, text, err := p.get("/v1/members?name=" + name)
	if err != nil || status != http.StatusOK {
		return fmt.Sprint(status, err)
	}
	var answer api.Members
	if err := json.Unmarshal([]byte(text), &answer); err != nil {
		p.t.Fatal(err)
	}
	var names []string
	for _, each := range answer.Members {
		names = append(names, each.Name)
	}
	return strings.Join(names, " ")
}

// awaitMembers sends requests of one forwarder to each server until each forwarder sees all of them.
func awaitMembers(t *testing.T, servers []*process) {
	t.Helper()
	var want []string
	for i := range servers {
		want = append(want, fmt.Sprint("f", i))
	}
	for limit := time.Now().Add(60 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		agreed := 0
		for i, p := range servers {
			if got := p.members(want[i]); got == strings.Join(want, " ") {
				agreed++
			} else if time.Now().After(limit) {
				t.Fatalf("%s sees %q, want %q\n%s", want[i], got, want, p.logs)
			}
		}
		if agreed == len(servers) {
			return
		}
	}
}

// TestKillDuringResponse kills a server while it sends the whole list. The client must notice that the response is truncated. The restarted server
// must serve the same list while discovery is unavailable, and clients must register their scopes again.
func TestKillDuringResponse(t *testing.T) {
	d := newFakeDiscovery(t, 30_000)
	d.index.Store(5)
	p := startProcess(t, freeAddress(t), "--name=a", "--upstream="+d.address(), "--state="+t.TempDir())
	p.awaitPersisted(5)
	d.index.Store(9)
	p.awaitPersisted(9)
	scope := p.register(7)
	_, before, err := p.get("/v1/servers?scope=" + scope)
	if err != nil {
		t.Fatal(err)
	}
	request, _ := http.NewRequest(http.MethodGet, "http://"+p.address+"/v1/servers", nil)
	request.Header.Set("Accept-Encoding", "identity")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(response.Body, make([]byte, 1000)); err != nil {
		t.Fatal(err)
	}
	p.kill()
	if _, err := io.Copy(io.Discard, response.Body); err == nil {
		t.Error("the response of a killed server ended without an error")
	}
	response.Body.Close()

	d.unavailable.Store(true)
	p.start()
	p.awaitPersisted(9)
	if status, text, err := p.get("/v1/servers?scope=" + scope); status != http.StatusNotFound || !strings.Contains(text, api.UnknownScope) {
		t.Errorf("a scope registered at the previous process: status %d, %s, %v", status, text, err)
	}
	p.register(7)
	if status, after, err := p.get("/v1/servers?scope=" + scope); err != nil || status != http.StatusOK || !sameEntries(t, before, after) {
		t.Errorf("after the restart: status %d, %v, %d bytes, but %d before", status, err, len(after), len(before))
	}
	if status, _, _ := p.get("/v1/servers?from=10"); status != http.StatusServiceUnavailable {
		t.Errorf("request with an index ahead of the server's: status %d", status)
	}
	d.unavailable.Store(false)
	d.index.Store(10)
	p.awaitPersisted(10)
}

// sameEntries reports whether two lists have the same index and entries, in any order.
func sameEntries(t *testing.T, a, b string) bool {
	t.Helper()
	var lists [2]agent.List
	for i, text := range []string{a, b} {
		if err := json.Unmarshal([]byte(text), &lists[i]); err != nil {
			t.Fatal(err)
		}
	}
	seen := map[agent.Endpoint]bool{}
	for _, e := range lists[0].Endpoints {
		seen[e] = true
	}
	for _, e := range lists[1].Endpoints {
		if !seen[e] {
			return false
		}
	}
	return lists[0].Index == lists[1].Index && len(lists[0].Endpoints) == len(lists[1].Endpoints)
}

// TestServersKilled kills two of three servers: the remaining one must continue to serve all members. Then it kills that one too and restarts all
// while discovery is unavailable: they must restore the list and the members.
func TestServersKilled(t *testing.T) {
	d := newFakeDiscovery(t, 1000)
	d.index.Store(1)
	var addresses []string
	for range 3 {
		addresses = append(addresses, freeAddress(t))
	}
	var servers []*process
	for i, address := range addresses {
		var peers []string
		for j, other := range addresses {
			if j != i {
				peers = append(peers, other)
			}
		}
		servers = append(servers, startProcess(t, address, fmt.Sprintf("--name=control-%d", i), "--upstream="+d.address(), "--state="+t.TempDir(),
			"--settle=1s", "--lease=60s", "--peers="+strings.Join(peers, ",")))
	}
	awaitMembers(t, servers)
	for _, p := range servers {
		p.awaitPersisted(1)
	}
	last := servers[2]
	for _, p := range servers[:2] {
		p.kill()
	}
	d.index.Store(2)
	last.awaitPersisted(2)
	for _, name := range []string{"f0", "f1", "f2"} { // they continue at the remaining server before their leases expire
		if got := last.members(name); got != "f0 f1 f2" {
			t.Errorf("%s sees %q with one server left", name, got)
		}
	}
	if status, text, err := last.get("/v1/servers?destinations=" + ownership.NewSet(1).String()); err != nil || status != http.StatusOK || !strings.Contains(text, agent.Draining) {
		t.Errorf("with one server left: status %d, %s, %v", status, text, err)
	}
	last.await("the leases are persisted", func(f control.Stats) bool {
		return f.PersistedLeases == 3
	})
	last.kill()
	if _, _, err := last.get("/v1/figures"); err == nil {
		t.Error("a killed server responds")
	}
	d.unavailable.Store(true)
	for i, p := range servers {
		p.start()
		p.awaitPersisted(map[bool]int64{true: 2, false: 1}[i == 2]) // the first two missed a change and respond with 503 to a client that has it
	}
	awaitMembers(t, servers)
	if status, _, _ := servers[0].get("/v1/servers?from=2"); status != http.StatusServiceUnavailable {
		t.Errorf("a server with an older index than the client: status %d", status)
	}
	d.unavailable.Store(false)
	for _, p := range servers {
		p.awaitPersisted(2)
	}
}

// TestTermination checks that a server responds to held requests immediately on SIGTERM, and exits with status 0.
func TestTermination(t *testing.T) {
	d := newFakeDiscovery(t, 100)
	d.index.Store(3)
	p := startProcess(t, freeAddress(t), "--name=a", "--upstream="+d.address(), "--state="+t.TempDir())
	p.awaitPersisted(3)
	answers := make(chan string, 2)
	for _, path := range []string{"/v1/servers?from=3&hold_ms=60000", "/v1/servers?scope=" + p.register(7) + "&from=3&hold_ms=60000"} {
		go func() {
			status, text, err := p.get(path)
			answers <- fmt.Sprint(status, " ", strings.TrimSpace(text), err)
		}()
	}
	p.await("two held requests", func(f control.Stats) bool { return f.Watchers == 2 })
	p.command.Process.Signal(syscall.SIGTERM)
	for range 2 {
		if got := <-answers; got != `200 {"index":3,"snapshot":false,"endpoints":[]}<nil>` {
			t.Errorf("a held request: %s", got)
		}
	}
	if err := <-p.ended; err != nil {
		t.Errorf("the process exited with %v:\n%s", err, p.logs)
	}
}

// TestUsage checks that an invalid setting is named in the output, and that the exit status is 2 for an invalid command line and 1 for a setting
// that fails later.
func TestUsage(t *testing.T) {
	folder := t.TempDir()
	for _, c := range []struct {
		args   string
		status int
		text   string
	}{
		{"", 2, "--listen"},
		{"--help", 0, "Folder for the list and leases of this server"},
		{"--listen=127.0.0.1:0 --upstream=x --state=" + folder + " --name=a", 1, "upstream"},
		{"--listen=127.0.0.1:0 --upstream=127.0.0.1:1 --state=" + folder + " --name=a --partitions=100", 1, "a power of two"},
		{"--listen=nowhere --upstream=127.0.0.1:1 --state=" + folder + " --name=a", 1, "listen"},
	} {
		command := exec.Command(os.Args[0], strings.Fields(c.args)...)
		command.Env = append(os.Environ(), processMarker+"=1")
		text, err := command.CombinedOutput()
		status := 0
		if exit := (*exec.ExitError)(nil); errors.As(err, &exit) {
			status = exit.ExitCode()
		}
		if status != c.status || !strings.Contains(string(text), c.text) {
			t.Errorf("%q: status %d\n%s", c.args, status, text)
		}
	}
}
