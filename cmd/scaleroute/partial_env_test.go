package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"scaleroute/internal/control"
	controlclient "scaleroute/internal/control/client"
	"scaleroute/internal/operator"
	"scaleroute/internal/ownership"
)

// controlMain runs a control server in the test binary, as a process of its own that a test can kill.
func controlMain(options string) {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	var o control.Options
	if err := json.Unmarshal([]byte(options), &o); err != nil {
		panic(err)
	}
	listener, err := net.Listen("tcp", os.Getenv("SCALEROUTE_TEST_CONTROL_LISTEN"))
	if err != nil {
		panic(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	server, err := control.New(o)
	if err != nil {
		panic(err)
	}
	slog.Info("control", "address", listener.Addr())
	if err := server.Run(ctx, listener); err != nil {
		panic(err)
	}
}

// partialListLayout has one owner for each partition, so that n0 does not own most destinations.
var partialListLayout = ownership.Layout{Partitions: 256, Replicas: 1}

var partialListMembers = []string{"n0", "n1", "n2", "n3"}

// partialListEnv is a test environment whose forwarder gets its endpoint list from control servers.
type partialListEnv struct {
	*testEnv
	set               operator.Control
	fleet             *operator.Fleet // nil: no fleet settings
	options           control.Options
	servers           []*controlProcess
	ownedDestinations []int // destinations of n0's part
	otherDestinations []int
	release           chan bool // closed to answer the calls of messages whose ids begin with hang
}

// controlProcess is one control server.
type controlProcess struct {
	w       *partialListEnv
	number  int
	address string
	cmd     *exec.Cmd
}

// newPartialListEnv starts control servers that have the given number of destinations inside n0's part and as many outside it, and registers
// four members.
func newPartialListEnv(t testing.TB, servers, destinations int) *partialListEnv {
	w := &partialListEnv{set: operator.DefaultControl(), release: make(chan bool),
		options: control.Options{Layout: partialListLayout, Lease: 10 * time.Minute, Settle: time.Millisecond, PublishEvery: 10 * time.Millisecond}}
	w.testEnv = newTestEnv(t, func(_ http.ResponseWriter, id string) {
		if strings.HasPrefix(id, "hang") {
			<-w.release
		}
	})
	t.Cleanup(sync.OnceFunc(func() { w.releaseCalls() }))
	w.set.Partitions, w.set.Replicas, w.set.LookupBytesPerSecond = partialListLayout.Partitions, partialListLayout.Replicas, 1<<20
	w.noInitialList, w.env = true, []string{"NODE_OPS=127.0.0.1:0"}
	own := partialListLayout.OwnedPartitions("n0", partialListMembers)
	for d := 1; len(w.ownedDestinations) < destinations || len(w.otherDestinations) < destinations; d++ {
		if own.Contains(partialListLayout.PartitionOf(d)) {
			w.ownedDestinations = append(w.ownedDestinations, d)
		} else {
			w.otherDestinations = append(w.otherDestinations, d)
		}
	}
	w.ownedDestinations, w.otherDestinations = w.ownedDestinations[:destinations], w.otherDestinations[:destinations]
	var entries []string
	for _, d := range append(append([]int(nil), w.ownedDestinations...), w.otherDestinations...) {
		entries = append(entries, w.endpointJSON(fmt.Sprint("s", d), d, "SERVING"))
	}
	w.mu.Lock()
	w.endpoints = strings.Join(entries, ",")
	w.mu.Unlock()
	for i := range servers {
		s := &controlProcess{w: w, number: i, address: "127.0.0.1:0"}
		s.start()
		w.servers = append(w.servers, s)
		w.set.Servers = append(w.set.Servers, s.address)
	}
	w.writeOperatorsFile()
	for _, s := range w.servers {
		s.join(partialListMembers...)
	}
	return w
}

// releaseCalls answers the calls of messages whose ids begin with hang.
func (w *partialListEnv) releaseCalls() {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.release:
	default:
		close(w.release)
	}
}

// writeOperatorsFile writes the operators' file for the processes that start next.
func (w *partialListEnv) writeOperatorsFile() {
	c := operator.Default()
	c.Control, c.Fleet = &w.set, w.fleet
	text, err := json.Marshal(c)
	if err != nil {
		w.t.Fatal(err)
	}
	file := filepath.Join(w.t.TempDir(), "operators.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		w.t.Fatal(err)
	}
	w.args = []string{"-operators", file}
}

// start runs the control server; a restarted one has the same address and state folder.
func (s *controlProcess) start() {
	t := s.w.t
	t.Helper()
	o := s.w.options
	o.Name, o.Upstream = fmt.Sprint("c", s.number), s.w.discovery.Listener.Addr().String()
	o.StateDir = filepath.Join(s.w.state, "..", fmt.Sprint("control", s.number))
	text, err := json.Marshal(o)
	if err != nil {
		t.Fatal(err)
	}
	s.cmd = exec.Command(os.Args[0])
	s.cmd.Env = append(os.Environ(), exitWithoutRaceDelay, "SCALEROUTE_TEST_CONTROL="+string(text), "SCALEROUTE_TEST_CONTROL_LISTEN="+s.address)
	log, err := s.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := s.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.kill)
	lines := bufio.NewScanner(log)
	for lines.Scan() {
		if _, address, found := strings.Cut(lines.Text(), "msg=control address="); found {
			s.address = address
			go io.Copy(io.Discard, log)
			return
		}
	}
	t.Fatal("a control server ended before it listened")
}

