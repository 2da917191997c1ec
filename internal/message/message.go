// Package message is what fronts, engine, journal and backs have in common: a
// message on its way. It decides nothing and does no I/O of its own.
package message

import (
	"strings"
	"time"
)

// Message is one message as a front hands it in.
type Message struct {
	ID          string
	Origin      string // the front that took it; its final answer goes back there. At most 255 bytes
	Class       string
	Destination int
	TimeLeft    time.Duration // until it is given up, from Read on
	ReadAt      time.Time     // when its last byte had been read
	Resubmitted bool          // it was held by a forwarder that died
	Repeat      bool          // a client's repeat after a refusal, where clients mark it
	Fields      string        // what its client said of it: names and values, as name=value, with commas between
	Extras      *Extras       // nil: none
	Body        Body
}

// Field finds what a message's client said of it under a name; the last one holds.
func (m *Message) Field(name string) (value string, there bool) {
	for rest, more := m.Fields, true; more; {
		var pair string
		pair, rest, more = strings.Cut(rest, ",")
		if key, v, ok := strings.Cut(pair, "="); ok && key == name {
			value, there = v, true
		}
	}
	return value, there
}

// RequestedDestination is the destination that a message's client named; Destination is where it goes.
func (m *Message) RequestedDestination() int { return m.Extras.RequestedDestination(m.Destination) }

// Extras is what was added to a message where it was taken on. It holds as long as the message does.
type Extras struct {
	// Endpoints of its destination, 255 names of 255 bytes at most each. They permit none that would not be permitted without.
	Only   []string // no others; none: all
	Prefer []string // these before the others, in this order
	// Route is the name of the route that it took, and For the destination that its client named; none: it goes there.
	Route     string // 255 bytes at most
	Requested int
	// Header goes along with each attempt: 255 fields, each of 255 bytes and 65,535.
	Header []Field
}

// RequestedDestination is the destination that a client named for a message that goes to another; it may be asked of nil.
func (x *Extras) RequestedDestination(to int) int {
	if x == nil || x.Route == "" {
		return to
	}
	return x.Requested
}

// RouteName is the name of the route; it may be asked of nil.
func (x *Extras) RouteName() string {
	if x == nil {
		return ""
	}
	return x.Route
}

// Field is one field of a header.
type Field struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Body is the content of a message. It need not be in memory: whoever sends it
// loads it for as long as the send lasts.
type Body interface {
	Len() int              // bytes
	Load() ([]byte, error) // the caller does not change what it gets
}

// Bytes is a body in memory.
type Bytes []byte

// Len returns the number of bytes.
func (b Bytes) Len() int { return len(b) }

// Load returns the bytes themselves.
func (b Bytes) Load() ([]byte, error) { return b, nil }
