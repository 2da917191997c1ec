package runner

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"scaleroute/internal/plugin"
	"scaleroute/internal/plugin/pipe"
)

const startTimeout = 5 * time.Second // limit for a process to start, compile the code and report that

// process is a host process that runs the code of one plug-in. At most one call is in flight.
type process struct {
	cmd       *exec.Cmd
	conn      *pipe.Conn
	requests  *os.File
	results   *os.File
	exited    chan struct{} // closed when the process has ended
	closeOnce sync.Once
}

// codeError is an error in the plug-in's code: starting the process again would not fix it.
type codeError struct{ text string }

func (e codeError) Error() string { return e.text }

// startProcess starts a process and waits until it has compiled the code and accepts calls.
func startProcess(command []string, s *plugin.Spec) (*process, error) {
	stdin, requests, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	defer stdin.Close()
	results, stdout, err := os.Pipe()
	if err != nil {
		requests.Close()
		return nil, err
	}
	defer stdout.Close()
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Stdin, cmd.Stdout = stdin, stdout                  // stderr is discarded: a crash prints only goroutine stacks
	cmd.Env = []string{"GOMAXPROCS=1", "GOTRACEBACK=none"} // the daemon's environment is not inherited
	cmd.Dir = "/"
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // so that a terminal's signals to the daemon do not reach it
	p := &process{cmd: cmd, conn: pipe.NewConn(bufio.NewReaderSize(results, 16<<10), requests), requests: requests, results: results, exited: make(chan struct{})}
	if err := cmd.Start(); err != nil {
		p.close()
		return nil, fmt.Errorf("cannot start a host process for plug-ins: put scaleroute-plugin-host beside the daemon, or name it by -plugin-host: %w", err)
	}
	go func() { // the goroutine ends with the process, which is killed on every path that abandons it
		cmd.Wait()
		close(p.exited)
	}()
	var response pipe.StartResponse
	p.setDeadline(startTimeout)
	err = p.conn.Send(pipe.StartRequest{Name: s.Name, File: s.File, Source: s.Source, Steps: s.Steps, Output: s.Output, Memory: s.Memory,
		HardMS: 4 * float64(s.Time) / float64(time.Millisecond)}, nil)
	if err == nil {
		_, err = p.conn.Receive(&response, 0)
	}
	if err == nil && response.Error != "" {
		err = codeError{response.Error}
	}
	if err != nil {
		p.kill()
		var code codeError
		if errors.As(err, &code) {
			return nil, code
		}
		return nil, fmt.Errorf("plug-in %q: its host process did not start: %w", s.Name, err)
	}
	return p, nil
}

func (p *process) setDeadline(timeout time.Duration) {
	t := time.Now().Add(timeout)
	p.requests.SetWriteDeadline(t)
	p.results.SetReadDeadline(t)
}

// call calls the plug-in. After an error the process must not be used any more, since a late result could be taken for that of
// the next call.
func (p *process) call(q *plugin.Request, timeout time.Duration, output int) (*plugin.Result, error) {
	p.setDeadline(timeout)
	if err := p.conn.SendRequest(q); err != nil {
		return nil, err
	}
	return p.conn.ReceiveResult(output)
}

// kill kills the process and waits until it has ended.
func (p *process) kill() {
	p.cmd.Process.Kill()
	<-p.exited
	p.close()
}

func (p *process) close() {
	p.closeOnce.Do(func() {
		p.requests.Close()
		p.results.Close()
	})
}
