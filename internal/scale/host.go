package scale

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"scaleroute/internal/config"
)

// Operation is what a host of simulated nodes is asked to do.
type Operation string

// The operations.
const (
	StartNodes   Operation = "start"
	AwaitReady   Operation = "ready"
	AwaitChange  Operation = "change"
	MeasureNodes Operation = "measure"
	StopNodes    Operation = "stop"
)

const (
	maxLine       = 16 << 20 // bytes of a request or an answer
	memoryPercent = 60       // of its memory, the limit of a forwarder's heap
)

// Request is one operation, as a line of JSON.
type Request struct {
	Operation    Operation     `json:"operation"`
	Start        *Start        `json:"start,omitempty"`
	Index        int64         `json:"index,omitempty"`        // of the change awaited
	Destinations []int         `json:"destinations,omitempty"` // that the change touches
	At           time.Time     `json:"at,omitzero"`            // when the change was made
	Within       time.Duration `json:"within_ns,omitempty"`
	Collect      bool          `json:"collect,omitempty"` // garbage, before memory is measured
	Last         int           `json:"last,omitempty"`    // nodes to stop, the last ones
}

// Start says which nodes a host starts.
type Start struct {
	First     int       `json:"first"` // number of the first
	Count     int       `json:"count"`
	Mechanism Mechanism `json:"mechanism"`
	Addresses []string  `json:"addresses"` // of discovery, or of the control servers
	Config    string    `json:"config"`    // file of a forwarder's configuration
	Partial   Partial   `json:"partial"`
	Seed      uint64    `json:"seed"`
}

// Answer is the answer to a request, as a line of JSON.
type Answer struct {
	Error string          `json:"error,omitempty"`
	Took  []time.Duration `json:"took_ns,omitempty"` // of each node concerned, in order of size
	Usage Usage           `json:"usage"`
	Heap  int64           `json:"heap_bytes"`      // in use; live, where garbage was collected before
	Parts []int           `json:"parts,omitempty"` // destinations owned by each node
}

// host is a process full of simulated nodes.
type host struct{ nodes []*Node }

// Host serves requests until there are no more: it is the main function of a process of simulated nodes.
func Host(in io.Reader, out io.Writer) error {
	h := &host{}
	defer h.stop(len(h.nodes))
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLine)
	answers := json.NewEncoder(out)
	for lines.Scan() {
		var r Request
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			return fmt.Errorf("a request of the scale run: %w", err)
		}
		if err := answers.Encode(h.answer(&r)); err != nil {
			return err
		}
	}
	return lines.Err()
}

// answer carries out one request.
func (h *host) answer(r *Request) *Answer {
	a, err := &Answer{}, error(nil)
	switch r.Operation {
	case StartNodes:
		err = h.start(r.Start)
	case AwaitReady:
		a.Took, err = h.awaitReady(r.Within)
	case AwaitChange:
		a.Took, err = h.awaitChange(r)
	case MeasureNodes:
		err = h.measure(a, r.Collect)
	case StopNodes:
		h.stop(r.Last)
	default:
		err = fmt.Errorf("operation %q is not known", r.Operation)
	}
	if err != nil {
		a.Error = err.Error()
	}
	return a
}

// start starts nodes, with the limits of memory that one forwarder has where there is only one.
func (h *host) start(s *Start) error {
	if s == nil {
		return errors.New("start without nodes")
	}
	c, err := config.Read(s.Config)
	if err != nil {
		return err
	}
	if s.Count == 1 {
		debug.SetMemoryLimit(int64(c.Limits.MemoryMB) << 20 * memoryPercent / 100)
	}
	for i := range s.Count {
		settings := c.Settings
		settings.Seed += uint64(s.First + i)
		node, err := startNode(s, s.First+i, settings)
		if err != nil {
			return err
		}
		h.nodes = append(h.nodes, node)
	}
	return nil
}

// awaitReady waits until all nodes have their first list.
func (h *host) awaitReady(within time.Duration) ([]time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	var all sync.WaitGroup
	errs := make([]error, len(h.nodes))
	for i, n := range h.nodes {
		all.Go(func() { _, errs[i] = n.clock.reached(ctx, firstIndex) })
	}
	all.Wait()
	var took []time.Duration
	for _, n := range h.nodes {
		if d, ready := n.clock.readyAfter(); ready {
			took = append(took, d)
		}
	}
	slices.Sort(took)
	return took, errors.Join(errs...)
}

// awaitChange waits until a change is in force in each node that it concerns.
func (h *host) awaitChange(r *Request) ([]time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), r.Within)
	defer cancel()
	var all sync.WaitGroup
	errs, took := make([]error, len(h.nodes)), make([]time.Duration, len(h.nodes))
	for i, n := range h.nodes {
		if !slices.ContainsFunc(r.Destinations, n.source.concerns) {
			continue
		}
		all.Go(func() {
			var at time.Time
			if at, errs[i] = n.clock.reached(ctx, r.Index); errs[i] == nil {
				took[i] = max(at.Sub(r.At), 1)
			}
		})
	}
	all.Wait()
	took = slices.DeleteFunc(took, func(d time.Duration) bool { return d == 0 })
	slices.Sort(took)
	return took, errors.Join(errs...)
}

// measure fills in what the process uses.
func (h *host) measure(a *Answer, collect bool) (err error) {
	if collect {
		runtime.GC()
		debug.FreeOSMemory() // twice: what finalizers let go as well
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	a.Heap = int64(memory.HeapAlloc + memory.StackInuse)
	a.Usage, err = usageOf(os.Getpid())
	for _, n := range h.nodes {
		if p, partial := n.source.(interface{ owned() int }); partial {
			a.Parts = append(a.Parts, p.owned())
		}
	}
	return err
}

// stop ends the last nodes, all at once.
func (h *host) stop(last int) {
	from := max(0, len(h.nodes)-last)
	var all sync.WaitGroup
	for _, n := range h.nodes[from:] {
		all.Go(n.Close)
	}
	all.Wait()
	h.nodes = h.nodes[:from]
}
