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

// controlMain lets the test binary stand in for a control server: a process of its own that can be killed.
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

// The part of these tests: each partition has one owner, so that most destinations are somebody else's.
var partLayout = ownership.Layout{Partitions: 256, Replicas: 1}

var partMembers = []string{"n0", "n1", "n2", "n3"}

// partWorld is a world whose forwarder gets its list from control servers.
type partWorld struct {
	*world
	set     operator.Control
	fleet   *operator.Fleet // nil: none
	options control.Options
	servers []*controlProcess
	inside  []int // destinations of n0's part
	outside []int
	release chan bool // calls of messages whose names begin with hang are answered once it is closed
}

// controlProcess is one control server.
type controlProcess struct {
	w       *partWorld
	number  int
	address string
	cmd     *exec.Cmd
}

// newPartWorld starts so many control servers, which know so many destinations inside the part of n0 and outside, and four members.
func newPartWorld(t testing.TB, servers, destinations int) *partWorld {
	w := &partWorld{set: operator.DefaultControl(), release: make(chan bool),
		options: control.Options{Layout: partLayout, Lease: 10 * time.Minute, Settle: time.Millisecond, PublishEvery: 10 * time.Millisecond}}
	w.world = newWorld(t, func(_ http.ResponseWriter, id string) {
		if strings.HasPrefix(id, "hang") {
			<-w.release
		}
	})
	t.Cleanup(sync.OnceFunc(func() { w.let() }))
	w.set.Partitions, w.set.Replicas, w.set.LookupBytes = partLayout.Partitions, partLayout.Replicas, 1<<20
	w.noKnown, w.env = true, []string{"NODE_OPS=127.0.0.1:0"}
	own := partLayout.OwnedPartitions("n0", partMembers)
	for d := 1; len(w.inside) < destinations || len(w.outside) < destinations; d++ {
		if own.Contains(partLayout.PartitionOf(d)) {
			w.inside = append(w.inside, d)
		} else {
			w.outside = append(w.outside, d)
		}
	}
	w.inside, w.outside = w.inside[:destinations], w.outside[:destinations]
	var entries []string
	for _, d := range append(append([]int(nil), w.inside...), w.outside...) {
		entries = append(entries, w.entry(fmt.Sprint("s", d), d, "SERVING"))
	}
	w.mu.Lock()
	w.listing = strings.Join(entries, ",")
	w.mu.Unlock()
	for i := range servers {
		s := &controlProcess{w: w, number: i, address: "127.0.0.1:0"}
		s.start()
		w.servers = append(w.servers, s)
		w.set.Servers = append(w.set.Servers, s.address)
	}
	w.operators()
	for _, s := range w.servers {
		s.join(partMembers...)
	}
	return w
}

// let has the calls that hang answered.
func (w *partWorld) let() {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-w.release:
	default:
		close(w.release)
	}
}

// operators writes the operators' file.
func (w *partWorld) operators() {
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

// start runs the control server, again at the same address and with the same folder.
func (s *controlProcess) start() {
	t := s.w.t
	t.Helper()
	o := s.w.options
	o.Name, o.Upstream = fmt.Sprint("c", s.number), s.w.discovery.Listener.Addr().String()
	o.Folder = filepath.Join(s.w.state, "..", fmt.Sprint("control", s.number))
	text, err := json.Marshal(o)
	if err != nil {
		t.Fatal(err)
	}
	s.cmd = exec.Command(os.Args[0])
	s.cmd.Env = append(os.Environ(), endsAtOnce, "SCALEROUTE_TEST_CONTROL="+string(text), "SCALEROUTE_TEST_CONTROL_LISTEN="+s.address)
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
	t.Fatal("a control server has ended")
}

func (s *controlProcess) kill() {
	s.cmd.Process.Kill()
	s.cmd.Wait()
}

// join makes members, whose leases outlast the test.
func (s *controlProcess) join(names ...string) {
	s.w.t.Helper()
	for _, name := range names {
		s.get("/v1/members?name=" + name)
	}
}

// leave ends leases.
func (s *controlProcess) leave(name string) { s.get("/v1/members?leave=1&name=" + name) }

// get makes a call until it is answered.
func (s *controlProcess) get(path string) {
	s.w.t.Helper()
	for limit := time.Now().Add(patience); ; time.Sleep(5 * time.Millisecond) {
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

// status is how the forwarder stands.
func (p *process) status() (s controlclient.Status) {
	p.t.Helper()
	_, body := p.ask("GET", "/control")
	if err := json.Unmarshal([]byte(body), &s); err != nil {
		p.t.Fatalf("%s: %v", body, err)
	}
	return s
}

// statusWhen waits until something is true of it.
func (p *process) statusWhen(what string, is func(s controlclient.Status) bool) controlclient.Status {
	p.t.Helper()
	for limit := time.Now().Add(patience); ; time.Sleep(5 * time.Millisecond) {
		s := p.status()
		if is(s) {
			return s
		}
		if time.Now().After(limit) {
			p.t.Fatalf("%s: %+v", what, s)
		}
	}
}

// hasPart tells whether the forwarder has the part that it has among all members.
func hasPart(s controlclient.Status) bool { return hasPartAmong(s, partMembers) }

func hasPartAmong(s controlclient.Status, members []string) bool {
	return s.Complete && s.Members == len(members) && s.Partitions == partLayout.OwnedPartitions("n0", members).Len()
}

// deliver hands a message in until it is accepted, and waits for its call.
func (w *partWorld) deliver(c *client, id string, dest int) {
	w.t.Helper()
	w.accept(c, id, dest)
	w.made(id)
}

// accept hands a message in until it is accepted: on a busy machine a look-up may have no answer in time.
func (w *partWorld) accept(c *client, id string, dest int) {
	w.t.Helper()
	if got := w.lastAnswer(c, id, dest); got != "+OK" {
		w.t.Fatalf("%s for %d: %q", id, dest, got)
	}
}

// lastAnswer hands a message in until it is not refused with a retry-after.
func (w *partWorld) lastAnswer(c *client, id string, dest int) string {
	w.t.Helper()
	for limit := time.Now().Add(patience); ; time.Sleep(20 * time.Millisecond) {
		got := c.hand(id, "harmless", dest)
		if !strings.HasPrefix(got, "-BUSY") || time.Now().After(limit) {
			return got
		}
	}
}

// madeTwice waits until a harmless message has been sent again, after its first call went with a process.
func (w *partWorld) madeTwice(id string) {
	w.t.Helper()
	for limit := time.Now().Add(patience); w.count(id) < 2; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			w.t.Fatalf("%s was not called again", id)
		}
	}
}
