// Package registry keeps the listed endpoints of a back, and decides whether a message may still be written to one of them.
//
// An endpoint is identified by its name, its destination, its address and the start of its process. Where one of these changes, the endpoint
// that was listed before is withdrawn for good and another incarnation takes its place. Connections belong to the incarnation that they were
// opened for: the process that accepts at an address may be that of another endpoint by then.
package registry

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"sync"

	"scaleroute/internal/engine"
)

// ErrNotCallable is the cancellation cause of contexts from [Incarnation.WhileCallable].
var ErrNotCallable = errors.New("the endpoint is no longer called")

// Refusal is the reason why a message must not be written to an endpoint.
type Refusal string

// The reasons.
const (
	NotRefused      Refusal = ""
	Cancelled       Refusal = "call cancelled"
	NotPermitted    Refusal = "retry-after, lease or deadline"
	Draining        Refusal = "endpoint draining"
	Withdrawn       Refusal = "endpoint withdrawn"
	OtherConnection Refusal = "connection of another endpoint"
	NotRecorded     Refusal = "not recorded in the journal"
)

// Incarnation is an endpoint for as long as its identity stays the same. Its methods may be called from any goroutine.
type Incarnation struct {
	engine.EndpointIdentity

	mu      sync.Mutex
	refusal Refusal // NotRefused, Draining or Withdrawn
	// waits holds the contexts of WhileCallable.
	waits map[*callableWait]struct{}
}

// callableWait is a context of WhileCallable.
type callableWait struct{ cancel context.CancelCauseFunc }

// NewIncarnation returns an incarnation that is called.
func NewIncarnation(identity engine.EndpointIdentity) *Incarnation {
	return &Incarnation{EndpointIdentity: identity}
}

// MayWrite decides whether the first byte of a message may be written to the endpoint, over a connection that was opened for owner. It must be
// called right before that write: whatever was decided earlier may have changed while the call waited.
func (i *Incarnation) MayWrite(ctx context.Context, a *engine.Attempt, owner *Incarnation) Refusal {
	switch {
	case ctx.Err() != nil:
		return Cancelled
	case owner != i:
		return OtherConnection
	case a.MayBegin != nil && !a.MayBegin():
		return NotPermitted
	}
	return i.Refusal() // last, since a list may be applied while MayBegin runs
}

// RecordSending has the journal record that a message may run, unless MayWrite refuses it already. It is called when the connection is ready. MayWrite
// must be asked again right before the first byte, since the record takes time.
func (i *Incarnation) RecordSending(ctx context.Context, a *engine.Attempt, owner *Incarnation) Refusal {
	if refusal := i.MayWrite(ctx, a, owner); refusal != NotRefused || a.RecordSending == nil || a.RecordSending(ctx) {
		return refusal
	}
	return NotRecorded
}

// Refusal returns why the endpoint is not called, or NotRefused.
func (i *Incarnation) Refusal() Refusal {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.refusal
}

// WithheldReason implements engine.Withholder.
func (i *Incarnation) WithheldReason() string { return string(i.Refusal()) }

// ReportWithheld counts and logs that a message was not written though its connection was ready, or was being opened. It does nothing with
// NotRefused, and logs nothing that is part of normal service.
func (i *Incarnation) ReportWithheld(a *engine.Attempt, refusal Refusal) {
	if refusal == NotRefused {
		return
	}
	if a.OnWithheld != nil {
		a.OnWithheld(string(refusal))
	}
	if refusal != Cancelled && refusal != NotPermitted && refusal != NotRecorded {
		slog.Info("message withheld", "id", a.ID, "target", i.Name, "destination", i.Destination, "address", i.hostPort(), "since_ms", i.StartedMS, "why", refusal)
	}
}

// hostPort returns the address without the sender and recipient of a mail address.
func (i *Incarnation) hostPort() string {
	address, _, _ := strings.Cut(i.Address, "?")
	return address
}

// WhileCallable returns a context that ends with ctx, or with the cause ErrNotCallable as soon as the endpoint is no longer called. It is for
// waiting until a connection can be used. release must be called after the wait.
func (i *Incarnation) WhileCallable(ctx context.Context) (wait context.Context, release func()) {
	wait, cancel := context.WithCancelCause(ctx)
	entry := &callableWait{cancel}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.refusal != NotRefused {
		cancel(ErrNotCallable)
		return wait, func() {}
	}
	if i.waits == nil {
		i.waits = map[*callableWait]struct{}{}
	}
	i.waits[entry] = struct{}{}
	return wait, func() {
		i.mu.Lock()
		delete(i.waits, entry)
		i.mu.Unlock()
		cancel(nil)
	}
}

// setRefusal changes whether the endpoint is called, and reports whether that has changed. A withdrawn endpoint stays withdrawn.
func (i *Incarnation) setRefusal(refusal Refusal) (changed bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.refusal == Withdrawn || i.refusal == refusal {
		return false
	}
	i.refusal = refusal
	if refusal != NotRefused {
		for wait := range i.waits {
			wait.cancel(ErrNotCallable)
		}
		i.waits = nil
	}
	return true
}

// Withdraw makes the endpoint refuse all messages from now on.
func (i *Incarnation) Withdraw() { i.setRefusal(Withdrawn) }
