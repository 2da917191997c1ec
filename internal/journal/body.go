package journal

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"

	"scaleroute/internal/message"
	"scaleroute/internal/steadyclock"
)

const (
	// messageMemoryBytes is the memory that an open message takes besides its body, in this package and in the others
	// that keep it: see TestMemoryAtSize of the decision module, and docs/journal.md.
	messageMemoryBytes = 1200
	// bodyMemoryShare is the divisor of the memory limit for the part that bodies may take. Bodies beyond that are read
	// back from disk when they are sent.
	bodyMemoryShare = 3
	maxBodyMemory   = 64 << 20 // an upper bound for that part: the page cache holds the rest as well
)

// bodyMemory limits the memory that open messages take.
type bodyMemory struct {
	limit     int64 // bytes; 0 for no limit
	bodyBytes int64 // bytes of the bodies that are in memory
}

// hasRoomFor reports whether one more message fits beside the given number of open ones.
func (m *bodyMemory) hasRoomFor(open int) bool {
	return m.limit == 0 || int64(open+1)*messageMemoryBytes <= m.limit-m.limit/bodyMemoryShare
}

// keepOrRelease decides whether the body of a message that is on disk stays in memory as well. If owned is set, the
// given bytes belong to the message already; otherwise they are copied.
func (m *bodyMemory) keepOrRelease(s *MessageState, body []byte, owned bool) {
	if s.isBodyLost() || s.residentBytes > 0 {
		return
	}
	if m.limit > 0 && m.bodyBytes+int64(len(body)) > min(m.limit/bodyMemoryShare, maxBodyMemory) {
		s.Body, s.storedLength = (*storedBody)(s), len(body)
		return
	}
	if !owned {
		body = append([]byte(nil), body...)
	}
	s.Body, s.residentBytes = message.Bytes(body), len(body)
	m.bodyBytes += int64(len(body))
}

func (m *bodyMemory) release(s *MessageState) {
	m.bodyBytes -= int64(s.residentBytes)
	s.residentBytes = 0
}

// position is where a state record is on disk.
type position struct {
	segment *segment
	offset  int64
	size    int
}

// pendingPosition is the position of a state record that is not yet as durable as the journal promises.
type pendingPosition struct {
	state    *MessageState
	position position
	written  int64 // value of writtenBytes once it was written; 0 while it is in the buffer
}

// noteWritten handles the states of a buffer that was written. Where the journal syncs, their positions count only from
// the next sync on: a sync that fails may drop what was written, and must not take the only copy of a body with it.
func (j *Journal) noteWritten() {
	for i := range j.pendingPositions {
		j.pendingPositions[i].state.isWritten = true
		j.pendingPositions[i].written = j.writtenBytes
	}
	if j.durability == Process {
		j.recordPositions(j.pendingPositions)
	} else {
		j.unsyncedPositions = append(j.unsyncedPositions, j.pendingPositions...)
	}
	clear(j.pendingPositions)
	j.pendingPositions = j.pendingPositions[:0]
}

// noteSynced notes that the given number of written bytes is synced.
func (j *Journal) noteSynced(written int64) {
	j.syncedBytes = written
	count := 0
	for count < len(j.unsyncedPositions) && j.unsyncedPositions[count].written <= written {
		count++
	}
	j.recordPositions(j.unsyncedPositions[:count])
	j.unsyncedPositions = slices.Delete(j.unsyncedPositions, 0, count)
}

// dropPositions handles states that may not be on disk: their messages count as stored in their previous segments again.
func dropPositions(list []pendingPosition) {
	for _, pending := range list {
		s := pending.state
		if from := s.position.segment; s.segment != nil && from != nil && from != s.segment {
			size := s.stateSize
			s.unlink()
			from.link(s, size)
		}
	}
	clear(list)
}

// recordPositions records the positions of states, and releases bodies that do not fit into memory.
func (j *Journal) recordPositions(list []pendingPosition) {
	if len(list) == 0 {
		return
	}
	j.positionsMu.Lock()
	for _, pending := range list {
		pending.state.position = pending.position
	}
	j.positionsMu.Unlock()
	for _, pending := range list {
		if pending.state.segment == nil {
			continue // closed in the meantime
		}
		switch body := pending.state.Body.(type) {
		case message.Bytes:
			j.memory.keepOrRelease(pending.state, body, true)
		case *storedBody, lostBody:
		default: // a body type of the front: from now on the journal keeps the body
			pending.state.Body, pending.state.storedLength = (*storedBody)(pending.state), body.Len()
		}
	}
}

// storedBody is the body of a message that is read back from its segment. Any goroutine may load it.
type storedBody MessageState

func (b *storedBody) Len() int { return b.storedLength }

// Load reads the body. If compaction has moved it in the meantime, Load reads it again from its new position.
func (b *storedBody) Load() ([]byte, error) {
	s := (*MessageState)(b)
	for {
		s.journal.positionsMu.RLock()
		at := s.position
		s.journal.positionsMu.RUnlock()
		body, err := at.read(s.number)
		if err == nil {
			return body, nil
		}
		s.journal.positionsMu.RLock()
		moved := s.position != at
		s.journal.positionsMu.RUnlock()
		if !moved {
			return nil, err
		}
	}
}

// read reads the body at a position, and checks that it belongs to the message with the given number.
func (p position) read(n uint64) ([]byte, error) {
	fail := func(err error) error {
		return fmt.Errorf("journal: reading the body at offset %d of %s: %w", p.offset, p.segment.name, err)
	}
	data := make([]byte, p.size)
	if got, err := p.segment.file.ReadAt(data, p.offset); got < len(data) {
		return nil, fail(err)
	}
	k, payload, _, ok := readRecord(data, p.segment.nonce, p.offset, true)
	if !ok || k != kindState {
		return nil, fail(errors.New("the record is corrupt"))
	}
	number, _, rest, ok := splitNumber(payload)
	if !ok || number != n {
		return nil, fail(errors.New("the record belongs to another message"))
	}
	_, body, err := decodeState(rest, steadyclock.Clock{})
	if err != nil {
		return nil, fail(err)
	}
	return body, nil
}

// lostBody stands for a body that can no longer be read. Its message is never sent, and fails at its deadline.
type lostBody struct{}

var errBodyLost = errors.New("journal: the body is lost because its record is damaged")

func (lostBody) Len() int              { return 0 }
func (lostBody) Load() ([]byte, error) { return nil, errBodyLost }

func (s *MessageState) isBodyLost() bool { _, yes := s.Body.(lostBody); return yes }

// markBodyLost keeps a message without its body, so that the failure to read it does not affect the other messages.
func (j *Journal) markBodyLost(s *MessageState, err error) {
	if !s.isBodyLost() {
		slog.Error("the body of a message can't be read: the message will not be sent", "id", s.ID, "err", err)
		j.Release(s.Size())
		s.Body = lostBody{}
		j.reservedBytes += cost(s.Size())
	}
}
