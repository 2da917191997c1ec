package operations

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"scaleroute/internal/engine"
)

// ClientFront is the clients' front.
type ClientFront interface {
	Drain() error
	Resume() error
	Draining() bool
}

// Endpoints is the list of endpoints, with what operators say of it.
type Endpoints interface {
	DisableEndpoint(name string) error
	EnableEndpoint(name string) error
}

// Components is what a process has while it serves.
type Components struct {
	Clients   ClientFront
	Endpoints Endpoints
	Stats     func() *engine.Stats
	// JournalFailing returns since when the journal keeps no records; zero if it does. nil: it always does.
	JournalFailing func() time.Time
}

// Control answers operators. It is there before there is anything to serve, and after.
type Control struct {
	mu     sync.Mutex
	why    error // it does not serve
	part   Components
	failed bool      // told so at this process's door
	shut   error     // it is shut out of its fleet, and why
	next   Successor // the process that has taken over; nil if none has

	calls sync.RWMutex // held for reading by calls about targets, from when it was asked whose they are until they are carried out
}

// Why a process is not ready.
var (
	errStarting = errors.New("starting: not ready yet")
	errAway     = errors.New("clients are sent away: PUT /healthcheck/ok ends that")
)

// NewControl makes a Control of a process that starts.
func NewControl() *Control { return &Control{why: errStarting} }

// SetServing tells that the process serves from now on.
func (c *Control) SetServing(p Components) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.part, c.why = p, nil
	if c.shut != nil { // it goes on after another process did not take over
		c.part.Clients.Drain() // it has just begun: it is not stopping
	}
}

// DrainedByOperator tells whether clients are sent away for more than that this process is shut out: the next one, which begins in, is to go on with that.
func (c *Control) DrainedByOperator() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.part.Clients != nil && c.part.Clients.Draining() && (c.shut == nil || c.failed)
}

// SetStopped tells that it does not any more, and why.
func (c *Control) SetStopped(why error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.why = why
}

// BeginHandover is Stop for a process that hands over. When it returns no call about a target is being carried out here: the next process
// reads what operators have left out once, and what it missed would be a yes that does not hold.
func (c *Control) BeginHandover(why error) {
	c.SetStopped(why)
	c.calls.Lock()
	defer c.calls.Unlock()
}

// Ready is nil, or why this process is not ready to serve.
func (c *Control) Ready() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.why != nil:
		return c.why
	case c.shut != nil:
		return c.shut
	case c.failed:
		return errAway
	case c.part.JournalFailing != nil && !c.part.JournalFailing().IsZero():
		return fmt.Errorf("the journal can't be kept since %s: see the log, and its disk", c.part.JournalFailing().Format(time.TimeOnly))
	}
	return nil
}

// Successor is the process that has taken over: what operators still say here is passed on to it.
type Successor interface {
	Endpoints
	DrainClients(context.Context) error
	ResumeClients(context.Context) error
}

// ForwardTo passes operators' calls on from now on. Whether this process is ready, and its figures, stay its own.
func (c *Control) ForwardTo(to Successor) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next = to
}

func (c *Control) members() (Endpoints, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next != nil {
		return c.next, nil
	}
	return c.part.Endpoints, c.why
}

// DisableEndpoint leaves a target out until EnableEndpoint.
func (c *Control) DisableEndpoint(target string) error {
	c.calls.RLock()
	defer c.calls.RUnlock()
	m, err := c.members()
	if err != nil {
		return err
	}
	return m.DisableEndpoint(target)
}

// EnableEndpoint puts it back.
func (c *Control) EnableEndpoint(target string) error {
	c.calls.RLock()
	defer c.calls.RUnlock()
	m, err := c.members()
	if err != nil {
		return err
	}
	return m.EnableEndpoint(target)
}

// DrainClients sends clients away until ResumeClients.
func (c *Control) DrainClients(ctx context.Context) error {
	if next := c.after(); next != nil {
		return next.DrainClients(ctx)
	}
	return c.drain(true)
}

// ResumeClients takes them again.
func (c *Control) ResumeClients(ctx context.Context) error {
	if next := c.after(); next != nil {
		return next.ResumeClients(ctx)
	}
	return c.drain(false)
}

func (c *Control) after() Successor {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.next
}

func (c *Control) drain(away bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.why != nil {
		return c.why
	}
	if err := c.away(away || c.shut != nil); err != nil {
		return err
	}
	c.failed = away
	return nil
}

// away sends clients away or takes them again.
func (c *Control) away(away bool) error {
	do := c.part.Clients.Resume
	if away {
		do = c.part.Clients.Drain
	}
	return do()
}

// SetFencedOff sends clients away while this process is shut out of its fleet, whatever operators say at its door meanwhile; nil ends that.
func (c *Control) SetFencedOff(why error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shut = why
	if c.why != nil { // it does not serve
		return nil
	}
	return c.away(why != nil || c.failed)
}

// figures is the newest there are.
func (c *Control) figures() *engine.Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.part.Stats == nil { // it has not served yet
		return &engine.Stats{}
	}
	return c.part.Stats()
}
