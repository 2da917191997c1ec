package operations

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"scaleroute/internal/engine"
)

// ClientFront is the front that clients connect to.
type ClientFront interface {
	Drain() error
	Resume() error
	Draining() bool
}

// Endpoints is the endpoint list, of which operators disable and enable endpoints.
type Endpoints interface {
	DisableEndpoint(name string) error
	EnableEndpoint(name string) error
}

// Components are the parts of a serving process that operators' requests are about.
type Components struct {
	Clients   ClientFront
	Endpoints Endpoints
	Stats     func() *engine.Stats
	// JournalFailing returns since when the journal can't be written; zero if it can. nil: it always can.
	JournalFailing func() time.Time
}

// Control carries out the requests of the admin API. It exists before the process begins to serve, and after it has stopped.
type Control struct {
	mu             sync.Mutex
	notServing     error // why the process does not serve; nil while it serves
	components     Components
	drainRequested bool      // by an operator, through this process's admin API
	fencedOff      error     // why this process is fenced off from its fleet; nil if it is not
	successor      Successor // the process that has taken over; nil if none has

	endpointCalls sync.RWMutex // held for reading by DisableEndpoint and EnableEndpoint, from when they look up the Endpoints to call until that call has returned
}

// Why a process is not ready.
var (
	errStarting = errors.New("starting: not ready yet")
	errDraining = errors.New("clients are sent away: PUT /healthcheck/ok ends that")
)

// NewControl returns the Control of a process that starts.
func NewControl() *Control { return &Control{notServing: errStarting} }

// SetServing records that the process serves from now on.
func (c *Control) SetServing(components Components) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.components, c.notServing = components, nil
	if c.fencedOff != nil { // this process serves again since the next one did not take over
		c.components.Clients.Drain() // a new front is not stopping, so this does not fail
	}
}

// DrainedByOperator reports whether clients are drained for another reason than that this process is fenced off. The next process, which does not begin
// fenced off, keeps them drained in that case.
func (c *Control) DrainedByOperator() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.components.Clients != nil && c.components.Clients.Draining() && (c.fencedOff == nil || c.drainRequested)
}

// SetStopped records that the process does not serve any more, and why.
func (c *Control) SetStopped(why error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notServing = why
}

// BeginHandover is SetStopped for a process that hands over. When it returns, no request to disable or enable an endpoint is in progress here: the next
// process reads the disabled endpoints once, and a request that it missed would have been confirmed without taking effect.
func (c *Control) BeginHandover(why error) {
	c.SetStopped(why)
	c.endpointCalls.Lock()
	defer c.endpointCalls.Unlock()
}

// Ready returns nil, or the reason why this process is not ready to serve.
func (c *Control) Ready() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.notServing != nil:
		return c.notServing
	case c.fencedOff != nil:
		return c.fencedOff
	case c.drainRequested:
		return errDraining
	case c.components.JournalFailing != nil && !c.components.JournalFailing().IsZero():
		return fmt.Errorf("the journal can't be kept since %s: see the log, and its disk", c.components.JournalFailing().Format(time.TimeOnly))
	}
	return nil
}

// Successor is the process that has taken over. Requests that operators still send to this process are forwarded to it.
type Successor interface {
	Endpoints
	DrainClients(context.Context) error
	ResumeClients(context.Context) error
}

// ForwardTo forwards operators' requests from now on, except for Ready and Stats, which this process goes on answering for itself.
func (c *Control) ForwardTo(successor Successor) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.successor = successor
}

func (c *Control) endpoints() (Endpoints, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.successor != nil {
		return c.successor, nil
	}
	return c.components.Endpoints, c.notServing
}

// DisableEndpoint takes an endpoint out of rotation until EnableEndpoint.
func (c *Control) DisableEndpoint(name string) error {
	c.endpointCalls.RLock()
	defer c.endpointCalls.RUnlock()
	list, err := c.endpoints()
	if err != nil {
		return err
	}
	return list.DisableEndpoint(name)
}

// EnableEndpoint ends DisableEndpoint.
func (c *Control) EnableEndpoint(name string) error {
	c.endpointCalls.RLock()
	defer c.endpointCalls.RUnlock()
	list, err := c.endpoints()
	if err != nil {
		return err
	}
	return list.EnableEndpoint(name)
}

// DrainClients drains the clients until ResumeClients.
func (c *Control) DrainClients(ctx context.Context) error {
	if successor := c.currentSuccessor(); successor != nil {
		return successor.DrainClients(ctx)
	}
	return c.requestDrain(true)
}

// ResumeClients ends DrainClients. The clients stay drained while this process is fenced off.
func (c *Control) ResumeClients(ctx context.Context) error {
	if successor := c.currentSuccessor(); successor != nil {
		return successor.ResumeClients(ctx)
	}
	return c.requestDrain(false)
}

func (c *Control) currentSuccessor() Successor {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.successor
}

func (c *Control) requestDrain(drain bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.notServing != nil {
		return c.notServing
	}
	if err := c.setDrained(drain || c.fencedOff != nil); err != nil {
		return err
	}
	c.drainRequested = drain
	return nil
}

func (c *Control) setDrained(drained bool) error {
	do := c.components.Clients.Resume
	if drained {
		do = c.components.Clients.Drain
	}
	return do()
}

// SetFencedOff drains the clients while this process is fenced off from its fleet, whatever operators request meanwhile. A nil reason ends that.
func (c *Control) SetFencedOff(why error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fencedOff = why
	if c.notServing != nil {
		return nil
	}
	return c.setDrained(why != nil || c.drainRequested)
}

// stats returns the newest statistics.
func (c *Control) stats() *engine.Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.components.Stats == nil { // the process has not served yet
		return &engine.Stats{}
	}
	return c.components.Stats()
}
