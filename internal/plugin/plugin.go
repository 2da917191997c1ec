// Package plugin is the contract between the forwarder and operators' code: what a hook is told, what it may answer, which of
// that is let through, and when a plug-in is not asked at all. It does no I/O and reads no clock. The code runs in processes of
// its own (package host), which package runner starts; docs/plugins.md is the operators' page.
package plugin

import "scaleroute/internal/message"

// Point is a place in a message's way where plug-ins are asked.
type Point string

// The points.
const (
	Intake Point = "intake" // before a message is taken on: may alter, narrow, order or refuse it
	Call   Point = "call"   // before an attempt of a message that may be repeated: may alter what it sends
	Reply  Point = "reply"  // after an answer: may only make it count for less
	Final  Point = "final"  // after the end: may only look on
)

// Points lists them in the order in which a message meets them.
var Points = []Point{Intake, Call, Reply, Final}

// Bounds of what a plug-in may hand over, whatever it is set to.
const (
	MaxBody           = 64 << 10 // bytes: what the platform takes
	MaxHeaderFields   = 16       // fields
	MaxFieldName      = 64       // bytes of a field's name
	MaxFieldValue     = 1024     // bytes of its value
	MaxNamedEndpoints = 32       // endpoints that a message may be narrowed to, or prefer
	MaxReason         = 200      // bytes
	MaxLogLines       = 8        // lines for the log in one call
	MaxLogLine        = 200      // bytes of one
	MaxCounters       = 32       // counters of one plug-in
	MaxReplyBody      = 4 << 10  // bytes of an answer's body that a plug-in is shown
	MaxEndpointSets   = 16       // sets of endpoints that messages for one destination may be narrowed to
)

// Endpoint is one endpoint of a message's destination.
type Endpoint struct {
	Name   string  `json:"name"`
	Zone   string  `json:"zone,omitempty"`
	Weight float64 `json:"weight,omitempty"`
}

// Request is what a hook is told. Which fields are set depends on the point.
type Request struct {
	Point       Point               `json:"point"`
	ID          string              `json:"id"`
	Class       string              `json:"class"`
	Destination int                 `json:"destination"`
	TimeLeft    float64             `json:"left,omitempty"`         // seconds; Intake, Call
	Header      []message.Field     `json:"header,omitempty"`       // that will go along so far; Intake, Call
	Endpoints   []Endpoint          `json:"endpoints,omitempty"`    // that a message may go to; Intake
	Endpoint    string              `json:"endpoint,omitempty"`     // Call, Reply
	Attempt     int                 `json:"attempt,omitempty"`      // from 0; Call, Reply
	Status      int                 `json:"status,omitempty"`       // Reply
	ReplyHeader map[string][]string `json:"reply_header,omitempty"` // Reply
	Outcome     string              `json:"end,omitempty"`          // delivered, refused or failed; Final
	Body        []byte              `json:"-"`                      // of the message; Intake, Call
	ReplyBody   []byte              `json:"-"`                      // its beginning; Reply
}

// Result is what came of asking. Nothing in it is trusted.
type Result struct {
	Refuse       bool            `json:"refuse,omitempty"`        // Intake
	Reason       string          `json:"reason,omitempty"`        // with Refuse
	WaitMS       float64         `json:"wait_ms,omitempty"`       // with Refuse: come again then. With a Reply: nothing is sent there until then
	HasBody      bool            `json:"has_body,omitempty"`      // Body goes in the place of the message's
	Header       []message.Field `json:"header,omitempty"`        // go along, in the place of those of the same names
	Only         []string        `json:"only,omitempty"`          // Intake
	Prefer       []string        `json:"prefer,omitempty"`        // Intake
	NotDelivered bool            `json:"not_delivered,omitempty"` // Reply: what looks like a delivery may be none

	Error  string         `json:"error,omitempty"`  // the code failed on this message; nothing else counts then
	Costly bool           `json:"costly,omitempty"` // with Error: by using up what it is allowed
	Steps  uint64         `json:"steps,omitempty"`
	CPU    int64          `json:"cpu_us,omitempty"` // microseconds
	Lines  []string       `json:"lines,omitempty"`  // for the log
	Counts map[string]int `json:"counts,omitempty"` // added to the plug-in's counters

	Body []byte `json:"-"`
}

// RequestsChange tells whether a result asks for anything.
func (r *Result) RequestsChange() bool {
	return r.Refuse || r.HasBody || len(r.Header)+len(r.Only)+len(r.Prefer) > 0 || r.NotDelivered || r.WaitMS > 0
}
