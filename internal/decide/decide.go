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
// A host that errs gets no panic and no broken rule: time that runs backward
// counts as no time passed; a second message with the id of an open one is
// ignored, and so are outcomes and withdrawals of unknown messages. A message for
// an unknown class, or one whose time is already up, is rejected at once.
//
// All decisions are made in the files that deploy/balancer.toml lists as policy:
// policy.go (the order of a Step), shedding.go, scheduling.go, eligibility.go,
// selection.go, hedging.go, completion.go, circuit.go, overdue.go,
// retry_budget.go and pacing.go. The other files hold state and indexes.
//
// Whether a destination may be sent to follows from its state and the clock
// alone, and computing it changes nothing. So it is computed only after a change
// there, or at the next eligible time that the last computation gave.
// docs/large-sizes.md has the rest.
package decide

import "time"

// Effect is what a second delivery of a message does at its destination.
type Effect int

// The kinds of effect.
const (
	Idempotent   Effect = iota // safe to repeat
	Deduplicated               // a repeat is dropped by the same group within a window
	AtMostOnce                 // must never take effect twice
)

// Decay is how the value of a message falls once its aim has passed.
type Decay int

// The kinds of decay.
const (
	Linear      Decay = iota // evenly, down to the late share at the deadline
	Exponential              // by half with each further aim, not under the late share
)

// Class describes one class of message.
type Class struct {
	Name         string
	Effect       Effect
	DedupPerZone bool          // for Keyed: only endpoints of one zone drop repeats; else all do
	DedupWindow  time.Duration // for Keyed: how long a repeat is dropped
	OnTime       time.Duration // delivered by then it has its full value
	Deadline     time.Duration // it fails if it is not delivered by then
	Value        float64
	LateShare    float64 // share of the value left at the deadline
	Ordered      bool    // messages with one key go one at a time, in order
}

// Kind describes one kind of destination.
type Kind struct {
	Name           string
	SeparateRoutes bool // its endpoints are separate routes
	MaxBatch       int  // messages that one call carries at most
}

// Tenant is one of those whose messages are delivered.
type Tenant struct {
	Name  string
	Quota float64 // messages a second, over all forwarders, inside its share
}

// Settings configures a Forwarder.
type Settings struct {
	Seed           uint64
	Classes        []Class
	Kinds          []Kind
	Tenants        []Tenant
	Decay          Decay
	OverQuotaValue float64 // value of a message beyond its tenant's quota, as a share

	Zone           string             // this forwarder's own
	ZoneFee        map[string]float64 // price of a message accepted by a separate route, by zone
	CrossZonePrice float64            // price of an attempt that leaves the zone
	ConnectPrice   float64            // price of a new connection; at 0 none is kept idle
	Forwarders     int                // how many there are, this one included
	Weights        Weights            // what Target.Weight holds

	Slots               int                                                      // calls in flight at once
	MaxOpen             int                                                      // open messages at once; 0 for no limit
	MaxAttempts         int                                                      // attempts for one message; 0 for no limit
	Limits              func(class string, destination int, route string) Limits // a pure function; nil for none
	Hedging             bool
	MayProbe            bool
	MayCancel           bool
	MustSubscribe       bool          // the list comes only when asked for
	ResubscribeInterval time.Duration // how often to ask where the list must be asked for

	ConnIdle       time.Duration // an idle connection is closed after this
	ConnectTimeout time.Duration // a connection not made by then has failed
	MaxRetryAfter  time.Duration // the longest wait that a client heeds

	AnswerSlack    time.Duration // a final answer may be this late
	DrainGrace     time.Duration // sends to a draining target must have ended by then
	KeyPause       time.Duration // pause of a key after an attempt that may still run
	StartCapacity  float64       // share of its capacity that a returning destination has
	SlowStart      time.Duration // it has all of it after this
	OverloadFactor float64       // sent over this multiple of its present capacity
	OverloadOutage time.Duration // for this long, it falls over
}

// Limits restricts what is done for some messages; 0 is no limit.
type Limits struct {
	MaxAttempts    int           // for one message
	AttemptTimeout time.Duration // how long one attempt may wait for its answer
	RetryDelay     time.Duration // before the first retry, still jittered; it doubles from there
	HedgeDelay     time.Duration // until a hedged request of a repeatable message, where Settings.SecondCopies

	// For all messages of a destination together: requested without a class.
	MaxInFlight   int     // calls in flight at once, of each route
	MaxRate       float64 // calls a second, of each route, by this forwarder
	MaxRetryRatio float64 // retries, as a share of first attempts
}

// Weights is what the weight of an endpoint means.
type Weights int

// What a weight may mean.
const (
	NoWeights    Weights = iota // nothing
	ExactWeights                // calls a second that the route accepts from all forwarders
	RoughWeights                // the same, up to half too high or too low
)

// Event is something that a host reports: [TargetList], [Message], [Outcome],
// [ProbeResult], [Withdrawn], [Woken], [StoreFull], [Stopping], [Fenced] or [PeerRetryAfter].
type Event interface{ event() }

// TargetState is the listed state of an endpoint; it is independent of its health.
type TargetState int

