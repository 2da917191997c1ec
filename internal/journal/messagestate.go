package journal

import (
	"time"

	"scaleroute/internal/message"
)

// MessageState is what the journal knows of one open message.
type MessageState struct {
	ID       string
	Class    string
	Dest     int
	Deadline time.Time
	Body     message.Body
	Origin   string // the front that accepted it
	Extras   *message.Extras

	Attempts   int
	InFlight   bool // the last attempt has no outcome yet
	MayHaveRun bool // an attempt with an outcome may have run; the one in flight may in any case
	Completion byte // 'd' (dead) or 'b' (bounced) once the final outcome is decided
	RetryAfter time.Duration

	number      uint64 // unique, unlike the ID
	recordCount byte   // number of its records, modulo 256
	segment     *segment
	stateSize   int64 // bytes of its state in the segment, with the index entry
	previous    *MessageState
	next        *MessageState

	journal       *Journal // used by storedBody only
	position      position // of its newest state that is as durable as promised; guarded by positionsMu
	isWritten     bool     // a state of it has been written
	residentBytes int      // bytes of its body that count as in memory
	storedLength  int      // bytes of its body if that is only on disk
}

// PossiblyRan reports whether any attempt may have run, including one in flight.
func (s *MessageState) PossiblyRan() bool { return s.MayHaveRun || s.InFlight }

// Size returns the bytes that must be reserved for a message besides the fixed part that each message needs.
func (s *MessageState) Size() int {
	return s.Body.Len() + len(s.Origin) + len(s.Class) + len(s.ID) + extrasBytes(s.Extras)
}

// stateBytes returns an upper bound of the record of a message's state and its index entry.
func stateBytes(size int) int64 { return int64(size) + recordHeaderBytes + 48 + maxIndexEntry }

// cost returns the space that is reserved for a message of the given size.
func cost(size int) int64 { return stateBytes(size) + followUpBytes }

// Cost returns the space that is reserved for the message.
func (s *MessageState) Cost() int64 { return cost(s.Size()) }
