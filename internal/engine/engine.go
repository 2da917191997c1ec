// Package engine carries what happens outside to a [decide.Forwarder] and does
// what that decides. It decides nothing about deliveries itself, and knows no
// protocol: fronts hand messages in by [Engine.Take], sources of servers tell
// theirs by [Engine.UpdateEndpoints], a [Back] makes the calls, and [CompletionNotifier] take the final
// answers of messages whose clients have heard that they were taken on.
package engine

import (
	"context"
	"time"

	"scaleroute/internal/decide"
	"scaleroute/internal/message"
	"scaleroute/internal/version"
)

// Endpoint is one endpoint as a source tells of it.
type Endpoint struct {
	decide.Target
	Address string // as the back that calls it reads it
}

// List is what a source of servers tells: all endpoints, or what changed.
type List struct {
	Scope     decide.ListScope
	Endpoints []Endpoint
	Version   *version.Change // what it makes of the version vector; nil: nothing
}

// Back makes calls to endpoints. Its own two methods are called by the engine's
// loop alone and must not wait for anything outside.
type Back interface {
	// UpdateEndpoints tells which endpoints there are, and where.
	UpdateEndpoints(List)
	// Endpoint finds one of them by its name, or returns nil.
	Endpoint(name string) Caller
}

// Caller makes calls to one endpoint, also after it has left the list. It may be
// used from any goroutine.
type Caller interface {
	// Call makes one attempt and tells how it ended: Result, Took, Wait, NoSlot,
	// Over and Allowance. It returns soon after its context has ended or its time-out is over.
	Call(context.Context, Attempt) decide.Outcome
	// CloseIdle closes the connections that no call uses.
	CloseIdle()
}

// Attempt is one attempt at a message.
type Attempt struct {
	ID             string
	Class          string
	Destination    int // that its client named
	Number         int // from 0
	Body           message.Body
	Header         []message.Field
	Timeout        time.Duration       // from now on
	ConnectTimeout time.Duration       // the same, for a connection to be made; 0: as the back has it
	Reply          *Reply              // to be filled in, if it is wanted
	HandOver       func(*InFlightCall) // takes a call that is handed over; see Portable
	OnWritten      func()              // called once the message is written whole; it does not wait
	MayBegin       func() bool         // asked before the first byte is written; no: the call is not made. nil: it may
	// OnRetryAfter is called as soon as an answer is known to tell a wait, also one that turns out to be spoilt: from then on nobody may begin a
	// call. The outcome tells what is left of it. nil: nobody listens.
	OnRetryAfter func(time.Duration)
}

// Reply is what a call was answered with.
type Reply struct {
	MaxBody int // bytes of the body that are wanted
	Status  int // 0 if there was no whole answer
	Header  map[string][]string
	Body    []byte
}

// MessageOutcome is what became of a message that was taken on.
type MessageOutcome struct {
	ID          string
	Class       string
	Destination int    // that its client named
	Result      string // delivered, refused or failed
}

// Completion is the final answer of a message that was taken on and not delivered.
type Completion struct {
	ID         string
	Failed     bool          // it may have taken effect; otherwise handing it in again is harmless
	RetryAfter time.Duration // advice: not to come again before that
}

// CompletionNotifier takes final answers to where they are awaited. Each that has arrived is
// told to [Engine.Acknowledge]; until then the journal owes it.
type CompletionNotifier interface {
	NotifyCompletion(Completion) // does not wait
}

// Limits tighten what is taken on; at 0 they don't.
type Limits struct {
	Total   time.Duration // how long a message may be delivered in all
	Connect time.Duration // how long a connection may take
	Queued  int           // messages held at once, for each destination apart
	Rule    string        // under which those are counted
}

// Answer is what a front tells its client at once.
type Answer struct {
	Kind       AnswerKind
	Reason     string        // with Rejected
	RetryAfter time.Duration // with Refused: advice, 0 for none
	// ConfirmWritten must be called when the client has been told that its message is
	// taken on, or could not be told; nil if there is nothing to wait for.
	ConfirmWritten func(ok bool)
}

// AnswerKind is the kind of an Answer.
type AnswerKind int

// The kinds of answer.
const (
	Accepted AnswerKind = iota // the message is owed its end from now on
	Refused                    // handing it in again is harmless
	Rejected                   // it can't be delivered as it is
)
