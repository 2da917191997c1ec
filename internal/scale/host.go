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
	"scaleroute/internal/ownership"
)

// Operation is what a host of simulated nodes is asked to do.
type Operation string

// The operations.
const (
	StartNodes   Operation = "start"
	HoldLeases   Operation = "leases" // of members that are no nodes
	AwaitReady   Operation = "ready"
	AwaitChange  Operation = "change"
	AwaitMembers Operation = "members" // where the list is partial
	MeasureNodes Operation = "measure"
	StopNodes    Operation = "stop"  // without a word
	LeaveNodes   Operation = "leave" // leases end first
	Parts        Operation = "parts" // sizes of the parts, and what each has gained since this was asked last
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
	Collect      bool          `json:"collect,omitempty"`   // garbage, before memory is measured
	Last         int           `json:"last,omitempty"`      // nodes to stop, the last ones
	Members      int           `json:"members,omitempty"`   // that are awaited, or whose leases are held
	Addresses    []string      `json:"addresses,omitempty"` // of the servers that hold the leases
}

// Start says which nodes a host starts.
type Start struct {
	First     int       `json:"first"` // number of the first
	Count     int       `json:"count"`
	Mechanism Mechanism `json:"mechanism"`
	Addresses []string  `json:"addresses"`        // of discovery, or of the control servers
	Config    string    `json:"config"`           // file of a forwarder's configuration
	Folder    string    `json:"folder,omitempty"` // for the file of withdrawn endpoints of the one node; empty: there is none
	Partial   Partial   `json:"partial"`
	Seed      uint64    `json:"seed"`
}

// Answer is the answer to a request, as a line of JSON.
type Answer struct {
	Error string          `json:"error,omitempty"`
	Took  []time.Duration `json:"took_ns,omitempty"` // of each node concerned, in order of size
	Usage Usage           `json:"usage"`
	Heap  int64           `json:"heap_bytes"`      // in use; live, where garbage was collected before
	Parts []Part          `json:"parts,omitempty"` // of each node
}

// Part is what one node owns.
type Part struct {
	Destinations int `json:"destinations"`
	Partitions   int `json:"partitions"`
	Gained       int `json:"gained"` // partitions
}

// host is a process full of simulated nodes.
type host struct {
	nodes  []*Node
	parts  map[*Node]ownership.Set // as they were asked for last
	leases *leases
}

// Host serves requests until there are no more: it is the main function of a process of simulated nodes.
func Host(in io.Reader, out io.Writer) error {
	h := &host{parts: map[*Node]ownership.Set{}}
	defer h.close()
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
	case HoldLeases:
		h.leases, err = newLeases(r.Members, r.Addresses)
	case AwaitMembers:
		err = h.awaitMembers(r)
	case Parts:
		a.Parts = h.readParts()
	case LeaveNodes:
		err = h.leave(r.Last)
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
	c, err := config.ReadFile(s.Config)
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
		all.Go(func() {
			if !n.source.concerns(r.Destinations) {
				return
			}
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
	return err
}

// partial are the nodes whose list is partial.
func (h *host) partial() (nodes []*Node, lists []*partialList) {
	for _, n := range h.nodes {
		if p, isPartial := n.source.(*partialList); isPartial {
			nodes, lists = append(nodes, n), append(lists, p)
		}
	}
	return nodes, lists
}

// awaitMembers waits until each node knows so many members, and has all of its part.
func (h *host) awaitMembers(r *Request) error {
	ctx, cancel := context.WithTimeout(context.Background(), r.Within)
	defer cancel()
	nodes, lists := h.partial()
	var all sync.WaitGroup
	errs := make([]error, len(nodes))
	turn := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i, p := range lists {
		all.Go(func() {
			turn <- struct{}{}
			defer func() { <-turn }()
			if err := p.awaitMembers(ctx, r.Members); err != nil {
				errs[i] = fmt.Errorf("node %s: %w", nodes[i].Name, err)
			}
		})
	}
	all.Wait()
	return errors.Join(errs...)
}

// readParts reads what each node owns.
func (h *host) readParts() (parts []Part) {
	nodes, lists := h.partial()
	for i, p := range lists {
		now := p.part()
		parts = append(parts, Part{Destinations: p.owned(), Partitions: now.Len(), Gained: now.Difference(h.parts[nodes[i]]).Len()})
		h.parts[nodes[i]] = now
	}
	return parts
}

// leave ends the leases of the last nodes, and the nodes.
func (h *host) leave(last int) (err error) {
	from := max(0, len(h.nodes)-last)
	for _, n := range h.nodes[from:] {
		err = errors.Join(err, n.Leave())
	}
	h.nodes = h.nodes[:from]
	return err
}

// close ends everything.
func (h *host) close() {
	h.stop(len(h.nodes))
	if h.leases != nil {
		h.leases.Close()
	}
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
