package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// What the settings say and the cases rely on.
const (
	drainGrace  = time.Second
	slack       = 50 * time.Millisecond // by which each time limit is longer on sockets
	safeClass   = "status-update"
	unsafeClass = "signature-handover"
)

// settings are those of the site, as an instance is told them.
func settings() map[string]any {
	class := func(name, effect string, deadline, worth float64) map[string]any {
		return map[string]any{"Name": name, "Effect": effect, "OnTime": 3000.0, "Deadline": deadline, "Worth": worth, "LateShare": 0.4,
			"DedupScope": "all", "RepeatWindow": 5000.0, "Stream": false}
	}
	return map[string]any{
		"Azs": []string{"tallinn-dc1"}, "Locality": "tallinn-dc1", "Kinds": []string{"large-organisers", "small-groups"}, "Siblings": 2, "Me": 0,
		"Weights": "nominal", "Discovery": "automatic", "Tenants": []string{}, "ValueBy": "request", "OverShareWorth": 0.1, "ServiceType": "deliver",
		"FamilyInfo": map[string]any{"Workers": 40, "Late": "line", "PerCall": []int{1, 1}, "SeparateRoutes": []bool{false, false},
			"Carriage": 0.0, "RefusedPrice": 0.05},
		"Limits": map[string]any{"MaxOpen": 362, "MaxAttempts": 6, "ConnIdle": 15000.0, "ConnectTimeout": 1500.0, "Cancel": true,
			"MaxRetryAfter": 3000.0, "RetryAfter": true, "SecondCopies": false, "MayProbe": false, "Peers": false, "StreamsPerConn": 1},
		"Costs": map[string]any{"Handshake": 0.06, "LateFail": 0.02, "Waste": 0.03},
		"Invariants": map[string]any{"AnswerSlack": 20.0, "AskEvery": 10000.0, "Cold": 9500.0, "DrainGrace": float64(drainGrace.Milliseconds()), "Fall": 3000.0,
			"StartCapacity": 0.2, "TipMultiple": 2.0},
		"Report":  map[string]any{"Fields": []string{"x0", "x1"}, "How": "piggyback"},
		"Classes": []any{class(safeClass, "pure", 28000, 1), class(unsafeClass, "side_effect", 24000, 3)},
	}
}

// forwarder is the program under test, started by the command of the deploy file.
type forwarder struct {
	rec      *record
	root     string // of the repository
	name     string
	folder   string // temporary, with the state and the configuration
	listen   string
	platform *platform
	known    any // the list in its configuration: the one at its first start

	process *exec.Cmd
	ended   chan struct{}
}

func newForwarder(rec *record, root string, p *platform, name string) (*forwarder, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0") // finds a free port
	if err != nil {
		return nil, err
	}
	defer ln.Close()
	return &forwarder{rec: rec, root: root, name: name, folder: folder, listen: ln.Addr().String(), platform: p}, nil
}

// runCommand reads the command that starts the program from the deploy file.
func runCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(text)
	if m == nil {
		return "", errors.New("deploy/balancer.toml has no run command")
	}
	return string(m[1]), nil
}

// start starts the program and waits until it answers PING. The folder NODE_STATE is kept from one start to the next.
func (f *forwarder) start() error {
	run, err := runCommand(f.root)
	if err != nil {
		return err
	}
	state, tmp, file := filepath.Join(f.folder, "state"), filepath.Join(f.folder, "tmp"), filepath.Join(f.folder, "config.json")
	if err := errors.Join(os.MkdirAll(state, 0o700), os.RemoveAll(tmp), os.MkdirAll(tmp, 0o700)); err != nil {
		return err
	}
	if f.known == nil {
		f.known = f.platform.known()
	}
	text, err := json.Marshal(map[string]any{"name": f.name, "listen": f.listen, "discovery": f.platform.address(), "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}, "known": f.known, "settings": settings()})
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	f.process = exec.Command("/bin/sh", "-c", run)
	f.process.Dir, f.process.Stdout, f.process.Stderr = f.root, log, log
	for _, v := range os.Environ() {
		if !strings.HasPrefix(v, "NODE_") && !strings.HasPrefix(v, "TMPDIR=") {
			f.process.Env = append(f.process.Env, v)
		}
	}
	f.process.Env = append(f.process.Env, "NODE_NAME="+f.name, "NODE_LISTEN="+f.listen, "NODE_DISCOVERY="+f.platform.address(), "NODE_STATE="+state, "NODE_CONFIG="+file, "TMPDIR="+tmp)
	if err := f.process.Start(); err != nil {
		return err
	}
	f.ended = make(chan struct{})
	go func(p *exec.Cmd, ended chan struct{}) {
		p.Wait()
		close(ended)
	}(f.process, f.ended)
	f.rec.add("forwarder", "started as process %d", f.process.Process.Pid)
	for limit := time.Now().Add(10 * time.Second); time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
		if c, err := connect(f.rec, f.listen); err == nil {
			answer, err := c.ask(command("PING"), answerTime)
			c.conn.Close()
			if err == nil && answer == "+PONG" {
				f.rec.add("forwarder", "is ready")
				return nil
			}
		}
	}
	return errors.New("the program was not ready within 10 s")
}

func (f *forwarder) signal(s syscall.Signal) {
	f.rec.add("forwarder", "gets signal %d (%v)", s, s)
	f.process.Process.Signal(s)
}

// running reports whether the program has not ended by itself.
func (f *forwarder) running() bool {
	select {
	case <-f.ended:
		return false
	default:
		return true
	}
}

// close ends the program and copies its log into the record.
func (f *forwarder) close() {
	if f.ended != nil && f.running() {
		f.signal(syscall.SIGKILL)
		<-f.ended
	}
	if log, err := os.ReadFile(filepath.Join(f.folder, "log")); err == nil {
		for line := range strings.Lines(string(log)) {
			f.rec.add("log", "%.400s", strings.TrimSpace(line))
		}
	}
	os.RemoveAll(f.folder)
}
