package fleet

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	startTime = 30 * time.Second // for a program to be ready
	tailLines = 10
)

// Process is one run of the daemon, or of a control server.
type Process struct {
	cmd   *exec.Cmd
	ready chan struct{} // closed once it serves
	ended chan struct{}

	mu      sync.Mutex
	address string // for clients
	door    string // for operators
	tail    []string
	told    func(line string)
	killed  bool
	peakKB  int64
}

// Launch starts a program. told hears each line of its log; nil: nobody does.
func Launch(command, env []string, files []*os.File, told func(line string)) (*Process, error) {
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Env, cmd.ExtraFiles = env, files
	log, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("starting %s: %w", command[0], err)
	}
	p := &Process{cmd: cmd, ready: make(chan struct{}), ended: make(chan struct{}), told: told}
	go func() {
		defer close(p.ended)
		text := bufio.NewScanner(log)
		for text.Scan() {
			p.hear(text.Text())
		}
		io.Copy(io.Discard, log) // a line that is too long ends the scan
		cmd.Wait()
	}()
	return p, nil
}

func (p *Process) hear(line string) {
	p.mu.Lock()
	if _, at, ok := strings.Cut(line, "msg=\"operators' door\" address="); ok {
		p.door = at
	}
	_, rest, ok := strings.Cut(line, "msg=serving ")
	if !ok {
		_, rest, ok = strings.Cut(line, "msg=\"control server is ready\" ")
	}
	if ok {
		_, at, _ := strings.Cut(rest, "address=")
		at, _, _ = strings.Cut(at, " ")
		if p.address == "" {
			defer close(p.ready)
		}
		p.address = at
	}
	if p.tail = append(p.tail, line); len(p.tail) > tailLines {
		p.tail = p.tail[1:]
	}
	p.mu.Unlock()
	if p.told != nil {
		p.told(line)
	}
}

// Ready waits until it serves.
func (p *Process) Ready() error {
	select {
	case <-p.ready:
		return nil
	case <-p.ended:
		select {
		case <-p.ready:
			return nil
		default:
		}
		return fmt.Errorf("the program ended at its start; its log ends:\n%s", p.Tail())
	case <-time.After(startTime):
		return errors.Join(fmt.Errorf("the program is not ready after %v; its log ends:\n%s", startTime, p.Tail()), p.Kill())
	}
}

// Address is where it listens for clients, and Door for operators.
func (p *Process) Address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// Door is where it listens for operators; empty: nowhere, or not yet.
func (p *Process) Door() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.door
}

// Tail is the end of its log.
func (p *Process) Tail() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.tail, "\n")
}

// PID is its number.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends it a signal.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Kill ends it with SIGKILL, stopped or not, and waits until it is gone.
func (p *Process) Kill() error {
	p.Measure()
	p.mu.Lock()
	p.killed = true
	p.mu.Unlock()
	err := p.cmd.Process.Kill()
	<-p.ended
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// End ends it with SIGTERM, and with SIGKILL where that takes too long.
func (p *Process) End(limit time.Duration) error {
	p.mu.Lock()
	p.killed = true
	p.mu.Unlock()
	p.Measure()
	if err := p.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	select {
	case <-p.ended:
		return nil
	case <-time.After(limit):
		return p.Kill()
	}
}

// Crashed tells whether it ended though nobody ended it.
func (p *Process) Crashed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.ended:
		return !p.killed
	default:
		return false
	}
}

// Ended is closed once it has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// CPU is the time of the processor that it has used.
func (p *Process) CPU() time.Duration {
	select {
	case <-p.ended:
		if s := p.cmd.ProcessState; s != nil {
			return s.UserTime() + s.SystemTime()
		}
		return 0
	default:
	}
	return used(strconv.Itoa(p.cmd.Process.Pid))
}

// Helpers is the time of the processor that the processes which it has started, and which run, have used.
func (p *Process) Helpers() (sum time.Duration) {
	for _, child := range p.Children() {
		sum += used(child)
	}
	return sum
}

// Children are the ids of the processes which it has started, and which run.
func (p *Process) Children() (ids []string) {
	lists, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/children", p.cmd.Process.Pid))
	for _, list := range lists {
		text, _ := os.ReadFile(list) // a thread that is gone has none
		ids = append(ids, strings.Fields(string(text))...)
	}
	return ids
}

// used is the time of the processor that a process has used; 0 if there is none.
func used(pid string) time.Duration {
	text, err := os.ReadFile("/proc/" + pid + "/stat")
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0
	}
	user, _ := strconv.ParseInt(f[11], 10, 64)
	system, _ := strconv.ParseInt(f[12], 10, 64)
	return time.Duration(user+system) * 10 * time.Millisecond // in ticks of 1/100 s
}

// Measure notes the largest resident memory so far, and returns it in KiB.
func (p *Process) Measure() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return p.peakKB
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 10, 64)
			p.peakKB = max(p.peakKB, kb)
		}
	}
	return p.peakKB
}
