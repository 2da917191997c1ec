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

const startTime = 5 * time.Second // for a process to compile its code and say so

// process is one that runs a plug-in's code. One call at a time is out to it.
type process struct {
	cmd  *exec.Cmd
	conn *pipe.Conn
	to   *os.File
	from *os.File
	gone chan struct{} // closed when it has ended
	once sync.Once
}

// errCode is what is wrong with the code itself: starting it again would not mend that.
type errCode struct{ text string }

func (e errCode) Error() string { return e.text }

// start starts one and waits until it can be asked.
func start(command []string, s *plugin.Spec) (*process, error) {
	theirIn, to, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	defer theirIn.Close()
	from, theirOut, err := os.Pipe()
	if err != nil {
		to.Close()
		return nil, err
	}
	defer theirOut.Close()
	cmd := exec.Command(command[0], command[1:]...)
	cmd.Stdin, cmd.Stdout = theirIn, theirOut              // its last words, a stack for each of its goroutines, help nobody
	cmd.Env = []string{"GOMAXPROCS=1", "GOTRACEBACK=none"} // nothing of ours
	cmd.Dir = "/"
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // what a terminal sends us is not for it
	p := &process{cmd: cmd, conn: pipe.NewConn(bufio.NewReaderSize(from, 16<<10), to), to: to, from: from, gone: make(chan struct{})}
	if err := cmd.Start(); err != nil {
		p.close()
		return nil, fmt.Errorf("no process for plug-ins can be started: put scaleroute-plugin-host beside the daemon, or name it by -plugin-host: %w", err)
	}
	go func() { // ends with the process, which is killed wherever it is given up
		cmd.Wait()
		close(p.gone)
	}()
	var answer pipe.StartResponse
	p.limit(startTime)
	err = p.conn.Send(pipe.StartRequest{Name: s.Name, File: s.File, Source: s.Source, Steps: s.Steps, Output: s.Output, Memory: s.Memory,
		HardMS: 4 * float64(s.Time) / float64(time.Millisecond)}, nil)
	if err == nil {
		_, err = p.conn.Receive(&answer, 0)
	}
	if err == nil && answer.Error != "" {
		err = errCode{answer.Error}
	}
	if err != nil {
		p.kill()
		var code errCode
		if errors.As(err, &code) {
			return nil, code
		}
		return nil, fmt.Errorf("plug-in %q: its process did not begin: %w", s.Name, err)
	}
	return p, nil
}

func (p *process) limit(d time.Duration) {
	t := time.Now().Add(d)
	p.to.SetWriteDeadline(t)
	p.from.SetReadDeadline(t)
}

// ask asks it. After an error it is of no use any more.
func (p *process) ask(q *plugin.Request, left time.Duration, output int) (*plugin.Result, error) {
	p.limit(left)
	if err := p.conn.SendRequest(q); err != nil {
		return nil, err
	}
	return p.conn.ReceiveResult(output)
}

// kill ends it at once, and waits until it has.
func (p *process) kill() {
	p.cmd.Process.Kill()
	<-p.gone
	p.close()
}

func (p *process) close() {
	p.once.Do(func() {
		p.to.Close()
		p.from.Close()
	})
}