// The states of an endpoint.
const (
	Active   TargetState = iota
	Draining             // send nothing new
	Gone
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
	Share       float64 // its weight in the round robin of its route; 0 is 1
	EnableCount uint32  // how often an operator disabled and enabled it: it comes back cold
}

// ListScope says how a TargetList relates to the one before it.
type ListScope int

// The scopes of a list.
const (
	Snapshot    ListScope = iota // a complete snapshot: an endpoint missing from it is gone
	LastKnown                    // the last known snapshot, possibly out of date
	Delta                        // a delta
	Unavailable                  // the request failed; the last list stays valid
)

// TargetList is an endpoint snapshot or delta.
type TargetList struct {
	Scope   ListScope
	Targets []Target
}

// Message is a new message, or a recovered one. The forwarder owes it one final answer.
type Message struct {
	ID                  string
	Class               string
	Destination         int
	Key                 string // for classes that keep order: messages of one key go one at a time
	Tenant              string
	TimeLeft            time.Duration   // until its deadline
	FromFailedForwarder bool            // it was open at a forwarder that died
	ClientRetry         bool            // a client's repeat, where clients mark it
	Route               string          // by which it came, for its limits
	Filter              *EndpointFilter // which endpoints it may go to; nil: any of its destination

	// What a restarted host knows of a message that it had accepted before.
	Recovered      bool // accepted before the restart: it is never rejected for lack of room
	Attempts       int  // sends made before; the next one has this number
	HasOpenAttempt bool // the last of them has no known outcome
	MayHaveRun     bool // one of them may have run
}

// EndpointFilter restricts and orders the endpoints that a message may go to. It permits none
// that would not be permitted without it.
type EndpointFilter struct {
	Only   []string // no others; none: all
	Prefer []string // these before the others, in this order, other things being equal
}

// Result is how an attempt or a probe ended.
type Result int

// The ways in which an attempt can end.
const (
	Succeeded     Result = iota
	Errored              // answered with an error; it may have run
	Overloaded           // rejected: it did not run
	TimedOut             // it may have run, or still do so
	ConnectFailed        // never reached the target
	Reset                // the connection broke; it may have run
	Cancelled            // cancelled by the host; it may have run
	NotSent              // never sent, but counts as an attempt
	Rejected             // rejected for good: it did not run, and is not retried
)

// answered reports whether an endpoint gave a definite answer to the message.
func (r Result) answered() bool { return r == Succeeded || r == Rejected }

// Allowance is what a destination reports of its limit.
type Allowance struct {
	Reported  bool
	Remaining float64 // share of the limit that is left
	Rate      float64 // calls a second that the limit allows; 0 where there is none
}

// Outcome reports how an attempt ended. Every Send gets exactly one.
type Outcome struct {
	Message        string
	Attempt        int // numbered from 0 in the order of the sends
	Target         string
	Result         Result
	Latency        time.Duration
	RetryAfter     time.Duration // the retry-after time, or 0
	NoSlot         bool          // with NotSent: no slot was free
	RetryDelay     time.Duration // with NotSent: its message is not retried before
	NoAnswerNeeded bool          // the message needs no answer any more
	Allowance      Allowance
}

// ProbeResult reports how a probe ended.
type ProbeResult struct {
	Target    string
	Result    Result
	Latency   time.Duration
	Allowance Allowance
}

// Withdrawn reports that a message is no longer wanted; it needs no answer.
type Withdrawn struct{ Message string }

// Woken reports that the time of a Wake has come.
type Woken struct{}

// StoreFull reports that the host had no room to store one more message.
type StoreFull struct{}

// Stopping reports that the host stops after this time. What is open then goes
// to the Forwarder of its next start as Recovered.
type Stopping struct{ TimeLeft time.Duration }

// Fenced reports that the host is fenced and must make no new call until it reports that this is over:
// queued messages are answered at once, those in flight when their calls end without success.
type Fenced struct{ On bool }

// PeerRetryAfter reports a retry-after time that another sender got from this endpoint: nothing
// is sent there until then. It never shortens one.
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
	StartWithin time.Duration // its first byte is written within that, or not at all; 0: whenever
}

// Refuse is a final answer: handing the message in again is harmless.
type Refuse struct {
	Message    string
	RetryAfter time.Duration // advice: how long to stay away; 0 for none
}

// Fail is a final answer that promises nothing about the message's effect.
type Fail struct{ Message string }

// Cancel cancels one attempt; its outcome is still reported.
type Cancel struct {
	Message string
	Attempt int
}

// CloseIdle closes the idle connections to an endpoint.
type CloseIdle struct{ Target string }

// Subscribe asks discovery for changes of the list from now on.
type Subscribe struct{}

// Wake asks for a Step with a Woken event after this time, at the latest. Only
// the newest Wake need be kept; one too many does no harm.
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
	CircuitOpen    bool          // the circuit is open: only probes go
	OpenReason     string        // why the circuit is open; empty if it is not
	RetryAfterLeft time.Duration // until the retry-after time
	RetryRatio     float64       // retries allowed, as a share of first attempts
	Amplification  float64       // all attempts over first attempts
	InFlight       int           // calls in flight
	Queued         int           // messages queued for the destination
}
