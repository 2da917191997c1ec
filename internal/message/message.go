// Package message defines the message that fronts, engine, journal and backs share. It
// makes no decisions and does no I/O of its own.
package message

import (
	"strings"
	"time"
)

// Message is one message as a front submits it.
type Message struct {
	ID          string
	Origin      string // the front that submitted it; its completion notice goes back there. At most 255 bytes
	Class       string
	Destination int
	TimeLeft    time.Duration // time for its delivery, measured from ReadAt
	ReadAt      time.Time     // when its last byte was read
	Resubmitted bool          // the client submits it again after the forwarder that had accepted it died
	Repeat      bool          // the client submits it again after a refusal, where clients mark such messages
	Fields      string        // fields set by its client, as comma-separated name=value pairs
	Extras      *Extras       // nil for none
	Body        Body
}

// Field returns the value of a field that the message's client set. If a name occurs more than once, the last value counts.
func (m *Message) Field(name string) (value string, ok bool) {
	for rest, more := m.Fields, true; more; {
		var pair string
		pair, rest, more = strings.Cut(rest, ",")
		if key, v, valid := strings.Cut(pair, "="); valid && key == name {
			value, ok = v, true
		}
	}
	return value, ok
}

// RequestedDestination returns the destination that the message's client named; Destination is the one it is delivered to.
func (m *Message) RequestedDestination() int { return m.Extras.RequestedDestination(m.Destination) }

// Extras is what was added to a message when it was accepted. It is valid for the life of the message.
type Extras struct {
	// Endpoints of its destination, each list at most 255 names of at most 255 bytes. They never permit an endpoint that would not be permitted
	// without them.
	Only   []string // restricts it to these endpoints; empty for no restriction
	Prefer []string // prefers these endpoints, in this order
	// Route is the name of the route that it matched, and Requested the destination that its client named. Without a route it is delivered to
	// the requested destination.
	Route     string // at most 255 bytes
	Requested int
	// Header is sent with each attempt: at most 255 fields, with names of at most 255 bytes and values of at most 65,535.
	Header []Field
}

// RequestedDestination returns the destination that the client named for a message that is delivered to another. x may be nil.
func (x *Extras) RequestedDestination(to int) int {
	if x == nil || x.Route == "" {
		return to
	}
	return x.Requested
}

// RouteName returns the name of the route. x may be nil.
func (x *Extras) RouteName() string {
	if x == nil {
		return ""
	}
	return x.Route
}

// Field is one header field.
type Field struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Body is the content of a message. It need not be in memory: the sender loads it for
// the duration of the send.
type Body interface {
	Len() int              // in bytes
	Load() ([]byte, error) // the caller must not modify the result
}

// Bytes is a body in memory.
type Bytes []byte

// Len returns the number of bytes.
func (b Bytes) Len() int { return len(b) }

// Load returns the bytes themselves.
func (b Bytes) Load() ([]byte, error) { return b, nil }
