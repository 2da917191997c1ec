package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const startTime = 30 * time.Second // for a program to be ready

// program is the real program, or the relay, as a child process.
type program struct {
	command []string
	env     []string
	dir     string   // its state and configuration
	socket  *os.File // the clients' listening socket, where the platform holds it

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	killed  bool
	address string
	log     *processLog
	cpu     time.Duration // of those before
	counted bool          // the one that has ended is among them
	peakKB  int64
}

// processLog is what the log of one process has said.
type processLog struct {
	mu     sync.Mutex
	door   string   // for operators
	handed bool     // it has handed over to another process
	tail   []string // its end
}

// build makes the daemon from the module of the current folder.
func build(ctx context.Context, to string, tags string) (string, error) {
	path := filepath.Join(to, "scaleroute")
	out, err := exec.CommandContext(ctx, "go", "build", "-tags", tags, "-o", to, "scaleroute/cmd/scaleroute", "scaleroute/cmd/scaleroute-plugin-host", "scaleroute/cmd/scaleroute-gossip").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("building the program (run this in the repository, or name one by -program): %w\n%s", err, out)
	}
	return path, nil
}

// start runs the program and returns once it says where it listens.
func (p *program) start() error {
	cmd := exec.Command(p.command[0], p.command[1:]...)
	cmd.Env = append(os.Environ(), p.env...)
	if p.socket != nil {
		cmd.ExtraFiles = []*os.File{p.socket}
		cmd.Env = append(cmd.Env, "NODE_SOCKET_FD=3", "NODE_OPS=127.0.0.1:0", "TMPDIR="+p.dir)
	}
	log, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("starting the program: %w", err)
	}
	ended, address := make(chan struct{}), make(chan string, 1)
	p.mu.Lock()
	lines := &processLog{}
	p.cmd, p.ended, p.killed, p.log, p.counted = cmd, ended, false, lines, false
	p.mu.Unlock()
	go func() {
		defer close(ended)
		text := bufio.NewScanner(log)
		for text.Scan() {
			lines.note(text.Text())
			if _, rest, ok := strings.Cut(text.Text(), "msg=serving "); ok {
				_, at, _ := strings.Cut(rest, "address=")
				at, _, _ = strings.Cut(at, " ")
				select {
				case address <- at:
				default:
				}
			}
		}
		io.Copy(io.Discard, log)
		cmd.Wait()
	}()
	select {
	case p.address = <-address:
		return nil
	case <-ended:
		return fmt.Errorf("the program ended at its start; its log ends:\n%s", p.logTail())
	case <-time.After(startTime):
		return errors.Join(fmt.Errorf("the program is not ready after %v", startTime), p.kill())
	}
}

func (l *processLog) note(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, at, ok := strings.Cut(line, "msg=\"operators' door\" address="); ok {
		l.door = at
	}
	l.handed = l.handed || strings.Contains(line, "msg=\"handed over\"")
	if l.tail = append(l.tail, line); len(l.tail) > 10 {
		l.tail = l.tail[1:]
	}
}

func (p *program) logTail() string {
	l := p.said()
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.tail, "\n")
}

func (p *program) said() *processLog {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log
}

// kill ends the process that was started with SIGKILL.
func (p *program) kill() error {
	p.measure()
	p.mu.Lock()
	p.killed = true
	cmd, ended := p.cmd, p.ended
	p.mu.Unlock()
	err := cmd.Process.Kill()
	<-ended
	p.cpu, p.counted = p.cpu+cmd.ProcessState.UserTime()+cmd.ProcessState.SystemTime(), true
	return err
}

// crashed tells whether the program ended though nobody killed it.
func (p *program) crashed() bool {
	p.mu.Lock()
	ended, killed := p.ended, p.killed
	p.mu.Unlock()
	select {
	case <-ended:
		return !killed
	default:
		return false
	}
}

// used is the CPU time of all its processes so far.
func (p *program) used() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.killed {
		return p.cpu
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return p.cpu
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return p.cpu
	}
	user, _ := strconv.ParseInt(f[11], 10, 64)
	system, _ := strconv.ParseInt(f[12], 10, 64)
	return p.cpu + time.Duration(user+system)*10*time.Millisecond // in ticks of 1/100 s
}

// leftHosts counts processes that run plug-ins though the program has ended; it gives them some time.
func (p *program) leftHosts() (n int) {
	for end := time.Now().Add(2 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		n = 0
		list, _ := filepath.Glob("/proc/[0-9]*/cmdline") // of a fixed pattern: no error
		for _, name := range list {
			if text, err := os.ReadFile(name); err == nil && strings.HasPrefix(string(text), filepath.Join(p.dir, "scaleroute-plugin-host")) {
				n++
			}
		}
		if n == 0 || time.Now().After(end) {
			return n
		}
	}
}

// usedByHosts is the CPU time of the processes that run plug-ins for the one that was started last.
func (p *program) usedByHosts() (d time.Duration) {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	list, _ := filepath.Glob("/proc/[0-9]*/stat") // of a fixed pattern: no error
	for _, name := range list {
		text, err := os.ReadFile(name)
		if err != nil {
			continue
		}
		_, rest, _ := strings.Cut(string(text), ") ")
		f := strings.Fields(rest)
		if len(f) < 15 {
			continue
		}
		ticks := func(i int) time.Duration {
			n, _ := strconv.ParseInt(f[i], 10, 64)
			return time.Duration(n) * 10 * time.Millisecond
		}
		switch {
		case f[1] == strconv.Itoa(pid):
			d += ticks(11) + ticks(12)
		case name == fmt.Sprintf("/proc/%d/stat", pid): // those that have ended
			d += ticks(13) + ticks(14)
		}
	}
	return d
}

// measure notes the largest resident memory so far.
func (p *program) measure() {
	p.mu.Lock()
	defer p.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
			p.peakKB = max(p.peakKB, kb)
		}
	}
}
