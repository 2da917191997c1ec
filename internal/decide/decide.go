// Package decide makes the decisions of an outbound gateway, a forwarder that
// delivers messages by calls to the systems of others: when and where to send a
// message, when to queue, retry, hedge or pace it, and when to hand it back.
//
// A host creates a [Forwarder] from its [Settings], calls [Forwarder.Step] with
// a clock time and the events since the last call, and carries out the actions
// in the order returned. The package starts no goroutines, reads no wall clock
// and does no I/O: the same settings and events give the same actions.
//
// After each Step the host calls Step again, at the latest, when [Wake] says.
// A restarted host creates a new Forwarder and feeds it the last list it knew.
// A Forwarder is not safe for concurrent use.
//
// A mistake of the host causes no panic and breaks no delivery rule: a clock that
// runs backward counts as one that stands still; a second message with the id of
// an open one is ignored, and so are outcomes and withdrawals of unknown messages.
// A message of an unknown class, or one whose deadline has passed, is refused at once.
//
// All decisions are made in the files that deploy/balancer.toml lists as policy:
// policy.go (the order of a Step), shedding.go, scheduling.go, eligibility.go,
// selection.go, hedging.go, completion.go, circuit.go, overdue.go,
// retry_budget.go and pacing.go. The other files hold state and indexes.
//
// Whether a message may be sent to a destination follows from the destination's
// state and the clock alone, and computing it changes nothing. So it is computed
// only after a change at the destination, or at the next eligible time that the
// last computation gave. docs/large-sizes.md describes the indexes.
package decide

import "time"

// Effect says what a second delivery of a message does at its destination.
type Effect int

// The kinds of effect.
const (
	Idempotent   Effect = iota // safe to repeat
	Deduplicated               // the receiving endpoints drop a repeat within a window
	AtMostOnce                 // not safe to repeat: must never take effect twice
)

// Decay says how the value of a message falls once it is no longer on time.
type Decay int

// The kinds of decay. The value is Class.LateShare of the full one at the least.
const (
	Linear      Decay = iota // evenly, down to the late share at the deadline
	Exponential              // by half with each further Class.OnTime that passes, down to the late share
)

// Class describes one class of message.
type Class struct {
	Name         string
	Effect       Effect
	DedupPerZone bool          // for Deduplicated: a repeat is dropped only in the zone of the first delivery; else everywhere
	DedupWindow  time.Duration // for Deduplicated: how long a repeat is dropped
	OnTime       time.Duration // a message delivered within this time has its full value
	Deadline     time.Duration // a message not delivered within this time has failed
	Value        float64       // of a message that is delivered on time
	LateShare    float64       // share of the value that is left at the deadline
	Ordered      bool          // messages with the same key are sent one at a time, in the order accepted
}

// Kind describes one kind of destination.
type Kind struct {
	Name           string
	SeparateRoutes bool // each endpoint is a route of its own; else all of a destination share one
	MaxBatch       int  // the largest number of messages in one call
}

// Tenant is a customer of the platform that sends messages.
type Tenant struct {
	Name  string
	Quota float64 // messages a second over all forwarders; those beyond it count as Settings.OverQuotaValue
}

// Settings configures a Forwarder.
type Settings struct {
	Seed           uint64
	Classes        []Class
	Kinds          []Kind
	Tenants        []Tenant
	Decay          Decay
	OverQuotaValue float64 // value of a message beyond its tenant's quota, as a share of its normal value

	Zone           string             // this forwarder's own
	ZoneFee        map[string]float64 // price of a message that a separate route accepts, by the zone of its endpoint
	CrossZonePrice float64            // price of an attempt that leaves the zone
	ConnectPrice   float64            // price of a new connection; at 0 no idle connection is kept
	Forwarders     int                // number of forwarders, this one included
	Weights        Weights            // what Target.Weight means

	Slots               int                                                      // calls in flight at once, of all destinations
	MaxOpen             int                                                      // open messages at once; 0 for no limit
	MaxAttempts         int                                                      // attempts at one message; 0 for no limit
	Limits              func(class string, destination int, route string) Limits // a pure function; nil for none
	Hedging             bool                                                     // hedged requests are allowed
	MayProbe            bool                                                     // not used: a probe here is an attempt at a queued message
	MayCancel           bool                                                     // attempts may be cancelled
	MustSubscribe       bool                                                     // discovery sends the endpoints only on request
	ResubscribeInterval time.Duration                                            // longest wait until the next request after one that failed

	ConnIdle       time.Duration // the host closes a connection that was idle for so long
	ConnectTimeout time.Duration // a connection that is not made within this time has failed
	MaxRetryAfter  time.Duration // longest retry-after time that a client obeys

	AnswerSlack    time.Duration // how late after its deadline a message may be answered
	DrainGrace     time.Duration // calls to a draining endpoint must have ended by then
	KeyPause       time.Duration // no other message of a key is sent for so long after an attempt that may still run
	StartCapacity  float64       // share of its capacity that a destination has when it returns from an outage
	SlowStart      time.Duration // time from its return until it has all of its capacity
	OverloadFactor float64       // calls beyond this multiple of its present capacity overload a destination
	OverloadOutage time.Duration // how long a destination is then down
}

