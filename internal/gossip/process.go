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

// Sidecar is the process that speaks for a daemon. It is another one so that a daemon that does not gossip carries nothing of the library, and so that what
// comes from the network is read elsewhere. It ends with the daemon; it may end sooner, and then this member hears of nobody until another is started.
type Sidecar struct {
	cmd    *exec.Cmd
	in     io.WriteCloser
	heard  func(straggler.Report)
	wanted func(straggler.Desired)
	ended  chan struct{}

	mu      sync.Mutex
	members []Member
	out     chan []byte // frames to be written
}

const (
	queued  = 64
	endTime = time.Second
)

// Start starts one. What it hears is told by one goroutine.
func Start(program string, c Config, heard func(straggler.Report), wanted func(straggler.Desired)) (*Sidecar, error) {
	g := &Sidecar{cmd: exec.Command(program), heard: heard, wanted: wanted, ended: make(chan struct{}), out: make(chan []byte, queued)}
	g.cmd.Env = append(os.Environ(), SidecarEnv+"=1")
	g.cmd.Stderr = os.Stderr
	var err error
	if g.in, err = g.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	from, err := g.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := g.cmd.Start(); err != nil {
		return nil, err
	}
	go func() { // alone writes: whoever tells something must not wait for that process
		for {
			select {
			case <-g.ended:
				return
			case frame := <-g.out:
				if err := WriteFrame(g.in, frame[0], frame[1:]); err != nil {
					return
				}
				if frame[0] == KindLeave {
					g.in.Close()
					return
				}
			}
		}
	}()
	text, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	g.tell(KindConfig, text)
	go func() {
		defer close(g.ended)
		if err := g.listen(from); !errors.Is(err, io.EOF) {
			slog.Warn("what others tell can't be read", "err", err)
		}
		g.cmd.Process.Kill()
		g.cmd.Wait()
	}()
	return g, nil
}

// SidecarEnv is set in the environment of the process, by which a test's own binary knows that it is one.
const SidecarEnv = "SCALEROUTE_GOSSIP"

// listen takes in what the process writes until that ends, and returns why it ended: never nil.
func (g *Sidecar) listen(from io.Reader) error {
	r := bufio.NewReader(from)
	for {
		kind, message, err := ReadFrame(r)
		if err != nil {
			return err
		}
		switch kind {
		case KindReport:
			if n, err := decodeNews(append([]byte{kind}, message...)); err == nil {
				g.heard(n)
			}
		case KindDesired:
			if w, err := decodeWant(append([]byte{kind}, message...)); err == nil {
				g.wanted(w)
			}
		case KindMembers:
			var list []Member
			if err := json.Unmarshal(message, &list); err != nil {
				return err
			}
			g.mu.Lock()
			g.members = list
			g.mu.Unlock()
		case KindError:
			slog.Warn("this forwarder hears of no other", "err", string(message))
		}
	}
}

// tell has a frame written, unless too many wait already: news are told again.
func (g *Sidecar) tell(kind byte, message []byte) {
	select {
	case g.out <- append([]byte{kind}, message...):
	default:
	}
}

// SendReport tells news of this member; what it told before is not sent any more.
func (g *Sidecar) SendReport(n straggler.Report) { g.tell(KindReport, encodeNews(&n)[1:]) }

// SendDesired tells a want.
func (g *Sidecar) SendDesired(w straggler.Desired) error {
	text, err := EncodeDesired(&w)
	if err == nil {
		g.tell(KindDesired, text[1:])
	}
	return err
}

// SendHeartbeat says that the daemon runs.
func (g *Sidecar) SendHeartbeat() { g.tell(KindHeartbeat, nil) }

// Members lists who was there a second ago, this member too.
func (g *Sidecar) Members() []Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members
}

// Exited tells whether the process has.
func (g *Sidecar) Exited() bool {
	select {
	case <-g.ended:
		return true
	default:
		return false
	}
}

// Close has it leave the others, and waits until its address is free.
func (g *Sidecar) Close() {
	g.tell(KindLeave, nil)
	select {
	case <-g.ended:
	case <-time.After(endTime):
		g.cmd.Process.Kill()
		<-g.ended
	}
}
