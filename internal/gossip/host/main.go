package host

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"scaleroute/internal/gossip"
)

const (
	membersInterval = time.Second
	joinInterval    = 5 * time.Second
	pollInterval    = 100 * time.Millisecond
)

// Main runs the sidecar: it exchanges frames with the daemon over in and out until the daemon stops.
func Main(in io.Reader, out io.Writer) error {
	r := bufio.NewReader(in)
	kind, text, err := gossip.ReadFrame(r)
	if err != nil || kind != gossip.KindConfig {
		return fmt.Errorf("this program is started by scaleroute and not by hand (%v)", err)
	}
	s := &sidecar{out: out, lastHeartbeat: time.Now()}
	if err := json.Unmarshal(text, &s.config.Config); err != nil {
		return err
	}
	s.config.OnReport = func(b []byte) { s.write(b[0], b[1:]) }
	s.config.OnDesired = s.config.OnReport
	stop := make(chan struct{})
	var tasks sync.WaitGroup
	tasks.Go(func() { s.run(stop) })
	defer tasks.Wait()
	defer close(stop)
	for {
		kind, message, err := gossip.ReadFrame(r)
		if err != nil {
			return nil // the daemon is gone: the other members detect that
		}
		s.handleFrame(kind, message)
		if kind == gossip.KindLeave {
			return nil
		}
	}
}

// sidecar is the state of the process.
type sidecar struct {
	config  Config
	writeMu sync.Mutex
	out     io.Writer

	mu            sync.Mutex
	node          *Node // nil: this member is not gossiping
	lastHeartbeat time.Time
	report        []byte
	desired       []byte
	leaving       bool
}

// write sends a frame to the daemon.
func (s *sidecar) write(kind byte, message []byte) {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	gossip.WriteFrame(s.out, kind, message) // an error means that the daemon is gone, which also ends the reading of frames
}

// handleFrame processes a frame from the daemon. Every frame counts as a heartbeat.
func (s *sidecar) handleFrame(kind byte, message []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastHeartbeat = time.Now()
	text := append([]byte{kind}, message...)
	switch kind {
	case gossip.KindReport:
		if s.report = text; s.node != nil {
			s.node.BroadcastReport(text)
		}
	case gossip.KindDesired:
		if s.desired = text; s.node != nil {
			s.node.BroadcastDesired(text)
		}
	case gossip.KindLeave:
		s.leaving = true
	}
}

// run keeps a node running while the daemon is alive. While the daemon is suspended it stops the node, so that the others detect the member as dead.
func (s *sidecar) run(stop <-chan struct{}) {
	var lastStart, lastMembers, lastJoin time.Time
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		now := time.Now()
		s.mu.Lock()
		node, daemonAlive := s.node, now.Sub(s.lastHeartbeat) <= gossip.HeartbeatTimeout
		s.mu.Unlock()
		switch {
		case node != nil && !daemonAlive:
			node.CloseWithoutLeaving()
			s.mu.Lock()
			s.node = nil
			s.mu.Unlock()
		case node == nil && daemonAlive && now.Sub(lastStart) >= membersInterval:
			lastStart = now
			s.startNode()
		case node != nil && now.Sub(lastMembers) >= membersInterval:
			lastMembers = now
			s.writeMu.Lock()
			gossip.WriteJSONFrame(s.out, gossip.KindMembers, node.Members())
			s.writeMu.Unlock()
			if now.Sub(lastJoin) >= joinInterval {
				lastJoin = now
				node.PruneReports()
				go node.Join()
			}
		}
		select {
		case <-stop:
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.node != nil && s.leaving {
				s.node.Close()
			} else if s.node != nil {
				s.node.CloseWithoutLeaving()
			}
			return
		case <-tick.C:
		}
	}
}

// startNode starts a node. It fails while the address is still in use by the sidecar of the previous process; run then tries again.
func (s *sidecar) startNode() {
	node, err := New(s.config)
	if err != nil {
		s.write(gossip.KindError, []byte(err.Error()))
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.node = node
	if s.report != nil {
		node.BroadcastReport(s.report)
	}
	if s.desired != nil {
		node.BroadcastDesired(s.desired)
	}
	go node.Join()
}
