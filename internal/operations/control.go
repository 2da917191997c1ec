package operations

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"scaleroute/internal/engine"
)

// Clients is the clients' front.
type Clients interface {
	Drain() error
	Resume() error
	Draining() bool
}

// Members is the list of endpoints, with what operators say of it.
type Members interface {
	LeaveOut(name string) error
	PutBack(name string) error
}

// Part is what a process has while it serves.
type Part struct {
	Clients Clients
	Members Members
	Figures func() *engine.Stats
	// JournalFailing returns since when the journal keeps no records; zero if it does. nil: it always does.
	JournalFailing func() time.Time
}

// Control answers operators. It is there before there is anything to serve, and after.
type Control struct {
	mu     sync.Mutex
	why    error // it does not serve
	part   Part
	failed bool  // told so at this process's door
	shut   error // it is shut out of its fleet, and why
	next   Next  // the process that has taken over; nil if none has

	calls sync.RWMutex // held for reading by calls about targets, from when it was asked whose they are until they are carried out
}

// Why a process is not ready.
var (
	errStarting = errors.New("starting: not ready yet")
	errAway     = errors.New("clients are sent away: PUT /healthcheck/ok ends that")
)

// NewControl makes a Control of a process that starts.
func NewControl() *Control { return &Control{why: errStarting} }

// Serve tells that the process serves from now on.
func (c *Control) Serve(p Part) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.part, c.why = p, nil
	if c.shut != nil { // it goes on after another process did not take over
		c.part.Clients.Drain() // it has just begun: it is not stopping
	}
}

// SentAway tells whether clients are sent away for more than that this process is shut out: the next one, which begins in, is to go on with that.
func (c *Control) SentAway() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.part.Clients != nil && c.part.Clients.Draining() && (c.shut == nil || c.failed)
}

// Stop tells that it does not any more, and why.
func (c *Control) Stop(why error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.why = why
}

// HandOver is Stop for a process that hands over. When it returns no call about a target is being carried out here: the next process
// reads what operators have left out once, and what it missed would be a yes that does not hold.
func (c *Control) HandOver(why error) {
	c.Stop(why)
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

// Next is the process that has taken over: what operators still say here is passed on to it.
type Next interface {
	Members
	SendAway(context.Context) error
	TakeAgain(context.Context) error
}

// Forward passes operators' calls on from now on. Whether this process is ready, and its figures, stay its own.
func (c *Control) Forward(to Next) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next = to
}

func (c *Control) members() (Members, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next != nil {
		return c.next, nil
	}
	return c.part.Members, c.why
}

// LeaveOut leaves a target out until PutBack.
func (c *Control) LeaveOut(target string) error {
	c.calls.RLock()
	defer c.calls.RUnlock()
	m, err := c.members()
	if err != nil {
		return err
	}
	return m.LeaveOut(target)
}

// PutBack puts it back.
func (c *Control) PutBack(target string) error {
	c.calls.RLock()
	defer c.calls.RUnlock()
	m, err := c.members()
	if err != nil {
		return err
	}
	return m.PutBack(target)
}

// SendAway sends clients away until TakeAgain.
func (c *Control) SendAway(ctx context.Context) error {
	if next := c.after(); next != nil {
		return next.SendAway(ctx)
	}
	return c.drain(true)
}

// TakeAgain takes them again.
func (c *Control) TakeAgain(ctx context.Context) error {
	if next := c.after(); next != nil {
		return next.TakeAgain(ctx)
	}
	return c.drain(false)
}

func (c *Control) after() Next {
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

// ShutOut sends clients away while this process is shut out of its fleet, whatever operators say at its door meanwhile; nil ends that.
func (c *Control) ShutOut(why error) error {
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
	if c.part.Figures == nil { // it has not served yet
		return &engine.Stats{}
	}
	return c.part.Figures()
}
