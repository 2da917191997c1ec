// Package engine runs the event loop around a [decide.Forwarder]: it feeds external
// events to the Forwarder and carries out the actions that the Forwarder returns. The
// engine makes no delivery decisions itself and knows no protocol. Fronts submit
// messages with [Engine.Accept], sources of endpoints report lists with
// [Engine.UpdateEndpoints], a [Back] makes the calls, and each [CompletionNotifier]
// delivers the completion notices of accepted messages that were not delivered.
package engine

import (
	"context"
	"time"

	"scaleroute/internal/decide"
	"scaleroute/internal/message"
	"scaleroute/internal/version"
)

// Endpoint is one endpoint as a source reports it.
type Endpoint struct {
	decide.Target
	Address   string // in the form that its back parses
	StartedMS int64  // when its process started, in Unix milliseconds; 0: long ago, or unknown
	// AddressPinned marks an endpoint of operators, who name an address and not a process: it keeps the address whatever else is listed there.
	AddressPinned bool
}

// EndpointIdentity identifies the process that an endpoint's name stands for. An address alone does not: another endpoint may have it later.
type EndpointIdentity struct {
	Name        string
	Destination int
	Address     string
	StartedMS   int64
}

// Identity returns the endpoint's identity.
func (e *Endpoint) Identity() EndpointIdentity {
	return EndpointIdentity{Name: e.ID, Destination: e.Destination, Address: e.Address, StartedMS: e.StartedMS}
}

// List is an endpoint snapshot or delta from a source of endpoints.
type List struct {
	Scope     decide.ListScope
	Endpoints []Endpoint
	Version   *version.Change // how it changes the version vector; nil if it does not
}

// Back makes calls to endpoints. Only the engine's event loop calls its two methods;
// they must not block on anything outside the process.
type Back interface {
	// UpdateEndpoints applies an endpoint snapshot or delta.
	UpdateEndpoints(List)
	// Endpoint returns the endpoint with this name, or nil.
	Endpoint(name string) Caller
}

// Caller makes calls to one endpoint, also after the endpoint has left the list. It
// may be used from any goroutine.
type Caller interface {
	// Call makes one attempt and returns its outcome, with the fields Result, Took, Wait,
	// NoSlot, Over and Allowance set. It returns soon after its context is cancelled or
	// its timeout has expired.
	Call(context.Context, Attempt) decide.Outcome
	// CloseIdle closes the idle connections.
	CloseIdle()
}

// Withholder is a Caller whose endpoint may be withdrawn or drain while an attempt waits.
type Withholder interface {
	// WithheldReason says why no message may be written to the endpoint, or "". It does not block.
	WithheldReason() string
}

// ConnectionReserver is a Caller that can reserve a connection that is ready, so that the attempt can be recorded in the journal before its call begins.
type ConnectionReserver interface {
	// ReserveConnection returns a connection that a message can be written to at once, or nil if a call has to wait for one. It does not block.
	ReserveConnection() ReservedConnection
}

// ReservedConnection is a connection for one call.
type ReservedConnection interface {
	Release() // called if the call is not made
}

// Attempt is one attempt to deliver a message.
type Attempt struct {
	ID             string
	Class          string
	Destination    int // the destination that the client named
	Number         int // counted from 0
	Body           message.Body
	Header         []message.Field
	Timeout        time.Duration       // measured from the start of the call
	ConnectTimeout time.Duration       // the same, for establishing a connection; 0 selects the back's default
	Reply          *Reply              // filled in by the call; nil if the reply is not needed
	HandOver       func(*InFlightCall) // receives a call that is handed over to another process; see Portable
	OnWritten      func()              // called once the message is completely written; it does not block
	MayBegin       func() bool         // called before the first byte is written; if it returns false, the call is not made. nil permits the call
	Connection     ReservedConnection  // the connection to use; nil: the call finds one itself
	// RecordSending records that the message may run from now on. It is called when the connection is ready, right before the first byte, and
	// waits until the record is as durable as configured; if it returns false, the call is not made. nil: it is recorded already.
	RecordSending func(context.Context) bool
	// OnRetryAfter is called as soon as an answer is known to carry a retry-after time, even if the rest of the answer turns out to
	// be malformed. From then on no call may begin. The outcome reports the time that is left. It may be nil.
	OnRetryAfter func(time.Duration)
	// OnWithheld is called with the reason if the message must not be written any more when its connection is ready. It may be nil.
	OnWithheld func(reason string)
}

// Reply is the answer to a call.
type Reply struct {
	MaxBody int // limit of the body's length in bytes
	Status  int // 0 if no complete answer was received
	Header  map[string][]string
	Body    []byte
}

// MessageOutcome is the outcome of an accepted message.
type MessageOutcome struct {
	ID          string
	Class       string
	Destination int    // the destination that the client named
	Result      string // delivered, refused or failed
}

// Completion is the completion notice for a message that was accepted and not delivered.
type Completion struct {
	ID         string
	Failed     bool          // the message may have taken effect; otherwise submitting it again is harmless
	RetryAfter time.Duration // when the client should submit it again; 0 for no advice
}

// CompletionNotifier delivers completion notices to the clients that await them. Each
// delivered notice is reported to [Engine.Acknowledge]; until then the journal keeps
// the message, so that a restart sends the notice again.
type CompletionNotifier interface {
	NotifyCompletion(Completion) // does not block
}

// Limits restrict which messages are accepted; 0 is no limit.
type Limits struct {
	Total   time.Duration // time limit for delivery, all attempts included
	Connect time.Duration // time limit for establishing a connection
	Queued  int           // queued messages per destination
	Rule    string        // name of the rule that the queued messages are counted under
}

// Answer is the immediate answer that a front gives its client.
type Answer struct {
	Kind       AnswerKind
	Reason     string        // with Rejected
	RetryAfter time.Duration // with Refused: when the client should try again; 0 for no advice
	// ConfirmWritten must be called once the acceptance has been written to the client,
	// or with false if it could not be written; nil if no confirmation is needed.
	ConfirmWritten func(ok bool)
}

// AnswerKind is the kind of an Answer.
type AnswerKind int

// The kinds of answers.
const (
	Accepted AnswerKind = iota // the forwarder now owes the message a delivery or a completion notice
	Refused                    // submitting the message again is harmless
	Rejected                   // the message can't be delivered as it is
)