func (s *controlProcess) kill() {
	s.cmd.Process.Kill()
	s.cmd.Wait()
}

// join registers members with leases that outlast the test.
func (s *controlProcess) join(names ...string) {
	s.w.t.Helper()
	for _, name := range names {
		s.mustGet("/v1/members?name=" + name)
	}
}

// leave ends a member's lease.
func (s *controlProcess) leave(name string) { s.mustGet("/v1/members?leave=1&name=" + name) }

// mustGet repeats a request until it succeeds.
func (s *controlProcess) mustGet(path string) {
	s.w.t.Helper()
	for limit := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		resp, err := http.Get("http://" + s.address + path)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode < 300 {
				return
			}
		}
		if time.Now().After(limit) {
			s.w.t.Fatalf("%s: %v", path, err)
		}
	}
}

// controlStatus reads the forwarder's status of its partial list.
func (p *process) controlStatus() (s controlclient.Status) {
	p.t.Helper()
	_, body := p.admin("GET", "/control")
	if err := json.Unmarshal([]byte(body), &s); err != nil {
		p.t.Fatalf("%s: %v", body, err)
	}
	return s
}

// awaitControlStatus waits until the status of the partial list meets a condition.
func (p *process) awaitControlStatus(what string, is func(s controlclient.Status) bool) controlclient.Status {
	p.t.Helper()
	for limit := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		s := p.controlStatus()
		if is(s) {
			return s
		}
		if time.Now().After(limit) {
			p.t.Fatalf("%s: %+v", what, s)
		}
	}
}

// ownsPartOfAll reports whether the forwarder has received all partitions that it owns among all the members.
func ownsPartOfAll(s controlclient.Status) bool { return ownsPartAmong(s, partialListMembers) }

// ownsPartAmong is ownsPartOfAll for the given members.
func ownsPartAmong(s controlclient.Status, members []string) bool {
	return s.Complete && s.Members == len(members) && s.Partitions == partialListLayout.OwnedPartitions("n0", members).Len()
}

// enqueueAndAwaitCall sends a message until it is accepted, and waits for its call.
func (w *partialListEnv) enqueueAndAwaitCall(c *client, id string, dest int) {
	w.t.Helper()
	w.enqueueAccepted(c, id, dest)
	w.awaitCall(id)
}

// enqueueAccepted sends a message until it is accepted: on a busy machine a lookup may time out.
func (w *partialListEnv) enqueueAccepted(c *client, id string, dest int) {
	w.t.Helper()
	if got := w.enqueueUntilAnswered(c, id, dest); got != "+OK" {
		w.t.Fatalf("%s for %d: %q", id, dest, got)
	}
}

// enqueueUntilAnswered sends a message until the answer is not BUSY, and returns the answer.
func (w *partialListEnv) enqueueUntilAnswered(c *client, id string, dest int) string {
	w.t.Helper()
	for limit := time.Now().Add(testTimeout); ; time.Sleep(20 * time.Millisecond) {
		got := c.enqueueTo(id, "harmless", dest)
		if !strings.HasPrefix(got, "-BUSY") || time.Now().After(limit) {
			return got
		}
	}
}

// awaitSecondCall waits until a harmless message has been sent again, after its first call was lost with a killed process.
func (w *partialListEnv) awaitSecondCall(id string) {
	w.t.Helper()
	for limit := time.Now().Add(testTimeout); w.callCount(id) < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			w.t.Fatalf("%s was not sent again", id)
		}
	}
}
