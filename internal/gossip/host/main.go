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
	whoEvery  = time.Second
	joinEvery = 5 * time.Second
	beatLook  = 100 * time.Millisecond
)

// Main speaks for a daemon over its standard input and output until that ends.
func Main(in io.Reader, out io.Writer) error {
	r := bufio.NewReader(in)
	kind, text, err := gossip.ReadFrame(r)
	if err != nil || kind != gossip.KindConfig {
		return fmt.Errorf("this program is started by scaleroute alone (%v)", err)
	}
	h := &speaker{out: out, beat: time.Now()}
	if err := json.Unmarshal(text, &h.set.Config); err != nil {
		return err
	}
	h.set.OnReport = func(b []byte) { h.write(b[0], b[1:]) }
	h.set.OnDesired = h.set.OnReport
	over := make(chan struct{})
	var all sync.WaitGroup
	all.Go(func() { h.run(over) })
	defer all.Wait()
	defer close(over)
	for {
		kind, message, err := gossip.ReadFrame(r)
		if err != nil {
			return nil // the daemon is gone: the others find that out
		}
		h.hear(kind, message)
		if kind == gossip.KindLeave {
			return nil
		}
	}
}

// speaker is the process's state.
type speaker struct {
	set Config
	wmu sync.Mutex
	out io.Writer

	mu    sync.Mutex
	g     *Node // nil: it is not among the others
	beat  time.Time
	news  []byte
	want  []byte
	leave bool
}

func (h *speaker) write(kind byte, message []byte) {
	h.wmu.Lock()
	defer h.wmu.Unlock()
	gossip.WriteFrame(h.out, kind, message) // an error: the daemon is gone, and reading ends too
}

func (h *speaker) hear(kind byte, message []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.beat = time.Now()
	text := append([]byte{kind}, message...)
	switch kind {
	case gossip.KindReport:
		if h.news = text; h.g != nil {
			h.g.BroadcastReport(text)
		}
	case gossip.KindDesired:
		if h.want = text; h.g != nil {
			h.g.BroadcastDesired(text)
		}
	case gossip.KindLeave:
		h.leave = true
	}
}

// run is among the others while the daemon runs: one that is stopped is missed by them, as if its process were.
func (h *speaker) run(over <-chan struct{}) {
	var tried, who, join time.Time
	tick := time.NewTicker(beatLook)
	defer tick.Stop()
	for {
		now := time.Now()
		h.mu.Lock()
		g, runs := h.g, now.Sub(h.beat) <= gossip.HeartbeatTimeout
		h.mu.Unlock()
		switch {
		case g != nil && !runs:
			g.CloseWithoutLeaving()
			h.mu.Lock()
			h.g = nil
			h.mu.Unlock()
		case g == nil && runs && now.Sub(tried) >= whoEvery:
			tried = now
			h.meet()
		case g != nil && now.Sub(who) >= whoEvery:
			who = now
			h.wmu.Lock()
			gossip.WriteJSONFrame(h.out, gossip.KindMembers, g.Members())
			h.wmu.Unlock()
			if now.Sub(join) >= joinEvery {
				join = now
				g.PruneReports()
				go g.Join()
			}
		}
		select {
		case <-over:
			h.mu.Lock()
			defer h.mu.Unlock()
			if h.g != nil && h.leave {
				h.g.Close()
			} else if h.g != nil {
				h.g.CloseWithoutLeaving()
			}
			return
		case <-tick.C:
		}
	}
}

// meet begins to listen. The address may be the process's before until that has ended.
func (h *speaker) meet() {
	g, err := New(h.set)
	if err != nil {
		h.write(gossip.KindError, []byte(err.Error()))
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.g = g
	if h.news != nil {
		g.BroadcastReport(h.news)
	}
	if h.want != nil {
		g.BroadcastDesired(h.want)
	}
	go g.Join()
}
