package journal

import (
	"errors"
	"fmt"
	"log/slog"

	"scaleroute/internal/message"
)

const (
	// heldBytes is what a held message takes in memory beside its body, in this package and in those that
	// hold it too: see TestMemoryAtSize of the module, and docs/journal.md.
	heldBytes = 1200
	// bodyShare is the part of the memory that bodies may take; beyond it they are read back when they are sent.
	bodyShare = 3
	mostBody  = 64 << 20 // and this at most: the system's cache has the rest as well
)

// memory bounds what the messages that are held take of it.
type memory struct {
	limit  int64 // 0 for none
	bodies int64 // bytes of those in memory
}

// roomFor tells whether one more message than so many may be held.
func (m *memory) roomFor(held int) bool {
	return m.limit == 0 || int64(held+1)*heldBytes <= m.limit-m.limit/bodyShare
}

// decide says whether the body of a message that stands on disk stays in memory too, given its bytes, which may be the
// message's own.
func (m *memory) decide(s *Saved, body []byte, own bool) {
	if s.lost() || s.resident > 0 {
		return
	}
	if m.limit > 0 && m.bodies+int64(len(body)) > min(m.limit/bodyShare, mostBody) {
		s.Body, s.length = (*stored)(s), len(body)
		return
	}
	if !own {
		body = append([]byte(nil), body...)
	}
	s.Body, s.resident = message.Bytes(body), len(body)
	m.bodies += int64(len(body))
}

func (m *memory) leave(s *Saved) {
	m.bodies -= int64(s.resident)
	s.resident = 0
}

// place is where a state stands.
type place struct {
	seg  *segment
	off  int64
	size int
}

type unplaced struct {
	s  *Saved
	at place
}

// place notes where the states that were just written stand, and lets go of bodies that memory has no room for.
func (j *Journal) place() {
	if len(j.unplaced) == 0 {
		return
	}
	j.places.Lock()
	for _, u := range j.unplaced {
		u.s.at = u.at
	}
	j.places.Unlock()
	for _, u := range j.unplaced {
		if u.s.seg == nil {
			continue // closed meanwhile
		}
		switch body := u.s.Body.(type) {
		case message.Bytes:
			j.memory.decide(u.s, body, true)
		case *stored, lostBody:
		default: // of a front's own kind: from now on it is ours to keep
			u.s.Body, u.s.length = (*stored)(u.s), body.Len()
		}
	}
	clear(j.unplaced)
	j.unplaced = j.unplaced[:0]
}

// stored is the body of a message that is read back from its segment. It may be loaded by any goroutine.
type stored Saved

func (b *stored) Len() int { return b.length }

// Load reads it, from wherever compaction has put it meanwhile.
func (b *stored) Load() ([]byte, error) {
	s := (*Saved)(b)
	for {
		s.j.places.RLock()
		at := s.at
		s.j.places.RUnlock()
		body, err := at.read(s.n)
		if err == nil {
			return body, nil
		}
		s.j.places.RLock()
		moved := s.at != at
		s.j.places.RUnlock()
		if !moved {
			return nil, err
		}
	}
}

// read reads the body that stands at a place, and checks that it is the message's.
func (p place) read(n uint64) ([]byte, error) {
	fail := func(err error) error {
		return fmt.Errorf("journal: the body at %d of %s can't be read back: %w", p.off, p.seg.name, err)
	}
	text := make([]byte, p.size)
	if got, err := p.seg.file.ReadAt(text, p.off); got < len(text) {
		return nil, fail(err)
	}
	k, payload, _, ok := readRecord(text, p.seg.nonce, p.off, true)
	if !ok || k != kindState {
		return nil, fail(errors.New("the record does not check"))
	}
	number, _, rest, ok := numbered(payload)
	if !ok || number != n {
		return nil, fail(errors.New("another message stands there"))
	}
	_, body, err := decodeState(rest)
	if err != nil {
		return nil, fail(err)
	}
	return body, nil
}

// lostBody is that of a message whose body can't be read any more. It is never sent; its end comes with its time.
type lostBody struct{}

var errLost = errors.New("journal: the body was lost to damage")

func (lostBody) Len() int              { return 0 }
func (lostBody) Load() ([]byte, error) { return nil, errLost }

func (s *Saved) lost() bool { _, yes := s.Body.(lostBody); return yes }

// lose goes on without the body of a message: the others are not to end for it.
func (j *Journal) lose(s *Saved, err error) {
	if !s.lost() {
		slog.Error("a message has lost its body, and will end unsent", "id", s.ID, "err", err)
		j.Release(s.Size())
		s.Body = lostBody{}
		j.need += cost(s.Size())
	}
}
