package scale

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"time"

	"scaleroute/internal/standin"
)

const (
	answerWithin = 10 * time.Minute // for a host
	endWithin    = 10 * time.Second // for a real process
)

// hostProcess is a process of simulated nodes, as the run sees it.
type hostProcess struct {
	command *exec.Cmd
	in      io.WriteCloser
	out     *bufio.Scanner
	first   int
	count   int
}

// startHost starts a process of simulated nodes, without nodes yet.
func startHost(command []string, first, count int) (*hostProcess, error) {
	h := &hostProcess{command: exec.Command(command[0], command[1:]...), first: first, count: count}
	h.command.Stderr = os.Stderr
	var err error
	if h.in, err = h.command.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := h.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	h.out = bufio.NewScanner(out)
	h.out.Buffer(nil, maxLine)
	if err := h.command.Start(); err != nil {
		return nil, fmt.Errorf("starting simulated nodes: %w", err)
	}
	return h, nil
}

// ask carries out one request. One host is asked by one goroutine at a time.
func (h *hostProcess) ask(r *Request) (*Answer, error) {
	text, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	if _, err := h.in.Write(append(text, '\n')); err != nil {
		return nil, fmt.Errorf("simulated nodes, %s: %w", r.Operation, err)
	}
	stuck := time.AfterFunc(answerWithin, func() { h.command.Process.Kill() })
	defer stuck.Stop()
	if !h.out.Scan() {
		return nil, fmt.Errorf("simulated nodes, %s: no answer: %w", r.Operation, errors.Join(h.out.Err(), io.ErrUnexpectedEOF))
	}
	var a Answer
	if err := json.Unmarshal(h.out.Bytes(), &a); err != nil {
		return nil, fmt.Errorf("simulated nodes, %s: %w", r.Operation, err)
	}
	if a.Error != "" {
		return &a, fmt.Errorf("simulated nodes, %s: %s", r.Operation, a.Error)
	}
	return &a, nil
}

// close ends the process.
func (h *hostProcess) close() {
	h.in.Close()
	stuck := time.AfterFunc(endWithin, func() { h.command.Process.Kill() })
	defer stuck.Stop()
	h.command.Wait() // what it returns is of no use any more
}

// memoryMB is what each forwarder is told of its memory: below it a forwarder does not spend memory to spare its collector's work.
const memoryMB = 511

// writeConfig writes a forwarder's configuration with no endpoint that is known at the start.
func writeConfig(path, name, discovery string, forwarders int, seed uint64) error {
	world, err := standin.New(standin.Shape{Destinations: 1, Endpoints: 1})
	if err != nil {
		return err
	}
	defer world.Close()
	c := standin.Config{Name: name, Forwarders: forwarders, Discovery: discovery, Slots: 64, Sockets: 1024, MemoryMB: memoryMB, DiskMB: 3, Left: 4 * time.Second, Seed: seed}
	return os.WriteFile(path, c.Write(world), 0o600)
}
