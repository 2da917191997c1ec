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

// Gossip is the process that speaks for a daemon. It is another one so that a daemon that does not gossip carries nothing of the library, and so that what
// comes from the network is read elsewhere. It ends with the daemon; it may end sooner, and then this member hears of nobody until another is started.
type Gossip struct {
	cmd    *exec.Cmd
	in     io.WriteCloser
	heard  func(straggler.Report)
	wanted func(straggler.Desired)
	ended  chan struct{}

	mu      sync.Mutex
	members []Alive
	out     chan []byte // frames to be written
}

const (
	queued  = 64
	endTime = time.Second
)

// Start starts one. What it hears is told by one goroutine.
func Start(program string, c Config, heard func(straggler.Report), wanted func(straggler.Desired)) (*Gossip, error) {
	g := &Gossip{cmd: exec.Command(program), heard: heard, wanted: wanted, ended: make(chan struct{}), out: make(chan []byte, queued)}
	g.cmd.Env = append(os.Environ(), Marker+"=1")
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
				if err := Write(g.in, frame[0], frame[1:]); err != nil {
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
	g.tell(KindSet, text)
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

// Marker is set in the environment of the process, by which a test's own binary knows that it is one.
const Marker = "SCALEROUTE_GOSSIP"

// listen takes in what the process writes until that ends, and returns why it ended: never nil.
func (g *Gossip) listen(from io.Reader) error {
	r := bufio.NewReader(from)
	for {
		kind, message, err := Read(r)
		if err != nil {
			return err
		}
		switch kind {
		case KindNews:
			if n, err := decodeNews(append([]byte{kind}, message...)); err == nil {
				g.heard(n)
			}
		case KindWant:
			if w, err := decodeWant(append([]byte{kind}, message...)); err == nil {
				g.wanted(w)
			}
		case KindMembers:
			var list []Alive
			if err := json.Unmarshal(message, &list); err != nil {
				return err
			}
			g.mu.Lock()
			g.members = list
			g.mu.Unlock()
		case KindTrouble:
			slog.Warn("this forwarder hears of no other", "err", string(message))
		}
	}
}

// tell has a frame written, unless too many wait already: news are told again.
func (g *Gossip) tell(kind byte, message []byte) {
	select {
	case g.out <- append([]byte{kind}, message...):
	default:
	}
}

// Tell tells news of this member; what it told before is not sent any more.
func (g *Gossip) Tell(n straggler.Report) { g.tell(KindNews, encodeNews(&n)[1:]) }

// Want tells a want.
func (g *Gossip) Want(w straggler.Desired) error {
	text, err := EncodeWant(&w)
	if err == nil {
		g.tell(KindWant, text[1:])
	}
	return err
}

// Beat says that the daemon runs.
func (g *Gossip) Beat() { g.tell(KindBeat, nil) }

// Members lists who was there a second ago, this member too.
func (g *Gossip) Members() []Alive {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members
}

// Ended tells whether the process has.
func (g *Gossip) Ended() bool {
	select {
	case <-g.ended:
		return true
	default:
		return false
	}
}

// Close has it leave the others, and waits until its address is free.
func (g *Gossip) Close() {
	g.tell(KindLeave, nil)
	select {
	case <-g.ended:
	case <-time.After(endTime):
		g.cmd.Process.Kill()
		<-g.ended
	}
}
