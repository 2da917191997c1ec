package catalog

import (
	"fmt"

	"scaleroute/internal/agent"
	"scaleroute/internal/ownership"
)

// slot is the place of an entry, which it keeps as long as it is there.
type slot uint32

// noSlot ends a chain.
const noSlot slot = 1<<32 - 1

// record is an entry as it is kept: 48 bytes, and the text.
type record struct {
	text       string // name and address; empty: the slot is free
	weight     float64
	group      uint32
	next, prev slot // in the chain of its partition, or next in that of free slots
	nameLen    uint16
	zone, kind uint16
	status     uint8
}

func (r *record) used() bool      { return r.text != "" }
func (r *record) name() string    { return r.text[:r.nameLen] }
func (r *record) address() string { return r.text[r.nameLen:] }

// pageLen is how many records are allocated at a time, so that a growing list is not copied.
const pageLen = 4096

// store is the entries: records in pages, chained by partition, found by name.
type store struct {
	layout       ownership.Layout
	pages        [][]record
	end          slot // of the slots that were ever used
	free         slot // the first free one below end
	byName       nameIndex
	first        []slot // by partition
	zones, kinds names
	statuses     names
}

func newStore(layout ownership.Layout) *store {
	s := &store{layout: layout, free: noSlot, first: make([]slot, layout.Partitions)}
	s.byName = newNameIndex(func(at slot) string { return s.at(at).name() })
	for p := range s.first {
		s.first[p] = noSlot
	}
	s.zones, s.kinds, s.statuses = newNames("zones"), newNames("types"), newNames("states")
	return s
}

func (s *store) len() int { return s.byName.count }

// slots are the slots that were ever used, from 0 on.
func (s *store) slots() slot { return s.end }

func (s *store) at(at slot) *record { return &s.pages[at/pageLen][at%pageLen] }

func (s *store) find(name string) (slot, bool) { return s.byName.find(name) }

func (s *store) endpoint(at slot) agent.Endpoint {
	r := s.at(at)
	return agent.Endpoint{Name: r.name(), Address: r.address(), Zone: s.zones.text(r.zone), Type: s.kinds.text(r.kind), Group: int(r.group),
		Status: s.statuses.text(uint16(r.status)), Weight: r.weight}
}

// pack is an entry as a record, in no chain yet.
func (s *store) pack(e agent.Endpoint) (record, error) {
	zone, err := s.zones.number(e.Zone)
	if err != nil {
		return record{}, err
	}
	kind, err := s.kinds.number(e.Type)
	if err != nil {
		return record{}, err
	}
	status, err := s.statuses.number(e.Status)
	if err != nil {
		return record{}, err
	}
	return record{text: e.Name + e.Address, nameLen: uint16(len(e.Name)), weight: e.Weight, group: uint32(e.Group),
		zone: zone, kind: kind, status: uint8(status), next: noSlot, prev: noSlot}, nil
}

func (s *store) add(e agent.Endpoint) (slot, error) {
	packed, err := s.pack(e)
	if err != nil {
		return 0, err
	}
	at := s.takeSlot()
	*s.at(at) = packed
	s.byName.add(at)
	s.link(at)
	return at, nil
}

func (s *store) takeSlot() slot {
	if at := s.free; at != noSlot {
		s.free = s.at(at).next
		return at
	}
	if int(s.end) == len(s.pages)*pageLen {
		s.pages = append(s.pages, make([]record, pageLen))
	}
	s.end++
	return s.end - 1
}

func (s *store) replace(at slot, e agent.Endpoint) error {
	packed, err := s.pack(e)
	if err != nil {
		return err
	}
	s.unlink(at)
	r := s.at(at)
	if packed.text == r.text { // one text is enough: the log may have a part of the former
		packed.text = r.text
	}
	*r = packed
	s.link(at)
	return nil
}

func (s *store) delete(at slot) {
	s.unlink(at)
	r := s.at(at)
	s.byName.delete(r.name())
	*r = record{next: s.free}
	s.free = at
}

// link puts a record at the head of its partition's chain.
func (s *store) link(at slot) {
	r := s.at(at)
	head := &s.first[s.layout.PartitionOf(int(r.group))]
	if r.next = *head; r.next != noSlot {
		s.at(r.next).prev = at
	}
	r.prev, *head = noSlot, at
}

func (s *store) unlink(at slot) {
	r := s.at(at)
	if r.next != noSlot {
		s.at(r.next).prev = r.prev
	}
	if r.prev != noSlot {
		s.at(r.prev).next = r.next
	} else {
		s.first[s.layout.PartitionOf(int(r.group))] = r.next
	}
}

// names are texts that occur in many entries, each kept once and for good.
type names struct {
	what    string
	numbers map[string]uint16
	texts   []string
}

// maxNames bounds how many different ones there are, maxInterned their length.
const (
	maxNames    = 4096
	maxInterned = 256
)

func newNames(what string) names { return names{what: what, numbers: map[string]uint16{}} }

func (n *names) text(number uint16) string { return n.texts[number] }

func (n *names) number(text string) (uint16, error) {
	if number, known := n.numbers[text]; known {
		return number, nil
	}
	if len(n.texts) == maxNames || len(text) > maxInterned {
		return 0, fmt.Errorf("%.40q: at most %d different %s of %d bytes each are kept", text, maxNames, n.what, maxInterned)
	}
	own := string(append([]byte(nil), text...)) // not a piece of something larger
	n.numbers[own] = uint16(len(n.texts))
	n.texts = append(n.texts, own)
	return n.numbers[own], nil
}

// bitmap is a set of slots.
type bitmap []uint64

func (b *bitmap) set(at slot) {
	word := int(at / 64)
	for len(*b) <= word {
		*b = append(*b, 0)
	}
	(*b)[word] |= 1 << (at % 64)
}

func (b bitmap) has(at slot) bool {
	word := int(at / 64)
	return word < len(b) && b[word]>>(at%64)&1 != 0
}
