// Package plugin is the contract between the forwarder and operators' code: what a hook is given, what it may return, which of
// its results are applied, and when a plug-in is not called at all. It does no I/O and reads no clock. The code runs in separate
// processes (package host), which package runner starts; docs/plugins.md is the documentation for operators.
package plugin

import "scaleroute/internal/message"

// Point is a stage of processing a message at which plug-ins are called.
type Point string

// Points at which plug-ins are called.
const (
	Intake Point = "intake" // before a message is accepted: may alter or refuse it, and restrict or order its endpoints
	Call   Point = "call"   // before an attempt of a message that may be sent more than once: may alter what the attempt sends
	Reply  Point = "reply"  // after an endpoint's reply: may only downgrade the outcome
	Final  Point = "final"  // after the message's final outcome: may only observe it
)

// Points lists the points in the order in which a message passes them.
var Points = []Point{Intake, Call, Reply, Final}

// Limits on what a plug-in may return or is given. They hold whatever the settings of the plug-in are.
const (
	MaxBody           = 64 << 10 // bytes: the platform's limit
	MaxHeaderFields   = 16       // fields
	MaxFieldName      = 64       // bytes of a field's name
	MaxFieldValue     = 1024     // bytes of a field's value
	MaxNamedEndpoints = 32       // endpoints in Only or in Prefer
	MaxReason         = 200      // bytes
	MaxLogLines       = 8        // log lines of one call
	MaxLogLine        = 200      // bytes of one log line
	MaxCounters       = 32       // counters of one plug-in
	MaxReplyBody      = 4 << 10  // bytes of a reply's body that a plug-in is given
	MaxEndpointSets   = 16       // distinct sets of endpoints to which plug-ins may restrict the messages for one destination
)

// Endpoint is one endpoint of a message's destination.
type Endpoint struct {
	Name   string  `json:"name"`
	Zone   string  `json:"zone,omitempty"`
	Weight float64 `json:"weight,omitempty"`
}

// Request holds the arguments of a hook. Which fields are set depends on the point; each field names its points.
type Request struct {
	Point       Point               `json:"point"`
	ID          string              `json:"id"`
	Class       string              `json:"class"`
	Destination int                 `json:"destination"`
	TimeLeft    float64             `json:"left,omitempty"`         // seconds; Intake, Call
	Header      []message.Field     `json:"header,omitempty"`       // header fields set so far that will be sent with the message; Intake, Call
	Endpoints   []Endpoint          `json:"endpoints,omitempty"`    // endpoints to which the message may be sent; Intake
	Endpoint    string              `json:"endpoint,omitempty"`     // Call, Reply
	Attempt     int                 `json:"attempt,omitempty"`      // counted from 0; Call, Reply
	Status      int                 `json:"status,omitempty"`       // Reply
	ReplyHeader map[string][]string `json:"reply_header,omitempty"` // Reply
	Outcome     string              `json:"end,omitempty"`          // delivered, refused or failed; Final
	Body        []byte              `json:"-"`                      // of the message; Intake, Call
	ReplyBody   []byte              `json:"-"`                      // the first MaxReplyBody bytes of the reply's body; Reply
}

// Result is what a call of a hook returned. It comes from untrusted code: each field is checked before it is applied.
type Result struct {
	Refuse       bool            `json:"refuse,omitempty"`        // Intake
	Reason       string          `json:"reason,omitempty"`        // with Refuse
	WaitMS       float64         `json:"wait_ms,omitempty"`       // with Refuse: time after which the client may retry; at Reply: time during which nothing is sent to the endpoint
	HasBody      bool            `json:"has_body,omitempty"`      // Body replaces the body of the message
	Header       []message.Field `json:"header,omitempty"`        // header fields to send; each replaces one of the same name
	Only         []string        `json:"only,omitempty"`          // Intake
	Prefer       []string        `json:"prefer,omitempty"`        // Intake
	NotDelivered bool            `json:"not_delivered,omitempty"` // Reply: the message may not have been delivered although the reply looks like success

	Error  string         `json:"error,omitempty"`  // the code failed on this message; the fields above are ignored then
	Costly bool           `json:"costly,omitempty"` // with Error: the code exceeded its steps or the size of its output, or a built-in function panicked
	Steps  uint64         `json:"steps,omitempty"`
	CPU    int64          `json:"cpu_us,omitempty"` // microseconds
	Lines  []string       `json:"lines,omitempty"`  // to be logged
	Counts map[string]int `json:"counts,omitempty"` // added to the plug-in's counters

	Body []byte `json:"-"`
}

// RequestsChange reports whether the result asks for any change.
func (r *Result) RequestsChange() bool {
	return r.Refuse || r.HasBody || len(r.Header)+len(r.Only)+len(r.Prefer) > 0 || r.NotDelivered || r.WaitMS > 0
}