// Limits restricts the delivery of some messages; 0 is no limit.
type Limits struct {
	MaxAttempts    int           // at one message
	AttemptTimeout time.Duration // longest wait for the answer to one attempt
	RetryDelay     time.Duration // longest wait before the first retry, jittered; it doubles with each further retry
	HedgeDelay     time.Duration // from the first attempt at an idempotent message to a hedged request, with Settings.Hedging

	// These apply to all messages of a destination together; the host is asked for them without a class.
	MaxInFlight   int     // calls in flight at once, of each route
	MaxRate       float64 // calls a second, of each route, by this forwarder
	MaxRetryRatio float64 // retries, as a share of first attempts
}

// Weights says what the weight of an endpoint means.
type Weights int

// The meanings of a weight.
const (
	NoWeights    Weights = iota // the weight means nothing
	ExactWeights                // calls a second that the route accepts from all forwarders
	RoughWeights                // the same, but up to half too high or too low
)

// Event is something that a host reports: [TargetList], [Message], [Outcome],
// [ProbeResult], [Withdrawn], [Woken], [StoreFull], [Stopping], [Fenced] or [PeerRetryAfter].
type Event interface{ event() }

// TargetState is the listed state of an endpoint; it is independent of its health.
type TargetState int

// The states of an endpoint.
const (
	Active   TargetState = iota
	Draining             // gets no new call
	Gone                 // no longer exists
)

// Target is the listing of one endpoint.
type Target struct {
	ID          string
	Destination int
	Kind        string
	Zone        string
	State       TargetState
	Weight      float64
	Backup      bool    // used only while the others of its destination fail or are gone
	Share       float64 // its share of the calls to its route, relative to the others; 0 counts as 1
	EnableCount uint32  // how often an operator has re-enabled it; each time it gets a slow start
}

// ListScope says how a TargetList relates to the one before it.
type ListScope int

// The scopes of a list.
const (
	Snapshot    ListScope = iota // a complete snapshot: an endpoint missing from it is gone
	LastKnown                    // the last snapshot that a restarted host knew, possibly out of date
	Delta                        // only the endpoints that have changed
	Unavailable                  // the request failed; the last list stays valid
)

// TargetList is an endpoint snapshot or delta.
type TargetList struct {
	Scope   ListScope
	Targets []Target
}

// Message is a new message, or a recovered one. The Forwarder completes each exactly once: by an Outcome
// with NoAnswerNeeded, a Withdrawn, a Refuse or a Fail.
type Message struct {
	ID                  string
	Class               string
	Destination         int
	Key                 string // of its per-key queue, for a class with Ordered
	Tenant              string
	TimeLeft            time.Duration   // until its deadline
	FromFailedForwarder bool            // it was open at a forwarder that failed
	ClientRetry         bool            // the client sends it again, where clients mark that
	Route               string          // the operator's rule that routed it; only Settings.Limits uses it
	Filter              *EndpointFilter // which endpoints it may go to; nil for any of its destination

	// What a restarted host knows of a message that it accepted before.
	Recovered      bool // accepted before the restart: it is never refused because the queues are full
	Attempts       int  // number of attempts before; the next one has this number
	HasOpenAttempt bool // the last of them has no known outcome
	MayHaveRun     bool // one of them may have run
}

// EndpointFilter restricts and orders the endpoints that a message may go to. It never permits one
// that is not permitted without it.
type EndpointFilter struct {
	Only   []string // the only ones permitted; empty for all
	Prefer []string // preferred to the others, in this order, if all else is equal
}

// Result is how an attempt or a probe ended.
type Result int

