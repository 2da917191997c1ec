package gossip

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"sync"
	"time"

	"scaleroute/internal/straggler"
)

// Sidecar is the process that gossips on behalf of a daemon. It is a separate process so that a daemon that does not gossip does not load the gossip library, and so that
// data from the network is parsed outside the daemon. It exits with the daemon. If it exits earlier, this member receives no reports until another sidecar is started.
type Sidecar struct {
	cmd       *exec.Cmd
	stdin     io.WriteCloser
	onReport  func(straggler.Report)
	onDesired func(straggler.Desired)
	exited    chan struct{}

	mu      sync.Mutex
	members []Member
	frames  chan []byte // frames to be written, each beginning with its kind
}

const (
	frameQueueLength = 64
	closeTimeout     = time.Second
)

// Start starts the sidecar program. Both functions are called by the same goroutine.
func Start(program string, c Config, onReport func(straggler.Report), onDesired func(straggler.Desired)) (*Sidecar, error) {
	s := &Sidecar{cmd: exec.Command(program), onReport: onReport, onDesired: onDesired, exited: make(chan struct{}), frames: make(chan []byte, frameQueueLength)}
	s.cmd.Env = append(os.Environ(), SidecarEnv+"=1")
	s.cmd.Stderr = os.Stderr
	var err error
	if s.stdin, err = s.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	stdout, err := s.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := s.cmd.Start(); err != nil {
		return nil, err
	}
	go func() { // the only writer: callers of send must not wait for the sidecar
		for {
			select {
			case <-s.exited:
				return
			case frame := <-s.frames:
				if err := WriteFrame(s.stdin, frame[0], frame[1:]); err != nil {
					return
				}
				if frame[0] == KindLeave {
					s.stdin.Close()
					return
				}
			}
		}
	}()
	text, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	s.send(KindConfig, text)
	go func() {
		defer close(s.exited)
		if err := s.readFrames(stdout); !errors.Is(err, io.EOF) {
			slog.Warn("reading from the gossip sidecar failed", "err", err)
		}
		s.cmd.Process.Kill()
		s.cmd.Wait()
	}()
	return s, nil
}

// SidecarEnv is set in the environment of the sidecar. A test binary that is started as the sidecar recognizes its role by it.
const SidecarEnv = "SCALEROUTE_GOSSIP"

// readFrames processes the sidecar's frames until its output ends. It returns why the output ended, which is never nil.
func (s *Sidecar) readFrames(from io.Reader) error {
	r := bufio.NewReader(from)
	for {
		kind, message, err := ReadFrame(r)
		if err != nil {
			return err
		}
		switch kind {
		case KindReport:
			if report, err := decodeReport(append([]byte{kind}, message...)); err == nil {
				s.onReport(report)
			}
		case KindDesired:
			if desired, err := decodeDesired(append([]byte{kind}, message...)); err == nil {
				s.onDesired(desired)
			}
		case KindMembers:
			var list []Member
			if err := json.Unmarshal(message, &list); err != nil {
				return err
			}
			s.mu.Lock()
			s.members = list
			s.mu.Unlock()
		case KindError:
			slog.Warn("the gossip sidecar can't reach other forwarders", "err", string(message))
		}
	}
}

// send queues a frame to be written. If the queue is full the frame is dropped: reports are sent again later.
func (s *Sidecar) send(kind byte, message []byte) {
	select {
	case s.frames <- append([]byte{kind}, message...):
	default:
	}
}

// SendReport sends this member's report to the other members. It replaces an earlier report that is still being spread.
func (s *Sidecar) SendReport(report straggler.Report) { s.send(KindReport, encodeReport(&report)[1:]) }

// SendDesired sends a desired version to the other members.
func (s *Sidecar) SendDesired(desired straggler.Desired) error {
	text, err := EncodeDesired(&desired)
	if err == nil {
		s.send(KindDesired, text[1:])
	}
	return err
}

// SendHeartbeat tells the sidecar that the daemon runs.
func (s *Sidecar) SendHeartbeat() { s.send(KindHeartbeat, nil) }

// Members returns the members that were alive according to the sidecar's latest list, which is about a second old. This member is in it.
func (s *Sidecar) Members() []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members
}

// Exited reports whether the sidecar has exited.
func (s *Sidecar) Exited() bool {
	select {
	case <-s.exited:
		return true
	default:
		return false
	}
}

// Close makes the sidecar leave the other members, and waits until it has exited and its address is free.
func (s *Sidecar) Close() {
	s.send(KindLeave, nil)
	select {
	case <-s.exited:
	case <-time.After(closeTimeout):
		s.cmd.Process.Kill()
		<-s.exited
	}
}
