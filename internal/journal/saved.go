package journal

import (
	"time"

	"scaleroute/internal/message"
)

// MessageState is what the journal knows of one message.
type MessageState struct {
	ID       string
	Class    string
	Dest     int
	Deadline time.Time
	Body     message.Body
	Origin   string // the front that accepted it
	Extras   *message.Extras

	Attempts   int
	InFlight   bool // the last attempt has no outcome
	MayHaveRun bool // an attempt may have run; an open one may
	Completion byte // d or b once its end is decided
	RetryAfter time.Duration

	number      uint64 // unique, unlike its id
	recordCount byte   // of its records, modulo 256
	segment     *segment
	stateSize   int64 // of its state in the segment
	previous    *MessageState
	next        *MessageState

	journal       *Journal // for its body alone, once that is on disk
	position      position // of its newest state that is as durable as was promised; under positionsMu
	isWritten     bool     // a state of it was written
	residentBytes int      // bytes of its body that count as in memory
	storedLength  int      // of its body if that is on disk alone
}

// PossiblyRan reports whether any attempt may have run, an open one included.
func (s *MessageState) PossiblyRan() bool { return s.MayHaveRun || s.InFlight }

// Size is what must be reserved for a message: all that is written of it but what each message needs.
func (s *MessageState) Size() int {
	return s.Body.Len() + len(s.Origin) + len(s.Class) + len(s.ID) + extrasBytes(s.Extras)
}

// stateBytes bounds a record of a message's state and its entry in an index.
func stateBytes(size int) int64 { return int64(size) + recordHeaderBytes + 48 + maxIndexEntry }

// cost is the room reserved for a message of a size.
func cost(size int) int64 { return stateBytes(size) + controlBytes }

// Cost is the room that is reserved for a message.
func (s *MessageState) Cost() int64 { return cost(s.Size()) }