// The ways in which an attempt can end.
const (
	Succeeded     Result = iota
	Errored              // answered with an error; the message may have run
	Overloaded           // refused for now: the message did not run
	TimedOut             // the message may have run, or still be running
	ConnectFailed        // the endpoint was not reached
	Reset                // the connection broke; the message may have run
	Cancelled            // cancelled by the host; the message may have run
	NotSent              // not sent by the host, but the attempt keeps its number
	Rejected             // rejected for good: the message did not run, and is not retried
)

// answered reports whether an endpoint gave a definite answer to the message.
func (r Result) answered() bool { return r == Succeeded || r == Rejected }

// Allowance is what a destination reports of its rate limit.
type Allowance struct {
	Reported  bool
	Remaining float64 // share of the limit that is left
	Rate      float64 // the limit in calls a second; 0 if there is none
}

// Outcome reports how an attempt ended. Every Send gets exactly one.
type Outcome struct {
	Message        string
	Attempt        int // numbered from 0 in the order of the sends
	Target         string
	Result         Result
	Latency        time.Duration
	RetryAfter     time.Duration // asked for by the endpoint, or 0
	NoSlot         bool          // with NotSent: no slot was free
	RetryDelay     time.Duration // with NotSent: how long until the message may be retried
	NoAnswerNeeded bool          // the message is completed: its client has its answer or needs none
	Allowance      Allowance
}

// ProbeResult reports how a probe without a message ended. It changes nothing.
type ProbeResult struct {
	Target    string
	Result    Result
	Latency   time.Duration
	Allowance Allowance
}

// Withdrawn reports that a message is no longer wanted; it needs no answer.
type Withdrawn struct{ Message string }

// Woken reports that the time that a Wake asked for has come.
type Woken struct{}

// StoreFull reports that the host had no room to store one more message.
type StoreFull struct{}

// Stopping reports that the host stops after this time. The messages open then are
// given to the Forwarder of its next start as Recovered.
type Stopping struct{ TimeLeft time.Duration }

// Fenced reports that the host is fenced off, or with On false that it no longer is. While it is, no call
// begins: queued messages are answered at once, those in flight when their calls end without success.
type Fenced struct{ On bool }

// PeerRetryAfter reports a retry-after time that another forwarder got from this endpoint. Nothing is sent
// there until then. It never shortens a retry-after time that is known already.
type PeerRetryAfter struct {
	Target     string
	RetryAfter time.Duration
}

func (TargetList) event()     {}
func (Message) event()        {}
func (Outcome) event()        {}
func (ProbeResult) event()    {}
func (Withdrawn) event()      {}
func (Woken) event()          {}
func (StoreFull) event()      {}
func (Stopping) event()       {}
func (Fenced) event()         {}
func (PeerRetryAfter) event() {}

// Action is something that the host must do: [Send], [Refuse], [Fail],
// [Cancel], [CloseIdle], [Subscribe] or [Wake].
type Action interface{ action() }

// Send starts an attempt. Sends of one Step to one endpoint travel as one call
// where the endpoint's kind allows it.
type Send struct {
	Message     string
	Target      string
	Timeout     time.Duration
	StartWithin time.Duration // the first byte is written within this time or not at all; 0 for no limit
}

// Refuse completes a message: its client may hand it in again without harm.
type Refuse struct {
	Message    string
	RetryAfter time.Duration // how long the client should wait before that; 0 for no advice
}

// Fail completes a message without saying whether it took effect.
type Fail struct{ Message string }

// Cancel cancels one attempt; its outcome is still reported.
type Cancel struct {
	Message string
	Attempt int
}

// CloseIdle closes the idle connections to an endpoint.
type CloseIdle struct{ Target string }

// Subscribe asks discovery for the endpoints and, from then on, their changes.
type Subscribe struct{}

// Wake asks for a Step with a Woken event after this time, at the latest. Only
// the newest Wake need be kept; a Woken that nothing asked for does no harm.
type Wake struct{ After time.Duration }

func (Send) action()      {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (Cancel) action()    {}
func (CloseIdle) action() {}
func (Subscribe) action() {}
func (Wake) action()      {}

// RouteView is the state of one route as operators see it.
type RouteView struct {
	Route          string        // the destination's number, or the endpoint's id where routes are separate
	CircuitOpen    bool          // only probes are sent
	OpenReason     string        // empty if the circuit is closed
	RetryAfterLeft time.Duration // until the retry-after time has passed
	RetryRatio     float64       // the retry budget: retries allowed per first attempt
	Amplification  float64       // attempts per first attempt
	InFlight       int           // calls in flight
	Queued         int           // messages queued for the destination
}
