package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// world is what a case runs in: a temporary folder, the record, and everything that has to be ended.
type world struct {
	root, dir string
	began     time.Time

	mu        sync.Mutex
	record    *os.File
	closers   []func()
	processes []*process
}

func newWorld(record string) (*world, error) {
	root, err := mustRoot()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	return &world{root: root, dir: dir, began: time.Now(), record: f}, nil
}

// note writes one line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// at tells a time as the record does.
func (w *world) at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(w.began).Seconds()) }

func (w *world) onClose(do func()) {
	w.mu.Lock()
	w.closers = append(w.closers, do)
	w.mu.Unlock()
}

// close ends all processes and stand-ins.
func (w *world) close() {
	w.mu.Lock()
	processes, closers := w.processes, w.closers
	w.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	for _, do := range closers {
		do()
	}
	os.RemoveAll(w.dir)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.Close()
}

// forwarder is the configuration of one forwarder: the process may be started several times, with the same folder.
type forwarder struct {
	w       *world
	listen  string
	state   string
	config  string
	env     []string
	restart int
	content forwarderConfig
}

// moveDiscovery replaces the configuration by one that names another address of discovery.
func (f *forwarder) moveDiscovery(to *discovery) error {
	f.content.Discovery = to.address()
	f.w.note("the configuration names discovery at %s", to.address())
	return f.write()
}

// write replaces the file of the configuration.
func (f *forwarder) write() error {
	text, err := json.Marshal(f.content)
	if err != nil {
		return err
	}
	next := f.config + ".next"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return err
	}
	return os.Rename(next, f.config)
}

// forwarderConfig is the file that NODE_CONFIG names.
type forwarderConfig struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	Ops       string         `json:"ops,omitempty"`
	Seed      string         `json:"seed"`
	Limits    map[string]any `json:"limits"`
	Known     any            `json:"known"`
	Settings  map[string]any `json:"settings"`
}

// freeAddress returns a loopback address whose port is free.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// newForwarder writes the configuration of a forwarder. known is the list that it begins with.
func (w *world) newForwarder(name string, d *discovery, settings map[string]any, known list) (*forwarder, error) {
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	f := &forwarder{w: w, listen: listen, state: filepath.Join(w.dir, name, "state"), config: filepath.Join(w.dir, name, "config.json")}
	for _, dir := range []string{f.state, filepath.Join(w.dir, name, "tmp")} {
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return nil, err
		}
	}
	c := forwarderConfig{Name: name, Listen: listen, Discovery: d.address(), Seed: "8c1f30d27a5be964", Known: known, Settings: settings,
		Limits: map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}}
	f.content = c
	f.env = []string{"NODE_NAME=" + name, "NODE_LISTEN=" + listen, "NODE_DISCOVERY=" + d.address(), "NODE_STATE=" + f.state, "NODE_CONFIG=" + f.config,
		"TMPDIR=" + filepath.Join(w.dir, name, "tmp"), "PATH=" + os.Getenv("PATH")}
	return f, f.write()
}

// process is one running forwarder.
type process struct {
	f      *forwarder
	cmd    *exec.Cmd
	exited chan struct{}
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// start starts the forwarder by the run command of the deploy file.
func (f *forwarder) start() (*process, error) {
	deploy, err := os.ReadFile(filepath.Join(f.w.root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	m := runLine.FindSubmatch(deploy)
	if m == nil {
		return nil, errors.New("deploy/balancer.toml has no run command")
	}
	f.restart++
	log, err := os.Create(filepath.Join(f.w.dir, fmt.Sprintf("log-%d", f.restart)))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", string(m[1]))
	cmd.Dir, cmd.Env, cmd.Stdout, cmd.Stderr = f.w.root, f.env, log, log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{f: f, cmd: cmd, exited: make(chan struct{})}
	f.w.mu.Lock()
	f.w.processes = append(f.w.processes, p)
	f.w.mu.Unlock()
	go func() {
		err := cmd.Wait()
		f.w.note("the process %d has ended: %v", cmd.Process.Pid, err)
		close(p.exited)
	}()
	f.w.note("the process %d is started: %s", cmd.Process.Pid, m[1])
	return p, nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.f.w.note("signal to the process %d: %v", p.cmd.Process.Pid, s)
	p.cmd.Process.Signal(s)
}

// kill ends the process if it has not ended yet.
func (p *process) kill() {
	select {
	case <-p.exited:
	default:
		p.cmd.Process.Kill()
		<-p.exited
	}
}

// awaitReady waits until PING is answered.
func (p *process) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		conn, err := net.DialTimeout("tcp", p.f.listen, time.Second)
		if err != nil {
			continue
		}
		conn.SetDeadline(time.Now().Add(time.Second))
		fmt.Fprint(conn, "*1\r\n$4\r\nPING\r\n")
		line, err := bufio.NewReader(conn).ReadString('\n')
		conn.Close()
		if err == nil && line == "+PONG\r\n" {
			p.f.w.note("the process %d is ready", p.cmd.Process.Pid)
			return nil
		}
	}
	return fmt.Errorf("the forwarder is not ready within %v", limit)
}

// keepLog copies the log of the forwarder's latest process into the record.
func (f *forwarder) keepLog(n int) {
	text, err := os.ReadFile(filepath.Join(f.w.dir, fmt.Sprintf("log-%d", n)))
	if err == nil {
		f.w.note("log of start %d:\n%s", n, text)
	}
}
