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
	// messageMemoryBytes is what an open message takes in memory beside its body, in this package and in the
	// others that keep it: see TestMemoryAtSize of the module, and docs/journal.md.
	messageMemoryBytes = 1200
	// bodyMemoryShare is the divisor of the memory for the part that bodies may take; beyond it they are read back when they are sent.
	bodyMemoryShare = 3
	maxBodyMemory   = 64 << 20 // and this at most: the system's cache has the rest as well
)

// bodyMemory bounds the memory of open messages.
type bodyMemory struct {
	limit     int64 // 0 for none
	bodyBytes int64 // bytes of those in memory
}

// hasRoomFor reports whether one more message than so many fits.
func (m *bodyMemory) hasRoomFor(open int) bool {
	return m.limit == 0 || int64(open+1)*messageMemoryBytes <= m.limit-m.limit/bodyMemoryShare
}

// keepOrRelease decides whether the body of a message that is on disk stays in memory too, given its bytes,
// which may be the message's own.
func (m *bodyMemory) keepOrRelease(s *MessageState, body []byte, own bool) {
	if s.isBodyLost() || s.residentBytes > 0 {
		return
	}
	if m.limit > 0 && m.bodyBytes+int64(len(body)) > min(m.limit/bodyMemoryShare, maxBodyMemory) {
		s.Body, s.storedLength = (*stored)(s), len(body)
		return
	}
	if !own {
		body = append([]byte(nil), body...)
	}
	s.Body, s.residentBytes = message.Bytes(body), len(body)
	m.bodyBytes += int64(len(body))
}

func (m *bodyMemory) release(s *MessageState) {
	m.bodyBytes -= int64(s.residentBytes)
	s.residentBytes = 0
}

// position is where a state is on disk.
type position struct {
	segment *segment
	offset  int64
	size    int
}

// pendingPosition is where a state will be found once it is as durable as the journal promises.
type pendingPosition struct {
	saved    *MessageState
	position position
	written  int64 // how much had been written in all with it; 0 while it is in the buffer
}

// noteWritten notes that the buffer was written. Where syncs are promised its states count from the next one on: a sync that fails may
// drop what was written, and must not take the only copy of a body with it.
func (j *Journal) noteWritten() {
	for i := range j.pendingPositions {
		j.pendingPositions[i].saved.isWritten = true
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

// noteSynced notes that what had been written so far is synced.
func (j *Journal) noteSynced(written int64) {
	j.syncedBytes = written
	count := 0
	for count < len(j.unsyncedPositions) && j.unsyncedPositions[count].written <= written {
		count++
	}
	j.recordPositions(j.unsyncedPositions[:count])
	j.unsyncedPositions = slices.Delete(j.unsyncedPositions, 0, count)
}

// dropPositions counts states that may not be on disk as where they were before.
func dropPositions(list []pendingPosition) {
	for _, pending := range list {
		s := pending.saved
		if from := s.position.segment; s.segment != nil && from != nil && from != s.segment {
			size := s.stateSize
			s.unlink()
			from.link(s, size)
		}
	}
	clear(list)
}

// recordPositions notes where states are, and releases bodies that do not fit into memory.
func (j *Journal) recordPositions(list []pendingPosition) {
	if len(list) == 0 {
		return
	}
	j.positionsMu.Lock()
	for _, u := range list {
		u.saved.position = u.position
	}
	j.positionsMu.Unlock()
	for _, u := range list {
		if u.saved.segment == nil {
			continue // closed meanwhile
		}
		switch body := u.saved.Body.(type) {
		case message.Bytes:
			j.memory.keepOrRelease(u.saved, body, true)
		case *stored, lostBody:
		default: // of a front's own kind: from now on it is ours to keep
			u.saved.Body, u.saved.storedLength = (*stored)(u.saved), body.Len()
		}
	}
}

// stored is the body of a message that is read back from its segment. It may be loaded by any goroutine.
type stored MessageState

func (b *stored) Len() int { return b.storedLength }

// Load reads it, from wherever compaction has moved it meanwhile.
func (b *stored) Load() ([]byte, error) {
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

// read reads the body at a position, and checks that it is the message's.
func (p position) read(n uint64) ([]byte, error) {
	fail := func(err error) error {
		return fmt.Errorf("journal: the body at %d of %s can't be read back: %w", p.offset, p.segment.name, err)
	}
	text := make([]byte, p.size)
	if got, err := p.segment.file.ReadAt(text, p.offset); got < len(text) {
		return nil, fail(err)
	}
	k, payload, _, ok := readRecord(text, p.segment.nonce, p.offset, true)
	if !ok || k != kindState {
		return nil, fail(errors.New("the record does not check"))
	}
	number, _, rest, ok := splitNumber(payload)
	if !ok || number != n {
		return nil, fail(errors.New("another message stands there"))
	}
	_, body, err := decodeState(rest, steadyclock.Clock{})
	if err != nil {
		return nil, fail(err)
	}
	return body, nil
}

// lostBody is a body that can't be read any more. Its message is never sent, and fails at its deadline.
type lostBody struct{}

var errBodyLost = errors.New("journal: the body was lost to damage")

func (lostBody) Len() int              { return 0 }
func (lostBody) Load() ([]byte, error) { return nil, errBodyLost }

func (s *MessageState) isBodyLost() bool { _, yes := s.Body.(lostBody); return yes }

// markBodyLost goes on without the body of a message: the others must not fail for it.
func (j *Journal) markBodyLost(s *MessageState, err error) {
	if !s.isBodyLost() {
		slog.Error("a message has lost its body, and will end unsent", "id", s.ID, "err", err)
		j.Release(s.Size())
		s.Body = lostBody{}
		j.reservedBytes += cost(s.Size())
	}
}
